"""Simulate model servers: one plain server, or all ranks of a group.

A request is written to the file of runs before its execution starts, so that
the checks see every request that ran. Commands are JSON lines on standard
input.
"""

import hashlib
import json
import os
import random
import signal
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.fileobject import FileObject
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer
from geventhttpclient import HTTPClient

from soak.group import EngineGroup
from soak.wire import (
    ConnectionEnded,
    answer_body,
    event,
    format_head,
    read_body,
    read_head,
)

HEARTBEAT_S = 1.2
# Time for which a server is cold after its start.
COLD_START_S = 3.0
MAX_QUEUED = 4
SERVICE_TIME_S = 0.04
LEAVING = {'Server-Leaving': '1'}
# Promised time for which a draining server still serves requests.
DRAIN_PERIOD_S = 2.0
# A draining server continues to serve for this long after the promised time.
EXTRA_DRAIN_S = 1.5
IDLE_TIMEOUT_S = 5
HANG_S = 30.0
# Prefix of the ids of parts of prompts that crash each server which begins to
# answer, and the exit status of such a server.
CRASHING_PART = 'crash'
CRASHED_STATUS = 70
# Time from the head of an answer to the crash.
CRASH_DELAY_S = 0.03
NOT_EXECUTED = {'X-Not-Executed': '1'}


@dataclass(slots=True)
class AnswerFault:
    """Describe a fault that affects a share of the answers."""

    kind: str = ''
    share: float = 0

    def choose_kind(self) -> str:
        """Choose whether the fault affects an answer.

        :returns: the kind of fault, or an empty string.
        """
        return self.kind if random.random() < self.share else ''


@dataclass(eq=False, slots=True)
class Server:
    """Serve requests at one address and keep its row in the store.

    :param store: URL of the store.
    :param row: the server's row in the store.
    :param runs_fd: descriptor of the file that receives one line per event.
    :param group: the rank group, None for a plain server.
    :param heartbeats: number of rows written so far, its sequence.
    :param held_until: Unix time until which requests are refused with the time
        after which to retry.
    :param limit: announced limit in requests per second, 0 for none.
    :param born: Unix time of the start, in ms.
    :param cold_until: Unix time until which the server is cold.
    :param arrivals: times of the requests in the last second.
    """

    name: str
    listen: tuple[str, int]
    store: str
    row: dict[str, Any]
    runs_fd: int
    group: EngineGroup | None = None
    rank: int = 0
    answer_fault: AnswerFault = field(default_factory=AnswerFault)
    active: int = 0
    waiting: int = 0
    heartbeats: int = 0
    held_until: float = 0
    limit: float = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    cold_until: float = 0
    arrivals: deque[float] = field(default_factory=deque)
    slots: Any = None
    listener: Any = None

    def start(self) -> None:
        """Start listening and sending heartbeats."""
        self.slots = BoundedSemaphore(self.row['slots'])
        self.listener = StreamServer(self.listen, self.serve)
        self.listener.start()
        self.become_cold(COLD_START_S, is_start=True)
        gevent.spawn(self.send_heartbeats)

    def send_heartbeats(self) -> None:
        """Write the row to the store periodically until the server leaves."""
        while self.row['state'] != 'gone':
            self.write_row(self.row)
            gevent.sleep(HEARTBEAT_S)

    def write_row(self, row: dict[str, Any] | None) -> None:
        """Write the row to the store, or remove it if it is None."""
        self.heartbeats += 1
        if row is not None:
            row = self.stated_row(row)
        body = json.dumps({'key': self.name, 'row': row})
        client = HTTPClient.from_url(self.store)
        try:
            client.post('/own/row', body).read()
        except OSError as error:
            sys.stderr.write(
                f'{self.name}: writing to the store failed: {error}\n'
            )
        finally:
            client.close()

    def stated_row(self, row: dict[str, Any]) -> dict[str, Any]:
        """Complete a row by what the server states now.

        :returns: the row.
        """
        left_s = max(0.0, self.cold_until - time.time())
        return {
            **row,
            'born': self.born,
            'sequence': self.heartbeats,
            'coldRemainingMs': round(left_s * 1000),
        }

    def become_cold(self, cold_s: float, *, is_start: bool = False) -> None:
        """Be cold for a time, which the next row states."""
        self.cold_until = time.time() + cold_s
        self.write_event({'cold_until': self.cold_until, 'start': is_start})

    def count_arrival(self, attempt: str, arrived: float) -> None:
        """Count the requests of the last second; write those while cold."""
        self.arrivals.append(arrived)
        while self.arrivals[0] <= arrived - 1:
            self.arrivals.popleft()
        if arrived < self.cold_until:
            self.write_event(
                {
                    'cold_arrival': attempt,
                    'arrived': arrived,
                    'in_second': len(self.arrivals),
                }
            )

    def drain(self) -> None:
        """Drain, and remove the row after the last request."""
        self.row = {**self.row, 'state': 'draining'}
        self.write_row(self.row)
        self.write_event({'draining': time.time()})
        gevent.sleep(DRAIN_PERIOD_S + EXTRA_DRAIN_S)
        while self.active:
            gevent.sleep(0.1)
        self.row = {**self.row, 'state': 'gone'}
        self.write_row(None)
        self.listener.stop(timeout=0)

    def write_event(self, facts: dict[str, Any]) -> None:
        """Write one event for the checks."""
        line = {
            'server': self.name,
            'service': self.row['service'],
            'zone': self.row['zone'],
            'at': time.time(),
            **facts,
        }
        os.write(self.runs_fd, f'{json.dumps(line)}\n'.encode())

    def serve(self, sock: socket.socket, _address: object) -> None:
        """Handle the requests of one connection in sequence."""
        reader = sock.makefile('rb')
        sock.settimeout(IDLE_TIMEOUT_S)
        try:
            while head := read_head(reader):
                words, headers = head
                body = read_body(reader, headers)
                if not self.handle_request(sock, words, headers, body):
                    break
        except (ConnectionEnded, OSError):
            # The client closed the connection or was idle too long.
            pass
        finally:
            reader.close()
            sock.close()

    def handle_request(
        self,
        sock: socket.socket,
        words: list[str],
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Admit, queue or refuse one request.

        :returns: whether the connection stays open.
        """
        path = words[1]
        arrived = time.time()
        if path.startswith('/v1/') and self.group is not None:
            return self.group.answer_engine_call(sock, self, path, body)
        attempt = headers.get('x-attempt-id', '')
        expected = headers.get('x-expected-instance', self.name)
        if expected != self.name:
            self.refuse(sock, 421, attempt, {'At-Server': self.name})
            return True
        self.count_arrival(attempt, arrived)
        if arrived < self.held_until:
            self.write_event({'held': attempt, 'until': self.held_until})
            left_s = f'{self.held_until - arrived:.3f}'
            self.refuse(
                sock, 503, attempt, {**NOT_EXECUTED, 'Retry-After': left_s}
            )
            return True
        if self.group is not None and not self.group.is_open:
            self.refuse(sock, 503, attempt, NOT_EXECUTED)
            return True
        if self.waiting >= MAX_QUEUED:
            self.refuse(sock, 503, attempt, NOT_EXECUTED)
            return True
        deadline_s = int(headers.get('x-deadline-ms', 0)) / 1000
        self.waiting += 1
        acquired = self.slots.acquire(timeout=deadline_s)
        self.waiting -= 1
        if not acquired:
            self.refuse(sock, 503, attempt, NOT_EXECUTED)
            return True
        self.active += 1
        try:
            return self.execute(sock, words, headers, body, arrived)
        finally:
            self.active -= 1
            self.slots.release()

    def execute(
        self,
        sock: socket.socket,
        words: list[str],
        headers: dict[str, str],
        body: bytes,
        arrived: float,
    ) -> bool:
        """Execute one request and answer it, with a fault if one is set.

        :returns: whether the connection stays open.
        """
        attempt = headers['x-attempt-id']
        kind = self.answer_fault.choose_kind()
        status = 500 if kind == 'errors' else 200
        self.write_event(
            {
                'attempt': attempt,
                'arrived': arrived,
                'method': words[0],
                'path': words[1],
                'team': headers.get('x-tenant', ''),
                'key': headers.get('authorization', ''),
                'body': hashlib.sha256(body).hexdigest(),
                'status': status,
            }
        )
        gevent.sleep(SERVICE_TIME_S)
        part = find_crashing_part(headers)
        if part:
            self.crash(sock, attempt, part)
        match kind:
            case 'lost':
                return False
            case 'hang':
                # The run is over and only its answer is never sent, so that the
                # engine does not report it as running.
                self.active -= 1
                gevent.sleep(HANG_S)
                self.active += 1
                return False
            case 'rubbish':
                sock.sendall(b'\x00\x16garbage\r\n\r\n' * 3)
                return False
        if 'x-token-counts' in headers and status == 200:
            return self.stream_answer(sock, attempt, headers, cut=kind == 'cut')
        answer = self.make_answer(
            attempt, status, answer_body(attempt, self.name)
        )
        if kind == 'cut':
            sock.sendall(answer[: len(answer) // 2])
            return False
        sock.sendall(answer)
        if kind == 'extra':
            sock.sendall(answer)
        return bool(self.row['state'] == 'ready')

    def crash(self, sock: socket.socket, attempt: str, part: str) -> None:
        """End the process after the head of an answer."""
        headers = {
            **self.make_headers(attempt),
            'Transfer-Encoding': 'chunked',
        }
        sock.sendall(format_head('HTTP/1.1 200 X', headers))
        gevent.sleep(CRASH_DELAY_S)
        self.write_event({'crashed': attempt, 'part': part})
        os._exit(CRASHED_STATUS)

    def make_headers(self, attempt: str) -> dict[str, Any]:
        """Build the headers of an answer to an executed request."""
        headers = {
            'X-Attempt-Id': attempt,
            'X-Server-Signature': self.name,
            'X-Server-Load': f'{self.active},{self.waiting},'
            f'{self.row["slots"]}',
            'Keep-Alive': f'timeout={IDLE_TIMEOUT_S}',
        }
        if self.limit:
            headers['Server-Limit'] = f'{self.limit:.2f}'
        if self.row['state'] != 'ready':
            headers['Connection'] = 'close'
            headers.update(LEAVING)
        return headers

    def make_answer(self, attempt: str, status: int, body: bytes) -> bytes:
        """Build a complete answer."""
        headers = self.make_headers(attempt)
        headers['Content-Length'] = len(body)
        return format_head(f'HTTP/1.1 {status} X', headers) + body

    def stream_answer(
        self,
        sock: socket.socket,
        attempt: str,
        headers: dict[str, str],
        *,
        cut: bool,
    ) -> bool:
        """Send a stream's events that follow the caller's last one.

        :returns: whether the connection stays open.
        """
        last = int(headers['x-token-counts'].partition(',')[2])
        first = int(headers.get('last-event-id', 0)) + 1
        answer_headers = self.make_headers(attempt)
        answer_headers['Content-Type'] = 'text/event-stream'
        answer_headers['Transfer-Encoding'] = 'chunked'
        sock.sendall(format_head('HTTP/1.1 200 X', answer_headers))
        cut_number = random.randint(first, max(first, last))
        for number in range(first, last + 1):
            if not self.wait_for_token():
                return False
            part = event(attempt, number, last)
            if cut and number == cut_number:
                sock.sendall(b'%x\r\n%b' % (len(part), part[:7]))
                return False
            sock.sendall(b'%x\r\n%b\r\n' % (len(part), part))
        sock.sendall(b'0\r\n\r\n')
        return bool(self.row['state'] == 'ready')

    def wait_for_token(self) -> bool:
        """Wait for the next token.

        :returns: False if the group broke while waiting.
        """
        if self.group is None:
            gevent.sleep(SERVICE_TIME_S)
            return True
        return self.group.wait_for_pass()

    def refuse(
        self,
        sock: socket.socket,
        status: int,
        attempt: str,
        extra_headers: dict[str, str],
    ) -> None:
        """Answer a request that was not executed."""
        self.write_event({'rejected': attempt})
        headers = {
            'X-Attempt-Id': attempt,
            'Content-Length': '0',
            **extra_headers,
            **({} if self.row['state'] == 'ready' else LEAVING),
        }
        sock.sendall(format_head(f'HTTP/1.1 {status} X', headers))


def find_crashing_part(headers: dict[str, str]) -> str:
    """Find a part of a prompt that crashes servers.

    :returns: its id, empty if there is none.
    """
    parts = headers.get('x-prompt-prefix', '').split(',')
    ids = [part.partition(':')[0] for part in parts[:-1]]
    return next((each for each in ids if each.startswith(CRASHING_PART)), '')


def execute_command(servers: list[Server], command: dict[str, Any]) -> None:
    """Execute one command."""
    if command['do'] == 'hold':
        for server in servers:
            server.held_until = time.time() + command['for_s']
        return
    if command['do'] == 'cold':
        for server in servers:
            server.become_cold(command['for_s'])
            gevent.spawn(server.write_row, server.row)
        return
    if command['do'] == 'limit':
        for server in servers:
            server.limit = command['per_s']
            server.write_event({'limit': server.limit})
        return
    if command['do'] == 'trouble':
        for server in servers:
            server.answer_fault = AnswerFault(command['how'], command['share'])
        return
    group = servers[0].group
    if group is None:
        return
    if command['do'] == 'reform':
        gevent.spawn(group.reform)
    else:
        group.late_order_share = command['share']


def main() -> None:
    """Run the servers that the first argument describes as JSON."""
    settings = json.loads(sys.argv[1])
    runs_fd = os.open(settings['runs'], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    servers = [
        Server(
            description['name'],
            tuple(description['listen']),
            settings['store'],
            description['fields'],
            runs_fd,
            rank=rank,
        )
        for rank, description in enumerate(settings['servers'])
    ]
    if settings['group']:
        group = EngineGroup(
            settings['group'], len(servers), servers[0].write_event
        )
        group.start()
        for server in servers:
            server.group = group
    for server in servers:
        server.start()
    draining = Event()
    gevent.signal_handler(signal.SIGTERM, draining.set)
    gevent.spawn(read_commands, servers)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    draining.wait()
    gevent.joinall([gevent.spawn(each.drain) for each in servers])


def read_commands(servers: list[Server]) -> None:
    """Execute commands until standard input ends."""
    commands = FileObject(sys.stdin.buffer, 'rb')
    while line := commands.readline():
        execute_command(servers, json.loads(line))


if __name__ == '__main__':
    main()
