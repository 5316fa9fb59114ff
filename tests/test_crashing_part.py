"""Test that requests which share a crashing part of their prompts are barred.

A part of a prompt may crash each upstream that begins to answer. No two of the
requests with it are alike, and sound ones share all their other parts.
"""

import pytest
from direct_world import SIGNED, World, reply

# Crashes after which few more requests with the part may reach upstreams, and
# how many, by requirement.
KNOWN_CRASHES = 5
MAX_LATER_SENDS = 3
UPSTREAMS = 14
BAD_PART = 'bad0'


def crash_on_bad_part(framing):
    """Create a script that crashes after the head of a bad request's answer.

    :param framing: header that tells where the body ends, empty for none.
    """

    def script(upstream, sock, request):
        if f'{BAD_PART}:' not in request[1].get('x-prompt-prefix', ''):
            sock.sendall(reply(request, body=request[2]))
            return None
        attempt = request[1]['x-attempt-id']
        sock.sendall(
            f'HTTP/1.1 200 X\r\nX-Attempt-Id: {attempt}\r\n{SIGNED}'
            f'{framing}\r\n'.encode()
        )
        upstream.server.stop(timeout=0)
        return 'close'

    return script


def call_with_parts(world, path, number, *parts):
    """Call with the common part, the given ones, and one of the request."""
    prefix = ','.join(f'{part}:40' for part in ('c0', *parts, f'e{number}'))
    return world.call(
        path,
        body=f'body {number}'.encode(),
        extra=f'X-Prompt-Prefix: {prefix}\r\n',
    )


@pytest.mark.parametrize(
    'framing',
    ['Content-Length: 9\r\n', ''],
    ids=['framed', 'unframed'],
)
@pytest.mark.parametrize('path', ['/safe/x', '/stream/x', '/once/x'])
def test_few_requests_with_a_crashing_part_reach_upstreams(path, framing):
    """Guards against rule BUDGET broken by different requests (issue 28)."""
    scripts = [crash_on_bad_part(framing)] * UPSTREAMS
    with World(*scripts) as world:
        for number in range(UPSTREAMS):
            call_with_parts(world, path, number, BAD_PART)
            for sound in range(3):
                call_with_parts(world, '/safe/x', f'{number}{sound}', 'd0')
            live = [
                upstream.entry
                for upstream in world.upstreams
                if upstream.server.started
            ]
            world.entry.replace_upstreams(live)
        sends = sum(
            f'{BAD_PART}:' in request[1]['x-prompt-prefix']
            for upstream in world.upstreams
            for request in upstream.seen
        )
        assert sends <= KNOWN_CRASHES + MAX_LATER_SENDS
        status, _, body = call_with_parts(world, '/safe/x', 'last', 'd0')
        assert (status, body) == (200, b'body last')
