"""Work out from the ranks' memories what a new coordinator must do."""

from collections.abc import Sequence

from comfreyarch_core.mapmessages import ABORT, COMMIT, Placement, RankState


def outcome_of(
    change: str,
    states: Sequence[RankState],
    decided: dict[str, str],
) -> str:
    """Find a change's outcome: committed if any rank took it so.

    :param decided: what this coordinator itself has decided.
    :returns: ``commit`` or ``abort``.
    """
    for state in states:
        if state.outcomes.get(change) == COMMIT or state.map_id == change:
            return COMMIT
    return decided.get(change, ABORT)


def newest_map(
    states: Sequence[RankState],
    decided: dict[str, str],
) -> tuple[str, Placement] | None:
    """Find the newest committed map that any rank knows.

    :returns: its name and placement, or None without any memory.
    """
    for one in states:
        change = one.change
        if change and outcome_of(change, states, decided) == COMMIT:
            return change, one.change_placement
    known = [other for other in states if other.map_id]
    if not known:
        return None
    latest = max(known, key=age_of)
    return latest.map_id, latest.placement


def age_of(state: RankState) -> tuple[int, int]:
    """Order ranks' memories by how far they got.

    :returns: epoch and step.
    """
    return state.epoch, state.step
