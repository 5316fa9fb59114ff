"""Define why a dispatcher assigns no slot to a request."""

import enum
import math

from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import WaitQueue

# Lower bound of the time after which a refused caller should retry.
MIN_RETRY_S = 0.2
# Part of the expected wait over which the returns of refused callers are spread.
RETRY_SPREAD = 0.5
# Longest time to retry, as a part of the time left to the deadline. Callers
# obey a longer one only up to a third of that time, so all would return then.
MAX_RETRY_SHARE = 0.3
# Part of the longest time from which the returns are spread.
CAPPED_SPREAD_FROM = 0.6
# The same if the wait does not end before the deadline: an earlier return would
# only be refused again.
UNREACHABLE_SPREAD_FROM = 0.9


class RefusalReason(enum.Enum):
    """Name why a request gets no slot."""

    no_upstream = 'no_upstream'
    hold = 'hold'
    late_start = 'late_start'
    late_end = 'late_end'
    timeout = 'timeout'
    leaving = 'leaving'


class DispatchError(Exception):
    """Report that a request cannot start in time.

    :param why: the reason.
    :param retry_after_s: expected seconds until the queue is served.
    :param has_upstreams: whether the service has any upstream left.
    :param reason: the reason by which refusals are counted.
    """

    def __init__(
        self,
        why: str,
        retry_after_s: float,
        *,
        has_upstreams: bool,
        reason: RefusalReason = RefusalReason.late_start,
    ) -> None:
        """Record when to retry and whether there are upstreams."""
        super().__init__(why)
        self.retry_after_s = retry_after_s
        self.has_upstreams = has_upstreams
        self.reason = reason


def spread_retry_s(wait_s: float, draw: float) -> float:
    """Spread the returns of callers that are refused together.

    :param wait_s: expected wait in seconds.
    :param draw: random number from 0 to 1.
    :returns: seconds after which to retry.
    """
    return max(MIN_RETRY_S, wait_s) * (1 + RETRY_SPREAD * draw)


def bound_retry_s(retry_s: float, left_s: float, draw: float) -> float:
    """Bound the time to retry by what callers obey, and spread it there.

    :param retry_s: seconds after which capacity is expected.
    :param left_s: time left to the deadline.
    :param draw: random number from 0 to 1.
    :returns: seconds after which to retry.
    """
    longest_s = MAX_RETRY_SHARE * left_s
    if retry_s <= longest_s:
        return max(MIN_RETRY_S, retry_s)
    spread_from = CAPPED_SPREAD_FROM
    if retry_s > left_s:
        spread_from = UNREACHABLE_SPREAD_FROM
    share = spread_from + (1 - spread_from) * draw
    return max(MIN_RETRY_S, share * longest_s)


def make_late_error(
    queue: WaitQueue, wait_s: float, draw: float = 0
) -> DispatchError:
    """Make the error for a request that cannot start in time.

    :param wait_s: expected wait in seconds.
    :param draw: random number from 0 to 1 that spreads the retries.
    :returns: the error.
    """
    why = (
        f'{len(queue.waiters)} requests are queued;'
        f' the expected wait of {wait_s:.2f} s is too long'
    )
    if queue.is_limited:
        why = (
            f'{why}, as all upstreams are limited, to {queue.limit:.1f} requests'
            f' per second together, for which {queue.others} requests wait at'
            f' other entries'
        )
        return DispatchError(why, wait_s, has_upstreams=True)
    fleet = queue.fleet
    elsewhere = sum(backlog.count for backlog in fleet.others)
    why = (
        f'{why}: {fleet.free:.0f} of {fleet.slots} slots are free and'
        f' {elsewhere} requests wait at other entries'
    )
    retry_after_s = spread_retry_s(wait_s, draw)
    return DispatchError(why, retry_after_s, has_upstreams=True)


def make_slow_error(waiter: Waiter, pass_s: float, now: float) -> DispatchError:
    """Make the error for a request that cannot end before its deadline.

    :param pass_s: shortest recent pass time of the service's groups.
    :returns: the error; its time to retry is the longest that is allowed.
    """
    why = (
        f'{waiter.pass_count:.0f} passes of at least {pass_s:.3f} s do not end'
        f' in the {waiter.deadline - now:.2f} s before the deadline'
    )
    return DispatchError(
        why, math.inf, has_upstreams=True, reason=RefusalReason.late_end
    )


def make_timeout_error(queue: WaitQueue, draw: float) -> DispatchError:
    """Create the error of a request that waited until its latest start.

    :param draw: random number from 0 to 1.
    :returns: the error.
    """
    why = (
        f'no slot became free in time; {len(queue.waiters)} requests are queued'
    )
    retry_after_s = queue.drain_s()
    if not queue.is_limited:
        retry_after_s = spread_retry_s(retry_after_s, draw)
    return DispatchError(
        why,
        retry_after_s,
        has_upstreams=True,
        reason=RefusalReason.timeout,
    )
