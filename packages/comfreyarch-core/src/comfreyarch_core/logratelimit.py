"""Limit the rate of log lines per event.

Each event has its own token bucket, so that a flood of one event does not
suppress the others. Suppressed lines are counted, and the next line written
of that event reports their number.
"""

from dataclasses import dataclass, field

# Lines of one event that may be written at once.
BURST_LINES = 200.0
# Sustained rate of the lines of one event.
LINES_PER_S = 50.0


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of one event.

    :param lines: lines that may be written now.
    :param refilled_at: time of the last refill, in seconds.
    :param suppressed: lines suppressed since the last one written.
    """

    lines: float
    refilled_at: float
    suppressed: int = 0


@dataclass(slots=True)
class LogRateLimiter:
    """Decide which log lines are written.

    :param buckets: token bucket of each event, created full.
    """

    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def allow(self, event: str, now: float) -> int | None:
        """Check whether a line of an event may be written.

        :param now: monotonic time in seconds.
        :returns: the number of lines suppressed since the last one written, or
            None to suppress this one too.
        """
        bucket = self.buckets.setdefault(event, TokenBucket(BURST_LINES, now))
        refill = max(0.0, now - bucket.refilled_at) * LINES_PER_S
        bucket.lines = min(BURST_LINES, bucket.lines + refill)
        bucket.refilled_at = now
        if bucket.lines < 1:
            bucket.suppressed += 1
            return None
        bucket.lines -= 1
        suppressed = bucket.suppressed
        bucket.suppressed = 0
        return suppressed


def make_log_rate_limiter() -> LogRateLimiter:
    """Create a limiter.

    :returns: a limiter that has not seen any event.
    """
    return LogRateLimiter()
