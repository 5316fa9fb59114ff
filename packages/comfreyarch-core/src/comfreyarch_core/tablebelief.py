"""Follow one table of the store and never go back.

The whole table is read once, then only changes are awaited. Reads may be
stale and history may be lost; a row is taken only if it is newer than what
is known, and a whole read only if it is not older than the last one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Removed keys that are remembered.
MOST_GONE = 1000


@dataclass(frozen=True, slots=True)
class TableRow:
    """Hold one row.

    :param version: the store's version at which it was written.
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class TableState:
    """Hold rows of one table as of a version of the store."""

    rows: tuple[TableRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """Tell what a reading changed.

    :param rows: new and changed rows, oldest first.
    :param removed: keys that are gone.
    """

    rows: tuple[TableRow, ...]
    removed: tuple[str, ...]


@dataclass(slots=True)
class TableBelief:
    """Hold what is known of a table.

    :param version: the store's version up to which changes are known.
    :param rows: versions of the known rows, by key.
    :param gone: versions at which lately removed keys went.
    :param whole: a whole reading is needed before changes can be awaited.
    """

    version: int = -1
    rows: dict[str, int] = field(default_factory=dict)
    gone: dict[str, int] = field(default_factory=dict)
    whole: bool = True

    def read(self, state: TableState) -> Change | None:
        """Take a whole reading.

        :returns: what changed, or None for a stale reading.
        """
        if state.version < self.version:
            return None
        self.whole = False
        self.version = state.version
        present = {row.key for row in state.rows}
        removed = tuple(sorted(self.rows.keys() - present))
        for key in removed:
            self.remove(key, state.version)
        return Change(self.newer(state.rows), removed)

    def changed(self, state: TableState) -> Change:
        """Take changes.

        :returns: what is new in them.
        """
        self.version = max(self.version, state.version)
        newer = self.newer(state.rows)
        removed = tuple(row.key for row in newer if row.removed)
        for key in removed:
            self.remove(key, self.rows[key])
        return Change(tuple(row for row in newer if not row.removed), removed)

    def remove(self, key: str, version: int) -> None:
        """Forget a key, but not that it went: older rows may come late."""
        self.rows.pop(key, None)
        self.gone.pop(key, None)
        self.gone[key] = version
        if len(self.gone) > MOST_GONE:
            self.gone.pop(next(iter(self.gone)))

    def history_lost(self) -> None:
        """Note that changes since the last version cannot be had."""
        self.whole = True

    def newer(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Keep the rows that are newer than what is known.

        :returns: the last row of each key, in order.
        """
        kept: dict[str, TableRow] = {}
        for row in rows:
            known = self.rows.get(row.key, self.gone.get(row.key, -1))
            if row.version > known:
                self.rows[row.key] = row.version
                kept.pop(row.key, None)
                kept[row.key] = row
        return tuple(kept.values())


def make_table_belief() -> TableBelief:
    """Make a belief that knows nothing.

    :returns: the belief.
    """
    return TableBelief()
