"""Assemble the answer of one attempt from the frames that an entry receives.

Frames that are late, repeated or belong to another attempt are ignored.
"""

from dataclasses import dataclass

from comfreyarch_core import frames
from comfreyarch_core.refusals import Kind, Ran, Refusal


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin the caller's answer with its status and headers."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass bytes of the body on to the caller."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """Report that the whole answer has been passed on."""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Report that the attempt was refused.

    :param crashed: whether the attempt crashed its engine.
    """

    refusal: Refusal
    crashed: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """Report that this attempt cannot complete the answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """Report that a frame was late, repeated or of another attempt."""


Outcome = Begin | Deliver | Complete | AttemptRefused | Broken | Ignored
LINK_LOST = 'link lost'


@dataclass(slots=True)
class AnswerAssembler:
    """Accept the frames of one attempt, each once and in order.

    :param attempt: the attempt whose frames are accepted.
    :param head_received: whether the answer has begun.
    :param done: whether the answer is complete, refused or broken.
    :param received_bytes: bytes of the body passed on so far.
    """

    attempt: str
    head_received: bool = False
    done: bool = False
    received_bytes: int = 0

    def handle(self, frame: frames.Frame, now: float) -> Outcome:
        """Process a frame.

        :param frame: a frame received on the link, of any attempt.
        :param now: current time in seconds; not used.
        :returns: the action to take.
        """
        if self.done or getattr(frame, 'attempt', '') != self.attempt:
            return Ignored()
        match frame:
            case frames.Head(_, status, headers):
                return self.handle_head(status, headers)
            case frames.Chunk(_, offset, body):
                return self.handle_chunk(offset, body)
            case frames.End(_, length):
                return self.handle_end(length)
            case frames.Refused():
                self.done = True
                return AttemptRefused(to_refusal(frame), frame.crashed)
        return Ignored()

    def link_lost(self) -> Outcome:
        """Handle the loss of the link.

        :returns: ``Broken``, or ``Ignored`` if the attempt had ended.
        """
        if self.done:
            return Ignored()
        self.done = True
        return Broken(LINK_LOST)

    def handle_head(self, status: int, headers: dict[str, str]) -> Outcome:
        """Handle the head; a repeated one is ignored."""
        if self.head_received:
            return Ignored()
        self.head_received = True
        return Begin(status, headers)

    def handle_chunk(self, offset: int, body: bytes) -> Outcome:
        """Pass on the new bytes of a chunk; a gap breaks the attempt."""
        if not self.head_received or offset > self.received_bytes:
            self.done = True
            return Broken('bytes missing')
        new_bytes = body[self.received_bytes - offset :]
        if not new_bytes:
            return Ignored()
        self.received_bytes += len(new_bytes)
        return Deliver(new_bytes)

    def handle_end(self, length: int) -> Outcome:
        """Handle the end frame; its length must match the received bytes."""
        self.done = True
        if not self.head_received or length != self.received_bytes:
            return Broken('answer shorter than its end mark')
        return Complete()


def to_refusal(frame: frames.Refused) -> Refusal:
    """Convert a frame into a refusal.

    :returns: the refusal; if its kind or its ``ran`` is not known here, both
        are read as ``outcome_unknown``.
    """
    retry_after_s = frame.retry_after_ms / 1000
    try:
        return Refusal(
            Kind(frame.kind),
            Ran(frame.ran),
            retry_after_s,
            frame.detail,
        )
    except ValueError:
        return Refusal(
            Kind.outcome_unknown,
            Ran.outcome_unknown,
            retry_after_s,
            frame.detail,
        )


def to_frame(
    attempt: str,
    refusal: Refusal,
    *,
    crashed: bool = False,
) -> frames.Refused:
    """Convert a refusal into a frame.

    :param crashed: whether the attempt crashed its engine.
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
