"""Limit retries to a service at one of many entries.

All entries together may add retries up to a ratio of the requests plus an
allowance in any window. Each entry enforces its part without coordination:
the same ratio of its own requests, and an equal share of the allowance.
"""

from collections import deque
from dataclasses import dataclass, field

# Fraction of the ratio that is used. The rest is a margin for requests that
# fall into the window of one entry but not into that of another.
RATIO_USED = 0.9
# Fraction of the allowance that is used. The rest is a margin for entries
# that are not counted yet.
ALLOWANCE_USED = 0.8


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit the retries of all entries together.

    :param ratio: retries per request.
    :param allowance: additional retries per window.
    :param window_s: length of the window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


@dataclass(slots=True)
class RetryShare:
    """Represent one entry's share of a service's retry budget.

    :param entries: number of entries that share the allowance.
    :param requests: times of the requests in the window.
    :param retries: times of the retries in the window.
    """

    limits: RetryLimits
    entries: int
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.append(now)
        self.expire(now)

    def remaining(self, now: float) -> float:
        """Compute the retries that remain in the current window.

        :returns: a number; below 1, no retry may be made.
        """
        self.expire(now)
        earned = self.limits.ratio * RATIO_USED * len(self.requests)
        allowed = self.limits.allowance * ALLOWANCE_USED / max(1, self.entries)
        return earned + allowed - len(self.retries)

    def take(self, now: float) -> bool:
        """Take one retry from the budget.

        :returns: False if none remains.
        """
        if self.remaining(now) < 1:
            return False
        self.retries.append(now)
        return True

    def expire(self, now: float) -> None:
        """Drop requests and retries that are older than the window."""
        start = now - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()


def make_retry_share(limits: RetryLimits, entries: int) -> RetryShare:
    """Create one entry's share of a service's retry budget.

    :returns: a share without requests or retries.
    """
    return RetryShare(limits, entries)
