"""Follow one request over its sends to upstreams."""

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
from comfreyarch_core.upstreamselection import UpstreamView
from comfreyarch_core.waitqueue import Waiter
from comfreyarch_daemon.answerparser import Answer
from comfreyarch_daemon.dialect import AnswerHead, SendFacts
from comfreyarch_daemon.dispatching import NoPlace
from comfreyarch_daemon.forwarding import (
    Begin,
    Call,
    CutOff,
    Forwarder,
    GaveUp,
    Piece,
)
from comfreyarch_daemon.upstreamcalls import (
    Broken,
    CallError,
    Connection,
    Silent,
    Unreachable,
    boot_time,
)

OK_STATUS = 200
FIRST_FAILURE = 500
MISDIRECTED = 421
# A connection within the fleet opens within a few ms; one second is a loss.
CONNECT_TIMEOUT_S = 0.5
# An upstream that is silent for so many latency objectives is given up for
# another one, where the request may be repeated.
SILENT_TARGETS = 2.5
# Shortest silence of that kind: engines pause for preempted work.
SHORTEST_SILENCE_S = 0.7
# Why a failed request is not sent again.
NO_MORE_SENDS = 'no further send is allowed'
BUDGET_USED = 'the retry budget is used up'
# Bounds of the time after which a refused caller may come back.
SHORTEST_RETRY_AFTER_S = 0.2
RETRY_AFTER_SHARE = 0.3
# A caller of a stream leaves after a pause, before its first event too: the
# longest of this, some objectives and some pauses between events.
STREAM_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
# Time from a start at a free slot to the first bytes of an answer.
USUAL_FIRST_S = 0.18


def answer(forwarder: Forwarder, call: Call) -> Generator[Piece, None, None]:
    """Answer a request.

    :returns: the beginning of the answer, then parts of its body.
    :raises GaveUp: before the beginning, with the final answer.
    :raises CutOff: after it, where the rest cannot be had.
    """
    forwarder.share(call.service).record_request(boot_time())
    work = Work(forwarder, call)
    try:
        yield from work.run()
    finally:
        work.close()


class Send:
    """Be one send of a request to one upstream."""

    __slots__ = ('answer', 'connection', 'head', 'view')

    def __init__(self, view: UpstreamView, connection: Connection) -> None:
        """Hold the connection used."""
        self.view = view
        self.connection = connection
        self.answer: Answer | None = None
        self.head: AnswerHead | None = None

    @property
    def name(self) -> str:
        """Name the upstream.

        :returns: its identifier.
        """
        return self.view.entry.name


class Work:
    """Follow one request over its sends."""

    __slots__ = (
        'begun',
        'call',
        'splitter',
        'failure',
        'forwarder',
        'given_back',
        'send',
        'state',
        'target',
    )

    def __init__(self, forwarder: Forwarder, call: Call) -> None:
        """Start with nothing sent."""
        self.forwarder = forwarder
        self.call = call
        self.state: SendTracker = make_send_tracker(
            repeatable=call.route.repeatable,
            attempts=call.route.attempts,
            deadline=call.deadline,
        )
        self.splitter = EventSplitter(last_id=call.head.last_event)
        self.send: Send | None = None
        self.failure: tuple[Begin, bytes] | None = None
        self.begun = False
        self.target = ''
        self.given_back: tuple[Begin, bytes] | None = None

    def close(self) -> None:
        """Cut off what is still under way at an upstream."""
        send, self.send = self.send, None
        if send is None:
            return
        send.connection.close()
        self.forwarder.dispatcher.release(send.view)

    def finish(self, send: Send) -> None:
        """Give the connection back after a whole answer."""
        self.send = None
        send.connection.finish()
        if send.head is not None and send.head.keep_s is not None:
            send.connection.keep_s = send.head.keep_s
        self.forwarder.selector.succeeded(send.name)
        crashes = self.forwarder.crashes
        if not crashes.idle:
            crashes.answered(self.call.digest())
        self.forwarder.pool.give_back(send.name, send.connection)
        self.forwarder.dispatcher.release(send.view)

    def run(self) -> Generator[Piece, None, None]:
        """Send until an answer is passed on whole, or give up."""
        while True:
            try:
                yield from self.attempt()
            except CallError as error:
                self.failed(error)
            else:
                return
            if self.given_back is not None:
                yield from self.given_back
                return

    def attempt(self) -> Generator[Piece, None, None]:
        """Send once and pass on the answer.

        :raises CallError: where another send should follow.
        """
        send = self.open_send()
        head = self.read_head(send)
        answer = send.answer
        if answer is None:
            raise Broken('no answer was kept')
        streams = self.call.route.kind == RouteKind.streaming
        if streams and answer.status == OK_STATUS:
            yield from self.stream(send, answer, head)
            return
        yield from self.whole(send, answer, head)

    def open_send(self) -> Send:
        """Choose an upstream and send the request to it.

        :raises CallError: where it did not get there.
        :raises GaveUp: where no upstream takes it.
        """
        call = self.call
        forwarder = self.forwarder
        view = self.place()
        name = view.entry.name
        self.target = name
        try:
            connection = self.connect(view)
        except BaseException:
            forwarder.dispatcher.release(view)
            raise
        self.send = Send(view, connection)
        now = boot_time()
        forwarder.log.write(
            'sent',
            request=call.head.attempt,
            upstream=name,
            own=view.in_flight,
            others=forwarder.selector.fleet_load.others(name),
            strays=round(view.decayed_strays(now), 1),
            slots=view.entry.slots,
            reused=connection.answered,
            waited_s=round(now - call.began, 3),
            left_s=round(call.deadline - now, 3),
        )
        request = self.encode(name)
        left_s = call.deadline - boot_time()
        connection.send(request, call.method, left_s)
        return self.send

    def place(self) -> UpstreamView:
        """Get a slot at an upstream.

        :raises GaveUp: where that is hopeless.
        :raises CutOff: where it is so midway.
        """
        call = self.call
        route = call.route
        patience = call.deadline - call.began
        if route.kind == RouteKind.streaming:
            patience = min(patience, stream_patience_s(route))
        waiter = Waiter(
            call.service,
            call.urgency,
            call.began + route.target_s - USUAL_FIRST_S,
            call.began + patience - USUAL_FIRST_S,
            frozenset(self.state.tried),
            call.passes,
            call.deadline,
        )
        try:
            return self.forwarder.dispatcher.place(waiter)
        except NoPlace as error:
            if self.begun:
                raise CutOff(str(error)) from error
            kind = Kind.overloaded if error.upstreams else Kind.no_upstream
            raise self.give_up(
                kind,
                error.retry_after_s,
                str(error),
            ) from error

    def connect(self, view: UpstreamView) -> Connection:
        """Take an idle connection, or open one.

        What may not be repeated gets a new one: an idle connection that
        died would leave it open whether the request ran.

        :raises Unreachable: where that fails.
        """
        pool = self.forwarder.pool
        name = view.entry.name
        if self.call.route.repeatable:
            connection = pool.take(name)
            if connection is not None:
                return connection
        left_s = self.call.deadline - boot_time()
        timeout_s = min(CONNECT_TIMEOUT_S, left_s)
        return pool.open(view.entry.address, timeout_s)

    def encode(self, name: str) -> bytes:
        """Write the request's bytes for an upstream.

        :returns: head and body.
        """
        call = self.call
        facts = SendFacts(
            name,
            call.deadline - boot_time(),
            call.team,
            call.urgency,
            self.splitter.last_id,
        )
        lines = [f'{call.method} {call.target} HTTP/1.1']
        headers = self.forwarder.dialect.send_headers(call.head, facts)
        lines += [f'{key}: {text}' for key, text in headers]
        if call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
            lines.append(f'Content-Length: {len(call.body)}')
        head = '\r\n'.join([*lines, '', ''])
        return head.encode('latin-1') + call.body

    def read_head(self, send: Send) -> AnswerHead:
        """Wait for the head of the answer to this very attempt.

        :raises CallError: where it does not come, or refuses.
        """
        while True:
            answer = self.await_head(send)
            head = self.forwarder.dialect.read_answer(answer.headers)
            if head.attempt in {'', self.call.head.attempt}:
                break
            self.drop_stray(send, answer, head)
        send.answer = answer
        send.head = head
        now = boot_time()
        if head.load is not None:
            self.forwarder.selector.update_load(send.name, head.load, now)
        self.check_head(answer, head)
        self.forwarder.selector.accepted(send.name)
        return head

    def await_head(self, send: Send) -> Answer:
        """Wait for a head, as long as waiting is better than going elsewhere."""
        call = self.call
        patience = max(
            SHORTEST_SILENCE_S,
            SILENT_TARGETS * call.route.target_s,
        )
        early = min(call.deadline, boot_time() + patience)
        try:
            return send.connection.next_head(early)
        except Silent:
            if self.may_move():
                raise
        return send.connection.next_head(call.deadline)

    def may_move(self) -> bool:
        """Tell whether a silent send may be given up for another one.

        :returns: False where the request must not or cannot go elsewhere.
        """
        call = self.call
        now = boot_time()
        if not call.route.repeatable:
            return False
        if self.state.runs + 1 >= self.state.attempts:
            return False
        if self.forwarder.share(call.service).remaining(now) < 1:
            return False
        tried = frozenset((*self.state.tried, self.target))
        selector = self.forwarder.selector
        longest_s = math.inf
        if call.passes:
            longest_s = (call.deadline - now) / call.passes
        return selector.choose(call.service, now, tried, longest_s) is not None

    def drop_stray(self, send: Send, answer: Answer, head: AnswerHead) -> None:
        """Read past an answer that belongs to another request."""
        self.forwarder.log.write(
            'stray_answer',
            request=self.call.head.attempt,
            upstream=send.name,
            answers=head.attempt,
        )
        self.forwarder.metrics.count('stray_answers')
        while not answer.complete:
            send.connection.read(self.call.deadline - boot_time())
        send.connection.finish()

    def check_head(self, answer: Answer, head: AnswerHead) -> None:
        """Check that a head is a usable answer of the upstream.

        :raises Rejected: where the request did not run.
        :raises Broken: where the answer is not the upstream's own.
        """
        if answer.status == MISDIRECTED:
            raise Replaced('another upstream has this address')
        if head.not_run:
            raise Rejected(f'status {answer.status}, not run')
        if not head.signed or head.encoded:
            raise Broken(f'status {answer.status}, not its own answer')

    def whole(
        self,
        send: Send,
        answer: Answer,
        head: AnswerHead,
    ) -> Generator[Piece, None, None]:
        """Pass on an answer once all of it is there."""
        while not answer.complete:
            self.await_more(send)
        body = answer.take()
        begin = Begin(answer.status, head.passed_on, len(body))
        failed = answer.status >= FIRST_FAILURE
        self.finish(send)
        if failed and not self.begun and self.may_repeat(send):
            self.failure = (begin, body)
            raise Failed(f'status {answer.status}')
        if self.begun:
            raise CutOff('the stream cannot go on')
        yield begin
        yield body

    def may_repeat(self, send: Send) -> bool:
        """Tell whether a request that ran and failed is worth repeating.

        :returns: False where it may not run again.
        """
        return (
            self.call.route.repeatable
            and self.state.runs + 1 < self.state.attempts
            and send.name not in self.state.tried
        )

    def stream(
        self,
        send: Send,
        answer: Answer,
        head: AnswerHead,
    ) -> Generator[Piece, None, None]:
        """Pass on the events of a stream as they arrive."""
        splitter = self.splitter
        splitter.restart()
        while True:
            events = splitter.feed(answer.take())
            if events:
                if not self.begun:
                    self.begun = True
                    yield Begin(answer.status, head.passed_on, None)
                yield events
            if splitter.has_gap:
                raise Broken('an event is missing')
            if answer.complete:
                break
            self.await_more(send)
        if splitter.incomplete and not answer.framed:
            raise Broken('the stream ended within an event')
        if not self.begun:
            yield Begin(answer.status, head.passed_on, None)
        yield splitter.incomplete
        self.finish(send)

    def await_more(self, send: Send) -> None:
        """Wait for more of an answer.

        :raises CallError: where going elsewhere is better.
        """
        now = boot_time()
        left_s = self.call.deadline - now
        early = min(left_s, SHORTEST_SILENCE_S)
        try:
            send.connection.read(early)
        except Silent:
            if self.may_move():
                raise
        else:
            return
        send.connection.read(self.call.deadline - boot_time())

    def failed(self, error: CallError) -> None:
        """Note a failed send and decide whether another one follows.

        :raises GaveUp: where none follows and nothing was passed on.
        :raises CutOff: where none follows and the answer had begun.
        """
        ending = ending_of(error)
        now = boot_time()
        name = self.target
        self.state.record_failure(name, ending)
        self.note_failure(name, ending, now)
        self.close()
        stop = '' if self.state.may_send(now) else NO_MORE_SENDS
        if not stop and not self.forwarder.share(self.call.service).take(now):
            stop = BUDGET_USED
        self.forwarder.log.write(
            'send_failed',
            request=self.call.head.attempt,
            upstream=name,
            ending=ending.value,
            why=str(error),
            runs=self.state.runs,
            rejected=self.state.rejected,
            again=not stop,
            stop=stop,
        )
        self.forwarder.metrics.count('sends_failed', ending=ending.value)
        if stop:
            self.end_failed(stop)

    def note_failure(self, name: str, ending: SendFailure, now: float) -> None:
        """Tell the placer what a failed send says of its upstream."""
        selector = self.forwarder.selector
        match ending:
            case SendFailure.rejected:
                selector.rejected(name, now)
            case SendFailure.replaced:
                selector.replaced(name, now)
            case SendFailure.failed:
                selector.returned_error(name)
            case SendFailure.unreachable:
                selector.failed(name, now)
                self.forwarder.crashes.died(name)
            case _:
                selector.failed(name, now)
                self.forwarder.crashes.broke(self.call.digest(), name)

    def end_failed(self, why: str) -> None:
        """End the request without a further send."""
        if self.begun:
            raise CutOff('the rest of the stream cannot be had')
        if self.failure is not None:
            self.given_back = self.failure
            return
        raise self.give_up(Kind.overloaded, SHORTEST_RETRY_AFTER_S, why)

    def give_up(
        self,
        kind: Kind,
        retry_after_s: float,
        why: str = '',
    ) -> GaveUp:
        """Make the final answer to a request that cannot be served.

        :returns: the exception to raise.
        """
        longest = RETRY_AFTER_SHARE * (self.call.deadline - boot_time())
        if self.forwarder.selector.is_down(self.call.service, boot_time()):
            retry_after_s = longest
        come_back = max(SHORTEST_RETRY_AFTER_S, min(retry_after_s, longest))
        return GaveUp(self.state.refusal(kind, come_back, why))


class Rejected(CallError):
    """Report that the upstream did not run the request."""


class Replaced(CallError):
    """Report that another upstream has the address; nothing ran."""


class Failed(CallError):
    """Report that the upstream ran the request and failed."""


def ending_of(error: CallError) -> SendFailure:
    """Classify how a send ended.

    :returns: the ending.
    """
    match error:
        case Rejected():
            return SendFailure.rejected
        case Replaced():
            return SendFailure.replaced
        case Unreachable():
            return SendFailure.unreachable
        case Silent():
            return SendFailure.silent
        case Failed():
            return SendFailure.failed
    return SendFailure.broken


def stream_patience_s(route: Route) -> float:
    """Tell how long callers of a stream wait for its first event.

    :returns: seconds.
    """
    return max(
        STREAM_PATIENCE_S,
        PATIENCE_TARGETS * route.target_s,
        PATIENCE_GAPS * route.gap_target_s,
    )
