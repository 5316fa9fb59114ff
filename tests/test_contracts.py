"""Test the clients of the store, the upstreams and the links.

Each talks to a stand-in over real sockets.
"""

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket

from comfreyarch_core import frames
from comfreyarch_daemon import handshake, linklistener, linktransport
from comfreyarch_daemon import store as stores
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.store import (
    Ambiguous,
    Put,
    StoreClient,
    StoreError,
    Unavailable,
    VersionConflict,
    Written,
    make_store,
)
from comfreyarch_daemon.upstreamclient import (
    CallLost,
    CallNotSent,
    make_upstream_client,
    read_whole,
)
from standins.http import serve
from standins.launcher import free_port
from standins.platform import Fault, Platform

KEYS = ('plain', 'team/key', 'odd key?&=%2F', 'ação', '/lead')


@pytest.fixture
def platform() -> Iterator[tuple[Platform, StoreClient]]:
    service = Platform()
    port = free_port()
    server = serve(port, service.application)
    client = make_store(f'http://127.0.0.1:{port}', 0.5)
    yield service, client
    client.close()
    server.close()


@pytest.mark.parametrize('key', KEYS)
def test_row_is_read_back_under_any_key(platform, key: str) -> None:
    _, client = platform
    assert client.read('t', key).version == 0
    outcome = client.transact([Put('t', key, 0, {'a': 1})])
    assert outcome == Written({key: 1})
    row = client.read('t', key)
    assert (row.version, row.content) == (1, {'a': 1})


def test_transaction_writes_all_or_nothing(platform) -> None:
    _, client = platform
    client.transact([Put('t', 'a', 0, {})])
    puts = [Put('t', 'a', 0, {'new': 1}), Put('t', 'b', 0, {})]
    outcome = client.transact(puts)
    assert isinstance(outcome, VersionConflict)
    assert outcome.rows['a'].version == 1
    assert client.read('t', 'b').version == 0


def test_scan_is_in_key_order_after_a_key(platform) -> None:
    _, client = platform
    for key in ('p/3', 'p/1', 'q/1', 'p/2'):
        client.transact([Put('t', key, 0, {})])
    assert [row.key for row in client.scan('t', 'p/', 'p/1')] == ['p/2', 'p/3']


@pytest.mark.parametrize(
    ('mode', 'wanted', 'written'),
    [
        ('none', Written, 1),
        ('refuse', Unavailable, 0),
        ('hang', Ambiguous, 0),
        ('lose', Ambiguous, 1),
    ],
)
def test_each_fault_gives_its_outcome(
    platform,
    mode: str,
    wanted: type,
    written: int,
) -> None:
    service, client = platform
    service.fault = Fault(mode)
    outcome = client.transact([Put('t', 'k', 0, {})])
    assert isinstance(outcome, wanted)
    service.fault = Fault()
    assert client.read('t', 'k').version == written


@pytest.mark.parametrize('mode', ['refuse', 'hang'])
def test_read_under_a_fault_is_a_typed_error(platform, mode: str) -> None:
    service, client = platform
    service.fault = Fault(mode)
    with pytest.raises(StoreError):
        client.read('t', 'k')
    with pytest.raises(StoreError):
        client.instances()


def test_unchanged_instance_list_is_not_sent_again(platform) -> None:
    service, client = platform
    assert client.instances() == []
    entry = {
        'node': 'n',
        'role': 'entry',
        'link': 'l',
        'operators': 'o',
        'availability_zone': 'z',
    }
    service.change_instances({'put': [entry]})
    listed = client.instances()
    assert [instance.node for instance in listed] == ['n']
    assert client.instances() is listed
    service.change_instances({'remove': ['n']})
    assert client.instances() == []


def test_store_that_is_not_there_did_nothing() -> None:
    client = make_store(f'http://127.0.0.1:{free_port()}', 0.5)
    assert isinstance(client.transact([]), Unavailable)


def test_odd_rows_are_a_typed_error() -> None:
    with pytest.raises(StoreError):
        stores.parse_rows([{'no': 'key'}])
    with pytest.raises(StoreError):
        stores.parse_rows(None)


class RawServer:
    """Count requests on a raw socket and answer each with fixed bytes.

    Empty bytes close the connection without an answer.
    """

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.requests = 0
        self.server = socket.socket()
        self.server.bind(('127.0.0.1', 0))
        self.server.listen()
        self.url = f'http://127.0.0.1:{self.server.getsockname()[1]}'
        self.greenlet = gevent.spawn(self.accept_connections)

    def accept_connections(self) -> None:
        while True:
            stream, _ = self.server.accept()
            gevent.spawn(self.serve, stream)

    def serve(self, stream: socket.socket) -> None:
        if stream.recv(65536):
            self.requests += 1
            if self.answer:
                stream.sendall(self.answer)
        stream.close()

    def close(self) -> None:
        self.greenlet.kill()
        self.server.close()


def make_call(method: str, key: str) -> frames.Call:
    return frames.Call('a', 'r', 't', method, '/x', {}, b'{}', 1000, key)


METHODS = ('GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH', 'OPTIONS')


@pytest.mark.parametrize('method', METHODS)
def test_no_library_retry_sends_a_claimed_call_twice(method: str) -> None:
    """The upstream reads the request, then closes the connection.

    The HTTP library would send some methods again, so that a claimed request
    could run twice.
    """
    server = RawServer(b'')
    client = make_upstream_client(server.url)
    with pytest.raises(CallLost):
        client.open(make_call(method, 'team/key'))
    gevent.sleep(0)
    assert server.requests == 1
    server.close()


def test_the_library_itself_would_send_put_again() -> None:
    """Without the one-shot connection pool, the library sends PUT again."""
    server = RawServer(b'')
    client = make_upstream_client(server.url)
    with pytest.raises(CallLost):
        client.open(make_call('PUT', ''))
    assert server.requests > 1
    server.close()


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Enc',
        b'garbage\r\n\r\n',
    ],
)
def test_answer_cut_short_is_lost_and_never_whole(answer: bytes) -> None:
    server = RawServer(answer)
    client = make_upstream_client(server.url)
    with pytest.raises(CallLost):
        read_whole(client.open(make_call('POST', 'team/key')))
    server.close()


def test_upstream_that_is_not_there_took_nothing() -> None:
    client = make_upstream_client(f'http://127.0.0.1:{free_port()}')
    with pytest.raises(CallNotSent):
        client.open(make_call('POST', 'team/key'))


def make_identity(name: str, key: bytes = b'k' * 16) -> handshake.Identity:
    return handshake.Identity(name, 'entry', f'life-{name}', key, lambda: 7)


@pytest.fixture
def link_listener() -> Iterator[tuple[str, list[linktransport.Link], Metrics]]:
    links: list[linktransport.Link] = []
    metrics = Metrics()
    address = f'127.0.0.1:{free_port()}'

    def start_echo(link: linktransport.Link) -> None:
        links.append(link)
        link.start(
            lambda peer, frame: peer.send(frame), linktransport.ignore_close
        )

    listener = linklistener.LinkListener(
        address, make_identity('b'), metrics, start_echo
    )
    listener.start()
    yield address, links, metrics
    for link in links:
        link.close()
    listener.close()


def wait_for(condition: Callable[[], object]) -> None:
    with gevent.Timeout(5):
        while not condition():
            gevent.sleep(0.005)


def test_link_proves_both_ends_and_carries_frames(link_listener) -> None:
    address, links, _ = link_listener
    received: list[frames.AnyFrame] = []
    link = handshake.open_link(address, make_identity('a'), Metrics())
    link.start(
        lambda _, frame: received.append(frame), linktransport.ignore_close
    )
    for number in range(500):
        link.send(frames.Chunk('a', number * 2, b'xy'))
    wait_for(lambda: sum(len(chunk.body) for chunk in received) == 1000)
    assert received[0].offset == 0
    assert link.remote.node == 'b' and link.remote.revision == 7
    assert links[0].remote.node == 'a'
    assert len(received) < 500
    link.close()


def test_wrong_key_is_refused_and_counted(link_listener) -> None:
    address, links, metrics = link_listener
    wrong_identity = make_identity('x', b'wrong key of theirs')
    with pytest.raises(linktransport.LinkError) as refused:
        handshake.open_link(address, wrong_identity, Metrics())
    assert refused.value.reason == 'key'
    wait_for(lambda: b'links_refused' in metrics.text())
    assert not links


def test_bad_frame_closes_its_link_and_no_other(link_listener) -> None:
    address, links, metrics = link_listener
    received: list[frames.AnyFrame] = []
    good = handshake.open_link(address, make_identity('a'), Metrics())
    good.start(
        lambda _, frame: received.append(frame), linktransport.ignore_close
    )
    bad = handshake.open_link(address, make_identity('c'), Metrics())
    wait_for(lambda: len(links) == 2)
    bad.protocol.send_binary(b'\xff\xff')
    bad.flush()
    wait_for(lambda: b'bad_frame' in metrics.text())
    good.send(frames.Cancel('still here'))
    wait_for(lambda: received)
    good.close()


def test_two_nodes_of_another_version_do_not_link(
    link_listener, monkeypatch
) -> None:
    address, links, _ = link_listener
    monkeypatch.setattr(frames, 'PROTOCOL_VERSION', 2)
    link = handshake.connect(address, Metrics())
    hello = frames.Hello(1, 'a', 'entry', 'i', 0, b'n' * 16)
    link.write_now([hello])
    answer = link.expect(frames.Challenge)
    assert answer.version == 2
    link.close()
    assert not links
