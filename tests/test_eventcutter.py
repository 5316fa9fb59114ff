"""Streams: whole events, each once, in order, over several upstreams."""

import pytest
from hypothesis import given, settings, strategies

from comfreyarch_core.eventcutter import EventCutter


def event(number):
    """Write one event."""
    return f'id: {number}\ndata: word{number}\n\n'.encode()


@settings(deadline=None)
@given(strategies.lists(strategies.integers(1, 40), max_size=30))
def test_any_cut_of_the_bytes_gives_the_same_events(cuts):
    stream = b''.join(event(number) for number in range(12))
    cutter = EventCutter()
    passed = b''
    start = 0
    for cut in [*cuts, len(stream)]:
        passed += cutter.feed(stream[start : start + cut])
        assert passed == b'' or passed.endswith(b'\n\n')
        start += cut
    assert passed == stream
    assert not cutter.rest


@pytest.mark.parametrize('broken_at', range(1, len(event(0) + event(1))))
def test_a_stream_that_breaks_anywhere_goes_on_elsewhere(broken_at):
    stream = b''.join(event(number) for number in range(5))
    cutter = EventCutter()
    passed = cutter.feed(stream[:broken_at])
    cutter.restart()
    rest = [event(number) for number in range(cutter.last_id + 1, 5)]
    passed += cutter.feed(b''.join(rest))
    assert passed == stream
    assert not cutter.gap


def test_events_that_come_again_are_left_out():
    cutter = EventCutter()
    passed = cutter.feed(event(0) + event(1))
    cutter.restart()
    passed += cutter.feed(event(0) + event(1) + event(2))
    assert passed == event(0) + event(1) + event(2)


def test_a_missing_event_stops_the_stream():
    cutter = EventCutter()
    assert cutter.feed(event(0) + event(2)) == event(0)
    assert cutter.gap


def test_a_stream_may_begin_after_the_last_event_of_the_caller():
    cutter = EventCutter(last_id=6)
    assert cutter.feed(event(7)) == event(7)
    assert not cutter.gap
