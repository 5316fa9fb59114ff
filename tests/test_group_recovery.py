"""Test how soon the ranks of a group that starts have one leader."""

import random

import gevent
import pytest
from direct_world import RecordingLog
from group_world import GroupWorld, address_of

from comfreyarch_daemon.peerlookup import PeerLookup
from comfreyarch_daemon.rankdatagrams import LEAD, STATE

SIZE = 72


def register_all(world):
    """Write the rows that the sidecars had before they stopped."""
    for rank in range(world.size):
        world.rows[f'g/{rank}'] = address_of(rank)


# Fails if a new leader announces itself only to the ranks that it has heard of: the
# others learn of it from the store, one after another, when they claim its place.
@pytest.mark.parametrize('former', ['', address_of(0), address_of(40)])
@pytest.mark.parametrize('registered', [True, False])
def test_all_ranks_learn_of_the_first_leader(monkeypatch, former, registered):
    world = GroupWorld(SIZE, monkeypatch, former)
    if registered:
        register_all(world)
    world.start_all()
    world.run(6)
    led = world.events('lead')
    assert len(led) == 1
    assert led[0][0] - 1000 < 1
    learned = world.events('leader')
    assert len(learned) == SIZE - 1
    assert learned[-1][0] - led[0][0] < 0.1
    # The ranks that claimed before they heard the leader.
    assert world.store_calls['row'] <= 6


# Fails if the ranks of a new leader report to it only after their next interval: it
# then has the states and counts of all ranks more than 2 s after the start.
@pytest.mark.parametrize('lost_share', [0, 0.02])
def test_a_map_is_planned_soon_after_the_start(monkeypatch, lost_share):
    world = GroupWorld(SIZE, monkeypatch, address_of(40))
    register_all(world)
    source = random.Random(1)
    world.lose = lambda *_: source.random() < lost_share
    world.start_all()
    world.run(4)
    assert world.events('map_planned')[0][0] - 1000 < 2


# Fails if all ranks claim leadership at once when their engines form a group long
# after the sidecars started.
def test_a_group_that_forms_late_is_led_by_its_lowest_rank(monkeypatch):
    world = GroupWorld(SIZE, monkeypatch, address_of(40))
    register_all(world)
    read_state = world.read_state
    monkeypatch.setattr(
        world,
        'read_state',
        lambda rank: read_state(rank) if world.clock.now > 1005 else None,
    )
    world.start_all()
    world.run(8)
    led = world.events('lead')
    assert [rank for _, rank in led] == [0]
    assert led[0][0] < 1006
    assert world.store_calls['row'] <= 6


# Fails if one lost datagram makes a rank claim the place of a leader that lives.
def test_a_lost_contact_makes_no_second_leader(monkeypatch):
    world = GroupWorld(SIZE, monkeypatch)
    for rank in range(1, SIZE):
        world.start(rank)
    lost = set()

    def lose(tag, sender, receiver):
        is_first = tag == STATE and (sender, receiver) not in lost
        lost.add((sender, receiver))
        # The leader cannot announce itself to ranks that it does not know.
        return is_first

    world.lose = lose
    monkeypatch.setattr(world, 'members', dict)
    world.run(12)
    assert len(world.events('lead')) == 1


# Fails if the loss of announcements to a few ranks brings up another leader.
def test_ranks_that_miss_announcements_ask_the_leader(monkeypatch):
    world = GroupWorld(SIZE, monkeypatch)
    register_all(world)
    world.start_all()
    missed = {}

    def lose(tag, _sender, receiver):
        if tag != LEAD or receiver % 8:
            return False
        missed[receiver] = missed.get(receiver, 0) + 1
        return missed[receiver] <= 4

    world.lose = lose
    world.run(12)
    assert len(world.events('lead')) == 1


# Fails if the recovery of a group costs more calls to the store than before: each
# rank read the leader's row and looked up the others once or twice.
def test_a_start_costs_few_store_calls(monkeypatch):
    world = GroupWorld(SIZE, monkeypatch, address_of(40))
    register_all(world)
    world.start_all()
    world.run(15)
    calls = world.store_calls
    assert calls['join'] == SIZE
    assert calls['members'] <= 2 * SIZE
    assert calls['row'] + calls['claim'] <= 10


# Fails if a leader that is frozen for a moment, or whose engine does not answer, is
# not found by a rank that starts.
def test_a_leader_whose_engine_is_lost_answers_a_contact(monkeypatch):
    world = GroupWorld(8, monkeypatch)
    world.start_all()
    world.run(2)
    leader = world.nodes[world.events('lead')[0][1]]
    leader.agent.state = None
    leader.handle_state(
        ['state', '5', 10**9, *state_fields(world, 5)], '10.0.0.55:1'
    )
    assert leader.addresses[5] == '10.0.0.55:1'


def state_fields(world, rank):
    """Encode the fields of an engine's state."""
    state = world.read_state(rank)
    return [getattr(state, name) for name in state.__dataclass_fields__]


class SlowDirectory:
    """Stand in for the table of sidecars over one connection."""

    def __init__(self):
        self.is_busy = False
        self.calls = 0

    def call(self):
        """Take a while, in which no other call may begin."""
        assert not self.is_busy
        self.is_busy = True
        gevent.sleep(0.01)
        self.is_busy = False
        self.calls += 1

    def join(self, _node, _address):
        """Write a row."""
        self.call()

    def members(self):
        """Read the rows."""
        self.call()
        return {'g/1': address_of(1)}


# Fails if a new leader's lookup uses the connection on which its sidecar registers:
# the answers of both calls are then mixed up.
def test_a_lookup_waits_for_the_registration(monkeypatch):
    own_state = GroupWorld(2, monkeypatch).read_state(0)
    monkeypatch.undo()
    directory = SlowDirectory()
    addresses = {0: address_of(0)}
    lookup = PeerLookup(
        directory, address_of(0), addresses, lambda: own_state, RecordingLog()
    )
    found = []
    # Tests on a virtual clock leave the loop's time behind.
    gevent.get_hub().loop.update_now()
    calls = [
        gevent.spawn(lookup.register, own_state),
        gevent.spawn(
            lookup.look_up_for_term, own_state, lambda: found.append(1)
        ),
    ]
    gevent.joinall(calls, timeout=5, raise_error=True)
    assert directory.calls == 2
    assert found == [1]
