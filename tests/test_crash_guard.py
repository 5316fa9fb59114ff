"""Test that what crashes each upstream is barred, and nothing else.

Callers send the same request again and again, or requests that share one part
of their prompts, through different entries.
"""

import random

import pytest
from direct_world import World, answering

from comfreyarch_core.commonparts import (
    BAR_SCORE,
    MIN_ANSWERS,
    MIN_SENDS,
    NEW_ROUTE_SCORE,
)
from comfreyarch_core.crashguard import ANSWER_WEIGHT, make_crash_guard
from comfreyarch_core.crashmessages import (
    ConnectionBroken,
    CrashObserved,
    Lift,
    PeerAnswer,
    PeerBar,
    PeerCrash,
    RequestAnswered,
    RequestSent,
    SuspectAnswered,
    Target,
    TraitBarred,
    TraitCleared,
    UpstreamAlive,
    UpstreamDied,
)
from comfreyarch_core.crashrecords import EVIDENCE_S, MAX_CRASHES, SAME_CRASH_S
from comfreyarch_core.traitbars import BAR_S, MAX_BARS, PROBE_OUTCOME_S
from comfreyarch_core.traitscores import MAX_TRAITS
from comfreyarch_core.traitshares import MAX_SHARES

# Retries that may reach upstreams after the third crash, by requirement.
MAX_LATER_RETRIES = 3
TARGET = Target('s', 'r')
OTHER_ROUTE = Target('s', 'q')
OTHER_SERVICE = Target('t', 'p')
REQUEST = 'request:d'
COMMON = 'part:c'
BAD = 'part:bad'


def crash(guard, upstream, now, *traits, target=TARGET):
    """Crash an upstream with a request.

    :returns: the notices for the other entries.
    """
    guard.handle(ConnectionBroken(target, traits, upstream), now)
    return guard.handle(UpstreamDied(upstream), now)


def guard_with_baseline(*traits):
    """Create a guard that has received answers with some traits."""
    guard = make_crash_guard()
    for _ in range(MIN_ANSWERS):
        guard.handle(RequestAnswered(TARGET, traits), 0)
    return guard


def test_a_request_that_crashed_three_upstreams_is_barred():
    guard = make_crash_guard()
    for number in range(BAR_SCORE):
        assert not guard.bars.barred_trait((REQUEST,), number)
        notices = crash(guard, f'u{number}', number, REQUEST)
    assert notices == [
        CrashObserved(TARGET, f'u{BAR_SCORE - 1}', (REQUEST,)),
        TraitBarred(REQUEST, BAR_SCORE),
    ]
    assert guard.bars.barred_trait((REQUEST,), BAR_SCORE) == REQUEST
    assert not guard.bars.barred_trait(('request:other',), BAR_SCORE)


def test_the_part_that_different_requests_share_is_barred():
    """Guards against evidence that is keyed by one request (issue 28)."""
    guard = guard_with_baseline(COMMON)
    for number in range(BAR_SCORE):
        crash(guard, f'u{number}', 1, COMMON, BAD, f'request:{number}')
    assert set(guard.bars.by_trait) == {BAD}
    assert guard.bars.barred_trait((COMMON, BAD), 1) == BAD
    assert not guard.bars.barred_trait((COMMON, 'part:d'), 1)


def test_a_broken_connection_to_a_live_upstream_is_no_crash():
    guard = make_crash_guard()
    for number in range(BAR_SCORE):
        guard.handle(ConnectionBroken(TARGET, (REQUEST,), f'u{number}'), 0)
    late = 2 * EVIDENCE_S
    for number in range(BAR_SCORE):
        assert not guard.handle(UpstreamDied(f'u{number}'), late)
    for number in range(BAR_SCORE):
        guard.handle(ConnectionBroken(TARGET, (REQUEST,), f'u{number}'), late)
        guard.handle(UpstreamAlive(f'u{number}'), late)
        assert not guard.handle(UpstreamDied(f'u{number}'), late)
    assert not guard.bars.barred_trait((REQUEST,), late)


def test_answers_count_against_a_suspect_at_all_entries():
    guard = make_crash_guard()
    for number in range(BAR_SCORE - 1):
        crash(guard, f'u{number}', number, REQUEST)
    # Answers that make up for all crashes, half of them at a peer.
    for _ in range(int((BAR_SCORE - 1) / ANSWER_WEIGHT / 2)):
        notices = guard.handle(RequestAnswered(TARGET, (REQUEST,)), BAR_SCORE)
        assert notices == [SuspectAnswered(REQUEST)]
        guard.handle_peer(PeerAnswer(REQUEST), BAR_SCORE)
    for number in range(BAR_SCORE - 1):
        crash(guard, f'v{number}', BAR_SCORE, REQUEST)
    assert not guard.bars.barred_trait((REQUEST,), BAR_SCORE)


def test_what_is_answered_often_is_not_barred_when_a_service_goes_down():
    """Guards against a bar on what sound requests share (rule LOST)."""
    guard = guard_with_baseline(COMMON)
    for number in range(100):
        crash(guard, f'u{number}', 1, COMMON, f'request:{number}')
    assert not guard.bars.by_trait


def test_answers_of_another_service_say_nothing_about_a_part():
    """Guards against a bar on a common part of a service that is down."""
    guard = guard_with_baseline(COMMON)
    for _ in range(1000):
        guard.handle(RequestAnswered(OTHER_SERVICE, ('part:o',)), 1)
    for number in range(100):
        crash(guard, f'u{number}', 2, COMMON)
    assert not guard.bars.by_trait
    started = make_crash_guard()
    for _ in range(1000):
        started.handle(RequestAnswered(OTHER_SERVICE, ('part:o',)), 1)
    for number in range(100):
        crash(started, f'u{number}', 2, COMMON)
    assert not started.bars.by_trait


def test_answers_on_another_route_say_little_about_a_part():
    """Guards against a bar on a common part of a route used seldom."""
    guard = make_crash_guard()
    for _ in range(MIN_ANSWERS - 1):
        guard.handle(RequestAnswered(TARGET, (COMMON,)), 1)
    for number in range(NEW_ROUTE_SCORE):
        crash(guard, f'u{number}', 2, 'part:q', target=OTHER_ROUTE)
    assert not guard.bars.by_trait
    guard.handle(RequestAnswered(TARGET, (COMMON,)), 2)
    crash(guard, 'u9', 3, 'part:q', target=OTHER_ROUTE)
    assert set(guard.bars.by_trait) == {'part:q'}
    known = guard_with_baseline(COMMON)
    for _ in range(MIN_ANSWERS):
        known.handle(RequestAnswered(OTHER_ROUTE, ('part:q',)), 1)
    for _ in range(1000):
        known.handle(RequestAnswered(TARGET, (COMMON,)), 1)
    for number in range(100):
        crash(known, f'u{number}', 2, 'part:q', target=OTHER_ROUTE)
    assert not known.bars.by_trait


def test_parts_are_not_judged_before_it_is_known_which_are_common():
    guard = make_crash_guard()
    for number in range(20):
        crash(guard, f'u{number}', 1, COMMON, f'request:{number}')
    assert not guard.bars.by_trait


def test_without_any_answer_the_parts_sent_show_which_are_common():
    """Guards against crashes without end after a start of all entries."""
    guard = make_crash_guard()
    for number in range(MIN_SENDS):
        part = BAD if number % 5 == 0 else f'part:{number}'
        guard.handle(RequestSent(TARGET, (COMMON, part)), 1)
    for number in range(NEW_ROUTE_SCORE):
        assert not guard.bars.by_trait
        crash(guard, f'u{number}', 1, COMMON, BAD)
    assert set(guard.bars.by_trait) == {BAD}


def test_crashes_that_a_barred_part_explains_do_not_count_for_others():
    guard = guard_with_baseline(COMMON)
    for number in range(BAR_SCORE):
        parts = (BAD, 'part:a') if number else (BAD,)
        crash(guard, f'u{number}', 1, *parts)
    assert set(guard.bars.by_trait) == {BAD}
    for number in range(2):
        crash(guard, f'v{number}', 2, 'part:a')
    assert set(guard.bars.by_trait) == {BAD}
    crash(guard, 'v2', 2, 'part:a')
    assert set(guard.bars.by_trait) == {BAD, 'part:a'}


def test_a_bar_is_lifted_once_another_part_explains_its_crashes():
    guard = guard_with_baseline(COMMON)
    for number in range(BAR_SCORE):
        crash(guard, f'u{number}', 1, BAD, 'part:a')
    assert set(guard.bars.by_trait) == {'part:a'}
    notices = crash(guard, 'u9', 2, BAD, 'part:b')
    assert TraitCleared('part:a') in notices
    assert set(guard.bars.by_trait) == {BAD}


def test_reports_of_one_crash_count_once_and_a_restarted_upstream_again():
    guard = make_crash_guard()
    crash(guard, 'u', 0, REQUEST)
    for age_s in (0.0, 0.5, 1.0):
        guard.handle_peer(PeerCrash(TARGET, 'u', (REQUEST,), age_s), 1)
    assert guard.scores.net(REQUEST) == 1
    crash(guard, 'u', SAME_CRASH_S, REQUEST)
    assert guard.scores.net(REQUEST) == 2


def test_after_its_end_a_bar_lets_one_probe_through():
    guard = make_crash_guard()
    guard.handle_peer(PeerBar(REQUEST, 0, BAR_S), 0)
    assert guard.bars.barred_trait((REQUEST,), BAR_S - 1)
    assert not guard.bars.barred_trait((REQUEST,), BAR_S)
    guard.handle(RequestSent(TARGET, (REQUEST,)), BAR_S)
    assert guard.bars.barred_trait((REQUEST,), BAR_S)
    assert not guard.bars.barred_trait((REQUEST,), BAR_S + PROBE_OUTCOME_S + 1)
    crash(guard, 'u', BAR_S + 1, REQUEST)
    assert guard.bars.barred_trait((REQUEST,), 2 * BAR_S)
    guard.handle(RequestSent(TARGET, (REQUEST,)), 2 * BAR_S + 1)
    (notice,) = guard.handle(
        RequestAnswered(TARGET, (REQUEST,)), 2 * BAR_S + 1
    )[1:]
    assert notice == TraitCleared(REQUEST)
    assert not guard.bars.by_trait


def test_a_lifted_bar_is_not_taken_over_from_a_peer_that_missed_it():
    guard = make_crash_guard()
    guard.handle_peer(PeerBar(REQUEST, 0, BAR_S), 0)
    assert guard.handle(Lift(REQUEST), 5) == [TraitCleared(REQUEST)]
    late = guard.handle_peer(PeerBar(REQUEST, 6, BAR_S - 6), 6)
    assert late == [TraitCleared(REQUEST)]
    assert not guard.bars.by_trait
    guard.handle_peer(PeerBar(REQUEST, 0.5, BAR_S), 6)
    assert set(guard.bars.by_trait) == {REQUEST}


def test_an_entry_that_receives_answers_does_not_take_over_a_bar():
    guard = guard_with_baseline(COMMON)
    notices = guard.handle_peer(PeerBar(COMMON, 0, BAR_S), 1)
    assert notices == [TraitCleared(COMMON)]
    assert not guard.bars.by_trait


def test_a_bar_that_is_taken_over_is_enforced():
    guard = make_crash_guard()
    (notice,) = guard.handle_peer(PeerBar(BAD, 0, BAR_S), 1)
    assert notice == TraitBarred(BAD, 0)
    assert not guard.handle_peer(PeerBar(BAD, 1, BAR_S), 2)


def test_records_are_bounded_and_a_flood_of_parts_clears_no_suspect():
    guard = guard_with_baseline(COMMON)
    for number in range(BAR_SCORE - 1):
        crash(guard, f'u{number}', 1, BAD)
    for number in range(2 * MAX_TRAITS):
        guard.handle(RequestAnswered(TARGET, (f'part:{number}',)), 2)
    assert len(guard.scores.by_trait) <= MAX_TRAITS
    assert len(guard.common_parts.answered.traits) <= MAX_SHARES
    crash(guard, 'u9', 3, BAD)
    assert set(guard.bars.by_trait) == {BAD}
    for number in range(3 * MAX_BARS):
        guard.handle_peer(PeerBar(f'part:x{number}', 0, BAR_S), 4)
        crash(guard, f'w{number}', 4, f'part:y{number}')
    assert len(guard.bars.by_trait) == MAX_BARS
    assert len(guard.records.crashes) == MAX_CRASHES
    guard.expire(4 + EVIDENCE_S + BAR_S)
    assert not guard.records.crashes


def test_evidence_that_has_expired_counts_no_longer():
    guard = make_crash_guard()
    for number in range(BAR_SCORE - 1):
        crash(guard, f'u{number}', 0, REQUEST)
    crash(guard, 'u9', 10_000, REQUEST)
    assert not guard.bars.by_trait


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
        if guard.bars.barred_trait((REQUEST,), now):
            continue
        later += crashed >= BAR_SCORE
        crashed += 1
        for notice in crash(guard, f'u{number}', now, REQUEST):
            if not isinstance(notice, CrashObserved):
                continue
            report = PeerCrash(TARGET, notice.upstream, notice.traits, 0)
            for other in guards:
                if source.random() < 0.9:
                    other.handle_peer(report, now)
    assert crashed >= BAR_SCORE
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
        assert world.runs == BAR_SCORE
        assert status == 503
        kinds = [
            facts['kind']
            for name, facts in world.log.events
            if name == 'refused'
        ]
        assert kinds[-1] == 'crashes_upstreams'
