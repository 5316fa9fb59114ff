"""Test map planning, the pressure that triggers it, and engine health."""

import random

import pytest

from comfreyarch_core.enginehealth import RETRY_S, STALLED_S, make_health_watch
from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.grouppressure import ServiceLimits, make_pressure_monitor
from comfreyarch_core.maporders import MAPS_PER_FENCE, first_map_version
from comfreyarch_core.mapplan import is_within_copy_limit, plan_map
from comfreyarch_core.setplanner import MapLimits
from comfreyarch_core.storeposition import make_position

RANKS, EXPERTS, CAPACITY = 8, 64, 11
LIMITS = MapLimits(EXPERTS, CAPACITY, 4)
MAP0 = tuple(
    tuple(
        tuple(expert for expert in range(EXPERTS) if expert % RANKS == rank)
        for rank in range(RANKS)
    )
    for _ in range(2)
)


def make_demand(seed):
    """Draw counts per expert from a Zipf-like distribution, for two sets."""
    random_source = random.Random(seed)
    sets = []
    for _ in range(2):
        loads = [1000 / (position + 1) ** 1.2 for position in range(EXPERTS)]
        random_source.shuffle(loads)
        sets.append(loads)
    return sets


@pytest.mark.parametrize('seed', range(10))
def test_a_planned_map_is_valid_and_evens_the_ranks(seed):
    planned = plan_map(MAP0, make_demand(seed), LIMITS)
    assert planned.after < 0.7 * planned.before
    for before, after in zip(MAP0, planned.content, strict=True):
        assert set(range(EXPERTS)) == {
            expert for held in after for expert in held
        }
        assert all(len(held) <= CAPACITY for held in after)
        assert all(len(set(held)) == len(held) for held in after)
        assert is_within_copy_limit(before, after, LIMITS.max_new)


def test_an_even_demand_changes_nothing():
    even = [[100.0] * EXPERTS] * 2
    assert plan_map(MAP0, even, LIMITS) is None


def test_a_map_that_fits_is_not_planned_again():
    loads = make_demand(3)
    content = MAP0
    for _ in range(6):
        planned = plan_map(content, loads, LIMITS)
        if planned is None:
            break
        content = planned.content
    assert plan_map(content, loads, LIMITS) is None


def make_state(step, running=4, rank=0, pace=1.0, is_open=True):
    """Create an engine state as a rank reports it."""
    return EngineState(
        'g',
        1,
        rank,
        2,
        is_open,
        step,
        0,
        None,
        None,
        None,
        0,
        pace,
        running,
        0,
    )


def test_slow_passes_are_pressure():
    pressure = make_pressure_monitor(ServiceLimits(6, 0.12))
    for tick in range(20):
        pressure.handle(make_state(tick), True, tick * 0.1)
    assert pressure.is_high(2)


def test_fast_passes_and_free_slots_are_none():
    pressure = make_pressure_monitor(ServiceLimits(6, 0.12))
    for tick in range(40):
        pressure.handle(make_state(tick), True, tick * 0.06)
    assert not pressure.is_high(2)


def test_an_idle_group_is_no_pressure():
    pressure = make_pressure_monitor(ServiceLimits(6, 0.12))
    for tick in range(5):
        pressure.handle(make_state(tick, 0), True, tick * 0.06)
    pressure.handle(make_state(5, 0), True, 30)
    assert not pressure.is_high(2)


def test_full_slots_are_pressure():
    pressure = make_pressure_monitor(ServiceLimits(6, 0.12))
    for rank in range(2):
        pressure.handle(make_state(1, 5, rank), False, 0)
    assert pressure.is_high(2)


def test_a_group_that_stands_still_is_not_usable_until_it_moves():
    watch = make_health_watch()
    assert watch.handle(make_state(3), 0).usable
    assert watch.handle(make_state(3), STALLED_S * 0.9).usable
    assert not watch.handle(make_state(3), STALLED_S * 1.1).usable
    assert watch.handle(make_state(4), STALLED_S * 1.2).usable


def test_a_stalled_group_that_lost_its_requests_is_tried_again_later():
    watch = make_health_watch()
    watch.handle(make_state(3), 0)
    assert not watch.handle(make_state(3), 0.5).usable
    assert not watch.handle(make_state(3, 0), 0.6).usable
    assert not watch.handle(make_state(3, 0), 0.4 + RETRY_S).usable
    assert watch.handle(make_state(3, 0), 0.6 + RETRY_S).usable


def test_an_idle_engine_is_usable():
    watch = make_health_watch()
    for tick in range(10):
        assert watch.handle(make_state(3, 0), tick).usable


def test_a_broken_group_is_not_usable():
    watch = make_health_watch()
    assert not watch.handle(make_state(3, is_open=False), 0).usable


# Fails if map versions after a restoration of the store are so large that JSON
# decoders round them, or do not rise.
def test_map_versions_rise_with_the_era_and_stay_exact():
    fences = [
        make_position(era, version)
        for era in range(8)
        for version in (1, 500, 10**9)
    ]
    versions = [first_map_version(fence) for fence in fences]
    assert versions == sorted(set(versions))
    assert all(int(float(version)) == version for version in versions)
    assert first_map_version(500) == 500 * MAPS_PER_FENCE
