"""Lead the change of a group's expert map on engines that do not vote.

The leader first puts a hold of its own on a step some way ahead, at a rank
that no other leader uses for that; not its own, whose engine answers nobody
while the leader's machine stands still. Before that step it arms all ranks,
and releases the step only once all are armed for it, so the group pauses only
where that takes longer than the passes before the step. If one cannot be
confirmed, all are disarmed, and a further map is prepared everywhere, which
makes late orders for the abandoned one impossible; then the step is released
under the old map.

A leader lets its own rank prepare first, which voids older orders there, arms
it last, and another one right before it; it takes its arming back first. So
where a rank holds a map that the leader directly before had prepared, and was
never armed, that leader's own rank is not armed either, and a recovery need
not wait for it.

Late orders are harmless: versions only rise and hold the leader's fence,
an armed switch is refused once its step began or its map was replaced, and
a hold is never put on a step that was released before. A leader that was
paused is harmless, too: the pass waits for the hold of the one that took
over.
"""

from dataclasses import dataclass, field

from comfreyarch_core.enginestate import (
    ArmedSwitch,
    ArmMap,
    EngineOrder,
    EngineState,
    GroupMap,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)
from comfreyarch_core.mapevidence import (
    MAPS_A_FENCE,
    find_witnesses,
    highest_version,
    next_to_arm,
    order_facts,
    undo,
)
from comfreyarch_core.mapturns import (
    DEPOSED,
    NOT_HELD,
    AbsentLeader,
    ChangeMap,
    Message,
    Outcome,
    Phase,
    Recover,
    Reported,
    Send,
    Settled,
)

# A copy that takes longer is given up; a link copies an expert in 50 ms.
PREPARE_TIMEOUT_S = 3.0
# All ranks answer within some ms; lost orders are repeated meanwhile.
ARM_TIMEOUT_S = 0.3
# An order without an answer is repeated after this time.
REPEAT_S = 0.04
# The same for a copy under way, which is only looked at.
PREPARE_REPEAT_S = 0.15
# A held step is at most this far ahead of the last one begun.
MOST_AHEAD = 40


@dataclass(slots=True)
class MapControl:
    """Lead one group under one fence.

    :param own: the leader's own rank.
    :param holder: the rank at which this leader holds steps.
    :param content: the map in use, as far as is known.
    :param sent_at: when a rank was last sent an order.
    :param numbers: the last reading taken of each rank.
    :param deposed: a leader with a higher fence was seen; this one is over.
    :param released: the last step that was released, or may have been.
    :param ahead: steps from the last one begun to the one to be held.
    :param absent: the leader directly before, while it is silent.
    :param witnesses: ranks that show that its own rank is not armed.
    :param reached: when the group came to the held step, if it has.
    """

    fence: int
    own: int
    holder: int
    size: int
    phase: Phase = Phase.idle
    states: dict[int, EngineState] = field(default_factory=dict)
    content: GroupMap = ()
    target: GroupMap = ()
    version: int = 0
    made: int = 0
    step: int = -1
    epoch: int = -1
    began: float = 0
    aborted: str = ''
    recovering: bool = False
    sent_at: dict[int, float] = field(default_factory=dict)
    numbers: dict[int, int] = field(default_factory=dict)
    released: int = -1
    deposed: bool = False
    ahead: int = 1
    reached: float | None = None
    absent: AbsentLeader | None = None
    witnesses: set[int] = field(default_factory=set)

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param now: seconds of a steady clock.
        :returns: orders to send, and the end of a change.
        """
        if self.deposed:
            return []
        match message:
            case Reported(state, number):
                return self.reported(state, number, now)
            case ChangeMap(content, ahead):
                return self.change(content, ahead, now)
            case Recover(content, absent):
                self.absent = absent
                return self.recover(content, now)
        return self.advance(now)

    def new_version(self) -> int:
        """Name a map that nobody named before.

        :returns: a version above all former ones.
        """
        self.made += 1
        return self.fence * MAPS_A_FENCE + self.made

    def quiet(self) -> bool:
        """Tell whether all ranks are known, at rest and alike.

        :returns: False where a change must not begin.
        """
        states = list(self.states.values())
        if len(states) != self.size:
            return False
        first = states[0]
        alike = all(
            state.is_open
            and state.epoch == first.epoch
            and state.version == first.version
            for state in states
        )
        return alike and self.at_rest()

    def change(
        self,
        content: GroupMap,
        ahead: int,
        now: float,
    ) -> list[Outcome]:
        """Begin a change, unless one is under way."""
        if self.phase != Phase.idle or not self.quiet():
            return []
        if self.states[self.own].step < self.released:
            return []
        self.target = content
        self.ahead = max(1, min(MOST_AHEAD, ahead))
        self.version = self.new_version()
        self.epoch = self.states[self.own].epoch
        self.recovering = False
        return self.enter(Phase.preparing, now)

    def recover(self, content: GroupMap, now: float) -> list[Outcome]:
        """Begin to settle what may have been left."""
        known = self.own in self.states and self.holder in self.states
        if self.phase != Phase.idle or not known:
            return []
        self.content = content
        self.epoch = self.states[self.own].epoch
        self.recovering = True
        self.aborted = 'recovered'
        self.ahead = 1
        if self.absent is not None:
            self.witnesses = find_witnesses(self.states, self.absent)
        return self.enter(Phase.holding, now)

    def enter(self, phase: Phase, now: float) -> list[Outcome]:
        """Go on to a phase."""
        self.phase = phase
        self.began = now
        self.sent_at = {}
        if phase == Phase.holding:
            self.step = -1
            self.reached = None
        return self.advance(now)

    def reported(
        self,
        state: EngineState,
        number: int,
        now: float,
    ) -> list[Outcome]:
        """Take a rank's state; a new epoch ends all that was under way."""
        known = self.states.get(state.rank)
        if number < self.numbers.get(state.rank, 0):
            return []
        self.numbers[state.rank] = number
        if self.absent is not None and state.rank == self.absent.rank:
            self.absent = None
        if known is not None and state.epoch < known.epoch:
            return []
        self.states[state.rank] = state
        if known is not None and order_facts(state) != order_facts(known):
            self.sent_at.pop(state.rank, None)
        if highest_version(state) >= (self.fence + 1) * MAPS_A_FENCE:
            self.deposed = True
            self.phase = Phase.idle
            return [Settled(None, DEPOSED)]
        if self.phase != Phase.idle and state.epoch > self.epoch:
            self.phase = Phase.idle
            return [Settled(None, 'new epoch')]
        return self.advance(now)

    def advance(self, now: float) -> list[Outcome]:
        """Send what is due, and go on where a phase is complete."""
        match self.phase:
            case Phase.preparing:
                return self.prepare(now)
            case Phase.holding:
                return self.hold(now)
            case Phase.arming:
                return self.arm(now)
            case Phase.aborting:
                return self.abort(now)
            case Phase.releasing:
                return self.release(now)
        return []

    def order(
        self,
        rank: int,
        order: EngineOrder,
        now: float,
        repeat_s: float = REPEAT_S,
    ) -> list[Outcome]:
        """Send an order unless its answer may still come."""
        if now - self.sent_at.get(rank, -repeat_s) < repeat_s:
            return []
        state = self.states[rank]
        self.sent_at[rank] = now
        return [Send(rank, order, self.epoch, state.sequence)]

    def prepare(self, now: float) -> list[Outcome]:
        """Let all ranks copy what they need."""
        waiting = self.unprepared(self.version)
        if not waiting:
            return self.enter(Phase.holding, now)
        if now - self.began > PREPARE_TIMEOUT_S or not self.at_rest():
            self.phase = Phase.idle
            return [Settled(None, 'not prepared')]
        order = PrepareMap(self.version, self.target)
        begun = self.states[self.own].copying == self.version
        if self.own in waiting and not begun:
            # An older switch may still be armed there.
            return self.order(self.own, order, now)
        return [
            outcome
            for rank in waiting
            for outcome in self.order(rank, order, now, PREPARE_REPEAT_S)
        ]

    def switching(self) -> bool:
        """Tell whether all ranks are armed alike and nothing holds them.

        :returns: True from a release until its step begins.
        """
        armed = {state.armed for state in self.states.values()}
        held = any(state.held is not None for state in self.states.values())
        return len(armed) == 1 and not held

    def at_rest(self) -> bool:
        """Tell whether no rank is armed or held by another.

        :returns: False where a change must not go on.
        """
        return all(
            state.armed is None and state.held is None
            for state in self.states.values()
        )

    def unprepared(self, version: int) -> list[int]:
        """List the ranks that have not prepared a map.

        :returns: those, and all ranks that are not known.
        """
        return [
            rank
            for rank in range(self.size)
            if rank not in self.states
            or self.states[rank].prepared != version
            or self.states[rank].epoch != self.epoch
        ]

    def hold(self, now: float) -> list[Outcome]:
        """Hold a step ahead."""
        held = self.states[self.holder].held
        begun = self.states[self.own].step
        if held is not None and held > begun:
            return self.held(held, now)
        if now - self.began > PREPARE_TIMEOUT_S:
            self.phase = Phase.idle
            return [Settled(None, NOT_HELD)]
        if held is not None or begun < self.released:
            # A hold on a step that began is from an old reading.
            return []
        if self.step <= begun:
            self.step = begun + self.ahead
        return self.order(self.holder, HoldStep(self.step), now)

    def held(self, step: int, now: float) -> list[Outcome]:
        """Go on behind the own hold, or take a stray one away.

        :param step: the step that is held.
        """
        if step <= self.released:
            # A late order put it back; a late release may take it any time.
            return self.order(self.holder, ReleaseStep(step), now)
        if self.recovering:
            # Ranks may be armed for this very step: all is settled behind it.
            self.step = step
            return self.begin_abort('recovered', now)
        if step not in {self.step, self.states[self.own].step + 1}:
            self.released = step
            return self.order(self.holder, ReleaseStep(step), now)
        self.step = step
        return self.enter(Phase.arming, now)

    def arm(self, now: float) -> list[Outcome]:
        """Arm all ranks for the held step."""
        if not self.holds():
            return self.hold_again(now)
        switch = ArmedSwitch(self.version, self.step)
        waiting = [
            rank
            for rank in range(self.size)
            if self.states[rank].armed != switch
            or self.states[rank].epoch != self.epoch
        ]
        if not waiting:
            self.content = self.target
            self.aborted = ''
            return self.enter(Phase.releasing, now)
        if self.is_late(now) or self.unprepared(self.version):
            return self.begin_abort('not armed', now)
        order = ArmMap(self.version, self.step)
        return [
            outcome
            for rank in next_to_arm(waiting, self.own, self.size)
            for outcome in self.order(rank, order, now)
        ]

    def is_late(self, now: float) -> bool:
        """Tell whether arming takes too long.

        :returns: True soon after the group came to the held step, as all
            streams wait from then on.
        """
        if self.states[self.own].step + 1 < self.step:
            return now - self.began > PREPARE_TIMEOUT_S
        if self.reached is None:
            self.reached = now
        return now - self.reached > ARM_TIMEOUT_S

    def holds(self) -> bool:
        """Tell whether the own hold keeps the held step from beginning.

        :returns: False where another leader released it.
        """
        held = self.states[self.holder].held
        return held == self.step and self.states[self.own].step < self.step

    def hold_again(self, now: float) -> list[Outcome]:
        """Hold anew, and settle what is there."""
        self.recovering = True
        self.ahead = 1
        return self.enter(Phase.holding, now)

    def begin_abort(self, why: str, now: float) -> list[Outcome]:
        """Give a change up: nobody may keep it, nor take it late."""
        self.aborted = why
        self.version = self.new_version()
        self.target = self.content
        return self.enter(Phase.aborting, now)

    def abort(self, now: float) -> list[Outcome]:
        """Disarm all ranks and make late orders impossible."""
        if not self.holds():
            return self.hold_again(now)
        waiting = self.unprepared(self.version)
        if not waiting or self.may_leave_out(waiting):
            return self.enter(Phase.releasing, now)
        self.witnesses.difference_update(
            rank
            for rank, state in self.states.items()
            if state.armed is not None
        )
        if self.own in waiting:
            waiting = [self.own]
        fallback = PrepareMap(self.version, self.target)
        return [
            outcome
            for rank in waiting
            if rank in self.states
            for outcome in self.order(
                rank,
                undo(self.states[rank], fallback),
                now,
            )
        ]

    def may_leave_out(self, waiting: list[int]) -> bool:
        """Tell whether the ranks that are not settled are surely not armed.

        :returns: True for the absent leader's rank alone, with a witness.
        """
        absent = self.absent
        if not self.recovering or absent is None or not self.witnesses:
            return False
        return waiting == [absent.rank]

    def release(self, now: float) -> list[Outcome]:
        """Let the held step begin."""
        foreign = self.release_foreign(now) if self.aborted else []
        if foreign is None:
            return []
        if foreign:
            return foreign
        held = self.states[self.holder].held
        if held is None:
            self.phase = Phase.idle
            version = None if self.aborted else self.version
            return [Settled(version, self.aborted or 'changed')]
        self.released = max(self.released, held)
        return self.order(self.holder, ReleaseStep(held), now)

    def release_foreign(self, now: float) -> list[Outcome] | None:
        """Release the holds that a former leader left at other ranks.

        :returns: orders to send, None while their answers are awaited.
        """
        held = [
            state
            for state in self.states.values()
            if state.held is not None and state.rank != self.holder
        ]
        orders = [
            outcome
            for state in held
            for outcome in self.order(
                state.rank,
                ReleaseStep(state.held or 0),
                now,
            )
        ]
        return None if held and not orders else orders


def make_map_control(fence: int, own: int, size: int) -> MapControl:
    """Make the leader of a group.

    :returns: a leader that knows no rank.
    """
    return MapControl(fence, own, (own + size // 2) % size, size)
