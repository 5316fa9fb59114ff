"""Stand-in for the platform's table service and instance list.

``POST /v1/transact`` takes ``{"puts": [{table, key, expected, content}]}``
and writes all rows or none; ``expected`` is the version that a row must have,
0 if it must not exist. The answer is 200 with the new versions, or 409 with
the rows whose versions differ. ``GET /v1/rows/TABLE/KEY`` reads one row and
``GET /v1/rows/TABLE`` those with a key ``prefix`` that come ``after`` a key.
``GET /v1/instances`` returns the instance list with an entity tag.

``POST /faults`` sets a fault: ``none``, ``refuse`` (503), ``hang``, or
``lose`` (a transaction takes effect, but the connection closes without an
answer), with a ``delay_s`` and the ``count`` of requests that it affects.
``POST /admin/instances`` changes the instance list, and ``GET /counts`` returns
the number of reads and of transactions.
"""

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from standins.http import (
    Environ,
    StartResponse,
    drop_connection,
    json_response,
    pause,
    read_json,
    report_ready_and_wait,
    serve,
)

HANG_DURATION_S = 3600


@dataclass(slots=True)
class Tables:
    """Hold the tables in memory.

    :param rows: version and content by table and key.
    :param reads: number of read requests.
    :param writes: number of transactions.
    """

    rows: dict[tuple[str, str], tuple[int, Any]] = field(default_factory=dict)
    reads: int = 0
    writes: int = 0

    def get(self, table: str, key: str) -> dict[str, Any]:
        """Read one row."""
        version, content = self.rows.get((table, key), (0, None))
        return {'key': key, 'version': version, 'content': content}

    def scan(self, table: str, prefix: str, after: str) -> list[dict[str, Any]]:
        """Read the rows with a key prefix after a key, in key order."""
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        return [self.get(table, key) for key in keys]

    def transact(self, puts: list[dict[str, Any]]) -> tuple[int, Any]:
        """Write all rows or none.

        :returns: HTTP status and body; 409 on a version conflict.
        """
        self.writes += 1
        conflicts = [
            self.get(put['table'], put['key'])
            for put in puts
            if self.get(put['table'], put['key'])['version'] != put['expected']
        ]
        if conflicts:
            return 409, {'rows': conflicts}
        versions = {}
        for put in puts:
            version = put['expected'] + 1
            row_id = (put['table'], put['key'])
            self.rows[row_id] = (version, put['content'])
            versions[put['key']] = version
        return 200, {'versions': versions}


@dataclass(slots=True)
class Fault:
    """Define the active fault.

    :param mode: ``none``, ``refuse``, ``hang`` or ``lose``.
    :param delay_s: delay of each answer.
    :param count: requests that the fault affects, 0 for no limit.
    :param lists: accepted in faults, but without effect.
    """

    mode: str = 'none'
    delay_s: float = 0
    count: int = 0
    lists: bool = True


class Platform:
    """Serve the tables, the instance list and fault injection."""

    def __init__(self) -> None:
        """Create an empty platform without a fault."""
        self.tables = Tables()
        self.instances: dict[str, dict[str, Any]] = {}
        self.fault = Fault()
        self.list_version = 0

    def application(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        # WSGI passes the bytes of a path decoded as Latin-1.
        path = environ['PATH_INFO'].encode('latin-1').decode()
        method = environ['REQUEST_METHOD']
        if path == '/faults':
            self.fault = Fault(**read_json(environ))
            return json_response(start_response, {})
        if path == '/counts':
            counts = {'reads': self.tables.reads, 'writes': self.tables.writes}
            return json_response(start_response, counts)
        if path.startswith('/admin/instances'):
            self.change_instances(read_json(environ))
            return json_response(start_response, {})
        return self.handle_platform_call(environ, method, path, start_response)

    def handle_platform_call(
        self,
        environ: Environ,
        method: str,
        path: str,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle a platform call under the active fault."""
        mode = self.apply_fault(path, method)
        if mode == 'hang':
            pause(HANG_DURATION_S)
        if mode == 'refuse':
            return json_response(start_response, {'error': 'outage'}, 503)
        if path == '/v1/transact':
            status, content = self.tables.transact(read_json(environ)['puts'])
            if mode == 'lose':
                drop_connection(environ)
            return json_response(start_response, content, status)
        if path == '/v1/instances':
            return self.list_instances(environ, start_response)
        return self.read_rows(environ, path, start_response)

    def list_instances(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Return the instance list, or 304 if it has not changed."""
        entity_tag = f'"{self.list_version}"'
        if environ.get('HTTP_IF_NONE_MATCH') == entity_tag:
            start_response('304 Not Modified', [('ETag', entity_tag)])
            return []
        body = json.dumps({'instances': list(self.instances.values())})
        start_response('200 OK', [('ETag', entity_tag)])
        return [body.encode()]

    def apply_fault(self, path: str, method: str) -> str:
        """Apply the active fault's delay and count the request.

        :returns: the fault mode that applies to the request.
        """
        fault = self.fault
        if fault.delay_s:
            pause(fault.delay_s)
        if fault.mode == 'none':
            return 'none'
        if fault.mode == 'lose' and path != '/v1/transact':
            return 'none'
        if fault.count:
            fault.count -= 1
            if not fault.count:
                self.fault = Fault()
        return fault.mode

    def read_rows(
        self,
        environ: Environ,
        path: str,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Return one row or a range of rows."""
        self.tables.reads += 1
        table, _, key = path.removeprefix('/v1/rows/').partition('/')
        if key:
            row = self.tables.get(table, key)
            return json_response(
                start_response, row, 200 if row['version'] else 404
            )
        query = parse_qs(environ.get('QUERY_STRING', ''))
        prefix = query.get('prefix', [''])[0]
        after = query.get('after', [''])[0]
        found = self.tables.scan(table, prefix, after)
        return json_response(start_response, {'rows': found})

    def change_instances(self, change: dict[str, Any]) -> None:
        """Add, replace or remove entries of the instance list."""
        self.list_version += 1
        for instance in change.get('put', []):
            self.instances[instance['node']] = instance
        for node in change.get('remove', []):
            self.instances.pop(node, None)


def main() -> None:
    """Serve on the port given as argument."""
    serve(int(sys.argv[1]), Platform().application)
    report_ready_and_wait()


if __name__ == '__main__':
    main()
