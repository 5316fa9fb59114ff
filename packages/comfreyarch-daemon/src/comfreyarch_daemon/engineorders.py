"""Read an engine's state and give it orders, over HTTP."""

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

TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_CONFLICT = 409


class EngineSilent(Exception):
    """Report an engine that did not answer; look again later."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what an engine tells of itself.

    :param loads: tokens a step by expert.
    """

    rank_state: RankState
    step_ms: float
    running: float
    loads: list[float]


def to_state(raw: dict[str, Any]) -> EngineState:
    """Read an engine's state page.

    :returns: the typed state.
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
    )
    return EngineState(
        rank_state,
        raw['step_ms'],
        raw['running'],
        raw['loads'],
    )


def to_order(order: EngineOrder) -> dict[str, Any]:
    """Write an order as engines read it.

    :returns: the body.
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
    }


class EngineClient:
    """Talk to one engine's control pages."""

    __slots__ = ('http',)

    def __init__(self, url: str) -> None:
        """Connect on first use."""
        self.http = HTTPClient.from_url(
            url,
            concurrency=4,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def read_state(self) -> EngineState:
        """Read the state page.

        :raises EngineSilent: if it cannot be read.
        """
        _, raw = self.exchange('GET', '/state', '')
        return to_state(raw)

    def give(self, order: EngineOrder) -> tuple[bool, EngineState]:
        """Give an order.

        :returns: whether it was taken, and the state since.
        :raises EngineSilent: if the answer is lost; the order may stand.
        """
        body = json.dumps(to_order(order))
        status, raw = self.exchange('POST', '/orders', body)
        if 'epoch' not in raw:
            return False, self.read_state()
        return status == HTTP_OK, to_state(raw)

    def exchange(
        self,
        method: str,
        path: str,
        body: str,
    ) -> tuple[int, dict[str, Any]]:
        """Make one exchange.

        :raises EngineSilent: on any failure.
        """
        try:
            response = self.http.request(method, path, body)
            content = bytes(response.read())
            raw = json.loads(content)
        except (OSError, HTTPParseError, ValueError) as error:
            raise EngineSilent(f'{error}; look again later') from error
        status = int(response.status_code)
        if status not in {HTTP_OK, HTTP_CONFLICT}:
            raise EngineSilent(f'status {status}; check the engine')
        return status, raw

    def close(self) -> None:
        """Close the connections."""
        self.http.close()
