"""Match a caller's request to its route, service and team.

Entries that send requests to upstreams directly use these routes, which the
platform adapter reads; entries with sidecars use those of ``objects``. A
table is built once for each configuration and is immutable. A lookup tries one
prefix for each slash of the path, so its cost does not depend on the number of
routes.
"""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyarch_core.coldstates import ColdRules


class RouteKind(enum.StrEnum):
    """Kind of a route: idempotent, not idempotent, or with streamed answers."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of a service among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe one route; times are in seconds.

    :param timeout_s: longest time to the end of the answer.
    :param target_s: latency target for the whole answer, or for the first
        event of a stream.
    :param gap_target_s: target for the longest gap between the events of a
        stream.
    :param priority: 0 is served first.
    :param attempts: number of upstreams that may run a request, at most.
    :param public: whether requests need no API key.
    :param resumable: whether a broken stream can continue at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    gap_target_s: float
    priority: int
    services: tuple[ServiceShare, ...]
    attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Check whether a request may run more than once.

        :returns: True for idempotent requests and resumable streams.
        """
        if self.kind == RouteKind.streaming:
            return self.resumable
        return self.kind == RouteKind.idempotent


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Describe the configured performance of a model engine.

    :param slots: requests that run concurrently.
    :param step_s: time of a step that generates one token, without load.
    :param step_s_per_request: time added to a step by each running request.
    :param prompt_tokens_per_s: prompt tokens processed per second.
    :param mean_prompt_tokens: mean prompt tokens of a request.
    :param mean_answer_tokens: mean answer tokens of a request.
    :param tokens_per_pass: tokens that a pass adds to each stream.
    :param max_prompt_tokens_per_pass: prompt tokens that one pass processes
        at most.
    """

    slots: int
    step_s: float
    step_s_per_request: float
    prompt_tokens_per_s: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    tokens_per_pass: float = 1
    max_prompt_tokens_per_pass: float = math.inf

    def min_passes(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Compute the least number of passes that a stream takes.

        :param prompt_tokens: tokens of its prompt.
        :param answer_tokens: upper limit of its answer; the mean answer is
            assumed if it is shorter.
        :returns: prompt passes plus answer passes.
        """
        prompt_passes = prompt_tokens / self.max_prompt_tokens_per_pass
        answer_passes = (
            min(answer_tokens, self.mean_answer_tokens) / self.tokens_per_pass
        )
        return prompt_passes + answer_passes


@dataclass(frozen=True, slots=True)
class Service:
    """Describe one service, whose upstreams are interchangeable.

    :param connection_limit: connections that an upstream accepts from all
        callers combined.
    :param cold: how an upstream behaves after its start.
    """

    name: str
    connection_limit: int
    engine: EngineProfile | None = None
    cold: ColdRules = ColdRules()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size and the time of a caller's requests.

    :param header_timeout_s: longest pause within the headers of a request.
    :param idle_timeout_s: longest wait for a request on a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Team:
    """Describe a team of callers.

    :param priority: replaces the priority of the route if it is set.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Lookup tables of one configuration.

    :param version: version of the configuration.
    :param hosts: host → prefix → route.
    :param services: service name → service.
    :param teams: API key → team; empty if no keys are required.
    :param requires_keys: whether requests to routes that are not public need
        an API key.
    """

    version: int
    hosts: dict[str, dict[str, Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    requires_keys: bool = False

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching prefix.

        :param path: the request target; a query is ignored.
        :returns: the route, or None if no prefix matches.
        """
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = path.partition('?')[0].rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def min_passes(
        self,
        service: str,
        prompt_tokens: int,
        answer_tokens: int,
    ) -> float:
        """Compute the least number of engine passes that a request takes.

        :returns: 0 for an unknown service or one without an engine.
        """
        found = self.services.get(service)
        if found is None or found.engine is None:
            return 0
        return found.engine.min_passes(prompt_tokens, answer_tokens)

    def service_names(self) -> frozenset[str]:
        """Return the names of all services, of routes and in the list.

        :returns: service names.
        """
        routes = (
            route
            for prefixes in self.hosts.values()
            for route in prefixes.values()
        )
        named = {share.service for route in routes for share in route.services}
        return frozenset(named | self.services.keys())

    def team_of(self, key: str) -> Team | None:
        """Find the team that holds a key.

        :returns: the team, or None for an unknown key.
        """
        return self.teams.get(key)


def make_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    teams: dict[str, Team] | None,
    limits: CallerLimits,
) -> RouteTable:
    """Build the lookup tables of one configuration.

    :param teams: API key → team, or None if keys are not required.
    :returns: the table.
    """
    hosts: dict[str, dict[str, Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, {})[route.prefix] = route
    return RouteTable(
        version,
        hosts,
        {service.name: service for service in services},
        teams or {},
        limits,
        requires_keys=teams is not None,
    )
