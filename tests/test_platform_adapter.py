"""Test the decoding and encoding of the platform's documents and headers.

The examples have the format that the platform's pages describe.
"""

import base64
import json

import gevent
import msgspec
import pytest

from comfreyarch_core.coldstates import ColdRules
from comfreyarch_core.coldupstreams import ColdBound
from comfreyarch_core.enginestate import (
    ArmedSwitch,
    ArmMap,
    DisarmMap,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)
from comfreyarch_core.routetable import RouteKind
from comfreyarch_core.storeposition import make_position
from comfreyarch_daemon.headercodec import SendContext
from comfreyarch_daemon.leadership import LeaderRow, Term
from comfreyarch_daemon.settings import SettingsError
from comfreyarch_daemon.tablesource import HistoryGone, StoreCallFailed
from comfreyarch_platform.bootfile import (
    read_entry_settings,
    read_rank_settings,
)
from comfreyarch_platform.callheaders import PlatformHeaderCodec
from comfreyarch_platform.documents import (
    DocumentError,
    decode_configuration,
    decode_map_rules,
    decode_upstream,
)
from comfreyarch_platform.engines import decode_state, encode_order
from comfreyarch_platform.jsoncalls import JsonAnswer
from comfreyarch_platform.storeclient import decode_page
from comfreyarch_platform.tables import PlatformLeadership, PlatformTable

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h.example',
            'prefix': '/a/',
            'kind': 'streaming',
            'timeoutMs': 8000,
            'targetLatencyMs': 402,
            'priority': 1,
            'trafficSplit': [
                {'service': 'x', 'weight': 90},
                {'service': 'y', 'weight': 10},
            ],
            'attempts': 2,
            'public': False,
            'stickySessions': True,
            'resumable': True,
            'targetGapMs': 120,
        },
        {
            'name': 'q',
            'host': 'h.example',
            'prefix': '/b/',
            'kind': 'non_idempotent',
            'timeoutMs': 2000,
            'service': 'y',
        },
    ],
    'services': [
        {
            'name': 'x',
            'healthPath': '/health',
            'connectionLimit': 516,
            'engine': {
                'slots': 6,
                'step_ms': 5.85,
                'per_seq_ms': 0.71,
                'read_per_s': 61200.0,
                'usual': {'prompt': 835, 'answer': 139},
                'sets': 6,
                'experts': 64,
                'rankCapacity': 11,
                'spare': 4,
            },
        },
        {'name': 'y', 'connectionLimit': 220},
    ],
    'limits': {
        'maxHeaderBytes': 100,
        'maxBodyBytes': 200,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 't', 'apiKeys': ['k', 'l'], 'priority': 3}],
    'fieldOfALaterRelease': {'x': 1},
}
SERVER = {
    'service': 'x',
    'address': '10.0.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldRemainingMs': 500,
    'sequence': 4,
}


def test_a_configuration():
    table = decode_configuration(json.dumps(CONFIGURATION).encode())
    route = table.match('h.example', '/a/x')
    assert route.kind == RouteKind.streaming
    assert (route.timeout_s, route.target_s) == (8, 0.402)
    assert route.gap_target_s == 0.12
    assert [share.weight for share in route.services] == [90, 10]
    assert table.match('h.example', '/b/').services[0].service == 'y'
    assert table.services['x'].engine.step_s == pytest.approx(0.00585)
    assert table.team_of('l').priority == 3
    assert table.limits.idle_timeout_s == 15


def test_without_tenants_no_keys_are_asked_for():
    without_tenants = {**CONFIGURATION, 'tenants': None}
    assert not decode_configuration(
        json.dumps(without_tenants).encode()
    ).requires_keys
    empty = {**CONFIGURATION, 'tenants': []}
    assert decode_configuration(json.dumps(empty).encode()).requires_keys


@pytest.mark.parametrize(
    'document',
    [
        b'',
        b'{',
        b'[]',
        b'{"version": "x"}',
        b'\xff\xfe',
        json.dumps({'version': 1, 'routes': [{'name': 'r'}]}).encode(),
        json.dumps(
            {
                'version': 1,
                'routes': [
                    {**CONFIGURATION['routes'][0], 'kind': 'other'},
                ],
            }
        ).encode(),
    ],
)
def test_a_configuration_that_cannot_be_read(document):
    with pytest.raises(DocumentError):
        decode_configuration(document)


def test_rules_of_maps():
    document = json.dumps(CONFIGURATION).encode()
    rules = decode_map_rules(document, 'x')
    assert (rules.limits.experts, rules.limits.capacity) == (64, 11)
    assert rules.limits.max_new == 4
    assert rules.service_limits.max_gap_s == 0.12
    assert decode_map_rules(document, 'y') is None


def test_rules_of_maps_state_the_cost_of_copies():
    engine = {
        'experts': 144,
        'expertFraction': 0.5,
        'expertMb': 370.0,
        'linkMbps': 90000.0,
    }
    document = {'version': 1, 'services': [{'name': 'x', 'engine': engine}]}
    rules = decode_map_rules(json.dumps(document).encode(), 'x')
    assert rules.service_limits.expert_share == 0.5
    copy_s = rules.service_limits.expert_copy_s
    assert copy_s == pytest.approx(0.0329, abs=1e-4)


def test_a_server():
    entry = decode_upstream('i-1', json.dumps(SERVER).encode(), 12)
    assert (entry.name, entry.listed, entry.cold_s) == ('i-1', 12, 0.5)
    assert not entry.leaving
    leaving = {**SERVER, 'state': 'draining'}
    assert decode_upstream('i', json.dumps(leaving).encode(), 1).leaving


# Fails if a time that is not stated is taken for a statement that it is warm.
def test_the_time_for_which_a_server_is_cold():
    stated = {100: 0.1, 0: 0, -5: 0, None: None, 'x': None}
    for cold_ms, cold_s in stated.items():
        document = json.dumps({**SERVER, 'coldRemainingMs': cold_ms}).encode()
        assert decode_upstream('i', document, 1).cold_s == cold_s


def test_cold_servers_of_a_service():
    cold = {'name': 'z', 'coldStartS': 3, 'coldPerS': 28.5}
    services = [*CONFIGURATION['services'], cold]
    document = json.dumps({**CONFIGURATION, 'services': services}).encode()
    table = decode_configuration(document)
    assert table.services['z'].cold == ColdRules(3, 28.5)
    assert table.services['x'].cold == ColdRules(0, 0)


@pytest.mark.parametrize(
    'change',
    [
        {'service': None},
        {'service': 5},
        {'service': ''},
        {'address': 'x'},
        {'address': '10.0.0.9'},
        {'zone': []},
        {'slots': 0},
        {'slots': True},
        {'slots': '6'},
        {'state': 'other'},
        {'state': None},
    ],
)
def test_an_entry_of_another_writer_names_no_server(change):
    with pytest.raises(DocumentError):
        decode_upstream('i', json.dumps({**SERVER, **change}).encode(), 1)


@pytest.mark.parametrize('document', [b'', b'\x00', b'[1]', b'"x"', b'null'])
def test_bytes_that_are_no_entry(document):
    with pytest.raises(DocumentError):
        decode_upstream('i', document, 1)


CALL = [
    ('Host', 'h.example'),
    ('X-Attempt-Id', 'a'),
    ('X-Deadline-Ms', '8050'),
    ('X-Model', 'm'),
    ('X-Token-Counts', '1460,80'),
    ('X-Prompt-Prefix', '5c:800,91:410'),
    ('Authorization', 'Bearer key'),
    ('Connection', 'keep-alive, X-Hop'),
    ('X-Hop', '1'),
    ('X-Tenant', 'no'),
    ('X-Expected-Instance', 'no'),
    ('X-Own', 'y'),
    ('Content-Length', '3'),
]


def test_headers_of_a_call():
    header_codec = PlatformHeaderCodec()
    head = header_codec.read_call(CALL)
    assert (head.attempt, head.left_s, head.key) == ('a', 8.05, 'key')
    assert (head.prompt_tokens, head.answer_tokens) == (1460, 80)
    assert head.last_event_id == -1
    context = SendContext('i-1', 1.5, 't', 2, 11)
    sent = dict(header_codec.send_headers(head, context))
    assert sent['X-Deadline-Ms'] == '1500'
    assert sent['X-Expected-Instance'] == 'i-1'
    assert sent['X-Tenant'] == 't'
    assert sent['Last-Event-Id'] == '11'
    assert sent['X-Prompt-Prefix'] == '5c:800,91:410'
    assert sent['X-Own'] == 'y'
    assert not {'Authorization', 'X-Hop', 'Connection'} & sent.keys()


@pytest.mark.parametrize(
    ('text', 'last_event_id'),
    [
        ('0', 0),
        (' 0 ', 0),
        ('00', 0),
        ('1', 1),
        ('9007199254740993', 9007199254740993),
        ('', -1),
        ('-1', -1),
        ('1.5', -1),
        ('\u00b2', -1),
        ('9' * 400, -1),
        ('9' * 5000, -1),
    ],
)
def test_last_event_id_of_a_call(text, last_event_id):
    """Guards against the id 0 read as no id, and ids that are rounded."""
    header_codec = PlatformHeaderCodec()
    head = header_codec.read_call([*CALL, ('Last-Event-Id', text)])
    assert head.last_event_id == last_event_id
    context = SendContext('i-1', 1.5, 't', 2, last_event_id)
    sent = dict(header_codec.send_headers(head, context))
    expected = None if last_event_id < 0 else str(last_event_id)
    assert sent.get('Last-Event-Id') == expected


def test_headers_of_an_answer():
    head = PlatformHeaderCodec().read_answer(
        [
            ('X-Attempt-Id', 'a'),
            ('X-Server-Signature', 's'),
            ('X-Server-Load', '3, 1,6'),
            ('Keep-Alive', 'max=9, timeout=4'),
            ('Connection', 'keep-alive'),
            ('Content-Length', '2'),
            ('X-B', 'c'),
        ]
    )
    assert head.signed
    assert not head.not_run
    assert (head.load.running, head.load.waiting, head.load.slots) == (3, 1, 6)
    assert head.keep_alive_s == 4
    assert ('X-B', 'c') in head.forwarded
    assert len(head.forwarded) == 4


@pytest.mark.parametrize('load', ['', '1,2', 'a,b,c', '1,2,3,4', '-1,2,3'])
def test_a_load_that_cannot_be_read_is_none(load):
    assert (
        PlatformHeaderCodec().read_answer([('X-Server-Load', load)]).load
        is None
    )


REPORT = {
    'group': {'name': 'g', 'epoch': 2, 'rank': 3, 'state': 'open'},
    'size': 8,
    'sequence': 0,
    'queuedRequests': 1,
    'activeRequests': 4,
    'pace': 1.5,
    'step': 376,
    'expertMap': 5,
    'isPrepared': None,
    'isArmed': None,
    'held': None,
}


def test_a_report():
    state = decode_state(REPORT)
    assert (state.epoch, state.rank, state.step) == (2, 3, 376)
    assert (state.running, state.waiting, state.pace) == (4, 1, 1.5)
    armed = {'version': 6, 'step': 380}
    later = {**REPORT, 'isPrepared': 6, 'isArmed': armed, 'held': 380}
    state = decode_state(later)
    assert (state.prepared, state.held) == (6, 380)
    assert state.armed == ArmedSwitch(6, 380)
    assert decode_state({'size': 1}) is None


@pytest.mark.parametrize(
    ('order', 'fields'),
    [
        (
            PrepareMap(4, (((0, 2), (1, 0)),)),
            {
                'operation': 'prepare',
                'version': 4,
                'expertMap': [[[0, 2], [1, 0]]],
            },
        ),
        (ArmMap(4, 9), {'operation': 'arm', 'version': 4, 'step': 9}),
        (DisarmMap(4), {'operation': 'disarm', 'version': 4}),
        (HoldStep(9), {'operation': 'retention', 'step': 9}),
        (ReleaseStep(9), {'operation': 'go', 'step': 9}),
    ],
)
def test_orders(order, fields):
    assert json.loads(msgspec.json.encode(encode_order(order))) == fields


def test_rows():
    state = decode_page(
        {
            'rows': [
                {'key': 'k', 'value': 'bm9kZS0x', 'schemaVersion': 412},
                {'key': 'l', 'schemaVersion': 413, 'isRemoved': True},
            ],
            'schemaVersion': 530,
        }
    )
    assert [row.content for row in state.rows] == [b'node-1', b'']
    assert [row.removed for row in state.rows] == [False, True]
    assert state.version == 530


# Fails if a row of another part with the key of the configuration is taken for
# the configuration: the feed returns the rows of all parts of a table.
def test_rows_of_other_parts_are_left_out():
    state = decode_page(
        {
            'rows': [
                {'part': 'p', 'key': 'config', 'schemaVersion': 7},
                {'part': '', 'key': 'config', 'schemaVersion': 6},
                {
                    'part': 'p',
                    'key': 'x',
                    'schemaVersion': 9,
                    'isRemoved': True,
                },
            ],
            'schemaVersion': 530,
        }
    )
    assert [(row.key, row.version) for row in state.rows] == [('config', 6)]


@pytest.mark.parametrize(
    'page',
    [
        {},
        {'rows': None, 'schemaVersion': 1},
        {'rows': [{}], 'schemaVersion': 1},
        {'rows': []},
        {
            'rows': [{'key': 'k', 'value': '!', 'schemaVersion': 1}],
            'schemaVersion': 'x',
        },
    ],
)
def test_malformed_pages_count_as_no_answer(page):
    with pytest.raises(StoreCallFailed):
        decode_page(page)


BOOT = {
    'nodeName': 'edge-1',
    'ipAddress': '10.1.0.40',
    'zone': 'z',
    'listenAddresses': {'frontend': '10.1.0.40:1', 'ready': '10.1.0.40:2'},
    'internalPortRange': [7340, 7355],
    'bounds': {
        'gracePeriodS': 8,
        'retryBudgetRatio': 0.2,
        'retryWindowS': 10,
        'retryAllowance': 184,
        'stall_ms': 1500,
        'evacuationMs': 5000,
    },
    'platform': {'address': '10.200.1.7:8223', 'form': 'table'},
    'later': 1,
}


def test_settings_of_an_entry(tmp_path):
    path = tmp_path / 'boot'
    path.write_text(json.dumps(BOOT))
    settings = read_entry_settings(path)
    assert settings.callers == '10.1.0.40:1'
    assert settings.peers == '10.1.0.40:7340'
    assert (settings.retries.ratio, settings.retries.allowance) == (0.2, 184)
    assert settings.evacuation_s == 5
    with pytest.raises(SettingsError, match="'app' .* is missing"):
        read_rank_settings(path)


def test_bounds_of_cold_upstreams(tmp_path):
    path = tmp_path / 'boot'
    path.write_text(json.dumps(BOOT))
    assert read_entry_settings(path).cold_bound == ColdBound(1, 0)
    bounds = {**BOOT['bounds'], 'coldOverage': 1.5, 'coldAllowance': 5}
    path.write_text(json.dumps({**BOOT, 'bounds': bounds}))
    assert read_entry_settings(path).cold_bound == ColdBound(1.5, 5)


def test_settings_of_a_sidecar(tmp_path):
    path = tmp_path / 'boot'
    boot = {**BOOT, 'app': '10.1.0.40:8228', 'service': 'x'}
    path.write_text(json.dumps({**boot, 'listenAddresses': {}}))
    settings = read_rank_settings(path)
    assert (settings.engine, settings.service) == ('10.1.0.40:8228', 'x')


@pytest.mark.parametrize('content', ['', '{', '[]', '{"nodeName": 3}'])
def test_settings_that_cannot_be_read_say_so(tmp_path, content):
    path = tmp_path / 'boot'
    path.write_text(content)
    with pytest.raises(SettingsError, match=str(path)):
        read_entry_settings(path)


class ScriptedConnection:
    """Answer the store's calls from a script of status, era and fields."""

    address = 'store:1'

    def __init__(self, *answers):
        self.answers = list(answers)
        self.targets = []

    def call(self, _method, target, _body, _timeout_s):
        """Return the next answer."""
        self.targets.append(target)
        status, era, fields = self.answers.pop(0)
        headers = [('Store-Era', str(era))] if era is not None else []
        return JsonAnswer(status, headers, json.dumps(fields).encode())

    def close(self):
        """Do nothing."""


def page(version, *row_versions):
    """Make the fields of a page of rows."""
    rows = [
        {'key': f'k{row}', 'value': '', 'schemaVersion': row}
        for row in row_versions
    ]
    return {'rows': rows, 'schemaVersion': version, 'hasMore': False}


def open_table(*answers):
    """Open a table with a scripted connection."""
    table = PlatformTable('store:1', 'op')
    table.store.connection = ScriptedConnection(*answers)
    return table


def test_positions_rise_with_the_era():
    table = open_table((200, None, page(9, 4)), (200, 1, page(3, 2)))
    before, after = table.read(), table.read()
    assert before.version == 9
    assert after.version > before.version
    assert after.rows[0].version > before.rows[0].version


# Fails if changes after a version of the former history are taken for changes
# since then, as the store gives its versions out again.
def test_changes_of_another_era_require_a_full_read():
    table = open_table((200, 1, page(30, 28)))
    with pytest.raises(HistoryGone):
        table.changes(20, 1)


def test_changes_in_a_later_era_are_called_by_version():
    table = open_table((200, 2, page(30, 28)))
    changes = table.changes(make_position(2, 20), 1)
    assert 'afterRevision=20' in table.store.connection.targets[0]
    assert changes.version == make_position(2, 30)


def test_an_answer_of_an_older_era_is_ignored():
    table = open_table((200, 1, page(30, 28)))
    with pytest.raises(StoreCallFailed, match='era'):
        table.changes(make_position(2, 20), 1)


def test_a_table_read_while_the_store_is_restored_is_read_again():
    first = {**page(30, 28), 'hasMore': True}
    table = open_table((200, 0, first), (200, 1, page(9, 4)))
    with pytest.raises(StoreCallFailed, match='restored'):
        table.read()


# Fails if a fence goes down, so that sidecars refuse the orders of a new leader.
def test_the_fence_of_a_claim_after_a_restoration_is_higher():
    leadership = PlatformLeadership('store:1')
    leadership.store.connection = ScriptedConnection(
        (200, 0, {'schemaVersion': 500}), (200, 1, {'schemaVersion': 12})
    )
    before = leadership.claim('g', Term('a', 1), LeaderRow(0))
    after = leadership.claim('g', Term('a', 1), LeaderRow(0))
    assert after > before


# Fails if the fence of a leader changes with the store's era: the versions of its
# maps are made of it, and a new leader recognizes the maps of its predecessor.
def test_the_fence_of_a_term_stays_when_the_store_is_restored():
    terms = [{'address': 'a', 'epoch': 1, 'era': 1}]
    content = base64.b64encode(json.dumps(terms).encode()).decode()
    row = {'key': 'g', 'value': content, 'schemaVersion': 7}
    answer = {'rows': [row], 'schemaVersion': 9, 'hasMore': False}
    leadership = PlatformLeadership('store:1')
    leadership.store.connection = ScriptedConnection(
        (200, 1, answer), (200, 2, answer)
    )
    before, after = leadership.read('g'), leadership.read('g')
    assert before.fence == after.fence == make_position(1, 7)
    assert (before.era, after.era) == (1, 2)


# Fails if a leader of an earlier release, which states no era, is not read.
def test_a_row_of_an_earlier_release_is_of_the_first_era():
    terms = [{'address': 'a', 'epoch': 1}]
    content = base64.b64encode(json.dumps(terms).encode()).decode()
    row = {'key': 'g', 'value': content, 'schemaVersion': 7}
    answer = {'rows': [row], 'schemaVersion': 9, 'hasMore': False}
    leadership = PlatformLeadership('store:1')
    leadership.store.connection = ScriptedConnection((200, None, answer))
    assert leadership.read('g') == LeaderRow(7, (Term('a', 1),), 0)


# Fails if a claim that met another row of the same version counts as won.
def test_a_claim_on_a_condition_of_another_era_is_unknown():
    leadership = PlatformLeadership('store:1')
    leadership.store.connection = ScriptedConnection(
        (200, 1, {'schemaVersion': 12})
    )
    with pytest.raises(StoreCallFailed, match='restored'):
        leadership.claim('g', Term('a', 1), LeaderRow(7))


@pytest.mark.parametrize('era', ['x', '-1', '1.5'])
def test_an_invalid_era_counts_as_no_answer(era):
    table = open_table((200, era, page(9, 4)))
    with pytest.raises(StoreCallFailed, match='store-era'):
        table.read()


@pytest.mark.parametrize('born', [None, 'x', -1, True, 1e300])
def test_a_start_that_is_no_number_is_unknown(born):
    document = json.dumps({**SERVER, 'born': born}).encode()
    assert decode_upstream('i', document, 1).started_ms == 0


@pytest.mark.parametrize(
    ('prefix', 'parts'),
    [
        ('5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('e4402b7d:250', ()),
        ('', ()),
        (' a : 1 , b:2 , c', ('a', 'b')),
        (f'{"a" * 65}:1,b:2,c:3', ('b',)),
        (','.join(f'{number:x}:1' for number in range(1000)), None),
    ],
)
def test_the_shared_parts_of_a_prompt_are_all_but_the_last(prefix, parts):
    head = PlatformHeaderCodec().read_call([('X-Prompt-Prefix', prefix)])
    if parts is None:
        assert len(head.shared_parts) == 32
    else:
        assert head.shared_parts == parts


class SlowStore:
    """Answer slowly, and count the calls in progress at the same time."""

    def __init__(self):
        self.calls = 0
        self.most = 0

    def read_row(self, _key):
        """Read a row that does not exist."""
        self.calls += 1
        self.most = max(self.most, self.calls)
        gevent.sleep(0.01)
        self.calls -= 1
        return None, 0

    def write_row(self, key, _content, _expected):
        """Write a row."""
        self.read_row(key)
        return 1


def test_a_claim_waits_for_a_reading_on_the_same_connection():
    """Guards against two greenlets that read answers of one connection."""
    leadership = PlatformLeadership('127.0.0.1:9')
    leadership.store = SlowStore()
    calls = [
        gevent.spawn(leadership.read, 'g'),
        gevent.spawn(leadership.claim, 'g', Term('a', 1), LeaderRow(0)),
        gevent.spawn(leadership.read, 'g'),
    ]
    gevent.joinall(calls, timeout=5, raise_error=True)
    assert [call.value for call in calls][1] == 1
    assert leadership.store.most == 1
