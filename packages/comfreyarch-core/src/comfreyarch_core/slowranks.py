"""Track the ranks of a group whose engines work far more slowly than others.

All ranks of a group wait for the slowest. Such a rank should hold few experts
and get no new streams.
"""

from dataclasses import dataclass, field

# Pace from which a rank is slow. Maps and load scores balance smaller differences.
SLOW_PACE = 3.0
# Time after a rank became slow in which a map is planned whatever the pressure is:
# the smoothed pass time, from which pressure is known, follows later.
REACTION_S = 2.0


@dataclass(slots=True)
class SlowRanks:
    """Represent the slow ranks of a group.

    :param paces: pace of each slow rank.
    :param added_at: time at which a rank was last found slow.
    """

    paces: dict[int, float] = field(default_factory=dict)
    added_at: float = -REACTION_S

    def handle(self, rank: int, pace: float, now: float) -> bool:
        """Record a rank's pace.

        :returns: True if the rank became slow, or is no longer slow.
        """
        was_slow = rank in self.paces
        if pace < SLOW_PACE:
            self.paces.pop(rank, None)
            return was_slow
        self.paces[rank] = pace
        if not was_slow:
            self.added_at = now
        return not was_slow

    def is_map_due(self, now: float) -> bool:
        """Check whether a rank became slow just now.

        :returns: True while a map should take its experts off it.
        """
        return bool(self.paces) and now - self.added_at < REACTION_S


def make_slow_ranks() -> SlowRanks:
    """Create the record of a group.

    :returns: a record without any slow rank.
    """
    return SlowRanks()
