"""Predict rank step times from expert loads and request counts.

Experts are numbered over all layers: ``layer * experts + index``. A
placement lists the experts of each rank. Loads are tokens a step.
"""

from collections.abc import Sequence
from dataclasses import dataclass

Placement = list[list[int]]


@dataclass(frozen=True, slots=True)
class CostModel:
    """Hold what a step costs on a rank, in milliseconds.

    :param base_ms: with no work at all.
    :param token_ms: a token through an expert.
    :param request_ms: a running request's own part.
    """

    base_ms: float
    token_ms: float
    request_ms: float


@dataclass(frozen=True, slots=True)
class Picture:
    """Hold a group's state as the policy sees it.

    :param loads: tokens a step by expert.
    :param slowness: factor by rank, 1 for a healthy one.
    :param requests: running requests of the whole group.
    """

    loads: Sequence[float]
    slowness: Sequence[float]
    requests: float


def count_holders(placement: Placement, experts: int) -> list[int]:
    """Count the ranks that hold each expert.

    :returns: counts by expert.
    """
    holders = [0] * experts
    for held in placement:
        for expert in held:
            holders[expert] += 1
    return holders


def expert_times(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
) -> list[float]:
    """Predict the milliseconds a step spends in experts, by rank.

    Replicas of an expert share its load evenly.

    :returns: milliseconds by rank, slowness not yet applied.
    """
    holders = count_holders(placement, len(picture.loads))
    loads = picture.loads
    return [
        costs.token_ms * sum(loads[expert] / holders[expert] for expert in held)
        for held in placement
    ]


def spread_requests(
    fixed: Sequence[float],
    slowness: Sequence[float],
    requests: float,
    request_ms: float,
) -> list[float]:
    """Spread requests so that rank times even out, the free lever.

    :param fixed: milliseconds by rank without requests, before slowness.
    :returns: requests by rank; their sum is ``requests``.
    """
    if requests <= 0 or request_ms <= 0:
        return [0.0] * len(fixed)
    order = sorted(
        range(len(fixed)), key=lambda one: fixed[one] * slowness[one]
    )
    need = requests * request_ms
    speed = 0.0
    work = 0.0
    level = 0.0
    for place, rank in enumerate(order):
        speed += 1 / slowness[rank]
        work += fixed[rank]
        level = (need + work) / speed
        following = order[place + 1 : place + 2]
        if not following:
            break
        if fixed[following[0]] * slowness[following[0]] >= level:
            break
    return [
        max(0, level / slow - own) / request_ms
        for own, slow in zip(fixed, slowness, strict=True)
    ]


def rank_times(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
    spread: Sequence[float] | None = None,
) -> list[float]:
    """Predict the step time of each rank.

    :param spread: requests by rank; None for the best spread.
    :returns: milliseconds by rank.
    """
    fixed = [
        costs.base_ms + own for own in expert_times(placement, picture, costs)
    ]
    if spread is None:
        spread = spread_requests(
            fixed,
            picture.slowness,
            picture.requests,
            costs.request_ms,
        )
    return [
        slow * (own + costs.request_ms * requests)
        for own, slow, requests in zip(
            fixed,
            picture.slowness,
            spread,
            strict=True,
        )
    ]


def skew(times: Sequence[float]) -> float:
    """Give the slowest over the mean step time.

    :returns: 1 where all are even.
    """
    mean = sum(times) / len(times)
    return max(times) / mean if mean > 0 else 1
