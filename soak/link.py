"""Forward TCP connections over loopback and inject network faults.

Commands are JSON lines on standard input. Each link listens on one address.
A mode that simulates a partition blocks one or both directions; the blocked
bytes are delivered when the mode ends.
"""

import json
import random
import struct
import sys
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.fileobject import FileObject
from gevent.server import StreamServer

CHUNK_BYTES = 65536
# SO_LINGER value with a timeout of zero: closing sends a reset.
RESET_LINGER = struct.pack('ii', 1, 0)
MAX_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 2.0
# Pause between checks whether a target accepts connections again.
TARGET_CHECK_S = 0.02
# Directions that a mode blocks: 0 to the target, 1 to the caller.
BLOCKED_DIRECTIONS = {'silent': (0, 1), 'deaf': (0,), 'mute': (1,)}


@dataclass(eq=False, slots=True)
class ForwardedConnection:
    """Hold both sockets of one forwarded connection.

    :param sockets: the caller's and the target's.
    :param is_blackholed: all bytes are dropped, without closing a socket.
    """

    sockets: tuple[socket.socket, socket.socket]
    is_blackholed: bool = False
    ended: int = 0


@dataclass(slots=True)
class Link:
    """Forward the connections to one address.

    Like the target, it refuses connections once nothing listens there.

    :param mode: pass, delay, refuse, or a key of ``BLOCKED_DIRECTIONS``.
    :param listener: accepts connections, None while the target refuses them.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    mode: str = 'pass'
    changed: Event = field(default_factory=Event)
    connections: set[ForwardedConnection] = field(default_factory=set)
    listener: Any = None

    def start(self) -> None:
        """Start to accept connections."""
        self.listener = StreamServer(self.listen, self.serve)
        self.listener.start()

    def refuse_if_target_does(self) -> None:
        """Refuse connections as long as the target does."""
        if self.target_listens() or self.listener is None:
            return
        listener, self.listener = self.listener, None
        listener.close()
        gevent.spawn(self.restart)

    def restart(self) -> None:
        """Accept connections again once the target does."""
        while not self.target_listens():
            gevent.sleep(TARGET_CHECK_S)
        self.start()

    def target_listens(self) -> bool:
        """Check whether the target accepts connections.

        :returns: False only if it refuses them.
        """
        try:
            socket.create_connection(self.target, CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True

    def serve(self, caller: socket.socket, _address: object) -> None:
        """Forward one connection until both directions end."""
        if self.mode == 'refuse':
            reset(caller)
            return
        self.wait_until_unblocked(0)
        try:
            target = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
        except OSError:
            self.refuse_if_target_does()
            reset(caller)
            return
        target.settimeout(None)
        connection = ForwardedConnection((caller, target))
        self.connections.add(connection)
        forwarders = [
            gevent.spawn(self.forward, connection, direction)
            for direction in (0, 1)
        ]
        gevent.joinall(forwarders)
        self.connections.discard(connection)
        for endpoint in connection.sockets:
            endpoint.close()

    def forward(self, connection: ForwardedConnection, direction: int) -> None:
        """Forward the bytes of one direction until the source ends."""
        source, sink = (
            connection.sockets[direction],
            connection.sockets[1 - direction],
        )
        try:
            while chunk := source.recv(CHUNK_BYTES):
                self.wait_until_unblocked(direction)
                if self.mode == 'delay':
                    gevent.sleep(MAX_DELAY_S * random.random())
                if not connection.is_blackholed:
                    sink.sendall(chunk)
            if direction == 1:
                self.refuse_if_target_does()
            self.wait_until_unblocked(direction)
            if not connection.is_blackholed:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset of one socket is forwarded to the other.
            if direction == 1:
                self.refuse_if_target_does()
            reset(source)
            reset(sink)

    def wait_until_unblocked(self, direction: int) -> None:
        """Wait while the mode blocks a direction."""
        while direction in BLOCKED_DIRECTIONS.get(self.mode, ()):
            self.changed.wait()

    def set_mode(self, mode: str) -> None:
        """Change the mode and wake blocked directions."""
        self.mode = mode
        self.changed.set()
        self.changed.clear()

    def break_connections(self, fault: str, share: float) -> None:
        """Reset or blackhole a share of the open connections."""
        for connection in list(self.connections):
            if random.random() > share:
                continue
            if fault == 'dead':
                connection.is_blackholed = True
                continue
            for endpoint in connection.sockets:
                reset(endpoint)


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The socket is closed already.
        pass
    sock.close()


def execute_command(links: dict[str, Link], command: dict[str, Any]) -> None:
    """Execute one command."""
    name = command['link']
    match command['do']:
        case 'open':
            link = Link(tuple(command['listen']), tuple(command['target']))
            links[name] = link
            link.start()
        case 'mode':
            links[name].set_mode(command['mode'])
        case fault:
            links[name].break_connections(fault, command['share'])


def main() -> None:
    """Execute commands until standard input ends."""
    links: dict[str, Link] = {}
    commands = FileObject(sys.stdin.buffer, 'rb')
    while line := commands.readline():
        execute_command(links, json.loads(line))
        sys.stdout.write('done\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
