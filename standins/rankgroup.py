"""A rank group as its engines behave: lock-step, late and lost orders.

Nothing here is timed: each action is one step of a search or of a seed.
"""

from dataclasses import dataclass, field, replace
from typing import Any

from comfreyarch_core.enginestate import (
    ArmedSwitch,
    ArmMap,
    DisarmMap,
    EngineOrder,
    EngineState,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)


@dataclass(slots=True)
class Engine:
    """One rank's engine."""

    rank: int
    version: int = 0
    content: Any = 'map0'
    highest_version: int = 0
    prepared: tuple[int, Any] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None


@dataclass(slots=True)
class Group:
    """All ranks, the last begun step, and orders that may come late."""

    size: int
    step: int = 0
    engines: list[Engine] = field(default_factory=list)
    late: list[Any] = field(default_factory=list)
    broken: str = ''

    def __post_init__(self) -> None:
        """Make the engines."""
        self.engines = [Engine(rank) for rank in range(self.size)]

    def state(self, rank: int) -> EngineState:
        """Read one engine.

        :returns: its state.
        """
        engine = self.engines[rank]
        return EngineState(
            group='g',
            epoch=1,
            rank=rank,
            size=self.size,
            is_open=True,
            step=self.step,
            version=engine.version,
            prepared=engine.prepared[0] if engine.prepared else None,
            armed=ArmedSwitch(*engine.armed) if engine.armed else None,
            held=engine.held,
            sequence=0,
        )

    def obey(self, rank: int, order: EngineOrder) -> bool:
        """Carry one order out.

        :returns: whether it was accepted.
        """
        engine = self.engines[rank]
        match order:
            case PrepareMap(version, content):
                if engine.armed or version <= engine.highest_version:
                    return False
                engine.highest_version = version
                engine.prepared = (version, content)
            case ArmMap(version, step):
                ready = engine.prepared and engine.prepared[0] == version
                if not ready or step <= self.step:
                    return False
                engine.armed = (version, step)
            case DisarmMap(version):
                if engine.version == version:
                    return False
                if engine.armed and engine.armed[0] == version:
                    engine.armed = None
            case HoldStep(step):
                if step <= self.step or engine.held is not None:
                    return False
                engine.held = step
            case ReleaseStep(step):
                if engine.held == step:
                    engine.held = None
        return True

    def begin(self) -> bool:
        """Begin the next step, unless it is held; check the maps.

        :returns: whether it began.
        """
        next_step = self.step + 1
        if any(engine.held == next_step for engine in self.engines):
            return False
        self.step = next_step
        for engine in self.engines:
            if engine.armed and engine.armed[1] == next_step:
                if engine.prepared is not None:
                    engine.version, engine.content = engine.prepared
                engine.armed = None
        maps = {(engine.version, engine.content) for engine in self.engines}
        if len(maps) > 1:
            self.broken = f'step {next_step}: {maps}'
        return True

    def copy(self) -> 'Group':
        """Copy all.

        :returns: a group that shares nothing.
        """
        duplicate = Group(self.size, self.step)
        duplicate.engines = [replace(engine) for engine in self.engines]
        duplicate.late = list(self.late)
        duplicate.broken = self.broken
        return duplicate
