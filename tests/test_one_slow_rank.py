"""Test that requests and experts move away from a slow rank.

Ranks work in lock-step, so one slow rank slows every pass of its group.
"""

import random

from comfreyarch_core.enginehealth import (
    EngineHealth,
    make_health_watch,
    quantize_pass,
)
from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.mapplan import plan_map
from comfreyarch_core.routetable import EngineProfile
from comfreyarch_core.setplanner import MapLimits
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import (
    HEALTH_TTL_S,
    make_upstream_selector,
)
from comfreyarch_core.waiter import Waiter

RANKS, SLOTS = 8, 6
EXPERTS, CAPACITY = 64, 11


def make_selector_for(pass_times):
    """Create an upstream selector for groups with the given pass times.

    :param pass_times: seconds per pass by group name.
    """
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(
        UpstreamEntry(
            f'{group}{rank}', 's', f'h:{group}{rank}', 'z', SLOTS, False
        )
        for group in pass_times
        for rank in range(RANKS)
    )
    for group, pass_s in pass_times.items():
        for rank in range(RANKS):
            reported_pass_s = pass_s if rank == 0 else 0
            health = EngineHealth(group, 1, True, 1, reported_pass_s)
            selector.update_health(f'h:{group}{rank}', health, 0)
    return selector


def place(selector, count, now=0):
    """Choose upstreams for several requests, which stay in flight.

    :returns: the number of requests by group.
    """
    placed = {'a': 0, 'b': 0}
    for _ in range(count):
        view = selector.choose('s', now)
        view.in_flight += 1
        placed[view.entry.name[0]] += 1
    return placed


def test_work_goes_to_the_group_that_no_slow_rank_holds_back():
    placed = place(make_selector_for({'a': 0.08, 'b': 0.4}), RANKS * SLOTS // 2)
    assert placed == {'a': RANKS * SLOTS // 2, 'b': 0}


def test_the_slow_group_takes_what_finds_no_room_elsewhere():
    placed = place(make_selector_for({'a': 0.08, 'b': 0.4}), RANKS * SLOTS + 5)
    assert placed == {'a': RANKS * SLOTS, 'b': 5}


def test_a_stream_waits_rather_than_end_too_late():
    """At 0.4 s per pass, 30 passes take longer than the 8 s that remain."""
    selector = make_selector_for({'a': 0.08, 'b': 0.4})
    waiter = Waiter('s', 1, 0.4, 2, frozenset(), 30, 8)
    max_pass_s = waiter.max_pass_s(0)
    for _ in range(RANKS * SLOTS):
        view = selector.choose('s', 0, max_pass_s=max_pass_s)
        view.in_flight += 1
    assert selector.choose('s', 0, max_pass_s=max_pass_s) is None
    assert selector.choose('s', 0) is not None


def test_passes_that_a_stream_takes():
    profile = EngineProfile(6, 0.005, 0, 9000, 800, 150, 5, 400)
    assert profile.min_passes(800, 140) == 2 + 28
    assert profile.min_passes(800, 4000) == 2 + 30


def test_groups_that_are_nearly_alike_share_the_work():
    placed = place(make_selector_for({'a': 0.08, 'b': 0.085}), RANKS * SLOTS)
    assert abs(placed['a'] - placed['b']) <= RANKS


def test_old_news_of_a_group_does_not_count():
    placed = place(
        make_selector_for({'a': 0.08, 'b': 0.4}),
        RANKS * SLOTS,
        HEALTH_TTL_S + 1,
    )
    assert abs(placed['a'] - placed['b']) <= RANKS


def test_the_time_of_a_pass_is_told_by_a_few_ranks_in_coarse_steps():
    reported = []
    for rank in (0, 7):
        watch = make_health_watch()
        for step in range(40):
            state = EngineState(
                'g', 1, rank, 8, True, step, 0, None, None, None, 0, 1, 4, 0
            )
            health = watch.handle(state, step * 0.1)
        reported.append(health.pass_s)
    assert reported == [quantize_pass(0.1), 0]
    assert 0.08 < reported[0] < 0.125


def test_a_plan_takes_experts_off_a_slow_rank():
    random_source = random.Random(1)
    content = (
        tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)),
    )
    loads = [[random_source.uniform(80, 120) for _ in range(EXPERTS)]]
    limits = MapLimits(EXPERTS, CAPACITY, EXPERTS)
    slowness = [1.0, 1.0, 4.0, *[1.0] * (RANKS - 3)]
    assert plan_map(content, loads, limits) is None
    planned = plan_map(content, loads, limits, slowness)
    assert planned.after < 0.7 * planned.before
    held = sum(loads[0][expert] for expert in planned.content[0][2])
    assert held < sum(loads[0][expert] for expert in content[0][2])
