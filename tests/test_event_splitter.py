"""Event streams over several upstreams: whole events, each once, in order."""

import pytest
from hypothesis import given, settings, strategies

from comfreyarch_core.eventsplitter import EventSplitter


def event(number):
    """Encode one event."""
    return f'id: {number}\ndata: word{number}\n\n'.encode()


@settings(deadline=None)
@given(strategies.lists(strategies.integers(1, 40), max_size=30))
def test_any_cut_of_the_bytes_gives_the_same_events(cuts):
    stream = b''.join(event(number) for number in range(12))
    splitter = EventSplitter()
    passed = b''
    start = 0
    for cut in [*cuts, len(stream)]:
        passed += splitter.feed(stream[start : start + cut])
        assert passed == b'' or passed.endswith(b'\n\n')
        start += cut
    assert passed == stream
    assert not splitter.incomplete


@pytest.mark.parametrize('broken_at', range(1, len(event(0) + event(1))))
def test_a_stream_that_breaks_anywhere_goes_on_elsewhere(broken_at):
    stream = b''.join(event(number) for number in range(5))
    splitter = EventSplitter()
    passed = splitter.feed(stream[:broken_at])
    splitter.restart()
    remaining = [event(number) for number in range(splitter.last_id + 1, 5)]
    passed += splitter.feed(b''.join(remaining))
    assert passed == stream
    assert not splitter.has_gap


def test_events_that_come_again_are_left_out():
    splitter = EventSplitter()
    passed = splitter.feed(event(0) + event(1))
    splitter.restart()
    passed += splitter.feed(event(0) + event(1) + event(2))
    assert passed == event(0) + event(1) + event(2)


def test_a_missing_event_stops_the_stream():
    splitter = EventSplitter()
    assert splitter.feed(event(0) + event(2)) == event(0)
    assert splitter.has_gap


def test_a_stream_may_begin_after_the_last_event_of_the_caller():
    splitter = EventSplitter(last_id=6)
    assert splitter.feed(event(7)) == event(7)
    assert not splitter.has_gap


def test_an_id_too_long_to_be_a_number_is_not_read():
    """Guards against an uncaught ValueError of ``int`` (over 4,300 digits)."""
    raw = b'id: ' + b'9' * 5000 + b'\ndata: x\n\n'
    assert EventSplitter().feed(raw) == raw
