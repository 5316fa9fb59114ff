"""Test that datagrams are counted where they are sent and received."""

import cbor2
import pytest
from direct_world import RecordingLog

from comfreyarch_core.datagramcounts import make_datagram_counts
from comfreyarch_daemon.datagrams import Datagrams


def test_a_summary_holds_what_was_counted_since_the_last_one():
    counts = make_datagram_counts()
    counts.add('state', 100)
    counts.add('state', 50)
    counts.add('order', 7)
    assert counts.take_summary() == {'state': [2, 150], 'order': [1, 7]}
    assert counts.take_summary() == {}


def test_only_messages_of_known_tags_are_counted_as_received():
    datagrams = Datagrams('127.0.0.1:0', RecordingLog())
    try:
        datagrams.handlers['a'] = lambda _message, _address: None
        encoded = cbor2.dumps(['a', 1])
        datagrams.dispatch(encoded, '127.0.0.1:1')
        with pytest.raises(ValueError, match='no handler'):
            datagrams.dispatch(cbor2.dumps(['b']), '127.0.0.1:1')
        assert datagrams.received.take_summary() == {'a': [1, len(encoded)]}
    finally:
        datagrams.close()
