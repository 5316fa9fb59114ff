"""Stand-in for many idle sidecars, which only send heartbeats."""

import json
import sys

import gevent

from comfreyarch_core import frames
from comfreyarch_daemon import handshake, linklistener, linktransport
from comfreyarch_daemon.metrics import Metrics
from standins.http import report_ready_and_wait

HEARTBEAT_INTERVAL_S = 1.0


class IdlePeer:
    """Accept links and send heartbeats on them."""

    def __init__(self, name: str, port: int, key: bytes) -> None:
        """Create the peer, not yet listening."""
        self.name = name
        self.links: list[linktransport.Link] = []
        identity = handshake.Identity(
            name, 'sidecar', f'life-{name}', key, lambda: 1
        )
        self.listener = linklistener.LinkListener(
            f'127.0.0.1:{port}',
            identity,
            Metrics(),
            self.add_link,
        )

    def add_link(self, link: linktransport.Link) -> None:
        """Start an accepted link and add it to those that get heartbeats."""
        self.links.append(link)
        link.start(linktransport.ignore_frame, self.remove_link)

    def remove_link(self, link: linktransport.Link) -> None:
        """Remove a closed link."""
        if link in self.links:
            self.links.remove(link)

    def start(self) -> None:
        """Start listening and sending heartbeats."""
        self.listener.start()
        gevent.spawn(self.send_heartbeats)

    def send_heartbeats(self) -> None:
        """Send periodic heartbeats on all links."""
        while True:
            heartbeat = frames.Beat(
                self.name,
                f'life-{self.name}',
                1,
                queued=3,
                running=7,
                slots=16,
                wait_ms=12.25,
                service_ms=50.5,
                step_ms=48.75,
                share=0.97,
            )
            for link in list(self.links):
                link.send(heartbeat)
            gevent.sleep(HEARTBEAT_INTERVAL_S)


def main() -> None:
    """Serve the peers given as JSON: ports by name, and the fleet key."""
    arguments = json.loads(sys.argv[1])
    for name, port in arguments['ports'].items():
        IdlePeer(name, port, arguments['key'].encode()).start()
    report_ready_and_wait()


if __name__ == '__main__':
    main()
