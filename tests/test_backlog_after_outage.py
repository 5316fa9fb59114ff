"""The load after an outage: all callers come at once, capacity is short.

Requests that can still meet their objective go first, hopeless ones are
refused at once, and no slot stays free while somebody waits.
"""

import heapq
import random

from comfreyarch_core.waitline import Waiter, make_wait_line

SLOTS = 48
SERVICE_S = 1.3
TARGET_S = 0.4
PATIENCE_S = 2.0


def replay(order):
    """Replay 12 s at 1.3 times the capacity after a second of silence.

    :returns: requests in aim, late, refused and left waiting too long.
    """
    source = random.Random(5)
    rate = 1.3 * SLOTS / SERVICE_S
    arrivals = [source.random() * 0.05 for _ in range(int(rate))]
    now = 0.05
    while now < 12:
        now += source.expovariate(rate)
        arrivals.append(now)
    arrivals.sort()
    line = make_wait_line()
    ends: list[float] = []
    counts = {'aim': 0, 'late': 0, 'refused': 0, 'left': 0}

    def start(waiter, began, at):
        heapq.heappush(ends, at + SERVICE_S * source.uniform(0.5, 1.5))
        counts['aim' if at - began <= TARGET_S else 'late'] += 1

    waiting: dict[Waiter, float] = {}
    for began in arrivals:
        while ends and ends[0] <= began:
            at = heapq.heappop(ends)
            for waiter in list(waiting):
                if waiter.leave_at < at:
                    line.leave(waiter)
                    waiting.pop(waiter)
                    counts['left'] += 1
            for waiter in order(line, at)[:1]:
                line.started(waiter, at)
                start(waiter, waiting.pop(waiter), at)
        waiter = Waiter(
            's',
            1,
            began + TARGET_S,
            began + PATIENCE_S,
            frozenset(),
        )
        if len(ends) < SLOTS:
            assert not line.waiters
            start(waiter, began, began)
        elif line.hopeless(waiter, began):
            counts['refused'] += 1
        else:
            line.join(waiter)
            waiting[waiter] = began
    return counts


def test_callers_who_come_later_are_still_served_in_aim():
    mixed = replay(lambda line, now: line.ordered(now))
    fifo = replay(
        lambda line, _: sorted(line.waiters, key=lambda one: one.leave_at),
    )
    assert mixed['aim'] > 2 * fifo['aim']
    assert mixed['aim'] + 0.5 * mixed['late'] > 1.3 * (
        fifo['aim'] + 0.5 * fifo['late']
    )


def test_more_urgent_requests_go_first():
    line = make_wait_line()
    later = Waiter('s', 0, 5, 9, frozenset())
    sooner = Waiter('s', 1, 1, 9, frozenset())
    line.join(sooner)
    line.join(later)
    assert line.ordered(0) == [later, sooner]


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    line = make_wait_line()
    for _ in range(40):
        line.join(Waiter('s', 1, 0.4, 2, frozenset()))
    line.start_s = 0.1
    late = Waiter('s', 1, 0.5, 2, frozenset())
    assert line.hopeless(late, 0)
    urgent = Waiter('s', 0, 0.5, 2, frozenset())
    assert not line.hopeless(urgent, 0)
