"""Run a direct entry: its tables, servers, peers and shutdown."""

from functools import partial
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from comfreyarch_core.drainadmission import PlannedExit
from comfreyarch_core.fleetload import EntryLoad
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.entryregistration import EntryRegistration
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.healthmessages import (
    HEALTH,
    HELLO_INTERVAL_S,
    decode_health,
    encode_hello,
)
from comfreyarch_daemon.loadgossip import LoadGossip
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.monitoringpages import (
    MetricsPage,
    ReadinessPage,
    make_page_server,
)
from comfreyarch_daemon.nodeprocess import NodeControls, run_node
from comfreyarch_daemon.operatorpages import OperatorPages
from comfreyarch_daemon.settingsfile import (
    SettingsFileWatcher,
    reread_settings,
)
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.tablelisteners import (
    ConfigurationListener,
    EntryAdapter,
    UpstreamsListener,
)
from comfreyarch_daemon.tablerelay import TABLE_PART, TABLE_REQUEST
from comfreyarch_daemon.tablesync import TableSync
from comfreyarch_daemon.upstreamcalls import boot_time
from comfreyarch_daemon.waitmetrics import report_waiting

# Tag of the messages with an upstream that announces that it leaves.
LEAVING = 'leaving'
# Interval for expiring upstreams and trimming idle connections.
TICK_INTERVAL_S = 0.5
# Ticks between two hello messages; crash evidence is sent again as often.
TICKS_PER_HELLO = int(HELLO_INTERVAL_S / TICK_INTERVAL_S)
# Time within which the balancer in front stops routing to a leaving entry.
BALANCER_REMOVAL_S = 2.3
# Time after a stop signal from which new requests are refused when they may
# not complete before the forced end. Callers may be cut off only if they sent
# their request within 3 s of the signal, which takes a moment to arrive.
ACCEPT_ALL_S = 2.8
# Interval at which a draining entry checks for open requests.
DRAIN_CHECK_INTERVAL_S = 0.05
# Time before the exit at which sends without an answer so far are ended.
LAST_ANSWERS_S = 0.2
# Time in which requests that have arrived by the end are read and refused.
LAST_READ_S = 0.01
# Safety margin before the platform forcibly ends the process.
GRACE_MARGIN_S = 0.6


class DirectNode:
    """Own a direct entry with its servers, tables and background tasks.

    :param sidecars: addresses of the known sidecars.
    :param stopping: whether a graceful shutdown has begun.
    :param stopped: set once all components are stopped.
    """

    __slots__ = (
        'adapter',
        'datagrams',
        'entry',
        'http_servers',
        'load_gossip',
        'log',
        'metrics',
        'path',
        'registration',
        'settings',
        'settings_file',
        'sidecars',
        'stopped',
        'stopping',
        'tables',
        'upstreams',
        'workers',
    )

    def __init__(self, adapter: EntryAdapter, path: Path) -> None:
        """Create all components; nothing runs before ``start``."""
        settings = adapter.read_settings(path)
        self.adapter = adapter
        self.path = path
        self.settings = settings
        self.log = EventLog(settings.node)
        self.metrics = Metrics()
        self.entry = DirectEntry(
            settings,
            adapter.header_codec,
            self.log,
            self.metrics,
        )
        self.upstreams = UpstreamsListener(adapter, self.entry)
        configurations = ConfigurationListener(adapter, self.entry)
        self.http_servers = [
            make_page_server(
                settings.readiness,
                ReadinessPage(adapter.readiness_path, self.entry.is_ready),
            ),
            make_page_server(
                settings.metrics,
                OperatorPages(
                    MetricsPage(self.metrics),
                    self.entry.forwarder.crash_guard,
                    self.entry.forwarder.limits,
                    self.entry,
                ),
            ),
        ]
        dispatcher = self.entry.dispatcher
        self.datagrams = Datagrams(
            settings.peers, self.log, settings.link_bytes_per_s
        )
        self.tables = TableSync(self.log, self.metrics, self.datagrams.send)
        self.tables.add(
            'configuration',
            partial(adapter.open_configuration, settings),
            configurations,
        )
        self.tables.add(
            'upstreams',
            partial(adapter.open_upstreams, settings),
            self.upstreams,
        )
        self.load_gossip = LoadGossip(
            settings.node,
            self.datagrams,
            dispatcher.selector.fleet_load,
            dispatcher.load_counts,
            dispatcher.serve_queues,
            self.log,
        )
        dispatcher.on_load_change = self.load_gossip.load_changed.set
        evacuations = dispatcher.selector.evacuations
        evacuations.is_outdated = self.may_miss_evacuations
        self.load_gossip.read_table_versions = self.tables.versions
        self.load_gossip.read_backlogs = dispatcher.backlogs
        self.load_gossip.read_confirmations = self.tables.confirmations
        self.load_gossip.on_tables = self.handle_peer_tables
        self.tables.on_confirmed = self.load_gossip.load_changed.set
        self.datagrams.handlers[HEALTH] = self.update_health
        self.datagrams.handlers[LEAVING] = self.handle_leaving
        self.entry.forwarder.on_leaving = self.send_leaving
        self.entry.forwarder.on_misdirected = self.upstreams.record_misdirected
        configurations.on_services = self.upstreams.apply_services
        self.datagrams.handlers[TABLE_REQUEST] = self.tables.handle_request
        self.datagrams.handlers[TABLE_PART] = self.tables.handle_part
        self.entry.forwarder.crash_guard.gossip.share(
            self.datagrams,
            self.load_gossip.peers.values,
        )
        self.entry.forwarder.limits.gossip.share(
            self.datagrams,
            self.load_gossip.peers,
        )
        self.sidecars: set[str] = set()
        self.workers: list[gevent.Greenlet] = []
        self.registration = EntryRegistration(
            settings.node,
            settings.peers,
            adapter.open_peers(settings),
            adapter.open_sidecars(settings),
            self.add_listed_nodes,
            self.log,
        )
        self.stopped = Event()
        self.settings_file = SettingsFileWatcher(path, self.reload)
        self.stopping = False

    def handle_peer_tables(self, load: EntryLoad, address: str) -> None:
        """Handle what a peer knows of the store's tables."""
        self.tables.handle_confirmations(load.confirmations)
        self.tables.handle_versions(load.tables, address)

    def may_miss_evacuations(self, now: float) -> bool:
        """Check whether a request to evacuate a zone may not be read yet.

        :returns: False if the settings have no rule for evacuations.
        """
        return self.settings.evacuation_s > 0 and self.tables.is_outdated(
            'configuration', now
        )

    def start(self) -> None:
        """Start all components."""
        self.log.write('start', settings=str(self.path))
        for server in self.http_servers:
            server.start()
        self.entry.start()
        self.tables.start()
        self.datagrams.start()
        self.load_gossip.start()
        self.settings_file.start()
        self.registration.start()
        self.workers = [
            spawn_loop('periodic tasks', self.run_periodic_tasks),
        ]

    def close(self) -> None:
        """Stop all components."""
        for worker in self.workers:
            worker.kill(block=False)
        self.registration.close()
        self.settings_file.close()
        self.load_gossip.close()
        self.datagrams.close()
        self.tables.close()
        self.entry.close()
        for server in self.http_servers:
            server.stop_accepting()
        self.log.write('stop', open_requests=self.entry.open_requests)
        self.stopped.set()

    def run_periodic_tasks(self) -> None:
        """Expire upstreams, trim connections and send hellos until closed."""
        ticks = 0
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            ticks += 1
            if ticks % TICKS_PER_HELLO == 0:
                self.send_hello()
                self.entry.forwarder.crash_guard.tick()
            self.upstreams.tick()
            self.registration.check_era(self.tables.era())
            entries = self.load_gossip.count_entries()
            if entries is not None:
                self.entry.forwarder.entry_count.record(entries, boot_time())
            self.tables.report_ages()
            self.entry.forwarder.limits.report()
            self.entry.forwarder.zone_control.report()
            report_waiting(self.metrics, self.entry.dispatcher)
            self.entry.forwarder.cold.report(self.load_gossip.members())
            self.entry.forwarder.pool.trim()

    def add_listed_nodes(
        self, entries: dict[str, str], sidecars: set[str]
    ) -> None:
        """Add the entries and sidecars that the store lists."""
        self.load_gossip.add_members(entries)
        self.entry.forwarder.crash_guard.gossip.request()
        self.sidecars |= sidecars
        self.send_hello()

    def send_hello(self) -> None:
        """Ask the sidecars to report the health of their engines."""
        message = encode_hello(self.settings.node)
        for address in self.sidecars:
            self.datagrams.send(message, address)

    def send_leaving(self, name: str) -> None:
        """Inform the other entries that an upstream leaves."""
        for address in self.load_gossip.peers.values():
            self.datagrams.send([LEAVING, name], address)

    def handle_leaving(self, message: list[Any], address: str) -> None:
        """Handle a peer's message that an upstream leaves."""
        _tag, name = message
        self.entry.forwarder.record_leaving(str(name), address)

    def update_health(self, message: list[Any], address: str) -> None:
        """Apply a sidecar's report on the health of its engine."""
        self.sidecars.add(address)
        report = decode_health(message)
        selector = self.entry.dispatcher.selector
        known_health = {
            view.entry.address: view.health for view in selector.views.values()
        }.get(report.engine)
        view = selector.update_health(
            report.engine,
            report.health,
            boot_time(),
        )
        if view is None or known_health == report.health:
            return
        self.log.write(
            'engine_health',
            upstream=view.entry.name,
            group=report.health.group,
            usable=report.health.usable,
            pace=report.health.pace,
        )
        self.entry.dispatcher.serve_queues()

    def reload(self) -> None:
        """Reload the settings; keep the current ones if the file is invalid."""
        settings = reread_settings(
            self.adapter.read_settings, self.path, self.log
        )
        if settings is None:
            return
        self.log.write('reload', changed=settings != self.settings)
        self.settings = settings
        self.entry.forwarder.retry_limits = settings.retries
        self.entry.forwarder.cold.state.bound = settings.cold_bound

    def terminate(self) -> None:
        """Begin a graceful shutdown; later calls have no effect."""
        if not self.stopping:
            self.stopping = True
            gevent.spawn(self.drain)

    def drain(self) -> None:
        """Complete the open requests, then stop, whatever fails before."""
        try:
            self.end_requests()
        finally:
            self.close()

    def end_requests(self) -> None:
        """Complete the open requests before the forced end.

        The balancer in front still routes to this entry for a while, so new
        requests are accepted; later only those that complete before the
        forced end. Those that wait for a slot are refused in time.
        """
        started_at = boot_time()
        end = started_at + self.settings.grace_s - GRACE_MARGIN_S
        self.entry.begin_exit(PlannedExit(end, started_at + ACCEPT_ALL_S))
        self.entry.forwarder.limits.gossip.leave()
        self.log.write('stopping', open_requests=self.entry.open_requests)
        gevent.sleep(BALANCER_REMOVAL_S)
        self.wait_for_requests(end - LAST_ANSWERS_S)
        self.entry.forwarder.end_before_exit()
        self.wait_for_requests(end)
        # From now on each request is refused.
        self.entry.begin_exit(PlannedExit(boot_time()))
        gevent.sleep(LAST_READ_S)

    def wait_for_requests(self, end: float) -> None:
        """Wait until no request is open, or until a time."""
        while self.entry.open_requests and boot_time() < end:
            gevent.sleep(DRAIN_CHECK_INTERVAL_S)


def run_entry(adapter: EntryAdapter, path: Path) -> None:
    """Run a direct entry until a signal stops it.

    :param path: the platform's settings file.
    """

    def build() -> NodeControls:
        node = DirectNode(adapter, path)
        return NodeControls(
            node.log,
            node.metrics,
            node.start,
            node.terminate,
            node.reload,
            node.stopped,
        )

    run_node(build)
