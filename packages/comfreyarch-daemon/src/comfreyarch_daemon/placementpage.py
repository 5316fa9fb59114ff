"""Tell operators where an entry would send a request now."""

import math
from collections.abc import Mapping
from typing import Any

from comfreyarch_core.placementreport import (
    PlacementReport,
    copy_queue,
    copy_selector,
    make_placement_report,
)
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.routetable import Route, RouteTable, Team
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import make_wait_queue
from comfreyarch_daemon.callreading import determine_urgency
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.dispatcherrors import (
    DispatchError,
    bound_retry_s,
)
from comfreyarch_daemon.dispatching import Dispatcher, place
from comfreyarch_daemon.forwarding import UNAVAILABLE_RETRY_AFTER_S
from comfreyarch_daemon.requestsender import find_starts
from comfreyarch_daemon.upstreamcalls import boot_time


class PlacementExplainer:
    """Explain placements from the running state of an entry, unchanged."""

    __slots__ = ('entry',)

    def __init__(self, entry: DirectEntry) -> None:
        """Explain the placements of ``entry``."""
        self.entry = entry

    def page(self, query: Mapping[str, str]) -> dict[str, Any]:
        """Explain one request.

        :param query: ``target``, see ``find_route``; optionally ``team``,
            ``prompt_tokens``, ``answer_tokens`` and ``deadline_s``.
        :returns: the route, and a report for each of its services, or the
            refusal.
        :raises ValueError: if a number is malformed.
        """
        now = boot_time()
        prompt_tokens = int(query.get('prompt_tokens', 0))
        answer_tokens = int(query.get('answer_tokens', 0))
        deadline_s = float(query.get('deadline_s', math.inf))
        if math.isnan(deadline_s):
            raise ValueError('deadline_s is not a number')
        table = self.entry.table
        if table is None:
            return show_refusal(
                not_run(Kind.not_ready, UNAVAILABLE_RETRY_AFTER_S)
            )
        route = find_route(table, query.get('target', ''))
        if route is None:
            return show_refusal(not_run(Kind.unknown_route))
        planned_exit = self.entry.forwarder.planned_exit
        if planned_exit is not None and not planned_exit.accepts(
            route, answer_tokens, now
        ):
            return show_refusal(
                not_run(Kind.leaving, UNAVAILABLE_RETRY_AFTER_S)
            )
        team = find_named_team(table, query.get('team', ''))
        if team is None and query.get('team'):
            return show_refusal(not_run(Kind.unauthorized))
        if route.public or not table.requires_keys:
            team = None
        deadline = now + min(route.timeout_s, deadline_s)
        target_at, latest_at = find_starts(route, route.target_s, now, deadline)
        if planned_exit is not None:
            latest_at = min(
                latest_at, planned_exit.latest_start(route, answer_tokens, now)
            )
        waiters = [
            Waiter(
                share.service,
                determine_urgency(route, team),
                target_at,
                latest_at,
                frozenset(),
                table.min_passes(share.service, prompt_tokens, answer_tokens),
                deadline,
            )
            for share in route.services
        ]
        return {
            'route': route.name,
            'placements': [
                show_report(self.explain(waiter, now)) for waiter in waiters
            ],
        }

    def explain(self, waiter: Waiter, now: float) -> PlacementReport:
        """Place a request on copies of the state.

        :returns: the report.
        """
        dispatcher = self.entry.dispatcher
        known = dispatcher.queues.get(waiter.service)
        queue = make_wait_queue() if known is None else copy_queue(known)
        selector = copy_selector(dispatcher.selector, waiter.service)
        try:
            outcome = place(Dispatcher(selector), waiter, queue, now)
        except DispatchError as error:
            retry_s = error.retry_after_s
            if selector.is_down(waiter.service, now):
                retry_s = math.inf
            draw = selector.source.random()
            left_s = waiter.deadline - now
            refusal = not_run(
                Kind.overloaded if error.has_upstreams else Kind.no_upstream,
                bound_retry_s(retry_s, left_s, draw),
                str(error),
            )
            return make_placement_report(
                dispatcher.selector, queue, waiter, refusal, now
            )
        return make_placement_report(
            dispatcher.selector, queue, waiter, outcome, now
        )


def find_route(table: RouteTable, target: str) -> Route | None:
    """Find the route of a request.

    :param target: name of a route, or ``HOST/PATH``.
    :returns: None if there is none.
    """
    for prefixes in table.hosts.values():
        for route in prefixes.values():
            if route.name == target:
                return route
    host, slash, path = target.partition('/')
    return table.match(host.partition(':')[0], f'{slash}{path}')


def find_named_team(table: RouteTable, name: str) -> Team | None:
    """Find a team by its name.

    :returns: None if there is none.
    """
    return next(
        (team for team in table.teams.values() if team.name == name), None
    )


def show_refusal(refusal: Refusal) -> dict[str, Any]:
    """Format a refusal.

    :returns: JSON-compatible values.
    """
    return {
        'refused': {
            'kind': refusal.kind.value,
            'status': refusal.status,
            'retry_after_s': round(refusal.retry_after_s, 3),
            'why': refusal.detail or refusal.remedy,
        }
    }


def show_report(report: PlacementReport) -> dict[str, Any]:
    """Format a report.

    :returns: JSON-compatible values.
    """
    page: dict[str, Any] = {
        'service': report.service,
        'urgency': report.urgency,
        'candidates': [
            {
                'upstream': candidate.upstream,
                'load_score': round(candidate.load_score, 3),
            }
            for candidate in report.candidates
        ],
        'left_out': report.left_out,
        'left_out_counts': report.counts(),
    }
    if report.refusal is not None:
        return {**page, **show_refusal(report.refusal)}
    if report.chosen:
        return {**page, 'chosen': report.chosen}
    page['queued'] = {
        'position': report.queue_position,
        'wait_s': round(report.wait_s, 3),
    }
    return page
