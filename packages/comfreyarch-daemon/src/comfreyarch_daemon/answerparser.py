"""Parse the HTTP responses that arrive on one connection, in order.

Built on geventhttpclient's response parser. One segment may contain several
responses, because an upstream may send one more than was requested.
"""

from collections import deque

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

from comfreyarch_core.answerbounds import AnswerMeter

# Lower status codes are interim responses.
MIN_FINAL_STATUS = 200


class Answer:
    """Hold the part of one answer that was received so far.

    :param body: received bytes of the body that were not taken yet.
    :param complete: whether the end of the body was received.
    :param ended_by_close: whether only the end of the connection shows where
        the body ends.
    :param has_head: whether status and headers were received.
    :param headers: pairs of name and value in the order sent.
    """

    __slots__ = (
        'body',
        'complete',
        'ended_by_close',
        'has_head',
        'headers',
        'status',
    )

    def __init__(self) -> None:
        """Create an answer of which nothing was received."""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.has_head = False
        self.ended_by_close = False
        self.complete = False

    def take(self) -> bytes:
        """Return the received bytes of the body and remove them.

        :returns: the bytes received since the last call.
        """
        taken = bytes(self.body)
        self.body.clear()
        return taken


class AnswerParser(HTTPResponseParser):
    """Split the bytes of a connection into answers.

    :param answers: answers that have started and were not removed yet,
        oldest first.
    :param parse_error: why no further bytes can be parsed, empty if they can.
    :param exceeded: the bound that the received bytes exceed, empty if none.
    :param keeps_alive: whether the peer keeps the connection open after the
        last complete answer.
    """

    def __init__(self, method: str) -> None:
        """Prepare for the answers to requests with one method."""
        super().__init__()
        self.is_bodiless = method == 'HEAD'
        self.answers: deque[Answer] = deque()
        self.parse_error = ''
        self.header_name = ''
        self.header_value = ''
        self.in_value = False
        self.keeps_alive = False
        self.exceeded = ''
        self.meter = AnswerMeter()
        self.body_received = 0

    def parse(self, received: bytes) -> None:
        """Parse received bytes; empty bytes mean the end of the connection."""
        if self.parse_error:
            return
        try:
            self.feed(received)
        except HTTPParseError as error:
            self.parse_error = str(error)
        if not received and self.answers:
            self.answers[-1].ended_by_close = True
        body, self.body_received = self.body_received, 0
        has_head = bool(self.answers) and self.answers[-1].has_head
        self.exceeded = self.meter.record(len(received), body, has_head)
        if self.exceeded:
            self.parse_error = f'more {self.exceeded} bytes than allowed'

    def buffered(self) -> int:
        """Return the bytes of bodies that were received and not taken."""
        return sum(len(answer.body) for answer in self.answers)

    def _on_message_begin(self) -> None:
        self.answers.append(Answer())

    def _on_status(self, text: str) -> None:
        """Ignore the reason phrase."""

    def _on_header_field(self, text: str) -> None:
        if self.in_value:
            self._store_header()
        self.header_name += text

    def _on_header_value(self, text: str) -> None:
        self.in_value = True
        self.header_value += text

    def _store_header(self) -> None:
        if self.header_name:
            self.answers[-1].headers.append(
                (self.header_name, self.header_value),
            )
        self.header_name = ''
        self.header_value = ''
        self.in_value = False

    def _on_headers_complete(self) -> bool:
        self._store_header()
        answer = self.answers[-1]
        answer.status = self.get_code()
        answer.has_head = True
        return self.is_bodiless

    def _on_body(self, received: bytearray) -> None:
        self.answers[-1].body += received
        self.body_received += len(received)

    def _on_message_complete(self) -> None:
        answer = self.answers[-1]
        if answer.status < MIN_FINAL_STATUS:
            self.answers.pop()
            return
        answer.complete = True
        self.keeps_alive = self.should_keep_alive()
