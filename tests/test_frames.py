"""Test that frames survive a round trip and that bad input is a FrameError."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyarch_core import frames
from comfreyarch_core.frames import FrameError
from comfreyarch_core.mapmessages import Prepare
from comfreyarch_daemon import linktransport
from comfreyarch_daemon.codec import MAX_MESSAGE_BYTES, decode, encode

SAMPLES = [
    frames.Hello(1, 'n', 'entry', 'i', 3, b'x'),
    frames.Call('a', 'r', 't', 'POST', '/', {'k': 'v'}, b'\xff\x00', 100),
    frames.Head('a', 200, {'content-type': 'x'}),
    frames.Chunk('a', 3, b'abc'),
    frames.End('a', 6),
    frames.Refused('a', 'leaving', 'not_run', 10),
    frames.Beat('n', 'i', 4, leaving=True, share=0.5),
    frames.Pushed(2, {'teams': {}}, [{'revision': 3}]),
    frames.MapFrame('g', Prepare(2, 'c', 1, 9, [[0], [1]])),
    frames.RankReport('g', 1, 7, 2.5, 3, {4: 1.5}),
]


@pytest.mark.parametrize(
    'frame', SAMPLES, ids=lambda frame: type(frame).__name__
)
def test_round_trip(frame: frames.Frame) -> None:
    assert decode(encode([frame])) == [frame]


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=200))
def test_garbage_gives_a_typed_error(garbage: bytes) -> None:
    try:
        decode(garbage)
    except FrameError as error:
        assert str(error)


@settings(derandomize=True, max_examples=300)
@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=8) | st.binary(max_size=8),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=6), inner, max_size=4)
        ),
        max_leaves=12,
    ),
)
def test_any_cbor_gives_frames_or_a_typed_error(content: object) -> None:
    try:
        decode(cbor2.dumps([content]))
    except FrameError as error:
        assert str(error)


@settings(derandomize=True, max_examples=200)
@given(st.sampled_from(SAMPLES), st.integers(0, 400), st.integers(0, 255))
def test_spoiled_frames_give_frames_or_a_typed_error(
    frame: frames.Frame,
    place: int,
    byte: int,
) -> None:
    packed = bytearray(encode([frame]))
    packed[place % len(packed)] = byte
    try:
        decode(bytes(packed))
    except FrameError as error:
        assert str(error)


def test_oversize_is_refused() -> None:
    with pytest.raises(FrameError):
        decode(b'\x00' * (MAX_MESSAGE_BYTES + 1))


def test_adjacent_chunks_of_one_attempt_are_joined() -> None:
    merged = linktransport.merge(
        [
            frames.Chunk('a', 0, b'12'),
            frames.Chunk('a', 2, b'34'),
            frames.Chunk('b', 0, b'x'),
            frames.Chunk('a', 9, b'gap'),
        ]
    )
    assert merged == [
        frames.Chunk('a', 0, b'1234'),
        frames.Chunk('b', 0, b'x'),
        frames.Chunk('a', 9, b'gap'),
    ]
