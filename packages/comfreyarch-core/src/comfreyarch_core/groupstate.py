"""Check the last known states of a rank group's engines."""

from collections.abc import Mapping

from comfreyarch_core.enginestate import EngineState


def agree_on_map(states: Mapping[int, EngineState]) -> bool:
    """Check that all ranks are open in one epoch under one map.

    :param states: states by rank, at least one.
    :returns: False if the group forms, or switches maps.
    """
    first = next(iter(states.values()))
    return all(
        state.is_open
        and state.epoch == first.epoch
        and state.version == first.version
        for state in states.values()
    )


def are_at_rest(states: Mapping[int, EngineState]) -> bool:
    """Check that no rank is armed and no rank holds a step.

    :returns: False if a change must not proceed.
    """
    return all(
        state.armed is None and state.held is None for state in states.values()
    )


def are_switching(states: Mapping[int, EngineState]) -> bool:
    """Check that no step is held and all ranks have the same armed switch.

    :returns: True from a release until its step begins, and also if no rank is
        armed.
    """
    armed = {state.armed for state in states.values()}
    held = any(state.held is not None for state in states.values())
    return len(armed) == 1 and not held


def find_unprepared(
    states: Mapping[int, EngineState], size: int, version: int, epoch: int
) -> list[int]:
    """List the ranks that have not prepared a map version.

    :param size: number of ranks in the group.
    :param epoch: epoch in which the map is prepared.
    :returns: ranks, including those of unknown state or another epoch.
    """
    return [
        rank
        for rank in range(size)
        if rank not in states
        or states[rank].prepared != version
        or states[rank].epoch != epoch
    ]
