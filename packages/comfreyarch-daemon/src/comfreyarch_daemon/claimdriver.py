"""Perform the claim manager's reads and writes in the platform's store."""

import base64
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from comfreyarch_core import claimmessages
from comfreyarch_core.claimmessages import Answer, Row, RowState
from comfreyarch_core.claims import ClaimManager
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.store import (
    Ambiguous,
    Put,
    StoreClient,
    StoreError,
    TableRow,
    Unavailable,
    VersionConflict,
    WriteOutcome,
    Written,
)
from comfreyarch_daemon.supervision import spawn_loop

CLAIM_TABLE = 'claims'
# Maximum number of rows written in one transaction.
MAX_BATCH_ROWS = 32
# Interval at which unsettled claims are retried.
RETRY_INTERVAL_S = 0.5


def row_to_content(row: Row) -> dict[str, Any]:
    """Convert a claim row to the content of a table row.

    :returns: plain values.
    """
    content: dict[str, Any] = {
        'state': row.state.value,
        'attempt': row.attempt,
        'holder': row.holder,
        'incarnation': row.incarnation,
        'digest': row.digest,
    }
    if row.answer is not None:
        content['answer'] = {
            'status': row.answer.status,
            'headers': row.answer.headers,
            'body': base64.b64encode(row.answer.body).decode(),
        }
    return content


def row_from_table(row: TableRow) -> Row:
    """Convert a table row to a claim row.

    :returns: the claim row; its version is 0 if the table has none.
    """
    content = row.content
    if content is None:
        return Row()
    encoded = content.get('answer')
    answer = None
    if encoded is not None:
        body = base64.b64decode(encoded['body'])
        answer = Answer(encoded['status'], encoded['headers'], body)
    return Row(
        row.version,
        RowState(content['state']),
        content['attempt'],
        content['holder'],
        content['incarnation'],
        content['digest'],
        answer,
    )


class ClaimDriver:
    """Connect a claim manager to the store; queued writes are batched.

    :param pending: writes that wait for the next transaction.
    """

    __slots__ = (
        'greenlets',
        'manager',
        'metrics',
        'on_outcome',
        'pending',
        'store',
        'wake',
    )

    def __init__(
        self,
        manager: ClaimManager,
        store: StoreClient,
        metrics: Metrics,
        on_outcome: Callable[
            [
                claimmessages.DispatchAttempt
                | claimmessages.Reply
                | claimmessages.Reject
            ],
            None,
        ],
    ) -> None:
        """Create a driver for ``manager``.

        :param on_outcome: receives the outcomes other than reads and writes.
        """
        self.manager = manager
        self.store = store
        self.metrics = metrics
        self.on_outcome = on_outcome
        self.pending: list[claimmessages.Write] = []
        self.wake = Event()
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start writing and retrying claims."""
        self.greenlets = [
            spawn_loop('claim writes', self.write_loop),
            spawn_loop('claim retries', self.retry_loop),
        ]

    def close(self) -> None:
        """Stop writing; unsettled claims remain as they are in the store."""
        gevent.killall(self.greenlets, block=False)

    def handle(self, message: claimmessages.Message) -> None:
        """Pass a message to the claim manager and perform its outcomes.

        Claims need no clock, so the time that is passed is always 0.
        """
        for outcome in self.manager.handle(message, 0):
            match outcome:
                case claimmessages.Write():
                    self.pending.append(outcome)
                    self.wake.set()
                case claimmessages.Read(key):
                    gevent.spawn(self.read, key)
                case _:
                    self.on_outcome(outcome)

    def read(self, key: str) -> None:
        """Read a claim row and report it to the claim manager."""
        try:
            row = self.store.read(CLAIM_TABLE, key)
        except StoreError:
            self.handle(claimmessages.StoreUnavailable(key))
            return
        self.handle(claimmessages.RowRead(key, row_from_table(row)))

    def retry_loop(self) -> None:
        """Periodically retry unsettled claims."""
        while True:
            gevent.sleep(RETRY_INTERVAL_S)
            self.handle(claimmessages.RetryDue())

    def write_loop(self) -> None:
        """Write pending rows in transactions of at most ``MAX_BATCH_ROWS``."""
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.pending:
                batch = self.pending[:MAX_BATCH_ROWS]
                self.pending = self.pending[MAX_BATCH_ROWS:]
                self.write(batch)

    def write(self, batch: list[claimmessages.Write]) -> None:
        """Write a batch and report each row's outcome to the claim manager."""
        puts = [
            Put(
                CLAIM_TABLE,
                write.key,
                write.expected_version,
                row_to_content(write.row),
            )
            for write in batch
        ]
        self.metrics.count('claim_transactions')
        self.metrics.count('claim_writes', len(batch))
        outcome = self.store.transact(puts)
        if isinstance(outcome, VersionConflict):
            self.handle_conflict(batch, outcome)
            return
        for write in batch:
            self.handle(to_message(write.key, outcome))

    def handle_conflict(
        self, batch: list[claimmessages.Write], conflict: VersionConflict
    ) -> None:
        """Report the rows that conflict and queue the other writes again."""
        unaffected = [
            write for write in batch if write.key not in conflict.rows
        ]
        self.pending = [*unaffected, *self.pending]
        self.wake.set()
        for key, row in conflict.rows.items():
            self.handle(claimmessages.WriteConflict(key, row_from_table(row)))


def to_message(key: str, outcome: WriteOutcome) -> claimmessages.Message:
    """Convert the outcome of a write to a message for the claim manager.

    :returns: the message for one key.
    """
    match outcome:
        case Written(versions):
            return claimmessages.RowWritten(key, versions[key])
        case Unavailable():
            return claimmessages.StoreUnavailable(key)
        case Ambiguous():
            return claimmessages.WriteUnconfirmed(key)
    return claimmessages.WriteUnconfirmed(key)
