"""Decide which requests an entry that leaves may still take.

While many entries leave together, the balancer in front sends callers to all
of them. Refusing them all would cost more than taking what surely ends before
the process does.
"""

from comfreyarch_core.routetable import Route, RouteKind

# Time of an output token on a busy group, and until the first one.
TOKEN_S = 0.03
FIRST_TOKEN_S = 0.6


def longest_s(route: Route, answer_tokens: int) -> float:
    """Give the time that a request takes at most, on a busy group.

    :param answer_tokens: the most tokens that its answer may have.
    :returns: seconds, never more than the route allows.
    """
    if route.kind != RouteKind.streaming or answer_tokens < 1:
        return route.timeout_s
    return min(route.timeout_s, FIRST_TOKEN_S + answer_tokens * TOKEN_S)


def ends_in_time(
    route: Route,
    answer_tokens: int,
    now: float,
    end: float,
) -> bool:
    """Tell whether a request surely ends before its entry does.

    :param end: when the entry's process ends.
    :returns: False for one that is better refused.
    """
    return now + longest_s(route, answer_tokens) < end
