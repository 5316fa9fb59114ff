"""Test when a group's load justifies another map."""

import pytest

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.grouppressure import (
    ServiceLimits,
    make_pressure_monitor,
    work_factor,
)

SLOTS = 5
MAX_GAP_S = 0.12
EVEN_SKEW = 1.3
SHIFTED_SKEW = 2.84


def make_state(step, rank, running):
    """Create the state of a rank."""
    return EngineState(
        'g', 1, rank, 72, True, step, 0, None, None, None, 0, running=running
    )


def make_monitor(pass_s, running, skew, size=72):
    """Create the monitor of a group that ran for 10 s at a skew."""
    monitor = make_pressure_monitor(ServiceLimits(SLOTS, MAX_GAP_S))
    for step in range(int(10 / pass_s)):
        monitor.handle(make_state(step, 0, running), True, step * pass_s)
        monitor.handle_skew(skew)
    for rank in range(1, size):
        monitor.handle(make_state(1, rank, running), False, 10)
    return monitor


def test_a_shift_is_pressure_before_measured_passes_are_slow():
    """Passes were smoothed for 1.6 s before a shift caused a plan."""
    monitor = make_monitor(0.05, 2, EVEN_SKEW)
    assert monitor.pass_s < 0.65 * MAX_GAP_S
    assert monitor.is_high(72, SHIFTED_SKEW)


def test_free_slots_and_short_passes_are_no_pressure():
    """Planning all the time copied more than it gained (0010)."""
    monitor = make_monitor(0.02, 1, EVEN_SKEW)
    assert not monitor.is_high(72, SHIFTED_SKEW)


def test_a_balanced_group_is_no_pressure():
    """A map that is even is not replaced because demand wavers."""
    monitor = make_monitor(0.045, 2, EVEN_SKEW)
    assert not monitor.is_high(72, EVEN_SKEW)


def test_an_idle_group_is_no_pressure():
    """Without streams nobody gains from a map."""
    monitor = make_monitor(0.06, 0, EVEN_SKEW)
    assert not monitor.is_high(72, SHIFTED_SKEW)


def test_small_groups_plan_by_measured_passes():
    """Copies cost a group of 8 ranks more than they gain."""
    monitor = make_monitor(0.05, 2, EVEN_SKEW, 8)
    assert not monitor.is_high(8, SHIFTED_SKEW)


@pytest.mark.parametrize(
    ('after', 'is_worthwhile'), [(1.3, True), (2.7, False)]
)
def test_a_map_must_save_more_than_its_copies_take(after, is_worthwhile):
    """A map that copies 24 experts per rank needs more than a small gain."""
    monitor = make_pressure_monitor(ServiceLimits(SLOTS, MAX_GAP_S))
    assert monitor.is_map_worthwhile(2.8, after, 24) == is_worthwhile
    slow_link = ServiceLimits(SLOTS, MAX_GAP_S, expert_copy_s=1)
    assert not make_pressure_monitor(slow_link).is_map_worthwhile(
        2.8, after, 24
    )


def test_a_pass_grows_with_the_share_of_experts():
    """An even load gives the shortest pass."""
    assert work_factor(1) == pytest.approx(1)
    assert work_factor(2.5) / work_factor(1.3) == pytest.approx(1.81, abs=0.01)
