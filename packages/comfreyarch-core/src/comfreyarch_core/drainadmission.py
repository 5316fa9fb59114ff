"""Decide which requests a draining entry still accepts.

While many entries drain together, the load balancer in front of them still
sends callers to all of them. Refusing every request would cost more than
accepting those that certainly complete before the process exits. What is accepted
may still wait for a slot: it is refused once it could not be answered any more, so
that no accepted request is cut off unanswered.
"""

import math
from dataclasses import dataclass

from comfreyarch_core.routetable import Route, RouteKind

# Time per output token on a busy group.
TOKEN_S = 0.03
# Time to the first output token on a busy group.
FIRST_TOKEN_S = 0.6
# Time before the exit after which no request is sent to an upstream any more.
LAST_START_S = 0.5


def max_duration_s(route: Route, answer_tokens: int) -> float:
    """Compute the longest time that a request takes on a busy group.

    :param answer_tokens: maximum number of output tokens, 0 if unknown.
    :returns: seconds, at most the route's timeout.
    """
    if route.kind != RouteKind.streaming or answer_tokens < 1:
        return route.timeout_s
    return min(route.timeout_s, FIRST_TOKEN_S + answer_tokens * TOKEN_S)


def can_finish_before(
    route: Route,
    answer_tokens: int,
    now: float,
    exit_at: float,
) -> bool:
    """Check whether a request certainly completes before its entry exits.

    :param exit_at: when the entry's process exits.
    :returns: False if the request should be refused.
    """
    return now + max_duration_s(route, answer_tokens) < exit_at


@dataclass(frozen=True, slots=True)
class PlannedExit:
    """Represent the planned exit of an entry's process.

    :param exits_at: when the process exits.
    :param selects_from: from when only requests are accepted that certainly
        complete before.
    """

    exits_at: float
    selects_from: float = -math.inf

    def accepts(self, route: Route, answer_tokens: int, now: float) -> bool:
        """Check whether a request that was just read is accepted.

        :returns: False if it should be refused.
        """
        return now < self.selects_from or can_finish_before(
            route, answer_tokens, now, self.exits_at
        )

    def latest_start(
        self, route: Route, answer_tokens: int, received_at: float
    ) -> float:
        """Compute until when an accepted request may be sent to an upstream.

        The deadline of a request without a known number of tokens comes before
        the exit, so that the wait for a slot is part of its time.

        :param received_at: when the request was read.
        :returns: a time.
        """
        needed_s = LAST_START_S
        is_stream = route.kind == RouteKind.streaming and answer_tokens > 0
        if is_stream and received_at >= self.selects_from:
            needed_s = max(needed_s, max_duration_s(route, answer_tokens))
        return self.exits_at - needed_s
