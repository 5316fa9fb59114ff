"""Test that no request is sent to an evacuated zone, and that it ends."""

from dataclasses import replace
from types import SimpleNamespace

import entry_fleet
import gevent
import pytest
from direct_world import RecordingLog, World, answering

from comfreyarch_core.coldstates import ColdRules
from comfreyarch_core.coldupstreams import ColdBound
from comfreyarch_core.storeposition import make_position
from comfreyarch_core.tablefreshness import (
    MAX_CONFIRMED_AGE_S,
    RESUME_HOLD_S,
)
from comfreyarch_core.tabletracker import Change, TableRow, TableState
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.tablelisteners import ConfigurationListener
from comfreyarch_daemon.tablesync import TableSync
from comfreyarch_daemon.tablewatch import TableWatch
from comfreyarch_daemon.upstreamcalls import boot_time
from comfreyarch_platform.documents import decode_evacuated_zone

ADAPTER = SimpleNamespace(
    configuration_key='config', decode_evacuated_zone=decode_evacuated_zone
)


def row(zone, version=1):
    """Build the row that requests the evacuation of a zone."""
    return TableRow(f'evacuate/{zone}', b'{}', version)


def make_selector(*zones):
    """Create a selector with an upstream of one slot in each zone."""
    selector = make_upstream_selector('a', 1)
    selector.update_upstreams(
        [
            UpstreamEntry(
                f'u-{zone}', 's', f'10.0.0.{number}:80', zone, 1, False
            )
            for number, zone in enumerate(zones)
        ]
    )
    return selector


def refresh(selector):
    """Apply the known list of upstreams again."""
    selector.update_upstreams([view.entry for view in selector.views.values()])


class ZoneWorld(World):
    """Run an entry with upstreams in zones z0, z1 and so on."""

    def __init__(self, *scripts):
        super().__init__(*scripts)
        self.entry.replace_upstreams(self.listed())
        self.listener = ConfigurationListener(ADAPTER, self.entry)
        self.ended = []
        self.entry.forwarder.zone_control.on_ended = lambda names, _position: (
            self.ended.append(names)
        )

    def listed(self):
        """List the upstreams with their zones."""
        return [
            replace(upstream.entry, availability_zone=f'z{number}')
            for number, upstream in enumerate(self.upstreams)
        ]

    def evacuate(self, *zones):
        """Apply the rows that request evacuations."""
        self.listener.apply_change(Change(tuple(map(row, zones)), ()))

    def withdraw(self, *zones):
        """Apply the removal of such rows."""
        removed = tuple(row(zone).key for zone in zones)
        self.listener.apply_change(Change((), removed))

    def state_warm(self, sequence, listed):
        """Let all upstreams state that they are warm."""
        self.entry.replace_upstreams(
            [
                replace(entry, cold_s=0, sequence=sequence, listed=listed)
                for entry in self.listed()
            ]
        )

    def fill(self, name):
        """Occupy all slots of an upstream."""
        view = self.entry.dispatcher.selector.views[name]
        view.in_flight = view.entry.slots
        return view

    def wait_for_waiters(self, count):
        """Wait until requests are queued."""
        with gevent.Timeout(20):
            while len(self.entry.dispatcher.results) < count:
                gevent.sleep(0.005)

    def facts(self, event):
        """Return the fields of the logged events of one kind."""
        return [facts for name, facts in self.log.events if name == event]


# Fails if an upstream of an evacuated zone is chosen, or stays without requests
# after the end.
def test_an_evacuated_zone_gets_nothing_until_the_end():
    selector = make_selector('a', 'b')
    view = selector.views['u-a']
    assert selector.evacuations.start('a')
    refresh(selector)
    assert not selector.accepts(view, 0)
    assert {selector.choose('s', 0).entry.name for _ in range(20)} == {'u-b'}
    # The list is read again, and the upstream recovers.
    refresh(selector)
    selector.succeeded('u-a')
    assert {selector.choose('s', 0).entry.name for _ in range(20)} == {'u-b'}
    assert selector.evacuations.end('a')
    refresh(selector)
    assert selector.accepts(view, 0)
    assert selector.choose('s', 0, frozenset({'u-b'})) is view


# Fails if the holds or limits of evacuated upstreams still count for a service.
def test_an_evacuated_upstream_does_not_count_for_its_service():
    selector = make_selector('a', 'b')
    selector.announced_hold('u-b', 5, 0)
    selector.evacuations.start('a')
    refresh(selector)
    assert selector.hold_end('s') == 5
    assert selector.is_down('s', 0)


@pytest.mark.parametrize(
    ('key', 'zone'),
    [
        ('evacuate/zone-1', 'zone-1'),
        ('evacuate/', None),
        ('config', None),
        ('evacuate', None),
        ('x/evacuate/zone-1', None),
    ],
)
def test_keys_of_requests(key, zone):
    assert decode_evacuated_zone(key) == zone


def test_first_sends_and_retries_avoid_the_zone():
    with ZoneWorld(answering(), answering(status=503), answering()) as world:
        world.evacuate('z0')
        for _ in range(6):
            assert world.call('/safe/')[0] == 200
        assert not world.upstreams[0].seen
        assert world.upstreams[2].seen


# Fails if a repeated request or end is applied twice.
def test_repeated_requests_have_no_effect():
    with ZoneWorld(answering(), answering()) as world:
        world.evacuate('z0')
        world.evacuate('z0')
        assert len(world.facts('evacuation_started')) == 1
        world.withdraw('z0')
        world.withdraw('z0')
        assert len(world.facts('evacuation_ended')) == 1
        assert world.ended == [['u0']]


# Fails if the end of one evacuation ends another.
def test_two_zones_are_evacuated_independently():
    with ZoneWorld(answering(), answering(), answering()) as world:
        world.evacuate('z0', 'z1')
        assert world.call('/safe/')[0] == 200
        world.withdraw('z1')
        world.fill('u2')
        assert world.call('/safe/')[0] == 200
        seen = [len(upstream.seen) for upstream in world.upstreams]
        assert seen == [0, 1, 1]


# Fails if callers wait for upstreams that they cannot get.
@pytest.mark.parametrize('path', ['/safe/', '/once/', '/stream/'])
def test_without_an_upstream_left_callers_are_refused_at_once(path):
    with ZoneWorld(answering(), answering()) as world:
        world.evacuate('z0', 'z1')
        started_at = boot_time()
        status, headers, _ = world.call(path)
        assert boot_time() - started_at < 0.3
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert not world.runs
        (refusal,) = world.facts('refused')
        assert (refusal['kind'], refusal['ran']) == ('no_upstream', 'not_run')
        assert 'z0, z1' in refusal['why']
        world.withdraw('z0')
        assert world.call(path)[0] == 200


# Fails if waiting requests learn of an evacuation only when a slot is free.
def test_waiting_requests_are_refused_when_the_last_zone_is_evacuated():
    with ZoneWorld(answering()) as world:
        world.fill('u0')
        call = gevent.spawn(world.call, '/safe/')
        world.wait_for_waiters(1)
        started_at = boot_time()
        world.evacuate('z0')
        status, headers, _ = call.get(timeout=20)
        assert boot_time() - started_at < 0.3
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert not world.runs


# Fails if a waiting request is left waiting when the last upstream outside the
# evacuated zone leaves the list.
def test_waiting_requests_are_refused_when_the_other_zone_is_lost():
    with ZoneWorld(answering(), answering()) as world:
        world.evacuate('z0')
        world.fill('u1')
        call = gevent.spawn(world.call, '/safe/')
        world.wait_for_waiters(1)
        world.entry.replace_upstreams(world.listed()[:1])
        assert call.get(timeout=20)[0] == 503
        assert not world.runs


# Fails if waiting requests are not placed at once when an evacuation ends.
def test_waiting_requests_start_when_an_evacuation_ends():
    with ZoneWorld(answering(), answering()) as world:
        world.evacuate('z0')
        world.fill('u1')
        call = gevent.spawn(world.call, '/safe/')
        world.wait_for_waiters(1)
        in_flight = []
        views = world.entry.dispatcher.selector.views
        # Part of the contract: upstreams are reported before any send.
        world.entry.forwarder.zone_control.on_ended = lambda names, _position: (
            in_flight.extend((name, views[name].in_flight) for name in names)
        )
        world.withdraw('z0')
        assert not world.entry.dispatcher.results
        assert call.get(timeout=20)[0] == 200
        assert len(world.upstreams[0].seen) == 1
        assert in_flight == [('u0', 0)]


# Fails if the upstreams of a zone get more than cold ones tolerate right after its
# evacuation ends, or if they are not served when their list entries say otherwise.
def test_upstreams_are_limited_after_an_evacuation():
    rules = ColdRules(start_s=3, per_s=4)
    with ZoneWorld(answering(), answering()) as world:
        forwarder = world.entry.forwarder
        forwarder.zone_control.on_ended = forwarder.cold.presume_cold
        state = forwarder.cold.state
        state.rules = {'s': rules}
        state.bound = ColdBound(1.5, 5)
        state.record_entries(['entry'], boot_time() - 10)
        world.state_warm(1, 1)
        world.evacuate('z0')
        world.listener.apply_change(Change((), ('evacuate/z0',), 7))
        assert 'cold_started' in [event for event, _ in world.log.events]
        world.fill('u1')
        calls = [gevent.spawn(world.call, '/safe/') for _ in range(6)]
        gevent.sleep(0.2)
        # An entry that was written before the end changes nothing.
        world.state_warm(2, 7)
        gevent.sleep(0.2)
        assert len(world.upstreams[0].seen) <= 3
        world.state_warm(3, 8)
        gevent.joinall(calls, timeout=1)
        assert [call.value[0] for call in calls] == [200] * 6


# Fails if the daemon does not report ended evacuations to the limit.
def test_the_end_of_an_evacuation_is_reported_to_the_limit():
    with World(answering()) as world:
        forwarder = world.entry.forwarder
        assert forwarder.zone_control.on_ended == forwarder.cold.presume_cold


# Fails if a request that has a slot, but is not sent, goes to the zone.
def test_a_request_that_has_just_got_a_slot_is_placed_again():
    with ZoneWorld(answering(), answering()) as world:
        world.fill('u1')
        view = world.fill('u0')
        call = gevent.spawn(world.call, '/safe/')
        world.wait_for_waiters(1)
        # The slot is assigned, and the evacuation begins before the request runs.
        world.entry.dispatcher.release(view)
        assert not world.entry.dispatcher.results
        world.evacuate('z0')
        other = world.entry.dispatcher.selector.views['u1']
        gevent.spawn_later(0.1, world.entry.dispatcher.release, other)
        assert call.get(timeout=20)[0] == 200
        assert [len(upstream.seen) for upstream in world.upstreams] == [0, 1]
        assert view.in_flight == view.entry.slots - 1


# Fails if a request goes to the zone because its connection was being opened
# when the evacuation began.
@pytest.mark.parametrize('zones', [['z0'], ['z0', 'z1']])
def test_a_request_whose_connection_opens_is_placed_again(zones):
    with ZoneWorld(answering(), answering()) as world:
        forwarder = world.entry.forwarder
        connect = forwarder.pool.open
        opened = []

        def slow_open(address, timeout_s):
            connection = connect(address, timeout_s)
            opened.append(address)
            if len(opened) == 1:
                world.evacuate(*zones)
            return connection

        forwarder.pool = SimpleNamespace(
            open=slow_open,
            take=lambda _name: None,
            put_back=lambda _name, connection: connection.close(),
            keep_only=lambda _names: None,
            close=lambda: None,
        )
        world.fill('u1')
        other = world.entry.dispatcher.selector.views['u1']
        gevent.spawn_later(0.1, world.entry.dispatcher.release, other)
        status = world.call('/once/')[0]
        assert not world.upstreams[0].seen
        if len(zones) == 1:
            assert (status, len(world.upstreams[1].seen)) == (200, 1)
        else:
            assert (status, world.runs) == (503, 0)
        assert not world.entry.dispatcher.selector.views['u0'].in_flight


# Fails if requests that run in the zone are cut off when it is evacuated.
def test_running_requests_end_normally_and_are_counted():
    answer = gevent.event.Event()
    plain = answering()

    def script(upstream, sock, request):
        answer.wait(20)
        plain(upstream, sock, request)

    with ZoneWorld(script) as world:
        call = gevent.spawn(world.call, '/safe/')
        with gevent.Timeout(20):
            while not world.runs:
                gevent.sleep(0.005)
        world.evacuate('z0')
        (facts,) = world.facts('evacuation_started')
        assert facts == {'zone': 'z0', 'upstreams': 1, 'in_flight': 1}
        page = world.entry.metrics.text().decode()
        assert 'comfreyarch_evacuated_zones 1.0' in page
        assert 'comfreyarch_evacuated_in_flight{zone="z0"} 1.0' in page
        answer.set()
        assert call.get(timeout=20)[0] == 200
        world.withdraw('z0')
        page = world.entry.metrics.text().decode()
        assert 'comfreyarch_evacuated_zones 0.0' in page
        assert 'comfreyarch_evacuated_in_flight{' not in page


def test_an_unknown_zone_is_recorded_and_has_no_other_effect():
    with ZoneWorld(answering()) as world:
        world.evacuate('none')
        assert world.call('/safe/')[0] == 200
        (facts,) = world.facts('evacuation_started')
        assert (facts['zone'], facts['upstreams']) == ('none', 0)
        # An upstream that starts in the zone later gets nothing.
        entry = replace(world.listed()[0], availability_zone='none')
        world.entry.replace_upstreams([entry])
        assert world.call('/safe/')[0] == 503


class WatchedTable:
    """Run the watch of a table without a store, feeding an entry."""

    def __init__(self, entry):
        self.closed = 0
        self.entry = entry
        self.watch = TableWatch(
            'configuration',
            self,
            ConfigurationListener(ADAPTER, entry),
            RecordingLog(),
            Metrics(),
        )
        self.state = TableState((), 0)

    def read(self):
        """Return the table as set by the test."""
        return self.state

    def close(self):
        """Count closed connections."""
        self.closed += 1

    def full_read(self, *rows, version, era=0):
        """Let the watch read these rows, written in the same era."""
        self.state = make_state(*rows, version=version, era=era)
        self.watch.read()

    @property
    def zones(self):
        """Return the evacuated zones."""
        return self.entry.forwarder.zone_control.evacuations.zones


def make_state(*rows, version, era=0):
    """Build a state of the table."""
    placed = tuple(
        replace(row, version=make_position(era, row.version)) for row in rows
    )
    return TableState(placed, make_position(era, version))


# Fails if an evacuation is only noticed in one of the ways by which an entry
# learns of rows and of their removal.
def test_requests_and_their_ends_arrive_in_each_way():
    with ZoneWorld(answering(), answering()) as world:
        table = WatchedTable(world.entry)
        table.full_read(row('z0', 3), version=5)
        assert table.zones == {'z0'}
        removal = replace(row('z0', 7), removed=True)
        poll = TableState((row('z1', 6), removal), 7)
        table.watch.apply_changes(poll, boot_time())
        assert table.zones == {'z1'}
        # A removal that only a full read reveals, as the history is lost.
        table.full_read(version=9)
        assert table.zones == set()
        assert table.watch.newest_version == 9
        # A peer's copy of the table, and then one without the row.
        assert table.watch.apply_snapshot(TableState((row('z1', 11),), 11))
        assert table.zones == {'z1'}
        assert table.watch.apply_snapshot(TableState((), 14))
        assert table.zones == set()
        # Older copies and reads change nothing.
        assert not table.watch.apply_snapshot(TableState((row('z0', 3),), 12))
        stale = TableState((row('z1', 11),), 11)
        table.watch.apply_changes(stale, boot_time())
        assert table.zones == set()
        assert world.ended == [['u0'], ['u1'], ['u1']]


# Fails if what an older copy of the store lacks, or still has, does not count once
# the store was restored from it.
def test_a_newer_era_takes_precedence():
    with ZoneWorld(answering(), answering()) as world:
        table = WatchedTable(world.entry)
        table.full_read(row('z0', 20), version=30)
        table.full_read(row('z1', 4), version=10, era=1)
        assert table.zones == {'z1'}
        # The operator writes the row again.
        again = make_state(row('z0', 11), version=11, era=1)
        table.watch.apply_changes(again, boot_time())
        assert table.zones == {'z0', 'z1'}
        # A peer that still knows the former era changes nothing.
        assert not table.watch.apply_snapshot(TableState((), 40))
        assert table.zones == {'z0', 'z1'}


def make_sync(table):
    """Own a table that was confirmed just now, without running anything."""
    sync = TableSync(RecordingLog(), Metrics(), lambda _message, _address: None)
    sync.add('configuration', lambda: table, table.watch.listener)
    sync.watches['configuration'].freshness.confirm(boot_time())
    return sync


# Fails if an entry that resumes after a freeze sends before it has read what
# arrived meanwhile, or waits for longer than that may take.
def test_sends_wait_after_a_freeze_until_the_table_is_confirmed():
    with ZoneWorld(answering()) as world:
        sync = make_sync(WatchedTable(world.entry))
        start = boot_time()
        freeze_s = MAX_CONFIRMED_AGE_S + 1

        def is_outdated(at):
            return sync.is_outdated('configuration', at)

        sync.pause_detector.record_run(start)
        assert not is_outdated(start + 0.3)
        # The first request may run before the check of the pause.
        resumed_at = start + freeze_s
        assert is_outdated(resumed_at)
        sync.pause_detector.record_run(resumed_at)
        assert is_outdated(resumed_at + 0.1)
        assert is_outdated(resumed_at + RESUME_HOLD_S - 0.1)
        sync.pause_detector.record_run(resumed_at + 0.4)
        sync.pause_detector.record_run(resumed_at + RESUME_HOLD_S)
        assert not is_outdated(resumed_at + RESUME_HOLD_S)
        # With a confirmation, sends go on at once.
        sync.pause_detector.record_run(start + 9)
        assert is_outdated(start + 9)
        sync.watches['configuration'].freshness.confirm(start + 9)
        assert not is_outdated(start + 9.01)


# Fails if a request that waits for the knowledge is refused, or sent to a zone of
# whose evacuation the entry then learns.
def test_a_request_after_a_freeze_waits_for_the_knowledge():
    with ZoneWorld(answering(), answering()) as world:
        frozen = [True]
        evacuations = world.entry.forwarder.zone_control.evacuations
        evacuations.is_outdated = lambda _now: frozen[0]
        call = gevent.spawn(world.call, '/once/')
        world.wait_for_waiters(1)
        gevent.sleep(0.1)
        assert not world.runs
        world.evacuate('z0')
        assert not world.runs
        frozen[0] = False
        assert call.get(timeout=20)[0] == 200
        assert [len(upstream.seen) for upstream in world.upstreams] == [0, 1]


# Fails if a deployment without the rule waits after a freeze, or one with it does
# not.
@pytest.mark.parametrize('evacuation_s', [0, 5])
def test_only_the_rule_makes_sends_wait_after_a_freeze(
    evacuation_s, tmp_path, monkeypatch
):
    make_settings = entry_fleet.make_settings
    monkeypatch.setattr(
        entry_fleet,
        'make_settings',
        lambda name: replace(make_settings(name), evacuation_s=evacuation_s),
    )
    with entry_fleet.EntryFleet(1, answering(), path=tmp_path / 'x') as fleet:
        (node,) = fleet.nodes.values()
        evacuations = node.entry.dispatcher.selector.evacuations
        now = boot_time()
        resumed_at = now + MAX_CONFIRMED_AGE_S + 60
        assert not evacuations.is_outdated(now)
        assert evacuations.is_outdated(resumed_at) == bool(evacuation_s)
        # Settings that are reloaded take effect.
        monkeypatch.setattr(
            entry_fleet,
            'make_settings',
            lambda name: replace(
                make_settings(name), evacuation_s=5 - evacuation_s
            ),
        )
        node.reload()
        assert evacuations.is_outdated(resumed_at) != bool(evacuation_s)
