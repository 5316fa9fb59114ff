"""Run a direct entry: its tables, addresses, signals and end."""

from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.healthnews import (
    HEALTH,
    HELLO_S,
    read_health,
    write_hello,
)
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.peerload import PeerLoad
from comfreyarch_daemon.running import NodeControls, run_node
from comfreyarch_daemon.settings import SettingsError
from comfreyarch_daemon.settingsfile import SettingsFile
from comfreyarch_daemon.smallpages import MetricsPage, ReadinessPage, serve
from comfreyarch_daemon.tablelisteners import (
    Adapter,
    ConfigurationListener,
    UpstreamsListener,
)
from comfreyarch_daemon.tablewatch import (
    FIRST_RETRY_S,
    LONGEST_RETRY_S,
    StoreAway,
    TableSource,
    TableWatch,
)
from comfreyarch_daemon.upstreamcalls import boot_time

# How often lapsed entries, idle connections and the settings are looked at.
TICK_S = 0.5
HELLO_TICKS = int(HELLO_S / TICK_S)
# The balancer in front notices a leaving entry within about this time.
ROTATION_S = 2.3
# New requests are refused from then on: they might not end in time.
ACCEPT_S = 3.0
# How often a leaving entry looks whether its requests have ended.
END_CHECK_S = 0.05
# A table may be this long behind that of another entry.
BEHIND_S = 0.6
# How often the entries are listed; they hear of new ones by themselves.
PEERS_S = 60.0
# Kept free before the platform's forced end.
GRACE_MARGIN_S = 0.6


class DirectNode:
    """Own a direct entry and all that runs around it."""

    __slots__ = (
        'adapter',
        'datagrams',
        'entry',
        'file',
        'log',
        'metrics',
        'path',
        'peer_load',
        'peers',
        'settings',
        'sidecar_table',
        'sidecars',
        'stopped',
        'stopping',
        'upstreams',
        'watches',
        'workers',
        'www',
    )

    def __init__(self, adapter: Adapter, path: Path) -> None:
        """Build all parts; nothing runs before ``start``."""
        settings = adapter.read_settings(path)
        self.adapter = adapter
        self.path = path
        self.settings = settings
        self.log = EventLog(settings.node)
        self.metrics = Metrics()
        self.entry = DirectEntry(
            settings,
            adapter.headercodec,
            self.log,
            self.metrics,
        )
        self.upstreams = UpstreamsListener(adapter, self.entry)
        configurations = ConfigurationListener(adapter, self.entry)
        self.watches = [
            self.watch(
                'configuration',
                adapter.open_configuration(settings),
                configurations,
            ),
            self.watch(
                'upstreams',
                adapter.open_upstreams(settings),
                self.upstreams,
            ),
        ]
        self.www = [
            serve(
                settings.readiness,
                ReadinessPage(adapter.readiness_path, self.entry.is_ready),
            ),
            serve(settings.metrics, MetricsPage(self.metrics)),
        ]
        dispatcher = self.entry.dispatcher
        self.peers = adapter.open_peers(settings)
        self.sidecar_table = adapter.open_sidecars(settings)
        self.datagrams = Datagrams(settings.peers, self.log)
        self.peer_load = PeerLoad(
            settings.node,
            self.datagrams,
            dispatcher.selector.fleet_load,
            dispatcher.news,
            dispatcher.serve_queues,
            self.log,
        )
        dispatcher.changed = self.peer_load.changed.set
        self.peer_load.tables = self.table_versions
        self.peer_load.on_tables = self.compare_tables
        self.datagrams.handlers[HEALTH] = self.update_health
        self.entry.forwarder.crashes.share(
            self.datagrams,
            self.peer_load.peers.values,
        )
        self.sidecars: set[str] = set()
        self.workers: list[gevent.Greenlet] = []
        self.stopped = Event()
        self.file = SettingsFile(path, self.reload)
        self.stopping = False

    def watch(self, name: str, table: TableSource, listener: Any) -> TableWatch:
        """Make the watch of a table.

        :returns: the watch, not yet started.
        """
        return TableWatch(name, table, listener, self.log, self.metrics)

    def table_versions(self) -> dict[str, int]:
        """Give the newest rows known.

        :returns: versions by table.
        """
        return {watch.name: watch.newest for watch in self.watches}

    def compare_tables(self, tables: dict[str, int]) -> None:
        """Look again at tables of which another entry knows more."""
        for watch in self.watches:
            newest = tables.get(watch.name, 0)
            if newest > watch.tracker.version:
                gevent.spawn_later(BEHIND_S, watch.poke, newest)

    def start(self) -> None:
        """Start all parts."""
        self.log.write('start', settings=str(self.path))
        for server in self.www:
            server.start()
        self.entry.start()
        for watch in self.watches:
            watch.start()
        self.datagrams.start()
        self.peer_load.start()
        self.file.start()
        self.workers = [gevent.spawn(self.tick), gevent.spawn(self.find_peers)]

    def close(self) -> None:
        """Stop all parts."""
        for worker in self.workers:
            worker.kill(block=False)
        self.file.close()
        self.peer_load.close()
        self.datagrams.close()
        for watch in self.watches:
            watch.close()
        self.entry.close()
        for server in self.www:
            server.stop_accepting()
        self.log.write('stop', open_requests=self.entry.open_requests)
        self.stopped.set()

    def tick(self) -> None:
        """Do what is due now and then."""
        ticks = 0
        while True:
            gevent.sleep(TICK_S)
            ticks += 1
            if ticks % HELLO_TICKS == 0:
                self.greet()
                self.entry.forwarder.crashes.repeat()
            self.upstreams.tick()
            self.entry.forwarder.pool.trim()

    def find_peers(self) -> None:
        """Make this entry known and learn of the others, now and then."""
        pause = FIRST_RETRY_S
        while True:
            try:
                self.peers.join(self.settings.node, self.settings.peers)
                members = self.peers.members()
                sidecars = self.sidecar_table.members()
            except StoreAway as error:
                self.log.write('peers_unknown', why=str(error))
                gevent.sleep(pause)
                pause = min(LONGEST_RETRY_S, pause * 2)
                continue
            self.peer_load.know(members)
            self.sidecars |= set(sidecars.values())
            self.greet()
            self.entry.forwarder.entries = max(1, len(members))
            self.log.write('peers_listed', peers=len(members))
            pause = FIRST_RETRY_S
            gevent.sleep(PEERS_S)

    def greet(self) -> None:
        """Ask the sidecars to tell of their engines."""
        message = write_hello(self.settings.node)
        for address in self.sidecars:
            self.datagrams.send(message, address)

    def update_health(self, message: list[Any], address: str) -> None:
        """Take what a sidecar tells of its engine."""
        self.sidecars.add(address)
        news = read_health(message)
        selector = self.entry.dispatcher.selector
        known = {
            view.entry.address: view.health for view in selector.views.values()
        }.get(news.engine)
        view = selector.update_health(news.engine, news.health, boot_time())
        if view is None or known == news.health:
            return
        self.log.write(
            'engine_health',
            upstream=view.entry.name,
            group=news.health.group,
            usable=news.health.usable,
            pace=news.health.pace,
        )
        self.entry.dispatcher.serve_queues()

    def reload(self) -> None:
        """Read the settings anew; one that is unusable changes nothing."""
        try:
            settings = self.adapter.read_settings(self.path)
        except SettingsError as error:
            self.log.write('reload_failed', why=str(error))
            return
        self.log.write('reload', changed=settings != self.settings)
        self.settings = settings
        self.entry.forwarder.retry_limits = settings.retries

    def terminate(self) -> None:
        """Begin a graceful stop, once."""
        if not self.stopping:
            self.stopping = True
            gevent.spawn(self.drain)

    def drain(self) -> None:
        """Finish the work at hand, then stop.

        New requests are taken until the balancer in front has turned away.
        """
        began = boot_time()
        end = began + self.settings.grace_s - GRACE_MARGIN_S
        self.entry.leaving = True
        self.log.write('stopping', open_requests=self.entry.open_requests)
        gevent.sleep(ROTATION_S)
        while self.entry.open_requests and boot_time() < end:
            if boot_time() - began > ACCEPT_S:
                self.entry.ends_at = end
            gevent.sleep(END_CHECK_S)
        self.close()


def run_entry(adapter: Adapter, path: Path) -> None:
    """Run a direct entry until a signal stops it.

    :param path: the platform's settings file.
    """

    def build() -> NodeControls:
        node = DirectNode(adapter, path)
        return NodeControls(
            node.start, node.terminate, node.reload, node.stopped
        )

    run_node(build)
