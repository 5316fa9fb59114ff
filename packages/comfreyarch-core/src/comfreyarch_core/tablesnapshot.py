"""Split a table's snapshot into messages and assemble it again.

A snapshot holds the whole table, since rows that were removed long ago are no
longer known one by one.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Represent one of the messages of a snapshot.

    :param table: name of the table.
    :param version: version of the store up to which the snapshot is complete.
    :param count: number of parts.
    :param index: position of this part, from 0.
    """

    table: str
    version: int
    count: int
    index: int
    content: bytes


@dataclass(slots=True)
class SnapshotAssembler:
    """Assemble the snapshots of one peer; only the newest of a table is kept.

    :param parts: received parts by index, by table.
    """

    parts: dict[str, dict[int, SnapshotPart]] = field(default_factory=dict)

    def add(self, part: SnapshotPart) -> bytes | None:
        """Add a part, in any order and any number of times.

        :returns: the snapshot once it is complete, else None.
        """
        parts = self.parts.setdefault(part.table, {})
        if parts:
            known = next(iter(parts.values()))
            if part.version < known.version:
                return None
            if (part.version, part.count) != (known.version, known.count):
                parts.clear()
        parts[part.index] = part
        if len(parts) < part.count:
            return None
        self.parts.pop(part.table)
        return b''.join(parts[index].content for index in range(part.count))


def split_snapshot(
    table: str, version: int, content: bytes, max_bytes: int
) -> list[SnapshotPart]:
    """Split an encoded snapshot.

    :param max_bytes: limit on the content of a part.
    :returns: the parts in order, at least one.
    """
    starts = range(0, max(1, len(content)), max_bytes)
    return [
        SnapshotPart(
            table, version, len(starts), index, content[at : at + max_bytes]
        )
        for index, at in enumerate(starts)
    ]


def make_snapshot_assembler() -> SnapshotAssembler:
    """Create the assembler for one peer's snapshots.

    :returns: an empty assembler.
    """
    return SnapshotAssembler()
