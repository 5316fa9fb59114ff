"""Test that bars hold at all entries, before each send, and for operators."""

import json

import cbor2
import gevent
import pytest
from direct_world import RecordingLog, World, answering
from gevent.event import Event
from typer.testing import CliRunner

from comfreyarch_cli.main import app
from comfreyarch_core.commonparts import BAR_SCORE, MIN_ANSWERS
from comfreyarch_core.crashmessages import PeerBar, PeerCrash, Target
from comfreyarch_core.traitbars import BAR_S
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_daemon.crashgossip import BARS, CRASH, LIFTED
from comfreyarch_daemon.datagrams import DECODE_ERRORS
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.monitoringpages import MetricsPage, make_page_server
from comfreyarch_daemon.operatorpages import OperatorPages
from comfreyarch_daemon.sharedcrashguard import SharedCrashGuard
from comfreyarch_daemon.sharedlimits import SharedLimits
from comfreyarch_daemon.upstreamcalls import boot_time

TARGET = Target('s', '/safe/')
BAD = 'part:bad'
WITH_BAD_PART = 'X-Prompt-Prefix: c:1,bad:1,own:1\r\n'
SOUND = 'X-Prompt-Prefix: c:1,d:1,own:1\r\n'
SLOTS = 6


class LocalNetwork:
    """Deliver messages between guards in one process, encoded.

    :param lost: tags of the messages that are lost.
    """

    def __init__(self, count):
        self.links = {}
        self.lost = set()
        for number in range(count):
            self.add(f'e{number}')

    def add(self, address):
        """Add an entry without evidence, in place of a former one."""
        guard = SharedCrashGuard(RecordingLog(), Metrics())
        link = Link(self, address)
        self.links[address] = link, guard
        guard.gossip.share(link, lambda: self.links.keys() - {address})
        return guard

    def guard(self, address):
        """Return the guard of an entry."""
        return self.links[address][1]


class Link:
    """Take the place of the datagrams of one entry."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}

    def send(self, message, address):
        """Deliver a message at once."""
        if message[0] in self.network.lost:
            return
        link, _ = self.network.links[address]
        received = cbor2.loads(cbor2.dumps(message))
        link.handlers[received[0]](received, self.address)


class Holding:
    """Script an upstream that answers once it is told to."""

    def __init__(self):
        self.release = Event()

    def __call__(self, upstream, sock, request):
        """Answer a request after the release."""
        self.release.wait()
        return answering()(upstream, sock, request)


def bar_part(world):
    """Bar the bad part, as another entry has."""
    crash_guard = world.entry.forwarder.crash_guard
    crash_guard.gossip.receive_bars([BARS, [[BAD, 0, BAR_S]]], 'peer')


def crash_part(guard, count):
    """Let the bad part crash some upstreams, after enough answers."""
    for _ in range(MIN_ANSWERS):
        guard.record_answer(TARGET, ('part:c',))
    for number in range(count):
        message = PeerCrash(TARGET, f'v{number}', ('part:c', BAD), 0)
        guard.guard.handle_peer(message, boot_time())


def dead_upstream(number):
    """Describe an upstream at an address where nothing listens."""
    return UpstreamEntry(f'u{number}', 's', '127.0.0.1:1', 'z', 6, False)


def test_a_waiting_request_is_refused_once_its_part_is_barred():
    """Guards against a bar that is checked on arrival only (issue 28)."""
    holding = Holding()
    with World(holding) as world:
        sound = [
            gevent.spawn(world.call, '/safe/x', extra=SOUND)
            for _ in range(SLOTS)
        ]
        while world.runs < SLOTS:
            gevent.sleep(0.01)
        waiting = gevent.spawn(world.call, '/safe/x', extra=WITH_BAD_PART)
        while not world.entry.dispatcher.results:
            gevent.sleep(0.01)
        bar_part(world)
        status, _, body = waiting.get(timeout=1)
        assert status == 503
        document = json.loads(body)
        assert document['error'] == 'crashes_upstreams'
        assert BAD in document['detail']
        holding.release.set()
        assert all(job.get(timeout=5)[0] == 200 for job in sound)
        assert world.runs == SLOTS
        (refusal,) = [
            facts for name, facts in world.log.events if name == 'refused'
        ]
        assert BAD in refusal['why']


def test_an_unanswered_send_is_cancelled_once_its_part_is_barred():
    holding = Holding()
    with World(holding) as world:
        sent = gevent.spawn(world.call, '/safe/x', extra=WITH_BAD_PART)
        while not world.runs:
            gevent.sleep(0.01)
        bar_part(world)
        assert sent.get(timeout=1)[0] == 504
        assert world.runs == 1
        holding.release.set()
        view = world.entry.forwarder.selector.views['u0']
        assert view.in_flight == 0
        assert not view.consecutive_failures


def dying(upstream, _sock, _request):
    """Crash without an answer."""
    upstream.server.stop(timeout=0)
    return 'close'


def test_a_request_is_not_sent_again_once_its_part_is_barred():
    """Guards against two crashes by one request after the bar (issue 28)."""
    with World(dying, dying, dying) as world:
        crash_part(world.entry.forwarder.crash_guard, BAR_SCORE - 1)
        assert world.call('/safe/x', extra=WITH_BAD_PART)[0] == 504
        assert world.runs == 1
        assert world.call('/safe/x', extra=WITH_BAD_PART)[0] == 503
        assert world.runs == 1


def test_requests_to_a_stalled_upstream_are_no_evidence():
    """The other ranks of a group stall and reset, but are alive."""

    def resetting(_upstream, _sock, _request):
        return 'close'

    with World(*[resetting] * 6) as world:
        for _ in range(5):
            world.call('/safe/x', extra=WITH_BAD_PART)
        guard = world.entry.forwarder.crash_guard.guard
        assert not guard.records.crashes
        assert not guard.records.breaks


def test_a_crash_at_one_entry_counts_at_all_and_a_restarted_one_learns_bars():
    """Guards against evidence that one process forgets (issue 28)."""
    network = LocalNetwork(3)
    for number in range(BAR_SCORE):
        guard = network.guard(f'e{number}')
        crash_part(guard, 0)
        guard.record_broken_connection(
            TARGET, ('part:c', BAD, f'request:{number}'), dead_upstream(number)
        )
    for number in range(3):
        assert set(network.guard(f'e{number}').guard.bars.by_trait) == {BAD}
    restarted = network.add('e0')
    assert not restarted.guard.bars.by_trait
    restarted.gossip.request()
    assert set(restarted.guard.bars.by_trait) == {BAD}


def test_lost_reports_are_sent_again():
    network = LocalNetwork(2)
    network.lost = {CRASH, BARS}
    guard = network.guard('e0')
    crash_part(guard, 0)
    for number in range(BAR_SCORE):
        guard.record_broken_connection(
            TARGET, ('part:c', BAD), dead_upstream(number)
        )
    peer = network.guard('e1').guard
    assert not peer.bars.by_trait
    network.lost = {BARS}
    guard.tick()
    assert len(peer.records.crashes) == BAR_SCORE
    network.lost = set()
    guard.tick()
    assert set(peer.bars.by_trait) == {BAD}


def test_an_operator_lists_and_lifts_bars():
    network = LocalNetwork(2)
    guard = network.guard('e0')
    network.guard('e1').gossip.receive_bars([BARS, [[BAD, 0, BAR_S]]], 'e0')
    guard.gossip.receive_bars([BARS, [[BAD, 0, BAR_S]]], 'e1')
    dispatcher = Dispatcher(make_upstream_selector('z', 1))
    limits = SharedLimits('e', dispatcher, guard.log, guard.metrics)
    pages = OperatorPages(MetricsPage(guard.metrics), guard, limits)
    server = make_page_server('127.0.0.1:0', pages)
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    runner = CliRunner()
    try:
        listed = runner.invoke(app, ['bars', address, '--json'])
        (row,) = json.loads(listed.stdout)[address]
        assert row['trait'] == BAD
        assert row['left_s'] == pytest.approx(BAR_S, abs=1)
        assert 'part:bad' in runner.invoke(app, ['bars', address]).stdout
        lifted = runner.invoke(app, ['bars', address, '--lift', BAD])
        assert lifted.exit_code == 0
        again = runner.invoke(app, ['bars', address, '--lift', BAD])
        assert again.exit_code != 0
    finally:
        server.stop(timeout=0)
    assert not guard.guard.bars.by_trait
    assert not network.guard('e1').guard.bars.by_trait
    assert b'comfreyarch_bars 0.0' in guard.metrics.text()


def test_a_peer_that_knows_better_has_a_bar_lifted():
    network = LocalNetwork(2)
    crash_part(network.guard('e1'), 0)
    guard = network.guard('e0')
    guard.guard.handle_peer(PeerBar('part:c', 0, BAR_S), boot_time())
    guard.tick()
    assert not guard.guard.bars.by_trait


@pytest.mark.parametrize(
    'message',
    [
        [CRASH],
        [CRASH, 's', 'r', 'u', ['t'], 'late'],
        [CRASH, 's', 'r', 'u', ['t'], float('nan')],
        [CRASH, 's', 'r', 'u', ['t'], -1],
        [CRASH, 's', 'r', 'u', ['t'] * 1000, 0],
        [CRASH, 's', 'r', 'u', ['t' * 1000], 0],
        [CRASH, 's', 'r', 5, ['t'], 0],
        [BARS, [['t', 0]]],
        [BARS, 5],
        [BARS, [['t', 0, float('inf')]]],
        [LIFTED],
        [LIFTED, None],
    ],
)
def test_malformed_messages_of_peers_are_dropped(message):
    network = LocalNetwork(1)
    link, guard = network.links['e0']
    with pytest.raises(DECODE_ERRORS):
        link.handlers[message[0]](message, 'peer')
    assert guard.is_idle
