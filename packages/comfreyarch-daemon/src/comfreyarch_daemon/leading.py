"""Take part in a group's election, and coordinate it when elected."""

import time
from collections.abc import Callable
from typing import Any

import gevent

from comfreyarch_core import coordinatormessages, frames
from comfreyarch_core.balancer import (
    AbandonMap,
    Balancer,
    ChangeEnded,
    Decide,
    MapInForce,
    ProposeMap,
    Shares,
)
from comfreyarch_core.coordinator import Coordinator, make_coordinator
from comfreyarch_core.evacuation import EvacuationBlocked, evacuate
from comfreyarch_core.lease import LeaseCandidate
from comfreyarch_core.loads import Report
from comfreyarch_core.mapmessages import COMMIT, AnyMapMessage
from comfreyarch_core.moves import Limits, Plan
from comfreyarch_core.objects import ExpertMap, ModelGroup
from comfreyarch_daemon.balancing import make_balancer
from comfreyarch_daemon.explaining import explain
from comfreyarch_daemon.leases import Election
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.ranking import Seat
from comfreyarch_daemon.store import (
    StoreClient,
)

TICK_S = 0.25


class Leading:
    """Be a candidate for the lead of one group.

    :param send: sends a message to a rank, by number.
    :param floor: takes the fence that the lease row holds.
    """

    __slots__ = (
        'balancer',
        'coordinator',
        'decided_at',
        'election',
        'evacuation',
        'expert_map',
        'greenlet',
        'group',
        'holder',
        'linked',
        'map_id',
        'number',
        'seat',
        'send',
        'send_share',
        'stopping',
    )

    def __init__(
        self,
        seat: Seat,
        holder: str,
        store: StoreClient,
        send: Callable[[int, AnyMapMessage], None],
        floor: Callable[[int], None],
    ) -> None:
        """Prepare a candidate named ``holder``."""
        self.seat = seat
        self.holder = holder
        self.send = send
        self.election = Election(
            seat.group,
            LeaseCandidate(holder, seat.rank),
            store,
            floor,
            self.lead,
            self.follow,
        )
        self.coordinator: Coordinator | None = None
        self.balancer: Balancer | None = None
        self.group: ModelGroup | None = None
        self.expert_map: ExpertMap | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.number = 0
        self.stopping: frozenset[int] = frozenset()
        self.evacuation = ''
        self.map_id = ''
        self.decided_at = time.monotonic()
        self.send_share: Callable[[int, float], None] = ignore_share
        self.linked: Callable[[], bool] = bool

    def start(self) -> None:
        """Start taking part."""
        self.greenlet = gevent.spawn(self.loop)

    def close(self) -> None:
        """Stop; the lease runs out by itself."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def configure(
        self,
        group: ModelGroup,
        expert_map: ExpertMap,
        stopping: frozenset[int],
    ) -> None:
        """Take the group's configuration.

        :param stopping: ranks whose upstream is to stop.
        """
        self.group = group
        self.expert_map = expert_map
        self.stopping = stopping
        self.evacuation = ''
        if self.balancer is not None:
            former = self.balancer
            self.balancer = make_balancer(
                group,
                expert_map,
                former.placement,
                self.map_id,
            )
            self.balancer.estimator = former.estimator
            self.keep_free(self.balancer)

    def keep_free(self, balancer: Balancer) -> None:
        """Let the balancer put nothing on stopping ranks."""
        capacity = tuple(
            0 if rank in self.stopping else slots
            for rank, slots in enumerate(balancer.limits.capacity)
        )
        balancer.limits = Limits(balancer.limits.experts_per_layer, capacity)

    def evacuate(self, coordinator: Coordinator, balancer: Balancer) -> None:
        """Move the experts of stopping ranks, or say why not."""
        placement = balancer.placement
        if not any(placement[rank] for rank in self.stopping):
            self.evacuation = 'done' if self.stopping else ''
            return
        if coordinator.phase is not coordinatormessages.Phase.steady:
            return
        if not self.linked():
            return
        loads = list(balancer.estimator.smoothed)
        found = evacuate(placement, self.stopping, loads, balancer.limits)
        if isinstance(found, EvacuationBlocked):
            self.evacuation = str(found)
            return
        self.evacuation = 'moving'
        self.tell(
            coordinatormessages.Propose(self.next_change(), found.placement)
        )

    def next_change(self) -> str:
        """Name the next change.

        :returns: a name that no other life or candidate uses.
        """
        self.number += 1
        return f'{self.holder}/{self.number}'

    def loop(self) -> None:
        """Let time pass for lease, coordinator and balancer."""
        while True:
            gevent.sleep(TICK_S)
            if self.group is None or self.expert_map is None:
                continue
            self.election.tick()
            self.tell(coordinatormessages.Tick())
            self.decide(self.group)

    def lead(self, fence: int) -> None:
        """Begin to coordinate."""
        expert_map = self.expert_map
        if expert_map is None:
            return
        log_change('leading group', group=self.seat.group, fence=fence)
        self.coordinator = make_coordinator(
            fence,
            self.seat.ranks,
            expert_map.placement,
        )
        self.act(self.coordinator.start(time.monotonic()))

    def follow(self, holder: str, fence: int) -> None:
        """Stop coordinating."""
        if self.coordinator is not None:
            log_change(
                'following group',
                group=self.seat.group,
                holder=holder,
                fence=fence,
            )
        self.coordinator = None
        self.balancer = None

    def tell(self, message: coordinatormessages.Message) -> None:
        """Tell the coordinator and carry out what it decides."""
        if self.coordinator is not None:
            self.act(self.coordinator.handle(message, time.monotonic()))

    def act(self, outcomes: list[coordinatormessages.Outcome]) -> None:
        """Carry out what the coordinator decided."""
        for outcome in outcomes:
            match outcome:
                case coordinatormessages.ToRank(rank, order):
                    self.send(rank, order)
                case coordinatormessages.ChangeFinished(change, ended):
                    log_change('map change', change=change, outcome=ended)
                    self.balance(ChangeEnded(ended == COMMIT))
                case coordinatormessages.MapAgreed():
                    self.stable(outcome)
                case coordinatormessages.Deposed(fence):
                    self.follow('another', fence)

    def stable(self, outcome: coordinatormessages.MapAgreed) -> None:
        """Take the map that all ranks agree on."""
        log_change(
            'map in force',
            group=self.seat.group,
            map=outcome.map_id,
            epoch=outcome.epoch,
        )
        self.map_id = outcome.map_id
        group, expert_map = self.group, self.expert_map
        if self.balancer is None:
            if group is not None and expert_map is not None:
                self.balancer = make_balancer(
                    group,
                    expert_map,
                    outcome.placement,
                    outcome.map_id,
                )
                self.keep_free(self.balancer)
            return
        self.balance(MapInForce(outcome.placement, outcome.map_id))

    def report(self, report: frames.RankReport) -> None:
        """Take a rank's report."""
        self.tell(coordinatormessages.StepSeen(report.step))
        if self.balancer is None:
            return
        taken = Report(
            report.rank,
            report.step,
            report.step_ms,
            report.loads,
            report.requests,
            report.map_id,
        )
        self.balancer.handle(taken, time.monotonic())

    def decide(self, group: ModelGroup) -> None:
        """Let the balancer decide once an interval."""
        now = time.monotonic()
        if self.balancer is None or now - self.decided_at < group.decide_s:
            return
        self.decided_at = now
        if self.coordinator is not None:
            self.evacuate(self.coordinator, self.balancer)
        # A sidecar that restarted has forgotten its share.
        if self.balancer.shares:
            self.send_shares(self.balancer.shares)
        self.balance(Decide())

    def balance(self, message: ChangeEnded | MapInForce | Decide) -> None:
        """Tell the balancer and carry out what it decides."""
        if self.balancer is None:
            return
        for outcome in self.balancer.handle(message, time.monotonic()):
            match outcome:
                case Shares(shares):
                    self.send_shares(shares)
                case ProposeMap(plan):
                    self.propose(plan)
                case AbandonMap():
                    self.tell(coordinatormessages.Abandon())

    def send_shares(self, shares: tuple[float, ...]) -> None:
        """Send every rank its share of requests."""
        for rank, share in enumerate(shares):
            self.send_share(rank, share)

    def propose(self, plan: Plan) -> None:
        """Propose a planned map, unless a rank is away."""
        if not self.linked():
            self.balance(ChangeEnded(committed=False))
            return
        change = self.next_change()
        log_change(
            'map proposed',
            change=change,
            gain_ms=plan.gain_ms,
            loads=plan.loads,
        )
        self.tell(coordinatormessages.Propose(change, plan.placement))

    def explain(self) -> dict[str, Any]:
        """Tell what the balancer would do now, and why.

        :returns: moves, gain and price as plain values.
        """
        if self.balancer is None:
            return {}
        return explain(self.seat.group, self.balancer, time.monotonic())


def ignore_share(rank: int, share: float) -> None:
    """Ignore a share before the role is set up."""
