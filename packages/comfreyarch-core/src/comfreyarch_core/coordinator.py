"""Decide for the coordinator of a group's map changes.

A new coordinator first makes all ranks promise its fence and learns what
they know. It finishes what any rank took as committed and aborts what no
rank did. If a rank lost its memory, a new epoch starts; otherwise nobody
is stalled. In steady state it sends nothing.
"""

from dataclasses import dataclass, field

from comfreyarch_core.coordination import (
    Abandon,
    Changed,
    Deposed,
    Message,
    Outcome,
    Phase,
    Propose,
    Stable,
    StepSeen,
    Tick,
    ToRank,
)
from comfreyarch_core.mapmessages import (
    ABORT,
    COMMIT,
    EARLY_STEPS,
    EPOCHS_A_FENCE,
    FIRST_MAP,
    LATE_FACTOR,
    MAX_EARLY_STEPS,
    PREPARE_TIMEOUT_S,
    RESEND_S,
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
from comfreyarch_core.maprecovery import newest_map, outcome_of


@dataclass(slots=True)
class Coordinator:
    """Coordinate one group under one fence.

    :param fence: the lease's fence.
    :param ranks: how many ranks the group has.
    :param first_map: the configured placement, for a group without memory.
    """

    fence: int
    ranks: int
    first_map: Placement
    phase: Phase = Phase.promising
    states: dict[int, RankState] = field(default_factory=dict)
    acks: set[int] = field(default_factory=set)
    outcomes: dict[str, str] = field(default_factory=dict)
    to_settle: list[Decide] = field(default_factory=list)
    prepare: Prepare | None = None
    begin: NewEpoch | None = None
    epochs: int = 0
    epoch: int = 0
    map_id: str = ''
    placement: Placement = field(default_factory=list)
    step: int = 0
    early: int = EARLY_STEPS
    began_at: float = 0
    sent_at: float = 0

    def start(self, now: float) -> list[Outcome]:
        """Ask all ranks for their promise.

        :param now: seconds.
        :returns: the orders.
        """
        self.phase = Phase.promising
        self.states = {}
        self.sent_at = now
        return self.to_all(Promise(self.fence))

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: a rank's reply, a proposal, or time.
        :param now: seconds; paces repeats and bounds preparing.
        :returns: orders to ranks, and what came of changes.
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
                    return self.end_and_settle(ABORT, now)
                return []
            case Refused(fence):
                return self.refused(fence)
            case Promised():
                return self.promised(message, now)
        if message.fence != self.fence:
            return []
        return self.acknowledged(message, now)

    def to_all(self, order: Order) -> list[Outcome]:
        """Send an order to all ranks that have not acknowledged."""
        return [
            ToRank(rank, order)
            for rank in range(self.ranks)
            if rank not in self.acks
        ]

    def refused(self, fence: int) -> list[Outcome]:
        """Step down before a higher fence."""
        if fence <= self.fence:
            return []
        self.phase = Phase.deposed
        return [Deposed(fence)]

    def promised(self, message: Promised, now: float) -> list[Outcome]:
        """Take a rank's promise, or its unasked report."""
        if message.fence != self.fence:
            return []
        state = message.state
        self.step = max(self.step, state.step)
        if self.phase is Phase.promising:
            self.states[message.rank] = state
            if len(self.states) == self.ranks:
                return self.recover(now)
            return []
        return self.reported(message.rank, state, now)

    def reported(
        self,
        rank: int,
        state: RankState,
        now: float,
    ) -> list[Outcome]:
        """Take an unasked report: lost memory, or a change left open.

        A rank that already waits at the step of the change under way holds
        the whole group; the change is aborted and tried later.
        """
        if self.phase is Phase.beginning:
            return []
        if state.lost or state.epoch != self.epoch:
            return self.start_anew(now)
        change = state.open_change
        if not change:
            return []
        if self.prepare is not None and self.prepare.change == change:
            if state.step < state.change_step:
                return []
            return self.rank_unprepared(change, state.step, now)
        outcome = self.outcomes.get(change, ABORT)
        return [ToRank(rank, Decide(self.fence, change, outcome))]

    def start_anew(self, now: float) -> list[Outcome]:
        """Ask all ranks again for what they know."""
        ended = self.end_prepare(ABORT)
        self.acks = set()
        return [*ended, *self.start(now)]

    def recover(self, now: float) -> list[Outcome]:
        """Go on from what all ranks know."""
        states = list(self.states.values())
        self.acks = set()
        epochs = {state.epoch for state in states}
        if any(state.lost for state in states) or len(epochs) > 1:
            return self.begin_epoch(states, now)
        self.epoch = states[0].epoch
        self.map_id, self.placement = self.newest(states)
        open_changes = sorted(
            {state.open_change for state in states if state.open_change}
        )
        self.to_settle = [
            Decide(
                self.fence,
                change,
                outcome_of(change, states, self.outcomes),
            )
            for change in open_changes
        ]
        return self.settle(now)

    def newest(self, states: list[RankState]) -> tuple[str, Placement]:
        """Find the map to go on with."""
        found = newest_map(states, self.outcomes)
        return found or (FIRST_MAP, self.first_map)

    def begin_epoch(
        self,
        states: list[RankState],
        now: float,
    ) -> list[Outcome]:
        """Start a new epoch above all steps that were reported."""
        self.map_id, self.placement = self.newest(states)
        self.epochs += 1
        self.epoch = self.fence * EPOCHS_A_FENCE + self.epochs
        self.step = max(self.step, *(state.step for state in states)) + 1
        self.begin = NewEpoch(
            self.fence,
            self.epoch,
            self.step,
            self.map_id,
            self.placement,
        )
        self.phase = Phase.beginning
        self.sent_at = now
        return self.to_all(self.begin)

    def settle(self, now: float) -> list[Outcome]:
        """Send the next outcome to all ranks, or be done."""
        self.acks = set()
        if not self.to_settle:
            return self.be_steady()
        self.phase = Phase.settling
        self.sent_at = now
        decide = self.to_settle[0]
        self.outcomes[decide.change] = decide.outcome
        return self.to_all(decide)

    def be_steady(self) -> list[Outcome]:
        """Tell that nothing is open."""
        self.phase = Phase.steady
        return [Stable(self.map_id, self.placement, self.epoch)]

    def propose(self, message: Propose, now: float) -> list[Outcome]:
        """Begin a change, if none is under way."""
        if self.phase is not Phase.steady:
            return [Changed(message.change, ABORT)]
        self.prepare = Prepare(
            self.fence,
            message.change,
            self.epoch,
            self.step + self.early,
            message.placement,
        )
        self.phase = Phase.preparing
        self.acks = set()
        self.began_at = now
        self.sent_at = now
        return self.to_all(self.prepare)

    def acknowledged(self, reply: Reply, now: float) -> list[Outcome]:
        """Take an acknowledgement of the order under way."""
        match reply:
            case Prepared(_, rank, change):
                return self.rank_prepared(rank, change, now)
            case Unprepared(_, _, change, step):
                return self.rank_unprepared(change, step, now)
            case Decided(_, rank, change):
                return self.rank_decided(rank, change, now)
            case Begun(_, rank, epoch):
                return self.rank_begun(rank, epoch)
        return []

    def rank_prepared(
        self,
        rank: int,
        change: str,
        now: float,
    ) -> list[Outcome]:
        """Commit once all ranks are prepared."""
        prepare = self.prepare
        if self.phase is not Phase.preparing or prepare is None:
            return []
        if change != prepare.change:
            return []
        self.acks.add(rank)
        if len(self.acks) < self.ranks:
            return []
        self.map_id = prepare.change
        self.placement = prepare.placement
        self.early = EARLY_STEPS
        return self.end_and_settle(COMMIT, now)

    def rank_unprepared(
        self,
        change: str,
        step: int,
        now: float,
    ) -> list[Outcome]:
        """Abort, and leave more steps the next time."""
        prepare = self.prepare
        self.step = max(self.step, step)
        if prepare is None or prepare.change != change:
            return []
        if self.phase is not Phase.preparing:
            return []
        self.early = min(MAX_EARLY_STEPS, self.early * LATE_FACTOR)
        return self.end_and_settle(ABORT, now)

    def end_and_settle(self, outcome: str, now: float) -> list[Outcome]:
        """End the change under way and tell all ranks."""
        prepare = self.prepare
        change = prepare.change if prepare is not None else ''
        ended = self.end_prepare(outcome)
        self.to_settle = [Decide(self.fence, change, outcome)]
        return [*ended, *self.settle(now)]

    def end_prepare(self, outcome: str) -> list[Outcome]:
        """Forget the change under way."""
        prepare, self.prepare = self.prepare, None
        if prepare is None:
            return []
        self.outcomes[prepare.change] = outcome
        return [Changed(prepare.change, outcome)]

    def rank_decided(
        self,
        rank: int,
        change: str,
        now: float,
    ) -> list[Outcome]:
        """Go on once all ranks took the outcome."""
        if self.phase is not Phase.settling or not self.to_settle:
            return []
        if change != self.to_settle[0].change:
            return []
        self.acks.add(rank)
        if len(self.acks) < self.ranks:
            return []
        self.to_settle.pop(0)
        return self.settle(now)

    def rank_begun(self, rank: int, epoch: int) -> list[Outcome]:
        """Be steady once all ranks are in the new epoch."""
        if self.phase is not Phase.beginning or epoch != self.epoch:
            return []
        self.acks.add(rank)
        return self.be_steady() if len(self.acks) == self.ranks else []

    def tick(self, now: float) -> list[Outcome]:
        """Repeat what was not acknowledged; abort what takes too long."""
        late = now - self.began_at > PREPARE_TIMEOUT_S
        if self.phase is Phase.preparing and late:
            return self.end_and_settle(ABORT, now)
        if now - self.sent_at < RESEND_S:
            return []
        self.sent_at = now
        return self.repeat()

    def repeat(self) -> list[Outcome]:
        """Send the order under way again."""
        match self.phase:
            case Phase.promising:
                return [
                    ToRank(rank, Promise(self.fence))
                    for rank in range(self.ranks)
                    if rank not in self.states
                ]
            case Phase.preparing if self.prepare is not None:
                return self.to_all(self.prepare)
            case Phase.settling:
                return self.to_all(self.to_settle[0])
            case Phase.beginning if self.begin is not None:
                return self.to_all(self.begin)
        return []


def make_coordinator(
    fence: int,
    ranks: int,
    first_map: Placement,
) -> Coordinator:
    """Make the coordinator of a group.

    :returns: a coordinator that has asked nobody yet.
    """
    return Coordinator(fence, ranks, first_map)
