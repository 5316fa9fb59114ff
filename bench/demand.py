"""Make the demand that the policy is replayed on, from a seed."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from comfreyarch_core.costs import CostModel, Placement
from comfreyarch_core.moves import Limits, Price

INTERVAL_S = 30.0
DAY_S = 86_400.0
INTERVAL_COUNT = 240
WEIGHT_SIGMA = 0.35
DRIFT_AMPLITUDE = 0.5
RUSH_FACTOR = 5.0
RUSH_EXPERTS_PER_LAYER = 3
BASE_MS = 15.0
EXPERT_MS = 35.0
REQUEST_MS = 5.0
REQUESTS_PER_RANK = 12
STRAGGLER_FACTOR = 1.25
AGENCY_PRICE = Price(1.0, 25, 2000, 16)
RIGHTS_PRICE = Price(0.4, 300, 2000, 8)


@dataclass(frozen=True, slots=True)
class Profile:
    """Describe a group: sizes, slots, prices."""

    name: str
    ranks: int
    experts: int
    layers: int
    price: Price

    def make_limits(self) -> Limits:
        """Give the slots: one spare for every eight experts, spread."""
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
        """Place the experts in order, all layers alike."""
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
        """Give what a step costs."""
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
    """Describe what happens: factor on an expert's weight, and slowness.

    :param lag: intervals by which reports come late.
    :param lost: share of reports that never come.
    """

    name: str
    expert_weight: Callable[[int, int, float], float]
    rank_slowness: Callable[[int, float], float]
    delay_intervals: int = 0
    lost_fraction: float = 0
    noise_sigma: float = 0.02


def healthy(_rank: int, _at: float) -> float:
    """Slow no rank down."""
    return 1


def steady(_layer: int, _index: int, _at: float) -> float:
    """Change no weight."""
    return 1


def drift(layer: int, index: int, at_s: float) -> float:
    """Let weights drift through the day, each in its own phase."""
    phase = (layer * 7 + index * 13) % 24 / 24
    # The replay's two hours stand for a whole day.
    angle = 2 * math.pi * (at_s * 12 / DAY_S + phase)
    return math.exp(
        DRIFT_AMPLITUDE * (math.sin(angle) - math.sin(2 * math.pi * phase))
    )


def rush(
    start_s: float, duration_s: float
) -> Callable[[int, int, float], float]:
    """Let a few experts of each layer run hot for a time."""

    def weight(layer: int, index: int, at_s: float) -> float:
        is_hot = (index - layer * 5) % 64 < RUSH_EXPERTS_PER_LAYER
        is_active = start_s <= at_s < start_s + duration_s
        return RUSH_FACTOR if is_hot and is_active else 1

    return weight


def straggler(
    start_s: float, duration_s: float
) -> Callable[[int, float], float]:
    """Slow one rank down for a time."""

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
    """Give true loads and slowness at any time of a case."""

    profile: Profile
    case: Case
    base_weights: list[float]

    def compute_loads(self, at_s: float) -> list[float]:
        """Give tokens a step by expert; each layer's sum is constant."""
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
        """Give each rank's true factor."""
        return [
            self.case.rank_slowness(rank, at_s)
            for rank in range(self.profile.ranks)
        ]


def make_demand(profile: Profile, case: Case, seed: int) -> Demand:
    """Make the demand of a case.

    :returns: the same for the same seed.
    """
    rng = random.Random(f'{profile.name}/{seed}')
    count = profile.experts * profile.layers
    base_weights = [math.exp(rng.gauss(0, WEIGHT_SIGMA)) for _ in range(count)]
    return Demand(profile, case, base_weights)
