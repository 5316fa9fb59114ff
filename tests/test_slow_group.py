"""Test that a group whose passes are slow is not taken for a stalled one."""

import pytest
from group_world import GroupWorld, address_of

from comfreyarch_core.enginehealth import (
    MAX_STALLED_S,
    STALLED_S,
    EngineHealth,
    make_health_watch,
)
from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.slowranks import REACTION_S, make_slow_ranks
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector

POLL_S = 0.15


def make_state(step, pace=1, running=4):
    """Make the state of an engine that works."""
    return EngineState(
        'g', 1, 5, 8, True, step, 0, None, None, None, 0, pace, running
    )


def watch_passes(watch, pass_s, start, seconds, first_step=0, pace=1):
    """Report steps of a constant pass time.

    :returns: the times at which the engine was not usable.
    """
    stalled = []
    for number in range(int(seconds / POLL_S)):
        now = start + number * POLL_S
        step = first_step + int(number * POLL_S / pass_s)
        if not watch.handle(make_state(step, 1), now, pace).usable:
            stalled.append(now)
    return stalled


# Fails if an upstream whose passes take longer than the shortest stall is reported
# unusable again and again: entries then send it nothing, and its leader recovers a
# group that works.
@pytest.mark.parametrize('pass_s', [0.42, 0.5, 0.56, 0.7])
def test_slow_passes_are_no_stall(pass_s):
    watch = make_health_watch()
    watch_passes(watch, 0.06, 0, 3)
    stalled = watch_passes(watch, pass_s, 3, 20, 50)
    # Only the first slow pass may look like a stall.
    assert all(at < 3 + 2 * pass_s for at in stalled)


# Fails if the first long pass after a rank became slow starts a recovery.
def test_a_known_slow_rank_explains_the_first_long_pass():
    watch = make_health_watch()
    watch_passes(watch, 0.06, 0, 3)
    assert not watch_passes(watch, 0.7, 3, 20, 50, pace=12)


def test_a_stall_is_found_soon_after_passes_of_the_usual_time():
    watch = make_health_watch()
    watch_passes(watch, 0.7, 0, 10)
    watch_passes(watch, 0.06, 10, 3, 20)
    last = make_state(int(20 + 2.85 / 0.06))
    assert watch.handle(last, 12.9).usable
    assert not watch.handle(last, 12.9 + STALLED_S + POLL_S).usable


# Fails if a long stall counts as a pass, after which no stall would be found.
def test_the_longest_time_without_a_step_is_bounded():
    watch = make_health_watch()
    for step in range(5):
        watch.handle(make_state(step), step * 10)
    assert watch.stall_timeout_s() == MAX_STALLED_S
    assert watch.stall_timeout_s(50) == MAX_STALLED_S
    assert not watch.handle(make_state(4), 43).usable


def test_slow_ranks_are_told_once():
    slow = make_slow_ranks()
    assert not slow.handle(1, 1.5, 0)
    assert slow.handle(1, 12, 1)
    assert not slow.handle(1, 11, 2)
    assert slow.is_map_due(1.5)
    assert not slow.is_map_due(1 + REACTION_S)
    assert slow.handle(1, 1, 3)
    assert not slow.is_map_due(3)


def choose_often(paces, busy=()):
    """Choose upstreams of a service with the given paces.

    :returns: the names chosen.
    """
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(
        UpstreamEntry(f'u{rank}', 's', f'h:{rank}', 'z', 5, False)
        for rank in range(len(paces))
    )
    for rank, pace in enumerate(paces):
        health = EngineHealth('g', 1, usable=True, pace=pace)
        selector.update_health(f'h:{rank}', health, 0)
    for rank in busy:
        selector.views[f'u{rank}'].in_flight = 5
    chosen = [selector.choose('s', 0) for _ in range(40)]
    return {view.entry.name for view in chosen if view is not None}


# Fails if a stream is placed at a slow rank once the others are busy: every further
# stream there makes each pass of the whole group longer.
def test_no_stream_is_placed_at_a_slow_rank():
    assert choose_often([1, 12, 1, 1]) == {'u0', 'u2', 'u3'}
    assert not choose_often([1, 12, 1, 1], busy=(0, 2, 3))


def test_upstreams_are_used_if_most_are_slow():
    assert choose_often([1, 12, 12, 12], busy=(0,))
    assert choose_often([12, 12, 12, 12])


# Fails if the leader learns of a slow rank only from passes that got longer, and if
# it recovers a group that makes progress.
def test_a_slow_rank_is_planned_for_and_not_recovered(monkeypatch):
    world = GroupWorld(72, monkeypatch, address_of(40))
    world.max_gap_s, world.slots = 10, 15
    world.start_all()
    world.run(6)
    assert not world.events('map_planned')
    read_state = world.read_state
    slow_from = world.clock.now
    world.slow = {20: 12.0}
    world.step = read_state(0).step
    world.started_at = slow_from
    world.pass_s = 0.7
    world.run(1.5)
    seen = world.events('slow_ranks')
    assert seen[0][0] - slow_from < 0.5
    assert world.events('map_planned')[0][0] - slow_from < 0.5
    world.run(6)
    # A recovery begins with a hold.
    assert not world.events('direct_order')
    assert not world.events('engine_silent')
