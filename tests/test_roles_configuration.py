"""Test how the roles of comfreyarchd apply configurations."""

from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.objects import (
    Quarantined,
    ServiceGroup,
    Stop,
    Upstream,
)
from comfreyarch_daemon.entry import EntryRole
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.settings import Settings, UpstreamSettings
from comfreyarch_daemon.sidecar import SidecarRole

KEY = b'0123456789abcdef'
UPSTREAM = UpstreamSettings('u', 'http://127.0.0.1:9')


def make_node(role, name='n'):
    """Create a node that is not started."""
    settings = Settings(
        role=role,
        node=name,
        region='r',
        availability_zone='z',
        link='127.0.0.1:0',
        operators='127.0.0.1:0',
        store='http://127.0.0.1:9',
        fleet_key_file='',
        callers='127.0.0.1:0',
        upstream=UPSTREAM,
        drain_s=0,
    )
    return Node(settings, KEY)


# Fails if a sidecar drops a whole revision that lacks its upstream.
def test_a_revision_without_the_upstream_still_takes_effect():
    node = make_node('sidecar')
    role = SidecarRole(node, UPSTREAM)
    node.attach(role)
    role.apply_config(
        ConfigSet(
            service_groups={'s': ServiceGroup(slots=3)},
            upstreams={'u': Upstream('s', 'z')},
        )
    )
    assert role.attempt_server.admission.slots == 3
    role.apply_config(
        ConfigSet(
            stops={'stop': Stop(upstream='u')},
            quarantines={'digest': Quarantined()},
        )
    )
    assert role.leaving
    assert 'digest' in role.suspect_tracker.published
    assert not role.ready()


# Fails if a configuration without a planned stop ends the drain of an entry that
# received SIGTERM, so that it takes new requests until it is killed.
def test_a_configuration_does_not_end_the_drain_of_a_stopping_entry():
    node = make_node('entry')
    role = EntryRole(node)
    node.attach(role)
    role.apply_config(ConfigSet())
    assert role.ready()
    role.drain()
    role.apply_config(ConfigSet())
    assert not role.ready()
    assert role.caller_server.stopping


def test_a_withdrawn_planned_stop_lets_an_entry_serve_again():
    node = make_node('entry')
    role = EntryRole(node)
    node.attach(role)
    role.apply_config(ConfigSet(stops={'stop': Stop(entry='n')}))
    assert not role.ready()
    role.apply_config(ConfigSet())
    assert role.ready()


# Fails if entries without a configured seed draw the same sequence, so that all
# choose the same sidecars at the same time.
def test_entries_without_a_seed_draw_different_choices():
    draws = {
        EntryRole(make_node('entry', name)).router.source.random()
        for name in ('a', 'b', 'c')
    }
    assert len(draws) == 3
