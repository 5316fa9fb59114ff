"""Enforce the teams' limits at an entry and grant shares to other entries.

Shares of a team's limit are granted in two levels, see
``comfreyarch_core.limits``: the team's home entry grants to the home entries
of the availability zones, and each of these to the entries of its zone.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from comfreyarch_core import frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.limits import (
    STATIC_FRACTION,
    Demand,
    Grant,
    QuotaAllocator,
    TeamGate,
)
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.rendezvous import sort_by_score
from comfreyarch_daemon.store import Instance

MS_PER_S = 1000
# Level of a request for the grant of a whole availability zone.
ZONE_LEVEL = 'zone'
# Maximum time that a refused request waits for a new grant.
GRANT_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class EntryLocation:
    """Name an entry and its availability zone."""

    node: str
    availability_zone: str


class TeamLimiter:
    """Admit teams' requests and grant shares as a home entry.

    Rendezvous hashing selects the home entries of a team.

    :param zone_allocators: by team, quotas of this availability zone.
    :param team_allocators: by team, quotas of the whole team.
    """

    __slots__ = (
        'config',
        'entries',
        'gates',
        'grant_events',
        'location',
        'send',
        'team_allocators',
        'zone_allocators',
        'zone_entries',
    )

    def __init__(
        self,
        location: EntryLocation,
        send: Callable[[str, frames.Frame], bool],
    ) -> None:
        """Start without teams.

        :param send: sends a frame to the node of the given name.
        """
        self.location = location
        self.send = send
        self.config = ConfigSet()
        self.gates: dict[str, TeamGate] = {}
        self.grant_events: dict[str, Event] = {}
        self.zone_allocators: dict[str, QuotaAllocator] = {}
        self.team_allocators: dict[str, QuotaAllocator] = {}
        self.entries: list[str] = [location.node]
        self.zone_entries: list[str] = [location.node]

    def apply_config(self, config: ConfigSet) -> None:
        """Apply the teams and limits of a new configuration."""
        self.config = config
        for name in self.gates.keys() - config.teams.keys():
            self.gates.pop(name)
        for name, team in config.teams.items():
            gate = self.gates.get(name)
            if gate is None:
                entries = len(self.entries)
                self.gates[name] = TeamGate(
                    team.rate,
                    team.concurrency,
                    entries,
                )
                continue
            gate.rate = team.rate
            gate.open_limit = team.concurrency

    def update_instances(self, instances: list[Instance]) -> None:
        """Update the entries that share the limits."""
        entry_instances = [
            instance for instance in instances if instance.role == 'entry'
        ]
        self.entries = sorted(
            {
                self.location.node,
                *(instance.node for instance in entry_instances),
            }
        )
        self.zone_entries = sorted(
            {
                self.location.node,
                *(
                    instance.node
                    for instance in entry_instances
                    if instance.availability_zone
                    == self.location.availability_zone
                ),
            }
        )
        for gate in self.gates.values():
            gate.entries = len(self.entries)

    def team_home(self, team: str) -> str:
        """Return the home entry of a team.

        :returns: a node name.
        """
        return sort_by_score(self.entries, team)[0]

    def zone_home(self, team: str) -> str:
        """Return the home entry of a team in this availability zone.

        :returns: a node name.
        """
        return sort_by_score(self.zone_entries, team)[0]

    def admit(self, team: str, now: float) -> Refusal | None:
        """Admit a request or refuse it.

        A refused request waits up to ``GRANT_WAIT_S`` for a new grant if
        the last one has expired.

        :returns: None if the request is admitted.
        """
        gate = self.gates.get(team)
        if gate is None:
            return not_run(Kind.unauthorized)
        refusal = gate.admit(now)
        if refusal is None or gate.grant.until > now:
            return refusal
        self.request_grant(team, gate, now)
        self.wait_for_grant(team, gate, now)
        return gate.admit(time.monotonic())

    def wait_for_grant(self, team: str, gate: TeamGate, now: float) -> None:
        """Wait for the grant of a home on another entry."""
        if gate.grant.until > now:
            return
        grant_event = self.grant_events.setdefault(team, Event())
        grant_event.clear()
        grant_event.wait(GRANT_WAIT_S)

    def release(self, team: str) -> None:
        """Record that an admitted request has ended."""
        gate = self.gates.get(team)
        if gate is not None:
            gate.release()

    def renew(self, now: float) -> None:
        """Request new grants for all teams with requests at this entry."""
        for team, gate in self.gates.items():
            if not gate.is_idle():
                self.request_grant(team, gate, now)
        for team, allocator in self.zone_allocators.items():
            allocator.expire(now)
            if allocator.demands:
                self.request_zone_grant(team, allocator, now)

    def request_grant(self, team: str, gate: TeamGate, now: float) -> None:
        """Request a share from the team's home in this zone."""
        demand = gate.demand(now)
        home = self.zone_home(team)
        if home == self.location.node:
            gate.grant = self.grant_to_entry(
                team, self.location.node, demand, now
            )
            return
        self.send(
            home,
            frames.ShareAsk(
                team,
                demand.rate,
                round(demand.open),
                asked_ms=round(now * MS_PER_S),
            ),
        )

    def grant_to_entry(
        self,
        team: str,
        child: str,
        demand: Demand,
        now: float,
    ) -> Grant:
        """Grant an entry a share of this zone's quota."""
        allocator = self.zone_allocators.get(team)
        if allocator is None:
            allocator = QuotaAllocator(0, 0)
            self.zone_allocators[team] = allocator
        if self.team_home(team) == self.location.node or not allocator.rate:
            allocator.demands[child] = demand
            self.request_zone_grant(team, allocator, now)
        return allocator.handle(child, demand, now)

    def request_zone_grant(
        self,
        team: str,
        allocator: QuotaAllocator,
        now: float,
    ) -> None:
        """Request this zone's quota from the team's home entry."""
        demand = allocator.demand()
        team_home = self.team_home(team)
        if team_home == self.location.node:
            grant = self.grant_to_zone(
                team,
                self.location.availability_zone,
                demand,
                now,
            )
            allocator.resize(grant.rate, grant.open, grant.until)
            return
        ask = frames.ShareAsk(
            team,
            demand.rate,
            round(demand.open),
            ZONE_LEVEL,
            round(now * MS_PER_S),
        )
        self.send(team_home, ask)

    def grant_to_zone(
        self,
        team: str,
        zone: str,
        demand: Demand,
        now: float,
    ) -> Grant:
        """Grant an availability zone a share of the team's limit."""
        limits = self.config.teams.get(team)
        if limits is None:
            return Grant(0, 0, now)
        allocator = self.team_allocators.get(team)
        if allocator is None:
            allocator = QuotaAllocator(0, 0)
            self.team_allocators[team] = allocator
        granted_fraction = 1 - STATIC_FRACTION
        allocator.resize(
            limits.rate * granted_fraction,
            limits.concurrency * granted_fraction,
        )
        return allocator.handle(zone, demand, now)

    def answer_share_request(
        self,
        node: str,
        zone: str,
        ask: frames.ShareAsk,
        now: float,
    ) -> frames.ShareGrant:
        """Answer another entry's request for a share.

        :param zone: the requesting entry's availability zone.
        :returns: the grant.
        """
        demand = Demand(ask.want, ask.open)
        if ask.level == ZONE_LEVEL:
            grant = self.grant_to_zone(ask.team, zone, demand, now)
        else:
            grant = self.grant_to_entry(ask.team, node, demand, now)
        return frames.ShareGrant(
            ask.team,
            grant.rate,
            grant.open,
            max(0, round((grant.until - now) * MS_PER_S)),
            ask.level,
            ask.asked_ms,
        )

    def apply_grant(self, grant: frames.ShareGrant, now: float) -> None:
        """Apply a grant from a home and wake the requests that wait for it.

        One that has ended on its way, or while this process did not run, is void.
        """
        asked_at = grant.asked_ms / MS_PER_S if grant.asked_ms else now
        until = asked_at + grant.ttl_ms / MS_PER_S
        if until <= now:
            return
        if grant.level == ZONE_LEVEL:
            allocator = self.zone_allocators.get(grant.team)
            if allocator is not None:
                allocator.resize(grant.rate, grant.open, until)
            return
        gate = self.gates.get(grant.team)
        if gate is not None:
            gate.grant = Grant(grant.rate, grant.open, until)
            grant_event = self.grant_events.pop(grant.team, None)
            if grant_event is not None:
                grant_event.set()

    def home_entries(self) -> set[str]:
        """Return the home entries to keep links to.

        :returns: node names: the homes of all teams in this zone, so that
            the first request for a share need not wait for a link, and the
            homes of the teams for which this entry is a zone's home.
        """
        nodes = {self.zone_home(team) for team in self.gates}
        nodes.update(self.team_home(team) for team in self.zone_allocators)
        return nodes - {self.location.node}
