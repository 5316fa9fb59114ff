"""Test each kind of failed send: whether it is retried, and the final answer.

A request that must not run twice and may have run is never sent again, and
"not run" is answered only if it certainly did not run.
"""

import itertools

import pytest

from comfreyarch_core.refusals import Kind, Ran
from comfreyarch_core.sendtracker import (
    MAX_REJECTIONS,
    NOT_RUN_FAILURES,
    SendFailure,
    make_send_tracker,
)


@pytest.mark.parametrize('failure', SendFailure)
@pytest.mark.parametrize('repeatable', [True, False])
def test_one_send(failure, repeatable):
    tracker = make_send_tracker(repeatable=repeatable, attempts=2, deadline=10)
    tracker.record_failure('a', failure)
    ran = failure not in NOT_RUN_FAILURES
    assert tracker.may_send(1) == (repeatable or not ran)
    refusal = tracker.refusal(Kind.overloaded, 1)
    assert (refusal.ran == Ran.not_run) == (not ran)
    assert (refusal.status == 503) == (not ran)


@pytest.mark.parametrize(
    'failures',
    list(itertools.product(SendFailure, repeat=3)),
    ids=str,
)
def test_no_series_of_endings_repeats_what_may_have_run(failures):
    tracker = make_send_tracker(repeatable=False, attempts=2, deadline=10)
    ran = False
    for failure in failures:
        if ran:
            assert not tracker.may_send(1)
        tracker.record_failure('a', failure)
        ran = ran or failure not in NOT_RUN_FAILURES
    assert (tracker.refusal(Kind.overloaded, 1).ran == Ran.not_run) == (not ran)


def test_runs_are_bounded_by_the_route():
    tracker = make_send_tracker(repeatable=True, attempts=2, deadline=10)
    tracker.record_failure('a', SendFailure.broken)
    assert tracker.may_send(1)
    tracker.record_failure('b', SendFailure.broken)
    assert not tracker.may_send(1)


def test_rejections_are_bounded():
    tracker = make_send_tracker(repeatable=True, attempts=2, deadline=10)
    for _ in range(MAX_REJECTIONS):
        tracker.record_failure('a', SendFailure.rejected)
    assert tracker.may_send(1)
    tracker.record_failure('a', SendFailure.rejected)
    assert not tracker.may_send(1)


def test_nothing_is_sent_without_time():
    tracker = make_send_tracker(repeatable=True, attempts=2, deadline=10)
    assert not tracker.may_send(9.99)
