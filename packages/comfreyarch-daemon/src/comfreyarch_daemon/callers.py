"""HTTP server for callers at an entry."""

import json
import math
import time
from collections.abc import Callable, Generator, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from comfreyarch_core.answerassembly import Begin, Deliver
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_daemon.attempts import Piece, RequestRefused
from comfreyarch_daemon.httplistener import NoAccessLogHandler, open_listener
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.outcomerecorder import OutcomeRecorder
from comfreyarch_daemon.requestexecutor import RequestExecutor
from comfreyarch_daemon.requests import (
    BadRequest,
    CallerRequest,
    RequestReader,
)
from comfreyarch_daemon.statuslines import StartResponse, status_line
from comfreyarch_daemon.teamlimiter import TeamLimiter

DEFAULT_STATUS = 200


class TransferAborted(Exception):
    """Abort a chunked transfer without its final chunk.

    The missing chunk shows the caller that the answer is incomplete.
    """


class CallerServer:
    """Serve callers' requests over HTTP.

    :param reader: reads requests, None before the first configuration.
    :param open_requests: requests whose answer is not complete.
    :param stopping: whether new requests are refused as ``leaving``.
    """

    __slots__ = (
        'executor',
        'limiter',
        'metrics',
        'open_requests',
        'outcomes',
        'reader',
        'server',
        'stopping',
    )

    def __init__(
        self,
        address: str,
        executor: RequestExecutor,
        limiter: TeamLimiter,
        outcomes: OutcomeRecorder,
    ) -> None:
        """Create a server that will listen on ``address``."""
        self.executor = executor
        self.limiter = limiter
        self.outcomes = outcomes
        self.metrics: Metrics = executor.metrics
        self.reader: RequestReader | None = None
        self.open_requests = 0
        self.stopping = False
        self.server = WSGIServer(
            open_listener(address),
            self.application,
            log=None,
            error_log=None,
            handler_class=NoAccessLogHandler,
        )

    def start(self) -> None:
        """Start accepting connections."""
        self.server.start()

    def close(self) -> None:
        """Stop accepting connections; open requests continue."""
        self.server.close()

    def application(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one WSGI request and count it as open until it is closed."""
        self.open_requests += 1
        body = self.respond(environ, start_response)
        return ClosingBody(body, self.count_finished)

    def count_finished(self) -> None:
        """Count a request as finished."""
        self.open_requests -= 1

    def respond(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Read a request, apply its team's limits, and answer it."""
        started_at = time.monotonic()
        if self.reader is None or self.stopping:
            kind = Kind.leaving if self.stopping else Kind.not_ready
            return send_refusal(not_run(kind, 1), '', start_response)
        try:
            request = self.reader.read(environ)
        except BadRequest as error:
            self.metrics.count('refused', kind=error.refusal.kind.value)
            return send_refusal(error.refusal, '', start_response)
        refusal = self.limiter.admit(request.team, started_at)
        if refusal is not None:
            self.outcomes.record_refusal(request, refusal)
            return send_refusal(refusal, request.request_id, start_response)
        return self.answer_admitted(request, started_at, start_response)

    def answer_admitted(
        self,
        request: CallerRequest,
        started_at: float,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a request that its team's limits admit."""
        pieces = self.executor.answer(request)
        try:
            first_piece = next(pieces)
        except RequestRefused as error:
            self.limiter.release(request.team)
            self.outcomes.record_refusal(request, error.refusal)
            return send_refusal(
                error.refusal, request.request_id, start_response
            )
        except BaseException:
            self.limiter.release(request.team)
            raise
        headers = (
            dict(first_piece.headers) if isinstance(first_piece, Begin) else {}
        )
        status = (
            first_piece.status
            if isinstance(first_piece, Begin)
            else DEFAULT_STATUS
        )
        if request.request_id:
            headers['X-Request-Id'] = request.request_id
        if request.stream:
            self.outcomes.record_first_token(request, started_at)
            start_response(status_line(status), list(headers.items()))
            return self.stream_body(request, pieces)
        return self.send_whole(
            request, pieces, (status, headers), start_response
        )

    def send_whole(
        self,
        request: CallerRequest,
        pieces: Generator[Piece, None, None],
        head: tuple[int, dict[str, str]],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Send the whole body with its ``Content-Length``.

        The executor yields such an answer only once it is complete, so no
        refusal can follow its first piece.
        """
        status, headers = head
        body = b''.join(
            piece.body for piece in pieces if isinstance(piece, Deliver)
        )
        self.limiter.release(request.team)
        self.outcomes.record_answer(request)
        headers['Content-Length'] = str(len(body))
        start_response(status_line(status), list(headers.items()))
        return [body]

    def stream_body(
        self,
        request: CallerRequest,
        pieces: Generator[Piece, None, None],
    ) -> Generator[bytes, None, None]:
        """Yield a streamed body.

        :raises TransferAborted: if the answer was cut off, after yielding an
            error event.
        """
        cut_refusal: Refusal | None = None
        try:
            for piece in pieces:
                if isinstance(piece, Deliver):
                    yield piece.body
            self.outcomes.record_answer(request)
        except RequestRefused as error:
            cut_refusal = error.refusal
            self.outcomes.record_refusal(request, cut_refusal)
        finally:
            pieces.close()
            self.limiter.release(request.team)
        if cut_refusal is not None:
            error_json = encode_refusal(cut_refusal, '').decode()
            yield f'event: error\ndata: {error_json}\n\n'.encode()
            raise TransferAborted(cut_refusal.kind.value)


class ClosingBody:
    """WSGI body that invokes a callback when it is closed."""

    __slots__ = ('body', 'on_close')

    def __init__(
        self,
        body: Iterable[bytes],
        on_close: Callable[[], None],
    ) -> None:
        """Store the body and the callback."""
        self.body = body
        self.on_close = on_close

    def __iter__(self) -> 'Generator[bytes, None, None]':
        """Yield the parts of the body."""
        yield from self.body

    def close(self) -> None:
        """Close the body, which ends its generator, and invoke the callback."""
        close_body = getattr(self.body, 'close', None)
        if close_body is not None:
            close_body()
        self.on_close()


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as JSON.

    :param request_id: the caller's request ID, empty if unknown.
    :returns: the JSON text on one line.
    """
    return json.dumps(
        {
            'error': {
                'kind': refusal.kind.value,
                'ran': refusal.ran.value,
                'remedy': refusal.remedy,
                'detail': refusal.detail,
                'retry_after_s': refusal.retry_after_s,
                'request': request_id,
            },
        }
    ).encode()


def send_refusal(
    refusal: Refusal,
    request_id: str,
    start_response: StartResponse,
) -> list[bytes]:
    """Send a refusal instead of an answer.

    :returns: the body of the HTTP answer.
    """
    body = encode_refusal(refusal, request_id)
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    if refusal.retry_after_s > 0:
        seconds = str(math.ceil(refusal.retry_after_s))
        headers.append(('Retry-After', seconds))
    start_response(status_line(refusal.status), headers)
    return [body]
