"""Hold what all requests share that go to upstreams directly."""

import hashlib
import random
from dataclasses import dataclass

from comfreyarch_core.refusals import Refusal
from comfreyarch_core.retryshare import (
    RetryLimits,
    RetryShare,
    make_retry_share,
)
from comfreyarch_core.routetable import Route
from comfreyarch_daemon.crashnews import CrashNews
from comfreyarch_daemon.dialect import CallHead, Dialect, Headers
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import ConnectionPool

# Entries to share the retry budget with before they were counted.
UNCOUNTED_ENTRIES = 32
DIGEST_BYTES = 12


class GaveUp(Exception):
    """End a request with a final answer of the entry's own."""

    def __init__(self, refusal: Refusal) -> None:
        """Hold the answer."""
        super().__init__(refusal.kind.value)
        self.refusal = refusal


class CutOff(Exception):
    """End a stream midway; the transfer is aborted."""


@dataclass(frozen=True, slots=True)
class Call:
    """Hold one request of a caller; times are those of ``boot_time``.

    :param deadline: the earlier of the caller's and the route's time limit.
    :param passes: passes of an engine that it takes, 0 where none are known.
    """

    method: str
    target: str
    body: bytes
    head: CallHead
    route: Route
    service: str
    team: str
    urgency: int
    began: float
    deadline: float
    passes: float = 0

    def digest(self) -> str:
        """Name the request by what stays when it comes again.

        :returns: a digest of its team, method, target and body.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self.team, self.method, self.target):
            digest.update(f'{len(part)}:{part}'.encode())
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin an answer.

    :param length: bytes of the body where known.
    """

    status: int
    headers: Headers
    length: int | None


Piece = Begin | bytes


class Forwarder:
    """Forward requests and follow their sends.

    :param entries: how many entries share the retry budget.
    :param crashes: requests that crash upstreams.
    """

    __slots__ = (
        'crashes',
        'dialect',
        'dispatcher',
        'entries',
        'limits',
        'log',
        'metrics',
        'selector',
        'pool',
        'shares',
        'source',
    )

    def __init__(
        self,
        dialect: Dialect,
        dispatcher: Dispatcher,
        limits: RetryLimits,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Take the parts that all requests share."""
        self.dialect = dialect
        self.dispatcher = dispatcher
        self.selector = dispatcher.selector
        self.limits = limits
        self.log = log
        self.metrics = metrics
        self.pool = ConnectionPool()
        self.crashes = CrashNews(log)
        self.shares: dict[str, RetryShare] = {}
        self.entries = UNCOUNTED_ENTRIES
        self.source: random.Random = self.selector.source

    def share(self, service: str) -> RetryShare:
        """Give the retry budget of a service.

        :returns: this entry's share.
        """
        share = self.shares.get(service)
        if share is None:
            share = make_retry_share(self.limits, self.entries)
            self.shares[service] = share
        share.entries = self.entries
        return share

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()
