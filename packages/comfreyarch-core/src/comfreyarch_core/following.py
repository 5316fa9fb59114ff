"""Follow one attempt's answer at an entry; accept nothing else."""

from dataclasses import dataclass

from comfreyarch_core import frames
from comfreyarch_core.refusals import Kind, Ran, Refusal


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin the caller's answer."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass bytes on."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """Tell that the whole answer has been passed on."""


@dataclass(frozen=True, slots=True)
class GivenUp:
    """Tell that the attempt was refused, and whether it crashed its engine."""

    refusal: Refusal
    crashed: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """Tell that the answer cannot be completed from this attempt."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """Tell that a frame was late, repeated or of another attempt."""


Outcome = Begin | Deliver | Complete | GivenUp | Broken | Ignored
LINK_LOST = 'link lost'


@dataclass(slots=True)
class AnswerFollower:
    """Accept the frames of one attempt, in order and once.

    :param attempt: the attempt followed.
    """

    attempt: str
    begun: bool = False
    done: bool = False
    received: int = 0

    def handle(self, frame: frames.Frame, now: float) -> Outcome:
        """Take a frame and decide.

        :param frame: a frame of the link, of any attempt.
        :param now: seconds; an answer needs no clock and ignores it.
        :returns: what to do with it.
        """
        if self.done or getattr(frame, 'attempt', '') != self.attempt:
            return Ignored()
        match frame:
            case frames.Head(_, status, headers):
                return self.head(status, headers)
            case frames.Chunk(_, offset, body):
                return self.chunk(offset, body)
            case frames.End(_, length):
                return self.end(length)
            case frames.Refused():
                self.done = True
                return GivenUp(to_refusal(frame), frame.crashed)
        return Ignored()

    def lost(self) -> Outcome:
        """Take the loss of the link.

        :returns: broken, unless the answer was over.
        """
        if self.done:
            return Ignored()
        self.done = True
        return Broken(LINK_LOST)

    def head(self, status: int, headers: dict[str, str]) -> Outcome:
        """Take the head, once."""
        if self.begun:
            return Ignored()
        self.begun = True
        return Begin(status, headers)

    def chunk(self, offset: int, body: bytes) -> Outcome:
        """Take a chunk where it fits; a gap breaks the attempt."""
        if not self.begun or offset > self.received:
            self.done = True
            return Broken('bytes missing')
        fresh = body[self.received - offset :]
        if not fresh:
            return Ignored()
        self.received += len(fresh)
        return Deliver(fresh)

    def end(self, length: int) -> Outcome:
        """Take the end mark; the length must be what was received."""
        self.done = True
        if not self.begun or length != self.received:
            return Broken('answer shorter than its end mark')
        return Complete()


def to_refusal(frame: frames.Refused) -> Refusal:
    """Read the refusal out of a frame.

    :returns: the refusal; an unknown kind counts as outcome unknown.
    """
    wait_s = frame.retry_after_ms / 1000
    try:
        return Refusal(
            Kind(frame.kind),
            Ran(frame.ran),
            wait_s,
            frame.detail,
        )
    except ValueError:
        return Refusal(
            Kind.outcome_unknown,
            Ran.outcome_unknown,
            wait_s,
            frame.detail,
        )


def to_frame(
    attempt: str,
    refusal: Refusal,
    *,
    crashed: bool = False,
) -> frames.Refused:
    """Write a refusal into a frame.

    :returns: the frame.
    """
    return frames.Refused(
        attempt,
        refusal.kind.value,
        refusal.ran.value,
        round(refusal.retry_after_s * 1000),
        refusal.detail,
        crashed,
    )
