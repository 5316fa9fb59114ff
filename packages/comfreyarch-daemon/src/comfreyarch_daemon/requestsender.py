"""Send one request to upstreams until one of them answers it."""

import math
from collections.abc import Generator

from comfreyarch_core.eventsplitter import EventSplitter
from comfreyarch_core.refusals import Kind
from comfreyarch_core.routetable import Route, RouteKind
from comfreyarch_core.sendtracker import (
    SendFailure,
    SendTracker,
    make_send_tracker,
)
from comfreyarch_core.upstreamlimits import UNKNOWN_VERSION
from comfreyarch_core.upstreamselection import (
    UpstreamSelector,
    UpstreamView,
    record_gap,
)
from comfreyarch_core.waiter import Waiter
from comfreyarch_daemon.answerparser import Answer
from comfreyarch_daemon.dispatcherrors import (
    MIN_RETRY_S,
    DispatchError,
    RefusalReason,
    bound_retry_s,
)
from comfreyarch_daemon.dispatching import release_slot
from comfreyarch_daemon.forwarding import (
    UNAVAILABLE_RETRY_AFTER_S,
    AnswerAborted,
    AnswerPart,
    AnswerStart,
    Call,
    Forwarder,
    ForwardingFailed,
)
from comfreyarch_daemon.headercodec import AnswerHead
from comfreyarch_daemon.requestcrashes import RequestCrashes
from comfreyarch_daemon.requestencoding import encode_request
from comfreyarch_daemon.requestretries import (
    BUDGET_USED,
    RequestRetries,
    RetryRefused,
)
from comfreyarch_daemon.sendfailures import (
    ErrorAnswer,
    check_event_size,
    check_head,
    check_stream_end,
    classify_failure,
)
from comfreyarch_daemon.sharedcrashguard import RequestBarred
from comfreyarch_daemon.upstreamcalls import (
    AnswerMalformed,
    AnswerTimeout,
    CallError,
    Connection,
    ExchangeBroken,
    Unreachable,
    boot_time,
)
from comfreyarch_daemon.waitmetrics import count_refused, count_served

OK_STATUS = 200
# Reasons that a request which may wait for longer does not have.
WAIT_REASONS = frozenset((RefusalReason.late_start, RefusalReason.timeout))
MIN_ERROR_STATUS = 500
# Multiple of the route's latency target after which a silent upstream is
# abandoned for another one, if the request may be repeated.
MAX_SILENCE_TARGET_RATIO = 2.5
# Lower bound of that time, and the silence tolerated within an answer: engines
# pause for preempted work.
MIN_SILENCE_S = 0.7
# Reason why a failed request is not sent again.
NO_MORE_SENDS = 'no further send is allowed'
# Callers of streams disconnect after a pause, also before the first event.
# Lower bound of the pause that they are assumed to tolerate.
MIN_STREAM_PATIENCE_S = 2.0
# They tolerate at least this multiple of the route's latency target.
PATIENCE_TARGET_RATIO = 4
# They tolerate at least this multiple of the target for gaps between events.
PATIENCE_GAP_RATIO = 8
# Time from a start at a free slot to the first bytes of an answer.
TYPICAL_FIRST_BYTE_S = 0.18


def forward_request(
    forwarder: Forwarder,
    call: Call,
) -> Generator[AnswerPart, None, None]:
    """Forward a request and yield its answer.

    :returns: the start of the answer, then parts of its body.
    :raises ForwardingFailed: before the start, with the final refusal.
    :raises AnswerAborted: after the start, if the rest cannot be obtained.
    """
    forwarder.retry_share(call.service).record_request(boot_time())
    sender = RequestSender(forwarder, call)
    forwarder.senders.add(sender)
    try:
        yield from sender.run()
    finally:
        forwarder.senders.discard(sender)
        sender.close()


class Exchange:
    """Represent one send of a request to one upstream, and its answer."""

    __slots__ = (
        'answer',
        'connection',
        'head',
        'limit_version',
        'sent_at',
        'view',
    )

    def __init__(
        self,
        view: UpstreamView,
        connection: Connection,
        limit_version: int,
    ) -> None:
        """Start without an answer.

        :param limit_version: version of the upstream's limit known now.
        """
        self.view = view
        self.connection = connection
        self.limit_version = limit_version
        self.sent_at = boot_time()
        self.answer: Answer | None = None
        self.head: AnswerHead | None = None

    @property
    def upstream(self) -> str:
        """Return the identifier of the upstream.

        :returns: its name in the list of upstreams.
        """
        return self.view.entry.name


class RequestSender:
    """Send one request, and resend it as far as that is allowed.

    :param exchange: the send in progress, if any.
    :param last_error: start and body of the last error answer.
    :param has_started: whether part of the answer was yielded.
    :param is_ended: whether the send in progress was ended before the exit of
        the process.
    :param last_upstream: name of the upstream of the last send.
    :param final_error: error answer to forward because no further send
        follows.
    :param progress_at: time of the last event, of the request before the first.
    :param retries: accounts the retries of this request.
    :param crashes: reports to the crash guard.
    :param waiter: the request as the dispatcher knows it, while it waits for a
        slot or has one.
    """

    __slots__ = (
        'call',
        'crashes',
        'exchange',
        'final_error',
        'forwarder',
        'has_started',
        'is_ended',
        'last_error',
        'last_upstream',
        'progress_at',
        'retries',
        'splitter',
        'tracker',
        'waiter',
    )

    def __init__(self, forwarder: Forwarder, call: Call) -> None:
        """Start with nothing sent."""
        self.forwarder = forwarder
        self.call = call
        self.tracker: SendTracker = make_send_tracker(
            repeatable=call.route.repeatable,
            attempts=call.route.attempts,
            deadline=call.deadline,
        )
        self.splitter = EventSplitter(last_id=call.head.last_event_id)
        self.exchange: Exchange | None = None
        self.waiter: Waiter | None = None
        self.last_error: tuple[AnswerStart, bytes] | None = None
        self.has_started = False
        self.is_ended = False
        self.progress_at = call.received_at
        self.last_upstream = ''
        self.final_error: tuple[AnswerStart, bytes] | None = None
        self.retries = RequestRetries(forwarder, call.service)
        self.crashes = RequestCrashes(forwarder.crash_guard, call)

    def close(self) -> None:
        """Abort the exchange in progress, if any, and cancel its retry."""
        self.retries.cancel()
        self.abort_exchange()

    def abort_exchange(self) -> None:
        """Abort the exchange in progress, if any, and release the slot."""
        exchange, self.exchange = self.exchange, None
        waiter, self.waiter = self.waiter, None
        try:
            if exchange is not None:
                exchange.connection.close()
        finally:
            if waiter is not None:
                release_slot(self.forwarder.dispatcher, waiter)

    def finish(self, exchange: Exchange) -> None:
        """Release connection and slot after a complete answer."""
        self.exchange = None
        exchange.connection.finish()
        if exchange.head is not None and exchange.head.keep_alive_s is not None:
            exchange.connection.keep_alive_s = exchange.head.keep_alive_s
        self.forwarder.selector.succeeded(exchange.upstream)
        self.crashes.record_answer()
        self.forwarder.dispatcher.record_answer(
            exchange.view,
            boot_time() - exchange.sent_at,
            self.call.pass_count,
        )
        self.forwarder.pool.put_back(exchange.upstream, exchange.connection)
        # Only the slot is left.
        self.abort_exchange()

    def cancel_barred(self, trait: str) -> None:
        """Cancel the send in progress if a newly barred trait may crash it."""
        if self.exchange is not None and self.crashes.cancel(trait):
            self.exchange.connection.interrupt()

    def end_before_exit(self) -> None:
        """End a send without an answer so far, as the process is about to exit.

        Its caller gets a refusal instead of a closed connection.
        """
        if self.exchange is not None and not self.has_started:
            self.is_ended = True
            self.exchange.connection.interrupt()

    def run(self) -> Generator[AnswerPart, None, None]:
        """Send until an answer is forwarded completely or no send is left."""
        while True:
            try:
                yield from self.send_once()
            except RetryRefused as error:
                self.abort_exchange()
                self.end_without_resend(str(error))
            except RequestBarred as error:
                self.end_barred(error)
            except CallError as error:
                if self.is_ended:
                    # It says nothing about the upstream.
                    self.tracker.record_failure(
                        self.last_upstream, SendFailure.silent
                    )
                    raise make_leaving_refusal(self) from error
                self.handle_failure(error)
            else:
                return
            if self.final_error is not None:
                yield from self.final_error
                return

    def send_once(self) -> Generator[AnswerPart, None, None]:
        """Send the request once and forward the answer.

        :raises CallError: if the send failed without an answer to forward.
        """
        exchange = self.start_exchange()
        head = self.read_head(exchange)
        answer = exchange.answer
        if answer is None:
            raise ExchangeBroken(f'{exchange.upstream} sent no answer')
        streams = self.call.route.kind == RouteKind.streaming
        if streams and answer.status == OK_STATUS:
            yield from self.forward_stream(exchange, answer, head)
            return
        yield from self.forward_complete(exchange, answer, head)

    def start_exchange(self) -> Exchange:
        """Choose an upstream and send the request to it.

        :raises CallError: if the request could not be sent.
        :raises ForwardingFailed: if no upstream can take the request.
        """
        call = self.call
        forwarder = self.forwarder
        view, connection = self.open_connection()
        name = view.entry.name
        limits = forwarder.limits
        self.exchange = Exchange(view, connection, limits.version(name))
        self.retries.record_send()
        limits.record_send(name)
        now = boot_time()
        forwarder.log.write(
            'sent',
            request=call.head.attempt,
            upstream=name,
            own=view.in_flight,
            others=forwarder.selector.fleet_load.others(name),
            strays=round(view.decayed_strays(now), 1),
            slots=view.entry.slots,
            reused=connection.answer_count,
            waited_s=round(now - call.received_at, 3),
            left_s=round(call.deadline - now, 3),
        )
        request = encode_request(
            forwarder.header_codec, call, name, self.splitter.last_id
        )
        left_s = call.deadline - boot_time()
        connection.send(request, call.method, left_s)
        return self.exchange

    def open_connection(self) -> tuple[UpstreamView, Connection]:
        """Acquire a slot at an upstream and a connection to it.

        :raises CallError: if no connection can be opened.
        :raises ForwardingFailed: if no upstream can take the request.
        """
        while True:
            view, waiter = self.acquire_slot()
            self.last_upstream = view.entry.name
            try:
                self.crashes.record_send()
                connection = self.forwarder.connect(self.call, view)
            except BaseException:
                self.abort_exchange()
                raise
            is_placed = may_send(
                self.forwarder.selector, view, waiter, boot_time()
            )
            if is_placed and boot_time() < find_exit_start(self):
                return view, connection
            # The permit ended, the upstream became cold, or the evacuation of
            # its zone began, or the entry's exit came too close, while the
            # connection opened or the process did not run.
            connection.close()
            self.abort_exchange()

    def acquire_slot(self) -> tuple[UpstreamView, Waiter]:
        """Acquire a slot at an upstream.

        :returns: the upstream, and the request with the times by which to send.
        :raises ForwardingFailed: if none is expected in time.
        :raises AnswerAborted: if so after the answer has started.
        """
        call = self.call
        route = call.route
        since = self.progress_at
        target_s = route.gap_target_s if self.has_started else route.target_s
        target_start_at, latest_start_at = find_starts(
            route, target_s, since, call.deadline
        )
        exit_start_at = find_exit_start(self)
        if boot_time() >= exit_start_at:
            raise make_leaving_refusal(self)
        waiter = Waiter(
            call.service,
            call.urgency,
            target_start_at,
            min(latest_start_at, exit_start_at),
            frozenset(self.tracker.tried),
            call.pass_count,
            call.deadline,
            call.part_traits(),
            is_resumed=self.has_started,
        )
        # Set before, as the wait may end in any way.
        self.waiter = waiter
        try:
            view = self.forwarder.dispatcher.acquire_slot(waiter)
        except DispatchError as error:
            is_exiting = (
                error.reason in WAIT_REASONS
                and waiter.latest_start_at < latest_start_at
            )
            reason = RefusalReason.leaving if is_exiting else error.reason
            count_refused(self.forwarder.metrics, waiter, reason)
            if self.has_started:
                raise AnswerAborted(str(error)) from error
            if is_exiting:
                raise make_leaving_refusal(self) from error
            kind = Kind.overloaded if error.has_upstreams else Kind.no_upstream
            raise self.make_refusal(
                kind,
                error.retry_after_s,
                str(error),
            ) from error
        count_served(self.forwarder.metrics, waiter)
        return view, waiter

    def read_head(self, exchange: Exchange) -> AnswerHead:
        """Wait for the head of the answer to this attempt.

        :raises CallError: if none arrives or the answer is not usable.
        """
        while True:
            answer = self.wait_for_head(exchange)
            head = self.forwarder.header_codec.read_answer(answer.headers)
            is_own = head.attempt in {'', self.call.head.attempt}
            self.forwarder.record_announcements(
                exchange.upstream,
                answer.status,
                head,
                exchange.limit_version if is_own else UNKNOWN_VERSION,
            )
            if is_own:
                break
            self.skip_stray_answer(exchange, answer, head)
        exchange.answer = answer
        exchange.head = head
        now = boot_time()
        if head.load is not None:
            self.forwarder.selector.update_load(
                exchange.upstream, head.load, now
            )
        check_head(answer, head, exchange.upstream)
        self.forwarder.selector.accepted(exchange.upstream)
        return head

    def wait_for_head(self, exchange: Exchange) -> Answer:
        """Wait for a head until sending elsewhere is more promising.

        :raises AnswerTimeout: if the upstream is silent and another one may
            be tried, or at the deadline.
        """
        call = self.call
        max_silence_s = max(
            MIN_SILENCE_S,
            MAX_SILENCE_TARGET_RATIO * call.route.target_s,
        )
        silent_until = min(call.deadline, boot_time() + max_silence_s)
        try:
            return exchange.connection.next_head(silent_until)
        except AnswerTimeout:
            if self.can_send_elsewhere():
                raise
        return exchange.connection.next_head(call.deadline)

    def can_send_elsewhere(self) -> bool:
        """Check whether a silent upstream may be abandoned for another one.

        :returns: False if the request must not be repeated, no retry is
            left, or no other upstream has a free slot.
        """
        call = self.call
        now = boot_time()
        if not call.route.repeatable:
            return False
        if self.tracker.runs + 1 >= self.tracker.attempts:
            return False
        if self.forwarder.retry_share(call.service).remaining(now) < 1:
            return False
        tried = frozenset((*self.tracker.tried, self.last_upstream))
        selector = self.forwarder.selector
        max_pass_s = math.inf
        if call.pass_count:
            max_pass_s = (call.deadline - now) / call.pass_count
        return selector.choose(call.service, now, tried, max_pass_s) is not None

    def skip_stray_answer(
        self,
        exchange: Exchange,
        answer: Answer,
        head: AnswerHead,
    ) -> None:
        """Read and discard an answer that belongs to another request."""
        self.forwarder.log.write(
            'stray_answer',
            request=self.call.head.attempt,
            upstream=exchange.upstream,
            answers=head.attempt,
        )
        self.forwarder.metrics.count('stray_answers')
        while not answer.complete:
            answer.take()
            exchange.connection.read(self.call.deadline - boot_time())
        exchange.connection.finish()

    def forward_complete(
        self,
        exchange: Exchange,
        answer: Answer,
        head: AnswerHead,
    ) -> Generator[AnswerPart, None, None]:
        """Forward an answer after it was received completely.

        :raises ErrorAnswer: if it is an error and the request may be
            repeated.
        :raises AnswerAborted: if it cannot continue a started stream.
        """
        while not answer.complete:
            self.read_more(exchange)
        self.crashes.check_end(answer, exchange.view.entry)
        body = answer.take()
        start = AnswerStart(answer.status, head.forwarded, len(body))
        failed = answer.status >= MIN_ERROR_STATUS
        self.finish(exchange)
        if failed and not self.has_started and self.may_repeat(exchange):
            self.last_error = (start, body)
            raise ErrorAnswer(
                f'{exchange.upstream} answered status {answer.status}',
            )
        if self.has_started:
            raise AnswerAborted(
                f'cannot resume the stream: {exchange.upstream} answered status'
                f' {answer.status}',
            )
        yield start
        yield body

    def may_repeat(self, exchange: Exchange) -> bool:
        """Check whether a request that ran and failed may run again.

        :returns: False if it must not be repeated, no attempt is left, or
            the upstream failed it before.
        """
        return (
            self.call.route.repeatable
            and self.tracker.runs + 1 < self.tracker.attempts
            and exchange.upstream not in self.tracker.tried
        )

    def forward_stream(
        self,
        exchange: Exchange,
        answer: Answer,
        head: AnswerHead,
    ) -> Generator[AnswerPart, None, None]:
        """Forward the events of a stream as they arrive."""
        splitter = self.splitter
        splitter.restart()
        has_events = False
        while True:
            events = splitter.feed(answer.take())
            if events:
                record_events(self, exchange, is_first=not has_events)
                has_events = True
                self.crashes.record_event()
                if not self.has_started:
                    self.has_started = True
                    yield AnswerStart(answer.status, head.forwarded, None)
                yield events
            if splitter.has_gap:
                raise ExchangeBroken(
                    f'the stream of {exchange.upstream} misses an event'
                    f' before id {splitter.last_id}',
                )
            if answer.complete:
                break
            check_event_size(splitter, exchange.upstream)
            self.read_more(exchange)
        check_stream_end(
            splitter, answer, exchange.upstream, has_events=has_events
        )
        self.crashes.check_end(answer, exchange.view.entry)
        if not self.has_started:
            yield AnswerStart(answer.status, head.forwarded, None)
        yield splitter.incomplete
        self.finish(exchange)

    def read_more(self, exchange: Exchange) -> None:
        """Wait for more bytes of an answer.

        :raises CallError: if the exchange failed, or if the upstream is
            silent and another one may be tried.
        """
        now = boot_time()
        left_s = self.call.deadline - now
        max_silence_s = min(left_s, MIN_SILENCE_S)
        try:
            exchange.connection.read(max_silence_s)
        except AnswerTimeout:
            if self.can_send_elsewhere():
                raise
        else:
            return
        exchange.connection.read(self.call.deadline - boot_time())

    def handle_failure(self, error: CallError) -> None:
        """Record a failed send and decide whether another one follows.

        :raises ForwardingFailed: if none follows and nothing was forwarded.
        :raises AnswerAborted: if none follows and the answer has started.
        """
        failure = classify_failure(error)
        now = boot_time()
        name = self.last_upstream
        self.tracker.record_failure(name, failure)
        if self.crashes.barred_trait:
            self.end_barred(RequestBarred(self.crashes.barred_trait))
        answering_s = self.crashes.answering_s()
        self.record_upstream_failure(name, error, now)
        self.abort_exchange()
        stop_reason = '' if self.tracker.may_send(now) else NO_MORE_SENDS
        if not stop_reason and not self.retries.reserve(now):
            stop_reason = BUDGET_USED
        self.forwarder.log.write(
            'send_failed',
            request=self.call.head.attempt,
            upstream=name,
            ending=failure.value,
            why=str(error),
            runs=self.tracker.runs,
            rejected=self.tracker.rejected,
            again=not stop_reason,
            stop=stop_reason,
            parts=self.call.head.shared_parts,
            answering_s=answering_s,
        )
        self.forwarder.metrics.count('sends_failed', ending=failure.value)
        if isinstance(error, AnswerMalformed):
            self.forwarder.metrics.count('answers_malformed', bound=error.bound)
        if stop_reason:
            self.end_without_resend(stop_reason)

    def record_upstream_failure(
        self,
        name: str,
        error: CallError,
        now: float,
    ) -> None:
        """Report a failed send to the upstream selector and the crash guard."""
        selector = self.forwarder.selector
        match classify_failure(error):
            case SendFailure.rejected:
                selector.rejected(name, now)
            case SendFailure.replaced:
                selector.replaced(name, now)
                self.forwarder.on_misdirected(name)
            case SendFailure.failed:
                selector.returned_error(name)
            case SendFailure.unreachable:
                selector.failed(name, now)
                if isinstance(error, Unreachable) and error.is_refused:
                    self.forwarder.crash_guard.record_upstream_death(name)
            case SendFailure.broken:
                selector.failed(name, now)
                if self.exchange is not None:
                    self.crashes.record_break(self.exchange.view.entry)
            case _:
                selector.failed(name, now)

    def end_barred(self, error: RequestBarred) -> None:
        """End a request that must not be sent, or not again.

        :raises ForwardingFailed: if nothing was forwarded.
        :raises AnswerAborted: if the answer has started.
        """
        self.abort_exchange()
        if self.has_started:
            raise AnswerAborted(str(error)) from error
        left_s = self.call.deadline - boot_time()
        refusal = self.tracker.refusal(
            Kind.crashes_upstreams, left_s, str(error)
        )
        raise ForwardingFailed(refusal) from error

    def end_without_resend(self, why: str) -> None:
        """End the request after a failed send that is the last one.

        An error answer of an upstream is forwarded, if there is one.

        :raises ForwardingFailed: if nothing was forwarded and there is no
            error answer.
        :raises AnswerAborted: if the answer has started.
        """
        if self.has_started:
            raise AnswerAborted(f'cannot complete the stream: {why}')
        if self.last_error is not None:
            self.final_error = self.last_error
            return
        raise self.make_refusal(Kind.overloaded, MIN_RETRY_S, why)

    def make_refusal(
        self,
        kind: Kind,
        retry_after_s: float,
        why: str = '',
    ) -> ForwardingFailed:
        """Build the final refusal of a request that no upstream answers.

        :returns: the exception to raise.
        """
        selector = self.forwarder.selector
        now = boot_time()
        if selector.is_down(self.call.service, now):
            retry_after_s = math.inf
        left_s = self.call.deadline - now
        draw = selector.source.random()
        bounded_s = bound_retry_s(retry_after_s, left_s, draw)
        return ForwardingFailed(self.tracker.refusal(kind, bounded_s, why))


def record_events(
    sender: RequestSender, exchange: Exchange, *, is_first: bool
) -> None:
    """Record that events arrived, and the time since the last ones.

    :param is_first: whether they are the first ones of this send.
    """
    now = boot_time()
    if not is_first:
        gap_s = now - sender.progress_at
        record_gap(sender.forwarder.selector, exchange.view, gap_s, now)
    sender.progress_at = now


def find_exit_start(sender: RequestSender) -> float:
    """Find until when a request may be sent, as the entry is about to exit.

    :returns: a time; infinite if no exit is planned, and for a stream that has
        started.
    """
    planned_exit = sender.forwarder.planned_exit
    if planned_exit is None or sender.has_started:
        return math.inf
    call = sender.call
    return planned_exit.latest_start(
        call.route, call.head.answer_tokens, call.received_at
    )


def make_leaving_refusal(sender: RequestSender) -> ForwardingFailed:
    """Build the refusal of a request that another entry should take.

    :returns: the exception to raise.
    """
    return ForwardingFailed(
        sender.tracker.refusal(Kind.leaving, UNAVAILABLE_RETRY_AFTER_S)
    )


def may_send(
    selector: UpstreamSelector, view: UpstreamView, waiter: Waiter, now: float
) -> bool:
    """Check whether a request with a slot may still be sent.

    :returns: False if it must be placed again.
    """
    return (
        now < waiter.send_by
        and selector.evacuations.may_send(view.entry, now)
        and selector.cold.is_in_time(view.entry, waiter.cold_send_by, now)
    )


def find_starts(
    route: Route, target_s: float, since: float, deadline: float
) -> tuple[float, float]:
    """Compute by when a request must start.

    :returns: latest start that meets the target, and latest useful start.
    """
    patience_s = deadline - since
    if route.kind == RouteKind.streaming:
        patience_s = min(patience_s, stream_patience_s(route))
    begin = since - TYPICAL_FIRST_BYTE_S
    return begin + target_s, begin + patience_s


def stream_patience_s(route: Route) -> float:
    """Estimate how long the caller of a stream waits for its first event.

    :returns: seconds.
    """
    return max(
        MIN_STREAM_PATIENCE_S,
        PATIENCE_TARGET_RATIO * route.target_s,
        PATIENCE_GAP_RATIO * route.gap_target_s,
    )
