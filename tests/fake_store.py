"""Be the platform's table in memory, with a fate for each write."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from comfreyarch_daemon.store import (
    Ambiguous,
    Clash,
    Instance,
    Put,
    StoreError,
    TableRow,
    Unavailable,
    WriteOutcome,
    Written,
)


@dataclass
class FakeStore:
    """Hold rows; ``fates`` are taken by the next writes in order."""

    rows: dict[tuple[str, str], tuple[int, Any]] = field(default_factory=dict)
    fates: list[str] = field(default_factory=list)
    late: list[list[Put]] = field(default_factory=list)
    up: bool = True
    on_read: Callable[[], object] = lambda: None
    listed: list[Instance] = field(default_factory=list)

    def read(self, table: str, key: str) -> TableRow:
        self.on_read()
        if not self.up:
            raise StoreError('down')
        version, content = self.rows.get((table, key), (0, None))
        return TableRow(key, version, content)

    def scan(self, table: str, prefix: str = '', after: str = '') -> list:
        if not self.up:
            raise StoreError('down')
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        return [TableRow(key, *self.rows[table, key]) for key in keys]

    def instances(self) -> list[Instance]:
        if not self.up:
            raise StoreError('down')
        return self.listed

    def transact(self, puts: list[Put]) -> WriteOutcome:
        fate = self.fates.pop(0) if self.fates else 'ok'
        if fate == 'down' or not self.up:
            return Unavailable('down')
        if fate == 'lost':
            return Ambiguous('lost')
        if fate == 'late':
            self.late.append(puts)
            return Ambiguous('late')
        outcome = self.effect(puts)
        return Ambiguous('lost') if fate == 'lost answer' else outcome

    def release_late(self) -> None:
        while self.late:
            self.effect(self.late.pop())

    def effect(self, puts: list[Put]) -> WriteOutcome:
        clashes = {
            put.key: TableRow(
                put.key, *self.rows.get((put.table, put.key), (0, None))
            )
            for put in puts
            if self.rows.get((put.table, put.key), (0, None))[0] != put.expected
        }
        if clashes:
            return Clash(clashes)
        for put in puts:
            self.rows[put.table, put.key] = (put.expected + 1, put.content)
        return Written({put.key: put.expected + 1 for put in puts})

    def close(self) -> None:
        return None
