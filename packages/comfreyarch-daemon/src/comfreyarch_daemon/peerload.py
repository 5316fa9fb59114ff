"""Tell the other entries what is in flight."""

import random
from collections.abc import Callable
from typing import Any, Protocol

import cbor2
import gevent
from gevent.event import Event

from comfreyarch_core.fleetload import PEER_TIMEOUT_S, EntryLoad, FleetLoad
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.upstreamcalls import boot_time

NEWS = 'load'
INCARNATION_BITS = 32
# News is told at once, but not more often than this.
SHORTEST_GAP_S = 0.02
# Datagrams that an entry sends a second, at most: the gap grows with peers.
DATAGRAMS_A_SECOND = 300.0
# News is told so often even where nothing changed.
HEARTBEAT_S = 0.5
# Peers that were not heard are told so often.
LOST_HEARTBEAT_S = 2.0


class Peers(Protocol):
    """Keep the addresses of all entries; a platform's adapter fills it."""

    def join(self, node: str, address: str) -> None:
        """Make this entry known, and keep it known."""

    def members(self) -> dict[str, str]:
        """List the entries.

        :returns: node → address.
        """


class PeerLoad:
    """Exchange load news with the other entries.

    :param peers: node → address, of all others known.
    :param tables: gives the newest rows known, by table.
    :param on_tables: called with those of another entry.
    """

    __slots__ = (
        'changed',
        'datagrams',
        'heard_at',
        'incarnation',
        'load',
        'log',
        'news',
        'node',
        'sequence',
        'on_news',
        'on_tables',
        'peers',
        'tables',
        'told_lost_at',
        'worker',
    )

    def __init__(
        self,
        node: str,
        datagrams: Datagrams,
        load: FleetLoad,
        news: Callable[[], tuple[dict[str, int], dict[str, int]]],
        on_news: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Prepare to tell.

        :param news: gives the counts in flight and waiting.
        :param on_news: called after news of others was taken.
        """
        self.node = node
        self.datagrams = datagrams
        datagrams.handlers[NEWS] = self.heard
        self.load = load
        self.news = news
        self.on_news = on_news
        self.tables: Callable[[], dict[str, int]] = dict
        self.on_tables: Callable[[dict[str, int]], None] = ignore
        self.log = log
        self.peers: dict[str, str] = {}
        self.heard_at: dict[str, float] = {}
        self.told_lost_at = 0.0
        self.incarnation = random.SystemRandom().getrandbits(INCARNATION_BITS)
        self.sequence = 0
        self.changed = Event()
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start telling."""
        self.worker = gevent.spawn(self.tell)

    def close(self) -> None:
        """Stop telling."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def know(self, members: dict[str, str]) -> None:
        """Take the entries that are listed."""
        for node, address in members.items():
            if node != self.node:
                self.peers[node] = address
        self.changed.set()

    def heard(self, message: list[Any], address: str) -> None:
        """Take news.

        :raises ValueError: where it is malformed.
        """
        news = decode_news(message)
        now = boot_time()
        self.meet(news.node, address, now)
        if self.load.handle(news, now):
            self.on_tables(news.tables)
            self.on_news()

    def meet(self, node: str, address: str, now: float) -> None:
        """Note that an entry was heard."""
        if node not in self.heard_at:
            self.log.write('peer_heard', peer=node, address=address)
        self.peers[node] = address
        self.heard_at[node] = now

    def tell(self) -> None:
        """Tell news when it changes, and now and then."""
        while True:
            self.changed.wait(HEARTBEAT_S)
            self.changed.clear()
            self.lose_silent()
            self.tell_once()
            gap = len(self.peers) / DATAGRAMS_A_SECOND
            gevent.sleep(max(SHORTEST_GAP_S, gap))

    def lose_silent(self) -> None:
        """Forget entries that fell silent."""
        now = boot_time()
        if self.load.expire(now):
            self.on_news()
        for node, heard_at in list(self.heard_at.items()):
            if now - heard_at > PEER_TIMEOUT_S:
                self.heard_at.pop(node)
                self.log.write('peer_lost', peer=node)

    def tell_once(self) -> None:
        """Send the present counts to all peers."""
        now = boot_time()
        counts, waiting = self.news()
        self.sequence += 1
        news = EntryLoad(
            self.node,
            self.incarnation,
            self.sequence,
            counts,
            waiting,
            self.tables(),
        )
        encoded = cbor2.dumps(encode_news(news))
        to_lost = now - self.told_lost_at >= LOST_HEARTBEAT_S
        if to_lost:
            self.told_lost_at = now
        for node, address in self.peers.items():
            if to_lost or node in self.heard_at:
                self.datagrams.send_encoded(encoded, address)


def encode_news(news: EntryLoad) -> list[Any]:
    """Write news.

    :returns: a message.
    """
    return [
        NEWS,
        news.node,
        news.incarnation,
        news.sequence,
        news.counts,
        news.waiting,
        news.tables,
    ]


def decode_news(message: list[Any]) -> EntryLoad:
    """Read news.

    :returns: the news.
    :raises ValueError: where it is malformed.
    """
    node, incarnation, sequence = message[1:4]
    counts, waiting, tables = message[4:7]
    if not isinstance(node, str) or not isinstance(sequence, int):
        raise ValueError('the news names no node')
    if not isinstance(incarnation, int):
        raise ValueError('the news names no incarnation')
    return EntryLoad(
        node,
        incarnation,
        sequence,
        whole_counts(counts),
        whole_counts(waiting),
        whole_counts(tables),
    )


def whole_counts(counts: object) -> dict[str, int]:
    """Check counts by name.

    :returns: the counts.
    :raises ValueError: where they are none.
    """
    if not isinstance(counts, dict):
        raise ValueError('the news has no counts')
    for name, count in counts.items():
        if not isinstance(name, str) or not isinstance(count, int):
            raise ValueError('a count of the news is none')
    return counts


def ignore(_tables: dict[str, int]) -> None:
    """Do nothing: nobody follows tables."""
