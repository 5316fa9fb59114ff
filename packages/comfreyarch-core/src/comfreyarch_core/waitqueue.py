"""Order the requests that wait at an entry for a free slot.

More urgent requests go first. Among equally urgent ones, requests that can
still meet their latency objective go before those that cannot, so that a
backlog delays only the requests that are already late and not every request
that arrives after them.

If all upstreams of the service are limited, requests go in the order of their
deadlines, against the rate that the upstreams take: what cannot be served in time
is known at once.
"""

import math
from dataclasses import dataclass, field

# Weight of the newest interval in the moving average of the time between two
# starts.
START_INTERVAL_WEIGHT = 0.2
# Upper bound of the interval that enters the moving average.
MAX_START_INTERVAL_S = 2.0
# Part of its time that a request may be expected to wait for limited upstreams,
# since the requests that wait at other entries are known late.
MAX_LIMITED_WAIT = 0.7


@dataclass(eq=False, slots=True)
class Waiter:
    """Represent one waiting request; all times are on one monotonic clock.

    :param urgency: effective priority of the request; 0 is served first.
    :param target_start_at: latest start that meets the latency objective.
    :param latest_start_at: latest start that is still useful to the caller.
    :param avoid: names of upstreams that the request was sent to before.
    :param pass_count: minimum number of engine passes, 0 if unknown.
    :param deadline: when the caller stops waiting for the complete answer.
    :param traits: shared parts of the prompt, as traits of the crash guard.
    :param send_by: set with the slot; end of the permit for it.
    """

    service: str
    urgency: int
    target_start_at: float
    latest_start_at: float
    avoid: frozenset[str]
    pass_count: float = 0
    deadline: float = math.inf
    traits: tuple[str, ...] = ()
    send_by: float = math.inf

    def max_pass_s(self, now: float) -> float:
        """Compute the longest pass time that still meets the deadline.

        :returns: seconds, infinite if the number of passes is unknown.
        """
        return (
            (self.deadline - now) / self.pass_count
            if self.pass_count
            else math.inf
        )

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the queue position; the lowest key is served first.

        :returns: urgency, whether the target is missed, and the time to
            start by.
        """
        is_late = now > self.target_start_at
        return (
            self.urgency,
            is_late,
            self.latest_start_at if is_late else self.target_start_at,
        )

    def deadline_key(self) -> tuple[int, bool, float]:
        """Return the queue position for limited upstreams.

        :returns: urgency, False, and the latest useful start.
        """
        return (self.urgency, False, self.latest_start_at)


@dataclass(slots=True)
class WaitQueue:
    """Hold the waiting requests of one service.

    :param start_interval_s: moving average of the seconds between two starts
        from the queue.
    :param last_start_at: time of the last start from the queue.
    :param limit: requests per second that the upstreams take from all entries
        together, infinite unless all are limited.
    :param others: requests that wait at the other entries.
    """

    waiters: list[Waiter] = field(default_factory=list)
    start_interval_s: float = 0.05
    last_start_at: float = 0
    limit: float = math.inf
    others: int = 0

    @property
    def is_limited(self) -> bool:
        """Check whether all upstreams are limited.

        :returns: False if requests wait for slots only.
        """
        return self.limit < math.inf

    def join(self, waiter: Waiter) -> None:
        """Add a request."""
        self.waiters.append(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Remove a request if it is still queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def position(self, waiter: Waiter, now: float) -> tuple[int, bool, float]:
        """Return the position of a request; the lowest is served first.

        :returns: a key to sort by.
        """
        return (
            waiter.deadline_key() if self.is_limited else waiter.sort_key(now)
        )

    def ordered(self, now: float) -> list[Waiter]:
        """Return the waiting requests in the order they are served.

        :returns: a new list, next request first.
        """
        return sorted(
            self.waiters, key=lambda waiter: self.position(waiter, now)
        )

    def record_start(self, waiter: Waiter, now: float) -> None:
        """Remove a request that got a slot and update the start interval.

        Waits for permits tell nothing of the wait for slots.
        """
        self.waiters.remove(waiter)
        if self.waiters and waiter.send_by == math.inf:
            interval_s = min(MAX_START_INTERVAL_S, now - self.last_start_at)
            self.start_interval_s += START_INTERVAL_WEIGHT * (
                interval_s - self.start_interval_s
            )
        self.last_start_at = now

    def wait_s(self, waiter: Waiter, now: float) -> float:
        """Predict how long a request would wait if it joined the queue.

        :returns: seconds.
        """
        position = self.position(waiter, now)
        ahead = sum(
            1
            for queued in self.waiters
            if self.position(queued, now) <= position
        )
        if self.is_limited:
            return (ahead + self.others) / self.limit
        return (ahead + 1) * self.start_interval_s

    def drain_s(self) -> float:
        """Predict the time until the waiting requests are served.

        :returns: seconds.
        """
        if self.is_limited:
            return (len(self.waiters) + self.others + 1) / self.limit
        return len(self.waiters) * self.start_interval_s

    def cannot_start_in_time(self, waiter: Waiter, now: float) -> bool:
        """Check whether a request is predicted to start too late.

        :returns: True if it cannot start before its latest useful start.
        """
        left_s = waiter.latest_start_at - now
        if self.is_limited:
            left_s *= MAX_LIMITED_WAIT
        return self.wait_s(waiter, now) > left_s

    def too_late(self, now: float) -> list[Waiter]:
        """List the waiting requests that limited upstreams take too late.

        :returns: those whose latest useful start comes before their turn.
        """
        if not self.is_limited:
            return []
        return [
            waiter
            for ahead, waiter in enumerate(self.ordered(now))
            if now + ahead / self.limit > waiter.latest_start_at
        ]


def make_wait_queue() -> WaitQueue:
    """Create an empty queue.

    :returns: the queue.
    """
    return WaitQueue()
