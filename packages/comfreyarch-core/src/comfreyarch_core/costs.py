"""Predict rank step times from expert loads and request counts.

Experts are numbered over all layers: ``layer * experts + index``. A
placement lists the experts of each rank. Loads are tokens per step.
"""

from collections.abc import Sequence
from dataclasses import dataclass

Placement = list[list[int]]


@dataclass(frozen=True, slots=True)
class CostModel:
    """Represent the time of a step on a rank, in milliseconds.

    :param base_ms: time of a step without any work.
    :param token_ms: time per token routed through an expert.
    :param request_ms: time per running request.
    """

    base_ms: float
    token_ms: float
    request_ms: float


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Hold the loads of a group at one time, known or estimated.

    :param loads: tokens per step by expert.
    :param slowness: factor by rank, 1 for a healthy rank.
    :param requests: running requests of the whole group.
    """

    loads: Sequence[float]
    slowness: Sequence[float]
    requests: float


def count_holders(placement: Placement, experts: int) -> list[int]:
    """Count the ranks that hold each expert.

    :param experts: number of experts over all layers.
    :returns: counts by expert.
    """
    holder_counts = [0] * experts
    for held in placement:
        for expert in held:
            holder_counts[expert] += 1
    return holder_counts


def expert_times(
    placement: Placement,
    snapshot: LoadSnapshot,
    costs: CostModel,
) -> list[float]:
    """Predict the time per step that each rank spends in experts.

    Replicas of an expert share its load evenly.

    :returns: milliseconds by rank, before slowness is applied.
    """
    holder_counts = count_holders(placement, len(snapshot.loads))
    loads = snapshot.loads
    return [
        costs.token_ms
        * sum(loads[expert] / holder_counts[expert] for expert in held)
        for held in placement
    ]


def spread_requests(
    fixed: Sequence[float],
    slowness: Sequence[float],
    requests: float,
    request_ms: float,
) -> list[float]:
    """Spread requests over ranks so that step times are as even as possible.

    Spreading requests is free, unlike moving experts. Ranks are filled in the
    order of their step time without requests, until all ranks with requests
    reach the same step time, ``level_ms``, and the remaining ranks take at
    least as long without any.

    :param fixed: milliseconds by rank without requests, before slowness.
    :param slowness: factor by rank, 1 for a healthy rank.
    :param requests: total number of requests to spread.
    :param request_ms: milliseconds per request, before slowness.
    :returns: requests by rank; their sum is ``requests``.
    """
    if requests <= 0 or request_ms <= 0:
        return [0.0] * len(fixed)
    order = sorted(
        range(len(fixed)), key=lambda rank: fixed[rank] * slowness[rank]
    )
    request_work_ms = requests * request_ms
    speed = 0.0
    fixed_work_ms = 0.0
    level_ms = 0.0
    for position, rank in enumerate(order):
        speed += 1 / slowness[rank]
        fixed_work_ms += fixed[rank]
        level_ms = (request_work_ms + fixed_work_ms) / speed
        following = order[position + 1 : position + 2]
        if not following:
            break
        if fixed[following[0]] * slowness[following[0]] >= level_ms:
            break
    return [
        max(0, level_ms / slow - fixed_ms) / request_ms
        for fixed_ms, slow in zip(fixed, slowness, strict=True)
    ]


def rank_times(
    placement: Placement,
    snapshot: LoadSnapshot,
    costs: CostModel,
    spread: Sequence[float] | None = None,
) -> list[float]:
    """Predict the step time of each rank.

    :param spread: requests by rank; None for the most even spread.
    :returns: milliseconds by rank.
    """
    fixed = [
        costs.base_ms + expert_ms
        for expert_ms in expert_times(placement, snapshot, costs)
    ]
    if spread is None:
        spread = spread_requests(
            fixed,
            snapshot.slowness,
            snapshot.requests,
            costs.request_ms,
        )
    return [
        slow * (fixed_ms + costs.request_ms * requests)
        for fixed_ms, slow, requests in zip(
            fixed,
            snapshot.slowness,
            spread,
            strict=True,
        )
    ]


def skew(times: Sequence[float]) -> float:
    """Compute the ratio of the slowest to the mean step time.

    :returns: 1 if all times are equal.
    """
    mean = sum(times) / len(times)
    return max(times) / mean if mean > 0 else 1
