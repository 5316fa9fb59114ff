"""Execute a caller's request: attempts, retries and resumed streams."""

import itertools
import time
from collections.abc import Generator

import gevent

from comfreyarch_core import answerassembly, frames, refusals
from comfreyarch_core.answerassembly import AnswerAssembler, Deliver
from comfreyarch_core.refusals import Kind, Ran, Refusal
from comfreyarch_core.retrypolicy import Failure, RetryBudget, may_retry
from comfreyarch_core.routing import Router, SidecarView
from comfreyarch_daemon.attempts import (
    EVENT_END,
    AttemptEnd,
    DeadlinePassed,
    EntryExits,
    LinkLost,
    Mailbox,
    Piece,
    Progress,
    RequestRefused,
    make_call,
)
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.requests import CallerRequest

# Retry-after time of refusals that are created here.
RETRY_AFTER_S = 1.0
# How long no attempt is sent to a sidecar that refused one as overloaded.
OVERLOAD_PAUSE_S = 0.25
# Consumed bytes after which the sidecar's flow-control window is extended.
CREDIT_BATCH_BYTES = 65_536
# Time after the deadline at which an attempt without an outcome is ended.
DEADLINE_GRACE_S = 0.5


class RequestExecutor:
    """Execute the requests of one entry at its sidecars.

    :param is_exiting: whether the process is about to exit; no further attempt
        is made.
    """

    __slots__ = (
        'attempt_numbers',
        'attempt_prefix',
        'budget',
        'is_exiting',
        'mailboxes',
        'metrics',
        'node',
        'router',
    )

    def __init__(self, node: Node, router: Router) -> None:
        """Create an executor without open attempts."""
        self.node = node
        self.router = router
        self.metrics: Metrics = node.metrics
        self.budget = RetryBudget()
        self.mailboxes: dict[str, Mailbox] = {}
        self.is_exiting = False
        self.attempt_numbers = itertools.count(1)
        self.attempt_prefix = (
            f'{node.identity.node}.{node.identity.incarnation}'
        )

    def deliver(self, frame: frames.AnyFrame) -> None:
        """Put a frame into its attempt's mailbox, or count it as late."""
        mailbox = self.mailboxes.get(getattr(frame, 'attempt', ''))
        if mailbox is None:
            self.metrics.count('frames_late')
            return
        mailbox.queue.put(frame)

    def link_lost(self, link: Link) -> None:
        """Notify all attempts on a link that the link was lost."""
        for mailbox in self.mailboxes.values():
            if mailbox.link is link:
                mailbox.queue.put(LinkLost())

    def end_attempts(self) -> None:
        """End all attempts, so that their callers get an answer before exit."""
        self.is_exiting = True
        for mailbox in self.mailboxes.values():
            mailbox.queue.put(EntryExits())

    def answer(
        self,
        request: CallerRequest,
    ) -> Generator[Piece, None, None]:
        """Yield the answer's head and then its body in pieces.

        :raises RequestRefused: with the final refusal; if raised after the
            first piece, the answer is incomplete.
        """
        progress = Progress(request)
        self.budget.earn()
        while True:
            view = self.choose_sidecar(progress)
            if view is None:
                raise RequestRefused(
                    progress.final_refusal(self.unavailable_refusal(progress))
                )
            attempt_end = yield from self.run_attempt(view, progress)
            if isinstance(attempt_end, answerassembly.Complete):
                return
            refusal = self.record_failure(attempt_end, view, progress)
            if not self.should_retry(refusal, progress):
                raise RequestRefused(progress.final_refusal(refusal))
            self.metrics.count('retries', kind=refusal.kind.value)

    def choose_sidecar(self, progress: Progress) -> SidecarView | None:
        """Choose a sidecar, by idempotency key if the request has one.

        :returns: the sidecar's view, or None if none is available.
        """
        request = progress.request
        now = time.monotonic()
        tried_nodes = frozenset(progress.tried_nodes)
        if request.key:
            return self.router.choose_keyed(
                request.group,
                request.key,
                now,
                tried_nodes,
            )
        return self.router.choose(
            request.group, request.prefix_hash, now, tried_nodes
        )

    def unavailable_refusal(self, progress: Progress) -> Refusal:
        """Create the refusal for a group without an available sidecar.

        :returns: the refusal.
        """
        return refusals.not_run(
            Kind.no_upstream,
            RETRY_AFTER_S,
            f'group {progress.request.group}',
        )

    def record_failure(
        self,
        attempt_end: answerassembly.AttemptRefused | answerassembly.Broken,
        view: SidecarView,
        progress: Progress,
    ) -> Refusal:
        """Record a failed attempt in the request's progress.

        A sidecar that refused with ``overloaded`` gets no attempts for
        ``OVERLOAD_PAUSE_S``.

        :returns: the refusal.
        """
        progress.tried_nodes.add(view.peer.node)
        if isinstance(attempt_end, answerassembly.Broken):
            progress.certainly_not_run = False
            kind = Kind.upstream_failed
            if progress.request.key:
                kind = Kind.outcome_unknown
            return refusals.unknown(kind, RETRY_AFTER_S, attempt_end.reason)
        refusal = attempt_end.refusal
        progress.crash_suspect = progress.crash_suspect or attempt_end.crashed
        if refusal.ran == Ran.outcome_unknown:
            progress.certainly_not_run = False
        if refusal.kind == Kind.overloaded:
            view.refused_until = time.monotonic() + OVERLOAD_PAUSE_S
        return refusal

    def should_retry(self, refusal: Refusal, progress: Progress) -> bool:
        """Decide whether to make another attempt.

        Once the caller has the head, only a resumable request is retried.

        :returns: whether to retry.
        """
        request = progress.request
        if self.is_exiting:
            return False
        if progress.head_sent and not request.resumable:
            return False
        return may_retry(
            Failure(
                refusal,
                request.idempotent,
                progress.attempt_count,
                progress.time_left_s(),
            ),
            self.budget,
        )

    def run_attempt(
        self,
        view: SidecarView,
        progress: Progress,
    ) -> Generator[Piece, None, AttemptEnd]:
        """Make one attempt and yield the pieces of its answer.

        An attempt that does not end with a complete answer is cancelled at
        the sidecar.

        :returns: how the attempt ended.
        """
        progress.attempt_count += 1
        link = self.node.links.get(view.peer.node)
        if link is None:
            refusal = refusals.not_run(Kind.no_upstream, RETRY_AFTER_S)
            return answerassembly.AttemptRefused(refusal)
        attempt = f'{self.attempt_prefix}.{next(self.attempt_numbers)}'
        mailbox = Mailbox(link)
        self.mailboxes[attempt] = mailbox
        self.router.sent(view)
        attempt_end: AttemptEnd | None = None
        timeout_s = max(0, progress.time_left_s()) + DEADLINE_GRACE_S
        timer = gevent.spawn_later(
            timeout_s,
            mailbox.queue.put,
            DeadlinePassed(),
        )
        try:
            link.send(make_call(attempt, progress))
            attempt_end = yield from self.receive_answer(
                attempt, mailbox, progress
            )
        finally:
            timer.kill(block=False)
            self.mailboxes.pop(attempt, None)
            self.router.done(view)
            if not isinstance(attempt_end, answerassembly.Complete):
                link.send(frames.Cancel(attempt))
        return attempt_end

    def receive_answer(
        self,
        attempt: str,
        mailbox: Mailbox,
        progress: Progress,
    ) -> Generator[Piece, None, AttemptEnd]:
        """Receive an attempt's answer and yield its pieces.

        An answer that is not streamed is buffered until it is complete, so
        that a failed attempt can still be retried.

        :returns: how the attempt ended.
        """
        assembler = AnswerAssembler(attempt)
        buffered: list[Piece] = []
        consumed = 0
        while True:
            outcome = self.next_outcome(assembler, mailbox)
            if isinstance(outcome, answerassembly.Complete):
                yield from buffered
                return outcome
            if isinstance(
                outcome, answerassembly.AttemptRefused | answerassembly.Broken
            ):
                return outcome
            if isinstance(outcome, answerassembly.Ignored):
                continue
            if isinstance(outcome, Deliver):
                consumed += len(outcome.body)
            if not progress.request.stream:
                buffered.append(outcome)
            elif self.should_forward(outcome, progress):
                yield outcome
            if consumed >= CREDIT_BATCH_BYTES:
                mailbox.link.send(frames.Window(attempt, consumed))
                consumed = 0

    def should_forward(self, piece: Piece, progress: Progress) -> bool:
        """Check whether a piece goes to the caller, and record it as sent.

        The head of a resumed stream does not: the caller already has one.

        :returns: whether to forward the piece.
        """
        if isinstance(piece, Deliver):
            progress.events_sent += piece.body.count(EVENT_END)
            return True
        is_first_head = not progress.head_sent
        progress.head_sent = True
        return is_first_head

    def next_outcome(
        self,
        assembler: AnswerAssembler,
        mailbox: Mailbox,
    ) -> answerassembly.Outcome:
        """Wait for the next frame and process it.

        :returns: the outcome; ``Broken`` once the deadline has passed.
        """
        frame = mailbox.queue.get()
        if isinstance(frame, DeadlinePassed):
            return answerassembly.Broken('deadline passed')
        if isinstance(frame, EntryExits):
            return answerassembly.Broken('entry exits')
        if isinstance(frame, LinkLost):
            return assembler.link_lost()
        return assembler.handle(frame, time.monotonic())
