"""Plan a map that moves all experts off ranks that are to stop."""

from collections.abc import Collection
from dataclasses import dataclass

from comfreyarch_core.costs import Placement, count_holders
from comfreyarch_core.moves import Limits


@dataclass(frozen=True, slots=True)
class EvacuationPlan:
    """Hold a placement in which the stopping ranks hold no expert."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class EvacuationBlocked:
    """List the experts that fit on no remaining rank."""

    experts: tuple[int, ...]

    def __str__(self) -> str:
        """Describe the problem and the remedy for the operator.

        :returns: one sentence.
        """
        return (
            f'no free slot for experts {list(self.experts)}; replace the '
            'instance in place or give the map more spare slots'
        )


def evacuate(
    placement: Placement,
    stopping: Collection[int],
    loads: list[float],
    limits: Limits,
) -> EvacuationPlan | EvacuationBlocked:
    """Move experts that only stopping ranks hold to the other ranks.

    Experts are placed in order of decreasing load, each on the least
    loaded rank with a free slot in the expert's layer. If no slot is free,
    the least loaded replica of that layer is dropped to free one.

    :param stopping: ranks that must hold no expert.
    :param loads: tokens per step, by expert.
    :returns: the new placement, or the experts that fit on no rank.
    """
    remaining = [
        [] if rank in stopping else list(held)
        for rank, held in enumerate(placement)
    ]
    holder_counts = count_holders(remaining, len(loads))
    unplaced = [
        index for index, count in enumerate(holder_counts) if count == 0
    ]
    unplaced.sort(key=lambda index: loads[index], reverse=True)
    blocked: list[int] = []
    for expert in unplaced:
        rank = find_least_loaded_rank(
            remaining, expert, stopping, loads, limits
        )
        if rank is None:
            rank = drop_replica(remaining, expert, loads, limits)
        if rank is None:
            blocked.append(expert)
        else:
            remaining[rank].append(expert)
    if blocked:
        return EvacuationBlocked(tuple(sorted(blocked)))
    return EvacuationPlan([sorted(held) for held in remaining])


def find_least_loaded_rank(
    placement: Placement,
    expert: int,
    stopping: Collection[int],
    loads: list[float],
    limits: Limits,
) -> int | None:
    """Find the least loaded rank with a free slot in an expert's layer.

    :returns: the rank, or None if no slot is free.
    """
    layer = expert // limits.experts_per_layer
    free = [
        rank
        for rank, held in enumerate(placement)
        if rank not in stopping
        and count_in_layer(held, layer, limits) < limits.capacity[rank]
    ]
    return min(
        free,
        key=lambda rank: sum(loads[index] for index in placement[rank]),
        default=None,
    )


def drop_replica(
    placement: Placement,
    expert: int,
    loads: list[float],
    limits: Limits,
) -> int | None:
    """Remove the least loaded replica in an expert's layer.

    Experts with a single copy are never removed.

    :returns: the rank with the freed slot, or None if the layer has no
        expert with more than one copy.
    """
    layer = expert // limits.experts_per_layer
    holder_counts = count_holders(placement, len(loads))
    replicas = [
        (loads[held_expert] / holder_counts[held_expert], rank, held_expert)
        for rank, held in enumerate(placement)
        for held_expert in held
        if held_expert // limits.experts_per_layer == layer
        and holder_counts[held_expert] > 1
    ]
    if not replicas:
        return None
    _, rank, replica = min(replicas)
    placement[rank].remove(replica)
    return rank


def count_in_layer(held: list[int], layer: int, limits: Limits) -> int:
    """Count the experts of a layer that a rank holds.

    :returns: the number of occupied slots.
    """
    return sum(
        1 for expert in held if expert // limits.experts_per_layer == layer
    )
