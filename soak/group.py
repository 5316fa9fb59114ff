"""Simulate the engines of a rank group, including orders that act late."""

import json
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import Event

from comfreyarch_core.enginestate import (
    ArmMap,
    DisarmMap,
    EngineOrder,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)
from comfreyarch_core.mapplan import first_map
from soak.wire import format_head
from standins.rankgroup import Group

if TYPE_CHECKING:
    from soak.server import Server

PASS_INTERVAL_S = 0.02
REFORM_DELAY_S = 2.0
LATE_ORDER_DELAY_RANGE_S = (1.0, 5.0)
# Time for which a late order is left unanswered before its connection closes.
LATE_ORDER_HANG_S = 10.0
EXPERT_SETS = 2
EXPERTS_PER_SET = 16
# In each pass, the hot expert of a set gets this many choices; one more goes to
# an expert of the set at random. The hot expert changes every 200 steps.
HOT_EXPERT_CHOICES = 12


class EngineGroup:
    """Run passes while requests are streaming, and answer engine calls.

    :param write_event: writes an event for the checks.
    :param late_order_share: ratio of the orders that are executed late.
    """

    def __init__(
        self,
        name: str,
        size: int,
        write_event: Callable[[dict[str, Any]], None],
    ) -> None:
        """Form the group in its first epoch."""
        self.name = name
        self.size = size
        self.write_event = write_event
        self.epoch = 1
        self.is_open = True
        self.late_order_share = 0.0
        self.pass_finished = Event()
        self.streaming_requests = 0
        self.group = Group(size)
        self.counts = [0] * (EXPERT_SETS * EXPERTS_PER_SET)
        self.content: dict[int, Any] = {
            0: first_map(EXPERT_SETS, EXPERTS_PER_SET, size)
        }

    def start(self) -> None:
        """Start running passes."""
        gevent.spawn(self.run)

    def run(self) -> None:
        """Run passes until the process ends."""
        while True:
            gevent.sleep(PASS_INTERVAL_S)
            if (
                not self.is_open
                or not self.streaming_requests
                or not self.group.start_step()
            ):
                continue
            if self.group.violation:
                self.write_event({'mixed_maps': self.group.violation})
                self.group.violation = ''
            for number in range(EXPERT_SETS):
                hot_expert = (
                    number * EXPERTS_PER_SET
                    + self.group.step // 200 % EXPERTS_PER_SET
                )
                self.counts[hot_expert] += HOT_EXPERT_CHOICES
                self.counts[
                    number * EXPERTS_PER_SET + random.randrange(EXPERTS_PER_SET)
                ] += 1
            self.pass_finished.set()
            self.pass_finished.clear()

    def wait_for_pass(self) -> bool:
        """Wait for the end of a pass.

        :returns: False if the group broke during the pass.
        """
        epoch = self.epoch
        self.streaming_requests += 1
        self.pass_finished.wait()
        self.streaming_requests -= 1
        return self.is_open and epoch == self.epoch

    def reform(self) -> None:
        """Break the group and form it again in a new epoch."""
        if not self.is_open:
            return
        self.is_open = False
        self.pass_finished.set()
        self.pass_finished.clear()
        gevent.sleep(REFORM_DELAY_S)
        self.epoch += 1
        self.group = Group(self.size, self.group.step)
        self.is_open = True

    def answer_engine_call(
        self,
        sock: socket.socket,
        server: 'Server',
        path: str,
        body: bytes,
    ) -> bool:
        """Answer a call to the engine API of one rank.

        :returns: whether the connection stays open.
        """
        status, fields = 200, {}
        if path.startswith('/v1/order'):
            order = json.loads(body)
            if random.random() < self.late_order_share:
                delay_s = random.uniform(*LATE_ORDER_DELAY_RANGE_S)
                gevent.spawn_later(
                    delay_s, self.execute_order, server.rank, order
                )
                gevent.sleep(LATE_ORDER_HANG_S)
                return False
            status = 202 if self.execute_order(server.rank, order) else 409
        elif path.startswith('/v1/report'):
            fields = self.build_report(server)
        else:
            fields = self.build_expert_data(server.rank, lists='lists' in path)
        text = json.dumps(fields).encode()
        headers = {'Content-Length': len(text)}
        sock.sendall(format_head(f'HTTP/1.1 {status} X', headers) + text)
        return True

    def execute_order(self, rank: int, order: dict[str, Any]) -> bool:
        """Execute an order unless it names another epoch.

        :returns: whether it was accepted.
        """
        if order.get('epoch', self.epoch) != self.epoch or not self.is_open:
            return False
        return self.group.apply_order(rank, parse_order(order))

    def build_report(self, server: 'Server') -> dict[str, Any]:
        """Build the report of one engine."""
        engine = self.group.engines[server.rank]
        fields: dict[str, Any] = {
            'stage': 'combined',
            'sequence': 0,
            'pace': 1,
            'activeRequests': server.active,
            'queuedRequests': server.waiting,
            'size': self.size,
            'step': self.group.step,
            'expertMap': engine.version,
            'group': {
                'name': self.name,
                'epoch': self.epoch,
                'rank': server.rank,
                'state': 'open' if self.is_open else 'broken',
            },
        }
        if engine.prepared:
            fields['isPrepared'] = engine.prepared[0]
        if engine.armed:
            fields['isArmed'] = {
                'version': engine.armed[0],
                'step': engine.armed[1],
            }
        if engine.held is not None:
            fields['held'] = engine.held
        return fields

    def build_expert_data(self, rank: int, *, lists: bool) -> dict[str, Any]:
        """Build the counts of chosen experts, or the experts of one rank."""
        if not lists:
            return {
                'step': self.group.step,
                'epoch': self.epoch,
                'counts': self.counts,
            }
        engine = self.group.engines[rank]
        content = (
            first_map(EXPERT_SETS, EXPERTS_PER_SET, self.size)
            if engine.version == 0
            else engine.content
        )
        experts = [ranks[rank] for ranks in content]
        return {'expertMap': {'version': engine.version, 'experts': experts}}


def parse_order(order: dict[str, Any]) -> EngineOrder:
    """Parse an order in the platform's format.

    :returns: the order.
    """
    match order['operation']:
        case 'prepare':
            content = tuple(
                tuple(tuple(held) for held in ranks)
                for ranks in order['expertMap']
            )
            return PrepareMap(order['version'], content)
        case 'arm':
            return ArmMap(order['version'], order['step'])
        case 'disarm':
            return DisarmMap(order['version'])
        case 'retention':
            return HoldStep(order['step'])
    return ReleaseStep(order['step'])
