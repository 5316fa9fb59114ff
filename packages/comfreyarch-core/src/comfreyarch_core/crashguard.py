"""Bar a request that crashes the upstreams that run it.

Entries hand requests over without a sidecar in between, so nothing runs a
suspect alone. A request is barred after its connections broke at several
upstreams that then turned out to be dead. Any answer of an upstream to the
same request clears it, so one that only shared a dying upstream goes on.
"""

from dataclasses import dataclass, field

# An upstream that is gone within this time of a break has crashed: its entry
# lapses after three missed beats, which is 3.6 s on the deployments served.
EVIDENCE_S = 8.0
# Crashed upstreams after which a request is barred.
BARRING_CRASHES = 3
# A bar, and what is known of a request, ends after this time without news.
FORGET_S = 600.0
# Breaks and requests that are remembered at most; the oldest go first.
BREAKS_KEPT = 2_000
REQUESTS_KEPT = 1_000


@dataclass(frozen=True, slots=True)
class Broke:
    """Tell that a request's connection broke while an upstream had it."""

    digest: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Answered:
    """Tell that an upstream answered a request."""

    digest: str


@dataclass(frozen=True, slots=True)
class Died:
    """Tell that an upstream refuses connections or is listed no more."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Told:
    """Tell what another entry knows: upstreams that a request crashed.

    :param upstreams: none where the request was answered since.
    """

    digest: str
    upstreams: frozenset[str]


@dataclass(frozen=True, slots=True)
class Tell:
    """Ask to tell the other entries what is new of a request.

    :param barred: whether it reaches no upstream any more.
    """

    digest: str
    upstreams: frozenset[str]
    barred: bool


Message = Broke | Answered | Died | Told


@dataclass(slots=True)
class Crashes:
    """Hold the upstreams that a request crashed.

    :param at: time of the last news.
    """

    upstreams: set[str]
    at: float


@dataclass(slots=True)
class CrashGuard:
    """Follow broken requests of one entry, and what others tell.

    :param breaks: request and upstream → time, until evidence or its lack.
    :param known: requests that crashed upstreams, by digest.
    """

    breaks: dict[tuple[str, str], float] = field(default_factory=dict)
    known: dict[str, Crashes] = field(default_factory=dict)

    def handle(self, message: Message, now: float) -> list[Tell]:
        """Take a message and decide.

        :param now: seconds of a steady clock.
        :returns: what the other entries should be told.
        """
        self.forget(now)
        match message:
            case Broke(digest, upstream):
                self.broke(digest, upstream, now)
            case Answered(digest):
                return self.answered(digest)
            case Died(upstream):
                return self.died(upstream, now)
            case Told(digest, upstreams):
                self.told(digest, upstreams, now)
        return []

    def suspects(self, digest: str) -> bool:
        """Tell whether a request is followed.

        :returns: False for nearly all of them.
        """
        return digest in self.known

    def barred(self, digest: str, now: float) -> bool:
        """Tell whether a request may not be sent.

        :returns: True once it crashed several upstreams.
        """
        crashes = self.known.get(digest)
        if crashes is None or now - crashes.at > FORGET_S:
            return False
        return len(crashes.upstreams) >= BARRING_CRASHES

    def broke(self, digest: str, upstream: str, now: float) -> None:
        """Remember a break until its upstream shows to be dead or alive."""
        self.breaks[digest, upstream] = now
        if len(self.breaks) > BREAKS_KEPT:
            self.breaks.pop(next(iter(self.breaks)))

    def answered(self, digest: str) -> list[Tell]:
        """Clear a request, here and elsewhere."""
        self.breaks = {
            broken: at
            for broken, at in self.breaks.items()
            if broken[0] != digest
        }
        if self.known.pop(digest, None) is None:
            return []
        return [Tell(digest, frozenset(), barred=False)]

    def died(self, upstream: str, now: float) -> list[Tell]:
        """Count a crash for the requests that broke at an upstream."""
        tells = []
        for digest, at in list(self.breaks):
            if at != upstream:
                continue
            self.breaks.pop((digest, at))
            self.told(digest, frozenset((upstream,)), now)
            known = frozenset(self.known[digest].upstreams)
            barred = len(known) >= BARRING_CRASHES
            tells.append(Tell(digest, known, barred=barred))
        return tells

    def told(self, digest: str, upstreams: frozenset[str], now: float) -> None:
        """Join what is known with what another entry knows."""
        if not upstreams:
            self.known.pop(digest, None)
            return
        crashes = self.known.get(digest)
        if crashes is None:
            crashes = Crashes(set(), now)
            self.known[digest] = crashes
        if upstreams - crashes.upstreams:
            crashes.upstreams |= upstreams
            crashes.at = now
        if len(self.known) > REQUESTS_KEPT:
            self.known.pop(next(iter(self.known)))

    def forget(self, now: float) -> None:
        """Drop breaks without evidence, and requests without news."""
        for broken, at in list(self.breaks.items()):
            if now - at <= EVIDENCE_S:
                break
            self.breaks.pop(broken)
        for digest, crashes in list(self.known.items()):
            if now - crashes.at > FORGET_S:
                self.known.pop(digest)


def make_crash_guard() -> CrashGuard:
    """Make the guard of an entry.

    :returns: a guard that follows nothing.
    """
    return CrashGuard()
