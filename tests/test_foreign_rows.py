"""Test list entries of other writers that name the addresses of upstreams.

Guards against upstreams that are forgotten for a row that names no upstream to use
(rule CONFIG, review/4).
"""

import itertools
from contextlib import contextmanager
from dataclasses import replace
from unittest.mock import patch

import pytest
from direct_world import World, reply
from hypothesis import given, strategies

from comfreyarch_core.tabletracker import Change, TableRow
from comfreyarch_core.upstreamlist import UpstreamEntry, make_upstream_list
from comfreyarch_daemon.sharedcrashguard import SharedCrashGuard
from comfreyarch_daemon.tablelisteners import (
    ConfigurationListener,
    EntryAdapter,
    UpstreamsListener,
)
from comfreyarch_platform.documents import (
    decode_evacuated_zone,
    decode_upstream,
)

REAL = UpstreamEntry(
    'real',
    's',
    '10.0.0.1:80',
    'z',
    6,
    False,
    cold_s=0,
    listed=5,
    started_ms=100,
    sequence=4,
    software='v1',
)
# Entries of another writer at the address of the real upstream.
UNKNOWN_SERVICE = replace(
    REAL, name='foreign', service='inventory', listed=9, started_ms=200
)
INCOMPLETE = [
    replace(REAL, name='foreign', listed=9, started_ms=0),
    replace(REAL, name='foreign', listed=9, started_ms=200, sequence=None),
    replace(REAL, name='foreign', listed=9, started_ms=200, cold_s=None),
    replace(REAL, name='foreign', listed=9, started_ms=200, software=''),
]
LATER = replace(REAL, name='foreign', listed=9, started_ms=200)


def make_list(*entries, services=('s',)):
    """Create a list with entries in order."""
    upstreams = make_upstream_list()
    upstreams.services = frozenset(services)
    for entry in entries:
        upstreams.change(entry)
    return upstreams


@pytest.mark.parametrize('leaving', [True, False])
@pytest.mark.parametrize('foreign', [UNKNOWN_SERVICE, *INCOMPLETE])
@pytest.mark.parametrize('is_first', [True, False])
def test_the_real_upstream_keeps_its_address(foreign, is_first, leaving):
    foreign = replace(foreign, leaving=leaving)
    order = (foreign, REAL) if is_first else (REAL, foreign)
    upstreams = make_list(*order)
    assert set(upstreams.entries) == {'real'}
    upstreams.replace(order, 10)
    assert set(upstreams.entries) == {'real'}
    upstreams.drop('foreign', 20)
    assert set(upstreams.entries) == {'real'}


def test_the_upstream_is_used_after_the_other_entry_is_removed():
    upstreams = make_list(REAL, LATER)
    assert set(upstreams.entries) == {'foreign'}
    upstreams.drop('foreign', 10)
    assert set(upstreams.entries) == {'real'}


def test_the_order_of_configuration_and_entries_does_not_matter():
    upstreams = make_list(REAL, UNKNOWN_SERVICE, services=())
    upstreams.services = frozenset(('s', 't'))
    assert set(upstreams.entries) == {'real'}
    upstreams.services = frozenset(('inventory',))
    assert set(upstreams.entries) == {'foreign'}
    upstreams.services = frozenset(('s',))
    assert set(upstreams.entries) == {'real'}


def test_an_answer_for_another_upstream_gives_the_address_back():
    upstreams = make_list(REAL, LATER)
    assert upstreams.record_misdirected('foreign', 10)
    assert set(upstreams.entries) == {'real'}
    assert not upstreams.record_misdirected('foreign', 11)
    # If neither has it, they are tried in turn.
    assert upstreams.record_misdirected('real', 12)
    assert set(upstreams.entries) == {'foreign'}


def test_a_new_statement_ends_what_an_answer_showed():
    upstreams = make_list(REAL, LATER)
    upstreams.record_misdirected('foreign', 10)
    upstreams.change(replace(LATER, sequence=9, listed=12))
    assert set(upstreams.entries) == {'foreign'}


def test_an_upstream_alone_at_its_address_stays():
    upstreams = make_list(REAL)
    assert not upstreams.record_misdirected('real', 10)
    assert not upstreams.record_misdirected('unknown', 10)
    assert set(upstreams.entries) == {'real'}


@given(strategies.permutations([REAL, UNKNOWN_SERVICE, *INCOMPLETE]))
def test_any_order_of_entries(entries):
    named = [
        replace(entry, name=f'{entry.name}-{number}')
        if entry.name == 'foreign'
        else entry
        for number, entry in enumerate(entries)
    ]
    upstreams = make_list(*named)
    assert set(upstreams.entries) == {'real'}
    assert len(upstreams.listed) == len(entries)


ROW = (
    '{{"service":"{}","address":"{}","zone":"z","version":"v1","slots":6,'
    '"state":"{}","coldRemainingMs":0{}}}'
)
STATED = ',"sequence":{},"born":{}'


def encode(address, service='s', state='ready', born=100, sequence=4):
    """Encode a row of an upstream; without its start if that is None."""
    stated = '' if born is None else STATED.format(sequence, born)
    return ROW.format(service, address, state, stated).encode()


def own_requests_only(name):
    """Create a script that refuses requests meant for another upstream."""

    def script(_upstream, sock, request):
        is_own = request[1]['x-expected-instance'] == name
        sock.sendall(reply(request, status=200 if is_own else 421))

    return script


class ListedWorld(World):
    """Run an entry whose upstreams come from rows, as from the store."""

    def __init__(self, count):
        super().__init__(*(own_requests_only(f'u{n}') for n in range(count)))
        adapter = EntryAdapter(
            *[None] * 7,
            'config',
            lambda _content: self.entry.table,
            decode_upstream,
            decode_evacuated_zone,
        )
        self.entry.replace_upstreams([])
        self.listener = UpstreamsListener(adapter, self.entry)
        self.configurations = ConfigurationListener(adapter, self.entry)
        self.configurations.on_services = self.listener.apply_services
        forwarder = self.entry.forwarder
        forwarder.on_misdirected = self.listener.record_misdirected
        self.version = 0
        self.configure()
        for upstream in self.upstreams:
            self.write(upstream.name, encode(upstream.entry.address))

    def configure(self):
        """Deliver the configuration."""
        row = TableRow('config', b'', 1)
        self.configurations.apply_change(Change((row,), ()))

    def write(self, key, content):
        """Deliver a changed row."""
        self.version += 1
        row = TableRow(key, content, self.version)
        self.listener.apply_change(Change((row,), ()))


FOREIGN = {
    'unknown service': {'service': 'inventory', 'born': 10**13},
    'unknown service, draining': {
        'service': 'inventory',
        'born': 10**13,
        'state': 'draining',
    },
    'unknown service, without start': {'service': 'inventory', 'born': None},
    'without start': {'born': None},
    'without start, draining': {'born': None, 'state': 'draining'},
    'complete': {'born': 10**13},
}


@pytest.mark.parametrize('kind', FOREIGN)
def test_requests_are_served_beside_foreign_rows(kind):
    """Fails if an entry of another writer hides an upstream (review/4)."""
    with ListedWorld(3) as world:
        for number, upstream in enumerate(world.upstreams):
            row = encode(upstream.entry.address, **FOREIGN[kind])
            world.write(f'foreign-{number}', row)
        statuses = [world.call('/safe/x')[0] for _ in range(12)]
        assert statuses[3:] == [200] * 9
        if kind != 'complete':
            assert statuses == [200] * 12
        unused = [
            facts['upstream']
            for event, facts in world.log.events
            if event == 'upstream_unused'
        ]
        assert {f'foreign-{number}' for number in range(3)} <= set(unused)


def test_foreign_rows_before_the_first_configuration():
    with ListedWorld(1) as world:
        world.listener.upstream_list.services = frozenset()
        address = world.upstreams[0].entry.address
        world.write('foreign', encode(address, 'inventory', born=10**13))
        world.configure()
        assert world.call('/safe/x')[0] == 200


@contextmanager
def recorded_deaths():
    """Record the upstreams that count as dead."""
    deaths = []
    with patch.object(
        SharedCrashGuard,
        'record_upstream_death',
        lambda _guard, name: deaths.append(name),
    ):
        yield deaths


def test_an_upstream_that_is_not_used_for_a_while_is_not_dead():
    """Fails if it counts as crashed, which may bar what it runs."""
    with ListedWorld(1) as world:
        address = world.upstreams[0].entry.address
        with recorded_deaths() as deaths:
            world.write('foreign', encode(address, born=10**13))
            assert world.call('/safe/x')[0] in {200, 503}
        assert not deaths
        world.listener.apply_change(Change((), ('foreign',)))
        assert world.call('/safe/x')[0] == 200


def test_an_upstream_that_was_replaced_is_dead_once_it_is_not_listed():
    """Fails if a crash is not seen when the address is soon in use again."""
    with ListedWorld(1) as world:
        address = world.upstreams[0].entry.address
        with recorded_deaths() as deaths:
            world.write('u9', encode(address, born=200))
            assert not deaths
            world.listener.apply_change(Change((), ('u0',)))
            assert deaths == ['u0']
            world.listener.apply_change(Change((), ()))
        assert deaths == ['u0']


def test_what_is_known_of_an_upstream_holds_if_it_is_used_again():
    """Fails if its request limit is forgotten meanwhile (rule LIMIT)."""
    with ListedWorld(1) as world:
        head = world.entry.header_codec.read_answer([('Server-Limit', '2')])
        limits = world.entry.forwarder.limits
        limits.record_answer('u0', head, limits.version('u0'))
        known = dict(limits.control.limits.states)
        address = world.upstreams[0].entry.address
        world.write('foreign', encode(address, born=10**13))
        world.listener.apply_change(Change((), ('foreign',)))
        assert dict(limits.control.limits.states) == known
        assert 'u0' in known


def test_the_address_of_an_upstream_that_started_again_elsewhere():
    with ListedWorld(2) as world:
        first, second = world.upstreams
        # u0 has ended, and u1 started again at its address.
        world.write('u1', encode(first.entry.address, born=200, sequence=0))
        used = world.entry.forwarder.selector.views
        assert list(used) == ['u1']
        assert used['u1'].entry.address == first.entry.address
        assert second.entry.address != first.entry.address


def test_all_pairs_of_entries_have_one_that_is_preferred():
    entries = [REAL, UNKNOWN_SERVICE, *INCOMPLETE, LATER]
    upstreams = make_list()
    for entry, other in itertools.permutations(entries, 2):
        is_preferred = upstreams.is_preferred(entry, other)
        if is_preferred == upstreams.is_preferred(other, entry):
            assert entry.listed == other.listed
