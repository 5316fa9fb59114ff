"""Divide the free slots of a busy service among the entries that want them.

Entries learn of a free slot, and of the entry that takes it, about 60 ms late.
If fewer slots are free than there are entries, several of them would send to
the same slot, and the upstream rejects all but one.
"""

import functools
import zlib
from dataclasses import dataclass

# Time for which a slot that stays free is left to each entry in turn. It learns
# of the slot after up to 0.1 s, and checks its queue every 0.03 s.
MAX_LEAVE_S = 0.15
# A slot that was not considered for this time may have been taken meanwhile.
MAX_CHECK_GAP_S = 0.1
# Time for which the other entries do not know of a slot that this one released.
RELEASE_KNOWN_S = 0.02
MAX_CACHED_SCORES = 65_536
MAX_CACHED_RANKS = 4096
MAX_CRC = 0xFFFFFFFF


@dataclass(slots=True)
class SlotClaim:
    """Hold how long the free slots of an upstream were left to others.

    :param since: time since which they are left.
    :param checked_at: time at which they were last considered.
    :param released_at: time at which this entry last released one.
    """

    since: float = 0
    checked_at: float = 0
    released_at: float = -1

    def may_take(self, free: float, rank: int, now: float) -> bool:
        """Decide whether this entry takes a free slot.

        :param free: number of free slots.
        :param rank: position of this entry among those that want one.
        :returns: True if the others do not know of a slot, or if the entries
            before this one leave one, also because they did not take it.
        """
        if now - self.checked_at > MAX_CHECK_GAP_S:
            self.since = now
        self.checked_at = now
        is_unknown = 0 <= now - self.released_at < RELEASE_KNOWN_S
        return is_unknown or rank < free + (now - self.since) // MAX_LEAVE_S

    def take(self) -> None:
        """Record that this entry takes a slot."""
        self.checked_at = 0
        self.released_at = -1


@functools.lru_cache(MAX_CACHED_RANKS)
def rank_entry(upstream: str, node: str, others: frozenset[str]) -> int:
    """Return the position of an entry for the free slots of an upstream.

    :param node: name of the entry.
    :param others: names of the other entries where requests wait.
    :returns: the number of others with a lower score.
    """
    own = score(upstream, node)
    return sum(score(upstream, other) < own for other in others)


@functools.lru_cache(MAX_CACHED_SCORES)
def score(upstream: str, node: str) -> float:
    """Score an entry for an upstream.

    :returns: a number from 0 to 1 that all entries compute alike.
    """
    return zlib.crc32(f'{node}/{upstream}'.encode()) / MAX_CRC


def make_slot_claim() -> SlotClaim:
    """Create the claim on the slots of an upstream.

    :returns: a claim on slots that were never considered.
    """
    return SlotClaim()
