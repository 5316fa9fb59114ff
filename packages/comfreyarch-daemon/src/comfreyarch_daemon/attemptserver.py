"""Serve attempts at a sidecar: admission, claims, dispatch, answers."""

import time

import gevent

from comfreyarch_core import admission, claimmessages, frames, suspects
from comfreyarch_core.admission import Admission
from comfreyarch_core.answerassembly import to_frame
from comfreyarch_core.claimmessages import Answer
from comfreyarch_core.claims import ClaimManager
from comfreyarch_core.refusals import Kind, Refusal, not_run, unknown
from comfreyarch_core.suspects import SuspectTracker
from comfreyarch_daemon.claimdriver import ClaimDriver
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.pendingcalls import PendingCall, digest_call
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.upstreamclient import (
    CallLost,
    CallNotSent,
    UpstreamClient,
)
from comfreyarch_daemon.upstreamhealth import UpstreamHealth
from comfreyarch_daemon.upstreamrelay import UpstreamRelay

MS_PER_S = 1000
# Interval of the check for expired deadlines.
TICK_INTERVAL_S = 0.05
# Retry-after time of refusals because the upstream is down or failed.
RETRY_AFTER_S = 1.0


class AttemptServer:
    """Serve the attempts of all entries at one upstream.

    :param pending_calls: calls without an answer yet, by attempt.
    :param generation: number of upstream crashes detected so far, which
        identifies the upstream's current process.
    :param on_suspect_message: receives crashes and completions of suspects.
    """

    __slots__ = (
        'admission',
        'claim_driver',
        'generation',
        'greenlet',
        'metrics',
        'node',
        'on_suspect_message',
        'pending_calls',
        'relay',
        'suspect_tracker',
        'upstream_health',
    )

    def __init__(
        self,
        node: Node,
        client: UpstreamClient,
        upstream_health: UpstreamHealth,
        suspect_tracker: SuspectTracker,
    ) -> None:
        """Create a server with one slot until the configuration sets more."""
        self.node = node
        self.metrics = node.metrics
        self.relay = UpstreamRelay(client, self.mark_dispatched)
        self.upstream_health = upstream_health
        self.suspect_tracker = suspect_tracker
        self.admission = Admission(1, node.settings.queue_limit)
        manager = ClaimManager(node.settings.node, node.identity.incarnation)
        self.claim_driver = ClaimDriver(
            manager, node.store, node.metrics, self.handle_claim_outcome
        )
        self.pending_calls: dict[str, PendingCall] = {}
        self.generation = 0
        self.greenlet: gevent.Greenlet | None = None
        self.on_suspect_message = ignore_message

    def start(self) -> None:
        """Start the deadline check and the claim driver."""
        self.claim_driver.start()
        self.greenlet = spawn_loop('attempt deadlines', self.tick_loop)

    def close(self) -> None:
        """Stop serving; attempts in progress are cut off."""
        self.claim_driver.close()
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        self.relay.close()

    def tick_loop(self) -> None:
        """Refuse queued attempts and cancel claims past their deadline."""
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            self.apply_outcomes(self.admission.handle(admission.Tick(), now))
            for attempt, pending in list(self.pending_calls.items()):
                if pending.call.key and pending.deadline < now:
                    self.claim_driver.handle(
                        claimmessages.CancelAttempt(attempt)
                    )

    def accept(self, link: Link, call: frames.Call) -> None:
        """Accept a call from an entry.

        A call whose key is already known joins the existing claim without
        admission. A suspect is isolated: it runs while nothing else does, so
        that a crash identifies it.
        """
        now = time.monotonic()
        deadline = now + call.deadline_ms / MS_PER_S
        pending = PendingCall(call, link, digest_call(call), deadline)
        self.pending_calls[call.attempt] = pending
        refusal = self.find_refusal(pending)
        if refusal is not None:
            self.refuse(pending, refusal)
            return
        if call.key and call.key in self.claim_driver.manager.keys:
            self.request_claim(pending)
            return
        if call.suspect or self.suspect_tracker.suspect(pending.digest):
            isolate = admission.Isolate(call.attempt)
            self.admission.handle(isolate, now)
        offer = admission.Offer(
            call.attempt,
            call.team,
            deadline,
            call.cost,
            call.weight,
        )
        self.apply_outcomes(self.admission.handle(offer, now))

    def find_refusal(self, pending: PendingCall) -> Refusal | None:
        """Check whether a call must be refused before admission.

        :returns: the refusal, or None if the call may be offered.
        """
        if self.suspect_tracker.quarantined(pending.digest):
            return not_run(Kind.quarantined, detail=pending.digest)
        if not self.upstream_health.up:
            return not_run(Kind.no_upstream, RETRY_AFTER_S)
        return None

    def apply_outcomes(self, outcomes: list[admission.Outcome]) -> None:
        """Apply the decisions of the admission control."""
        for outcome in outcomes:
            pending = self.pending_calls.get(outcome.attempt)
            if pending is None:
                self.release_slot(outcome.attempt)
            elif isinstance(outcome, admission.Refuse):
                self.refuse(pending, outcome.refusal)
            else:
                pending.admitted = True
                self.run(pending)

    def release_slot(self, attempt: str) -> None:
        """Release the slot of an attempt that has ended."""
        finished = admission.Finished(attempt)
        self.apply_outcomes(self.admission.handle(finished, time.monotonic()))

    def run(self, pending: PendingCall) -> None:
        """Start an admitted attempt."""
        if pending.call.key:
            self.request_claim(pending)
            return
        pending.greenlet = gevent.spawn(self.run_unclaimed, pending)

    def request_claim(self, pending: PendingCall) -> None:
        """Request the claim of a non-idempotent call."""
        call = pending.call
        self.claim_driver.handle(
            claimmessages.ClaimRequest(call.attempt, call.key, pending.digest)
        )

    def handle_claim_outcome(
        self,
        outcome: claimmessages.DispatchAttempt
        | claimmessages.Reply
        | claimmessages.Reject,
    ) -> None:
        """Apply a decision of the claim manager."""
        pending = self.pending_calls.get(outcome.attempt)
        match outcome:
            case claimmessages.DispatchAttempt(attempt):
                if pending is None:
                    self.claim_driver.handle(
                        claimmessages.NotDelivered(attempt)
                    )
                    return
                pending.greenlet = gevent.spawn(self.run_claimed, pending)
            case claimmessages.Reply(_, answer):
                if pending is not None:
                    self.reply(pending, answer)
            case claimmessages.Reject(_, refusal):
                if pending is not None:
                    self.refuse(pending, refusal)

    def reply(self, pending: PendingCall, answer: Answer) -> None:
        """Send a complete answer to the entry."""
        attempt = pending.call.attempt
        send = pending.link.send
        send(frames.Head(attempt, answer.status, answer.headers))
        send(frames.Chunk(attempt, 0, answer.body))
        send(frames.End(attempt, len(answer.body)))
        self.finish(pending)

    def refuse(
        self,
        pending: PendingCall,
        refusal: Refusal,
        *,
        crashed: bool = False,
    ) -> None:
        """Send a refusal to the entry.

        :param crashed: whether the attempt crashed the upstream.
        """
        self.metrics.count('attempts_refused', kind=refusal.kind.value)
        pending.link.send(
            to_frame(pending.call.attempt, refusal, crashed=crashed)
        )
        self.finish(pending)

    def finish(self, pending: PendingCall) -> None:
        """Remove an attempt and release its slot."""
        attempt = pending.call.attempt
        if self.pending_calls.pop(attempt, None) is None:
            return
        if pending.admitted:
            self.release_slot(attempt)

    def run_claimed(self, pending: PendingCall) -> None:
        """Send a claimed call to the upstream, at most once."""
        attempt = pending.call.attempt
        try:
            answer = self.relay.fetch_answer(pending)
        except CallNotSent:
            self.claim_driver.handle(claimmessages.NotDelivered(attempt))
            return
        except CallLost:
            self.detect_crash(pending)
            self.claim_driver.handle(claimmessages.UpstreamLost(attempt))
            return
        self.record_completion(pending)
        self.claim_driver.handle(claimmessages.Ran(attempt, answer))

    def mark_dispatched(self, pending: PendingCall) -> None:
        """Mark a call as dispatched to the upstream's current process."""
        pending.dispatched = True
        pending.generation = self.generation
        self.metrics.count('handed_over')

    def run_unclaimed(self, pending: PendingCall) -> None:
        """Run a call without a claim, which may be repeated."""
        try:
            self.relay.stream(pending)
        except CallNotSent:
            self.upstream_health.check()
            self.refuse(pending, not_run(Kind.no_upstream, RETRY_AFTER_S))
        except CallLost as error:
            crashed = self.detect_crash(pending)
            refusal = unknown(Kind.upstream_failed, RETRY_AFTER_S, str(error))
            self.refuse(pending, refusal, crashed=crashed)
        else:
            self.record_completion(pending)
            self.finish(pending)

    def detect_crash(self, pending: PendingCall) -> bool:
        """Check whether the upstream crashed while an attempt was in flight.

        The first attempt that detects a crash reports the digests of all
        calls in flight as suspects; later ones only see the new generation.

        :returns: True if the upstream crashed.
        """
        if pending.generation < self.generation:
            return True
        if not self.upstream_health.check():
            return False
        if pending.generation < self.generation:
            return True
        digests = tuple(
            other.digest
            for other in self.pending_calls.values()
            if other.dispatched and other.generation == self.generation
        )
        self.generation += 1
        self.metrics.count('upstream_crashes')
        self.on_suspect_message(suspects.UpstreamCrashed(digests))
        return True

    def record_completion(self, pending: PendingCall) -> None:
        """Report the completion of a suspect; one that ran alone is cleared."""
        if self.suspect_tracker.suspect(pending.digest):
            alone = self.admission.alone == pending.call.attempt
            self.on_suspect_message(
                suspects.RequestCompleted(pending.digest, alone)
            )

    def cancel(self, attempt: str) -> None:
        """Cancel an attempt; a claimed call to the upstream continues."""
        pending = self.pending_calls.get(attempt)
        if pending is None:
            return
        if pending.call.key and pending.admitted:
            self.claim_driver.handle(claimmessages.CancelAttempt(attempt))
            return
        if not pending.admitted:
            withdraw = admission.Withdraw(attempt)
            self.admission.handle(withdraw, time.monotonic())
        if pending.greenlet is not None:
            pending.greenlet.kill(block=False)
        self.finish(pending)

    def add_credit(self, window: frames.Window) -> None:
        """Add the credit that the entry granted for an attempt's answer."""
        pending = self.pending_calls.get(window.attempt)
        if pending is not None:
            pending.credit += window.credit
            pending.credit_added.set()

    def cancel_link(self, link: Link) -> None:
        """Cancel the attempts that arrived on a lost link."""
        for attempt, pending in list(self.pending_calls.items()):
            if pending.link is link:
                self.cancel(attempt)

    def drain(self) -> None:
        """Stop admission and refuse the queued attempts."""
        now = time.monotonic()
        self.apply_outcomes(self.admission.handle(admission.Drain(), now))

    def resume(self) -> None:
        """Resume admission."""
        self.admission.handle(admission.Resume(), time.monotonic())


def ignore_message(message: suspects.Message) -> None:
    """Discard a message before the role has set its callback."""
