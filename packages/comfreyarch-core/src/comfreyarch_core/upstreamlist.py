"""Keep the list of usable upstreams through store outages.

Entries of live upstreams in the instance list may expire while the store is
unreachable and are written again soon after it recovers. For a grace period
after the recovery, a missing entry is therefore kept; it is dropped if it is
still missing at the end.

A store that is restored from an older copy lists upstreams as they were: one
that has left since, or is leaving, as ready. What an upstream says of itself is
ordered by its start and its own sequence, so an older entry is not taken.

Several entries may have the same address: the upstreams that had it before may
still be listed, and other writers may list upstreams that do not exist. One of
them is used. The others stay listed, so that a wrong choice does not last.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

# Grace period: live upstreams are listed again about 2 s after the store
# recovers.
LAPSE_GRACE_S = 2.2
# Removed upstreams remembered; the oldest are forgotten first.
MAX_REMOVED = 1000


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Entry of one upstream in the instance list.

    :param name: identifier of the upstream, new after each restart.
    :param address: ``host:port``.
    :param leaving: whether the upstream drains.
    :param cold_s: seconds for which it is still cold after its start, None if
        not stated.
    :param listed: position of the store at which the entry was written.
    :param started_ms: Unix time in ms at which the upstream says it started, 0
        if unknown.
    :param sequence: number of its report, which starts anew with it; None if
        not stated.
    :param software: version of its software, empty if not stated.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    leaving: bool
    cold_s: float | None = None
    listed: int = 0
    started_ms: int = 0
    sequence: int | None = None
    software: str = ''

    def count_stated(self) -> int:
        """Return how many of the optional fields are stated.

        :returns: 0 to 4.
        """
        is_stated = (
            self.started_ms > 0,
            self.sequence is not None,
            self.cold_s is not None,
            bool(self.software),
        )
        return sum(is_stated)

    def is_replaced_by(self, other: 'UpstreamEntry') -> bool:
        """Check whether another upstream has taken over the address.

        :returns: True if the other entry states more; if both state as much, if
            the other upstream started later, or, if that is unknown, if its
            entry was written later.
        """
        if self.count_stated() != other.count_stated():
            return other.count_stated() > self.count_stated()
        if self.started_ms and other.started_ms:
            return other.started_ms > self.started_ms
        return other.listed >= self.listed


@dataclass(slots=True)
class UpstreamList:
    """Maintain the upstreams that an entry may send requests to.

    :param listed: the upstreams in the list, by name.
    :param services: names of the configured services; empty before the first
        configuration.
    :param misdirected_at: when another upstream last answered at the address
        of an entry, by name.
    :param removed: last entries of the upstreams that were removed, by name.
    :param missing: names that the list no longer has, kept for the grace
        period.
    :param is_store_down: whether the store does not answer.
    :param grace_until: end of the grace period.
    """

    listed: dict[str, UpstreamEntry] = field(default_factory=dict)
    services: Collection[str] = ()
    misdirected_at: dict[str, float] = field(default_factory=dict)
    removed: dict[str, UpstreamEntry] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)
    is_store_down: bool = False
    grace_until: float = 0

    @property
    def entries(self) -> dict[str, UpstreamEntry]:
        """Return the usable upstreams, one for each address.

        :returns: entries by name.
        """
        by_address: dict[str, UpstreamEntry] = {}
        for entry in self.listed.values():
            other = by_address.get(entry.address)
            if other is None or self.is_preferred(entry, other):
                by_address[entry.address] = entry
        return {usable.name: usable for usable in by_address.values()}

    def is_preferred(self, entry: UpstreamEntry, other: UpstreamEntry) -> bool:
        """Check which of two entries is used that have the same address.

        :returns: True for the one whose service is configured; if both are, for
            the one whose address answered least recently for another upstream;
            then for the one that has replaced the other.
        """
        is_known = entry.service in self.services
        if is_known != (other.service in self.services):
            return is_known
        misdirected_at = self.misdirected_at.get(entry.name, -math.inf)
        other_at = self.misdirected_at.get(other.name, -math.inf)
        if misdirected_at != other_at:
            return misdirected_at < other_at
        return other.is_replaced_by(entry)

    def record_misdirected(self, name: str, now: float) -> bool:
        """Record that another upstream answered at the address of an entry.

        :returns: whether another entry with the address is used from now on.
        """
        entry = self.entries.get(name)
        if entry is None:
            return False
        self.misdirected_at[name] = now
        return name not in self.entries

    def store_lost(self) -> None:
        """Record that the store does not answer."""
        self.is_store_down = True

    def store_back(self, now: float) -> None:
        """Start the grace period when the store answers after an outage."""
        if self.is_store_down:
            self.is_store_down = False
            self.grace_until = now + LAPSE_GRACE_S

    def replace(self, entries: Iterable[UpstreamEntry], now: float) -> None:
        """Replace the list with one that was read in full."""
        listed = {entry.name: entry for entry in entries}
        for name in self.listed.keys() - listed.keys():
            self.drop(name, now)
        for entry in listed.values():
            self.change(entry)

    def change(self, entry: UpstreamEntry) -> None:
        """Add or update one entry, unless it is older than what is known."""
        if self.is_outdated(entry):
            return
        self.missing.discard(entry.name)
        self.removed.pop(entry.name, None)
        self.misdirected_at.pop(entry.name, None)
        self.listed[entry.name] = entry

    def is_outdated(self, entry: UpstreamEntry) -> bool:
        """Check whether an entry is older than one that was seen before.

        :returns: False if the upstream has started anew, or states no sequence.
        """
        known = self.listed.get(entry.name)
        former = known or self.removed.get(entry.name)
        if former is None or former.started_ms != entry.started_ms:
            return False
        if entry.sequence is None or former.sequence is None:
            return False
        if known is None:
            # Once removed, the upstream must have reported since.
            return entry.sequence <= former.sequence
        return entry.sequence < former.sequence

    def forget(self, name: str) -> None:
        """Remove an entry, and remember what it said last."""
        self.removed.pop(name, None)
        self.removed[name] = self.listed.pop(name)
        self.missing.discard(name)
        self.misdirected_at.pop(name, None)
        if len(self.removed) > MAX_REMOVED:
            self.removed.pop(next(iter(self.removed)))

    def drop(self, name: str, now: float) -> None:
        """Remove one entry, or mark it as missing in the grace period.

        An upstream that is leaving gets no grace. While the store does not
        answer this node, a peer reports the removal, for which the outage may
        have just ended: a grace period begins with it.
        """
        entry = self.listed.get(name)
        if entry is None:
            return
        if self.is_store_down:
            self.grace_until = max(self.grace_until, now + LAPSE_GRACE_S)
        if entry.leaving or now >= self.grace_until:
            self.forget(name)
            return
        self.missing.add(name)

    def expire(self, now: float) -> list[str]:
        """Remove the entries that are still missing after the grace period.

        :returns: the removed names.
        """
        if not self.missing or now < self.grace_until:
            return []
        expired = sorted(self.missing)
        for name in expired:
            self.forget(name)
        return expired


def make_upstream_list() -> UpstreamList:
    """Create an empty list.

    :returns: the list.
    """
    return UpstreamList()
