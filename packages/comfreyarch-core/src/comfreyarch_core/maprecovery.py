"""Derive change outcomes and the current map from the ranks' states."""

from collections.abc import Sequence

from comfreyarch_core.mapmessages import (
    ABORT,
    COMMIT,
    Decide,
    Placement,
    RankState,
)


def resolve_outcome(
    change: str,
    states: Sequence[RankState],
    decided: dict[str, str],
) -> str:
    """Return a change's outcome: commit if any rank has committed it.

    Otherwise it is what this coordinator decided, or abort.

    :param decided: outcomes decided by this coordinator, by change.
    :returns: ``commit`` or ``abort``.
    """
    for state in states:
        if state.outcomes.get(change) == COMMIT or state.map_id == change:
            return COMMIT
    return decided.get(change, ABORT)


def decide_open_changes(
    states: Sequence[RankState],
    decided: dict[str, str],
    fence: int,
) -> list[Decide]:
    """Decide all changes whose outcome some rank lacks.

    :param decided: outcomes decided by this coordinator, by change.
    :param fence: the coordinator's fence.
    :returns: a decision for each open change, in the order of their names.
    """
    changes = sorted(
        {state.open_change for state in states if state.open_change}
    )
    return [
        Decide(fence, change, resolve_outcome(change, states, decided))
        for change in changes
    ]


def find_newest_map(
    states: Sequence[RankState],
    decided: dict[str, str],
) -> tuple[str, Placement] | None:
    """Find the newest committed map that any rank knows.

    :returns: map id and placement, or None if no rank reports a map.
    """
    for state in states:
        change = state.change
        if change and resolve_outcome(change, states, decided) == COMMIT:
            return change, state.change_placement
    known = [candidate for candidate in states if candidate.map_id]
    if not known:
        return None
    latest = max(known, key=epoch_and_step)
    return latest.map_id, latest.placement


def epoch_and_step(state: RankState) -> tuple[int, int]:
    """Return the sort key that orders states by age, oldest first.

    :returns: epoch and step.
    """
    return state.epoch, state.step
