"""Keep a node's copies of the store's tables current, with its peers' help."""

import gevent

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.tablewatch import (
    TableListener,
    TableSource,
    TableWatch,
)

# Time that a table may lag behind that of a peer before its long poll is
# interrupted.
MAX_TABLE_LAG_S = 0.6


class TableSync:
    """Own the watches of a node's tables.

    :param watches: the watches by table name.
    """

    __slots__ = ('log', 'metrics', 'watches')

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        """Prepare without tables; ``add`` adds them."""
        self.log = log
        self.metrics = metrics
        self.watches: dict[str, TableWatch] = {}

    def add(
        self,
        name: str,
        table: TableSource,
        listener: TableListener,
    ) -> None:
        """Add a table; nothing is read before ``start``."""
        self.watches[name] = TableWatch(
            name, table, listener, self.log, self.metrics
        )

    def start(self) -> None:
        """Start watching all tables."""
        for watch in self.watches.values():
            watch.start()

    def close(self) -> None:
        """Stop watching."""
        for watch in self.watches.values():
            watch.close()

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
