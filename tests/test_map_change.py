"""Drive the map change through faults at every message and step."""

import itertools
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from map_world import NEW, World

from comfreyarch_core import coordination, rankdesk, rankmessages
from comfreyarch_core import mapmessages as maps

FAULTS = (
    'drop',
    'repeat',
    'delay',
    'reorder',
    'engine lost',
    'sidecar restarted',
    'leader deposed',
)
MESSAGES = range(40)


def propose(world: World, number: int = 0, step_margin: int = 2) -> None:
    """Propose a change to the coordinator of a number."""
    leader = world.leaders[number]
    leader.step_margin = step_margin
    leader.step = max(engine.step for engine in world.engines)
    change = f'change-{leader.fence}'
    world.tell_leader(
        number,
        coordination.Propose(change, NEW[: world.size]),
    )


def started(size: int = 3) -> World:
    """Make a group with a settled coordinator."""
    world = World(size)
    world.lead()
    world.run(4)
    return world


def test_change_takes_effect_on_all_ranks_at_one_step() -> None:
    world = started()
    propose(world)
    world.run(20)
    assert {engine.map_id for engine in world.engines} == {'change-1'}
    assert world.mixed() == []


def test_steady_state_sends_nothing() -> None:
    world = started()
    assert world.leaders[0].phase is coordination.Phase.steady
    before = len(world.sent)
    world.run(10)
    assert len(world.sent) == before == 0


def desk_of() -> rankdesk.RankDesk:
    desk = rankdesk.RankDesk(0)
    desk.handle(rankmessages.EngineSeen(maps.RankState(map_id='start')), 0)
    return desk


def replies(outcomes: list) -> list[type]:
    return [type(one.reply) for one in outcomes]


def test_prepare_repeated_after_the_outcome_is_declined() -> None:
    """Also for an engine that would hold at it once more."""
    desk = desk_of()
    desk.handle(rankmessages.Floor(1), 0)
    desk.handle(maps.Decide(1, 'c', maps.ABORT), 0)
    late = maps.Prepare(1, 'c', 0, 9, NEW)
    assert replies(desk.handle(late, 0)) == [maps.Unprepared]


def test_restarted_sidecar_takes_no_order_before_it_knows_the_floor() -> None:
    desk = desk_of()
    old = maps.Prepare(3, 'c', 0, 9, NEW)
    assert desk.handle(old, 0) == []
    assert replies(desk.handle(rankmessages.Floor(5), 0)) == [maps.Refused]


def apply_fault(world: World, fault: str, entry: tuple) -> None:
    """Deliver a message under a fault."""
    if fault == 'drop':
        return
    if fault == 'engine lost':
        world.lose(entry[1] % world.size)
    if fault == 'sidecar restarted':
        world.restart_sidecar(entry[1] % world.size)
    if fault == 'leader deposed':
        world.lead()
    world.deliver(entry)
    if fault == 'repeat':
        world.deliver(entry)


@pytest.mark.parametrize(
    ('fault', 'at'),
    list(itertools.product(FAULTS, MESSAGES)),
)
def test_fault_at_every_message(fault: str, at: int) -> None:
    """One fault at the numbered message; then the group must go on."""
    world = started()
    propose(world)
    late: list[tuple] = []
    count = 0
    for _ in range(30):
        pending, world.sent = world.sent, []
        if fault == 'reorder' and count <= at < count + len(pending):
            pending.reverse()
        for entry in pending:
            if count == at and fault == 'delay':
                late.append(entry)
            elif count == at:
                apply_fault(world, fault, entry)
            else:
                world.deliver(entry)
            count += 1
        for number in range(world.size):
            world.begin(number)
        world.end_step()
    for entry in late:
        world.deliver(entry)
    world.run(60)
    assert world.mixed() == []
    before = len(world.log)
    world.run(10)
    assert len(world.log) >= before + 9 * world.size
    assert len({engine.map_id for engine in world.engines}) == 1


def test_group_held_by_a_silent_rank_goes_on_without_the_change() -> None:
    """Prepare never reaches rank 2; the others wait at the step."""
    world = started()
    propose(world)
    held: list[int] = []
    for round_number in range(20):
        pending, world.sent = world.sent, []
        for entry in pending:
            if entry[:2] != ('rank', 2) or round_number > 12:
                world.deliver(entry)
        before = len(world.log)
        for number in range(world.size):
            world.begin(number)
        world.end_step()
        held.append(len(world.log) == before)
        world.now += 0.3
        for number in range(world.size):
            world.see(number)
            world.tell_desk(number, rankmessages.Tick())
    assert any(held)
    assert not any(held[-5:])
    assert world.leaders[0].outcomes == {'change-1': maps.ABORT}
    assert world.mixed() == []


def test_paused_coordinator_that_resumes_is_refused() -> None:
    world = started()
    propose(world)
    held = list(world.sent)
    world.sent = []
    world.lead()
    world.run(10)
    for entry in held:
        world.deliver(entry)
    world.run(30)
    assert world.leaders[0].phase is coordination.Phase.deposed
    assert world.mixed() == []
    assert len({engine.map_id for engine in world.engines}) == 1


def test_takeover_with_every_memory_starts_no_epoch() -> None:
    world = started()
    world.lead()
    world.run(10)
    assert {engine.epoch for engine in world.engines} == {0}


def test_lost_memory_starts_one_epoch_under_one_map() -> None:
    world = started()
    propose(world)
    world.run(20)
    world.lose(1)
    world.run(20)
    assert {engine.map_id for engine in world.engines} == {'change-1'}
    assert len({engine.epoch for engine in world.engines}) == 1
    assert world.engines[0].epoch > 0


def test_engine_that_checks_fences_refuses_the_old_one() -> None:
    world = started()
    for engine in world.engines:
        engine.checks_fences = True
    propose(world)
    world.run(20)
    old = maps.Decide(0, 'ghost', maps.COMMIT)
    status, _ = world.engines[0].order(
        {
            'order': 'outcome',
            'fence': old.fence,
            'change': old.change,
            'outcome': old.outcome,
        }
    )
    assert status == 409


def explore(world: World, limits: tuple[int, int], depth: int) -> int:
    """Try all interleavings, shortest first.

    :param limits: losses of memory and coordinators at most.
    :returns: the number of states, negative if a step got mixed.
    """
    queue = deque([(world, 0)])
    seen = {fingerprint(world)}
    while queue:
        here, level = queue.popleft()
        if here.mixed():
            return -len(seen)
        if level == depth:
            continue
        for move in moves_of(here, limits):
            after = here.clone()
            move(after)
            key = fingerprint(after)
            if key not in seen:
                seen.add(key)
                queue.append((after, level + 1))
    return len(seen)


def fingerprint(world: World) -> str:
    """Write all state that decides what can happen next."""
    engines = [
        (one.epoch, one.step, one.begun, one.map_id, one.lost, one.fence)
        + ((one.prepared.change, one.prepared.outcome) if one.prepared else ())
        for one in world.engines
    ]
    desks = [(one.promised, one.finished_changes) for one in world.desks]
    leaders = [
        (one.phase, one.acks, sorted(one.states), one.outcomes)
        for one in world.leaders
    ]
    log = sorted(set(world.log))
    sent = sorted(map(repr, world.sent))
    return repr((engines, desks, leaders, log, sent, world.losses))


def moves_of(world: World, limits: tuple[int, int]) -> list:
    """List what can happen next; messages stay and may come again."""
    moves = [
        lambda after, index=index: after.deliver(after.sent[index])
        for index in range(len(world.sent))
    ]
    moves += [
        lambda after, number=number: after.begin(number)
        for number, engine in enumerate(world.engines)
        if engine.may_begin()
    ]
    if world.losses < limits[0]:
        moves += [
            lambda after, number=number: after.lose(number)
            for number in range(world.size)
        ]
    if len(world.leaders) < limits[1]:
        moves.append(lambda after: after.lead())
    return moves


def opened(rules_off: frozenset[str] = frozenset()) -> World:
    """Make two ranks in the middle of a change, its messages under way."""
    world = World(2)
    world.lead()
    world.run(3)
    propose(world, step_margin=0)
    world.rules_off = rules_off
    return world


def committed(rules_off: frozenset[str] = frozenset()) -> World:
    """Make the same, with the commit decided and not yet delivered."""
    world = opened(rules_off)
    while world.leaders[0].phase is coordination.Phase.preparing:
        world.deliver(world.sent.pop(0))
    return world


@pytest.mark.parametrize(
    ('begin', 'limits', 'depth'),
    [
        (opened, (0, 2), 9),
        (opened, (1, 1), 8),
        (committed, (0, 2), 8),
        (committed, (1, 2), 7),
    ],
)
def test_every_interleaving(
    begin: Callable[[], World],
    limits: tuple[int, int],
    depth: int,
) -> None:
    """No order of late, repeated and lost messages mixes a step."""
    assert explore(begin(), limits, depth) > 500


@pytest.mark.parametrize(
    ('rule_off', 'begin', 'limits', 'depth'),
    [
        ('wait', opened, (0, 1), 9),
        ('fence', committed, (0, 2), 9),
        ('epoch', committed, (1, 1), 9),
    ],
)
def test_search_finds_the_mixed_step_without_a_rule(
    rule_off: str,
    begin: Callable[[frozenset[str]], World],
    limits: tuple[int, int],
    depth: int,
) -> None:
    """Without the rule the same search must find a mixed step."""
    assert explore(begin(frozenset({rule_off})), limits, depth) < 0


class MapMachine(RuleBasedStateMachine):
    """Let hypothesis interleave everything on three ranks."""

    def __init__(self) -> None:
        super().__init__()
        self.world = started()

    @rule(pick=st.integers(0, 10**6))
    def deliver(self, pick: int) -> None:
        if self.world.sent:
            self.world.deliver(self.world.sent[pick % len(self.world.sent)])

    @rule(rank=st.integers(0, 2))
    def begin(self, rank: int) -> None:
        self.world.begin(rank)

    @rule()
    def end_step(self) -> None:
        self.world.end_step()

    @rule(rank=st.integers(0, 2))
    def restart(self, rank: int) -> None:
        self.world.restart_sidecar(rank)

    @rule(rank=st.integers(0, 2))
    def lose(self, rank: int) -> None:
        if self.world.losses < 2:
            self.world.lose(rank)

    @rule()
    def lead(self) -> None:
        if len(self.world.leaders) < 4:
            self.world.lead()

    @rule(pick=st.integers(0, 3), seconds=st.sampled_from([0.6, 11.0]))
    def tick(self, pick: int, seconds: float) -> None:
        self.world.now += seconds
        number = pick % len(self.world.leaders)
        self.world.tell_leader(number, coordination.Tick())

    @rule(pick=st.integers(0, 3))
    def propose(self, pick: int) -> None:
        number = pick % len(self.world.leaders)
        leader = self.world.leaders[number]
        if leader.phase is not coordination.Phase.steady:
            return
        leader.step_margin = 1
        leader.step = max(one.step for one in self.world.engines)
        change = f'change-{leader.fence}-{len(leader.outcomes)}'
        self.world.tell_leader(number, coordination.Propose(change, NEW))

    @invariant()
    def no_mixed_step(self) -> None:
        assert self.world.mixed() == []


MapMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=80,
    derandomize=True,
    deadline=None,
)
TestMapMachine = MapMachine.TestCase


def test_soak_map_change(soak: bool) -> None:
    """Run the state machine for long, with the seed given."""
    from hypothesis.stateful import run_state_machine_as_test

    if soak:
        run_state_machine_as_test(
            MapMachine,
            settings=settings(
                max_examples=3000,
                stateful_step_count=150,
                deadline=None,
            ),
        )
