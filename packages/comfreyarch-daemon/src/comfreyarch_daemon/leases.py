"""Read and write the lease row of a group."""

import time
from collections.abc import Callable

import gevent

from comfreyarch_core import lease
from comfreyarch_core.lease import LeaseCandidate, LeaseRow
from comfreyarch_daemon.store import (
    Put,
    StoreClient,
    StoreError,
    TableRow,
    Unavailable,
    Written,
)

LEASE_TABLE = 'leases'


def row_from(row: TableRow) -> LeaseRow:
    """Read a lease row.

    :returns: version 0 where there is none.
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

    :param floor: takes the fence that the lease row holds.
    :param on_lead: called with the fence under which to lead.
    :param on_follow: called with the holder and its fence.
    """

    __slots__ = (
        'floor',
        'group',
        'candidate',
        'on_follow',
        'on_lead',
        'store',
        'writing',
    )

    def __init__(
        self,
        group: str,
        candidate: LeaseCandidate,
        store: StoreClient,
        floor: Callable[[int], None],
        on_lead: Callable[[int], None],
        on_follow: Callable[[str, int], None],
    ) -> None:
        """Prepare; nothing is read before the first tick."""
        self.group = group
        self.candidate = candidate
        self.store = store
        self.floor = floor
        self.on_lead = on_lead
        self.on_follow = on_follow
        self.writing = False

    def holder_node(self) -> str:
        """Name the node that the lease row shows as coordinator.

        :returns: empty before the row was read.
        """
        return self.candidate.row.holder.rpartition('/')[0]

    def tick(self) -> None:
        """Let time pass, unless an answer of the store is awaited."""
        if not self.writing:
            self.tell(lease.Tick())

    def tell(self, message: lease.Message) -> None:
        """Tell the lease keeper and carry out what it decides."""
        for outcome in self.candidate.handle(message, time.monotonic()):
            match outcome:
                case lease.WriteRow():
                    self.writing = True
                    gevent.spawn(self.write_row, outcome)
                case lease.ReadRow():
                    self.writing = True
                    gevent.spawn(self.read_row)
                case lease.Lead(fence):
                    self.on_lead(fence)
                case lease.Follow(holder, fence):
                    self.on_follow(holder, fence)

    def write_row(self, write: lease.WriteRow) -> None:
        """Write the lease row."""
        row = write.row
        content = {
            'holder': row.holder,
            'fence': row.fence,
            'beat': row.beat,
        }
        put = Put(LEASE_TABLE, self.group, write.expected, content)
        outcome = self.store.transact([put])
        self.writing = False
        if isinstance(outcome, Written):
            self.floor(row.fence)
            self.tell(lease.RowWritten(row))
        elif not isinstance(outcome, Unavailable):
            self.tell(lease.WriteFailed())

    def read_row(self) -> None:
        """Read the lease row."""
        try:
            row = self.store.read(LEASE_TABLE, self.group)
        except StoreError:
            self.writing = False
            return
        self.writing = False
        seen = row_from(row)
        self.floor(seen.fence)
        self.tell(lease.RowRead(seen))
