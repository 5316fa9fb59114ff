"""Simulate the engines of a rank group, with delayed and lost orders.

The simulation has no clock: a search or a seeded test chooses each action.
The engines step in lock-step and accept the orders of ``enginestate``;
``standins.engines`` stands in for those that accept ``mapmessages``.
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
    """Hold the state of one rank's engine.

    :param version: version of the installed map.
    :param content: the installed map.
    :param highest_version: highest version prepared so far.
    :param prepared: version and map prepared last, None before the first.
    :param armed: version to install and the step at which it takes effect.
    :param held: step that must not start.
    """

    rank: int
    version: int = 0
    content: Any = 'map0'
    highest_version: int = 0
    prepared: tuple[int, Any] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None


@dataclass(slots=True)
class Group:
    """Simulate all ranks of a group.

    :param step: the last step that started.
    :param delayed_orders: orders that a test delivers later.
    :param violation: the step that ran under different maps, empty if none.
    """

    size: int
    step: int = 0
    engines: list[Engine] = field(default_factory=list)
    delayed_orders: list[Any] = field(default_factory=list)
    violation: str = ''

    def __post_init__(self) -> None:
        """Create the engines."""
        self.engines = [Engine(rank) for rank in range(self.size)]

    def state(self, rank: int) -> EngineState:
        """Return the state that a rank's engine reports."""
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

    def apply_order(self, rank: int, order: EngineOrder) -> bool:
        """Apply an order to an engine.

        :returns: whether the engine accepted it.
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

    def start_step(self) -> bool:
        """Start the next step unless it is held, and compare the maps.

        :returns: whether the step started.
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
            self.violation = f'step {next_step}: {maps}'
        return True

    def copy(self) -> 'Group':
        """Return an independent copy of the group."""
        duplicate = Group(self.size, self.step)
        duplicate.engines = [replace(engine) for engine in self.engines]
        duplicate.delayed_orders = list(self.delayed_orders)
        duplicate.violation = self.violation
        return duplicate
