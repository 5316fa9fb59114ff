"""Test a table watch while its store is unreachable, stale or lacks history.

A store may also stop answering a long poll without closing the connection.
"""

import gevent
import gevent.event

from comfreyarch_core.tabletracker import TableRow, TableState
from comfreyarch_daemon import tablewatch
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.tablesource import HistoryGone, StoreCallFailed
from comfreyarch_daemon.tablewatch import TableWatch


class ScriptEnded(gevent.GreenletExit):
    """End the watch after the last scripted answer."""


class ScriptedTable:
    """Return scripted answers in order; raise those that are exceptions."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def next_answer(self, call):
        """Record a call and return the next answer."""
        self.calls.append(call)
        if not self.answers:
            raise ScriptEnded
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def read(self):
        """Read the whole table."""
        return self.next_answer('read')

    def changes(self, after, wait_s):
        """Wait for changes."""
        return self.next_answer((after, wait_s))

    def close(self):
        """Do nothing."""


class RecordingListener:
    """Record the changes and outages that a watch reports."""

    def __init__(self):
        self.recorded = []

    def apply_change(self, change):
        """Record the keys of changed and removed rows."""
        rows = [row.key for row in change.rows]
        self.recorded.append((rows, list(change.removed)))

    def store_lost(self):
        """Record the start of an outage."""
        self.recorded.append('lost')

    def store_back(self):
        """Record the end of an outage."""
        self.recorded.append('back')


def run(monkeypatch, *answers):
    """Run a watch through scripted answers, without pauses.

    :returns: the script and what the listener recorded.
    """
    for name in ('FIRST_RETRY_S', 'LONGEST_RETRY_S', 'STALE_RETRY_S'):
        monkeypatch.setattr(tablewatch, name, 0)
    monkeypatch.setattr(tablewatch, 'COALESCE_PAUSE_S', 0)
    script = ScriptedTable(*answers)
    listener = RecordingListener()
    watch = TableWatch('t', script, listener, EventLog('n', 2), Metrics())
    watch.retry_s = 0
    watch.start()
    watch.worker.join(20)
    return script, listener.recorded


def state(version, *rows):
    """Build a table state from rows of (key, version, is removed)."""
    table_rows = tuple(
        TableRow(key, b'', row_version, is_removed)
        for key, row_version, is_removed in rows
    )
    return TableState(table_rows, version)


ROW_A = ('a', 1, False)


class UnresponsiveTable(ScriptedTable):
    """Leave the first call for changes unanswered until it is closed."""

    def __init__(self, *answers):
        super().__init__(*answers)
        self.closed = gevent.event.Event()
        self.waiting = gevent.event.Event()

    def changes(self, after, wait_s):
        """Block until closed, then answer from the script."""
        if not self.closed.is_set():
            self.waiting.set()
            self.closed.wait()
            raise StoreCallFailed('closed')
        return self.next_answer((after, wait_s))

    def close(self):
        """End the blocked call."""
        self.closed.set()


def test_a_call_that_is_never_answered_ends_when_a_peer_knows_more():
    script = UnresponsiveTable(state(5, ROW_A), state(9, ('b', 9, False)))
    listener = RecordingListener()
    watch = TableWatch('t', script, listener, EventLog('n', 2), Metrics())
    watch.start()
    assert script.waiting.wait(20)
    watch.interrupt(5)
    assert not script.closed.is_set()
    watch.interrupt(9)
    watch.worker.join(20)
    assert listener.recorded == [(['a'], []), (['b'], [])]


def test_read_then_follow(monkeypatch):
    script, recorded = run(
        monkeypatch,
        state(5, ROW_A),
        state(6, ('b', 6, False)),
        state(9),
    )
    assert recorded == [(['a'], []), (['b'], [])]
    assert [call[0] for call in script.calls[1:]] == [5, 6, 9]


def test_a_store_that_was_away_is_asked_for_a_quick_answer(monkeypatch):
    script, recorded = run(
        monkeypatch,
        state(5, ROW_A),
        StoreCallFailed('x'),
        StoreCallFailed('x'),
        state(5),
    )
    assert recorded == [(['a'], []), 'lost', 'back']
    waits = [call[1] for call in script.calls[1:]]
    assert waits[0] == tablewatch.POLL_TIMEOUT_S
    assert waits[1] == waits[2] == tablewatch.PROBE_TIMEOUT_S
    assert waits[3] == tablewatch.POLL_TIMEOUT_S


def test_lost_history_means_reading_anew(monkeypatch):
    script, recorded = run(
        monkeypatch,
        state(5, ROW_A),
        HistoryGone('x'),
        state(8, ('b', 7, False)),
    )
    assert recorded[1] == (['b'], ['a'])
    assert script.calls[2] == 'read'


def test_a_stale_reading_changes_nothing(monkeypatch):
    _, recorded = run(
        monkeypatch,
        state(5, ROW_A),
        HistoryGone('x'),
        state(3),
        state(6, ROW_A),
    )
    assert recorded == [(['a'], []), ([], [])]


def test_a_start_without_the_store(monkeypatch):
    script, recorded = run(
        monkeypatch, StoreCallFailed('x'), StoreCallFailed('x'), state(5, ROW_A)
    )
    assert recorded == ['lost', 'back', (['a'], [])]
    assert script.calls[:3] == ['read'] * 3


# Fails if all nodes repeat calls to a store in step after an outage.
def test_nodes_draw_different_pauses():
    draws = set()
    for node in ('entry-1', 'entry-2'):
        watch = TableWatch(
            't', ScriptedTable(), RecordingListener(), EventLog(node), Metrics()
        )
        draws.add(watch.jitter_source.random())
    assert len(draws) == 2
