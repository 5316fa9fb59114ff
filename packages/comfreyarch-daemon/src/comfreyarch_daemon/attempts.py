"""State of a request and of its attempts at an entry."""

import time
from dataclasses import dataclass, field

from gevent.queue import SimpleQueue

from comfreyarch_core import answerassembly, frames, refusals
from comfreyarch_core.answerassembly import Begin, Deliver
from comfreyarch_core.refusals import Kind, Ran, Refusal
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.requests import CallerRequest

# End of a server-sent event.
EVENT_END = b'\n\n'
MS_PER_S = 1000
# What an attempt yields: the answer's head, then parts of its body.
Piece = Begin | Deliver
AttemptEnd = (
    answerassembly.Complete
    | answerassembly.AttemptRefused
    | answerassembly.Broken
)


class RequestRefused(Exception):
    """Raised when a request ends in a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal."""
        super().__init__(refusal.kind.value)
        self.refusal = refusal


class LinkLost:
    """Report in a mailbox that the attempt's link was lost."""


class DeadlinePassed:
    """Report in a mailbox that the caller's deadline has passed."""


class EntryExits:
    """Report in a mailbox that the process is about to exit."""


MailboxItem = frames.AnyFrame | LinkLost | DeadlinePassed | EntryExits


@dataclass(slots=True)
class Mailbox:
    """Queue the frames received for one attempt, and the events that end it."""

    link: Link
    queue: 'SimpleQueue[MailboxItem]' = field(default_factory=SimpleQueue)


@dataclass(slots=True)
class Progress:
    """Track the progress of a request over its attempts.

    :param attempt_count: attempts made so far.
    :param head_sent: whether the caller has been sent the answer's head.
    :param events_sent: complete stream events sent to the caller.
    :param certainly_not_run: whether all attempts certainly did not run.
    :param crash_suspect: whether an attempt crashed its upstream.
    :param tried_nodes: sidecars whose attempts failed.
    """

    request: CallerRequest
    attempt_count: int = 0
    head_sent: bool = False
    events_sent: int = 0
    certainly_not_run: bool = True
    crash_suspect: bool = False
    tried_nodes: set[str] = field(default_factory=set)

    def time_left_s(self) -> float:
        """Compute the time left until the caller's deadline.

        :returns: seconds, negative once the deadline has passed.
        """
        return self.request.deadline - time.monotonic()

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Combine the last refusal with the outcome of earlier attempts.

        :returns: a ``not_run`` refusal only if no attempt may have run.
        """
        if self.certainly_not_run or refusal.ran == Ran.outcome_unknown:
            return refusal
        kind = Kind.outcome_unknown
        if self.request.idempotent:
            kind = Kind.upstream_failed
        return refusals.unknown(kind, refusal.retry_after_s, refusal.detail)


def make_call(attempt: str, progress: Progress) -> frames.Call:
    """Create the call frame of an attempt.

    :returns: the frame.
    """
    request = progress.request
    return frames.Call(
        attempt=attempt,
        request=request.request_id,
        team=request.team,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline_ms=max(1, round(progress.time_left_s() * MS_PER_S)),
        key=request.key,
        stream=request.stream,
        resume_from=progress.events_sent,
        cost=request.cost,
        weight=request.weight,
        suspect=progress.crash_suspect,
    )
