"""Open listening sockets and handle HTTP requests without an access log."""

from gevent import socket
from gevent.pywsgi import WSGIHandler

from comfreyarch_daemon.settings import split_address

BACKLOG = 1024


class NoAccessLogHandler(WSGIHandler):  # type: ignore[misc]
    """Handle HTTP requests without an access log.

    Formatting the log lines costs time even if no log is attached.
    """

    def log_request(self) -> None:
        """Log nothing; the metrics count the requests."""


def open_listener(address: str) -> socket.socket:
    """Open a listening socket that disables Nagle's algorithm.

    Accepted connections inherit ``TCP_NODELAY``. Without it, a response of
    two small writes waits 40 ms for the delayed ACK of the client.

    :param address: ``host:port``.
    :returns: a non-blocking listening socket.
    :raises OSError: if the address is already in use.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        listener.bind(split_address(address))
    except OSError:
        listener.close()
        raise
    listener.listen(BACKLOG)
    listener.setblocking(0)
    return listener
