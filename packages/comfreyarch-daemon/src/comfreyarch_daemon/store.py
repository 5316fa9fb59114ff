"""Access the platform's table service and instance list over HTTP.

A transaction states the version that it expects of each row. It has one of
four outcomes: written, version conflict, unavailable (no effect) or
ambiguous (the response was lost, so the effect is unknown).
"""

import json
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import quote

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyarch_daemon.jsondecoding import decode_json
from comfreyarch_daemon.logs import log_change

# Maximum number of connections to the service.
MAX_CONNECTIONS = 8
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class TableRow:
    """Represent a row; ``version`` is 0 if the row does not exist."""

    key: str
    version: int = 0
    content: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """Write ``content`` to a row whose version must be ``expected``."""

    table: str
    key: str
    expected: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Written:
    """Report that all puts took effect, with the new versions by key."""

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """Report that nothing was written, since ``rows`` have other versions."""

    rows: dict[str, TableRow]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the store is unavailable and wrote nothing."""

    detail: str = ''


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Report a lost response; the write may have taken effect."""

    detail: str = ''


WriteOutcome = Written | VersionConflict | Unavailable | Ambiguous


class StoreError(Exception):
    """Report a failed read; retry later or ask a peer."""


@dataclass(frozen=True, slots=True)
class Instance:
    """Describe one item of the platform's instance list."""

    node: str
    role: str
    link: str
    operators: str
    availability_zone: str
    region: str = ''
    upstream: str = ''
    leaving: bool = False


class Table(Protocol):
    """Define a transactional table of versioned rows."""

    def transact(self, puts: list[Put]) -> WriteOutcome:
        """Write all rows or none."""

    def read(self, table: str, key: str) -> TableRow:
        """Read one row."""

    def scan(self, table: str, prefix: str, after: str) -> list[TableRow]:
        """Read the rows with a key prefix, in key order."""


@dataclass(slots=True)
class StoreClient:
    """Access the platform's service over HTTP.

    :param http: the connection pool.
    :param reads: number of reads attempted.
    :param writes: number of transactions attempted.
    :param instances_etag: the ETag of the last instance list.
    :param cached_instances: the last instance list.
    """

    http: HTTPClient
    reads: int = 0
    writes: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    instances_etag: str = ''
    cached_instances: list[Instance] = field(default_factory=list)

    def transact(self, puts: list[Put]) -> WriteOutcome:
        """Write all rows or none.

        Of the failures, only a refused connection and status 503 guarantee
        that nothing was written.

        :param puts: the rows with the versions that they replace.
        :returns: the outcome; no exception is raised.
        """
        self.writes += 1
        body = json.dumps(
            {
                'puts': [
                    {
                        'table': put.table,
                        'key': put.key,
                        'expected': put.expected,
                        'content': put.content,
                    }
                    for put in puts
                ],
            }
        )
        try:
            status, raw = self.exchange('POST', '/v1/transact', body)
        except ConnectionRefusedError as error:
            return Unavailable(str(error))
        except (OSError, HTTPParseError, ValueError) as error:
            return Ambiguous(str(error))
        if status == HTTP_OK:
            return Written(raw['versions'])
        if status == HTTP_CONFLICT:
            return VersionConflict(
                {row['key']: parse_row(row) for row in raw['rows']}
            )
        if status == HTTP_UNAVAILABLE:
            return Unavailable(str(raw))
        return Ambiguous(f'transaction answered with status {status}')

    def read(self, table: str, key: str) -> TableRow:
        """Read one row.

        :returns: the row, with version 0 if it does not exist.
        :raises StoreError: if the store cannot be read.
        """
        path = f'/v1/rows/{quote(table, safe="")}/{quote(key, safe="")}'
        status, raw = self.fetch(path)
        if status != HTTP_OK:
            return TableRow(key)
        return parse_rows([raw])[0]

    def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
    ) -> list[TableRow]:
        """Read the rows with a key prefix, in key order.

        :param after: return only keys that sort after this one.
        :raises StoreError: if the store cannot be read.
        """
        query = f'prefix={quote(prefix, safe="")}&after={quote(after, safe="")}'
        _, raw = self.fetch(f'/v1/rows/{quote(table, safe="")}?{query}')
        return parse_rows(raw.get('rows'))

    def instances(self) -> list[Instance]:
        """Read the instance list.

        An unchanged list is answered without a body and returned from the
        cache.

        :raises StoreError: if the list cannot be read.
        """
        self.reads += 1
        headers = (
            {'If-None-Match': self.instances_etag}
            if self.instances_etag
            else {}
        )
        try:
            response = self.http.request('GET', '/v1/instances', '', headers)
            content = bytes(response.read())
        except (OSError, HTTPParseError) as error:
            raise StoreError(
                f'cannot read the instance list: {error}; retry later',
            ) from error
        status = int(response.status_code)
        if status == HTTP_NOT_MODIFIED:
            return self.cached_instances
        if status != HTTP_OK or not response.message_complete:
            raise StoreError(
                f'instance list is incomplete or has status {status}; '
                'retry later',
            )
        self.cached_instances = parse_instances(content)
        self.instances_etag = str(response.get('etag') or '')
        return self.cached_instances

    def fetch(self, path: str) -> tuple[int, dict[str, Any]]:
        """Request a path.

        :returns: the status, 200 or 404, and the decoded body.
        :raises StoreError: if the request fails or has another status.
        """
        self.reads += 1
        try:
            status, raw = self.exchange('GET', path, '')
        except (OSError, HTTPParseError, ValueError) as error:
            raise StoreError(
                f'GET {path} from the store failed: {error}; retry later'
            ) from error
        if status not in {HTTP_OK, HTTP_NOT_FOUND}:
            raise StoreError(
                f'GET {path} from the store failed with status {status}; '
                'retry later'
            )
        return status, raw

    def exchange(
        self,
        method: str,
        path: str,
        body: str,
    ) -> tuple[int, dict[str, Any]]:
        """Send one HTTP request and read the response.

        :returns: the status and the decoded body.
        :raises OSError: if the request fails or the response is cut off.
        :raises ValueError: if the body is not JSON.
        """
        response = self.http.request(method, path, body, self.headers)
        content = bytes(response.read())
        if not response.message_complete:
            raise OSError(f'response to {method} {path} was cut off')
        return int(response.status_code), decode_json(content or b'{}')

    def close(self) -> None:
        """Close all connections."""
        self.http.close()


def parse_instances(content: bytes) -> list[Instance]:
    """Parse the instance list of the service.

    :returns: the instances, without those that cannot be read.
    :raises StoreError: if it is no list.
    """
    try:
        listed = list(decode_json(content)['instances'])
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError(
            'instance list of the store is not valid JSON or has no list '
            f"'instances': {error}; check the version of the store",
        ) from error
    instances = []
    for raw in listed:
        try:
            instances.append(msgspec.convert(raw, Instance))
        except msgspec.ValidationError as error:
            log_change('instance unreadable', why=str(error))
    return instances


def parse_rows(raw: Any) -> list[TableRow]:
    """Parse the rows of a response.

    :raises StoreError: if they are malformed.
    """
    try:
        return [parse_row(row) for row in raw]
    except (KeyError, TypeError) as error:
        raise StoreError(
            'rows from the store have a missing or invalid field: '
            f'{error!r}; check the version of the store',
        ) from error


def parse_row(raw: dict[str, Any]) -> TableRow:
    """Convert a row of a response.

    :returns: the row.
    """
    return TableRow(raw['key'], raw['version'], raw.get('content'))


def make_store(url: str, timeout_s: float) -> StoreClient:
    """Create a client of the service at ``url``.

    :param timeout_s: bounds the connection and each read or write.
    :returns: a client that connects at the first request.
    """
    http = HTTPClient.from_url(
        url,
        concurrency=MAX_CONNECTIONS,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    return StoreClient(http)
