"""Detect whether a group's load is so high that faster steps help callers.

Copying experts slows the group and loads its links. While streams stay within
their latency limit and slots are free, a better map benefits no caller.
"""

from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.passtimer import PassTimer, make_pass_timer

# Share of the longest stream gap allowed above which a pass is too slow. The
# pass after a long prompt takes 1.5 times as long.
HIGH_PASS_SHARE = 0.65
# Share of slots in use above which requests start to queue.
HIGH_SLOT_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Hold the configured limits of a group's service.

    :param slots: maximum concurrent requests per rank.
    :param max_gap_s: longest pause allowed between two events of a stream; 0
        if no route sets one.
    """

    slots: int
    max_gap_s: float


@dataclass(slots=True)
class PressureMonitor:
    """Monitor a group's pass time and slots in use.

    :param requests_by_rank: running and waiting requests of each rank.
    """

    limits: ServiceLimits
    timer: PassTimer = field(default_factory=make_pass_timer)
    requests_by_rank: dict[int, int] = field(default_factory=dict)

    def handle(self, state: EngineState, is_own_rank: bool, now: float) -> None:
        """Record a rank's state.

        :param is_own_rank: whether this is the leader's own rank. Its state
            was read just now, so its steps can be timed.
        """
        self.requests_by_rank[state.rank] = state.running + state.waiting
        if is_own_rank:
            self.timer.handle(state.step, now)

    @property
    def pass_s(self) -> float:
        """Return the smoothed time of a pass.

        :returns: seconds, 0 before the first pass.
        """
        return self.timer.pass_s

    def is_high(self, size: int) -> bool:
        """Check whether faster steps would help callers.

        :param size: number of ranks in the group.
        :returns: True if passes are near the longest gap allowed or few slots
            are free.
        """
        allowed_s = HIGH_PASS_SHARE * self.limits.max_gap_s
        is_slow = allowed_s > 0 and self.pass_s > allowed_s
        used_slots = sum(self.requests_by_rank.values())
        return (
            is_slow or used_slots > HIGH_SLOT_SHARE * size * self.limits.slots
        )


def make_pressure_monitor(limits: ServiceLimits) -> PressureMonitor:
    """Create the pressure monitor of a group.

    :returns: a monitor without any state recorded.
    """
    return PressureMonitor(limits)
