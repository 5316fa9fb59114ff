"""Change the map of groups of up to 384 ranks over slow links.

The leader, its orders and their relays are the product's; engines, links and
time are simulated. Only a group that loses none of its leader's announcements
keeps the leader, and only small orders leave room for them on its link.
"""

import heapq
import math
import random
from dataclasses import replace
from itertools import count

import cbor2
import pytest
from direct_world import RecordingLog

from comfreyarch_core import linkqueue
from comfreyarch_core.enginestate import ArmMap, HoldStep, ReleaseStep
from comfreyarch_core.grouppressure import ServiceLimits
from comfreyarch_core.linkqueue import Datagram, make_link_queue
from comfreyarch_core.mapcontrolmessages import ChangeMap, Tick
from comfreyarch_core.mapplan import first_map
from comfreyarch_core.relaytree import count_rounds, rotate, split_for_relays
from comfreyarch_core.reportpacing import (
    DATAGRAM_OVERHEAD_BYTES,
    compute_count_interval,
    is_announcement_due,
)
from comfreyarch_core.setplanner import MapLimits
from comfreyarch_daemon import mapleader, orderchannel, orderdelivery
from comfreyarch_daemon.groupreports import GroupReports
from comfreyarch_daemon.leadership import LEADER_TIMEOUT_S, MapRules
from comfreyarch_daemon.mapleader import (
    SWITCH_DELAY_S,
    SWITCH_DELAY_UNANSWERED_S,
    MapLeader,
)
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.orderchannel import OrderChannel
from comfreyarch_daemon.rankagent import COUNT_INTERVAL_S, UNANSWERED_WINDOW_S
from comfreyarch_daemon.rankdatagrams import (
    COUNTS,
    LEAD,
    ORDER,
    PACKED_COUNTS,
    RELAY,
    STATE,
    decode_counts,
    decode_order,
    decode_packed_counts,
    decode_state,
    encode_counts,
    encode_state,
)
from comfreyarch_daemon.ranknode import ANNOUNCE_INTERVAL_S
from comfreyarch_daemon.sendpolicies import select_policy
from comfreyarch_daemon.sidecarmessages import (
    READINGS_PER_S,
    ExpertCounts,
    LeaderAnnouncement,
    RankOrder,
    StateReport,
)
from standins.rankgroup import Group

LINK_BYTES_PER_S = 375_000.0
LATENCY_S = 0.0014
# Time that an engine takes to answer its sidecar.
ANSWER_S = 0.005
# Time after which a sidecar gives up an order to its engine.
ORDER_TIMEOUT_S = 0.06
COPY_S = 0.1
PASS_S = 0.1
REPORT_INTERVAL_S = 0.3
COUNTS_BYTES = 1600
SETS = 16
PLACES = 3


class World:
    """Simulate the sidecars, engines and links of one group."""

    def __init__(
        self, size, unanswered_share, monkeypatch, buffer_bytes=math.inf
    ):
        self.size = size
        self.buffer_bytes = buffer_bytes
        self.dropped = 0
        self.unanswered_share = unanswered_share
        self.random = random.Random(size)
        self.now = 1000.0
        self.numbers = count()
        self.events = []
        self.link_free_at = {}
        self.group = Group(size, step=10)
        self.copying = {}
        self.unanswered = {}
        self.unarmed_rank = None
        self.unprepared_rank = None
        self.maps_sent = 0
        self.heard_at = []
        self.announcements = 0
        self.bytes_sent = 0
        for module in (mapleader, orderdelivery):
            monkeypatch.setattr(module, 'boot_time', lambda: self.now)
        monkeypatch.setattr(orderdelivery.gevent, 'spawn', self.spawn)
        self.addresses = {rank: f'10.0.0.{rank}:1' for rank in range(size)}
        self.ranks = {name: rank for rank, name in self.addresses.items()}
        self.log = RecordingLog()
        self.channels = {
            rank: OrderChannel(
                Link(self, rank),
                name,
                self.addresses,
                self.make_executor(rank),
                self.log,
            )
            for rank, name in self.addresses.items()
        }
        limits = MapLimits(2 * size, PLACES, 2)
        self.leader = MapLeader(
            self.read_state(0),
            7,
            MapRules(limits, ServiceLimits(6, 0.15)),
            None,
            self.channels[0],
            lambda address: DirectEngine(self, int(address)),
            self.log,
            Metrics(),
        )

    def spawn(self, function, *arguments):
        """Run a greenlet of the leader at once."""
        self.schedule(0, lambda: function(*arguments))

    def schedule(self, delay_s, action):
        """Run an action later."""
        entry = (self.now + delay_s, next(self.numbers), action)
        heapq.heappush(self.events, entry)

    def send(self, sender, size, action, receiver):
        """Pass a datagram over the links of its sender and its receiver."""
        self.bytes_sent += size
        left_at = self.pass_link(('out', sender), size)
        if left_at is None:
            return

        def arrive():
            received_at = self.pass_link(('in', receiver), size)
            if received_at is not None:
                self.schedule(received_at - self.now, action)

        self.schedule(left_at - self.now + LATENCY_S, arrive)

    def pass_link(self, end, size):
        """Queue a datagram at one end of a link; return when it has passed."""
        size += DATAGRAM_OVERHEAD_BYTES
        free_at = max(self.now, self.link_free_at.get(end, 0))
        queued_bytes = (free_at - self.now) * LINK_BYTES_PER_S
        if queued_bytes + size > self.buffer_bytes:
            self.dropped += 1
            return None
        self.link_free_at[end] = free_at + size / LINK_BYTES_PER_S
        return self.link_free_at[end]

    def read_state(self, rank):
        """Read an engine's state."""
        state = self.group.state(rank)
        unanswered = [
            time
            for time in self.unanswered.get(rank, [])
            if self.now - time < UNANSWERED_WINDOW_S
        ]
        return replace(
            state,
            copying=self.copying.get(rank),
            running=4,
            group='g',
            unanswered=len(unanswered),
        )

    def report(self, rank):
        """Send an engine's state to the leader."""
        number = int(self.now * READINGS_PER_S)
        report = StateReport(str(rank), self.read_state(rank), number)
        if rank == 0:
            self.leader.handle_state(report)
            return
        link = self.channels[rank].datagrams
        link.send(encode_state(report), self.addresses[0])

    def report_counts(self, rank):
        """Send a rank's expert counts to the leader."""
        if rank != 0:
            link = self.channels[rank].datagrams
            link.send_encoded(
                COUNTS,
                cbor2.dumps([COUNTS, bytes(COUNTS_BYTES)]),
                self.addresses[0],
            )

    def make_executor(self, rank):
        """Create the function that takes orders to a rank."""

        def execute(order: RankOrder, leader: str) -> None:
            assert leader == self.addresses[0]
            assert order.rank == rank
            if rank == self.unarmed_rank and isinstance(order.order, ArmMap):
                return
            if rank == self.unprepared_rank:
                return
            if self.random.random() < self.unanswered_share:
                self.unanswered.setdefault(rank, []).append(self.now)
                late_s = self.random.uniform(2, 12)
                self.schedule(late_s, lambda: self.apply(rank, order.order))
                self.schedule(ORDER_TIMEOUT_S, lambda: self.report(rank))
                return
            self.schedule(ANSWER_S, lambda: self.apply(rank, order.order))

        return execute

    def apply(self, rank, order):
        """Execute an order at an engine and report the result."""
        engine = self.group.engines[rank]
        before = engine.prepared
        accepted = self.group.apply_order(rank, order)
        if accepted and engine.prepared != before:
            # The copy takes a while; until then the engine is not prepared.
            prepared, engine.prepared = engine.prepared, before
            self.copying[rank] = prepared[0]
            self.schedule(COPY_S, lambda: self.end_copy(rank, prepared))
        self.report(rank)
        return accepted

    def end_copy(self, rank, prepared):
        """Complete the copy of a prepared map."""
        self.group.engines[rank].prepared = prepared
        self.report(rank)

    def start(self):
        """Start the periodic work of all parts."""
        for rank in range(self.size):
            delay_s = self.random.uniform(0, REPORT_INTERVAL_S)
            self.schedule(
                0 if rank == 0 else delay_s,
                lambda rank=rank: self.repeat(
                    REPORT_INTERVAL_S, lambda: self.report(rank)
                ),
            )
        counts_interval_s = compute_count_interval(
            COUNTS_BYTES, self.size, LINK_BYTES_PER_S, COUNT_INTERVAL_S
        )
        for rank in range(self.size):
            self.schedule(
                self.random.uniform(0, counts_interval_s),
                lambda rank=rank: self.repeat(
                    counts_interval_s, lambda: self.report_counts(rank)
                ),
            )
        self.repeat(0.02, self.tick)
        self.repeat(ANNOUNCE_INTERVAL_S, self.announce)
        self.run_pass()

    def run_pass(self):
        """Run passes of the same time."""
        self.repeat(PASS_S, self.group.start_step)

    def repeat(self, interval_s, action):
        """Run an action periodically."""
        action()
        self.schedule(interval_s, lambda: self.repeat(interval_s, action))

    def tick(self):
        """Advance the leader."""
        self.leader.last_tick_at = self.now
        self.leader.apply_outcomes(self.leader.control.handle(Tick(), self.now))

    def announce(self):
        """Announce the leader."""
        announcement = LeaderAnnouncement('g', 7, 'n')
        self.channels[0].announce(announcement, self.announcements)
        self.announcements += 1

    def hear(self, rank):
        """Record an announcement at the rank that claims first."""
        if rank == 1:
            self.heard_at.append(self.now)

    def run(self, seconds):
        """Run all events of the next seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
            assert not self.group.violation
        self.now = end

    def change(self, timeout_s):
        """Change the map; return the result and the time that it took."""
        content = make_content(self.size, self.random)
        started_at = self.now
        change = ChangeMap(
            content,
            self.leader.compute_steps_ahead(SWITCH_DELAY_S),
            self.leader.compute_steps_ahead(SWITCH_DELAY_UNANSWERED_S),
        )
        self.leader.control.content = first_map(SETS, 2 * self.size, self.size)
        self.leader.apply_outcomes(self.leader.control.handle(change, self.now))
        while self.now - started_at < timeout_s:
            self.run(0.02)
            settled = [
                fields
                for name, fields in self.log.events
                if name == 'map_settled'
            ]
            if settled:
                return settled[0]['why'], self.now - started_at
        return 'timeout', timeout_s

    def longest_silence_s(self):
        """Return the longest time without an announcement at rank 1."""
        pairs = zip(self.heard_at, self.heard_at[1:], strict=False)
        gaps = [later - earlier for earlier, later in pairs]
        return max([*gaps, self.now - self.heard_at[-1]])


class Link:
    """Stand in for a sidecar's datagram socket, with the product's queue."""

    def __init__(self, world, rank):
        self.world = world
        self.rank = rank
        self.queue = make_link_queue(LINK_BYTES_PER_S)
        self.wakes_at = math.inf

    def backlog_s(self):
        """Return the time until all messages so far have left."""
        return self.queue.backlog_s(self.world.now)

    def transfer_s(self, size_bytes):
        """Return the time in which the link takes a message."""
        return self.queue.transfer_s(size_bytes)

    def send(self, message, address):
        """Send a message over the simulated links when its turn comes."""
        encoded = cbor2.dumps(message)
        self.world.maps_sent += message[0] == RELAY
        self.send_encoded(message[0], encoded, address)
        return len(encoded)

    def send_encoded(self, tag, encoded, address):
        """Send an encoded message over the simulated links."""
        datagram = Datagram(tag, encoded, address, select_policy(tag))
        self.transmit(self.queue.offer(datagram, self.world.now))

    def transmit(self, due):
        """Send the messages that are due, and the next ones later."""
        for datagram in due:
            receiver = self.world.ranks[datagram.address]
            self.world.send(
                self.rank,
                len(datagram.encoded),
                lambda datagram=datagram, receiver=receiver: self.deliver(
                    datagram, receiver
                ),
                receiver,
            )
        next_at = self.queue.next_due_at()
        if next_at < self.wakes_at:
            self.wakes_at = next_at
            self.world.schedule(max(1e-6, next_at - self.world.now), self.wake)

    def wake(self):
        """Send the messages that are due by now."""
        self.wakes_at = math.inf
        self.transmit(self.queue.take_due(self.world.now))

    def deliver(self, datagram, receiver):
        """Pass a message to its receiver."""
        message = cbor2.loads(datagram.encoded)
        channel = self.world.channels[receiver]
        sender = self.world.addresses[self.rank]
        if message[0] == ORDER:
            channel.on_order(decode_order(message), sender)
        elif message[0] == RELAY:
            channel.handle_relayed_order(message, sender)
        elif message[0] == LEAD:
            self.world.hear(receiver)
        elif message[0] == PACKED_COUNTS:
            counts = decode_packed_counts(message)
            self.world.leader.handle_counts(counts)
        elif message[0] == STATE:
            self.world.leader.handle_state(decode_state(message))


class DirectEngine:
    """Stand in for a connection from the leader to another rank's engine."""

    def __init__(self, world, rank):
        self.world = world
        self.rank = rank

    def order(self, order, _epoch, _sequence):
        """Execute a hold or release."""
        assert isinstance(order, HoldStep | ReleaseStep), 'a map sent directly'
        return self.world.group.apply_order(self.rank, order)

    def close(self):
        """Close nothing."""


def make_content(size, source):
    """Create a map in which each rank gets one more expert of each set."""
    base = first_map(SETS, 2 * size, size)
    return tuple(
        tuple((*held, source.randrange(2 * size)) for held in ranks)
        for ranks in base
    )


def make_world(size, unanswered_share, monkeypatch, buffer_bytes=math.inf):
    """Create a group that has been led for two seconds."""
    world = World(size, unanswered_share, monkeypatch, buffer_bytes)
    world.start()
    world.run(2)
    return world


@pytest.mark.parametrize(
    ('size', 'target_s'),
    [(8, 0.5), (63, 0.5), (96, 0.5), (192, 2.0), (384, 2.0)],
)
def test_a_change_settles_and_the_leader_is_heard(size, target_s, monkeypatch):
    """Fails if a change to a map takes the whole link of the leader."""
    world = make_world(size, 0, monkeypatch)
    result, seconds = world.change(5)
    assert result == 'changed'
    assert seconds <= target_s
    assert world.longest_silence_s() < LEADER_TIMEOUT_S


# Fails if maps are sent faster than a link with a small buffer takes them: it drops
# most of each burst, and resends in the same burst reach few further ranks.
@pytest.mark.parametrize('buffer_bytes', [10_000, 16_000, 24_000, 48_000])
@pytest.mark.parametrize('size', [63, 96, 192])
def test_a_change_settles_over_links_that_drop(size, buffer_bytes, monkeypatch):
    world = make_world(size, 0, monkeypatch, buffer_bytes)
    result, seconds = world.change(5)
    assert result == 'changed'
    assert seconds <= (0.5 if size <= 96 else 2)
    assert world.longest_silence_s() < LEADER_TIMEOUT_S


def test_a_change_settles_while_half_of_the_orders_are_unanswered(monkeypatch):
    world = make_world(96, 0.5, monkeypatch)
    result, seconds = world.change(5)
    assert result == 'changed'
    assert seconds <= 3
    assert world.longest_silence_s() < LEADER_TIMEOUT_S


# Fails if a map is sent again while it still waits for a link, which fills the link
# with what is under way already.
@pytest.mark.parametrize('size', [63, 96, 192, 384])
def test_a_map_is_sent_to_each_rank_once(size, monkeypatch):
    world = make_world(size, 0, monkeypatch, 48_000)
    assert world.change(5)[0] == 'changed'
    assert world.maps_sent == size - 1


def test_the_ranks_that_did_not_prepare_a_map_are_logged(monkeypatch):
    world = make_world(96, 0, monkeypatch)
    world.unprepared_rank = 5
    assert world.change(5)[0] == 'not prepared'
    logged = [
        fields for name, fields in world.log.events if name == 'map_unprepared'
    ]
    assert [fields['unreached'] for fields in logged] == [[5]]
    assert logged[0]['copying'] == logged[0]['silent'] == []


# Fails if the maps that end an abandoned change are sent again before they can
# have passed the leader's link, while the whole group waits.
def test_an_abandoned_change_ends_soon_and_the_leader_is_heard(monkeypatch):
    world = make_world(96, 0, monkeypatch)
    world.unarmed_rank = 5
    result, seconds = world.change(5)
    assert result == 'not armed'
    assert seconds <= 3
    assert world.longest_silence_s() < LEADER_TIMEOUT_S


def test_without_relays_the_leader_is_not_heard(monkeypatch):
    """Show that the simulation finds the fault that relays prevent."""
    monkeypatch.setattr(orderchannel, 'MAX_DIRECT_RANKS', 1000)
    monkeypatch.setattr(orderchannel, 'MAX_DIRECT_S', 1000)
    monkeypatch.setattr(linkqueue, 'LINK_SHARE', math.inf)
    world = make_world(192, 0, monkeypatch)
    world.change(2)
    assert world.longest_silence_s() > LEADER_TIMEOUT_S


def test_without_a_queue_a_map_is_lost_on_links_that_drop(monkeypatch):
    """Show that the simulation finds the fault that the queue prevents."""
    monkeypatch.setattr(linkqueue, 'LINK_SHARE', math.inf)
    world = make_world(96, 0, monkeypatch, 10_000)
    _, seconds = world.change(5)
    assert world.dropped > 0
    assert seconds > 0.5


@pytest.mark.parametrize('count', [1, 2, 16, 17, 96, 384])
def test_relays_reach_each_rank_once_in_few_rounds(count):
    reached = []

    def forward(targets, round_number):
        for sends, part in enumerate(split_for_relays(targets), 1):
            assert round_number + sends <= count_rounds(count)
            reached.append(part[0])
            forward(part[1:], round_number + sends)

    forward(list(range(count)), 0)
    assert sorted(reached) == list(range(count))


def test_each_attempt_uses_other_relays():
    ranks = list(range(96))
    relays = [
        {part[0] for part in split_for_relays(rotate(ranks, attempt))[:4]}
        for attempt in range(2)
    ]
    assert not relays[0] & relays[1]


def test_counts_of_a_large_group_leave_most_of_the_link_free():
    interval_s = compute_count_interval(2000, 96, LINK_BYTES_PER_S, 0.4)
    assert 96 * 2000 / interval_s < LINK_BYTES_PER_S / 3
    assert compute_count_interval(2000, 8, LINK_BYTES_PER_S, 0.4) == 0.4
    assert compute_count_interval(2000, 96, 0, 0.4) == 0.4


def test_counts_are_rounded_to_within_half_a_percent_of_the_highest():
    source = random.Random(1)
    counts = tuple(source.randrange(90_000) for _ in range(3072))
    sent = ExpertCounts('g', 1, 1, 0, ((1,),), counts)
    received = decode_counts(encode_counts(sent))
    assert received.experts == sent.experts
    errors = [
        abs(new - old) for new, old in zip(received.counts, counts, strict=True)
    ]
    assert max(errors) <= max(counts) / 128


def test_every_rank_hears_announcements_before_it_would_claim():
    """Fails if a rank that gets few announcements claims leadership."""
    for rank in range(1, 384):
        heard = [n for n in range(200) if is_announcement_due(rank, n)]
        pairs = zip(heard, heard[1:], strict=False)
        gap_s = ANNOUNCE_INTERVAL_S * max(b - a for a, b in pairs)
        # Two announcements in a row may be lost.
        assert 3 * gap_s <= LEADER_TIMEOUT_S + 0.25 * rank


def report_counts(reports, size, counts):
    """Report the same counts from all ranks of a group."""
    for rank in range(size):
        experts = ((rank, rank + size),)
        reports.handle_counts(ExpertCounts('g', rank, 1, 0, experts, counts))


# Fails if a large group waits for new counts of all ranks after a change, or plans
# for the demand of two reports, of which the first may be seconds old.
def test_a_large_group_plans_for_the_last_counts_at_any_time():
    reports = GroupReports(96, 192)
    report_counts(reports, 96, (10,) * 192)
    reports.end_change()
    assert reports.sum_loads(1) == [[960] * 192]
    report_counts(reports, 96, (20,) * 192)
    assert reports.sum_loads(1) == [[1920] * 192]


def test_a_small_group_plans_for_two_counts_since_the_last_change():
    reports = GroupReports(8, 16)
    report_counts(reports, 8, (100,) * 16)
    assert reports.sum_loads(1) is None
    report_counts(reports, 8, (100,) * 16)
    assert reports.sum_loads(1) == [[1600] * 16]
    reports.end_change()
    assert reports.sum_loads(1) is None
