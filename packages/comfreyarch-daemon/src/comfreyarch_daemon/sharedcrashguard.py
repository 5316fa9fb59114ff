"""Bar what crashes upstreams, together with the other entries."""

from collections.abc import Callable, Iterable

import gevent

from comfreyarch_core.crashguard import CrashGuard, make_crash_guard
from comfreyarch_core.crashmessages import (
    ConnectionBroken,
    Lift,
    Message,
    Notice,
    RequestAnswered,
    RequestSent,
    Target,
    TraitBarred,
    TraitCleared,
    UpstreamAlive,
    UpstreamDied,
)
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_daemon.crashgossip import CrashGossip, make_crash_gossip
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import (
    Connection,
    Unreachable,
    boot_time,
)

# Time in which an upstream that is alive accepts a connection.
LIVENESS_TIMEOUT_S = 0.25


class RequestBarred(Exception):
    """Report that a request must not be sent, due to one of its traits."""

    def __init__(self, trait: str) -> None:
        """Name the trait."""
        super().__init__(f'upstreams crashed on requests with {trait!r}')
        self.trait = trait


class SharedCrashGuard:
    """Own an entry's crash guard; exchange evidence and bars with peers.

    :param checks: liveness checks in progress, by upstream.
    :param on_barred: called with each newly barred trait.
    """

    __slots__ = ('checks', 'gossip', 'guard', 'log', 'metrics', 'on_barred')

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        """Start without evidence; peers are unknown before ``gossip.share``."""
        self.log = log
        self.metrics = metrics
        self.guard: CrashGuard = make_crash_guard()
        self.gossip: CrashGossip = make_crash_gossip(self.guard, self.apply)
        self.checks: dict[str, gevent.Greenlet] = {}
        self.on_barred: Callable[[str], None] = ignore

    @property
    def is_idle(self) -> bool:
        """Check that neither evidence nor bars are on record.

        :returns: True almost always; no digest needs to be computed then.
        """
        return self.guard.is_idle

    def check(self, traits: Callable[[], Iterable[str]]) -> None:
        """Check that a request may be sent.

        :param traits: computes its traits; called only if there are bars.
        :raises RequestBarred: if one of them is barred.
        """
        if not self.guard.bars.by_trait:
            return
        trait = self.guard.bars.barred_trait(traits(), boot_time())
        if trait:
            raise RequestBarred(trait)

    def record_send(self, target: Target, traits: tuple[str, ...]) -> None:
        """Record that a request is sent."""
        self.handle_event(RequestSent(target, traits))

    def record_broken_connection(
        self,
        target: Target,
        traits: tuple[str, ...],
        upstream: UpstreamEntry,
    ) -> None:
        """Record that a connection broke before the answer, and check why.

        Returns once it is known whether the upstream is dead.
        """
        self.handle_event(ConnectionBroken(target, traits, upstream.name))
        self.check_alive(upstream)

    def record_answer(self, target: Target, traits: tuple[str, ...]) -> None:
        """Record that an upstream survived the begin of an answer."""
        self.handle_event(RequestAnswered(target, traits))

    def record_upstream_death(self, upstream: str) -> None:
        """Record that an upstream refuses connections or is unlisted."""
        if self.guard.records.breaks:
            self.handle_event(UpstreamDied(upstream))

    def lift(self, trait: str) -> bool:
        """Lift a bar here and at the other entries.

        :returns: False if the trait is not barred.
        """
        is_barred = self.guard.bars.has(trait)
        self.handle_event(Lift(trait))
        return is_barred

    def check_alive(self, upstream: UpstreamEntry) -> bool:
        """Check whether an upstream accepts connections, once at a time.

        :returns: False only if it refuses them.
        """
        check = self.checks.get(upstream.name)
        if check is None:
            check = gevent.spawn(
                self.run_check, upstream.name, upstream.address
            )
            self.checks[upstream.name] = check
        is_alive: bool = check.get()
        return is_alive

    def run_check(self, upstream: str, address: str) -> bool:
        """Connect to an upstream and record whether it is alive.

        :returns: False only if it refuses connections.
        """
        connection = Connection(address)
        try:
            connection.start(LIVENESS_TIMEOUT_S)
        except Unreachable as error:
            if error.is_refused:
                self.handle_event(UpstreamDied(upstream))
            return not error.is_refused
        finally:
            self.checks.pop(upstream, None)
            connection.close()
        self.handle_event(UpstreamAlive(upstream))
        return True

    def tick(self) -> None:
        """Drop old evidence, and send the rest to the peers again."""
        self.guard.expire(boot_time())
        self.gossip.resend()

    def handle_event(self, message: Message) -> None:
        """Pass an event to the guard and tell the peers what it concludes."""
        notices = self.guard.handle(message, boot_time())
        if notices:
            self.gossip.send(notices)
            self.apply(notices)

    def apply(self, notices: list[Notice]) -> None:
        """Log and count new and lifted bars, and stop requests under way."""
        for notice in notices:
            match notice:
                case TraitBarred(trait, crashes):
                    self.log.write('trait_barred', trait=trait, crashes=crashes)
                    self.metrics.count('traits_barred')
                    self.on_barred(trait)
                case TraitCleared(trait):
                    self.log.write('trait_cleared', trait=trait)
        self.metrics.gauge('bars', len(self.guard.bars.by_trait))


def ignore(_trait: str) -> None:
    """Do nothing; the default for ``SharedCrashGuard.on_barred``."""
