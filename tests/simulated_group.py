"""Simulate a rank group in memory: coordinators, participants, engines."""

import copy
from collections import deque
from dataclasses import dataclass, field

import msgspec

from comfreyarch_core import coordinator as coordinator_module
from comfreyarch_core import coordinatormessages, rankmessages, rankparticipant
from comfreyarch_core import mapmessages as maps
from comfreyarch_daemon.engineclient import encode_order, parse_status
from standins.engines import Rank

OLD_PLACEMENT = [[0], [1], [2]]
NEW_PLACEMENT = [[1], [0], [2]]


def read_rank_state(rank: Rank) -> maps.RankState:
    """Return an engine's state as a sidecar reads it."""
    state = parse_status(rank.state()).rank_state
    return msgspec.structs.replace(state, outcomes=dict(state.outcomes))


@dataclass
class SimulatedGroup:
    """Simulate one group with its coordinators and messages in flight.

    Messages stay in ``sent`` after delivery, so that a test can deliver
    each of them late, twice, in any order, or never.

    :param sent: messages, each with the kind and number of its recipient.
    :param step_log: epoch, step, rank and map of each step that a rank began.
    :param lease_fence: fence of the newest coordinator.
    :param disabled_rules: names of the safety rules that the simulation
        violates.
    """

    size: int
    engines: list[Rank] = field(default_factory=list)
    participants: list[rankparticipant.RankParticipant] = field(
        default_factory=list
    )
    coordinators: list[coordinator_module.Coordinator] = field(
        default_factory=list
    )
    sent: list[tuple[str, int, object]] = field(default_factory=list)
    step_log: list[tuple[int, int, int, str]] = field(default_factory=list)
    lease_fence: int = 0
    state_losses: int = 0
    now: float = 0
    disabled_rules: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        """Start all ranks in the first epoch under the old placement."""
        for number in range(self.size):
            engine = Rank(number, OLD_PLACEMENT[: self.size])
            engine.incarnation = f'{number}/0'
            self.engines.append(engine)
            self.participants.append(rankparticipant.RankParticipant(number))
        for number in range(self.size):
            self.refresh_sidecar(number)

    def refresh_sidecar(self, number: int) -> None:
        """Give a participant the fence floor and its engine's state."""
        if not self.participants[number].floor_known:
            self.send_to_participant(
                number, rankmessages.FenceFloor(self.lease_fence)
            )
        seen = rankmessages.EngineStateRead(
            read_rank_state(self.engines[number])
        )
        self.send_to_participant(number, seen)

    def elect_coordinator(self) -> coordinator_module.Coordinator:
        """Start another coordinator under the next fence."""
        self.lease_fence += 1
        coordinator = coordinator_module.make_coordinator(
            self.lease_fence,
            self.size,
            OLD_PLACEMENT[: self.size],
        )
        self.coordinators.append(coordinator)
        self.apply_coordinator_outcomes(
            len(self.coordinators) - 1, coordinator.start(self.now)
        )
        return coordinator

    def send_to_coordinator(
        self, number: int, message: coordinatormessages.Message
    ) -> None:
        """Pass a message to a coordinator and apply its outcomes."""
        coordinator = self.coordinators[number]
        self.apply_coordinator_outcomes(
            number, coordinator.handle(message, self.now)
        )

    def apply_coordinator_outcomes(
        self, number: int, outcomes: list[object]
    ) -> None:
        """Enqueue the orders that a coordinator sends to ranks."""
        for outcome in outcomes:
            if isinstance(outcome, coordinatormessages.ToRank):
                self.enqueue('rank', outcome.rank, outcome.order)

    def enqueue(self, kind: str, target: int, message: object) -> None:
        """Add a message to those in flight, unless it is among them."""
        entry = (kind, target, message)
        if entry not in self.sent:
            self.sent.append(entry)

    def send_to_participant(
        self, number: int, message: rankmessages.Message
    ) -> None:
        """Pass a message to a participant and apply its outcomes."""
        participant = self.participants[number]
        if 'fence' in self.disabled_rules:
            participant.promised_fence = getattr(
                message, 'fence', participant.promised_fence
            )
        self.apply_participant_outcomes(
            number, participant.handle(message, self.now)
        )

    def apply_participant_outcomes(
        self, number: int, outcomes: list[object]
    ) -> None:
        """Apply engine orders at once; enqueue messages to others."""
        for outcome in outcomes:
            match outcome:
                case rankmessages.ToEngine(order):
                    self.order_engine(number, order)
                case rankmessages.ToCoordinator(reply):
                    for index in range(len(self.coordinators)):
                        self.enqueue('coordinator', index, reply)
                case rankmessages.ToPeers(query):
                    for other in range(self.size):
                        if other != number:
                            self.enqueue('rank', other, query)
                case rankmessages.ToPeer(rank, answer):
                    self.enqueue('rank', rank, answer)

    def order_engine(self, number: int, order: maps.EngineOrder) -> None:
        """Send an engine an order and its participant the answer."""
        engine = self.engines[number]
        status, _ = engine.order(encode_order(order))
        if 'wait' in self.disabled_rules and engine.prepared is not None:
            engine.prepared.step = 10**9
            if engine.prepared.outcome == 'commit':
                engine.prepared.step = 0
        done = rankmessages.EngineAnswered(
            status == 200, read_rank_state(engine)
        )
        self.send_to_participant(number, done)

    def deliver(self, entry: tuple[str, int, object]) -> None:
        """Deliver a message, which may have been delivered before."""
        kind, target, message = entry
        if kind == 'rank':
            self.send_to_participant(target, message)
        else:
            self.send_to_coordinator(target, message)

    def begin_step(self, number: int) -> bool:
        """Begin a rank's next step unless its engine must wait."""
        engine = self.engines[number]
        if not engine.can_start_step():
            return False
        self.step_log.append(engine.start_step())
        return True

    def end_step(self) -> bool:
        """End the current step if all ranks have begun it."""
        if not all(engine.is_in_step for engine in self.engines):
            return False
        if len({(rank.epoch, rank.step) for rank in self.engines}) != 1:
            return False
        for engine in self.engines:
            engine.step += 1
            engine.is_in_step = False
        return True

    def lose_engine_state(self, number: int) -> None:
        """Reset an engine's state and let its sidecar read it back."""
        self.state_losses += 1
        engine = self.engines[number]
        step = engine.step + int(engine.is_in_step)
        engine.lose_state()
        # Equal histories must give equal states for the exhaustive search.
        engine.incarnation = f'{number}/{self.state_losses}'
        if 'epoch' in self.disabled_rules:
            engine.has_lost_state = False
            engine.map_id = 'start'
            engine.step = step
        self.refresh_sidecar(number)

    def restart_sidecar(self, number: int) -> None:
        """Replace a participant by a new one that reads its inputs."""
        self.participants[number] = rankparticipant.RankParticipant(number)
        self.refresh_sidecar(number)

    def mixed_steps(self) -> list[tuple[int, int]]:
        """Return the steps that ran under more than one map."""
        used: dict[tuple[int, int], set[str]] = {}
        for epoch, step, _, map_id in self.step_log:
            used.setdefault((epoch, step), set()).add(map_id)
        return [step for step, found in used.items() if len(found) > 1]

    def run_rounds(self, rounds: int = 200) -> None:
        """Deliver all messages in order and run the group's steps."""
        for _ in range(rounds):
            pending, self.sent = self.sent, []
            for entry in pending:
                self.deliver(entry)
            for number in range(self.size):
                self.begin_step(number)
            self.end_step()
            self.now += 0.6
            for number in range(self.size):
                self.refresh_sidecar(number)
                self.send_to_participant(number, rankmessages.Tick())
            for number in range(len(self.coordinators)):
                self.send_to_coordinator(number, coordinatormessages.Tick())

    def clone(self) -> 'SimulatedGroup':
        """Copy the simulated group so that the copy can diverge."""
        duplicate = copy.copy(self)
        duplicate.engines = [copy_engine(engine) for engine in self.engines]
        duplicate.participants = [
            copy_fields(participant) for participant in self.participants
        ]
        duplicate.coordinators = [
            copy_fields(coordinator) for coordinator in self.coordinators
        ]
        duplicate.sent = list(self.sent)
        duplicate.step_log = list(self.step_log)
        return duplicate


def copy_engine(engine: Rank) -> Rank:
    """Copy an engine; its event is shared, as no test waits on it."""
    duplicate = copy.copy(engine)
    duplicate.outcomes = dict(engine.outcomes)
    duplicate.prepared = copy.copy(engine.prepared)
    return duplicate


def copy_fields(slotted: object) -> object:
    """Copy a slotted object and its containers, but not their items."""
    duplicate = copy.copy(slotted)
    for name in slotted.__slots__:
        content = getattr(slotted, name)
        if isinstance(content, dict | list | set | deque):
            setattr(duplicate, name, copy.copy(content))
    return duplicate
