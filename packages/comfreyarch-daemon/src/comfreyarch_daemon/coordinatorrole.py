"""Take part in a group's coordinator election, and coordinate if elected."""

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
from comfreyarch_daemon.rankrole import RankIdentity
from comfreyarch_daemon.store import (
    StoreClient,
)
from comfreyarch_daemon.supervision import spawn_loop

TICK_INTERVAL_S = 0.25


class CoordinatorRole:
    """Represent a candidate for coordinator, which coordinates if elected.

    :param send: sends a message to a rank, by number.
    :param set_fence_floor: receives the fence of the lease row.
    :param has_all_links: checks whether all other ranks are linked.
    :param send_share: sends a rank its share of requests.
    :param stopping: ranks whose upstream is to stop.
    :param evacuation: progress of moving experts off stopping ranks, or the
        reason why it is blocked.
    :param changes_named: number of changes named by this candidate.
    :param map_id: the last map that all ranks agreed on.
    """

    __slots__ = (
        'balancer',
        'changes_named',
        'coordinator',
        'election',
        'evacuation',
        'expert_map',
        'greenlet',
        'group',
        'has_all_links',
        'holder',
        'last_decision_at',
        'map_id',
        'rank_identity',
        'send',
        'send_share',
        'stopping',
    )

    def __init__(
        self,
        rank_identity: RankIdentity,
        holder: str,
        store: StoreClient,
        send: Callable[[int, AnyMapMessage], None],
        set_fence_floor: Callable[[int], None],
    ) -> None:
        """Create a candidate named ``holder`` without starting it."""
        self.rank_identity = rank_identity
        self.holder = holder
        self.send = send
        self.election = Election(
            rank_identity.group,
            LeaseCandidate(holder, rank_identity.rank),
            store,
            set_fence_floor,
            self.start_coordinating,
            self.stop_coordinating,
        )
        self.coordinator: Coordinator | None = None
        self.balancer: Balancer | None = None
        self.group: ModelGroup | None = None
        self.expert_map: ExpertMap | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.changes_named = 0
        self.stopping: frozenset[int] = frozenset()
        self.evacuation = ''
        self.map_id = ''
        self.last_decision_at = time.monotonic()
        self.send_share: Callable[[int, float], None] = ignore_share
        self.has_all_links: Callable[[], bool] = bool

    def start(self) -> None:
        """Start taking part in the election."""
        self.greenlet = spawn_loop('coordinator', self.run)

    def close(self) -> None:
        """Stop; the lease expires by itself."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def configure(
        self,
        group: ModelGroup,
        expert_map: ExpertMap,
        stopping: frozenset[int],
    ) -> None:
        """Apply the group's configuration.

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
            self.exclude_stopping_ranks(self.balancer)

    def exclude_stopping_ranks(self, balancer: Balancer) -> None:
        """Set the balancer's capacity of stopping ranks to 0."""
        capacity = tuple(
            0 if rank in self.stopping else slots
            for rank, slots in enumerate(balancer.limits.capacity)
        )
        balancer.limits = Limits(balancer.limits.experts_per_layer, capacity)

    def plan_evacuation(
        self, coordinator: Coordinator, balancer: Balancer
    ) -> None:
        """Propose to move experts off stopping ranks or record the obstacle."""
        placement = balancer.placement
        if not any(placement[rank] for rank in self.stopping):
            self.evacuation = 'done' if self.stopping else ''
            return
        if coordinator.phase is not coordinatormessages.Phase.steady:
            return
        if not self.has_all_links():
            return
        loads = list(balancer.estimator.smoothed)
        result = evacuate(placement, self.stopping, loads, balancer.limits)
        if isinstance(result, EvacuationBlocked):
            self.evacuation = str(result)
            return
        self.evacuation = 'moving'
        self.notify_coordinator(
            coordinatormessages.Propose(
                self.make_change_name(), result.placement
            )
        )

    def make_change_name(self) -> str:
        """Return a name for the next change.

        :returns: a name that no other candidate or incarnation uses.
        """
        self.changes_named += 1
        return f'{self.holder}/{self.changes_named}'

    def run(self) -> None:
        """Advance election, coordinator and balancer periodically."""
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            if self.group is None or self.expert_map is None:
                continue
            self.election.tick()
            self.notify_coordinator(coordinatormessages.Tick())
            self.run_balancer(self.group)

    def start_coordinating(self, fence: int) -> None:
        """Create the coordinator and start it under a fence."""
        expert_map = self.expert_map
        if expert_map is None:
            return
        log_change('leading group', group=self.rank_identity.group, fence=fence)
        self.coordinator = make_coordinator(
            fence,
            self.rank_identity.ranks,
            expert_map.placement,
        )
        self.apply_outcomes(self.coordinator.start(time.monotonic()))

    def stop_coordinating(self, holder: str, fence: int) -> None:
        """Stop coordinating, since ``holder`` leads under ``fence``."""
        if self.coordinator is not None:
            log_change(
                'following group',
                group=self.rank_identity.group,
                holder=holder,
                fence=fence,
            )
        self.coordinator = None
        self.balancer = None

    def notify_coordinator(self, message: coordinatormessages.Message) -> None:
        """Pass a message to the coordinator and apply its outcomes."""
        if self.coordinator is not None:
            self.apply_outcomes(
                self.coordinator.handle(message, time.monotonic())
            )

    def apply_outcomes(
        self, outcomes: list[coordinatormessages.Outcome]
    ) -> None:
        """Apply the coordinator's outcomes."""
        for outcome in outcomes:
            match outcome:
                case coordinatormessages.ToRank(rank, order):
                    self.send(rank, order)
                case coordinatormessages.ChangeFinished(change, change_outcome):
                    log_change(
                        'map change', change=change, outcome=change_outcome
                    )
                    self.notify_balancer(ChangeEnded(change_outcome == COMMIT))
                case coordinatormessages.MapAgreed():
                    self.handle_agreed_map(outcome)
                case coordinatormessages.Deposed(fence):
                    self.stop_coordinating('another', fence)

    def handle_agreed_map(self, outcome: coordinatormessages.MapAgreed) -> None:
        """Process the map that all ranks agree on."""
        log_change(
            'map in force',
            group=self.rank_identity.group,
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
                self.exclude_stopping_ranks(self.balancer)
            return
        self.notify_balancer(MapInForce(outcome.placement, outcome.map_id))

    def report(self, report: frames.RankReport) -> None:
        """Process a rank's load report."""
        self.notify_coordinator(coordinatormessages.StepSeen(report.step))
        if self.balancer is None:
            return
        balancer_report = Report(
            report.rank,
            report.step,
            report.step_ms,
            report.loads,
            report.requests,
            report.map_id,
        )
        self.balancer.handle(balancer_report, time.monotonic())

    def run_balancer(self, group: ModelGroup) -> None:
        """Let the balancer decide once per decision interval."""
        now = time.monotonic()
        if (
            self.balancer is None
            or now - self.last_decision_at < group.decide_s
        ):
            return
        self.last_decision_at = now
        if self.coordinator is not None:
            self.plan_evacuation(self.coordinator, self.balancer)
        # Resend the shares, since a sidecar loses its share when it restarts.
        if self.balancer.shares:
            self.send_shares(self.balancer.shares)
        self.notify_balancer(Decide())

    def notify_balancer(
        self, message: ChangeEnded | MapInForce | Decide
    ) -> None:
        """Pass a message to the balancer and apply its outcomes."""
        if self.balancer is None:
            return
        for outcome in self.balancer.handle(message, time.monotonic()):
            match outcome:
                case Shares(shares):
                    self.send_shares(shares)
                case ProposeMap(plan):
                    self.propose(plan)
                case AbandonMap():
                    self.notify_coordinator(coordinatormessages.Abandon())

    def send_shares(self, shares: tuple[float, ...]) -> None:
        """Send every rank its share of requests."""
        for rank, share in enumerate(shares):
            self.send_share(rank, share)

    def propose(self, plan: Plan) -> None:
        """Propose a planned map unless a rank is not linked."""
        if not self.has_all_links():
            self.notify_balancer(ChangeEnded(committed=False))
            return
        change = self.make_change_name()
        log_change(
            'map proposed',
            change=change,
            gain_ms=plan.gain_ms,
            loads=plan.loads,
        )
        self.notify_coordinator(
            coordinatormessages.Propose(change, plan.placement)
        )

    def explain(self) -> dict[str, Any]:
        """Return what the balancer would do now, and why.

        :returns: moves, gain and price as plain values.
        """
        if self.balancer is None:
            return {}
        return explain(
            self.rank_identity.group, self.balancer, time.monotonic()
        )


def ignore_share(rank: int, share: float) -> None:
    """Ignore a share that is sent before the role is set up."""
