"""Plan a group's next expert map from recent expert counts.

Each set of experts is planned on its own with ``setplanner``. Changes are
applied one by one, and the result is kept whenever the peak rank time has
fallen enough for the experts copied. A leader plans one set at a time and
handles messages in between.
"""

import math
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import chain

from comfreyarch_core.enginestate import GroupMap
from comfreyarch_core.setplanner import MapLimits, make_set_planner

# Peak rank time over mean load below which a set gets no further changes.
BALANCED_SKEW = 1.1
# Minimum relative reduction of the average peak. A smaller one does not
# outweigh the disturbance of a map change.
MIN_GAIN_SHARE = 0.1
# Minimum reduction of a set's peak over mean per copied expert, multiplied by
# the number of ranks: a copy occupies one rank, a lower peak shortens the steps
# of all.
MIN_GAIN_PER_COPY = 1.2
# Number of ranks from which free places of a changed set are filled: the slowest
# of many ranks is mostly slow by chance, which replicas even out. In a smaller
# group the copies cost more than they gain.
MIN_RANKS_TO_FILL = 32
# Number of changes to a set of a large group that may pass without a gain that is
# kept. More take a quarter more time for 0.00 to 0.02 less skew.
MAX_IDLE_CHANGES = 12
# Halvings of the interval in which the lower bound of a set's peak is searched.
BOUND_STEPS = 8
# Maximum number of changes to one set in one map, for each rank.
MAX_CHANGES_PER_RANK = 2


@dataclass(frozen=True, slots=True)
class PlannedMap:
    """Hold a planned map and its predicted effect.

    :param before: peak rank time over mean load of the current map, averaged
        over sets.
    :param after: the same for the planned map.
    :param copies: most experts that one rank copies, over all sets.
    """

    content: GroupMap
    before: float
    after: float
    copies: int = 0


def do_nothing() -> None:
    """Do nothing; the default for ``after_set``."""


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
    best = [sorted(experts) for experts in held]
    if mean <= 0:
        return best, 1, 1
    planner = make_set_planner(held, loads, slowness, limits)
    before = planner.peak() / mean
    after = before
    copies = 0
    idle_changes = 0
    max_idle = MAX_IDLE_CHANGES if ranks >= MIN_RANKS_TO_FILL else math.inf
    for _ in range(MAX_CHANGES_PER_RANK * ranks):
        if idle_changes >= max_idle or not planner.relieve_slowest():
            break
        peak = planner.peak() / mean
        new_copies = planner.count_copies()
        idle_changes += 1
        if (after - peak) * ranks >= MIN_GAIN_PER_COPY * (new_copies - copies):
            best = [sorted(experts) for experts in planner.held]
            after = peak
            copies = new_copies
            idle_changes = 0
        if peak < BALANCED_SKEW:
            break
    if after < before and ranks >= MIN_RANKS_TO_FILL:
        best = fill_set(held, best, loads, limits, slowness)
    return best, before, after


def fill_set(
    held: Sequence[Sequence[int]],
    planned: Sequence[Sequence[int]],
    loads: Sequence[float],
    limits: MapLimits,
    slowness: Sequence[float],
) -> list[list[int]]:
    """Replicate the hottest experts of a planned set in its free places.

    :param held: experts by rank before the change.
    :param planned: experts by rank as planned.
    :returns: experts by rank.
    """
    planner = make_set_planner(planned, loads, slowness, limits, held)
    planner.fill_places()
    return [sorted(experts) for experts in planner.held]


def measure_skew(
    content: GroupMap,
    loads: Sequence[Sequence[float]],
    slowness: Sequence[float],
) -> float:
    """Measure the skew of a map under the given loads.

    :param loads: how often each expert was recently chosen, by set.
    :param slowness: factor by rank, 1 for a healthy rank.
    :returns: peak rank time over mean load, averaged over sets.
    """
    skews = []
    for placement, chosen in zip(content, loads, strict=True):
        holders = Counter(chain.from_iterable(placement))
        peak = max(
            slow * sum(chosen[expert] / holders[expert] for expert in held)
            for held, slow in zip(placement, slowness, strict=True)
        )
        mean = sum(chosen) / len(placement)
        skews.append(peak / mean if mean > 0 else 1)
    return sum(skews) / len(skews)


def compute_skew_bound(
    loads: Sequence[Sequence[float]], limits: MapLimits, ranks: int
) -> float:
    """Compute a lower bound on the skew of any map with healthy ranks.

    At a peak, each expert needs so many places that its share stays below. The
    limit on new experts is not considered.

    :returns: peak over mean load, averaged over sets.
    """
    bounds = []
    for chosen in loads:
        mean = sum(chosen) / ranks or 1
        low, high = mean, max(mean, *chosen)
        for _ in range(BOUND_STEPS):
            peak = (low + high) / 2
            places = sum(max(1, math.ceil(load / peak)) for load in chosen)
            if places <= ranks * limits.capacity:
                high = peak
            else:
                low = peak
        bounds.append(low / mean)
    return sum(bounds) / len(bounds)


def count_most_copies(before: GroupMap, after: GroupMap) -> int:
    """Count the experts that the busiest rank copies for a map.

    :returns: the largest number over all ranks, summed over sets.
    """
    copies = [0] * len(before[0])
    for old_ranks, new_ranks in zip(before, after, strict=True):
        for rank, old in enumerate(old_ranks):
            copies[rank] += len(set(new_ranks[rank]) - set(old))
    return max(copies)


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
    after_set: Callable[[], None] = do_nothing,
) -> PlannedMap | None:
    """Plan the next map of a group.

    :param content: the map in use.
    :param loads: how often each expert was recently chosen, by set.
    :param slowness: factor by rank; empty if no rank is slow.
    :param after_set: called after each set is planned, so that a leader can
        handle messages in between.
    :returns: the plan, or None if it gains too little.
    """
    slowness = slowness or [1.0] * len(content[0])
    planned = []
    for placement, chosen in zip(content, loads, strict=True):
        planned.append(plan_set(placement, chosen, limits, slowness))
        after_set()
    before = sum(plan[1] for plan in planned) / len(planned)
    after = sum(plan[2] for plan in planned) / len(planned)
    if before - after < MIN_GAIN_SHARE * before:
        return None
    new_content = tuple(
        tuple(tuple(held) for held in ranks) for ranks, _, _ in planned
    )
    copies = count_most_copies(content, new_content)
    return PlannedMap(new_content, before, after, copies)
