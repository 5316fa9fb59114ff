"""Give the stand-ins one small way to serve JSON over HTTP."""

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from comfreyarch_daemon.httplistener import open_listener

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Environ = dict[str, Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]
REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    503: 'Service Unavailable',
}


def read_json(environ: Environ) -> Any:
    """Read a JSON body.

    :returns: the decoded body, an empty map where there is none.
    """
    return json.loads(environ['wsgi.input'].read() or b'{}')


def json_response(
    start_response: StartResponse,
    content: object,
    status: int = 200,
) -> list[bytes]:
    """Answer with JSON.

    :returns: the WSGI body.
    """
    body = json.dumps(content).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start_response(f'{status} {REASON_PHRASES[status]}', headers)
    return [body]


def serve(port: int, application: Application) -> WSGIServer:
    """Start a server on loopback.

    :returns: the started server.
    """
    server = WSGIServer(
        open_listener(f'127.0.0.1:{port}'),
        application,
        log=None,
        error_log=None,
    )
    server.start()
    return server


def report_ready_and_wait() -> None:
    """Tell the launcher that the process serves, then wait."""
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    Event().wait()


class ConnectionDropped(Exception):
    """Break a connection, as a dying server would."""


def drop_connection(environ: Environ) -> None:
    """Close the connection without a further byte.

    :raises CutOff: always, so that no answer is made.
    """
    raw_file = environ['wsgi.input'].rfile.raw
    raw_file._sock.shutdown(socket.SHUT_RDWR)
    raise ConnectionDropped


def pause(seconds: float) -> None:
    """Let time pass."""
    gevent.sleep(seconds)
