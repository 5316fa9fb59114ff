"""Say what a sidecar needs of its rank's engine, whatever its names."""

from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.enginestate import EngineOrder, EngineState


class EngineAway(Exception):
    """Report that the engine did not answer, and how."""


@dataclass(frozen=True, slots=True)
class ChosenExperts:
    """Hold how often a rank's requests chose each expert.

    :param counts: since the engine's start, set after set.
    """

    epoch: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeldExperts:
    """Hold the experts of a rank under the map in use.

    :param experts: by set.
    """

    version: int
    experts: tuple[tuple[int, ...], ...]


class EngineApi(Protocol):
    """Read an engine and give it orders; a platform's adapter fills it."""

    def state(self) -> EngineState | None:
        """Read the engine's state, None where it is in no group.

        :raises EngineAway: where it does not answer.
        """

    def chosen(self) -> ChosenExperts:
        """Read the counts.

        :raises EngineAway: where the engine does not answer.
        """

    def held(self) -> HeldExperts:
        """Read the experts of this rank.

        :raises EngineAway: where the engine does not answer.
        """

    def order(self, order: EngineOrder, epoch: int, sequence: int) -> bool:
        """Give an order, valid for one epoch and sequence.

        :returns: False where the engine refuses it.
        :raises EngineAway: where it does not answer; it may act late.
        """

    def close(self) -> None:
        """Close the connection."""
