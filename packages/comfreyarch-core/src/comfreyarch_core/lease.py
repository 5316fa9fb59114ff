"""Elect a group's coordinator by a fenced row of the platform's table.

The holder renews the row; a candidate that sees the row unchanged for
long enough by its own clock takes it over with the next fence. No clock
needs to be right: a holder that was paused is harmless, since the ranks
have promised the higher fence by then. While the store is down nobody can
take the lease, and the holder goes on.
"""

from dataclasses import dataclass

RENEW_S = 2.0
EXPIRE_S = 6.0
RANK_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Hold the lease row; ``version`` is 0 where there is none."""

    version: int = 0
    holder: str = ''
    fence: int = 0
    beat: int = 0


@dataclass(frozen=True, slots=True)
class Saw:
    """Tell what a read of the row found."""

    row: LeaseRow


@dataclass(frozen=True, slots=True)
class Took:
    """Tell that the pending write took effect."""

    row: LeaseRow


@dataclass(frozen=True, slots=True)
class Missed:
    """Tell that the pending write failed, or that its fate is unclear."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write ``row`` where the lease stands at ``expected``."""

    expected: int
    row: LeaseRow


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the lease row."""


@dataclass(frozen=True, slots=True)
class Lead:
    """Begin to coordinate under ``fence``."""

    fence: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Stop coordinating; ``holder`` leads under ``fence``."""

    holder: str
    fence: int


Message = Saw | Took | Missed | Tick
Outcome = WriteRow | ReadRow | Lead | Follow


@dataclass(slots=True)
class LeaseKeeper:
    """Decide for one candidate.

    :param holder: this life of this sidecar, as the row names it.
    :param rank: the candidate's rank; higher ranks wait longer.
    """

    holder: str
    rank: int
    row: LeaseRow = LeaseRow()
    changed_at: float = 0
    asked_at: float = -RENEW_S
    leading: int = 0
    known: bool = False

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: what happened.
        :param now: seconds of this process's own clock.
        :returns: reads and writes of the row, changes of role.
        """
        match message:
            case Saw(row):
                return self.saw(row, now)
            case Took(row):
                return self.took(row, now)
            case Missed():
                self.asked_at = now - RENEW_S
                return [ReadRow()]
        return self.tick(now)

    def saw(self, row: LeaseRow, now: float) -> list[Outcome]:
        """Take note of the row; a change of it restarts the wait."""
        if row.version < self.row.version:
            return []
        if row.version > self.row.version or not self.known:
            self.changed_at = now
        self.known = True
        former, self.row = self.row, row
        if row.holder == self.holder:
            return self.lead(row.fence)
        if former.fence != row.fence or self.leading:
            self.leading = 0
            return [Follow(row.holder, row.fence)]
        return []

    def took(self, row: LeaseRow, now: float) -> list[Outcome]:
        """Take note of this candidate's own write."""
        self.row = row
        self.changed_at = now
        return self.lead(row.fence)

    def lead(self, fence: int) -> list[Outcome]:
        """Begin to lead, once a fence."""
        if self.leading == fence:
            return []
        self.leading = fence
        return [Lead(fence)]

    def tick(self, now: float) -> list[Outcome]:
        """Renew, take over, or look again."""
        if now - self.asked_at < RENEW_S:
            return []
        self.asked_at = now
        if self.leading:
            return [self.write(self.row.fence)]
        if self.known and self.expired(now):
            return [self.write(self.row.fence + 1)]
        return [ReadRow()]

    def expired(self, now: float) -> bool:
        """Tell whether the row may be taken over.

        :returns: True after its rank's share of silence.
        """
        silence = 0 if self.row.version == 0 else EXPIRE_S
        return now - self.changed_at >= silence + self.rank * RANK_DELAY_S

    def write(self, fence: int) -> WriteRow:
        """Write the row in this candidate's name."""
        expected = self.row.version
        row = LeaseRow(expected + 1, self.holder, fence, self.row.beat + 1)
        return WriteRow(expected, row)
