"""Carry frames over websockets on gevent sockets, one link a pair.

The websockets library is driven through its protocol objects, which do no
input or output. Each message is one CBOR array of all frames that waited,
so that tokens coalesce per wake-up. The handshake after the websocket's
own proves on both ends that the fleet key is known.
"""

import hmac
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Frame as WebsocketFrame
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from comfreyarch_core import frames
from comfreyarch_core.frames import AnyFrame, Frame, FrameError
from comfreyarch_daemon.codec import MAX_MESSAGE_BYTES, decode, encode
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import split_address

HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536
NONCE_BYTES = 16
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
class Identity:
    """Say who a node is; ``revision`` is read when a link opens."""

    node: str
    role: str
    incarnation: str
    key: bytes
    revision: Callable[[], int]


@dataclass(frozen=True, slots=True)
class Remote:
    """Say who stands at the other end of a link."""

    node: str
    role: str
    incarnation: str
    revision: int


def prove(key: bytes, side: str, *parts: object) -> bytes:
    """Prove knowledge of the fleet key over both ends' statements.

    :returns: an HMAC.
    """
    text = '\n'.join([side, *(repr(part) for part in parts)])
    return hmac.digest(key, text.encode(), 'sha256')


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


def open_link(address: str, me: Identity, metrics: Metrics) -> Link:
    """Connect to another node.

    :param address: ``host:port``.
    :returns: a link whose both ends proved the key; not yet started.
    :raises LinkError: with a counted reason.
    """
    link = None
    try:
        with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
            link = connect(address, metrics)
            greet(link, me)
    except gevent.Timeout as error:
        raise failed(link, 'timeout', address) from error
    except (OSError, WebSocketException, FrameError) as error:
        raise failed(link, 'unreachable', f'{address} {error}') from error
    except LinkError:
        if link is not None:
            link.close()
        raise
    return link


def failed(link: Link | None, reason: str, detail: str) -> LinkError:
    """Close what was opened and make the error.

    :returns: the error to raise.
    """
    if link is not None:
        link.close()
    return LinkError(reason, detail)


def connect(address: str, metrics: Metrics) -> Link:
    """Open the socket and the websocket.

    :returns: a link in the open state.
    """
    stream = socket.create_connection(
        split_address(address),
        timeout=CONNECT_TIMEOUT_S,
    )
    stream.settimeout(None)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    protocol = ClientProtocol(
        parse_uri(f'ws://{address}/link'),
        max_size=MAX_MESSAGE_BYTES,
    )
    link = Link(stream, protocol, metrics)
    protocol.send_request(protocol.connect())
    link.flush()
    while protocol.state.name == 'CONNECTING':
        link.receive()
        if protocol.handshake_exc is not None:
            raise LinkError('handshake', str(protocol.handshake_exc))
    return link


def greet(link: Link, me: Identity) -> None:
    """Do the connecting end of the key handshake.

    :raises LinkError: on another version or a wrong key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    revision = me.revision()
    hello = frames.Hello(
        frames.PROTOCOL_VERSION,
        me.node,
        me.role,
        me.incarnation,
        revision,
        nonce,
    )
    link.write_now([hello])
    answer = link.expect(frames.Challenge)
    if answer.version != frames.PROTOCOL_VERSION:
        raise LinkError('version', str(answer.version))
    said = (nonce, answer.nonce, answer.node, answer.incarnation)
    if not hmac.compare_digest(prove(me.key, 'accept', *said), answer.proof):
        raise LinkError('key', answer.node)
    mine = (nonce, answer.nonce, me.node, me.incarnation)
    link.write_now([frames.Proof(prove(me.key, 'connect', *mine))])
    link.remote = Remote(
        answer.node,
        answer.role,
        answer.incarnation,
        answer.revision,
    )


def accept_link(
    stream: socket.socket,
    me: Identity,
    metrics: Metrics,
) -> Link:
    """Accept a connection from another node.

    :returns: a link whose both ends proved the key; not yet started.
    :raises LinkError: with a counted reason.
    """
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    link = Link(stream, ServerProtocol(max_size=MAX_MESSAGE_BYTES), metrics)
    try:
        with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
            upgrade(link)
            challenge(link, me)
    except gevent.Timeout as error:
        raise failed(link, 'timeout', '') from error
    except (OSError, WebSocketException, FrameError) as error:
        raise failed(link, 'handshake', str(error)) from error
    except LinkError:
        link.close()
        raise
    return link


def upgrade(link: Link) -> None:
    """Do the accepting end of the websocket handshake.

    :raises LinkError: if the request is no websocket upgrade.
    """
    protocol = link.protocol
    while protocol.state.name == 'CONNECTING':
        received = link.stream.recv(READ_BYTES)
        if not received:
            raise LinkError('handshake', 'closed')
        protocol.receive_data(received)
        for event in protocol.events_received():
            if isinstance(event, Request) and isinstance(
                protocol,
                ServerProtocol,
            ):
                protocol.send_response(protocol.accept(event))
        link.flush()
        if protocol.handshake_exc is not None:
            raise LinkError('handshake', str(protocol.handshake_exc))


def challenge(link: Link, me: Identity) -> None:
    """Do the accepting end of the key handshake.

    :raises LinkError: on another version or a wrong key.
    """
    hello = link.expect(frames.Hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    mine = (hello.nonce, nonce, me.node, me.incarnation)
    answer = frames.Challenge(
        frames.PROTOCOL_VERSION,
        me.node,
        me.role,
        me.incarnation,
        me.revision(),
        nonce,
        prove(me.key, 'accept', *mine),
    )
    link.write_now([answer])
    if hello.version != frames.PROTOCOL_VERSION:
        raise LinkError('version', str(hello.version))
    said = (hello.nonce, nonce, hello.node, hello.incarnation)
    proof = link.expect(frames.Proof).proof
    if not hmac.compare_digest(prove(me.key, 'connect', *said), proof):
        raise LinkError('key', hello.node)
    link.remote = Remote(
        hello.node,
        hello.role,
        hello.incarnation,
        hello.revision,
    )


class Listener:
    """Accept links on one address."""

    __slots__ = ('me', 'metrics', 'on_link', 'server')

    def __init__(
        self,
        address: str,
        me: Identity,
        metrics: Metrics,
        on_link: Callable[[Link], None],
    ) -> None:
        """Prepare to listen.

        :param on_link: called with each proven link; must start it.
        """
        self.me = me
        self.metrics = metrics
        self.on_link = on_link
        self.server = StreamServer(split_address(address), self.accept)

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def close(self) -> None:
        """Stop listening; open links stay."""
        self.server.close()

    def accept(self, stream: socket.socket, _address: object) -> None:
        """Accept one connection and keep its greenlet until it closes."""
        try:
            link = accept_link(stream, self.me, self.metrics)
        except LinkError as error:
            self.metrics.count('links_refused', reason=error.reason)
            return
        self.on_link(link)
        gevent.joinall(link.greenlets)
