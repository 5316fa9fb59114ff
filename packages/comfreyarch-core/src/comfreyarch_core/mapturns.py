"""Define what a leader of a group's map is told, and what it decides."""

import enum
from dataclasses import dataclass

from comfreyarch_core.enginestate import EngineOrder, EngineState, GroupMap

# Why a change ended whose step could not be held.
NOT_HELD = 'not held'
# Why all ended: another leader with a higher fence is at work.
DEPOSED = 'deposed'


class Phase(enum.StrEnum):
    """Say what the leader waits for."""

    idle = 'idle'
    preparing = 'preparing'
    holding = 'holding'
    arming = 'arming'
    aborting = 'aborting'
    releasing = 'releasing'


@dataclass(frozen=True, slots=True)
class Reported:
    """Tell a rank's state.

    :param number: grows with each reading of one rank.
    """

    state: EngineState
    number: int


@dataclass(frozen=True, slots=True)
class ChangeMap:
    """Ask for a new map.

    :param ahead: steps until it comes into force; the group pauses where
        arming takes longer than these.
    """

    content: GroupMap
    ahead: int = 1


@dataclass(frozen=True, slots=True)
class AbsentLeader:
    """Name the leader directly before, whose sidecar is silent."""

    rank: int
    fence: int


@dataclass(frozen=True, slots=True)
class Recover:
    """Ask to settle what a former leader may have left behind.

    :param content: the map in use.
    :param absent: the leader directly before, where it is silent.
    """

    content: GroupMap
    absent: AbsentLeader | None = None


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""


Message = Reported | ChangeMap | Recover | Tick


@dataclass(frozen=True, slots=True)
class Send:
    """Send an order to a rank, valid for one state of its engine.

    :param sequence: the engine refuses the order where its own differs.
    """

    rank: int
    order: EngineOrder
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Settled:
    """Tell that a change is over.

    :param version: the map in use, if it changed.
    """

    version: int | None
    why: str


Outcome = Send | Settled
