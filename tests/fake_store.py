"""Provide an in-memory table service with scripted write outcomes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from comfreyarch_daemon.store import (
    Ambiguous,
    Instance,
    Put,
    StoreError,
    TableRow,
    Unavailable,
    VersionConflict,
    WriteOutcome,
    Written,
)


@dataclass
class FakeStore:
    """Fake the client of the table service.

    :param rows: version and content by table and key.
    :param write_outcomes: outcomes of the next writes, in order. ``ok`` is
        the default. ``down`` refuses the write, ``lost`` loses the request,
        ``late`` delays its effect until ``apply_late_writes``, and
        ``lost answer`` applies it but loses the response.
    :param late_writes: delayed writes that have no effect yet.
    :param up: whether the service answers at all.
    :param on_read: called before each read of a row.
    :param listed: the instance list.
    """

    rows: dict[tuple[str, str], tuple[int, Any]] = field(default_factory=dict)
    write_outcomes: list[str] = field(default_factory=list)
    late_writes: list[list[Put]] = field(default_factory=list)
    up: bool = True
    on_read: Callable[[], object] = lambda: None
    listed: list[Instance] = field(default_factory=list)

    def read(self, table: str, key: str) -> TableRow:
        self.on_read()
        if not self.up:
            raise StoreError('store is down')
        version, content = self.rows.get((table, key), (0, None))
        return TableRow(key, version, content)

    def scan(self, table: str, prefix: str = '', after: str = '') -> list:
        if not self.up:
            raise StoreError('store is down')
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        return [TableRow(key, *self.rows[table, key]) for key in keys]

    def instances(self) -> list[Instance]:
        if not self.up:
            raise StoreError('store is down')
        return self.listed

    def transact(self, puts: list[Put]) -> WriteOutcome:
        write_outcome = (
            self.write_outcomes.pop(0) if self.write_outcomes else 'ok'
        )
        if write_outcome == 'down' or not self.up:
            return Unavailable('down')
        if write_outcome == 'lost':
            return Ambiguous('lost')
        if write_outcome == 'late':
            self.late_writes.append(puts)
            return Ambiguous('late')
        outcome = self.apply(puts)
        return Ambiguous('lost') if write_outcome == 'lost answer' else outcome

    def apply_late_writes(self) -> None:
        while self.late_writes:
            self.apply(self.late_writes.pop())

    def apply(self, puts: list[Put]) -> WriteOutcome:
        conflicts = {
            put.key: TableRow(
                put.key, *self.rows.get((put.table, put.key), (0, None))
            )
            for put in puts
            if self.rows.get((put.table, put.key), (0, None))[0] != put.expected
        }
        if conflicts:
            return VersionConflict(conflicts)
        for put in puts:
            self.rows[put.table, put.key] = (put.expected + 1, put.content)
        return Written({put.key: put.expected + 1 for put in puts})

    def close(self) -> None:
        return None
