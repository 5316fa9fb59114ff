"""Track the versions of one store table, which never decrease.

Versions are positions of the store, which rise even if it is restored from an
older copy (``storeposition``).

The table is read in full once, then its changes are long-polled. Reads
may be stale and the store may lose its change history. A row is therefore
accepted only if it is newer than its known version, and a full read only if
it is not older than the table's known version.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyarch_core.storeposition import era_of

# Tombstones kept; the oldest are dropped first.
MAX_TOMBSTONES = 1000


@dataclass(frozen=True, slots=True)
class TableRow:
    """Represent a row of a table.

    :param version: the store's version at which the row was written.
    :param removed: whether the row is a removal.
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class TableState:
    """Hold the rows that one read of a table returned.

    :param version: the store's version at the time of the read.
    """

    rows: tuple[TableRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """Changes that a read revealed.

    :param rows: new and changed rows, oldest first.
    :param removed: keys of removed rows.
    :param removed_by: position of the store by which they were removed.
    """

    rows: tuple[TableRow, ...]
    removed: tuple[str, ...]
    removed_by: int = 0


@dataclass(slots=True)
class TableTracker:
    """Track the known row versions of a table.

    :param version: the store's version up to which changes are known.
    :param floor: version of the latest known change, or of the last full read
        if that is later: it may have missed rows that were removed before.
    :param rows: the known rows, by key.
    :param tombstones: versions at which recently removed keys were removed.
    :param needs_full_read: whether the table must be read in full before
        changes can be polled.
    """

    version: int = -1
    floor: int = -1
    rows: dict[str, TableRow] = field(default_factory=dict)
    tombstones: dict[str, int] = field(default_factory=dict)
    needs_full_read: bool = True

    def is_restored(self, state: TableState) -> bool:
        """Check whether the store was restored since the last read.

        :returns: False for the first read.
        """
        return self.version >= 0 and era_of(state.version) > era_of(
            self.version
        )

    def read(self, state: TableState) -> Change | None:
        """Apply a full read.

        :returns: the changes, or None if the read is stale.
        """
        if state.version < self.version:
            return None
        self.needs_full_read = False
        self.version = state.version
        self.floor = state.version
        present = {row.key for row in state.rows}
        removed = tuple(sorted(self.rows.keys() - present))
        for key in removed:
            self.remove(key, state.version)
        return Change(self.accept_newer(state.rows), removed, state.version)

    def changed(self, state: TableState) -> Change:
        """Apply a response to the long poll for changes.

        :returns: those that are newer than the known versions.
        """
        self.version = max(self.version, state.version)
        newer = self.accept_newer(state.rows)
        removed = [row for row in newer if row.removed]
        for removal in removed:
            self.remove(removal.key, removal.version)
        return Change(
            tuple(row for row in newer if not row.removed),
            tuple(row.key for row in removed),
            max((row.version for row in removed), default=0),
        )

    def remove(self, key: str, version: int) -> None:
        """Remove a key and keep a tombstone.

        A stale read may return an older row of the key later, which the
        tombstone rejects.
        """
        self.rows.pop(key, None)
        self.tombstones.pop(key, None)
        self.tombstones[key] = version
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.pop(next(iter(self.tombstones)))

    def mark_history_lost(self) -> None:
        """Require a full read: the store lost changes since the version."""
        self.needs_full_read = True

    def known_version(self, key: str) -> int:
        """Return the version at which a row was written or removed.

        :returns: -1 for an unknown row.
        """
        row = self.rows.get(key)
        if row is not None:
            return row.version
        return self.tombstones.get(key, -1)

    def known_change(self) -> Change:
        """Return all that is known as one change, for a repeated delivery.

        :returns: the known rows, and the keys of recently removed ones.
        """
        return Change(
            tuple(self.rows.values()), tuple(self.tombstones), self.version
        )

    def snapshot(self) -> TableState:
        """Return the whole table as it is known.

        :returns: its rows.
        """
        return TableState(tuple(self.rows.values()), self.version)

    def accept_newer(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Record the versions of the rows that are newer than the known ones.

        :returns: the last accepted row of each key, in order.
        """
        accepted: dict[str, TableRow] = {}
        for row in rows:
            if row.version > self.known_version(row.key):
                self.rows[row.key] = row
                self.floor = max(self.floor, row.version)
                accepted.pop(row.key, None)
                accepted[row.key] = row
        return tuple(accepted.values())


def make_table_tracker() -> TableTracker:
    """Create the tracker of a table that has not been read.

    :returns: the tracker.
    """
    return TableTracker()
