"""Keep a node's copies of the store's tables current, with its peers' help.

Each table is watched with a long poll. A probe on a connection of its own
confirms it when neither the poll nor a peer has done so for a while.
"""

from collections.abc import Callable

import gevent

from comfreyarch_core.tablefreshness import (
    RUN_CHECK_INTERVAL_S,
    Confirmation,
    make_pause_detector,
)
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.tablewatch import (
    TableListener,
    TableSource,
    TableWatch,
)
from comfreyarch_daemon.upstreamcalls import boot_time

# Time that a table may lag behind that of a peer before its long poll is
# interrupted.
MAX_TABLE_LAG_S = 0.6
# Shortest pause between two checks for probes that are due.
MIN_PAUSE_S = 0.01


class TableSync:
    """Own the watches of a node's tables.

    :param watches: the watches by table name.
    :param sources: functions that open a connection, by table name.
    :param probing: connections of the probes in flight.
    :param on_confirmed: called after the store confirmed a table, to send that
        to the peers.
    """

    __slots__ = (
        'log',
        'metrics',
        'on_confirmed',
        'pause_detector',
        'probing',
        'sources',
        'watches',
        'worker',
    )

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        """Prepare without tables; ``add`` adds them."""
        self.log = log
        self.metrics = metrics
        self.watches: dict[str, TableWatch] = {}
        self.sources: dict[str, Callable[[], TableSource]] = {}
        self.probing: set[TableSource] = set()
        self.pause_detector = make_pause_detector(boot_time())
        self.on_confirmed: Callable[[], None] = ignore
        self.worker: gevent.Greenlet | None = None

    def add(
        self,
        name: str,
        open_table: Callable[[], TableSource],
        listener: TableListener,
    ) -> None:
        """Add a table; nothing is read before ``start``."""
        self.sources[name] = open_table
        watch = TableWatch(name, open_table(), listener, self.log, self.metrics)
        self.watches[name] = watch

    def start(self) -> None:
        """Start watching and probing all tables."""
        for watch in self.watches.values():
            watch.start()
        self.worker = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop watching and probing."""
        if self.worker is not None:
            self.worker.kill(block=False)
        for watch in self.watches.values():
            watch.close()
        for table in list(self.probing):
            table.close()

    def run(self) -> None:
        """Send probes when they are due, until closed."""
        while True:
            gevent.sleep(self.pause_s(boot_time()))
            now = boot_time()
            self.pause_detector.record_run(now)
            for name in self.due_probes(now):
                self.watches[name].freshness.record_probe(now)
                gevent.spawn(self.probe, name)

    def pause_s(self, now: float) -> float:
        """Return the time to the next probe or run check.

        :returns: seconds.
        """
        due_times = [
            watch.freshness.probe_due_at() for watch in self.watches.values()
        ]
        pauses_s = [due_at - now for due_at in due_times if due_at is not None]
        return max(MIN_PAUSE_S, min([RUN_CHECK_INTERVAL_S, *pauses_s]))

    def due_probes(self, now: float) -> list[str]:
        """List the tables to probe.

        :returns: names, without the tables that are being read in full.
        """
        due = []
        for name, watch in self.watches.items():
            due_at = watch.freshness.probe_due_at()
            is_due = due_at is not None and now >= due_at
            if is_due and not watch.tracker.needs_full_read:
                due.append(name)
        return due

    def probe(self, name: str) -> None:
        """Send one probe of a table."""
        table = self.sources[name]()
        self.probing.add(table)
        try:
            self.watches[name].probe(table)
        finally:
            self.probing.discard(table)
            table.close()
        self.on_confirmed()

    def confirmations(self) -> dict[str, Confirmation]:
        """Return what this node can confirm to its peers.

        :returns: confirmations by table name.
        """
        now = boot_time()
        confirmations: dict[str, Confirmation] = {}
        for name, watch in self.watches.items():
            confirmation = watch.freshness.confirmation(
                watch.tracker.floor, now
            )
            if confirmation and not watch.tracker.needs_full_read:
                confirmations[name] = confirmation
        return confirmations

    def handle_confirmations(
        self, confirmations: dict[str, Confirmation]
    ) -> None:
        """Accept a peer's confirmations of tables that are known as well."""
        now = boot_time()
        if self.pause_detector.is_backlogged(now):
            return
        for name, confirmation in confirmations.items():
            watch = self.watches.get(name)
            if watch is None or watch.tracker.needs_full_read:
                continue
            if watch.tracker.version >= confirmation.floor:
                watch.freshness.confirm_by_peer(now - confirmation.age_s)

    def versions(self) -> dict[str, int]:
        """Return the version of the newest known row of each table.

        :returns: versions by table name.
        """
        return {
            name: watch.newest_version for name, watch in self.watches.items()
        }

    def handle_versions(self, versions: dict[str, int]) -> None:
        """Interrupt the long polls of tables of which a peer knows a newer row.

        Each is interrupted after the lag allowed, unless it then has the row.
        """
        for name, watch in self.watches.items():
            newest = versions.get(name, 0)
            if newest > watch.tracker.version:
                gevent.spawn_later(MAX_TABLE_LAG_S, watch.interrupt, newest)

    def report_ages(self) -> None:
        """Publish the age of each table."""
        for watch in self.watches.values():
            watch.report_age()


def ignore() -> None:
    """Do nothing; the default for ``TableSync.on_confirmed``."""
