"""Order the requests that wait at an entry for a free slot.

More urgent requests go first. Among equals, those that can still meet
their latency objective go before those that cannot, so that a backlog
costs the requests that are late already and not all that come after them.
"""

import math
from dataclasses import dataclass, field

# Part of the newest interval in the estimate of the rate of starts.
RATE_WEIGHT = 0.2
# The estimate never claims that a start takes longer than this.
LONGEST_START_S = 2.0


@dataclass(eq=False, slots=True)
class Waiter:
    """Be one waiting request; times are of one steady clock.

    :param urgency: 0 goes first.
    :param aim_at: start by then meets the latency objective.
    :param leave_at: starting later is of no use to the caller.
    :param avoid: upstreams that it was sent to before.
    :param passes: passes of an engine that it takes, 0 where none are known.
    :param end_at: the caller leaves then, complete or not.
    """

    service: str
    urgency: int
    aim_at: float
    leave_at: float
    avoid: frozenset[str]
    passes: float = 0
    end_at: float = math.inf

    def longest_pass_s(self, now: float) -> float:
        """Tell how long passes may take for the answer to end in time.

        :returns: seconds.
        """
        return (self.end_at - now) / self.passes if self.passes else math.inf

    def order(self, now: float) -> tuple[int, bool, float]:
        """Give the place in the line; the lowest goes first.

        :returns: a key to sort by.
        """
        late = now > self.aim_at
        return self.urgency, late, self.leave_at if late else self.aim_at


@dataclass(slots=True)
class WaitLine:
    """Hold the requests of one service that wait.

    :param start_s: estimated seconds between two starts from the line.
    """

    waiters: list[Waiter] = field(default_factory=list)
    start_s: float = 0.05
    started_at: float = 0

    def join(self, waiter: Waiter) -> None:
        """Add a request."""
        self.waiters.append(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Take a request out, if it is still there."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def ordered(self, now: float) -> list[Waiter]:
        """Give the requests in their order.

        :returns: a new list, first to go first.
        """
        return sorted(self.waiters, key=lambda one: one.order(now))

    def started(self, waiter: Waiter, now: float) -> None:
        """Take out a request that got a slot, and learn the rate."""
        self.waiters.remove(waiter)
        if self.waiters:
            interval = min(LONGEST_START_S, now - self.started_at)
            self.start_s += RATE_WEIGHT * (interval - self.start_s)
        self.started_at = now

    def wait_s(self, waiter: Waiter, now: float) -> float:
        """Predict how long a request would wait if it joined.

        :returns: seconds.
        """
        own = waiter.order(now)
        ahead = sum(1 for one in self.waiters if one.order(now) <= own)
        return (ahead + 1) * self.start_s

    def hopeless(self, waiter: Waiter, now: float) -> bool:
        """Tell whether a request would wait for nothing.

        :returns: True where it cannot start in time.
        """
        return now + self.wait_s(waiter, now) > waiter.leave_at


def make_wait_line() -> WaitLine:
    """Make an empty line.

    :returns: the line.
    """
    return WaitLine()
