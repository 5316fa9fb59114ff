"""Run a direct entry with scripted upstreams in one gevent loop."""

import math

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

from comfreyarch_core.retryshare import RetryLimits
from comfreyarch_core.routetable import (
    CallerLimits,
    Route,
    RouteKind,
    ServiceShare,
    Team,
    make_route_table,
)
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_platform.callheaders import PlatformHeaderCodec

SIGNED = 'X-Server-Signature: s\r\n'
TIMEOUT_S = 20


class RecordingLog(EventLog):
    """Collect events in memory instead of writing them."""

    def __init__(self):
        super().__init__('entry')
        self.events = []

    def write(self, event, **facts):
        """Append an event and its fields."""
        self.events.append((event, facts))


class Upstream:
    """Serve a port; a script answers each request.

    The script gets the upstream, the socket and the request, and returns
    'close' if the connection should be closed.
    """

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.seen = []
        self.closed = Queue()
        self.server = StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()

    @property
    def entry(self):
        """Return the upstream's entry in the list of upstreams."""
        address = f'127.0.0.1:{self.server.server_port}'
        return UpstreamEntry(self.name, 's', address, 'z', 6, False)

    def serve(self, sock, _address):
        """Serve the requests on one connection."""
        reader = sock.makefile('rb')
        while True:
            request = read_request(reader)
            if request is None:
                self.closed.put(True)
                return
            self.seen.append(request)
            if self.script(self, sock, request) == 'close':
                sock.close()
                return


def read_request(reader):
    """Read one request.

    :returns: method and target, headers and body, or None at the end of the
        connection.
    """
    try:
        first = reader.readline()
        if not first:
            return None
        headers = {}
        while (line := reader.readline()) not in {b'\r\n', b''}:
            name, _, text = line.decode().partition(':')
            headers[name.lower()] = text.strip()
        body = reader.read(int(headers.get('content-length', 0)))
    except OSError:
        return None
    return first.decode().split()[:2], headers, body


def reply(request, status=200, body=b'ok', extra='', signed=True):
    """Encode an answer to a request."""
    attempt = request[1].get('x-attempt-id', '')
    stamp = SIGNED if signed else ''
    return (
        f'HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n{stamp}{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def answering(**options):
    """Create a script that gives the same answer to every request."""

    def script(_upstream, sock, request):
        sock.sendall(reply(request, **options))

    return script


def make_route(prefix, kind, **changes):
    """Create a route to the only service."""
    fields = {
        'name': prefix,
        'host': 'h.example',
        'prefix': prefix,
        'kind': kind,
        'timeout_s': 5.0,
        'target_s': 0.4,
        'gap_target_s': 0.1,
        'priority': 1,
        'services': (ServiceShare('s', 1),),
        'attempts': 2,
        'public': False,
        'resumable': False,
    }
    return Route(**{**fields, **changes})


ROUTES = (
    make_route('/safe/', RouteKind.idempotent),
    make_route('/once/', RouteKind.non_idempotent, attempts=1),
    make_route('/stream/', RouteKind.streaming, resumable=True),
    make_route('/plain/', RouteKind.streaming),
    make_route('/short/', RouteKind.non_idempotent, timeout_s=0.2),
    make_route('/public/', RouteKind.idempotent, public=True),
)


class World:
    """Run a direct entry and one upstream for each script."""

    def __init__(self, *scripts, limits=None):
        self.upstreams = [
            Upstream(f'u{number}', script)
            for number, script in enumerate(scripts)
        ]
        self.log = RecordingLog()
        settings = DirectSettings(
            node='entry',
            availability_zone='z',
            callers='127.0.0.1:0',
            readiness='',
            metrics='',
            peers='',
            store='',
            retries=RetryLimits(0.2, 1000, 10),
            grace_s=8,
            seed=1,
        )
        self.entry = DirectEntry(
            settings,
            PlatformHeaderCodec(),
            self.log,
            Metrics(),
        )
        self.entry.apply_configuration(
            make_route_table(
                1,
                ROUTES,
                [],
                {'key': Team('team')},
                limits or CallerLimits(),
            ),
        )
        forwarder = self.entry.forwarder
        forwarder.entry_count.seen_at = {1: math.inf}
        forwarder.started_at = -math.inf
        self.entry.replace_upstreams(
            [upstream.entry for upstream in self.upstreams]
        )

    def __enter__(self):
        self.entry.start()
        return self

    def __exit__(self, *_):
        self.entry.close()
        for upstream in self.upstreams:
            upstream.server.stop(timeout=0)

    def connect(self):
        """Open a caller's connection."""
        port = self.entry.server.server_port
        sock = socket.create_connection(('127.0.0.1', port))
        sock.settimeout(TIMEOUT_S)
        return sock

    def raw(self, request):
        """Send bytes and read until the connection ends.

        :returns: all bytes received.
        """
        sock = self.connect()
        sock.sendall(request)
        return read_all(sock)

    def call(self, path, method='POST', body=b'', key='key', extra=''):
        """Send a well-formed request of a caller.

        :returns: status, headers and body; status 0 if the connection was
            closed before the answer.
        """
        request = (
            f'{method} {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'X-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n'
            f'Authorization: Bearer {key}\r\nConnection: close\r\n{extra}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        return parse(self.raw(request))

    @property
    def runs(self):
        """Return the number of requests that reached an upstream."""
        return sum(len(upstream.seen) for upstream in self.upstreams)


def read_all(sock):
    """Read until a connection ends or is reset."""
    parts = []
    with gevent.Timeout(TIMEOUT_S):
        while True:
            try:
                part = sock.recv(65536)
            except ConnectionResetError:
                break
            if not part:
                break
            parts.append(part)
    return b''.join(parts)


def parse(received):
    """Parse an answer.

    :returns: status, headers and body; the body is None if a chunked answer
        is incomplete.
    """
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    if headers.get('transfer-encoding') == 'chunked':
        body = decode_chunks(body)
    status = int(lines[0].split()[1]) if lines[0] else 0
    return status, headers, body


def decode_chunks(body):
    """Decode a chunked body.

    :returns: the body, or None if the last chunk is missing.
    """
    whole = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return whole
        whole += rest[:length]
        body = rest[length + 2 :]
    return None
