"""Divide the ranks of a group for large orders that ranks forward.

A leader that sends a map to each of a hundred ranks fills its link for seconds. Here
each node that has the map sends it to a rank in the middle of those that it is to
reach, and hands the second half over to that rank. All links then work at the same
time, and n ranks are reached in the time of about log2(n) maps.
"""

import math
from collections.abc import Sequence
from typing import TypeVar

Target = TypeVar('Target')


def rotate(targets: Sequence[Target], attempt: int) -> list[Target]:
    """Return the targets in the order of one of several attempts.

    :param attempt: number of earlier attempts; other ranks forward in each, since
        a rank that should forward may be stopped.
    :returns: each target once, neighbours mostly next to each other.
    """
    first = attempt % max(1, len(targets))
    return [*targets[first:], *targets[:first]]


def split_for_relays(targets: Sequence[Target]) -> list[list[Target]]:
    """Divide targets into the parts that a node sends, in this order.

    :returns: parts that contain each target once, the largest first; the first
        target of each part is sent it and forwards it to the others.
    """
    parts = []
    left = list(targets)
    while left:
        middle = len(left) // 2
        parts.append(left[middle:])
        left = left[:middle]
    return parts


def count_rounds(targets: int) -> int:
    """Return the number of messages that pass one after another.

    :param targets: number of ranks to reach.
    :returns: messages that each take the link of a node for a while until the
        last rank is reached.
    """
    return math.ceil(math.log2(targets + 1))
