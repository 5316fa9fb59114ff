"""Define what a direct entry reads from and writes to HTTP headers.

A platform's adapter implements the protocol, so that only the adapter knows
the names of the headers.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.upstreamselection import LoadReport

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class CallHead:
    """Hold the decoded headers of a caller's request.

    :param attempt: id of this attempt of the caller; never reused.
    :param left_s: seconds until the caller stops waiting, None if not stated.
    :param key: API key, empty if none was sent.
    :param last_event_id: id of the last stream event that the caller
        received, or -1.
    :param prompt_tokens: tokens of the prompt, 0 if not stated.
    :param answer_tokens: upper limit of the tokens of the answer, 0 if not
        stated.
    :param forwarded: headers to forward to the upstream unchanged.
    :param shared_parts: ids of the parts of the prompt that other requests
        may have too, in order; empty if not stated.
    """

    attempt: str
    left_s: float | None
    key: str
    last_event_id: int
    prompt_tokens: int
    answer_tokens: int
    forwarded: Headers
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SendContext:
    """Hold what an entry adds to the headers of a request to an upstream.

    :param upstream: identifier of the upstream that should run the request.
    :param left_s: seconds left until the deadline.
    :param team: name of the caller's team, empty without a key.
    :param urgency: priority of the request; 0 is admitted first, 9 last.
    :param last_event_id: id of the last event forwarded to the caller, or
        -1.
    """

    upstream: str
    left_s: float
    team: str
    urgency: int
    last_event_id: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the decoded headers of an upstream's answer.

    :param attempt: id of the attempt that it answers, empty if not stated.
    :param signed: whether the upstream itself made the answer.
    :param not_run: whether the request did not run and will not run.
    :param encoded: whether the body has a content encoding, that is, was
        changed on its way.
    :param keep_alive_s: seconds for which the upstream keeps an idle
        connection open, None if not stated.
    :param load: load of the upstream, None if not stated.
    :param leaving: whether the upstream announces that it leaves.
    :param retry_after_s: seconds after which to retry, None if not stated.
    :param forwarded: headers to forward to the caller unchanged.
    :param request_limit: requests per second that the upstream takes from all
        entries together, None if it states none.
    :param malformed_limit: start of a stated limit that cannot be read.
    """

    attempt: str
    signed: bool
    not_run: bool
    encoded: bool
    load: LoadReport | None
    keep_alive_s: float | None
    leaving: bool
    retry_after_s: float | None
    forwarded: Headers
    request_limit: float | None = None
    malformed_limit: str = ''


class HeaderCodec(Protocol):
    """Decode and encode the headers of callers and upstreams."""

    def read_call(self, headers: Headers) -> CallHead:
        """Decode the headers of a caller's request."""

    def send_headers(self, call: CallHead, context: SendContext) -> Headers:
        """Build the headers of a request to an upstream."""

    def read_answer(self, headers: Headers) -> AnswerHead:
        """Decode the headers of an upstream's answer."""

    def attempt_headers(self, call: CallHead) -> Headers:
        """Build the headers of an answer that the entry itself makes."""
