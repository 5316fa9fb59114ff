"""Choose nodes for keys by rendezvous hashing.

All nodes that know the same nodes choose alike, and a node that comes or goes
changes the choice for its own keys only.
"""

from collections.abc import Iterable

import xxhash


def rendezvous_score(node: str, key: str) -> int:
    """Compute the rendezvous score of a node for a key.

    :returns: a 64-bit number; the highest score wins.
    """
    return xxhash.xxh3_64_intdigest(f'{node}\n{key}'.encode())


def sort_by_score(nodes: Iterable[str], key: str) -> list[str]:
    """Sort nodes by rendezvous score.

    :returns: the nodes, highest score first.
    """
    return sorted(
        nodes,
        key=lambda node: rendezvous_score(node, key),
        reverse=True,
    )
