"""Divide a team's limits among all entries, in two levels.

Each entry has a static share: a fixed fraction of the limit divided by the
number of entries. The team's home entry grants the rest, for short terms,
to one home entry in each availability zone, which grants it to the entries
of its zone. Both levels are a ``QuotaAllocator``, which grants only what its
unexpired grants leave of its quota. A zone's quota expires like a grant to an
entry, so what its home grants does too. An entry that cannot reach its home has
only its static share.
"""

import math
from dataclasses import dataclass, field

from comfreyarch_core.refusals import Kind, Refusal, not_run

# Fraction of a limit that is divided evenly as the entries' static shares.
STATIC_FRACTION = 0.2
GRANT_TTL_S = 5.0
# Open requests that an entry allows however small its share is.
MIN_OPEN_REQUESTS = 1
# Rate, in requests per second, below which the retry time stops growing.
MIN_RETRY_RATE_PER_S = 0.2
# Weight of the newest measurement in the smoothed arrival rate.
RATE_SMOOTHING = 0.3
# Depth of the token bucket, as the time in which it fills.
BURST_S = 1.0
# Factor by which the demand exceeds the measured load.
DEMAND_HEADROOM = 1.5
# Least interval over which arrivals are measured.
MIN_INTERVAL_S = 0.001


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand in requests per second and in open requests."""

    rate: float
    open: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Share that is granted until ``until``, a monotonic time in seconds."""

    rate: float
    open: float
    until: float


NO_GRANT = Grant(0, 0, 0)


@dataclass(slots=True)
class QuotaAllocator:
    """Grant shares of a quota to children for short terms.

    The children of a team's home are the homes of the availability zones; the
    children of a zone's home are its entries.

    :param rate: the quota in requests per second.
    :param open: the quota in open requests.
    :param until: end of the quota, a monotonic time in seconds.
    :param grants: unexpired grants by child.
    :param demands: last demand by child.
    """

    rate: float
    open: float
    until: float = math.inf
    grants: dict[str, Grant] = field(default_factory=dict)
    demands: dict[str, Demand] = field(default_factory=dict)

    def handle(self, child: str, demand: Demand, now: float) -> Grant:
        """Grant a share to a child, in place of its former grant.

        :param child: the entry or the availability zone that asks.
        :param now: monotonic time in seconds.
        :returns: a share that does not exceed the free quota.
        """
        self.expire(now)
        self.demands[child] = demand
        if self.until <= now:
            self.grants.pop(child, None)
            return NO_GRANT
        others = [held for name, held in self.grants.items() if name != child]
        free_rate = self.rate - sum(other.rate for other in others)
        free_open = self.open - sum(other.open for other in others)
        rates = [wanted.rate for wanted in self.demands.values()]
        opens = [wanted.open for wanted in self.demands.values()]
        grant = Grant(
            max(0, min(free_rate, fair_share(self.rate, rates, demand.rate))),
            max(0, min(free_open, fair_share(self.open, opens, demand.open))),
            min(now + GRANT_TTL_S, self.until),
        )
        self.grants[child] = grant
        return grant

    def resize(
        self, rate: float, open_requests: float, until: float = math.inf
    ) -> None:
        """Set a new quota; grants that exceed it stay until they expire.

        :param until: end of the quota, a monotonic time in seconds.
        """
        self.rate = rate
        self.open = open_requests
        self.until = until

    def demand(self) -> Demand:
        """Add up the demands of the children.

        :returns: the demand to send to the level above.
        """
        return Demand(
            sum(wanted.rate for wanted in self.demands.values()),
            sum(wanted.open for wanted in self.demands.values()),
        )

    def expire(self, now: float) -> None:
        """Drop the expired grants and the demands of their children."""
        expired = [
            name for name, grant in self.grants.items() if grant.until <= now
        ]
        for child in expired:
            self.grants.pop(child)
            self.demands.pop(child, None)


def fair_share(total: float, requested: list[float], request: float) -> float:
    """Compute the max-min fair share of one of several requested amounts.

    What remains once all are met is divided evenly.

    :param requested: all amounts, ``request`` included.
    :param request: the amount whose share is computed.
    :returns: its share of ``total``.
    """
    remaining = total
    unmet = sorted(requested)
    while unmet:
        level = remaining / len(unmet)
        if unmet[0] > level:
            return min(request, level)
        remaining -= unmet.pop(0)
    return request + remaining / max(1, len(requested))


@dataclass(slots=True)
class TeamGate:
    """Admit one team's requests at one entry.

    :param rate: the team's limit over all entries, in requests per second.
    :param open_limit: the team's limit of open requests over all entries.
    :param entries: number of entries that share the limits.
    :param grant: the last grant of the zone's home.
    :param open_requests: requests that are open at this entry.
    :param tokens: level of the token bucket, in requests.
    :param arrivals: requests since the last demand, refused ones included.
    :param smoothed_rate: moving average of the arrivals per second.
    :param last_demand_at: time of the last demand.
    """

    rate: float
    open_limit: float
    entries: int
    grant: Grant = NO_GRANT
    open_requests: int = 0
    tokens: float = 1
    refilled_at: float = 0
    arrivals: int = 0
    smoothed_rate: float = 0
    last_demand_at: float = 0

    def allowed_rate(self, now: float) -> float:
        """Compute the rate that this entry allows now.

        :returns: requests per second: the static share and the grant.
        """
        static = self.rate * STATIC_FRACTION / max(1, self.entries)
        granted = self.grant.rate if self.grant.until > now else 0
        return static + granted

    def allowed_open(self, now: float) -> float:
        """Compute how many open requests this entry allows now.

        :returns: the static share and the grant, but never less than
            ``MIN_OPEN_REQUESTS``.
        """
        static = self.open_limit * STATIC_FRACTION / max(1, self.entries)
        granted = self.grant.open if self.grant.until > now else 0
        return max(MIN_OPEN_REQUESTS, static + granted)

    def admit(self, now: float) -> Refusal | None:
        """Admit a request or refuse it; it never waits.

        :returns: None if it is admitted.
        """
        self.arrivals += 1
        rate = self.allowed_rate(now)
        self.refill(rate, now)
        if self.tokens < 1:
            wait_s = (1 - self.tokens) / max(rate, MIN_RETRY_RATE_PER_S)
            return not_run(Kind.over_rate, max(1, wait_s))
        if self.open_requests + 1 > self.allowed_open(now):
            return not_run(Kind.over_concurrency, 1)
        self.tokens -= 1
        self.open_requests += 1
        return None

    def refill(self, rate: float, now: float) -> None:
        """Refill the token bucket for the time since the last refill."""
        elapsed_s = now - self.refilled_at
        depth = max(1, rate * BURST_S)
        self.tokens = min(depth, self.tokens + elapsed_s * rate)
        self.refilled_at = now

    def release(self) -> None:
        """Record that an admitted request has ended."""
        self.open_requests -= 1

    def demand(self, now: float) -> Demand:
        """Compute the demand from the arrivals since the last call.

        :returns: the demand including headroom, at most the team's limits.
        """
        elapsed_s = max(now - self.last_demand_at, MIN_INTERVAL_S)
        current_rate = self.arrivals / elapsed_s
        self.smoothed_rate += RATE_SMOOTHING * (
            current_rate - self.smoothed_rate
        )
        self.arrivals = 0
        self.last_demand_at = now
        wanted_rate = max(self.smoothed_rate, current_rate) * DEMAND_HEADROOM
        return Demand(
            min(self.rate, wanted_rate),
            min(self.open_limit, self.open_requests * DEMAND_HEADROOM + 1),
        )

    def is_idle(self) -> bool:
        """Check whether the team has no open and no new requests here.

        :returns: True if no grant is needed.
        """
        return self.open_requests == 0 and self.arrivals == 0
