"""Sum up the requests that all entries have in flight at each upstream.

Entries send each other their counts in small datagrams. The counts of an
entry that stops sending are dropped after a short timeout, which frees the
slots that a lost entry occupied.
"""

from dataclasses import dataclass, field

from comfreyarch_core.fleetqueue import Backlog
from comfreyarch_core.tablefreshness import Confirmation

# Counts of an entry that has not been heard from for this time are dropped.
COUNTS_TIMEOUT_S = 1.5
# An entry that has not been heard from for this time is sent to less often.
PEER_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class EntryLoad:
    """Hold one entry's requests in flight.

    :param node: the entry's name.
    :param incarnation: random number drawn when the entry's process starts.
    :param sequence: increases with each message of one incarnation.
    :param counts: requests in flight by upstream, zeros left out.
    :param waiting: requests that wait at the entry, by service.
    :param tables: version of the newest known row, by table.
    :param confirmations: age of what is known, by table.
    :param backlogs: requests that wait at the entry, by service and rank;
        none from earlier releases.
    """

    node: str
    incarnation: int
    sequence: int
    counts: dict[str, int]
    waiting: dict[str, int] = field(default_factory=dict)
    tables: dict[str, int] = field(default_factory=dict)
    confirmations: dict[str, Confirmation] = field(default_factory=dict)
    backlogs: dict[str, tuple[Backlog, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class FleetLoad:
    """Hold the last load of every other entry.

    :param node: name of this entry.
    :param loads: last load and its arrival time, by entry.
    :param totals: requests of all other entries, by upstream.
    """

    node: str = ''
    loads: dict[str, tuple[EntryLoad, float]] = field(default_factory=dict)
    totals: dict[str, int] = field(default_factory=dict)

    def handle(self, load: EntryLoad, now: float) -> bool:
        """Record an entry's load.

        :returns: False if it is older than the recorded one.
        """
        known = self.loads.get(load.node)
        if known is not None:
            last, _ = known
            is_same_incarnation = last.incarnation == load.incarnation
            if is_same_incarnation and load.sequence <= last.sequence:
                return False
            self.adjust_totals(last.counts, -1)
        self.loads[load.node] = (load, now)
        self.adjust_totals(load.counts, 1)
        return True

    def adjust_totals(self, counts: dict[str, int], sign: int) -> None:
        """Add an entry's counts to the totals, or subtract them.

        :param sign: 1 to add, -1 to subtract.
        """
        for upstream, count in counts.items():
            total = self.totals.get(upstream, 0) + sign * count
            if total > 0:
                self.totals[upstream] = total
            else:
                self.totals.pop(upstream, None)

    def expire(self, now: float) -> list[str]:
        """Drop the counts of entries that timed out.

        :returns: the names of those entries.
        """
        expired = [
            node
            for node, (_, received_at) in self.loads.items()
            if now - received_at > COUNTS_TIMEOUT_S
        ]
        for node in expired:
            last, _ = self.loads.pop(node)
            self.adjust_totals(last.counts, -1)
        return expired

    def waiting(self, service: str) -> int:
        """Return how many requests wait at the other entries.

        :returns: a number of requests.
        """
        return sum(
            load.waiting.get(service, 0) for load, _ in self.loads.values()
        )

    def waiting_entries(self, service: str) -> frozenset[str]:
        """List the other entries where requests wait.

        :returns: their names.
        """
        return frozenset(
            node
            for node, (load, _) in self.loads.items()
            if load.waiting.get(service)
        )

    def backlogs(self, service: str) -> tuple[Backlog, ...]:
        """Return what waits at the other entries.

        :returns: the sums by rank of each entry.
        """
        return tuple(
            backlog
            for load, _ in self.loads.values()
            if load.backlogs
            for backlog in load.backlogs.get(service, ())
        )

    def others(self, upstream: str) -> int:
        """Return what the other entries have in flight at an upstream.

        :returns: a number of requests.
        """
        return self.totals.get(upstream, 0)


def make_fleet_load() -> FleetLoad:
    """Create a load summary.

    :returns: a summary without entries.
    """
    return FleetLoad()
