"""Follow tables of the store with one long call each."""

import random
from typing import Protocol

import gevent

from comfreyarch_core.tabletracker import (
    Change,
    TableState,
    make_table_tracker,
)
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics

# Calls are priced, so waiting is long; probes find dead connections sooner.
WAIT_S = 20.0
# Changes that come within this time share a call; bounds are seconds.
COALESCE_S = 0.25
# A store that was away is asked for a quick answer, which dates its return.
PROBE_WAIT_S = 0.001
# Pauses between calls to a store that does not answer.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
# Pauses are spread by this share, so that nodes do not call together.
JITTER = (0.7, 1.3)
# A stale reading is tried again after this time.
STALE_RETRY_S = 0.25


class StoreAway(Exception):
    """Report that the store did not answer, and how."""


class HistoryGone(Exception):
    """Report that the store no longer has the changes asked for."""


class TableSource(Protocol):
    """Read one table of a store; a platform's adapter fills it."""

    def read(self) -> TableState:
        """Read the whole table.

        :raises StoreAway: where the store does not answer.
        """

    def changes(self, after: int, wait_s: float) -> TableState:
        """Wait for changes after a version.

        :raises StoreAway: where the store does not answer.
        :raises HistoryGone: where a whole reading is needed.
        """

    def close(self) -> None:
        """Close the connection; a call under way fails."""


class TableListener(Protocol):
    """Take what a watch finds."""

    def changed(self, change: Change) -> None:
        """Take rows that changed."""

    def store_lost(self) -> None:
        """Note that the store does not answer."""

    def store_back(self) -> None:
        """Note that the store answers again."""


class TableWatch:
    """Follow one table for as long as it runs."""

    __slots__ = (
        'away',
        'tracker',
        'listener',
        'log',
        'metrics',
        'name',
        'newest',
        'poked',
        'retry_s',
        'source',
        'table',
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
        """Name what is followed; nothing runs before ``start``."""
        self.name = name
        self.table = table
        self.listener = listener
        self.log = log
        self.metrics = metrics
        self.tracker = make_table_tracker()
        self.away = False
        self.poked = False
        self.newest = 0
        self.retry_s = FIRST_RETRY_S
        self.source = random.Random(name)
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start following."""
        self.worker = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop following."""
        if self.worker is not None:
            self.worker.kill(block=False)
        self.table.close()

    def run(self) -> None:
        """Call the store again and again."""
        while True:
            try:
                self.step()
            except StoreAway as error:
                if self.poked:
                    continue
                self.lost(str(error))
                gevent.sleep(self.retry_s * self.source.uniform(*JITTER))
                self.retry_s = min(LONGEST_RETRY_S, self.retry_s * 2)

    def step(self) -> None:
        """Make one call.

        :raises StoreAway: where the store does not answer.
        """
        self.metrics.count('store_calls', table=self.name)
        if self.tracker.needs_full_read:
            self.read()
            return
        try:
            quick = self.away or self.poked
            self.poked = False
            wait_s = PROBE_WAIT_S if quick else WAIT_S
            state = self.table.changes(self.tracker.version, wait_s)
        except HistoryGone:
            self.log.write('history_gone', table=self.name)
            self.tracker.mark_history_lost()
            return
        self.answered()
        self.took(state)
        change = self.tracker.changed(state)
        if change.rows or change.removed:
            self.listener.changed(change)
            gevent.sleep(COALESCE_S)

    def poke(self, newest: int) -> None:
        """Ask again at once: another node knows of a newer row.

        The call under way may never be answered, and nothing shows it.

        :param newest: version of that row.
        """
        known = self.tracker.version
        if newest <= known or self.away or self.poked:
            return
        self.log.write(
            'table_behind',
            table=self.name,
            known=known,
            newest=newest,
        )
        self.poked = True
        self.table.close()

    def read(self) -> None:
        """Read the whole table.

        :raises StoreAway: where the store does not answer.
        """
        state = self.table.read()
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
        self.answered()
        self.took(state)
        self.listener.changed(change)

    def took(self, state: TableState) -> None:
        """Note the newest row that is known."""
        versions = [row.version for row in state.rows]
        self.newest = max([self.newest, *versions])

    def answered(self) -> None:
        """Note that the store answered."""
        self.retry_s = FIRST_RETRY_S
        if not self.away:
            return
        self.away = False
        self.log.write('store_back', table=self.name)
        self.listener.store_back()

    def lost(self, why: str) -> None:
        """Note that the store did not answer."""
        self.metrics.count('store_failures', table=self.name)
        if self.away:
            return
        self.away = True
        self.log.write(
            'store_lost',
            table=self.name,
            why=why,
            version=self.tracker.version,
        )
        self.listener.store_lost()
