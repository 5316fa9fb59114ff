"""Hold connections to upstreams and send requests over them.

Every connection finds out by itself that its other end went silent: the
kernel gives up unacknowledged data and unanswered probes.
"""

import time
from collections import deque

from gevent import socket

from comfreyarch_daemon.answerparser import Answer, AnswerParser
from comfreyarch_daemon.settings import split_address

# Unacknowledged data for this long means that the other end is gone.
UNACKNOWLEDGED_MS = 1200
PROBE_IDLE_S = 1
PROBE_GAP_S = 1
PROBES = 1
# A socket without time would not block, and fail at once.
SHORTEST_WAIT_S = 0.001
READ_BYTES = 65536
# Longest that an unused connection is trusted where its owner says nothing.
KEEP_IDLE_S = 4.0
# Part of the stated idle time that is used, against requests that cross.
KEEP_SHARE = 0.6
# Longer bodies are sent while the answer is awaited.
SMALL_BODY_BYTES = 16384


def boot_time() -> float:
    """Give a steady time that goes on while the instance is suspended.

    :returns: seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CallError(Exception):
    """Report that no answer came, and why."""


class Unreachable(CallError):
    """Report that no connection was made, so nothing was sent."""


class Silent(CallError):
    """Report that nothing came in the time allowed."""


class Broken(CallError):
    """Report that the connection broke or its bytes are no answer."""


class Connection:
    """Be one connection to an upstream or to the store.

    :param answered: answers taken over it so far.
    """

    __slots__ = (
        'address',
        'answered',
        'idle_since',
        'keep_s',
        'parser',
        'sock',
    )

    def __init__(self, address: str) -> None:
        """Name the other end; nothing is opened yet."""
        self.address = address
        self.sock: socket.socket = socket.socket()
        self.parser = AnswerParser('')
        self.answered = 0
        self.idle_since = 0.0
        self.keep_s = KEEP_IDLE_S

    def start(self, timeout_s: float) -> None:
        """Connect.

        :raises Unreachable: where that fails in the time allowed.
        """
        set_probes(self.sock)
        self.sock.settimeout(max(timeout_s, SHORTEST_WAIT_S))
        try:
            self.sock.connect(split_address(self.address))
        except OSError as error:
            self.close()
            raise Unreachable(f'{self.address}: {error}') from error

    def close(self) -> None:
        """Close at once; what is under way is cut off."""
        self.sock.close()

    def send(self, request: bytes, method: str, timeout_s: float) -> None:
        """Send a request and expect its answer.

        :raises Broken: where the connection does not take it.
        """
        self.parser = AnswerParser(method)
        self.sock.settimeout(max(timeout_s, SHORTEST_WAIT_S))
        try:
            self.sock.sendall(request)
        except OSError as error:
            raise Broken(f'sending: {error}') from error

    def read(self, timeout_s: float) -> None:
        """Wait for more bytes and parse them.

        :raises Silent: after the time allowed.
        :raises Broken: where the connection ended before an answer's end.
        """
        parser = self.parser
        if parser.spoilt:
            raise Broken(f'no answer in these bytes: {parser.spoilt}')
        self.sock.settimeout(max(timeout_s, SHORTEST_WAIT_S))
        try:
            received = self.sock.recv(READ_BYTES)
        except TimeoutError as error:
            raise Silent(f'nothing for {timeout_s:.3f} s') from error
        except OSError as error:
            raise Broken(f'reading: {error}') from error
        parser.take_bytes(received)
        if not received and not (parser.answers and parser.answers[0].complete):
            raise Broken('the connection ended before the answer')

    def next_head(self, deadline: float) -> Answer:
        """Wait for the head of the next answer.

        :raises CallError: where none comes before the deadline.
        """
        answers = self.parser.answers
        while not answers or not answers[0].head:
            self.read(deadline - boot_time())
        return answers[0]

    def finish(self) -> None:
        """Drop the oldest answer: it was taken whole."""
        self.parser.answers.popleft()
        self.answered += 1

    def reusable(self) -> bool:
        """Tell whether another request may be sent over it.

        :returns: False where the other end closes or sent too much.
        """
        parser = self.parser
        return parser.keeps and not parser.spoilt and not parser.answers

    def fresh(self, now: float) -> bool:
        """Tell whether an idle connection is still good.

        :returns: False once it is old, closed, or has bytes to read.
        """
        if now - self.idle_since > self.keep_s:
            return False
        self.sock.settimeout(0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def set_probes(sock: socket.socket) -> None:
    """Let the kernel find out that the other end went silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_GAP_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)


class ConnectionPool:
    """Keep idle connections to upstreams, newest first.

    :param opened: connections opened so far.
    """

    __slots__ = ('idle', 'opened')

    def __init__(self) -> None:
        """Start with none."""
        self.idle: dict[str, deque[Connection]] = {}
        self.opened = 0

    def take(self, name: str) -> Connection | None:
        """Take an idle connection to an upstream.

        :param name: the upstream's identifier, not its address.
        :returns: None where there is none that is good.
        """
        idle = self.idle.get(name)
        now = boot_time()
        while idle:
            connection = idle.pop()
            if connection.fresh(now):
                return connection
            connection.close()
        return None

    def open(self, address: str, timeout_s: float) -> Connection:
        """Open a new connection.

        :raises Unreachable: where that fails.
        """
        connection = Connection(address)
        self.opened += 1
        connection.start(timeout_s)
        return connection

    def give_back(self, name: str, connection: Connection) -> None:
        """Keep a connection for later, or close it."""
        if not connection.reusable():
            connection.close()
            return
        connection.idle_since = boot_time()
        self.idle.setdefault(name, deque()).append(connection)

    def keep_only(self, names: set[str]) -> None:
        """Close the idle connections to upstreams that are gone."""
        for name in self.idle.keys() - names:
            for connection in self.idle.pop(name):
                connection.close()

    def trim(self) -> None:
        """Close what has been idle for too long."""
        now = boot_time()
        for idle in self.idle.values():
            while idle and now - idle[0].idle_since > idle[0].keep_s:
                idle.popleft().close()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(set())
