"""Serve the readiness and metrics pages, each on a separate address."""

from collections.abc import Callable
from typing import Any

from gevent.pywsgi import WSGIServer

from comfreyarch_daemon.httplistener import NoAccessLogHandler, open_listener
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.statuslines import StartResponse, status_line

OK_STATUS = 200
NOT_FOUND_STATUS = 404
NOT_READY_STATUS = 503


def make_page_server(address: str, application: Any) -> WSGIServer:
    """Create the HTTP server of a page.

    :returns: the server, not yet started.
    """
    return WSGIServer(
        open_listener(address),
        application,
        log=None,
        error_log=None,
        handler_class=NoAccessLogHandler,
    )


class ReadinessPage:
    """Report to the balancer in front whether this entry accepts callers.

    :param is_ready: returns whether the entry accepts callers.
    """

    __slots__ = ('is_ready', 'path')

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        """Serve the page at ``path``; other paths are not found."""
        self.path = path
        self.is_ready = is_ready

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer a readiness request.

        :returns: an empty body.
        """
        status = OK_STATUS if self.is_ready() else NOT_READY_STATUS
        if environ['PATH_INFO'] != self.path:
            status = NOT_FOUND_STATUS
        start_response(status_line(status), [('Content-Length', '0')])
        return []


class MetricsPage:
    """Serve the metrics in the Prometheus text format."""

    __slots__ = ('metrics',)

    def __init__(self, metrics: Metrics) -> None:
        """Serve the given metrics."""
        self.metrics = metrics

    def __call__(
        self,
        _environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer a metrics request.

        :returns: the page.
        """
        page = self.metrics.text()
        start_response(
            status_line(OK_STATUS),
            [
                ('Content-Type', 'text/plain; version=0.0.4'),
                ('Content-Length', str(len(page))),
            ],
        )
        return [page]
