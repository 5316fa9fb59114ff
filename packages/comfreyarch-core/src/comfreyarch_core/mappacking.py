"""Pack expert maps for the links between the nodes of a group.

A packed map has the experts at the first place of all sets and ranks, then those at
the second place, and so on, each as a number of fixed width. That compresses better
than nested lists do.
"""

import array
import sys
import zlib
from collections.abc import Sequence

from comfreyarch_core.enginestate import GroupMap

# Array types for experts, by bytes of a number.
TYPE_CODES = {1: 'B', 2: 'H'}
# Limits on what is unpacked, as maps arrive from the network.
MAX_PLACES = 64
MAX_RANK_SETS = 1_000_000


def pack_map(content: GroupMap) -> list[int | bytes]:
    """Pack a map.

    :param content: experts by set and rank.
    :returns: number of sets, of ranks, of places, width of a number in bytes, and
        the compressed experts, 0 for an empty place.
    """
    sets, ranks = len(content), len(content[0]) if content else 0
    held = [experts for rank_experts in content for experts in rank_experts]
    places = max(map(len, held), default=0)
    highest = max((max(experts, default=-1) for experts in held), default=-1)
    width = 1 if highest + 1 < 1 << 8 else 2
    numbers = array.array(
        TYPE_CODES[width],
        (
            experts[place] + 1 if place < len(experts) else 0
            for place in range(places)
            for experts in held
        ),
    )
    if sys.byteorder == 'big':
        numbers.byteswap()
    return [sets, ranks, places, width, zlib.compress(numbers.tobytes())]


def unpack_map(packed: list[int | bytes]) -> GroupMap:
    """Unpack a map.

    :returns: experts by set and rank.
    :raises ValueError: if it is malformed or too large.
    """
    *shape, compressed = packed
    if not isinstance(compressed, bytes):
        raise ValueError('packed map has no bytes; the sender is faulty')
    sets, ranks, places, width = check_shape(shape)
    count = sets * ranks
    expected = count * places * width
    unpacked = zlib.decompressobj().decompress(compressed, expected + 1)
    if len(unpacked) != expected:
        raise ValueError(
            f'packed map has {len(unpacked)} bytes instead of {expected}; '
            'the sender is faulty'
        )
    numbers = array.array(TYPE_CODES[width], unpacked)
    if sys.byteorder == 'big':
        numbers.byteswap()
    columns = [
        numbers[place * count : (place + 1) * count] for place in range(places)
    ]
    held = [
        tuple(number - 1 for number in experts if number)
        for experts in zip(*columns, strict=True)
    ] or [()] * count
    return tuple(
        tuple(held[first : first + ranks])
        for first in range(0, count, max(1, ranks))
    )


def check_shape(shape: Sequence[object]) -> tuple[int, int, int, int]:
    """Check the shape of a packed map.

    :param shape: sets, ranks, places, and width of a number in bytes.
    :returns: the same.
    :raises ValueError: if it is malformed or too large.
    """
    numbers = [number for number in shape if isinstance(number, int)]
    if len(numbers) != len(shape):
        raise ValueError(f'shape {shape!r} of a packed map is malformed')
    sets, ranks, places, width = numbers
    is_small = sets * ranks <= MAX_RANK_SETS and places <= MAX_PLACES
    if min(numbers) < 0 or not is_small or width not in TYPE_CODES:
        raise ValueError(f'shape {shape!r} of a packed map is out of bounds')
    return sets, ranks, places, width
