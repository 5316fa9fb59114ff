"""Check the retry budget from the times of requests and repeats.

In any window a service may get a ratio of its requests plus an allowance of
arrivals beyond the first of each request, summed over all entries. The requests
are those of the same window, the one before it or the one half a window before
it, whichever has most.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence

from comfreyarch_core.retryshare import RetryLimits


def count_within(times: Sequence[float], start: float, end: float) -> int:
    """Count the times from ``start`` to ``end``.

    :param times: in ascending order.
    """
    return bisect_right(times, end) - bisect_left(times, start)


def find_worst_window(
    requests: Sequence[float],
    repeats: Sequence[float],
    limits: RetryLimits,
) -> tuple[float, float]:
    """Find the window whose repeats exceed the budget most.

    :param requests: times of the requests, in ascending order.
    :param repeats: times of the repeats, in ascending order.
    :returns: the excess, negative within the budget, and the end of the window.
    """
    worst = (-limits.allowance, 0.0)
    for end in repeats:
        start = end - limits.window_s
        earned = limits.ratio * max(
            count_within(requests, start - shift, end - shift)
            for shift in (0, limits.window_s / 2, limits.window_s)
        )
        repeated = count_within(repeats, start, end)
        worst = max(worst, (repeated - earned - limits.allowance, end))
    return worst
