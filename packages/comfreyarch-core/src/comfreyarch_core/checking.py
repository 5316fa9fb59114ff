"""Parse raw configuration tables and validate the whole set at once."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from comfreyarch_core import objects
from comfreyarch_core.configset import ConfigSet, RawSet
from comfreyarch_core.faults import Fault
from comfreyarch_core.references import check_references


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a check: the typed configuration and its faults."""

    config: ConfigSet
    faults: tuple[Fault, ...]


def check(raw: RawSet, files: Mapping[str, str] | None = None) -> CheckResult:
    """Check every object of a raw set, then the references between them.

    :param raw: tables by kind, then by object name.
    :param files: the file that defines each ``kind.name``, for the faults.
    :returns: the typed set and all faults, not only the first.
    """
    reader = SetReader(files or {})
    config = reader.read(raw)
    rejected = rejected_names(raw, config)
    reference_faults = (
        reader.add_file(fault)
        for fault in check_references(config)
        if fault.target not in rejected
    )
    return CheckResult(config, (*reader.faults, *reference_faults))


def rejected_names(raw: RawSet, config: ConfigSet) -> set[str]:
    """List the objects that are defined but invalid.

    A reference to one of them is not reported, since the object's own fault
    already is.

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
    """Convert raw tables to typed objects and collect the faults."""

    __slots__ = ('faults', 'files')

    def __init__(self, files: Mapping[str, str]) -> None:
        """Start without faults.

        :param files: the file that defines each ``kind.name``.
        """
        self.files = files
        self.faults: list[Fault] = []

    def add_file(self, fault: Fault) -> Fault:
        """Add the name of the defining file to a fault.

        :returns: a copy with the file, ``(set)`` where it is unknown.
        """
        return Fault(
            self.files.get(fault.object, '(set)'),
            fault.object,
            fault.field,
            fault.message,
            fault.remedy,
            fault.target,
        )

    def add_fault(
        self,
        path: str,
        field_name: str,
        message: str,
        remedy: str,
    ) -> None:
        """Record one fault.

        :param path: the object as ``kind.name``.
        """
        self.faults.append(
            self.add_file(Fault('', path, field_name, message, remedy)),
        )

    def read(self, raw: RawSet) -> ConfigSet:
        """Convert the objects of all kinds.

        :returns: the set of valid objects.
        """
        config = ConfigSet()
        for kind, table in raw.items():
            if kind in objects.KINDS and isinstance(table, dict):
                getattr(config, kind).update(self.read_kind(kind, table))
                continue
            known = ', '.join(objects.KINDS)
            self.add_fault(
                kind,
                '*',
                f'unknown kind of object {kind!r}',
                f'use one of {known}',
            )
        return config

    def read_kind(
        self,
        kind: str,
        table: dict[str, Any],
    ) -> dict[str, objects.ConfigObject]:
        """Convert all objects of a kind.

        :returns: the valid ones by name.
        """
        valid: dict[str, objects.ConfigObject] = {}
        for name, raw in table.items():
            typed = self.read_object(f'{kind}.{name}', objects.KINDS[kind], raw)
            if typed is not None:
                valid[name] = typed
        return valid

    def read_object(
        self,
        path: str,
        object_type: type[objects.ConfigObject],
        raw: object,
    ) -> objects.ConfigObject | None:
        """Convert one object, field by field so that all faults are found.

        :param path: the object as ``kind.name``.
        :returns: the object, or None if it has a fault.
        """
        if not isinstance(raw, dict):
            self.add_fault(path, '*', 'not a table', 'write it as a TOML table')
            return None
        before = len(self.faults)
        fields = {
            struct_field.name: struct_field
            for struct_field in msgspec.structs.fields(object_type)
        }
        for unknown in raw.keys() - fields.keys():
            known = ', '.join(fields)
            self.add_fault(
                path,
                str(unknown),
                'unknown field',
                f'use one of {known}',
            )
        typed: dict[str, Any] = {}
        for field_name, field_info in fields.items():
            if field_name in raw:
                typed[field_name] = self.read_field(
                    path, field_info, raw[field_name]
                )
            elif field_info.required:
                self.add_fault(
                    path,
                    field_name,
                    'required field is missing',
                    f'set {field_name}',
                )
        return object_type(**typed) if len(self.faults) == before else None

    def read_field(
        self,
        path: str,
        field_info: msgspec.structs.FieldInfo,
        raw: object,
    ) -> object:
        """Convert the value of one field.

        :param path: the object as ``kind.name``.
        :returns: the typed value, or None if it is invalid.
        """
        try:
            return msgspec.convert(raw, field_info.type)
        except msgspec.ValidationError as error:
            self.add_fault(
                path, field_info.name, str(error), 'correct the type'
            )
        return None
