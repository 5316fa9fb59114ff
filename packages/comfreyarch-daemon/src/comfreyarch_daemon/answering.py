"""Obtain a caller's answer: attempts, retries and resumed streams."""

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
    GaveUp,
    LostLink,
    Mailbox,
    Piece,
    Progress,
    make_call,
)
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.requests import CallerRequest
from comfreyarch_daemon.wire import Link

COME_BACK_S = 1.0
REFUSED_PAUSE_S = 0.25
CREDIT_STEP_BYTES = 65_536
DEADLINE_GRACE_S = 0.5


class Answering:
    """Obtain answers at one entry."""

    __slots__ = (
        'budget',
        'counter',
        'mailboxes',
        'metrics',
        'node',
        'prefix',
        'router',
    )

    def __init__(self, node: Node, router: Router) -> None:
        """Start with no attempt open."""
        self.node = node
        self.router = router
        self.metrics: Metrics = node.metrics
        self.budget = RetryBudget()
        self.mailboxes: dict[str, Mailbox] = {}
        self.counter = itertools.count(1)
        self.prefix = f'{node.me.node}.{node.me.incarnation}'

    def deliver(self, frame: frames.AnyFrame) -> None:
        """Put a frame into its attempt's mailbox; late ones are counted."""
        mailbox = self.mailboxes.get(getattr(frame, 'attempt', ''))
        if mailbox is None:
            self.metrics.count('frames_late')
            return
        mailbox.frames.put(frame)

    def lost(self, link: Link) -> None:
        """Tell all attempts on a link that it is lost."""
        for mailbox in self.mailboxes.values():
            if mailbox.link is link:
                mailbox.frames.put(LostLink())

    def answer(
        self,
        request: CallerRequest,
    ) -> Generator[Piece, None, None]:
        """Yield the answer's head and then its bytes.

        :raises GaveUp: with the final refusal; after the first piece it
            means that the answer is cut off.
        """
        progress = Progress(request)
        self.budget.earn()
        while True:
            view = self.choose(progress)
            if view is None:
                raise GaveUp(progress.settle(self.nobody(progress)))
            ended = yield from self.attempt(view, progress)
            if isinstance(ended, answerassembly.Complete):
                return
            refusal = self.weigh(ended, view, progress)
            if not self.again(refusal, progress):
                raise GaveUp(progress.settle(refusal))
            self.metrics.count('retries', kind=refusal.kind.value)

    def choose(self, progress: Progress) -> SidecarView | None:
        """Choose a sidecar, by key where the request has one."""
        request = progress.request
        now = time.monotonic()
        avoid = frozenset(progress.avoid)
        if request.key:
            return self.router.choose_keyed(
                request.group,
                request.key,
                now,
                avoid,
            )
        return self.router.choose(request.group, request.prefix, now, avoid)

    def nobody(self, progress: Progress) -> Refusal:
        """Refuse where no sidecar takes work."""
        return refusals.not_run(
            Kind.no_upstream,
            COME_BACK_S,
            f'group {progress.request.group}',
        )

    def weigh(
        self,
        ended: answerassembly.AttemptRefused | answerassembly.Broken,
        view: SidecarView,
        progress: Progress,
    ) -> Refusal:
        """Turn a failed attempt's end into a refusal."""
        progress.avoid.add(view.peer.node)
        if isinstance(ended, answerassembly.Broken):
            progress.certain = False
            kind = Kind.upstream_failed
            if progress.request.key:
                kind = Kind.outcome_unknown
            return refusals.unknown(kind, COME_BACK_S, ended.reason)
        refusal = ended.refusal
        progress.suspect = progress.suspect or ended.crashed
        if refusal.ran == Ran.outcome_unknown:
            progress.certain = False
        if refusal.kind == Kind.overloaded:
            view.refused_until = time.monotonic() + REFUSED_PAUSE_S
        return refusal

    def again(self, refusal: Refusal, progress: Progress) -> bool:
        """Decide on one more attempt."""
        request = progress.request
        if progress.begun and not request.resumable:
            return False
        return may_retry(
            Failure(
                refusal,
                request.idempotent,
                progress.tries,
                progress.left_s(),
            ),
            self.budget,
        )

    def attempt(
        self,
        view: SidecarView,
        progress: Progress,
    ) -> Generator[Piece, None, AttemptEnd]:
        """Make one attempt and yield what it gives.

        :returns: how the attempt ended.
        """
        progress.tries += 1
        link = self.node.links.get(view.peer.node)
        if link is None:
            refusal = refusals.not_run(Kind.no_upstream, COME_BACK_S)
            return answerassembly.AttemptRefused(refusal)
        attempt = f'{self.prefix}.{next(self.counter)}'
        mailbox = Mailbox(link)
        self.mailboxes[attempt] = mailbox
        self.router.sent(view)
        ended: AttemptEnd | None = None
        wait_s = max(0, progress.left_s()) + DEADLINE_GRACE_S
        timer = gevent.spawn_later(
            wait_s,
            mailbox.frames.put,
            DeadlinePassed(),
        )
        try:
            link.send(make_call(attempt, progress))
            ended = yield from self.follow(attempt, mailbox, progress)
        finally:
            timer.kill(block=False)
            self.mailboxes.pop(attempt, None)
            self.router.done(view)
            if not isinstance(ended, answerassembly.Complete):
                link.send(frames.Cancel(attempt))
        return ended

    def follow(
        self,
        attempt: str,
        mailbox: Mailbox,
        progress: Progress,
    ) -> Generator[Piece, None, AttemptEnd]:
        """Follow an attempt to its end; hold a whole answer until then."""
        assembler = AnswerAssembler(attempt)
        held: list[Piece] = []
        consumed = 0
        while True:
            outcome = self.next_outcome(assembler, mailbox)
            if isinstance(outcome, answerassembly.Complete):
                yield from held
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
                held.append(outcome)
            elif self.is_news(outcome, progress):
                yield outcome
            if consumed >= CREDIT_STEP_BYTES:
                mailbox.link.send(frames.Window(attempt, consumed))
                consumed = 0

    def is_news(self, piece: Piece, progress: Progress) -> bool:
        """Count a streamed piece; a resumed stream's head is not news."""
        if isinstance(piece, Deliver):
            progress.events += piece.body.count(EVENT_END)
            return True
        fresh = not progress.begun
        progress.begun = True
        return fresh

    def next_outcome(
        self,
        assembler: AnswerAssembler,
        mailbox: Mailbox,
    ) -> answerassembly.Outcome:
        """Wait for the next frame, up to the deadline."""
        frame = mailbox.frames.get()
        if isinstance(frame, DeadlinePassed):
            return answerassembly.Broken('deadline passed')
        if isinstance(frame, LostLink):
            return assembler.lost()
        return assembler.handle(frame, time.monotonic())
