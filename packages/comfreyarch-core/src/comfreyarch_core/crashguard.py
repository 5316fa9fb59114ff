"""Bar a request that crashes the upstreams that run it.

Entries send requests to upstreams without a sidecar in between, so nothing
can run a suspect request in isolation. A request is barred once its
connections have broken at several upstreams that then turned out to be dead.
Any answer of an upstream to the same request clears it, so a request that
only shared a crashing upstream with the culprit is not barred.
"""

from dataclasses import dataclass, field

# An upstream that is gone within this time after a connection broke has
# crashed. Its list entry expires after three missed heartbeats, which take
# 3.6 s in the deployments served.
EVIDENCE_S = 8.0
# Number of crashed upstreams after which a request is barred.
BARRING_CRASHES = 3
# A bar, and the record of a suspect, expires this long after its last crash.
SUSPECT_TTL_S = 600.0
# Limits on the records kept; the oldest are dropped first.
MAX_BREAKS = 2_000
MAX_SUSPECTS = 1_000


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """Report that a connection broke while an upstream had a request."""

    digest: str
    upstream: str


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """Report that an upstream answered a request."""

    digest: str


@dataclass(frozen=True, slots=True)
class UpstreamDied:
    """Report that an upstream refuses connections or is no longer listed."""

    upstream: str


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Report the upstreams that a request crashed according to another entry.

    :param upstreams: empty if an upstream answered the request, which clears
        it.
    """

    digest: str
    upstreams: frozenset[str]


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """Request that the other entries are notified of a change.

    :param upstreams: the upstreams that the request crashed.
    :param barred: whether the request is no longer sent to any upstream.
    """

    digest: str
    upstreams: frozenset[str]
    barred: bool


Message = ConnectionBroken | RequestAnswered | UpstreamDied | PeerReport


@dataclass(slots=True)
class CrashRecord:
    """Upstreams that a request crashed.

    :param updated_at: time at which the last upstream was added.
    """

    upstreams: set[str]
    updated_at: float


@dataclass(slots=True)
class CrashGuard:
    """Track requests that crash upstreams, seen by one entry or by its peers.

    :param breaks: request and upstream → time of the broken connection, until
        the upstream proves dead or the time for evidence has passed.
    :param suspects: requests that crashed upstreams, by digest.
    """

    breaks: dict[tuple[str, str], float] = field(default_factory=dict)
    suspects: dict[str, CrashRecord] = field(default_factory=dict)

    def handle(self, message: Message, now: float) -> list[NotifyPeers]:
        """Process a message.

        :param now: monotonic time in seconds.
        :returns: the changes to send to the other entries.
        """
        self.expire(now)
        match message:
            case ConnectionBroken(digest, upstream):
                self.record_break(digest, upstream, now)
            case RequestAnswered(digest):
                return self.clear(digest)
            case UpstreamDied(upstream):
                return self.record_crash(upstream, now)
            case PeerReport(digest, upstreams):
                self.merge(digest, upstreams, now)
        return []

    def is_suspect(self, digest: str) -> bool:
        """Check whether a request has crashed an upstream.

        :returns: False for nearly all requests.
        """
        return digest in self.suspects

    def barred(self, digest: str, now: float) -> bool:
        """Check whether a request must not be sent.

        :returns: True once it crashed ``BARRING_CRASHES`` upstreams.
        """
        record = self.suspects.get(digest)
        if record is None or now - record.updated_at > SUSPECT_TTL_S:
            return False
        return len(record.upstreams) >= BARRING_CRASHES

    def record_break(self, digest: str, upstream: str, now: float) -> None:
        """Record a broken connection, evidence if the upstream proves dead."""
        self.breaks[digest, upstream] = now
        if len(self.breaks) > MAX_BREAKS:
            self.breaks.pop(next(iter(self.breaks)))

    def clear(self, digest: str) -> list[NotifyPeers]:
        """Clear a request that was answered, here and at the peers."""
        self.breaks = {
            broken: at
            for broken, at in self.breaks.items()
            if broken[0] != digest
        }
        if self.suspects.pop(digest, None) is None:
            return []
        return [NotifyPeers(digest, frozenset(), barred=False)]

    def record_crash(self, upstream: str, now: float) -> list[NotifyPeers]:
        """Count a crash for the requests whose connections broke there."""
        notices = []
        for digest, broken_upstream in list(self.breaks):
            if broken_upstream != upstream:
                continue
            self.breaks.pop((digest, broken_upstream))
            self.merge(digest, frozenset((upstream,)), now)
            crashed = frozenset(self.suspects[digest].upstreams)
            barred = len(crashed) >= BARRING_CRASHES
            notices.append(NotifyPeers(digest, crashed, barred=barred))
        return notices

    def merge(self, digest: str, upstreams: frozenset[str], now: float) -> None:
        """Add upstreams to a request's record; none clears the request."""
        if not upstreams:
            self.suspects.pop(digest, None)
            return
        record = self.suspects.get(digest)
        if record is None:
            record = CrashRecord(set(), now)
            self.suspects[digest] = record
        if upstreams - record.upstreams:
            record.upstreams |= upstreams
            record.updated_at = now
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

    def expire(self, now: float) -> None:
        """Drop breaks without evidence and suspects without new crashes."""
        for broken, at in list(self.breaks.items()):
            if now - at <= EVIDENCE_S:
                break
            self.breaks.pop(broken)
        for digest, record in list(self.suspects.items()):
            if now - record.updated_at > SUSPECT_TTL_S:
                self.suspects.pop(digest)


def make_crash_guard() -> CrashGuard:
    """Create the guard of an entry.

    :returns: a guard without suspects.
    """
    return CrashGuard()
