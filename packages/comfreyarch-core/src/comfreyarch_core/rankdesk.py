"""Decide for one rank's sidecar in map changes.

The desk takes orders in one sequence and gives the engine one order at a
time. It refuses fences below the one it promised, for engines that would
not, and gives no order at all until it has read the fence floor back.
"""

from collections import deque
from dataclasses import dataclass, field

from comfreyarch_core.mapmessages import (
    ASK_AFTER_S,
    EMPTY_STATE,
    AskOutcome,
    Begun,
    Decide,
    Decided,
    EngineOrder,
    NewEpoch,
    Order,
    Prepare,
    Prepared,
    Promise,
    Promised,
    RankState,
    Refused,
    TellOutcome,
    Unprepared,
)
from comfreyarch_core.rankmessages import (
    EngineDone,
    EngineGone,
    EngineSeen,
    Floor,
    Message,
    Outcome,
    Tick,
    ToCoordinator,
    ToEngine,
    ToPeer,
    ToPeers,
)

SETTLED_KEPT = 64


@dataclass(slots=True)
class RankDesk:
    """Keep one rank's promise and order its engine.

    :param rank: the rank's number in its group.
    """

    rank: int
    promised: int = 0
    floor_known: bool = False
    state: RankState = EMPTY_STATE
    seen: bool = False
    pending: EngineOrder | None = None
    waiting: deque[Order | TellOutcome] = field(default_factory=deque)
    settled: dict[str, str] = field(default_factory=dict)
    held_since: float = 0
    asked_at: float = 0

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: an order, a peer's word, or the engine's answer.
        :param now: seconds; only paces the asking of peers.
        :returns: orders to the engine and messages to send.
        """
        match message:
            case Floor(fence):
                self.promised = max(self.promised, fence)
                self.floor_known = True
                return self.drain()
            case EngineSeen(state):
                return self.engine_seen(state)
            case EngineDone():
                return self.engine_done(message)
            case EngineGone():
                self.pending = None
                return self.drain()
            case AskOutcome():
                return self.answer_peer(message)
            case Tick():
                return self.tick(now)
        self.waiting.append(message)
        return self.drain()

    def drain(self) -> list[Outcome]:
        """Take the waiting orders while the engine is free."""
        outcomes: list[Outcome] = []
        while self.waiting and self.may_order():
            outcomes.extend(self.take(self.waiting.popleft()))
        return outcomes

    def may_order(self) -> bool:
        """Tell whether an order can be taken now.

        :returns: False while the engine works or the floor is unknown.
        """
        return self.pending is None and self.floor_known and self.seen

    def take(self, message: Order | TellOutcome) -> list[Outcome]:
        """Take one order."""
        if isinstance(message, TellOutcome):
            return self.told(message)
        if message.fence < self.promised:
            return [ToCoordinator(Refused(self.promised, self.rank))]
        match message:
            case Promise(fence):
                self.promised = fence
                return [self.report()]
            case Prepare():
                return self.prepare(message)
            case Decide():
                return self.decide(message)
        return self.new_epoch(message)

    def report(self) -> ToCoordinator:
        """Report all that this rank knows."""
        report = Promised(self.promised, self.rank, self.state)
        return ToCoordinator(report)

    def order(self, order: EngineOrder) -> list[Outcome]:
        """Give the engine an order and wait for its answer."""
        self.pending = order
        return [ToEngine(order)]

    def prepare(self, order: Prepare) -> list[Outcome]:
        """Prepare a change, unless it cannot be kept any more."""
        if order.fence > self.promised:
            return [self.report()]
        if self.state.open_change == order.change:
            return [self.acknowledge(order)]
        if not self.can_prepare(order):
            return [self.decline(order)]
        return self.order(order)

    def can_prepare(self, order: Prepare) -> bool:
        """Tell whether a change can be prepared now.

        :returns: False for one already settled, or beside another.
        """
        state = self.state
        if order.change in self.settled or order.change in state.outcomes:
            return False
        if state.lost or state.open_change:
            return False
        return order.epoch == state.epoch

    def acknowledge(self, order: Prepare) -> ToCoordinator:
        """Tell that a change is prepared."""
        reply = Prepared(order.fence, self.rank, order.change)
        return ToCoordinator(reply)

    def decline(self, order: Prepare) -> ToCoordinator:
        """Tell that a change cannot be prepared."""
        step = self.state.step
        reply = Unprepared(order.fence, self.rank, order.change, step)
        return ToCoordinator(reply)

    def decide(self, order: Decide) -> list[Outcome]:
        """Take an outcome."""
        self.promised = max(self.promised, order.fence)
        self.settle(order)
        if self.state.open_change == order.change:
            return self.order(order)
        reply = Decided(order.fence, self.rank, order.change)
        return [ToCoordinator(reply)]

    def settle(self, order: Decide) -> None:
        """Remember that a change is over, so that it is not begun again."""
        self.settled[order.change] = order.outcome
        if len(self.settled) > SETTLED_KEPT:
            self.settled.pop(next(iter(self.settled)))

    def new_epoch(self, order: NewEpoch) -> list[Outcome]:
        """Begin a new epoch."""
        self.promised = max(self.promised, order.fence)
        if self.state.epoch == order.epoch and not self.state.lost:
            reply = Begun(order.fence, self.rank, order.epoch)
            return [ToCoordinator(reply)]
        return self.order(order)

    def told(self, tell: TellOutcome) -> list[Outcome]:
        """Take an outcome that a peer had taken."""
        same = tell.change == self.state.open_change and bool(tell.change)
        if not same or tell.epoch != self.state.epoch:
            return []
        return self.order(Decide(self.promised, tell.change, tell.outcome))

    def engine_done(self, answer: EngineDone) -> list[Outcome]:
        """Answer the coordinator after the engine's answer."""
        order, self.pending = self.pending, None
        self.state = answer.state
        outcomes: list[Outcome] = []
        match order:
            case Prepare():
                outcomes.append(
                    self.acknowledge(order)
                    if answer.done
                    else self.decline(order),
                )
            case Decide(fence, change, _):
                if self.state.open_change != change:
                    reply = Decided(fence, self.rank, change)
                    outcomes.append(ToCoordinator(reply))
            case NewEpoch(fence, epoch):
                if self.state.epoch == epoch:
                    begun = Begun(fence, self.rank, epoch)
                    outcomes.append(ToCoordinator(begun))
        return [*outcomes, *self.drain()]

    def engine_seen(self, state: RankState) -> list[Outcome]:
        """Take the engine's state; what is odd is reported unasked."""
        if self.pending is not None:
            return []
        former, self.state = self.state, state
        news = state.lost or state.epoch != former.epoch
        odd = news or state.open_change != former.open_change
        told = state.lost or (odd and self.seen)
        self.seen = True
        outcomes = self.drain()
        if told and self.floor_known:
            outcomes.append(self.report())
        return outcomes

    def answer_peer(self, ask: AskOutcome) -> list[Outcome]:
        """Tell a peer an outcome that this rank has taken."""
        outcome = self.state.outcomes.get(ask.change)
        if outcome is None or ask.epoch != self.state.epoch:
            return []
        tell = TellOutcome(self.rank, ask.change, ask.epoch, outcome)
        return [ToPeer(ask.rank, tell)]

    def tick(self, now: float) -> list[Outcome]:
        """Ask the peers for an outcome that is long in coming."""
        change = self.state.open_change
        if not change:
            self.held_since = now
            return []
        if now - self.held_since < ASK_AFTER_S:
            return []
        if now - self.asked_at < ASK_AFTER_S:
            return []
        self.asked_at = now
        ask = AskOutcome(self.rank, change, self.state.epoch)
        return [ToPeers(ask), self.report()]
