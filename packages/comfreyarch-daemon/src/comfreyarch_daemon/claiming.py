"""Carry the claim desk's reads and writes to the platform's table."""

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
    Clash,
    Put,
    StoreClient,
    StoreError,
    TableRow,
    Unavailable,
    WriteOutcome,
    Written,
)

CLAIM_TABLE = 'claims'
BATCH = 32
AGAIN_S = 0.5


def row_to_content(row: Row) -> dict[str, Any]:
    """Turn a claim row into the table's content.

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
    """Read a claim row.

    :returns: the row; version 0 where there is none.
    """
    content = row.content
    if content is None:
        return Row()
    raw = content.get('answer')
    answer = None
    if raw is not None:
        body = base64.b64decode(raw['body'])
        answer = Answer(raw['status'], raw['headers'], body)
    return Row(
        row.version,
        RowState(content['state']),
        content['attempt'],
        content['holder'],
        content['incarnation'],
        content['digest'],
        answer,
    )


class Claiming:
    """Drive one claim desk; writes that wait share a transaction."""

    __slots__ = (
        'act',
        'manager',
        'greenlets',
        'metrics',
        'pending',
        'store',
        'wake',
    )

    def __init__(
        self,
        manager: ClaimManager,
        store: StoreClient,
        metrics: Metrics,
        act: Callable[
            [
                claimmessages.DispatchAttempt
                | claimmessages.Reply
                | claimmessages.Reject
            ],
            None,
        ],
    ) -> None:
        """Prepare to drive ``desk``.

        :param act: takes the outcomes that are not the store's.
        """
        self.manager = manager
        self.store = store
        self.metrics = metrics
        self.act = act
        self.pending: list[claimmessages.Write] = []
        self.wake = Event()
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start writing."""
        self.greenlets = [
            gevent.spawn(self.write_loop),
            gevent.spawn(self.again_loop),
        ]

    def close(self) -> None:
        """Stop writing; unsettled claims stay as they are."""
        gevent.killall(self.greenlets, block=False)

    def handle(self, message: claimmessages.Message) -> None:
        """Give the desk a message and carry out what it decides."""
        for outcome in self.manager.handle(message, 0):
            match outcome:
                case claimmessages.Write():
                    self.pending.append(outcome)
                    self.wake.set()
                case claimmessages.Read(key):
                    gevent.spawn(self.read, key)
                case _:
                    self.act(outcome)

    def read(self, key: str) -> None:
        """Read a claim row."""
        try:
            row = self.store.read(CLAIM_TABLE, key)
        except StoreError:
            self.handle(claimmessages.StoreUnavailable(key))
            return
        self.handle(claimmessages.RowRead(key, row_from_table(row)))

    def again_loop(self) -> None:
        """Let unsettled claims be tried again."""
        while True:
            gevent.sleep(AGAIN_S)
            self.handle(claimmessages.RetryDue())

    def write_loop(self) -> None:
        """Write whatever waits, as one transaction."""
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.pending:
                batch = self.pending[:BATCH]
                self.pending = self.pending[BATCH:]
                self.write(batch)

    def write(self, batch: list[claimmessages.Write]) -> None:
        """Write a batch and tell the desk of each row."""
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
        if isinstance(outcome, Clash):
            self.clashed(batch, outcome)
            return
        for write in batch:
            self.handle(to_message(write.key, outcome))

    def clashed(self, batch: list[claimmessages.Write], clash: Clash) -> None:
        """Tell the desk of the rows that clashed, write the rest again."""
        rest = [write for write in batch if write.key not in clash.rows]
        self.pending = [*rest, *self.pending]
        self.wake.set()
        for key, row in clash.rows.items():
            self.handle(claimmessages.WriteConflict(key, row_from_table(row)))


def to_message(key: str, outcome: WriteOutcome) -> claimmessages.Message:
    """Turn a write's outcome into the desk's message.

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
