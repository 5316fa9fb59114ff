"""Find the request that crashes its upstream, and clear the innocent.

A crash makes suspects of all requests in flight. A suspect runs alone; a
second crash, of a suspect running alone, quarantines its digest. One that
completes alone is cleared.
"""

from dataclasses import dataclass, field

QUARANTINE_CRASHES = 2
SUSPECTS_KEPT = 10_000


@dataclass(frozen=True, slots=True)
class Crashed:
    """Tell that the upstream died with these digests in flight."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Survived:
    """Tell that a digest completed, alone or not."""

    digest: str
    alone: bool


@dataclass(frozen=True, slots=True)
class Heard:
    """Tell what another node knows of a digest."""

    digest: str
    crashes: int


@dataclass(frozen=True, slots=True)
class Published:
    """Tell which digests the configuration quarantines."""

    digests: frozenset[str]


@dataclass(frozen=True, slots=True)
class Spread:
    """Spread what is new of a digest; 0 crashes clears it."""

    digest: str
    crashes: int


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Publish a digest as quarantined."""

    digest: str


Message = Crashed | Survived | Heard | Published
Outcome = Spread | Quarantine


@dataclass(slots=True)
class CrashDesk:
    """Keep suspects and quarantined digests of one node."""

    crashes: dict[str, int] = field(default_factory=dict)
    published: frozenset[str] = frozenset()

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: what happened.
        :param now: seconds; suspicion has no clock and ignores it.
        :returns: what to spread and what to publish.
        """
        match message:
            case Crashed(digests):
                return self.crashed(digests)
            case Survived(digest, alone):
                return self.survived(digest, alone=alone)
            case Heard(digest, crashes):
                return self.heard(digest, crashes)
            case Published(digests):
                self.release(digests)
        return []

    def quarantined(self, digest: str) -> bool:
        """Tell whether a digest may not run.

        :returns: True after the second crash, until released.
        """
        if digest in self.published:
            return True
        return self.crashes.get(digest, 0) >= QUARANTINE_CRASHES

    def suspect(self, digest: str) -> bool:
        """Tell whether a digest must run alone.

        :returns: True after its first crash.
        """
        return digest in self.crashes

    def crashed(self, digests: tuple[str, ...]) -> list[Outcome]:
        """Raise the count of a lone digest, suspect all of a batch."""
        outcomes: list[Outcome] = []
        for digest in digests:
            known = self.crashes.get(digest, 0)
            count = known + 1 if len(digests) == 1 else max(1, known)
            outcomes.extend(self.note(digest, count))
            if known < QUARANTINE_CRASHES <= count:
                outcomes.append(Quarantine(digest))
        return outcomes

    def survived(self, digest: str, *, alone: bool) -> list[Outcome]:
        """Clear a suspect that completed alone."""
        if not alone or not self.suspect(digest) or self.quarantined(digest):
            return []
        self.crashes.pop(digest)
        return [Spread(digest, 0)]

    def heard(self, digest: str, crashes: int) -> list[Outcome]:
        """Take another node's word and pass news on."""
        known = self.crashes.get(digest, 0)
        if crashes == 0 and 0 < known < QUARANTINE_CRASHES:
            self.crashes.pop(digest)
            return [Spread(digest, 0)]
        if crashes <= known:
            return []
        return self.note(digest, crashes)

    def note(self, digest: str, count: int) -> list[Outcome]:
        """Keep a count; the oldest suspects are forgotten first."""
        if self.crashes.get(digest) == count:
            return []
        self.crashes[digest] = count
        if len(self.crashes) > SUSPECTS_KEPT:
            self.crashes.pop(next(iter(self.crashes)))
        return [Spread(digest, count)]

    def release(self, digests: frozenset[str]) -> None:
        """Follow the configuration: what it no longer holds is released."""
        for digest in self.published - digests:
            self.crashes.pop(digest, None)
        self.published = digests


def make_crash_desk() -> CrashDesk:
    """Make the crash desk of a node.

    :returns: a desk that suspects nobody.
    """
    return CrashDesk()
