"""Bound the age of what a node knows of a table.

An answer of the store confirms that a node knew all changes of the table at one
moment. The age of its knowledge is the time since that moment, whether or not
the table has changed meanwhile.
"""

from dataclasses import dataclass

# Age above which knowledge counts as unconfirmed. The users' bound on the time
# until a configuration is in force, so that an unconfirmed table may break it.
MAX_CONFIRMED_AGE_S = 2.0


@dataclass(slots=True)
class TableFreshness:
    """Track when the knowledge of one table was last confirmed.

    :param confirmed_at: latest time at which all changes were known, None
        before the first answer.
    :param is_stale: whether the age has been reported as too high.
    """

    confirmed_at: float | None = None
    is_stale: bool = False

    def confirm(self, at: float) -> None:
        """Record that all changes up to a time are known."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def age_s(self, now: float) -> float | None:
        """Return the age of the knowledge.

        :returns: seconds, or None before the first confirmation.
        """
        if self.confirmed_at is None:
            return None
        return max(0, now - self.confirmed_at)

    def became_stale(self, now: float) -> bool:
        """Check whether the age has just exceeded its limit.

        :returns: True once for each time that it does.
        """
        age_s = self.age_s(now)
        if self.is_stale or age_s is None or age_s <= MAX_CONFIRMED_AGE_S:
            return False
        self.is_stale = True
        return True

    def became_fresh(self, now: float) -> bool:
        """Check whether the age has just returned below its limit.

        :returns: True once after ``became_stale`` was True.
        """
        age_s = self.age_s(now)
        if not self.is_stale or age_s is None or age_s > MAX_CONFIRMED_AGE_S:
            return False
        self.is_stale = False
        return True


def make_table_freshness() -> TableFreshness:
    """Create the state of a table that has not been read.

    :returns: the state.
    """
    return TableFreshness()
