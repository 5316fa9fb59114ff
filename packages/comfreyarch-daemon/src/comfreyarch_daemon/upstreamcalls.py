"""Open, pool and use HTTP connections to upstreams and to the store.

The kernel detects that the peer of a connection is gone: it aborts the
connection if data or keepalive probes stay unacknowledged.
"""

import time
from collections import deque

import gevent
from gevent import socket

from comfreyarch_core.answerbounds import AnswerMemory, make_answer_memory
from comfreyarch_daemon.answerparser import Answer, AnswerParser
from comfreyarch_daemon.settings import split_address

# The peer is gone if it does not acknowledge data for this long.
MAX_UNACKNOWLEDGED_MS = 1200
# Idle time after which the first keepalive probe is sent.
PROBE_IDLE_S = 1
# Time between keepalive probes.
PROBE_INTERVAL_S = 1
# Unanswered keepalive probes after which the peer is gone.
MAX_UNANSWERED_PROBES = 1
# A timeout of zero would make the socket non-blocking, so that the call fails
# at once.
MIN_TIMEOUT_S = 0.001
READ_BYTES = 65536
# Bytes of an answer that are read before other greenlets run.
MAX_UNYIELDED_BYTES = 262_144
# Idle time after which a connection is not used again, if the upstream does
# not state how long it keeps one.
DEFAULT_KEEP_ALIVE_S = 4.0
# Not applied yet: part of the stated idle time to use. The rest is a margin
# for a request that is sent while the upstream closes the connection.
KEEP_ALIVE_FRACTION = 0.6
# Not applied yet: longer bodies are to be sent while the answer is awaited.
SMALL_BODY_BYTES = 16384


def boot_time() -> float:
    """Return a monotonic time that includes time spent suspended.

    :returns: seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CallError(Exception):
    """Report that a request got no complete answer, and why."""


class Unreachable(CallError):
    """Report that no connection was opened, so nothing was sent.

    :param is_refused: whether the instance answered that nothing listens.
    """

    def __init__(self, why: str, *, is_refused: bool) -> None:
        """Record the reason."""
        super().__init__(why)
        self.is_refused = is_refused


class AnswerTimeout(CallError):
    """Report that nothing was received within the time allowed."""


class AnswerMalformed(CallError):
    """Report that an answer exceeds a bound.

    :param bound: name of the bound.
    """

    def __init__(self, address: str, bound: str) -> None:
        """Name the upstream and the bound."""
        super().__init__(
            f'the answer of {address} exceeds the bound on {bound} bytes'
        )
        self.bound = bound


class ExchangeBroken(CallError):
    """Report that the connection broke or the answer is invalid."""


class Connection:
    """Represent one connection to an upstream or to the store.

    :param answer_count: complete answers received over it so far.
    :param keep_alive_s: idle time after which it is not used again.
    :param memory: memory that the answers of all connections share.
    :param unyielded_bytes: bytes read since other greenlets could run.
    """

    __slots__ = (
        'address',
        'answer_count',
        'idle_since',
        'keep_alive_s',
        'memory',
        'parser',
        'sock',
        'unyielded_bytes',
    )

    def __init__(
        self, address: str, memory: AnswerMemory | None = None
    ) -> None:
        """Prepare a connection to an address without opening it.

        :param memory: None for a connection that shares no memory.
        """
        self.address = address
        self.memory = memory or make_answer_memory()
        self.unyielded_bytes = 0
        self.sock: socket.socket = socket.socket()
        self.parser = AnswerParser('')
        self.answer_count = 0
        self.idle_since = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S

    def start(self, timeout_s: float) -> None:
        """Connect.

        :raises Unreachable: if that fails or times out.
        """
        enable_dead_peer_detection(self.sock)
        self.sock.settimeout(max(timeout_s, MIN_TIMEOUT_S))
        try:
            self.sock.connect(split_address(self.address))
        except OSError as error:
            self.close()
            raise Unreachable(
                f'cannot connect to {self.address}: {error}',
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error

    def close(self) -> None:
        """Close the connection and abort a request in flight on it."""
        self.memory.release(id(self))
        self.sock.close()

    def interrupt(self) -> None:
        """Make a read in progress fail; the owner closes the connection."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed the connection, so the read fails anyway.
            return

    def send(self, request: bytes, method: str, timeout_s: float) -> None:
        """Send a request and prepare to parse its answer.

        :raises ExchangeBroken: if the request cannot be sent completely.
        """
        self.parser = AnswerParser(method)
        self.sock.settimeout(max(timeout_s, MIN_TIMEOUT_S))
        try:
            self.sock.sendall(request)
        except OSError as error:
            raise ExchangeBroken(
                f'cannot send the request to {self.address}: {error}',
            ) from error

    def read(self, timeout_s: float) -> None:
        """Wait for more bytes and parse them.

        :raises AnswerTimeout: if none arrive in time.
        :raises AnswerMalformed: if the bytes received before exceed a bound.
        :raises ExchangeBroken: if the connection broke or ended within an
            answer, or the bytes received before are no HTTP response.
        """
        parser = self.parser
        self.check_answer()
        if timeout_s <= 0:
            raise AnswerTimeout(
                f'no complete answer from {self.address} by the deadline'
            )
        self.sock.settimeout(max(timeout_s, MIN_TIMEOUT_S))
        try:
            received = self.sock.recv(READ_BYTES)
        except TimeoutError as error:
            raise AnswerTimeout(
                f'no data from {self.address} for {timeout_s:.3f} s',
            ) from error
        except OSError as error:
            raise ExchangeBroken(
                f'cannot read from {self.address}: {error}',
            ) from error
        self.yield_to_others(len(received))
        parser.parse(received)
        if not received and not (parser.answers and parser.answers[0].complete):
            raise ExchangeBroken(
                f'{self.address} closed the connection before the end of'
                f' the answer',
            )

    def check_answer(self) -> None:
        """Check the bytes received before.

        :raises AnswerMalformed: if the answer exceeds a bound.
        :raises ExchangeBroken: if the bytes are no HTTP response.
        """
        parser = self.parser
        if parser.exceeded:
            raise AnswerMalformed(self.address, parser.exceeded)
        if parser.parse_error:
            raise ExchangeBroken(
                f'invalid HTTP response from {self.address}:'
                f' {parser.parse_error}',
            )
        if not self.memory.update(id(self), parser.buffered()):
            raise AnswerMalformed(self.address, 'memory')

    def yield_to_others(self, received: int) -> None:
        """Yield to other greenlets from time to time while bytes arrive.

        A read does not wait, and so does not yield, while there are bytes.
        """
        self.unyielded_bytes += received
        if self.unyielded_bytes > MAX_UNYIELDED_BYTES:
            self.unyielded_bytes = 0
            gevent.sleep(0)

    def next_head(self, deadline: float) -> Answer:
        """Wait for the status and headers of the next answer.

        :raises CallError: if they do not arrive before the deadline.
        """
        answers = self.parser.answers
        while not answers or not answers[0].has_head:
            self.read(deadline - boot_time())
        return answers[0]

    def finish(self) -> None:
        """Remove the oldest answer, which was read completely."""
        self.parser.answers.popleft()
        self.memory.release(id(self))
        self.answer_count += 1

    def is_reusable(self) -> bool:
        """Check whether another request may be sent over the connection.

        :returns: False if the peer closes it or sent surplus bytes.
        """
        parser = self.parser
        return (
            parser.keeps_alive and not parser.parse_error and not parser.answers
        )

    def is_usable(self, now: float) -> bool:
        """Check whether an idle connection can still be used.

        :returns: False if it was idle for too long, is closed, or has unread
            bytes.
        """
        if now - self.idle_since > self.keep_alive_s:
            return False
        self.sock.settimeout(0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Make the kernel abort a connection whose peer does not respond."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)


class ConnectionPool:
    """Keep idle connections to upstreams; the newest is used first.

    :param idle: idle connections by upstream, oldest first.
    :param memory: memory that the answers of all connections share.
    :param opened: number of connections opened so far.
    """

    __slots__ = ('idle', 'memory', 'opened')

    def __init__(self) -> None:
        """Create an empty pool."""
        self.idle: dict[str, deque[Connection]] = {}
        self.memory = make_answer_memory()
        self.opened = 0

    def take(self, name: str) -> Connection | None:
        """Remove and return a usable idle connection to an upstream.

        :param name: the upstream's identifier, not its address.
        :returns: None if there is none.
        """
        idle = self.idle.get(name)
        now = boot_time()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    def open(self, address: str, timeout_s: float) -> Connection:
        """Open a new connection.

        :raises Unreachable: if that fails or times out.
        """
        connection = Connection(address, self.memory)
        self.opened += 1
        connection.start(timeout_s)
        return connection

    def put_back(self, name: str, connection: Connection) -> None:
        """Keep a connection as idle, or close it if it is not reusable."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.idle_since = boot_time()
        self.idle.setdefault(name, deque()).append(connection)

    def keep_only(self, names: set[str]) -> None:
        """Close the idle connections to all but the named upstreams."""
        for name in self.idle.keys() - names:
            for connection in self.idle.pop(name):
                connection.close()

    def trim(self) -> None:
        """Close connections that have been idle for too long."""
        now = boot_time()
        for idle in self.idle.values():
            while idle and now - idle[0].idle_since > idle[0].keep_alive_s:
                idle.popleft().close()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(set())
