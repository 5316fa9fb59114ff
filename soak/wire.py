"""Read and write the platform's HTTP by hand, so that it can be spoilt."""

import hashlib
from typing import Any, BinaryIO

ANSWER_BYTES = 800
SIGNATURE = 'x-server-signature'


class Ended(Exception):
    """Report that a connection ended within a message."""


def read_head(reader: BinaryIO) -> tuple[list[str], dict[str, str]] | None:
    """Read a first line and headers.

    :returns: words of the line and headers in lower case, None at the end.
    :raises Ended: where it ends midway.
    """
    first = reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while True:
        line = reader.readline()
        if not line.endswith(b'\r\n'):
            raise Ended('within the head')
        if line == b'\r\n':
            return first.decode().split(maxsplit=2), headers
        name, _, text = line.decode().partition(':')
        headers[name.lower()] = text.strip()


def write_head(first: str, headers: dict[str, Any]) -> bytes:
    """Write a first line and headers.

    :returns: the bytes.
    """
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode()


def read_body(reader: BinaryIO, headers: dict[str, str]) -> bytes:
    """Read a body of a stated length.

    :returns: the body.
    :raises Ended: where it ends before.
    """
    length = int(headers.get('content-length', 0))
    body = reader.read(length)
    if len(body) < length:
        raise Ended('within the body')
    return body


def read_chunk(reader: BinaryIO) -> bytes:
    """Read one chunk.

    :returns: its bytes, empty for the last one.
    :raises Ended: where the connection ends before.
    """
    size = reader.readline()
    if not size.endswith(b'\r\n'):
        raise Ended('before a chunk')
    length = int(size, 16)
    chunk = reader.read(length + 2)
    if len(chunk) < length + 2:
        raise Ended('within a chunk')
    return chunk[:-2]


def answer_body(attempt: str, server: str) -> bytes:
    """Make the whole answer of one server to one request.

    :returns: bytes that only this pair gives.
    """
    seed = hashlib.sha256(f'{attempt}@{server}'.encode()).hexdigest()
    return (seed * (ANSWER_BYTES // len(seed) + 1))[:ANSWER_BYTES].encode()


def event(attempt: str, number: int, last: int) -> bytes:
    """Make one event of the stream that answers a request.

    :returns: the event.
    """
    word = hashlib.sha256(f'{attempt}#{number}'.encode()).hexdigest()[:12]
    end = ' end' if number == last else ''
    return f'id: {number}\ndata: {word}{end}\n\n'.encode()
