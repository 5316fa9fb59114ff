"""Take part in a group's election, and coordinate it when elected."""

import time
from collections.abc import Callable
from typing import Any

import gevent

from comfreyarch_core import coordinator as coordinating
from comfreyarch_core import frames, lease
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
from comfreyarch_core.costs import CostModel
from comfreyarch_core.evacuation import Stuck, evacuate
from comfreyarch_core.lease import LeaseKeeper, LeaseRow
from comfreyarch_core.loads import Report, make_estimator
from comfreyarch_core.mapmessages import COMMIT, AnyMapMessage, Placement
from comfreyarch_core.moves import Limits, Plan, Price
from comfreyarch_core.objects import ExpertMap, ModelGroup
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.ranking import Seat
from comfreyarch_daemon.store import (
    Put,
    StoreClient,
    StoreError,
    TableRow,
    Unavailable,
    Written,
)

LEASE_TABLE = 'leases'
TICK_S = 0.25


def row_from(row: TableRow) -> LeaseRow:
    """Read a lease row.

    :returns: version 0 where there is none.
    """
    content = row.content
    if content is None:
        return LeaseRow()
    return LeaseRow(
        row.version,
        content['holder'],
        content['fence'],
        content['beat'],
    )


def make_balancer(
    group: ModelGroup,
    expert_map: ExpertMap,
    placement: Placement,
    map_id: str,
) -> Balancer:
    """Make the balancer of a group from its configuration.

    :returns: a balancer that has heard nobody.
    """
    costs = CostModel(group.base_ms, group.token_ms, group.request_ms)
    own = max(len(held) for held in expert_map.placement)
    slots = own // expert_map.layers + expert_map.spare_slots
    limits = Limits(
        expert_map.experts // expert_map.layers,
        (slots,) * group.ranks,
    )
    budget = group.batch_bytes_a_s * group.decide_s / group.expert_bytes
    price = Price(
        group.skew_price,
        group.move_price_ms,
        group.horizon_steps,
        max(1, min(group.moves_a_batch, int(budget))),
    )
    estimator = make_estimator(
        placement,
        expert_map.experts,
        costs,
        map_id,
    )
    return Balancer(estimator, placement, limits, price, costs)


class Leading:
    """Be a candidate for the lead of one group.

    :param send: sends a message to a rank, by number.
    :param floor: takes the fence that the lease row holds.
    """

    __slots__ = (
        'balancer',
        'coordinator',
        'decided_at',
        'evacuation',
        'expert_map',
        'floor',
        'greenlet',
        'group',
        'holder',
        'keeper',
        'map_id',
        'number',
        'seat',
        'send',
        'send_share',
        'stopping',
        'store',
        'writing',
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
        self.store = store
        self.send = send
        self.floor = floor
        self.keeper = LeaseKeeper(holder, seat.rank)
        self.coordinator: Coordinator | None = None
        self.balancer: Balancer | None = None
        self.group: ModelGroup | None = None
        self.expert_map: ExpertMap | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.writing = False
        self.number = 0
        self.stopping: frozenset[int] = frozenset()
        self.evacuation = ''
        self.map_id = ''
        self.decided_at = time.monotonic()
        self.send_share: Callable[[int, float], None] = ignore_share

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
        balancer.limits = Limits(balancer.limits.experts_a_layer, capacity)

    def evacuate(self, coordinator: Coordinator, balancer: Balancer) -> None:
        """Move the experts of stopping ranks, or say why not."""
        placement = balancer.placement
        if not any(placement[rank] for rank in self.stopping):
            self.evacuation = 'done' if self.stopping else ''
            return
        if coordinator.phase is not coordinating.Phase.steady:
            return
        loads = list(balancer.estimator.smoothed)
        found = evacuate(placement, self.stopping, loads, balancer.limits)
        if isinstance(found, Stuck):
            self.evacuation = str(found)
            return
        self.evacuation = 'moving'
        self.tell(coordinating.Propose(self.next_change(), found.placement))

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
            if not self.writing:
                self.tell_lease(lease.Tick())
            self.tell(coordinating.Tick())
            self.decide(self.group)

    def tell_lease(self, message: lease.Message) -> None:
        """Tell the lease keeper and carry out what it decides."""
        for outcome in self.keeper.handle(message, time.monotonic()):
            match outcome:
                case lease.WriteRow():
                    self.writing = True
                    gevent.spawn(self.write_row, outcome)
                case lease.ReadRow():
                    self.writing = True
                    gevent.spawn(self.read_row)
                case lease.Lead(fence):
                    self.lead(fence)
                case lease.Follow(holder, fence):
                    self.follow(holder, fence)

    def write_row(self, write: lease.WriteRow) -> None:
        """Write the lease row."""
        row = write.row
        content = {
            'holder': row.holder,
            'fence': row.fence,
            'beat': row.beat,
        }
        put = Put(LEASE_TABLE, self.seat.group, write.expected, content)
        outcome = self.store.transact([put])
        self.writing = False
        if isinstance(outcome, Written):
            self.floor(row.fence)
            self.tell_lease(lease.Took(row))
        elif not isinstance(outcome, Unavailable):
            self.tell_lease(lease.Missed())

    def read_row(self) -> None:
        """Read the lease row."""
        try:
            row = self.store.read(LEASE_TABLE, self.seat.group)
        except StoreError:
            self.writing = False
            return
        self.writing = False
        seen = row_from(row)
        self.floor(seen.fence)
        self.tell_lease(lease.Saw(seen))

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

    def tell(self, message: coordinating.Message) -> None:
        """Tell the coordinator and carry out what it decides."""
        if self.coordinator is not None:
            self.act(self.coordinator.handle(message, time.monotonic()))

    def act(self, outcomes: list[coordinating.Outcome]) -> None:
        """Carry out what the coordinator decided."""
        for outcome in outcomes:
            match outcome:
                case coordinating.ToRank(rank, order):
                    self.send(rank, order)
                case coordinating.Changed(change, ended):
                    log_change('map change', change=change, outcome=ended)
                    self.balance(ChangeEnded(ended == COMMIT))
                case coordinating.Stable():
                    self.stable(outcome)
                case coordinating.Deposed(fence):
                    self.follow('another', fence)

    def stable(self, outcome: coordinating.Stable) -> None:
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
        self.tell(coordinating.StepSeen(report.step))
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
                    self.tell(coordinating.Abandon())

    def send_shares(self, shares: tuple[float, ...]) -> None:
        """Send every rank its share of requests."""
        for rank, share in enumerate(shares):
            self.send_share(rank, share)

    def propose(self, plan: Plan) -> None:
        """Propose a planned map."""
        change = self.next_change()
        log_change(
            'map proposed',
            change=change,
            gain_ms=plan.gain_ms,
            loads=plan.loads,
        )
        self.tell(coordinating.Propose(change, plan.placement))

    def explain(self) -> dict[str, Any]:
        """Tell what the balancer would do now, and why.

        :returns: moves, gain and price as plain values.
        """
        if self.balancer is None:
            return {}
        balancer = self.balancer
        plan = balancer.plan()
        picture = balancer.estimator.picture()
        page: dict[str, Any] = {
            'group': self.seat.group,
            'slowness': list(picture.slowness),
            'shares': list(balancer.shares),
            'times_ms': balancer.times(balancer.placement, picture),
            'reports_complete': balancer.estimator.complete(time.monotonic()),
        }
        if plan is not None:
            page['plan'] = {
                'changes': [
                    {
                        'kind': one.kind,
                        'expert': one.given,
                        'from': one.source,
                        'to': one.target,
                        'instead_of': one.taken,
                    }
                    for one in plan.changes
                ],
                'before_ms': plan.before_ms,
                'after_ms': plan.after_ms,
                'worth_ms': plan.worth_ms,
                'price_ms': plan.price_ms,
                'pays': balancer.pays(plan),
            }
        return page


def ignore_share(rank: int, share: float) -> None:
    """Ignore a share before the role is set up."""
