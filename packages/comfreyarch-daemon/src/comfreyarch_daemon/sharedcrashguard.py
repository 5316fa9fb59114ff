"""Detect requests that crash upstreams and share suspects between entries."""

from collections.abc import Callable, Iterable
from typing import Any

from comfreyarch_core.crashguard import (
    ConnectionBroken,
    CrashGuard,
    Message,
    PeerReport,
    RequestAnswered,
    UpstreamDied,
    make_crash_guard,
)
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.upstreamcalls import boot_time

# Tag of the messages with a suspect.
CRASHES = 'crashes'
# Number of newest suspects that are sent again periodically, for entries that
# started later and because datagrams may be lost.
MAX_RESENT = 20


class SharedCrashGuard:
    """Own an entry's crash guard and exchange its suspects with peers.

    :param peers: returns the addresses of the other entries.
    """

    __slots__ = ('datagrams', 'guard', 'log', 'peers')

    def __init__(self, log: EventLog) -> None:
        """Start without suspects; nothing is sent before ``share``."""
        self.log = log
        self.guard: CrashGuard = make_crash_guard()
        self.datagrams: Datagrams | None = None
        self.peers: Callable[[], Iterable[str]] = tuple

    def share(
        self,
        datagrams: Datagrams,
        peers: Callable[[], Iterable[str]],
    ) -> None:
        """Start to exchange suspects with the other entries."""
        self.datagrams = datagrams
        self.peers = peers
        datagrams.handlers[CRASHES] = self.receive_suspect

    @property
    def is_idle(self) -> bool:
        """Check that there is no suspect and no recently broken connection.

        :returns: True almost always; no digest needs to be computed then.
        """
        return not self.guard.suspects and not self.guard.breaks

    def is_barred(self, digest: Callable[[], str]) -> bool:
        """Check whether a request is barred from upstreams.

        :param digest: computes the digest of the request; called only if
            needed.
        :returns: True if the request crashed several upstreams.
        """
        if self.is_idle:
            return False
        return self.guard.barred(digest(), boot_time())

    def record_broken_connection(self, digest: str, upstream: str) -> None:
        """Record that the connection of a request to an upstream broke."""
        self.handle_event(ConnectionBroken(digest, upstream))

    def record_answer(self, digest: str) -> None:
        """Record that an upstream answered a request."""
        self.handle_event(RequestAnswered(digest))

    def record_upstream_death(self, upstream: str) -> None:
        """Record that an upstream refuses connections or is unlisted."""
        if self.guard.breaks:
            self.handle_event(UpstreamDied(upstream))

    def handle_event(self, message: Message) -> None:
        """Pass an event to the guard; log and send the changed suspects."""
        for suspect in self.guard.handle(message, boot_time()):
            self.log.write(
                'crash_suspect',
                digest=suspect.digest,
                upstreams=sorted(suspect.upstreams),
                barred=suspect.barred,
            )
            self.send_suspect(suspect.digest, suspect.upstreams)

    def resend_suspects(self) -> None:
        """Send the newest suspects to all peers again."""
        for digest in list(self.guard.suspects)[-MAX_RESENT:]:
            self.send_suspect(digest, self.guard.suspects[digest].upstreams)

    def send_suspect(self, digest: str, upstreams: Iterable[str]) -> None:
        """Send a suspect request to all peers.

        :param digest: identifies the request.
        :param upstreams: names of the upstreams that it crashed, none to
            clear it.
        """
        if self.datagrams is None:
            return
        message = [CRASHES, digest, sorted(upstreams)]
        for address in self.peers():
            self.datagrams.send(message, address)

    def receive_suspect(self, message: list[Any], _address: str) -> None:
        """Handle a suspect received from a peer.

        :raises ValueError: if the message is malformed.
        """
        digest, upstreams = message[1:3]
        if not isinstance(digest, str) or not isinstance(upstreams, list):
            raise ValueError(
                'suspect has no valid digest and list of upstreams'
            )
        self.handle_event(PeerReport(digest, frozenset(map(str, upstreams))))
