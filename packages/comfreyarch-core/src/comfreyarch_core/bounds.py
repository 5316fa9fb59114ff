"""Bound from below what any map can reach."""

from collections.abc import Sequence

from comfreyarch_core.costs import (
    CostModel,
    Picture,
)
from comfreyarch_core.moves import Limits


def limit_ms(
    picture: Picture,
    costs: CostModel,
    limits: Limits,
) -> float:
    """Bound the step time from below over all maps.

    No map can be better than an even spread of all work, nor than its
    largest expert share with all spare slots given to replicas in the
    best way.

    :returns: milliseconds.
    """
    speed = sum(1 / slow for slow in picture.slowness)
    ranks = len(picture.slowness)
    work = (
        ranks * costs.base_ms
        + costs.token_ms * sum(picture.loads)
        + costs.request_ms * picture.requests
    )
    fastest = min(picture.slowness)
    even = work / speed
    largest = largest_share(picture.loads, limits)
    return max(even, fastest * (costs.base_ms + costs.token_ms * largest))


def largest_share(loads: Sequence[float], limits: Limits) -> float:
    """Bound the largest expert share with all spare slots in use.

    :returns: tokens a step.
    """
    size = limits.experts_a_layer
    largest = 0.0
    for first in range(0, len(loads), size):
        layer = loads[first : first + size]
        shares = spread_spares(layer, sum(limits.capacity) - size)
        largest = max(largest, *shares)
    return largest


def spread_spares(layer: Sequence[float], spares: int) -> list[float]:
    """Give each spare slot to the expert with the largest share.

    :returns: the shares that remain.
    """
    counts = [1] * len(layer)
    shares = list(layer)
    for _ in range(max(0, spares)):
        top = shares.index(max(shares))
        counts[top] += 1
        shares[top] = layer[top] / counts[top]
    return shares
