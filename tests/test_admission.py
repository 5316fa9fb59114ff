"""Admission at an upstream: slots, fair queueing, deadlines and draining."""

import random

import pytest

from comfreyarch_core import admission as admission_module
from comfreyarch_core.admission import Admission, Offer, Refuse, Run
from comfreyarch_core.refusals import Kind, Ran

DISTANT_DEADLINE = 1e9


def offer(admission: Admission, name: str, team: str = 't', **more) -> list:
    options = {'deadline': DISTANT_DEADLINE, **more}
    return admission.handle(Offer(name, team, **options), 0)


def kinds(outcomes: list) -> list[Kind]:
    return [
        outcome.refusal.kind
        for outcome in outcomes
        if isinstance(outcome, Refuse)
    ]


def test_no_more_than_the_slots_run_at_once() -> None:
    admission = admission_module.make_admission(2, 10)
    for number in range(5):
        offer(admission, f'a{number}')
    assert len(admission.running) == 2
    assert len(admission.queue) == 3


def test_finishing_starts_the_next() -> None:
    admission = admission_module.make_admission(1, 10)
    offer(admission, 'a')
    offer(admission, 'b')
    outcomes = admission.handle(admission_module.Finished('a'), 1)
    assert outcomes == [Run('b')]


def test_full_queue_refuses_the_greediest_team_with_time_to_come_back() -> None:
    admission = admission_module.make_admission(1, 4)
    for number in range(5):
        offer(admission, f'big{number}', 'big')
    outcomes = offer(admission, 'small', 'small')
    refused = [outcome for outcome in outcomes if isinstance(outcome, Refuse)]
    assert [refusal.attempt for refusal in refused] == ['big4']
    assert refused[0].refusal.kind == Kind.overloaded
    assert refused[0].refusal.ran == Ran.not_run
    assert refused[0].refusal.retry_after_s >= 1


def test_deadline_that_cannot_be_made_is_refused_at_once() -> None:
    admission = admission_module.make_admission(1, 10)
    admission.service_s = 2
    offer(admission, 'a')
    outcomes = offer(admission, 'b', deadline=3)
    assert kinds(outcomes) == [Kind.deadline]


def test_waiting_past_its_deadline_is_refused_at_the_tick() -> None:
    admission = admission_module.make_admission(1, 10)
    offer(admission, 'a')
    offer(admission, 'b', deadline=1)
    assert kinds(admission.handle(admission_module.Tick(), 2)) == [
        Kind.deadline
    ]


def test_drain_gives_the_queue_back_and_lets_running_work_finish() -> None:
    admission = admission_module.make_admission(1, 10)
    offer(admission, 'a')
    offer(admission, 'b')
    assert kinds(admission.handle(admission_module.Drain(), 0)) == [
        Kind.leaving
    ]
    assert 'a' in admission.running
    assert kinds(offer(admission, 'c')) == [Kind.leaving]
    admission.handle(admission_module.Resume(), 0)
    assert kinds(offer(admission, 'd')) == []


def test_isolated_attempt_runs_alone() -> None:
    admission = admission_module.make_admission(4, 10)
    offer(admission, 'a')
    admission.handle(admission_module.Isolate('s'), 0)
    assert offer(admission, 's') == []
    assert offer(admission, 'b') == []
    assert admission.handle(admission_module.Finished('a'), 1) == [Run('s')]
    assert admission.handle(admission_module.Finished('s'), 2) == [Run('b')]


def test_withdrawn_attempt_never_runs() -> None:
    admission = admission_module.make_admission(1, 10)
    offer(admission, 'a')
    offer(admission, 'b')
    assert kinds(admission.handle(admission_module.Withdraw('b'), 0)) == [
        Kind.cancelled,
    ]
    assert admission.handle(admission_module.Finished('a'), 1) == []


@pytest.mark.parametrize('load', [1, 2, 4])
def test_small_team_waits_little_beside_a_large_one(load: int) -> None:
    """Simulate 4 slots of 0.1 s; the large team offers ``load`` times that."""
    admission = admission_module.make_admission(4, 64)
    source = random.Random(load)
    events: list[tuple[float, int, str, str]] = []
    for number in range(400 * load):
        events.append((source.uniform(0, 10), number, 'offer', 'large'))
    for number in range(20):
        events.append(
            (source.uniform(0, 10), 10_000 + number, 'offer', 'small')
        )
    waits: list[float] = []
    offered_at: dict[str, float] = {}
    events.sort()
    while events:
        now, number, kind, team = events.pop(0)
        if kind == 'offer':
            name = f'{team}-{number}'
            offered_at[name] = now
            outcomes = admission.handle(Offer(name, team, now + 3), now)
        else:
            outcomes = admission.handle(admission_module.Finished(team), now)
        for outcome in outcomes:
            if isinstance(outcome, Run):
                events.append((now + 0.1, number, 'finish', outcome.attempt))
                if outcome.attempt.startswith('small'):
                    waits.append(now - offered_at[outcome.attempt])
        events.sort()
    assert len(waits) == 20
    assert sorted(waits)[18] <= 0.1
