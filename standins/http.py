"""Serve JSON over HTTP for the stand-ins."""

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
    """Decode a JSON body.

    :returns: the decoded body, an empty dictionary if there is none.
    """
    return json.loads(environ['wsgi.input'].read() or b'{}')


def json_response(
    start_response: StartResponse,
    content: object,
    status: int = 200,
) -> list[bytes]:
    """Send headers for a JSON response.

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
    """Start an HTTP server on loopback.

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
    """Print that the process is ready, then wait forever."""
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    Event().wait()


class ConnectionDropped(Exception):
    """Signal that the server dropped the connection."""


def drop_connection(environ: Environ) -> None:
    """Close the connection without sending anything more.

    :raises ConnectionDropped: always, so that no response is sent.
    """
    raw_file = environ['wsgi.input'].rfile.raw
    raw_file._sock.shutdown(socket.SHUT_RDWR)
    raise ConnectionDropped


def pause(seconds: float) -> None:
    """Pause the current greenlet."""
    gevent.sleep(seconds)
