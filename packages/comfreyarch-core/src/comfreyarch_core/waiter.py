"""Represent a request that waits at an entry for a free slot."""

import math
from dataclasses import dataclass

from comfreyarch_core.fleetqueue import rank_of
from comfreyarch_core.upstreamselection import UpstreamView


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
    :param is_resumed: whether the caller already has part of the answer; then
        the request is not refused before its latest start.
    :param was_queued: set when it joins a queue.
    :param slot: the upstream at which the request has a slot; reset when it is
        released.
    :param send_by: set with the slot; time by which to send.
    :param cold_send_by: the same, as far as the upstream is cold.
    """

    service: str
    urgency: int
    target_start_at: float
    latest_start_at: float
    avoid: frozenset[str]
    pass_count: float = 0
    deadline: float = math.inf
    traits: tuple[str, ...] = ()
    is_resumed: bool = False
    was_queued: bool = False
    slot: UpstreamView | None = None
    send_by: float = math.inf
    cold_send_by: float = math.inf

    def max_pass_s(self, now: float) -> float:
        """Compute the longest pass time that still meets the deadline.

        :returns: seconds, infinite if the number of passes is unknown.
        """
        return (
            (self.deadline - now) / self.pass_count
            if self.pass_count
            else math.inf
        )

    @property
    def work(self) -> float:
        """Return the work of the request.

        :returns: the number of passes, 1 if it is unknown.
        """
        return self.pass_count or 1

    def rank(self, now: float) -> int:
        """Return the rank by value.

        :returns: a number; the lowest is served first.
        """
        return rank_of(self.urgency, is_late=now > self.target_start_at)

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the queue position; the lowest key is served first.

        :returns: rank, whether the target is missed, and the time to
            start by.
        """
        is_late = now > self.target_start_at
        return (
            rank_of(self.urgency, is_late=is_late),
            is_late,
            self.latest_start_at if is_late else self.target_start_at,
        )

    def deadline_key(self) -> tuple[int, bool, float]:
        """Return the queue position for limited upstreams.

        :returns: urgency, False, and the latest useful start.
        """
        return (self.urgency, False, self.latest_start_at)
