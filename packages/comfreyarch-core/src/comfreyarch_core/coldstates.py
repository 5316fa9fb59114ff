"""Determine which upstreams are cold.

An upstream is cold after its start, and as long as its list entry states. After
the evacuation of its zone it is presumed to be cold until a list entry written
later says otherwise.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from comfreyarch_core.upstreamlist import UpstreamEntry

# Load added for a cold upstream, less than that of one request at 5 slots.
COLD_LOAD = 0.1


@dataclass(frozen=True, slots=True)
class ColdRules:
    """Describe how the upstreams of a service behave when cold.

    :param start_s: time for which one is cold after its start.
    :param per_s: requests per second that one tolerates while cold, 0 if it is
        only slow.
    """

    start_s: float = 0
    per_s: float = 0


NO_RULES = ColdRules()


@dataclass(frozen=True, slots=True)
class ColdState:
    """Represent what is known of one upstream.

    :param version: orders the list entries of the upstream.
    :param since: time from which it is cold.
    :param stated_s: time for which it is cold, None if it follows from the
        rules of its service.
    """

    version: tuple[int, int, int]
    since: float
    stated_s: float | None


@dataclass(frozen=True, slots=True)
class Presumption:
    """Represent that an upstream is taken to be cold.

    :param since: time from which it is.
    :param position: position of the store; only a list entry written after it
        says otherwise.
    """

    since: float
    position: int


@dataclass(slots=True)
class ColdStates:
    """Determine which upstreams are cold.

    :param rules: rules by service.
    :param states: what is known of the listed upstreams, by name.
    :param has_list: whether a list of upstreams was known before.
    :param presumed: upstreams that are presumed to be cold, by name.
    """

    rules: Mapping[str, ColdRules] = field(default_factory=dict)
    states: dict[str, ColdState] = field(default_factory=dict)
    has_list: bool = False
    presumed: dict[str, Presumption] = field(default_factory=dict)

    def rules_of(self, entry: UpstreamEntry) -> ColdRules:
        """Return the rules of an upstream's service.

        :returns: rules without a limit if none are configured.
        """
        return self.rules.get(entry.service, NO_RULES)

    def cold_until(self, entry: UpstreamEntry) -> float:
        """Return the time until which an upstream is cold.

        :returns: a time, minus infinity if nothing is known.
        """
        state = self.states.get(entry.name)
        if state is None:
            return -math.inf
        start_s = self.rules_of(entry).start_s
        stated_s = start_s if state.stated_s is None else state.stated_s
        presumption = self.presumed.get(entry.name)
        if presumption is None:
            return state.since + stated_s
        return max(state.since + stated_s, presumption.since + start_s)

    def cold_since(self, entry: UpstreamEntry) -> float:
        """Return the time from which a listed upstream is cold.

        :returns: the latest of the times for which there is a reason.
        """
        since = self.states[entry.name].since
        presumption = self.presumed.get(entry.name)
        return since if presumption is None else max(since, presumption.since)

    def is_cold(self, entry: UpstreamEntry, now: float) -> bool:
        """Check whether an upstream is cold.

        :returns: False if it is neither slow nor limited after a start.
        """
        return now < self.cold_until(entry)

    def tolerated(self, entry: UpstreamEntry, now: float) -> float:
        """Return what an upstream tolerates from all entries.

        :returns: requests per second, infinite without a limit.
        """
        per_s = self.rules_of(entry).per_s
        return per_s if per_s > 0 and self.is_cold(entry, now) else math.inf

    def update_upstreams(
        self, entries: Collection[UpstreamEntry], now: float
    ) -> None:
        """Record the list of upstreams; what is known of others is dropped."""
        is_first = not self.has_list
        self.has_list = True
        self.end_presumptions(entries)
        self.states = {
            entry.name: self.next_state(entry, now, is_first=is_first)
            for entry in entries
        }

    def next_state(
        self, entry: UpstreamEntry, now: float, *, is_first: bool
    ) -> ColdState:
        """Determine what a list entry says, if it is a new one.

        :param is_first: whether no list was known before, so that the upstream
            need not be one that starts.
        :returns: the state.
        """
        known = self.states.get(entry.name)
        version = version_of(entry)
        if known is not None and known.version == version:
            return known
        is_start = not is_first
        if known is not None:
            is_start = known.version[0] != entry.started_ms
        if entry.cold_s is None and known is not None and not is_start:
            return ColdState(version, known.since, known.stated_s)
        if is_start and not entry.cold_s:
            return ColdState(version, now, None)
        return ColdState(version, now, entry.cold_s)

    def presume_cold(
        self, names: Iterable[str], position: int, now: float
    ) -> None:
        """Regard upstreams as cold, as after a start.

        :param position: position of the store; a list entry written after it
            says what holds.
        """
        for name in names:
            if name in self.states:
                self.presumed[name] = Presumption(now, position)

    def end_presumptions(self, entries: Collection[UpstreamEntry]) -> None:
        """Keep the presumptions to which no newer list entry replied."""
        self.presumed = {
            entry.name: presumption
            for entry in entries
            if (presumption := self.presumed.get(entry.name)) is not None
            and not self.is_reply(entry, presumption)
        }

    def is_reply(self, entry: UpstreamEntry, presumption: Presumption) -> bool:
        """Check whether a list entry says what holds in place of a presumption.

        A restored store gives former entries new positions, so the position
        alone does not make one newer.

        :returns: False if it was written before, or states no time.
        """
        known = self.states.get(entry.name)
        return (
            entry.cold_s is not None
            and entry.listed > presumption.position
            and (known is None or known.version != version_of(entry))
        )

    def load(self, entry: UpstreamEntry, now: float) -> float:
        """Return the load to add to an upstream's score.

        :returns: load per slot.
        """
        return COLD_LOAD if self.is_cold(entry, now) else 0


def version_of(entry: UpstreamEntry) -> tuple[int, int, int]:
    """Return what distinguishes the list entries of one upstream.

    A copy that is read again, or written again by a restored store, is no newer
    statement of the upstream.

    :returns: start, sequence or -1, and position only without a sequence.
    """
    if entry.sequence is None:
        return (entry.started_ms, -1, entry.listed)
    return (entry.started_ms, entry.sequence, 0)
