"""Call the upstream over HTTP, and tell a refused call from a lost one."""

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from comfreyarch_core import frames

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 120.0
POOL_SIZE = 64
EVENT_END = b'\n\n'
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


class NotTaken(Exception):
    """Report a call that certainly did not reach the upstream."""


class CallLost(Exception):
    """Report a call whose upstream broke before the answer was whole."""


class SecondSend(Exception):
    """Report that the library wanted to send a call again."""


class OneShotPool(ConnectionPool):  # type: ignore[misc]
    """Give out one connection only, so that no call is sent again.

    The HTTP library sends GET, PUT and DELETE again on a connection that
    closed without an answer. A call that may not run twice goes through
    this pool, whose second connection is refused.
    """

    def get_socket(self) -> socket.socket:
        """Open the only connection.

        :raises SecondSend: at any further use.
        """
        if getattr(self, 'used', False):
            raise SecondSend('call not sent again; its outcome is unknown')
        self.used = True
        return super().get_socket()


@dataclass(slots=True)
class UpstreamCaller:
    """Make calls to one upstream.

    :param url: its base URL.
    :param pool: connections for calls that may be repeated.
    """

    url: str
    pool: HTTPClient
    opened: list[HTTPSocketPoolResponse] = field(default_factory=list)

    def open(self, call: frames.Call) -> HTTPSocketPoolResponse:
        """Send a call and wait for its head.

        :returns: the response, its body not yet read.
        :raises NotTaken: if the connection could not be opened.
        :raises CallLost: if it broke after that.
        """
        client = self.one_shot() if call.key else self.pool
        headers = {
            name: text
            for name, text in call.headers.items()
            if name.lower() not in {'expect', 'connection'}
        }
        try:
            return client.request(call.method, call.path, call.body, headers)
        except (ConnectionRefusedError, socket.gaierror) as error:
            raise NotTaken(str(error)) from error
        except (OSError, HTTPParseError, SecondSend) as error:
            raise CallLost(repr(error)) from error

    def one_shot(self) -> HTTPClient:
        """Make a client that can send once only.

        :returns: a client of its own connection.
        """
        client = make_http(self.url)
        client._connection_pool.close()  # noqa: SLF001
        client._connection_pool = OneShotPool(  # noqa: SLF001
            client.host,
            client.port,
            client.host,
            client.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=IDLE_TIMEOUT_S,
        )
        return client

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()


def read_events(response: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Yield a streamed body by whole events.

    :raises CallLost: if the stream ends before its end.
    """
    while True:
        try:
            event = bytes(response.readline(EVENT_END))
        except (OSError, HTTPParseError) as error:
            raise CallLost(repr(error)) from error
        if not event:
            break
        yield event
    rest = read_whole(response)
    if rest:
        yield rest


def read_whole(response: HTTPSocketPoolResponse) -> bytes:
    """Read a body to its end.

    :raises CallLost: if it is cut off.
    """
    try:
        body = bytes(response.read())
    except (OSError, HTTPParseError) as error:
        raise CallLost(repr(error)) from error
    check_whole(response)
    return body


def check_whole(response: HTTPSocketPoolResponse) -> None:
    """Check that a body was read to its end.

    :raises CallLost: if it was cut off.
    """
    if not response.message_complete:
        raise CallLost('answer cut off')


def head_of(response: HTTPSocketPoolResponse) -> tuple[int, dict[str, str]]:
    """Give status and the headers to pass on.

    :returns: both.
    """
    headers = {
        str(name): str(text)
        for name, text in response.items()
        if str(name).lower() not in DROPPED_HEADERS
    }
    return int(response.status_code), headers


def release(response: HTTPSocketPoolResponse | None) -> None:
    """Close a response that is not read to its end, cancelling its work."""
    if response is None:
        return
    raw = getattr(response, '_sock', None)
    with suppress(OSError):
        if raw is not None:
            raw.close()
    response.release()


def make_http(url: str) -> HTTPClient:
    """Make a pooled HTTP client.

    :returns: a client that connects on first use.
    """
    return HTTPClient.from_url(
        url,
        concurrency=POOL_SIZE,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=IDLE_TIMEOUT_S,
    )


def make_caller(url: str) -> UpstreamCaller:
    """Make the caller of an upstream.

    :returns: a caller that connects on first use.
    """
    return UpstreamCaller(url, make_http(url))
