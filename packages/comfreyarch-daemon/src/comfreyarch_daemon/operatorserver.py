"""Serve the operators' pages: health, readiness, metrics, status, report."""

import json
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from gevent.pywsgi import WSGIServer

from comfreyarch_daemon.httplistener import open_listener
from comfreyarch_daemon.node import Node

StartResponse = Callable[[str, list[tuple[str, str]]], object]
JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; version=0.0.4'
OK = '200 OK'


class ReportingRole(Protocol):
    """Define what the operators' pages require of a node's role."""

    def ready(self) -> bool:
        """Return whether the node accepts new requests."""

    def status(self) -> dict[str, Any]:
        """Return the state of the role as JSON values."""

    def report(self) -> dict[str, Any]:
        """Return the role's part of the service-level report."""


class OperatorServer:
    """Serve operators over HTTP on an address apart from the callers'."""

    __slots__ = ('node', 'pages', 'role', 'server')

    def __init__(self, node: Node, role: ReportingRole) -> None:
        """Open the listening socket on the operators' address."""
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
        """Handle one WSGI request."""
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
        """Report that the process is alive.

        :returns: status line, content type and body, as for every page.
        """
        return OK, JSON_TYPE, b'{"alive": true}\n'

    def ready(self) -> tuple[str, str, bytes]:
        """Report whether the node accepts new requests."""
        if self.role.ready():
            return OK, JSON_TYPE, b'{"ready": true}\n'
        return '503 Service Unavailable', JSON_TYPE, b'{"ready": false}\n'

    def metrics(self) -> tuple[str, str, bytes]:
        """Return the metrics in the Prometheus text format."""
        self.node.metrics.gauge('link_bytes', self.node.link_bytes())
        self.node.metrics.gauge('links', len(self.node.links))
        return OK, TEXT_TYPE, self.node.metrics.text()

    def status(self) -> tuple[str, str, bytes]:
        """Return the state of the node and of its role."""
        node = self.node
        page = {
            'node': node.identity.node,
            'role': node.identity.role,
            'incarnation': node.identity.incarnation,
            'availability_zone': node.settings.availability_zone,
            'revision': node.configuration.revision(),
            'store_up': node.store_up,
            'links': sorted(node.links),
            'ready': self.role.ready(),
            **self.role.status(),
        }
        return OK, JSON_TYPE, json.dumps(page).encode()

    def report(self) -> tuple[str, str, bytes]:
        """Return this node's part of the service-level report."""
        return OK, JSON_TYPE, json.dumps(self.role.report()).encode()

    def poll(self) -> tuple[str, str, bytes]:
        """Poll the store for configuration and instance list immediately.

        The command line requests this page on all nodes after a publish.
        """
        self.node.poll()
        revision = self.node.configuration.revision()
        return OK, JSON_TYPE, json.dumps({'revision': revision}).encode()
