"""Explain where an entry would send a request, without sending it.

A placement uses up permits, sends to cold upstreams, claims and random draws,
and several checks bring state up to date. All of it is therefore done on copies.
"""

import enum
import math
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass, replace

from comfreyarch_core.refusals import Refusal
from comfreyarch_core.slotclaims import score
from comfreyarch_core.upstreamselection import (
    UpstreamSelector,
    UpstreamView,
    list_ready,
    present_pass_s,
)
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import WaitQueue

# Candidates that are listed: the chosen one and the next two.
MAX_CANDIDATES = 3


class LeftOut(enum.StrEnum):
    """Reason for which an upstream would not get a request."""

    leaving = 'leaving'
    evacuated_zone = 'evacuated_zone'
    hold = 'hold'
    unhealthy = 'unhealthy'
    paused = 'paused'
    no_free_slot = 'no_free_slot'
    limited = 'limited'
    cold = 'cold'
    late_end = 'late_end'
    circuit_open = 'circuit_open'
    unconfirmed_evacuations = 'unconfirmed_evacuations'
    slow = 'slow'
    left_to_others = 'left_to_others'


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold an upstream that may get the request, and its load score."""

    upstream: str
    load_score: float


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """Explain what would happen to a request.

    :param candidates: upstreams with the lowest load scores, lowest first.
    :param chosen: upstream that would get the request, empty if none.
    :param refusal: why it would be refused, None otherwise.
    :param queue_position: its position in the wait queue, from 1; 0 if it
        would not wait.
    :param wait_s: predicted wait.
    :param left_out: reasons by upstream.
    """

    service: str
    urgency: int
    candidates: tuple[Candidate, ...]
    chosen: str
    refusal: Refusal | None
    queue_position: int
    wait_s: float
    left_out: dict[str, LeftOut]

    def counts(self) -> dict[LeftOut, int]:
        """Count the upstreams that are left out.

        :returns: numbers by reason, the most frequent first.
        """
        return dict(Counter(self.left_out.values()).most_common())


def copy_selector(selector: UpstreamSelector, service: str) -> UpstreamSelector:
    """Copy what a placement at a service may change.

    :returns: a selector that knows the upstreams of this service only.
    """
    views = {
        name: replace(view, claim=replace(view.claim))
        for name, view in selector.views.items()
        if view.entry.service == service
    }
    ready = selector.services.get(service)
    breaker = selector.circuit_breakers.get(service)
    return replace(
        selector,
        source=deepcopy(selector.source),
        announcements=deepcopy(selector.announcements),
        permits=selector.permits.copy(),
        cold=deepcopy(selector.cold),
        views=views,
        services=(
            {service: [views[view.entry.name] for view in ready]}
            if ready
            else {}
        ),
        circuit_breakers={service: replace(breaker)} if breaker else {},
        pace=deepcopy(selector.pace),
    )


def copy_queue(queue: WaitQueue) -> WaitQueue:
    """Copy a wait queue; the waiting requests are shared.

    :returns: the copy.
    """
    return replace(
        queue,
        waiters=queue.waiters.copy(),
        fleet=replace(queue.fleet),
        urgencies=queue.urgencies.copy(),
    )


def make_placement_report(
    selector: UpstreamSelector,
    queue: WaitQueue,
    waiter: Waiter,
    outcome: UpstreamView | Refusal | None,
    now: float,
) -> PlacementReport:
    """Explain the outcome of a placement.

    :param selector: the state before the placement; it is not changed.
    :param queue: the queue after a placement on a copy, without the request.
    :param outcome: the chosen upstream, the refusal, or None if the request
        would wait.
    :returns: the report.
    """
    trial = copy_selector(selector, waiter.service)
    ready, scatter = list_ready(
        trial, waiter.service, now, waiter.avoid, waiter.max_pass_s(now)
    )
    fastest_s = trial.min_pass_time_s(waiter.service, now)
    chosen = outcome.entry.name if isinstance(outcome, UpstreamView) else ''
    candidates = [
        Candidate(
            view.entry.name,
            trial.load_score(view, now, fastest_s)
            + scatter * score(view.entry.name, trial.fleet_load.node),
        )
        for view in ready
    ]
    # Among equal scores the chosen upstream, which a random draw decides, is first.
    candidates.sort(key=lambda each: (each.load_score, each.upstream != chosen))
    names = {candidate.upstream for candidate in candidates}
    left_out = {
        name: explain_left_out(trial, view, waiter, now)
        for name, view in trial.views.items()
        if name not in names
    }
    waits = outcome is None
    return PlacementReport(
        waiter.service,
        waiter.urgency,
        tuple(candidates[:MAX_CANDIDATES]),
        chosen,
        outcome if isinstance(outcome, Refusal) else None,
        queue_position(queue, waiter, now) if waits else 0,
        queue.wait_s(waiter, now) if waits else 0,
        left_out,
    )


def queue_position(queue: WaitQueue, waiter: Waiter, now: float) -> int:
    """Return the position that a request would have in a queue.

    :returns: 1 for the request that is served next.
    """
    trial = replace(queue, waiters=[*queue.waiters, waiter])
    return trial.ordered(now).index(waiter) + 1


def explain_left_out(
    selector: UpstreamSelector, view: UpstreamView, waiter: Waiter, now: float
) -> LeftOut:
    """Find why an upstream is not among the candidates.

    :returns: the first reason that holds; those that last longest come first.
    """
    entry = view.entry
    is_late = waiter.max_pass_s(now) < present_pass_s(selector, view, now)
    breaker = selector.circuit_breaker(waiter.service)
    reasons = {
        LeftOut.leaving: selector.announcements.is_leaving(entry),
        LeftOut.evacuated_zone: selector.evacuations.includes(entry),
        LeftOut.hold: selector.announcements.hold_end(entry.name) > now,
        LeftOut.unhealthy: not view.is_healthy(now),
        LeftOut.paused: view.paused_until > now,
        LeftOut.no_free_slot: not selector.has_room(view, now),
        LeftOut.limited: not selector.permits.may_send(entry, now),
        LeftOut.cold: not selector.cold.may_send(entry, now),
        LeftOut.late_end: is_late and math.isfinite(waiter.max_pass_s(now)),
        LeftOut.circuit_open: not breaker.may_send(now),
        LeftOut.unconfirmed_evacuations: selector.evacuations.is_outdated(now),
        LeftOut.slow: view.is_slow(now),
    }
    return next(
        (reason for reason, holds in reasons.items() if holds),
        LeftOut.left_to_others,
    )
