"""HTTP client for the upstream.

It distinguishes calls that certainly did not reach the upstream from calls
whose outcome is unknown.
"""

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from comfreyarch_core import frames

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 120.0
MAX_POOLED_CONNECTIONS = 64
# End of a server-sent event.
EVENT_END = b'\n\n'
# Headers that determine where a body ends.
FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
# Status codes of answers without a body.
BODILESS_STATUSES = frozenset((204, 304))
# Headers that concern only the upstream's connection or server; not relayed.
DROPPED_HEADERS = frozenset(
    (
        'connection',
        'transfer-encoding',
        'content-length',
        'keep-alive',
        'date',
        'server',
    )
)


class CallNotSent(Exception):
    """Raised when a call certainly did not reach the upstream."""


class CallLost(Exception):
    """Raised when the connection broke before the answer was complete."""


class ResendRefused(Exception):
    """Raised when the HTTP library tries to send a call again."""


class OneShotPool(ConnectionPool):  # type: ignore[misc]
    """Connection pool that opens one connection only.

    The HTTP library resends GET, PUT and DELETE if a connection closes
    without an answer. A call that must not run twice uses this pool, which
    refuses a second connection.
    """

    def get_socket(self) -> socket.socket:
        """Open the only connection.

        :raises ResendRefused: on any further use.
        """
        if getattr(self, 'used', False):
            raise ResendRefused(
                'call with an idempotency key not sent again: '
                'its outcome is unknown, check it by its key'
            )
        self.used = True
        return super().get_socket()


@dataclass(slots=True)
class UpstreamClient:
    """Client of one upstream.

    :param url: base URL of the upstream.
    :param pool: pooled connections for calls that may be repeated.
    """

    url: str
    pool: HTTPClient
    opened: list[HTTPSocketPoolResponse] = field(default_factory=list)

    def open(self, call: frames.Call) -> HTTPSocketPoolResponse:
        """Send a call and wait for the head of its answer.

        A call with an idempotency key is sent at most once.

        :returns: the response, its body not yet read.
        :raises CallNotSent: if the connection could not be opened.
        :raises CallLost: if the connection broke after that.
        """
        client = self.make_one_shot_client() if call.key else self.pool
        headers = {
            name: text
            for name, text in call.headers.items()
            if name.lower() not in {'expect', 'connection'}
        }
        try:
            return client.request(call.method, call.path, call.body, headers)
        except (ConnectionRefusedError, socket.gaierror) as error:
            raise CallNotSent(str(error)) from error
        except (OSError, HTTPParseError, ResendRefused) as error:
            raise CallLost(repr(error)) from error

    def read_body(
        self, call: frames.Call, response: HTTPSocketPoolResponse
    ) -> Iterator[bytes]:
        """Yield the body of an answer: its events if it is a stream.

        :raises CallLost: if the body is cut off.
        """
        if call.stream:
            yield from read_events(call, response)
        else:
            yield read_whole(response)
        if ends_by_close(call, response) and not self.accepts_connections():
            raise CallLost('the upstream ended with its answer')

    def accepts_connections(self) -> bool:
        """Check whether the upstream is alive.

        :returns: False only if it refuses connections.
        """
        address = (self.pool.host, self.pool.port)
        try:
            socket.create_connection(address, CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            # It is unknown whether the upstream is alive.
            return True
        return True

    def make_one_shot_client(self) -> HTTPClient:
        """Create a client that can send one call only.

        :returns: a client with its own connection.
        """
        client = make_http_client(self.url)
        client._connection_pool.close()  # noqa: SLF001
        client._connection_pool = OneShotPool(  # noqa: SLF001
            client.host,
            client.port,
            client.host,
            client.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=READ_TIMEOUT_S,
        )
        return client

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()


def read_events(
    call: frames.Call, response: HTTPSocketPoolResponse
) -> Iterator[bytes]:
    """Yield the complete events of a streamed body.

    A body with a length that holds no event is no event stream, and is yielded
    as it is. A resumed stream may have no event left.

    :raises CallLost: if the stream is cut off.
    """
    has_events = False
    while True:
        try:
            event = bytes(response.readline(EVENT_END))
        except (OSError, HTTPParseError) as error:
            raise CallLost(repr(error)) from error
        if not event.endswith(EVENT_END):
            break
        has_events = True
        yield event
    remainder = event + read_whole(response)
    may_end = has_events or call.resume_from > 0
    if remainder and may_end:
        raise CallLost('the stream ended within an event')
    if not may_end and ends_by_close(call, response):
        raise CallLost('the stream ended before its first event')
    if remainder:
        yield remainder


def ends_by_close(call: frames.Call, response: HTTPSocketPoolResponse) -> bool:
    """Check whether only the end of the connection shows the end of a body.

    :returns: False if the head determines it.
    """
    is_bodiless = response.status_code in BODILESS_STATUSES
    if call.method == 'HEAD' or is_bodiless:
        return False
    return not any(
        str(name).lower() in FRAMING_HEADERS for name, _ in response.items()
    )


def read_whole(response: HTTPSocketPoolResponse) -> bytes:
    """Read a body to its end.

    :raises CallLost: if the body is cut off.
    """
    try:
        body = bytes(response.read())
    except (OSError, HTTPParseError) as error:
        raise CallLost(repr(error)) from error
    check_complete(response)
    return body


def check_complete(response: HTTPSocketPoolResponse) -> None:
    """Check that a body was received completely.

    :raises CallLost: if the body was cut off.
    """
    if not response.message_complete:
        raise CallLost('answer cut off')


def read_head(response: HTTPSocketPoolResponse) -> tuple[int, dict[str, str]]:
    """Return the status and the headers to relay.

    :returns: status and headers, without ``DROPPED_HEADERS``.
    """
    headers = {
        str(name): str(text)
        for name, text in response.items()
        if str(name).lower() not in DROPPED_HEADERS
    }
    return int(response.status_code), headers


def close_response(response: HTTPSocketPoolResponse | None) -> None:
    """Release a response's connection.

    Its socket is closed, so that the upstream cancels an answer that was not
    read to its end.
    """
    if response is None:
        return
    raw_socket = getattr(response, '_sock', None)
    with suppress(OSError):
        if raw_socket is not None:
            raw_socket.close()
    response.release()


def make_http_client(url: str) -> HTTPClient:
    """Create a pooled HTTP client.

    :returns: a client that connects on first use.
    """
    return HTTPClient.from_url(
        url,
        concurrency=MAX_POOLED_CONNECTIONS,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=READ_TIMEOUT_S,
    )


def make_upstream_client(url: str) -> UpstreamClient:
    """Create the client of an upstream.

    :returns: a client that connects on first use.
    """
    return UpstreamClient(url, make_http_client(url))
