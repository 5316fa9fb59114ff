"""Simulate seeded traffic through routing and admission in one process."""

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

# Time to serve a request whose prefix is cached.
SERVICE_TIME_S = 0.1
# Additional time to compute a prefix that is not cached.
PREFILL_S = 0.15
SLOTS_PER_SERVER = 4
# Prefixes that a server keeps, least recently used evicted first.
CACHED_PREFIXES = 30
# A time after the end of every simulation.
NEVER_S = 1e9
HEARTBEAT_INTERVAL_S = 1.0
# Shortest time between load reports, and so between heartbeats.
MIN_REPORT_INTERVAL_S = 0.05
GROUP = 'g'


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe the traffic and the routing policy.

    :param policy: ``chosen`` for the router's own policy, or ``round robin``,
        ``random`` or ``least in flight``.
    :param load: arrivals as a multiple of the capacity without prefill.
    :param report_interval_s: time between load reports; they are not more
        frequent than ``MIN_REPORT_INTERVAL_S``.
    :param prefixes: number of different prompt prefixes, 0 for none.
    :param sheds_load: whether queues are bounded and requests that would
        miss their deadline are refused.
    """

    policy: str = 'chosen'
    load: float = 0.6
    servers: int = 16
    entries: int = 4
    report_interval_s: float = 1
    deadline_s: float = 1
    duration_s: float = 20
    prefixes: int = 0
    sheds_load: bool = True
    seed: int = 3


@dataclass(slots=True)
class Request:
    """Hold the state of one request."""

    name: str
    team: str
    entry: int
    prefix: int
    arrived_at: float
    started_at: float = 0


@dataclass(slots=True)
class Server:
    """Represent an upstream, its sidecar's admission and a prefix cache."""

    admission: Admission
    cache: dict[int, None] = field(default_factory=dict)

    def lookup_service_s(self, prefix: int) -> tuple[float, bool]:
        """Return the service time and whether the prefix was cached.

        The prefix becomes the most recently used one.
        """
        is_cached = prefix in self.cache
        self.cache.pop(prefix, None)
        self.cache[prefix] = None
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.pop(next(iter(self.cache)))
        prefill_s = 0 if is_cached or not prefix else PREFILL_S
        return SERVICE_TIME_S + prefill_s, is_cached


@dataclass(slots=True)
class Totals:
    """Count the outcomes of all requests.

    :param on_time: answers within the deadline.
    :param late: answers after the deadline.
    :param cache_hits: started requests whose prefix was cached.
    :param waits: seconds of queueing and prefill, by team.
    """

    sent: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    cache_hits: int = 0
    started: int = 0
    waits: dict[str, list[float]] = field(default_factory=dict)


class Traffic:
    """Simulate one scenario event by event."""

    def __init__(self, scenario: Scenario) -> None:
        """Create the servers and the routers of the entries."""
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        queue_limit = 2 * SLOTS_PER_SERVER if scenario.sheds_load else 10**9
        self.servers = [
            Server(make_admission(SLOTS_PER_SERVER, queue_limit))
            for _ in range(scenario.servers)
        ]
        for server in self.servers:
            server.admission.service_s = SERVICE_TIME_S
        peers = [
            Peer(f's{server_number}', f'u{server_number}', GROUP, 'z')
            for server_number in range(scenario.servers)
        ]
        self.routers = [make_router(seed) for seed in range(scenario.entries)]
        for router in self.routers:
            router.update_peers(peers)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.round_robin = [
            itertools.count(entry) for entry in range(scenario.entries)
        ]
        self.requests: dict[str, Request] = {}
        self.totals = Totals()
        self.measured_at = -NEVER_S
        self.heartbeats: list[Beat] = []

    def schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at_s, next(self.sequence), action))

    def play(self) -> Totals:
        """Run the simulation to its end."""
        self.report_loads(0)
        self.schedule(0, self.handle_arrival)
        while self.events:
            at_s, _, action = heapq.heappop(self.events)
            action(at_s)
        return self.totals

    def report_loads(self, now: float) -> None:
        """Send all heartbeats; update their loads once per report interval."""
        if now - self.measured_at >= self.scenario.report_interval_s:
            self.measured_at = now
            self.heartbeats = [
                self.make_heartbeat(server_number, server.admission)
                for server_number, server in enumerate(self.servers)
            ]
        for heartbeat in self.heartbeats:
            for router in self.routers:
                router.record_heartbeat(heartbeat, now)
        if now < self.scenario.duration_s:
            interval_s = min(
                HEARTBEAT_INTERVAL_S,
                max(self.scenario.report_interval_s, MIN_REPORT_INTERVAL_S),
            )
            self.schedule(now + interval_s, self.report_loads)

    def make_heartbeat(self, server_number: int, admission: Admission) -> Beat:
        """Return a heartbeat with a server's current load."""
        return Beat(
            f's{server_number}',
            'life',
            1,
            queued=len(admission.queue),
            running=len(admission.running),
            slots=SLOTS_PER_SERVER,
            service_ms=admission.service_s * 1000,
        )

    def handle_arrival(self, now: float) -> None:
        """Create the arriving request and schedule the next arrival."""
        scenario = self.scenario
        rate = (
            scenario.load * scenario.servers * SLOTS_PER_SERVER / SERVICE_TIME_S
        )
        if now < scenario.duration_s:
            self.schedule(now + self.rng.expovariate(rate), self.handle_arrival)
        request_number = self.totals.sent
        self.totals.sent += 1
        team = 'small' if self.rng.random() < 0.02 else 'large'
        prefix = 0
        if scenario.prefixes:
            prefix = 1 + int(scenario.prefixes * self.rng.random() ** 2)
        entry = self.rng.randrange(scenario.entries)
        request = Request(f'r{request_number}', team, entry, prefix, now)
        self.requests[request.name] = request
        self.send_request(request, now)

    def send_request(self, request: Request, now: float) -> None:
        """Send a request to the sidecar that the policy selects."""
        router = self.routers[request.entry]
        view = self.select_sidecar(request.entry, request.prefix, now)
        if view is None:
            self.totals.refused += 1
            return
        router.sent(view)
        server_number = int(view.peer.node[1:])
        deadline = NEVER_S
        if self.scenario.sheds_load:
            deadline = request.arrived_at + self.scenario.deadline_s
        offer = Offer(request.name, request.team, deadline)
        server = self.servers[server_number]
        self.apply_outcomes(
            server_number, server.admission.handle(offer, now), now
        )

    def select_sidecar(
        self, entry: int, prefix: int, now: float
    ) -> SidecarView | None:
        """Select a sidecar by the scenario's policy."""
        router = self.routers[entry]
        views = list(router.views.values())
        match self.scenario.policy:
            case 'round robin':
                return views[next(self.round_robin[entry]) % len(views)]
            case 'random':
                return self.rng.choice(views)
            case 'least in flight':
                return min(views, key=lambda view: view.in_flight)
        return router.choose(GROUP, prefix, now)

    def apply_outcomes(
        self, server_number: int, outcomes: list[Outcome], now: float
    ) -> None:
        """Apply the decisions of a server's admission."""
        for outcome in outcomes:
            request = self.requests[outcome.attempt]
            if isinstance(outcome, Refuse):
                self.totals.refused += 1
                self.release_request(server_number, request)
            elif isinstance(outcome, Run):
                self.start_request(server_number, request, now)

    def start_request(
        self, server_number: int, request: Request, now: float
    ) -> None:
        """Start a request and schedule its end."""
        service_s, is_cached = self.servers[server_number].lookup_service_s(
            request.prefix
        )
        request.started_at = now
        self.totals.started += 1
        self.totals.cache_hits += is_cached
        waits = self.totals.waits.setdefault(request.team, [])
        waits.append(now - request.arrived_at + service_s - SERVICE_TIME_S)
        self.schedule(
            now + service_s,
            lambda at_s: self.finish_request(server_number, request, at_s),
        )

    def finish_request(
        self, server_number: int, request: Request, now: float
    ) -> None:
        """End a request and let the server start the next ones."""
        is_on_time = now - request.arrived_at <= self.scenario.deadline_s
        self.totals.on_time += is_on_time
        self.totals.late += not is_on_time
        self.release_request(server_number, request)
        admission = self.servers[server_number].admission
        finished = Finished(request.name)
        self.apply_outcomes(server_number, admission.handle(finished, now), now)
        self.apply_outcomes(server_number, admission.handle(Tick(), now), now)

    def release_request(self, server_number: int, request: Request) -> None:
        """Release a request from its entry's count of requests in flight."""
        router = self.routers[request.entry]
        router.done(router.views[f's{server_number}'])
