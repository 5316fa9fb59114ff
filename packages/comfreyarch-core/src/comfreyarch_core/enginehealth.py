"""Determine an engine's health from its own reports.

The ranks of a group work in lock-step, so one stalled rank means that the
whole group is stalled, and a slow rank delays all others.
"""

import math
from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.passtimer import PassTimer, make_pass_timer

# Time without a new step, while requests run, after which a group is stalled.
# A pass takes up to 0.12 s, and a third longer while experts are copied.
STALLED_S = 0.45
# Time after which a stalled group that lost its requests is tried again: an
# idle group makes no passes that could show its recovery.
RETRY_S = 2.0
# Granularity at which the pace is reported.
PACE_STEP = 0.25
# Number of ranks, counted from 0, that report the group's pass time. The pass
# time is the same at all ranks.
TIMING_RANKS = 3
# Ratio between adjacent values at which pass times are reported.
PASS_STEP_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class EngineHealth:
    """Represent an engine's health as reported to entries.

    :param usable: whether its group is open and not stalled.
    :param pace: slowdown factor, 1 for an engine at its normal speed.
    :param pass_s: pass time of the group in seconds, 0 if this rank does not
        report it.
    """

    group: str
    epoch: int
    usable: bool
    pace: float
    pass_s: float = 0


@dataclass(slots=True)
class HealthWatch:
    """Detect stalls of one engine and measure the passes of its group.

    :param step: the last step reported, -1 before the first report.
    :param epoch: epoch of the last report, -1 before the first.
    :param progressed_at: time at which a new step or an idle engine was last
        seen.
    :param stalled_at: time at which the engine was last seen stalled.
    """

    step: int = -1
    epoch: int = -1
    progressed_at: float = 0
    stalled_at: float = -RETRY_S
    timer: PassTimer = field(default_factory=make_pass_timer)

    def handle(self, state: EngineState, now: float) -> EngineHealth:
        """Process a report.

        :returns: the engine's health.
        """
        idle = state.running + state.waiting == 0
        progressed = state.step != self.step or state.epoch != self.epoch
        if progressed:
            self.stalled_at = -RETRY_S
        if idle or progressed:
            self.progressed_at = now
        self.step = state.step
        self.epoch = state.epoch
        if now - self.progressed_at > STALLED_S:
            self.stalled_at = now
        stalled = now - self.stalled_at < RETRY_S
        pace_steps = round(max(1.0, state.pace) / PACE_STEP)
        pass_s = 0.0
        if state.rank < TIMING_RANKS:
            self.timer.handle(state.step, now)
            pass_s = quantize_pass(self.timer.pass_s)
        return EngineHealth(
            state.group,
            state.epoch,
            state.is_open and not stalled,
            pace_steps * PACE_STEP,
            pass_s,
        )


def quantize_pass(pass_s: float) -> float:
    """Round a pass time so that small changes cause no new report.

    :returns: seconds, the nearest power of ``PASS_STEP_FACTOR``.
    """
    if pass_s <= 0:
        return 0
    power = round(math.log(pass_s, PASS_STEP_FACTOR))
    return round(math.pow(PASS_STEP_FACTOR, power), 4)


def make_health_watch() -> HealthWatch:
    """Create a health watch.

    :returns: a watch without any report processed.
    """
    return HealthWatch()
