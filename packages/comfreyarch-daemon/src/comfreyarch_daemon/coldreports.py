"""Report which upstreams are cold, and how much is sent to them."""

import math
from collections.abc import Collection

from comfreyarch_core.coldupstreams import make_cold_upstreams
from comfreyarch_core.routetable import RouteTable
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import UpstreamSelector
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import boot_time

SENDS_GAUGE = 'cold_sends_per_s'
TOLERATED_GAUGE = 'cold_tolerated_per_s'


class ColdReports:
    """Keep the selector's cold upstreams up to date, and report them.

    :param state: what the selector consults.
    :param reported: the upstreams that are reported as cold, by name.
    """

    __slots__ = ('log', 'metrics', 'reported', 'selector', 'state')

    def __init__(
        self,
        node: str,
        selector: UpstreamSelector,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start without cold upstreams, and have the selector consult them."""
        self.selector = selector
        self.log = log
        self.metrics = metrics
        self.state = make_cold_upstreams(node)
        self.reported: dict[str, UpstreamEntry] = {}
        selector.cold = self.state

    def apply_rules(self, table: RouteTable) -> None:
        """Apply what a configuration says of cold upstreams."""
        self.state.rules = {
            service.name: service.cold for service in table.services.values()
        }
        self.record_changes(boot_time())

    def update_upstreams(self, entries: Collection[UpstreamEntry]) -> None:
        """Record the list of upstreams."""
        now = boot_time()
        self.state.update_upstreams(entries, now)
        self.record_changes(now)

    def presume_cold(self, names: Collection[str], position: int) -> None:
        """Regard upstreams as cold until their list entries say otherwise.

        :param position: position of the store after which these are written.
        """
        now = boot_time()
        self.state.presume_cold(names, position, now)
        self.record_changes(now)

    def report(self, nodes: Collection[str] | None) -> None:
        """Record the entries, and publish the sends to cold upstreams.

        :param nodes: all entries, None if they are not known.
        """
        now = boot_time()
        if nodes is not None:
            self.state.record_entries(nodes, now)
        self.record_changes(now)
        for name, entry in self.reported.items():
            tolerated = self.state.tolerated(entry, now)
            if tolerated < math.inf:
                self.metrics.gauge(
                    SENDS_GAUGE,
                    self.state.sends_per_s(entry, now),
                    upstream=name,
                )
                self.metrics.gauge(TOLERATED_GAUGE, tolerated, upstream=name)

    def record_changes(self, now: float) -> None:
        """Log the upstreams that are cold now, and those no longer so."""
        cold = {
            name: view.entry
            for name, view in self.selector.views.items()
            if self.state.is_cold(view.entry, now)
        }
        for name in cold.keys() - self.reported.keys():
            self.record_start(cold[name], now)
        for ended in self.reported.keys() - cold.keys():
            self.metrics.drop_gauge(SENDS_GAUGE, upstream=ended)
            self.metrics.drop_gauge(TOLERATED_GAUGE, upstream=ended)
            self.log.write('cold_ended', upstream=ended)
        if cold or self.reported:
            self.metrics.gauge('cold_upstreams', len(cold))
        self.reported = cold

    def record_start(self, entry: UpstreamEntry, now: float) -> None:
        """Log an upstream that is cold from now on."""
        tolerated = self.state.tolerated(entry, now)
        self.log.write(
            'cold_started',
            upstream=entry.name,
            left_s=round(self.state.cold_until(entry) - now, 3),
            per_s=tolerated if tolerated < math.inf else 0,
        )
