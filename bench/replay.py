"""Replay demand over the policy alone and compare it with others."""

import random
import sys
import time
from dataclasses import dataclass, field, replace

from bench.demand import (
    CASES,
    INTERVAL_S,
    INTERVALS,
    PROFILES,
    REQUESTS_A_RANK,
    Case,
    Demand,
    Profile,
    make_demand,
)
from bench.lines import emit
from comfreyarch_core.balancer import (
    AbandonMap,
    Balancer,
    ChangeEnded,
    Decide,
    MapInForce,
    ProposeMap,
    Shares,
)
from comfreyarch_core.bounds import lower_bound_ms
from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
    Placement,
    count_holders,
    rank_times,
)
from comfreyarch_core.loads import Report, make_estimator
from comfreyarch_core.mapmessages import INITIAL_MAP_ID
from comfreyarch_core.moveplanning import optimize_placement

SEED = 11
EXPERT_BYTES = 50_000_000
POLICIES = ('static', 'placement', 'moves', 'repack', 'policy')
STEP_MS = 55.0


@dataclass(slots=True)
class Run:
    """Hold what one policy came to in one case."""

    skews: list[float] = field(default_factory=list)
    limits: list[float] = field(default_factory=list)
    moved: int = 0
    abandoned: int = 0
    decide_s: list[float] = field(default_factory=list)


def percentile(values: list[float], share: float) -> float:
    """Give a percentile.

    :returns: 0 for no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def count_loads(old: Placement, new: Placement) -> int:
    """Count the experts that must be loaded to change a map."""
    return sum(
        len(set(after) - set(before))
        for before, after in zip(old, new, strict=True)
    )


def without_lever(costs: CostModel) -> CostModel:
    """Count requests as fixed work, for who may not spread them."""
    fixed = costs.base_ms + costs.request_ms * REQUESTS_A_RANK
    return CostModel(fixed, costs.token_ms, 0)


class Replay:
    """Replay one policy on one case."""

    def __init__(self, demand: Demand, policy: str) -> None:
        """Start under the map packed for the first loads."""
        self.demand = demand
        self.policy = policy
        profile = demand.profile
        self.costs = profile.costs()
        self.limits = profile.limits()
        self.seen_costs = self.costs
        if policy == 'moves':
            self.seen_costs = without_lever(self.costs)
        self.source = random.Random(f'{policy}/{demand.case.name}')
        self.run = Run()
        first = self.truth(0)
        self.placement = optimize_placement(
            profile.placement(),
            first,
            self.costs,
            self.limits,
        )
        experts = profile.experts * profile.layers
        self.balancer = Balancer(
            make_estimator(self.placement, experts, self.seen_costs),
            self.placement,
            self.limits,
            profile.price,
            self.seen_costs,
        )
        self.map_id = INITIAL_MAP_ID
        self.even = [float(REQUESTS_A_RANK)] * profile.ranks
        self.spread = self.even
        self.late: list[tuple[int, Report]] = []

    def truth(self, at: float) -> LoadSnapshot:
        """Give the true picture."""
        profile = self.demand.profile
        return LoadSnapshot(
            self.demand.loads(at),
            self.demand.slowness(at),
            profile.ranks * REQUESTS_A_RANK,
        )

    def play(self) -> Run:
        """Replay all intervals."""
        for number in range(INTERVALS):
            self.step(number)
        return self.run

    def step(self, number: int) -> None:
        """Replay one interval: measure, report, decide."""
        at = number * INTERVAL_S
        truth = self.truth(at)
        times = rank_times(self.placement, truth, self.costs, self.spread)
        self.run.skews.append(max(times) * len(times) / sum(times))
        best = lower_bound_ms(truth, self.costs, self.limits)
        even = sum(times) / len(times)
        self.run.limits.append(max(1, best / even))
        self.report(number, truth, times)
        began = time.perf_counter()
        self.decide(at, truth)
        self.run.decide_s.append(time.perf_counter() - began)

    def report(
        self, number: int, truth: LoadSnapshot, times: list[float]
    ) -> None:
        """Send each rank's report, late or lost as the case says."""
        case = self.demand.case
        holders = count_holders(self.placement, len(truth.loads))
        for rank, held in enumerate(self.placement):
            if self.source.random() < case.lost:
                continue
            loads = {
                expert: truth.loads[expert]
                / holders[expert]
                * self.source.gauss(1, case.noise)
                for expert in held
            }
            step_ms = times[rank] * self.source.gauss(1, case.noise)
            report = Report(
                rank,
                number,
                step_ms,
                loads,
                self.spread[rank],
                self.map_id,
            )
            self.late.append((number + case.lag, report))
        due = [one for when, one in self.late if when <= number]
        self.late = [pair for pair in self.late if pair[0] > number]
        for one in due:
            self.balancer.handle(one, number * INTERVAL_S)

    def decide(self, at: float, truth: LoadSnapshot) -> None:
        """Let the policy decide."""
        if self.policy == 'static':
            return
        if self.policy == 'repack':
            snapshot = self.balancer.estimator.snapshot()
            packed = optimize_placement(
                self.placement, snapshot, self.costs, self.limits
            )
            self.change(packed)
        for outcome in self.balancer.handle(Decide(), at):
            match outcome:
                case Shares(shares):
                    self.take_shares(shares)
                case ProposeMap(plan) if self.policy in {'policy', 'moves'}:
                    self.change(plan.placement)
                    self.balancer.handle(ChangeEnded(committed=True), at)
                case ProposeMap():
                    self.balancer.handle(ChangeEnded(committed=False), at)
                case AbandonMap():
                    self.run.abandoned += 1

    def take_shares(self, shares: tuple[float, ...]) -> None:
        """Spread requests, where the policy may."""
        if self.policy != 'moves':
            self.spread = [one * REQUESTS_A_RANK for one in shares]

    def change(self, placement: Placement) -> None:
        """Put a map in force."""
        self.run.moved += count_loads(self.placement, placement)
        self.placement = placement
        self.map_id = f'map-{self.run.moved}'
        in_force = MapInForce(placement, self.map_id)
        for outcome in self.balancer.handle(in_force, 0):
            if isinstance(outcome, Shares):
                self.take_shares(outcome.shares)


def compare(profile: Profile, case: Case) -> None:
    """Replay all policies on a case and print the figures."""
    runs = {
        policy: Replay(make_demand(profile, case, SEED), policy).play()
        for policy in POLICIES
    }
    name = f'{profile.name}/{case.name}'
    static = percentile(runs['static'].skews, 0.95)
    limit = percentile(runs['policy'].limits, 0.95)
    emit('replay', f'{name}/limit', 'skew p95', 'ratio', limit, static)
    for policy, run in runs.items():
        label = f'{name}/{policy}'
        p95 = percentile(run.skews, 0.95)
        p50 = percentile(run.skews, 0.5)
        emit('replay', label, 'skew p50', 'ratio', p50)
        emit('replay', label, 'skew p95', 'ratio', p95, static)
        repacked = runs['repack'].moved
        emit('replay', label, 'experts moved', 'loads', run.moved, repacked)
        moved_bytes = run.moved * EXPERT_BYTES
        emit('replay', label, 'weight bytes', 'bytes', moved_bytes)
        disturbed = run.moved * profile.price.move_price_ms
        emit('replay', label, 'disturbed step time', 'ms', disturbed)
        slowest = percentile(run.decide_s, 0.99)
        emit('replay', label, 'decision p99', 's', slowest)


def decision_time() -> None:
    """Time a decision at the letter's size: 64 x 64 x 60 layers."""
    profile = replace(PROFILES[2], name='64x64x60', layers=60)
    demand = make_demand(profile, CASES[1], SEED)
    costs, limits = profile.costs(), profile.limits()
    placement = profile.placement()
    experts = profile.experts * profile.layers
    estimator = make_estimator(placement, experts, costs)
    balancer = Balancer(estimator, placement, limits, profile.price, costs)
    loads = demand.loads(0)
    for rank, held in enumerate(placement):
        own = {expert: loads[expert] for expert in held}
        report = Report(rank, 1, STEP_MS, own, REQUESTS_A_RANK)
        balancer.handle(report, 0)
    balancer.handle(Decide(), 0)
    began = time.perf_counter()
    balancer.handle(Decide(), 0)
    took = time.perf_counter() - began
    emit('replay', '64x64x60', 'decision', 's', took, 1.0)
    emit(
        'replay',
        '64x64x60',
        'core share, a decision each 30 s',
        '%',
        100 * took / INTERVAL_S,
        4.4,
    )


def main() -> None:
    """Replay all cases; a word given picks those that contain it."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    decision_time()
    for profile in PROFILES:
        for case in CASES:
            if wanted in f'{profile.name}/{case.name}':
                compare(profile, case)


if __name__ == '__main__':
    main()
