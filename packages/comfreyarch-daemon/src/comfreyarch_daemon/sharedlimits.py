"""Keep to the request limits that upstreams announce, and report them."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from comfreyarch_core.limitcontrol import LimitControl, make_limit_control
from comfreyarch_core.upstreamlimits import UNKNOWN_VERSION, LimitChange
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.headercodec import AnswerHead
from comfreyarch_daemon.limitgossip import LimitGossip
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import boot_time

# Window over which the sends to limited upstreams are counted.
SENDS_WINDOW_S = 4.0
LIMIT_GAUGE = 'upstream_limit_per_s'
SENDS_GAUGE = 'upstream_sends_per_s'
INCARNATION_BITS = 32


class SharedLimits:
    """Own an entry's part in keeping to the limits of upstreams.

    :param sends: times of this entry's sends in the window, by limited upstream.
    """

    __slots__ = (
        'control',
        'dispatcher',
        'gossip',
        'log',
        'metrics',
        'sends',
    )

    def __init__(
        self,
        node: str,
        dispatcher: Dispatcher,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start without limits, and have the dispatcher heed them."""
        self.dispatcher = dispatcher
        self.log = log
        self.metrics = metrics
        self.control: LimitControl = make_limit_control(
            node,
            random.SystemRandom().getrandbits(INCARNATION_BITS),
            dispatcher.selector.source,
            boot_time(),
        )
        self.gossip = LimitGossip(
            self.control,
            self.list_upstreams,
            self.apply,
            dispatcher.serve_queues,
        )
        self.sends: dict[str, deque[float]] = {}
        dispatcher.selector.permits = self.control
        dispatcher.on_demand = self.gossip.ask

    def share_with(self, entries: Callable[[], int]) -> None:
        """Set how to count the entries that share the limits."""
        self.control.entries = entries

    def list_upstreams(self) -> dict[str, UpstreamEntry]:
        """List the upstreams of which limits are known.

        :returns: entries by name.
        """
        views = self.dispatcher.selector.views
        return {name: view.entry for name, view in views.items()}

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
        view = self.dispatcher.selector.views.get(upstream)
        if view is None:
            return
        if not head.signed:
            # Not made by the upstream itself, so a missing limit says nothing.
            sent_version = UNKNOWN_VERSION
        change = self.control.record_answer(
            view.entry, head.request_limit, sent_version, boot_time()
        )
        if change is not None:
            self.apply([change], 'answer')
            self.gossip.request_report()

    def version(self, upstream: str) -> int:
        """Return the version of what is known, to be kept with each send.

        :returns: 0 if nothing is known.
        """
        return self.control.limits.version(upstream)

    def record_send(self, upstream: str) -> None:
        """Count a send to an upstream if it is limited."""
        times = self.sends.get(upstream)
        if times is not None:
            times.append(boot_time())

    def keep_listed(self, entries: Iterable[UpstreamEntry]) -> None:
        """Forget the upstreams that are not listed, or have started anew."""
        self.apply(self.control.keep_listed(entries, boot_time()), 'list')

    def apply(self, changes: list[LimitChange], source: str) -> None:
        """Log and publish changes, and have the queues heed them.

        :param source: ``answer``, ``list``, or the address of the peer.
        """
        for change in changes:
            if change.rate < math.inf:
                self.record_limit(change, source)
            else:
                self.record_end(change.upstream, source)
        if changes:
            self.dispatcher.serve_queues()

    def record_limit(self, change: LimitChange, source: str) -> None:
        """Log and publish a limit that is new or changed."""
        upstream = change.upstream
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

    def record_end(self, upstream: str, source: str) -> None:
        """Log the end of a limit and withdraw its gauges."""
        self.sends.pop(upstream, None)
        self.metrics.drop_gauge(LIMIT_GAUGE, upstream=upstream)
        self.metrics.drop_gauge(SENDS_GAUGE, upstream=upstream)
        self.log.write('limit_ended', upstream=upstream, source=source)

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
            for upstream, rate in sorted(self.control.limits.limited().items())
        ]
