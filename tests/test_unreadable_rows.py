"""Test rows of another writer among the upstreams, and loops that fail.

Guards against one unreadable row that ends the watch of the whole table, so that
an entry that starts uses no upstream (rule RECOVER, review/1).
"""

import json
from unittest.mock import patch

import gevent
import pytest
from direct_world import RecordingLog, World, answering
from hypothesis import given, settings, strategies
from test_platform_adapter import CONFIGURATION, SERVER
from test_table_watch import ScriptedTable, state

from comfreyarch_core.tabletracker import Change, TableRow, make_table_tracker
from comfreyarch_daemon import supervision, tablewatch
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.jsondecoding import JsonError, decode_json
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import SettingsError
from comfreyarch_daemon.store import StoreError, parse_instances
from comfreyarch_daemon.supervision import (
    failure_reports,
    make_event_reporter,
    spawn_loop,
)
from comfreyarch_daemon.tablelisteners import EntryAdapter, UpstreamsListener
from comfreyarch_daemon.tablewatch import TableWatch
from comfreyarch_platform.bootfile import decode_boot_file
from comfreyarch_platform.callheaders import PlatformHeaderCodec
from comfreyarch_platform.documents import (
    DocumentError,
    decode_configuration,
    decode_evacuated_zone,
    decode_map_rules,
    decode_upstream,
)
from comfreyarch_platform.engines import EngineUnavailable, decode_state
from comfreyarch_platform.storeclient import StoreCallFailed, decode_page

# Nesting that the decoder accepts, but ``repr`` and other code may not.
DEEP = [[]]
for _ in range(600):
    DEEP = [DEEP]
HUGE = 10**400
UNREADABLE = [
    b'',
    b'\x00\xff',
    b'[' * 1500,
    b'[' * 65_536,
    b'{"a":' * 10_000,
    b'{"service":' + b'[' * 1500 + b']' * 1500 + b'}',
    b'"\\ud800"',
    b'9' * 65_536,
    b'1e999',
]
ODD_FIELDS = [
    *[
        {name: odd}
        for name in ('service', 'address', 'zone', 'state', 'slots')
        for odd in (None, HUGE, -HUGE, True, 1.5, DEEP, {'a': 1}, '')
    ],
    *[
        {'address': odd}
        for odd in (
            '10.0.0.9:0',
            '10.0.0.9:99999',
            '10.0.0.9:\u00b2',
            '10.0.0.9:' + '9' * 5000,
            '10.0.0.9:-1',
            'a..b:80',
            '\u00e4\u00f6:80',
            ':80',
            '10.0.0.9\0:80',
        )
    ],
]
# Odd values of fields without which the server can still be used.
ODD_OPTIONAL_FIELDS = [
    {name: odd}
    for name in ('coldRemainingMs', 'sequence', 'born', 'other')
    for odd in (None, HUGE, -HUGE, True, 'x', DEEP, {'a': 1})
]


def encode(**changes):
    """Encode the entry of a server, with changed fields."""
    return json.dumps({**SERVER, **changes}).encode()


@pytest.mark.parametrize('document', UNREADABLE)
def test_unreadable_bytes_raise_the_error_of_the_reader(document):
    for decode in (
        decode_configuration,
        lambda raw: decode_map_rules(raw, 's'),
    ):
        with pytest.raises(DocumentError):
            decode(document)
    with pytest.raises(DocumentError):
        decode_upstream('i', document, 1)


@pytest.mark.parametrize('change', ODD_FIELDS)
def test_odd_fields_raise_the_error_of_the_reader(change):
    with pytest.raises(DocumentError) as caught:
        decode_upstream('i', encode(**change), 1)
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize('change', ODD_OPTIONAL_FIELDS)
def test_odd_optional_fields_do_not_hide_the_server(change):
    entry = decode_upstream('i', encode(**change), 1)
    assert entry.address == SERVER['address']


@pytest.mark.parametrize('name', ['a\r\nX-B: c', 'a\0', '\u00e4', 'a\nb'])
def test_a_name_that_is_no_header_text(name):
    with pytest.raises(DocumentError):
        decode_upstream(name, encode(), 1)


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)
fields = strategies.sampled_from([*SERVER, 'born'])


@settings(deadline=None, max_examples=300, derandomize=True)
@given(
    strategies.text(max_size=20),
    strategies.dictionaries(fields, json_values, max_size=4),
)
def test_any_fields_of_a_server(name, changes):
    try:
        entry = decode_upstream(name, encode(**changes), 1)
    except DocumentError:
        return
    host, port = entry.address.split(':')
    assert host.count('.') == 3
    assert 0 < int(port) < 65_536
    assert entry.slots > 0


@settings(deadline=None, max_examples=200, derandomize=True)
@given(strategies.binary(max_size=60))
def test_any_bytes_of_a_row(document):
    for decode in (
        decode_configuration,
        lambda raw: decode_upstream('i', raw, 1),
    ):
        try:
            decode(document)
        except DocumentError:
            pass


@settings(deadline=None, max_examples=200, derandomize=True)
@given(
    strategies.dictionaries(
        strategies.sampled_from(['routes', 'services', 'limits', 'tenants']),
        json_values,
        max_size=2,
    )
)
def test_any_fields_of_a_configuration(changes):
    document = json.dumps({**CONFIGURATION, **changes}).encode()
    try:
        decode_configuration(document)
    except DocumentError:
        pass


def test_nested_json_raises_a_typed_error(tmp_path):
    for document in (b'[' * 1500, b'{"a":' * 5000, b'"\\ud800"', b'\xff'):
        with pytest.raises(JsonError):
            decode_json(document)
        with pytest.raises(StoreError):
            parse_instances(document)
    path = tmp_path / 'boot.json'
    path.write_bytes(b'[' * 1500)
    with pytest.raises(SettingsError):
        decode_boot_file(path)


@pytest.mark.parametrize('rows', [[None], [[]], ['x'], [{}], [{'key': 'a'}], 5])
def test_a_malformed_page_of_rows(rows):
    with pytest.raises(StoreCallFailed):
        decode_page({'rows': rows, 'schemaVersion': 1})


def test_a_report_with_a_number_out_of_range():
    report = {
        'group': {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'},
        'size': 8,
        'step': 1,
        'expertMap': 0,
        'sequence': 0,
        'pace': HUGE,
    }
    with pytest.raises(EngineUnavailable):
        decode_state(report)


def test_one_malformed_instance_does_not_hide_the_others():
    sound = {
        'node': 'a',
        'role': 'entry',
        'link': 'l',
        'operators': 'o',
        'availability_zone': 'z',
        'field_of_a_later_release': 1,
    }
    listed = [sound, {'node': 5}, None, 'x', {**sound, 'node': 'b'}]
    instances = parse_instances(json.dumps({'instances': listed}).encode())
    assert [instance.node for instance in instances] == ['a', 'b']


@pytest.mark.parametrize(
    'text', ['\u00b2,1,2', '1,\u0663,2', '9' * 5000 + ',1,2']
)
def test_a_load_that_is_not_read(text):
    head = PlatformHeaderCodec().read_answer([('X-Server-Load', text)])
    assert head.load is None


@pytest.mark.parametrize('name', ['X-Deadline-Ms', 'X-Token-Counts'])
def test_a_number_too_large_for_a_float_is_not_read(name):
    head = PlatformHeaderCodec().read_call([(name, '9' * 400)])
    assert head.left_s is None
    assert head.prompt_tokens == 0


def make_listener(world):
    """Create a listener that applies rows to the entry of a world."""
    adapter = EntryAdapter(
        *[None] * 7,
        'config',
        decode_configuration,
        decode_upstream,
        decode_evacuated_zone,
    )
    world.entry.replace_upstreams([])
    return UpstreamsListener(adapter, world.entry)


@pytest.mark.parametrize('place', [0, 1, 2])
@pytest.mark.parametrize('is_first', [True, False])
@pytest.mark.parametrize(
    'unreadable', [*UNREADABLE, *[encode(**change) for change in ODD_FIELDS]]
)
def test_the_other_rows_are_applied(unreadable, is_first, place):
    """Guards against a table that is not applied for one row (review/1)."""
    with World(answering()) as world:
        address = world.upstreams[0].entry.address
        listener = make_listener(world)
        rows = [
            TableRow('u0', encode(address=address, service='s'), 1),
            TableRow('u1', encode(service='s'), 2),
        ]
        if not is_first:
            listener.apply_change(Change(tuple(rows), ()))
        rows.insert(place, TableRow('foreign', unreadable, 3))
        listener.apply_change(Change(tuple(rows), ()))
        assert set(world.entry.forwarder.selector.views) == {'u0', 'u1'}
        listener.apply_change(Change((), ('u1',)))
        assert set(world.entry.forwarder.selector.views) == {'u0'}
        assert world.call('/safe/x')[0] == 200


def test_a_row_whose_reader_fails_unexpectedly_is_left_out():
    def decode(key, content, version):
        if key == 'foreign':
            raise RecursionError('too deep')
        return decode_upstream(key, content, version)

    with World(answering()) as world:
        listener = make_listener(world)
        listener.adapter = EntryAdapter(
            *[None] * 7, 'config', decode_configuration, decode
        )
        rows = [TableRow('foreign', b'', 1), TableRow('u1', encode(), 2)]
        listener.apply_change(Change(tuple(rows), ()))
        assert set(listener.upstream_list.entries) == {'u1'}
        assert 'upstream_unreadable' in dict(world.log.events)


class FailingListener:
    """Fail for the first changes, then hold the rows by key."""

    def __init__(self, failures):
        self.failures = failures
        self.rows = {'old': None}

    def apply_change(self, change):
        """Apply a change unless it should fail."""
        if self.failures:
            self.failures -= 1
            raise RuntimeError('listener')
        self.rows |= {row.key: row.content for row in change.rows}
        for key in change.removed:
            self.rows.pop(key, None)

    def store_lost(self):
        """Do nothing."""

    def store_back(self):
        """Do nothing."""


@pytest.fixture
def failures():
    """Record the reported failures instead of printing them."""
    recorded = []
    with patch.object(
        failure_reports, 'report', lambda name, error: recorded.append(name)
    ):
        yield recorded


@pytest.mark.parametrize('failing', [1, 2, 3])
def test_a_change_that_fails_is_delivered_again(failing, failures, monkeypatch):
    """Guards against a watch that ends, or loses changes, on an error."""
    monkeypatch.setattr(tablewatch, 'COALESCE_PAUSE_S', 0)
    script = ScriptedTable(
        state(5, ('old', 1, False), ('a', 2, False)),
        state(6, ('b', 6, False)),
        state(7, ('old', 7, True)),
        state(8),
        state(9, ('c', 9, False)),
    )
    listener = FailingListener(failing)
    watch = TableWatch('t', script, listener, EventLog('n', 2), Metrics())
    watch.start()
    watch.worker.join(20)
    assert set(listener.rows) == {'a', 'b', 'c'}
    assert failures == ['table t'] * failing


def test_a_probe_survives_a_listener_that_fails(failures):
    script = ScriptedTable(state(5, ('a', 2, False)))
    listener = FailingListener(1)
    watch = TableWatch('t', script, listener, EventLog('n', 2), Metrics())
    watch.tracker.read(state(1))
    assert watch.probe(script)
    script.answers.append(state(5))
    assert watch.probe(script)
    assert set(listener.rows) == {'old', 'a'}
    assert failures == ['table t']


def test_all_that_is_known_includes_removals():
    tracker = make_table_tracker()
    tracker.read(state(5, ('a', 1, False), ('b', 2, False)))
    tracker.changed(state(6, ('a', 6, True)))
    change = tracker.known_change()
    assert [row.key for row in change.rows] == ['b']
    assert change.removed == ('a',)
    assert change.removed_by == 6


def test_a_loop_starts_again_after_an_unexpected_error(failures, monkeypatch):
    """Guards against a background loop that ends unseen."""
    pauses = []
    monkeypatch.setattr(supervision.gevent, 'sleep', pauses.append)
    runs = []

    def run():
        runs.append(1)
        if len(runs) < 10:
            raise RecursionError('too deep')

    supervision.supervise('loop', run)
    assert len(runs) == 10
    assert failures == ['loop'] * 9
    assert pauses[:3] == [0.1, 0.2, 0.4]
    assert pauses[-1] == supervision.LONGEST_PAUSE_S


def test_a_loop_that_is_killed_does_not_start_again(failures):
    worker = spawn_loop('loop', lambda: gevent.sleep(60))
    gevent.sleep(0)
    worker.kill()
    assert worker.dead
    assert not failures


def test_a_failure_is_logged_and_counted():
    log, metrics = RecordingLog(), Metrics()
    report = make_event_reporter(log, metrics)
    try:
        raise ValueError('why')
    except ValueError as error:
        report('loop', error)
    [(event, facts)] = log.events
    assert (event, facts['part']) == ('part_failed', 'loop')
    assert 'ValueError: why' in facts['why']
    assert b'comfreyarch_part_failures_total{part="loop"} 1.0' in metrics.text()


def test_datagrams_are_received_after_a_handler_fails(failures):
    log = RecordingLog()
    datagrams = Datagrams('127.0.0.1:0', log)
    received = []

    def handle(message, _address):
        if message[1] == 'bad':
            raise RuntimeError('handler')
        received.append(message[1])

    datagrams.handlers['t'] = handle
    datagrams.start()
    address = '{}:{}'.format(*datagrams.sock.getsockname())
    try:
        for text in ('bad', 'good'):
            datagrams.send(['t', text], address)
        with gevent.Timeout(10):
            while not received:
                gevent.sleep(0.01)
    finally:
        datagrams.close()
    assert received == ['good']
    assert failures == ['datagrams received']
