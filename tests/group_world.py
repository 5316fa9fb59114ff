"""Run the sidecars of a rank group on a virtual clock, without network.

Sidecars, their claims, announcements and lookups are the product's; engines,
store and links are small fakes.
"""

from collections import deque
from dataclasses import replace
from pathlib import Path

import cbor2
from direct_world import RecordingLog
from virtual_time import VirtualClock

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.grouppressure import ServiceLimits
from comfreyarch_core.mapplan import first_map
from comfreyarch_core.setplanner import MapLimits
from comfreyarch_daemon import (
    mapleader,
    maprules,
    orderdelivery,
    peerlookup,
    rankagent,
    ranknode,
    silentranks,
    supervision,
)
from comfreyarch_daemon.engineapi import (
    ChosenExperts,
    EngineUnavailable,
    HeldExperts,
)
from comfreyarch_daemon.leadership import LeaderRow, MapRules, Term
from comfreyarch_daemon.ranknode import RankNode
from comfreyarch_daemon.ranksettings import RankAdapter, RankSettings
from standins.rankgroup import Group

LATENCY_S = 0.0014
STORE_S = 0.004
COPY_S = 0.1
MODULES = (
    mapleader,
    maprules,
    orderdelivery,
    peerlookup,
    rankagent,
    ranknode,
    silentranks,
    supervision,
)


class GroupWorld:
    """Hold the sidecars of one group and what they share.

    :param lost_share: share of datagrams that get lost, by tag.
    :param store_calls: number of calls, by kind.
    """

    def __init__(self, size, monkeypatch, former=''):
        self.clock = VirtualClock()
        self.size = size
        self.epoch = 2
        self.is_open = True
        self.step = 10
        self.pass_s = 0.08
        self.started_at = self.clock.now
        self.slow = {}
        self.max_gap_s = 0.12
        self.slots = 5
        self.lose = lambda tag, sender, receiver: False
        self.store_calls = {'row': 0, 'claim': 0, 'join': 0, 'members': 0}
        self.rows = {}
        self.row = LeaderRow(7, (Term(former, 1),)) if former else LeaderRow(0)
        for module in MODULES:
            monkeypatch.setattr(
                module, 'boot_time', self.clock.boot_time, False
            )
            monkeypatch.setattr(module, 'gevent', self.clock, False)
        monkeypatch.setattr(
            ranknode, 'Datagrams', lambda address, *_: FakeLink(self, address)
        )
        monkeypatch.setattr(
            ranknode, 'EventLog', lambda _node: TimedLog(self.clock)
        )
        self.nodes = {}

    def start_all(self):
        """Start the sidecars of all ranks."""
        for rank in range(self.size):
            self.start(rank)

    def start(self, rank):
        """Start the sidecar of a rank."""
        settings = RankSettings(
            str(rank),
            address_of(rank),
            '127.0.0.1:0',
            str(rank),
            's',
            '127.0.0.1:9',
            375_000,
        )
        rules = MapRules(
            MapLimits(2 * self.size, 3, 2),
            ServiceLimits(self.slots, self.max_gap_s),
        )
        node = RankNode(
            RankAdapter(
                read_settings=lambda _path: settings,
                open_engine=lambda address: self.open_engine(
                    rank, int(address)
                ),
                open_leadership=lambda _settings: self,
                open_peers=lambda _settings: self,
                read_map_rules=lambda _settings: rules,
            ),
            Path('unused'),
        )
        self.nodes[rank] = node
        for work in (
            node.agent.run,
            node.peer_lookup.run,
            node.run_leadership,
        ):
            self.clock.spawn_for(rank, rank / 1000, work)

    def open_engine(self, _reader, rank):
        """Open a connection to an engine."""
        return FakeEngine(self, rank)

    def run(self, seconds):
        """Run everything for some seconds."""
        self.clock.run_until(self.clock.now + seconds)

    def call_store(self, kind):
        """Take the time of a call to the store."""
        self.store_calls[kind] += 1
        self.clock.sleep(STORE_S)

    def join(self, node, address):
        """Write a sidecar's row."""
        self.call_store('join')
        self.rows[node] = address

    def members(self):
        """Read the rows of all sidecars."""
        self.call_store('members')
        return dict(self.rows)

    def read(self, _group):
        """Read the leader's row."""
        self.call_store('row')
        return self.row

    def claim(self, _group, term, former):
        """Replace the leader."""
        self.call_store('claim')
        if former.fence != self.row.fence:
            return None
        self.row = LeaderRow(self.row.fence + 1, (term, *self.row.terms))
        return self.row.fence

    def events(self, wanted):
        """List the events of a name, with their time and rank."""
        return sorted(
            (at, rank)
            for rank, node in self.nodes.items()
            for at, (name, _) in zip(
                node.log.times, node.log.events, strict=True
            )
            if name == wanted
        )

    def read_state(self, rank):
        """Read the state of a rank's engine."""
        elapsed_s = self.clock.now - self.started_at
        step = self.step + int(elapsed_s / self.pass_s)
        return EngineState(
            'g',
            self.epoch,
            rank,
            self.size,
            self.is_open,
            step,
            0,
            None,
            None,
            None,
            0,
            self.slow.get(rank, 1),
            4,
        )


class TimedLog(RecordingLog):
    """Record events with their times."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.times = []

    def write(self, event, **fields):
        """Record an event."""
        self.times.append(self.clock.now)
        super().write(event, **fields)


class FakeEngine:
    """Stand in for a connection to an engine without work to do."""

    def __init__(self, world, rank):
        self.world = world
        self.rank = rank

    def state(self):
        """Read the state."""
        return self.world.read_state(self.rank)

    def chosen(self):
        """Read the counts, which grow with time."""
        chosen = int((self.world.clock.now - 900) * 10)
        experts = 2 * self.world.size
        # The experts of the first ranks are in demand.
        return ChosenExperts(
            self.world.epoch,
            tuple(
                chosen * (10 if expert % self.world.size < 4 else 1)
                for expert in range(experts)
            ),
        )

    def held(self):
        """Read the experts."""
        experts = (self.rank, self.rank + self.world.size)
        return HeldExperts(0, (experts,))

    def order(self, _order, _epoch, _sequence):
        """Leave every order unanswered."""
        raise EngineUnavailable('no answer')

    def close(self):
        """Close nothing."""


class FakeLink:
    """Stand in for a sidecar's datagrams."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.handlers = {}
        self.sent = 0

    def send(self, message, address):
        """Send a message."""
        encoded = cbor2.dumps(message)
        self.send_encoded(message[0], encoded, address)
        return len(encoded)

    def send_encoded(self, tag, encoded, address):
        """Send an encoded message."""
        self.sent += 1
        receiver = rank_of(address)
        if not self.world.lose(tag, rank_of(self.address), receiver):
            self.world.clock.spawn_for(
                receiver, LATENCY_S, self.deliver, encoded, receiver
            )

    def deliver(self, encoded, receiver):
        """Pass a message to its receiver, if that is up."""
        node = self.world.nodes.get(receiver)
        if node is not None:
            message = cbor2.loads(encoded)
            node.datagrams.handlers[message[0]](message, self.address)

    def backlog_s(self):
        """Return that nothing waits."""
        return 0

    def transfer_s(self, size_bytes):
        """Return the time in which the link takes a message."""
        return size_bytes / 300_000


class WorkingWorld(GroupWorld):
    """Add engines that execute orders about maps.

    :param direct_orders: number of orders from other instances.
    :param direct_reads: number of readings from other instances.
    """

    def __init__(self, size, monkeypatch, former=''):
        super().__init__(size, monkeypatch, former)
        self.group = Group(size, step=10)
        self.copying = {}
        self.past = {}
        self.direct_orders = 0
        self.direct_reads = 0
        self.stopped_engines = set()
        self.hot = 0
        self.counts = [0] * (2 * size)
        self.base = first_map(1, 2 * size, size)
        self.clock.spawn_for(None, 0, self.run_steps)

    def run_steps(self):
        """Run steps, count choices and keep the past states."""
        while True:
            self.group.start_step()
            assert not self.group.violation
            for expert in range(2 * self.size):
                is_hot = expert % self.size // 4 == self.hot
                self.counts[expert] += 10 if is_hot else 1
            for rank in range(self.size):
                kept = self.past.setdefault(rank, deque(maxlen=5))
                kept.append(self.read_state(rank))
            self.clock.sleep(self.pass_s)

    def read_state(self, rank):
        """Read the state of a rank's engine."""
        return replace(
            self.group.state(rank),
            group='g',
            epoch=self.epoch,
            running=4,
            pace=self.slow.get(rank, 1),
        )

    def open_engine(self, reader, rank):
        """Open a connection to an engine."""
        return WorkingEngine(self, rank, is_own=reader == rank)


class WorkingEngine(FakeEngine):
    """Stand in for a connection to an engine that executes orders.

    Other instances read states that are some passes old.
    """

    def __init__(self, world, rank, is_own):
        super().__init__(world, rank)
        self.is_own = is_own

    def check_running(self):
        """Give no answer if the engine stands still."""
        if self.rank in self.world.stopped_engines:
            raise EngineUnavailable('no answer')

    def state(self):
        """Read the state."""
        self.check_running()
        if self.is_own:
            return super().state()
        self.world.direct_reads += 1
        return self.world.past[self.rank][0]

    def chosen(self):
        """Read the counts."""
        return ChosenExperts(self.world.epoch, tuple(self.world.counts))

    def held(self):
        """Read the experts."""
        engine = self.world.group.engines[self.rank]
        content = engine.content if engine.version else self.world.base
        return HeldExperts(
            engine.version, tuple(ranks[self.rank] for ranks in content)
        )

    def order(self, order, _epoch, _sequence):
        """Execute an order; a map is prepared after its copy."""
        self.check_running()
        self.world.direct_orders += not self.is_own
        engine = self.world.group.engines[self.rank]
        before = engine.prepared
        accepted = self.world.group.apply_order(self.rank, order)
        if accepted and engine.prepared != before:
            prepared, engine.prepared = engine.prepared, before
            self.world.clock.spawn_for(
                None, COPY_S, self.end_copy, engine, prepared
            )
        return accepted

    def end_copy(self, engine, prepared):
        """Complete the copy of a map."""
        if engine.highest_version == prepared[0]:
            engine.prepared = prepared


def address_of(rank):
    """Return the address of a rank's sidecar."""
    return f'10.0.0.{rank}:1'


def rank_of(address):
    """Return the rank of a sidecar's address."""
    return int(address.split(':')[0].rsplit('.', 1)[1])
