"""Check what objects of a set say of one another."""

from collections.abc import Iterator

from comfreyarch_core import objects
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.faults import Fault

SHA256_HEX_LENGTH = 64
MOST_LISTED = 64


def missing(name: str, member: str, target: str) -> Fault:
    """Make the fault of a reference to nothing.

    :returns: the fault.
    """
    remedy = f'define {target} or name another'
    message = f'refers to no {target}'
    return Fault('', name, member, message, remedy, target)


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
        odd = sorted(placed ^ wanted)[:MOST_LISTED]
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
                yield missing(
                    place,
                    'group',
                    f'model_groups.{upstream.group}',
                )
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
