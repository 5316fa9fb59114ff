"""Parse callers' HTTP strictly and detect callers that disconnect."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler

from comfreyarch_core.routetable import CallerLimits

FORBIDDEN_IN_VALUES = frozenset('\r\n\0')
# Key of the connection's handler in the WSGI environment.
HANDLER_KEY = 'comfreyarch.handler'
# Flag of the event loop for a socket that has become readable.
READ_EVENT = 1
# A connection is aborted if its caller accepts no bytes of the answer, or
# sends no bytes of the body, for this long.
TRANSFER_TIMEOUT_S = 5.0
# Characters that HTTP allows in a header name.
TOKEN_CHARACTERS = frozenset(
    "!#$%&'*+-.^_`|~0123456789"
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ',
)


class CallerDisconnected(Exception):
    """Report that the caller closed its connection."""


class CallerHandler(WSGIHandler):  # type: ignore[misc]
    """Serve the requests of one caller connection."""

    def log_request(self) -> None:
        """Skip the access log; the entry writes its own events."""

    def log_error(self, msg: str, *args: object) -> None:
        """Count bad input instead of logging what callers sent."""
        self.server.application.count_bad_input()

    @property
    def limits(self) -> CallerLimits:
        """Return the caller limits currently in force."""
        limits: CallerLimits = self.server.application.limits
        return limits

    def read_requestline(self) -> str:
        """Read a request line, waiting no longer than the idle timeout.

        :returns: the request line, empty if none arrived.
        """
        self.server.application.idle(self.socket, idle=True)
        self.socket.settimeout(self.limits.idle_timeout_s)
        try:
            line: str = super().read_requestline()
        finally:
            self.server.application.idle(self.socket, idle=False)
        self.socket.settimeout(self.limits.header_timeout_s)
        return line

    def MessageClass(self, *args: object) -> Any:
        """Parse the headers and reject those that parsers may read differently.

        :raises ValueError: if the headers are malformed or ambiguous.
        """
        message = super().MessageClass(*args)
        check_headers(list(message.items()))
        if message.defects:
            raise ValueError(f'malformed headers: {message.defects}')
        return message

    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        """Add the handler itself to the WSGI environment.

        The headers are complete then, so the transfer timeout applies.

        :returns: the WSGI environment.
        """
        environ: dict[str, Any] = super().get_environ()
        environ[HANDLER_KEY] = self
        self.socket.settimeout(TRANSFER_TIMEOUT_S)
        return environ

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Abort the connection and report only unexpected errors."""
        self.close_connection = True
        if isinstance(error, CallerDisconnected | OSError):
            return
        super().handle_error(kind, error, trace)


def check_headers(headers: list[tuple[str, str]]) -> None:
    """Reject headers that allow request smuggling.

    :raises ValueError: if a header is malformed or the body length ambiguous.
    """
    for name, text in headers:
        if not name or not TOKEN_CHARACTERS.issuperset(name):
            raise ValueError(f'header name {name!r} is not a valid token')
        if FORBIDDEN_IN_VALUES.intersection(text):
            raise ValueError(
                f'value of header {name!r} contains a line break or NUL;'
                f' send it on one line',
            )
    check_framing(headers)


def check_framing(headers: list[tuple[str, str]]) -> None:
    """Reject framing that parsers may interpret differently.

    :raises ValueError: if the body length is ambiguous or malformed.
    """
    lengths = header_values(headers, 'content-length')
    encodings = header_values(headers, 'transfer-encoding')
    if len(lengths) + len(encodings) > 1:
        raise ValueError(
            'body length is specified more than once; send one'
            ' Content-Length or Transfer-Encoding',
        )
    if encodings and encodings != ['chunked']:
        raise ValueError(
            f'unsupported transfer encoding {encodings[0]!r}; use chunked',
        )
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise ValueError(f'content length {lengths[0]!r} is not a number')


def header_values(headers: list[tuple[str, str]], wanted: str) -> list[str]:
    """Return all values of a header.

    :param wanted: name of the header in lower case.
    :returns: the values in lower case.
    """
    return [
        text.strip().lower() for name, text in headers if name.lower() == wanted
    ]


class DisconnectWatcher:
    """Raise ``CallerDisconnected`` in a greenlet when its caller disconnects.

    :param on_disconnect: called before the exception is raised.
    """

    __slots__ = ('greenlet', 'on_disconnect', 'sock', 'watcher')

    def __init__(
        self,
        sock: socket.socket,
        on_disconnect: Callable[[], None],
    ) -> None:
        """Prepare to watch on behalf of the current greenlet."""
        self.sock = sock
        self.on_disconnect = on_disconnect
        self.greenlet = gevent.getcurrent()
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)

    def start(self) -> None:
        """Start watching."""
        self.watcher.start(self.handle_readable)

    def close(self) -> None:
        """Stop watching."""
        self.watcher.stop()
        self.watcher.close()

    def handle_readable(self) -> None:
        """Raise the exception if the connection is closed.

        Received bytes belong to a pipelined request; watching then stops.
        """
        self.watcher.stop()
        try:
            peeked = self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self.watcher.start(self.handle_readable)
            return
        except OSError:
            peeked = b''
        if peeked:
            return
        self.on_disconnect()
        gevent.kill(
            self.greenlet,
            CallerDisconnected('the caller closed the connection'),
        )


def end_connection(sock: Any) -> None:
    """End a connection at once, also while a greenlet reads from it.

    ``close`` waits for the reader's file object, which may be until the process
    exits.
    """
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller has closed the connection.
        return
