"""Register an entry in the store, and list the other nodes there."""

from collections.abc import Callable

import gevent
from gevent.event import Event

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.loadgossip import PeerDirectory
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.tablesource import StoreCallFailed
from comfreyarch_daemon.tablewatch import FIRST_RETRY_S, LONGEST_RETRY_S

# Interval for listing entries and sidecars in the store; entries also learn
# about new peers from their datagrams.
PEER_LIST_INTERVAL_S = 60.0
# Addresses of the entries by name, and of the sidecars.
OnListed = Callable[[dict[str, str], set[str]], None]


class EntryRegistration:
    """Keep an entry's row in the store, and list entries and sidecars.

    :param node: name of this entry.
    :param address: its datagram address.
    :param era: era of the store in which this entry registered.
    :param is_due: set to register at once.
    :param on_listed: called with the nodes that the store lists.
    """

    __slots__ = (
        'address',
        'entries',
        'era',
        'is_due',
        'log',
        'node',
        'on_listed',
        'sidecars',
        'worker',
    )

    def __init__(
        self,
        node: str,
        address: str,
        entries: PeerDirectory,
        sidecars: PeerDirectory,
        on_listed: OnListed,
        log: EventLog,
    ) -> None:
        """Prepare; nothing is written before ``start``."""
        self.node = node
        self.address = address
        self.entries = entries
        self.sidecars = sidecars
        self.on_listed = on_listed
        self.log = log
        self.era = 0
        self.is_due = Event()
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to register and to list the nodes periodically."""
        self.worker = spawn_loop('registration', self.run)

    def close(self) -> None:
        """Stop."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def check_era(self, era: int) -> None:
        """Register again if the store was restored, as it may lack this entry."""
        if era > self.era:
            self.era = era
            self.is_due.set()

    def run(self) -> None:
        """Register this entry and list the others, until closed."""
        pause = FIRST_RETRY_S
        while True:
            try:
                self.entries.join(self.node, self.address)
                members = self.entries.members()
                sidecars = self.sidecars.members()
            except StoreCallFailed as error:
                self.log.write('peers_unknown', why=str(error))
                gevent.sleep(pause)
                pause = min(LONGEST_RETRY_S, pause * 2)
                continue
            self.on_listed(members, set(sidecars.values()))
            self.log.write('peers_listed', peers=len(members))
            pause = FIRST_RETRY_S
            self.is_due.wait(PEER_LIST_INTERVAL_S)
            self.is_due.clear()
