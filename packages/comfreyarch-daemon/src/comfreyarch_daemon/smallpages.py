"""Serve readiness and metrics, each at an address of its own."""

from collections.abc import Callable
from typing import Any

from gevent.pywsgi import WSGIServer

from comfreyarch_daemon.httplistener import NoAccessLogHandler, open_listener
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.statuslines import StartResponse, status_line

OK_STATUS = 200
NOT_FOUND = 404
NOT_READY = 503


def serve(address: str, application: Any) -> WSGIServer:
    """Make a server of small pages.

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
    """Tell the balancer in front whether to send callers here."""

    __slots__ = ('path', 'ready')

    def __init__(self, path: str, ready: Callable[[], bool]) -> None:
        """Name the page's path."""
        self.path = path
        self.ready = ready

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer.

        :returns: an empty body.
        """
        status = OK_STATUS if self.ready() else NOT_READY
        if environ['PATH_INFO'] != self.path:
            status = NOT_FOUND
        start_response(status_line(status), [('Content-Length', '0')])
        return []


class MetricsPage:
    """Give counters and histograms as text."""

    __slots__ = ('metrics',)

    def __init__(self, metrics: Metrics) -> None:
        """Hold what is counted."""
        self.metrics = metrics

    def __call__(
        self,
        _environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer.

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
