"""Health check of the upstream, which also detects its restarts."""

from collections.abc import Callable

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyarch_daemon.jsondecoding import decode_json
from comfreyarch_daemon.logs import log_change

HEALTH_PATH = '/health'
HEALTH_TIMEOUT_S = 1.0


class UpstreamHealth:
    """Track whether the upstream is up and which process it is.

    :param on_change: invoked when ``up`` changes.
    :param incarnation: the upstream's last known process, empty before the
        first answer.
    """

    __slots__ = ('incarnation', 'on_change', 'up', 'url')

    def __init__(self, url: str, on_change: Callable[[], None]) -> None:
        """Consider the upstream down until the first check."""
        self.url = url
        self.on_change = on_change
        self.up = False
        self.incarnation = ''

    def check(self) -> bool:
        """Check the upstream's health now.

        :returns: True if the upstream is down or is another process than at the
            last check.
        """
        previous = self.incarnation
        was_up = self.up
        self.up, incarnation = self.fetch_health()
        self.incarnation = incarnation or previous
        if self.up != was_up:
            log_change('upstream', up=self.up)
            self.on_change()
        return not self.up or bool(previous and self.incarnation != previous)

    def fetch_health(self) -> tuple[bool, str]:
        """Fetch the health page over a new connection.

        :returns: whether it answered, and the incarnation it reports, empty
            if none.
        """
        client = HTTPClient.from_url(
            self.url,
            connection_timeout=HEALTH_TIMEOUT_S,
            network_timeout=HEALTH_TIMEOUT_S,
        )
        try:
            response = client.get(HEALTH_PATH)
            content = bytes(response.read())
        except (OSError, socket.timeout, HTTPParseError):
            return False, ''
        finally:
            client.close()
        try:
            return True, str(decode_json(content).get('incarnation', ''))
        except (ValueError, AttributeError):
            return True, ''
