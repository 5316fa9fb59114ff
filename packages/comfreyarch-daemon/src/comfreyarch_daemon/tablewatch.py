"""Watch tables of the store, each with a long poll."""

import random

import gevent

from comfreyarch_core.storeposition import era_of, version_of
from comfreyarch_core.tablefreshness import make_table_freshness
from comfreyarch_core.tabletracker import (
    Change,
    TableState,
    make_table_tracker,
)
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.supervision import failure_reports, spawn_loop
from comfreyarch_daemon.tablesource import (
    HistoryGone,
    StoreCallFailed,
    TableListener,
    TableSource,
)
from comfreyarch_daemon.upstreamcalls import boot_time

# Long-poll timeout. Store calls are priced, so it is just below the longest
# that the store allows; probes show sooner that a poll is not answered.
POLL_TIMEOUT_S = 28.0
# Pause after a change, so that further changes within it share one call.
COALESCE_PAUSE_S = 0.25
# Long-poll timeout while the store is unreachable, and after ``interrupt``:
# an immediate answer shows when the store became reachable again.
PROBE_TIMEOUT_S = 0.001
# First pause between calls to a store that does not answer; each further
# pause is twice as long.
FIRST_RETRY_S = 0.1
# Upper limit of these pauses.
LONGEST_RETRY_S = 0.8
# Range of the random factor on these pauses, so that nodes do not call in
# step.
JITTER_FACTORS = (0.7, 1.3)
# Pause before a stale full read is repeated.
STALE_RETRY_S = 0.25


class TableWatch:
    """Watch one table and pass its changes to a listener.

    :param freshness: when the knowledge of the table was last confirmed.
    :param is_interrupted: set by ``interrupt``; the next call is then a probe.
    :param is_restarting: whether the call in flight was ended on purpose, to be
        repeated at once.
    :param is_unapplied: whether the listener failed to apply a change, so that
        all that is known is delivered again.
    :param is_unreachable: whether the store did not answer the last call.
    :param newest_version: version of the newest row seen.
    :param retry_s: next pause before a retry, without jitter.
    """

    __slots__ = (
        'freshness',
        'is_interrupted',
        'is_restarting',
        'is_unapplied',
        'is_unreachable',
        'jitter_source',
        'listener',
        'log',
        'metrics',
        'name',
        'newest_version',
        'retry_s',
        'table',
        'tracker',
        'worker',
    )

    def __init__(
        self,
        name: str,
        table: TableSource,
        listener: TableListener,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Prepare the watch; nothing runs before ``start``."""
        self.name = name
        self.table = table
        self.listener = listener
        self.log = log
        self.metrics = metrics
        self.tracker = make_table_tracker()
        self.is_unreachable = False
        self.is_interrupted = False
        self.is_restarting = False
        self.is_unapplied = False
        self.newest_version = 0
        self.retry_s = FIRST_RETRY_S
        # Nodes must not call in step, so the seed differs between them.
        self.jitter_source = random.Random(f'{log.node}/{name}')
        self.freshness = make_table_freshness(self.jitter_source)
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start watching."""
        self.worker = spawn_loop(f'watch of {self.name}', self.run)

    def close(self) -> None:
        """Stop watching."""
        if self.worker is not None:
            self.worker.kill(block=False)
        self.table.close()

    def run(self) -> None:
        """Call the store until closed, backing off while it does not answer."""
        while True:
            try:
                self.step()
            except StoreCallFailed as error:
                # The connection was closed on purpose; poll again at once.
                if self.is_interrupted or self.is_restarting:
                    continue
                self.mark_unreachable(str(error))
                gevent.sleep(
                    self.retry_s * self.jitter_source.uniform(*JITTER_FACTORS),
                )
                self.retry_s = min(LONGEST_RETRY_S, self.retry_s * 2)

    def step(self) -> None:
        """Make one call to the store and apply its answer.

        :raises StoreCallFailed: if the store does not answer.
        """
        self.metrics.count('store_calls', table=self.name)
        self.is_restarting = False
        if self.tracker.needs_full_read:
            self.read()
            return
        is_probe = self.is_unreachable or self.is_interrupted
        self.is_interrupted = False
        wait_s = PROBE_TIMEOUT_S if is_probe else POLL_TIMEOUT_S
        started_at = boot_time()
        try:
            state = self.table.changes(self.tracker.version, wait_s)
        except HistoryGone:
            self.record_history_gone()
            return
        confirmed_at = started_at
        if not state.rows and boot_time() >= started_at + wait_s:
            # The store waited for all of this time before it answered.
            confirmed_at += wait_s
        if self.apply_changes(state, confirmed_at):
            gevent.sleep(COALESCE_PAUSE_S)

    def probe(self, table: TableSource) -> bool:
        """Ask the store for changes, as the poll in flight may be unanswered.

        :param table: a connection of its own for this call.
        :returns: whether the store confirmed the table.
        """
        self.metrics.count('store_calls', table=self.name)
        started_at = boot_time()
        was_unreachable = self.is_unreachable
        try:
            state = table.changes(self.tracker.version, PROBE_TIMEOUT_S)
        except HistoryGone:
            self.record_history_gone()
            self.restart_poll()
            return False
        except StoreCallFailed as error:
            self.handle_failed_probe(started_at, str(error))
            return False
        # The poll should have returned these changes.
        if self.apply_changes(state, started_at) or was_unreachable:
            self.restart_poll()
        return True

    def handle_failed_probe(self, probed_at: float, why: str) -> None:
        """End the poll in flight, as the store may not have received it."""
        if self.is_unreachable:
            return
        if self.freshness.is_store_lost(probed_at):
            self.mark_unreachable(why)
            self.table.close()
        elif self.freshness.is_confirmed_since(probed_at):
            self.restart_poll()

    def apply_changes(self, state: TableState, confirmed_at: float) -> bool:
        """Apply an answer with the changes since a version.

        :param confirmed_at: time up to which it contains all changes.
        :returns: whether it contains any that are new.
        """
        self.mark_reachable()
        self.freshness.confirm(confirmed_at)
        self.record_newest(state)
        change = self.tracker.changed(state)
        is_changed = bool(change.rows or change.removed)
        if is_changed or self.is_unapplied:
            self.deliver(change)
        return is_changed

    def deliver(self, change: Change) -> None:
        """Pass a change to the listener.

        If the listener fails, the error is reported, and all that is known is
        delivered with the next answer of the store.
        """
        if self.is_unapplied:
            change = self.tracker.known_change()
        try:
            self.listener.apply_change(change)
        except Exception as error:
            self.is_unapplied = True
            failure_reports.report(f'table {self.name}', error)
        else:
            self.is_unapplied = False

    def apply_snapshot(self, state: TableState) -> bool:
        """Apply a whole table that a peer sent.

        :returns: False if no more is known from it.
        """
        if state.version <= self.tracker.version:
            return False
        is_restored = self.tracker.is_restored(state)
        change = self.tracker.read(state)
        if change is None:
            return False
        self.apply_table(state, change, is_restored=is_restored)
        if not self.is_unreachable:
            # The poll should have returned these changes.
            self.restart_poll()
        return True

    def record_history_gone(self) -> None:
        """Require a full read, as the store lost changes."""
        self.log.write('history_gone', table=self.name)
        self.tracker.mark_history_lost()

    def restart_poll(self) -> None:
        """Repeat the long poll at once, from the version known now."""
        self.is_restarting = True
        self.table.close()

    def interrupt(self, newest: int) -> None:
        """Repeat the long poll at once, as a peer knows a newer row.

        The call in flight may never be answered, and nothing else would
        reveal that.

        :param newest: version of that row.
        """
        known = self.tracker.version
        if newest <= known or self.is_unreachable or self.is_interrupted:
            return
        self.log.write(
            'table_behind',
            table=self.name,
            known=known,
            newest=newest,
        )
        self.is_interrupted = True
        self.table.close()

    def read(self) -> None:
        """Read the whole table, again after a pause if the answer is stale.

        :raises StoreCallFailed: if the store does not answer.
        """
        started_at = boot_time()
        state = self.table.read()
        is_restored = self.tracker.is_restored(state)
        change = self.tracker.read(state)
        if change is None:
            self.log.write(
                'stale_read',
                table=self.name,
                version=state.version,
                known=self.tracker.version,
            )
            gevent.sleep(STALE_RETRY_S)
            return
        self.mark_reachable()
        self.freshness.confirm(started_at)
        self.apply_table(state, change, is_restored=is_restored)

    def apply_table(
        self,
        state: TableState,
        change: Change,
        *,
        is_restored: bool,
    ) -> None:
        """Apply what a whole table changes.

        :param is_restored: whether the store was restored from an older copy.
            Rows that it lost will be written again, as after an outage.
        """
        self.metrics.gauge('store_era', era_of(state.version))
        self.record_newest(state)
        if change.removed:
            # Peers may not have seen the removals, which are no rows here.
            self.newest_version = max(self.newest_version, state.version)
        if is_restored:
            self.log.write(
                'store_restored',
                table=self.name,
                era=era_of(state.version),
                version=version_of(state.version),
            )
            self.listener.store_lost()
            self.listener.store_back()
        self.deliver(change)

    def record_newest(self, state: TableState) -> None:
        """Update the newest known version."""
        versions = [row.version for row in state.rows]
        self.newest_version = max([self.newest_version, *versions])

    def report_age(self) -> None:
        """Publish the age of the table, and log when it crosses its limit."""
        now = boot_time()
        age_s = self.freshness.age_s(now)
        if age_s is None:
            return
        self.metrics.gauge(f'{self.name}_age_s', age_s)
        if self.freshness.became_stale(now):
            self.log.write(
                'table_unconfirmed',
                table=self.name,
                age_s=round(age_s, 3),
                known=self.tracker.version,
                reachable=not self.is_unreachable,
            )
        elif self.freshness.became_fresh(now):
            self.log.write(
                'table_confirmed',
                table=self.name,
                known=self.tracker.version,
            )

    def mark_reachable(self) -> None:
        """Record that the store answered, and report the end of an outage."""
        self.retry_s = FIRST_RETRY_S
        if not self.is_unreachable:
            return
        self.is_unreachable = False
        self.log.write('store_back', table=self.name)
        self.listener.store_back()

    def mark_unreachable(self, why: str) -> None:
        """Record that the store did not answer, and report a new outage."""
        self.metrics.count('store_failures', table=self.name)
        if self.is_unreachable:
            return
        self.is_unreachable = True
        self.log.write(
            'store_lost',
            table=self.name,
            why=why,
            version=self.tracker.version,
        )
        self.listener.store_lost()
