"""Hold the state of a request and of its attempts at an entry."""

import time
from dataclasses import dataclass, field

from gevent.queue import SimpleQueue

from comfreyarch_core import answerassembly, frames, refusals
from comfreyarch_core.answerassembly import Begin, Deliver
from comfreyarch_core.refusals import Kind, Ran, Refusal
from comfreyarch_daemon.requests import CallerRequest
from comfreyarch_daemon.wire import Link

EVENT_END = b'\n\n'
MS_A_SECOND = 1000
Piece = Begin | Deliver
AttemptEnd = (
    answerassembly.Complete
    | answerassembly.AttemptRefused
    | answerassembly.Broken
)


class GaveUp(Exception):
    """Carry the final refusal of a request."""

    def __init__(self, refusal: Refusal) -> None:
        """Hold the refusal."""
        super().__init__(refusal.kind.value)
        self.refusal = refusal


class LostLink:
    """Stand in a mailbox for the loss of the attempt's link."""


class DeadlinePassed:
    """Stand in a mailbox for the caller's deadline."""


Mail = frames.AnyFrame | LostLink | DeadlinePassed


@dataclass(slots=True)
class Mailbox:
    """Hold the frames that came for one attempt."""

    link: Link
    frames: 'SimpleQueue[Mail]' = field(default_factory=SimpleQueue)


@dataclass(slots=True)
class Progress:
    """Hold what a request has come to so far.

    :param events: whole stream events that the caller has.
    :param certain: whether every attempt certainly did not run.
    """

    request: CallerRequest
    tries: int = 0
    begun: bool = False
    events: int = 0
    certain: bool = True
    suspect: bool = False
    avoid: set[str] = field(default_factory=set)

    def left_s(self) -> float:
        """Give the time to the caller's deadline.

        :returns: seconds, negative when past.
        """
        return self.request.deadline - time.monotonic()

    def settle(self, refusal: Refusal) -> Refusal:
        """Weigh the last refusal with all earlier attempts.

        :returns: ``not_run`` only where no attempt may have run.
        """
        if self.certain or refusal.ran == Ran.outcome_unknown:
            return refusal
        kind = Kind.outcome_unknown
        if self.request.idempotent:
            kind = Kind.upstream_failed
        return refusals.unknown(kind, refusal.retry_after_s, refusal.detail)


def make_call(attempt: str, progress: Progress) -> frames.Call:
    """Make the call frame of an attempt.

    :returns: the frame.
    """
    request = progress.request
    return frames.Call(
        attempt=attempt,
        request=request.request,
        team=request.team,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline_ms=max(1, round(progress.left_s() * MS_A_SECOND)),
        key=request.key,
        stream=request.stream,
        resume_from=progress.events,
        cost=request.cost,
        weight=request.weight,
        suspect=progress.suspect,
    )
