"""Transport frames over websockets on gevent sockets.

Each pair of nodes shares one link. The websockets library is driven through
its protocol objects, which do no I/O. Each message is one CBOR array of all
frames queued since the last write, which batches the tokens of many requests.
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
from comfreyarch_daemon.supervision import failure_reports

READ_BYTES = 65536
# Length of the send queue at which a link is closed.
MAX_QUEUED_FRAMES = 50_000
ExpectedFrame = TypeVar('ExpectedFrame', bound=Frame)


class LinkError(Exception):
    """Report a link that cannot be opened.

    :param reason: a fixed word, the label of the failure's metric.
    """

    def __init__(self, reason: str, detail: str = '') -> None:
        """Store the reason and combine it with the detail in the message."""
        super().__init__(f'{reason}: {detail}')
        self.reason = reason


@dataclass(frozen=True, slots=True)
class RemoteNode:
    """Identify the node at the remote end of a link."""

    node: str
    role: str
    incarnation: str
    revision: int


def merge(batch: list[Frame]) -> list[Frame]:
    """Merge adjacent contiguous chunks of the same attempt.

    :returns: the frames in order.
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
    """Send and receive frames over one open websocket.

    ``handshake_frames`` holds frames that were received during the handshake
    and not yet handled: a peer's first frames may arrive together with its
    proof.
    """

    __slots__ = (
        'closed',
        'frames_queued',
        'greenlets',
        'handshake_frames',
        'last_received_at',
        'metrics',
        'on_close',
        'on_frame',
        'protocol',
        'received_bytes',
        'remote',
        'send_queue',
        'sent_bytes',
        'stream',
    )

    def __init__(
        self,
        stream: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        metrics: Metrics,
    ) -> None:
        """Wrap an open socket.

        Only the handshake reads from it before ``start``.
        """
        self.stream = stream
        self.protocol = protocol
        self.metrics = metrics
        self.remote = RemoteNode('', '', '', 0)
        self.send_queue: list[Frame] = []
        self.frames_queued = Event()
        self.closed = False
        self.handshake_frames: list[AnyFrame] = []
        self.greenlets: list[gevent.Greenlet] = []
        self.on_frame: Callable[[Link, AnyFrame], None] = ignore_frame
        self.on_close: Callable[[Link], None] = ignore_close
        self.sent_bytes = 0
        self.received_bytes = 0
        self.last_received_at = time.monotonic()

    def start(
        self,
        on_frame: 'Callable[[Link, AnyFrame], None]',
        on_close: 'Callable[[Link], None]',
    ) -> None:
        """Start reading and writing.

        :param on_frame: called for each frame; blocking it delays all later
            frames.
        :param on_close: called once, when the link closes.
        """
        self.on_frame = on_frame
        self.on_close = on_close
        self.greenlets = [
            gevent.spawn(self.read_loop),
            gevent.spawn(self.write_loop),
        ]

    def send(self, frame: Frame) -> bool:
        """Queue a frame.

        A link whose queue is full is closed.

        :returns: False if the frame was not queued.
        """
        if self.closed:
            return False
        if len(self.send_queue) >= MAX_QUEUED_FRAMES:
            self.fail('queue_full')
            return False
        self.send_queue.append(frame)
        self.frames_queued.set()
        return True

    def close(self) -> None:
        """Close the link and call ``on_close``; later calls do nothing."""
        if self.closed:
            return
        self.closed = True
        self.frames_queued.set()
        self.stream.close()
        self.on_close(self)
        current = gevent.getcurrent()
        gevent.killall(
            [
                greenlet
                for greenlet in self.greenlets
                if greenlet is not current
            ],
            block=False,
        )

    def fail(self, reason: str) -> None:
        """Count a failure with its reason and close the link."""
        if not self.closed:
            self.metrics.count('links_failed', reason=reason)
        self.close()

    def flush(self) -> None:
        """Send the bytes that the websocket protocol has buffered."""
        outgoing = b''.join(self.protocol.data_to_send())
        if outgoing:
            self.sent_bytes += len(outgoing)
            self.stream.sendall(outgoing)

    def write_now(self, batch: list[Frame]) -> None:
        """Send frames as one message without queueing them."""
        self.protocol.send_binary(encode(merge(batch)))
        self.flush()

    def write_loop(self) -> None:
        """Send all queued frames as one message at each wake-up."""
        while not self.closed:
            self.frames_queued.wait()
            self.frames_queued.clear()
            batch, self.send_queue = self.send_queue, []
            if not batch or self.closed:
                continue
            try:
                self.write_now(batch)
            except (OSError, WebSocketException):
                self.fail('write')
            except Exception as error:
                failure_reports.report('link', error)
                self.fail('internal')

    def read_loop(self) -> None:
        """Read frames until the link fails or closes, then close it."""
        try:
            self.read_all()
        except FrameError:
            self.fail('bad_frame')
        except (OSError, WebSocketException):
            self.fail('read')
        except Exception as error:
            # A link that is open but not read would only time out later.
            failure_reports.report('link', error)
            self.fail('internal')
        self.close()

    def read_all(self) -> None:
        """Pass all frames to ``on_frame``, those of the handshake first."""
        handshake_frames, self.handshake_frames = self.handshake_frames, []
        for frame in handshake_frames:
            self.on_frame(self, frame)
        while not self.closed:
            for frame in self.receive():
                self.on_frame(self, frame)

    def receive(self) -> list[AnyFrame]:
        """Wait for bytes and decode the messages that are complete.

        :returns: the frames, possibly none.
        :raises OSError: if the remote node closed the connection.
        """
        received = self.stream.recv(READ_BYTES)
        self.last_received_at = time.monotonic()
        self.received_bytes += len(received)
        if received:
            self.protocol.receive_data(received)
        else:
            self.protocol.receive_eof()
        decoded: list[AnyFrame] = []
        for event in self.protocol.events_received():
            if isinstance(event, WebsocketFrame):
                decoded.extend(self.read_event(event))
        self.flush()
        if not received:
            raise OSError('connection closed by the remote node')
        return decoded

    def read_event(self, event: WebsocketFrame) -> list[AnyFrame]:
        """Decode the message of a websocket frame.

        :returns: its frames; none for a control frame.
        :raises FrameError: for a text message or a fragment of a message.
        """
        if event.opcode is Opcode.BINARY and event.fin:
            return decode(bytes(event.data))
        if event.opcode in {Opcode.TEXT, Opcode.CONT, Opcode.BINARY}:
            raise FrameError(
                f'{event.opcode.name} frame is not an unfragmented binary '
                'message; check the version of the peer',
            )
        return []

    def expect(self, expected: type[ExpectedFrame]) -> ExpectedFrame:
        """Wait for the next frame of the handshake.

        :param expected: the class that the frame must have.
        :raises LinkError: if the frame is of another class.
        """
        while not self.handshake_frames:
            self.handshake_frames = self.receive()
        frame = self.handshake_frames.pop(0)
        if not isinstance(frame, expected):
            raise LinkError('handshake', type(frame).__name__)
        return frame


def ignore_frame(link: Link, frame: AnyFrame) -> None:
    """Ignore a frame; the handler of a link that is not started."""


def ignore_close(link: Link) -> None:
    """Ignore a close; the handler of a link that is not started."""
