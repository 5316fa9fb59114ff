"""Pass the content of tables on to peers that the store does not answer."""

import zlib
from collections.abc import Callable
from typing import Any

import cbor2

from comfreyarch_core.tablefreshness import Confirmation
from comfreyarch_core.tablesnapshot import (
    SnapshotAssembler,
    SnapshotPart,
    make_snapshot_assembler,
    split_snapshot,
)
from comfreyarch_core.tabletracker import TableRow, TableState

# Tags of the messages that request a table and that hold part of it.
TABLE_REQUEST = 'table-request'
TABLE_PART = 'table-part'
# A lost part costs the whole snapshot, but few small parts are lost.
MAX_PART_BYTES = 16_384
COMPRESSION_LEVEL = 1


class TableRelay:
    """Request tables from peers and put their answers together.

    :param send: sends a message to an address; it may be lost.
    :param assemblers: by address of the peer.
    """

    __slots__ = ('assemblers', 'send')

    def __init__(self, send: Callable[[list[Any], str], object]) -> None:
        """Prepare without peers."""
        self.send = send
        self.assemblers: dict[str, SnapshotAssembler] = {}

    def request(self, table: str, known: int, address: str) -> None:
        """Request a table from a peer.

        :param known: version of the store up to which it is known here.
        """
        self.send([TABLE_REQUEST, table, known], address)

    def send_table(
        self,
        table: str,
        state: TableState,
        confirmation: Confirmation,
        address: str,
    ) -> None:
        """Send a whole table to a peer.

        :param confirmation: age of the table.
        """
        rows = [[row.key, row.content, row.version] for row in state.rows]
        encoded = cbor2.dumps([confirmation.age_s, rows])
        content = zlib.compress(encoded, COMPRESSION_LEVEL)
        for part in split_snapshot(
            table, state.version, content, MAX_PART_BYTES
        ):
            position = [part.version, part.count, part.index]
            self.send([TABLE_PART, table, position, part.content], address)

    def receive_part(
        self, message: list[Any], address: str
    ) -> tuple[TableState, float] | None:
        """Add a part of a table.

        :returns: the table and its age in seconds once it is complete.
        :raises ValueError: if the message is malformed.
        """
        part = decode_part(message)
        assembler = self.assemblers.setdefault(
            address, make_snapshot_assembler()
        )
        content = assembler.add(part)
        if content is None:
            return None
        self.assemblers.pop(address)
        age_s, rows = cbor2.loads(zlib.decompress(content))
        table_rows = tuple(
            TableRow(str(key), bytes(row_content), int(version))
            for key, row_content, version in rows
        )
        return TableState(table_rows, part.version), float(age_s)


def decode_part(message: list[Any]) -> SnapshotPart:
    """Decode a part of a table.

    :returns: the part.
    :raises ValueError: if it is malformed.
    """
    _tag, table, position, content = message
    if not all(isinstance(number, int) for number in position):
        raise ValueError('part of a table has no valid version and position')
    version, count, index = position
    if not 0 <= index < count or not isinstance(content, bytes):
        raise ValueError('part of a table has no valid position and content')
    return SnapshotPart(str(table), version, count, index, content)


def decode_request(message: list[Any]) -> tuple[str, int]:
    """Decode a request for a table.

    :returns: name of the table and the version known to the peer.
    :raises ValueError: if it is malformed.
    """
    _tag, table, known = message
    if not isinstance(known, int):
        raise ValueError('request for a table has no valid version')
    return str(table), known
