"""Test how a sidecar's client of its upstream reads answers that break off.

An answer with neither a length nor chunks ends with its connection, as does the
answer of an upstream that crashes.
"""

import pytest
from gevent.server import StreamServer

from comfreyarch_core import frames
from comfreyarch_daemon.upstreamclient import (
    CallLost,
    close_response,
    make_upstream_client,
)

EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'


def read_answer(body, *, stream, crashes, framing='', resume_from=0):
    """Read the answer of an upstream that closes the connection after it.

    :returns: the whole body.
    """

    def serve(sock, _address):
        sock.recv(65536)
        payload = body
        if framing == CHUNKED:
            payload = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        if crashes:
            server.stop_accepting()
            server.socket.close()
        sock.sendall(f'HTTP/1.1 200 OK\r\n{framing}\r\n'.encode() + payload)
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    client = make_upstream_client(f'http://127.0.0.1:{server.server_port}')
    call = frames.Call(
        attempt='a',
        request='r',
        team='t',
        method='POST',
        path='/x',
        headers={},
        body=b'',
        deadline_ms=1000,
        stream=stream,
        resume_from=resume_from,
    )
    response = client.open(call)
    try:
        return b''.join(client.read_body(call, response))
    finally:
        close_response(response)
        client.close()
        server.stop(timeout=0)


@pytest.mark.parametrize('stream', [True, False])
def test_a_whole_answer_without_length_is_complete(stream):
    assert read_answer(EVENTS, stream=stream, crashes=False) == EVENTS


@pytest.mark.parametrize('stream', [True, False])
def test_an_answer_without_length_that_a_crash_ends_is_lost(stream):
    """Guards against a broken answer that looks complete (rule MIXED)."""
    with pytest.raises(CallLost):
        read_answer(EVENTS, stream=stream, crashes=True)


@pytest.mark.parametrize('framing', ['', CHUNKED])
def test_a_stream_that_ends_inside_an_event_is_lost(framing):
    with pytest.raises(CallLost):
        read_answer(EVENTS[:-1], stream=True, crashes=False, framing=framing)


def test_a_head_without_any_event_is_no_whole_stream():
    with pytest.raises(CallLost):
        read_answer(b'', stream=True, crashes=False)
    body = read_answer(b'', stream=True, crashes=False, resume_from=2)
    assert not body


def test_a_body_with_a_length_that_is_no_event_stream_is_relayed():
    framing = 'Content-Length: 2\r\n'
    body = read_answer(b'{}', stream=True, crashes=False, framing=framing)
    assert body == b'{}'
