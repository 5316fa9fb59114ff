"""Know the request limits that upstreams announce, and report them."""

import math
from collections import deque
from typing import Any

from comfreyarch_core.upstreamlimits import (
    UNKNOWN_VERSION,
    LimitChange,
    UpstreamLimits,
    make_upstream_limits,
)
from comfreyarch_core.upstreamselection import UpstreamSelector
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.headercodec import AnswerHead
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import boot_time

# Window over which the sends to limited upstreams are counted.
SENDS_WINDOW_S = 4.0
LIMIT_GAUGE = 'upstream_limit_per_s'
SENDS_GAUGE = 'upstream_sends_per_s'


class SharedLimits:
    """Own what an entry knows of upstreams' request limits.

    :param sends: times of this entry's sends in the window, by limited upstream.
    """

    __slots__ = ('limits', 'log', 'metrics', 'selector', 'sends')

    def __init__(
        self, selector: UpstreamSelector, log: EventLog, metrics: Metrics
    ) -> None:
        """Start without limits."""
        self.selector = selector
        self.log = log
        self.metrics = metrics
        self.limits: UpstreamLimits = make_upstream_limits()
        self.sends: dict[str, deque[float]] = {}

    def record_answer(
        self, upstream: str, head: AnswerHead, sent_version: int
    ) -> None:
        """Record the limit that an upstream's answer states, or that it ended.

        :param sent_version: version known when the request was sent, or
            ``UNKNOWN_VERSION``.
        """
        if head.malformed_limit:
            self.log.write(
                'limit_malformed', upstream=upstream, text=head.malformed_limit
            )
            return
        view = self.selector.views.get(upstream)
        if view is None:
            return
        if not head.signed:
            # Not made by the upstream itself, so a missing limit says nothing.
            sent_version = UNKNOWN_VERSION
        change = self.limits.record_answer(
            view.entry, head.request_limit, sent_version, boot_time()
        )
        if change is not None:
            self.apply(change, 'answer')

    def version(self, upstream: str) -> int:
        """Return the version of what is known, to be kept with each send.

        :returns: 0 if nothing is known.
        """
        return self.limits.version(upstream)

    def record_send(self, upstream: str) -> None:
        """Count a send to an upstream if it is limited."""
        times = self.sends.get(upstream)
        if times is not None:
            times.append(boot_time())

    def keep_only(self, names: set[str]) -> None:
        """Forget the upstreams that are no longer listed."""
        for change in self.limits.keep_only(names):
            self.apply(change, 'list')

    def apply(self, change: LimitChange, source: str) -> None:
        """Log and publish a change.

        :param source: ``answer``, ``list``, or the address of the peer.
        """
        upstream = change.upstream
        if change.rate == math.inf:
            self.sends.pop(upstream, None)
            self.metrics.drop_gauge(LIMIT_GAUGE, upstream=upstream)
            self.metrics.drop_gauge(SENDS_GAUGE, upstream=upstream)
            self.log.write('limit_ended', upstream=upstream, source=source)
            return
        self.sends.setdefault(upstream, deque())
        self.metrics.gauge(LIMIT_GAUGE, change.rate, upstream=upstream)
        if change.former == math.inf:
            self.log.write(
                'limit_started',
                upstream=upstream,
                per_s=change.rate,
                source=source,
            )
            return
        self.log.write(
            'limit_changed',
            upstream=upstream,
            per_s=change.rate,
            former_per_s=change.former,
            source=source,
        )

    def report(self) -> None:
        """Publish how many requests this entry sends to limited upstreams."""
        start = boot_time() - SENDS_WINDOW_S
        for upstream, times in self.sends.items():
            while times and times[0] < start:
                times.popleft()
            sends_per_s = len(times) / SENDS_WINDOW_S
            self.metrics.gauge(SENDS_GAUGE, sends_per_s, upstream=upstream)

    def page(self) -> list[dict[str, Any]]:
        """List the limits for operators.

        :returns: upstream, its limit and this entry's sends per second.
        """
        self.report()
        return [
            {
                'upstream': upstream,
                'limit_per_s': rate,
                'sends_per_s': len(self.sends[upstream]) / SENDS_WINDOW_S,
            }
            for upstream, rate in sorted(self.limits.limited().items())
        ]
