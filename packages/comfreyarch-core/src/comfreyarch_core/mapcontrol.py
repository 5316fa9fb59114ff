"""Lead the change of a group's expert map on engines that do not vote.

Such engines execute orders but take no part in deciding a change, unlike those
of ``coordinator``. A step is held by an order to one rank; the group, which
works in lock-step, does not begin it before the hold is released. A rank is
armed by an order to switch to its prepared map when a given step begins.

After all ranks have prepared the new map, the leader holds a step some steps
ahead of the current one. It places the hold at a rank that no other leader
uses for holds. That rank is not the leader's own, because an engine does not
answer while its instance is stalled, and the leader's instance may be the next
to stall. The leader then arms all ranks and releases the step only when every
rank is armed for it, so the group pauses only if arming takes longer than the
passes before the held step. If the arming of a rank cannot be confirmed, all
ranks are disarmed and prepare a further map with the old content, after which
engines refuse late orders for the abandoned map. Then the step is released
under the old map.

A leader prepares its own rank first, which invalidates older orders there. It
arms its own rank last and one other rank, its witness, right before it, and it
disarms its own rank first. A rank that prepared a map of the previous leader
and was never armed therefore proves that the previous leader's own rank is not
armed either, so a recovery does not wait for that rank.

Late orders are harmless: versions only increase and contain the leader's
fence, an engine refuses to arm once the step has begun or the map has been
replaced, and a leader never holds a step that it released before. A leader
that resumes after a pause is harmless, too: the group still waits for the hold
of its successor, which is at another rank.
"""

from collections.abc import Iterable
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
from comfreyarch_core.groupstate import (
    agree_on_map,
    are_at_rest,
    find_unprepared,
)
from comfreyarch_core.mapcontrolmessages import (
    DEPOSED,
    NOT_HELD,
    NOT_PREPARED,
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
from comfreyarch_core.maporders import (
    find_witnesses,
    first_map_version,
    highest_version,
    map_state,
    prepare_resend_s,
    select_ranks_to_arm,
    select_steps_ahead,
    select_undo_order,
)

# Timeout of the preparing and holding phases, and of arming until the group
# reaches the held step. A link copies an expert in 50 ms.
PREPARE_TIMEOUT_S = 3.0
# Timeout of arming once the group waits at the held step. Ranks answer within
# a few milliseconds; lost orders are resent until the timeout.
ARM_TIMEOUT_S = 0.3
# Interval at which an unanswered order is resent.
RESEND_S = 0.04
# Lower bound of the same interval for each rank: orders and answers of a large
# group take longer to pass the leader's link.
RESEND_PER_RANK_S = 0.001


@dataclass(slots=True)
class MapControl:
    """Represent the leader of one group for one term, under one fence.

    :param own_rank: the leader's own rank.
    :param hold_rank: the rank at which this leader holds steps.
    :param size: number of ranks in the group.
    :param states: the last known state of each rank.
    :param content: the map in use, as far as the leader knows.
    :param target: the map that ranks are preparing or have prepared.
    :param version: version of the target map.
    :param maps_created: number of versions assigned in this term.
    :param step: the held step, -1 while none is known.
    :param epoch: the group's epoch in which the current change started.
    :param phase_started_at: time at which the current phase started.
    :param abort_reason: why the change was abandoned, ``recovered`` in a
        recovery, empty after a successful change.
    :param recovering: whether this is a recovery rather than a change.
    :param sent_at: time of the last order to each rank; removed when the
        rank's reported state changes.
    :param reading_numbers: number of the latest reading from each rank.
    :param last_released: the last step that this leader has, or may have,
        released.
    :param deposed: whether a leader with a higher fence was seen; this leader
        then ignores all messages.
    :param steps_ahead: distance from the last step begun to the step to hold.
    :param steps_ahead_unanswered: the same if an order is unanswered by then.
    :param reached_at: time at which the group reached the held step, or None.
    :param absent_leader: the previous leader while its sidecar is silent.
    :param witnesses: ranks that prove that the absent leader's rank is not
        armed.
    """

    fence: int
    own_rank: int
    hold_rank: int
    size: int
    phase: Phase = Phase.idle
    states: dict[int, EngineState] = field(default_factory=dict)
    content: GroupMap = ()
    target: GroupMap = ()
    version: int = 0
    maps_created: int = 0
    step: int = -1
    epoch: int = -1
    phase_started_at: float = 0
    abort_reason: str = ''
    recovering: bool = False
    sent_at: dict[int, float] = field(default_factory=dict)
    reading_numbers: dict[int, int] = field(default_factory=dict)
    last_released: int = -1
    deposed: bool = False
    steps_ahead: int = 1
    steps_ahead_unanswered: int = 1
    reached_at: float | None = None
    absent_leader: AbsentLeader | None = None
    witnesses: set[int] = field(default_factory=set)

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message.

        :param now: seconds of a monotonic clock.
        :returns: orders to send, and the result of a change that ended.
        """
        if self.deposed:
            return []
        match message:
            case Reported(state, number):
                return self.update_state(state, number, now)
            case ChangeMap():
                return self.start_change(message, now)
            case Recover(content, absent_leader):
                self.absent_leader = absent_leader
                return self.start_recovery(content, now)
        return self.advance(now)

    def next_version(self) -> int:
        """Create a map version that no leader has used.

        :returns: a version above all earlier ones.
        """
        self.maps_created += 1
        return first_map_version(self.fence) + self.maps_created

    def is_quiescent(self) -> bool:
        """Check that all ranks are known, open, at rest and in agreement.

        :returns: False if a change must not start.
        """
        if len(self.states) != self.size:
            return False
        return agree_on_map(self.states) and self.is_at_rest()

    def start_change(self, change: ChangeMap, now: float) -> list[Outcome]:
        """Start a change unless one is in progress or must not start."""
        if self.phase != Phase.idle or not self.is_quiescent():
            return []
        if self.states[self.own_rank].step < self.last_released:
            # The released step has not begun yet, or the reading is outdated.
            return []
        self.target = change.content
        self.steps_ahead = change.steps_ahead
        self.steps_ahead_unanswered = change.steps_ahead_unanswered
        self.version = self.next_version()
        self.epoch = self.states[self.own_rank].epoch
        self.recovering = False
        return self.enter_phase(Phase.preparing, now)

    def start_recovery(self, content: GroupMap, now: float) -> list[Outcome]:
        """Start to remove the holds and armed switches of former leaders."""
        known = self.own_rank in self.states and self.hold_rank in self.states
        if self.phase != Phase.idle or not known:
            return []
        self.content = content
        self.epoch = self.states[self.own_rank].epoch
        self.recovering = True
        self.abort_reason = 'recovered'
        if self.absent_leader is not None:
            self.witnesses = find_witnesses(self.states, self.absent_leader)
        return self.enter_phase(Phase.holding, now)

    def enter_phase(self, phase: Phase, now: float) -> list[Outcome]:
        """Enter a phase and send its first orders."""
        self.phase = phase
        self.phase_started_at = now
        self.sent_at = {}
        if phase == Phase.holding:
            self.step = -1
            self.reached_at = None
        return self.advance(now)

    def update_state(
        self,
        state: EngineState,
        number: int,
        now: float,
    ) -> list[Outcome]:
        """Record a rank's state; a new epoch ends the change in progress."""
        known = self.states.get(state.rank)
        if number < self.reading_numbers.get(state.rank, 0):
            return []
        self.reading_numbers[state.rank] = number
        if (
            self.absent_leader is not None
            and state.rank == self.absent_leader.rank
        ):
            self.absent_leader = None
        if known is not None and state.epoch < known.epoch:
            return []
        self.states[state.rank] = state
        if known is not None and map_state(state) != map_state(known):
            self.sent_at.pop(state.rank, None)
        if highest_version(state) >= first_map_version(self.fence + 1):
            self.deposed = True
            self.phase = Phase.idle
            return [Settled(None, DEPOSED)]
        if self.phase != Phase.idle and state.epoch > self.epoch:
            self.phase = Phase.idle
            return [Settled(None, 'new epoch')]
        return self.advance(now)

    def advance(self, now: float) -> list[Outcome]:
        """Send due orders, or enter the next phase if this one is complete."""
        match self.phase:
            case Phase.preparing:
                return self.prepare_ranks(now)
            case Phase.holding:
                return self.hold_step(now)
            case Phase.arming:
                return self.arm_ranks(now)
            case Phase.aborting:
                return self.disarm_ranks(now)
            case Phase.releasing:
                return self.release_step(now)
        return []

    def send_order(
        self,
        rank: int,
        order: EngineOrder,
        now: float,
        resend_s: float = 0,
    ) -> list[Outcome]:
        """Send an order unless one was sent within the resend interval.

        :param resend_s: the interval, 0 for the usual one.
        """
        resend_s = resend_s or max(RESEND_S, RESEND_PER_RANK_S * self.size)
        if now - self.sent_at.get(rank, -resend_s) < resend_s:
            return []
        state = self.states[rank]
        self.sent_at[rank] = now
        return [Send(rank, order, self.epoch, state.sequence)]

    def delay_resends(self, ranks: Iterable[int], arrival_at: float) -> None:
        """Count the resend interval of orders from the time of their arrival.

        :param ranks: ranks whose last orders wait for a link.
        """
        for rank in ranks:
            if rank in self.sent_at:
                self.sent_at[rank] = arrival_at

    def prepare_ranks(self, now: float) -> list[Outcome]:
        """Order all ranks to copy the experts that the target map needs."""
        waiting = self.find_unprepared()
        if not waiting:
            return self.enter_phase(Phase.holding, now)
        if (
            now - self.phase_started_at > PREPARE_TIMEOUT_S
            or not self.is_at_rest()
        ):
            self.phase = Phase.idle
            return [Settled(None, NOT_PREPARED)]
        order = PrepareMap(self.version, self.target)
        is_copying = self.states[self.own_rank].copying == self.version
        if self.own_rank in waiting and not is_copying:
            # The leader's own rank prepares first: an older switch may still
            # be armed there.
            return self.send_order(self.own_rank, order, now)
        return [
            outcome
            for rank in waiting
            for outcome in self.send_order(
                rank,
                order,
                now,
                prepare_resend_s(
                    self.states.get(rank), self.version, len(waiting)
                ),
            )
        ]

    def is_at_rest(self) -> bool:
        """Check that no rank is armed and no rank holds a step."""
        return are_at_rest(self.states)

    def find_unprepared(self) -> list[int]:
        """List the ranks that have not prepared the target map."""
        return find_unprepared(self.states, self.size, self.version, self.epoch)

    def hold_step(self, now: float) -> list[Outcome]:
        """Hold a step ahead of the last one begun."""
        held = self.states[self.hold_rank].held
        last_begun = self.states[self.own_rank].step
        if held is not None and held > last_begun:
            return self.proceed_from_hold(held, now)
        if now - self.phase_started_at > PREPARE_TIMEOUT_S:
            self.phase = Phase.idle
            return [Settled(None, NOT_HELD)]
        if held is not None or last_begun < self.last_released:
            # Wait for newer readings. A hold on a step that has begun comes
            # from an outdated one; a step up to the last released one must
            # not be held again.
            return []
        if self.step <= last_begun:
            steps_ahead = select_steps_ahead(
                self.states, self.steps_ahead, self.steps_ahead_unanswered
            )
            if self.recovering:
                steps_ahead = 1
            self.step = last_begun + steps_ahead
        return self.send_order(self.hold_rank, HoldStep(self.step), now)

    def proceed_from_hold(self, step: int, now: float) -> list[Outcome]:
        """Start arming under this leader's hold, or release a stray hold.

        :param step: the step that is held at the hold rank.
        """
        if step <= self.last_released:
            # A late order restored this hold, and a late release may remove
            # it at any time, so no rank may be armed under it.
            return self.send_order(self.hold_rank, ReleaseStep(step), now)
        if self.recovering:
            # Ranks may be armed for this very step, so the hold must stay
            # until all of them are disarmed.
            self.step = step
            return self.start_abort('recovered', now)
        if step not in {self.step, self.states[self.own_rank].step + 1}:
            self.last_released = step
            return self.send_order(self.hold_rank, ReleaseStep(step), now)
        self.step = step
        return self.enter_phase(Phase.arming, now)

    def arm_ranks(self, now: float) -> list[Outcome]:
        """Order all ranks to arm for the held step."""
        if not self.is_step_held():
            return self.restart_hold(now)
        switch = ArmedSwitch(self.version, self.step)
        waiting = [
            rank
            for rank in range(self.size)
            if self.states[rank].armed != switch
            or self.states[rank].epoch != self.epoch
        ]
        if not waiting:
            self.content = self.target
            self.abort_reason = ''
            return self.enter_phase(Phase.releasing, now)
        if self.is_arming_late(now) or self.find_unprepared():
            return self.start_abort('not armed', now)
        order = ArmMap(self.version, self.step)
        return [
            outcome
            for rank in select_ranks_to_arm(waiting, self.own_rank, self.size)
            for outcome in self.send_order(rank, order, now)
        ]

    def is_arming_late(self, now: float) -> bool:
        """Check whether arming has timed out.

        The timeout is short once the group has reached the held step, because
        all streams wait from then on.

        :returns: True if the change must be abandoned.
        """
        if self.states[self.own_rank].step + 1 < self.step:
            return now - self.phase_started_at > PREPARE_TIMEOUT_S
        if self.reached_at is None:
            self.reached_at = now
        return now - self.reached_at > ARM_TIMEOUT_S

    def is_step_held(self) -> bool:
        """Check whether this leader's hold still blocks the held step.

        :returns: False if another leader released it or the step has begun.
        """
        held = self.states[self.hold_rank].held
        return held == self.step and self.states[self.own_rank].step < self.step

    def restart_hold(self, now: float) -> list[Outcome]:
        """Place a new hold and recover the group under it."""
        self.recovering = True
        return self.enter_phase(Phase.holding, now)

    def start_abort(self, reason: str, now: float) -> list[Outcome]:
        """Abandon a change so that no rank keeps it or accepts it late."""
        self.abort_reason = reason
        self.version = self.next_version()
        self.target = self.content
        return self.enter_phase(Phase.aborting, now)

    def disarm_ranks(self, now: float) -> list[Outcome]:
        """Disarm all ranks and prepare a map that invalidates late orders."""
        if not self.is_step_held():
            return self.restart_hold(now)
        waiting = self.find_unprepared()
        if not waiting or self.can_skip(waiting):
            return self.enter_phase(Phase.releasing, now)
        self.witnesses.difference_update(
            rank
            for rank, state in self.states.items()
            if state.armed is not None
        )
        if self.own_rank in waiting:
            waiting = [self.own_rank]
        fallback = PrepareMap(self.version, self.target)
        return [
            outcome
            for rank in waiting
            if rank in self.states
            for outcome in self.send_order(
                rank,
                select_undo_order(self.states[rank], fallback),
                now,
            )
        ]

    def can_skip(self, waiting: list[int]) -> bool:
        """Check whether the waiting ranks are proven not to be armed.

        :returns: True if only the absent leader's rank is waiting and at least
            one witness remains.
        """
        absent_leader = self.absent_leader
        if not self.recovering or absent_leader is None or not self.witnesses:
            return False
        return waiting == [absent_leader.rank]

    def release_step(self, now: float) -> list[Outcome]:
        """Release the held step, after an abort all other holds first."""
        former_releases = (
            self.release_former_holds(now) if self.abort_reason else []
        )
        if former_releases is None:
            return []
        if former_releases:
            return former_releases
        held = self.states[self.hold_rank].held
        if held is None:
            self.phase = Phase.idle
            version = None if self.abort_reason else self.version
            return [Settled(version, self.abort_reason or 'changed')]
        self.last_released = max(self.last_released, held)
        return self.send_order(self.hold_rank, ReleaseStep(held), now)

    def release_former_holds(self, now: float) -> list[Outcome] | None:
        """Release the holds that former leaders left at other ranks.

        :returns: orders to send, empty if there are no such holds, None while
            answers are pending.
        """
        held = [
            state
            for state in self.states.values()
            if state.held is not None and state.rank != self.hold_rank
        ]
        orders = [
            outcome
            for state in held
            for outcome in self.send_order(
                state.rank,
                ReleaseStep(state.held or 0),
                now,
            )
        ]
        return None if held and not orders else orders


def make_map_control(fence: int, own_rank: int, size: int) -> MapControl:
    """Create the leader of a group.

    It holds steps at the rank half the group away from its own, so that no two
    leaders use the same one.

    :returns: a leader without any rank's state.
    """
    return MapControl(fence, own_rank, (own_rank + size // 2) % size, size)
