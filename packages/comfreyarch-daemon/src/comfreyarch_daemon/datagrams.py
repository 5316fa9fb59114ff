"""Exchange small CBOR messages with other nodes, in datagrams.

A message that is late or lost is worth nothing, and a later one replaces
it; a stream would queue old messages behind a lost segment.
"""

import zlib
from collections.abc import Callable
from typing import Any

import cbor2
import gevent
from gevent import socket

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.settings import split_address

# What reading a message of another release, or garbage, may raise.
UNREADABLE = (
    ArithmeticError,
    AttributeError,
    EOFError,
    LookupError,
    TypeError,
    ValueError,
    cbor2.CBORError,
    zlib.error,
)
LONGEST_DATAGRAM = 65_000
# Pause after the system failed to read a datagram.
RETRY_S = 0.1


class Datagrams:
    """Own one socket; messages are lists that begin with a tag."""

    __slots__ = ('address', 'closed', 'handlers', 'log', 'sock', 'worker')

    def __init__(self, address: str, log: EventLog) -> None:
        """Prepare to listen on ``address``."""
        self.address = address
        self.log = log
        self.handlers: dict[str, Callable[[list[Any], str], None]] = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.worker: gevent.Greenlet | None = None
        self.closed = False

    def start(self) -> None:
        """Start listening.

        :raises OSError: if the address is taken.
        """
        self.sock.bind(split_address(self.address))
        self.worker = gevent.spawn(self.listen)

    def close(self) -> None:
        """Stop listening."""
        self.closed = True
        if self.worker is not None:
            self.worker.kill(block=False)
        self.sock.close()

    def send(self, message: list[Any], address: str) -> None:
        """Send one message; a full buffer loses it."""
        self.send_encoded(cbor2.dumps(message), address)

    def send_encoded(self, encoded: bytes, address: str) -> None:
        """Send an encoded message."""
        try:
            self.sock.sendto(encoded, split_address(address))
        except OSError as error:
            self.log.write('datagram_unsent', address=address, why=str(error))

    def listen(self) -> None:
        """Take messages as they come."""
        while True:
            try:
                received, sender = self.sock.recvfrom(LONGEST_DATAGRAM)
            except OSError as error:
                if self.closed:
                    return
                self.log.write('datagrams_failed', why=str(error))
                gevent.sleep(RETRY_S)
                continue
            address = f'{sender[0]}:{sender[1]}'
            try:
                self.take(received, address)
            except UNREADABLE as error:
                self.log.write(
                    'datagram_unreadable',
                    address=address,
                    why=repr(error),
                )

    def take(self, received: bytes, address: str) -> None:
        """Hand one message on.

        :raises ValueError: where it cannot be read.
        """
        message = cbor2.loads(received)
        if not isinstance(message, list) or not message:
            raise ValueError('no list')
        taker = self.handlers.get(str(message[0]))
        if taker is None:
            raise ValueError(f'unknown tag {message[0]!r}')
        taker(message, address)
