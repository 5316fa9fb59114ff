"""Open listening sockets whose connections send small writes at once."""

from gevent import socket
from gevent.pywsgi import WSGIHandler

from comfreyarch_daemon.settings import split_address

BACKLOG = 1024


class QuietHandler(WSGIHandler):  # type: ignore[misc]
    """Serve HTTP without an access log, which is costly even when unused."""

    def log_request(self) -> None:
        """Log nothing; counters tell what was served."""


def open_listener(address: str) -> socket.socket:
    """Listen on an address.

    Accepted connections inherit ``TCP_NODELAY``; without it an answer of
    two small writes waits 40 ms for the other end's delayed ACK.

    :param address: ``host:port``.
    :returns: a listening socket.
    :raises OSError: if the address is taken.
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
