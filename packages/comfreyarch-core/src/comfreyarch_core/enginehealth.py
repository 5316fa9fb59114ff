"""Determine an engine's health from its own reports.

The ranks of a group work in lock-step, so one stalled rank means that the
whole group is stalled, and a slow rank delays all others.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.passtimer import PassTimer, make_pass_timer

# Shortest time without a new step, while requests run, after which a group is
# stalled. A pass usually takes up to 0.12 s, and a third longer while experts are
# copied.
STALLED_S = 0.45
# Ratio of that time to the longest of the last passes, if these are long. A slow
# rank makes passes of 0.5 s, and the next one may serve longer prompts.
STALLED_PASSES = 2.5
# Number of recent readings with a new step whose passes are considered.
RECENT_READINGS = 2
# Longest time without a new step that is not a stall, and the longest pass that
# is considered: a stall that has ended was no pass.
MAX_STALLED_S = 2.0
MAX_PASS_S = MAX_STALLED_S / STALLED_PASSES
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
    :param passes: seconds per pass at the last readings with a new step.
    """

    step: int = -1
    epoch: int = -1
    progressed_at: float = 0
    stalled_at: float = -RETRY_S
    timer: PassTimer = field(default_factory=make_pass_timer)
    passes: deque[float] = field(
        default_factory=lambda: deque(maxlen=RECENT_READINGS)
    )

    def handle(
        self, state: EngineState, now: float, slowest_pace: float = 1
    ) -> EngineHealth:
        """Process a report.

        :param slowest_pace: the highest pace of the group's ranks, if known.
        :returns: the engine's health.
        """
        idle = state.running + state.waiting == 0
        progressed = state.step != self.step or state.epoch != self.epoch
        if progressed:
            self.stalled_at = -RETRY_S
            self.time_passes(state, now)
        if idle or progressed:
            self.progressed_at = now
        self.step = state.step
        self.epoch = state.epoch
        slowest_pace = max(slowest_pace, state.pace)
        if now - self.progressed_at > self.stall_timeout_s(slowest_pace):
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

    def time_passes(self, state: EngineState, now: float) -> None:
        """Record the time of the passes since the last new step."""
        if state.epoch == self.epoch and 0 <= self.step < state.step:
            pass_s = (now - self.progressed_at) / (state.step - self.step)
            self.passes.append(min(pass_s, MAX_PASS_S))

    def stall_timeout_s(self, slowest_pace: float = 1) -> float:
        """Return the time without a new step after which a group is stalled.

        :param slowest_pace: the highest pace of the group's ranks.
        :returns: seconds, more for a group that shows long passes or has a
            rank that makes them long.
        """
        longest_s = max(self.passes, default=0) * STALLED_PASSES
        return min(
            MAX_STALLED_S, max(longest_s, STALLED_S * max(1, slowest_pace))
        )

    def allow_time(self, now: float) -> None:
        """Judge the engine from now on, after a hold of its group ended."""
        self.progressed_at = now
        self.stalled_at = -RETRY_S


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
