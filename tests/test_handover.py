"""Every ending of a send against what may be sent again and answered."""

import itertools

import pytest

from comfreyarch_core.handover import (
    MAX_REJECTED,
    NOT_RUN,
    Ending,
    make_hand_over,
)
from comfreyarch_core.refusals import Kind, Ran


@pytest.mark.parametrize('ending', Ending)
@pytest.mark.parametrize('repeatable', [True, False])
def test_one_send(ending, repeatable):
    state = make_hand_over(repeatable=repeatable, attempts=2, deadline=10)
    state.ended('a', ending)
    ran = ending not in NOT_RUN
    assert state.may_send(1) == (repeatable or not ran)
    refusal = state.refusal(Kind.overloaded, 1)
    assert (refusal.ran == Ran.not_run) == (not ran)
    assert (refusal.status == 503) == (not ran)


@pytest.mark.parametrize(
    'endings',
    list(itertools.product(Ending, repeat=3)),
    ids=str,
)
def test_no_series_of_endings_repeats_what_may_have_run(endings):
    state = make_hand_over(repeatable=False, attempts=2, deadline=10)
    ran = False
    for ending in endings:
        if ran:
            assert not state.may_send(1)
        state.ended('a', ending)
        ran = ran or ending not in NOT_RUN
    assert (state.refusal(Kind.overloaded, 1).ran == Ran.not_run) == (not ran)


def test_runs_are_bounded_by_the_route():
    state = make_hand_over(repeatable=True, attempts=2, deadline=10)
    state.ended('a', Ending.broken)
    assert state.may_send(1)
    state.ended('b', Ending.broken)
    assert not state.may_send(1)


def test_rejections_are_bounded():
    state = make_hand_over(repeatable=True, attempts=2, deadline=10)
    for _ in range(MAX_REJECTED):
        state.ended('a', Ending.rejected)
    assert state.may_send(1)
    state.ended('a', Ending.rejected)
    assert not state.may_send(1)


def test_nothing_is_sent_without_time():
    state = make_hand_over(repeatable=True, attempts=2, deadline=10)
    assert not state.may_send(9.99)
