"""Detect whether a group's load is so high that faster steps help callers.

Copying experts slows the group and loads its links. While streams stay within
their latency limit and slots are free, a better map benefits no caller. The
passes of a large group are predicted from its skew, because measured passes
follow a shift of demand more than a second late.
"""

from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.passtimer import PassTimer, make_pass_timer

# Share of the longest stream gap allowed above which a pass is too slow. The
# pass after a long prompt takes 1.5 times as long.
HIGH_PASS_SHARE = 0.65
# The same for a large group at a high skew, where a pass that reads a long
# prompt in each step takes twice as long.
SKEWED_PASS_SHARE = 0.5
HIGH_SKEW = 2.0
# Share of slots in use above which requests start to queue.
HIGH_SLOT_SHARE = 0.7
# Number of ranks from which passes are predicted from the skew. In a smaller
# group the copies cost more than they gain.
MIN_RANKS_TO_PREDICT = 32
# Share of slots in use below which a large group counts as idle.
IDLE_SLOT_SHARE = 0.05
# Share of a pass that grows with the load of the most loaded rank, if the
# configuration states none.
DEFAULT_EXPERT_SHARE = 0.85
# Growth of a pass from no request per rank to all slots in use. Engines grow by
# this or more; a higher one gives more maps.
FULL_LOAD_GROWTH = 0.45
# Weight of the newest sample of the pass time at even load. Counts and pass
# times lag differently behind a shift, which the average evens out.
EVEN_PASS_SMOOTHING = 0.1
# Time for which a map serves: demand shifts every 2 to 4 s, and the change
# itself takes half a second.
MAP_LIFETIME_S = 1.5
# Share by which passes are longer while experts are copied.
COPY_SLOWDOWN = 0.15
# Time in which a rank copies one expert, if the configuration does not state
# its size and the link: 370 MB at 180 Gbit/s.
DEFAULT_EXPERT_COPY_S = 0.0165


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Hold the configured limits of a group's service.

    :param slots: maximum concurrent requests per rank.
    :param max_gap_s: longest pause allowed between two events of a stream; 0
        if no route sets one.
    :param expert_share: share of a pass that is work of experts.
    :param expert_copy_s: time in which a rank copies one expert.
    """

    slots: int
    max_gap_s: float
    expert_share: float = DEFAULT_EXPERT_SHARE
    expert_copy_s: float = DEFAULT_EXPERT_COPY_S


@dataclass(slots=True)
class PressureMonitor:
    """Monitor a group's pass time and slots in use.

    :param requests_by_rank: running and waiting requests of each rank.
    :param even_pass_s: smoothed pass time as it would be with the load spread
        evenly, 0 before the first sample.
    """

    limits: ServiceLimits
    timer: PassTimer = field(default_factory=make_pass_timer)
    requests_by_rank: dict[int, int] = field(default_factory=dict)
    even_pass_s: float = 0

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

    def used_slot_share(self, size: int) -> float:
        """Return the running and waiting requests as a share of all slots."""
        slots = size * self.limits.slots
        return sum(self.requests_by_rank.values()) / slots if slots else 0

    def handle_skew(self, skew: float) -> None:
        """Record the skew of the map in use, to learn the even pass time."""
        if not self.pass_s:
            return
        sample_s = self.pass_s / work_factor(skew, self.limits.expert_share)
        if not self.even_pass_s:
            self.even_pass_s = sample_s
        self.even_pass_s += EVEN_PASS_SMOOTHING * (sample_s - self.even_pass_s)

    def expected_pass_s(self, skew: float) -> float:
        """Return the present pass time, which follows a shift at once.

        :param skew: peak over mean load of the map in use.
        :returns: seconds, 0 before the first pass.
        """
        factor = work_factor(skew, self.limits.expert_share)
        return max(self.pass_s, self.even_pass_s * factor)

    def predict_pass(self, skew: float, size: int) -> float:
        """Predict the pass time with all slots in use.

        :param skew: peak over mean load of the map in use.
        :returns: seconds, 0 before the first pass.
        """
        current_s = self.expected_pass_s(skew)
        used = min(1, self.used_slot_share(size))
        growth = (1 + FULL_LOAD_GROWTH) / (1 + FULL_LOAD_GROWTH * used)
        return current_s * growth

    def is_high(self, size: int, skew: float = 1) -> bool:
        """Check whether faster steps would help callers.

        :param size: number of ranks in the group.
        :param skew: peak over mean load of the map in use.
        :returns: True if passes are, or are about to be, near the longest gap
            allowed, or if few slots are free.
        """
        used = self.used_slot_share(size)
        if used > HIGH_SLOT_SHARE:
            return True
        pass_s = self.pass_s
        share = HIGH_PASS_SHARE
        if size >= MIN_RANKS_TO_PREDICT:
            if used < IDLE_SLOT_SHARE:
                return False
            pass_s = self.predict_pass(skew, size)
            share = SKEWED_PASS_SHARE if skew >= HIGH_SKEW else share
        allowed_s = share * self.limits.max_gap_s
        return 0 < allowed_s < pass_s

    def is_map_worthwhile(
        self, before: float, after: float, copies: int
    ) -> bool:
        """Weigh the time that a map saves against that of its copies.

        All streams of a group share its passes, so their number cancels out.

        :param before: skew of the map in use.
        :param after: skew of the planned map.
        :param copies: most experts that one rank copies.
        :returns: True if the shorter passes save more than the copies take.
        """
        share = self.limits.expert_share
        saved = 1 - work_factor(after, share) / work_factor(before, share)
        cost_s = COPY_SLOWDOWN * self.limits.expert_copy_s * copies
        return saved * MAP_LIFETIME_S > cost_s


def work_factor(
    skew: float, expert_share: float = DEFAULT_EXPERT_SHARE
) -> float:
    """Return the pass time at a skew, relative to an even load."""
    return 1 - expert_share + expert_share * skew


def make_pressure_monitor(limits: ServiceLimits) -> PressureMonitor:
    """Create the pressure monitor of a group.

    :returns: a monitor without any state recorded.
    """
    return PressureMonitor(limits)
