"""Test the order and the refusals over the queues of all entries."""

import math

import pytest

from comfreyarch_core.fleetload import EntryLoad, make_fleet_load
from comfreyarch_core.fleetqueue import MAX_YIELD_S, Backlog, make_fleet_queue
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import make_wait_queue
from comfreyarch_daemon.dispatcherrors import (
    MIN_RETRY_S,
    bound_retry_s,
    make_late_error,
)
from comfreyarch_daemon.loadgossip import decode_load, encode_load

SLOTS = 360
ANSWER_S = 1.2
PASSES = 20


def make_waiter(urgency, target_start_at=0.5, latest_start_at=2):
    """Create a waiting request of the usual size."""
    return Waiter(
        's', urgency, target_start_at, latest_start_at, frozenset(), PASSES
    )


def make_busy_queue(*others, free=0):
    """Create the queue of one of many entries to 72 upstreams."""
    queue = make_wait_queue()
    for _ in range(20):
        queue.fleet.record_answer(ANSWER_S, PASSES)
    queue.fleet.record_slots(SLOTS, free, 0)
    queue.fleet.others = others
    return queue


# Fails if an entry takes a slot that a more urgent request waits for elsewhere.
def test_free_slots_are_left_to_more_urgent_requests_elsewhere():
    fleet = make_busy_queue(Backlog(0, 3, 60), free=2).fleet
    assert fleet.yields(2, 0)
    assert not fleet.yields(0, 0)


# Fails if slots stay free because requests elsewhere cannot use them.
def test_slots_that_others_do_not_use_are_taken():
    fleet = make_busy_queue(Backlog(0, 3, 60), free=2).fleet
    assert fleet.yields(2, 0)
    assert not fleet.yields(2, MAX_YIELD_S)


def test_slots_are_taken_if_there_are_enough_for_all():
    fleet = make_busy_queue(Backlog(0, 3, 60), free=4).fleet
    assert not fleet.yields(2, 0)


# Fails if an entry predicts waits from the few starts that it makes itself.
def test_waits_are_predicted_from_the_slots_of_all_entries():
    queue = make_busy_queue()
    queue.start_interval_s = 0.2
    for _ in range(10):
        queue.join(make_waiter(1))
    wait_s = queue.wait_s(make_waiter(1), 0)
    assert wait_s == pytest.approx(11 * ANSWER_S / SLOTS)


# Fails if requests wait until their deadline for work that waits elsewhere.
def test_a_request_is_refused_for_work_at_other_entries():
    queue = make_busy_queue(Backlog(0, 900, 900 * PASSES))
    assert queue.cannot_start_in_time(make_waiter(0, -1), 0)
    # The reserved share is enough for the first request of another urgency.
    assert not queue.cannot_start_in_time(make_waiter(1), 0)
    assert not queue.cannot_start_in_time(make_waiter(0, -1, 4), 0)


# Fails if a queued request is kept until its deadline without a chance.
def test_a_queued_request_is_refused_when_more_urgent_work_arrives():
    queue = make_busy_queue()
    waiters = [make_waiter(2) for _ in range(150)]
    for waiter in waiters:
        queue.join(waiter)
    assert not queue.too_late(0)
    queue.fleet.others = (Backlog(0, 900, 900 * PASSES),)
    late = queue.too_late(0)
    assert 0 < len(late) < len(waiters)
    assert waiters[0] not in late


# Fails if an answer in progress is cut because of a predicted wait.
@pytest.mark.parametrize('limit', [math.inf, 1])
def test_a_resumed_stream_is_not_refused_before_its_latest_start(limit):
    queue = make_busy_queue(Backlog(0, 9000, 9000 * PASSES))
    queue.limit = limit
    queue.others = 50
    for _ in range(20):
        queue.join(make_waiter(0, -1))
    resumed = make_waiter(0, -1)
    resumed.is_resumed = True
    assert not queue.cannot_start_in_time(resumed, 0)
    assert queue.cannot_start_in_time(resumed, 2)
    queue.join(resumed)
    late = queue.too_late(1.9)
    assert late
    assert resumed not in late


def test_no_request_is_refused_while_half_of_the_slots_are_free():
    queue = make_busy_queue(Backlog(0, 9000, 9000 * PASSES), free=SLOTS / 2)
    assert not queue.cannot_start_in_time(make_waiter(0, -1), 0)
    assert not queue.too_late(0)


# Fails if requests of low urgency starve while more urgent ones wait.
def test_one_start_in_eight_goes_to_a_less_urgent_request():
    queue = make_busy_queue()
    for number in range(40):
        queue.join(make_waiter(0 if number < 30 else 2))
    started = []
    for _ in range(16):
        first = queue.ordered(0)[0]
        started.append(first.urgency)
        queue.record_start(first, 0)
    assert started.count(2) == 2


# Fails if the starts reserved for less urgent requests all go to one urgency.
def test_reserved_starts_go_to_the_request_due_first():
    queue = make_busy_queue()
    queue.starts = 7
    low, middle = make_waiter(2, 0.3), make_waiter(1, 0.2)
    for waiter in (make_waiter(0, 0.1), low, middle):
        queue.join(waiter)
    assert queue.ordered(0)[0] is middle


# Fails if a request that is late anyway delays one that can be on time.
def test_late_requests_go_after_the_next_urgency():
    queue = make_busy_queue()
    late = make_waiter(0, target_start_at=-1)
    on_time = make_waiter(1)
    low = make_waiter(2)
    for waiter in (low, late, on_time):
        queue.join(waiter)
    assert queue.ordered(0) == [on_time, late, low]


# Fails if callers that are refused together return together.
def test_refused_callers_return_at_different_times():
    queue = make_busy_queue()
    times = {
        make_late_error(queue, 1, draw / 8).retry_after_s for draw in range(8)
    }
    assert len(times) == 8
    assert min(times) == 1
    assert max(times) < 1.5


# Fails if callers return together because callers obey no longer time.
def test_returns_are_spread_at_the_longest_time():
    draws = [number / 20 for number in range(21)]
    times = [bound_retry_s(5, 8, draw) for draw in draws]
    assert min(times) == pytest.approx(0.6 * 0.3 * 8)
    assert max(times) == pytest.approx(0.3 * 8)
    assert len(set(times)) == len(draws)


# Fails if a caller returns early to a queue that no return can outlast.
@pytest.mark.parametrize('wait_s', [9, math.inf])
def test_returns_are_as_late_as_possible_if_none_can_be_served(wait_s):
    assert bound_retry_s(wait_s, 8, 0) == pytest.approx(0.9 * 0.3 * 8)
    assert bound_retry_s(wait_s, 8, 1) == pytest.approx(0.3 * 8)


def test_a_wait_that_callers_obey_is_kept():
    assert bound_retry_s(1.3, 8, 0.5) == 1.3
    assert bound_retry_s(0, 8, 0.5) == MIN_RETRY_S


def test_backlogs_pass_between_entries():
    backlogs = {'s': (Backlog(0, 2, 41.5), Backlog(3, 1, 20))}
    load = EntryLoad('e', 1, 1, {'u': 2}, {'s': 3}, backlogs=backlogs)
    message = encode_load(load)
    assert decode_load(message) == load
    # Earlier releases read the first 8 fields and send no more.
    assert decode_load(message[:8]).waiting == {'s': 3}
    fleet_load = make_fleet_load()
    fleet_load.handle(load, 0)
    assert fleet_load.backlogs('s') == backlogs['s']
    fleet_load.expire(2)
    assert not fleet_load.backlogs('s')


@pytest.mark.parametrize(
    'invalid', [['x', 1, 1], [1, -1, 1], [1, 1, float('nan')], [1, 1]]
)
def test_an_invalid_backlog_is_refused(invalid):
    load = EntryLoad('e', 1, 1, {}, backlogs={'s': (Backlog(0, 1, 1),)})
    message = encode_load(load)
    message[8] = {'s': [invalid]}
    with pytest.raises(ValueError):
        decode_load(message)


def test_an_entry_without_answers_predicts_from_its_own_starts():
    queue = make_wait_queue()
    assert make_fleet_queue().work_per_s == 0
    assert queue.wait_s(make_waiter(1), 0) == queue.start_interval_s
