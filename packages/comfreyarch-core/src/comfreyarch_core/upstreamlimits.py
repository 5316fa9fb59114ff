"""Remember the request limits that upstreams announce with their answers.

An upstream in need states the requests per second that it takes from all entries
together, for as long as its answers say so. Answers overtake each other, and
entries pass on to each other what they learn. So each state has a version, which
increases with each change and, at intervals, with each answer that confirms it.
An answer ends or raises a limit only if its request was sent when the version was
known that is still the highest: the answer is then newer than what it contradicts.
Of two states with one version the lower limit holds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from comfreyarch_core.upstreamlist import UpstreamEntry

# Lowest limit that is enforced: only an answer tells that a limit has ended, so
# an upstream that takes no request gets one at this rate.
MIN_RATE_PER_S = 0.1
MAX_RATE_PER_S = 10_000.0
# Least time between two versions of a state that answers confirm.
CONFIRMATION_INTERVAL_S = 0.25
# Request of which it is unknown what was known when it was sent.
UNKNOWN_VERSION = -1


@dataclass(frozen=True, slots=True)
class LimitState:
    """Represent what is known of one upstream's limit.

    :param rate: requests per second, infinite without a limit.
    :param version: orders the states of one process of the upstream.
    :param started_ms: start of that process, see ``UpstreamEntry.started_ms``.
    """

    rate: float
    version: int
    started_ms: int

    @property
    def is_limit(self) -> bool:
        """Check whether the upstream is limited.

        :returns: False once its limit has ended.
        """
        return self.rate < math.inf

    def precedes(self, other: 'LimitState') -> bool:
        """Check whether another state takes the place of this one.

        :returns: False if this one is newer, or as new and not higher.
        """
        own = (self.started_ms, self.version, -self.rate)
        return own < (other.started_ms, other.version, -other.rate)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Report that the limit of an upstream starts, changes or ends.

    :param former: requests per second before, infinite without a limit.
    :param rate: requests per second now, infinite without a limit.
    """

    upstream: str
    former: float
    rate: float


@dataclass(slots=True)
class UpstreamLimits:
    """Track the announced limits of the listed upstreams.

    :param states: last state by upstream.
    :param confirmed_at: time of the last version by upstream.
    """

    states: dict[str, LimitState] = field(default_factory=dict)
    confirmed_at: dict[str, float] = field(default_factory=dict)

    def rate(self, entry: UpstreamEntry) -> float:
        """Return the limit of an upstream.

        :returns: requests per second, infinite without a limit or if the
            upstream has started anew since it stated one.
        """
        state = self.states.get(entry.name)
        if state is None or state.started_ms < entry.started_ms:
            return math.inf
        return state.rate

    def version(self, name: str) -> int:
        """Return the version of what is known, to be kept with each send.

        :returns: 0 if nothing is known.
        """
        state = self.states.get(name)
        return 0 if state is None else state.version

    def limited(self) -> dict[str, float]:
        """List the limits in force.

        :returns: requests per second by upstream.
        """
        return {
            name: state.rate
            for name, state in self.states.items()
            if state.is_limit
        }

    def record_answer(
        self,
        entry: UpstreamEntry,
        stated: float | None,
        sent_version: int,
        now: float,
    ) -> LimitChange | None:
        """Record what an answer states.

        :param stated: requests per second, None if it states no limit.
        :param sent_version: ``version`` when the request was sent, or
            ``UNKNOWN_VERSION``.
        :returns: the change, None if nothing changes.
        """
        rate = math.inf if stated is None else bounded(stated)
        known = self.states.get(entry.name)
        if known is None or known.started_ms < entry.started_ms:
            former = math.inf
            known = LimitState(math.inf, 0, entry.started_ms)
        else:
            former = known.rate
        if rate > former and sent_version < known.version:
            return None
        is_confirmed = now - self.confirmed_at.get(entry.name, -math.inf)
        if rate == former and (
            rate == math.inf or is_confirmed < CONFIRMATION_INTERVAL_S
        ):
            return None
        state = replace(known, rate=rate, version=known.version + 1)
        return self.store(entry.name, state, former, now)

    def merge(
        self, entry: UpstreamEntry, state: LimitState, now: float
    ) -> LimitChange | None:
        """Record what another entry knows of a listed upstream.

        :returns: the change, None if nothing changes.
        """
        known = self.states.get(entry.name)
        if state.started_ms < entry.started_ms:
            return None
        if known is None:
            return self.store(entry.name, state, math.inf, now)
        if not known.precedes(state):
            return None
        return self.store(entry.name, state, known.rate, now)

    def store(
        self, name: str, state: LimitState, former: float, now: float
    ) -> LimitChange | None:
        """Keep a state.

        :returns: the change, None if the limit is the former one.
        """
        self.states[name] = state
        self.confirmed_at[name] = now
        if state.rate == former:
            return None
        return LimitChange(name, former, state.rate)

    def keep_listed(
        self, entries: Iterable[UpstreamEntry]
    ) -> list[LimitChange]:
        """Forget the upstreams that are not listed, or have started anew.

        :returns: a change for each limit that ends so.
        """
        started_ms = {entry.name: entry.started_ms for entry in entries}
        changes = []
        for name, state in list(self.states.items()):
            if state.started_ms >= started_ms.get(name, math.inf):
                continue
            self.states.pop(name)
            self.confirmed_at.pop(name)
            if state.is_limit:
                changes.append(LimitChange(name, state.rate, math.inf))
        return changes


def bounded(rate: float) -> float:
    """Bound a limit to what can be enforced.

    :returns: requests per second.
    """
    return min(max(rate, MIN_RATE_PER_S), MAX_RATE_PER_S)


def make_upstream_limits() -> UpstreamLimits:
    """Create the limits of upstreams that have announced none.

    :returns: the limits.
    """
    return UpstreamLimits()
