"""Define the engine interface that map leaders and rank agents need.

Each platform's adapter implements it with the platform's own names. The
coordinator of comfreyarchd changes maps by another protocol, with the client
in ``engineclient``.
"""

from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.enginestate import EngineOrder, EngineState


class EngineUnavailable(Exception):
    """Raised if the engine does not answer, or its answer is unusable."""


@dataclass(frozen=True, slots=True)
class ChosenExperts:
    """Hold how often a rank's requests chose each expert.

    :param counts: totals since the engine's start, set after set.
    """

    epoch: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeldExperts:
    """Hold the experts of a rank under the map in use.

    :param experts: experts by set.
    """

    version: int
    experts: tuple[tuple[int, ...], ...]


class EngineApi(Protocol):
    """Interface to an engine, implemented by a platform adapter."""

    def state(self) -> EngineState | None:
        """Read the engine's state, None if it is in no group.

        :raises EngineUnavailable: if the engine does not answer.
        """

    def chosen(self) -> ChosenExperts:
        """Read the expert counts.

        :raises EngineUnavailable: if the engine does not answer.
        """

    def held(self) -> HeldExperts:
        """Read the experts of this rank.

        :raises EngineUnavailable: if the engine does not answer.
        """

    def order(self, order: EngineOrder, epoch: int, sequence: int) -> bool:
        """Send an order that is valid for one epoch and sequence.

        :returns: False if the engine refuses it.
        :raises EngineUnavailable: if the engine does not answer; it may still
            execute the order later.
        """

    def close(self) -> None:
        """Close the connection."""
