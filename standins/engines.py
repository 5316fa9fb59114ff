"""Stand-in for the engines of a rank group, which step in lock-step.

One process serves all ranks of a group, each on its own port. Each rank
starts a step unless a prepared change holds it; the step ends when all ranks
have started it, and each running request then gets one token. ``GET /log``
returns the started steps as lists of epoch, step, rank and map.

Orders (``POST /orders``) carry a fencing token, which a rank checks only if
``checks_fences`` is set. ``prepare`` loads a placement and holds the rank at a
step until ``outcome`` commits or aborts the change; ``epoch`` restarts a rank
in a new epoch. A rank that lost its state starts no step before the next
``epoch`` order. ``POST /control`` sets the demand, the slowness of a rank and
``checks_fences``, or crashes a rank's engine.

``standins.rankgroup`` simulates engines with the other set of orders, those of
``comfreyarch_core.enginestate``.
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

# A prompt with this word crashes its engine.
POISON_MARKER = 'poison'
# Number of the token, from 0, at which the prompt crashes the engine.
POISON_TOKEN_NUMBER = 2
MAX_LOG_ENTRIES = 200_000
MS_PER_S = 1000


@dataclass(slots=True)
class PreparedChange:
    """Hold a prepared map change.

    :param change: identifier of the change, and of the map that it installs.
    :param step: first step that must not start before the outcome is known.
    :param outcome: ``commit`` or ``abort``, empty until known.
    """

    change: str
    step: int
    placement: list[list[int]]
    outcome: str = ''


@dataclass(slots=True)
class Demand:
    """Define the load of the experts and the time that it costs.

    :param weights: fraction of the tokens, by expert.
    :param base_ms: time of a step without any work, 0 for answers without
        steps.
    :param token_ms: time that each token adds to a step if all ranks have an
        even share of the tokens. The time per token on a rank is this
        multiplied by the number of ranks.
    """

    weights: list[float] = field(default_factory=list)
    base_ms: float = 2
    token_ms: float = 0.1


class Rank:
    """Represent the engine of one rank."""

    def __init__(self, number: int, placement: list[list[int]]) -> None:
        """Start with a placement at step 0 of epoch 0."""
        self.number = number
        self.placement = placement
        self.map_id = 'start'
        self.epoch = 0
        self.step = 0
        self.is_in_step = False
        self.is_alive = True
        self.has_lost_state = False
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

    def can_start_step(self) -> bool:
        """Check whether the rank can start its next step."""
        if self.has_lost_state or not self.is_alive or self.is_in_step:
            return False
        prepared = self.prepared
        if prepared is None or self.step < prepared.step:
            return True
        return bool(prepared.outcome)

    def start_step(self) -> tuple[int, int, int, str]:
        """Start the next step, after applying a committed change.

        :returns: the log entry: epoch, step, rank and map.
        """
        prepared = self.prepared
        if prepared is not None and self.step >= prepared.step:
            if prepared.outcome == 'commit':
                self.placement = prepared.placement
                self.map_id = prepared.change
            self.prepared = None
        self.is_in_step = True
        return self.epoch, self.step, self.number, self.map_id

    def order(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Execute an order.

        :returns: HTTP status and body; 409 if the order is refused.
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
        return self.restart_epoch(order)

    def prepare(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Load a placement and hold the rank at the step of the change."""
        change = order['change']
        if self.prepared is not None:
            is_same_change = self.prepared.change == change
            return (200 if is_same_change else 409), self.state()
        has_passed_step = self.step + int(self.is_in_step) > order['step']
        if change in self.outcomes:
            return 409, self.state()
        if (
            self.has_lost_state
            or order['epoch'] != self.epoch
            or has_passed_step
        ):
            return 409, self.state()
        self.prepared = PreparedChange(
            change, order['step'], order['placement']
        )
        return 200, self.state()

    def record_outcome(
        self, order: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Record the outcome of a change."""
        self.outcomes.setdefault(order['change'], order['outcome'])
        prepared = self.prepared
        if prepared is not None and prepared.change == order['change']:
            prepared.outcome = order['outcome']
            if prepared.outcome == 'abort':
                self.prepared = None
        return 200, self.state()

    def restart_epoch(
        self, order: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Restart in a new epoch unless it has already begun."""
        if order.get('incarnation', '') not in {'', self.incarnation}:
            return 409, self.state()
        if order['epoch'] <= self.epoch and not self.has_lost_state:
            return 200, self.state()
        self.epoch = order['epoch']
        self.step = order['step']
        self.placement = order['placement']
        self.map_id = order['map']
        self.prepared = None
        self.is_in_step = False
        self.has_lost_state = False
        return 200, self.state()

    def lose_state(self) -> None:
        """Discard all state, as a restarted engine does."""
        self.incarnation = secrets.token_hex(4)
        self.prepared = None
        self.outcomes = {}
        self.has_lost_state = True
        self.is_in_step = False
        self.fence = 0
        self.epoch = 0
        self.step = 0
        self.map_id = ''

    def state(self) -> dict[str, Any]:
        """Return the state that a sidecar needs to give orders."""
        prepared = self.prepared
        return {
            'incarnation': self.incarnation,
            'lost': self.has_lost_state,
            'epoch': self.epoch,
            'step': self.step + int(self.is_in_step),
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
    """Run the steps of all ranks in lock-step."""

    def __init__(self, placement: list[list[int]], step_ms: float) -> None:
        """Create all ranks with one placement."""
        self.ranks = [
            Rank(number, placement) for number in range(len(placement))
        ]
        experts = 1 + max(expert for rank in placement for expert in rank)
        self.demand = Demand([1 / experts] * experts, step_ms)
        self.log: list[tuple[int, int, int, str]] = []
        self.state_changed = Event()
        self.steps = 0

    def run_steps(self) -> None:
        """Run steps without end."""
        while True:
            self.start_steps()
            if not self.is_aligned():
                self.state_changed.clear()
                self.state_changed.wait(0.05)
                continue
            self.compute_step_times()
            slowest = max(rank.step_ms for rank in self.ranks)
            pause(slowest / MS_PER_S)
            if self.is_aligned():
                self.end_step()

    def start_steps(self) -> None:
        """Start the next step of each rank that can start it."""
        for rank in self.ranks:
            if rank.can_start_step():
                self.log.append(rank.start_step())
        del self.log[:-MAX_LOG_ENTRIES]

    def is_aligned(self) -> bool:
        """Check whether all ranks have started the same step."""
        if not all(rank.is_in_step for rank in self.ranks):
            return False
        return len({(rank.epoch, rank.step) for rank in self.ranks}) == 1

    def compute_step_times(self) -> None:
        """Compute each rank's loads and step time from the demand."""
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
        """End the step on all ranks and release one token per request."""
        self.steps += 1
        for rank in self.ranks:
            rank.step += 1
            rank.is_in_step = False
            previous_event, rank.step_ended = rank.step_ended, Event()
            previous_event.set()


class RankServer:
    """Serve one rank over HTTP."""

    def __init__(self, group: LockstepGroup, rank: Rank, port: int) -> None:
        """Create a server for ``port``, not yet listening."""
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
        """Handle one HTTP request."""
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
        """Set the demand, slowness or fence checks, or crash the engine."""
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
        """Drop the answers in progress, close the port and restart.

        The restarted engine has lost its state.
        """
        self.rank.is_alive = False
        self.rank.lose_state()
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
        """Handle a chat completion request."""
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
        """Yield one event per token, each at the end of a step.

        Without a step time, all events follow at once.

        :raises ConnectionDropped: if the engine crashes meanwhile.
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
    """Derive the tokens of an answer from the prompt.

    :returns: the tokens from number ``first`` to ``count - 1``.
    """
    seed = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{seed}-{number} ' for number in range(first, count)]


def encode_event(token: str) -> bytes:
    """Encode a token as a server-sent event.

    :returns: the event with its terminating blank line.
    """
    content = {'choices': [{'delta': {'content': token}}]}
    return b'data: ' + json.dumps(content).encode() + b'\n\n'


def make_stream_body(prompt: str, count: int) -> bytes:
    """Return the body of a complete streamed answer.

    :returns: all events.
    """
    events = [encode_event(token) for token in make_tokens(prompt, 0, count)]
    return b''.join([*events, b'data: [DONE]\n\n'])


def main() -> None:
    """Serve the ranks given as JSON: ports, step time and placement."""
    arguments = json.loads(sys.argv[1])
    group = LockstepGroup(arguments['placement'], arguments['step_ms'])
    for rank, port in zip(group.ranks, arguments['ports'], strict=True):
        RankServer(group, rank, port).start()
    if group.demand.base_ms > 0:
        gevent.spawn(group.run_steps)
    report_ready_and_wait()


if __name__ == '__main__':
    main()
