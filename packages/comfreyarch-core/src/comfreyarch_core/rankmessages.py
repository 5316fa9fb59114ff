"""Define the inputs and outputs of a rank's map-change participant."""

from dataclasses import dataclass

from comfreyarch_core.mapmessages import (
    AskOutcome,
    EngineOrder,
    Order,
    RankState,
    Reply,
    TellOutcome,
)


@dataclass(frozen=True, slots=True)
class FenceFloor:
    """Set the lowest fence to accept, as read from the lease row."""

    fence: int


@dataclass(frozen=True, slots=True)
class EngineStateRead:
    """Report the engine's state as read by periodic polling."""

    state: RankState


@dataclass(frozen=True, slots=True)
class EngineAnswered:
    """Report whether the engine accepted the order, and its new state."""

    accepted: bool
    state: RankState


@dataclass(frozen=True, slots=True)
class EngineUnresponsive:
    """Report that the engine did not answer the pending order."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Trigger the checks for an overdue outcome."""


@dataclass(frozen=True, slots=True)
class ToEngine:
    """Send the engine an order."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class ToCoordinator:
    """Send a reply to the coordinator."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class ToPeers:
    """Ask other ranks for the outcome of a change."""

    query: AskOutcome


@dataclass(frozen=True, slots=True)
class ToPeer:
    """Send one rank the outcome of a change."""

    rank: int
    message: TellOutcome


Message = (
    Order
    | AskOutcome
    | TellOutcome
    | FenceFloor
    | EngineStateRead
    | EngineAnswered
    | EngineUnresponsive
    | Tick
)
Outcome = ToEngine | ToCoordinator | ToPeers | ToPeer
