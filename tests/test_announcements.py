"""Test that upstreams which announce leaving or a hold get no more requests."""

from dataclasses import replace

import gevent
import pytest
from direct_world import World, answering, reply

from comfreyarch_core.announcements import make_announcements
from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector

LEAVES = 'Server-Leaving: 1\r\n'
HOLD = 'Retry-After: 60\r\n'
NOT_RUN = 'X-Not-Executed: 1\r\n'
ENTRIES = [
    UpstreamEntry(f'u{number}', 's', f'10.0.0.{number}:80', 'z', 6, False)
    for number in range(3)
]
HEALTHY = EngineHealth('g', 1, usable=True, pace=1)


def make_selector():
    """Create a selector of three upstreams."""
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(ENTRIES)
    return selector


def choices(selector, now=0):
    """Choose often.

    :returns: the names chosen.
    """
    chosen = [selector.choose('s', now) for _ in range(40)]
    return {view.entry.name for view in chosen if view is not None}


# Fails if an older list, a health report or a success brings requests back to an
# upstream that announced that it leaves.
def test_an_announced_leaving_holds_whatever_follows():
    selector = make_selector()
    assert selector.announced_leaving('u0')
    assert not selector.announced_leaving('u0')
    for _ in range(2):
        assert choices(selector) == {'u1', 'u2'}
        selector.update_upstreams(ENTRIES)
        selector.update_health('10.0.0.0:80', HEALTHY, 0)
        selector.succeeded('u0')
    # The instance list loses and regains it.
    selector.update_upstreams(ENTRIES[1:])
    selector.update_upstreams(ENTRIES)
    assert choices(selector) == {'u1', 'u2'}


def test_an_upstream_that_started_anew_under_its_name_is_used():
    selector = make_selector()
    selector.announced_leaving('u0')
    restarted = replace(ENTRIES[0], started_ms=5)
    selector.update_upstreams([restarted, *ENTRIES[1:]])
    assert choices(selector) == {'u0', 'u1', 'u2'}


def test_the_last_upstream_that_leaves_is_not_used():
    selector = make_selector()
    for entry in ENTRIES:
        selector.announced_leaving(entry.name)
    assert not choices(selector)
    assert not selector.services


# Fails if a probe, a success or a health report reaches an upstream that wants no
# request, or if a later, shorter time ends the first.
def test_a_hold_lasts_to_its_longest_end():
    selector = make_selector()
    selector.announced_hold('u0', 10, 0)
    selector.announced_hold('u0', 2, 1)
    for now in (0.1, 4, 9.9):
        assert choices(selector, now) == {'u1', 'u2'}
        selector.update_health('10.0.0.0:80', HEALTHY, now)
        selector.succeeded('u0')
    assert 'u0' in choices(selector, 10)


def test_the_earliest_end_counts_for_a_service():
    selector = make_selector()
    selector.announced_hold('u0', 10, 0)
    selector.announced_hold('u1', 5, 0)
    assert selector.hold_end('s') < 0
    selector.announced_hold('u2', 7, 0)
    assert selector.hold_end('s') == 5
    assert not choices(selector, 4.9)
    assert choices(selector, 5) == {'u1'}


def test_ended_holds_are_forgotten():
    announcements = make_announcements()
    for number in range(100):
        announcements.record_hold(f'u{number}', number + 1, number)
    assert len(announcements.held_until) <= 2


@pytest.mark.parametrize(
    'options',
    [{}, {'status': 500}, {'status': 503, 'signed': False}],
)
def test_any_answer_announces_leaving(options):
    extra = LEAVES if options.get('signed', True) else LEAVES + NOT_RUN
    leaving = answering(extra=extra, **options)
    with World(leaving, answering()) as world:
        world.entry.dispatcher.selector.announced_leaving('u1')
        world.call('/safe/x')
        assert len(world.upstreams[0].seen) >= 1
        reached = len(world.upstreams[0].seen)
        told = [name for name, _ in world.log.events]
        assert 'upstream_leaving' in told
        for _ in range(3):
            assert world.call('/safe/x')[0] == 503
        assert len(world.upstreams[0].seen) == reached


def test_a_leaving_upstream_passes_its_requests_to_the_others():
    with World(answering(extra=LEAVES), answering()) as world:
        for _ in range(12):
            assert world.call('/safe/x')[0] == 200
        assert len(world.upstreams[0].seen) <= 1


# Fails if the answer of the upstream that now has an address is taken for one of
# the upstream that had it before.
def test_a_misdirected_answer_announces_nothing():
    script = answering(status=421, extra=LEAVES, signed=False)
    with World(script, answering()) as world:
        for _ in range(6):
            world.call('/safe/x')
        told = [name for name, _ in world.log.events]
        assert 'upstream_leaving' not in told


def test_entries_tell_each_other_of_leaving():
    with World(answering(extra=LEAVES)) as world:
        told = []
        world.entry.forwarder.on_leaving = told.append
        world.call('/safe/x')
        world.call('/safe/x')
    assert told == ['u0']
    with World(answering()) as world:
        world.entry.forwarder.on_leaving = told.append
        world.entry.forwarder.record_leaving('u0', '10.0.0.9:1')
        assert world.call('/safe/x')[0] == 503
        assert not world.runs
    # A hint is not passed on, or it would go round for ever.
    assert told == ['u0']


def hold(_upstream, sock, request):
    """Reject a request, with the time after which to retry."""
    sock.sendall(reply(request, 503, b'', HOLD + NOT_RUN, signed=False))


# Fails if retries or other requests go on reaching an upstream that wants none.
def test_an_upstream_that_wants_no_request_gets_none():
    with World(hold, answering()) as world:
        for _ in range(12):
            assert world.call('/safe/x')[0] == 200
        assert len(world.upstreams[0].seen) <= 1


# Fails if callers wait for upstreams that all want no request in time.
@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/stream/x'])
def test_callers_are_refused_at_once_while_all_upstreams_are_held(path):
    with World(hold, hold) as world:
        for name in ('u0', 'u1'):
            world.entry.forwarder.record_hold(name, 60)
        status, headers, _ = world.call(path)
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert not world.runs
        refusals = [
            facts for name, facts in world.log.events if name == 'refused'
        ]
        assert 'want no request' in refusals[0]['why']


# Fails if requests that already wait are held until their time is over.
def test_waiting_requests_are_refused_once_all_upstreams_are_held():
    with World(answering(), answering()) as world:
        for view in world.entry.dispatcher.selector.views.values():
            view.in_flight = view.entry.slots
        caller = world.connect()
        caller.sendall(
            b'POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n'
            b'X-Deadline-Ms: 900000\r\nAuthorization: Bearer key\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        while not world.entry.dispatcher.results:
            gevent.idle()
        for name in ('u0', 'u1'):
            world.entry.forwarder.record_hold(name, 60)
        assert b' 503 ' in caller.recv(65536)
        assert not world.runs
