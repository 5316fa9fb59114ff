"""Test that an election goes on after a store call that fails unexpectedly."""

import pytest

from comfreyarch_core.lease import LeaseRow, Tick, WriteFailed, WriteRow
from comfreyarch_daemon.leases import Election


class Candidate:
    """Record the messages."""

    def __init__(self):
        self.messages = []
        self.row = LeaseRow()

    def handle(self, message, _now):
        """Record a message and ask for nothing."""
        self.messages.append(message)
        return []


class FailingStore:
    """Fail each call with an error that the client does not define."""

    def transact(self, _puts):
        """Fail a write."""
        raise KeyError('versions')

    def read(self, _table, _key):
        """Fail a read."""
        raise KeyError('key')


def make_election():
    """Create an election whose store call is in flight."""
    candidate = Candidate()
    election = Election(
        'g',
        candidate,
        FailingStore(),
        lambda _fence: None,
        lambda _fence: None,
        lambda _holder, _fence: None,
    )
    election.request_pending = True
    return election, candidate


def test_a_write_that_fails_unexpectedly_may_have_happened():
    """Guards against an election that never asks the store again."""
    election, candidate = make_election()
    election.write_row(WriteRow(0, LeaseRow()))
    election.tick()
    assert candidate.messages == [WriteFailed(), Tick()]


def test_a_read_that_fails_unexpectedly_is_repeated():
    election, candidate = make_election()
    with pytest.raises(KeyError):
        election.read_row()
    election.tick()
    assert candidate.messages == [Tick()]
