"""Serve the operators' address: health, readiness, metrics, status."""

import json
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from gevent.pywsgi import WSGIServer

from comfreyarch_daemon.listening import open_listener
from comfreyarch_daemon.node import Node

StartResponse = Callable[[str, list[tuple[str, str]]], object]
JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; version=0.0.4'
OK = '200 OK'


class Operated(Protocol):
    """Be what the operators' address asks of a role."""

    def ready(self) -> bool:
        """Tell whether new work is taken."""

    def status(self) -> dict[str, Any]:
        """Give the role's state."""

    def report(self) -> dict[str, Any]:
        """Give the role's part of the service-level report."""


class OperatorsServer:
    """Answer operators over HTTP, apart from the callers."""

    __slots__ = ('node', 'pages', 'role', 'server')

    def __init__(self, node: Node, role: Operated) -> None:
        """Prepare to listen on the settings' operators' address."""
        self.node = node
        self.role = role
        self.pages: dict[str, Callable[[], tuple[str, str, bytes]]] = {
            '/health': self.health,
            '/ready': self.ready,
            '/metrics': self.metrics,
            '/status': self.status,
            '/report': self.report,
            '/poll': self.poll,
        }
        self.server = WSGIServer(
            open_listener(node.settings.operators),
            self.application,
            log=None,
        )

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    def application(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        page = self.pages.get(str(environ.get('PATH_INFO')))
        status, content_type, body = (
            ('404 Not Found', 'text/plain', b'no such page\n')
            if page is None
            else page()
        )
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    def health(self) -> tuple[str, str, bytes]:
        """Tell that the process lives.

        :returns: status, content type and body, as all pages do.
        """
        return OK, JSON_TYPE, b'{"alive": true}\n'

    def ready(self) -> tuple[str, str, bytes]:
        """Tell whether new work is taken."""
        if self.role.ready():
            return OK, JSON_TYPE, b'{"ready": true}\n'
        return '503 Service Unavailable', JSON_TYPE, b'{"ready": false}\n'

    def metrics(self) -> tuple[str, str, bytes]:
        """Write the metrics as Prometheus text."""
        self.node.metrics.gauge('link_bytes', self.node.link_bytes())
        self.node.metrics.gauge('links', len(self.node.links))
        return OK, TEXT_TYPE, self.node.metrics.text()

    def status(self) -> tuple[str, str, bytes]:
        """Tell node and role state."""
        node = self.node
        page = {
            'node': node.me.node,
            'role': node.me.role,
            'incarnation': node.me.incarnation,
            'availability_zone': node.settings.availability_zone,
            'revision': node.configuration.revision(),
            'store_up': node.store_up,
            'links': sorted(node.links),
            'ready': self.role.ready(),
            **self.role.status(),
        }
        return OK, JSON_TYPE, json.dumps(page).encode()

    def report(self) -> tuple[str, str, bytes]:
        """Give this node's part of the report."""
        return OK, JSON_TYPE, json.dumps(self.role.report()).encode()

    def poll(self) -> tuple[str, str, bytes]:
        """Read the configuration head now; sent after a publish."""
        self.node.poll()
        revision = self.node.configuration.revision()
        return OK, JSON_TYPE, json.dumps({'revision': revision}).encode()
