"""Encode the requests that a direct entry sends to upstreams."""

from comfreyarch_daemon.forwarding import Call
from comfreyarch_daemon.headercodec import HeaderCodec, SendContext
from comfreyarch_daemon.upstreamcalls import boot_time

# Methods whose requests have no body unless the caller sent one.
BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE'))


def encode_request(
    header_codec: HeaderCodec,
    call: Call,
    upstream: str,
    last_event_id: int,
) -> bytes:
    """Encode a request for an upstream.

    :param upstream: name of the upstream that should run the request.
    :param last_event_id: id of the last event forwarded to the caller, or -1.
    :returns: head and body.
    """
    context = SendContext(
        upstream,
        call.deadline - boot_time(),
        call.team,
        call.urgency,
        last_event_id,
    )
    lines = [f'{call.method} {call.target} HTTP/1.1']
    headers = header_codec.send_headers(call.head, context)
    lines += [f'{key}: {text}' for key, text in headers]
    if call.body or call.method not in BODILESS_METHODS:
        lines.append(f'Content-Length: {len(call.body)}')
    head = '\r\n'.join([*lines, '', ''])
    return head.encode('latin-1') + call.body
