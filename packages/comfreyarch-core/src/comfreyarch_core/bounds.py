"""Compute a lower bound on the step time of any map."""

from collections.abc import Sequence

from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
)
from comfreyarch_core.moves import Limits


def lower_bound_ms(
    snapshot: LoadSnapshot,
    costs: CostModel,
    limits: Limits,
) -> float:
    """Compute a lower bound on the step time over all possible maps.

    No map can beat an even spread of all work over the ranks. Nor can it
    beat its largest expert share on the fastest rank, with all spare slots
    assigned to replicas in the best way.

    :returns: milliseconds.
    """
    total_speed = sum(1 / slow for slow in snapshot.slowness)
    ranks = len(snapshot.slowness)
    work_ms = (
        ranks * costs.base_ms
        + costs.token_ms * sum(snapshot.loads)
        + costs.request_ms * snapshot.requests
    )
    min_slowness = min(snapshot.slowness)
    even_ms = work_ms / total_speed
    largest = largest_share(snapshot.loads, limits)
    return max(
        even_ms, min_slowness * (costs.base_ms + costs.token_ms * largest)
    )


def largest_share(loads: Sequence[float], limits: Limits) -> float:
    """Compute a lower bound on the largest expert share of any map.

    The bound assumes that all spare slots of a layer hold replicas.

    :returns: tokens per step.
    """
    experts = limits.experts_per_layer
    largest = 0.0
    for first in range(0, len(loads), experts):
        layer_loads = loads[first : first + experts]
        shares = assign_spare_slots(layer_loads, sum(limits.capacity) - experts)
        largest = max(largest, *shares)
    return largest


def assign_spare_slots(
    layer_loads: Sequence[float], spare_slots: int
) -> list[float]:
    """Assign each spare slot to the expert with the largest share.

    :returns: tokens per step on each holder, by expert.
    """
    counts = [1] * len(layer_loads)
    shares = list(layer_loads)
    for _ in range(max(0, spare_slots)):
        expert = shares.index(max(shares))
        counts[expert] += 1
        shares[expert] = layer_loads[expert] / counts[expert]
    return shares
