"""Pass TCP connections on over loopback, and harm them when told to.

Commands are JSON lines on standard input. A link carries one address; its
mode holds bytes back in one or both directions, as a partition does, and
lets them through when it ends.
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

CHUNK = 65536
# Closing with this option resets the connection.
RESET = struct.pack('ii', 1, 0)
DELAY_S = 0.2
CONNECT_S = 2.0
# Directions that a mode holds back: 0 towards the target, 1 back.
HELD = {'silent': (0, 1), 'deaf': (0,), 'mute': (1,)}


@dataclass(eq=False, slots=True)
class Pair:
    """Hold both sockets of one connection.

    :param dead: nothing passes any more, and nothing shows it.
    """

    ends: tuple[socket.socket, socket.socket]
    dead: bool = False
    ended: int = 0


@dataclass(slots=True)
class Link:
    """Pass on what comes to one address.

    :param mode: pass, delay, refuse, or one that holds bytes back.
    """

    target: tuple[str, int]
    mode: str = 'pass'
    changed: Event = field(default_factory=Event)
    pairs: set[Pair] = field(default_factory=set)

    def serve(self, caller: socket.socket, _address: object) -> None:
        """Carry one connection."""
        if self.mode == 'refuse':
            reset(caller)
            return
        self.wait_open(0)
        try:
            target = socket.create_connection(self.target, CONNECT_S)
        except OSError:
            reset(caller)
            return
        target.settimeout(None)
        pair = Pair((caller, target))
        self.pairs.add(pair)
        pumps = [gevent.spawn(self.pump, pair, way) for way in (0, 1)]
        gevent.joinall(pumps)
        self.pairs.discard(pair)
        for end in pair.ends:
            end.close()

    def pump(self, pair: Pair, way: int) -> None:
        """Carry the bytes of one direction to their end."""
        source, sink = pair.ends[way], pair.ends[1 - way]
        try:
            while chunk := source.recv(CHUNK):
                self.wait_open(way)
                if self.mode == 'delay':
                    gevent.sleep(DELAY_S * random.random())
                if not pair.dead:
                    sink.sendall(chunk)
            self.wait_open(way)
            if not pair.dead:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset at one end is passed on to the other.
            reset(source)
            reset(sink)

    def wait_open(self, way: int) -> None:
        """Wait while the mode holds a direction back."""
        while way in HELD.get(self.mode, ()):
            self.changed.wait()

    def set_mode(self, mode: str) -> None:
        """Change what happens to bytes from now on."""
        self.mode = mode
        self.changed.set()
        self.changed.clear()

    def harm(self, how: str, share: float) -> None:
        """Reset a share of the open connections, or let them go silent."""
        for pair in list(self.pairs):
            if random.random() > share:
                continue
            if how == 'dead':
                pair.dead = True
                continue
            for end in pair.ends:
                reset(end)


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended already.
        pass
    sock.close()


def obey(links: dict[str, Link], command: dict[str, Any]) -> None:
    """Carry one command out."""
    name = command['link']
    match command['do']:
        case 'open':
            link = Link(tuple(command['target']))
            links[name] = link
            StreamServer(tuple(command['listen']), link.serve).start()
        case 'mode':
            links[name].set_mode(command['mode'])
        case how:
            links[name].harm(how, command['share'])


def main() -> None:
    """Obey commands until standard input ends."""
    links: dict[str, Link] = {}
    commands = FileObject(sys.stdin.buffer, 'rb')
    while line := commands.readline():
        obey(links, json.loads(line))
        sys.stdout.write('done\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
