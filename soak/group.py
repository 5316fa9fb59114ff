"""Be a rank group of engines in one process, with orders that may come late."""

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
from soak.wire import write_head
from standins.rankgroup import Group

if TYPE_CHECKING:
    from soak.server import Server

PASS_S = 0.02
FORM_S = 2.0
LATE_S = (1.0, 5.0)
HUNG_S = 10.0
SETS = 2
EXPERTS = 16
# One expert of each set is chosen this much more often than the others.
LIKED = 12


class EngineGroup:
    """Run passes while somebody writes, and tell of them.

    :param note: writes a line for the checks.
    :param late_share: share of the orders that are carried out late.
    """

    def __init__(
        self,
        name: str,
        size: int,
        note: Callable[[dict[str, Any]], None],
    ) -> None:
        """Form the group for the first time."""
        self.name = name
        self.size = size
        self.note = note
        self.epoch = 1
        self.open = True
        self.late_share = 0.0
        self.passed = Event()
        self.writers = 0
        self.group = Group(size)
        self.counts = [0] * (SETS * EXPERTS)
        self.content: dict[int, Any] = {0: first_map(SETS, EXPERTS, size)}

    def start(self) -> None:
        """Begin to make passes."""
        gevent.spawn(self.run)

    def run(self) -> None:
        """Make passes for as long as this lives."""
        while True:
            gevent.sleep(PASS_S)
            if not self.open or not self.writers or not self.group.begin():
                continue
            if self.group.broken:
                self.note({'mixed_maps': self.group.broken})
                self.group.broken = ''
            for number in range(SETS):
                liked = number * EXPERTS + self.group.step // 200 % EXPERTS
                self.counts[liked] += LIKED
                self.counts[number * EXPERTS + random.randrange(EXPERTS)] += 1
            self.passed.set()
            self.passed.clear()

    def next_pass(self) -> bool:
        """Take part in one pass.

        :returns: False where the group broke meanwhile.
        """
        epoch = self.epoch
        self.writers += 1
        self.passed.wait()
        self.writers -= 1
        return self.open and epoch == self.epoch

    def reform(self) -> None:
        """Break, and form anew a little later."""
        if not self.open:
            return
        self.open = False
        self.passed.set()
        self.passed.clear()
        gevent.sleep(FORM_S)
        self.epoch += 1
        self.group = Group(self.size, self.group.step)
        self.open = True

    def answer(
        self,
        sock: socket.socket,
        server: 'Server',
        path: str,
        body: bytes,
    ) -> bool:
        """Answer a call about the engine.

        :returns: whether the connection stays open.
        """
        status, fields = 200, {}
        if path.startswith('/v1/order'):
            told = json.loads(body)
            if random.random() < self.late_share:
                late = random.uniform(*LATE_S)
                gevent.spawn_later(late, self.obey, server.rank, told)
                gevent.sleep(HUNG_S)
                return False
            status = 202 if self.obey(server.rank, told) else 409
        elif path.startswith('/v1/report'):
            fields = self.report(server)
        else:
            fields = self.picked(server.rank, lists='lists' in path)
        text = json.dumps(fields).encode()
        headers = {'Content-Length': len(text)}
        sock.sendall(write_head(f'HTTP/1.1 {status} X', headers) + text)
        return True

    def obey(self, rank: int, told: dict[str, Any]) -> bool:
        """Carry an order out, unless its epoch is over.

        :returns: whether it was accepted.
        """
        if told.get('epoch', self.epoch) != self.epoch or not self.open:
            return False
        return self.group.obey(rank, read_order(told))

    def report(self, server: 'Server') -> dict[str, Any]:
        """Tell what an engine says of itself."""
        one = self.group.engines[server.rank]
        fields: dict[str, Any] = {
            'stage': 'combined',
            'sequence': 0,
            'pace': 1,
            'activeRequests': server.active,
            'queuedRequests': server.waiting,
            'size': self.size,
            'step': self.group.step,
            'expertMap': one.version,
            'group': {
                'name': self.name,
                'epoch': self.epoch,
                'rank': server.rank,
                'state': 'open' if self.open else 'broken',
            },
        }
        if one.prepared:
            fields['isPrepared'] = one.prepared[0]
        if one.armed:
            fields['isArmed'] = {'version': one.armed[0], 'step': one.armed[1]}
        if one.held is not None:
            fields['held'] = one.held
        return fields

    def picked(self, rank: int, *, lists: bool) -> dict[str, Any]:
        """Tell counts, or the experts of one rank."""
        if not lists:
            return {
                'step': self.group.step,
                'epoch': self.epoch,
                'counts': self.counts,
            }
        one = self.group.engines[rank]
        content = (
            first_map(SETS, EXPERTS, self.size)
            if one.version == 0
            else one.content
        )
        experts = [ranks[rank] for ranks in content]
        return {'expertMap': {'version': one.version, 'experts': experts}}


def read_order(told: dict[str, Any]) -> EngineOrder:
    """Read an order in the platform's names.

    :returns: the order.
    """
    match told['operation']:
        case 'prepare':
            content = tuple(
                tuple(tuple(held) for held in ranks)
                for ranks in told['expertMap']
            )
            return PrepareMap(told['version'], content)
        case 'arm':
            return ArmMap(told['version'], told['step'])
        case 'disarm':
            return DisarmMap(told['version'])
        case 'retention':
            return HoldStep(told['step'])
    return ReleaseStep(told['step'])
