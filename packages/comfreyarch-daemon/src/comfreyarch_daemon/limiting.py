"""Keep the teams' limits at an entry and lend shares to others."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from comfreyarch_core import frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.limits import (
    GRANT_TTL_S,
    STATIC_FRACTION,
    Demand,
    Grant,
    QuotaAllocator,
    TeamGate,
)
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.routing import rank_by_score
from comfreyarch_daemon.store import Instance

MS_A_SECOND = 1000
ZONE_LEVEL = 'zone'
GRANT_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class Place:
    """Say where this entry stands."""

    node: str
    availability_zone: str


class Limiter:
    """Admit teams' requests and play home for the teams that hash here."""

    __slots__ = (
        'arrivals',
        'config',
        'entries',
        'gates',
        'place',
        'root_homes',
        'send',
        'zone_entries',
        'zone_homes',
    )

    def __init__(
        self,
        place: Place,
        send: Callable[[str, frames.Frame], bool],
    ) -> None:
        """Start without teams.

        :param send: sends a frame to a node by name.
        """
        self.place = place
        self.send = send
        self.config = ConfigSet()
        self.gates: dict[str, TeamGate] = {}
        self.arrivals: dict[str, Event] = {}
        self.zone_homes: dict[str, QuotaAllocator] = {}
        self.root_homes: dict[str, QuotaAllocator] = {}
        self.entries: list[str] = [place.node]
        self.zone_entries: list[str] = [place.node]

    def advanced(self, config: ConfigSet) -> None:
        """Take the teams of a new configuration."""
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

    def listed(self, instances: list[Instance]) -> None:
        """Take the entries that share the limits."""
        live = [one for one in instances if one.role == 'entry']
        self.entries = sorted({self.place.node, *(one.node for one in live)})
        self.zone_entries = sorted(
            {
                self.place.node,
                *(
                    one.node
                    for one in live
                    if one.availability_zone == self.place.availability_zone
                ),
            }
        )
        for gate in self.gates.values():
            gate.entries = len(self.entries)

    def root(self, team: str) -> str:
        """Find a team's home entry.

        :returns: a node name.
        """
        return rank_by_score(self.entries, team)[0]

    def zone_home(self, team: str) -> str:
        """Find a team's home in this availability zone.

        :returns: a node name.
        """
        return rank_by_score(self.zone_entries, team)[0]

    def admit(self, team: str, now: float) -> Refusal | None:
        """Take a request in, or refuse it at once.

        :returns: None when it is admitted.
        """
        gate = self.gates.get(team)
        if gate is None:
            return not_run(Kind.unauthorized)
        refusal = gate.admit(now)
        if refusal is None or gate.grant.until > now:
            return refusal
        self.ask(team, gate, now)
        self.wait_for_grant(team, gate, now)
        return gate.admit(time.monotonic())

    def wait_for_grant(self, team: str, gate: TeamGate, now: float) -> None:
        """Wait a moment for a home that answers from another entry."""
        if gate.grant.until > now:
            return
        arrived = self.arrivals.setdefault(team, Event())
        arrived.clear()
        arrived.wait(GRANT_WAIT_S)

    def release(self, team: str) -> None:
        """Count a request over."""
        gate = self.gates.get(team)
        if gate is not None:
            gate.release()

    def renew(self, now: float) -> None:
        """Ask for new shares for all teams at work here."""
        for team, gate in self.gates.items():
            if not gate.is_idle():
                self.ask(team, gate, now)
        for team, home in self.zone_homes.items():
            home.expire(now)
            if home.demands:
                self.ask_root(team, home, now)

    def ask(self, team: str, gate: TeamGate, now: float) -> None:
        """Ask the zone's home of a team for a share."""
        demand = gate.demand(now)
        home = self.zone_home(team)
        if home == self.place.node:
            gate.grant = self.lend(team, self.place.node, demand, now)
            return
        self.send(home, frames.ShareAsk(team, demand.rate, round(demand.open)))

    def lend(
        self,
        team: str,
        child: str,
        demand: Demand,
        now: float,
    ) -> Grant:
        """Lend from this zone's allotment."""
        home = self.zone_homes.get(team)
        if home is None:
            home = QuotaAllocator(0, 0)
            self.zone_homes[team] = home
        if self.root(team) == self.place.node or not home.rate:
            home.demands[child] = demand
            self.ask_root(team, home, now)
        return home.handle(child, demand, now)

    def ask_root(self, team: str, home: QuotaAllocator, now: float) -> None:
        """Ask the team's home entry for this zone's allotment."""
        demand = home.demand()
        root = self.root(team)
        if root == self.place.node:
            grant = self.lend_zone(
                team,
                self.place.availability_zone,
                demand,
                now,
            )
            home.resize(grant.rate, grant.open)
            return
        ask = frames.ShareAsk(team, demand.rate, round(demand.open), ZONE_LEVEL)
        self.send(root, ask)

    def lend_zone(
        self,
        team: str,
        zone: str,
        demand: Demand,
        now: float,
    ) -> Grant:
        """Lend to an availability zone from the team's whole limit."""
        limits = self.config.teams.get(team)
        if limits is None:
            return Grant(0, 0, now)
        home = self.root_homes.get(team)
        if home is None:
            home = QuotaAllocator(0, 0)
            self.root_homes[team] = home
        part = 1 - STATIC_FRACTION
        home.resize(limits.rate * part, limits.concurrency * part)
        return home.handle(zone, demand, now)

    def asked(
        self,
        node: str,
        zone: str,
        ask: frames.ShareAsk,
        now: float,
    ) -> frames.ShareGrant:
        """Answer another entry's ask.

        :param zone: the asking entry's availability zone.
        :returns: the share lent.
        """
        demand = Demand(ask.want, ask.open)
        if ask.level == ZONE_LEVEL:
            grant = self.lend_zone(ask.team, zone, demand, now)
        else:
            grant = self.lend(ask.team, node, demand, now)
        return frames.ShareGrant(
            ask.team,
            grant.rate,
            grant.open,
            round(GRANT_TTL_S * MS_A_SECOND),
            ask.level,
        )

    def granted(self, grant: frames.ShareGrant, now: float) -> None:
        """Take a share that a home lent."""
        if grant.level == ZONE_LEVEL:
            home = self.zone_homes.get(grant.team)
            if home is not None:
                home.resize(grant.rate, grant.open)
            return
        gate = self.gates.get(grant.team)
        if gate is not None:
            until = now + grant.ttl_ms / MS_A_SECOND
            gate.grant = Grant(grant.rate, grant.open, until)
            arrived = self.arrivals.pop(grant.team, None)
            if arrived is not None:
                arrived.set()

    def homes(self) -> set[str]:
        """Tell which entries this one needs links to.

        :returns: node names: the zone's homes of all teams, so that the
            first ask need not wait for a link, and the teams' own homes
            where this entry is a zone's home.
        """
        wanted = {self.zone_home(team) for team in self.gates}
        wanted.update(self.root(team) for team in self.zone_homes)
        return wanted - {self.place.node}
