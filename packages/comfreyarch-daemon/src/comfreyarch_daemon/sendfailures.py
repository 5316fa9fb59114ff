"""Recognize answers that are of no use, and classify failed sends."""

from comfreyarch_core.answerbounds import MAX_EVENT_BYTES
from comfreyarch_core.eventsplitter import NO_EVENT, EventSplitter
from comfreyarch_core.sendtracker import SendFailure
from comfreyarch_daemon.answerparser import Answer
from comfreyarch_daemon.forwarding import MISDIRECTED_STATUS
from comfreyarch_daemon.headercodec import AnswerHead
from comfreyarch_daemon.upstreamcalls import (
    AnswerMalformed,
    AnswerTimeout,
    CallError,
    ExchangeBroken,
    Unreachable,
)


class RequestRejected(CallError):
    """Report that the upstream did not run the request."""


class UpstreamReplaced(CallError):
    """Report that another upstream has the address; nothing ran."""


class ErrorAnswer(CallError):
    """Report that the upstream ran the request and answered with an error."""


def check_event_size(splitter: EventSplitter, upstream: str) -> None:
    """Check the size of the event that a stream has begun.

    :raises AnswerMalformed: if it exceeds the bound.
    """
    if len(splitter.incomplete) > MAX_EVENT_BYTES:
        raise AnswerMalformed(upstream, 'event')


def check_stream_end(
    splitter: EventSplitter,
    answer: Answer,
    upstream: str,
    *,
    has_events: bool,
) -> None:
    """Check that a stream did not end within an event, or before the first.

    A body with a length that holds no event at all is no event stream, and is
    forwarded as it is. A resumed stream may have no event left.

    :param has_events: whether this upstream sent a whole event.
    :raises ExchangeBroken: if the stream was broken off.
    """
    if splitter.incomplete and (has_events or answer.ended_by_close):
        raise ExchangeBroken(f'the stream of {upstream} ended within an event')
    if (
        answer.ended_by_close
        and not has_events
        and splitter.last_id == NO_EVENT
    ):
        raise ExchangeBroken(
            f'the stream of {upstream} ended before its first event'
        )


def classify_failure(error: CallError) -> SendFailure:
    """Classify a failed send.

    :returns: the kind of failure, ``broken`` if it has no other kind.
    """
    match error:
        case RequestRejected():
            return SendFailure.rejected
        case UpstreamReplaced():
            return SendFailure.replaced
        case Unreachable():
            return SendFailure.unreachable
        case AnswerTimeout():
            return SendFailure.silent
        case AnswerMalformed():
            return SendFailure.malformed
        case ErrorAnswer():
            return SendFailure.failed
    return SendFailure.broken


def check_head(answer: Answer, head: AnswerHead, upstream: str) -> None:
    """Check that a head belongs to a usable answer of the upstream.

    :raises UpstreamReplaced: if another upstream has the address.
    :raises RequestRejected: if the request did not run.
    :raises ExchangeBroken: if the upstream did not make the answer, or
        its body was re-encoded.
    """
    if answer.status == MISDIRECTED_STATUS:
        raise UpstreamReplaced(
            f'another upstream has the address of {upstream}',
        )
    if head.not_run:
        raise RequestRejected(
            f'{upstream} answered status {answer.status} and did'
            f' not run the request',
        )
    if not head.signed or head.encoded:
        raise ExchangeBroken(
            f'answer with status {answer.status} is unsigned or encoded,'
            f' so not from {upstream}',
        )
