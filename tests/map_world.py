"""Put coordinators, rank desks and engines together without any input."""

import copy
from collections import deque
from dataclasses import dataclass, field

import msgspec

from comfreyarch_core import coordination, rankdesk, rankmessages
from comfreyarch_core import coordinator as coordinators
from comfreyarch_core import mapmessages as maps
from comfreyarch_daemon.engineorders import to_order, to_state
from standins.engines import Rank

OLD = [[0], [1], [2]]
NEW = [[1], [0], [2]]


def state_of(rank: Rank) -> maps.RankState:
    """Read an engine's state as a sidecar does."""
    state = to_state(rank.state()).rank_state
    return msgspec.structs.replace(state, outcomes=dict(state.outcomes))


@dataclass
class World:
    """Hold a group, its coordinators and the messages under way.

    Messages stay in ``sent`` after delivery, so that each may come late,
    twice, in any order, or never.
    """

    size: int
    engines: list[Rank] = field(default_factory=list)
    desks: list[rankdesk.RankDesk] = field(default_factory=list)
    leaders: list[coordinators.Coordinator] = field(default_factory=list)
    sent: list[tuple[str, int, object]] = field(default_factory=list)
    log: list[tuple[int, int, int, str]] = field(default_factory=list)
    lease_fence: int = 0
    losses: int = 0
    now: float = 0
    rules_off: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        """Start all ranks in the first epoch."""
        for number in range(self.size):
            self.engines.append(Rank(number, OLD[: self.size]))
            self.desks.append(rankdesk.RankDesk(number))
        for number in range(self.size):
            self.see(number)

    def see(self, number: int) -> None:
        """Let a sidecar read floor and engine."""
        if not self.desks[number].floor_known:
            self.tell_desk(number, rankmessages.Floor(self.lease_fence))
        seen = rankmessages.EngineSeen(state_of(self.engines[number]))
        self.tell_desk(number, seen)

    def lead(self) -> coordinators.Coordinator:
        """Let another sidecar take the lease."""
        self.lease_fence += 1
        leader = coordinators.make_coordinator(
            self.lease_fence,
            self.size,
            OLD[: self.size],
        )
        self.leaders.append(leader)
        self.act_leader(len(self.leaders) - 1, leader.start(self.now))
        return leader

    def tell_leader(self, number: int, message: coordination.Message) -> None:
        """Give a coordinator a message."""
        leader = self.leaders[number]
        self.act_leader(number, leader.handle(message, self.now))

    def act_leader(self, number: int, outcomes: list[object]) -> None:
        """Send what a coordinator wants sent."""
        for outcome in outcomes:
            if isinstance(outcome, coordination.ToRank):
                self.post('rank', outcome.rank, outcome.order)

    def post(self, kind: str, target: int, message: object) -> None:
        """Put a message under way, unless the same is."""
        entry = (kind, target, message)
        if entry not in self.sent:
            self.sent.append(entry)

    def tell_desk(self, number: int, message: rankmessages.Message) -> None:
        """Give a desk a message; orders reach its engine at once."""
        desk = self.desks[number]
        if 'fence' in self.rules_off:
            desk.promised = getattr(message, 'fence', desk.promised)
        self.act_desk(number, desk.handle(message, self.now))

    def act_desk(self, number: int, outcomes: list[object]) -> None:
        """Carry out what a desk decided."""
        for outcome in outcomes:
            match outcome:
                case rankmessages.ToEngine(order):
                    self.order_engine(number, order)
                case rankmessages.ToCoordinator(reply):
                    for index in range(len(self.leaders)):
                        self.post('leader', index, reply)
                case rankmessages.ToPeers(ask):
                    for other in range(self.size):
                        if other != number:
                            self.post('rank', other, ask)
                case rankmessages.ToPeer(rank, tell):
                    self.post('rank', rank, tell)

    def order_engine(self, number: int, order: maps.EngineOrder) -> None:
        """Give an engine an order and its desk the answer."""
        engine = self.engines[number]
        status, _ = engine.order(to_order(order))
        if 'wait' in self.rules_off and engine.prepared is not None:
            engine.prepared.step = 10**9
            if engine.prepared.outcome == 'commit':
                engine.prepared.step = 0
        done = rankmessages.EngineDone(status == 200, state_of(engine))
        self.tell_desk(number, done)

    def deliver(self, entry: tuple[str, int, object]) -> None:
        """Deliver a message once more."""
        kind, target, message = entry
        if kind == 'rank':
            self.tell_desk(target, message)
        else:
            self.tell_leader(target, message)

    def begin(self, number: int) -> bool:
        """Let a rank begin its next step, if nothing holds it."""
        engine = self.engines[number]
        if not engine.may_begin():
            return False
        self.log.append(engine.begin())
        return True

    def end_step(self) -> bool:
        """End the step once all ranks have begun it."""
        if not all(engine.begun for engine in self.engines):
            return False
        if len({(one.epoch, one.step) for one in self.engines}) != 1:
            return False
        for engine in self.engines:
            engine.step += 1
            engine.begun = False
        return True

    def lose(self, number: int) -> None:
        """Let an engine lose its memory; its sidecar notices."""
        self.losses += 1
        engine = self.engines[number]
        step = engine.step + int(engine.begun)
        engine.forget()
        if 'epoch' in self.rules_off:
            engine.lost = False
            engine.map_id = 'start'
            engine.step = step
        self.see(number)

    def restart_sidecar(self, number: int) -> None:
        """Let a sidecar lose its memory and read back what it can."""
        self.desks[number] = rankdesk.RankDesk(number)
        self.see(number)

    def mixed(self) -> list[tuple[int, int]]:
        """List the steps that ran under more than one map."""
        used: dict[tuple[int, int], set[str]] = {}
        for epoch, step, _, map_id in self.log:
            used.setdefault((epoch, step), set()).add(map_id)
        return [step for step, found in used.items() if len(found) > 1]

    def run(self, rounds: int = 200) -> None:
        """Deliver everything in order and let the group step."""
        for _ in range(rounds):
            pending, self.sent = self.sent, []
            for entry in pending:
                self.deliver(entry)
            for number in range(self.size):
                self.begin(number)
            self.end_step()
            self.now += 0.6
            for number in range(self.size):
                self.see(number)
                self.tell_desk(number, rankmessages.Tick())
            for number in range(len(self.leaders)):
                self.tell_leader(number, coordination.Tick())

    def clone(self) -> 'World':
        """Copy the whole world."""
        twin = copy.copy(self)
        twin.engines = [copy_engine(one) for one in self.engines]
        twin.desks = [copy_fields(one) for one in self.desks]
        twin.leaders = [copy_fields(one) for one in self.leaders]
        twin.sent = list(self.sent)
        twin.log = list(self.log)
        return twin


def copy_engine(engine: Rank) -> Rank:
    """Copy an engine; its event is shared, nobody waits on it."""
    twin = copy.copy(engine)
    twin.outcomes = dict(engine.outcomes)
    twin.prepared = copy.copy(engine.prepared)
    return twin


def copy_fields(one: object) -> object:
    """Copy a slotted object and its containers, not what they hold."""
    twin = copy.copy(one)
    for name in one.__slots__:
        content = getattr(one, name)
        if isinstance(content, dict | list | set | deque):
            setattr(twin, name, copy.copy(content))
    return twin
