"""Serve attempts at a sidecar: admit, claim, run, answer."""

import time

import gevent

from comfreyarch_core import admission, claimmessages, frames, suspects
from comfreyarch_core.admission import Admission
from comfreyarch_core.answerassembly import to_frame
from comfreyarch_core.claimmessages import Answer
from comfreyarch_core.claims import ClaimManager
from comfreyarch_core.refusals import Kind, Refusal, not_run, unknown
from comfreyarch_core.suspects import SuspectTracker
from comfreyarch_daemon.claiming import Claiming
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.relaying import Relay
from comfreyarch_daemon.upstreaming import CallLost, NotTaken, UpstreamCaller
from comfreyarch_daemon.watching import UpstreamWatch
from comfreyarch_daemon.wire import Link
from comfreyarch_daemon.works import Work, digest_of

MS_A_SECOND = 1000
TICK_S = 0.05
COME_BACK_S = 1.0


class Serving:
    """Run attempts at one upstream."""

    __slots__ = (
        'admission',
        'claiming',
        'suspect_tracker',
        'greenlet',
        'life',
        'metrics',
        'node',
        'on_crash',
        'relay',
        'watch',
        'works',
    )

    def __init__(
        self,
        node: Node,
        caller: UpstreamCaller,
        watch: UpstreamWatch,
        suspect_tracker: SuspectTracker,
    ) -> None:
        """Prepare to serve; slots come with the configuration."""
        self.node = node
        self.metrics = node.metrics
        self.relay = Relay(caller, self.hand)
        self.watch = watch
        self.suspect_tracker = suspect_tracker
        self.admission = Admission(1, node.settings.queue_limit)
        manager = ClaimManager(node.settings.node, node.me.incarnation)
        self.claiming = Claiming(
            manager, node.store, node.metrics, self.claimed
        )
        self.works: dict[str, Work] = {}
        self.life = 0
        self.greenlet: gevent.Greenlet | None = None
        self.on_crash = ignore_crash

    def start(self) -> None:
        """Start the clock and the claim writer."""
        self.claiming.start()
        self.greenlet = gevent.spawn(self.tick_loop)

    def close(self) -> None:
        """Stop; works at hand are cut off."""
        self.claiming.close()
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        self.relay.close()

    def tick_loop(self) -> None:
        """Refuse what can no longer make its deadline."""
        while True:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            self.perform(self.admission.handle(admission.Tick(), now))
            for attempt, work in list(self.works.items()):
                if work.call.key and work.deadline < now:
                    self.claiming.handle(claimmessages.CancelAttempt(attempt))

    def take(self, link: Link, call: frames.Call) -> None:
        """Take a call from an entry."""
        now = time.monotonic()
        deadline = now + call.deadline_ms / MS_A_SECOND
        work = Work(call, link, digest_of(call), deadline)
        self.works[call.attempt] = work
        refusal = self.barred(work)
        if refusal is not None:
            self.refuse(work, refusal)
            return
        if call.key and call.key in self.claiming.manager.keys:
            self.claim(work)
            return
        if call.suspect or self.suspect_tracker.suspect(work.digest):
            isolate = admission.Isolate(call.attempt)
            self.admission.handle(isolate, now)
        offer = admission.Offer(
            call.attempt,
            call.team,
            deadline,
            call.cost,
            call.weight,
        )
        self.perform(self.admission.handle(offer, now))

    def barred(self, work: Work) -> Refusal | None:
        """Refuse what may not run here at all."""
        if self.suspect_tracker.quarantined(work.digest):
            return not_run(Kind.quarantined, detail=work.digest)
        if not self.watch.up:
            return not_run(Kind.no_upstream, COME_BACK_S)
        return None

    def perform(self, outcomes: list[admission.Outcome]) -> None:
        """Carry out what the admission decided."""
        for outcome in outcomes:
            work = self.works.get(outcome.attempt)
            if work is None:
                self.free(outcome.attempt)
            elif isinstance(outcome, admission.Refuse):
                self.refuse(work, outcome.refusal)
            else:
                work.admitted = True
                self.run(work)

    def free(self, attempt: str) -> None:
        """Give back the slot of an attempt that is gone."""
        finished = admission.Finished(attempt)
        self.perform(self.admission.handle(finished, time.monotonic()))

    def run(self, work: Work) -> None:
        """Start an admitted attempt."""
        if work.call.key:
            self.claim(work)
            return
        work.greenlet = gevent.spawn(self.run_plain, work)

    def claim(self, work: Work) -> None:
        """Ask for the claim of a non-idempotent call."""
        call = work.call
        self.claiming.handle(
            claimmessages.ClaimRequest(call.attempt, call.key, work.digest)
        )

    def claimed(
        self,
        outcome: claimmessages.DispatchAttempt
        | claimmessages.Reply
        | claimmessages.Reject,
    ) -> None:
        """Carry out what the claim desk decided."""
        work = self.works.get(outcome.attempt)
        match outcome:
            case claimmessages.DispatchAttempt(attempt):
                if work is None:
                    self.claiming.handle(claimmessages.NotDelivered(attempt))
                    return
                work.greenlet = gevent.spawn(self.run_claimed, work)
            case claimmessages.Reply(_, answer):
                if work is not None:
                    self.reply(work, answer)
            case claimmessages.Reject(_, refusal):
                if work is not None:
                    self.refuse(work, refusal)

    def reply(self, work: Work, answer: Answer) -> None:
        """Send a whole answer."""
        attempt = work.call.attempt
        send = work.link.send
        send(frames.Head(attempt, answer.status, answer.headers))
        send(frames.Chunk(attempt, 0, answer.body))
        send(frames.End(attempt, len(answer.body)))
        self.finish(work)

    def refuse(
        self,
        work: Work,
        refusal: Refusal,
        *,
        crashed: bool = False,
    ) -> None:
        """Send a refusal."""
        self.metrics.count('attempts_refused', kind=refusal.kind.value)
        work.link.send(to_frame(work.call.attempt, refusal, crashed=crashed))
        self.finish(work)

    def finish(self, work: Work) -> None:
        """Forget an attempt and give its slot back."""
        attempt = work.call.attempt
        if self.works.pop(attempt, None) is None:
            return
        if work.admitted:
            self.free(attempt)

    def run_claimed(self, work: Work) -> None:
        """Hand a claimed call to the upstream, once."""
        attempt = work.call.attempt
        try:
            answer = self.relay.whole_answer(work)
        except NotTaken:
            self.claiming.handle(claimmessages.NotDelivered(attempt))
            return
        except CallLost:
            self.check_crash(work)
            self.claiming.handle(claimmessages.UpstreamLost(attempt))
            return
        self.survived(work)
        self.claiming.handle(claimmessages.Ran(attempt, answer))

    def hand(self, work: Work) -> None:
        """Mark an attempt as handed to the upstream's present life."""
        work.handed = True
        work.life = self.life
        self.metrics.count('handed_over')

    def run_plain(self, work: Work) -> None:
        """Run a call that may be repeated, streaming where asked."""
        try:
            self.relay.stream(work)
        except NotTaken:
            self.watch.look()
            self.refuse(work, not_run(Kind.no_upstream, COME_BACK_S))
        except CallLost as error:
            crashed = self.check_crash(work)
            refusal = unknown(Kind.upstream_failed, COME_BACK_S, str(error))
            self.refuse(work, refusal, crashed=crashed)
        else:
            self.survived(work)
            self.finish(work)

    def check_crash(self, work: Work) -> bool:
        """Find out whether the upstream died, and who was in flight.

        :returns: True if it did.
        """
        if work.life < self.life:
            return True
        if not self.watch.look():
            return False
        if work.life < self.life:
            return True
        digests = tuple(
            one.digest
            for one in self.works.values()
            if one.handed and one.life == self.life
        )
        self.life += 1
        self.metrics.count('upstream_crashes')
        self.on_crash(suspects.UpstreamCrashed(digests))
        return True

    def survived(self, work: Work) -> None:
        """Clear a suspect that ran alone."""
        if self.suspect_tracker.suspect(work.digest):
            alone = self.admission.alone == work.call.attempt
            self.on_crash(suspects.RequestCompleted(work.digest, alone))

    def cancel(self, attempt: str) -> None:
        """Withdraw an attempt; a claimed one that runs goes on."""
        work = self.works.get(attempt)
        if work is None:
            return
        if work.call.key and work.admitted:
            self.claiming.handle(claimmessages.CancelAttempt(attempt))
            return
        if not work.admitted:
            withdraw = admission.Withdraw(attempt)
            self.admission.handle(withdraw, time.monotonic())
        if work.greenlet is not None:
            work.greenlet.kill(block=False)
        self.finish(work)

    def allow(self, window: frames.Window) -> None:
        """Take the entry's word that it has room again."""
        work = self.works.get(window.attempt)
        if work is not None:
            work.credit += window.credit
            work.credited.set()

    def drop_link(self, link: Link) -> None:
        """Cancel what a lost entry had asked for."""
        for attempt, work in list(self.works.items()):
            if work.link is link:
                self.cancel(attempt)

    def drain(self) -> None:
        """Admit nothing more."""
        now = time.monotonic()
        self.perform(self.admission.handle(admission.Drain(), now))

    def resume(self) -> None:
        """Admit again."""
        self.admission.handle(admission.Resume(), time.monotonic())


def ignore_crash(message: suspects.Message) -> None:
    """Ignore a crash before the role is set up."""
