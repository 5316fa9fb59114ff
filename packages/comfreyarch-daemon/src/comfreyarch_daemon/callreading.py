"""Read a caller's request: its team, body and urgency."""

from typing import Any

from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.routetable import CallerLimits, Route, RouteTable, Team
from comfreyarch_daemon.headercodec import CallHead

# Urgency of an upstream's queue for the best priority of a caller.
URGENCIES = 10


class RefusedCall(Exception):
    """Refuse a request before anything was sent."""

    def __init__(self, refusal: Refusal) -> None:
        """Hold the refusal."""
        super().__init__(refusal.kind.value)
        self.refusal = refusal


def find_team(
    table: RouteTable,
    route: Route,
    head: CallHead,
) -> Team | None:
    """Find the team that a request belongs to.

    :raises RefusedCall: for an unknown key.
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

    :raises RefusedCall: where it is too large.
    """
    if int(environ.get('CONTENT_LENGTH') or 0) > limits.body_bytes:
        raise RefusedCall(not_run(Kind.too_large))
    body: bytes = environ['wsgi.input'].read(limits.body_bytes + 1)
    if len(body) > limits.body_bytes:
        raise RefusedCall(not_run(Kind.too_large))
    return body


def urgency(route: Route, team: Team | None) -> int:
    """Give the urgency of a request for an upstream's queue.

    :returns: 0 for the most urgent to 9.
    """
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return max(0, min(URGENCIES - 1, priority))
