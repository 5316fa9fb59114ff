"""Test what an entry learns of the request limits that upstreams announce."""

import json
import math
from dataclasses import replace

import pytest
from direct_world import World, answering
from typer.testing import CliRunner

from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.main import app
from comfreyarch_core.upstreamlimits import (
    CONFIRMATION_INTERVAL_S,
    MAX_RATE_PER_S,
    MIN_RATE_PER_S,
    UNKNOWN_VERSION,
    LimitChange,
    LimitState,
    make_upstream_limits,
)
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_daemon.monitoringpages import MetricsPage, make_page_server
from comfreyarch_daemon.operatorpages import OperatorPages
from comfreyarch_platform.callheaders import PlatformHeaderCodec

ENTRY = UpstreamEntry('u0', 's', '10.0.0.1:80', 'z', 6, False, started_ms=5)
RESTARTED = UpstreamEntry('u0', 's', '10.0.0.1:80', 'z', 6, False, started_ms=9)


def read_limit(*texts):
    """Decode the limit headers of an answer."""
    headers = [('Server-Limit', text) for text in texts]
    head = PlatformHeaderCodec().read_answer(headers)
    return head.request_limit, head.malformed_limit


def events(world, name):
    """Return the fields of the events of one name."""
    return [facts for event, facts in world.log.events if event == name]


@pytest.mark.parametrize(
    ('texts', 'rate'),
    [(['1'], 1), (['0.5'], 0.5), (['0'], 0), (['3, 2'], 2), (['3', '2'], 2)],
)
def test_the_lowest_stated_limit_is_read(texts, rate):
    assert read_limit(*texts) == (rate, '')


def test_an_answer_without_a_limit_states_none():
    assert read_limit() == (None, '')


@pytest.mark.parametrize(
    'texts',
    [
        ['-1'],
        ['nan'],
        ['inf'],
        ['1e308'],
        [''],
        ['1,'],
        ['1', 'x'],
        ['9' * 400],
        ['1' + '0' * 400 + ', 1'],
    ],
)
def test_a_malformed_limit_is_named_and_bounded(texts):
    rate, text = read_limit(*texts)
    assert rate is None
    assert 0 < len(text) <= 32


@pytest.mark.parametrize(
    ('stated', 'rate'),
    [(0, MIN_RATE_PER_S), (0.01, MIN_RATE_PER_S), (10**20, MAX_RATE_PER_S)],
)
def test_limits_are_bounded(stated, rate):
    limits = make_upstream_limits()
    limits.record_answer(ENTRY, stated, 0, 0)
    assert limits.rate(ENTRY) == rate


def test_a_limit_starts_changes_and_ends():
    limits = make_upstream_limits()
    assert limits.record_answer(ENTRY, None, 0, 0) is None
    assert limits.record_answer(ENTRY, 4, 0, 1) == LimitChange(
        'u0', math.inf, 4
    )
    assert limits.limited() == {'u0': 4}
    version = limits.version('u0')
    assert limits.record_answer(ENTRY, 6, version, 2) == LimitChange('u0', 4, 6)
    version = limits.version('u0')
    ended = limits.record_answer(ENTRY, None, version, 3)
    assert ended == LimitChange('u0', 6, math.inf)
    assert not limits.limited()


# Fails if the answer to a request that was sent before the upstream announced a
# limit ends or raises it.
@pytest.mark.parametrize('stated', [None, 9])
def test_an_answer_that_may_be_older_does_not_end_a_limit(stated):
    limits = make_upstream_limits()
    before = limits.version('u0')
    limits.record_answer(ENTRY, 4, before, 0)
    for version in (before, UNKNOWN_VERSION):
        assert limits.record_answer(ENTRY, stated, version, 0.1) is None
    # Confirmed meanwhile by an answer to a later request.
    sent = limits.version('u0')
    limits.record_answer(ENTRY, 4, sent, 1 + CONFIRMATION_INTERVAL_S)
    assert limits.record_answer(ENTRY, stated, sent, 2) is None
    assert limits.rate(ENTRY) == 4
    assert limits.record_answer(ENTRY, stated, limits.version('u0'), 3)


def test_a_lower_limit_holds_at_once():
    limits = make_upstream_limits()
    limits.record_answer(ENTRY, 4, 0, 0)
    assert limits.record_answer(ENTRY, 2, UNKNOWN_VERSION, 0.1)
    assert limits.rate(ENTRY) == 2


# Fails if entries keep different limits after an exchange of all they know.
def test_entries_agree_whatever_the_order():
    states = [
        LimitState(4, 2, 5),
        LimitState(3, 2, 5),
        LimitState(math.inf, 2, 5),
        LimitState(math.inf, 1, 5),
        LimitState(9, 1, 5),
    ]
    for order in (states, states[::-1]):
        limits = make_upstream_limits()
        for state in order:
            limits.merge(ENTRY, state, 0)
        assert limits.rate(ENTRY) == 3


# Fails if a limit outlives the process that announced it.
def test_a_limit_ends_with_the_process_of_the_upstream():
    limits = make_upstream_limits()
    limits.record_answer(ENTRY, 4, 0, 0)
    assert limits.rate(RESTARTED) == math.inf
    limits.merge(RESTARTED, LimitState(math.inf, 1, 9), 1)
    limits.merge(RESTARTED, LimitState(2, 50, 5), 2)
    assert limits.rate(RESTARTED) == math.inf


# Fails if the limit of a former process is reported for ever, or comes back from an
# entry with an older list.
def test_a_limit_is_forgotten_as_its_upstream_is_listed_anew():
    limits = make_upstream_limits()
    limits.record_answer(ENTRY, 4, 0, 0)
    assert limits.keep_listed([ENTRY]) == []
    assert limits.keep_listed([RESTARTED]) == [LimitChange('u0', 4, math.inf)]
    assert limits.merge(RESTARTED, LimitState(2, 50, 5), 2) is None
    assert not limits.states


def test_limits_of_unlisted_upstreams_are_forgotten():
    limits = make_upstream_limits()
    entries = [replace(ENTRY, name=f'u{number}') for number in range(100)]
    for entry in entries:
        limits.merge(entry, LimitState(1, 1, 5), 0)
    gone = limits.keep_listed(entries[7:8])
    assert len(gone) == 99
    assert limits.limited() == {'u7': 1}
    assert len(limits.states) == len(limits.confirmed_at) == 1


def test_an_entry_logs_and_publishes_a_limit():
    stated = ['Server-Limit: 2.5\r\n', 'Server-Limit: 3\r\n', '']

    def script(upstream, sock, request):
        extra = stated[min(2, len(upstream.seen) - 1)]
        answering(extra=extra)(upstream, sock, request)

    with World(script) as world:
        world.call('/safe/x')
        (started,) = events(world, 'limit_started')
        assert started == {'upstream': 'u0', 'per_s': 2.5, 'source': 'answer'}
        page = world.entry.metrics.text().decode()
        assert 'comfreyarch_upstream_limit_per_s{upstream="u0"} 2.5' in page
        world.call('/safe/x')
        (changed,) = events(world, 'limit_changed')
        assert (changed['former_per_s'], changed['per_s']) == (2.5, 3)
        world.entry.forwarder.limits.report()
        page = world.entry.metrics.text().decode()
        assert 'comfreyarch_upstream_sends_per_s{upstream="u0"} 0.25' in page
        world.call('/safe/x')
        (ended,) = events(world, 'limit_ended')
        assert ended == {'upstream': 'u0', 'source': 'answer'}
        page = world.entry.metrics.text().decode()
        assert 'upstream="u0"' not in page


# Fails if an answer with an unreadable limit ends a limit.
def test_a_malformed_limit_changes_nothing_and_is_logged():
    stated = ['Server-Limit: 2\r\n', 'Server-Limit: -1\r\n']

    def script(upstream, sock, request):
        extra = stated[min(1, len(upstream.seen) - 1)]
        answering(extra=extra)(upstream, sock, request)

    with World(script) as world:
        world.call('/safe/x')
        world.call('/safe/x')
        assert world.entry.forwarder.limits.control.limits.limited() == {
            'u0': 2
        }
        (malformed,) = events(world, 'limit_malformed')
        assert malformed == {'upstream': 'u0', 'text': '-1'}


def test_an_answer_not_made_by_the_upstream_ends_no_limit():
    def script(upstream, sock, request):
        if len(upstream.seen) == 1:
            answering(extra='Server-Limit: 2\r\n')(upstream, sock, request)
        else:
            answering(status=502, signed=False)(upstream, sock, request)

    with World(script) as world:
        world.call('/safe/x')
        world.call('/safe/x')
        assert world.entry.forwarder.limits.control.limits.limited() == {
            'u0': 2
        }


def test_operators_see_the_limits():
    with World(answering(extra='Server-Limit: 2\r\n')) as world:
        world.call('/safe/x')
        forwarder = world.entry.forwarder
        pages = OperatorPages(
            MetricsPage(world.entry.metrics),
            forwarder.crash_guard,
            forwarder.limits,
        )
        server = make_page_server('127.0.0.1:0', pages)
        server.start()
        address = f'127.0.0.1:{server.server_port}'
        runner = CliRunner()
        shown = runner.invoke(app, ['status', '--entry', address, '--json'])
        table = runner.invoke(app, ['status', '--entry', address])
        unknown = runner.invoke(app, ['status', '--entry', '127.0.0.1:1'])
        server.stop(timeout=0)
    (limit,) = json.loads(shown.output)[address]
    assert limit == {'upstream': 'u0', 'limit_per_s': 2, 'sends_per_s': 0}
    assert 'u0' in table.output
    assert isinstance(unknown.exception, CommandError)
