"""Accept links on one address."""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer

from comfreyarch_daemon.handshake import Identity, accept_link
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import split_address
from comfreyarch_daemon.wire import Link, LinkError


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
