"""Choose an upstream for a request that goes to it directly.

An entry knows its own requests at each upstream, and from the other entries
theirs. What an upstream reports beyond that belongs to entries that are
gone; it fades. A request goes to where the fewest are for each slot, and
waits where all slots are taken. Upstreams that lately failed are left out.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.fleetload import FleetLoad, make_fleet_load
from comfreyarch_core.servicegate import ServiceGate, make_service_gate
from comfreyarch_core.upstreamlist import UpstreamEntry

# Requests that an upstream reports and no entry tells of lose half of their
# weight in this time.
STRAY_HALF_LIFE_S = 0.7
# Load, as a share of the slots, by which the own zone is preferred.
NEAR_BONUS = 0.08
# Pauses after failures in a row: the first, and the longest.
FIRST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 3.0
# Pauses after refusals as not run, in a row: the first, and the longest.
FULL_PAUSE_S = 0.15
LONGEST_FULL_PAUSE_S = 1.2
# Pause after an upstream said that another one has its address.
REPLACED_PAUSE_S = 30.0
# What a sidecar told of an engine counts for this long.
HEALTH_S = 3.0
# Load that a slow rank is charged for each part of its slowness: it holds
# back all ranks of its group.
SLOW_LOAD = 2.0
# Load that a group is charged for each part by which its passes are longer
# than those of the fastest group of the service. All streams of a group wait
# for its slowest rank, so work goes to the group that is faster.
PASS_LOAD = 0.5
# Weight of the newest outcome in the share of failed requests.
OUTCOME_WEIGHT = 0.15
# Extra load that an upstream is charged for failing all its requests.
FAILURE_LOAD = 4.0
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what an upstream tells of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class UpstreamView:
    """Hold what an entry believes of one upstream.

    :param in_flight: own requests there now.
    :param strays: requests there that no entry tells of, when reported.
    :param failed_share: share of late outcomes that were failures.
    :param refusals: refusals as not run, in a row.
    :param paused_until: no new request before.
    :param health: what the sidecar beside it told last, if any.
    """

    entry: UpstreamEntry
    in_flight: int = 0
    strays: float = 0
    reported_at: float = 0
    failures: int = 0
    refusals: int = 0
    failed_share: float = 0
    paused_until: float = 0
    health: EngineHealth | None = None
    health_at: float = 0

    def healthy(self, now: float) -> bool:
        """Tell whether the sidecar beside it lets it take work.

        :returns: True also where no sidecar was heard of late.
        """
        health = self.known_health(now)
        return health is None or health.usable

    def known_health(self, now: float) -> EngineHealth | None:
        """Give what the sidecar told, while that counts.

        :returns: None where no sidecar was heard of late.
        """
        return self.health if now - self.health_at < HEALTH_S else None

    def strays_now(self, now: float) -> float:
        """Tell the faded number of strays.

        :returns: a number of requests.
        """
        age = max(0.0, now - self.reported_at)
        return self.strays * math.exp2(-age / STRAY_HALF_LIFE_S)


@dataclass(frozen=True, slots=True)
class GroupPass:
    """Hold the time of a group's passes, and when it was told."""

    pass_s: float
    at: float


@dataclass(slots=True)
class Placer:
    """Choose among the upstreams of all services.

    :param source: the random source, seeded outside.
    :param zone: the entry's availability zone.
    :param passes: times of passes, by group.
    """

    source: random.Random
    zone: str
    fleet: FleetLoad = field(default_factory=make_fleet_load)
    views: dict[str, UpstreamView] = field(default_factory=dict)
    services: dict[str, list[UpstreamView]] = field(default_factory=dict)
    gates: dict[str, ServiceGate] = field(default_factory=dict)
    passes: dict[str, GroupPass] = field(default_factory=dict)

    def know(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take the present upstreams; what is believed of known ones stays."""
        views: dict[str, UpstreamView] = {}
        services: dict[str, list[UpstreamView]] = {}
        for entry in entries:
            view = self.views.get(entry.name) or UpstreamView(entry)
            view.entry = entry
            views[entry.name] = view
            if not entry.leaving:
                services.setdefault(entry.service, []).append(view)
        self.views = views
        self.services = services

    def gate(self, service: str) -> ServiceGate:
        """Give the gate of a service.

        :returns: one that is open at first.
        """
        gate = self.gates.get(service)
        if gate is None:
            gate = make_service_gate()
            self.gates[service] = gate
        return gate

    def accepted(self, name: str) -> None:
        """Note that an upstream began to answer a request."""
        view = self.views.get(name)
        if view is not None:
            view.refusals = 0
            self.gate(view.entry.service).accepted()

    def is_down(self, service: str, now: float) -> bool:
        """Tell whether no upstream of a service takes work, busy or not.

        :returns: False where requests wait for free slots only.
        """
        views = self.services.get(service, ())
        return self.gate(service).closed or not any(
            view.healthy(now) and view.paused_until <= now for view in views
        )

    def total(self, view: UpstreamView, now: float) -> float:
        """Count all requests at an upstream, as far as is known.

        :returns: own, other entries' and stray requests.
        """
        others = self.fleet.others(view.entry.name)
        return view.in_flight + others + view.strays_now(now)

    def has_room(self, view: UpstreamView, now: float) -> bool:
        """Tell whether a slot is free at an upstream.

        :returns: False where a further request would wait there.
        """
        if view.paused_until > now or not view.healthy(now):
            return False
        return self.total(view, now) < view.entry.slots

    def choose(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NOBODY,
        longest_pass_s: float = math.inf,
    ) -> UpstreamView | None:
        """Choose the upstream with the lowest predicted load.

        :param avoid: names that this request was sent to before.
        :param longest_pass_s: with longer passes it would end too late.
        :returns: None where none has a free slot.
        """
        if not self.gate(service).may_send(now):
            return None
        ready = [
            view
            for view in self.services.get(service, ())
            if view.entry.name not in avoid
            and self.has_room(view, now)
            and self.pass_of(view, now) <= longest_pass_s
        ]
        if not ready:
            return None
        self.source.shuffle(ready)
        fastest = self.fastest_pass(service, now)
        return min(ready, key=lambda view: self.price(view, now, fastest))

    def pass_of(self, view: UpstreamView, now: float) -> float:
        """Give the time of the passes at an upstream.

        :returns: seconds, 0 where nobody told of late.
        """
        health = view.known_health(now)
        told = self.passes.get(health.group) if health is not None else None
        if told is None or now - told.at > HEALTH_S:
            return 0
        return told.pass_s

    def fastest_pass(self, service: str, now: float) -> float:
        """Give the shortest passes among the groups of a service.

        :returns: seconds, 0 where none are known.
        """
        known = [
            pass_s
            for view in self.services.get(service, ())
            if view.healthy(now) and (pass_s := self.pass_of(view, now)) > 0
        ]
        return min(known, default=0)

    def price(
        self,
        view: UpstreamView,
        now: float,
        fastest_pass_s: float = 0,
    ) -> float:
        """Price a candidate.

        :param fastest_pass_s: shortest passes among the groups.
        :returns: its load for each slot, grown by late failures and by slow
            passes, less the preference for the own zone.
        """
        near = view.entry.availability_zone == self.zone
        load = (self.total(view, now) + 1) / max(1, view.entry.slots)
        load += FAILURE_LOAD * view.failed_share
        health = view.known_health(now)
        if health is not None:
            load += SLOW_LOAD * (health.pace - 1)
        pass_s = self.pass_of(view, now)
        if pass_s > 0 and fastest_pass_s > 0:
            load += PASS_LOAD * (pass_s / fastest_pass_s - 1)
        return load - NEAR_BONUS if near else load

    def reported(self, name: str, report: LoadReport, now: float) -> None:
        """Take a load report that came with an answer."""
        view = self.views.get(name)
        if view is None:
            return
        known = view.in_flight + self.fleet.others(name)
        view.strays = max(0, report.running + report.waiting - known)
        view.reported_at = now

    def rejected(self, name: str, now: float) -> None:
        """Note that an upstream took no more: it is left alone a moment."""
        view = self.views.get(name)
        if view is None:
            return
        pause = min(
            math.ldexp(FULL_PAUSE_S, view.refusals), LONGEST_FULL_PAUSE_S
        )
        view.refusals += 1
        self.gate(view.entry.service).rejected(now)
        view.paused_until = max(view.paused_until, now + pause)

    def replaced(self, name: str, now: float) -> None:
        """Note that another upstream has the address by now."""
        view = self.views.get(name)
        if view is not None:
            view.paused_until = now + REPLACED_PAUSE_S

    def heard_health(
        self,
        address: str,
        health: EngineHealth,
        now: float,
    ) -> UpstreamView | None:
        """Take what a sidecar tells of the engine at an address.

        :returns: its view, None where no upstream is listed there.
        """
        if health.pass_s > 0:
            self.passes[health.group] = GroupPass(health.pass_s, now)
        for view in self.views.values():
            if view.entry.address != address:
                continue
            known = view.health
            reopened = health.usable and (
                known is None or not known.usable or known.epoch != health.epoch
            )
            if reopened:
                self.gate(view.entry.service).accepted()
                view.paused_until = 0
                view.refusals = 0
            view.health = health
            view.health_at = now
            return view
        return None

    def succeeded(self, name: str) -> None:
        """Note that an upstream answered as it should."""
        view = self.views.get(name)
        if view is None:
            return
        view.failures = 0
        view.refusals = 0
        view.paused_until = 0
        view.failed_share *= 1 - OUTCOME_WEIGHT

    def erred(self, name: str) -> None:
        """Note that an upstream ran a request and failed."""
        view = self.views.get(name)
        if view is not None:
            view.failed_share += OUTCOME_WEIGHT * (1 - view.failed_share)

    def failed(self, name: str, now: float) -> float:
        """Note a failure: nothing new is sent for a growing pause.

        :returns: the pause in seconds.
        """
        view = self.views.get(name)
        if view is None:
            return 0
        pause = min(math.ldexp(FIRST_PAUSE_S, view.failures), LONGEST_PAUSE_S)
        view.failures += 1
        view.failed_share += OUTCOME_WEIGHT * (1 - view.failed_share)
        view.paused_until = now + pause
        return pause


def make_placer(zone: str, seed: int) -> Placer:
    """Make a placer with its own random source.

    :returns: a placer that knows nobody.
    """
    return Placer(random.Random(seed), zone)
