"""Coordinate a group's expert-map changes by two-phase commit.

This requires engines that wait at the step of a prepared change until they
know its outcome. ``mapcontrol`` changes the maps of engines that do not.

A new coordinator first collects every rank's promise to refuse lower
fences, together with the rank's state. It commits each open change that
some rank has committed and aborts the others. Recovery stalls no rank
unless one has lost its state; then a new epoch starts. In steady state the
coordinator sends nothing.
"""

from dataclasses import dataclass, field

import msgspec

from comfreyarch_core.coordinatormessages import (
    Abandon,
    ChangeFinished,
    Deposed,
    MapAgreed,
    Message,
    Outcome,
    Phase,
    Propose,
    StepSeen,
    Tick,
    ToRank,
)
from comfreyarch_core.mapmessages import (
    ABORT,
    COMMIT,
    EPOCHS_PER_FENCE,
    INITIAL_MAP_ID,
    INITIAL_STEP_MARGIN,
    MAX_STEP_MARGIN,
    PREPARE_TIMEOUT_S,
    RESEND_INTERVAL_S,
    STEP_MARGIN_FACTOR,
    Begun,
    Decide,
    Decided,
    NewEpoch,
    Order,
    Placement,
    Prepare,
    Prepared,
    Promise,
    Promised,
    RankState,
    Refused,
    Reply,
    Unprepared,
)
from comfreyarch_core.maprecovery import (
    decide_open_changes,
    find_newest_map,
)


@dataclass(slots=True)
class Coordinator:
    """Coordinate one group under one fence.

    :param fence: the fencing token from the lease.
    :param ranks: the number of ranks in the group.
    :param configured_placement: used if no rank reports a map.
    :param states: states collected with the promises, by rank.
    :param acks: ranks that have acknowledged the current order.
    :param outcomes: outcomes that this coordinator has decided, by change.
    :param pending_decisions: decisions to send, each only after all ranks
        have acknowledged the one before.
    :param map_id: the newest committed map.
    :param step: the highest step number that is known to be reached.
    :param step_margin: steps from there to the step of the next change.
    """

    fence: int
    ranks: int
    configured_placement: Placement
    phase: Phase = Phase.promising
    states: dict[int, RankState] = field(default_factory=dict)
    acks: set[int] = field(default_factory=set)
    outcomes: dict[str, str] = field(default_factory=dict)
    pending_decisions: list[Decide] = field(default_factory=list)
    pending_prepare: Prepare | None = None
    pending_epoch: NewEpoch | None = None
    epochs_started: int = 0
    epoch: int = 0
    map_id: str = ''
    placement: Placement = field(default_factory=list)
    step: int = 0
    step_margin: int = INITIAL_STEP_MARGIN
    prepare_started_at: float = 0
    last_sent_at: float = 0

    def start(self, now: float) -> list[Outcome]:
        """Ask all ranks to promise this fence and to report their state.

        :param now: monotonic time in seconds.
        :returns: the orders to send.
        """
        self.phase = Phase.promising
        self.states = {}
        self.last_sent_at = now
        return self.broadcast(Promise(self.fence))

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message.

        :param message: a rank's reply, a proposal, an abort or a tick.
        :param now: monotonic time in seconds, used for resends and the
            prepare timeout.
        :returns: orders to ranks and outcomes of changes.
        """
        if self.phase is Phase.deposed:
            return []
        match message:
            case Tick():
                return self.tick(now)
            case StepSeen(step):
                self.step = max(self.step, step)
                return []
            case Propose():
                return self.propose(message, now)
            case Abandon():
                if self.phase is Phase.preparing:
                    return self.finish_change(ABORT, now)
                return []
            case Refused(fence):
                return self.handle_refused(fence)
            case Promised():
                return self.handle_promised(message, now)
        if message.fence != self.fence:
            return []
        return self.handle_acknowledgement(message, now)

    def broadcast(self, order: Order) -> list[Outcome]:
        """Send an order to every rank that has not acknowledged it."""
        return [
            ToRank(rank, order)
            for rank in range(self.ranks)
            if rank not in self.acks
        ]

    def handle_refused(self, fence: int) -> list[Outcome]:
        """Step down if a rank has promised a higher fence."""
        if fence <= self.fence:
            return []
        self.phase = Phase.deposed
        return [Deposed(fence)]

    def handle_promised(self, message: Promised, now: float) -> list[Outcome]:
        """Record a rank's promise, or process an unsolicited report."""
        if message.fence != self.fence:
            return []
        state = message.state
        self.step = max(self.step, state.step)
        if self.phase is Phase.promising:
            self.states[message.rank] = state
            if len(self.states) == self.ranks:
                return self.recover(now)
            return []
        return self.handle_report(message.rank, state, now)

    def handle_report(
        self,
        rank: int,
        state: RankState,
        now: float,
    ) -> list[Outcome]:
        """Process an unsolicited report of lost state or an open change.

        A rank that has reached the step of the change in progress blocks
        the whole group while it waits for the outcome, so the change is
        aborted and can be proposed again later.
        """
        if self.phase is Phase.beginning:
            if state.incarnation == self.states[rank].incarnation:
                return []
            return self.restart_recovery(now)
        if state.lost or state.epoch != self.epoch:
            return self.restart_recovery(now)
        change = state.open_change
        if not change:
            return []
        if (
            self.pending_prepare is not None
            and self.pending_prepare.change == change
        ):
            if state.step < state.change_step:
                return []
            return self.handle_unprepared(change, state.step, now)
        outcome = self.outcomes.get(change, ABORT)
        return [ToRank(rank, Decide(self.fence, change, outcome))]

    def restart_recovery(self, now: float) -> list[Outcome]:
        """Abort the change in progress and collect all states again."""
        ended = self.record_outcome(ABORT)
        self.acks = set()
        return [*ended, *self.start(now)]

    def recover(self, now: float) -> list[Outcome]:
        """Resume from the collected states of all ranks."""
        states = list(self.states.values())
        self.acks = set()
        epochs = {state.epoch for state in states}
        if any(state.lost for state in states) or len(epochs) > 1:
            return self.start_epoch(states, now)
        self.epoch = states[0].epoch
        self.map_id, self.placement = self.select_map(states)
        self.pending_decisions = decide_open_changes(
            states, self.outcomes, self.fence
        )
        return self.send_next_decision(now)

    def select_map(self, states: list[RankState]) -> tuple[str, Placement]:
        """Return the newest committed map, or the configured one."""
        found = find_newest_map(states, self.outcomes)
        return found or (INITIAL_MAP_ID, self.configured_placement)

    def start_epoch(
        self,
        states: list[RankState],
        now: float,
    ) -> list[Outcome]:
        """Start a new epoch at a step above every reported one."""
        self.map_id, self.placement = self.select_map(states)
        self.epochs_started += 1
        self.epoch = self.fence * EPOCHS_PER_FENCE + self.epochs_started
        self.step = max(self.step, *(state.step for state in states)) + 1
        self.pending_epoch = NewEpoch(
            self.fence,
            self.epoch,
            self.step,
            self.map_id,
            self.placement,
        )
        self.phase = Phase.beginning
        self.last_sent_at = now
        return self.broadcast_epoch(self.pending_epoch)

    def broadcast_epoch(self, order: NewEpoch) -> list[Outcome]:
        """Send the new epoch to ranks that have not entered it."""
        return [
            ToRank(
                rank,
                msgspec.structs.replace(
                    order, incarnation=self.states[rank].incarnation
                ),
            )
            for rank in range(self.ranks)
            if rank not in self.acks
        ]

    def send_next_decision(self, now: float) -> list[Outcome]:
        """Send the next pending decision, or enter the steady phase."""
        self.acks = set()
        if not self.pending_decisions:
            return self.enter_steady()
        self.phase = Phase.settling
        self.last_sent_at = now
        decide = self.pending_decisions[0]
        self.outcomes[decide.change] = decide.outcome
        return self.broadcast(decide)

    def enter_steady(self) -> list[Outcome]:
        """Enter the steady phase and report the map in force."""
        self.phase = Phase.steady
        return [MapAgreed(self.map_id, self.placement, self.epoch)]

    def propose(self, message: Propose, now: float) -> list[Outcome]:
        """Start a change, or reject it unless the phase is steady."""
        if self.phase is not Phase.steady:
            return [ChangeFinished(message.change, ABORT)]
        self.pending_prepare = Prepare(
            self.fence,
            message.change,
            self.epoch,
            self.step + self.step_margin,
            message.placement,
        )
        self.phase = Phase.preparing
        self.acks = set()
        self.prepare_started_at = now
        self.last_sent_at = now
        return self.broadcast(self.pending_prepare)

    def handle_acknowledgement(self, reply: Reply, now: float) -> list[Outcome]:
        """Dispatch a rank's reply to the order in progress."""
        match reply:
            case Prepared(_, rank, change):
                return self.handle_prepared(rank, change, now)
            case Unprepared(_, _, change, step):
                return self.handle_unprepared(change, step, now)
            case Decided(_, rank, change):
                return self.handle_decided(rank, change, now)
            case Begun(_, rank, epoch):
                return self.handle_begun(rank, epoch)
        return []

    def handle_prepared(
        self,
        rank: int,
        change: str,
        now: float,
    ) -> list[Outcome]:
        """Commit the change once all ranks are prepared."""
        prepare = self.pending_prepare
        if self.phase is not Phase.preparing or prepare is None:
            return []
        if change != prepare.change:
            return []
        self.acks.add(rank)
        if len(self.acks) < self.ranks:
            return []
        self.map_id = prepare.change
        self.placement = prepare.placement
        self.step_margin = INITIAL_STEP_MARGIN
        return self.finish_change(COMMIT, now)

    def handle_unprepared(
        self,
        change: str,
        step: int,
        now: float,
    ) -> list[Outcome]:
        """Abort the change and enlarge the step margin of the next one."""
        prepare = self.pending_prepare
        self.step = max(self.step, step)
        if prepare is None or prepare.change != change:
            return []
        if self.phase is not Phase.preparing:
            return []
        self.step_margin = min(
            MAX_STEP_MARGIN, self.step_margin * STEP_MARGIN_FACTOR
        )
        return self.finish_change(ABORT, now)

    def finish_change(self, outcome: str, now: float) -> list[Outcome]:
        """Decide the change in progress and send the outcome to all ranks."""
        prepare = self.pending_prepare
        change = prepare.change if prepare is not None else ''
        ended = self.record_outcome(outcome)
        self.pending_decisions = [Decide(self.fence, change, outcome)]
        return [*ended, *self.send_next_decision(now)]

    def record_outcome(self, outcome: str) -> list[Outcome]:
        """Clear the change in progress and record its outcome."""
        prepare, self.pending_prepare = self.pending_prepare, None
        if prepare is None:
            return []
        self.outcomes[prepare.change] = outcome
        return [ChangeFinished(prepare.change, outcome)]

    def handle_decided(
        self,
        rank: int,
        change: str,
        now: float,
    ) -> list[Outcome]:
        """Send the next decision once all ranks acknowledged this one."""
        if self.phase is not Phase.settling or not self.pending_decisions:
            return []
        if change != self.pending_decisions[0].change:
            return []
        self.acks.add(rank)
        if len(self.acks) < self.ranks:
            return []
        self.pending_decisions.pop(0)
        return self.send_next_decision(now)

    def handle_begun(self, rank: int, epoch: int) -> list[Outcome]:
        """Enter the steady phase once all ranks are in the new epoch."""
        if self.phase is not Phase.beginning or epoch != self.epoch:
            return []
        self.acks.add(rank)
        return self.enter_steady() if len(self.acks) == self.ranks else []

    def tick(self, now: float) -> list[Outcome]:
        """Resend unacknowledged orders; abort a change on timeout."""
        is_prepare_late = now - self.prepare_started_at > PREPARE_TIMEOUT_S
        if self.phase is Phase.preparing and is_prepare_late:
            return self.finish_change(ABORT, now)
        if now - self.last_sent_at < RESEND_INTERVAL_S:
            return []
        self.last_sent_at = now
        return self.resend()

    def resend(self) -> list[Outcome]:
        """Resend the current order to ranks that have not acknowledged."""
        match self.phase:
            case Phase.promising:
                return [
                    ToRank(rank, Promise(self.fence))
                    for rank in range(self.ranks)
                    if rank not in self.states
                ]
            case Phase.preparing if self.pending_prepare is not None:
                return self.broadcast(self.pending_prepare)
            case Phase.settling:
                return self.broadcast(self.pending_decisions[0])
            case Phase.beginning if self.pending_epoch is not None:
                return self.broadcast_epoch(self.pending_epoch)
        return []


def make_coordinator(
    fence: int,
    ranks: int,
    configured_placement: Placement,
) -> Coordinator:
    """Create the coordinator of a group.

    :returns: a coordinator that has sent no order; call ``start``.
    """
    return Coordinator(fence, ranks, configured_placement)
