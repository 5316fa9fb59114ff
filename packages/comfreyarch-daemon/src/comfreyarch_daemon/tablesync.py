"""Keep a node's copies of the store's tables current, with its peers' help.

Each table is watched with a long poll. A probe on a connection of its own
confirms it when neither the poll nor a peer has done so for a while. A table
that stays behind that of a peer is requested from the peer, as the store may
answer the peer only.
"""

from collections.abc import Callable
from typing import Any

import gevent

from comfreyarch_core.storeposition import era_of
from comfreyarch_core.tablefreshness import (
    MAX_CONFIRMED_AGE_S,
    RUN_CHECK_INTERVAL_S,
    Confirmation,
    make_pause_detector,
)
from comfreyarch_core.tablelag import TableLag, make_table_lag
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.tablerelay import TableRelay, decode_request
from comfreyarch_daemon.tablesource import TableListener, TableSource
from comfreyarch_daemon.tablewatch import TableWatch
from comfreyarch_daemon.upstreamcalls import boot_time

# Shortest pause between two checks for probes that are due.
MIN_PAUSE_S = 0.01


class TableSync:
    """Own the watches of a node's tables.

    :param watches: the watches by table name.
    :param sources: functions that open a connection, by table name.
    :param lags: tables of which peers know more, by name.
    :param probing: connections of the probes in flight.
    :param on_confirmed: called after the store confirmed a table, to send that
        to the peers.
    """

    __slots__ = (
        'lags',
        'log',
        'metrics',
        'on_confirmed',
        'pause_detector',
        'probing',
        'relay',
        'sources',
        'watches',
        'worker',
    )

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        send: Callable[[list[Any], str], object],
    ) -> None:
        """Prepare without tables; ``add`` adds them.

        :param send: sends a message to a peer's address.
        """
        self.relay = TableRelay(send)
        self.lags: dict[str, TableLag] = {}
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
        self.worker = spawn_loop('probes', self.run)

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
            for name, due_at in self.probe_times().items():
                if now >= due_at:
                    self.watches[name].freshness.record_probe(now)
                    gevent.spawn(self.probe, name)
            self.request_lagging_tables(now)

    def pause_s(self, now: float) -> float:
        """Return the time to the next probe, request or run check.

        :returns: seconds.
        """
        due_times = [
            *self.probe_times().values(),
            *(lag.due_at for lag in self.lags.values()),
        ]
        pauses_s = [due_at - now for due_at in due_times]
        return max(MIN_PAUSE_S, min([RUN_CHECK_INTERVAL_S, *pauses_s]))

    def probe_times(self) -> dict[str, float]:
        """Return when the next probe of each table is due.

        :returns: times by table, without those that are being read in full.
        """
        times: dict[str, float] = {}
        for name, watch in self.watches.items():
            due_at = watch.freshness.probe_due_at()
            if due_at is not None and not watch.tracker.needs_full_read:
                times[name] = due_at
        return times

    def probe(self, name: str) -> None:
        """Send one probe of a table."""
        table = self.sources[name]()
        self.probing.add(table)
        try:
            is_confirmed = self.watches[name].probe(table)
        finally:
            self.probing.discard(table)
            table.close()
        if is_confirmed:
            self.on_confirmed()

    def era(self) -> int:
        """Return the highest era of the store seen in any table.

        :returns: 0 for a store that was never restored.
        """
        return max(
            era_of(watch.tracker.version) for watch in self.watches.values()
        )

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

    def is_outdated(self, name: str, now: float) -> bool:
        """Check whether newer knowledge of a table may be about to be read.

        :returns: True for a moment after the process did not run, until the
            table is confirmed.
        """
        if not self.pause_detector.has_resumed(now):
            return False
        age_s = self.watches[name].freshness.age_s(now)
        return age_s is not None and age_s > MAX_CONFIRMED_AGE_S

    def versions(self) -> dict[str, int]:
        """Return the version of the newest known row of each table.

        :returns: versions by table name.
        """
        return {
            name: watch.newest_version for name, watch in self.watches.items()
        }

    def handle_versions(self, versions: dict[str, int], address: str) -> None:
        """Record the tables of which a peer knows a newer row.

        :param address: the peer's datagram address.
        """
        for name, watch in self.watches.items():
            newest = versions.get(name, 0)
            lag = self.lags.get(name)
            if newest <= watch.tracker.version:
                continue
            if lag is None:
                self.lags[name] = make_table_lag(newest, address, boot_time())
            else:
                lag.update(newest, address)

    def request_lagging_tables(self, now: float) -> None:
        """Request the tables that still lag from the peers that know more.

        The long poll of a table is interrupted as well if a request brought
        nothing: a peer of an earlier release does not answer.
        """
        for name, lag in list(self.lags.items()):
            watch = self.watches[name]
            if watch.tracker.version >= lag.newest:
                self.lags.pop(name)
            elif now >= lag.due_at:
                if lag.requests:
                    watch.interrupt(lag.newest)
                self.relay.request(name, watch.tracker.version, lag.address)
                lag.record_request(now)

    def handle_request(self, message: list[Any], address: str) -> None:
        """Send a peer a table of which it knows less.

        :raises ValueError: if the message is malformed.
        """
        name, known = decode_request(message)
        watch = self.watches.get(name)
        if watch is None or watch.tracker.version <= known:
            return
        confirmation = self.confirmations().get(name)
        if confirmation is not None:
            self.relay.send_table(
                name, watch.tracker.snapshot(), confirmation, address
            )

    def handle_part(self, message: list[Any], address: str) -> None:
        """Apply a table that a peer sent, once all parts have arrived.

        :raises ValueError: if the message is malformed.
        """
        received = self.relay.receive_part(message, address)
        if received is None:
            return
        name = str(message[1])
        state, age_s = received
        watch = self.watches.get(name)
        if watch is None or not watch.apply_snapshot(state):
            return
        now = boot_time()
        if not self.pause_detector.is_backlogged(now):
            watch.freshness.confirm_by_peer(now - age_s)
        self.metrics.count('tables_relayed', table=name)
        self.log.write(
            'table_relayed',
            table=name,
            version=state.version,
            age_s=round(age_s, 3),
            address=address,
        )

    def report_ages(self) -> None:
        """Publish the age of each table."""
        for watch in self.watches.values():
            watch.report_age()


def ignore() -> None:
    """Do nothing; the default for ``TableSync.on_confirmed``."""
