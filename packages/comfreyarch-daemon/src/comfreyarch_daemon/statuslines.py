"""Format the status lines of HTTP answers."""

from collections.abc import Callable

REASONS = {
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
    500: 'Internal Server Error',
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    409: 'Conflict',
    408: 'Request Timeout',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    499: 'Client Closed Request',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
StartResponse = Callable[[str, list[tuple[str, str]]], object]


def status_line(status: int) -> str:
    """Return a status with its reason phrase.

    :returns: a status line such as ``200 OK``.
    """
    return f'{status} {REASONS.get(status, "Status")}'
