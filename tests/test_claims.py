"""Drive claims through every fault at every step: at most once."""

import itertools

import pytest
from claim_world import ClaimWorld
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from comfreyarch_core import claimmessages
from comfreyarch_core.claimmessages import Answer
from comfreyarch_core.refusals import Kind, Ran, Refusal

WRITE_FATES = ('ok', 'lost answer', 'lost', 'late', 'down')
RUN_FATES = ('ok', 'lost after', 'lost before', 'untaken')
CRASHES = ('none', 'after claim', 'after hand-over', 'after run')
RESENDS = ('none', 'same sidecar', 'other sidecar', 'both')


def only(world: ClaimWorld, attempt: str) -> object:
    """Give the one reply of an attempt."""
    assert len(world.replies[attempt]) == 1
    return world.replies[attempt][0]


@pytest.mark.parametrize(
    ('claim', 'give_up', 'run', 'record', 'crash', 'resend'),
    list(
        itertools.product(
            WRITE_FATES,
            (False, True),
            RUN_FATES,
            WRITE_FATES,
            CRASHES,
            RESENDS,
        ),
    ),
)
def test_every_fault_at_every_step(
    claim: str,
    give_up: bool,
    run: str,
    record: str,
    crash: str,
    resend: str,
) -> None:
    """One attempt under faults, re-sent meanwhile and once more after."""
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.settle_write(0, claim)
    if give_up:
        world.tell(0, claimmessages.GiveUp('a1'))
    if crash == 'after claim':
        world.kill(0)
    if resend in {'same sidecar', 'both'}:
        world.ask(0, 'a2', 'k')
    if resend in {'other sidecar', 'both'}:
        world.ask(1, 'a3', 'k')
    if world.handed:
        if crash == 'after hand-over':
            number, desk, attempt = world.handed[0]
            world.runs.append(('k', attempt))
            world.kill(number)
        world.run(0, run)
        if crash == 'after run':
            world.kill(0)
    if world.writes:
        world.settle_write(0, record)
    world.check()
    world.quiesce()
    world.ask(1, 'a4', 'k')
    world.ask(0, 'a5', 'k')
    world.quiesce()
    world.check()
    assert 'a4' in world.replies and 'a5' in world.replies


def test_resend_gets_the_same_answer() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.quiesce()
    world.ask(1, 'a2', 'k')
    world.quiesce()
    assert only(world, 'a1') == only(world, 'a2')
    assert len(world.runs) == 1


def test_resend_while_it_runs_joins_at_the_same_sidecar() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.settle_write(0, 'ok')
    world.ask(0, 'a2', 'k')
    world.quiesce()
    assert isinstance(only(world, 'a2'), Answer)
    assert len(world.runs) == 1


def test_same_key_with_another_body_is_refused_as_not_run() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k', 'one')
    world.quiesce()
    world.ask(1, 'a2', 'k', 'two')
    world.quiesce()
    refusal = only(world, 'a2')
    assert isinstance(refusal, Refusal)
    assert refusal.kind == Kind.key_reused
    assert refusal.ran == Ran.not_run


def test_claim_of_a_dead_life_stays_unknown_for_good() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.settle_write(0, 'ok')
    world.kill(0)
    world.quiesce()
    for attempt in ('a2', 'a3'):
        world.ask(0, attempt, 'k')
        world.quiesce()
        refusal = only(world, attempt)
        assert isinstance(refusal, Refusal)
        assert refusal.kind == Kind.outcome_unknown
    assert world.open_claims() == ['k']


def test_store_down_refuses_at_once_as_not_run() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.settle_write(0, 'down')
    refusal = only(world, 'a1')
    assert isinstance(refusal, Refusal)
    assert refusal.kind == Kind.store_down
    assert refusal.ran == Ran.not_run
    assert refusal.retry_after_s > 0


def test_late_claim_after_giving_up_is_void() -> None:
    """The insert takes effect only after its attempt was given up."""
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.settle_write(0, 'late')
    world.tell(0, claimmessages.GiveUp('a1'))
    late = world.writes.pop()
    world.tell(0, claimmessages.Again())
    while world.reads or world.writes:
        if world.reads:
            world.settle_read(0)
        else:
            world.settle_write(0, 'ok')
    world.writes.append(late)
    world.settle_write(0, 'ok')
    world.ask(1, 'a2', 'k')
    world.quiesce()
    world.check()
    assert isinstance(only(world, 'a2'), Answer)
    assert world.open_claims() == []


def test_giving_up_twice_answers_once() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    for _ in range(2):
        world.tell(0, claimmessages.GiveUp('a1'))
    world.check()


def test_answer_is_given_before_it_is_recorded() -> None:
    world = ClaimWorld()
    world.ask(0, 'a1', 'k')
    world.settle_write(0, 'ok')
    world.run(0, 'ok')
    assert isinstance(only(world, 'a1'), Answer)


class ClaimMachine(RuleBasedStateMachine):
    """Let hypothesis interleave callers, store and deaths."""

    def __init__(self) -> None:
        super().__init__()
        self.world = ClaimWorld()
        self.count = 0

    @rule(
        sidecar=st.integers(0, 1),
        key=st.sampled_from(['k', 'l']),
        body=st.sampled_from(['b', 'b', 'b', 'c']),
    )
    def ask(self, sidecar: int, key: str, body: str) -> None:
        self.count += 1
        self.world.ask(sidecar, f'a{self.count}', key, body)

    @rule(pick=st.integers(0, 50), fate=st.sampled_from(WRITE_FATES))
    def write(self, pick: int, fate: str) -> None:
        if self.world.writes:
            self.world.settle_write(pick % len(self.world.writes), fate)

    @rule(pick=st.integers(0, 50), up=st.booleans())
    def read(self, pick: int, up: bool) -> None:
        if self.world.reads:
            self.world.settle_read(pick % len(self.world.reads), up=up)

    @rule(pick=st.integers(0, 50), fate=st.sampled_from(RUN_FATES))
    def run(self, pick: int, fate: str) -> None:
        if self.world.handed:
            self.world.run(pick % len(self.world.handed), fate)

    @rule(sidecar=st.integers(0, 1))
    def kill(self, sidecar: int) -> None:
        self.world.kill(sidecar)

    @rule(sidecar=st.integers(0, 1), number=st.integers(1, 30))
    def give_up(self, sidecar: int, number: int) -> None:
        self.world.tell(sidecar, claimmessages.GiveUp(f'a{number}'))

    @rule(sidecar=st.integers(0, 1))
    def again(self, sidecar: int) -> None:
        self.world.tell(sidecar, claimmessages.Again())

    @invariant()
    def promises_hold(self) -> None:
        self.world.check()


ClaimMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)
TestClaimMachine = ClaimMachine.TestCase


def test_soak_claims(soak: bool) -> None:
    """Run the state machine for long, with the seed given."""
    from hypothesis.stateful import run_state_machine_as_test

    if soak:
        run_state_machine_as_test(
            ClaimMachine,
            settings=settings(
                max_examples=5000,
                stateful_step_count=100,
                deadline=None,
            ),
        )
