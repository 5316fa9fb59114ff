"""Answer callers at an entry that sends directly to upstreams."""

import json
from collections.abc import Collection, Generator, Iterable
from typing import Any

from gevent.event import Event
from gevent.pywsgi import WSGIServer

from comfreyarch_core.drainadmission import LAST_START_S, PlannedExit
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_core.routetable import CallerLimits, Route, RouteTable
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_daemon.answertiming import AnswerTiming
from comfreyarch_daemon.callerconnection import (
    HANDLER_KEY,
    CallerHandler,
    DisconnectWatcher,
    end_connection,
)
from comfreyarch_daemon.callreading import (
    RefusedCall,
    determine_urgency,
    find_team,
    read_body,
)
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.dispatching import Dispatcher, limit_starts
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.forwarding import (
    UNAVAILABLE_RETRY_AFTER_S,
    AnswerAborted,
    AnswerPart,
    AnswerStart,
    Call,
    Forwarder,
    ForwardingFailed,
)
from comfreyarch_daemon.headercodec import CallHead, HeaderCodec, Headers
from comfreyarch_daemon.httplistener import open_listener
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.requestsender import forward_request
from comfreyarch_daemon.sharedcrashguard import RequestBarred
from comfreyarch_daemon.statuslines import StartResponse, status_line
from comfreyarch_daemon.upstreamcalls import boot_time

# Time for which a request waits for the first configuration. The store
# answers within it even when it is slow.
FIRST_TABLE_TIMEOUT_S = 0.5


class DirectEntry:
    """Accept callers' requests and forward them to upstreams.

    :param table: the configuration in force, None before the first.
    :param first_table: set once there is a configuration.
    :param open_requests: number of requests in flight.
    :param leaving: whether the entry is draining before it stops.
    :param idle_sockets: connections of callers without a request.
    :param unused_upstreams: upstreams that were used before another one got
        their address, and are still listed, by name.
    """

    __slots__ = (
        'dispatcher',
        'first_table',
        'forwarder',
        'header_codec',
        'idle_sockets',
        'leaving',
        'log',
        'metrics',
        'open_requests',
        'server',
        'settings',
        'table',
        'unused_upstreams',
    )

    def __init__(
        self,
        settings: DirectSettings,
        header_codec: HeaderCodec,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Build all parts; nothing runs before ``start``."""
        self.settings = settings
        self.header_codec = header_codec
        self.log = log
        self.metrics = metrics
        selector = make_upstream_selector(
            settings.availability_zone, settings.seed
        )
        self.dispatcher = Dispatcher(selector)
        self.forwarder = Forwarder(
            header_codec,
            self.dispatcher,
            settings.retries,
            log,
            metrics,
        )
        self.forwarder.cold.state.bound = settings.cold_bound
        self.table: RouteTable | None = None
        self.first_table = Event()
        self.open_requests = 0
        self.leaving = False
        self.idle_sockets: set[Any] = set()
        self.unused_upstreams: dict[str, UpstreamEntry] = {}
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
        """Answer one request, as a WSGI application.

        :returns: the body.
        """
        received_at = boot_time()
        caller_handler: CallerHandler = environ[HANDLER_KEY]
        headers = list(caller_handler.headers.items())
        head = self.header_codec.read_call(headers)
        closing = [('Connection', 'close')] if self.leaving else []
        refusal_headers = [*closing, *self.header_codec.attempt_headers(head)]
        self.open_requests += 1
        try:
            call = self.read_call(environ, head, received_at)
        except RefusedCall as error:
            self.open_requests -= 1
            return self.refuse(
                error.refusal,
                head,
                refusal_headers,
                start_response,
            )
        except BaseException:
            self.open_requests -= 1
            raise
        return self.respond(call, caller_handler, closing, start_response)

    def begin_exit(self, planned_exit: PlannedExit) -> None:
        """Begin a planned stop: refuse what cannot end before the exit."""
        self.leaving = True
        self.forwarder.planned_exit = planned_exit
        limit_starts(self.dispatcher, planned_exit.exits_at - LAST_START_S)

    def start(self) -> None:
        """Start to accept connections of callers."""
        self.dispatcher.start()
        self.forwarder.start()
        self.server.start()

    def close(self) -> None:
        """Stop accepting connections and end idle ones."""
        self.server.stop_accepting()
        for sock in list(self.idle_sockets):
            end_connection(sock)
        self.forwarder.close()
        self.dispatcher.close()

    @property
    def limits(self) -> CallerLimits:
        """Return the limits for callers, by default before a configuration."""
        return self.table.limits if self.table is not None else CallerLimits()

    def apply_configuration(self, table: RouteTable) -> None:
        """Apply a configuration if it is newer than the one in force."""
        if self.table is not None and table.version <= self.table.version:
            self.log.write(
                'configuration_older',
                version=table.version,
                in_force=self.table.version,
            )
            return
        self.table = table
        self.forwarder.cold.apply_rules(table)
        self.first_table.set()
        self.log.write(
            'configuration',
            version=table.version,
            routes=sum(len(prefixes) for prefixes in table.hosts.values()),
            keys=len(table.teams),
        )

    def replace_upstreams(
        self,
        entries: Iterable[UpstreamEntry],
        unused: Collection[str] = (),
    ) -> None:
        """Replace the list of upstreams; one that is gone counts as dead.

        An upstream that was leaving is expected to go and does not count.

        :param unused: names of upstreams that are listed, but not used, as
            another one has their address.
        """
        upstreams = list(entries)
        names = {entry.name for entry in upstreams}
        selector = self.forwarder.selector
        known = dict(self.unused_upstreams)
        known.update(
            (name, view.entry) for name, view in selector.views.items()
        )
        self.unused_upstreams = {
            name: known[name] for name in unused if name in known
        }
        for name in known.keys() - names - set(unused):
            if not selector.announcements.is_leaving(known[name]):
                self.forwarder.crash_guard.record_upstream_death(name)
        selector.update_upstreams(upstreams)
        # What is known of an upstream holds if it is used again.
        listed = [*upstreams, *self.unused_upstreams.values()]
        self.forwarder.cold.update_upstreams(listed)
        self.forwarder.limits.keep_listed(listed)
        self.dispatcher.serve_queues()
        self.forwarder.pool.keep_only(names)

    def is_ready(self) -> bool:
        """Check whether callers should send new requests to this entry.

        :returns: False before the first configuration and while leaving.
        """
        return self.table is not None and not self.leaving

    def count_bad_input(self) -> None:
        """Count a malformed request."""
        self.metrics.count('bad_input')

    def idle(self, sock: Any, *, idle: bool) -> None:
        """Record whether a caller's connection is idle.

        :param idle: whether it waits for a request.
        """
        if idle:
            self.idle_sockets.add(sock)
        else:
            self.idle_sockets.discard(sock)

    def read_call(
        self,
        environ: dict[str, Any],
        head: CallHead,
        received_at: float,
    ) -> Call:
        """Match a request with a route, check it, and read its body.

        :raises RefusedCall: if the request may not be forwarded.
        """
        caller_handler: CallerHandler = environ[HANDLER_KEY]
        if self.table is None:
            self.first_table.wait(FIRST_TABLE_TIMEOUT_S)
        table = self.table
        if table is None:
            raise RefusedCall(
                not_run(Kind.not_ready, UNAVAILABLE_RETRY_AFTER_S)
            )
        host = environ.get('HTTP_HOST', '').partition(':')[0]
        header_bytes = sum(
            len(name) + len(text) for name, text in head.forwarded
        )
        if header_bytes > table.limits.header_bytes:
            raise RefusedCall(not_run(Kind.headers_too_large))
        route = table.match(host, caller_handler.path)
        if route is None:
            raise RefusedCall(not_run(Kind.unknown_route))
        self.check_can_finish(route, head)
        team = find_team(table, route, head)
        body = read_body(environ, table.limits)
        # The body may have taken a while to arrive.
        self.check_can_finish(route, head)
        left_s = route.timeout_s
        if head.left_s is not None:
            left_s = min(left_s, head.left_s)
        service = self.choose_service(route)
        call = Call(
            caller_handler.command,
            caller_handler.path,
            body,
            head,
            route,
            service,
            team.name if team is not None else '',
            determine_urgency(route, team),
            received_at,
            received_at + left_s,
            table.min_passes(service, head.prompt_tokens, head.answer_tokens),
        )
        try:
            self.forwarder.crash_guard.check(call.traits)
        except RequestBarred as error:
            raise RefusedCall(
                not_run(Kind.crashes_upstreams, left_s, str(error))
            ) from error
        return call

    def check_can_finish(self, route: Route, head: CallHead) -> None:
        """Check that a request finishes before a leaving entry stops.

        :raises RefusedCall: if it may not finish in time.
        """
        planned_exit = self.forwarder.planned_exit
        if planned_exit is not None and not planned_exit.accepts(
            route, head.answer_tokens, boot_time()
        ):
            raise RefusedCall(not_run(Kind.leaving, UNAVAILABLE_RETRY_AFTER_S))

    def choose_service(self, route: Route) -> str:
        """Choose a service at random by the route's weights.

        :returns: its name.
        """
        shares = route.services
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        names = [share.service for share in shares]
        return self.forwarder.random_source.choices(names, weights)[0]

    def respond(
        self,
        call: Call,
        caller_handler: CallerHandler,
        closing: Headers,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Forward a request and return its answer to the caller.

        :param closing: headers by which a leaving entry closes the connection,
            empty for any other entry.
        :returns: the body.
        :raises TypeError: if the answer has no start.
        """
        watch = DisconnectWatcher(
            caller_handler.socket,
            lambda: self.log_caller_left(call),
        )
        watch.start()
        parts = forward_request(self.forwarder, call)
        body = self.relay_answer(call, parts, watch)
        try:
            start = next(body)
        except ForwardingFailed as error:
            refusal_headers = [
                *closing,
                *self.header_codec.attempt_headers(call.head),
            ]
            return self.refuse(
                error.refusal,
                call.head,
                refusal_headers,
                start_response,
            )
        if not isinstance(start, AnswerStart):
            raise TypeError(
                f'the answer to request {call.head.attempt!r} starts with its'
                f' body instead of status and headers',
            )
        headers = [*start.headers, *closing]
        if start.length is not None:
            headers.append(('Content-Length', str(start.length)))
        start_response(status_line(start.status), headers)
        return body  # type: ignore[return-value]

    def relay_answer(
        self,
        call: Call,
        parts: Generator[AnswerPart, None, None],
        watch: DisconnectWatcher,
    ) -> Generator[AnswerPart, None, None]:
        """Yield the parts of an answer, and clean up and log at its end.

        :raises ForwardingFailed: if no upstream answers.
        :raises ConnectionResetError: to abort an incomplete transfer.
        """
        outcome = 'caller_left'
        status = 0
        timing = AnswerTiming(call.received_at)
        try:
            for part in parts:
                if isinstance(part, AnswerStart):
                    status = part.status
                else:
                    timing.record_part(boot_time())
                yield part
            outcome = 'answered'
        except ForwardingFailed as error:
            outcome = error.refusal.kind.value
            status = error.refusal.status
            raise
        except AnswerAborted as error:
            outcome = 'cut_off'
            raise ConnectionResetError(str(error)) from error
        finally:
            watch.close()
            parts.close()
            self.open_requests -= 1
            self.record_end(call, outcome, status, timing)

    def record_end(
        self,
        call: Call,
        outcome: str,
        status: int,
        timing: AnswerTiming,
    ) -> None:
        """Log and count how a request ended."""
        took_s = boot_time() - call.received_at
        self.metrics.count('requests', outcome=outcome)
        self.metrics.record('request', took_s)
        self.log.write(
            'ended',
            request=call.head.attempt,
            route=call.route.name,
            team=call.team,
            outcome=outcome,
            status=status,
            first_s=timing.first_s,
            longest_gap_s=timing.longest_gap_s,
            took_s=round(took_s, 3),
            version=self.table.version if self.table else 0,
        )

    def log_caller_left(self, call: Call) -> None:
        """Log that a caller closed its connection."""
        self.log.write('caller_left', request=call.head.attempt)

    def refuse(
        self,
        refusal: Refusal,
        head: CallHead,
        headers: Headers,
        start_response: StartResponse,
    ) -> list[bytes]:
        """Refuse a request without forwarding it, or after that failed.

        :param headers: headers to send besides those of the refusal.
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
        document = {'error': refusal.kind.value, 'remedy': refusal.remedy}
        if refusal.kind == Kind.crashes_upstreams:
            document['detail'] = refusal.detail
        body = json.dumps(document).encode()
        sent_headers = [
            *headers,
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        if refusal.retry_after_s > 0:
            sent_headers.append(('Retry-After', f'{refusal.retry_after_s:.3f}'))
        start_response(status_line(refusal.status), sent_headers)
        return [body]
