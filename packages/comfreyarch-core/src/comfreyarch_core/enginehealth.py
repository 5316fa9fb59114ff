"""Judge from an engine's own reports whether it takes work.

Ranks of a group work in lock-step, so a rank that stands still tells of the
whole group, and a slow one holds the others back by what it has to do.
"""

import math
from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.passtimer import PassTimer, make_pass_timer

# A pass takes up to 0.12 s, and a third longer while experts are copied.
STALLED_S = 0.45
# A group that stalled and lost its requests tells nothing of itself; it is
# tried again after this time.
RETRY_S = 2.0
# Paces are told in steps of this size.
PACE_STEP = 0.25
# So many ranks of a group tell the time of its passes, which all share.
TELLING_RANKS = 3
# Times of a pass are told in steps of this factor.
PASS_STEP = 1.25


@dataclass(frozen=True, slots=True)
class EngineHealth:
    """Tell whether an engine takes work.

    :param usable: its group is open and does not stand still.
    :param pace: 1 where it is as fast as it should be, more if slow.
    :param pass_s: time of the group's passes, 0 where this rank does not tell.
    """

    group: str
    epoch: int
    usable: bool
    pace: float
    pass_s: float = 0


@dataclass(slots=True)
class HealthWatch:
    """Follow the passes of one engine.

    :param moved_at: when a pass was last seen to begin, or nothing ran.
    :param stalled_at: when it was last seen to stand still.
    """

    step: int = -1
    epoch: int = -1
    moved_at: float = 0
    stalled_at: float = -RETRY_S
    timer: PassTimer = field(default_factory=make_pass_timer)

    def handle(self, state: EngineState, now: float) -> EngineHealth:
        """Take a report.

        :returns: what it says of the engine.
        """
        idle = state.running + state.waiting == 0
        moved = state.step != self.step or state.epoch != self.epoch
        if moved:
            self.stalled_at = -RETRY_S
        if idle or moved:
            self.moved_at = now
        self.step = state.step
        self.epoch = state.epoch
        if now - self.moved_at > STALLED_S:
            self.stalled_at = now
        stalled = now - self.stalled_at < RETRY_S
        steps = round(max(1.0, state.pace) / PACE_STEP)
        pass_s = 0.0
        if state.rank < TELLING_RANKS:
            self.timer.handle(state.step, now)
            pass_s = coarse(self.timer.pass_s)
        return EngineHealth(
            state.group,
            state.epoch,
            state.is_open and not stalled,
            steps * PACE_STEP,
            pass_s,
        )


def coarse(pass_s: float) -> float:
    """Round a time, so that it is told only where it changes much.

    :returns: seconds.
    """
    if pass_s <= 0:
        return 0
    power = round(math.log(pass_s, PASS_STEP))
    return round(math.pow(PASS_STEP, power), 4)


def make_health_watch() -> HealthWatch:
    """Make a watch that saw no report.

    :returns: the watch.
    """
    return HealthWatch()
