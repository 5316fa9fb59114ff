"""Test that entries share the request limits of upstreams, in virtual time."""

import pytest
from limit_world import LimitWorld, Setup, most_in_window

WINDOW_S = 4.0
CONTACT_S = 3.0
# Part of what limited upstreams take that they get at least while nothing fails.
LEAST_USED = 0.9
ROUNDING = 1e-9


def play(**setup):
    """Play a setup.

    :returns: the world.
    """
    return LimitWorld(Setup(**setup)).play()


def check_bound(world):
    """Check the bound of the rule, and that no share is used twice."""
    setup = world.setup
    allowed = 1.5 * setup.limit * WINDOW_S + 5
    for name in world.limited:
        later = [
            at
            for at in world.arrivals[name]
            if at >= setup.limited_from_s + CONTACT_S
        ]
        assert most_in_window(later, WINDOW_S) <= allowed
    assert world.most_shared <= 1 + ROUNDING


# Fails if the entries together send more than the limit, or leave it unused while
# requests wait.
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('entries', [2, 8, 40])
@pytest.mark.parametrize('limit', [0.2, 1, 10, 50])
def test_the_limit_is_used_and_kept(entries, limit, seed):
    world = play(
        seed=seed,
        entries=entries,
        limit=limit,
        rate=max(20.0, 2.5 * limit),
        length_s=30,
    )
    check_bound(world)
    if limit >= 1:
        assert world.used(10, 30) >= LEAST_USED


# Fails if a limited upstream gets less than it takes while requests that may go
# elsewhere could use it.
def test_limits_are_used_beside_other_upstreams():
    world = play(seed=1, limited=11, others=5, rate=57)
    check_bound(world)
    assert world.used(10, 40) >= LEAST_USED


FAULTS = {
    'loss': {'loss': 0.3},
    'late': {'late_share': 0.3, 'late_s': 3.0},
    'restarts': {'restarts': ((10, 0), (12, 1), (12.1, 2), (15, 3), (16, 3))},
    'all_restart': {'restarts': tuple((12, number) for number in range(8))},
    'stops': {'stops': tuple((10 + number, number) for number in range(8))},
    'freezes': {
        'freezes': ((10, 3, 0), (11, 1.2, 1), (14, 0.6, 2), (14, 2.5, 3)),
    },
    'all_freeze': {'freezes': tuple((12, 3, number) for number in range(8))},
    'cuts': {
        'cuts': tuple((10 + number, 3, number) for number in range(8)),
    },
    'isolated': {'isolated': (0, 1)},
    'all_isolated': {'isolated': tuple(range(8))},
}


# Fails if a pause, a delay or a hand-over lets two entries use one share.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('faults', FAULTS)
def test_the_limit_is_kept_through_faults(faults, seed):
    world = play(seed=seed, **FAULTS[faults])
    check_bound(world)
    if 'isolated' not in faults and faults not in {'loss', 'late'}:
        assert world.used(25, 40) >= LEAST_USED


# Fails if entries keep to a limit that has ended, or know that only one by one.
@pytest.mark.parametrize('seed', range(3))
def test_entries_learn_of_the_end(seed):
    world = play(seed=seed, limit=2.0, changes=((15, float('inf')),))
    sent = sum(1 for at in world.arrivals['u0'] if 17 <= at < 20)
    assert sent >= 0.95 * sum(1 for at in world.requested if 17 <= at < 20)
    for entry in world.entries:
        assert not entry.control.limits.limited()
    # Nothing is exchanged any more.
    assert not any(entry.control.is_active(40) for entry in world.entries)


def test_a_limit_that_falls_is_kept_at_once():
    world = play(seed=1, limit=8.0, rate=40.0, changes=((20, 2.0),))
    later = [at for at in world.arrivals['u0'] if at >= 20 + CONTACT_S]
    assert most_in_window(later, WINDOW_S) <= 1.5 * 2 * WINDOW_S + 5


def test_a_limit_that_rises_is_used():
    world = play(seed=1, limit=2.0, rate=40.0, changes=((20, 8.0),))
    later = [at for at in world.arrivals['u0'] if 24 <= at < 40]
    assert len(later) >= LEAST_USED * 8 * 16
