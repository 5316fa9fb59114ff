"""Parse the answers that arrive on one connection, in their order.

Built on geventhttpclient's response parser. Several answers may lie in one
segment: an upstream may send one more than it was asked for.
"""

from collections import deque

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

INTERIM = 200


class Answer:
    """Hold one answer as it grows.

    :param headers: pairs in the order sent.
    :param complete: whether the body's end was seen.
    """

    __slots__ = ('body', 'complete', 'framed', 'head', 'headers', 'status')

    def __init__(self) -> None:
        """Start with nothing read."""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.head = False
        self.framed = False
        self.complete = False

    def take(self) -> bytes:
        """Take the bytes of the body read so far.

        :returns: the bytes, which the answer no longer holds.
        """
        taken = bytes(self.body)
        self.body.clear()
        return taken


class AnswerParser(HTTPResponseParser):
    """Split the bytes of a connection into answers.

    :param answers: those begun and not yet taken, oldest first.
    :param spoilt: why later bytes cannot be read, empty while they can.
    """

    def __init__(self, method: str) -> None:
        """Prepare for the answers to requests of one method."""
        super().__init__()
        self.headless = method == 'HEAD'
        self.answers: deque[Answer] = deque()
        self.spoilt = ''
        self.field = ''
        self.text = ''
        self.in_value = False
        self.keeps = False

    def take_bytes(self, received: bytes) -> None:
        """Parse received bytes; empty ones tell the end of the connection."""
        if self.spoilt:
            return
        try:
            self.feed(received)
        except HTTPParseError as error:
            self.spoilt = str(error)

    def _on_message_begin(self) -> None:
        self.answers.append(Answer())

    def _on_status(self, text: str) -> None:
        """Ignore the reason phrase."""

    def _on_header_field(self, text: str) -> None:
        if self.in_value:
            self._keep_header()
        self.field += text

    def _on_header_value(self, text: str) -> None:
        self.in_value = True
        self.text += text

    def _keep_header(self) -> None:
        if self.field:
            self.answers[-1].headers.append((self.field, self.text))
        self.field = ''
        self.text = ''
        self.in_value = False

    def _on_headers_complete(self) -> bool:
        self._keep_header()
        answer = self.answers[-1]
        answer.status = self.get_code()
        answer.framed = any(
            name.lower() in ('content-length', 'transfer-encoding')
            for name, _ in answer.headers
        )
        answer.head = True
        return self.headless

    def _on_body(self, received: bytearray) -> None:
        self.answers[-1].body += received

    def _on_message_complete(self) -> None:
        answer = self.answers[-1]
        if answer.status < INTERIM:
            self.answers.pop()
            return
        answer.complete = True
        self.keeps = self.should_keep_alive()
