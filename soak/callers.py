"""Call entries as the users' clients do, and keep what was seen."""

import hashlib
import random
import time
from dataclasses import dataclass, field
from typing import Any, BinaryIO

import gevent
from gevent import socket

from soak.fleet import CALLERS_PORT, READY_PORT, Fleet
from soak.wire import (
    Ended,
    read_body,
    read_chunk,
    read_head,
    write_head,
)

HOST = 'soak.example'
CONNECT_S = 1.0
# A caller waits a little longer than the deadline that it states.
EXTRA_S = 4.0
RETRYABLE = (408, 421, 429, 503)
LEAVE_SHARE = 0.05
EVENTS = (5, 25)
STEP_S = 0.5
MISSES = 2


@dataclass(frozen=True, slots=True)
class Sheet:
    """Say what callers know of one kind of request."""

    path: str
    kind: str
    deadline_s: float
    streams: bool = False


SHEETS = (
    Sheet('/draft/', 'resumable', 8, streams=True),
    Sheet('/letter/', 'once', 8, streams=True),
    Sheet('/look/', 'safe', 4),
    Sheet('/book/', 'once', 4),
)


@dataclass(slots=True)
class Seen:
    """Hold one attempt of a caller and its outcome; times are of day.

    :param events: ids and texts of the events that came whole.
    :param whole: the answer ended as its framing says.
    :param read_all: the request was sent in full.
    :param left: the caller went away.
    """

    attempt: str
    entry: str
    sheet: Sheet
    target: str
    key: str
    body: str
    last: int
    at: float
    sent_at: float = 0
    ended_at: float = 0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b''
    whole: bool = False
    read_all: bool = False
    left: bool = False
    error: str = ''


class Rotation:
    """Know which entries count as ready, as the platform's front does."""

    def __init__(self, fleet: Fleet) -> None:
        """Take all entries as ready at first."""
        self.fleet = fleet
        self.missed = dict.fromkeys(fleet.entries, MISSES)

    def run(self) -> None:
        """Ask all entries once a second."""
        while True:
            for number, name in enumerate(self.fleet.entries):
                gevent.spawn(self.ask, name, f'127.0.1.{number + 1}')
            gevent.sleep(1)

    def ask(self, name: str, host: str) -> None:
        """Ask one entry."""
        try:
            sock = socket.create_connection((host, READY_PORT), CONNECT_S)
        except OSError:
            self.missed[name] += 1
            return
        try:
            sock.sendall(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            good = b' 200 ' in sock.recv(100)
        except OSError:
            good = False
        finally:
            sock.close()
        self.missed[name] = 0 if good else self.missed[name] + 1

    def draw(self) -> str:
        """Draw an entry for a new connection."""
        ready = [
            name for name, missed in self.missed.items() if missed < MISSES
        ]
        return random.choice(ready or list(self.missed))


class Callers:
    """Keep some callers calling.

    :param keys: key → team, of those that callers hold.
    :param seen: all attempts so far.
    """

    def __init__(self, fleet: Fleet, keys: dict[str, str]) -> None:
        """Prepare; nobody calls yet."""
        self.fleet = fleet
        self.rotation = Rotation(fleet)
        self.keys = keys
        self.seen: list[Seen] = []
        self.pause_s = 0.05
        self.stopped = False
        self.workers: list[gevent.Greenlet] = []

    def start(self, count: int) -> None:
        """Start callers."""
        gevent.spawn(self.rotation.run)
        self.workers = [gevent.spawn(self.call_on) for _ in range(count)]

    def stop(self) -> None:
        """Let all end what they have begun."""
        self.stopped = True
        gevent.joinall(self.workers)

    def call_on(self) -> None:
        """Call again and again; connections are kept for some requests."""
        sock = None
        entry = ''
        while not self.stopped:
            gevent.sleep(random.expovariate(1 / self.pause_s))
            if sock is None:
                entry = self.rotation.draw()
                sock = connect(self.fleet, entry)
            if sock is None:
                continue
            sheet = random.choices(SHEETS, (4, 1, 2, 2))[0]
            seen = self.one(sock, entry, sheet)
            keep = seen.headers.get('connection', '') != 'close'
            if not seen.whole or not keep or random.random() < 0.2:
                sock.close()
                sock = None
            if seen.status in RETRYABLE:
                wait_s = float(seen.headers.get('retry-after', 0))
                gevent.sleep(min(wait_s, sheet.deadline_s / 3))

    def one(self, sock: socket.socket, entry: str, sheet: Sheet) -> Seen:
        """Make one request.

        :returns: what was seen of it.
        """
        attempt = f'{random.getrandbits(64):016x}'
        key = random.choice(list(self.keys))
        body = random.randbytes(random.randint(0, 3000))
        seen = Seen(
            attempt,
            entry,
            sheet,
            f'{sheet.path}x/{random.randint(0, 9)}?q=1',
            key,
            hashlib.sha256(body).hexdigest(),
            random.randint(*EVENTS),
            time.time(),
        )
        self.seen.append(seen)
        headers: dict[str, Any] = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': int(sheet.deadline_s * 1000),
            'Authorization': f'Bearer {key}',
            'Content-Length': len(body),
        }
        if sheet.streams:
            headers['X-Token-Counts'] = f'100,{seen.last}'
        patience = sheet.deadline_s + EXTRA_S
        if random.random() < LEAVE_SHARE:
            patience = random.uniform(0, 0.3)
        first = f'POST {seen.target} HTTP/1.1'
        with gevent.Timeout(patience, False):
            self.exchange(sock, write_head(first, headers) + body, seen)
        seen.ended_at = time.time()
        if not seen.whole and not seen.error:
            seen.left = True
            sock.close()
        return seen

    def exchange(self, sock: socket.socket, request: bytes, seen: Seen) -> None:
        """Send and read to the end of the answer."""
        reader = sock.makefile('rb')
        try:
            sock.sendall(request)
            seen.read_all = True
            seen.sent_at = time.time()
            self.read(reader, seen)
        except (Ended, OSError, ValueError) as error:
            seen.error = repr(error)
        finally:
            reader.close()

    def read(self, reader: BinaryIO, seen: Seen) -> None:
        """Read an answer.

        :raises Ended: where it ends before its framing says.
        """
        head = read_head(reader)
        if head is None:
            raise Ended('before the answer')
        words, seen.headers = head
        seen.status = int(words[1])
        if seen.headers.get('transfer-encoding') == 'chunked':
            while chunk := read_chunk(reader):
                seen.answer += chunk
        elif 'content-length' in seen.headers:
            seen.answer = read_body(reader, seen.headers)
        else:
            seen.answer = reader.read()
        seen.whole = True


def connect(fleet: Fleet, entry: str) -> socket.socket | None:
    """Open a connection to an entry, over its link.

    :returns: None where that fails.
    """
    host = f'127.0.1.{fleet.entries.index(entry) + 1}'
    try:
        sock = socket.create_connection((host, CALLERS_PORT + 1), CONNECT_S)
    except OSError:
        return None
    sock.settimeout(None)
    return sock
