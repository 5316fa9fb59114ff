"""Open and accept links: websocket upgrade and mutual authentication.

Each node proves that it knows the fleet key with an HMAC over both nonces.
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
from comfreyarch_daemon.linktransport import (
    READ_BYTES,
    Link,
    LinkError,
    RemoteNode,
)
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import split_address

HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Identity:
    """Identify a node to its peers and hold the fleet key.

    ``revision`` returns the node's configuration revision; it is called at
    each handshake.
    """

    node: str
    role: str
    incarnation: str
    key: bytes
    revision: Callable[[], int]


def compute_proof(key: bytes, side: str, *parts: object) -> bytes:
    """Compute the proof that a node knows the fleet key.

    :param side: ``connect`` or ``accept``; prevents a proof of one side
        from being replayed as that of the other.
    :param parts: both nonces and the identity of the proving node.
    :returns: an HMAC-SHA256.
    """
    text = '\n'.join([side, *(repr(part) for part in parts)])
    return hmac.digest(key, text.encode(), 'sha256')


def open_link(address: str, identity: Identity, metrics: Metrics) -> Link:
    """Connect to another node.

    :param address: ``host:port``.
    :returns: a mutually authenticated link that is not yet started.
    :raises LinkError: with the reason for the metrics.
    """
    link = None
    try:
        with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
            link = connect(address, metrics)
            authenticate_outbound(link, identity)
    except gevent.Timeout as error:
        raise close_failed_link(link, 'timeout', address) from error
    except (OSError, WebSocketException, FrameError) as error:
        raise close_failed_link(
            link,
            'unreachable',
            f'cannot connect to {address}: {error}',
        ) from error
    except LinkError:
        if link is not None:
            link.close()
        raise
    return link


def close_failed_link(link: Link | None, reason: str, detail: str) -> LinkError:
    """Close a link, if one was opened, and build the error.

    :returns: the error to raise.
    """
    if link is not None:
        link.close()
    return LinkError(reason, detail)


def connect(address: str, metrics: Metrics) -> Link:
    """Open a TCP connection and upgrade it to a websocket.

    :returns: an open link that is not yet authenticated.
    :raises LinkError: if the websocket upgrade fails.
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


def authenticate_outbound(link: Link, identity: Identity) -> None:
    """Run the connecting side of the fleet key handshake.

    :raises LinkError: if the protocol version or the key differs.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    revision = identity.revision()
    hello = frames.Hello(
        frames.PROTOCOL_VERSION,
        identity.node,
        identity.role,
        identity.incarnation,
        revision,
        nonce,
    )
    link.write_now([hello])
    answer = link.expect(frames.Challenge)
    if answer.version != frames.PROTOCOL_VERSION:
        raise LinkError('version', str(answer.version))
    remote_statement = (nonce, answer.nonce, answer.node, answer.incarnation)
    if not hmac.compare_digest(
        compute_proof(identity.key, 'accept', *remote_statement), answer.proof
    ):
        raise LinkError('key', answer.node)
    local_statement = (nonce, answer.nonce, identity.node, identity.incarnation)
    link.write_now(
        [frames.Proof(compute_proof(identity.key, 'connect', *local_statement))]
    )
    link.remote = RemoteNode(
        answer.node,
        answer.role,
        answer.incarnation,
        answer.revision,
    )


def accept_link(
    stream: socket.socket,
    identity: Identity,
    metrics: Metrics,
) -> Link:
    """Accept a connection from another node.

    :returns: a mutually authenticated link that is not yet started.
    :raises LinkError: with the reason for the metrics.
    """
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    link = Link(stream, ServerProtocol(max_size=MAX_MESSAGE_BYTES), metrics)
    try:
        with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
            accept_upgrade(link)
            authenticate_inbound(link, identity)
    except gevent.Timeout as error:
        raise close_failed_link(
            link,
            'timeout',
            f'inbound handshake not completed within {HANDSHAKE_TIMEOUT_S} s',
        ) from error
    except (OSError, WebSocketException, FrameError) as error:
        raise close_failed_link(link, 'handshake', str(error)) from error
    except LinkError:
        link.close()
        raise
    return link


def accept_upgrade(link: Link) -> None:
    """Accept the websocket upgrade of an inbound connection.

    :raises LinkError: if the request is not a valid websocket upgrade.
    """
    protocol = link.protocol
    while protocol.state.name == 'CONNECTING':
        received = link.stream.recv(READ_BYTES)
        if not received:
            raise LinkError(
                'handshake',
                'connection closed before the websocket upgrade; '
                'check the address and the logs of the connecting node',
            )
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


def authenticate_inbound(link: Link, identity: Identity) -> None:
    """Run the accepting side of the fleet key handshake.

    :raises LinkError: if the protocol version or the key differs.
    """
    hello = link.expect(frames.Hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    local_statement = (hello.nonce, nonce, identity.node, identity.incarnation)
    answer = frames.Challenge(
        frames.PROTOCOL_VERSION,
        identity.node,
        identity.role,
        identity.incarnation,
        identity.revision(),
        nonce,
        compute_proof(identity.key, 'accept', *local_statement),
    )
    link.write_now([answer])
    if hello.version != frames.PROTOCOL_VERSION:
        raise LinkError('version', str(hello.version))
    remote_statement = (hello.nonce, nonce, hello.node, hello.incarnation)
    proof = link.expect(frames.Proof).proof
    if not hmac.compare_digest(
        compute_proof(identity.key, 'connect', *remote_statement), proof
    ):
        raise LinkError('key', hello.node)
    link.remote = RemoteNode(
        hello.node,
        hello.role,
        hello.incarnation,
        hello.revision,
    )
