"""Set up the fleets of the demo, the tests and the benchmarks."""

from collections.abc import Iterable
from pathlib import Path

from standins.launcher import ZONES, Fleet, hash_token

TEAMS = ('senhorios', 'estudantes', 'enfermeiras', 'sazonais')
MODEL_GROUP = 'redator'
SERVICE_GROUP = 'balcao'
# The engines' default ``token_ms``. Their time per token on a rank is this
# multiplied by the number of ranks, and the configuration must match.
TOKEN_MS_PER_RANK = 0.1
# Team with a low concurrency limit, for tests of the limit.
LIMITED_TEAM = 'limitada'
LIMITED_TEAM_CONCURRENCY = 10


def make_placement(ranks: int, experts_per_rank: int) -> list[list[int]]:
    """Distribute experts evenly.

    :returns: the experts of each rank.
    """
    return [
        list(range(rank * experts_per_rank, (rank + 1) * experts_per_rank))
        for rank in range(ranks)
    ]


def format_config(
    ranks: int,
    services: int,
    teams: Iterable[str] = TEAMS,
    slots: int = 16,
) -> str:
    """Return a configuration with one model group and one service group.

    :param ranks: number of ranks, one upstream each.
    :param services: number of upstreams of the service group.
    :returns: the configuration as TOML.
    """
    placement = make_placement(ranks, 2)
    sections = [
        f'[model_groups.{MODEL_GROUP}]\nmodel = "{MODEL_GROUP}"\n'
        f'ranks = {ranks}\n'
        f'expert_map = "{MODEL_GROUP}-start"\nslots = {slots}\ndecide_s = 1\n'
        f'base_ms = 2\ntoken_ms = {TOKEN_MS_PER_RANK * ranks}\n'
        'request_ms = 0.01\n'
        'move_price_ms = 50\n',
        f'[expert_maps.{MODEL_GROUP}-start]\nexperts = {ranks * 2}\n'
        f'placement = {placement}\nspare_slots = 1\n',
        f'[service_groups.{SERVICE_GROUP}]\nslots = {slots}\n',
        f'[routes.reservas]\ngroup = "{SERVICE_GROUP}"\n'
        'prefix = "/reservations"\n'
        'idempotent = false\n',
        f'[routes.quartos]\ngroup = "{SERVICE_GROUP}"\nprefix = "/rooms"\n',
        f'[objectives.primeiro]\ngroup = "{MODEL_GROUP}"\nwithin_s = 0.95\n',
    ]
    for rank in range(ranks):
        zone = ZONES[rank % len(ZONES)]
        sections.append(
            f'[upstreams.{MODEL_GROUP}-{rank}]\ngroup = "{MODEL_GROUP}"\n'
            f'rank = {rank}\n'
            f'availability_zone = "{zone}"\n',
        )
    for number in range(services):
        zone = ZONES[number % len(ZONES)]
        sections.append(
            f'[upstreams.{SERVICE_GROUP}-{number}]\ngroup = "{SERVICE_GROUP}"\n'
            f'availability_zone = "{zone}"\n',
        )
    sections.append(
        f'[teams.{LIMITED_TEAM}]\ntoken_sha256 = "{hash_token(LIMITED_TEAM)}"\n'
        f'rate = 1000\nconcurrency = {LIMITED_TEAM_CONCURRENCY}\n',
    )
    for team in teams:
        sections.append(
            f'[teams.{team}]\ntoken_sha256 = "{hash_token(team)}"\n'
            'rate = 2000\nconcurrency = 500\n',
        )
    return '\n'.join(sections)


def make_fleet(
    folder: Path,
    ranks: int = 4,
    services: int = 2,
    entries: int = 2,
    step_ms: float = 2,
) -> Fleet:
    """Start the stand-ins and add all nodes without starting them.

    :returns: the fleet, which the caller must close.
    """
    fleet = Fleet(folder)
    fleet.start_store()
    if ranks:
        fleet.start_engines(make_placement(ranks, 2), step_ms)
    for number in range(services):
        fleet.start_ledger(f'ledger-{number}')
    for rank in range(ranks):
        zone = ZONES[rank % len(ZONES)]
        name = f'{MODEL_GROUP}-{rank}'
        port = fleet.engines[rank]
        fleet.add_node(f'side-{name}', 'sidecar', zone, name, port)
    for number in range(services):
        zone = ZONES[number % len(ZONES)]
        name = f'{SERVICE_GROUP}-{number}'
        port = fleet.ledgers[number]
        fleet.add_node(f'side-{name}', 'sidecar', zone, name, port)
    for number in range(entries):
        zone = ZONES[number % len(ZONES)]
        fleet.add_node(f'entry-{number}', 'entry', zone)
    return fleet


def start_nodes(
    fleet: Fleet,
    ranks: int = 4,
    services: int = 2,
    slots: int = 16,
) -> None:
    """Start all nodes, publish the configuration and wait for readiness."""
    config = fleet.folder / 'config.toml'
    config.write_text(format_config(ranks, services, slots=slots))
    for node in fleet.nodes.values():
        fleet.start_node(node)
    run_cli(fleet, 'publish', str(config))
    fleet.wait_ready()


def run_cli(fleet: Fleet, *arguments: str) -> str:
    """Run a command of the operators' command line.

    :returns: its standard output.
    :raises subprocess.CalledProcessError: if it fails.
    """
    return fleet.run_module(
        'comfreyarch_cli',
        *arguments,
        '--store',
        f'http://127.0.0.1:{fleet.store}',
    )
