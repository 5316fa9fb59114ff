"""Stand in for a rank group: engines that step in lock-step.

One process serves all ranks of a group, each on its own port. Every
rank begins a step on its own, if nothing holds it; the step ends when all
ranks have begun it, and each running request gets one token. ``GET /log``
gives what each rank recorded: epoch, step, rank, map.

Orders (``POST /orders``) carry a fence: ``prepare`` loads a placement and
holds the rank at a step until ``outcome`` is known; ``epoch`` starts a
rank anew. A rank that lost its memory begins nothing before ``epoch``.
"""

import hashlib
import json
import secrets
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from standins.http import (
    Environ,
    StartResponse,
    drop_connection,
    json_response,
    pause,
    read_json,
    report_ready_and_wait,
    serve,
)

POISON_MARKER = 'poison'
POISON_TOKEN_NUMBER = 2
MAX_LOG_ENTRIES = 200_000
MS_PER_S = 1000


@dataclass(slots=True)
class PreparedChange:
    """Hold a prepared change; ``outcome`` is empty until known."""

    change: str
    step: int
    placement: list[list[int]]
    outcome: str = ''


@dataclass(slots=True)
class Demand:
    """Hold how tokens spread over experts and what a token costs."""

    weights: list[float] = field(default_factory=list)
    base_ms: float = 2
    token_ms: float = 0.1


class Rank:
    """Be one engine of the group."""

    def __init__(self, number: int, placement: list[list[int]]) -> None:
        """Start with a map, in the first epoch, at the first step."""
        self.number = number
        self.placement = placement
        self.map_id = 'start'
        self.epoch = 0
        self.step = 0
        self.begun = False
        self.is_alive = True
        self.lost = False
        self.fence = 0
        self.checks_fences = False
        self.prepared: PreparedChange | None = None
        self.outcomes: dict[str, str] = {}
        self.incarnation = secrets.token_hex(4)
        self.running = 0
        self.slowness = 1.0
        self.step_ended = Event()
        self.step_ms = 0.0
        self.loads: list[float] = []
        self.orders = 0

    def may_begin(self) -> bool:
        """Tell whether nothing holds the next step."""
        if self.lost or not self.is_alive or self.begun:
            return False
        prepared = self.prepared
        if prepared is None or self.step < prepared.step:
            return True
        return bool(prepared.outcome)

    def begin(self) -> tuple[int, int, int, str]:
        """Begin the next step under the map that holds for it."""
        prepared = self.prepared
        if prepared is not None and self.step >= prepared.step:
            if prepared.outcome == 'commit':
                self.placement = prepared.placement
                self.map_id = prepared.change
            self.prepared = None
        self.begun = True
        return self.epoch, self.step, self.number, self.map_id

    def order(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Take an order.

        :returns: status and body; 409 where it is refused.
        """
        self.orders += 1
        fence = int(order['fence'])
        if self.checks_fences and fence < self.fence:
            return 409, {'error': 'old fence'}
        self.fence = max(fence, self.fence)
        kind = order['order']
        if kind == 'prepare':
            return self.prepare(order)
        if kind == 'outcome':
            return self.record_outcome(order)
        self.restart_epoch(order)
        return 200, self.state()

    def prepare(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Load a placement and hold at a step."""
        change = order['change']
        if self.prepared is not None:
            is_same_change = self.prepared.change == change
            return (200 if is_same_change else 409), self.state()
        has_passed_step = self.step + int(self.begun) > order['step']
        if change in self.outcomes:
            return 409, self.state()
        if self.lost or order['epoch'] != self.epoch or has_passed_step:
            return 409, self.state()
        self.prepared = PreparedChange(
            change, order['step'], order['placement']
        )
        return 200, self.state()

    def record_outcome(
        self, order: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Take the outcome of a change."""
        self.outcomes.setdefault(order['change'], order['outcome'])
        prepared = self.prepared
        if prepared is not None and prepared.change == order['change']:
            prepared.outcome = order['outcome']
            if prepared.outcome == 'abort':
                self.prepared = None
        return 200, self.state()

    def restart_epoch(self, order: dict[str, Any]) -> None:
        """Begin a new epoch, unless it is already in force."""
        if order['epoch'] <= self.epoch and not self.lost:
            return
        self.epoch = order['epoch']
        self.step = order['step']
        self.placement = order['placement']
        self.map_id = order['map']
        self.prepared = None
        self.begun = False
        self.lost = False

    def forget(self) -> None:
        """Lose all memory, as a restarted engine does."""
        self.incarnation = secrets.token_hex(4)
        self.prepared = None
        self.outcomes = {}
        self.lost = True
        self.begun = False
        self.fence = 0
        self.epoch = 0
        self.step = 0
        self.map_id = ''

    def state(self) -> dict[str, Any]:
        """Tell everything an order-giver needs."""
        prepared = self.prepared
        return {
            'incarnation': self.incarnation,
            'lost': self.lost,
            'epoch': self.epoch,
            'step': self.step + int(self.begun),
            'map': self.map_id,
            'placement': self.placement,
            'change': prepared.change if prepared else '',
            'change_step': prepared.step if prepared else 0,
            'change_placement': prepared.placement if prepared else [],
            'outcomes': self.outcomes,
            'fence': self.fence,
            'step_ms': self.step_ms,
            'loads': self.loads,
            'running': self.running,
        }


class LockstepGroup:
    """Step the ranks in lock-step."""

    def __init__(self, placement: list[list[int]], step_ms: float) -> None:
        """Start all ranks under one placement."""
        self.ranks = [
            Rank(number, placement) for number in range(len(placement))
        ]
        experts = 1 + max(expert for rank in placement for expert in rank)
        self.demand = Demand([1 / experts] * experts, step_ms)
        self.log: list[tuple[int, int, int, str]] = []
        self.state_changed = Event()
        self.steps = 0

    def run_steps(self) -> None:
        """Step for ever."""
        while True:
            self.begin_steps()
            if not self.is_aligned():
                self.state_changed.clear()
                self.state_changed.wait(0.05)
                continue
            self.compute_step_times()
            slowest = max(rank.step_ms for rank in self.ranks)
            pause(slowest / MS_PER_S)
            if self.is_aligned():
                self.end_step()

    def begin_steps(self) -> None:
        """Let each rank begin its step if it may."""
        for rank in self.ranks:
            if rank.may_begin():
                self.log.append(rank.begin())
        del self.log[:-MAX_LOG_ENTRIES]

    def is_aligned(self) -> bool:
        """Tell whether all ranks have begun one and the same step."""
        if not all(rank.begun for rank in self.ranks):
            return False
        return len({(rank.epoch, rank.step) for rank in self.ranks}) == 1

    def compute_step_times(self) -> None:
        """Work out each rank's step time from the demand."""
        total = sum(rank.running for rank in self.ranks)
        holders: dict[int, int] = {}
        for rank in self.ranks:
            for expert in rank.placement[rank.number]:
                holders[expert] = holders.get(expert, 0) + 1
        demand = self.demand
        for rank in self.ranks:
            loads = [0.0] * len(demand.weights)
            for expert in rank.placement[rank.number]:
                share = demand.weights[expert] / holders[expert]
                loads[expert] = total * share
            rank.loads = loads
            work = sum(loads) * len(self.ranks) * demand.token_ms
            rank.step_ms = (demand.base_ms + work) * rank.slowness

    def end_step(self) -> None:
        """End the step on all ranks and hand out tokens."""
        self.steps += 1
        for rank in self.ranks:
            rank.step += 1
            rank.begun = False
            previous_event, rank.step_ended = rank.step_ended, Event()
            previous_event.set()


class RankServer:
    """Serve one rank over HTTP."""

    def __init__(self, group: LockstepGroup, rank: Rank, port: int) -> None:
        """Prepare to serve on ``port``."""
        self.group = group
        self.rank = rank
        self.port = port
        self.server: WSGIServer | None = None
        self.is_paced = group.demand.base_ms > 0

    def start(self) -> None:
        """Start listening."""
        self.server = serve(self.port, self.application)

    def application(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        if path == '/health':
            return json_response(
                start_response,
                {'incarnation': self.rank.incarnation},
            )
        if path == '/state':
            return json_response(start_response, self.rank.state())
        if path == '/orders':
            status, content = self.rank.order(read_json(environ))
            self.group.state_changed.set()
            return json_response(start_response, content, status)
        if path == '/log':
            return json_response(start_response, {'log': self.group.log})
        if path == '/control':
            self.control(read_json(environ))
            return json_response(start_response, {})
        return self.chat(environ, start_response)

    def control(self, control: dict[str, Any]) -> None:
        """Set demand, slowness, fence checks or death."""
        if 'weights' in control:
            self.group.demand.weights = control['weights']
        if 'token_ms' in control:
            self.group.demand.token_ms = control['token_ms']
        self.rank.slowness = control.get('slow', self.rank.slowness)
        self.rank.checks_fences = control.get(
            'checks_fences',
            self.rank.checks_fences,
        )
        if control.get('die'):
            gevent.spawn(self.crash, control.get('restart_s', 0.3))

    def crash(self, restart_s: float) -> None:
        """Die with all connections, and start again without memory."""
        self.rank.is_alive = False
        self.rank.forget()
        if self.server is not None:
            self.server.close()
        previous_event, self.rank.step_ended = self.rank.step_ended, Event()
        previous_event.set()
        pause(restart_s)
        self.rank.is_alive = True
        self.start()
        self.group.state_changed.set()

    def chat(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a chat completion."""
        completion_request = read_json(environ)
        prompt = json.dumps(completion_request['messages'])
        count = int(completion_request.get('max_tokens', 8))
        if not completion_request.get('stream'):
            for _ in self.step_events(environ, prompt, 0, count):
                continue
            content = ''.join(make_tokens(prompt, 0, count))
            message = {'role': 'assistant', 'content': content}
            return json_response(
                start_response, {'choices': [{'message': message}]}
            )
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        first = int(completion_request.get('resume_from', 0))
        return self.stream_events(environ, prompt, first, count)

    def stream_events(
        self, environ: Environ, prompt: str, first: int, count: int
    ) -> Iterator[bytes]:
        """Yield the events of a streamed answer."""
        yield from self.step_events(environ, prompt, first, count)
        if first <= count:
            yield b'data: [DONE]\n\n'

    def step_events(
        self, environ: Environ, prompt: str, first: int, count: int
    ) -> Iterator[bytes]:
        """Yield one event a step.

        :raises CutOff: if the engine dies meanwhile.
        """
        rank = self.rank
        initial_incarnation = rank.incarnation
        rank.running += 1
        try:
            for number, token in enumerate(
                make_tokens(prompt, first, count), first
            ):
                if POISON_MARKER in prompt and number >= POISON_TOKEN_NUMBER:
                    gevent.spawn(self.crash, 0.2)
                if self.is_paced:
                    rank.step_ended.wait()
                if rank.incarnation != initial_incarnation:
                    drop_connection(environ)
                yield encode_event(token)
        finally:
            rank.running -= 1


def make_tokens(prompt: str, first: int, count: int) -> list[str]:
    """Make the tokens of an answer; the prompt decides them.

    :returns: the tokens from ``first`` on.
    """
    seed = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{seed}-{number} ' for number in range(first, count)]


def encode_event(token: str) -> bytes:
    """Write a token as a server-sent event.

    :returns: the event with its end.
    """
    content = {'choices': [{'delta': {'content': token}}]}
    return b'data: ' + json.dumps(content).encode() + b'\n\n'


def make_stream_body(prompt: str, count: int) -> bytes:
    """Write what a whole streamed answer must be.

    :returns: all events.
    """
    events = [encode_event(token) for token in make_tokens(prompt, 0, count)]
    return b''.join([*events, b'data: [DONE]\n\n'])


def main() -> None:
    """Serve the ranks: ports, step time and placement as JSON."""
    arguments = json.loads(sys.argv[1])
    group = LockstepGroup(arguments['placement'], arguments['step_ms'])
    for rank, port in zip(group.ranks, arguments['ports'], strict=True):
        RankServer(group, rank, port).start()
    if group.demand.base_ms > 0:
        gevent.spawn(group.run_steps)
    report_ready_and_wait()


if __name__ == '__main__':
    main()
