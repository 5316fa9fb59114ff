"""Serve the callers' HTTP at an entry."""

import json
import math
import time
from collections.abc import Callable, Generator, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from comfreyarch_core.answerassembly import Begin, Deliver
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_daemon.answering import Answering
from comfreyarch_daemon.attempts import GaveUp, Piece
from comfreyarch_daemon.limiting import Limiter
from comfreyarch_daemon.listening import QuietHandler, open_listener
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.reporting import Outcomes
from comfreyarch_daemon.requests import (
    BadRequest,
    CallerRequest,
    RequestReader,
)
from comfreyarch_daemon.statuslines import StartResponse, status_line

OK_STATUS = 200


class Aborted(Exception):
    """End a transfer without its end mark, so that no caller takes it."""


class CallersServer:
    """Answer callers over HTTP."""

    __slots__ = (
        'answering',
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
        answering: Answering,
        limiter: Limiter,
        outcomes: Outcomes,
    ) -> None:
        """Prepare to listen on ``address``."""
        self.answering = answering
        self.limiter = limiter
        self.outcomes = outcomes
        self.metrics: Metrics = answering.metrics
        self.reader: RequestReader | None = None
        self.open_requests = 0
        self.stopping = False
        self.server = WSGIServer(
            open_listener(address),
            self.application,
            log=None,
            error_log=None,
            handler_class=QuietHandler,
        )

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def close(self) -> None:
        """Stop listening; open requests go on."""
        self.server.close()

    def application(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        self.open_requests += 1
        body = self.respond(environ, start_response)
        return Counted(body, self.finished)

    def finished(self) -> None:
        """Count a request over."""
        self.open_requests -= 1

    def respond(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Read, limit and answer one request."""
        began = time.monotonic()
        if self.reader is None or self.stopping:
            kind = Kind.leaving if self.stopping else Kind.not_ready
            return refuse(not_run(kind, 1), '', start_response)
        try:
            request = self.reader.read(environ)
        except BadRequest as error:
            self.metrics.count('refused', kind=error.refusal.kind.value)
            return refuse(error.refusal, '', start_response)
        refusal = self.limiter.admit(request.team, began)
        if refusal is not None:
            self.outcomes.refused(request, refusal)
            return refuse(refusal, request.request, start_response)
        return self.limited(request, began, start_response)

    def limited(
        self,
        request: CallerRequest,
        began: float,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a request that its team's limits allow."""
        pieces = self.answering.answer(request)
        try:
            first = next(pieces)
        except GaveUp as error:
            self.limiter.release(request.team)
            self.outcomes.refused(request, error.refusal)
            return refuse(error.refusal, request.request, start_response)
        except BaseException:
            self.limiter.release(request.team)
            raise
        headers = dict(first.headers) if isinstance(first, Begin) else {}
        status = first.status if isinstance(first, Begin) else OK_STATUS
        if request.request:
            headers['X-Request-Id'] = request.request
        if request.stream:
            self.outcomes.first(request, began)
            start_response(status_line(status), list(headers.items()))
            return self.stream(request, pieces)
        return self.whole(request, pieces, (status, headers), start_response)

    def whole(
        self,
        request: CallerRequest,
        pieces: Generator[Piece, None, None],
        head: tuple[int, dict[str, str]],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer with a whole body, its length told."""
        status, headers = head
        body = b''.join(
            piece.body for piece in pieces if isinstance(piece, Deliver)
        )
        self.limiter.release(request.team)
        self.outcomes.answered(request)
        headers['Content-Length'] = str(len(body))
        start_response(status_line(status), list(headers.items()))
        return [body]

    def stream(
        self,
        request: CallerRequest,
        pieces: Generator[Piece, None, None],
    ) -> Generator[bytes, None, None]:
        """Yield a streamed body; a cut answer ends in an aborted transfer.

        :raises Aborted: after an explicit error event.
        """
        cut: Refusal | None = None
        try:
            for piece in pieces:
                if isinstance(piece, Deliver):
                    yield piece.body
            self.outcomes.answered(request)
        except GaveUp as error:
            cut = error.refusal
            self.outcomes.refused(request, cut)
        finally:
            pieces.close()
            self.limiter.release(request.team)
        if cut is not None:
            told = explain(cut, '').decode()
            yield f'event: error\ndata: {told}\n\n'.encode()
            raise Aborted(cut.kind.value)


class Counted:
    """Wrap a WSGI body and call back once when it is closed."""

    __slots__ = ('body', 'on_close')

    def __init__(
        self,
        body: Iterable[bytes],
        on_close: Callable[[], None],
    ) -> None:
        """Hold the body."""
        self.body = body
        self.on_close = on_close

    def __iter__(self) -> 'Generator[bytes, None, None]':
        """Yield the body's parts."""
        yield from self.body

    def close(self) -> None:
        """Close the body, which ends its generator."""
        closer = getattr(self.body, 'close', None)
        if closer is not None:
            closer()
        self.on_close()


def explain(refusal: Refusal, request: str) -> bytes:
    """Write a refusal as JSON.

    :returns: one line.
    """
    return json.dumps(
        {
            'error': {
                'kind': refusal.kind.value,
                'ran': refusal.ran.value,
                'remedy': refusal.remedy,
                'detail': refusal.detail,
                'retry_after_s': refusal.retry_after_s,
                'request': request,
            },
        }
    ).encode()


def refuse(
    refusal: Refusal,
    request: str,
    start_response: StartResponse,
) -> list[bytes]:
    """Answer with a refusal, at once.

    :returns: the body.
    """
    body = explain(refusal, request)
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    if refusal.retry_after_s > 0:
        seconds = str(math.ceil(refusal.retry_after_s))
        headers.append(('Retry-After', seconds))
    start_response(status_line(refusal.status), headers)
    return [body]
