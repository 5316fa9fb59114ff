"""Test what an entry learns from the loads that other entries send."""

import pytest
from direct_world import RecordingLog

from comfreyarch_core.fleetload import EntryLoad, make_fleet_load
from comfreyarch_core.tablefreshness import Confirmation
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.loadgossip import (
    LoadGossip,
    decode_load,
    encode_load,
)


@pytest.fixture
def gossip():
    """Create the exchange of an entry that is not started."""
    log = RecordingLog()
    datagrams = Datagrams('127.0.0.1:0', log)
    yield LoadGossip(
        'own',
        datagrams,
        make_fleet_load(),
        lambda: ({}, {}),
        lambda: None,
        log,
    )
    datagrams.close()


# Fails if entries that start after the last listing are not counted, so that all
# entries together use more than the retry budget.
def test_entries_are_counted_as_soon_as_they_send_their_load(gossip):
    assert gossip.count_entries() is None
    gossip.add_members({'own': 'a:1', 'one': 'a:2'})
    assert gossip.count_entries() == 2
    for node in ('one', 'two'):
        message = encode_load(EntryLoad(node, 1, 1, {}))
        gossip.receive_load(message, 'a:3')
    assert gossip.count_entries() == 3


def test_confirmations_pass_between_entries():
    load = EntryLoad('e', 1, 1, {}, {}, {'t': 5}, {'t': Confirmation(5, 0.25)})
    assert decode_load(encode_load(load)) == load


# Fails if an entry drops the load of one of an earlier release.
def test_a_load_without_confirmations_is_read():
    load = EntryLoad('e', 1, 1, {'u': 2}, {}, {'t': 5})
    assert decode_load(encode_load(load)[:7]) == load


@pytest.mark.parametrize('invalid', [['x', 1], [1, -1], [1, float('nan')], [1]])
def test_an_invalid_confirmation_is_refused(invalid):
    message = encode_load(EntryLoad('e', 1, 1, {}))
    message[-1] = {'t': invalid}
    with pytest.raises(ValueError):
        decode_load(message)
