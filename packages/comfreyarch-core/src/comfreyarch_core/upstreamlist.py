"""Hold which upstreams an instance believes in, and survive store outages.

Entries of live upstreams may lapse while the store is away and come back
soon after it. For a short time after the store's return a missing entry
is therefore kept; only one that is still missing afterwards is dropped.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Live upstreams are listed again about 2 s after the store returns.
LAPSE_GRACE_S = 2.2


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Describe one upstream as the instance list shows it.

    :param name: the identifier of this life of the upstream.
    :param address: ``host:port``.
    :param cold_s: seconds for which it is still slow after its start.
    :param listed: version of the store at which the entry was written.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    leaving: bool
    cold_s: float = 0
    listed: int = 0


@dataclass(slots=True)
class UpstreamList:
    """Believe in upstreams; the version only rises.

    :param entries: what may be used, by name.
    :param lapsing: names that are missing from the list but still kept.
    :param grace_until: end of the time in which missing entries are kept.
    """

    entries: dict[str, UpstreamEntry] = field(default_factory=dict)
    lapsing: set[str] = field(default_factory=set)
    store_away: bool = False
    grace_until: float = 0

    def store_lost(self) -> None:
        """Note that the store does not answer."""
        self.store_away = True

    def store_back(self, now: float) -> None:
        """Note that the store answers again."""
        if self.store_away:
            self.store_away = False
            self.grace_until = now + LAPSE_GRACE_S

    def replace(self, entries: Iterable[UpstreamEntry], now: float) -> None:
        """Take the whole list."""
        listed = {entry.name: entry for entry in entries}
        for name in self.entries.keys() - listed.keys():
            self.drop(name, now)
        for entry in listed.values():
            self.change(entry)

    def change(self, entry: UpstreamEntry) -> None:
        """Take one new or changed entry.

        An older entry of the same address belongs to an upstream that ended.
        """
        for other in list(self.entries.values()):
            if other.name == entry.name or other.address != entry.address:
                continue
            if other.listed > entry.listed:
                return
            self.entries.pop(other.name)
            self.lapsing.discard(other.name)
        self.lapsing.discard(entry.name)
        self.entries[entry.name] = entry

    def drop(self, name: str, now: float) -> None:
        """Take one removal, at once or after the grace."""
        entry = self.entries.get(name)
        if entry is None:
            return
        if entry.leaving or now >= self.grace_until:
            self.entries.pop(name)
            self.lapsing.discard(name)
            return
        self.lapsing.add(name)

    def expire(self, now: float) -> list[str]:
        """Drop what is still missing after the grace.

        :returns: the names dropped.
        """
        if not self.lapsing or now < self.grace_until:
            return []
        gone = sorted(self.lapsing)
        for name in gone:
            self.entries.pop(name, None)
        self.lapsing.clear()
        return gone


def make_upstream_list() -> UpstreamList:
    """Make an empty list.

    :returns: a list that believes in nobody.
    """
    return UpstreamList()
