"""Read raw configuration tables and check the whole set as one."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from comfreyarch_core import objects
from comfreyarch_core.configset import ConfigSet, RawSet
from comfreyarch_core.faults import Fault
from comfreyarch_core.references import references


@dataclass(frozen=True, slots=True)
class Checked:
    """Hold the outcome of a check: the set, and its faults if any."""

    config: ConfigSet
    faults: tuple[Fault, ...]


def check(raw: RawSet, files: Mapping[str, str] | None = None) -> Checked:
    """Check a whole raw set: every object, then every reference.

    :param raw: tables by kind, then by object name.
    :param files: the file of each ``kind.name``, for the fault's place.
    :returns: the typed set and all faults at once.
    """
    reader = SetReader(files or {})
    config = reader.read(raw)
    unread = unread_names(raw, config)
    related = (
        reader.place(fault)
        for fault in references(config)
        if fault.target not in unread
    )
    return Checked(config, (*reader.faults, *related))


def unread_names(raw: RawSet, config: ConfigSet) -> set[str]:
    """List the objects that are there but could not be read.

    A reference to one of them is no fault of its own.

    :returns: each as ``kind.name``.
    """
    return {
        f'{kind}.{name}'
        for kind, table in raw.items()
        if kind in objects.KINDS and isinstance(table, dict)
        for name in table
        if name not in getattr(config, kind)
    }


class SetReader:
    """Turn raw tables into typed objects and collect the faults."""

    __slots__ = ('faults', 'files')

    def __init__(self, files: Mapping[str, str]) -> None:
        """Start with no fault.

        :param files: the file of each ``kind.name``.
        """
        self.files = files
        self.faults: list[Fault] = []

    def place(self, fault: Fault) -> Fault:
        """Add the file to a fault.

        :returns: the fault with its file.
        """
        return Fault(
            self.files.get(fault.object, '(set)'),
            fault.object,
            fault.field,
            fault.message,
            fault.remedy,
            fault.target,
        )

    def add(self, name: str, member: str, message: str, remedy: str) -> None:
        """Record one fault."""
        self.faults.append(self.place(Fault('', name, member, message, remedy)))

    def read(self, raw: RawSet) -> ConfigSet:
        """Read all kinds.

        :returns: the set of those objects that could be read.
        """
        config = ConfigSet()
        for kind, table in raw.items():
            if kind in objects.KINDS and isinstance(table, dict):
                getattr(config, kind).update(self.read_kind(kind, table))
                continue
            known = ', '.join(objects.KINDS)
            self.add(kind, '*', 'no such kind of object', f'use {known}')
        return config

    def read_kind(
        self,
        kind: str,
        table: dict[str, Any],
    ) -> dict[str, objects.Named]:
        """Read all objects of a kind.

        :returns: the readable ones by name.
        """
        found: dict[str, objects.Named] = {}
        for name, raw in table.items():
            typed = self.read_object(f'{kind}.{name}', objects.KINDS[kind], raw)
            if typed is not None:
                found[name] = typed
        return found

    def read_object(
        self,
        name: str,
        shape: type[objects.Named],
        raw: object,
    ) -> objects.Named | None:
        """Read one object, field by field so that all faults show.

        :returns: the object, or None after a fault.
        """
        if not isinstance(raw, dict):
            self.add(name, '*', 'not a table', 'write it as a TOML table')
            return None
        before = len(self.faults)
        fields = {one.name: one for one in msgspec.structs.fields(shape)}
        for member in raw.keys() - fields.keys():
            known = ', '.join(fields)
            self.add(name, str(member), 'unknown field', f'use {known}')
        given: dict[str, Any] = {}
        for member, described in fields.items():
            if member in raw:
                given[member] = self.read_field(name, described, raw[member])
            elif described.required:
                self.add(name, member, 'missing', f'set {member}')
        return shape(**given) if len(self.faults) == before else None

    def read_field(
        self,
        name: str,
        described: msgspec.structs.FieldInfo,
        raw: object,
    ) -> object:
        """Read one field.

        :returns: the typed value, or None after a fault.
        """
        try:
            return msgspec.convert(raw, described.type)
        except msgspec.ValidationError as error:
            self.add(name, described.name, str(error), 'correct the type')
        return None
