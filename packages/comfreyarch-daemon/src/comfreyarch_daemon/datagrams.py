"""Exchange small CBOR messages with other nodes in UDP datagrams.

A stream would queue outdated messages behind a lost segment. Here messages wait in
a queue of the node itself, by urgency and only as long as they are of use.
"""

import zlib
from collections.abc import Callable
from typing import Any

import cbor2
import gevent
from gevent import socket
from gevent.event import Event

from comfreyarch_core.datagramcounts import (
    DatagramCounts,
    make_datagram_counts,
)
from comfreyarch_core.linkqueue import Datagram, LinkQueue, make_link_queue
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.sendpolicies import select_policy
from comfreyarch_daemon.settings import split_address
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.upstreamcalls import boot_time

# Exceptions that decoding a malformed message, or one of another release, may
# raise.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    EOFError,
    LookupError,
    TypeError,
    ValueError,
    cbor2.CBORError,
    zlib.error,
)
# Exceptions that sending may raise, the first three for an address that is invalid.
SEND_ERRORS = (AttributeError, OverflowError, ValueError, OSError)
MAX_DATAGRAM_BYTES = 65_000
# Pause after the system failed to receive a datagram.
RETRY_S = 0.1
# Interval at which the numbers of datagrams are logged.
SUMMARY_INTERVAL_S = 5.0


class Datagrams:
    """Own a UDP socket; each message is a list that begins with a tag.

    :param handlers: called with a message and its sender's address, by tag.
    :param sent: datagrams sent since the last summary.
    :param received: datagrams received since then.
    :param queue: datagrams that wait for the link.
    :param is_waiting: set while any wait.
    """

    __slots__ = (
        'address',
        'closed',
        'handlers',
        'is_waiting',
        'log',
        'queue',
        'received',
        'sent',
        'sock',
        'workers',
    )

    def __init__(
        self, address: str, log: EventLog, link_bytes_per_s: float = 0
    ) -> None:
        """Create the socket; ``start`` binds it to ``address``.

        :param link_bytes_per_s: capacity of the node's link, 0 if unknown.
        """
        self.address = address
        self.queue: LinkQueue = make_link_queue(link_bytes_per_s)
        self.is_waiting = Event()
        self.log = log
        self.handlers: dict[str, Callable[[list[Any], str], None]] = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sent: DatagramCounts = make_datagram_counts()
        self.received: DatagramCounts = make_datagram_counts()
        self.workers: list[gevent.Greenlet] = []
        self.closed = False

    def start(self) -> None:
        """Start listening.

        :raises OSError: if the address is in use.
        """
        self.sock.bind(split_address(self.address))
        self.workers = [
            spawn_loop('datagrams received', self.listen),
            spawn_loop('datagrams sent', self.send_waiting),
            spawn_loop('datagram summaries', self.log_summaries),
        ]

    def close(self) -> None:
        """Send the urgent messages that wait, and stop listening."""
        self.closed = True
        for worker in self.workers:
            worker.kill(block=False)
        for datagram in self.queue.take_urgent(boot_time()):
            self.transmit(datagram)
        self.sock.close()

    def send(self, message: list[Any], address: str) -> int:
        """Send a message; it may be lost, for example if a buffer is full.

        :returns: the size of the datagram in bytes.
        """
        encoded = cbor2.dumps(message)
        self.send_encoded(message[0], encoded, address)
        return len(encoded)

    def send_encoded(self, tag: str, encoded: bytes, address: str) -> None:
        """Send an encoded message as soon as the link takes it.

        :param tag: tag of the message, which defines how long it may wait.
        """
        datagram = Datagram(tag, encoded, address, select_policy(tag))
        for due in self.queue.offer(datagram, boot_time()):
            self.transmit(due)
        if self.queue.waiting_bytes:
            self.is_waiting.set()

    def send_waiting(self) -> None:
        """Send the datagrams that wait, each when the link takes it."""
        while True:
            self.is_waiting.wait()
            while self.queue.waiting_bytes:
                gevent.sleep(max(0, self.queue.next_due_at() - boot_time()))
                for due in self.queue.take_due(boot_time()):
                    self.transmit(due)
            self.is_waiting.clear()

    def transmit(self, datagram: Datagram) -> None:
        """Pass a datagram to the operating system and log a failure."""
        self.sent.add(datagram.tag, len(datagram.encoded))
        try:
            self.sock.sendto(datagram.encoded, split_address(datagram.address))
        except SEND_ERRORS as error:
            self.log.write(
                'datagram_unsent', address=datagram.address, why=str(error)
            )

    def backlog_s(self) -> float:
        """Return the time until all messages so far have left this node."""
        return self.queue.backlog_s(boot_time())

    def transfer_s(self, size_bytes: int) -> float:
        """Return the time in which the link takes a message of a size."""
        return self.queue.transfer_s(size_bytes)

    def log_summaries(self) -> None:
        """Log the numbers of datagrams periodically."""
        while True:
            gevent.sleep(SUMMARY_INTERVAL_S)
            self.log.write(
                'datagrams',
                sent=self.sent.take_summary(),
                received=self.received.take_summary(),
                dropped=self.queue.take_dropped(),
            )

    def listen(self) -> None:
        """Receive messages until closed."""
        while True:
            try:
                received, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                if self.closed:
                    return
                self.log.write('datagrams_failed', why=str(error))
                gevent.sleep(RETRY_S)
                continue
            address = f'{sender[0]}:{sender[1]}'
            try:
                self.dispatch(received, address)
            except DECODE_ERRORS as error:
                self.log.write(
                    'datagram_unreadable',
                    address=address,
                    why=repr(error),
                )

    def dispatch(self, received: bytes, address: str) -> None:
        """Decode a message and pass it to the handler of its tag.

        :raises ValueError: if it is not a list with a known tag.
        """
        message = cbor2.loads(received)
        if not isinstance(message, list) or not message:
            raise ValueError('message is not a list that begins with a tag')
        tag = str(message[0])
        on_message = self.handlers.get(tag)
        if on_message is None:
            raise ValueError(f'no handler for message tag {tag!r}')
        self.received.add(tag, len(received))
        on_message(message, address)
