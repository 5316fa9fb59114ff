"""Test overload after an outage: all callers retry, capacity is short.

Requests that can still meet their latency objective go first, requests that
cannot start in time are refused immediately, and no slot stays free while a
request waits. In arrival order, the backlog would make the requests that come
after it late as well.
"""

import heapq
import random

from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import make_wait_queue

SLOTS = 48
SERVICE_S = 1.3
TARGET_WAIT_S = 0.4
PATIENCE_S = 2.0


def simulate(order):
    """Simulate 12 s at 1.3 times the capacity after a second of outage.

    :param order: returns the waiting requests in the order to serve.
    :returns: requests that started on time, late, were refused, or gave up.
    """
    source = random.Random(5)
    rate = 1.3 * SLOTS / SERVICE_S
    arrivals = [source.random() * 0.05 for _ in range(int(rate))]
    now = 0.05
    while now < 12:
        now += source.expovariate(rate)
        arrivals.append(now)
    arrivals.sort()
    queue = make_wait_queue()
    ends: list[float] = []
    counts = {'on_time': 0, 'late': 0, 'refused': 0, 'gave_up': 0}

    def start(waiter, arrived_at, started_at):
        heapq.heappush(ends, started_at + SERVICE_S * source.uniform(0.5, 1.5))
        counts[
            'on_time' if started_at - arrived_at <= TARGET_WAIT_S else 'late'
        ] += 1

    arrival_times: dict[Waiter, float] = {}
    for arrived_at in arrivals:
        while ends and ends[0] <= arrived_at:
            freed_at = heapq.heappop(ends)
            for waiter in list(arrival_times):
                if waiter.latest_start_at < freed_at:
                    queue.leave(waiter)
                    arrival_times.pop(waiter)
                    counts['gave_up'] += 1
            for waiter in order(queue, freed_at)[:1]:
                queue.record_start(waiter, freed_at)
                start(waiter, arrival_times.pop(waiter), freed_at)
        waiter = Waiter(
            's',
            1,
            arrived_at + TARGET_WAIT_S,
            arrived_at + PATIENCE_S,
            frozenset(),
        )
        if len(ends) < SLOTS:
            assert not queue.waiters
            start(waiter, arrived_at, arrived_at)
        elif queue.cannot_start_in_time(waiter, arrived_at):
            counts['refused'] += 1
        else:
            queue.join(waiter)
            arrival_times[waiter] = arrived_at
    return counts


def test_callers_who_come_later_are_still_served_in_aim():
    prioritized = simulate(lambda queue, now: queue.ordered(now))
    fifo = simulate(
        lambda queue, _: sorted(
            queue.waiters, key=lambda waiter: waiter.latest_start_at
        ),
    )
    assert prioritized['on_time'] > 2 * fifo['on_time']
    assert prioritized['on_time'] + 0.5 * prioritized['late'] > 1.3 * (
        fifo['on_time'] + 0.5 * fifo['late']
    )


def test_more_urgent_requests_go_first():
    queue = make_wait_queue()
    urgent = Waiter('s', 0, 5, 9, frozenset())
    less_urgent = Waiter('s', 1, 1, 9, frozenset())
    queue.join(less_urgent)
    queue.join(urgent)
    assert queue.ordered(0) == [urgent, less_urgent]


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    queue = make_wait_queue()
    for _ in range(40):
        queue.join(Waiter('s', 1, 0.4, 2, frozenset()))
    queue.start_interval_s = 0.1
    late = Waiter('s', 1, 0.5, 2, frozenset())
    assert queue.cannot_start_in_time(late, 0)
    urgent = Waiter('s', 0, 0.5, 2, frozenset())
    assert not queue.cannot_start_in_time(urgent, 0)
