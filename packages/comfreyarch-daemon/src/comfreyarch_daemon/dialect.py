"""Say what a direct entry needs to know of headers, whatever their names.

A platform's adapter fills the protocol; nothing else knows the names.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.upstreamselection import LoadReport

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class CallHead:
    """Hold what a caller's headers say.

    :param attempt: id of this attempt of the caller; never reused.
    :param left_s: seconds that the caller waits, None where it does not say.
    :param key: API key, empty where none was sent.
    :param last_event: id of the last stream event that the caller has, or -1.
    :param forwarded: headers that are passed on unchanged.
    """

    attempt: str
    left_s: float | None
    key: str
    last_event: int
    prompt_tokens: int
    answer_tokens: int
    forwarded: Headers


@dataclass(frozen=True, slots=True)
class SendFacts:
    """Hold what an entry tells the upstream.

    :param left_s: seconds that are left for the answer.
    :param urgency: 0 is admitted first, 9 last.
    :param last_event: id of the last event passed on, or -1.
    """

    upstream: str
    left_s: float
    team: str
    urgency: int
    last_event: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold what an upstream's headers say.

    :param attempt: the attempt that it answers, empty where it says none.
    :param signed: it is the upstream's own answer.
    :param not_run: the request did not run and will not.
    :param encoded: the body was changed on its way.
    :param keep_s: how long the upstream keeps an idle connection.
    :param passed_on: headers for the caller.
    """

    attempt: str
    signed: bool
    not_run: bool
    encoded: bool
    load: LoadReport | None
    keep_s: float | None
    passed_on: Headers


class Dialect(Protocol):
    """Read and write the headers of callers and upstreams."""

    def read_call(self, headers: Headers) -> CallHead:
        """Read the headers of a caller's request."""

    def send_headers(self, call: CallHead, facts: SendFacts) -> Headers:
        """Write the headers of a request to an upstream."""

    def read_answer(self, headers: Headers) -> AnswerHead:
        """Read the headers of an upstream's answer."""

    def attempt_headers(self, call: CallHead) -> Headers:
        """Write what an answer of the entry's own carries."""
