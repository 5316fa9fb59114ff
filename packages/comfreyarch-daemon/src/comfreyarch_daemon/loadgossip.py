"""Exchange the numbers of requests in flight between entries.

The messages also carry what an entry knows of the store's tables.
"""

import math
import random
from collections.abc import Callable
from typing import Any, Protocol

import cbor2
import gevent
from gevent.event import Event

from comfreyarch_core.fleetload import PEER_TIMEOUT_S, EntryLoad, FleetLoad
from comfreyarch_core.fleetqueue import Backlog
from comfreyarch_core.tablefreshness import Confirmation
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.upstreamcalls import boot_time

# Tag of the messages with an entry's load.
LOAD = 'load'
INCARNATION_BITS = 32
# Position of the confirmations in a message; earlier releases send none.
CONFIRMATIONS_INDEX = 7
# Position of the backlogs in a message; earlier releases send and read none.
BACKLOGS_INDEX = 8
# Minimum time between two loads sent; changes are otherwise sent at once.
MIN_SEND_GAP_S = 0.02
# Limit on datagrams sent by an entry; the time between two loads grows with
# the number of peers.
MAX_DATAGRAMS_PER_S = 300.0
# Interval for sending an unchanged load.
HEARTBEAT_INTERVAL_S = 0.5
# Interval for sending the load to peers that stopped sending theirs.
LOST_HEARTBEAT_INTERVAL_S = 2.0


class PeerDirectory(Protocol):
    """Register and list node addresses; implemented by a platform adapter."""

    def join(self, node: str, address: str) -> None:
        """Register a node, and keep it registered."""

    def members(self) -> dict[str, str]:
        """List the registered nodes.

        :returns: addresses by node.
        """


class LoadGossip:
    """Exchange entry loads with the other entries.

    :param listed: the other entries when they were last listed, None before.
    :param peers: addresses of all other known entries, by node.
    :param last_received_at: time of the last datagram of each reachable peer.
    :param load_changed: set to send the load at once.
    :param read_table_versions: returns the newest known row version by table.
    :param read_backlogs: returns the waiting requests by service and rank.
    :param read_confirmations: returns this entry's confirmations by table.
    :param on_tables: called with the load and the address of a peer, for what it
        knows of the tables.
    """

    __slots__ = (
        'datagrams',
        'fleet_load',
        'incarnation',
        'last_received_at',
        'listed',
        'load_changed',
        'load_counts',
        'log',
        'lost_sent_at',
        'node',
        'on_peer_load',
        'on_tables',
        'peers',
        'read_backlogs',
        'read_confirmations',
        'read_table_versions',
        'sequence',
        'worker',
    )

    def __init__(
        self,
        node: str,
        datagrams: Datagrams,
        fleet_load: FleetLoad,
        load_counts: Callable[[], tuple[dict[str, int], dict[str, int]]],
        on_peer_load: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Register the datagram handler; nothing is sent before ``start``.

        :param load_counts: returns the requests in flight by upstream and
            those waiting by service.
        :param on_peer_load: called after the load of a peer changed.
        """
        self.node = node
        self.datagrams = datagrams
        datagrams.handlers[LOAD] = self.receive_load
        self.fleet_load = fleet_load
        fleet_load.node = node
        self.load_counts = load_counts
        self.on_peer_load = on_peer_load
        self.read_table_versions: Callable[[], dict[str, int]] = dict
        self.read_backlogs: Callable[[], dict[str, tuple[Backlog, ...]]] = dict
        self.read_confirmations: Callable[[], dict[str, Confirmation]] = dict
        self.on_tables: Callable[[EntryLoad, str], None] = ignore
        self.log = log
        self.listed: set[str] | None = None
        self.peers: dict[str, str] = {}
        self.last_received_at: dict[str, float] = {}
        self.lost_sent_at = 0.0
        self.incarnation = random.SystemRandom().getrandbits(INCARNATION_BITS)
        self.sequence = 0
        self.load_changed = Event()
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start sending loads."""
        self.worker = spawn_loop('load gossip', self.run)

    def close(self) -> None:
        """Stop sending loads."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def add_members(self, members: dict[str, str]) -> None:
        """Add the listed entries as peers."""
        self.listed = members.keys() - {self.node}
        for node, address in members.items():
            if node != self.node:
                self.peers[node] = address
        self.load_changed.set()

    def count_entries(self) -> int | None:
        """Count the entries, of which some may have started after the listing.

        :returns: this one, those listed and those that send their load; None
            before the first listing.
        """
        members = self.members()
        return None if members is None else len(members)

    def members(self) -> set[str] | None:
        """Return the entries, see ``count_entries``.

        :returns: names, None before the first listing.
        """
        if self.listed is None:
            return None
        return {self.node} | self.listed | self.last_received_at.keys()

    def receive_load(self, message: list[Any], address: str) -> None:
        """Handle the load of a peer.

        :raises ValueError: if the message is malformed.
        """
        load = decode_load(message)
        now = boot_time()
        self.record_contact(load.node, address, now)
        if self.fleet_load.handle(load, now):
            self.on_tables(load, address)
            self.on_peer_load()

    def record_contact(self, node: str, address: str, now: float) -> None:
        """Record that a datagram of a peer arrived."""
        if node not in self.last_received_at:
            self.log.write('peer_heard', peer=node, address=address)
        self.peers[node] = address
        self.last_received_at[node] = now

    def run(self) -> None:
        """Send the load when it changes, and at least every heartbeat."""
        while True:
            self.load_changed.wait(HEARTBEAT_INTERVAL_S)
            self.load_changed.clear()
            self.expire_silent_peers()
            self.send_load()
            gap = len(self.peers) / MAX_DATAGRAMS_PER_S
            gevent.sleep(max(MIN_SEND_GAP_S, gap))

    def expire_silent_peers(self) -> None:
        """Drop the loads of silent peers and regard them as unreachable."""
        now = boot_time()
        if self.fleet_load.expire(now):
            self.on_peer_load()
        for node, received_at in list(self.last_received_at.items()):
            if now - received_at > PEER_TIMEOUT_S:
                self.last_received_at.pop(node)
                self.log.write('peer_lost', peer=node)

    def send_load(self) -> None:
        """Send the current load, to unreachable peers at a lower rate."""
        now = boot_time()
        counts, waiting = self.load_counts()
        self.sequence += 1
        load = EntryLoad(
            self.node,
            self.incarnation,
            self.sequence,
            counts,
            waiting,
            self.read_table_versions(),
            self.read_confirmations(),
            self.read_backlogs(),
        )
        encoded = cbor2.dumps(encode_load(load))
        includes_lost = now - self.lost_sent_at >= LOST_HEARTBEAT_INTERVAL_S
        if includes_lost:
            self.lost_sent_at = now
        for node, address in self.peers.items():
            if includes_lost or node in self.last_received_at:
                self.datagrams.send_encoded(LOAD, encoded, address)


def encode_load(load: EntryLoad) -> list[Any]:
    """Encode an entry load.

    :returns: the message.
    """
    message = [
        LOAD,
        load.node,
        load.incarnation,
        load.sequence,
        load.counts,
        load.waiting,
        load.tables,
        {
            name: [confirmation.floor, confirmation.age_s]
            for name, confirmation in load.confirmations.items()
        },
    ]
    if load.backlogs:
        message.append(
            {
                service: [
                    [backlog.rank, backlog.count, backlog.work]
                    for backlog in backlogs
                ]
                for service, backlogs in load.backlogs.items()
            }
        )
    return message


def decode_load(message: list[Any]) -> EntryLoad:
    """Decode an entry load.

    :returns: the load.
    :raises ValueError: if the message is malformed.
    """
    node, incarnation, sequence = message[1:4]
    counts, waiting, tables = message[4:7]
    if not isinstance(node, str) or not isinstance(sequence, int):
        raise ValueError('entry load has no valid node and sequence')
    if not isinstance(incarnation, int):
        raise ValueError('entry load has no valid incarnation')
    return EntryLoad(
        node,
        incarnation,
        sequence,
        check_counts(counts),
        check_counts(waiting),
        check_counts(tables),
        decode_confirmations(message),
        decode_backlogs(message),
    )


def decode_backlogs(message: list[Any]) -> dict[str, tuple[Backlog, ...]]:
    """Decode the waiting requests in the message with an entry's load.

    :returns: sums by service, none if no request waits.
    :raises ValueError: if they are malformed.
    """
    if len(message) <= BACKLOGS_INDEX:
        return {}
    return {
        str(service): tuple(decode_backlog(fields) for fields in backlogs)
        for service, backlogs in message[BACKLOGS_INDEX].items()
    }


def decode_backlog(fields: list[Any]) -> Backlog:
    """Decode the waiting requests of one rank.

    :returns: the sums.
    :raises ValueError: if they are malformed.
    """
    rank, count, work = fields
    is_whole = isinstance(rank, int) and isinstance(count, int)
    if not is_whole or not 0 <= work < math.inf or count < 0:
        raise ValueError('entry load has an invalid backlog')
    return Backlog(rank, count, float(work))


def decode_confirmations(message: list[Any]) -> dict[str, Confirmation]:
    """Decode the confirmations in the message with an entry's load.

    :returns: confirmations by table, none for an entry that sends none.
    :raises ValueError: if they are malformed.
    """
    if len(message) <= CONFIRMATIONS_INDEX:
        return {}
    confirmations = {}
    for name, (floor, age_s) in message[CONFIRMATIONS_INDEX].items():
        if not isinstance(floor, int) or not age_s >= 0:
            raise ValueError('entry load has an invalid confirmation')
        confirmations[str(name)] = Confirmation(floor, float(age_s))
    return confirmations


def check_counts(counts: object) -> dict[str, int]:
    """Check that a value maps names to integer counts.

    :returns: the counts.
    :raises ValueError: if it does not.
    """
    if not isinstance(counts, dict):
        raise ValueError('counts of an entry load are not a map')
    for name, count in counts.items():
        if not isinstance(name, str) or not isinstance(count, int):
            raise ValueError('entry load must map names to integer counts')
    return counts


def ignore(_load: EntryLoad, _address: str) -> None:
    """Do nothing; the default for ``LoadGossip.on_tables``."""
