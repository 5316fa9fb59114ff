"""Open and accept links: the websocket's handshake and the fleet key's.

Both ends prove that they know the key over both nonces.
"""

import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.http11 import Request
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from comfreyarch_core import frames
from comfreyarch_core.frames import FrameError
from comfreyarch_daemon.codec import MAX_MESSAGE_BYTES
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import split_address
from comfreyarch_daemon.wire import READ_BYTES, Link, LinkError, Remote

HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Identity:
    """Say who a node is; ``revision`` is read when a link opens."""

    node: str
    role: str
    incarnation: str
    key: bytes
    revision: Callable[[], int]


def prove(key: bytes, side: str, *parts: object) -> bytes:
    """Prove knowledge of the fleet key over both ends' statements.

    :returns: an HMAC.
    """
    text = '\n'.join([side, *(repr(part) for part in parts)])
    return hmac.digest(key, text.encode(), 'sha256')


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
