"""Limit retries to a service at one of many entries.

All entries together may add retries up to a ratio of the requests plus an
allowance in any window. Each entry enforces its part without coordination:
the same ratio of its own requests, and an equal share of the allowance.

A retry counts from the time at which it is sent, as upstreams see it. Until
then it is reserved, since it may wait for a free slot for seconds. An entry
that starts does not know the retries of its predecessor, so it counts the
whole allowance as used for one window. Where the number of entries falls,
the retries of those that are gone lie in the window for as long.
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
class EntryCount:
    """Track the number of entries that share an allowance.

    :param seen_at: time at which each number was last seen.
    :param recorded_at: time at which the entries were last counted.
    """

    window_s: float
    seen_at: dict[int, float] = field(default_factory=dict)
    recorded_at: float = 0

    def record(self, entries: int, now: float) -> None:
        """Record the present number of entries."""
        self.seen_at[entries] = now
        self.recorded_at = now

    def highest(self, now: float) -> int:
        """Return the highest number of entries within the window.

        :returns: at least 1.
        """
        start = now - self.window_s
        for entries, seen_at in list(self.seen_at.items()):
            if seen_at < start:
                self.seen_at.pop(entries)
        return max(self.seen_at, default=1)


@dataclass(slots=True)
class RetryShare:
    """Represent one entry's share of a service's retry budget.

    :param started_at: start of the entry's process, in seconds.
    :param entries: number of entries that share the allowance.
    :param requests: times of the requests in the window.
    :param retries: times of the retries sent in the window.
    :param reserved: retries that will be sent or cancelled.
    """

    limits: RetryLimits
    started_at: float
    entries: int
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    reserved: int = 0

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.append(now)
        self.expire(now)

    def allowance(self, now: float) -> float:
        """Return this entry's share of the allowance.

        :returns: retries per window, 0 during the first window.
        """
        if now - self.started_at < self.limits.window_s:
            return 0
        return self.limits.allowance * ALLOWANCE_USED / max(1, self.entries)

    def remaining(self, now: float) -> float:
        """Compute the retries that may be reserved now.

        :returns: a number; below 1, no retry may be made.
        """
        self.expire(now)
        earned = self.limits.ratio * RATIO_USED * len(self.requests)
        used = len(self.retries) + self.reserved
        return earned + self.allowance(now) - used

    def reserve(self, now: float) -> bool:
        """Reserve a retry, to be followed by ``spend`` or ``cancel``.

        :returns: False if none remains.
        """
        if self.remaining(now) < 1:
            return False
        self.reserved += 1
        return True

    def spend(self, now: float) -> bool:
        """Count a reserved retry as it is sent.

        Requests that earned it may have left the window while it waited.

        :returns: False if it must not be sent; the reservation has ended.
        """
        self.reserved -= 1
        if self.remaining(now) < 1:
            return False
        self.retries.append(now)
        return True

    def cancel(self) -> None:
        """End a reservation without a retry."""
        self.reserved -= 1

    def expire(self, now: float) -> None:
        """Drop requests and retries that are older than the window."""
        start = now - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()


def make_retry_share(
    limits: RetryLimits, started_at: float, entries: int
) -> RetryShare:
    """Create one entry's share of a service's retry budget.

    :param started_at: start of the entry's process, in seconds.
    :returns: a share without requests or retries.
    """
    return RetryShare(limits, started_at, entries)
