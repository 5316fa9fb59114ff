"""Serve bars, request limits and placements of an entry to operators."""

import json
from typing import Any
from urllib.parse import parse_qs, parse_qsl

from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.monitoringpages import (
    NOT_FOUND_STATUS,
    OK_STATUS,
    MetricsPage,
)
from comfreyarch_daemon.placementpage import PlacementExplainer
from comfreyarch_daemon.sharedcrashguard import SharedCrashGuard
from comfreyarch_daemon.sharedlimits import SharedLimits
from comfreyarch_daemon.statuslines import StartResponse, status_line
from comfreyarch_daemon.upstreamcalls import boot_time

BARS_PATH = '/bars'
LIFT_PATH = '/bars/lift'
LIMITS_PATH = '/limits'
PLACE_PATH = '/place'
BAD_REQUEST_STATUS = 400
METHOD_NOT_ALLOWED_STATUS = 405


class OperatorPages:
    """Serve bars, limits and placements, and the metrics at all other paths.

    ``GET /bars`` lists the bars; ``POST /bars/lift?trait=…`` lifts one at all
    entries. ``GET /limits`` lists the request limits that upstreams announce.
    ``GET /place?…`` explains where a request would go.
    """

    __slots__ = ('crash_guard', 'limits', 'metrics_page', 'placements')

    def __init__(
        self,
        metrics_page: MetricsPage,
        crash_guard: SharedCrashGuard,
        limits: SharedLimits,
        entry: DirectEntry | None = None,
    ) -> None:
        """Serve the given page, and what the given parts know."""
        self.metrics_page = metrics_page
        self.crash_guard = crash_guard
        self.limits = limits
        self.placements = PlacementExplainer(entry) if entry else None

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer an operator's request.

        :returns: the page.
        """
        path = environ['PATH_INFO']
        if path == BARS_PATH:
            return send_json(start_response, OK_STATUS, self.list_bars())
        if path == LIMITS_PATH:
            return send_json(start_response, OK_STATUS, self.limits.page())
        if path == PLACE_PATH and self.placements is not None:
            query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
            return send_placement(start_response, self.placements, query)
        if path != LIFT_PATH:
            return self.metrics_page(environ, start_response)
        if environ['REQUEST_METHOD'] != 'POST':
            refusal = {'error': 'send POST to lift a bar'}
            return send_json(start_response, METHOD_NOT_ALLOWED_STATUS, refusal)
        query = parse_qs(environ.get('QUERY_STRING', ''))
        trait = query.get('trait', [''])[0]
        if self.crash_guard.lift(trait):
            return send_json(start_response, OK_STATUS, {'lifted': trait})
        refusal = {'error': f'no bar on {trait!r}; GET {BARS_PATH} lists them'}
        return send_json(start_response, NOT_FOUND_STATUS, refusal)

    def list_bars(self) -> list[dict[str, Any]]:
        """List the bars.

        :returns: trait, seconds since the begin and to the end, and number of
            crashes on record of each.
        """
        now = boot_time()
        guard = self.crash_guard.guard
        return [
            {
                'trait': trait,
                'age_s': round(now - known.since, 1),
                'left_s': round(max(0, known.until - now), 1),
                'crashes': len(guard.records.with_trait(trait)),
            }
            for trait, known in guard.bars.by_trait.items()
        ]


def send_placement(
    start_response: StartResponse,
    placements: PlacementExplainer,
    query: dict[str, str],
) -> list[bytes]:
    """Start the response that explains a placement.

    :returns: its body.
    """
    try:
        page = placements.page(query)
    except ValueError as error:
        refusal = {'error': f'{error}; give numbers'}
        return send_json(start_response, BAD_REQUEST_STATUS, refusal)
    return send_json(start_response, OK_STATUS, page)


def send_json(
    start_response: StartResponse, status: int, document: Any
) -> list[bytes]:
    """Start a JSON response.

    :returns: its body.
    """
    page = json.dumps(document).encode()
    start_response(
        status_line(status),
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(page))),
        ],
    )
    return [page]
