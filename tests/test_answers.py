"""Check that a caller gets only the complete answer to its own request.

Frames of an attempt may be lost, repeated, reordered, late or mixed with those
of another attempt. None of this may add, drop or replace a byte of an answer
that counts as complete, nor repeat a request that may have run.
"""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyarch_core import answerassembly, frames, retrypolicy
from comfreyarch_core.answerassembly import AnswerAssembler
from comfreyarch_core.refusals import Kind, Ran, not_run, unknown

BODY = [b'data: one\n\n', b'data: two\n\n', b'data: three\n\n']
FAULTS = ('drop', 'repeat', 'reorder', 'other attempt', 'cut', 'late')


def answer(attempt: str, body: list[bytes] = BODY) -> list[frames.Frame]:
    sent: list[frames.Frame] = [frames.Head(attempt, 200, {})]
    offset = 0
    for part in body:
        sent.append(frames.Chunk(attempt, offset, part))
        offset += len(part)
    return [*sent, frames.End(attempt, offset)]


def inject_fault(
    sent: list[frames.Frame], fault: str, at: int
) -> list[frames.Frame]:
    faulty = list(sent)
    if fault == 'drop':
        faulty.pop(at)
    elif fault == 'repeat':
        faulty.insert(at, faulty[at])
    elif fault == 'reorder':
        faulty.insert(min(at + 1, len(faulty)), faulty.pop(at))
    elif fault == 'other attempt':
        faulty[at:at] = answer('other', [b'of somebody else'])
    elif fault == 'cut':
        faulty = faulty[:at]
    elif fault == 'late':
        faulty.append(faulty[at])
    return faulty


@pytest.mark.parametrize(
    ('fault', 'at'),
    list(itertools.product(FAULTS, range(5))),
)
def test_complete_means_every_byte_and_no_other(fault: str, at: int) -> None:
    assembler = AnswerAssembler('mine')
    received = b''
    complete = False
    for frame in inject_fault(answer('mine'), fault, at):
        outcome = assembler.handle(frame, 0)
        if isinstance(outcome, answerassembly.Deliver):
            received += outcome.body
        complete = complete or isinstance(outcome, answerassembly.Complete)
    whole = b''.join(BODY)
    assert whole.startswith(received)
    if complete:
        assert received == whole
    else:
        ended = assembler.link_lost()
        assert assembler.done
        assert isinstance(ended, answerassembly.Broken | answerassembly.Ignored)
    if fault in {'repeat', 'other attempt', 'late'}:
        assert complete


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.integers(0, 4), max_size=14))
def test_any_order_of_frames_never_gives_a_wrong_answer(order: list) -> None:
    sent = answer('mine')
    assembler = AnswerAssembler('mine')
    received = b''
    for number in order:
        outcome = assembler.handle(sent[number], 0)
        if isinstance(outcome, answerassembly.Deliver):
            received += outcome.body
        if isinstance(outcome, answerassembly.Complete):
            assert received == b''.join(BODY)
    assert b''.join(BODY).startswith(received)


@pytest.mark.parametrize(
    ('refusal', 'idempotent', 'left_s', 'expected'),
    [
        (not_run(Kind.leaving), True, 1, True),
        (not_run(Kind.leaving), False, 1, True),
        (not_run(Kind.overloaded), False, 1, True),
        (unknown(Kind.upstream_failed), True, 1, True),
        (unknown(Kind.upstream_failed), False, 1, False),
        (unknown(Kind.outcome_unknown), True, 1, False),
        (not_run(Kind.quarantined), True, 1, False),
        (not_run(Kind.leaving), True, 0, False),
    ],
)
def test_only_what_may_repeat_is_retried(
    refusal: object,
    idempotent: bool,
    left_s: float,
    expected: bool,
) -> None:
    failure = retrypolicy.Failure(refusal, idempotent, 1, left_s)
    assert retrypolicy.may_retry(failure, retrypolicy.RetryBudget()) is expected


def test_retries_stay_within_their_share_of_traffic() -> None:
    budget = retrypolicy.RetryBudget(0)
    retried = 0
    failure = retrypolicy.Failure(not_run(Kind.overloaded), True, 1, 10)
    for _ in range(1000):
        budget.earn()
        retried += retrypolicy.may_retry(failure, budget)
    assert retried <= 100


def test_refusal_keeps_its_meaning_through_a_frame() -> None:
    refusal = not_run(Kind.overloaded, 2.5, 'full')
    frame = answerassembly.to_frame('a', refusal)
    assert answerassembly.to_refusal(frame) == refusal


def test_unknown_kind_counts_as_outcome_unknown() -> None:
    frame = frames.Refused('a', 'from the future', 'not_run')
    assert answerassembly.to_refusal(frame).ran == Ran.outcome_unknown
