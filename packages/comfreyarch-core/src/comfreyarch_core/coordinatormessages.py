"""Define the inputs and outputs of a group's map-change coordinator."""

from dataclasses import dataclass
from enum import Enum

from comfreyarch_core.mapmessages import (
    Order,
    Placement,
    Reply,
)


class Phase(Enum):
    """Name what the coordinator is waiting for.

    ``promising``: every rank's promise to refuse lower fences.
    ``settling``: acknowledgements of a decided change.
    ``beginning``: every rank's entry into a new epoch.
    ``steady``: a proposal; no change is open.
    ``preparing``: every rank's confirmation that a change is prepared.
    ``deposed``: nothing; a coordinator with a higher fence took over.
    """

    promising = 'promising'
    settling = 'settling'
    beginning = 'beginning'
    steady = 'steady'
    preparing = 'preparing'
    deposed = 'deposed'


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a change to ``placement``; ``change`` identifies it."""

    change: str
    placement: Placement


@dataclass(frozen=True, slots=True)
class Abandon:
    """Abort the change in progress unless its outcome is decided."""


@dataclass(frozen=True, slots=True)
class StepSeen:
    """Report a step number that some rank has reached."""

    step: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Trigger timeouts and resends."""


@dataclass(frozen=True, slots=True)
class ToRank:
    """Send an order to one rank."""

    rank: int
    order: Order


@dataclass(frozen=True, slots=True)
class ChangeFinished:
    """Report the outcome of a change: ``commit`` or ``abort``."""

    change: str
    outcome: str


@dataclass(frozen=True, slots=True)
class MapAgreed:
    """Report that all ranks agree on a map and no change is open."""

    map_id: str
    placement: Placement
    epoch: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Report that a coordinator with a higher fence has taken over."""

    fence: int


Message = Reply | Propose | Abandon | StepSeen | Tick
Outcome = ToRank | ChangeFinished | MapAgreed | Deposed
