"""Exchange small CBOR messages with other nodes in UDP datagrams.

Each message supersedes the previous one, so a late or lost message has no
value. A stream would queue outdated messages behind a lost segment.
"""

import zlib
from collections.abc import Callable
from typing import Any

import cbor2
import gevent
from gevent import socket

from comfreyarch_core.datagramcounts import (
    DatagramCounts,
    make_datagram_counts,
)
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.settings import split_address

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
    """

    __slots__ = (
        'address',
        'closed',
        'handlers',
        'log',
        'received',
        'sent',
        'sock',
        'workers',
    )

    def __init__(self, address: str, log: EventLog) -> None:
        """Create the socket; ``start`` binds it to ``address``."""
        self.address = address
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
            gevent.spawn(self.listen),
            gevent.spawn(self.log_summaries),
        ]

    def close(self) -> None:
        """Stop listening."""
        self.closed = True
        for worker in self.workers:
            worker.kill(block=False)
        self.sock.close()

    def send(self, message: list[Any], address: str) -> int:
        """Send a message; it may be lost, for example if a buffer is full.

        :returns: the size of the datagram in bytes.
        """
        encoded = cbor2.dumps(message)
        self.send_encoded(message[0], encoded, address)
        return len(encoded)

    def send_encoded(self, tag: str, encoded: bytes, address: str) -> None:
        """Send an encoded message and log a failure.

        :param tag: tag of the message.
        """
        self.sent.add(tag, len(encoded))
        try:
            self.sock.sendto(encoded, split_address(address))
        except OSError as error:
            self.log.write('datagram_unsent', address=address, why=str(error))

    def log_summaries(self) -> None:
        """Log the numbers of datagrams periodically."""
        while True:
            gevent.sleep(SUMMARY_INTERVAL_S)
            self.log.write(
                'datagrams',
                sent=self.sent.take_summary(),
                received=self.received.take_summary(),
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
