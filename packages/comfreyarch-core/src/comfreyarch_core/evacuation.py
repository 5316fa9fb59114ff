"""Plan a map without the experts of ranks that are to stop."""

from collections.abc import Collection
from dataclasses import dataclass

from comfreyarch_core.costs import Placement, count_holders
from comfreyarch_core.moves import Limits


@dataclass(frozen=True, slots=True)
class Evacuated:
    """Hold a map under which the stopping ranks hold no expert."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class Stuck:
    """Tell which experts have no free slot elsewhere."""

    experts: tuple[int, ...]

    def __str__(self) -> str:
        """Say what the operator can do.

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
) -> Evacuated | Stuck:
    """Move the only copies held by stopping ranks to free slots.

    The heaviest expert goes first, each to the rank with the least load
    among those with a free slot in its layer. Where none is free, the
    replica that matters least makes room.

    :param stopping: ranks that are to hold nothing.
    :param loads: tokens a step by expert.
    :returns: the new map, or the experts that fit nowhere.
    """
    kept = [
        [] if rank in stopping else list(held)
        for rank, held in enumerate(placement)
    ]
    holders = count_holders(kept, len(loads))
    homeless = [one for one, count in enumerate(holders) if count == 0]
    homeless.sort(key=lambda one: loads[one], reverse=True)
    stuck: list[int] = []
    for expert in homeless:
        rank = coolest(kept, expert, stopping, loads, limits)
        if rank is None:
            rank = drop_replica(kept, expert, loads, limits)
        if rank is None:
            stuck.append(expert)
        else:
            kept[rank].append(expert)
    if stuck:
        return Stuck(tuple(sorted(stuck)))
    return Evacuated([sorted(held) for held in kept])


def coolest(
    placement: Placement,
    expert: int,
    stopping: Collection[int],
    loads: list[float],
    limits: Limits,
) -> int | None:
    """Find the least loaded rank with a free slot in an expert's layer.

    :returns: None where there is none.
    """
    layer = expert // limits.experts_a_layer
    free = [
        rank
        for rank, held in enumerate(placement)
        if rank not in stopping
        and in_layer(held, layer, limits) < limits.capacity[rank]
    ]
    return min(
        free,
        key=lambda rank: sum(loads[one] for one in placement[rank]),
        default=None,
    )


def drop_replica(
    placement: Placement,
    expert: int,
    loads: list[float],
    limits: Limits,
) -> int | None:
    """Take the least loaded replica of an expert's layer out of the map.

    :returns: the rank that has room now, None where every copy is the only
        one.
    """
    layer = expert // limits.experts_a_layer
    holders = count_holders(placement, len(loads))
    spare = [
        (loads[one] / holders[one], rank, one)
        for rank, held in enumerate(placement)
        for one in held
        if one // limits.experts_a_layer == layer and holders[one] > 1
    ]
    if not spare:
        return None
    _, rank, replica = min(spare)
    placement[rank].remove(replica)
    return rank


def in_layer(held: list[int], layer: int, limits: Limits) -> int:
    """Count the experts of a layer that a rank holds.

    :returns: slots in use.
    """
    return sum(1 for one in held if one // limits.experts_a_layer == layer)
