"""Test that a request which crashes each upstream is barred despite retries.

Callers send such a request again and again, through different entries.
"""

import random

import pytest
from direct_world import World, answering

from comfreyarch_core.crashguard import (
    BARRING_CRASHES,
    EVIDENCE_S,
    SUSPECT_TTL_S,
    ConnectionBroken,
    PeerReport,
    RequestAnswered,
    UpstreamDied,
    make_crash_guard,
)

# Retries that may reach upstreams after the third crash, by requirement.
MAX_LATER_RETRIES = 3


def crash(guard, digest, upstream, now):
    """Crash an upstream with a request.

    :returns: the notices for the other entries.
    """
    guard.handle(ConnectionBroken(digest, upstream), now)
    return guard.handle(UpstreamDied(upstream), now + 1)


def test_a_request_that_crashed_three_upstreams_is_barred():
    guard = make_crash_guard()
    for number in range(BARRING_CRASHES):
        assert not guard.barred('d', number)
        (notice,) = crash(guard, 'd', f'u{number}', number)
    assert notice.barred
    assert len(notice.upstreams) == BARRING_CRASHES
    assert guard.barred('d', BARRING_CRASHES)
    assert not guard.barred('other', BARRING_CRASHES)


def test_a_broken_connection_to_a_live_upstream_is_no_crash():
    guard = make_crash_guard()
    for number in range(BARRING_CRASHES):
        guard.handle(ConnectionBroken('d', f'u{number}'), 0)
    late = 2 * EVIDENCE_S
    for number in range(BARRING_CRASHES):
        assert not guard.handle(UpstreamDied(f'u{number}'), late)
    assert not guard.barred('d', late)


def test_one_that_only_shared_dying_upstreams_is_cleared_by_an_answer():
    guard = make_crash_guard()
    for number in range(BARRING_CRASHES - 1):
        crash(guard, 'd', f'u{number}', number)
    (notice,) = guard.handle(RequestAnswered('d'), BARRING_CRASHES)
    assert not notice.upstreams
    crash(guard, 'd', 'u9', BARRING_CRASHES)
    assert not guard.barred('d', BARRING_CRASHES)


def test_the_same_upstream_counts_once():
    guard = make_crash_guard()
    for now in range(5):
        crash(guard, 'd', 'u', now)
    assert not guard.barred('d', 5)


def test_a_bar_ends_after_a_time_without_news():
    guard = make_crash_guard()
    guard.handle(PeerReport('d', frozenset('abc')), 0)
    assert guard.barred('d', SUSPECT_TTL_S)
    assert not guard.barred('d', SUSPECT_TTL_S + 1)


@pytest.mark.parametrize('seed', range(20))
def test_over_many_entries_few_retries_reach_upstreams_later(seed):
    """Each retry reaches a random entry; 10 % of the reports are lost."""
    source = random.Random(seed)
    guards = [make_crash_guard() for _ in range(10)]
    crashed = 0
    later = 0
    for number in range(200):
        now = number * 0.5
        guard = source.choice(guards)
        if guard.barred('d', now):
            continue
        later += crashed >= BARRING_CRASHES
        crashed += 1
        for notice in crash(guard, 'd', f'u{number}', now):
            report = PeerReport(notice.digest, notice.upstreams)
            for other in guards:
                if source.random() < 0.9:
                    other.handle(report, now)
    assert crashed >= BARRING_CRASHES
    assert later <= MAX_LATER_RETRIES


def dying(upstream, _sock, _request):
    """Simulate a crash on each request: the port has no listener afterwards."""
    upstream.server.stop(timeout=0)
    return 'close'


def test_an_entry_stops_sending_what_crashes_upstreams():
    with World(dying, dying, dying, dying, answering()) as world:
        world.upstreams[4].server.stop(timeout=0)
        for _ in range(6):
            status, _, _ = world.call('/once/x', body=b'poison')
            listed = [
                upstream.entry
                for upstream in world.upstreams[:4]
                if not upstream.seen
            ]
            world.entry.replace_upstreams(listed)
        assert world.runs == BARRING_CRASHES
        assert status == 503
        kinds = [
            facts['kind']
            for name, facts in world.log.events
            if name == 'refused'
        ]
        assert kinds[-1] == 'crashes_upstreams'
