"""Keep an entry's crash guard, and share what it finds with the others."""

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

CRASHES = 'crashes'
# Requests that are told again with each repetition, newest first: entries
# that started later need them, and datagrams are lost at times.
REPEATED = 20


class CrashNews:
    """Own the crash guard of an entry.

    :param peers: gives the addresses of the other entries.
    """

    __slots__ = ('datagrams', 'guard', 'log', 'peers')

    def __init__(self, log: EventLog) -> None:
        """Follow nothing; nobody is told before ``share``."""
        self.log = log
        self.guard: CrashGuard = make_crash_guard()
        self.datagrams: Datagrams | None = None
        self.peers: Callable[[], Iterable[str]] = tuple

    def share(
        self,
        datagrams: Datagrams,
        peers: Callable[[], Iterable[str]],
    ) -> None:
        """Tell the other entries from now on, and hear them."""
        self.datagrams = datagrams
        self.peers = peers
        datagrams.handlers[CRASHES] = self.heard

    @property
    def idle(self) -> bool:
        """Tell whether no request is followed.

        :returns: True nearly always; digests need not be made then.
        """
        return not self.guard.suspects and not self.guard.breaks

    def bars(self, digest: Callable[[], str]) -> bool:
        """Tell whether a request may not be sent.

        :param digest: makes its digest, where that is needed.
        :returns: True once it crashed several upstreams.
        """
        if self.idle:
            return False
        return self.guard.barred(digest(), boot_time())

    def broke(self, digest: str, upstream: str) -> None:
        """Note that a request broke at an upstream."""
        self.take(ConnectionBroken(digest, upstream))

    def answered(self, digest: str) -> None:
        """Note that an upstream answered a request."""
        self.take(RequestAnswered(digest))

    def died(self, upstream: str) -> None:
        """Note that an upstream is dead."""
        if self.guard.breaks:
            self.take(UpstreamDied(upstream))

    def take(self, message: Message) -> None:
        """Let the guard decide; log and tell what is new."""
        for news in self.guard.handle(message, boot_time()):
            self.log.write(
                'crash_suspect',
                digest=news.digest,
                upstreams=sorted(news.upstreams),
                barred=news.barred,
            )
            self.tell(news.digest, news.upstreams)

    def repeat(self) -> None:
        """Tell the newest findings again."""
        for digest in list(self.guard.suspects)[-REPEATED:]:
            self.tell(digest, self.guard.suspects[digest].upstreams)

    def tell(self, digest: str, upstreams: Iterable[str]) -> None:
        """Tell the other entries of one request."""
        if self.datagrams is None:
            return
        message = [CRASHES, digest, sorted(upstreams)]
        for address in self.peers():
            self.datagrams.send(message, address)

    def heard(self, message: list[Any], _address: str) -> None:
        """Take what another entry found.

        :raises ValueError: where it is malformed.
        """
        digest, upstreams = message[1:3]
        if not isinstance(digest, str) or not isinstance(upstreams, list):
            raise ValueError('no digest and upstreams')
        self.take(PeerReport(digest, frozenset(map(str, upstreams))))
