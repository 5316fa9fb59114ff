"""Refusals: their kind, HTTP status and remedy, and whether a request ran."""

import enum
from dataclasses import dataclass


class Ran(enum.StrEnum):
    """State whether a refused request may have run."""

    not_run = 'not_run'
    outcome_unknown = 'outcome_unknown'


class Kind(enum.StrEnum):
    """Reason for a refusal; callers rely on the values."""

    unauthorized = 'unauthorized'
    unknown_route = 'unknown_route'
    bad_request = 'bad_request'
    key_required = 'key_required'
    key_reused = 'key_reused'
    key_expired = 'key_expired'
    in_progress = 'in_progress'
    over_rate = 'over_rate'
    over_concurrency = 'over_concurrency'
    overloaded = 'overloaded'
    deadline = 'deadline'
    cancelled = 'cancelled'
    no_upstream = 'no_upstream'
    store_down = 'store_down'
    leaving = 'leaving'
    quarantined = 'quarantined'
    crashes_upstreams = 'crashes_upstreams'
    not_ready = 'not_ready'
    retry_budget = 'retry_budget'
    too_large = 'too_large'
    headers_too_large = 'headers_too_large'
    upstream_failed = 'upstream_failed'
    upstream_refused = 'upstream_refused'
    outcome_unknown = 'outcome_unknown'


# HTTP status and remedy of each kind of refusal.
REMEDIES: dict[Kind, tuple[int, str]] = {
    Kind.unauthorized: (401, 'send the bearer token of a configured team'),
    Kind.unknown_route: (404, 'use a model or route that is configured'),
    Kind.bad_request: (400, 'correct the request as the message says'),
    Kind.key_required: (400, 'send an Idempotency-Key with this route'),
    Kind.key_reused: (422, 'use a new Idempotency-Key for another body'),
    Kind.key_expired: (422, 'use a new key: this one is past retention'),
    Kind.in_progress: (409, 'ask again with the same key after the wait'),
    Kind.over_rate: (429, 'send fewer requests a second; come back then'),
    Kind.over_concurrency: (429, 'wait for open requests to finish'),
    Kind.overloaded: (503, 'come back after the wait'),
    Kind.deadline: (503, 'allow a later deadline or come back then'),
    Kind.cancelled: (499, 'send the request again if still wanted'),
    Kind.no_upstream: (503, 'come back after the wait'),
    Kind.store_down: (503, 'come back when the store is up'),
    Kind.leaving: (503, 'send again: another upstream takes it'),
    Kind.quarantined: (422, 'change the request: it crashes upstreams'),
    Kind.crashes_upstreams: (
        503,
        'change the request: upstreams that ran similar ones crashed',
    ),
    Kind.not_ready: (503, 'come back once the node has a configuration'),
    Kind.retry_budget: (503, 'come back after the wait'),
    Kind.too_large: (413, 'send a smaller body'),
    Kind.headers_too_large: (431, 'send fewer or shorter headers'),
    Kind.upstream_failed: (502, 'send again: the request is repeatable'),
    Kind.upstream_refused: (502, 'see the upstream: it refused the call'),
    Kind.outcome_unknown: (
        504,
        'check the ledger by key before any new request',
    ),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold the final answer to a request that is not served.

    :param kind: the reason.
    :param ran: ``not_run`` only if the request certainly did not run.
    :param retry_after_s: seconds after which to retry, 0 for no advice.
    :param detail: one sentence about this refusal.
    """

    kind: Kind
    ran: Ran
    retry_after_s: float = 0
    detail: str = ''

    @property
    def status(self) -> int:
        """Return the HTTP status code, which is 400 or more.

        :returns: the status code.
        """
        return REMEDIES[self.kind][0]

    @property
    def remedy(self) -> str:
        """Return what the caller can do about it.

        :returns: one clause.
        """
        return REMEDIES[self.kind][1]


def not_run(
    kind: Kind,
    retry_after_s: float = 0,
    detail: str = '',
) -> Refusal:
    """Create the refusal of a request that certainly did not run.

    :returns: the refusal.
    """
    return Refusal(kind, Ran.not_run, retry_after_s, detail)


def unknown(kind: Kind, retry_after_s: float = 0, detail: str = '') -> Refusal:
    """Create the refusal of a request that may have run.

    :returns: the refusal.
    """
    return Refusal(kind, Ran.outcome_unknown, retry_after_s, detail)
