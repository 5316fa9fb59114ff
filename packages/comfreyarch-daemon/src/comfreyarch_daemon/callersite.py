"""Read callers' HTTP strictly and notice callers that go away."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler

from comfreyarch_core.routetable import CallerLimits

NO_TEXT = frozenset('\r\n\0')
HANDLER_KEY = 'comfreyarch.handler'
READABLE = 1
# A caller that takes no bytes for this long is given up.
WRITE_TIMEOUT_S = 5.0
TOKEN = frozenset(
    "!#$%&'*+-.^_`|~0123456789"
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ',
)


class CallerGone(Exception):
    """Tell that the caller closed its connection."""


class CallerHandler(WSGIHandler):  # type: ignore[misc]
    """Serve one connection of a caller."""

    def log_request(self) -> None:
        """Log nothing; the entry writes its own lines."""

    def log_error(self, msg: str, *args: object) -> None:
        """Count bad input instead of logging what callers sent."""
        self.server.application.count_bad_input()

    @property
    def limits(self) -> CallerLimits:
        """Give the limits in force."""
        limits: CallerLimits = self.server.application.limits
        return limits

    def read_requestline(self) -> str:
        """Wait for a request, as long as a caller may stay idle.

        :returns: the request line, empty where none came.
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
        """Read the headers and refuse what two readers might read apart.

        :raises ValueError: for such headers.
        """
        message = super().MessageClass(*args)
        check_headers(list(message.items()))
        if message.defects:
            raise ValueError('malformed headers')
        return message

    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        """Give the application the handler itself.

        :returns: the WSGI environment.
        """
        environ: dict[str, Any] = super().get_environ()
        environ[HANDLER_KEY] = self
        self.socket.settimeout(WRITE_TIMEOUT_S)
        return environ

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Abort the connection; only unexpected errors are reported."""
        self.close_connection = True
        if isinstance(error, CallerGone | OSError):
            return
        super().handle_error(kind, error, trace)


def check_headers(headers: list[tuple[str, str]]) -> None:
    """Refuse headers that allow request smuggling.

    :raises ValueError: naming the fault.
    """
    for name, text in headers:
        if not name or not TOKEN.issuperset(name):
            raise ValueError('a header name is no token')
        if NO_TEXT.intersection(text):
            raise ValueError('a header is folded')
    check_framing(headers)


def check_framing(headers: list[tuple[str, str]]) -> None:
    """Refuse a body whose end two readers may see at different places.

    :raises ValueError: naming the fault.
    """
    lengths = values_of(headers, 'content-length')
    encodings = values_of(headers, 'transfer-encoding')
    if len(lengths) + len(encodings) > 1:
        raise ValueError('the length of the body is told twice')
    if encodings and encodings != ['chunked']:
        raise ValueError('the transfer coding is not known')
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise ValueError('the content length is no number')


def values_of(headers: list[tuple[str, str]], wanted: str) -> list[str]:
    """Collect the values of one header.

    :param wanted: its name in lower case.
    :returns: the values in lower case.
    """
    return [
        text.strip().lower() for name, text in headers if name.lower() == wanted
    ]


class CallerWatch:
    """Raise ``CallerGone`` in a greenlet once the caller's end is closed."""

    __slots__ = ('greenlet', 'on_gone', 'sock', 'watcher')

    def __init__(
        self,
        sock: socket.socket,
        on_gone: Callable[[], None],
    ) -> None:
        """Watch for the present greenlet."""
        self.sock = sock
        self.on_gone = on_gone
        self.greenlet = gevent.getcurrent()
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)

    def start(self) -> None:
        """Start watching."""
        self.watcher.start(self.readable)

    def close(self) -> None:
        """Stop watching."""
        self.watcher.stop()
        self.watcher.close()

    def readable(self) -> None:
        """Tell the end of the connection from bytes of a next request."""
        self.watcher.stop()
        try:
            peeked = self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self.watcher.start(self.readable)
            return
        except OSError:
            peeked = b''
        if peeked:
            return
        self.on_gone()
        gevent.kill(self.greenlet, CallerGone('the caller left'))
