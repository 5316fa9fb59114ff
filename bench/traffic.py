"""Replay seeded traffic over routing and admission alone."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from comfreyarch_core.admission import (
    Admission,
    Finished,
    Offer,
    Outcome,
    Refuse,
    Run,
    Tick,
    make_admission,
)
from comfreyarch_core.frames import Beat
from comfreyarch_core.routing import Peer, SidecarView, make_router

SERVICE_S = 0.1
PREFILL_S = 0.15
SLOTS = 4
CACHED_PREFIXES = 30
NEVER = 1e9
BEAT_S = 1.0
SHORTEST_S = 0.05
GROUP = 'g'


@dataclass(frozen=True, slots=True)
class Scene:
    """Describe traffic and policy.

    :param load: arrivals over capacity without prefill.
    :param stale_s: time between load reports.
    :param shed: refuse what cannot make its deadline, bound the queue.
    """

    policy: str = 'chosen'
    load: float = 0.6
    servers: int = 16
    entries: int = 4
    stale_s: float = 1
    deadline_s: float = 1
    length_s: float = 20
    prefixes: int = 0
    shed: bool = True
    seed: int = 3


@dataclass(slots=True)
class Request:
    """Follow one request."""

    name: str
    team: str
    entry: int
    prefix: int
    began: float
    started: float = 0


@dataclass(slots=True)
class Server:
    """Be an upstream with its sidecar's admission and a prefix cache."""

    admission: Admission
    cache: dict[int, None] = field(default_factory=dict)

    def service_s(self, prefix: int) -> tuple[float, bool]:
        """Give the time a request takes, and whether it was warm."""
        warm = prefix in self.cache
        self.cache.pop(prefix, None)
        self.cache[prefix] = None
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.pop(next(iter(self.cache)))
        cold_s = 0 if warm or not prefix else PREFILL_S
        return SERVICE_S + cold_s, warm


@dataclass(slots=True)
class Totals:
    """Count what became of all requests."""

    sent: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    warm: int = 0
    started: int = 0
    waits: dict[str, list[float]] = field(default_factory=dict)


class Traffic:
    """Replay one scene."""

    def __init__(self, scene: Scene) -> None:
        """Build servers and entries."""
        self.scene = scene
        self.source = random.Random(scene.seed)
        limit = 2 * SLOTS if scene.shed else 10**9
        self.servers = [
            Server(make_admission(SLOTS, limit)) for _ in range(scene.servers)
        ]
        for server in self.servers:
            server.admission.service_s = SERVICE_S
        peers = [
            Peer(f's{number}', f'u{number}', GROUP, 'z')
            for number in range(scene.servers)
        ]
        self.routers = [make_router(seed) for seed in range(scene.entries)]
        for router in self.routers:
            router.update_peers(peers)
        self.queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.counter = itertools.count()
        self.turns = [itertools.count(one) for one in range(scene.entries)]
        self.requests: dict[str, Request] = {}
        self.totals = Totals()
        self.measured_at = -NEVER
        self.beats: list[Beat] = []

    def at(self, when: float, act: Callable[[float], None]) -> None:
        """Plan an event."""
        heapq.heappush(self.queue, (when, next(self.counter), act))

    def play(self) -> Totals:
        """Replay the scene."""
        self.report(0)
        self.at(0, self.arrive)
        while self.queue:
            when, _, act = heapq.heappop(self.queue)
            act(when)
        return self.totals

    def report(self, now: float) -> None:
        """Let all servers beat; what they tell of load may be old."""
        if now - self.measured_at >= self.scene.stale_s:
            self.measured_at = now
            self.beats = [
                self.make_beat(number, server.admission)
                for number, server in enumerate(self.servers)
            ]
        for beat in self.beats:
            for router in self.routers:
                router.record_heartbeat(beat, now)
        if now < self.scene.length_s:
            pause = min(BEAT_S, max(self.scene.stale_s, SHORTEST_S))
            self.at(now + pause, self.report)

    def make_beat(self, number: int, admission: Admission) -> Beat:
        """Measure one server's load."""
        return Beat(
            f's{number}',
            'life',
            1,
            queued=len(admission.queue),
            running=len(admission.running),
            slots=SLOTS,
            service_ms=admission.service_s * 1000,
        )

    def arrive(self, now: float) -> None:
        """Take an arrival and plan the next."""
        scene = self.scene
        rate = scene.load * scene.servers * SLOTS / SERVICE_S
        if now < scene.length_s:
            self.at(now + self.source.expovariate(rate), self.arrive)
        number = self.totals.sent
        self.totals.sent += 1
        team = 'small' if self.source.random() < 0.02 else 'large'
        prefix = 0
        if scene.prefixes:
            prefix = 1 + int(scene.prefixes * self.source.random() ** 2)
        entry = self.source.randrange(scene.entries)
        request = Request(f'r{number}', team, entry, prefix, now)
        self.requests[request.name] = request
        self.offer(request, now)

    def offer(self, request: Request, now: float) -> None:
        """Send a request where the policy says."""
        router = self.routers[request.entry]
        view = self.choose(request.entry, request.prefix, now)
        if view is None:
            self.totals.refused += 1
            return
        router.sent(view)
        number = int(view.peer.node[1:])
        deadline = NEVER
        if self.scene.shed:
            deadline = request.began + self.scene.deadline_s
        offer = Offer(request.name, request.team, deadline)
        server = self.servers[number]
        self.act(number, server.admission.handle(offer, now), now)

    def choose(self, entry: int, prefix: int, now: float) -> SidecarView | None:
        """Choose by the scene's policy."""
        router = self.routers[entry]
        views = list(router.views.values())
        match self.scene.policy:
            case 'round robin':
                return views[next(self.turns[entry]) % len(views)]
            case 'random':
                return self.source.choice(views)
            case 'least in flight':
                return min(views, key=lambda view: view.in_flight)
        return router.choose(GROUP, prefix, now)

    def act(self, number: int, outcomes: list[Outcome], now: float) -> None:
        """Carry out what a server's admission decided."""
        for outcome in outcomes:
            request = self.requests[outcome.attempt]
            if isinstance(outcome, Refuse):
                self.totals.refused += 1
                self.leave(number, request)
            elif isinstance(outcome, Run):
                self.start(number, request, now)

    def start(self, number: int, request: Request, now: float) -> None:
        """Start a request at a server."""
        service_s, warm = self.servers[number].service_s(request.prefix)
        request.started = now
        self.totals.started += 1
        self.totals.warm += warm
        waits = self.totals.waits.setdefault(request.team, [])
        waits.append(now - request.began + service_s - SERVICE_S)
        self.at(
            now + service_s,
            lambda when: self.finish(number, request, when),
        )

    def finish(self, number: int, request: Request, now: float) -> None:
        """End a request and start the next."""
        in_time = now - request.began <= self.scene.deadline_s
        self.totals.good += in_time
        self.totals.late += not in_time
        self.leave(number, request)
        admission = self.servers[number].admission
        finished = Finished(request.name)
        self.act(number, admission.handle(finished, now), now)
        self.act(number, admission.handle(Tick(), now), now)

    def leave(self, number: int, request: Request) -> None:
        """Count a request over at its entry."""
        router = self.routers[request.entry]
        router.done(router.views[f's{number}'])
