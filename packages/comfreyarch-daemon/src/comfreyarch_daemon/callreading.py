"""Determine the team, body and urgency of a caller's request."""

from typing import Any

from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.routetable import CallerLimits, Route, RouteTable, Team
from comfreyarch_daemon.headercodec import CallHead

# Number of urgency levels of an upstream's queue, 0 being the most urgent.
URGENCY_LEVELS = 10


class RefusedCall(Exception):
    """Report that a request is refused before anything was sent."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal that answers the caller."""
        super().__init__(refusal.kind.value)
        self.refusal = refusal


def find_team(
    table: RouteTable,
    route: Route,
    head: CallHead,
) -> Team | None:
    """Return the team that a request belongs to.

    :returns: None if the route is public or no keys are required.
    :raises RefusedCall: if the key is unknown.
    """
    if not table.requires_keys or route.public:
        return None
    team = table.team_of(head.key)
    if team is None:
        raise RefusedCall(not_run(Kind.unauthorized))
    return team


def read_body(
    environ: dict[str, Any],
    limits: CallerLimits,
) -> bytes:
    """Read the whole body.

    :raises RefusedCall: if the body exceeds the limit.
    """
    if int(environ.get('CONTENT_LENGTH') or 0) > limits.body_bytes:
        raise RefusedCall(not_run(Kind.too_large))
    body: bytes = environ['wsgi.input'].read(limits.body_bytes + 1)
    if len(body) > limits.body_bytes:
        raise RefusedCall(not_run(Kind.too_large))
    return body


def determine_urgency(route: Route, team: Team | None) -> int:
    """Return the urgency of a request in an upstream's queue.

    The priority of the team, if set, overrides that of the route.

    :returns: 0 (most urgent) to 9.
    """
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return max(0, min(URGENCY_LEVELS - 1, priority))
