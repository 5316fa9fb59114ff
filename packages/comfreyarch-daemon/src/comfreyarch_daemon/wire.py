"""Carry frames over websockets on gevent sockets, one link a pair.

The websockets library is driven through its protocol objects, which do no
input or output. Each message is one CBOR array of all frames that waited,
so that tokens coalesce per wake-up.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent
from gevent import socket
from gevent.event import Event
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Frame as WebsocketFrame
from websockets.frames import Opcode
from websockets.server import ServerProtocol

from comfreyarch_core import frames
from comfreyarch_core.frames import AnyFrame, Frame, FrameError
from comfreyarch_daemon.codec import decode, encode
from comfreyarch_daemon.metrics import Metrics

READ_BYTES = 65536
MAX_QUEUED_FRAMES = 50_000
Wanted = TypeVar('Wanted', bound=Frame)


class LinkError(Exception):
    """Report a link that cannot be opened or must be closed.

    :param reason: a fixed word for the counters.
    """

    def __init__(self, reason: str, detail: str = '') -> None:
        """Hold the reason and what was seen."""
        super().__init__(f'{reason}: {detail}')
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Remote:
    """Say who stands at the other end of a link."""

    node: str
    role: str
    incarnation: str
    revision: int


def merge(batch: list[Frame]) -> list[Frame]:
    """Join adjacent chunks of the same attempt.

    :returns: the batch in order, shorter.
    """
    merged: list[Frame] = []
    for frame in batch:
        last = merged[-1] if merged else None
        if isinstance(frame, frames.Chunk) and isinstance(last, frames.Chunk):
            end = last.offset + len(last.body)
            if last.attempt == frame.attempt and end == frame.offset:
                body = last.body + frame.body
                merged[-1] = frames.Chunk(last.attempt, last.offset, body)
                continue
        merged.append(frame)
    return merged


class Link:
    """Send and receive frames over one open websocket."""

    __slots__ = (
        'closed',
        'early',
        'greenlets',
        'heard_at',
        'metrics',
        'on_close',
        'on_frame',
        'outbox',
        'protocol',
        'received_bytes',
        'remote',
        'sent_bytes',
        'stream',
        'wake',
    )

    def __init__(
        self,
        stream: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        metrics: Metrics,
    ) -> None:
        """Take an open socket; nothing is read before ``start``."""
        self.stream = stream
        self.protocol = protocol
        self.metrics = metrics
        self.remote = Remote('', '', '', 0)
        self.outbox: list[Frame] = []
        self.wake = Event()
        self.closed = False
        self.early: list[AnyFrame] = []
        self.greenlets: list[gevent.Greenlet] = []
        self.on_frame: Callable[[Link, AnyFrame], None] = ignore_frame
        self.on_close: Callable[[Link], None] = ignore_close
        self.sent_bytes = 0
        self.received_bytes = 0
        self.heard_at = time.monotonic()

    def start(
        self,
        on_frame: 'Callable[[Link, AnyFrame], None]',
        on_close: 'Callable[[Link], None]',
    ) -> None:
        """Start reading and writing.

        :param on_frame: called for each frame; must not block for long.
        :param on_close: called once.
        """
        self.on_frame = on_frame
        self.on_close = on_close
        self.greenlets = [
            gevent.spawn(self.read_loop),
            gevent.spawn(self.write_loop),
        ]

    def send(self, frame: Frame) -> bool:
        """Queue a frame.

        :returns: False if the link is closed or its queue is full.
        """
        if self.closed:
            return False
        if len(self.outbox) >= MAX_QUEUED_FRAMES:
            self.fail('queue_full')
            return False
        self.outbox.append(frame)
        self.wake.set()
        return True

    def close(self) -> None:
        """Close the link; its receiver is told once."""
        if self.closed:
            return
        self.closed = True
        self.wake.set()
        self.stream.close()
        self.on_close(self)
        current = gevent.getcurrent()
        gevent.killall(
            [one for one in self.greenlets if one is not current],
            block=False,
        )

    def fail(self, reason: str) -> None:
        """Count the reason and close."""
        if not self.closed:
            self.metrics.count('links_failed', reason=reason)
        self.close()

    def flush(self) -> None:
        """Write what the protocol has to send."""
        packed = b''.join(self.protocol.data_to_send())
        if packed:
            self.sent_bytes += len(packed)
            self.stream.sendall(packed)

    def write_now(self, batch: list[Frame]) -> None:
        """Write frames as one message."""
        self.protocol.send_binary(encode(merge(batch)))
        self.flush()

    def write_loop(self) -> None:
        """Write whatever waits at each wake-up."""
        while not self.closed:
            self.wake.wait()
            self.wake.clear()
            batch, self.outbox = self.outbox, []
            if not batch or self.closed:
                continue
            try:
                self.write_now(batch)
            except (OSError, WebSocketException):
                self.fail('write')

    def read_loop(self) -> None:
        """Read until the other end closes."""
        try:
            self.read_all()
        except FrameError:
            self.fail('bad_frame')
        except (OSError, WebSocketException):
            self.fail('read')
        self.close()

    def read_all(self) -> None:
        """Read messages and pass their frames on, early ones first."""
        early, self.early = self.early, []
        for frame in early:
            self.on_frame(self, frame)
        while not self.closed:
            for frame in self.receive():
                self.on_frame(self, frame)

    def receive(self) -> list[AnyFrame]:
        """Wait for bytes and decode what is complete.

        :returns: the frames, perhaps none.
        """
        received = self.stream.recv(READ_BYTES)
        self.heard_at = time.monotonic()
        self.received_bytes += len(received)
        if received:
            self.protocol.receive_data(received)
        else:
            self.protocol.receive_eof()
        found: list[AnyFrame] = []
        for event in self.protocol.events_received():
            if isinstance(event, WebsocketFrame):
                found.extend(self.read_event(event))
        self.flush()
        if not received:
            raise OSError('end of stream')
        return found

    def read_event(self, event: WebsocketFrame) -> list[AnyFrame]:
        """Decode a websocket frame.

        :raises FrameError: for anything but whole binary messages.
        """
        if event.opcode is Opcode.BINARY and event.fin:
            return decode(bytes(event.data))
        if event.opcode in {Opcode.TEXT, Opcode.CONT, Opcode.BINARY}:
            raise FrameError('not a whole binary message; check the peer')
        return []

    def expect(self, wanted: type[Wanted]) -> Wanted:
        """Wait for the next frame during the handshake.

        :raises LinkError: if it is of another kind.
        """
        while not self.early:
            self.early = self.receive()
        first = self.early.pop(0)
        if not isinstance(first, wanted):
            raise LinkError('handshake', type(first).__name__)
        return first


def ignore_frame(link: Link, frame: AnyFrame) -> None:
    """Ignore a frame that comes before ``start``."""


def ignore_close(link: Link) -> None:
    """Ignore a close before ``start``."""
