"""Measure how costs grow with size, as input to docs/CAPACITY.md."""

import json
import random
import tempfile
import time
from functools import partial
from pathlib import Path

from bench.demand import PROFILES
from bench.figures import emit
from bench.processes import measure_cpu_s, read_cpu_s, read_resident_mb
from comfreyarch_core import frames
from comfreyarch_core.balancer import Balancer
from comfreyarch_core.checking import check
from comfreyarch_core.configset import RawSet
from comfreyarch_core.coordinator import make_coordinator
from comfreyarch_core.coordinatormessages import Propose, ToRank
from comfreyarch_core.limits import Demand, QuotaAllocator
from comfreyarch_core.loads import Report, make_estimator
from comfreyarch_core.mapmessages import (
    Decided,
    Prepared,
    Promised,
    RankState,
)
from comfreyarch_core.revisions import Delta, Follower
from comfreyarch_core.routing import Peer, choose_subset, make_router
from comfreyarch_daemon.codec import decode, encode
from standins.fleetsetup import run_cli
from standins.launcher import (
    FLEET_KEY,
    Fleet,
    free_port,
    hash_token,
    http_request,
    wait_until,
)

IDLE_DURATION_S = 15.0
LINK_COUNTS = (8, 32, 96)
TEAM_COUNTS = (10, 100, 700)
UPSTREAM_COUNTS = (16, 160, 710)
RANK_COUNTS = (4, 16, 64)
US_PER_S = 1_000_000
MS_PER_S = 1000


def measure_frames() -> None:
    """Measure size and processor time of control frames."""
    heartbeat = frames.Beat(
        'side-x', 'f' * 16, 12345, queued=3, running=7, slots=16
    )
    for name, frame in (
        ('heartbeat', heartbeat),
        ('share ask', frames.ShareAsk('team-name', 3.5, 4)),
    ):
        packed = encode([frame])
        emit('slopes', name, 'size', 'bytes', len(packed))
        cpu_time_s = measure_cpu_s(partial(encode, [frame]), 5000)
        emit('slopes', name, 'writing', 'us', cpu_time_s * US_PER_S)
        cpu_time_s = measure_cpu_s(partial(decode, packed), 5000)
        emit('slopes', name, 'reading', 'us', cpu_time_s * US_PER_S)


def make_raw_set(teams: int, upstreams: int) -> RawSet:
    """Create a configuration of the given size."""
    return {
        'service_groups': {'g': {}},
        'teams': {
            f'team-{number}': {'token_sha256': hash_token(f'team-{number}')}
            for number in range(teams)
        },
        'upstreams': {
            f'up-{number}': {'group': 'g', 'availability_zone': 'z'}
            for number in range(upstreams)
        },
    }


def measure_configuration() -> None:
    """Measure the processor time of a change by size of the configuration."""
    for teams, upstreams in zip(TEAM_COUNTS, UPSTREAM_COUNTS, strict=True):
        raw = make_raw_set(teams, upstreams)
        size = f'{teams} teams, {upstreams} upstreams'
        emit('slopes', size, 'set', 'bytes', len(json.dumps(raw)))
        cpu_time_s = measure_cpu_s(partial(check, raw), 5)
        emit('slopes', size, 'check', 'ms', cpu_time_s * MS_PER_S)
        follower = Follower()
        follower.receive(1, raw, [])
        change = partial(apply_delta, follower, raw)
        cpu_time_s = measure_cpu_s(change, 5)
        emit('slopes', size, 'change put in force', 'ms', cpu_time_s * MS_PER_S)


def apply_delta(follower: Follower, raw: RawSet) -> None:
    """Apply the next revision as a delta."""
    puts: RawSet = {'teams': {'team-1': raw['teams']['team-1']}}
    delta = Delta(follower.revision + 1, 't', puts, {})
    follower.receive(0, None, [delta])


def measure_routing() -> None:
    """Measure the selection of a sidecar and of a subset by peer count."""
    for count in UPSTREAM_COUNTS:
        peers = [
            Peer(f's{number}', f'u{number}', 'g', f'z{number % 10}')
            for number in range(count)
        ]
        cpu_time_s = measure_cpu_s(partial(choose_subset, 'e', 'z1', peers), 20)
        emit('slopes', f'{count} peers', 'subset', 'ms', cpu_time_s * MS_PER_S)
    for count in (4, 16, 64):
        router = make_router(1)
        router.update_peers(
            [Peer(f's{index}', f'u{index}', 'g', 'z') for index in range(count)]
        )
        for index in range(count):
            router.record_heartbeat(
                frames.Beat(f's{index}', 'i', 1, slots=4), 0
            )
        cpu_time_s = measure_cpu_s(partial(router.choose, 'g', 7, 0), 3000)
        emit(
            'slopes',
            f'subset of {count}',
            'choice',
            'us',
            cpu_time_s * US_PER_S,
        )


def measure_limits() -> None:
    """Measure a quota request at the home entry by number of children."""
    for children in (4, 10, 34):
        allocator = QuotaAllocator(1000, 1000)
        request_one_share = partial(
            request_share, allocator, random.Random(1), children
        )
        cpu_time_s = measure_cpu_s(request_one_share, 3000)
        emit(
            'slopes', f'{children} children', 'ask', 'us', cpu_time_s * US_PER_S
        )


def request_share(
    allocator: QuotaAllocator, rng: random.Random, children: int
) -> None:
    """Request quota for a random child."""
    child = f'e{rng.randrange(children)}'
    allocator.handle(child, Demand(rng.random() * 90, 5), 0)


def measure_coordinator() -> None:
    """Count the orders of a takeover and a map change by group size.

    Measure the reports of the ranks as well.
    """
    for ranks in RANK_COUNTS:
        placement = [[rank] for rank in range(ranks)]
        group_coordinator = make_coordinator(1, ranks, placement)
        sent = group_coordinator.start(0)
        state = RankState(map_id='start', placement=placement)
        for rank in range(ranks):
            sent.extend(group_coordinator.handle(Promised(1, rank, state), 0))
        takeover = sum(isinstance(output, ToRank) for output in sent)
        sent = group_coordinator.handle(Propose('c', placement), 0)
        for rank in range(ranks):
            sent.extend(group_coordinator.handle(Prepared(1, rank, 'c'), 0))
        for rank in range(ranks):
            sent.extend(group_coordinator.handle(Decided(1, rank, 'c'), 0))
        orders = sum(isinstance(output, ToRank) for output in sent)
        size = f'{ranks} ranks'
        emit('slopes', size, 'takeover, orders sent', 'messages', takeover)
        emit('slopes', size, 'map change, orders sent', 'messages', orders)
    measure_reports()


def measure_reports() -> None:
    """Measure the size of a rank report and the time to handle it."""
    profile = PROFILES[2]
    for layers in (1, 20, 60):
        loads = {layer * 64 + 7: 12.345 for layer in range(layers)}
        report = frames.RankReport('g', 7, 123456, 51.5, 12, loads, 'map/12')
        packed = encode([report])
        size = f'{layers} layers'
        emit('slopes', size, 'rank report', 'bytes', len(packed))
        cpu_time_s = measure_cpu_s(partial(decode, packed), 500)
        emit(
            'slopes', size, 'rank report, reading', 'us', cpu_time_s * US_PER_S
        )
        experts = layers * 64
        placement = [
            [layer * 64 + rank for layer in range(layers)] for rank in range(64)
        ]
        estimator = make_estimator(
            placement, experts, profile.make_cost_model()
        )
        limits = profile.make_limits()
        balancer = Balancer(
            estimator,
            placement,
            limits,
            profile.price,
            profile.make_cost_model(),
        )
        handle_next_report = partial(handle_report, balancer, loads)
        cpu_time_s = measure_cpu_s(handle_next_report, 500)
        emit('slopes', size, 'rank report, taking', 'us', cpu_time_s * US_PER_S)


def handle_report(balancer: Balancer, loads: dict[int, float]) -> None:
    """Pass the next report of a rank to a balancer."""
    step = balancer.estimator.views[7].step + 1
    balancer.handle(Report(7, step, 51.5, loads, 12), 0)


def measure_links() -> None:
    """Measure an idle entry by number of links."""
    for count in LINK_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            try:
                measure_entry(fleet, count)
            finally:
                fleet.close()


def measure_entry(fleet: Fleet, count: int) -> None:
    """Start an entry with ``count`` idle peers and measure it."""
    fleet.start_store()
    ports = {f'side-{number}': free_port() for number in range(count)}
    arguments = json.dumps({'ports': ports, 'key': FLEET_KEY})
    fleet.start_process('peers', 'standins.peers', arguments)
    instances = [
        {
            'node': name,
            'role': 'sidecar',
            'link': f'127.0.0.1:{port}',
            'operators': f'127.0.0.1:{port}',
            'availability_zone': 'z',
            'upstream': f'up-{name}',
        }
        for name, port in ports.items()
    ]
    http_request(fleet.store, 'POST', '/admin/instances', {'put': instances})
    config = fleet.folder / 'config.toml'
    toml_lines = ['[service_groups.g]']
    toml_lines += [
        f'[upstreams.up-{name}]\ngroup = "g"\navailability_zone = "z"'
        for name in ports
    ]
    config.write_text('\n'.join(toml_lines))
    run_cli(fleet, 'publish', str(config))
    node = fleet.add_node('entry-0', 'entry', 'z')
    process = fleet.start_node(node)
    wait_until(lambda: len(fleet.list_links(node)) >= count, 'all links', 60)
    time.sleep(3)
    pid = process.child.pid
    cpu_before_s, bytes_before = (
        read_cpu_s(pid),
        read_link_bytes(node.operators),
    )
    started_at = time.monotonic()
    time.sleep(IDLE_DURATION_S)
    elapsed_s = time.monotonic() - started_at
    size = f'{count} links'
    cpu_percent = (read_cpu_s(pid) - cpu_before_s) / elapsed_s * 100
    emit('slopes', size, 'idle entry, core', '%', cpu_percent, 4.4)
    link_kb_per_s = (
        (read_link_bytes(node.operators) - bytes_before) / elapsed_s / 1024
    )
    emit('slopes', size, 'idle entry, links', 'KB/s', link_kb_per_s, 15)
    emit(
        'slopes', size, 'idle entry, resident', 'MB', read_resident_mb(pid), 32
    )


def read_link_bytes(operators: int) -> float:
    """Return the bytes sent and received on all links.

    :returns: bytes since the start of the node.
    """
    _, page = http_request(operators, 'GET', '/metrics')
    return sum(
        float(line.split()[1])
        for line in page.decode().splitlines()
        if line.startswith('comfreyarch_link_bytes')
    )


def main() -> None:
    """Run all measurements."""
    measure_frames()
    measure_configuration()
    measure_routing()
    measure_limits()
    measure_coordinator()
    measure_links()


if __name__ == '__main__':
    main()
