"""Tell whether a group is loaded so much that faster steps help callers.

Copying experts slows the group and loads its links. While streams keep
their pace and slots are free, nobody gains from a better map.
"""

from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.passtimer import PassTimer, make_pass_timer

# A pass that takes this part of the longest pause allowed is near it: the
# pass after a long prompt takes half as long again.
PASS_PART = 0.65
# Part of the slots in use from which requests begin to wait.
BUSY_PART = 0.7


@dataclass(frozen=True, slots=True)
class GroupFigures:
    """Hold what the operator states of a group's service.

    :param slots: requests that one rank runs at once.
    :param gap_s: longest pause between two events of a stream.
    """

    slots: int
    gap_s: float


@dataclass(slots=True)
class Pressure:
    """Follow a group's passes and the slots in use."""

    figures: GroupFigures
    timer: PassTimer = field(default_factory=make_pass_timer)
    requests: dict[int, int] = field(default_factory=dict)

    def handle(self, state: EngineState, own: bool, now: float) -> None:
        """Take a rank's state.

        :param own: it was read just now, so its step can be timed.
        """
        self.requests[state.rank] = state.running + state.waiting
        if own:
            self.timer.handle(state.step, now)

    @property
    def pass_s(self) -> float:
        """Give the smoothed time of a pass.

        :returns: seconds, 0 before the first pass.
        """
        return self.timer.pass_s

    def is_high(self, size: int) -> bool:
        """Tell whether faster steps would help.

        :param size: ranks of the group.
        :returns: True near the pace allowed, or with few slots free.
        """
        allowed_s = PASS_PART * self.figures.gap_s
        slow = allowed_s > 0 and self.pass_s > allowed_s
        taken = sum(self.requests.values())
        return slow or taken > BUSY_PART * size * self.figures.slots


def make_pressure(figures: GroupFigures) -> Pressure:
    """Make the pressure of a group.

    :returns: one that knows nothing.
    """
    return Pressure(figures)
