"""Generate reproducible demand for replaying the rebalancing policy."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from comfreyarch_core.costs import CostModel, Placement
from comfreyarch_core.moves import Limits, Price

# Time between two decisions.
INTERVAL_S = 30.0
DAY_S = 86_400.0
INTERVAL_COUNT = 240
# Standard deviation of the logarithm of an expert's weight.
WEIGHT_SIGMA = 0.35
# Amplitude of the drift, also on the logarithm of the weight.
DRIFT_AMPLITUDE = 0.5
# Factor on the weight of an expert during a rush.
RUSH_FACTOR = 5.0
RUSH_EXPERTS_PER_LAYER = 3
# The step time of a rank with an even share of the load is the sum of these:
# time of a step without any work.
BASE_MS = 15.0
# Time of the tokens routed to the rank's experts.
EXPERT_MS = 35.0
# Time of all its ``REQUESTS_PER_RANK`` running requests together.
REQUEST_MS = 5.0
REQUESTS_PER_RANK = 12
# Slowness of the straggling rank.
STRAGGLER_FACTOR = 1.25
# Prices that two users, the Agency and the Rights Office, set on moves; see
# docs/design/0006-balance.md.
AGENCY_PRICE = Price(1.0, 25, 2000, 16)
RIGHTS_PRICE = Price(0.4, 300, 2000, 8)


@dataclass(frozen=True, slots=True)
class Profile:
    """Describe a model group: its size and the price of expert moves."""

    name: str
    ranks: int
    experts: int
    layers: int
    price: Price

    def make_limits(self) -> Limits:
        """Return slot limits with one spare slot per eight experts.

        The spare slots are spread evenly over the ranks.
        """
        experts_per_rank = self.experts // self.ranks
        spare = self.experts // 8
        rank_stride = max(1, self.ranks // spare)
        spare_by_rank = [
            max(1, spare // self.ranks) if rank % rank_stride == 0 else 0
            for rank in range(self.ranks)
        ]
        capacity = tuple(
            experts_per_rank + spare_slots for spare_slots in spare_by_rank
        )
        return Limits(self.experts, capacity)

    def make_placement(self) -> Placement:
        """Return a placement in order of expert number, equal in all layers."""
        experts_per_rank = self.experts // self.ranks
        return [
            [
                layer * self.experts + rank * experts_per_rank + index_on_rank
                for layer in range(self.layers)
                for index_on_rank in range(experts_per_rank)
            ]
            for rank in range(self.ranks)
        ]

    def make_cost_model(self) -> CostModel:
        """Return the cost model that the parts of the step time imply."""
        tokens = self.ranks * REQUESTS_PER_RANK * self.layers
        return CostModel(
            BASE_MS,
            EXPERT_MS * self.ranks / tokens,
            REQUEST_MS / REQUESTS_PER_RANK,
        )


PROFILES = (
    Profile('redator-16x64', 16, 64, 4, AGENCY_PRICE),
    Profile('drafting-16x64', 16, 64, 4, RIGHTS_PRICE),
    Profile('letter-64x64-agency', 64, 64, 4, AGENCY_PRICE),
    Profile('letter-64x64-rights', 64, 64, 4, RIGHTS_PRICE),
)


@dataclass(frozen=True, slots=True)
class Case:
    """Describe how demand, slowness and reports change during a replay.

    :param expert_weight: factor on an expert's weight, by layer, index in the
        layer and time in seconds.
    :param rank_slowness: factor on a rank's step time, by rank and time in
        seconds.
    :param delay_intervals: delay of each rank's report, in intervals.
    :param lost_fraction: fraction of reports that are lost.
    :param noise_sigma: relative standard deviation of reported figures.
    """

    name: str
    expert_weight: Callable[[int, int, float], float]
    rank_slowness: Callable[[int, float], float]
    delay_intervals: int = 0
    lost_fraction: float = 0
    noise_sigma: float = 0.02


def healthy(_rank: int, _at: float) -> float:
    """Return the slowness of a healthy rank."""
    return 1


def steady(_layer: int, _index: int, _at: float) -> float:
    """Return the constant weight factor of steady demand."""
    return 1


def drift(layer: int, index: int, at_s: float) -> float:
    """Return a weight factor that drifts daily, each expert in its phase."""
    phase = (layer * 7 + index * 13) % 24 / 24
    # The replay's two hours represent a whole day.
    angle = 2 * math.pi * (at_s * 12 / DAY_S + phase)
    return math.exp(
        DRIFT_AMPLITUDE * (math.sin(angle) - math.sin(2 * math.pi * phase))
    )


def rush(
    start_s: float, duration_s: float
) -> Callable[[int, int, float], float]:
    """Return a weight factor that overloads a few experts of each layer.

    :param start_s: when the overload begins.
    :param duration_s: how long it lasts.
    """

    def weight(layer: int, index: int, at_s: float) -> float:
        is_hot = (index - layer * 5) % 64 < RUSH_EXPERTS_PER_LAYER
        is_active = start_s <= at_s < start_s + duration_s
        return RUSH_FACTOR if is_hot and is_active else 1

    return weight


def straggler(
    start_s: float, duration_s: float
) -> Callable[[int, float], float]:
    """Return a slowness that affects one rank for a limited time.

    :param start_s: when the rank slows down.
    :param duration_s: how long it stays slow.
    """

    def slow(rank: int, at_s: float) -> float:
        is_active = start_s <= at_s < start_s + duration_s
        return STRAGGLER_FACTOR if rank == 3 and is_active else 1

    return slow


DISTURBANCE_START_S = 1200.0
RUSH_DURATION_S = 3000.0
CASES = (
    Case('steady', steady, healthy),
    Case('drift', drift, healthy),
    Case('rush', rush(DISTURBANCE_START_S, RUSH_DURATION_S), healthy),
    Case('rush-turns-back', rush(DISTURBANCE_START_S, 60), healthy),
    Case('straggler', steady, straggler(DISTURBANCE_START_S, DAY_S)),
    Case(
        'straggler-recovers',
        steady,
        straggler(DISTURBANCE_START_S, DISTURBANCE_START_S),
    ),
    Case('drift-late-reports', drift, healthy, delay_intervals=4),
    Case('drift-lost-reports', drift, healthy, lost_fraction=0.3),
)


@dataclass(slots=True)
class Demand:
    """Compute the true loads and slowness at any time of a case.

    :param base_weights: weight of each expert before the case's factor.
    """

    profile: Profile
    case: Case
    base_weights: list[float]

    def compute_loads(self, at_s: float) -> list[float]:
        """Return tokens per step by expert; each layer has the same sum."""
        size = self.profile.experts
        tokens = self.profile.ranks * REQUESTS_PER_RANK
        loads: list[float] = []
        for layer in range(self.profile.layers):
            weights = [
                self.base_weights[layer * size + index]
                * self.case.expert_weight(layer, index, at_s)
                for index in range(size)
            ]
            total = sum(weights)
            loads.extend(tokens * weight / total for weight in weights)
        return loads

    def compute_slowness(self, at_s: float) -> list[float]:
        """Return the slowness factor of each rank."""
        return [
            self.case.rank_slowness(rank, at_s)
            for rank in range(self.profile.ranks)
        ]


def make_demand(profile: Profile, case: Case, seed: int) -> Demand:
    """Create the demand of a case.

    :returns: equal demand for equal profiles, cases and seeds.
    """
    rng = random.Random(f'{profile.name}/{seed}')
    count = profile.experts * profile.layers
    base_weights = [math.exp(rng.gauss(0, WEIGHT_SIGMA)) for _ in range(count)]
    return Demand(profile, case, base_weights)
