"""Plan a group's next expert map from recent expert counts.

Each set of experts is planned on its own, as a single layer, with ``planner``.
Changes are applied one by one, and the result is kept whenever the peak rank
time has fallen enough for the experts copied.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from comfreyarch_core.costs import CostModel, LoadSnapshot
from comfreyarch_core.enginestate import GroupMap
from comfreyarch_core.moves import Limits
from comfreyarch_core.planner import Planner

# Only expert load counts: a map does not move the ranks' other work.
EXPERT_COSTS = CostModel(base_ms=0, token_ms=1, request_ms=0)
# Peak rank time over mean load below which a set gets no further changes.
BALANCED_SKEW = 1.1
# Minimum relative reduction of the average peak. A smaller one does not
# outweigh the disturbance of a map change.
MIN_GAIN_SHARE = 0.1
# Minimum reduction of a set's peak over mean per copied expert. On recorded
# demand of 8 ranks, half of this value doubles the copies and reduces the skew
# by only a tenth.
MIN_GAIN_PER_COPY = 0.15
# Maximum number of changes to one set in one map.
MAX_CHANGES_PER_SET = 16


@dataclass(frozen=True, slots=True)
class MapLimits:
    """Hold the limits on a map.

    :param experts: number of experts in a set.
    :param capacity: maximum experts of a set on one rank.
    :param max_new: maximum experts of a set that one map adds to a rank.
    """

    experts: int
    capacity: int
    max_new: int


@dataclass(frozen=True, slots=True)
class PlannedMap:
    """Hold a planned map and its predicted effect.

    :param before: peak rank time over mean load of the current map, averaged
        over sets.
    :param after: the same for the planned map.
    """

    content: GroupMap
    before: float
    after: float


def first_map(sets: int, experts: int, ranks: int) -> GroupMap:
    """Assign experts to ranks round-robin, as a group does when it forms.

    :param sets: number of sets.
    :param experts: number of experts in a set.
    :param ranks: number of ranks in the group.
    :returns: the initial map of every group.
    """
    assigned = tuple(
        tuple(range(rank, experts, ranks)) for rank in range(ranks)
    )
    return (assigned,) * sets


def plan_set(
    held: Sequence[Sequence[int]],
    loads: Sequence[float],
    limits: MapLimits,
    slowness: Sequence[float],
) -> tuple[list[list[int]], float, float]:
    """Plan the placement of one set.

    :param held: experts by rank.
    :param loads: how often each expert was chosen.
    :param slowness: factor by rank, 1 for a healthy rank.
    :returns: experts by rank, and the peak rank time over the mean load
        before and after.
    """
    ranks = len(held)
    mean = sum(loads) / ranks
    current = [sorted(experts) for experts in held]
    if mean <= 0:
        return current, 1, 1
    planner = Planner(
        current,
        LoadSnapshot(list(loads), list(slowness), 0),
        EXPERT_COSTS,
        Limits(limits.experts, (limits.capacity,) * ranks),
    )
    before = max(planner.predict_times()) / mean
    best = current
    after = before
    copies = 0
    for _ in range(MAX_CHANGES_PER_SET):
        change = planner.best_change()
        if change is None:
            break
        planner.apply(change)
        copies += change.loads
        if not is_within_copy_limit(current, planner.placement, limits.max_new):
            break
        peak = max(planner.predict_times()) / mean
        if after - peak >= MIN_GAIN_PER_COPY * copies:
            best = [sorted(experts) for experts in planner.placement]
            after = peak
            copies = 0
        if peak < BALANCED_SKEW:
            break
    return best, before, after


def is_within_copy_limit(
    before: Sequence[Sequence[int]],
    after: Sequence[Sequence[int]],
    limit: int,
) -> bool:
    """Check that no rank gets more new experts than the limit.

    :param limit: maximum new experts per rank.
    :returns: True for a placement that engines accept.
    """
    return all(
        len(set(new) - set(old)) <= limit
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
    :param loads: how often each expert was recently chosen, by set.
    :param slowness: factor by rank; empty if no rank is slow.
    :returns: the plan, or None if it gains too little.
    """
    slowness = slowness or [1.0] * len(content[0])
    planned = [
        plan_set(held, chosen, limits, slowness)
        for held, chosen in zip(content, loads, strict=True)
    ]
    before = sum(plan[1] for plan in planned) / len(planned)
    after = sum(plan[2] for plan in planned) / len(planned)
    if before - after < MIN_GAIN_SHARE * before:
        return None
    new_content = tuple(
        tuple(tuple(held) for held in ranks) for ranks, _, _ in planned
    )
    return PlannedMap(new_content, before, after)
