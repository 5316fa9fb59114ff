"""A watch over a store that is away, slow to return, stale or forgetful."""

import gevent
import gevent.event

from comfreyarch_core.tabletracker import TableRow, TableState
from comfreyarch_daemon import tablewatch
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.tablewatch import HistoryGone, StoreAway, TableWatch


class Done(gevent.GreenletExit):
    """End the watch: the script is over."""


class Script:
    """Answer calls in turn; an exception is raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def take(self, call):
        """Answer one call."""
        self.calls.append(call)
        if not self.answers:
            raise Done
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def read(self):
        """Read the whole table."""
        return self.take('read')

    def changes(self, after, wait_s):
        """Wait for changes."""
        return self.take((after, wait_s))

    def close(self):
        """Do nothing."""


class Listener:
    """Keep what a watch finds."""

    def __init__(self):
        self.found = []

    def changed(self, change):
        """Keep rows and removals."""
        rows = [row.key for row in change.rows]
        self.found.append((rows, list(change.removed)))

    def store_lost(self):
        """Keep it."""
        self.found.append('lost')

    def store_back(self):
        """Keep it."""
        self.found.append('back')


def run(monkeypatch, *answers):
    """Let a watch run through a script."""
    for name in ('FIRST_RETRY_S', 'LONGEST_RETRY_S', 'STALE_RETRY_S'):
        monkeypatch.setattr(tablewatch, name, 0)
    monkeypatch.setattr(tablewatch, 'COALESCE_S', 0)
    script = Script(*answers)
    listener = Listener()
    watch = TableWatch('t', script, listener, EventLog('n', 2), Metrics())
    watch.retry_s = 0
    watch.start()
    watch.worker.join(20)
    return script, listener.found


def state(version, *rows):
    """Make an answer from (key, version, removed)."""
    made = tuple(TableRow(key, b'', at, gone) for key, at, gone in rows)
    return TableState(made, version)


A1 = ('a', 1, False)


class Hanging(Script):
    """Never answer a call for changes until it is closed."""

    def __init__(self, *answers):
        super().__init__(*answers)
        self.closed = gevent.event.Event()
        self.waits = gevent.event.Event()

    def changes(self, after, wait_s):
        """Hang, once."""
        if not self.closed.is_set():
            self.waits.set()
            self.closed.wait()
            raise StoreAway('closed')
        return self.take((after, wait_s))

    def close(self):
        """End the call."""
        self.closed.set()


def test_a_call_that_is_never_answered_ends_when_a_peer_knows_more():
    script = Hanging(state(5, A1), state(9, ('b', 9, False)))
    listener = Listener()
    watch = TableWatch('t', script, listener, EventLog('n', 2), Metrics())
    watch.start()
    assert script.waits.wait(20)
    watch.poke(5)
    assert not script.closed.is_set()
    watch.poke(9)
    watch.worker.join(20)
    assert listener.found == [(['a'], []), (['b'], [])]


def test_read_then_follow(monkeypatch):
    script, found = run(
        monkeypatch,
        state(5, A1),
        state(6, ('b', 6, False)),
        state(9),
    )
    assert found == [(['a'], []), (['b'], [])]
    assert [call[0] for call in script.calls[1:]] == [5, 6, 9]


def test_a_store_that_was_away_is_asked_for_a_quick_answer(monkeypatch):
    script, found = run(
        monkeypatch,
        state(5, A1),
        StoreAway('x'),
        StoreAway('x'),
        state(5),
    )
    assert found == [(['a'], []), 'lost', 'back']
    waits = [call[1] for call in script.calls[1:]]
    assert waits[0] == tablewatch.WAIT_S
    assert waits[1] == waits[2] == tablewatch.PROBE_WAIT_S
    assert waits[3] == tablewatch.WAIT_S


def test_lost_history_means_reading_anew(monkeypatch):
    script, found = run(
        monkeypatch,
        state(5, A1),
        HistoryGone('x'),
        state(8, ('b', 7, False)),
    )
    assert found[1] == (['b'], ['a'])
    assert script.calls[2] == 'read'


def test_a_stale_reading_changes_nothing(monkeypatch):
    _, found = run(
        monkeypatch,
        state(5, A1),
        HistoryGone('x'),
        state(3),
        state(6, A1),
    )
    assert found == [(['a'], []), ([], [])]


def test_a_start_without_the_store(monkeypatch):
    script, found = run(
        monkeypatch, StoreAway('x'), StoreAway('x'), state(5, A1)
    )
    assert found == ['lost', 'back', (['a'], [])]
    assert script.calls[:3] == ['read'] * 3
