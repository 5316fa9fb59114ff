"""Choose an upstream for a request that an entry sends to it directly.

An entry knows its own requests in flight at each upstream and receives the
counts of the other entries. Requests that an upstream reports beyond those
are strays: they belong to entries that are gone, and their weight decays. A
request goes to the upstream with the lowest load per slot, and waits if all
slots are taken. Upstreams that recently failed are paused; one that announces
that it leaves, or that it wants no request for a time, gets none, nor do those
of a zone that is evacuated.
"""

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from functools import partial

from comfreyarch_core.announcements import (
    UpstreamAnnouncements,
    make_announcements,
)
from comfreyarch_core.circuitbreaker import CircuitBreaker, make_circuit_breaker
from comfreyarch_core.coldupstreams import ColdUpstreams, make_cold_upstreams
from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.fleetload import FleetLoad, make_fleet_load
from comfreyarch_core.sendpermits import SendPermits, Unlimited
from comfreyarch_core.slotclaims import (
    SlotClaim,
    make_slot_claim,
    rank_entry,
    score,
)
from comfreyarch_core.slowranks import SLOW_PACE
from comfreyarch_core.streampace import StreamPace, make_stream_pace
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.zoneevacuation import (
    ZoneEvacuations,
    make_zone_evacuations,
)

# Half-life of the weight of strays: requests that an upstream reports and no
# entry accounts for.
STRAY_HALF_LIFE_S = 0.7
# Load, as a share of the slots, by which the own zone is preferred.
LOCAL_ZONE_BONUS = 0.08
# Pause after the first of several consecutive failures; it doubles each time.
MIN_FAILURE_PAUSE_S = 0.4
# Longest pause after consecutive failures.
MAX_FAILURE_PAUSE_S = 3.0
# Pause after the first of several consecutive rejections as not run; it
# doubles each time.
MIN_REJECTION_PAUSE_S = 0.15
# Longest pause after consecutive rejections.
MAX_REJECTION_PAUSE_S = 1.2
# Pause after an answer that another upstream now has the address.
REPLACED_PAUSE_S = 30.0
# A sidecar's health report about an engine expires after this time.
HEALTH_TTL_S = 3.0
# Load added per unit of slowness above 1: a slow rank holds back all ranks of
# its group.
SLOWNESS_LOAD = 2.0
# Load added per unit by which a group's passes are longer than those of the
# fastest group of the service. All streams of a group wait for its slowest
# rank, so work goes to the faster group.
PASS_TIME_LOAD = 0.5
# Weight of the newest outcome in the moving average of the failure rate.
OUTCOME_WEIGHT = 0.15
# Load added for an upstream with a failure rate of 1.
FAILURE_LOAD = 4.0
# Load taken off for a limited upstream that may get a request: what it takes and
# does not get is lost.
PERMITTED_BONUS = 0.25
# Share of a service's upstreams that get no request because they are slow. If more
# are slow, the others lack the slots for their load.
MAX_UNUSED_SLOW_SHARE = 0.5
# Free slots for each other entry up to which entries choose different upstreams.
# In a trial by score alone, with 26 entries at 0.9 of the capacity, 1 gave 0.55
# rejections per send, and 6 gave 0.26.
SCARCE_SLOTS_PER_ENTRY = 6
# Load by which the preferences of entries then differ, so that they choose
# different upstreams.
SCATTER_LOAD = 1.0
NO_UPSTREAMS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold the load that an upstream reports with an answer, in requests."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class UpstreamView:
    """Represent one upstream as an entry sees it.

    :param in_flight: this entry's requests in flight there.
    :param strays: requests there that no entry accounted for at
        ``reported_at``.
    :param failure_rate: moving average of the share of failed requests.
    :param consecutive_rejections: rejections as not run since the last
        accepted request.
    :param paused_until: no new request is sent before this time.
    :param health: last health report of the sidecar beside it, if any.
    :param claim: whether this entry may take its free slots.
    """

    entry: UpstreamEntry
    in_flight: int = 0
    strays: float = 0
    reported_at: float = 0
    consecutive_failures: int = 0
    consecutive_rejections: int = 0
    failure_rate: float = 0
    paused_until: float = 0
    health: EngineHealth | None = None
    health_reported_at: float = 0
    claim: SlotClaim = field(default_factory=make_slot_claim)

    def is_healthy(self, now: float) -> bool:
        """Check whether the sidecar's health report allows new requests.

        :returns: True also if there is no recent report.
        """
        health = self.recent_health(now)
        return health is None or health.usable

    def is_slow(self, now: float) -> bool:
        """Check whether the upstream is far slower than usual.

        :returns: False if there is no recent report.
        """
        health = self.recent_health(now)
        return health is not None and health.pace >= SLOW_PACE

    def recent_health(self, now: float) -> EngineHealth | None:
        """Return the sidecar's last health report unless it has expired.

        :returns: None if there is no recent report.
        """
        return (
            self.health
            if now - self.health_reported_at < HEALTH_TTL_S
            else None
        )

    def decayed_strays(self, now: float) -> float:
        """Compute the decayed number of strays.

        :returns: a number of requests.
        """
        age_s = max(0.0, now - self.reported_at)
        return self.strays * math.exp2(-age_s / STRAY_HALF_LIFE_S)


@dataclass(frozen=True, slots=True)
class PassTime:
    """Hold the duration of a group's passes and when it was reported."""

    pass_s: float
    reported_at: float


@dataclass(slots=True)
class UpstreamSelector:
    """Choose among the upstreams of all services.

    :param source: random source, seeded by the caller.
    :param availability_zone: the entry's availability zone.
    :param announcements: what upstreams announced with their answers.
    :param permits: limits the sends to upstreams that announced a limit.
    :param evacuations: zones whose upstreams get no request.
    :param cold: limits the sends to upstreams that are cold.
    :param views: known upstreams by name, including leaving ones.
    :param services: upstreams that neither leave nor are in an evacuated zone,
        by service.
    :param pass_times: last reported pass time, by group.
    :param pace: shortest recent pass time, by group.
    """

    source: random.Random
    availability_zone: str
    fleet_load: FleetLoad = field(default_factory=make_fleet_load)
    announcements: UpstreamAnnouncements = field(
        default_factory=make_announcements
    )
    permits: SendPermits = field(default_factory=Unlimited)
    evacuations: ZoneEvacuations = field(default_factory=make_zone_evacuations)
    cold: ColdUpstreams = field(
        default_factory=partial(make_cold_upstreams, '')
    )
    views: dict[str, UpstreamView] = field(default_factory=dict)
    services: dict[str, list[UpstreamView]] = field(default_factory=dict)
    circuit_breakers: dict[str, CircuitBreaker] = field(default_factory=dict)
    pass_times: dict[str, PassTime] = field(default_factory=dict)
    pace: StreamPace = field(default_factory=make_stream_pace)

    def update_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Replace the list of upstreams; state of remaining ones is kept."""
        views: dict[str, UpstreamView] = {}
        services: dict[str, list[UpstreamView]] = {}
        for entry in entries:
            view = self.views.get(entry.name) or UpstreamView(entry)
            view.entry = entry
            views[entry.name] = view
            if not (
                self.announcements.is_leaving(entry)
                or self.evacuations.includes(entry)
            ):
                services.setdefault(entry.service, []).append(view)
        self.views = views
        self.services = services

    def announced_leaving(self, name: str) -> bool:
        """Record an upstream's announcement that it leaves.

        :returns: False if that was known, or if it is not listed.
        """
        view = self.views.get(name)
        if view is None or not self.announcements.record_leaving(view.entry):
            return False
        self.update_upstreams([known.entry for known in self.views.values()])
        return True

    def announced_hold(self, name: str, hold_s: float, now: float) -> None:
        """Record that an upstream wants no request for a time."""
        self.announcements.record_hold(name, now + hold_s, now)

    def accepts(self, view: UpstreamView, now: float) -> bool:
        """Check whether an upstream may get new requests.

        :returns: False if it is leaving, paused or unhealthy, wants none, or is
            in an evacuated zone.
        """
        if self.evacuations.includes(view.entry):
            return False
        return (
            view.paused_until <= now
            and self.announcements.hold_end(view.entry.name) <= now
            and view.is_healthy(now)
            and not self.announcements.is_leaving(view.entry)
        )

    def hold_end(self, service: str) -> float:
        """Return the earliest end of the holds of a service's upstreams.

        :returns: a time; minus infinity if one of them wants requests, infinity
            if the service has none.
        """
        return min(
            (
                self.announcements.hold_end(view.entry.name)
                for view in self.services.get(service, ())
            ),
            default=math.inf,
        )

    def circuit_breaker(self, service: str) -> CircuitBreaker:
        """Return the circuit breaker of a service.

        :returns: the breaker, created closed on first use.
        """
        breaker = self.circuit_breakers.get(service)
        if breaker is None:
            breaker = make_circuit_breaker()
            self.circuit_breakers[service] = breaker
        return breaker

    def accepted(self, name: str) -> None:
        """Record that an upstream began to answer a request."""
        view = self.views.get(name)
        if view is not None:
            view.consecutive_rejections = 0
            self.circuit_breaker(view.entry.service).accepted()

    def is_down(self, service: str, now: float) -> bool:
        """Check whether no upstream of a service accepts requests.

        :returns: False if requests only wait for busy slots.
        """
        views = self.services.get(service, ())
        return self.circuit_breaker(service).is_open or not any(
            self.accepts(view, now) for view in views
        )

    def total_in_flight(self, view: UpstreamView, now: float) -> float:
        """Estimate the number of all requests at an upstream.

        :returns: requests of this entry, of other entries, and strays.
        """
        others = self.fleet_load.others(view.entry.name)
        return view.in_flight + others + view.decayed_strays(now)

    def has_free_slot(self, view: UpstreamView, now: float) -> bool:
        """Check whether an upstream can start another request immediately.

        :returns: False if it may get no request, or all slots are taken.
        """
        return (
            self.permits.may_send(view.entry, now)
            and self.cold.may_send(view.entry, now)
            and self.has_room(view, now)
        )

    def has_room(self, view: UpstreamView, now: float) -> bool:
        """Check whether an upstream has a slot, permitted or not.

        :returns: False if it accepts no request, or all slots are taken.
        """
        if not self.accepts(view, now):
            return False
        return self.total_in_flight(view, now) < view.entry.slots

    def limited_upstreams(
        self, service: str, now: float
    ) -> list[UpstreamEntry]:
        """List the upstreams that would take a request with a permit.

        :returns: the limited ones with a free slot.
        """
        if self.permits.is_idle:
            return []
        return [
            view.entry
            for view in self.services.get(service, ())
            if self.permits.rate(view.entry) < math.inf
            and self.has_room(view, now)
        ]

    def service_limit(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NO_UPSTREAMS,
    ) -> float:
        """Add up the limits of a service's upstreams.

        Those that are paused count: pauses are shorter than callers wait.

        :param avoid: names of upstreams that are left out.
        :returns: requests per second over all entries, infinite if a healthy
            upstream is not limited or there is none.
        """
        if self.permits.is_idle:
            return math.inf
        rates = [
            self.permits.rate(view.entry)
            for view in self.services.get(service, ())
            if view.entry.name not in avoid
            and view.is_healthy(now)
            and self.announcements.hold_end(view.entry.name) <= now
        ]
        return sum(rates) if rates else math.inf

    def choose(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NO_UPSTREAMS,
        max_pass_s: float = math.inf,
    ) -> UpstreamView | None:
        """Choose the upstream with the lowest predicted load.

        :param avoid: names of upstreams that this request was sent to before.
        :param max_pass_s: longest pass time with which the request still
            meets its deadline.
        :returns: None if no upstream has a free slot.
        """
        ready, scatter = list_ready(self, service, now, avoid, max_pass_s)
        if not ready:
            return None
        self.source.shuffle(ready)
        fastest_s = self.min_pass_time_s(service, now)
        return min(
            ready,
            key=lambda view: (
                self.load_score(view, now, fastest_s)
                + scatter * score(view.entry.name, self.fleet_load.node)
            ),
        )

    def pass_time_s(self, view: UpstreamView, now: float) -> float:
        """Return the duration of the passes at an upstream.

        :returns: seconds, 0 without a recent report.
        """
        health = view.recent_health(now)
        pass_time = (
            self.pass_times.get(health.group) if health is not None else None
        )
        if pass_time is None or now - pass_time.reported_at > HEALTH_TTL_S:
            return 0
        return pass_time.pass_s

    def min_pass_time_s(self, service: str, now: float) -> float:
        """Return the shortest pass time among the groups of a service.

        :returns: seconds, 0 if none is known.
        """
        known = [
            pass_s
            for view in self.services.get(service, ())
            if view.is_healthy(now)
            and (pass_s := self.pass_time_s(view, now)) > 0
        ]
        return min(known, default=0)

    def load_score(
        self,
        view: UpstreamView,
        now: float,
        fastest_pass_s: float = 0,
    ) -> float:
        """Compute the load score of a candidate; the lowest is chosen.

        :param fastest_pass_s: shortest pass time among the groups.
        :returns: load per slot, increased for recent failures and slow
            passes, less the preference for the own zone.
        """
        is_local = view.entry.availability_zone == self.availability_zone
        load = (self.total_in_flight(view, now) + 1) / max(1, view.entry.slots)
        load += FAILURE_LOAD * view.failure_rate
        health = view.recent_health(now)
        if health is not None:
            load += SLOWNESS_LOAD * (health.pace - 1)
        pass_s = self.pass_time_s(view, now)
        if pass_s > 0 and fastest_pass_s > 0:
            load += PASS_TIME_LOAD * (pass_s / fastest_pass_s - 1)
        if self.permits.rate(view.entry) < math.inf:
            load -= PERMITTED_BONUS
        load += self.cold.load(view.entry, now)
        return load - LOCAL_ZONE_BONUS if is_local else load

    def update_load(self, name: str, report: LoadReport, now: float) -> None:
        """Record a load report that came with an answer."""
        view = self.views.get(name)
        if view is None:
            return
        known = view.in_flight + self.fleet_load.others(name)
        view.strays = max(0, report.running + report.waiting - known)
        view.reported_at = now

    def rejected(self, name: str, now: float) -> None:
        """Record that an upstream rejected a request as not run, and pause."""
        view = self.views.get(name)
        if view is None:
            return
        pause_s = min(
            math.ldexp(MIN_REJECTION_PAUSE_S, view.consecutive_rejections),
            MAX_REJECTION_PAUSE_S,
        )
        view.consecutive_rejections += 1
        self.circuit_breaker(view.entry.service).rejected(now)
        view.paused_until = max(view.paused_until, now + pause_s)

    def replaced(self, name: str, now: float) -> None:
        """Record that another upstream has the address; pause this one."""
        view = self.views.get(name)
        if view is not None:
            view.paused_until = now + REPLACED_PAUSE_S

    def update_health(
        self,
        address: str,
        health: EngineHealth,
        now: float,
    ) -> UpstreamView | None:
        """Record a sidecar's health report on the engine at an address.

        An engine that becomes usable, or is usable in a new epoch, has its
        pause ended, and the service's circuit breaker closes.

        :returns: the upstream's view, None if none is listed there.
        """
        if health.pass_s > 0:
            self.pass_times[health.group] = PassTime(health.pass_s, now)
            self.pace.record_report(health.group, health.pass_s, now)
        for view in self.views.values():
            if view.entry.address != address:
                continue
            known = view.health
            has_recovered = health.usable and (
                known is None or not known.usable or known.epoch != health.epoch
            )
            if has_recovered:
                self.circuit_breaker(view.entry.service).accepted()
                view.paused_until = 0
                view.consecutive_rejections = 0
            view.health = health
            view.health_reported_at = now
            return view
        return None

    def succeeded(self, name: str) -> None:
        """Record that an upstream answered successfully; end its pause."""
        view = self.views.get(name)
        if view is None:
            return
        view.consecutive_failures = 0
        view.consecutive_rejections = 0
        view.paused_until = 0
        view.failure_rate *= 1 - OUTCOME_WEIGHT

    def returned_error(self, name: str) -> None:
        """Record that an upstream ran a request and answered with an error."""
        view = self.views.get(name)
        if view is not None:
            view.failure_rate += OUTCOME_WEIGHT * (1 - view.failure_rate)

    def failed(self, name: str, now: float) -> float:
        """Record that a send failed, and pause the upstream with backoff.

        :returns: the pause in seconds.
        """
        view = self.views.get(name)
        if view is None:
            return 0
        pause_s = min(
            math.ldexp(MIN_FAILURE_PAUSE_S, view.consecutive_failures),
            MAX_FAILURE_PAUSE_S,
        )
        view.consecutive_failures += 1
        view.failure_rate += OUTCOME_WEIGHT * (1 - view.failure_rate)
        view.paused_until = now + pause_s
        return pause_s


def list_ready(
    selector: UpstreamSelector,
    service: str,
    now: float,
    avoid: frozenset[str],
    max_pass_s: float,
) -> tuple[list[UpstreamView], float]:
    """List the upstreams among which the load score decides.

    :returns: the upstreams, and the load by which the preferences of
        entries differ.
    """
    if not selector.circuit_breaker(service).may_send(now):
        return [], 0
    if selector.evacuations.is_outdated(now):
        return [], 0
    ready = [
        view
        for view in selector.services.get(service, ())
        if view.entry.name not in avoid
        and selector.has_free_slot(view, now)
        and (
            max_pass_s == math.inf
            or present_pass_s(selector, view, now) <= max_pass_s
        )
    ]
    ready = leave_out_slow(ready, selector.services.get(service, ()), now)
    if is_scarce(selector, ready, now):
        return leave_to_others(selector, service, ready, now), SCATTER_LOAD
    return ready, 0


def leave_out_slow(
    ready: list[UpstreamView], views: Collection[UpstreamView], now: float
) -> list[UpstreamView]:
    """Leave out slow upstreams, which hold back all streams of a group.

    :param ready: upstreams with a free slot.
    :param views: all upstreams of the service.
    :returns: the others; all of them if most of the service's upstreams are
        slow.
    """
    usual = [view for view in ready if not view.is_slow(now)]
    if usual or not ready:
        return usual
    slow = sum(view.is_slow(now) for view in views)
    return ready if slow > MAX_UNUSED_SLOW_SHARE * len(views) else usual


def is_scarce(
    selector: UpstreamSelector, ready: list[UpstreamView], now: float
) -> bool:
    """Check whether entries may send to the same free slots.

    :param ready: upstreams with a free slot.
    :returns: True if there are few free slots for the number of entries.
    """
    left = SCARCE_SLOTS_PER_ENTRY * len(selector.fleet_load.loads)
    if not left or not ready:
        return False
    free = sum(
        view.entry.slots - selector.total_in_flight(view, now) for view in ready
    )
    return free <= left


def leave_to_others(
    selector: UpstreamSelector,
    service: str,
    ready: list[UpstreamView],
    now: float,
) -> list[UpstreamView]:
    """Leave free slots to the entries that come first for them.

    Limited upstreams are divided by permits.

    :param ready: upstreams with a free slot.
    :returns: those at which this entry may take one.
    """
    load = selector.fleet_load
    waiting = load.waiting_entries(service)
    return [
        view
        for view in ready
        if selector.permits.rate(view.entry) < math.inf
        or view.claim.may_take(
            view.entry.slots - selector.total_in_flight(view, now),
            rank_entry(view.entry.name, load.node, waiting),
            now,
        )
    ]


def next_send_at(selector: UpstreamSelector, service: str, now: float) -> float:
    """Return when holds and coldness allow a request to a service.

    :returns: a time that is not after ``now`` if they allow it; infinity if the
        service has no upstreams.
    """
    return min(
        (
            max(
                selector.announcements.hold_end(view.entry.name),
                selector.cold.next_send_at(view.entry, now),
            )
            for view in selector.services.get(service, ())
        ),
        default=math.inf,
    )


def count_slots(
    selector: UpstreamSelector, service: str, now: float
) -> tuple[int, float]:
    """Count the slots of a service.

    Upstreams that are paused after a rejection are busy, not down.

    :returns: the slots of all upstreams that are up, and those that can
        take a request now.
    """
    slots = 0
    free = 0.0
    for view in selector.services.get(service, ()):
        accepts = selector.accepts(view, now)
        if accepts or (view.consecutive_rejections and view.is_healthy(now)):
            slots += view.entry.slots
        if accepts:
            used = selector.total_in_flight(view, now)
            free += max(0, view.entry.slots - used)
    return slots, free


def present_pass_s(
    selector: UpstreamSelector, view: UpstreamView, now: float
) -> float:
    """Return the pass time at an upstream that a request is placed by.

    :returns: seconds as measured by streams, else as reported, else 0.
    """
    if view.health is None:
        return 0
    measured_s = selector.pace.measured_s(view.health.group, now)
    return measured_s or selector.pass_time_s(view, now)


def shortest_pass_s(
    selector: UpstreamSelector,
    service: str,
    avoid: frozenset[str],
    now: float,
) -> float:
    """Return the shortest recent pass at the upstreams of a service.

    :param avoid: names of upstreams that are left out.
    :returns: seconds, 0 if that of an upstream is unknown or there is none.
    """
    views = [
        view
        for view in selector.services.get(service, ())
        if view.entry.name not in avoid
    ]
    groups = {view.health.group for view in views if view.health is not None}
    if any(view.health is None for view in views):
        return 0
    return min(
        (selector.pace.shortest_pass_s(group, now) for group in groups),
        default=0,
    )


def record_gap(
    selector: UpstreamSelector, view: UpstreamView, gap_s: float, now: float
) -> None:
    """Record the time between two events of a stream of an upstream."""
    if view.health is not None:
        selector.pace.record_gap(view.health.group, gap_s, now)


def make_upstream_selector(
    availability_zone: str, seed: int
) -> UpstreamSelector:
    """Create a selector with its own random source.

    :returns: a selector without upstreams.
    """
    return UpstreamSelector(random.Random(seed), availability_zone)
