"""Plan a group's next expert map from what was chosen lately.

Each set is planned by itself with the project's planner, one change after
another, as long as the most loaded rank gains enough.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from comfreyarch_core.costs import CostModel, Picture
from comfreyarch_core.enginestate import GroupMap
from comfreyarch_core.moves import Limits
from comfreyarch_core.planner import Planner

# Only the experts' load counts here; ranks' own work is not moved by a map.
COSTS = CostModel(base_ms=0, token_ms=1, request_ms=0)
# A set whose most loaded rank is this close to the mean is left alone.
GOOD_SKEW = 1.1
# A new map is worth its disturbance if it takes this share off the peaks.
LEAST_GAIN = 0.1
# A copied expert must take this much off the peak over the mean of its set:
# on recorded demand of 8 ranks, half of that costs twice the copies for a
# tenth less skew.
LEAST_GAIN_A_COPY = 0.15
# Changes of one set in one map.
MOST_CHANGES = 16


@dataclass(frozen=True, slots=True)
class MapLimits:
    """Hold what a map must keep to.

    :param experts: experts of a set.
    :param capacity: experts of a set that a rank may hold.
    :param fresh: experts of a set that may be new to a rank in one map.
    """

    experts: int
    capacity: int
    fresh: int


@dataclass(frozen=True, slots=True)
class PlannedMap:
    """Hold a planned map and the peaks that speak for it.

    :param before: peak over mean of the present map, averaged over sets.
    :param after: the same of the planned map.
    """

    content: GroupMap
    before: float
    after: float


def first_map(sets: int, experts: int, ranks: int) -> GroupMap:
    """Deal experts to ranks in turn, as a group does when it forms.

    :param experts: experts of a set.
    :returns: the map that every group begins with.
    """
    dealt = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (dealt,) * sets


def plan_set(
    held: Sequence[Sequence[int]],
    loads: Sequence[float],
    limits: MapLimits,
    slowness: Sequence[float],
) -> tuple[list[list[int]], float, float]:
    """Plan one set.

    :param held: experts by rank.
    :param loads: how often each expert was chosen.
    :param slowness: factor by rank, 1 for a healthy one.
    :returns: experts by rank, and peak over mean before and after; the peak
        is that of the rank that takes longest.
    """
    ranks = len(held)
    mean = sum(loads) / ranks
    now = [sorted(one) for one in held]
    if mean <= 0:
        return now, 1, 1
    planner = Planner(
        now,
        Picture(list(loads), list(slowness), 0),
        COSTS,
        Limits(limits.experts, (limits.capacity,) * ranks),
    )
    before = max(planner.times()) / mean
    best = now
    after = before
    copies = 0
    for _ in range(MOST_CHANGES):
        change = planner.best_change()
        if change is None:
            break
        planner.apply(change)
        copies += change.loads
        if not few_fresh(now, planner.placement, limits.fresh):
            break
        peak = max(planner.times()) / mean
        if after - peak >= LEAST_GAIN_A_COPY * copies:
            best = [sorted(one) for one in planner.placement]
            after = peak
            copies = 0
        if peak < GOOD_SKEW:
            break
    return best, before, after


def few_fresh(
    before: Sequence[Sequence[int]],
    after: Sequence[Sequence[int]],
    most: int,
) -> bool:
    """Tell whether no rank gets more new experts than allowed.

    :returns: True for a plan that engines accept.
    """
    return all(
        len(set(new) - set(old)) <= most
        for old, new in zip(before, after, strict=True)
    )


def plan_map(
    content: GroupMap,
    loads: Sequence[Sequence[float]],
    limits: MapLimits,
    slowness: Sequence[float] = (),
) -> PlannedMap | None:
    """Plan the next map of a group.

    :param content: the map in use.
    :param loads: how often each expert was chosen lately, by set.
    :param slowness: factor by rank, none for a group without slow ranks.
    :returns: the plan, or None where it gains too little.
    """
    slowness = slowness or [1.0] * len(content[0])
    planned = [
        plan_set(held, chosen, limits, slowness)
        for held, chosen in zip(content, loads, strict=True)
    ]
    before = sum(one[1] for one in planned) / len(planned)
    after = sum(one[2] for one in planned) / len(planned)
    if before - after < LEAST_GAIN * before:
        return None
    fresh = tuple(
        tuple(tuple(held) for held in ranks) for ranks, _, _ in planned
    )
    return PlannedMap(fresh, before, after)
