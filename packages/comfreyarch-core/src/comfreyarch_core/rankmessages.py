"""Define what a rank desk is told and what it decides."""

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
class Floor:
    """Tell the fence that the lease row holds."""

    fence: int


@dataclass(frozen=True, slots=True)
class EngineSeen:
    """Tell the engine's state, read back unasked."""

    state: RankState


@dataclass(frozen=True, slots=True)
class EngineDone:
    """Tell how the engine took the pending order, and its state since."""

    done: bool
    state: RankState


@dataclass(frozen=True, slots=True)
class EngineGone:
    """Tell that the engine did not answer the pending order."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""


@dataclass(frozen=True, slots=True)
class ToEngine:
    """Give the engine an order."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class ToCoordinator:
    """Send a reply to the coordinator under its fence."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class ToPeers:
    """Ask other ranks for an outcome."""

    ask: AskOutcome


@dataclass(frozen=True, slots=True)
class ToPeer:
    """Tell one rank an outcome."""

    rank: int
    tell: TellOutcome


Message = (
    Order
    | AskOutcome
    | TellOutcome
    | Floor
    | EngineSeen
    | EngineDone
    | EngineGone
    | Tick
)
Outcome = ToEngine | ToCoordinator | ToPeers | ToPeer
