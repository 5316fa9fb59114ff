"""Plan the sets of large groups under skewed demand."""

import itertools
import random

import pytest

from comfreyarch_core.mapplan import (
    fill_set,
    first_map,
    is_within_copy_limit,
    plan_set,
)
from comfreyarch_core.setplanner import MapLimits

# Ranks, experts, places and new experts of a rank and set; bound on the peak
# over the mean.
SHAPES = [
    (8, 64, 11, 4, 1.4),
    (12, 72, 8, 4, 1.4),
    (32, 128, 5, 3, 1.5),
    (63, 252, 5, 3, 1.5),
    (96, 192, 3, 2, 1.5),
]
REQUESTS_PER_STEP = 30
CHOICES_PER_REQUEST = 88


def make_loads(experts, seed, shape=2.5):
    """Draw the load of each expert."""
    source = random.Random(seed)
    return [source.paretovariate(shape) for _ in range(experts)]


def compute_skew(placement, loads):
    """Return the peak rank load over the mean."""
    holders = [0] * len(loads)
    for expert in itertools.chain.from_iterable(placement):
        holders[expert] += 1
    ranks = [
        sum(loads[expert] / holders[expert] for expert in held)
        for held in placement
    ]
    return max(ranks) * len(ranks) / sum(ranks)


# Fails if the planner stops at the first rank that no single change relieves, as
# many ranks of a large group are near the peak.
@pytest.mark.parametrize(('ranks', 'experts', 'places', 'new', 'bound'), SHAPES)
@pytest.mark.parametrize('seed', range(4))
def test_one_plan_evens_out_a_set(ranks, experts, places, new, bound, seed):
    held = first_map(1, experts, ranks)[0]
    loads = make_loads(experts, seed)
    limits = MapLimits(experts, places, new)
    planned, before, after = plan_set(held, loads, limits, [1.0] * ranks)
    assert before == pytest.approx(compute_skew(held, loads))
    assert compute_skew(planned, loads) <= after + 1e-9
    assert after <= bound
    assert {e for rank in planned for e in rank} == set(range(experts))
    assert all(len(rank) <= places for rank in planned)
    assert all(len(set(rank)) == len(rank) for rank in planned)
    assert is_within_copy_limit(held, planned, new)


def draw_step(loads, source):
    """Draw the load of a step that few requests share."""
    cumulative = list(itertools.accumulate(loads))
    drawn = [0.0] * len(loads)
    for _ in range(REQUESTS_PER_STEP):
        size = source.lognormvariate(0, 0.8)
        for expert in source.choices(
            range(len(loads)), cum_weights=cumulative, k=CHOICES_PER_REQUEST
        ):
            drawn[expert] += size
    return drawn


# Fails if free places of a large group stay empty: the slowest rank of a step is
# then slow by chance more often.
def test_replicas_in_free_places_lower_the_peak_of_single_steps():
    ranks, experts = 96, 192
    held = first_map(1, experts, ranks)[0]
    loads = make_loads(experts, 1)
    limits = MapLimits(experts, 3, 2)
    even = [1.0] * ranks
    planned, _, _ = plan_set(held, loads, limits, even)
    source = random.Random(5)
    steps = [draw_step(loads, source) for _ in range(20)]
    filled = sum(compute_skew(planned, step) for step in steps)
    former = sum(compute_skew(held, step) for step in steps)
    assert filled < 0.75 * former
    assert sum(len(rank) for rank in planned) > 0.9 * 3 * ranks


def test_filling_a_set_never_raises_its_peak():
    for seed in range(10):
        held = first_map(1, 192, 96)[0]
        loads = make_loads(192, seed, 1.6)
        filled = fill_set(held, held, loads, MapLimits(192, 3, 1), [1.0] * 96)
        assert compute_skew(filled, loads) <= compute_skew(held, loads) + 1e-9
        assert is_within_copy_limit(held, filled, 1)
