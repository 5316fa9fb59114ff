"""Send requests as callers do, and check every answer byte for byte."""

import json
import time
from dataclasses import dataclass, field

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from standins.engines import make_stream_body, make_tokens
from standins.launcher import make_token
from standins.scenes import MODEL_GROUP

TIMEOUT_S = 30.0


@dataclass(slots=True)
class Reply:
    """Hold what a caller got; ``whole`` is False for a cut answer."""

    status: int
    body: bytes
    whole: bool
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
    """Send one request over a connection of its own.

    :returns: the reply; status 0 where there was none.
    """
    started_at = time.monotonic()
    client = HTTPClient(
        '127.0.0.1',
        port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    status, received, whole, first_s = 0, b'', False, 0.0
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
        whole = bool(response.message_complete)
    except (OSError, HTTPParseError):
        whole = False
    finally:
        client.close()
    took_s = time.monotonic() - started_at
    return Reply(status, received, whole, reply_headers, first_s, took_s)


def chat_body(prompt: str, count: int, *, stream: bool) -> bytes:
    """Write a chat completion request.

    :returns: JSON.
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
    """Hold a streamed answer that is read step by step."""

    def __init__(self, port: int, team: str, prompt: str, count: int) -> None:
        """Send the request and wait for the answer's head."""
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

    def event(self) -> bytes:
        """Read one event."""
        event = bytes(self.response.readline(b'\n\n'))
        self.received += event
        return event

    def rest(self) -> bytes:
        """Read to the end.

        :returns: the whole body; ``whole`` tells if it ended cleanly.
        """
        try:
            self.received += bytes(self.response.read())
        except (OSError, HTTPParseError):
            self.client.close()
        return self.received

    def whole(self) -> bool:
        """Tell whether the answer ended with its end mark."""
        return bool(self.response.message_complete)

    def close(self) -> None:
        """Go away, as a caller who hangs up."""
        self.client.close()
        self.response.release()
        raw_socket = getattr(self.response, '_sock', None)
        if raw_socket is not None:
            raw_socket.close()


def chat_headers(team: str, deadline_ms: int) -> dict[str, str]:
    """Write a model caller's headers."""
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
    """Ask a model.

    :returns: the reply.
    """
    headers = chat_headers(team, deadline_ms)
    body = chat_body(prompt, count, stream=stream)
    return send(port, 'POST', '/v1/chat/completions', body, headers)


def expected(prompt: str, count: int, *, stream: bool) -> bytes:
    """Write the whole answer that a prompt must get.

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
    """Reserve a room: a call that may run once only.

    :returns: the reply.
    """
    headers = {
        'Authorization': f'Bearer {make_token(team)}',
        'Idempotency-Key': key,
        'X-Deadline-Ms': str(deadline_ms),
    }
    return send(port, 'POST', '/services/reservations', body, headers)
