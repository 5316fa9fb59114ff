"""Test that no accepted request is cut off unanswered by a planned stop.

Guards against requests that wait for a slot when their entry exits (rule LOST,
review/2).
"""

import random
from dataclasses import replace

import gevent
import gevent.event
import pytest
from direct_world import (
    SIGNED,
    World,
    answering,
    make_route,
    parse,
    reply,
)
from entry_fleet import EntryFleet
from gevent import socket
from hypothesis import given, strategies
from test_direct_entry import event

from comfreyarch_core.drainadmission import LAST_START_S, PlannedExit
from comfreyarch_core.routetable import RouteKind
from comfreyarch_daemon import directnode
from comfreyarch_daemon.dispatching import limit_starts
from comfreyarch_daemon.upstreamcalls import boot_time

SHORT_TOKENS = 10
TOKENS = 'X-Token-Counts: 10,{}\r\n'
LOSS_SLACK_S = 0.2
kinds = strategies.sampled_from(list(RouteKind))
tokens = strategies.integers(0, 500)
times = strategies.floats(0, 10)


@given(kinds, tokens, strategies.floats(0.1, 10), times, times)
def test_what_is_accepted_late_ends_before_the_exit(
    kind, answer_tokens, timeout_s, selects_from, received_at
):
    """An accepted request that starts in time ends before the exit."""
    planned = PlannedExit(7.4, selects_from)
    route = make_route('/', kind, timeout_s=timeout_s)
    if not planned.accepts(route, answer_tokens, received_at):
        assert received_at >= selects_from
        return
    latest = planned.latest_start(route, answer_tokens, received_at)
    assert latest <= 7.4 - LAST_START_S
    if received_at < selects_from:
        return
    if kind == RouteKind.streaming and answer_tokens:
        needed_s = min(timeout_s, 0.6 + 0.03 * answer_tokens)
        assert latest + needed_s <= 7.4 + 1e-9
    else:
        assert received_at + timeout_s < 7.4


def holding(release):
    """Create a script that answers once an event is set."""

    def script(_upstream, sock, request):
        release.wait()
        sock.sendall(reply(request))

    return script


def fill_slots(world):
    """Occupy all slots of the upstream of a world."""
    busy = [gevent.spawn(world.call, '/once/busy') for _ in range(6)]
    with gevent.Timeout(10):
        while world.runs < 6:
            gevent.sleep(0.01)
    return busy


@pytest.mark.parametrize(
    'path', ['/stream/x', '/plain/x', '/safe/x', '/once/x']
)
@pytest.mark.parametrize('is_waiting', [True, False])
def test_a_request_without_a_slot_is_refused_before_the_exit(path, is_waiting):
    """Guards against a close without an answer (review/2)."""
    release = gevent.event.Event()
    with World(holding(release)) as world:
        busy = fill_slots(world)
        exits_at = boot_time() + 1.2
        planned = PlannedExit(exits_at, boot_time() + 10)
        extra = TOKENS.format(SHORT_TOKENS)
        if not is_waiting:
            world.entry.begin_exit(planned)
        call = gevent.spawn(world.call, path, extra=extra)
        gevent.sleep(0.05)
        if is_waiting:
            world.entry.begin_exit(planned)
        status, headers, _ = call.get(timeout=10)
        assert boot_time() < exits_at
        assert status == 503
        assert float(headers['retry-after']) < 0.2
        assert world.runs == 6
        release.set()
        assert [each.get(timeout=10)[0] for each in busy] == [200] * 6


def test_a_short_stream_waits_only_as_long_as_it_can_still_end():
    release = gevent.event.Event()
    with World(holding(release)) as world:
        busy = fill_slots(world)
        began_at = boot_time()
        world.entry.begin_exit(PlannedExit(began_at + 1.5))
        extra = TOKENS.format(SHORT_TOKENS)
        assert world.call('/stream/x', extra=extra)[0] == 503
        # 10 tokens take up to 0.9 s.
        assert 0.4 < boot_time() - began_at < 0.9
        release.set()
        gevent.joinall(busy)


def test_a_slot_that_becomes_free_in_time_is_used():
    release = gevent.event.Event()
    with World(holding(release)) as world:
        busy = fill_slots(world)
        world.entry.begin_exit(PlannedExit(boot_time() + 3))
        gevent.spawn_later(0.3, release.set)
        extra = TOKENS.format(SHORT_TOKENS)
        assert world.call('/stream/x', extra=extra)[0] == 200
        gevent.joinall(busy)


def test_a_repeated_send_is_bound_by_the_exit_too():
    with World(answering(status=500, body=b'no')) as world:
        exits_at = boot_time() + LAST_START_S + 0.05
        planned = PlannedExit(exits_at, selects_from=exits_at)
        attempts = []

        def script(_upstream, sock, request):
            attempts.append(request)
            gevent.sleep(0.1)
            sock.sendall(reply(request, status=500))

        world.upstreams[0].script = script
        world.entry.forwarder.planned_exit = planned
        assert world.call('/safe/x')[0] in {500, 502, 504}
        assert len(attempts) == 1


def test_a_body_that_arrives_slowly_does_not_use_up_the_time():
    with World(answering()) as world:
        world.entry.begin_exit(PlannedExit(boot_time() + 5.2))
        sock = world.connect()
        sock.sendall(
            b'POST /safe/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nwo'
        )
        gevent.sleep(0.4)
        assert world.entry.open_requests == 1
        sock.sendall(b'rk')
        assert sock.recv(12) == b'HTTP/1.1 503'
        assert world.runs == 0
        with gevent.Timeout(10):
            while world.entry.open_requests:
                gevent.sleep(0.01)


@pytest.mark.parametrize(
    'path', ['/stream/x', '/plain/x', '/safe/x', '/once/x']
)
def test_a_send_without_an_answer_is_ended_with_a_refusal(path):
    """Guards against a closed connection for a request that was passed on."""
    never = gevent.event.Event()
    with World(holding(never), answering()) as world:
        del world.upstreams[0].seen[:]
        waiting = []
        while not world.upstreams[0].seen:
            waiting.append(gevent.spawn(world.call, path))
            gevent.sleep(0.05)
        forwarder = world.entry.forwarder
        forwarder.planned_exit = PlannedExit(boot_time() + 0.2)
        forwarder.end_before_exit()
        statuses = [call.get(timeout=5)[0] for call in waiting]
        assert set(statuses) <= {200, 504}
        assert statuses[-1] == 504
        view = forwarder.selector.views['u0']
        assert view.in_flight == 0
        assert view.paused_until <= boot_time()


def test_a_stream_that_has_begun_goes_on_until_the_exit():
    never = gevent.event.Event()

    def script(_upstream, sock, request):
        attempt = request[1]['x-attempt-id']
        head = (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{SIGNED}'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        first, second = event(1), event(2)
        sock.sendall(head.encode() + b'%x\r\n%b\r\n' % (len(first), first))
        never.wait()
        sock.sendall(b'%x\r\n%b\r\n0\r\n\r\n' % (len(second), second))

    with World(script) as world:
        call = gevent.spawn(world.call, '/plain/x')
        gevent.sleep(0.1)
        world.entry.forwarder.end_before_exit()
        gevent.spawn_later(0.1, never.set)
        assert call.get(timeout=5)[::2] == (200, event(1) + event(2))


def test_a_planned_stop_answers_what_an_upstream_does_not(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(directnode, 'BALANCER_REMOVAL_S', 0.1)
    never = gevent.event.Event()
    with EntryFleet(1, holding(never), path=tmp_path / 'settings') as fleet:
        node = fleet.nodes['entry-0']
        node.settings = replace(node.settings, grace_s=1.5)
        call = gevent.spawn(fleet.call, 'entry-0', '/once/x')
        gevent.sleep(0.1)
        node.terminate()
        assert node.stopped.wait(10)
        # In a process of its own the connection would be closed by now.
        gevent.sleep(0.05)
        assert call.ready()
        assert call.get()[0] == 504


def test_only_waiting_requests_are_bounded():
    with World(answering()) as world:
        limit_starts(world.entry.dispatcher, 0)
        assert world.call('/safe/x')[0] == 200


class Client:
    """Send requests one by one, on new connections after the entry closed one."""

    def __init__(self, port, rng):
        self.port = port
        self.rng = rng
        self.outcomes = []
        self.connect()

    def connect(self):
        """Open a connection."""
        self.sock = socket.create_connection(('127.0.0.1', self.port))
        self.sock.settimeout(20)

    def run(self):
        """Send requests with short pauses until the entry is gone.

        ``outcomes`` gets path, status, and the seconds from the request to the
        end of the answer or of the connection; the status is 0 without one.
        """
        while True:
            gevent.sleep(self.rng.uniform(0, 0.1))
            path = self.rng.choice(['/stream/x', '/plain/x', '/safe/x'])
            count = self.rng.choice([1, 2, 5, 40])
            request = (
                f'POST {path} HTTP/1.1\r\nHost: h.example\r\n'
                'X-Deadline-Ms: 4000\r\nAuthorization: Bearer key\r\n'
                f'X-Token-Counts: 10,{count}\r\nContent-Length: 0\r\n\r\n'
            )
            sent_at = boot_time()
            try:
                self.sock.sendall(request.encode())
            except OSError:
                return
            status, is_last = self.read_answer()
            self.outcomes.append((path, status, boot_time() - sent_at))
            if is_last:
                try:
                    self.connect()
                except OSError:
                    return

    def read_answer(self):
        """Read one answer with a length.

        :returns: status, and whether the connection has ended.
        """
        received = b''
        try:
            while b'\r\n\r\n' not in received:
                part = self.sock.recv(4096)
                if not part:
                    return 0, True
                received += part
            status, headers, body = parse(received)
            while len(body) < int(headers['content-length']):
                part = self.sock.recv(4096)
                if not part:
                    return 0, True
                body += part
        except OSError:
            return 0, True
        return status, headers.get('connection') == 'close'


def working(rng):
    """Create a script that works for up to half a second."""

    def script(_upstream, sock, request):
        gevent.sleep(rng.uniform(0.1, 0.5))
        sock.sendall(reply(request))

    return script


@pytest.mark.parametrize('seed', range(4))
def test_a_planned_stop_under_load_answers_what_it_accepted(
    seed, tmp_path, monkeypatch
):
    """Guards against accepted requests cut off by a stop under load."""
    rng = random.Random(seed)
    monkeypatch.setattr(directnode, 'BALANCER_REMOVAL_S', 0.3)
    monkeypatch.setattr(directnode, 'ACCEPT_ALL_S', 0.4)
    with EntryFleet(1, working(rng), path=tmp_path / 'settings') as fleet:
        node = fleet.nodes['entry-0']
        port = node.entry.server.server_port
        clients = [Client(port, rng) for _ in range(80)]
        workers = [gevent.spawn(client.run) for client in clients]
        gevent.sleep(0.5)
        node.settings = replace(node.settings, grace_s=2.6)
        node.terminate()
        assert node.stopped.wait(10)
        # In a process of its own their connections would be closed by now.
        assert node.entry.open_requests == 0
        gevent.joinall(workers, timeout=10)
        cut = [
            outcome
            for client in clients
            for outcome in client.outcomes
            if outcome[1] == 0 and outcome[2] > LOSS_SLACK_S
        ]
        assert not cut
        served = [
            outcome
            for client in clients
            for outcome in client.outcomes
            if outcome[1] == 200
        ]
        assert served


def test_an_idle_connection_ends_with_the_entry():
    """Guards against a request that is read, or sent, after the last check."""
    with World(answering()) as world:
        sock = world.connect()
        request = (
            b'POST /safe/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n'
        )
        sock.sendall(request)
        assert sock.recv(4096).startswith(b'HTTP/1.1 200')
        with gevent.Timeout(10):
            while not world.entry.idle_sockets:
                gevent.sleep(0.01)
        world.entry.close()
        with gevent.Timeout(2):
            assert sock.recv(1) == b''
        assert world.runs == 1


def test_a_request_that_arrives_as_the_entry_stops_is_refused(tmp_path):
    with EntryFleet(1, answering(), path=tmp_path / 'settings') as fleet:
        node = fleet.nodes['entry-0']
        node.entry.begin_exit(PlannedExit(boot_time()))
        assert fleet.call('entry-0')[0] == 503
        assert not fleet.upstreams['u0'].seen


def test_an_entry_ends_although_its_drain_fails(tmp_path, monkeypatch):
    """Fails if an unexpected error leaves it running until it is killed."""
    monkeypatch.setattr(directnode, 'BALANCER_REMOVAL_S', 0)
    with EntryFleet(1, answering(), path=tmp_path / 'settings') as fleet:
        node = fleet.nodes['entry-0']
        # Not a set of requests.
        node.entry.forwarder.senders = None
        node.terminate()
        assert node.stopped.wait(10)
