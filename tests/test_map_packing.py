"""Test that packed maps are small, exact and bounded."""

import random
import zlib

import pytest

from comfreyarch_core.mappacking import pack_map, unpack_map


def make_map(sets, ranks, experts, places, seed=1):
    """Create a map with up to a number of experts on each rank."""
    source = random.Random(seed)
    return tuple(
        tuple(
            tuple(
                sorted(source.sample(range(experts), source.randint(0, places)))
            )
            for _ in range(ranks)
        )
        for _ in range(sets)
    )


@pytest.mark.parametrize(
    ('sets', 'ranks', 'experts', 'places'),
    [
        (16, 96, 192, 3),
        (1, 1, 1, 1),
        (4, 8, 255, 5),
        (4, 8, 256, 5),
        (3, 2, 9, 0),
    ],
)
def test_a_map_is_unpacked_as_it_was_packed(sets, ranks, experts, places):
    content = make_map(sets, ranks, experts, places)
    assert unpack_map(pack_map(content)) == content


def test_a_map_of_96_ranks_takes_little_more_than_a_byte_for_each_expert():
    content = make_map(16, 96, 192, 3)
    assert len(pack_map(content)[-1]) < 16 * 96 * 3


@pytest.mark.parametrize(
    'packed',
    [
        [1, 1, 1, 3, zlib.compress(b'a')],
        [1, 1, 1, 1, zlib.compress(b'ab')],
        [1, 1, 1, 1, zlib.compress(b'')],
        [-1, 1, 1, 1, zlib.compress(b'')],
        [10**9, 10**9, 1, 1, zlib.compress(b'')],
        [1, 1, 'a', 1, b''],
        [1, 1, 1, 1, 'text'],
        [1, 1],
    ],
)
def test_a_malformed_map_is_refused(packed):
    with pytest.raises(ValueError):
        unpack_map(packed)


def test_a_map_that_unpacks_to_more_than_it_says_is_refused():
    """Fails if a small datagram can take much memory."""
    packed = [1, 8, 1, 1, zlib.compress(bytes(50_000_000))]
    with pytest.raises(ValueError, match='instead of 8'):
        unpack_map(packed)
