"""Test that claims run a request at most once under any fault."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from simulated_claims import SimulatedClaims

from comfreyarch_core import claimmessages
from comfreyarch_core.claimmessages import Answer
from comfreyarch_core.refusals import Kind, Ran, Refusal

WRITE_FATES = ('ok', 'lost answer', 'lost', 'late', 'down')
RUN_FATES = ('ok', 'lost after', 'lost before', 'untaken')
CRASHES = ('none', 'after claim', 'after hand-over', 'after run')
RESENDS = ('none', 'same sidecar', 'other sidecar', 'both')


def only_reply(simulation: SimulatedClaims, attempt: str) -> object:
    """Return the only reply of an attempt."""
    assert len(simulation.replies[attempt]) == 1
    return simulation.replies[attempt][0]


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
    """Run one attempt under faults; re-send it meanwhile and afterwards.

    The faults hit the claim's write, the run, the record's write or the
    sidecar itself.
    """
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.settle_write(0, claim)
    if give_up:
        simulation.send(0, claimmessages.CancelAttempt('a1'))
    if crash == 'after claim':
        simulation.kill(0)
    if resend in {'same sidecar', 'both'}:
        simulation.ask(0, 'a2', 'k')
    if resend in {'other sidecar', 'both'}:
        simulation.ask(1, 'a3', 'k')
    if simulation.dispatched:
        if crash == 'after hand-over':
            sidecar, manager, attempt = simulation.dispatched[0]
            simulation.runs.append(('k', attempt))
            simulation.kill(sidecar)
        simulation.run(0, run)
        if crash == 'after run':
            simulation.kill(0)
    if simulation.writes:
        simulation.settle_write(0, record)
    simulation.check()
    simulation.quiesce()
    simulation.ask(1, 'a4', 'k')
    simulation.ask(0, 'a5', 'k')
    simulation.quiesce()
    simulation.check()
    assert 'a4' in simulation.replies and 'a5' in simulation.replies


def test_resend_gets_the_same_answer() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.quiesce()
    simulation.ask(1, 'a2', 'k')
    simulation.quiesce()
    assert only_reply(simulation, 'a1') == only_reply(simulation, 'a2')
    assert len(simulation.runs) == 1


def test_resend_while_it_runs_joins_at_the_same_sidecar() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.settle_write(0, 'ok')
    simulation.ask(0, 'a2', 'k')
    simulation.quiesce()
    assert isinstance(only_reply(simulation, 'a2'), Answer)
    assert len(simulation.runs) == 1


def test_same_key_with_another_body_is_refused_as_not_run() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k', 'one')
    simulation.quiesce()
    simulation.ask(1, 'a2', 'k', 'two')
    simulation.quiesce()
    refusal = only_reply(simulation, 'a2')
    assert isinstance(refusal, Refusal)
    assert refusal.kind == Kind.key_reused
    assert refusal.ran == Ran.not_run


def test_claim_of_a_dead_life_stays_unknown_for_good() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.settle_write(0, 'ok')
    simulation.kill(0)
    simulation.quiesce()
    for attempt in ('a2', 'a3'):
        simulation.ask(0, attempt, 'k')
        simulation.quiesce()
        refusal = only_reply(simulation, attempt)
        assert isinstance(refusal, Refusal)
        assert refusal.kind == Kind.outcome_unknown
    assert simulation.open_claims() == ['k']


def test_store_down_refuses_at_once_as_not_run() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.settle_write(0, 'down')
    refusal = only_reply(simulation, 'a1')
    assert isinstance(refusal, Refusal)
    assert refusal.kind == Kind.store_down
    assert refusal.ran == Ran.not_run
    assert refusal.retry_after_s > 0


def test_late_claim_after_giving_up_is_void() -> None:
    """A claim's write is delayed until after its attempt was cancelled.

    The row that voids the claim must keep the delayed write from taking
    effect, so that a re-sent attempt can run.
    """
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.settle_write(0, 'late')
    simulation.send(0, claimmessages.CancelAttempt('a1'))
    late = simulation.writes.pop()
    simulation.send(0, claimmessages.RetryDue())
    while simulation.reads or simulation.writes:
        if simulation.reads:
            simulation.settle_read(0)
        else:
            simulation.settle_write(0, 'ok')
    simulation.writes.append(late)
    simulation.settle_write(0, 'ok')
    simulation.ask(1, 'a2', 'k')
    simulation.quiesce()
    simulation.check()
    assert isinstance(only_reply(simulation, 'a2'), Answer)
    assert simulation.open_claims() == []


def test_giving_up_twice_answers_once() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    for _ in range(2):
        simulation.send(0, claimmessages.CancelAttempt('a1'))
    simulation.check()


def test_answer_is_given_before_it_is_recorded() -> None:
    simulation = SimulatedClaims()
    simulation.ask(0, 'a1', 'k')
    simulation.settle_write(0, 'ok')
    simulation.run(0, 'ok')
    assert isinstance(only_reply(simulation, 'a1'), Answer)


class ClaimMachine(RuleBasedStateMachine):
    """Interleave callers, store results, runs and sidecar restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = SimulatedClaims()
        self.count = 0

    @rule(
        sidecar=st.integers(0, 1),
        key=st.sampled_from(['k', 'l']),
        body=st.sampled_from(['b', 'b', 'b', 'c']),
    )
    def ask(self, sidecar: int, key: str, body: str) -> None:
        self.count += 1
        self.simulation.ask(sidecar, f'a{self.count}', key, body)

    @rule(pick=st.integers(0, 50), fate=st.sampled_from(WRITE_FATES))
    def write(self, pick: int, fate: str) -> None:
        if self.simulation.writes:
            self.simulation.settle_write(
                pick % len(self.simulation.writes), fate
            )

    @rule(pick=st.integers(0, 50), up=st.booleans())
    def read(self, pick: int, up: bool) -> None:
        if self.simulation.reads:
            self.simulation.settle_read(
                pick % len(self.simulation.reads), up=up
            )

    @rule(pick=st.integers(0, 50), fate=st.sampled_from(RUN_FATES))
    def run(self, pick: int, fate: str) -> None:
        if self.simulation.dispatched:
            self.simulation.run(pick % len(self.simulation.dispatched), fate)

    @rule(sidecar=st.integers(0, 1))
    def kill(self, sidecar: int) -> None:
        self.simulation.kill(sidecar)

    @rule(sidecar=st.integers(0, 1), number=st.integers(1, 30))
    def give_up(self, sidecar: int, number: int) -> None:
        self.simulation.send(sidecar, claimmessages.CancelAttempt(f'a{number}'))

    @rule(sidecar=st.integers(0, 1))
    def again(self, sidecar: int) -> None:
        self.simulation.send(sidecar, claimmessages.RetryDue())

    @invariant()
    def promises_hold(self) -> None:
        self.simulation.check()


ClaimMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)
TestClaimMachine = ClaimMachine.TestCase


def test_soak_claims(soak: bool) -> None:
    """Run more and longer examples of the state machine.

    Only with ``SOAK`` set; the seed is given by ``--hypothesis-seed``.
    """
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
