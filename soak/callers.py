"""Send requests as the users' clients do and record their outcomes."""

import hashlib
import random
import time
from dataclasses import dataclass, field
from typing import Any, BinaryIO

import gevent
from gevent import socket

from soak.fleet import CALLERS_PORT, READY_PORT, Fleet
from soak.wire import (
    ConnectionEnded,
    format_head,
    read_body,
    read_chunk,
    read_head,
)

HOST = 'soak.example'
CONNECT_TIMEOUT_S = 1.0
# Callers wait this much longer than the deadline in their request.
DEADLINE_MARGIN_S = 4.0
# Statuses of requests that were not executed.
RETRYABLE_STATUSES = (408, 421, 429, 503)
# Ratio of requests whose caller disconnects early.
ABANDON_RATIO = 0.05
EVENT_COUNT_RANGE = (5, 25)
# Ratio of requests with the part that crashes servers, while there is one.
CRASHING_RATIO = 0.1
# Number of different parts that prompts share, besides the first.
SHARED_PARTS = 30
STEP_S = 0.5
# Failed probes in a row after which an entry counts as not ready.
UNREADY_AFTER_FAILURES = 2


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Describe one kind of request: route, repeatability and deadline."""

    path: str
    kind: str
    deadline_s: float
    streams: bool = False


REQUEST_PROFILES = (
    RequestProfile('/draft/', 'resumable', 8, streams=True),
    RequestProfile('/letter/', 'once', 8, streams=True),
    RequestProfile('/look/', 'safe', 4),
    RequestProfile('/book/', 'once', 4),
)


@dataclass(slots=True)
class AttemptRecord:
    """Record one attempt of a caller and its outcome; times are Unix times.

    :param sheet: the profile of the request.
    :param target: path and query of the request.
    :param body: SHA-256 of the request body, in hex.
    :param last: number of the last event that a stream should have.
    :param at: when the request was created.
    :param whole: the answer was complete according to its framing.
    :param read_all: the request was sent in full.
    :param left: the caller closed the connection before the answer ended.
    """

    attempt: str
    entry: str
    sheet: RequestProfile
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
    crashing_part: str = ''


class ReadinessProber:
    """Probe the readiness of all entries, as the platform's front end does."""

    def __init__(self, fleet: Fleet) -> None:
        """Consider all entries not ready until they answer a probe."""
        self.fleet = fleet
        self.failures = dict.fromkeys(fleet.entries, UNREADY_AFTER_FAILURES)

    def run(self) -> None:
        """Probe all entries once a second."""
        while True:
            for number, name in enumerate(self.fleet.entries):
                gevent.spawn(self.probe, name, f'127.0.1.{number + 1}')
            gevent.sleep(1)

    def probe(self, name: str, host: str) -> None:
        """Probe one entry and count failures in a row."""
        try:
            sock = socket.create_connection(
                (host, READY_PORT), CONNECT_TIMEOUT_S
            )
        except OSError:
            self.failures[name] += 1
            return
        try:
            sock.sendall(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            is_ready = b' 200 ' in sock.recv(100)
        except OSError:
            is_ready = False
        finally:
            sock.close()
        self.failures[name] = 0 if is_ready else self.failures[name] + 1

    def choose_entry(self) -> str:
        """Choose a ready entry for a connection, or any if none is ready."""
        ready = [
            name
            for name, failures in self.failures.items()
            if failures < UNREADY_AFTER_FAILURES
        ]
        return random.choice(ready or list(self.failures))


class CallerPool:
    """Run concurrent callers and collect their attempts.

    :param keys: API key → team, for all keys that callers use.
    :param pause_s: mean pause of a caller between requests.
    :param crashing_part: part of a share of the prompts that crashes servers,
        empty for none.
    """

    def __init__(self, fleet: Fleet, keys: dict[str, str]) -> None:
        """Create the pool without starting callers."""
        self.fleet = fleet
        self.prober = ReadinessProber(fleet)
        self.keys = keys
        self.records: list[AttemptRecord] = []
        self.pause_s = 0.05
        self.crashing_part = ''
        self.stopped = False
        self.workers: list[gevent.Greenlet] = []

    def start(self, count: int) -> None:
        """Start the readiness probes and a number of callers."""
        gevent.spawn(self.prober.run)
        self.workers = [gevent.spawn(self.run_caller) for _ in range(count)]

    def stop(self) -> None:
        """Stop all callers after their current request."""
        self.stopped = True
        gevent.joinall(self.workers)

    def run_caller(self) -> None:
        """Send requests until stopped, reusing each connection for several."""
        sock = None
        entry = ''
        while not self.stopped:
            gevent.sleep(random.expovariate(1 / self.pause_s))
            if sock is None:
                entry = self.prober.choose_entry()
                sock = connect(self.fleet, entry)
            if sock is None:
                continue
            profile = random.choices(REQUEST_PROFILES, (4, 1, 2, 2))[0]
            record = self.send_request(sock, entry, profile)
            keep_alive = record.headers.get('connection', '') != 'close'
            if not record.whole or not keep_alive or random.random() < 0.2:
                sock.close()
                sock = None
            if record.status in RETRYABLE_STATUSES:
                wait_s = float(record.headers.get('retry-after', 0))
                gevent.sleep(min(wait_s, profile.deadline_s / 3))

    def send_request(
        self, sock: socket.socket, entry: str, profile: RequestProfile
    ) -> AttemptRecord:
        """Send one request and read its answer.

        :returns: the recorded attempt.
        """
        attempt = f'{random.getrandbits(64):016x}'
        key = random.choice(list(self.keys))
        body = random.randbytes(random.randint(0, 3000))
        record = AttemptRecord(
            attempt,
            entry,
            profile,
            f'{profile.path}x/{random.randint(0, 9)}?q=1',
            key,
            hashlib.sha256(body).hexdigest(),
            random.randint(*EVENT_COUNT_RANGE),
            time.time(),
        )
        self.records.append(record)
        headers: dict[str, Any] = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': int(profile.deadline_s * 1000),
            'Authorization': f'Bearer {key}',
            'Content-Length': len(body),
        }
        if profile.streams:
            headers['X-Token-Counts'] = f'100,{record.last}'
        if random.random() < CRASHING_RATIO:
            record.crashing_part = self.crashing_part
        headers['X-Prompt-Prefix'] = make_prompt_prefix(record)
        timeout_s = profile.deadline_s + DEADLINE_MARGIN_S
        if random.random() < ABANDON_RATIO:
            timeout_s = random.uniform(0, 0.3)
        first = f'POST {record.target} HTTP/1.1'
        with gevent.Timeout(timeout_s, False):
            self.exchange(sock, format_head(first, headers) + body, record)
        record.ended_at = time.time()
        if not record.whole and not record.error:
            record.left = True
            sock.close()
        return record

    def exchange(
        self, sock: socket.socket, request: bytes, record: AttemptRecord
    ) -> None:
        """Send a request and read the whole answer; record any error."""
        reader = sock.makefile('rb')
        try:
            sock.sendall(request)
            record.read_all = True
            record.sent_at = time.time()
            self.read_answer(reader, record)
        except (ConnectionEnded, OSError, ValueError) as error:
            record.error = repr(error)
        finally:
            reader.close()

    def read_answer(self, reader: BinaryIO, record: AttemptRecord) -> None:
        """Read an answer into the record.

        :raises ConnectionEnded: if the answer is incomplete.
        """
        head = read_head(reader)
        if head is None:
            raise ConnectionEnded('connection ended before the answer')
        words, record.headers = head
        record.status = int(words[1])
        if record.headers.get('transfer-encoding') == 'chunked':
            while chunk := read_chunk(reader):
                record.answer += chunk
        elif 'content-length' in record.headers:
            record.answer = read_body(reader, record.headers)
        else:
            record.answer = reader.read()
        record.whole = True


def make_prompt_prefix(record: AttemptRecord) -> str:
    """List the parts of a prompt: a common, a shared and an own one.

    :returns: the value of the header; a crashing part takes the shared one's
        place.
    """
    shared = record.crashing_part or f's{random.randrange(SHARED_PARTS)}'
    common = record.sheet.path.strip('/')
    return f'{common}:40,{shared}:40,{record.attempt}:100'


def connect(fleet: Fleet, entry: str) -> socket.socket | None:
    """Open a connection to an entry through its link.

    :returns: the socket, or None if the connection fails.
    """
    host = f'127.0.1.{fleet.entries.index(entry) + 1}'
    try:
        sock = socket.create_connection(
            (host, CALLERS_PORT + 1), CONNECT_TIMEOUT_S
        )
    except OSError:
        return None
    sock.settimeout(None)
    return sock
