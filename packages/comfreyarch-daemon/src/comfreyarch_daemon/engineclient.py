"""Read an engine's status and send it orders over HTTP.

This is the client of comfreyarchd's rank role. Sidecars on a platform use the
interface in ``engineapi``.
"""

import json
from dataclasses import dataclass
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyarch_core.mapmessages import (
    Decide,
    EngineOrder,
    Prepare,
    RankState,
)
from comfreyarch_daemon.jsondecoding import decode_json

TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_CONFLICT = 409


class EngineUnavailable(Exception):
    """Raised if the engine does not answer; poll it again later."""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Hold the status that an engine reports.

    :param step_ms: time of a step.
    :param running: number of requests in progress.
    :param loads: tokens per step, by expert.
    """

    rank_state: RankState
    step_ms: float
    running: float
    loads: list[float]


def parse_status(raw: dict[str, Any]) -> EngineStatus:
    """Convert an engine's decoded status page.

    :returns: the typed status.
    """
    rank_state = RankState(
        epoch=raw['epoch'],
        step=raw['step'],
        map_id=raw['map'],
        placement=raw['placement'],
        change=raw['change'],
        change_step=raw['change_step'],
        change_placement=raw['change_placement'],
        outcomes=raw['outcomes'],
        lost=raw['lost'],
        incarnation=raw.get('incarnation', ''),
    )
    return EngineStatus(
        rank_state,
        raw['step_ms'],
        raw['running'],
        raw['loads'],
    )


def encode_order(order: EngineOrder) -> dict[str, Any]:
    """Encode an order in the engine's format.

    :returns: the request body before JSON encoding.
    """
    match order:
        case Prepare():
            return {
                'order': 'prepare',
                'fence': order.fence,
                'change': order.change,
                'epoch': order.epoch,
                'step': order.step,
                'placement': order.placement,
            }
        case Decide():
            return {
                'order': 'outcome',
                'fence': order.fence,
                'change': order.change,
                'outcome': order.outcome,
            }
    return {
        'order': 'epoch',
        'fence': order.fence,
        'epoch': order.epoch,
        'step': order.step,
        'map': order.map_id,
        'placement': order.placement,
        'incarnation': order.incarnation,
    }


class EngineClient:
    """Client of one engine's control endpoints."""

    __slots__ = ('http',)

    def __init__(self, url: str) -> None:
        """Create the client; it connects on first use."""
        self.http = HTTPClient.from_url(
            url,
            concurrency=4,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def read_status(self) -> EngineStatus:
        """Read the engine's status.

        :raises EngineUnavailable: if the status cannot be read.
        """
        _, raw = self.exchange('GET', '/state', '')
        return parse_status(raw)

    def send_order(self, order: EngineOrder) -> tuple[bool, EngineStatus]:
        """Send an order.

        An answer without a status counts as a refusal; the status is then
        read separately.

        :returns: whether the engine accepted it, and the status afterwards.
        :raises EngineUnavailable: if there is no answer; the order may still
            have taken effect.
        """
        body = json.dumps(encode_order(order))
        status, raw = self.exchange('POST', '/orders', body)
        if 'epoch' not in raw:
            return False, self.read_status()
        return status == HTTP_OK, parse_status(raw)

    def exchange(
        self,
        method: str,
        path: str,
        body: str,
    ) -> tuple[int, dict[str, Any]]:
        """Send one request and decode the answer.

        :returns: the status code and the decoded body.
        :raises EngineUnavailable: if the connection fails, the body is no JSON,
            or the status is neither 200 nor 409.
        """
        try:
            response = self.http.request(method, path, body)
            content = bytes(response.read())
            raw = decode_json(content)
        except (OSError, HTTPParseError, ValueError) as error:
            raise EngineUnavailable(
                f'engine {method} {path} failed: {error}; '
                'check that the engine is running'
            ) from error
        status = int(response.status_code)
        if status not in {HTTP_OK, HTTP_CONFLICT}:
            raise EngineUnavailable(
                f'engine {method} {path} returned status {status}; '
                'check the engine log'
            )
        return status, raw

    def close(self) -> None:
        """Close the connections."""
        self.http.close()
