"""Time a group's passes from the step numbers that one rank reports."""

from dataclasses import dataclass

# Weight of the newest pass time, and the shortest time it is taken over.
PASS_WEIGHT = 0.4
PASS_SPAN_S = 0.4
# A group without a pass for so long is idle; its passes are timed anew.
IDLE_S = 1.0


@dataclass(slots=True)
class PassTimer:
    """Smooth the time of a pass.

    :param pass_s: smoothed seconds of a pass, 0 before the first.
    """

    pass_s: float = 0
    step: int = -1
    since: float = 0

    def handle(self, step: int, now: float) -> None:
        """Take the number of the last step that was begun."""
        span = now - self.since
        if self.step < 0 or step < self.step or span > IDLE_S:
            self.step = step
            self.since = now
            return
        if step == self.step or span < PASS_SPAN_S:
            return
        one = span / (step - self.step)
        self.pass_s += PASS_WEIGHT * (one - self.pass_s)
        self.step = step
        self.since = now


def make_pass_timer() -> PassTimer:
    """Make a timer that saw no step.

    :returns: the timer.
    """
    return PassTimer()
