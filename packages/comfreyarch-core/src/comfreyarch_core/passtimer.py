"""Measure a group's pass time from the step numbers that a rank reports."""

from dataclasses import dataclass

# Weight of the newest sample in the moving average.
SMOOTHING = 0.4
# Minimum time that a sample of the pass time covers.
MIN_SAMPLE_S = 0.4
# Age after which a sample is discarded, because the group is taken to have been
# idle; timing restarts at the next report.
MAX_SAMPLE_S = 1.0


@dataclass(slots=True)
class PassTimer:
    """Maintain a moving average of a group's pass time.

    :param pass_s: smoothed seconds per pass, 0 before the first sample.
    :param step: step at which the current sample started, -1 before the first.
    :param sample_started_at: time at which the current sample started.
    """

    pass_s: float = 0
    step: int = -1
    sample_started_at: float = 0

    def handle(self, step: int, now: float) -> None:
        """Record the last step that began, and update the average.

        :param now: monotonic time in seconds.
        """
        elapsed_s = now - self.sample_started_at
        if self.step < 0 or step < self.step or elapsed_s > MAX_SAMPLE_S:
            self.step = step
            self.sample_started_at = now
            return
        if step == self.step or elapsed_s < MIN_SAMPLE_S:
            return
        sample_s = elapsed_s / (step - self.step)
        self.pass_s += SMOOTHING * (sample_s - self.pass_s)
        self.step = step
        self.sample_started_at = now


def make_pass_timer() -> PassTimer:
    """Create a pass timer.

    :returns: a timer without any step recorded.
    """
    return PassTimer()
