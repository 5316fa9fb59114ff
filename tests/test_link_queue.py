"""Test in which order and how fast datagrams are passed to a link."""

import math
import random

import pytest
from direct_world import RecordingLog
from gevent.event import Event

from comfreyarch_core.linkqueue import (
    LINK_SHARE,
    MAX_BACKLOG_S,
    MAX_LEAD_S,
    Datagram,
    SendPolicy,
    Urgency,
    make_link_queue,
)
from comfreyarch_core.reportpacing import DATAGRAM_OVERHEAD_BYTES
from comfreyarch_daemon import (
    directnode,
    healthmessages,
    limitmessages,
    loadgossip,
    rankdatagrams,
    sendpolicies,
    tablerelay,
)
from comfreyarch_daemon.datagrams import Datagrams

LINK_BYTES_PER_S = 100_000 / LINK_SHARE


def make_datagram(tag, size_bytes=1000, address='a', **policy):
    """Create a datagram that takes a number of bytes on the link."""
    fields = {'urgency': Urgency.state, 'max_wait_s': 10.0, **policy}
    fields.setdefault('is_superseded', False)
    encoded = bytes(size_bytes - DATAGRAM_OVERHEAD_BYTES)
    return Datagram(tag, encoded, address, SendPolicy(**fields))


def send_all(queue, now):
    """Run the queue until nothing waits; return the times and tags."""
    sent = []
    while queue.waiting_bytes:
        now = max(now, queue.next_due_at())
        sent += [(now, datagram.tag) for datagram in queue.take_due(now)]
    return sent


def test_datagrams_are_sent_no_faster_than_the_link_takes_them():
    queue = make_link_queue(LINK_BYTES_PER_S)
    sent = [
        (5.0, datagram.tag)
        for number in range(20)
        for datagram in queue.offer(make_datagram(str(number)), 5.0)
    ]
    sent += send_all(queue, 5.0)
    assert [tag for _, tag in sent] == [str(number) for number in range(20)]
    for number, (at, _) in enumerate(sent):
        assert at == pytest.approx(
            max(5.0, 5.0 + number * 0.01 - MAX_LEAD_S), abs=1e-6
        )


def test_urgent_datagrams_overtake_those_that_wait():
    queue = make_link_queue(LINK_BYTES_PER_S)
    for tag in ('first', 'map', 'other map'):
        queue.offer(make_datagram(tag, urgency=Urgency.bulk), 0)
    queue.offer(make_datagram('state'), 0)
    queue.offer(make_datagram('order', urgency=Urgency.control), 0)
    sent = [tag for _, tag in send_all(queue, 0)]
    assert sent == ['order', 'state', 'map', 'other map']


def test_a_newer_datagram_takes_the_place_of_an_older_one_to_the_same_address():
    queue = make_link_queue(LINK_BYTES_PER_S)
    queue.offer(make_datagram('first'), 0)
    for size_bytes in (500, 700, 900):
        queue.offer(make_datagram('s', size_bytes, is_superseded=True), 0)
    queue.offer(make_datagram('s', 400, 'b', is_superseded=True), 0)
    assert queue.waiting_bytes == 1300
    assert len(send_all(queue, 0)) == 2


def test_outdated_datagrams_are_dropped_and_counted():
    queue = make_link_queue(LINK_BYTES_PER_S)
    queue.offer(make_datagram('first', 50_000), 0)
    queue.offer(make_datagram('old', max_wait_s=0.3), 0)
    queue.offer(make_datagram('valid'), 0)
    assert [tag for _, tag in send_all(queue, 0)] == ['valid']
    assert queue.take_dropped() == {'old': 1}
    assert queue.take_dropped() == {}


def test_what_waits_is_bounded_and_the_least_urgent_is_dropped_first():
    queue = make_link_queue(LINK_BYTES_PER_S)
    for _ in range(300):
        queue.offer(make_datagram('map', urgency=Urgency.bulk), 0)
        queue.offer(make_datagram('state'), 0)
    assert queue.waiting_bytes <= MAX_BACKLOG_S * queue.bytes_per_s
    assert set(queue.take_dropped()) == {'map', 'state'}
    assert {tag for _, tag in send_all(queue, 0)} == {'state'}


def test_a_datagram_larger_than_the_bound_is_sent_by_an_idle_link():
    queue = make_link_queue(1000)
    assert len(queue.offer(make_datagram('large', 60_000), 0)) == 1


def test_without_a_known_capacity_nothing_waits():
    queue = make_link_queue(0)
    for _ in range(100):
        assert len(queue.offer(make_datagram('any', 60_000), 0)) == 1
    assert queue.next_due_at() == math.inf
    assert queue.backlog_s(0) == 0


# Fails if a node that stops keeps back what others need to know of it.
def test_a_node_that_stops_sends_what_is_urgent_and_not_outdated():
    queue = make_link_queue(LINK_BYTES_PER_S)
    queue.offer(make_datagram('first', 50_000), 0)
    queue.offer(make_datagram('old', max_wait_s=0.3), 0)
    queue.offer(make_datagram('map', urgency=Urgency.bulk), 0)
    queue.offer(make_datagram('state'), 0.4)
    sent = [datagram.tag for datagram in queue.take_urgent(0.5)]
    assert sent == ['state']


@pytest.mark.parametrize('seed', range(20))
def test_no_datagram_is_lost_or_sent_twice(seed):
    source = random.Random(seed)
    queue = make_link_queue(LINK_BYTES_PER_S)
    now, sent, offered = 0.0, [], 0
    for number in range(300):
        now += source.uniform(0, 0.02)
        datagram = make_datagram(
            str(number),
            source.randrange(40, 1500),
            urgency=source.choice(list(Urgency)),
            max_wait_s=source.choice([0.05, 10.0]),
        )
        sent += [due.tag for due in queue.offer(datagram, now)]
        sent += [due.tag for due in queue.take_due(now)]
        offered += 1
    sent += [tag for _, tag in send_all(queue, now)]
    assert len(sent) == len(set(sent))
    assert len(sent) + sum(queue.take_dropped().values()) == offered


# Fails if a link with room for one datagram can lose what a node sends to it.
@pytest.mark.parametrize('seed', range(20))
def test_a_link_never_holds_much_more_than_one_datagram(seed):
    source = random.Random(seed)
    queue = make_link_queue(LINK_BYTES_PER_S)
    largest, now, held, checked_at = 16_384, 0.0, 0.0, 0.0
    for number in range(500):
        now += source.choice([0, 0, 0.001, 0.3])
        datagram = make_datagram(str(number), source.randrange(40, largest))
        for due in (*queue.offer(datagram, now), *queue.take_due(now)):
            held = max(0.0, held - (now - checked_at) * LINK_BYTES_PER_S)
            held += due.size_bytes
            checked_at = now
            assert held <= largest + MAX_LEAD_S * LINK_BYTES_PER_S


def test_messages_that_wait_are_sent_without_a_further_one():
    received = []
    has_last = Event()

    def receive(message, _address):
        received.append(message[1])
        if message[1] == 7:
            has_last.set()

    log = RecordingLog()
    receiver = Datagrams('127.0.0.1:0', log)
    receiver.handlers['t'] = receive
    receiver.start()
    host, port = receiver.sock.getsockname()
    sender = Datagrams('127.0.0.1:0', log, link_bytes_per_s=50_000)
    sender.start()
    try:
        for number in range(8):
            sender.send(['t', number, bytes(1000)], f'{host}:{port}')
        assert sender.queue.waiting_bytes > 0
        assert has_last.wait(10)
        assert received == list(range(8))
    finally:
        sender.close()
        receiver.close()


# Fails if an address that a faulty node sent, or the table of peers holds, ends the
# worker that sends all that waits.
@pytest.mark.parametrize(
    'address', ['', 'x', 7, '127.0.0.1:99999', '127.0.0.1:y']
)
def test_a_message_to_an_invalid_address_does_not_stop_the_others(address):
    log = RecordingLog()
    datagrams = Datagrams('127.0.0.1:0', log, link_bytes_per_s=50_000)
    try:
        datagrams.send(['t', 0, bytes(1000)], '127.0.0.1:9')
        datagrams.send(['t', 1, bytes(1000)], address)
        assert datagrams.queue.waiting_bytes > 0
        for due in datagrams.queue.take_due(datagrams.queue.next_due_at()):
            datagrams.transmit(due)
        assert [name for name, _ in log.events] == ['datagram_unsent']
    finally:
        datagrams.close()


def test_every_policy_is_that_of_a_tag_in_use():
    """Fails if a tag is renamed, which would leave it the default policy."""
    tags = {
        getattr(module, name)
        for module in (
            directnode,
            healthmessages,
            limitmessages,
            loadgossip,
            rankdatagrams,
            tablerelay,
        )
        for name in dir(module)
        if name.isupper() and isinstance(getattr(module, name), str)
    }
    assert set(sendpolicies.SEND_POLICIES) <= tags
