"""Test that no upstream exhausts or stalls an entry with bytes without end."""

import tracemalloc

import gevent
import pytest
from direct_world import SIGNED, World, answering
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyarch_core.answerbounds import (
    ALWAYS_READ_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    AnswerMemory,
    AnswerMeter,
)
from comfreyarch_core.sendtracker import SendFailure
from comfreyarch_daemon.answerparser import AnswerParser

PIECE_BYTES = 65_536
# Bytes after which an endless upstream gives up in these tests, so that a missing
# bound fails the test and does not fill the memory.
GIVE_UP_BYTES = 64 * 2**20
MEMORY_BYTES = 8 * 2**20
HEAD = f'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n{SIGNED}'.encode()
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS = HEAD + b'Content-Type: text/event-stream\r\n\r\n'
# What an upstream sends first and then again and again, and the bound.
ENDLESS = {
    'value': (HEAD + b'X-Long: ', b'x' * PIECE_BYTES, 'head'),
    'fields': (HEAD, b'X-Field: value\r\n' * 4000, 'head'),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2500, 'head'),
    'status': (b'HTTP/1.1 200 ', b'x' * PIECE_BYTES, 'head'),
    'garbage': (b'', b'\x00\xff' * 30000, ''),
    'extension': (CHUNKED + b'5;', b'x' * PIECE_BYTES, 'framing'),
    'trailers': (CHUNKED + b'0\r\n', b'X-Field: value\r\n' * 4000, 'framing'),
    'body': (CHUNKED, b'ffff\r\n' + b'x' * 65535 + b'\r\n', 'memory'),
    'unframed body': (HEAD + b'\r\n', b'x' * PIECE_BYTES, 'memory'),
}


def endless(first, piece):
    """Create a script that sends bytes until the connection is closed."""

    def script(upstream, sock, _request):
        try:
            sock.sendall(first)
            for _ in range(GIVE_UP_BYTES // len(piece)):
                sock.sendall(piece)
                upstream.bytes_sent = getattr(upstream, 'bytes_sent', 0) + len(
                    piece
                )
                gevent.sleep(0)
        except OSError:
            return 'close'
        return 'close'

    return script


def make_world(*scripts):
    """Create an entry with little memory for answers."""
    world = World(*scripts)
    world.entry.forwarder.pool.memory.limit = MEMORY_BYTES
    return world


def list_endings(world):
    """Return how the failed sends ended."""
    return [
        facts['ending']
        for name, facts in world.log.events
        if name == 'send_failed'
    ]


@pytest.mark.parametrize('kind', ENDLESS)
def test_an_endless_answer_is_cut_off_and_another_upstream_answers(kind):
    first, piece, bound = ENDLESS[kind]
    with make_world(endless(first, piece), answering()) as world:
        endings = []
        for _ in range(6):
            assert world.call('/safe/')[0] == 200
            endings = list_endings(world)
            if endings:
                break
        assert endings == [SendFailure.malformed if bound else 'broken']
        assert world.upstreams[0].bytes_sent < GIVE_UP_BYTES / 2


@pytest.mark.parametrize('kind', ENDLESS)
def test_what_must_not_repeat_ends_as_unknown_before_its_deadline(kind):
    first, piece, _ = ENDLESS[kind]
    with make_world(endless(first, piece)) as world:
        assert world.call('/once/')[0] == 504
        assert world.runs == 1
        left = [
            facts['why']
            for name, facts in world.log.events
            if name == 'send_failed'
        ]
        assert len(left) == 1
        assert 'deadline' not in left[0]


def test_an_event_without_an_end_is_cut_off():
    script = endless(EVENTS + b'id: 1\ndata: ', b'x' * PIECE_BYTES)
    with make_world(script) as world:
        world.call('/plain/')
        assert list_endings(world) == [SendFailure.malformed]


# Fails if a stream that never ends is read beyond its caller's deadline.
def test_events_without_end_stop_at_the_deadline():
    event = b'data: x\n\n' * 5000
    with make_world(endless(EVENTS, event)) as world:
        with gevent.Timeout(15):
            world.call('/plain/')


# Fails if an entry reads an endless answer without a pause, or if endless
# answers take the memory of others.
def test_others_are_served_beside_endless_answers():
    first, piece, _ = ENDLESS['body']
    scripts = [endless(first, piece) for _ in range(4)]
    with make_world(*scripts, answering()) as world:
        calls = [gevent.spawn(world.call, '/safe/') for _ in range(24)]
        memory = world.entry.forwarder.pool.memory
        peak = 0
        with gevent.Timeout(60):
            while not all(call.ready() for call in calls):
                gevent.sleep(0.001)
                peak = max(peak, memory.total)
        assert sum(call.get()[0] == 200 for call in calls) >= 12
        assert peak < 1.5 * MEMORY_BYTES
        assert memory.total == 0


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=200),
            st.sampled_from(
                [piece for _, piece, _ in ENDLESS.values()]
                + [first for first, _, _ in ENDLESS.values()]
            ),
        ),
        max_size=40,
    )
)
def test_a_parser_holds_little_besides_the_body(pieces):
    """Fails if any mix of bytes makes a parser keep heads without bound."""
    parser = AnswerParser('')
    tracemalloc.start()
    try:
        for piece in pieces:
            parser.parse(piece)
            for answer in parser.answers:
                answer.take()
            while len(parser.answers) > 1 and parser.answers[0].complete:
                parser.answers.popleft()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 60 * MAX_HEAD_BYTES


def test_small_chunks_are_no_excess():
    meter = AnswerMeter()
    for _ in range(200_000):
        assert not meter.record(6, 1, True)


def test_framing_without_a_body_is_an_excess():
    meter = AnswerMeter()
    pieces = 3 * (MAX_HEAD_BYTES + MAX_FRAMING_BYTES) // 1000
    assert any(meter.record(1000, 0, True) for _ in range(pieces))


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 10**7))))
def test_memory_is_bounded_and_small_answers_always_fit(changes):
    memory = AnswerMemory(MEMORY_BYTES)
    for holder, size in changes:
        if not memory.update(holder, size):
            assert size > ALWAYS_READ_BYTES
            memory.release(holder)
    assert memory.total == sum(memory.held.values())
    assert memory.total <= MEMORY_BYTES + 41 * ALWAYS_READ_BYTES
