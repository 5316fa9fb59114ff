"""Requests that cannot end before their deadline are refused at once."""

import gevent
import pytest
from direct_world import World

from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.streampace import WINDOW_S, make_stream_pace
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import (
    make_upstream_selector,
    record_gap,
)
from comfreyarch_core.waiter import Waiter
from comfreyarch_daemon.dispatcherrors import DispatchError
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.upstreamcalls import boot_time

PASSES = 20
DEADLINE_S = 8
LONG_PASS_S = 0.45


def record_passes(pace, pass_s, start, seconds, streams=4):
    """Record the events of several streams in lock-step."""
    for number in range(1, int(seconds / pass_s) + 1):
        for _ in range(streams):
            pace.record_gap('g', pass_s, start + number * pass_s)


def test_the_shortest_pass_is_measured_by_events():
    pace = make_stream_pace()
    record_passes(pace, 0.06, 0, 3)
    assert pace.shortest_pass_s('g', 3) == 0.06
    assert pace.shortest_pass_s('other', 3) == 0


# Fails if requests are refused for passes that the next map shortens at once.
def test_passes_that_were_short_within_the_window_count():
    pace = make_stream_pace()
    record_passes(pace, 0.06, 0, 3)
    record_passes(pace, 0.15, 3, 0.45)
    assert pace.shortest_pass_s('g', 3.45) == 0.06
    record_passes(pace, 0.15, 3.45, 0.45)
    assert pace.shortest_pass_s('g', 3.9) == 0.15


# Fails if events that a congested link delivers together hide long passes.
def test_a_few_events_that_arrive_together_do_not_count():
    pace = make_stream_pace()
    record_passes(pace, 0.15, 0, 2)
    pace.record_gap('g', 0.001, 1.95)
    assert pace.shortest_pass_s('g', 2) == 0.15


# Fails if an entry that just received its first events refuses requests.
def test_gaps_that_cover_a_part_of_the_window_do_not_count():
    pace = make_stream_pace()
    record_passes(pace, 0.15, 0, 0.35)
    assert pace.shortest_pass_s('g', 0.35) == 0


def test_reports_count_once_they_are_older_than_the_window():
    pace = make_stream_pace()
    pace.record_report('g', 0.06, 0)
    pace.record_report('g', 0.4, 1)
    assert pace.shortest_pass_s('g', 1 + WINDOW_S / 2) == 0.06
    assert pace.shortest_pass_s('g', 1 + WINDOW_S) == 0.4
    assert pace.shortest_pass_s('g', 5) == 0


class Entry:
    """Run a dispatcher of one upstream, whose group makes long passes."""

    def __init__(self, now, pass_s, slots=1):
        self.selector = make_upstream_selector('z', 1)
        self.selector.update_upstreams(
            [UpstreamEntry('u', 's', 'h:1', 'z', slots, False)]
        )
        health = EngineHealth('g', 1, True, 1, 0.06)
        self.selector.update_health('h:1', health, now)
        self.view = self.selector.views['u']
        self.dispatcher = Dispatcher(self.selector)
        self.record(pass_s, now)

    def record(self, pass_s, now):
        """Record gaps that cover the window."""
        for number in reversed(range(6)):
            at = now - WINDOW_S * number / 6
            record_gap(self.selector, self.view, pass_s, at)

    def waiter(self, now, **options):
        """Create a request that needs passes of at most 0.4 s."""
        return Waiter(
            's',
            1,
            now + 0.4,
            now + 2,
            frozenset(),
            PASSES,
            now + DEADLINE_S,
            **options,
        )


# Fails if such a request waits until its latest start; 549 requests did in a
# burst.
def test_a_request_that_cannot_end_is_refused_at_once():
    now = boot_time()
    entry = Entry(now, LONG_PASS_S)
    entry.view.in_flight = 1
    with pytest.raises(DispatchError, match='20 passes of at least 0.450 s'):
        entry.dispatcher.acquire_slot(entry.waiter(now))
    assert boot_time() - now < 0.2


# Fails if a request is held back by reports although the streams show passes
# that are short enough.
def test_a_request_that_can_end_gets_a_slot():
    now = boot_time()
    entry = Entry(now, 0.3)
    health = EngineHealth('g', 1, True, 1, 0.5)
    entry.selector.update_health('h:1', health, now)
    assert entry.dispatcher.acquire_slot(entry.waiter(now)) is entry.view


# Fails if a queued request is kept after it can no longer end.
def test_a_queued_request_is_refused_when_passes_become_long():
    now = boot_time()
    entry = Entry(now, 0.3)
    entry.view.in_flight = 1
    dispatcher = entry.dispatcher
    dispatcher.start()
    waiting = gevent.spawn(dispatcher.acquire_slot, entry.waiter(now))
    try:
        gevent.sleep(0.1)
        assert not waiting.ready()
        entry.selector.pace.groups.clear()
        entry.record(LONG_PASS_S, boot_time())
        with pytest.raises(DispatchError, match='before the deadline'):
            waiting.get(timeout=0.5)
    finally:
        dispatcher.close()
        waiting.kill()


# Fails if an answer in progress is cut because the passes are long.
def test_a_resumed_stream_is_kept():
    now = boot_time()
    entry = Entry(now, LONG_PASS_S)
    entry.view.in_flight = 1
    waiter = entry.waiter(now, is_resumed=True)
    waiting = gevent.spawn(entry.dispatcher.acquire_slot, waiter)
    gevent.sleep(0.1)
    assert not waiting.ready()
    waiting.kill()


# Fails if the entry does not measure the passes by the events of its streams.
def test_gaps_between_events_are_recorded():
    def script(_upstream, sock, request):
        attempt = request[1]['x-attempt-id']
        head = (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n'
            f'X-Server-Signature: s\r\n'
            f'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked'
            f'\r\n\r\n'
        )
        sock.sendall(head.encode())
        for number in range(4):
            gevent.sleep(0.2)
            event = f'id: {number}\ndata: d\n\n'
            sock.sendall(f'{len(event):x}\r\n{event}\r\n'.encode())
        sock.sendall(b'0\r\n\r\n')

    with World(script) as world:
        selector = world.entry.forwarder.selector
        selector.views['u0'].health = EngineHealth('g', 1, True, 1)
        assert world.call('/stream/')[0] == 200
        gaps = [gap_s for _, gap_s in selector.pace.groups['g'].gaps]
    # The time to the first event is no pass.
    assert gaps == pytest.approx([0.2] * len(gaps), abs=0.05)
    assert len(gaps) == 3
