"""Pack expert counts into four bits each.

The counts of a large group are summed over many ranks. Values are spaced by
their square roots, like the sampling noise of counts, and each rank rounds at
another threshold, so that the errors of ranks with equal counts even out.
"""

import math
from collections.abc import Sequence
from itertools import chain, islice, zip_longest

MAX_BYTE = 255
MAX_NIBBLE = 15
# Number of different rounding thresholds.
THRESHOLDS = 16
# Spreads the thresholds of the first rounding, to a byte, against those of the
# second.
SCALING_STRIDE = 7


def nibble_value(nibble: int) -> int:
    """Return the byte that a nibble stands for."""
    return round(MAX_BYTE * (nibble / MAX_NIBBLE) ** 2)


def round_to_nibble(value: int, offset: float) -> int:
    """Round a byte to the nibble below or above it.

    :param offset: the value is rounded up if it is less than this share of the
        step below the next nibble.
    """
    below = int(MAX_NIBBLE * math.sqrt(value / MAX_BYTE))
    while below < MAX_NIBBLE and nibble_value(below + 1) <= value:
        below += 1
    if below == MAX_NIBBLE:
        return below
    lower = nibble_value(below)
    step = nibble_value(below + 1) - lower
    return below + int((value - lower) / step + offset)


ROUNDING_TABLES = tuple(
    bytes(
        round_to_nibble(value, (number + 0.5) / THRESHOLDS)
        for value in range(MAX_BYTE + 1)
    )
    for number in range(THRESHOLDS)
)
# The two values of each packed byte.
HIGH_VALUES = bytes(nibble_value(pair >> 4) for pair in range(MAX_BYTE + 1))
LOW_VALUES = bytes(
    nibble_value(pair & MAX_NIBBLE) for pair in range(MAX_BYTE + 1)
)


def pack_counts(counts: Sequence[int], rank: int) -> tuple[int, bytes]:
    """Pack counts.

    :param rank: the rank, which selects the rounding threshold.
    :returns: the highest count, and two counts in each byte.
    """
    highest = max(counts, default=0)
    scale = MAX_BYTE / highest if highest else 0
    offset = (rank * SCALING_STRIDE % THRESHOLDS + 0.5) / THRESHOLDS
    scaled = bytes(int(count * scale + offset) for count in counts)
    nibbles = scaled.translate(ROUNDING_TABLES[rank % THRESHOLDS])
    pairs = zip_longest(nibbles[::2], nibbles[1::2], fillvalue=0)
    return highest, bytes(high << 4 | low for high, low in pairs)


def unpack_counts(highest: int, packed: bytes, length: int) -> tuple[int, ...]:
    """Unpack counts.

    :param highest: the highest count.
    :param length: number of counts.
    """
    pairs = zip(
        packed.translate(HIGH_VALUES),
        packed.translate(LOW_VALUES),
        strict=True,
    )
    values = islice(chain.from_iterable(pairs), length)
    return tuple(highest * value // MAX_BYTE for value in values)
