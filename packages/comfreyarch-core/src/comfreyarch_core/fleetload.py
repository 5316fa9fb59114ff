"""Add up what all entries have in flight at each upstream.

Entries tell each other their counts in small datagrams. A count of an entry
that fell silent is dropped soon, so the loss of an entry frees its share.
"""

from dataclasses import dataclass, field

# Counts of an entry that was not heard for so long are dropped.
SILENT_S = 1.5
# An entry that was not heard for so long is no longer sent to often.
LOST_S = 5.0


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Tell one entry's requests in flight.

    :param incarnation: drawn at the start of the entry's process.
    :param number: grows with each news of one incarnation.
    :param counts: requests in flight by upstream, zeros left out.
    :param waiting: requests that wait at the entry, by service.
    :param tables: version of the newest row known, by table.
    """

    node: str
    incarnation: int
    number: int
    counts: dict[str, int]
    waiting: dict[str, int] = field(default_factory=dict)
    tables: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class FleetLoad:
    """Hold the last news of every other entry.

    :param totals: requests of the others, by upstream.
    """

    news: dict[str, tuple[LoadNews, float]] = field(default_factory=dict)
    totals: dict[str, int] = field(default_factory=dict)

    def handle(self, news: LoadNews, now: float) -> bool:
        """Take news.

        :returns: False for news that is older than what is known.
        """
        known = self.news.get(news.node)
        if known is not None:
            last, _ = known
            same = last.incarnation == news.incarnation
            if same and news.number <= last.number:
                return False
            self.add(last.counts, -1)
        self.news[news.node] = (news, now)
        self.add(news.counts, 1)
        return True

    def add(self, counts: dict[str, int], sign: int) -> None:
        """Add one entry's counts to the totals, or take them out."""
        for upstream, count in counts.items():
            total = self.totals.get(upstream, 0) + sign * count
            if total > 0:
                self.totals[upstream] = total
            else:
                self.totals.pop(upstream, None)

    def expire(self, now: float) -> list[str]:
        """Drop the counts of entries that fell silent.

        :returns: the names of those entries.
        """
        silent = [
            node
            for node, (_, heard_at) in self.news.items()
            if now - heard_at > SILENT_S
        ]
        for node in silent:
            last, _ = self.news.pop(node)
            self.add(last.counts, -1)
        return silent

    def others(self, upstream: str) -> int:
        """Tell what the other entries have in flight at an upstream.

        :returns: a number of requests.
        """
        return self.totals.get(upstream, 0)


def make_fleet_load() -> FleetLoad:
    """Make a sum over no entries.

    :returns: the sum.
    """
    return FleetLoad()
