"""Stand in for model servers: one plain server, or all ranks of a group.

A request that begins to run is written to the file of runs before anything
else happens, so what the checks read is what has run. Commands are JSON
lines on standard input.
"""

import hashlib
import json
import os
import random
import signal
import sys
import time
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
    Ended,
    answer_body,
    event,
    read_body,
    read_head,
    write_head,
)

BEAT_S = 1.2
QUEUE = 4
WORK_S = 0.04
DRAIN_S = 2.0
# A leaving server goes on for this long beyond the time that was promised.
DRAIN_MORE_S = 1.5
IDLE_S = 5
HUNG_S = 30.0
NOT_RUN = {'X-Not-Executed': '1'}


@dataclass(slots=True)
class Trouble:
    """Harm a share of the answers in one way."""

    how: str = ''
    share: float = 0

    def strikes(self) -> str:
        """Draw whether an answer is harmed.

        :returns: how, or nothing.
        """
        return self.how if random.random() < self.share else ''


@dataclass(eq=False, slots=True)
class Server:
    """Serve requests at one address, as one entry of the store's list.

    :param fields: the entry that the store lists.
    :param runs: file that takes a line a run.
    """

    name: str
    listen: tuple[str, int]
    store: str
    fields: dict[str, Any]
    runs: int
    group: EngineGroup | None = None
    rank: int = 0
    trouble: Trouble = field(default_factory=Trouble)
    active: int = 0
    waiting: int = 0
    beats: int = 0
    slots: Any = None
    listener: Any = None

    def start(self) -> None:
        """Begin to listen, and to beat."""
        self.slots = BoundedSemaphore(self.fields['slots'])
        self.listener = StreamServer(self.listen, self.serve)
        self.listener.start()
        gevent.spawn(self.beat)

    def beat(self) -> None:
        """Write the entry to the store for as long as this lives."""
        while self.fields['state'] != 'gone':
            self.tell(self.fields)
            gevent.sleep(BEAT_S)

    def tell(self, row: dict[str, Any] | None) -> None:
        """Write the entry, or remove it."""
        self.beats += 1
        body = json.dumps({'key': self.name, 'row': row})
        client = HTTPClient.from_url(self.store)
        try:
            client.post('/own/row', body).read()
        except OSError as error:
            sys.stderr.write(f'{self.name}: store: {error}\n')
        finally:
            client.close()

    def drain(self) -> None:
        """Leave as planned; the entry goes once all is over."""
        self.fields = {**self.fields, 'state': 'draining'}
        self.tell(self.fields)
        self.note({'draining': time.time()})
        gevent.sleep(DRAIN_S + DRAIN_MORE_S)
        while self.active:
            gevent.sleep(0.1)
        self.fields = {**self.fields, 'state': 'gone'}
        self.tell(None)
        self.listener.stop(timeout=0)

    def note(self, facts: dict[str, Any]) -> None:
        """Write one line that the checks read."""
        line = {'server': self.name, 'at': time.time(), **facts}
        os.write(self.runs, f'{json.dumps(line)}\n'.encode())

    def serve(self, sock: socket.socket, _address: object) -> None:
        """Take requests on one connection, one after the other."""
        reader = sock.makefile('rb')
        sock.settimeout(IDLE_S)
        try:
            while head := read_head(reader):
                words, headers = head
                body = read_body(reader, headers)
                if not self.take(sock, words, headers, body):
                    break
        except (Ended, OSError):
            # The caller left.
            pass
        finally:
            reader.close()
            sock.close()

    def take(
        self,
        sock: socket.socket,
        words: list[str],
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Answer one request.

        :returns: whether the connection stays open.
        """
        path = words[1]
        arrived = time.time()
        if path.startswith('/v1/') and self.group is not None:
            return self.group.answer(sock, self, path, body)
        attempt = headers.get('x-attempt-id', '')
        expected = headers.get('x-expected-instance', self.name)
        if expected != self.name:
            self.reply(sock, 421, attempt, {'At-Server': self.name})
            return True
        if self.group is not None and not self.group.open:
            self.reply(sock, 503, attempt, NOT_RUN)
            return True
        if self.waiting >= QUEUE:
            self.reply(sock, 503, attempt, NOT_RUN)
            return True
        left_s = int(headers.get('x-deadline-ms', 0)) / 1000
        self.waiting += 1
        got = self.slots.acquire(timeout=left_s)
        self.waiting -= 1
        if not got:
            self.reply(sock, 503, attempt, NOT_RUN)
            return True
        self.active += 1
        try:
            return self.run(sock, words, headers, body, arrived)
        finally:
            self.active -= 1
            self.slots.release()

    def run(
        self,
        sock: socket.socket,
        words: list[str],
        headers: dict[str, str],
        body: bytes,
        arrived: float,
    ) -> bool:
        """Run one request and answer it, unless a trouble strikes.

        :returns: whether the connection stays open.
        """
        attempt = headers['x-attempt-id']
        how = self.trouble.strikes()
        status = 500 if how == 'errors' else 200
        self.note(
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
        gevent.sleep(WORK_S)
        match how:
            case 'lost':
                return False
            case 'hang':
                gevent.sleep(HUNG_S)
                return False
            case 'rubbish':
                sock.sendall(b'\x00\x16garbage\r\n\r\n' * 3)
                return False
        if 'x-token-counts' in headers and status == 200:
            return self.stream(sock, attempt, headers, cut=how == 'cut')
        whole = self.answer(attempt, status, answer_body(attempt, self.name))
        if how == 'cut':
            sock.sendall(whole[: len(whole) // 2])
            return False
        sock.sendall(whole)
        if how == 'extra':
            sock.sendall(whole)
        return bool(self.fields['state'] == 'ready')

    def head_of(self, attempt: str) -> dict[str, Any]:
        """Write the headers of all answers to what ran."""
        headers = {
            'X-Attempt-Id': attempt,
            'X-Server-Signature': self.name,
            'X-Server-Load': f'{self.active},{self.waiting},'
            f'{self.fields["slots"]}',
            'Keep-Alive': f'timeout={IDLE_S}',
        }
        if self.fields['state'] != 'ready':
            headers['Connection'] = 'close'
        return headers

    def answer(self, attempt: str, status: int, body: bytes) -> bytes:
        """Write a whole answer."""
        headers = self.head_of(attempt)
        headers['Content-Length'] = len(body)
        return write_head(f'HTTP/1.1 {status} X', headers) + body

    def stream(
        self,
        sock: socket.socket,
        attempt: str,
        headers: dict[str, str],
        *,
        cut: bool,
    ) -> bool:
        """Send the events of a stream, from where the caller is.

        :returns: whether the connection stays open.
        """
        last = int(headers['x-token-counts'].partition(',')[2])
        first = int(headers.get('last-event-id', 0)) + 1
        sent = self.head_of(attempt)
        sent['Content-Type'] = 'text/event-stream'
        sent['Transfer-Encoding'] = 'chunked'
        sock.sendall(write_head('HTTP/1.1 200 X', sent))
        middle = random.randint(first, max(first, last))
        for number in range(first, last + 1):
            if not self.pace():
                return False
            part = event(attempt, number, last)
            if cut and number == middle:
                sock.sendall(b'%x\r\n%b' % (len(part), part[:7]))
                return False
            sock.sendall(b'%x\r\n%b\r\n' % (len(part), part))
        sock.sendall(b'0\r\n\r\n')
        return bool(self.fields['state'] == 'ready')

    def pace(self) -> bool:
        """Wait for the next token.

        :returns: False where the group broke meanwhile.
        """
        if self.group is None:
            gevent.sleep(WORK_S)
            return True
        return self.group.next_pass()

    def reply(
        self,
        sock: socket.socket,
        status: int,
        attempt: str,
        more: dict[str, str],
    ) -> None:
        """Answer what did not run."""
        headers = {'X-Attempt-Id': attempt, 'Content-Length': '0', **more}
        sock.sendall(write_head(f'HTTP/1.1 {status} X', headers))


def obey(servers: list[Server], command: dict[str, Any]) -> None:
    """Carry one command out."""
    if command['do'] == 'trouble':
        for server in servers:
            server.trouble = Trouble(command['how'], command['share'])
        return
    group = servers[0].group
    if group is None:
        return
    if command['do'] == 'reform':
        gevent.spawn(group.reform)
    else:
        group.late_share = command['share']


def main() -> None:
    """Run the servers that the first argument describes as JSON."""
    told = json.loads(sys.argv[1])
    runs = os.open(told['runs'], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    servers = [
        Server(
            one['name'],
            tuple(one['listen']),
            told['store'],
            one['fields'],
            runs,
            rank=rank,
        )
        for rank, one in enumerate(told['servers'])
    ]
    if told['group']:
        group = EngineGroup(told['group'], len(servers), servers[0].note)
        group.start()
        for server in servers:
            server.group = group
    for server in servers:
        server.start()
    leaving = Event()
    gevent.signal_handler(signal.SIGTERM, leaving.set)
    gevent.spawn(take_commands, servers)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    leaving.wait()
    gevent.joinall([gevent.spawn(one.drain) for one in servers])


def take_commands(servers: list[Server]) -> None:
    """Obey until standard input ends."""
    commands = FileObject(sys.stdin.buffer, 'rb')
    while line := commands.readline():
        obey(servers, json.loads(line))


if __name__ == '__main__':
    main()
