"""Send requests as a caller and compute the answers to expect."""

import json
import time
from dataclasses import dataclass, field

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from standins.engines import make_stream_body, make_tokens
from standins.fleetsetup import MODEL_GROUP
from standins.launcher import make_token

TIMEOUT_S = 30.0


@dataclass(slots=True)
class Reply:
    """Hold the answer to a request.

    :param status: HTTP status, 0 if there was no answer.
    :param is_complete: whether the body ended as its framing announced.
    :param first_s: seconds until the first event or the end of the body.
    :param took_s: seconds until the connection was closed.
    """

    status: int
    body: bytes
    is_complete: bool
    headers: dict[str, str] = field(default_factory=dict)
    first_s: float = 0
    took_s: float = 0


def send(
    port: int,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> Reply:
    """Send one request over a new connection.

    :returns: the reply, with status 0 if no answer arrived.
    """
    started_at = time.monotonic()
    client = HTTPClient(
        '127.0.0.1',
        port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    status, received, is_complete, first_s = 0, b'', False, 0.0
    reply_headers: dict[str, str] = {}
    try:
        response = client.request(method, path, body, headers)
        status = int(response.status_code)
        reply_headers = {
            str(name).lower(): str(text) for name, text in response.items()
        }
        received = bytes(response.readline(b'\n\n'))
        first_s = time.monotonic() - started_at
        received += bytes(response.read())
        is_complete = bool(response.message_complete)
    except (OSError, HTTPParseError):
        is_complete = False
    finally:
        client.close()
    took_s = time.monotonic() - started_at
    return Reply(status, received, is_complete, reply_headers, first_s, took_s)


def chat_body(prompt: str, count: int, *, stream: bool) -> bytes:
    """Encode a chat completion request.

    :param count: number of tokens to generate.
    :returns: the body as JSON.
    """
    return json.dumps(
        {
            'model': MODEL_GROUP,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': count,
            'stream': stream,
        }
    ).encode()


class OpenStream:
    """Read a streamed answer event by event."""

    def __init__(self, port: int, team: str, prompt: str, count: int) -> None:
        """Send the request and wait for the headers of the answer."""
        self.client = HTTPClient(
            '127.0.0.1',
            port,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )
        self.response = self.client.request(
            'POST',
            '/v1/chat/completions',
            chat_body(prompt, count, stream=True),
            chat_headers(team, 25_000),
        )
        self.received = b''

    def read_event(self) -> bytes:
        """Read one event."""
        received_event = bytes(self.response.readline(b'\n\n'))
        self.received += received_event
        return received_event

    def read_rest(self) -> bytes:
        """Read to the end of the answer or of the connection.

        :returns: the body received, see ``is_complete``.
        """
        try:
            self.received += bytes(self.response.read())
        except (OSError, HTTPParseError):
            self.client.close()
        return self.received

    def is_complete(self) -> bool:
        """Check whether the body ended as its framing announced."""
        return bool(self.response.message_complete)

    def close(self) -> None:
        """Close the connection, as a caller that disconnects does."""
        self.client.close()
        self.response.release()
        raw_socket = getattr(self.response, '_sock', None)
        if raw_socket is not None:
            raw_socket.close()


def chat_headers(team: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a chat completion request."""
    return {
        'Authorization': f'Bearer {make_token(team)}',
        'Content-Type': 'application/json',
        'X-Deadline-Ms': str(deadline_ms),
    }


def chat(
    port: int,
    team: str,
    prompt: str,
    count: int,
    *,
    stream: bool,
    deadline_ms: int = 20_000,
) -> Reply:
    """Send a chat completion request.

    :param count: number of tokens to generate.
    :returns: the reply.
    """
    headers = chat_headers(team, deadline_ms)
    body = chat_body(prompt, count, stream=stream)
    return send(port, 'POST', '/v1/chat/completions', body, headers)


def make_expected_body(prompt: str, count: int, *, stream: bool) -> bytes:
    """Compute the complete answer that a prompt must get.

    :param count: number of tokens of the answer.
    :returns: the body.
    """
    messages = json.dumps([{'role': 'user', 'content': prompt}])
    if stream:
        return make_stream_body(messages, count)
    content = ''.join(make_tokens(messages, 0, count))
    message = {'role': 'assistant', 'content': content}
    return json.dumps({'choices': [{'message': message}]}).encode()


def reserve(
    port: int,
    team: str,
    key: str,
    body: bytes,
    deadline_ms: int = 20_000,
) -> Reply:
    """Reserve a room, a call that must run at most once.

    :returns: the reply.
    """
    headers = {
        'Authorization': f'Bearer {make_token(team)}',
        'Idempotency-Key': key,
        'X-Deadline-Ms': str(deadline_ms),
    }
    return send(port, 'POST', '/services/reservations', body, headers)
