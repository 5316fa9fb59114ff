"""Replay demand against the rebalancing policy and its alternatives.

Only the policy runs, without any processes. The policies compared are:

``static``: the initial map and even request shares.
``placement``: the initial map; only the request shares change.
``moves``: map changes without changes of the request shares.
``repack``: a full repacking of the map in every interval, and request shares.
``policy``: the complete policy, map changes and request shares.
"""

import random
import sys
import time
from dataclasses import dataclass, field, replace

from bench.demand import (
    CASES,
    INTERVAL_COUNT,
    INTERVAL_S,
    PROFILES,
    REQUESTS_PER_RANK,
    Case,
    Demand,
    Profile,
    make_demand,
)
from bench.figures import emit
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
# Step time that the ranks report in the measurement of a decision.
STEP_MS = 55.0


@dataclass(slots=True)
class ReplayResult:
    """Hold the result of one policy in one case.

    :param skews: longest step time of a rank over the mean, per interval.
    :param min_skews: lower bound of the skew that any map could reach, per
        interval.
    :param moved: experts loaded by all map changes.
    :param abandoned_maps: map changes given up before their end.
    :param decision_times_s: time of each decision.
    """

    skews: list[float] = field(default_factory=list)
    min_skews: list[float] = field(default_factory=list)
    moved: int = 0
    abandoned_maps: int = 0
    decision_times_s: list[float] = field(default_factory=list)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile.

    :param fraction: the percentile as a number from 0 to 1.
    :returns: the value, 0 if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def count_loads(old: Placement, new: Placement) -> int:
    """Count the expert loads that a map change causes."""
    return sum(
        len(set(after) - set(before))
        for before, after in zip(old, new, strict=True)
    )


def without_request_spreading(costs: CostModel) -> CostModel:
    """Return a cost model that treats requests as fixed work.

    It is for a policy that cannot change the request shares.
    """
    fixed = costs.base_ms + costs.request_ms * REQUESTS_PER_RANK
    return CostModel(fixed, costs.token_ms, 0)


class Replay:
    """Replay one policy on one case."""

    def __init__(self, demand: Demand, policy: str) -> None:
        """Start with the map that is optimized for the first loads."""
        self.demand = demand
        self.policy = policy
        profile = demand.profile
        self.costs = profile.make_cost_model()
        self.limits = profile.make_limits()
        self.policy_costs = self.costs
        if policy == 'moves':
            self.policy_costs = without_request_spreading(self.costs)
        self.rng = random.Random(f'{policy}/{demand.case.name}')
        self.result = ReplayResult()
        first = self.read_true_loads(0)
        self.placement = optimize_placement(
            profile.make_placement(),
            first,
            self.costs,
            self.limits,
        )
        experts = profile.experts * profile.layers
        self.balancer = Balancer(
            make_estimator(self.placement, experts, self.policy_costs),
            self.placement,
            self.limits,
            profile.price,
            self.policy_costs,
        )
        self.map_id = INITIAL_MAP_ID
        self.even_spread = [float(REQUESTS_PER_RANK)] * profile.ranks
        self.requests_by_rank = self.even_spread
        self.pending_reports: list[tuple[int, Report]] = []

    def read_true_loads(self, at: float) -> LoadSnapshot:
        """Return the true loads, which the policy knows only from reports."""
        profile = self.demand.profile
        return LoadSnapshot(
            self.demand.compute_loads(at),
            self.demand.compute_slowness(at),
            profile.ranks * REQUESTS_PER_RANK,
        )

    def play(self) -> ReplayResult:
        """Replay all intervals."""
        for number in range(INTERVAL_COUNT):
            self.step(number)
        return self.result

    def step(self, number: int) -> None:
        """Replay one interval: measure the skew, send reports, decide."""
        at = number * INTERVAL_S
        true_loads = self.read_true_loads(at)
        times_ms = rank_times(
            self.placement, true_loads, self.costs, self.requests_by_rank
        )
        self.result.skews.append(max(times_ms) * len(times_ms) / sum(times_ms))
        bound_ms = lower_bound_ms(true_loads, self.costs, self.limits)
        mean_ms = sum(times_ms) / len(times_ms)
        self.result.min_skews.append(max(1, bound_ms / mean_ms))
        self.send_reports(number, true_loads, times_ms)
        started_at = time.perf_counter()
        self.decide(at, true_loads)
        self.result.decision_times_s.append(time.perf_counter() - started_at)

    def send_reports(
        self, number: int, true_loads: LoadSnapshot, times_ms: list[float]
    ) -> None:
        """Create a report of each rank and deliver the reports that are due.

        The case delays or loses some of them.
        """
        case = self.demand.case
        holders = count_holders(self.placement, len(true_loads.loads))
        for rank, experts_held in enumerate(self.placement):
            if self.rng.random() < case.lost_fraction:
                continue
            loads = {
                expert: true_loads.loads[expert]
                / holders[expert]
                * self.rng.gauss(1, case.noise_sigma)
                for expert in experts_held
            }
            step_ms = times_ms[rank] * self.rng.gauss(1, case.noise_sigma)
            report = Report(
                rank,
                number,
                step_ms,
                loads,
                self.requests_by_rank[rank],
                self.map_id,
            )
            self.pending_reports.append((number + case.delay_intervals, report))
        due = [
            due_report
            for due_interval, due_report in self.pending_reports
            if due_interval <= number
        ]
        self.pending_reports = [
            pair for pair in self.pending_reports if pair[0] > number
        ]
        for due_report in due:
            self.balancer.handle(due_report, number * INTERVAL_S)

    def decide(self, at: float, true_loads: LoadSnapshot) -> None:
        """Run one decision and carry out its outcomes."""
        if self.policy == 'static':
            return
        if self.policy == 'repack':
            snapshot = self.balancer.estimator.snapshot()
            packed_placement = optimize_placement(
                self.placement, snapshot, self.costs, self.limits
            )
            self.install_map(packed_placement)
        for outcome in self.balancer.handle(Decide(), at):
            match outcome:
                case Shares(shares):
                    self.apply_shares(shares)
                case ProposeMap(plan) if self.policy in {'policy', 'moves'}:
                    self.install_map(plan.placement)
                    self.balancer.handle(ChangeEnded(committed=True), at)
                case ProposeMap():
                    self.balancer.handle(ChangeEnded(committed=False), at)
                case AbandonMap():
                    self.result.abandoned_maps += 1

    def apply_shares(self, shares: tuple[float, ...]) -> None:
        """Apply the request shares unless the policy uses only moves."""
        if self.policy != 'moves':
            self.requests_by_rank = [
                share * REQUESTS_PER_RANK for share in shares
            ]

    def install_map(self, placement: Placement) -> None:
        """Install a map and count its expert loads."""
        self.result.moved += count_loads(self.placement, placement)
        self.placement = placement
        self.map_id = f'map-{self.result.moved}'
        in_force = MapInForce(placement, self.map_id)
        for outcome in self.balancer.handle(in_force, 0):
            if isinstance(outcome, Shares):
                self.apply_shares(outcome.shares)


def compare(profile: Profile, case: Case) -> None:
    """Replay all policies on a case and print their figures."""
    runs = {
        policy: Replay(make_demand(profile, case, SEED), policy).play()
        for policy in POLICIES
    }
    name = f'{profile.name}/{case.name}'
    static_p95 = percentile(runs['static'].skews, 0.95)
    bound_p95 = percentile(runs['policy'].min_skews, 0.95)
    emit('replay', f'{name}/limit', 'skew p95', 'ratio', bound_p95, static_p95)
    for policy, result in runs.items():
        label = f'{name}/{policy}'
        p95 = percentile(result.skews, 0.95)
        p50 = percentile(result.skews, 0.5)
        emit('replay', label, 'skew p50', 'ratio', p50)
        emit('replay', label, 'skew p95', 'ratio', p95, static_p95)
        repacked = runs['repack'].moved
        emit('replay', label, 'experts moved', 'loads', result.moved, repacked)
        moved_bytes = result.moved * EXPERT_BYTES
        emit('replay', label, 'weight bytes', 'bytes', moved_bytes)
        disturbance_ms = result.moved * profile.price.move_price_ms
        emit('replay', label, 'disturbed step time', 'ms', disturbance_ms)
        decision_p99_s = percentile(result.decision_times_s, 0.99)
        emit('replay', label, 'decision p99', 's', decision_p99_s)


def measure_decision_time() -> None:
    """Measure one decision at the size to design for.

    The group has 64 ranks, 64 experts per layer and 60 layers. A first
    decision is not measured.
    """
    profile = replace(PROFILES[2], name='64x64x60', layers=60)
    demand = make_demand(profile, CASES[1], SEED)
    costs, limits = profile.make_cost_model(), profile.make_limits()
    placement = profile.make_placement()
    experts = profile.experts * profile.layers
    estimator = make_estimator(placement, experts, costs)
    balancer = Balancer(estimator, placement, limits, profile.price, costs)
    loads = demand.compute_loads(0)
    for rank, experts_held in enumerate(placement):
        rank_loads = {expert: loads[expert] for expert in experts_held}
        report = Report(rank, 1, STEP_MS, rank_loads, REQUESTS_PER_RANK)
        balancer.handle(report, 0)
    balancer.handle(Decide(), 0)
    started_at = time.perf_counter()
    balancer.handle(Decide(), 0)
    elapsed_s = time.perf_counter() - started_at
    emit('replay', '64x64x60', 'decision', 's', elapsed_s, 1.0)
    emit(
        'replay',
        '64x64x60',
        'core share, a decision each 30 s',
        '%',
        100 * elapsed_s / INTERVAL_S,
        4.4,
    )


def main() -> None:
    """Replay all cases, or those whose name contains the first argument."""
    name_filter = sys.argv[1] if len(sys.argv) > 1 else ''
    measure_decision_time()
    for profile in PROFILES:
        for case in CASES:
            if name_filter in f'{profile.name}/{case.name}':
                compare(profile, case)


if __name__ == '__main__':
    main()
