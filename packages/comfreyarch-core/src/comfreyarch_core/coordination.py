"""Define what a coordinator is told and what it decides."""

from dataclasses import dataclass
from enum import Enum

from comfreyarch_core.mapmessages import (
    Order,
    Placement,
    Reply,
)


class Phase(Enum):
    """Name what the coordinator is waiting for."""

    promising = 'promising'
    settling = 'settling'
    beginning = 'beginning'
    steady = 'steady'
    preparing = 'preparing'
    deposed = 'deposed'


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a change to ``placement`` under the name ``change``."""

    change: str
    placement: Placement


@dataclass(frozen=True, slots=True)
class Abandon:
    """Abort the change under way, if its outcome is still open."""


@dataclass(frozen=True, slots=True)
class StepSeen:
    """Tell a step that some rank has reported."""

    step: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""


@dataclass(frozen=True, slots=True)
class ToRank:
    """Send an order to a rank."""

    rank: int
    order: Order


@dataclass(frozen=True, slots=True)
class Changed:
    """Tell that a change ended, and how."""

    change: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Stable:
    """Tell that all ranks agree on a map and no change is open."""

    map_id: str
    placement: Placement
    epoch: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Tell that another coordinator holds a higher fence."""

    fence: int


Message = Reply | Propose | Abandon | StepSeen | Tick
Outcome = ToRank | Changed | Stable | Deposed
