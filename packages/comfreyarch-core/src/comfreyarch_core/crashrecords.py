"""Record broken connections and the crashes of upstreams that they prove."""

from dataclasses import dataclass, field

from comfreyarch_core.crashmessages import Target

# A broken connection is evidence if its upstream proves dead within this time.
# A list entry expires after three missed heartbeats, which take 3.6 s in the
# deployments served.
EVIDENCE_S = 8.0
# Reports that an upstream crashed within this time are about one crash; an
# upstream may start again under its name.
SAME_CRASH_S = 3.0
# Time for which a crash is evidence.
CRASH_TTL_S = 600.0
# Limits on the records kept; the oldest are dropped first.
MAX_BREAKS = 2_000
MAX_CRASHES = 64


@dataclass(frozen=True, slots=True)
class Break:
    """Describe a broken connection until its upstream proves dead or alive."""

    target: Target
    traits: tuple[str, ...]
    upstream: str
    at: float


@dataclass(frozen=True, slots=True)
class LostTrait:
    """Describe a trait of a lost request.

    :param position: position in the request; a later one is more specific.
    """

    target: Target
    position: int


@dataclass(eq=False, slots=True)
class Crash:
    """Represent one crash of an upstream.

    :param traits: traits of the lost requests.
    :param explained: whether one of them is barred.
    """

    upstream: str
    at: float
    traits: dict[str, LostTrait] = field(default_factory=dict)
    explained: bool = False


@dataclass(slots=True)
class CrashRecords:
    """Keep recent breaks and crashes.

    :param breaks: connections that broke recently, oldest first.
    :param crashes: crashes on record, oldest first.
    """

    breaks: list[Break] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)

    def add_break(self, broken: Break) -> None:
        """Record a broken connection."""
        self.breaks.append(broken)

    def take_breaks(self, upstream: str) -> list[Break]:
        """Remove and return the broken connections to an upstream."""
        taken = [
            broken for broken in self.breaks if broken.upstream == upstream
        ]
        for broken in taken:
            self.breaks.remove(broken)
        return taken

    def find_crash(self, upstream: str, at: float) -> Crash:
        """Return the record of a crash, which is created if there is none."""
        for known in self.crashes:
            if known.upstream == upstream and abs(known.at - at) < SAME_CRASH_S:
                return known
        crash = Crash(upstream, at)
        self.crashes.append(crash)
        return crash

    def with_trait(self, trait: str) -> list[Crash]:
        """Return the crashes at which a request with a trait was lost."""
        return [crash for crash in self.crashes if trait in crash.traits]

    def expire(self, now: float) -> list[Crash]:
        """Drop old evidence, and what exceeds the limits.

        :returns: the dropped crashes.
        """
        self.breaks = [
            broken for broken in self.breaks if now - broken.at <= EVIDENCE_S
        ][-MAX_BREAKS:]
        kept = [
            crash for crash in self.crashes if now - crash.at < CRASH_TTL_S
        ][-MAX_CRASHES:]
        dropped = [crash for crash in self.crashes if crash not in kept]
        self.crashes = kept
        return dropped


def make_crash_records() -> CrashRecords:
    """Create records without any entry.

    :returns: the records.
    """
    return CrashRecords()
