"""Read from ranks' states what a leader of a map may order, and to whom."""

from comfreyarch_core.enginestate import (
    DisarmMap,
    EngineOrder,
    EngineState,
    PrepareMap,
)
from comfreyarch_core.mapturns import AbsentLeader

# Maps that one leader may prepare; its fence stands above this factor.
MAPS_A_FENCE = 100_000


def next_to_arm(waiting: list[int], own: int, size: int) -> list[int]:
    """Choose whom to arm next: a witness after the others, own rank last.

    :param waiting: ranks that are not armed.
    :returns: some of them.
    """
    witness = (own + 1) % size
    others = [rank for rank in waiting if rank not in {own, witness}]
    return others or [rank for rank in waiting if rank != own] or waiting


def find_witnesses(
    states: dict[int, EngineState],
    absent: AbsentLeader,
) -> set[int]:
    """Find the ranks that hold an absent leader's map and are not armed.

    :returns: the ranks, some of which may turn out to be armed yet.
    """
    lowest = absent.fence * MAPS_A_FENCE
    return {
        rank
        for rank, state in states.items()
        if rank != absent.rank
        and state.armed is None
        and lowest < (state.prepared or 0) < lowest + MAPS_A_FENCE
    }


def undo(state: EngineState, fallback: PrepareMap) -> EngineOrder:
    """Choose the order that takes a rank nearer to rest.

    :returns: a disarming, or the map that replaces what was prepared.
    """
    armed = state.armed
    return fallback if armed is None else DisarmMap(armed.version)


def order_facts(state: EngineState) -> tuple[object, ...]:
    """Give what an order changes at a rank.

    :returns: the facts; steps and requests go on without orders.
    """
    return (
        state.epoch,
        state.version,
        (state.prepared, state.copying),
        state.armed,
        state.held,
    )


def highest_version(state: EngineState) -> int:
    """Give the highest version that a rank shows.

    :returns: the highest of those in use, prepared and armed.
    """
    armed = 0 if state.armed is None else state.armed.version
    return max(armed, state.prepared or 0, state.version)
