"""Test the map change under faults at every message and step."""

import itertools
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from simulated_group import NEW_PLACEMENT, SimulatedGroup

from comfreyarch_core import coordinatormessages, rankmessages, rankparticipant
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
# Positions, among the messages of a change, of the one that a fault hits.
MESSAGES = range(40)


def propose(
    group: SimulatedGroup, number: int = 0, step_margin: int = 2
) -> None:
    """Propose a change to one of the coordinators."""
    coordinator = group.coordinators[number]
    coordinator.step_margin = step_margin
    coordinator.step = max(engine.step for engine in group.engines)
    change = f'change-{coordinator.fence}'
    group.send_to_coordinator(
        number,
        coordinatormessages.Propose(change, NEW_PLACEMENT[: group.size]),
    )


def make_steady_group(size: int = 3) -> SimulatedGroup:
    """Return a group whose coordinator is in the steady phase."""
    group = SimulatedGroup(size)
    group.elect_coordinator()
    group.run_rounds(4)
    return group


def test_change_takes_effect_on_all_ranks_at_one_step() -> None:
    group = make_steady_group()
    propose(group)
    group.run_rounds(20)
    assert {engine.map_id for engine in group.engines} == {'change-1'}
    assert group.mixed_steps() == []


def test_steady_state_sends_nothing() -> None:
    group = make_steady_group()
    assert group.coordinators[0].phase is coordinatormessages.Phase.steady
    before = len(group.sent)
    group.run_rounds(10)
    assert len(group.sent) == before == 0


def make_participant() -> rankparticipant.RankParticipant:
    participant = rankparticipant.RankParticipant(0)
    participant.handle(
        rankmessages.EngineStateRead(maps.RankState(map_id='start')), 0
    )
    return participant


def reply_types(outcomes: list) -> list[type]:
    return [type(outcome.reply) for outcome in outcomes]


def test_prepare_repeated_after_the_outcome_is_declined() -> None:
    """Some engines would accept it and wait at the step once more."""
    participant = make_participant()
    participant.handle(rankmessages.FenceFloor(1), 0)
    participant.handle(maps.Decide(1, 'c', maps.ABORT), 0)
    late = maps.Prepare(1, 'c', 0, 9, NEW_PLACEMENT)
    assert reply_types(participant.handle(late, 0)) == [maps.Unprepared]


def test_restarted_sidecar_takes_no_order_before_it_knows_the_floor() -> None:
    participant = make_participant()
    old = maps.Prepare(3, 'c', 0, 9, NEW_PLACEMENT)
    assert participant.handle(old, 0) == []
    assert reply_types(participant.handle(rankmessages.FenceFloor(5), 0)) == [
        maps.Refused
    ]


def apply_fault(group: SimulatedGroup, fault: str, entry: tuple) -> None:
    """Deliver a message while injecting a fault."""
    if fault == 'drop':
        return
    if fault == 'engine lost':
        group.lose_engine_state(entry[1] % group.size)
    if fault == 'sidecar restarted':
        group.restart_sidecar(entry[1] % group.size)
    if fault == 'leader deposed':
        group.elect_coordinator()
    group.deliver(entry)
    if fault == 'repeat':
        group.deliver(entry)


@pytest.mark.parametrize(
    ('fault', 'at'),
    list(itertools.product(FAULTS, MESSAGES)),
)
def test_fault_at_every_message(fault: str, at: int) -> None:
    """A fault at one message must not stop the group."""
    group = make_steady_group()
    propose(group)
    delayed: list[tuple] = []
    count = 0
    for _ in range(30):
        pending, group.sent = group.sent, []
        if fault == 'reorder' and count <= at < count + len(pending):
            pending.reverse()
        for entry in pending:
            if count == at and fault == 'delay':
                delayed.append(entry)
            elif count == at:
                apply_fault(group, fault, entry)
            else:
                group.deliver(entry)
            count += 1
        for number in range(group.size):
            group.begin_step(number)
        group.end_step()
    for entry in delayed:
        group.deliver(entry)
    group.run_rounds(60)
    assert group.mixed_steps() == []
    before = len(group.step_log)
    group.run_rounds(10)
    assert len(group.step_log) >= before + 9 * group.size
    assert len({engine.map_id for engine in group.engines}) == 1


def test_group_held_by_a_silent_rank_goes_on_without_the_change() -> None:
    """Prepare does not reach rank 2, and the others wait at the step."""
    group = make_steady_group()
    propose(group)
    stalled: list[int] = []
    for round_number in range(20):
        pending, group.sent = group.sent, []
        for entry in pending:
            if entry[:2] != ('rank', 2) or round_number > 12:
                group.deliver(entry)
        before = len(group.step_log)
        for number in range(group.size):
            group.begin_step(number)
        group.end_step()
        stalled.append(len(group.step_log) == before)
        group.now += 0.3
        for number in range(group.size):
            group.refresh_sidecar(number)
            group.send_to_participant(number, rankmessages.Tick())
    assert any(stalled)
    assert not any(stalled[-5:])
    assert group.coordinators[0].outcomes == {'change-1': maps.ABORT}
    assert group.mixed_steps() == []


def test_paused_coordinator_that_resumes_is_refused() -> None:
    group = make_steady_group()
    propose(group)
    delayed = list(group.sent)
    group.sent = []
    group.elect_coordinator()
    group.run_rounds(10)
    for entry in delayed:
        group.deliver(entry)
    group.run_rounds(30)
    assert group.coordinators[0].phase is coordinatormessages.Phase.deposed
    assert group.mixed_steps() == []
    assert len({engine.map_id for engine in group.engines}) == 1


def test_takeover_with_every_memory_starts_no_epoch() -> None:
    group = make_steady_group()
    group.elect_coordinator()
    group.run_rounds(10)
    assert {engine.epoch for engine in group.engines} == {0}


def test_lost_memory_starts_one_epoch_under_one_map() -> None:
    group = make_steady_group()
    propose(group)
    group.run_rounds(20)
    group.lose_engine_state(1)
    group.run_rounds(20)
    assert {engine.map_id for engine in group.engines} == {'change-1'}
    assert len({engine.epoch for engine in group.engines}) == 1
    assert group.engines[0].epoch > 0


def test_engine_that_checks_fences_refuses_the_old_one() -> None:
    group = make_steady_group()
    for engine in group.engines:
        engine.checks_fences = True
    propose(group)
    group.run_rounds(20)
    old = maps.Decide(0, 'ghost', maps.COMMIT)
    status, _ = group.engines[0].order(
        {
            'order': 'outcome',
            'fence': old.fence,
            'change': old.change,
            'outcome': old.outcome,
        }
    )
    assert status == 409


def explore(
    group: SimulatedGroup, fault_limits: tuple[int, int], depth: int
) -> int:
    """Search all interleavings breadth first.

    :param fault_limits: the maximum number of engine state losses and of
        coordinators.
    :returns: the number of states visited, negative if a step ran under
        more than one map.
    """
    queue = deque([(group, 0)])
    visited = {fingerprint(group)}
    while queue:
        current, current_depth = queue.popleft()
        if current.mixed_steps():
            return -len(visited)
        if current_depth == depth:
            continue
        for action in possible_actions(current, fault_limits):
            after = current.clone()
            action(after)
            key = fingerprint(after)
            if key not in visited:
                visited.add(key)
                queue.append((after, current_depth + 1))
    return len(visited)


def fingerprint(group: SimulatedGroup) -> str:
    """Return a key of all state that determines later behaviour."""
    engines = [
        (
            engine.epoch,
            engine.step,
            engine.is_in_step,
            engine.map_id,
            engine.has_lost_state,
            engine.fence,
        )
        + (
            (engine.prepared.change, engine.prepared.outcome)
            if engine.prepared
            else ()
        )
        for engine in group.engines
    ]
    participants = [
        (participant.promised_fence, participant.finished_changes)
        for participant in group.participants
    ]
    coordinators = [
        (
            coordinator.phase,
            coordinator.acks,
            sorted(coordinator.states),
            coordinator.outcomes,
        )
        for coordinator in group.coordinators
    ]
    log = sorted(set(group.step_log))
    sent = sorted(map(repr, group.sent))
    return repr(
        (engines, participants, coordinators, log, sent, group.state_losses)
    )


def possible_actions(
    group: SimulatedGroup, fault_limits: tuple[int, int]
) -> list:
    """List the possible next actions; any message can be redelivered."""
    actions = [
        lambda after, index=index: after.deliver(after.sent[index])
        for index in range(len(group.sent))
    ]
    actions += [
        lambda after, number=number: after.begin_step(number)
        for number, engine in enumerate(group.engines)
        if engine.can_start_step()
    ]
    if group.state_losses < fault_limits[0]:
        actions += [
            lambda after, number=number: after.lose_engine_state(number)
            for number in range(group.size)
        ]
    if len(group.coordinators) < fault_limits[1]:
        actions.append(lambda after: after.elect_coordinator())
    return actions


def make_open_change(
    disabled_rules: frozenset[str] = frozenset(),
) -> SimulatedGroup:
    """Return two ranks during a change, with messages in flight."""
    group = SimulatedGroup(2)
    group.elect_coordinator()
    group.run_rounds(3)
    propose(group, step_margin=0)
    group.disabled_rules = disabled_rules
    return group


def make_undelivered_commit(
    disabled_rules: frozenset[str] = frozenset(),
) -> SimulatedGroup:
    """Return the same, with the commit decided but not delivered."""
    group = make_open_change(disabled_rules)
    while group.coordinators[0].phase is coordinatormessages.Phase.preparing:
        group.deliver(group.sent.pop(0))
    return group


@pytest.mark.parametrize(
    ('make_group', 'fault_limits', 'depth'),
    [
        (make_open_change, (0, 2), 9),
        (make_open_change, (1, 1), 8),
        (make_undelivered_commit, (0, 2), 8),
        (make_undelivered_commit, (1, 2), 7),
    ],
)
def test_every_interleaving(
    make_group: Callable[[], SimulatedGroup],
    fault_limits: tuple[int, int],
    depth: int,
) -> None:
    """No order of late, repeated and lost messages mixes a step's maps."""
    assert explore(make_group(), fault_limits, depth) > 500


@pytest.mark.parametrize(
    ('disabled_rule', 'make_group', 'fault_limits', 'depth'),
    [
        ('wait', make_open_change, (0, 1), 9),
        ('fence', make_undelivered_commit, (0, 2), 9),
        ('epoch', make_undelivered_commit, (1, 1), 9),
    ],
)
def test_search_finds_the_mixed_step_without_a_rule(
    disabled_rule: str,
    make_group: Callable[[frozenset[str]], SimulatedGroup],
    fault_limits: tuple[int, int],
    depth: int,
) -> None:
    """Without the rule, the search must find a step with mixed maps."""
    assert (
        explore(make_group(frozenset({disabled_rule})), fault_limits, depth) < 0
    )


class MapMachine(RuleBasedStateMachine):
    """Interleave messages, steps and faults at random on three ranks."""

    def __init__(self) -> None:
        super().__init__()
        self.group = make_steady_group()

    @rule(pick=st.integers(0, 10**6))
    def deliver(self, pick: int) -> None:
        if self.group.sent:
            self.group.deliver(self.group.sent[pick % len(self.group.sent)])

    @rule(rank=st.integers(0, 2))
    def begin(self, rank: int) -> None:
        self.group.begin_step(rank)

    @rule()
    def end_step(self) -> None:
        self.group.end_step()

    @rule(rank=st.integers(0, 2))
    def restart(self, rank: int) -> None:
        self.group.restart_sidecar(rank)

    @rule(rank=st.integers(0, 2))
    def lose(self, rank: int) -> None:
        if self.group.state_losses < 2:
            self.group.lose_engine_state(rank)

    @rule()
    def lead(self) -> None:
        if len(self.group.coordinators) < 4:
            self.group.elect_coordinator()

    @rule(pick=st.integers(0, 3), seconds=st.sampled_from([0.6, 11.0]))
    def tick(self, pick: int, seconds: float) -> None:
        self.group.now += seconds
        number = pick % len(self.group.coordinators)
        self.group.send_to_coordinator(number, coordinatormessages.Tick())

    @rule(pick=st.integers(0, 3))
    def propose(self, pick: int) -> None:
        number = pick % len(self.group.coordinators)
        coordinator = self.group.coordinators[number]
        if coordinator.phase is not coordinatormessages.Phase.steady:
            return
        coordinator.step_margin = 1
        coordinator.step = max(engine.step for engine in self.group.engines)
        change = f'change-{coordinator.fence}-{len(coordinator.outcomes)}'
        self.group.send_to_coordinator(
            number, coordinatormessages.Propose(change, NEW_PLACEMENT)
        )

    @invariant()
    def no_mixed_step(self) -> None:
        assert self.group.mixed_steps() == []


MapMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=80,
    derandomize=True,
    deadline=None,
)
TestMapMachine = MapMachine.TestCase


def test_soak_map_change(soak: bool) -> None:
    """Run more and longer examples of the state machine.

    Only with ``SOAK`` set; the seed is given by ``--hypothesis-seed``.
    """
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
