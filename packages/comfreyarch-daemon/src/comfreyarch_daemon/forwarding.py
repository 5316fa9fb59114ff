"""Define requests and answers of callers, and the state that they share."""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.crashguard import PART, REQUEST
from comfreyarch_core.crashmessages import Target
from comfreyarch_core.drainadmission import PlannedExit
from comfreyarch_core.refusals import Refusal
from comfreyarch_core.retryshare import (
    EntryCount,
    RetryLimits,
    RetryShare,
    make_retry_share,
)
from comfreyarch_core.routetable import Route
from comfreyarch_core.upstreamselection import UpstreamView
from comfreyarch_daemon.coldreports import ColdReports
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.headercodec import (
    AnswerHead,
    CallHead,
    HeaderCodec,
    Headers,
)
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.sharedcrashguard import SharedCrashGuard
from comfreyarch_daemon.sharedlimits import SharedLimits
from comfreyarch_daemon.upstreamcalls import (
    Connection,
    ConnectionPool,
    boot_time,
)
from comfreyarch_daemon.zonecontrol import ZoneControl

# Entries assumed to share the retry budget until they are counted.
ASSUMED_ENTRIES = 32
DIGEST_BYTES = 12
MISDIRECTED_STATUS = 421
# Time after which callers should retry requests that are refused while the
# entry has no configuration or is leaving.
UNAVAILABLE_RETRY_AFTER_S = 0.05
UNAVAILABLE_STATUS = 503
# A connection within the fleet opens within a few milliseconds; one that
# takes a second has lost a packet.
CONNECT_TIMEOUT_S = 0.5


class ForwardingFailed(Exception):
    """Report that no upstream answers a request, with the final refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal to send to the caller."""
        super().__init__(refusal.kind.value)
        self.refusal = refusal


class AnswerAborted(Exception):
    """Report that an answer cannot be completed after it has started."""


@dataclass(frozen=True, slots=True)
class Call:
    """Represent one request of a caller; times are those of ``boot_time``.

    :param target: path and query.
    :param team: name of the caller's team, empty without a key.
    :param urgency: priority at the upstream; 0 is admitted first.
    :param deadline: the earlier of the caller's and the route's time limit.
    :param pass_count: minimum number of engine passes that the request
        takes, 0 if unknown.
    """

    method: str
    target: str
    body: bytes
    head: CallHead
    route: Route
    service: str
    team: str
    urgency: int
    received_at: float
    deadline: float
    pass_count: float = 0

    def crash_target(self) -> Target:
        """Return what crashes and answers are compared within.

        :returns: the service and the route.
        """
        return Target(self.service, self.route.name)

    def part_traits(self) -> tuple[str, ...]:
        """Return the traits of the request that belong to its prompt.

        :returns: the parts that other requests may share, in order.
        """
        return tuple(PART + part for part in self.head.shared_parts)

    def traits(self) -> tuple[str, ...]:
        """Return what crashes that this request causes may be attributed to.

        :returns: the shared parts of the prompt, then the whole request.
        """
        return (*self.part_traits(), REQUEST + self.digest())

    def digest(self) -> str:
        """Compute a digest that is the same for every retry by a caller.

        :returns: a digest of team, method, target and body.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self.team, self.method, self.target):
            digest.update(f'{len(part)}:{part}'.encode())
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class AnswerStart:
    """Hold the status and headers of an answer.

    :param length: bytes of the body, None if unknown.
    """

    status: int
    headers: Headers
    length: int | None


AnswerPart = AnswerStart | bytes


class Cancellable(Protocol):
    """Represent a request under way that may be cancelled."""

    def cancel_barred(self, trait: str) -> None:
        """Cancel its send if a newly barred trait may crash the upstream."""

    def end_before_exit(self) -> None:
        """End its send if nothing was answered so far."""


class Forwarder:
    """Hold the state that all requests of a direct entry share.

    :param entry_count: number of entries that share the retry budget.
    :param started_at: start of the entry.
    :param on_leaving: called with the name of an upstream whose answer
        announces that it leaves.
    :param planned_exit: set once the process is about to exit.
    :param on_misdirected: called with the name of an upstream at whose address
        another one answered.
    :param crash_guard: bars what crashes upstreams.
    :param limits: request limits that upstreams announce.
    :param cold: upstreams that are cold after their start.
    :param retry_shares: retry budgets by service.
    :param senders: the requests that wait or are sent now.
    :param zone_control: evacuations of availability zones.
    """

    __slots__ = (
        'cold',
        'crash_guard',
        'dispatcher',
        'entry_count',
        'header_codec',
        'limits',
        'log',
        'metrics',
        'on_leaving',
        'on_misdirected',
        'planned_exit',
        'pool',
        'random_source',
        'retry_limits',
        'retry_shares',
        'selector',
        'senders',
        'started_at',
        'zone_control',
    )

    def __init__(
        self,
        header_codec: HeaderCodec,
        dispatcher: Dispatcher,
        retry_limits: RetryLimits,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start with no connections and full retry budgets."""
        self.header_codec = header_codec
        self.dispatcher = dispatcher
        self.selector = dispatcher.selector
        self.retry_limits = retry_limits
        self.log = log
        self.metrics = metrics
        self.pool = ConnectionPool()
        self.crash_guard = SharedCrashGuard(log, metrics)
        self.zone_control = ZoneControl(dispatcher, log, metrics)
        self.limits = SharedLimits(log.node, dispatcher, log, metrics)
        self.cold = ColdReports(log.node, dispatcher.selector, log, metrics)
        self.limits.share_with(lambda: self.entry_count.highest(boot_time()))
        self.retry_shares: dict[str, RetryShare] = {}
        self.started_at = boot_time()
        self.entry_count = EntryCount(retry_limits.window_s)
        self.entry_count.record(ASSUMED_ENTRIES, self.started_at)
        self.on_leaving: Callable[[str], None] = ignore
        self.planned_exit: PlannedExit | None = None
        self.on_misdirected: Callable[[str], None] = ignore
        self.random_source: random.Random = self.selector.source
        self.senders: set[Cancellable] = set()
        self.zone_control.on_ended = self.cold.presume_cold
        self.crash_guard.on_barred = self.handle_barred

    def retry_share(self, service: str) -> RetryShare:
        """Return this entry's share of a service's retry budget.

        :returns: the share, created on first use.
        """
        share = self.retry_shares.get(service)
        if share is None:
            share = make_retry_share(self.retry_limits, self.started_at, 1)
            self.retry_shares[service] = share
        share.entries = self.entry_count.highest(boot_time())
        return share

    def connect(self, call: Call, view: UpstreamView) -> Connection:
        """Take an idle connection to an upstream, or open one.

        A request that must not be repeated gets a new connection: if it were
        sent over an idle one that is already broken, it would be unknown
        whether it ran.

        :raises Unreachable: if no connection can be opened.
        """
        name = view.entry.name
        if call.route.repeatable:
            connection = self.pool.take(name)
            if connection is not None:
                return connection
        left_s = call.deadline - boot_time()
        timeout_s = min(CONNECT_TIMEOUT_S, left_s)
        return self.pool.open(view.entry.address, timeout_s)

    def record_announcements(
        self,
        upstream: str,
        status: int,
        head: AnswerHead,
        limit_version: int,
    ) -> None:
        """Record what an upstream announces, also with another's answer.

        :param limit_version: version of its limit known when the request of the
            answer was sent.
        """
        if status == MISDIRECTED_STATUS:
            # Another upstream made the answer.
            return
        self.limits.record_answer(upstream, head, limit_version)
        if head.leaving:
            self.record_leaving(upstream)
        if status == UNAVAILABLE_STATUS and head.retry_after_s:
            self.record_hold(upstream, head.retry_after_s)

    def record_leaving(self, name: str, source: str = 'answer') -> None:
        """Record that an upstream announces that it leaves.

        :param source: ``answer``, or the address of the peer that says so.
        """
        if not self.selector.announced_leaving(name):
            return
        self.log.write('upstream_leaving', upstream=name, source=source)
        if source == 'answer':
            self.on_leaving(name)

    def record_hold(self, name: str, hold_s: float) -> None:
        """Record that an upstream wants no request for a time."""
        self.selector.announced_hold(name, hold_s, boot_time())
        self.log.write('upstream_hold', upstream=name, hold_s=hold_s)
        self.dispatcher.refuse_held()

    def handle_barred(self, trait: str) -> None:
        """Refuse and cancel the requests with a newly barred trait."""
        self.dispatcher.refuse_barred(trait)
        for sender in list(self.senders):
            sender.cancel_barred(trait)

    def end_before_exit(self) -> None:
        """End the sends without an answer so far."""
        for sender in list(self.senders):
            sender.end_before_exit()

    def start(self) -> None:
        """Start to share the limits of upstreams with other entries."""
        self.limits.gossip.start()

    def close(self) -> None:
        """Close the idle connections and stop sharing limits."""
        self.limits.gossip.close()
        self.pool.close()


def ignore(_name: str) -> None:
    """Do nothing; the default of the callbacks of ``Forwarder``."""
