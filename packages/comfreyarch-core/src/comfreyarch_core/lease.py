"""Elect a group's coordinator through a lease row with a fencing token.

The holder renews the row. A candidate that sees no change of the row for
the expiry time, measured on its own clock, takes the lease over with the
next fence. Clocks need not be synchronized: a holder that was paused does
no damage, since the ranks have promised the higher fence by then. While
the store is down no candidate can take the lease, and the holder continues
to coordinate.
"""

from dataclasses import dataclass

RENEW_INTERVAL_S = 2.0
EXPIRY_S = 6.0
# Extra wait per rank number before a takeover, so candidates do not collide.
TAKEOVER_DELAY_PER_RANK_S = 0.5


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Represent the lease row.

    :param version: 0 if there is no row.
    :param fence: fencing token, increased at each takeover.
    :param beat: counter, increased at each write.
    """

    version: int = 0
    holder: str = ''
    fence: int = 0
    beat: int = 0


@dataclass(frozen=True, slots=True)
class RowRead:
    """Report the row as read from the store."""

    row: LeaseRow


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Report that the pending write succeeded."""

    row: LeaseRow


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Report that the pending write failed or has an unknown outcome."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Trigger renewal, takeover or a read of the row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write ``row`` if the stored version is still ``expected``."""

    expected: int
    row: LeaseRow


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the lease row."""


@dataclass(frozen=True, slots=True)
class Lead:
    """Start coordinating under ``fence``."""

    fence: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Stop coordinating; ``holder`` has the lease under ``fence``."""

    holder: str
    fence: int


Message = RowRead | RowWritten | WriteFailed | Tick
Outcome = WriteRow | ReadRow | Lead | Follow


@dataclass(slots=True)
class LeaseCandidate:
    """Decide when one candidate renews, takes over or reads the lease.

    :param holder: this incarnation of the sidecar, as named in the row.
    :param rank: the candidate's rank; a higher rank waits longer before a
        takeover.
    :param row: the row as last read or written.
    :param row_changed_at: time at which a new version of the row was seen.
    :param last_request_at: time of the last read or write that a tick caused;
        set back after a failed write, so that the next tick does not wait.
    :param leading_fence: the fence under which it leads, 0 if it does not.
    :param row_known: whether the row has been read since the start.
    """

    holder: str
    rank: int
    row: LeaseRow = LeaseRow()
    row_changed_at: float = 0
    last_request_at: float = -RENEW_INTERVAL_S
    leading_fence: int = 0
    row_known: bool = False

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message.

        :param message: a read row, the result of a write, or a tick.
        :param now: seconds on this process's monotonic clock.
        :returns: reads and writes of the row, and changes of role.
        """
        match message:
            case RowRead(row):
                return self.handle_row(row, now)
            case RowWritten(row):
                return self.handle_written(row, now)
            case WriteFailed():
                self.last_request_at = now - RENEW_INTERVAL_S
                return [ReadRow()]
        return self.tick(now)

    def handle_row(self, row: LeaseRow, now: float) -> list[Outcome]:
        """Record the row; a changed version restarts the expiry time."""
        if row.version < self.row.version:
            return []
        if row.version > self.row.version or not self.row_known:
            self.row_changed_at = now
        self.row_known = True
        previous, self.row = self.row, row
        if row.holder == self.holder:
            return self.start_leading(row.fence)
        if previous.fence != row.fence or self.leading_fence:
            self.leading_fence = 0
            return [Follow(row.holder, row.fence)]
        return []

    def handle_written(self, row: LeaseRow, now: float) -> list[Outcome]:
        """Record this candidate's successful write and lead."""
        self.row = row
        self.row_changed_at = now
        return self.start_leading(row.fence)

    def start_leading(self, fence: int) -> list[Outcome]:
        """Start leading, at most once per fence."""
        if self.leading_fence == fence:
            return []
        self.leading_fence = fence
        return [Lead(fence)]

    def tick(self, now: float) -> list[Outcome]:
        """Renew the lease, take it over, or read the row again."""
        if now - self.last_request_at < RENEW_INTERVAL_S:
            return []
        self.last_request_at = now
        if self.leading_fence:
            return [self.write_row(self.row.fence)]
        if self.row_known and self.can_take_over(now):
            return [self.write_row(self.row.fence + 1)]
        return [ReadRow()]

    def can_take_over(self, now: float) -> bool:
        """Check whether this candidate may take the lease over.

        :returns: True if the row was unchanged for the expiry time plus the
            delay of this rank; a missing row needs no expiry time.
        """
        expiry_s = 0 if self.row.version == 0 else EXPIRY_S
        return (
            now - self.row_changed_at
            >= expiry_s + self.rank * TAKEOVER_DELAY_PER_RANK_S
        )

    def write_row(self, fence: int) -> WriteRow:
        """Return a write that makes this candidate the holder."""
        expected = self.row.version
        row = LeaseRow(expected + 1, self.holder, fence, self.row.beat + 1)
        return WriteRow(expected, row)
