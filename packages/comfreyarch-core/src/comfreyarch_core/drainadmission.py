"""Decide which requests a draining entry still accepts.

While many entries drain together, the load balancer in front of them still
sends callers to all of them. Refusing every request would cost more than
accepting those that certainly complete before the process exits.
"""

from comfreyarch_core.routetable import Route, RouteKind

# Time per output token on a busy group.
TOKEN_S = 0.03
# Time to the first output token on a busy group.
FIRST_TOKEN_S = 0.6


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
