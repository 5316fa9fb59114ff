"""Derive change outcomes and the current map from the ranks' states."""

from collections.abc import Sequence

from comfreyarch_core.mapmessages import ABORT, COMMIT, Placement, RankState


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
