"""Read and write the lease row of a group."""

import time
from collections.abc import Callable

import gevent

from comfreyarch_core import lease
from comfreyarch_core.lease import LeaseCandidate, LeaseRow
from comfreyarch_daemon.store import (
    Ambiguous,
    Put,
    StoreClient,
    StoreError,
    TableRow,
    Unavailable,
    Written,
)
from comfreyarch_daemon.supervision import failure_reports

LEASE_TABLE = 'leases'


def parse_lease_row(row: TableRow) -> LeaseRow:
    """Convert a stored row to a lease row.

    :returns: the lease row, with version 0 if there is no stored row.
    """
    content = row.content
    if content is None:
        return LeaseRow()
    return LeaseRow(
        row.version,
        content['holder'],
        content['fence'],
        content['beat'],
    )


class Election:
    """Take part in the election of a group's coordinator.

    :param set_fence_floor: receives the fence of the lease row.
    :param on_lead: called with the fence under which to lead.
    :param on_follow: called with the holder and its fence.
    :param request_pending: whether a call to the store is in progress.
    """

    __slots__ = (
        'candidate',
        'group',
        'on_follow',
        'on_lead',
        'request_pending',
        'set_fence_floor',
        'store',
    )

    def __init__(
        self,
        group: str,
        candidate: LeaseCandidate,
        store: StoreClient,
        set_fence_floor: Callable[[int], None],
        on_lead: Callable[[int], None],
        on_follow: Callable[[str, int], None],
    ) -> None:
        """Create a candidate; nothing is read before the first tick."""
        self.group = group
        self.candidate = candidate
        self.store = store
        self.set_fence_floor = set_fence_floor
        self.on_lead = on_lead
        self.on_follow = on_follow
        self.request_pending = False

    def holder_node(self) -> str:
        """Return the node that holds the lease according to the last read row.

        :returns: an empty string before the row was read.
        """
        return self.candidate.row.holder.rpartition('/')[0]

    def tick(self) -> None:
        """Advance the candidate's time unless a store call is pending."""
        if not self.request_pending:
            self.handle(lease.Tick())

    def handle(self, message: lease.Message) -> None:
        """Pass a message to the lease candidate and apply its outcomes."""
        for outcome in self.candidate.handle(message, time.monotonic()):
            match outcome:
                case lease.WriteRow():
                    self.request_pending = True
                    gevent.spawn(self.write_row, outcome)
                case lease.ReadRow():
                    self.request_pending = True
                    gevent.spawn(self.read_row)
                case lease.Lead(fence):
                    self.on_lead(fence)
                case lease.Follow(holder, fence):
                    self.on_follow(holder, fence)

    def write_row(self, write: lease.WriteRow) -> None:
        """Write the lease row.

        An unavailable store has written nothing, so the candidate is not
        notified and tries again at a later tick.
        """
        row = write.row
        content = {
            'holder': row.holder,
            'fence': row.fence,
            'beat': row.beat,
        }
        put = Put(LEASE_TABLE, self.group, write.expected, content)
        try:
            outcome = self.store.transact([put])
        except Exception as error:
            failure_reports.report('lease', error)
            outcome = Ambiguous(str(error))
        self.request_pending = False
        if isinstance(outcome, Written):
            self.set_fence_floor(row.fence)
            self.handle(lease.RowWritten(row))
        elif not isinstance(outcome, Unavailable):
            self.handle(lease.WriteFailed())

    def read_row(self) -> None:
        """Read the lease row; a failed read is repeated at a later tick."""
        try:
            row = self.store.read(LEASE_TABLE, self.group)
        except StoreError:
            return
        finally:
            # Without this no later tick would ask again.
            self.request_pending = False
        lease_row = parse_lease_row(row)
        self.set_fence_floor(lease_row.fence)
        self.handle(lease.RowRead(lease_row))
