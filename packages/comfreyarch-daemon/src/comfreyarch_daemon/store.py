"""Talk to the platform's table service and instance list over HTTP.

A transaction names the version that it expects of each row. Its answer is
one of four: committed, conflict, unavailable (no effect) or unclear (the
answer was lost, the effect unknown).
"""

import json
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

CONCURRENCY = 8
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class TableRow:
    """Hold a row; ``version`` is 0 where there is none."""

    key: str
    version: int = 0
    content: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """Write ``content`` at a key that must stand at ``expected``."""

    table: str
    key: str
    expected: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Written:
    """Tell that all puts took effect, with the new versions by key."""

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Clash:
    """Tell that nothing was written; the rows that stood otherwise."""

    rows: dict[str, TableRow]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Tell that the store certainly did nothing."""

    detail: str = ''


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Tell that the answer was lost; the write may have taken effect."""

    detail: str = ''


WriteOutcome = Written | Clash | Unavailable | Ambiguous


class StoreError(Exception):
    """Report a read that failed; ask again later or ask a peer."""


@dataclass(frozen=True, slots=True)
class Instance:
    """Describe one entry of the platform's instance list."""

    node: str
    role: str
    link: str
    operators: str
    availability_zone: str
    region: str = ''
    upstream: str = ''
    leaving: bool = False


class Table(Protocol):
    """Be a transactional table of rows with versions."""

    def transact(self, puts: list[Put]) -> WriteOutcome:
        """Write all puts or none."""

    def read(self, table: str, key: str) -> TableRow:
        """Read one row."""

    def scan(self, table: str, prefix: str, after: str) -> list[TableRow]:
        """Read rows by key order."""


@dataclass(slots=True)
class StoreClient:
    """Be the client of the platform's service.

    :param http: the connection pool.
    :param reads: reads made so far.
    :param writes: transactions made so far.
    """

    http: HTTPClient
    reads: int = 0
    writes: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    list_tag: str = ''
    listed: list[Instance] = field(default_factory=list)

    def transact(self, puts: list[Put]) -> WriteOutcome:
        """Write all puts or none.

        Only a refused connection and status 503 tell that nothing was done.

        :param puts: rows with the versions they replace.
        :returns: the outcome, never an exception.
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
            return Clash({one['key']: to_row(one) for one in raw['rows']})
        if status == HTTP_UNAVAILABLE:
            return Unavailable(str(raw))
        return Ambiguous(f'status {status}')

    def read(self, table: str, key: str) -> TableRow:
        """Read one row.

        :returns: the row; version 0 where there is none.
        :raises StoreError: if the store cannot be read.
        """
        path = f'/v1/rows/{quote(table, safe="")}/{quote(key, safe="")}'
        status, raw = self.fetch(path)
        if status != HTTP_OK:
            return TableRow(key)
        return read_rows([raw])[0]

    def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
    ) -> list[TableRow]:
        """Read rows in key order.

        :param after: give only keys above this one.
        :raises StoreError: if the store cannot be read.
        """
        query = f'prefix={quote(prefix, safe="")}&after={quote(after, safe="")}'
        _, raw = self.fetch(f'/v1/rows/{quote(table, safe="")}?{query}')
        return read_rows(raw.get('rows'))

    def instances(self) -> list[Instance]:
        """Read the instance list; an unchanged one costs no body.

        :raises StoreError: if the list cannot be read.
        """
        self.reads += 1
        headers = {'If-None-Match': self.list_tag} if self.list_tag else {}
        try:
            response = self.http.request('GET', '/v1/instances', '', headers)
            content = bytes(response.read())
        except (OSError, HTTPParseError) as error:
            raise StoreError(f'{error}; ask again later') from error
        status = int(response.status_code)
        if status == HTTP_NOT_MODIFIED:
            return self.listed
        if status != HTTP_OK or not response.message_complete:
            raise StoreError(f'status {status}; ask again later')
        self.listed = read_instances(content)
        self.list_tag = str(response.get('etag') or '')
        return self.listed

    def fetch(self, path: str) -> tuple[int, dict[str, Any]]:
        """Read a path.

        :raises StoreError: on any answer but found or not found.
        """
        self.reads += 1
        try:
            status, raw = self.exchange('GET', path, '')
        except (OSError, HTTPParseError, ValueError) as error:
            raise StoreError(f'{error}; ask again later') from error
        if status not in {HTTP_OK, HTTP_NOT_FOUND}:
            raise StoreError(f'status {status}; ask again later')
        return status, raw

    def exchange(
        self,
        method: str,
        path: str,
        body: str,
    ) -> tuple[int, dict[str, Any]]:
        """Make one HTTP exchange.

        :returns: status and decoded body.
        """
        response = self.http.request(method, path, body, self.headers)
        content = bytes(response.read())
        if not response.message_complete:
            raise OSError('answer cut off')
        return int(response.status_code), json.loads(content or b'{}')

    def close(self) -> None:
        """Close the connections."""
        self.http.close()


def read_instances(content: bytes) -> list[Instance]:
    """Read the instance list as the service writes it.

    :raises StoreError: if it is written otherwise.
    """
    try:
        listed = json.loads(content)['instances']
        return [Instance(**one) for one in listed]
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError(f'odd list: {error}; check the store') from error


def read_rows(raw: Any) -> list[TableRow]:
    """Read rows as the service writes them.

    :raises StoreError: if they are written otherwise.
    """
    try:
        return [to_row(one) for one in raw]
    except (KeyError, TypeError) as error:
        raise StoreError(f'odd rows: {error}; check the store') from error


def to_row(raw: dict[str, Any]) -> TableRow:
    """Read a row as the service writes it.

    :returns: the row.
    """
    return TableRow(raw['key'], raw['version'], raw.get('content'))


def make_store(url: str, timeout_s: float) -> StoreClient:
    """Make a client of the service at ``url``.

    :returns: a client that connects on first use.
    """
    http = HTTPClient.from_url(
        url,
        concurrency=CONCURRENCY,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    return StoreClient(http)
