"""Divide the ranks of a group into relay groups for large orders.

A leader that sends a map to each of a hundred ranks fills its link for seconds,
and its announcements wait behind. It sends the map to the first rank of each
relay group instead, which forwards it to the others of that group.
"""

import math
from collections.abc import Sequence

# Up to this number, ranks are sent orders without relays.
MAX_DIRECT_RANKS = 16


def split_into_relay_groups(
    ranks: Sequence[int], attempt: int
) -> list[list[int]]:
    """Divide ranks into about as many groups as each group has ranks.

    :param ranks: the ranks to reach, in any order.
    :param attempt: number of earlier attempts; each attempt uses other relays,
        since a relay may be stopped.
    :returns: groups that contain each rank once; the first of each is the
        relay. Few ranks form groups of one.
    """
    ordered = sorted(ranks)
    count = len(ordered)
    if count <= MAX_DIRECT_RANKS:
        return [[rank] for rank in ordered]
    group_size = math.ceil(math.sqrt(count))
    first = attempt % count
    rotated = ordered[first:] + ordered[:first]
    return [
        rotated[start : start + group_size]
        for start in range(0, count, group_size)
    ]
