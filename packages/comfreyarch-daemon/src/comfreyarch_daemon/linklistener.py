"""Listen for links from other nodes."""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer

from comfreyarch_daemon.handshake import Identity, accept_link
from comfreyarch_daemon.linktransport import Link, LinkError
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import split_address


class LinkListener:
    """Accept links on one address."""

    __slots__ = ('identity', 'metrics', 'on_link', 'server')

    def __init__(
        self,
        address: str,
        identity: Identity,
        metrics: Metrics,
        on_link: Callable[[Link], None],
    ) -> None:
        """Prepare to listen.

        :param on_link: called with each authenticated link; must start it.
        """
        self.identity = identity
        self.metrics = metrics
        self.on_link = on_link
        self.server = StreamServer(split_address(address), self.accept)

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def close(self) -> None:
        """Stop listening; open links stay open."""
        self.server.close()

    def accept(self, stream: socket.socket, _address: object) -> None:
        """Accept one connection and wait until its link closes.

        The server closes the socket as soon as this method returns.
        A failed handshake is counted in the metric ``links_refused``.
        """
        try:
            link = accept_link(stream, self.identity, self.metrics)
        except LinkError as error:
            self.metrics.count('links_refused', reason=error.reason)
            return
        self.on_link(link)
        gevent.joinall(link.greenlets)
