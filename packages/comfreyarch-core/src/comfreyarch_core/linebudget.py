"""Bound how many log lines of one event are written.

Each event has a bucket of its own, so that a flood of one leaves room for
the others. What is left out is counted and told with the next line.
"""

from dataclasses import dataclass, field

# Lines of one event: a burst, and a steady rate after it.
BURST_LINES = 200.0
LINES_A_SECOND = 50.0


@dataclass(slots=True)
class Bucket:
    """Hold the lines that one event may still write."""

    lines: float
    at: float
    left_out: int = 0


@dataclass(slots=True)
class LineBudget:
    """Decide which lines are written."""

    buckets: dict[str, Bucket] = field(default_factory=dict)

    def take(self, event: str, now: float) -> int | None:
        """Take one line.

        :returns: lines left out since the last one, or None to leave this
            one out too.
        """
        bucket = self.buckets.setdefault(event, Bucket(BURST_LINES, now))
        earned = max(0.0, now - bucket.at) * LINES_A_SECOND
        bucket.lines = min(BURST_LINES, bucket.lines + earned)
        bucket.at = now
        if bucket.lines < 1:
            bucket.left_out += 1
            return None
        bucket.lines -= 1
        left_out = bucket.left_out
        bucket.left_out = 0
        return left_out


def make_line_budget() -> LineBudget:
    """Make a budget with full buckets.

    :returns: the budget.
    """
    return LineBudget()
