"""Register a sidecar, and look up the others of its group."""

from collections.abc import Callable

import gevent
from gevent.lock import BoundedSemaphore

from comfreyarch_core.enginestate import EngineState
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.loadgossip import PeerDirectory
from comfreyarch_daemon.tablesource import StoreCallFailed

# Interval of lookups in the table of sidecars, and of retries while the store
# is unavailable.
PEER_LOOKUP_INTERVAL_S = 3.0
# Maximum number of successful lookups apart from those of a later term. They end
# early once the addresses of all ranks are known.
MAX_PEER_LOOKUPS = 2
# Interval at which a sidecar writes its row again: the store may have lost it, and
# rows of a few minutes of age count as those of stopped nodes.
REGISTER_INTERVAL_S = 60.0
# Interval at which a starting sidecar checks for the engine's first state.
ENGINE_CHECK_INTERVAL_S = 0.1
# Lookups at the start of a term, and their interval: sidecars that start at the
# same time may not have written their rows at the first.
TERM_LOOKUPS = 2
TERM_LOOKUP_INTERVAL_S = 0.5


class PeerLookup:
    """Keep a sidecar's row in the table of sidecars and find its peers.

    :param own_address: datagram address of this sidecar.
    :param addresses: datagram addresses of the group's sidecars, by rank;
        shared with the owner.
    :param read_state: returns the last state of the local engine, None before
        the first.
    :param lookups: number of successful lookups so far.
    :param lock: held during a call; the directory has one connection.
    """

    __slots__ = (
        'addresses',
        'directory',
        'lock',
        'log',
        'lookups',
        'own_address',
        'read_state',
    )

    def __init__(
        self,
        directory: PeerDirectory,
        own_address: str,
        addresses: dict[int, str],
        read_state: Callable[[], EngineState | None],
        log: EventLog,
    ) -> None:
        """Create the lookup; nothing is read before ``run``."""
        self.directory = directory
        self.own_address = own_address
        self.addresses = addresses
        self.read_state = read_state
        self.log = log
        self.lookups = 0
        self.lock = BoundedSemaphore(1)

    def run(self) -> None:
        """Register this sidecar, and look up the others of its group.

        The sidecars of a group start at the same time, so the others are looked
        up after a delay. The registration is repeated periodically.
        """
        own_state = self.wait_for_engine()
        self.retry_until_available(self.register, own_state)
        while self.lookups < MAX_PEER_LOOKUPS:
            gevent.sleep(PEER_LOOKUP_INTERVAL_S)
            if len(self.addresses) >= own_state.size:
                break
            self.retry_until_available(self.look_up_addresses, own_state)
        self.log.write('peers_listed', peers=len(self.addresses))
        while True:
            gevent.sleep(REGISTER_INTERVAL_S)
            self.retry_until_available(self.register, self.wait_for_engine())

    def look_up_for_term(
        self, own_state: EngineState, on_found: Callable[[], None]
    ) -> None:
        """Look up the group's sidecars for a leader that begins its term.

        Only a leader that knows the addresses of all ranks can announce itself
        to them.

        :param on_found: called after a lookup that found further addresses.
        """
        for attempt in range(TERM_LOOKUPS):
            if attempt:
                gevent.sleep(TERM_LOOKUP_INTERVAL_S)
            known = len(self.addresses)
            if known >= own_state.size:
                return
            try:
                self.look_up_addresses(own_state)
            except StoreCallFailed as error:
                self.log.write('peers_unknown', why=str(error))
            if len(self.addresses) > known:
                on_found()

    def register(self, own_state: EngineState) -> None:
        """Write this sidecar's address to the table of sidecars.

        :raises StoreCallFailed: if the table cannot be written.
        """
        with self.lock:
            self.directory.join(make_row_name(own_state), self.own_address)

    def wait_for_engine(self) -> EngineState:
        """Wait until the engine reports its group.

        :returns: the engine's state.
        """
        state = self.read_state()
        while state is None:
            gevent.sleep(ENGINE_CHECK_INTERVAL_S)
            state = self.read_state()
        return state

    def retry_until_available(
        self,
        call: Callable[[EngineState], None],
        own_state: EngineState,
    ) -> None:
        """Call a function on the table of sidecars until the store answers."""
        while True:
            try:
                call(own_state)
            except StoreCallFailed as error:
                self.log.write('peers_unknown', why=str(error))
                gevent.sleep(PEER_LOOKUP_INTERVAL_S)
            else:
                return

    def look_up_addresses(self, own_state: EngineState) -> None:
        """Look up the addresses of the group's other sidecars.

        An address learned from a datagram is not replaced.

        :raises StoreCallFailed: if the table cannot be read.
        """
        with self.lock:
            members = self.directory.members()
        self.lookups += 1
        for rank in range(own_state.size):
            address = members.get(f'{own_state.group}/{rank}')
            if address is not None:
                self.addresses.setdefault(rank, address)


def make_row_name(state: EngineState) -> str:
    """Return the name of a sidecar's row, made of its group and rank.

    :returns: the row's name.
    """
    return f'{state.group}/{state.rank}'
