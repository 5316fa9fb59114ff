"""Make the demand that the policy is replayed on, from a seed."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from comfreyarch_core.costs import CostModel, Placement
from comfreyarch_core.moves import Limits, Price

INTERVAL_S = 30.0
DAY_S = 86_400.0
INTERVALS = 240
SPREAD = 0.35
DRIFT = 0.5
RUSH_FACTOR = 5.0
RUSH_EXPERTS = 3
BASE_MS = 15.0
EXPERT_MS = 35.0
REQUEST_MS = 5.0
REQUESTS_A_RANK = 12
SLOW = 1.25
AGENCY = Price(1.0, 25, 2000, 16)
RIGHTS = Price(0.4, 300, 2000, 8)


@dataclass(frozen=True, slots=True)
class Profile:
    """Describe a group: sizes, slots, prices."""

    name: str
    ranks: int
    experts: int
    layers: int
    price: Price

    def limits(self) -> Limits:
        """Give the slots: one spare for every eight experts, spread."""
        own = self.experts // self.ranks
        spare = self.experts // 8
        gap = max(1, self.ranks // spare)
        extra = [
            max(1, spare // self.ranks) if rank % gap == 0 else 0
            for rank in range(self.ranks)
        ]
        capacity = tuple(own + one for one in extra)
        return Limits(self.experts, capacity)

    def placement(self) -> Placement:
        """Place the experts in order, all layers alike."""
        own = self.experts // self.ranks
        return [
            [
                layer * self.experts + rank * own + number
                for layer in range(self.layers)
                for number in range(own)
            ]
            for rank in range(self.ranks)
        ]

    def costs(self) -> CostModel:
        """Give what a step costs."""
        tokens = self.ranks * REQUESTS_A_RANK * self.layers
        return CostModel(
            BASE_MS,
            EXPERT_MS * self.ranks / tokens,
            REQUEST_MS / REQUESTS_A_RANK,
        )


PROFILES = (
    Profile('redator-16x64', 16, 64, 4, AGENCY),
    Profile('drafting-16x64', 16, 64, 4, RIGHTS),
    Profile('letter-64x64-agency', 64, 64, 4, AGENCY),
    Profile('letter-64x64-rights', 64, 64, 4, RIGHTS),
)


@dataclass(frozen=True, slots=True)
class Case:
    """Describe what happens: factor on an expert's weight, and slowness.

    :param lag: intervals by which reports come late.
    :param lost: share of reports that never come.
    """

    name: str
    weight: Callable[[int, int, float], float]
    slow: Callable[[int, float], float]
    lag: int = 0
    lost: float = 0
    noise: float = 0.02


def healthy(_rank: int, _at: float) -> float:
    """Slow no rank down."""
    return 1


def steady(_layer: int, _index: int, _at: float) -> float:
    """Change no weight."""
    return 1


def drift(layer: int, index: int, at: float) -> float:
    """Let weights drift through the day, each in its own phase."""
    phase = (layer * 7 + index * 13) % 24 / 24
    # The replay's two hours stand for a whole day.
    turn = 2 * math.pi * (at * 12 / DAY_S + phase)
    return math.exp(DRIFT * (math.sin(turn) - math.sin(2 * math.pi * phase)))


def rush(start_s: float, length_s: float) -> Callable[[int, int, float], float]:
    """Let a few experts of each layer run hot for a time."""

    def weight(layer: int, index: int, at: float) -> float:
        hot = (index - layer * 5) % 64 < RUSH_EXPERTS
        inside = start_s <= at < start_s + length_s
        return RUSH_FACTOR if hot and inside else 1

    return weight


def straggler(start_s: float, length_s: float) -> Callable[[int, float], float]:
    """Slow one rank down for a time."""

    def slow(rank: int, at: float) -> float:
        inside = start_s <= at < start_s + length_s
        return SLOW if rank == 3 and inside else 1

    return slow


START_S = 1200.0
LONG_S = 3000.0
CASES = (
    Case('steady', steady, healthy),
    Case('drift', drift, healthy),
    Case('rush', rush(START_S, LONG_S), healthy),
    Case('rush-turns-back', rush(START_S, 60), healthy),
    Case('straggler', steady, straggler(START_S, DAY_S)),
    Case('straggler-recovers', steady, straggler(START_S, START_S)),
    Case('drift-late-reports', drift, healthy, lag=4),
    Case('drift-lost-reports', drift, healthy, lost=0.3),
)


@dataclass(slots=True)
class Demand:
    """Give true loads and slowness at any time of a case."""

    profile: Profile
    case: Case
    base: list[float]

    def loads(self, at: float) -> list[float]:
        """Give tokens a step by expert; each layer's sum is constant."""
        size = self.profile.experts
        tokens = self.profile.ranks * REQUESTS_A_RANK
        loads: list[float] = []
        for layer in range(self.profile.layers):
            weights = [
                self.base[layer * size + index]
                * self.case.weight(layer, index, at)
                for index in range(size)
            ]
            total = sum(weights)
            loads.extend(tokens * weight / total for weight in weights)
        return loads

    def slowness(self, at: float) -> list[float]:
        """Give each rank's true factor."""
        return [self.case.slow(rank, at) for rank in range(self.profile.ranks)]


def make_demand(profile: Profile, case: Case, seed: int) -> Demand:
    """Make the demand of a case.

    :returns: the same for the same seed.
    """
    source = random.Random(f'{profile.name}/{seed}')
    count = profile.experts * profile.layers
    base = [math.exp(source.gauss(0, SPREAD)) for _ in range(count)]
    return Demand(profile, case, base)
