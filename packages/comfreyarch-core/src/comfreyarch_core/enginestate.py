"""Name what a rank's engine tells of its expert map, and its orders."""

from dataclasses import dataclass

# Experts by set and rank: the content of a map.
GroupMap = tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(frozen=True, slots=True)
class ArmedSwitch:
    """Say to which map an engine switches as which step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold an engine's own report.

    :param epoch: grows each time the group forms anew.
    :param step: the last step that was begun.
    :param version: version of the map in use.
    :param prepared: version whose experts are all copied, or None.
    :param held: step that waits for a release at this rank, or None.
    :param sequence: orders that began something since the engine's start;
        orders about maps need not count.
    :param running: requests that the engine works on.
    :param waiting: requests that wait at the engine.
    :param unanswered: orders that got no answer of late.
    :param copying: version of the last map that the engine began to prepare,
        known to its own sidecar only.
    :param pace: 1 where the engine is as fast as it should be, more if slow.
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
    """Copy what a map needs; ``content`` gives all ranks' experts."""

    version: int
    content: GroupMap


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to a prepared map as a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Take an armed switch back."""

    version: int


@dataclass(frozen=True, slots=True)
class HoldStep:
    """Let the whole group wait before a step."""

    step: int


@dataclass(frozen=True, slots=True)
class ReleaseStep:
    """Let a held step begin."""

    step: int


EngineOrder = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep
