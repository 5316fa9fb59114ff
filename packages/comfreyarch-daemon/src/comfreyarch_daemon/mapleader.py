"""Lead a rank group's map from one of its sidecars."""

import math
from collections.abc import Callable
from dataclasses import replace

import gevent

from comfreyarch_core.enginehealth import make_health_watch
from comfreyarch_core.enginestate import (
    EngineState,
    GroupMap,
    HoldStep,
    ReleaseStep,
)
from comfreyarch_core.grouppressure import make_pressure_monitor
from comfreyarch_core.mapcontrol import MapControl, make_map_control
from comfreyarch_core.mapcontrolmessages import (
    DEPOSED,
    NOT_HELD,
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
from comfreyarch_core.mapplan import PlannedMap, plan_map
from comfreyarch_daemon.engineapi import EngineApi, EngineAway
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.groupfacts import GroupFacts
from comfreyarch_daemon.leadership import LeaderRow, Leadership, MapRules
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.rankmail import CountNews, OrderNews, StateNews
from comfreyarch_daemon.tablewatch import StoreAway
from comfreyarch_daemon.upstreamcalls import boot_time

TICK_S = 0.02
IDLE_TICK_S = 0.1
# Time between two plans.
PLAN_S = 0.3
# A leader that did not run for so long may have been replaced.
PAUSED_S = 0.45
# States of a group that switches are told one after the other.
UNSETTLED_S = 0.5
# A change comes into force so long after its hold: orders to all ranks are
# answered within some ms, and repeated for about a second where engines
# leave half of them unanswered.
AHEAD_S = 0.25
AHEAD_UNANSWERED_S = 1.2
# Passes are never shorter than this, the first ones are not timed yet.
SHORTEST_PASS_S = 0.02
# Readings are numbered by the time at which they were asked for: one that was
# asked for before an order may come after the one that shows it.
READINGS_A_SECOND = 10_000
# Longest usual time from a sidecar's reading to its arrival at the leader.
UNDER_WAY_S = 0.008
# A rank that was not heard for so long is asked itself, at a price.
SILENT_S = 0.4


class MapLeader:
    """Own one term of leading a group.

    :param stuck: the term is over; another rank should lead.
    :param tell: sends an order to a rank's sidecar.
    :param former: the leader directly before, if its rank is known.
    :param remembered: gives the map in use, where the own sidecar knows it.
    :param engine_at: opens an engine by its address.
    """

    __slots__ = (
        'control',
        'engine_at',
        'facts',
        'former',
        'group',
        'health',
        'leadership',
        'limits',
        'log',
        'metrics',
        'moving',
        'planned',
        'pressure',
        'remembered',
        'stuck',
        'tell',
        'ticked_at',
        'unsettled_since',
        'workers',
    )

    def __init__(
        self,
        own_rank: EngineState,
        fence: int,
        rules: MapRules,
        leadership: Leadership,
        tell: Callable[[OrderNews], None],
        engine_at: Callable[[str], EngineApi],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Begin a term."""
        self.control: MapControl = make_map_control(
            fence, own_rank.rank, own_rank.size
        )
        self.group = own_rank.group
        self.limits = rules.limits
        self.pressure = make_pressure_monitor(rules.figures)
        self.unsettled_since = 0.0
        self.stuck = False
        self.ticked_at = boot_time()
        self.health = make_health_watch()
        self.moving = True
        self.leadership = leadership
        self.tell = tell
        self.engine_at = engine_at
        self.log = log
        self.metrics = metrics
        self.facts = GroupFacts(own_rank.size, rules.limits.experts)
        self.planned: PlannedMap | None = None
        self.former: AbsentLeader | None = None
        self.remembered: Callable[[EngineState, int], GroupMap | None] = unknown
        self.workers: list[gevent.Greenlet] = []

    @property
    def fence(self) -> int:
        """Give the fence of this term.

        :returns: a number that grows with each term.
        """
        return self.control.fence

    def follows(self, former: LeaderRow, addresses: dict[int, str]) -> None:
        """Take who led directly before.

        :param addresses: where the group's sidecars take datagrams, by rank.
        """
        for rank, address in addresses.items():
            if address == former.address:
                self.former = AbsentLeader(rank, former.fence)

    def start(self) -> None:
        """Start leading."""
        self.workers = [gevent.spawn(self.tick), gevent.spawn(self.plan)]

    def close(self) -> None:
        """Stop leading."""
        for worker in self.workers:
            worker.kill(block=False)

    def tick(self) -> None:
        """Let time pass."""
        while True:
            idle = self.control.phase == Phase.idle
            gevent.sleep(IDLE_TICK_S if idle else TICK_S)
            if not self.was_awake():
                return
            self.ticked_at = boot_time()
            self.carry_out(self.control.handle(Tick(), boot_time()))

    def was_awake(self) -> bool:
        """Tell whether this process ran all the time.

        A leader that was paused does nothing more: another one may lead.

        :returns: False after a pause; the term is over then.
        """
        paused_s = boot_time() - self.ticked_at
        if paused_s > PAUSED_S and not self.stuck:
            self.stuck = True
            self.log.write('leader_paused', paused_s=round(paused_s, 3))
        return not self.stuck

    def seed(self, news: StateNews) -> None:
        """Take what was heard of a rank before this term began."""
        rank = news.state.rank
        self.facts.engines[rank] = news.engine
        reported = Reported(news.state, news.number)
        self.carry_out(self.control.handle(reported, boot_time()))

    def heard_state(self, news: StateNews) -> None:
        """Take a rank's state."""
        if not self.was_awake():
            return
        rank = news.state.rank
        self.facts.engines[rank] = news.engine
        self.facts.heard_at[rank] = boot_time()
        now = boot_time()
        own_rank = rank == self.control.own_rank
        self.pressure.handle(news.state, own_rank, now)
        if own_rank:
            self.moving = self.health.handle(news.state, now).usable
        reported = Reported(news.state, news.number)
        self.carry_out(self.control.handle(reported, now))

    def carry_out(self, outcomes: list[Outcome]) -> None:
        """Carry decisions out."""
        for outcome in outcomes:
            match outcome:
                case Send():
                    self.send(outcome)
                case Settled(version, why):
                    self.settled(version, why)
                    self.stuck = why in {NOT_HELD, DEPOSED}

    def send(self, send: Send) -> None:
        """Send an order by the rank's sidecar, or directly."""
        news = OrderNews(
            self.group,
            self.fence,
            send.rank,
            send.epoch,
            send.sequence,
            send.order,
        )
        silent_s = boot_time() - self.facts.heard_at.get(send.rank, 0)
        own_rank = send.rank == self.control.own_rank
        known = send.rank in self.facts.engines
        if (
            known
            and not own_rank
            and isinstance(send.order, HoldStep | ReleaseStep)
        ):
            # The leader's own machine may be the next to stand still; the
            # one that holds a step should not be the one that gives orders.
            gevent.spawn(self.order_directly, news)
            return
        if own_rank or silent_s < SILENT_S or not known:
            self.tell(news)
            return
        gevent.spawn(self.order_directly, news)

    def order_directly(self, news: OrderNews) -> None:
        """Order an engine from here, not by its sidecar."""
        address = self.facts.engines[news.rank]
        engine = self.engine_at(address)
        try:
            state = self.ask(engine, news)
        except EngineAway as error:
            self.log.write('engine_silent', rank=news.rank, why=str(error))
            return
        finally:
            engine.close()
        if state is not None:
            number = self.number_now(news.rank)
            reported = Reported(state, number)
            self.carry_out(self.control.handle(reported, boot_time()))

    def number_now(self, rank: int) -> int:
        """Number a reading of another rank among those of its sidecar.

        :returns: the number that its sidecar would give just now.
        """
        last = self.control.reading_numbers.get(rank, 0)
        heard_at = self.facts.heard_at.get(rank)
        if heard_at is None:
            return last
        since_s = boot_time() - heard_at + UNDER_WAY_S
        return last + int(since_s * READINGS_A_SECOND)

    def ask(self, engine: EngineApi, news: OrderNews) -> EngineState | None:
        """Give an order that may get no answer.

        :returns: the state afterwards; what is read from another machine is
            some hundred ms old, so an accepted hold or release is its own
            evidence.
        :raises EngineAway: where the engine does not answer the reading.
        """
        outcome = 'accepted'
        try:
            if not engine.order(news.order, news.epoch, news.sequence):
                outcome = 'refused'
        except EngineAway as error:
            outcome = str(error)
        self.log.write(
            'direct_order',
            rank=news.rank,
            order=type(news.order).__name__,
            outcome=outcome,
        )
        known = self.control.states.get(news.rank)
        if isinstance(news.order, HoldStep | ReleaseStep):
            if outcome != 'accepted' or known is None:
                return None
            holds = isinstance(news.order, HoldStep)
            return replace(known, held=news.order.step if holds else None)
        return engine.state()

    def settled(self, version: int | None, why: str) -> None:
        """Log how a change ended; old counts say nothing of the new map."""
        self.facts.counts.clear()
        planned = self.planned
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

    def plan(self) -> None:
        """Plan and begin changes for as long as the term lasts."""
        while self.was_awake():
            gevent.sleep(PLAN_S)
            if self.was_awake() and self.control.phase == Phase.idle:
                self.look()

    def look(self) -> None:
        """Begin what is due: a recovery, or a change where it pays."""
        own_rank = self.control.states.get(self.control.own_rank)
        content = self.facts.content(own_rank)
        if content is None and own_rank is not None:
            content = self.remembered(own_rank, self.limits.experts)
        if content is None:
            if self.unsettled():
                self.ask_silent()
            return
        if self.control.is_quiescent() and self.moving:
            self.unsettled_since = 0
            if self.pressure.is_high(self.control.size):
                self.plan_once(content)
        elif self.unsettled():
            self.control.content = content
            recover = Recover(content, self.absent_leader())
            self.carry_out(self.control.handle(recover, boot_time()))

    def absent_leader(self) -> AbsentLeader | None:
        """Name the leader directly before, if it is silent.

        :returns: None where it is heard, or not known.
        """
        former = self.former
        if former is None or former.rank == self.control.own_rank:
            return None
        silent_s = boot_time() - self.facts.heard_at.get(former.rank, 0)
        return former if silent_s > SILENT_S else None

    def unsettled(self) -> bool:
        """Tell whether a former leader left a hold or an armed rank.

        A group that stands still may wait for a hold at a rank whose sidecar
        is silent, too.

        :returns: True where that has to be settled first.
        """
        own_rank = self.control.states.get(self.control.own_rank)
        if own_rank is not None and own_rank.is_open and not self.moving:
            return True
        if self.control.is_at_rest() or self.control.is_switching():
            self.unsettled_since = 0
            return False
        now = boot_time()
        if not self.unsettled_since:
            self.unsettled_since = now
        return now - self.unsettled_since > UNSETTLED_S

    def ask_silent(self) -> None:
        """Read the experts of ranks whose sidecars are silent."""
        own_rank = self.control.states.get(self.control.own_rank)
        now = boot_time()
        for rank, address in list(self.facts.engines.items()):
            silent = now - self.facts.heard_at.get(rank, 0) > SILENT_S
            if (
                own_rank is None
                or not silent
                or self.facts.knows(rank, own_rank)
            ):
                continue
            engine = self.engine_at(address)
            try:
                held = engine.held()
            except EngineAway as error:
                self.log.write('engine_silent', rank=rank, why=str(error))
                continue
            finally:
                engine.close()
            self.facts.told[rank] = CountNews(
                self.group,
                rank,
                own_rank.epoch,
                held.version,
                held.experts,
                (),
            )

    def plan_once(self, content: GroupMap) -> None:
        """Plan one change and begin it where it pays."""
        loads = self.facts.loads(len(content))
        if loads is None:
            return
        states = self.control.states
        slowness = [states[rank].pace for rank in sorted(states)]
        planned = plan_map(content, loads, self.limits, slowness)
        if planned is None or not self.leads_still():
            return
        self.planned = planned
        self.control.content = content
        self.log.write(
            'map_planned',
            group=self.group,
            fence=self.fence,
            skew=round(planned.before, 2),
            skew_planned=round(planned.after, 2),
            pass_s=round(self.pressure.pass_s, 3),
            slowest=max(slowness),
        )
        change = ChangeMap(planned.content, self.ahead())
        self.carry_out(self.control.handle(change, boot_time()))

    def ahead(self) -> int:
        """Choose how many passes ahead a change comes into force.

        :returns: enough for the orders to all ranks.
        """
        states = self.control.states.values()
        unanswered = any(state.unanswered for state in states)
        span_s = AHEAD_UNANSWERED_S if unanswered else AHEAD_S
        return math.ceil(span_s / max(SHORTEST_PASS_S, self.pressure.pass_s))

    def leads_still(self) -> bool:
        """Ask the store whether this term still lasts.

        :returns: False where it does not, or the store is away.
        """
        try:
            return self.leadership.read(self.group).fence == self.fence
        except StoreAway as error:
            self.log.write('leadership_unknown', why=str(error))
            return False


def unknown(_state: EngineState, _experts: int) -> None:
    """Know no map."""
