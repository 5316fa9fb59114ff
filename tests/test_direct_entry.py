"""Test a direct entry with valid, invalid and missing answers of upstreams."""

import pytest
from direct_world import SIGNED, World, answering, parse, reply
from gevent import sleep, spawn, spawn_later
from gevent.event import Event

from comfreyarch_core.drainadmission import PlannedExit
from comfreyarch_core.routetable import CallerLimits
from comfreyarch_daemon.upstreamcalls import boot_time

NOT_RUN = 'X-Not-Executed: 1\r\n'
REJECTING = answering(status=503, extra=NOT_RUN, signed=False)


def event(number):
    """Encode one event."""
    return f'id: {number}\ndata: w{number}\n\n'.encode()


def stream(first, last, cut=None):
    """Create a script that streams events.

    :param cut: number of body bytes after which it closes the connection.
    """

    def script(_upstream, sock, request):
        attempt = request[1]['x-attempt-id']
        start = int(request[1].get('last-event-id', first - 1)) + 1
        body = b''.join(event(number) for number in range(start, last))
        head = (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{SIGNED}'
            f'Content-Type: text/event-stream\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        sock.sendall(head + (body if cut is None else body[:cut]))
        return 'close' if cut is not None else None

    return script


def test_a_whole_answer_comes_unchanged():
    with World(answering(body=b'body', extra='X-Other: y\r\n')) as world:
        status, headers, body = world.call('/safe/x?q=1', body=b'abc')
        assert (status, body) == (200, b'body')
        assert headers['x-server-signature'] == 's'
        assert headers['x-other'] == 'y'
        ((first, seen, sent),) = world.upstreams[0].seen
        assert first == ['POST', '/safe/x?q=1']
        assert sent == b'abc'
        assert seen['x-tenant'] == 'team'
        assert seen['x-expected-instance'] == 'u0'
        assert 0 < int(seen['x-deadline-ms']) <= 4000
        assert 'authorization' not in seen


def test_callers_cannot_name_their_team():
    with World(answering()) as world:
        world.call('/safe/', extra='X-Tenant: other\r\n')
        assert world.upstreams[0].seen[0][1]['x-tenant'] == 'team'
        world.call('/public/', key='none', extra='X-Tenant: other\r\n')
        assert 'x-tenant' not in world.upstreams[0].seen[1][1]


def test_what_the_configuration_does_not_allow():
    with World(answering()) as world:
        assert world.call('/none/')[0] == 404
        assert world.call('/safe/', key='wrong')[0] == 401
        assert world.call('/public/', key='wrong')[0] == 200
        assert world.runs == 1


def test_without_a_configuration_nothing_is_refused_for_good():
    with World(answering()) as world:
        world.entry.table = None
        world.entry.first_table.clear()
        status, headers, _ = world.call('/none/')
        assert status == 503
        assert float(headers['retry-after']) > 0


def test_a_request_before_the_first_configuration_waits_for_it():
    with World(answering()) as world:
        table, world.entry.table = world.entry.table, None
        world.entry.first_table.clear()
        answer = spawn(world.call, '/safe/')
        while not world.entry.first_table.linkcount():
            sleep(0)
        world.entry.apply_configuration(table)
        assert answer.get(timeout=20)[0] == 200


@pytest.mark.parametrize('path', ['/safe/', '/once/', '/stream/', '/plain/'])
def test_a_rejected_request_goes_elsewhere(path):
    with World(REJECTING, REJECTING, answering()) as world:
        status, _, body = world.call(path)
        assert (status, body) == (200, b'ok')


@pytest.mark.parametrize('path', ['/safe/', '/once/', '/plain/'])
def test_rejected_everywhere_is_not_run(path):
    with World(REJECTING) as world:
        status, headers, _ = world.call(path)
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert 'x-server-signature' not in headers


def broken(_upstream, _sock, _request):
    """Close the connection without an answer."""
    return 'close'


def test_what_must_not_repeat_is_sent_once_and_its_outcome_is_unknown():
    with World(broken, broken) as world:
        assert world.call('/once/')[0] == 504
        assert world.runs == 1


def test_what_may_repeat_is_sent_again_within_its_attempts():
    with World(broken, broken, broken) as world:
        assert world.call('/safe/')[0] == 504
        assert world.runs == 2


def test_a_failure_of_the_upstream_is_repeated_or_passed_on():
    failing = answering(status=500, body=b'bad')
    with World(failing, failing) as world:
        status, headers, body = world.call('/safe/')
        assert (status, body) == (500, b'bad')
        assert headers['x-server-signature'] == 's'
        assert world.runs == 2
    with World(failing) as world:
        assert world.call('/once/')[0] == 500
        assert world.runs == 1


@pytest.mark.parametrize(
    'invalid_answer',
    [
        b'garbage that is no answer\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n'
        + SIGNED.encode()
        + b'\r\nshort',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
        + SIGNED.encode()
        + b'Content-Length: 2\r\n\r\nok',
    ],
)
def test_spoilt_answers_never_reach_a_caller(invalid_answer):
    def script(_upstream, sock, _request):
        sock.sendall(invalid_answer)
        return 'close'

    with World(script) as world:
        status, _, body = world.call('/once/')
        assert status == 504
        assert b'ok' != body
        assert world.runs == 1


def test_an_answer_to_another_request_is_read_past():
    def script(_upstream, sock, request):
        other = request[0], {**request[1], 'x-attempt-id': 'old'}, b''
        sock.sendall(reply(other, body=b'stale') + reply(request, body=b'own'))

    with World(script) as world:
        assert world.call('/once/')[2] == b'own'


def test_surplus_bytes_end_the_connection_and_nothing_else():
    def script(_upstream, sock, request):
        sock.sendall(reply(request) + b'HTTP/1.1 surplus')

    with World(script) as world:
        assert world.call('/safe/')[2] == b'ok'
        assert world.call('/safe/')[2] == b'ok'


def test_an_answer_without_a_length_ends_with_its_connection():
    def script(_upstream, sock, request):
        attempt = request[1]['x-attempt-id']
        head = f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{SIGNED}\r\n'
        sock.sendall(head.encode() + b'all of it')
        return 'close'

    with World(script) as world:
        assert world.call('/once/')[2] == b'all of it'


def test_another_upstream_at_the_address_did_not_run_it():
    with World(answering(status=421, signed=False), answering()) as world:
        assert world.call('/once/')[0] == 200


@pytest.mark.parametrize('cut', range(0, 5 * len(event(0)), 7))
def test_a_resumable_stream_goes_on_at_any_cut(cut):
    whole = b''.join(event(number) for number in range(5))
    with World(stream(0, 5, cut), stream(0, 5)) as world:
        world.entry.forwarder.selector.views['u1'].in_flight = 1
        status, headers, body = world.call('/stream/')
        assert (status, body) == (200, whole)
        assert headers['x-server-signature'] == 's'


# Fails if a stream that has run for longer than callers wait for its begin is cut
# off, as no upstream can go on with it at once.
def test_a_long_stream_waits_for_a_slot_to_be_resumed():
    def script(_upstream, sock, request):
        attempt = request[1]['x-attempt-id']
        head = (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{SIGNED}'
            f'Content-Type: text/event-stream\r\nContent-Length: 9000\r\n\r\n'
        )
        sock.sendall(head.encode())
        for number in range(5):
            sock.sendall(event(number))
            sleep(0.5)
        return 'close'

    with World(script, stream(0, 7)) as world:
        dispatcher = world.entry.dispatcher
        view = dispatcher.selector.views['u1']
        view.in_flight = view.entry.slots
        spawn_later(2.8, dispatcher.release, view)
        status, _, body = world.call('/stream/')
        assert status == 200
        assert body == b''.join(event(number) for number in range(7))


def test_another_stream_is_cut_off_and_never_looks_complete():
    with World(stream(0, 5, 40), stream(0, 5)) as world:
        world.entry.forwarder.selector.views['u1'].in_flight = 1
        status, _, body = world.call('/plain/')
        assert status == 200
        assert body is None
        assert world.runs == 1


def test_the_routes_time_limit_gives_a_final_answer():
    def script(upstream, sock, _request):
        assert sock.recv(1) == b''
        upstream.closed.put(True)
        return 'close'

    with World(script) as world:
        assert world.call('/short/')[0] == 504
        assert world.upstreams[0].closed.get(timeout=20)


def test_a_caller_that_leaves_ends_the_work_at_the_upstream():
    received = Event()
    never = Event()

    def script(upstream, sock, _request):
        received.set()
        sock.recv(1)
        upstream.closed.put(True)
        never.wait(0)
        return 'close'

    with World(script) as world:
        sock = world.connect()
        sock.sendall(
            b'POST /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n'
            b'Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n',
        )
        assert received.wait(20)
        sock.close()
        assert world.upstreams[0].closed.get(timeout=20)
        assert world.runs == 1


def test_a_leaving_entry_tells_callers_to_close():
    with World(answering()) as world:
        world.entry.leaving = True
        assert world.call('/safe/')[1]['connection'] == 'close'
        assert not world.entry.is_ready()
        world.entry.begin_exit(PlannedExit(boot_time() + 1))
        status, headers, _ = world.call('/safe/')
        assert status == 503
        assert float(headers['retry-after']) > 0


HEAD = (
    b'POST /safe/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n'
)


@pytest.mark.parametrize(
    'headers',
    [
        b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
        b'Content-Length: +3\r\n\r\nabc',
        b'Content-Length: -1\r\n\r\n',
        b'Content-Length : 3\r\n\r\nabc',
        b'X-A: b\r\n folded: c\r\nContent-Length: 0\r\n\r\n',
        b'X-A\x00: b\r\nContent-Length: 0\r\n\r\n',
        b': empty\r\nContent-Length: 0\r\n\r\n',
    ],
)
def test_headers_that_two_readers_may_read_apart_are_refused(headers):
    with World(answering()) as world:
        smuggled = b'GET /public/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n'
        received = world.raw(HEAD + headers + smuggled)
        assert parse(received)[0] in {0, 400}
        assert world.runs == 0


@pytest.mark.parametrize(
    'line',
    [
        b'garbage\r\n\r\n',
        b'POST /safe/\r\n\r\n',
        b'POST /safe/ HTTP/9.9\r\n\r\n',
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n',
        b'GET ' + b'/' * 20000 + b' HTTP/1.1\r\n\r\n',
    ],
)
def test_lines_that_are_no_request_are_refused(line):
    with World(answering()) as world:
        assert parse(world.raw(line))[0] in {0, 400, 414}
        assert world.runs == 0


def test_a_body_over_the_limit_is_refused():
    limits = CallerLimits(body_bytes=10)
    with World(answering(), limits=limits) as world:
        assert world.call('/safe/', body=b'x' * 11)[0] == 413
        assert world.call('/safe/', body=b'x' * 10)[0] == 200
        assert world.runs == 1


def test_headers_over_the_limit_are_refused():
    limits = CallerLimits(header_bytes=500)
    with World(answering(), limits=limits) as world:
        assert world.call('/safe/', extra=f'X-A: {"x" * 600}\r\n')[0] == 431
        assert world.runs == 0


def test_a_chunked_body_goes_on_whole():
    with World(answering()) as world:
        received = world.raw(
            HEAD + b'X-Attempt-Id: a\r\nConnection: close\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        )
        assert parse(received)[0] == 200
        assert world.upstreams[0].seen[0][2] == b'abcde'
