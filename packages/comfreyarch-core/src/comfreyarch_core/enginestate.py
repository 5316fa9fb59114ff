"""Define the state that a rank's engine reports and the orders it accepts.

These engines do not vote on map changes: a leader (``mapcontrol``) orders each
phase of a change. ``mapmessages`` defines the orders to engines that prepare a
change and wait for its outcome.
"""

from dataclasses import dataclass

# Content of a map: experts by set and rank.
GroupMap = tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(frozen=True, slots=True)
class ArmedSwitch:
    """Represent a switch to a prepared map when a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold the state that an engine reports.

    :param epoch: increases each time the group forms again.
    :param size: number of ranks in the group.
    :param is_open: whether the group accepts requests.
    :param step: the last step that began.
    :param version: version of the map in use.
    :param prepared: version whose experts are all copied, or None.
    :param armed: the switch for which the engine is armed, or None.
    :param held: step that waits for a release at this rank, or None.
    :param sequence: number of orders that took effect since the engine
        started; engines need not count orders about maps.
    :param pace: slowdown factor, 1 for an engine at its normal speed.
    :param running: requests that the engine is processing.
    :param waiting: requests queued at the engine.
    :param unanswered: recent orders without an answer.
    :param copying: version of the last map that the engine started to
        prepare, known only to its own sidecar.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    version: int
    prepared: int | None
    armed: ArmedSwitch | None
    held: int | None
    sequence: int
    pace: float = 1
    running: int = 0
    waiting: int = 0
    unanswered: int = 0
    copying: int | None = None


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Order an engine to copy the experts that a map assigns to its rank.

    :param content: experts of all ranks.
    """

    version: int
    content: GroupMap


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Order an engine to switch to a prepared map when a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Order an engine to cancel an armed switch."""

    version: int


@dataclass(frozen=True, slots=True)
class HoldStep:
    """Order an engine to block the whole group before a step."""

    step: int


@dataclass(frozen=True, slots=True)
class ReleaseStep:
    """Order an engine to let a held step begin."""

    step: int


EngineOrder = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep
