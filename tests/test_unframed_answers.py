"""Test answers with neither a length nor chunks, and streams that break off.

They end with their connection, as does the answer of an upstream that crashes.
"""

import pytest
from direct_world import SIGNED, World
from test_direct_entry import event

HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\n' + SIGNED
EVENTS = b''.join(event(number) for number in range(1, 6))
CHUNKED = 'Transfer-Encoding: chunked\r\n'


def ending(body, *, crashes, framing=''):
    """Create a script that sends a body and closes the connection.

    :param crashes: whether the upstream ends too.
    :param framing: header that tells where the body ends, empty for none.
    """

    def script(upstream, sock, request):
        last_id = request[1].get('last-event-id')
        rest = body
        if last_id is not None:
            rest = body[body.index(event(int(last_id))) :]
            rest = rest[len(event(int(last_id))) :]
        head = HEAD.format(request[1]['x-attempt-id']) + framing + '\r\n'
        if framing == CHUNKED:
            rest = b'%x\r\n%b\r\n0\r\n\r\n' % (len(rest), rest)
        if crashes:
            upstream.server.stop_accepting()
            upstream.server.socket.close()
        sock.sendall(head.encode() + rest)
        return 'close'

    return script


def test_a_whole_answer_without_length_is_complete():
    with World(ending(b'whole', crashes=False)) as world:
        assert world.call('/once/x')[::2] == (200, b'whole')


def test_an_answer_without_length_that_a_crash_ends_is_no_success():
    """Guards against a broken answer that looks complete (rule MIXED)."""
    with World(ending(b'who', crashes=True)) as world:
        assert world.call('/once/x')[0] == 504


def test_a_call_that_may_be_repeated_is_sent_again_after_a_crash():
    scripts = ending(b'who', crashes=True), ending(b'whole', crashes=False)
    for order in (scripts, scripts[::-1]):
        with World(*order) as world:
            assert world.call('/safe/x')[::2] == (200, b'whole')


def test_a_whole_stream_without_length_is_complete():
    with World(ending(EVENTS, crashes=False)) as world:
        assert world.call('/plain/x')[::2] == (200, EVENTS)


@pytest.mark.parametrize('framing', ['', CHUNKED])
@pytest.mark.parametrize('length', [len(EVENTS) - 1, len(event(1)) + 3])
def test_a_stream_that_ends_inside_an_event_is_broken_off(length, framing):
    script = ending(EVENTS[:length], crashes=False, framing=framing)
    with World(script) as world:
        status, _, body = world.call('/plain/x')
        assert status == 200
        assert body is None


@pytest.mark.parametrize('crashes', [True, False])
def test_a_head_without_any_event_is_no_whole_stream(crashes):
    """Guards against an empty stream from an upstream that crashes (issue 28)."""
    with World(ending(b'', crashes=crashes)) as world:
        status, _, _ = world.call('/plain/x')
        assert status == 504


def test_a_resumed_stream_may_have_no_event_left():
    with World(ending(EVENTS, crashes=False)) as world:
        status, _, body = world.call('/plain/x', extra='Last-Event-Id: 5\r\n')
        assert (status, body) == (200, b'')


@pytest.mark.parametrize('first', [0, 1, 7])
@pytest.mark.parametrize('received', [1, 2, 4])
@pytest.mark.parametrize('prefix', ['/stream/', '/plain/'])
def test_a_caller_resumes_after_any_event(prefix, received, first):
    """Guards against a stream sent again after the event 0 (review/5)."""
    events = [event(number) for number in range(first, first + 5)]
    last = f'Last-Event-Id: {first + received - 1}\r\n'
    for crashes, framing in ((False, ''), (False, CHUNKED)):
        script = ending(b''.join(events), crashes=crashes, framing=framing)
        with World(script) as world:
            status, _, body = world.call(f'{prefix}x', extra=last)
            assert (status, body) == (200, b''.join(events[received:]))
            [(_, headers, _)] = world.upstreams[0].seen
            assert headers['last-event-id'] == str(first + received - 1)


@pytest.mark.parametrize('first', [0, 1, 7])
def test_an_entry_resumes_after_the_first_event(first):
    events = [event(number) for number in range(first, first + 5)]
    scripts = (
        ending(events[0], crashes=True),
        ending(b''.join(events), crashes=False),
    )
    for order in (scripts, scripts[::-1]):
        with World(*order) as world:
            assert world.call('/stream/x')[::2] == (200, b''.join(events))


def test_a_stream_that_a_crash_ends_between_events_is_resumed():
    first, second = event(1) + event(2), EVENTS
    scripts = ending(first, crashes=True), ending(second, crashes=False)
    for order in (scripts, scripts[::-1]):
        with World(*order) as world:
            assert world.call('/stream/x')[::2] == (200, EVENTS)


def test_a_body_with_a_length_that_is_no_event_stream_is_forwarded():
    script = ending(b'{}', crashes=False, framing='Content-Length: 2\r\n')
    with World(script) as world:
        assert world.call('/plain/x')[::2] == (200, b'{}')
