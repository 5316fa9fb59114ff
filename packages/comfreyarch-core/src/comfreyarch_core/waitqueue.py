"""Order the requests that wait at an entry for a free slot.

More urgent requests go first. Requests that can no longer meet their latency
objective go after those of the next urgency that can, so that a backlog delays
only the requests that are already late and not every request that arrives after
them. One start in eight goes to a less urgent request, the one due first.

If all upstreams of the service are limited, requests go in the order of their
deadlines, against the rate that the upstreams take: what cannot be served in time
is known at once.
"""

import math
from dataclasses import dataclass, field

from comfreyarch_core.fleetqueue import (
    RESERVED_SHARE,
    Backlog,
    FleetQueue,
    make_fleet_queue,
    summarize,
)
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.workahead import make_work_ahead

# Weight of the newest interval in the moving average of the time between two
# starts.
START_INTERVAL_WEIGHT = 0.2
# Upper bound of the interval that enters the moving average.
MAX_START_INTERVAL_S = 2.0
# Part of its time that a request may be expected to wait for limited upstreams,
# since the requests that wait at other entries are known late.
MAX_LIMITED_WAIT = 0.7
# A queued request is refused when the predicted wait exceeds the time it has left
# by this factor: predictions vary with the requests of other entries.
QUEUED_WAIT_MARGIN = 1.25


@dataclass(slots=True)
class WaitQueue:
    """Hold the waiting requests of one service.

    :param start_interval_s: moving average of the seconds between two starts
        from the queue.
    :param last_start_at: time of the last start from the queue.
    :param limit: requests per second that the upstreams take from all entries
        together, infinite unless all are limited.
    :param others: requests that wait at the other entries.
    :param fleet: predicts waits from the requests of all entries.
    :param urgencies: urgencies of the requests that have waited.
    :param starts: starts since one was reserved.
    """

    waiters: list[Waiter] = field(default_factory=list)
    start_interval_s: float = 0.05
    last_start_at: float = 0
    limit: float = math.inf
    others: int = 0
    fleet: FleetQueue = field(default_factory=make_fleet_queue)
    urgencies: set[int] = field(default_factory=set)
    starts: int = 0

    @property
    def is_limited(self) -> bool:
        """Check whether all upstreams are limited.

        :returns: False if requests wait for slots only.
        """
        return self.limit < math.inf

    def join(self, waiter: Waiter) -> None:
        """Add a request."""
        waiter.was_queued = True
        self.urgencies.add(waiter.urgency)
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
        waiters = sorted(
            self.waiters, key=lambda waiter: self.position(waiter, now)
        )
        if self.is_limited or not self.is_reserved:
            return waiters
        first = min(waiter.urgency for waiter in waiters)
        reserved = min(
            (waiter for waiter in waiters if waiter.urgency != first),
            key=lambda waiter: waiter.target_start_at,
        )
        waiters.sort(key=lambda waiter: waiter is not reserved)
        return waiters

    @property
    def is_reserved(self) -> bool:
        """Check whether the next start is for a less urgent request.

        :returns: False if all are equally urgent.
        """
        if (self.starts + 1) * RESERVED_SHARE < 1:
            return False
        return len({waiter.urgency for waiter in self.waiters}) > 1

    def backlogs(self, now: float) -> tuple[Backlog, ...]:
        """Sum up the waiting requests for the other entries.

        :returns: the sums by rank.
        """
        return summarize(
            (waiter.rank(now), waiter.work) for waiter in self.waiters
        )

    def record_start(self, waiter: Waiter, now: float) -> None:
        """Remove a request that got a slot and update the start interval.

        Waits for permits tell nothing of the wait for slots.
        """
        self.starts = 0 if self.is_reserved else self.starts + 1
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
        if self.fleet.work_per_s > 0:
            return self.fleet_wait_s(waiter, now)
        return (ahead + 1) * self.start_interval_s

    def fleet_wait_s(self, waiter: Waiter, now: float) -> float:
        """Predict the wait of a new request from those of all entries.

        :returns: seconds.
        """
        position = self.position(waiter, now)
        ahead = make_work_ahead(self.fleet)
        for queued in self.waiters:
            if self.position(queued, now) <= position:
                ahead.add(queued.rank(now), queued.urgency, queued.work)
        return ahead.wait_s(waiter.rank(now), waiter.urgency)

    def drain_s(self) -> float:
        """Predict the time until the waiting requests are served.

        :returns: seconds.
        """
        if self.is_limited:
            return (len(self.waiters) + self.others + 1) / self.limit
        if self.fleet.work_per_s > 0:
            work = sum(waiter.work for waiter in self.waiters)
            work += sum(backlog.work for backlog in self.fleet.others)
            return work / self.fleet.work_per_s
        return len(self.waiters) * self.start_interval_s

    def cannot_start_in_time(self, waiter: Waiter, now: float) -> bool:
        """Check whether a request is predicted to start too late.

        :returns: True if it cannot start before its latest useful start.
        """
        left_s = waiter.latest_start_at - now
        if waiter.is_resumed:
            return left_s <= 0
        if self.is_limited:
            left_s *= MAX_LIMITED_WAIT
        elif self.fleet.has_much_room:
            return False
        return self.wait_s(waiter, now) > left_s

    def too_late(self, now: float) -> list[Waiter]:
        """List the waiting requests that would start too late.

        :returns: those whose latest useful start comes before their turn.
        """
        if not self.is_limited:
            return self.too_late_for_slots(now)
        return [
            waiter
            for ahead, waiter in enumerate(self.ordered(now))
            if now + ahead / self.limit > waiter.latest_start_at
            and not waiter.is_resumed
        ]

    def too_late_for_slots(self, now: float) -> list[Waiter]:
        """List the waiting requests that would get a slot too late.

        :returns: those whose predicted start is too late by a margin.
        """
        fleet = self.fleet
        if fleet.work_per_s <= 0 or fleet.has_much_room:
            return []
        totals = {backlog.rank: backlog.work for backlog in self.backlogs(now)}
        late = []
        ahead = make_work_ahead(fleet)
        waiters = sorted(self.waiters, key=lambda each: each.sort_key(now))
        for waiter in waiters:
            rank = waiter.rank(now)
            share = ahead.by_rank.get(rank, 0) / totals[rank]
            wait_s = ahead.wait_s(rank, waiter.urgency, share)
            left_s = waiter.latest_start_at - now
            is_late = wait_s > left_s * QUEUED_WAIT_MARGIN
            if is_late and not waiter.is_resumed:
                late.append(waiter)
            else:
                ahead.add(rank, waiter.urgency, waiter.work)
        return late


def make_wait_queue() -> WaitQueue:
    """Create an empty queue.

    :returns: the queue.
    """
    return WaitQueue()
