"""Define why a dispatcher assigns no slot to a request."""

from comfreyarch_core.waitqueue import WaitQueue


class DispatchError(Exception):
    """Report that a request cannot start in time.

    :param why: the reason.
    :param retry_after_s: expected seconds until the queue is served.
    :param has_upstreams: whether the service has any upstream left.
    """

    def __init__(
        self,
        why: str,
        retry_after_s: float,
        *,
        has_upstreams: bool,
    ) -> None:
        """Record when to retry and whether there are upstreams."""
        super().__init__(why)
        self.retry_after_s = retry_after_s
        self.has_upstreams = has_upstreams


def make_late_error(queue: WaitQueue, wait_s: float) -> DispatchError:
    """Make the error for a request that cannot start in time.

    :param wait_s: expected wait in seconds.
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
