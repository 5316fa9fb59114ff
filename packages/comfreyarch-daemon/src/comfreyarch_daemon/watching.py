"""Watch the upstream: is it up, and is it still the same process."""

import json
from collections.abc import Callable

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyarch_daemon.logs import log_change

HEALTH_PATH = '/health'
TIMEOUT_S = 1.0


class UpstreamWatch:
    """Ask the upstream's health page and notice a new life.

    :param on_change: called when up or down changes.
    """

    __slots__ = ('life', 'on_change', 'up', 'url')

    def __init__(self, url: str, on_change: Callable[[], None]) -> None:
        """Start as down, until the first look."""
        self.url = url
        self.on_change = on_change
        self.up = False
        self.life = ''

    def look(self) -> bool:
        """Look now.

        :returns: True if the life last seen is over.
        """
        former = self.life
        was_up = self.up
        self.up, life = self.ask()
        self.life = life or former
        if self.up != was_up:
            log_change('upstream', up=self.up)
            self.on_change()
        return not self.up or bool(former and self.life != former)

    def ask(self) -> tuple[bool, str]:
        """Ask the health page over a connection of its own.

        :returns: whether it answered, and the life that it tells.
        """
        http = HTTPClient.from_url(
            self.url,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )
        try:
            response = http.get(HEALTH_PATH)
            content = bytes(response.read())
        except (OSError, socket.timeout, HTTPParseError):
            return False, ''
        finally:
            http.close()
        try:
            return True, str(json.loads(content).get('incarnation', ''))
        except (ValueError, AttributeError):
            return True, ''
