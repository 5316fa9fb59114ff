"""Test evacuations in the published configuration: checks, commands, roles."""

from unittest.mock import patch

import pytest
from fake_store import FakeStore
from test_configuration import VALID
from test_roles_configuration import UPSTREAM, make_node
from typer.testing import CliRunner

from comfreyarch_cli import changes, main
from comfreyarch_core.checking import check
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.frames import Beat
from comfreyarch_core.objects import (
    Evacuation,
    ExpertMap,
    ModelGroup,
    ServiceGroup,
    Upstream,
)
from comfreyarch_core.refusals import Kind, Ran
from comfreyarch_core.routing import Peer, make_router
from comfreyarch_daemon.attempts import Progress
from comfreyarch_daemon.entry import EntryRole
from comfreyarch_daemon.publishing import publish, read_current_config
from comfreyarch_daemon.requests import CallerRequest
from comfreyarch_daemon.sidecar import SidecarRole
from comfreyarch_daemon.store import Instance

ZONES = ('z0', 'z1', 'z2')


def evacuated(*zones):
    """Build the evacuations of a configuration."""
    return {zone: Evacuation(zone) for zone in zones}


def make_linked_router():
    """Create a router with two available sidecars in each zone."""
    router = make_router(1)
    router.update_peers(
        [
            Peer(f's{number}', f'u{number}', 'g', ZONES[number % 3])
            for number in range(6)
        ]
    )
    for number in range(6):
        beat = Beat(f's{number}', 'i', 1, slots=4, service_ms=50)
        router.record_heartbeat(beat, 0)
    return router


def chosen_zones(router):
    """Return the zones of sidecars chosen by load, by prompt or by key."""
    chosen = [router.choose('g', prefix, 0) for prefix in range(60)]
    chosen += [router.choose_keyed('g', str(key), 0) for key in range(60)]
    return {view.peer.availability_zone for view in chosen}


# Fails if an attempt is sent to a sidecar of an evacuated zone, by load, by prompt
# or by idempotency key.
def test_sidecars_of_evacuated_zones_get_no_attempt():
    router = make_linked_router()
    router.evacuated_zones = frozenset(('z0', 'z1'))
    assert chosen_zones(router) == {'z2'}
    router.evacuated_zones = frozenset(ZONES)
    assert router.choose('g', 1, 0) is None
    assert router.choose_keyed('g', 'key', 0) is None
    router.evacuated_zones = frozenset()
    assert chosen_zones(router) == set(ZONES)


def test_an_evacuation_names_a_zone():
    assert not check({'evacuations': {'z': {'availability_zone': 'z'}}}).faults
    (fault,) = check({'evacuations': {'z': {'availability_zone': ''}}}).faults
    assert fault.object == 'evacuations.z'
    assert check({'evacuations': {'z': {}}}).faults
    # A zone without an upstream is recorded.
    raw = {**VALID, 'evacuations': {'n': {'availability_zone': 'none'}}}
    result = check(raw)
    assert not result.faults
    assert result.config.evacuated_zones() == {'none'}


@pytest.fixture
def store():
    """Provide a store with a published configuration."""
    fake = FakeStore()
    publish(fake, read_current_config(fake), VALID)
    with patch.object(main, 'open_store', lambda _url: fake):
        yield fake


def run(*words):
    """Run a command that uses the store."""
    return CliRunner().invoke(main.app, [*words, '--store', 'http://x:1'])


def published(store):
    """Return the zones that are evacuated in the store's configuration."""
    return changes.list_evacuated(read_current_config(store).raw)


# Fails if a request changes another one, or a repeated one publishes anew.
def test_commands_request_show_and_end_evacuations(store):
    assert not run('evacuate', 'zone-a').exit_code
    assert not run('evacuate', 'zone-b').exit_code
    revision = read_current_config(store).revision
    assert 'nothing to change' in run('evacuate', 'zone-b').output
    assert read_current_config(store).revision == revision
    assert published(store) == ['zone-a', 'zone-b']
    assert 'evacuated zones: zone-a, zone-b' in run('status').output
    assert not run('evacuate', 'zone-a', '--end').exit_code
    assert published(store) == ['zone-b']
    assert 'nothing to change' in run('evacuate', 'zone-a', '--end').output
    assert not run('evacuate', 'zone-b', '--end').exit_code
    assert 'evacuated zones' not in run('status').output
    assert read_current_config(store).raw['teams'] == VALID['teams']


def test_an_evacuation_without_a_name_is_refused(store):
    assert run('evacuate', '').exit_code
    assert not published(store)


# Fails if publishing the files of the configuration ends an evacuation.
def test_published_files_keep_evacuations(store):
    run('evacuate', 'zone-a')
    current = read_current_config(store).raw
    assert changes.preserve_system_kinds(VALID, current) == current


def test_the_status_tells_an_evacuated_sidecar():
    page = {
        'role': 'sidecar',
        'revision': 1,
        'ready': False,
        'leaving': True,
        'zone_evacuated': True,
        'running': 2,
        'queued': 0,
    }
    row = main.status_row('s', page)
    assert row == ('s', 'sidecar', 1, 'evacuated', '2 running, 0 queued')


def make_entry(count):
    """Create an entry with sidecars of a model in three zones."""
    node = make_node('entry')
    role = EntryRole(node)
    node.attach(role)
    config = make_config(count)
    role.apply_config(config)
    role.update_instances(
        [
            Instance(
                f's{number}',
                'sidecar',
                f'127.0.0.1:{number + 1}',
                '',
                ZONES[number % 3],
                upstream=f'u{number}',
            )
            for number in range(count)
        ]
    )
    return role


def make_config(count, *zones):
    """Create the configuration of such an entry."""
    return ConfigSet(
        model_groups={'g': ModelGroup('m', count, 'x')},
        expert_maps={'x': ExpertMap(1, [[0] for _ in range(count)])},
        upstreams={
            f'u{number}': Upstream('g', ZONES[number % 3], number)
            for number in range(count)
        },
        evacuations=evacuated(*zones),
    )


# Fails if an entry loses its links to what runs in the zone, or keeps too few
# links to other zones.
def test_an_entry_replaces_the_links_to_an_evacuated_zone():
    role = make_entry(90)
    links = {peer.node for peer in role.subset}
    running = next(
        view
        for view in role.router.views.values()
        if view.peer.availability_zone == 'z0'
    )
    role.router.sent(running)
    role.apply_config(make_config(90, 'z0'))
    others = [peer for peer in role.subset if peer.availability_zone != 'z0']
    assert len(others) == len(links) == 16
    assert running.peer in role.subset
    assert role.router.in_flight('z0') == 1
    assert role.status()['evacuated_zones'] == ['z0']
    page = role.node.metrics.text().decode()
    assert 'comfreyarch_evacuated_in_flight{zone="z0"} 1.0' in page
    role.router.done(running)
    role.apply_config(make_config(90))
    assert {peer.node for peer in role.subset} == links
    page = role.node.metrics.text().decode()
    assert 'comfreyarch_evacuated_zones 0.0' in page
    assert 'comfreyarch_evacuated_in_flight{' not in page


# Fails if a caller waits, or is told that the request may have run.
def test_without_a_zone_left_an_entry_refuses_at_once():
    role = make_entry(6)
    for number in range(6):
        beat = Beat(f's{number}', 'i', 1, slots=4, service_ms=50)
        role.router.record_heartbeat(beat, 10**12)
    request = CallerRequest(
        '', 'team', 1, 'm', 'POST', '/', {}, b'', 10**12, 'digest', 0
    )
    progress = Progress(request)
    assert role.executor.choose_sidecar(progress) is not None
    role.apply_config(make_config(6, *ZONES))
    assert role.executor.choose_sidecar(progress) is None
    refusal = role.executor.unavailable_refusal(progress)
    assert (refusal.kind, refusal.ran) == (Kind.no_upstream, Ran.not_run)
    assert refusal.retry_after_s > 0


# Fails if a sidecar still starts attempts that waited when its zone is evacuated,
# or leaves its rank group.
def test_a_sidecar_of_an_evacuated_zone_takes_nothing_until_the_end():
    node = make_node('sidecar')
    role = SidecarRole(node, UPSTREAM)
    node.attach(role)
    config = {
        'service_groups': {'s': ServiceGroup(slots=3)},
        'upstreams': {'u': Upstream('s', 'z')},
    }
    role.upstream_health.up = True
    role.apply_config(ConfigSet(**config, evacuations=evacuated('other')))
    assert role.ready()
    role.apply_config(ConfigSet(**config, evacuations=evacuated('z')))
    assert not role.ready()
    assert role.make_heartbeat().leaving
    assert role.attempt_server.admission.draining
    assert role.status()['zone_evacuated']
    role.apply_config(ConfigSet(**config))
    assert role.ready()
    assert not role.attempt_server.admission.draining
