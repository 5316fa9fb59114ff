"""Test the balancer: load estimates, stragglers, moves and evacuation."""

import random
from dataclasses import replace

import pytest

from bench.demand import CASES, PROFILES, make_demand
from bench.replay import Replay
from comfreyarch_core import balancer as balancer_module
from comfreyarch_core.balancer import Balancer
from comfreyarch_core.bounds import lower_bound_ms
from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
    rank_times,
    spread_requests,
)
from comfreyarch_core.evacuation import (
    EvacuationBlocked,
    EvacuationPlan,
    evacuate,
)
from comfreyarch_core.loads import Report, make_estimator
from comfreyarch_core.moveplanning import optimize_placement, plan_moves
from comfreyarch_core.moves import Limits, Price

COSTS = CostModel(10, 0.1, 1)
LIMITS = Limits(8, (3, 2, 2, 2))
PLACEMENT = [[0, 1], [2, 3], [4, 5], [6, 7]]
CHEAP = Price(1, 1, 1000, 8)
EXPENSIVE = Price(1, 1e9, 1000, 8)
HOT_LOADS = [400, 10, 10, 10, 10, 10, 10, 10]
HEALTHY_SLOWNESS = [1.0, 1.0, 1.0, 1.0]


def test_requests_fill_up_the_quickest_ranks() -> None:
    spread = spread_requests([10, 20, 30, 60], HEALTHY_SLOWNESS, 60, 1)
    assert sum(spread) == pytest.approx(60)
    assert spread[3] == 0
    times = [
        fixed + requests
        for fixed, requests in zip([10, 20, 30], spread, strict=False)
    ]
    assert max(times) - min(times) < 1e-6


def test_a_straggler_gets_fewer_requests() -> None:
    spread = spread_requests([10] * 4, [1, 1, 1, 2], 60, 1)
    assert spread[3] < spread[0] / 2


def test_hot_expert_is_given_a_replica_or_swapped_away() -> None:
    snapshot = LoadSnapshot(HOT_LOADS, HEALTHY_SLOWNESS, 0)
    plan = plan_moves(PLACEMENT, snapshot, COSTS, LIMITS, CHEAP)
    assert plan is not None
    assert plan.after_ms < plan.before_ms
    assert plan.worth_ms > plan.price_ms


def test_nothing_moves_where_it_does_not_pay() -> None:
    snapshot = LoadSnapshot(HOT_LOADS, HEALTHY_SLOWNESS, 0)
    assert plan_moves(PLACEMENT, snapshot, COSTS, LIMITS, EXPENSIVE) is None
    even = LoadSnapshot([10] * 8, HEALTHY_SLOWNESS, 0)
    assert plan_moves(PLACEMENT, even, COSTS, LIMITS, CHEAP) is None


@pytest.mark.parametrize('seed', range(25))
def test_any_plan_keeps_every_expert_and_every_slot(seed: int) -> None:
    rng = random.Random(seed)
    ranks, layers, experts = 8, 3, 16
    placement = [
        [
            layer * experts + rank * 2 + index
            for layer in range(layers)
            for index in (0, 1)
        ]
        for rank in range(ranks)
    ]
    capacity = tuple(2 + (rank % 4 == 0) for rank in range(ranks))
    loads = [rng.expovariate(0.1) for _ in range(layers * experts)]
    slow = [rng.choice([1.0, 1.0, 1.3]) for _ in range(ranks)]
    snapshot = LoadSnapshot(loads, slow, rng.randrange(0, 50))
    limits = Limits(experts, capacity)
    price = Price(1, 0.01, 1000, 24)
    plan = plan_moves(placement, snapshot, COSTS, limits, price)
    optimized = optimize_placement(placement, snapshot, COSTS, limits)
    for checked in [optimized, *([plan.placement] if plan else [])]:
        assert {expert for held in checked for expert in held} == set(range(48))
        for rank, held in enumerate(checked):
            assert len(set(held)) == len(held)
            for layer in range(layers):
                used = sum(1 for expert in held if expert // experts == layer)
                assert used <= capacity[rank]
        times = rank_times(checked, snapshot, COSTS)
        assert max(times) >= lower_bound_ms(snapshot, COSTS, limits) - 1e-6
    if plan is not None:
        after = max(rank_times(plan.placement, snapshot, COSTS))
        assert after == pytest.approx(plan.after_ms)
        assert plan.loads <= price.max_moves


def report(rank: int, step: int, slow: float = 1, load: float = 10) -> Report:
    held = PLACEMENT[rank]
    loads = dict.fromkeys(held, load)
    step_ms = slow * (10 + 0.1 * load * len(held))
    return Report(rank, step, step_ms, loads)


def test_slow_rank_is_told_from_a_hot_one() -> None:
    estimator = make_estimator(PLACEMENT, 8, COSTS)
    for step in range(1, 8):
        estimator.add_report(report(0, step, slow=1.5), step)
        estimator.add_report(report(1, step, load=100), step)
        estimator.add_report(report(2, step), step)
        estimator.add_report(report(3, step), step)
    slowness = estimator.slowness()
    assert slowness[0] > 1.3
    assert slowness[1:] == [1.0, 1.0, 1.0]


def test_straggler_that_recovers_is_cleared() -> None:
    estimator = make_estimator(PLACEMENT, 8, COSTS)
    for step in range(1, 30):
        slow = 1.5 if step < 8 else 1
        for rank in range(4):
            estimator.add_report(
                report(rank, step, slow if rank == 0 else 1), step
            )
    assert estimator.slowness() == HEALTHY_SLOWNESS


def test_one_slow_report_makes_no_straggler() -> None:
    estimator = make_estimator(PLACEMENT, 8, COSTS)
    for step in range(1, 5):
        for rank in range(4):
            slow = 2 if rank == 0 and step == 3 else 1
            estimator.add_report(report(rank, step, slow), step)
    assert estimator.slowness() == HEALTHY_SLOWNESS


def test_older_report_is_dropped_and_silence_keeps_the_estimate() -> None:
    estimator = make_estimator(PLACEMENT, 8, COSTS)
    estimator.add_report(report(0, 5, load=10), 0)
    estimator.add_report(report(0, 4, load=900), 0)
    assert estimator.snapshot().loads[0] == 10
    assert not estimator.is_complete(0)


def make_balancer(price: Price = CHEAP) -> Balancer:
    estimator = make_estimator(PLACEMENT, 8, COSTS)
    return Balancer(estimator, PLACEMENT, LIMITS, price, COSTS)


def feed(balancer: Balancer, step: int, hot: float) -> list:
    for rank, held in enumerate(PLACEMENT):
        loads = {expert: hot if expert == 0 else 10.0 for expert in held}
        step_ms = 10 + 0.1 * sum(loads.values())
        balancer.handle(Report(rank, step, step_ms, loads), step)
    return balancer.handle(balancer_module.Decide(), step)


def proposals(outcomes: list) -> list:
    return [
        outcome
        for outcome in outcomes
        if isinstance(outcome, balancer_module.ProposeMap)
    ]


def test_plan_must_pay_at_several_looks() -> None:
    balancer = make_balancer()
    assert not proposals(feed(balancer, 1, 400))
    assert not proposals(feed(balancer, 2, 400))
    assert proposals(feed(balancer, 3, 400))


def test_short_rush_moves_nothing() -> None:
    balancer = make_balancer()
    for step in range(1, 20):
        hot = 400 if step in {5, 6} else 10
        assert not proposals(feed(balancer, step, hot))


def test_change_under_way_is_abandoned_when_demand_turns_back() -> None:
    balancer = make_balancer()
    for step in range(1, 4):
        feed(balancer, step, 400)
    assert balancer.proposed is not None
    outcomes: list = []
    for step in range(4, 30):
        outcomes += feed(balancer, step, 10)
    assert balancer_module.AbandonMap() in outcomes


def test_new_map_spreads_requests_anew_at_once() -> None:
    """Request shares are recomputed as soon as a new map is in force.

    Shares kept from the former map made the interval after the change the
    worst of all.
    """
    balancer = make_balancer()
    for step in range(1, 4):
        feed(balancer, step, 400)
    plan = balancer.proposed
    former = balancer.shares
    outcomes = balancer.handle(
        balancer_module.MapInForce(plan.placement, 'next'),
        4,
    )
    assert isinstance(outcomes[0], balancer_module.Shares)
    assert outcomes[0].shares != former


def test_stopping_rank_is_emptied_into_free_slots() -> None:
    limits = Limits(8, (3, 3, 2, 2))
    result = evacuate(PLACEMENT, {3}, [1.0] * 8, limits)
    assert isinstance(result, EvacuationPlan)
    assert result.placement[3] == []
    assert {expert for held in result.placement for expert in held} == set(
        range(8)
    )


def test_replicas_make_room_for_the_experts_of_a_stopping_rank() -> None:
    placement = [[0, 1, 6], [2, 3, 0], [4, 5], [6, 7]]
    limits = Limits(8, (3, 3, 2, 2))
    result = evacuate(placement, {3}, [1.0] * 8, limits)
    assert isinstance(result, EvacuationPlan)
    assert {expert for held in result.placement for expert in held} == set(
        range(8)
    )
    assert all(
        len(held) <= slots
        for held, slots in zip(result.placement, (3, 3, 2, 0), strict=True)
    )


def test_stopping_rank_without_room_elsewhere_is_explained() -> None:
    result = evacuate(PLACEMENT, {3}, [1.0] * 8, LIMITS)
    assert isinstance(result, EvacuationBlocked)
    assert 'spare slots' in str(result)


def test_rank_that_never_reported_lets_nothing_move() -> None:
    balancer = make_balancer()
    for step in range(1, 10):
        loads = {0: 400.0, 1: 10.0}
        balancer.handle(Report(0, step, 51, loads), step)
        assert not proposals(balancer.handle(balancer_module.Decide(), step))


SMALL_PROFILE = replace(PROFILES[0], layers=1)


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_policy_is_never_worse_than_a_static_map(case) -> None:
    worst = {}
    for policy in ('static', 'policy'):
        run = Replay(make_demand(SMALL_PROFILE, case, 11), policy).play()
        worst[policy] = sorted(run.skews)[int(0.95 * len(run.skews))]
        if case.name == 'steady':
            assert run.moved == 0
    assert worst['policy'] <= worst['static']
