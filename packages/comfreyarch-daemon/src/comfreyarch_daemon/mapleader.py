"""Lead the changes of a rank group's expert map from one of its sidecars."""

import math
from collections.abc import Callable, Sequence

import gevent

from comfreyarch_core.enginehealth import make_health_watch
from comfreyarch_core.enginestate import (
    EngineState,
    GroupMap,
)
from comfreyarch_core.grouppressure import make_pressure_monitor
from comfreyarch_core.groupstate import are_at_rest, are_switching
from comfreyarch_core.mapcontrol import MapControl, make_map_control
from comfreyarch_core.mapcontrolmessages import (
    DEPOSED,
    NOT_HELD,
    NOT_PREPARED,
    AbsentLeader,
    ChangeMap,
    Outcome,
    Phase,
    Recover,
    Reported,
    Send,
    Settled,
    Tick,
)
from comfreyarch_core.mapplan import (
    compute_skew_bound,
    measure_skew,
    plan_map,
)
from comfreyarch_core.planschedule import make_plan_schedule
from comfreyarch_core.slowranks import make_slow_ranks
from comfreyarch_core.storeposition import era_of
from comfreyarch_daemon.engineapi import EngineApi, EngineUnavailable
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.groupreports import RANK_TIMEOUT_S, GroupReports
from comfreyarch_daemon.leadership import LeaderRow, Leadership, MapRules
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.orderdelivery import OrderDelivery, OrderSender
from comfreyarch_daemon.sidecarmessages import ExpertCounts, StateReport
from comfreyarch_daemon.silentranks import FIRST_REPORT_S, SilentRanks
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.tablesource import StoreCallFailed
from comfreyarch_daemon.upstreamcalls import boot_time

TICK_INTERVAL_S = 0.02
IDLE_TICK_INTERVAL_S = 0.1
# A leader that was paused for longer than this may have been replaced.
MAX_PAUSE_S = 0.45
# Time for which a group must look unsettled before a recovery starts. The
# states of a group that switches maps arrive one after the other, so they
# disagree for a moment.
UNSETTLED_TIMEOUT_S = 0.5
# Time from the hold of a step until the change takes effect. Orders to all
# ranks are answered within some milliseconds.
SWITCH_DELAY_S = 0.25
# The same in a large group, whose leader sends all arms within 40 ms: time for two
# rounds. The hold makes it safe; the group pauses if more rounds are needed.
LARGE_GROUP_SWITCH_DELAY_S = 0.08
# Maximum wait for the leader's row before a change. The fences of the ranks and
# the hold keep a change safe if the term has ended.
TERM_CHECK_TIMEOUT_S = 0.1
# Age of the last confirmation of the term up to which that wait may time out.
MAX_CONFIRMATION_AGE_S = 10.0
# The same if an order is unanswered: engines that leave half of the orders
# unanswered need about a second of resent orders.
SWITCH_DELAY_UNANSWERED_S = 1.2
# Time that each rank adds to both.
SWITCH_DELAY_PER_RANK_S = 0.001
# Lower bound of a pass time. The first passes are not timed yet.
MIN_PASS_S = 0.02
# Pause between planning two sets, in which messages are handled.
PLAN_PAUSE_S = 0.001


class MapLeader:
    """Lead the map changes of a group for one term.

    :param must_resign: whether the term is over and another rank should lead.
    :param delivery: sends orders to sidecars and engines.
    :param former: the previous leader, if its rank is known.
    :param find_known_map: returns the map in use if the local sidecar knows it.
    :param is_engine_usable: whether the local engine's group is open and not
        stalled.
    :param schedule: decides when a map is planned.
    :param unsettled_since: time since which the group has been unsettled, 0 if
        it is settled.
    """

    __slots__ = (
        'control',
        'delivery',
        'find_known_map',
        'former',
        'group',
        'health',
        'is_engine_usable',
        'last_tick_at',
        'limits',
        'log',
        'metrics',
        'must_resign',
        'pressure',
        'reports',
        'schedule',
        'silent_ranks',
        'slow_ranks',
        'term_reader',
        'unsettled_since',
        'workers',
    )

    def __init__(
        self,
        own_state: EngineState,
        fence: int,
        rules: MapRules,
        leadership: Leadership,
        orders: OrderSender,
        open_engine: Callable[[str], EngineApi],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Create the leader of a term; nothing runs before ``start``."""
        self.control: MapControl = make_map_control(
            fence, own_state.rank, own_state.size
        )
        self.group = own_state.group
        self.limits = rules.limits
        self.pressure = make_pressure_monitor(rules.service_limits)
        # A change of the former leader, if any, has been silent for longer than a
        # switch takes. Only the first reports to this leader are awaited.
        self.unsettled_since = (
            boot_time() + FIRST_REPORT_S - UNSETTLED_TIMEOUT_S
        )
        self.must_resign = False
        self.last_tick_at = boot_time()
        self.health = make_health_watch()
        self.slow_ranks = make_slow_ranks()
        self.is_engine_usable = True
        self.term_reader = TermReader(leadership)
        self.log = log
        self.metrics = metrics
        self.reports = GroupReports(own_state.size, rules.limits.experts)
        self.schedule = make_plan_schedule(
            own_state.size, rules.limits.experts, boot_time()
        )
        self.delivery = OrderDelivery(
            self.control,
            self.reports,
            orders,
            open_engine,
            log,
            self.handle_direct_reading,
        )
        self.silent_ranks = SilentRanks(
            self.control,
            self.reports,
            open_engine,
            self.delivery.pass_on_reading,
            log,
            metrics,
        )
        self.former: AbsentLeader | None = None
        self.find_known_map: Callable[[EngineState, int], GroupMap | None] = (
            find_no_map
        )
        self.workers: list[gevent.Greenlet] = []

    @property
    def fence(self) -> int:
        """Return the fence of this term.

        :returns: a number that increases with each term.
        """
        return self.control.fence

    def apply_rules(self, rules: MapRules) -> None:
        """Apply new rules; with another number of experts the term ends."""
        if rules.limits.experts != self.limits.experts:
            self.must_resign = True
        self.limits = rules.limits
        self.pressure.limits = rules.service_limits

    def set_former_leader(
        self, former: LeaderRow, addresses: dict[int, str]
    ) -> None:
        """Identify the rank of the previous leader by its address.

        :param addresses: datagram addresses of the group's sidecars, by rank.
        """
        for rank, address in addresses.items():
            if address == former.address:
                self.former = AbsentLeader(rank, former.fence)

    def start(self) -> None:
        """Start leading."""
        self.workers = [
            spawn_loop('map control', self.tick),
            spawn_loop('map planning', self.run_planning),
        ]

    def close(self) -> None:
        """Stop leading."""
        for worker in self.workers:
            worker.kill(block=False)

    def tick(self) -> None:
        """Advance the map control's time until the term is over."""
        while True:
            idle = self.control.phase == Phase.idle
            gevent.sleep(IDLE_TICK_INTERVAL_S if idle else TICK_INTERVAL_S)
            if not self.check_awake():
                return
            self.last_tick_at = boot_time()
            self.apply_outcomes(self.control.handle(Tick(), boot_time()))

    def check_awake(self) -> bool:
        """Check that this process was not paused, and end the term if it was.

        A leader that was paused does nothing more, since another one may lead.

        :returns: False once the term is over.
        """
        paused_s = boot_time() - self.last_tick_at
        if paused_s > MAX_PAUSE_S and not self.must_resign:
            self.must_resign = True
            self.log.write('leader_paused', paused_s=round(paused_s, 3))
        return not self.must_resign

    def add_earlier_report(
        self, report: StateReport, received_at: float
    ) -> None:
        """Process a rank's report that was received before this term.

        It does not show that the rank's sidecar is alive now.
        """
        rank = report.state.rank
        self.delivery.last_reports[rank] = (received_at, report.number)
        self.reports.engine_addresses[rank] = report.engine
        reported = Reported(report.state, report.number)
        self.apply_outcomes(self.control.handle(reported, boot_time()))

    def handle_state(self, report: StateReport) -> None:
        """Process a rank's state report."""
        if not self.check_awake():
            return
        rank = report.state.rank
        self.reports.engine_addresses[rank] = report.engine
        self.reports.last_seen_at[rank] = boot_time()
        now = boot_time()
        is_own_rank = rank == self.control.own_rank
        self.pressure.handle(report.state, is_own_rank, now)
        self.watch_pace(report.state, now)
        if is_own_rank:
            slowest = max(self.slow_ranks.paces.values(), default=1)
            health = self.health.handle(report.state, now, slowest)
            self.is_engine_usable = health.usable
        reported = Reported(report.state, report.number)
        self.apply_outcomes(self.control.handle(reported, now))

    def handle_counts(self, counts: ExpertCounts) -> None:
        """Process a rank's expert counts."""
        if counts.group != self.group:
            return
        self.reports.handle_counts(counts)
        self.schedule.handle(counts.rank, counts.counts, boot_time())

    def watch_pace(self, state: EngineState, now: float) -> None:
        """Log when a rank becomes slow, or is no longer slow."""
        if not self.slow_ranks.handle(state.rank, state.pace, now):
            return
        paces = self.slow_ranks.paces
        self.metrics.gauge('slow_ranks', len(paces))
        self.log.write(
            'slow_ranks',
            group=self.group,
            ranks=sorted(paces),
            slowest=max(paces.values(), default=1),
        )

    def apply_outcomes(self, outcomes: list[Outcome]) -> None:
        """Apply the outcomes of the map control."""
        sends = [outcome for outcome in outcomes if isinstance(outcome, Send)]
        self.delivery.deliver(sends)
        for outcome in outcomes:
            if isinstance(outcome, Settled):
                self.finish_change(outcome.version, outcome.why)
                self.must_resign = outcome.why in {NOT_HELD, DEPOSED}

    def handle_direct_reading(self, state: EngineState, number: int) -> None:
        """Process the state of an engine that was ordered directly."""
        reported = Reported(state, number)
        self.apply_outcomes(self.control.handle(reported, boot_time()))

    def finish_change(self, version: int | None, why: str) -> None:
        """Log the end of a change and drop counts of the previous map."""
        self.reports.end_change()
        # The group stood still for the leader's hold; it needs time for a step.
        self.health.allow_time(boot_time())
        self.is_engine_usable = True
        if why == NOT_PREPARED:
            log_unprepared(self)
        planned = self.schedule.planned
        self.metrics.count('map_changes', outcome=why.replace(' ', '_'))
        self.log.write(
            'map_settled',
            group=self.group,
            fence=self.fence,
            version=version,
            why=why,
            skew_before=round(planned.before, 2) if planned else None,
            skew_planned=round(planned.after, 2) if planned else None,
        )

    def run_planning(self) -> None:
        """Plan and start changes until the term is over."""
        while self.check_awake():
            gevent.sleep(self.schedule.check_interval_s)
            if self.check_awake():
                self.check_demand()

    def check_demand(self) -> None:
        """Look for a shift of demand, and start a change if one is due."""
        now = boot_time()
        phase = self.control.phase
        if self.schedule.detect_shift(now):
            self.metrics.count('demand_shifts')
            self.log.write(
                'demand_shifted',
                group=self.group,
                fence=self.fence,
                phase=phase.name,
            )
        if phase == Phase.idle and self.schedule.is_due(now):
            self.start_due_change()

    def start_due_change(self) -> None:
        """Start a recovery if needed, otherwise a change if it helps.

        Neither starts while the content of the map in use is unknown.
        """
        self.silent_ranks.read_states(boot_time())
        own_state = self.control.states.get(self.control.own_rank)
        content = self.reports.assemble_map(own_state)
        if content is None and own_state is not None:
            content = self.find_known_map(own_state, self.limits.experts)
        if content is None:
            if self.is_unsettled():
                self.query_silent_ranks()
            return
        if self.control.is_quiescent() and self.is_engine_usable:
            self.unsettled_since = 0
            self.silent_ranks.stand_in(content, boot_time())
            self.plan_change(content)
        elif self.is_unsettled():
            self.control.content = content
            recover = Recover(content, self.absent_leader())
            self.apply_outcomes(self.control.handle(recover, boot_time()))

    def absent_leader(self) -> AbsentLeader | None:
        """Return the previous leader if its sidecar is silent.

        :returns: None if its reports arrive, or if it is unknown or this rank.
        """
        former = self.former
        if former is None or former.rank == self.control.own_rank:
            return None
        silent_s = boot_time() - self.reports.last_seen_at.get(former.rank, 0)
        return former if silent_s > RANK_TIMEOUT_S else None

    def is_unsettled(self) -> bool:
        """Check whether a recovery is needed.

        A former leader may have left a hold or an armed rank. A stalled group
        may also be blocked by a hold at a rank whose sidecar is silent.

        :returns: True if the group must be recovered before the next change.
        """
        own_state = self.control.states.get(self.control.own_rank)
        if (
            own_state is not None
            and own_state.is_open
            and not self.is_engine_usable
        ):
            return True
        states = self.control.states
        if are_at_rest(states) or are_switching(states):
            self.unsettled_since = 0
            return False
        now = boot_time()
        if not self.unsettled_since:
            self.unsettled_since = now
        return now - self.unsettled_since > UNSETTLED_TIMEOUT_S

    def query_silent_ranks(self) -> None:
        """Read the experts of ranks whose sidecars are silent."""
        own_state = self.control.states.get(self.control.own_rank)
        now = boot_time()
        for rank, address in list(self.reports.engine_addresses.items()):
            is_silent = (
                now - self.reports.last_seen_at.get(rank, 0) > RANK_TIMEOUT_S
            )
            if (
                own_state is None
                or not is_silent
                or self.reports.has_current_experts(rank, own_state)
            ):
                continue
            engine = self.delivery.open_engine(address)
            try:
                held = engine.held()
            except EngineUnavailable as error:
                self.log.write('engine_silent', rank=rank, why=str(error))
                continue
            finally:
                engine.close()
            self.reports.latest_counts[rank] = ExpertCounts(
                self.group,
                rank,
                own_state.epoch,
                held.version,
                held.experts,
                (),
            )

    def plan_change(self, content: GroupMap) -> None:
        """Plan one change and start it if callers gain from it."""
        demand = self.schedule.demand
        loads: Sequence[Sequence[float]] | None = (
            self.reports.sum_loads(len(content))
            if demand is None
            else demand.sum_loads(boot_time())
        )
        if loads is None or len(loads) != len(content):
            return
        self.schedule.expect(loads, planned=False)
        states = self.control.states
        slowness = [states[rank].pace for rank in sorted(states)]
        skew = measure_skew(content, loads, slowness)
        self.pressure.handle_skew(skew)
        is_due = self.slow_ranks.is_map_due(boot_time())
        if not is_due and not self.pressure.is_high(self.control.size, skew):
            return
        planned = plan_map(
            content, loads, self.limits, slowness, pause_planning
        )
        if planned is None or not self.pressure.is_map_worthwhile(
            planned.before, planned.after, planned.copies
        ):
            return
        if not self.is_still_leader():
            return
        self.schedule.planned = planned
        self.schedule.expect(loads, planned=True)
        self.control.content = content
        size = self.control.size
        self.log.write(
            'map_planned',
            group=self.group,
            fence=self.fence,
            skew=round(planned.before, 2),
            skew_planned=round(planned.after, 2),
            pass_s=round(self.pressure.pass_s, 3),
            predicted_pass_s=round(
                self.pressure.predict_pass(planned.before, size), 3
            ),
            copies=planned.copies,
            skew_bound=round(compute_skew_bound(loads, self.limits, size), 2),
            slowest=max(slowness),
        )
        change = ChangeMap(
            planned.content,
            self.compute_steps_ahead(
                SWITCH_DELAY_S
                if self.schedule.demand is None
                else LARGE_GROUP_SWITCH_DELAY_S,
                planned.before,
            ),
            self.compute_steps_ahead(SWITCH_DELAY_UNANSWERED_S, planned.before),
        )
        self.apply_outcomes(self.control.handle(change, boot_time()))

    def compute_steps_ahead(self, delay_s: float, skew: float = 1) -> int:
        """Return the number of steps until a change takes effect.

        :param delay_s: time in which a small group answers all orders.
        :param skew: peak over mean load of the map in use.
        :returns: enough steps for the orders to reach all ranks.
        """
        delay_s += SWITCH_DELAY_PER_RANK_S * self.control.size
        pass_s = self.pressure.expected_pass_s(skew)
        return math.ceil(delay_s / max(MIN_PASS_S, pass_s))

    def is_still_leader(self) -> bool:
        """Check in the store that this term has not ended.

        A store that was restored from an older copy may have lost the term. The
        row is then missing or that of an earlier leader, read in a later era
        than that of the term, and a leader must be elected again.

        A slow store does not delay the change if it confirmed the term lately;
        a later answer may still end the term.

        :returns: False if another leader was elected, if the term is lost, or
            if the store is unavailable.
        """
        reading = self.term_reader.read(self)
        reading.join(TERM_CHECK_TIMEOUT_S)
        if reading.ready():
            return bool(reading.value)
        self.metrics.count('slow_term_checks')
        age_s = boot_time() - self.schedule.term_confirmed_at
        return not self.must_resign and age_s < MAX_CONFIRMATION_AGE_S


class TermReader:
    """Read the leader's row, one reading at a time.

    A slow store may not have answered when the next change is due.

    :param reading: the last reading, which may be in progress.
    """

    __slots__ = ('leadership', 'reading')

    def __init__(self, leadership: Leadership) -> None:
        """Start without a reading."""
        self.leadership = leadership
        self.reading: gevent.Greenlet | None = None

    def read(self, leader: MapLeader) -> gevent.Greenlet:
        """Start a reading unless one is in progress.

        :returns: the reading; its value tells whether the term is confirmed.
        """
        if self.reading is None or self.reading.ready():
            self.reading = gevent.Greenlet.spawn(check_term, leader)
        return self.reading


def check_term(leader: MapLeader) -> bool:
    """Read the leader's row, and end the term if it is over.

    :returns: whether the row confirms the term.
    """
    try:
        row = leader.term_reader.leadership.read(leader.group)
    except StoreCallFailed as error:
        leader.log.write('leadership_unknown', why=str(error))
        return False
    if row.fence == leader.fence:
        leader.schedule.term_confirmed_at = boot_time()
        return True
    is_restored = row.era > era_of(leader.fence)
    if row.fence > leader.fence or row.fence == 0 or is_restored:
        leader.must_resign = True
    return False


def log_unprepared(leader: MapLeader) -> None:
    """Log how far the ranks got that did not prepare a map."""
    now = boot_time()
    copying, unreached, silent = [], [], []
    for rank in leader.control.find_unprepared():
        state = leader.control.states.get(rank)
        seen_at = leader.reports.last_seen_at.get(rank, 0)
        if state is not None and state.copying == leader.control.version:
            copying.append(rank)
        elif now - seen_at > RANK_TIMEOUT_S:
            silent.append(rank)
        else:
            unreached.append(rank)
    leader.log.write(
        'map_unprepared',
        fence=leader.fence,
        version=leader.control.version,
        copying=copying,
        unreached=unreached,
        silent=silent,
    )


def pause_planning() -> None:
    """Yield to the handlers of messages before the next set is planned."""
    gevent.sleep(PLAN_PAUSE_S)


def find_no_map(_state: EngineState, _experts: int) -> None:
    """Return None: no map is known locally."""
