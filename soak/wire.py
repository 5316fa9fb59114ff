"""Read and write HTTP messages by hand, so that faults can corrupt them."""

import hashlib
from typing import Any, BinaryIO

ANSWER_BYTES = 800
SIGNATURE_HEADER = 'x-server-signature'


class ConnectionEnded(Exception):
    """Report that a connection ended before or within a message."""


def read_head(reader: BinaryIO) -> tuple[list[str], dict[str, str]] | None:
    """Read the first line and the headers of a message.

    :returns: words of the line and headers with names in lower case; None
        at the end of the connection.
    :raises ConnectionEnded: if it ends within the head.
    """
    first = reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while True:
        line = reader.readline()
        if not line.endswith(b'\r\n'):
            raise ConnectionEnded('connection ended within the headers')
        if line == b'\r\n':
            return first.decode().split(maxsplit=2), headers
        name, _, text = line.decode().partition(':')
        headers[name.lower()] = text.strip()


def format_head(first: str, headers: dict[str, Any]) -> bytes:
    """Format the first line and the headers of a message.

    :returns: the bytes.
    """
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode()


def read_body(reader: BinaryIO, headers: dict[str, str]) -> bytes:
    """Read a body whose length is in the headers.

    :returns: the body.
    :raises ConnectionEnded: if the body is incomplete.
    """
    length = int(headers.get('content-length', 0))
    body = reader.read(length)
    if len(body) < length:
        raise ConnectionEnded('connection ended within the body')
    return body


def read_chunk(reader: BinaryIO) -> bytes:
    """Read one chunk of a chunked body.

    :returns: the bytes of the chunk, empty for the last one.
    :raises ConnectionEnded: if the chunk is incomplete.
    """
    size = reader.readline()
    if not size.endswith(b'\r\n'):
        raise ConnectionEnded('connection ended before a chunk')
    length = int(size, 16)
    chunk = reader.read(length + 2)
    if len(chunk) < length + 2:
        raise ConnectionEnded('connection ended within a chunk')
    return chunk[:-2]


def answer_body(attempt: str, server: str) -> bytes:
    """Build the answer body of one server to one attempt.

    :returns: bytes that are unique to the attempt and the server.
    """
    seed = hashlib.sha256(f'{attempt}@{server}'.encode()).hexdigest()
    return (seed * (ANSWER_BYTES // len(seed) + 1))[:ANSWER_BYTES].encode()


def event(attempt: str, number: int, last: int) -> bytes:
    """Build one server-sent event of the answer to an attempt.

    :returns: the event; it does not depend on the server.
    """
    word = hashlib.sha256(f'{attempt}#{number}'.encode()).hexdigest()[:12]
    end = ' end' if number == last else ''
    return f'id: {number}\ndata: {word}{end}\n\n'.encode()
