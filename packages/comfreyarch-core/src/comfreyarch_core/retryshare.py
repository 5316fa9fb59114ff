"""Bound repeated sends to a service, as one of many entries.

All entries together may add a share of the requests plus an allowance in
any window. Each entry keeps to its part without asking the others: the
same share of its own requests, and an equal part of the allowance.
"""

from collections import deque
from dataclasses import dataclass, field

# Part of the ratio that is used; the rest covers requests of which other
# entries see the end of the window elsewhere.
RATIO_USED = 0.9
# Part of the allowance that is used, for entries that have not been counted.
ALLOWANCE_USED = 0.8


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Say what all entries together may add.

    :param ratio: repeated sends for each request.
    :param allowance: repeated sends in a window besides.
    :param window_s: length of the window.
    """

    ratio: float
    allowance: float
    window_s: float


@dataclass(slots=True)
class RetryShare:
    """Count requests and repeated sends of one service at one entry.

    :param entries: how many entries share the allowance.
    """

    limits: RetryLimits
    entries: int
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def requested(self, now: float) -> None:
        """Count a request of a caller."""
        self.requests.append(now)
        self.forget(now)

    def left(self, now: float) -> float:
        """Tell how many repeated sends are left in the present window.

        :returns: a number, less than 1 where none may be made.
        """
        self.forget(now)
        earned = self.limits.ratio * RATIO_USED * len(self.requests)
        given = self.limits.allowance * ALLOWANCE_USED / max(1, self.entries)
        return earned + given - len(self.repeats)

    def take(self, now: float) -> bool:
        """Take one repeated send.

        :returns: False when none is left.
        """
        if self.left(now) < 1:
            return False
        self.repeats.append(now)
        return True

    def forget(self, now: float) -> None:
        """Drop what lies before the window."""
        start = now - self.limits.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] < start:
                times.popleft()


def make_retry_share(limits: RetryLimits, entries: int) -> RetryShare:
    """Make the share of one entry for one service.

    :returns: a share with nothing counted.
    """
    return RetryShare(limits, entries)
