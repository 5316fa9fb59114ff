"""Read raw configuration tables and check the whole set as one."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from comfreyarch_core import objects

RawSet = dict[str, dict[str, dict[str, Any]]]
SHA256_HEX_LENGTH = 64


@dataclass(frozen=True, slots=True)
class Fault:
    """Point at one fault of a set and say how to mend it."""

    file: str
    object: str
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Show the fault in one line.

        :returns: place, message and remedy.
        """
        place = f'{self.file}: {self.object}.{self.field}'
        return f'{place}: {self.message}; {self.remedy}'


@dataclass(frozen=True, slots=True)
class ConfigSet:
    """Hold a whole typed configuration, each kind by name."""

    model_groups: dict[str, objects.ModelGroup] = field(default_factory=dict)
    expert_maps: dict[str, objects.ExpertMap] = field(default_factory=dict)
    service_groups: dict[str, objects.ServiceGroup] = field(
        default_factory=dict,
    )
    upstreams: dict[str, objects.Upstream] = field(default_factory=dict)
    teams: dict[str, objects.Team] = field(default_factory=dict)
    routes: dict[str, objects.Route] = field(default_factory=dict)
    objectives: dict[str, objects.Objective] = field(default_factory=dict)
    stops: dict[str, objects.Stop] = field(default_factory=dict)
    quarantines: dict[str, objects.Quarantined] = field(default_factory=dict)

    def pool_of(self, group: str) -> str:
        """Name the pool that requests of a group are routed over.

        :returns: the model, which several groups may serve, or the service
            group itself.
        """
        model_group = self.model_groups.get(group)
        return group if model_group is None else model_group.model


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
    faults = list(reader.faults)
    if not faults:
        faults.extend(reader.place(fault) for fault in references(config))
    return Checked(config, tuple(faults))


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


def missing(name: str, member: str, target: str) -> Fault:
    """Make the fault of a reference to nothing.

    :returns: the fault.
    """
    remedy = f'define {target} or name another'
    return Fault('', name, member, f'refers to no {target}', remedy)


def references(config: ConfigSet) -> Iterator[Fault]:
    """Yield the faults of references and of values that belong together."""
    yield from group_faults(config)
    yield from upstream_faults(config)
    yield from team_faults(config)
    yield from route_faults(config)
    yield from stop_faults(config)


def group_faults(config: ConfigSet) -> Iterator[Fault]:
    """Yield the faults of model groups and their expert maps."""
    for name, group in config.model_groups.items():
        place = f'model_groups.{name}'
        expert_map = config.expert_maps.get(group.expert_map)
        if expert_map is None:
            target = f'expert_maps.{group.expert_map}'
            yield missing(place, 'expert_map', target)
        elif len(expert_map.placement) != group.ranks:
            yield Fault(
                '',
                place,
                'ranks',
                f'map places {len(expert_map.placement)} ranks',
                'give the map one list a rank',
            )
        if group.ranks < 1 or group.slots < 1:
            yield Fault('', place, 'ranks', 'below 1', 'use 1 or more')
    for name, expert_map in config.expert_maps.items():
        yield from map_faults(f'expert_maps.{name}', expert_map)


def map_faults(place: str, expert_map: objects.ExpertMap) -> Iterator[Fault]:
    """Yield the faults of one expert map."""
    placed = {one for rank in expert_map.placement for one in rank}
    wanted = set(range(expert_map.experts))
    if expert_map.experts % max(1, expert_map.layers):
        remedy = 'give every layer the same number'
        yield Fault('', place, 'layers', 'does not divide experts', remedy)
    if placed != wanted:
        odd = sorted(placed ^ wanted)[:SHA256_HEX_LENGTH]
        yield Fault(
            '',
            place,
            'placement',
            f'experts unplaced or unknown: {odd}',
            f'place each of 0 to {expert_map.experts - 1} once or more',
        )


def upstream_faults(config: ConfigSet) -> Iterator[Fault]:
    """Yield the faults of upstreams."""
    seats: dict[tuple[str, int], str] = {}
    for name, upstream in config.upstreams.items():
        place = f'upstreams.{name}'
        group = config.model_groups.get(upstream.group)
        if group is None:
            if upstream.group not in config.service_groups:
                yield missing(place, 'group', f'group {upstream.group}')
            continue
        if not 0 <= upstream.rank < group.ranks:
            remedy = f'use 0 to {group.ranks - 1}'
            yield Fault('', place, 'rank', 'outside the group', remedy)
        seat = (upstream.group, upstream.rank)
        if seat in seats:
            message = f'rank already taken by {seats[seat]}'
            yield Fault('', place, 'rank', message, 'use a free rank')
        seats[seat] = name


def team_faults(config: ConfigSet) -> Iterator[Fault]:
    """Yield the faults of teams."""
    hashes: dict[str, str] = {}
    for name, team in config.teams.items():
        place = f'teams.{name}'
        if len(team.token_sha256) != SHA256_HEX_LENGTH:
            remedy = 'give the SHA-256 of the token in hex'
            yield Fault('', place, 'token_sha256', 'not a SHA-256', remedy)
        other = hashes.setdefault(team.token_sha256, name)
        if other != name:
            message = f'same token as {other}'
            yield Fault('', place, 'token_sha256', message, 'use another')
        if min(team.rate, team.concurrency, team.weight) <= 0:
            yield Fault(
                '', place, 'rate', 'a limit is not positive', 'raise it'
            )


def route_faults(config: ConfigSet) -> Iterator[Fault]:
    """Yield the faults of routes and objectives."""
    for name, route in config.routes.items():
        place = f'routes.{name}'
        if route.group not in config.service_groups:
            yield missing(place, 'group', f'service_groups.{route.group}')
        if not route.prefix.startswith('/'):
            remedy = 'begin the prefix with /'
            yield Fault('', place, 'prefix', 'not a path', remedy)
    for name, objective in config.objectives.items():
        place = f'objectives.{name}'
        if not 0 < objective.target < 1:
            remedy = 'use a share between 0 and 1'
            yield Fault('', place, 'target', 'not a share', remedy)


def stop_faults(config: ConfigSet) -> Iterator[Fault]:
    """Yield the faults of planned stops."""
    for name, stop in config.stops.items():
        place = f'stops.{name}'
        if bool(stop.upstream) == bool(stop.entry):
            remedy = 'name either an upstream or an entry'
            yield Fault('', place, 'upstream', 'not one target', remedy)
        if stop.upstream and stop.upstream not in config.upstreams:
            yield missing(place, 'upstream', f'upstreams.{stop.upstream}')
