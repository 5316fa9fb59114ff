"""Check whether a request that finds no free slot may wait for one."""

import math

from comfreyarch_core.upstreamselection import (
    UpstreamSelector,
    next_send_at,
    shortest_pass_s,
)
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import WaitQueue
from comfreyarch_daemon.dispatcherrors import (
    DispatchError,
    RefusalReason,
    make_slow_error,
)


def check_candidates(selector: UpstreamSelector, waiter: Waiter) -> None:
    """Check that a listed upstream was not tried for a request yet.

    :raises DispatchError: if all upstreams of the service were tried.
    """
    views = selector.services.get(waiter.service, ())
    if any(view.entry.name not in waiter.avoid for view in views):
        return
    why = f'service {waiter.service!r} has no upstream left to try'
    zones = selector.evacuations.zones
    if zones:
        why = f'{why}; evacuated zones: {", ".join(sorted(zones))}'
    raise DispatchError(
        why, 0, has_upstreams=False, reason=RefusalReason.no_upstream
    )


def check_hold(selector: UpstreamSelector, waiter: Waiter, now: float) -> None:
    """Check that an upstream of the service wants requests in time.

    :raises DispatchError: if none does, with the earliest end.
    """
    hold_end = next_send_at(selector, waiter.service, now)
    if math.isfinite(hold_end) and hold_end >= waiter.latest_start_at:
        raise DispatchError(
            f'all upstreams of service {waiter.service!r} want no request'
            f' for {hold_end - now:.2f} s',
            hold_end - now,
            has_upstreams=True,
            reason=RefusalReason.hold,
        )


def check_end(
    selector: UpstreamSelector, waiter: Waiter, queue: WaitQueue, now: float
) -> None:
    """Check that a request can end before its deadline.

    :raises DispatchError: if it cannot at the shortest recent pass time.
    """
    if waiter.is_resumed or not waiter.pass_count:
        return
    pass_s = shortest_pass_s(selector, waiter.service, waiter.avoid, now)
    if pass_s > waiter.max_pass_s(now) and not queue.fleet.has_much_room:
        raise make_slow_error(waiter, pass_s, now)
