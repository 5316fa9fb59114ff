"""Report what the sends of one request tell about crashes of upstreams."""

from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_daemon.answerparser import Answer
from comfreyarch_daemon.forwarding import Call
from comfreyarch_daemon.sharedcrashguard import SharedCrashGuard
from comfreyarch_daemon.upstreamcalls import ExchangeBroken, boot_time

# Time from the first event of a stream after which its upstream has survived
# the request; one that a request crashes ends within a tenth of a second.
SURVIVAL_S = 0.5


class RequestCrashes:
    """Report the sends of one request to the crash guard.

    :param answering_since: time of the first event of the current send, None
        before and for answers that are no streams.
    :param has_survived: whether the upstream of the current send survived it.
    :param barred_trait: trait due to which the current send was cancelled.
    """

    __slots__ = (
        'answering_since',
        'barred_trait',
        'call',
        'crash_guard',
        'has_survived',
    )

    def __init__(self, crash_guard: SharedCrashGuard, call: Call) -> None:
        """Start with nothing sent."""
        self.crash_guard = crash_guard
        self.call = call
        self.answering_since: float | None = None
        self.has_survived = False
        self.barred_trait = ''

    def record_send(self) -> None:
        """Record a send, unless the request is barred by now.

        :raises RequestBarred: if it must not be sent.
        """
        self.crash_guard.check(self.call.traits)
        self.crash_guard.record_send(
            self.call.crash_target(), self.known_traits()
        )
        self.answering_since = None
        self.has_survived = False
        self.barred_trait = ''

    def record_event(self) -> None:
        """Record that events of a stream arrived."""
        now = boot_time()
        if self.answering_since is None:
            self.answering_since = now
        if now - self.answering_since >= SURVIVAL_S:
            self.record_answer()

    def record_answer(self) -> None:
        """Record, once for each send, that the upstream survived it."""
        if self.has_survived:
            return
        self.has_survived = True
        self.crash_guard.record_answer(
            self.call.crash_target(), self.known_traits()
        )

    def known_traits(self) -> tuple[str, ...]:
        """Return the traits, without the digest while none is on record."""
        if self.crash_guard.is_idle:
            return self.call.part_traits()
        return self.call.traits()

    def record_break(self, upstream: UpstreamEntry) -> None:
        """Report a broken connection, unless the upstream survived the send."""
        if not self.has_survived:
            self.crash_guard.record_broken_connection(
                self.call.crash_target(), self.call.traits(), upstream
            )

    def check_end(self, answer: Answer, upstream: UpstreamEntry) -> None:
        """Check that an answer without a length was not cut off by a crash.

        :raises ExchangeBroken: if its upstream is dead.
        """
        if not answer.ended_by_close:
            return
        if not self.crash_guard.check_alive(upstream):
            raise ExchangeBroken(f'{upstream.name} ended with its answer')

    def cancel(self, trait: str) -> bool:
        """Cancel the current send if a newly barred trait may crash upstreams.

        :returns: whether it is cancelled.
        """
        if self.has_survived or trait not in self.call.traits():
            return False
        self.barred_trait = trait
        return True

    def answering_s(self) -> float | None:
        """Return how long the upstream has been sending its answer.

        :returns: seconds since the first event of a stream, None before.
        """
        if self.answering_since is None:
            return None
        return round(boot_time() - self.answering_since, 3)
