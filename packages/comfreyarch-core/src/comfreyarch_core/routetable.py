"""Match a caller's request to its route, service and team.

A table is built once a configuration and never changed. Lookups walk the
slashes of the path, so their cost does not grow with the number of routes.
"""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field


class RouteKind(enum.StrEnum):
    """Say what may be repeated and how the answer comes."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold one route; times are in seconds.

    :param attempts: upstreams that may run one request, at most.
    :param target_s: time to the whole answer, or to a stream's first event.
    :param gap_target_s: longest pause between the events of a stream.
    :param priority: rank, 0 is served first.
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
        """Tell whether a request may run more than once.

        :returns: True for idempotent requests and resumable streams.
        """
        if self.kind == RouteKind.streaming:
            return self.resumable
        return self.kind == RouteKind.idempotent


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """Hold what a model engine's operator states of its speed.

    :param slots: requests that run at once.
    :param step_s: time of one token step with nothing else to do.
    :param step_s_a_request: added for each running request.
    :param read_tokens_a_s: prompt tokens read a second.
    :param usual_prompt: mean prompt tokens of a request.
    :param usual_answer: mean answer tokens of a request.
    :param tokens_a_pass: tokens that a pass adds to each stream.
    :param read_tokens_a_pass: prompt tokens that a pass reads at most.
    """

    slots: int
    step_s: float
    step_s_a_request: float
    read_tokens_a_s: float
    usual_prompt: float
    usual_answer: float
    tokens_a_pass: float = 1
    read_tokens_a_pass: float = math.inf

    def passes(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Tell how many passes a stream takes at the least.

        :param answer_tokens: the most that its answer may have.
        :returns: a number of passes.
        """
        read = prompt_tokens / self.read_tokens_a_pass
        written = min(answer_tokens, self.usual_answer) / self.tokens_a_pass
        return read + written


@dataclass(frozen=True, slots=True)
class Service:
    """Hold one service: upstreams that are alike."""

    name: str
    connection_limit: int
    engine: EngineFigures | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Team:
    """Name a team; its priority goes before that of the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one configuration, ready for lookups.

    :param hosts: host → prefix → route.
    :param teams: API key → team; empty where no keys are asked for.
    """

    version: int
    hosts: dict[str, dict[str, Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    asks_keys: bool = False

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins a path.

        :param path: the request target; a query is ignored.
        :returns: the route, or None where no prefix fits.
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

    def passes(
        self,
        service: str,
        prompt_tokens: int,
        answer_tokens: int,
    ) -> float:
        """Tell how many passes of its engine a request takes at the least.

        :returns: 0 for a service without an engine.
        """
        known = self.services.get(service)
        if known is None or known.engine is None:
            return 0
        return known.engine.passes(prompt_tokens, answer_tokens)

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
    """Build the lookups of one configuration.

    :param teams: API key → team, or None where keys are not asked for.
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
        asks_keys=teams is not None,
    )
