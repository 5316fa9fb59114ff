"""Be an entry that sends to upstreams directly, without sidecars."""

import json
from collections.abc import Generator, Iterable
from typing import Any

from gevent.event import Event
from gevent.pywsgi import WSGIServer

from comfreyarch_core.drainadmission import can_finish_before
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.routetable import CallerLimits, Route, RouteTable
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_daemon.callersite import (
    HANDLER_KEY,
    CallerHandler,
    CallerWatch,
)
from comfreyarch_daemon.callreading import (
    RefusedCall,
    find_team,
    read_body,
    urgency,
)
from comfreyarch_daemon.dialect import CallHead, Dialect, Headers
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.forwarding import (
    Begin,
    Call,
    CutOff,
    Forwarder,
    GaveUp,
    Piece,
)
from comfreyarch_daemon.listening import open_listener
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.pace import Pace
from comfreyarch_daemon.requestwork import answer
from comfreyarch_daemon.statuslines import StartResponse, status_line
from comfreyarch_daemon.upstreamcalls import boot_time

START_RETRY_AFTER_S = 0.05
# A request that comes before the first configuration waits so long for it;
# the store answers within this time, slow days included.
FIRST_TABLE_S = 0.5


class DirectEntry:
    """Take callers' requests and forward them.

    :param table: the configuration in force, None before the first.
    :param open_requests: requests under way.
    :param ends_at: when a leaving entry ends, once not all is taken any more.
    """

    __slots__ = (
        'dialect',
        'dispatcher',
        'ends_at',
        'first_table',
        'forwarder',
        'idle_sockets',
        'leaving',
        'log',
        'metrics',
        'open_requests',
        'server',
        'settings',
        'table',
    )

    def __init__(
        self,
        settings: DirectSettings,
        dialect: Dialect,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Build all parts; nothing runs before ``start``."""
        self.settings = settings
        self.dialect = dialect
        self.log = log
        self.metrics = metrics
        selector = make_upstream_selector(
            settings.availability_zone, settings.seed
        )
        self.dispatcher = Dispatcher(selector)
        self.forwarder = Forwarder(
            dialect,
            self.dispatcher,
            settings.retries,
            log,
            metrics,
        )
        self.table: RouteTable | None = None
        self.first_table = Event()
        self.open_requests = 0
        self.leaving = False
        self.ends_at: float | None = None
        self.idle_sockets: set[Any] = set()
        self.server = WSGIServer(
            open_listener(settings.callers),
            self,
            log=None,
            error_log=None,
            handler_class=CallerHandler,
        )

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request: the WSGI application.

        :returns: the body.
        """
        began = boot_time()
        site: CallerHandler = environ[HANDLER_KEY]
        headers = list(site.headers.items())
        head = self.dialect.read_call(headers)
        closing = [('Connection', 'close')] if self.leaving else []
        own = [*closing, *self.dialect.attempt_headers(head)]
        try:
            call = self.read(environ, head, began)
        except RefusedCall as error:
            return self.refuse(error.refusal, head, own, start_response)
        return self.respond(call, site, closing, start_response)

    def start(self) -> None:
        """Start taking callers."""
        self.dispatcher.start()
        self.server.start()

    def close(self) -> None:
        """Stop taking callers and close idle connections."""
        self.server.stop_accepting()
        for sock in list(self.idle_sockets):
            sock.close()
        self.forwarder.close()
        self.dispatcher.close()

    @property
    def limits(self) -> CallerLimits:
        """Give what callers may send."""
        return self.table.limits if self.table is not None else CallerLimits()

    def configured(self, table: RouteTable) -> None:
        """Take a new configuration; versions only rise."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.first_table.set()
        self.log.write(
            'configuration',
            version=table.version,
            routes=sum(len(prefixes) for prefixes in table.hosts.values()),
            keys=len(table.teams),
        )

    def listed(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take the present upstreams."""
        kept = list(entries)
        names = {entry.name for entry in kept}
        views = self.forwarder.selector.views
        for name in views.keys() - names:
            if not views[name].entry.leaving:
                self.forwarder.crashes.died(name)
        self.forwarder.selector.update_upstreams(kept)
        self.dispatcher.pump()
        self.forwarder.pool.keep_only(names)

    def ready(self) -> bool:
        """Tell whether new callers should come here.

        :returns: False before the first configuration and when leaving.
        """
        return self.table is not None and not self.leaving

    def bad_input(self) -> None:
        """Count a request that could not be read."""
        self.metrics.count('bad_input')

    def idle(self, sock: Any, *, idle: bool) -> None:
        """Follow which callers' connections wait for a request."""
        if idle:
            self.idle_sockets.add(sock)
        else:
            self.idle_sockets.discard(sock)

    def read(
        self,
        environ: dict[str, Any],
        head: CallHead,
        began: float,
    ) -> Call:
        """Match a request and read its body.

        :raises RefusedCall: where it is not forwarded.
        """
        site: CallerHandler = environ[HANDLER_KEY]
        if self.table is None:
            self.first_table.wait(FIRST_TABLE_S)
        table = self.table
        if table is None:
            raise RefusedCall(not_run(Kind.not_ready, START_RETRY_AFTER_S))
        host = environ.get('HTTP_HOST', '').partition(':')[0]
        sent = sum(len(name) + len(text) for name, text in head.forwarded)
        if sent > table.limits.header_bytes:
            raise RefusedCall(not_run(Kind.headers_too_large))
        route = table.match(host, site.path)
        if route is None:
            raise RefusedCall(not_run(Kind.unknown_route))
        self.check_end(route, head)
        team = find_team(table, route, head)
        body = read_body(environ, table.limits)
        left_s = route.timeout_s
        if head.left_s is not None:
            left_s = min(left_s, head.left_s)
        service = self.service(route)
        call = Call(
            site.command,
            site.path,
            body,
            head,
            route,
            service,
            team.name if team is not None else '',
            urgency(route, team),
            began,
            began + left_s,
            table.passes(service, head.prompt_tokens, head.answer_tokens),
        )
        if self.forwarder.crashes.bars(call.digest):
            raise RefusedCall(not_run(Kind.crashes_upstreams, left_s))
        return call

    def check_end(self, route: Route, head: CallHead) -> None:
        """Refuse what might not end before this process does.

        :raises RefusedCall: while leaving, for such a request.
        """
        end = self.ends_at
        if end is None:
            return
        if not can_finish_before(route, head.answer_tokens, boot_time(), end):
            raise RefusedCall(not_run(Kind.leaving, START_RETRY_AFTER_S))

    def service(self, route: Route) -> str:
        """Draw a service by the route's weights.

        :returns: its name.
        """
        shares = route.services
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        names = [share.service for share in shares]
        return self.forwarder.source.choices(names, weights)[0]

    def respond(
        self,
        call: Call,
        site: CallerHandler,
        closing: Headers,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Forward a request and pass its answer on."""
        self.open_requests += 1
        watch = CallerWatch(site.socket, lambda: self.caller_left(call))
        watch.start()
        pieces = answer(self.forwarder, call)
        body = self.pass_on(call, pieces, watch)
        try:
            begin = next(body)
        except GaveUp as error:
            own = [*closing, *self.dialect.attempt_headers(call.head)]
            return self.refuse(error.refusal, call.head, own, start_response)
        if not isinstance(begin, Begin):
            raise TypeError('an answer begins with its head')
        headers = [*begin.headers, *closing]
        if begin.length is not None:
            headers.append(('Content-Length', str(begin.length)))
        start_response(status_line(begin.status), headers)
        return body  # type: ignore[return-value]

    def pass_on(
        self,
        call: Call,
        pieces: Generator[Piece, None, None],
        watch: CallerWatch,
    ) -> Generator[Piece, None, None]:
        """Yield an answer's pieces; end all that belongs to it afterwards.

        :raises ConnectionResetError: to abort a transfer midway.
        """
        outcome = 'caller_left'
        status = 0
        pace = Pace(call.began)
        try:
            for piece in pieces:
                if isinstance(piece, Begin):
                    status = piece.status
                else:
                    pace.passed(boot_time())
                yield piece
            outcome = 'answered'
        except GaveUp as error:
            outcome = error.refusal.kind.value
            status = error.refusal.status
            raise
        except CutOff as error:
            outcome = 'cut_off'
            raise ConnectionResetError(str(error)) from error
        finally:
            watch.close()
            pieces.close()
            self.open_requests -= 1
            self.ended(call, outcome, status, pace)

    def ended(self, call: Call, outcome: str, status: int, pace: Pace) -> None:
        """Log and count how a request ended."""
        took_s = boot_time() - call.began
        self.metrics.count('requests', outcome=outcome)
        self.metrics.record('request', took_s)
        self.log.write(
            'ended',
            request=call.head.attempt,
            route=call.route.name,
            team=call.team,
            outcome=outcome,
            status=status,
            first_s=pace.first_s,
            longest_gap_s=pace.longest_gap_s,
            took_s=round(took_s, 3),
            version=self.table.version if self.table else 0,
        )

    def caller_left(self, call: Call) -> None:
        """Log that a caller went away."""
        self.log.write('caller_left', request=call.head.attempt)

    def refuse(
        self,
        refusal: Refusal,
        head: CallHead,
        headers: Headers,
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer with a refusal, at once.

        :returns: the body.
        """
        self.metrics.count('refused', kind=refusal.kind.value)
        self.log.write(
            'refused',
            request=head.attempt,
            kind=refusal.kind.value,
            ran=refusal.ran.value,
            retry_after_s=refusal.retry_after_s,
            why=refusal.detail,
            version=self.table.version if self.table else 0,
        )
        told = {'error': refusal.kind.value, 'remedy': refusal.remedy}
        body = json.dumps(told).encode()
        sent = [
            *headers,
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        if refusal.retry_after_s > 0:
            sent.append(('Retry-After', f'{refusal.retry_after_s:.3f}'))
        start_response(status_line(refusal.status), sent)
        return [body]
