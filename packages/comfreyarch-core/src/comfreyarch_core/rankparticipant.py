"""Take part in map changes on behalf of one rank.

The participant processes orders in sequence and sends the engine one order
at a time. It refuses fences below the promised one, since an engine may not
check them, and sends no order until it knows the fence of the lease row.
"""

from collections import deque
from dataclasses import dataclass, field

from comfreyarch_core.mapmessages import (
    EMPTY_STATE,
    OUTCOME_QUERY_DELAY_S,
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
    EngineAnswered,
    EngineStateRead,
    EngineUnresponsive,
    FenceFloor,
    Message,
    Outcome,
    Tick,
    ToCoordinator,
    ToEngine,
    ToPeer,
    ToPeers,
)

# Decided changes that are remembered; the oldest are dropped first.
MAX_FINISHED_CHANGES = 64


@dataclass(slots=True)
class RankParticipant:
    """Enforce one rank's fence promise and send orders to its engine.

    :param rank: the rank's number in its group.
    :param floor_known: whether the fence of the lease row has been read.
    :param state: the engine's last known state.
    :param pending_order: the order that the engine has not answered yet.
    :param finished_changes: outcome of each change that was decided.
    :param change_open_since: last time at which no change was open.
    """

    rank: int
    promised_fence: int = 0
    floor_known: bool = False
    state: RankState = EMPTY_STATE
    engine_state_known: bool = False
    pending_order: EngineOrder | None = None
    queue: deque[Order | TellOutcome] = field(default_factory=deque)
    finished_changes: dict[str, str] = field(default_factory=dict)
    change_open_since: float = 0
    last_query_at: float = 0

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message.

        :param message: an order, a peer's message, or the engine's answer.
        :param now: monotonic time in seconds, used only to pace queries to
            peers.
        :returns: orders to the engine and messages to send.
        """
        match message:
            case FenceFloor(fence):
                self.promised_fence = max(self.promised_fence, fence)
                self.floor_known = True
                return self.process_queue()
            case EngineStateRead(state):
                return self.handle_engine_state(state)
            case EngineAnswered():
                return self.handle_engine_answer(message)
            case EngineUnresponsive():
                self.pending_order = None
                return self.process_queue()
            case AskOutcome():
                return self.answer_peer(message)
            case Tick():
                return self.tick(now)
        self.queue.append(message)
        return self.process_queue()

    def process_queue(self) -> list[Outcome]:
        """Process queued orders while ``can_process_order`` allows it."""
        outcomes: list[Outcome] = []
        while self.queue and self.can_process_order():
            outcomes.extend(self.process_order(self.queue.popleft()))
        return outcomes

    def can_process_order(self) -> bool:
        """Check whether the next queued order can be processed.

        :returns: False while an order is pending at the engine, or before
            the fence floor and the engine's state are known.
        """
        return (
            self.pending_order is None
            and self.floor_known
            and self.engine_state_known
        )

    def process_order(self, message: Order | TellOutcome) -> list[Outcome]:
        """Process one order or peer answer."""
        if isinstance(message, TellOutcome):
            return self.handle_peer_outcome(message)
        if message.fence < self.promised_fence:
            return [ToCoordinator(Refused(self.promised_fence, self.rank))]
        match message:
            case Promise(fence):
                self.promised_fence = fence
                return [self.report()]
            case Prepare():
                return self.handle_prepare(message)
            case Decide():
                return self.handle_decide(message)
        return self.handle_new_epoch(message)

    def report(self) -> ToCoordinator:
        """Return a report of this rank's state."""
        report = Promised(self.promised_fence, self.rank, self.state)
        return ToCoordinator(report)

    def send_to_engine(self, order: EngineOrder) -> list[Outcome]:
        """Send the engine an order; it stays pending until answered."""
        self.pending_order = order
        return [ToEngine(order)]

    def handle_prepare(self, order: Prepare) -> list[Outcome]:
        """Prepare a change, or reply that it cannot be prepared.

        A fence above the promised one must be promised first; until then,
        the order is answered with a report.
        """
        if order.fence > self.promised_fence:
            return [self.report()]
        if self.state.open_change == order.change:
            return [self.make_prepared_reply(order)]
        if not self.can_prepare(order):
            return [self.make_unprepared_reply(order)]
        return self.send_to_engine(order)

    def can_prepare(self, order: Prepare) -> bool:
        """Check whether a change can be prepared now.

        :returns: False if it is already decided, another change is open,
            the engine lost its state, or the epoch differs.
        """
        state = self.state
        if (
            order.change in self.finished_changes
            or order.change in state.outcomes
        ):
            return False
        if state.lost or state.open_change:
            return False
        return order.epoch == state.epoch

    def make_prepared_reply(self, order: Prepare) -> ToCoordinator:
        """Return the reply that a change is prepared."""
        reply = Prepared(order.fence, self.rank, order.change)
        return ToCoordinator(reply)

    def make_unprepared_reply(self, order: Prepare) -> ToCoordinator:
        """Return the reply that a change cannot be prepared."""
        step = self.state.step
        reply = Unprepared(order.fence, self.rank, order.change, step)
        return ToCoordinator(reply)

    def handle_decide(self, order: Decide) -> list[Outcome]:
        """Apply the outcome of a change."""
        self.promised_fence = max(self.promised_fence, order.fence)
        self.record_outcome(order)
        if self.state.open_change == order.change:
            return self.send_to_engine(order)
        reply = Decided(order.fence, self.rank, order.change)
        return [ToCoordinator(reply)]

    def record_outcome(self, order: Decide) -> None:
        """Record that a change is decided, so it is not prepared again."""
        self.finished_changes[order.change] = order.outcome
        if len(self.finished_changes) > MAX_FINISHED_CHANGES:
            self.finished_changes.pop(next(iter(self.finished_changes)))

    def handle_new_epoch(self, order: NewEpoch) -> list[Outcome]:
        """Enter a new epoch unless the engine has restarted since then."""
        self.promised_fence = max(self.promised_fence, order.fence)
        if order.incarnation not in {'', self.state.incarnation}:
            return [self.report()]
        if self.state.epoch == order.epoch and not self.state.lost:
            reply = Begun(order.fence, self.rank, order.epoch)
            return [ToCoordinator(reply)]
        return self.send_to_engine(order)

    def handle_peer_outcome(self, reply: TellOutcome) -> list[Outcome]:
        """Apply an outcome received from a peer that applied it."""
        is_open = reply.change == self.state.open_change and bool(reply.change)
        if not is_open or reply.epoch != self.state.epoch:
            return []
        return self.send_to_engine(
            Decide(self.promised_fence, reply.change, reply.outcome)
        )

    def handle_engine_answer(self, answer: EngineAnswered) -> list[Outcome]:
        """Reply to the coordinator after the engine's answer."""
        order, self.pending_order = self.pending_order, None
        self.state = answer.state
        outcomes: list[Outcome] = []
        match order:
            case Prepare():
                outcomes.append(
                    self.make_prepared_reply(order)
                    if answer.accepted
                    else self.make_unprepared_reply(order),
                )
            case Decide(fence, change, _):
                if self.state.open_change != change:
                    reply = Decided(fence, self.rank, change)
                    outcomes.append(ToCoordinator(reply))
            case NewEpoch(fence, epoch):
                if self.state.epoch == epoch:
                    begun_reply = Begun(fence, self.rank, epoch)
                    outcomes.append(ToCoordinator(begun_reply))
        return [*outcomes, *self.process_queue()]

    def handle_engine_state(self, state: RankState) -> list[Outcome]:
        """Record the engine's state; report unexpected changes at once."""
        if self.pending_order is not None:
            return []
        previous, self.state = self.state, state
        needs_new_epoch = state.lost or state.epoch != previous.epoch
        is_changed = (
            needs_new_epoch or state.open_change != previous.open_change
        )
        should_report = state.lost or (is_changed and self.engine_state_known)
        self.engine_state_known = True
        outcomes = self.process_queue()
        if should_report and self.floor_known:
            outcomes.append(self.report())
        return outcomes

    def answer_peer(self, query: AskOutcome) -> list[Outcome]:
        """Send a peer an outcome that this rank has applied."""
        outcome = self.state.outcomes.get(query.change)
        if outcome is None or query.epoch != self.state.epoch:
            return []
        answer = TellOutcome(self.rank, query.change, query.epoch, outcome)
        return [ToPeer(query.rank, answer)]

    def tick(self, now: float) -> list[Outcome]:
        """Query peers for an overdue outcome, and report to the coordinator."""
        change = self.state.open_change
        if not change:
            self.change_open_since = now
            return []
        if now - self.change_open_since < OUTCOME_QUERY_DELAY_S:
            return []
        if now - self.last_query_at < OUTCOME_QUERY_DELAY_S:
            return []
        self.last_query_at = now
        query = AskOutcome(self.rank, change, self.state.epoch)
        return [ToPeers(query), self.report()]
