"""Define the messages and outcomes of a group's map leader."""

import enum
from dataclasses import dataclass

from comfreyarch_core.enginestate import EngineOrder, EngineState, GroupMap

# Reason for a change that ended because no step could be held.
NOT_HELD = 'not held'
# Reason for a change that ended because some ranks had not prepared its map.
NOT_PREPARED = 'not prepared'
# Reason for a term that ended because a leader with a higher fence was seen.
DEPOSED = 'deposed'


class Phase(enum.StrEnum):
    """Name what the leader is waiting for.

    ``idle``: a request; no change or recovery is in progress.
    ``preparing``: all ranks to prepare the target map.
    ``holding``: the hold on a step.
    ``arming``: all ranks to be armed for the held step.
    ``aborting``: all ranks to be disarmed and to prepare the old content.
    ``releasing``: the release of the held step.
    """

    idle = 'idle'
    preparing = 'preparing'
    holding = 'holding'
    arming = 'arming'
    aborting = 'aborting'
    releasing = 'releasing'


@dataclass(frozen=True, slots=True)
class Reported:
    """Represent a report of a rank's state.

    :param number: increases with each reading of the same rank.
    """

    state: EngineState
    number: int


@dataclass(frozen=True, slots=True)
class ChangeMap:
    """Request a change to a new map.

    :param steps_ahead: steps until the map takes effect; the group pauses if
        arming takes longer than these steps.
    :param steps_ahead_unanswered: the same if a rank has left an order
        unanswered by then.
    """

    content: GroupMap
    steps_ahead: int = 1
    steps_ahead_unanswered: int = 1


@dataclass(frozen=True, slots=True)
class AbsentLeader:
    """Identify the previous leader, whose sidecar is silent."""

    rank: int
    fence: int


@dataclass(frozen=True, slots=True)
class Recover:
    """Request removal of the holds and armed switches of former leaders.

    :param content: the map in use.
    :param absent_leader: the previous leader if its sidecar is silent.
    """

    content: GroupMap
    absent_leader: AbsentLeader | None = None


@dataclass(frozen=True, slots=True)
class Tick:
    """Represent the passage of time."""


Message = Reported | ChangeMap | Recover | Tick


@dataclass(frozen=True, slots=True)
class Send:
    """Request that an order be sent to a rank.

    :param epoch: the group's epoch for which the order is valid.
    :param sequence: the engine refuses the order if its own sequence differs.
    """

    rank: int
    order: EngineOrder
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Settled:
    """Represent the end of a change or recovery.

    :param version: version of the new map in use, None if it did not change.
    :param why: ``changed`` after a successful change, ``recovered`` after a
        recovery, otherwise the reason for the failure.
    """

    version: int | None
    why: str


Outcome = Send | Settled
