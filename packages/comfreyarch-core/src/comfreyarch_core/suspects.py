"""Identify the request that crashes its upstream, by isolating suspects.

When an upstream crashes, all requests in flight become suspects. A suspect is
run alone by the sidecar: if the upstream crashes again, its digest is
quarantined; if it completes, it is cleared.
"""

from dataclasses import dataclass, field

# Crash count at which a digest is quarantined.
QUARANTINE_CRASHES = 2
# Number of digests kept; the oldest are dropped first.
MAX_SUSPECTS = 10_000


@dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """Report that the upstream crashed with these digests in flight."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """Report that a request completed, and whether it ran alone."""

    digest: str
    alone: bool


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Report the crash count of a digest at another node."""

    digest: str
    crashes: int


@dataclass(frozen=True, slots=True)
class Published:
    """Report the digests that the configuration quarantines."""

    digests: frozenset[str]


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """Send a changed crash count to the other nodes; 0 clears the digest."""

    digest: str
    crashes: int


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Publish the quarantine of a digest in the configuration."""

    digest: str


Message = UpstreamCrashed | RequestCompleted | PeerReport | Published
Outcome = NotifyPeers | Quarantine


@dataclass(slots=True)
class SuspectTracker:
    """Track the suspect and quarantined digests of one node.

    :param crashes: crash count by digest.
    :param published: digests that the configuration quarantines.
    """

    crashes: dict[str, int] = field(default_factory=dict)
    published: frozenset[str] = frozenset()

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message.

        :param now: unused, since suspects do not expire.
        :returns: what to send to other nodes and what to publish.
        """
        match message:
            case UpstreamCrashed(digests):
                return self.record_crash(digests)
            case RequestCompleted(digest, alone):
                return self.record_completion(digest, alone=alone)
            case PeerReport(digest, crashes):
                return self.merge_report(digest, crashes)
            case Published(digests):
                self.update_published(digests)
        return []

    def quarantined(self, digest: str) -> bool:
        """Check whether a digest must not run.

        :returns: True from the second crash until its published quarantine is
            removed.
        """
        if digest in self.published:
            return True
        return self.crashes.get(digest, 0) >= QUARANTINE_CRASHES

    def suspect(self, digest: str) -> bool:
        """Check whether a digest must run alone.

        :returns: True from its first crash.
        """
        return digest in self.crashes

    def record_crash(self, digests: tuple[str, ...]) -> list[Outcome]:
        """Count a crash against a digest that ran alone, else suspect all."""
        outcomes: list[Outcome] = []
        for digest in digests:
            previous = self.crashes.get(digest, 0)
            count = previous + 1 if len(digests) == 1 else max(1, previous)
            outcomes.extend(self.set_count(digest, count))
            if previous < QUARANTINE_CRASHES <= count:
                outcomes.append(Quarantine(digest))
        return outcomes

    def record_completion(self, digest: str, *, alone: bool) -> list[Outcome]:
        """Clear a suspect that completed alone."""
        if not alone or not self.suspect(digest) or self.quarantined(digest):
            return []
        self.crashes.pop(digest)
        return [NotifyPeers(digest, 0)]

    def merge_report(self, digest: str, crashes: int) -> list[Outcome]:
        """Merge another node's count and forward it if it was new.

        A count of 0 clears a suspect but lifts no quarantine.
        """
        current = self.crashes.get(digest, 0)
        if crashes == 0 and 0 < current < QUARANTINE_CRASHES:
            self.crashes.pop(digest)
            return [NotifyPeers(digest, 0)]
        if crashes <= current:
            return []
        return self.set_count(digest, crashes)

    def set_count(self, digest: str, count: int) -> list[Outcome]:
        """Store a crash count and drop the oldest digest above the limit."""
        if self.crashes.get(digest) == count:
            return []
        self.crashes[digest] = count
        if len(self.crashes) > MAX_SUSPECTS:
            self.crashes.pop(next(iter(self.crashes)))
        return [NotifyPeers(digest, count)]

    def update_published(self, digests: frozenset[str]) -> None:
        """Set the published quarantines and clear those that were removed."""
        for digest in self.published - digests:
            self.crashes.pop(digest, None)
        self.published = digests


def make_suspect_tracker() -> SuspectTracker:
    """Create the suspect tracker of a node.

    :returns: a tracker without suspects.
    """
    return SuspectTracker()
