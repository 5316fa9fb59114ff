"""Issue permits, each of which allows one send to a limited upstream.

An entry asks an upstream's holder for a permit and gets it when the holder's rate
allows it. Asks of requests that wait go first, in the order in which they would be
served at one entry. The holder's own requests come next, as they need no permit.
Asks for requests that may come are answered with what is left.

A permit is valid for a short time from its ask, by the clock of the entry that
asked: one that was delayed on its way, or kept while the process did not run, is
void.
"""

import math
import random
from dataclasses import dataclass, field

# Time from its ask for which a permit is valid, and an ask is kept.
PERMIT_TTL_S = 1.0
# Size of a holder's bucket, as the time in which it fills, and its least size: a
# token for its own requests and one to give away.
BURST_S = 0.25
MIN_BUCKET = 2
# Permits that answer one ask, as the time in which they accrue: round trips would
# limit the use of high limits otherwise.
BATCH_S = 0.02
# Part of a limit from which an entry saves an unused token: only one entry can
# have as much, while each of many could save one.
SAVING_SHARE = 0.5
# Time after which any other entry loses an unused token.
UNSAVED_TOKEN_S = 1.0


@dataclass(frozen=True, slots=True)
class SendDemand:
    """Describe the requests of one service that may use a permit.

    :param waiting: how many wait; none if some may come.
    :param order: place of the first one among those of all entries, lowest first.
    :param wanted_s: time for which a permit is of use to it, in seconds.
    """

    waiting: int = 0
    order: tuple[float, ...] = ()
    wanted_s: float = PERMIT_TTL_S


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask for permits for one upstream.

    :param number: number of the ask at the entry that asks.
    :param demand: the requests that may use the permit.
    """

    node: str
    upstream: str
    number: int
    demand: SendDemand


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer an ask with a number of permits."""

    node: str
    upstream: str
    number: int
    permits: int


@dataclass(slots=True)
class TokenBucket:
    """Accrue the sends that an entry may permit to one upstream.

    :param tokens: level, in requests.
    :param refilled_at: time of the last refill.
    """

    tokens: float
    refilled_at: float

    def refill(self, rate: float, share: float, now: float) -> None:
        """Add the tokens since the last refill.

        :param rate: requests per second.
        :param share: part of the upstream's limit that the rate is.
        """
        level = self.tokens + rate * (now - self.refilled_at)
        self.refilled_at = now
        if share >= SAVING_SHARE or rate * UNSAVED_TOKEN_S >= 1:
            self.tokens = min(level, max(MIN_BUCKET, rate * BURST_S))
            return
        self.tokens = math.fmod(level, 1)
        if level >= 1 and self.tokens <= rate * UNSAVED_TOKEN_S:
            self.tokens += 1

    def take(self, most: int, reserved: int = 0) -> int:
        """Take whole tokens.

        :param reserved: tokens that are to be left.
        :returns: their number, at most ``most``.
        """
        taken = max(0, min(int(self.tokens) - reserved, most))
        self.tokens -= taken
        return taken


@dataclass(slots=True)
class PermitIssuer:
    """Answer asks for permits, as the holder of some upstreams.

    :param asks: unanswered asks and when they end, by upstream and entry.
    """

    source: random.Random
    asks: dict[str, dict[str, tuple[Ask, float]]] = field(default_factory=dict)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def handle(self, ask: Ask, now: float) -> None:
        """Keep an ask, in place of the former one of its entry."""
        until = now + min(ask.demand.wanted_s, PERMIT_TTL_S)
        self.asks.setdefault(ask.upstream, {})[ask.node] = (ask, until)

    def issue(
        self, upstream: str, limit: float, share: float, now: float
    ) -> list[Grant]:
        """Answer the asks for one upstream as far as its rate allows.

        :param limit: requests per second that the upstream takes.
        :param share: part of the limit that this entry may use.
        :returns: the answers.
        """
        rate = limit * share
        bucket = self.refill(upstream, rate, share, now)
        waiting = {
            node: asked
            for node, asked in self.asks.pop(upstream, {}).items()
            if now < asked[1]
        }
        grants = []
        batch = max(1, int(rate * BATCH_S))
        for ask, _ in sorted(waiting.values(), key=sort_key):
            reserved = 0 if ask.demand.waiting else 1
            permits = bucket.take(batch, reserved)
            if not permits:
                break
            waiting.pop(ask.node)
            grants.append(Grant(ask.node, upstream, ask.number, permits))
        if waiting:
            self.asks[upstream] = waiting
        return grants

    def refill(
        self, upstream: str, rate: float, share: float, now: float
    ) -> TokenBucket:
        """Refill the bucket of an upstream, or create it.

        :returns: the bucket.
        """
        bucket = self.buckets.get(upstream)
        if bucket is None:
            # Entries that learn of a limit together do not send together.
            bucket = TokenBucket(self.source.random(), now)
            self.buckets[upstream] = bucket
        bucket.refill(rate, share, now)
        return bucket

    def has_own(
        self, upstream: str, limit: float, share: float, now: float
    ) -> bool:
        """Check whether this entry may send a request without a permit.

        :param limit: requests per second that the upstream takes.
        :param share: part of the limit that this entry may use.
        :returns: False if requests wait for permits, or the rate does not allow
            it.
        """
        asks = self.asks.get(upstream, {})
        if any(ask.demand.waiting for ask, _ in asks.values()):
            return False
        return self.refill(upstream, limit * share, share, now).tokens >= 1

    def use_own(self, upstream: str) -> None:
        """Count a request that this entry sends without a permit."""
        self.buckets[upstream].take(1)

    def next_token_s(self, upstream: str, rate: float) -> float:
        """Compute the time until an ask for an upstream can be answered.

        :param rate: requests per second.
        :returns: seconds, infinite if none is asked or issued.
        """
        bucket = self.buckets.get(upstream)
        asks = self.asks.get(upstream)
        if bucket is None or rate <= 0 or not asks:
            return math.inf
        has_waiting = any(ask.demand.waiting for ask, _ in asks.values())
        needed = 1 if has_waiting else MIN_BUCKET
        return max(0, (needed - bucket.tokens) / rate)

    def forget(self, upstream: str) -> None:
        """Forget an upstream whose limit has ended."""
        self.asks.pop(upstream, None)
        self.buckets.pop(upstream, None)


def sort_key(
    asked: tuple[Ask, float],
) -> tuple[bool, tuple[float, ...], float]:
    """Return the place of an ask among others.

    :returns: whether nothing waits, its order, and its end.
    """
    ask, until = asked
    return (not ask.demand.waiting, ask.demand.order, until)


def make_permit_issuer(source: random.Random) -> PermitIssuer:
    """Create an issuer.

    :returns: an issuer without asks.
    """
    return PermitIssuer(source)
