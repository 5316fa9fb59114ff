"""Select a map leader's orders and their recipients from engine states."""

import math

from comfreyarch_core.enginestate import (
    DisarmMap,
    EngineOrder,
    EngineState,
    PrepareMap,
)
from comfreyarch_core.mapcontrolmessages import AbsentLeader
from comfreyarch_core.storeposition import era_of, version_of

# Map versions per fence.
MAPS_PER_FENCE = 100_000
# Bits of a store version that are told apart in map versions. With them, map
# versions stay below 2**53, which JSON numbers hold exactly everywhere, for ten
# eras.
FENCE_BITS = 33

# Interval at which a prepare order is resent: resending it to a rank that copies
# experts only checks on the copy.
PREPARE_RESEND_S = 0.15
# Lower bound of that interval for each rank that is sent the order: the answers of
# all take a while to pass the leader's link.
PREPARE_RESEND_PER_RANK_S = 0.001
# The same interval for a rank that reports its copy.
COPYING_RESEND_S = 1.0
# Number of ranks from which the share of unanswered orders is estimated from the
# ranks that report some. In a smaller group it varies too much by chance.
MIN_RANKS_TO_ESTIMATE = 32
# Maximum distance, in steps, from the last step begun to the held step.
MAX_STEPS_AHEAD = 40


def prepare_resend_s(
    state: EngineState | None, version: int, waiting: int
) -> float:
    """Return the interval at which a rank's prepare order is resent.

    :param state: the rank's last known state.
    :param version: version of the map to prepare.
    :param waiting: number of ranks that have not prepared it.
    :returns: seconds.
    """
    if state is not None and state.copying == version:
        return COPYING_RESEND_S
    return max(PREPARE_RESEND_S, PREPARE_RESEND_PER_RANK_S * waiting)


def select_steps_ahead(
    states: dict[int, EngineState], steps: int, steps_unanswered: int
) -> int:
    """Select the distance from the last step begun to the step to hold.

    :param steps: distance if all orders are answered.
    :param steps_unanswered: distance if ranks leave orders unanswered.
    :returns: at least 1.
    """
    affected = sum(bool(state.unanswered) for state in states.values())
    if affected:
        is_large = len(states) >= MIN_RANKS_TO_ESTIMATE
        share = affected / len(states) if is_large else 1
        steps += math.ceil(share * max(0, steps_unanswered - steps))
    return max(1, min(MAX_STEPS_AHEAD, steps))


def first_map_version(fence: int) -> int:
    """Return the version below all map versions of a leader.

    :param fence: position at which the leader's term was claimed.
    :returns: a number that rises with the fence.
    """
    number = (era_of(fence) << FENCE_BITS) + version_of(fence)
    return number * MAPS_PER_FENCE


def select_ranks_to_arm(
    waiting: list[int], own_rank: int, size: int
) -> list[int]:
    """Select the ranks to arm next.

    The witness, the rank after the leader's own, is armed after all other
    ranks and the leader's own rank last, so an unarmed witness proves that the
    leader's own rank is not armed.

    :param waiting: ranks that are not armed.
    :returns: those of them that may be armed now.
    """
    witness = (own_rank + 1) % size
    others = [rank for rank in waiting if rank not in {own_rank, witness}]
    return others or [rank for rank in waiting if rank != own_rank] or waiting


def find_witnesses(
    states: dict[int, EngineState],
    absent_leader: AbsentLeader,
) -> set[int]:
    """Find the ranks that prepared an absent leader's map and are not armed.

    Such a rank proves that the absent leader's own rank is not armed either,
    since a leader arms its own rank last and disarms it first.

    :returns: candidates; a later report may show that one of them is armed.
    """
    lowest = first_map_version(absent_leader.fence)
    return {
        rank
        for rank, state in states.items()
        if rank != absent_leader.rank
        and state.armed is None
        and lowest < (state.prepared or 0) < lowest + MAPS_PER_FENCE
    }


def select_undo_order(state: EngineState, fallback: PrepareMap) -> EngineOrder:
    """Select the order that undoes an abandoned change at a rank.

    :returns: an order to disarm, or if the rank is not armed, to prepare the
        fallback map in place of the abandoned one.
    """
    armed = state.armed
    return fallback if armed is None else DisarmMap(armed.version)


def map_state(state: EngineState) -> tuple[object, ...]:
    """Return the part of a rank's state that completed orders change.

    :returns: the fields to compare; steps and requests change without orders.
        A copy in progress calls for no further order, so it is not compared.
    """
    return (
        state.epoch,
        state.version,
        state.prepared,
        state.armed,
        state.held,
    )


def highest_version(state: EngineState) -> int:
    """Return the highest map version that a rank reports.

    :returns: the highest of the versions in use, prepared and armed.
    """
    armed = 0 if state.armed is None else state.armed.version
    return max(armed, state.prepared or 0, state.version)
