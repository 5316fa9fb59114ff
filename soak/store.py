"""Simulate the platform's store and inject its faults on request."""

import base64
import json
import random
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

MAX_MISSED_HEARTBEATS = 3
HEARTBEAT_S = 1.2
ANSWER_DELAY_S = 0.004
SLOW_ANSWER_DELAY_S = 0.3
LATE_COMMIT_DELAY_RANGE_S = (1.0, 4.0)
PAGE_ROWS = 500
# Time between two copies that the store can be restored from, and their number.
COPY_INTERVAL_S = 0.5
MAX_COPIES = 8
# Fields of a server's row that change without a new version.
UNVERSIONED_FIELDS = frozenset(('sequence',))
REASON_PHRASES = {
    200: 'OK',
    403: 'Forbidden',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
    503: 'Service Unavailable',
}
Row = dict[str, Any]
Environ = dict[str, Any]


@dataclass(slots=True)
class Store:
    """Hold rows and their history, and answer calls about them.

    :param compacted_version: newest version that history does not cover.
    :param fault: current fault of calls from entries and sidecars, empty for
        none.
    :param silences: number of silences so far; a call that one of them meets is
        never answered.
    :param era: how often the store was restored from a copy.
    :param copies: version and rows of the latest copies, oldest first.
    :param heartbeats: key of a server → time of its latest write.
    """

    version: int = 0
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    history: list[Row] = field(default_factory=list)
    compacted_version: int = 0
    fault: str = ''
    silences: int = 0
    era: int = 0
    copies: deque[tuple[int, dict[tuple[str, str], Row]]] = field(
        default_factory=lambda: deque(maxlen=MAX_COPIES)
    )
    changed: Event = field(default_factory=Event)
    heartbeats: dict[str, float] = field(default_factory=dict)

    def put(self, table: str, key: str, content: str | None) -> None:
        """Write a row, or remove it if the content is None."""
        row = {
            'table': table,
            'part': '',
            'key': key,
            'schemaVersion': self.version,
        }
        if content is None:
            self.rows.pop((table, key), None)
            self.history.append({**row, 'isRemoved': True})
        else:
            row['value'] = content
            self.rows[table, key] = row
            self.history.append(row)

    def notify_readers(self) -> None:
        """Wake the readers that wait for changes."""
        self.changed.set()
        self.changed.clear()

    def apply_transaction(self, change: dict[str, Any]) -> list[Row] | None:
        """Apply a transaction.

        :returns: None if it was applied, else the current state of the rows in
            its conditions.
        """
        expected = change.get('expectedRevision', [])
        for condition in expected:
            row = self.rows.get((condition['table'], condition['key']))
            if (row or {}).get('schemaVersion', 0) != condition[
                'schemaVersion'
            ]:
                keys = [(each['table'], each['key']) for each in expected]
                return [self.rows[key] for key in keys if key in self.rows]
        self.version += 1
        for changed_row in change.get('write', []):
            self.put(
                changed_row['table'], changed_row['key'], changed_row['value']
            )
        for changed_row in change.get('remove', []):
            self.put(changed_row['table'], changed_row['key'], None)
        self.notify_readers()
        return None

    def expire_servers(self) -> None:
        """Remove the rows of servers whose heartbeats stopped."""
        while True:
            gevent.sleep(HEARTBEAT_S / MAX_MISSED_HEARTBEATS)
            oldest = time.monotonic() - MAX_MISSED_HEARTBEATS * HEARTBEAT_S
            for key, at in list(self.heartbeats.items()):
                if at < oldest:
                    self.heartbeats.pop(key)
                    self.write_row({'key': key, 'row': None})

    def save_copies(self) -> None:
        """Save copies periodically."""
        while True:
            gevent.sleep(COPY_INTERVAL_S)
            rows = {key: dict(row) for key, row in self.rows.items()}
            self.copies.append((self.version, rows))

    def restore(self) -> None:
        """Return to the oldest copy; versions are given out again."""
        if not self.copies:
            return
        self.version, rows = self.copies[0]
        self.rows = dict(rows)
        self.copies.clear()
        self.era += 1
        self.compacted_version = 0
        self.history = [
            row for row in self.history if row['schemaVersion'] <= self.version
        ]
        self.notify_readers()

    def write_row(self, payload: dict[str, Any]) -> None:
        """Write a row of the operator or of a server, without a transaction."""
        table, key, row = (
            payload.get('table', 'servers'),
            payload['key'],
            payload['row'],
        )
        if table == 'servers':
            self.heartbeats[key] = time.monotonic()
        content = None
        if row is None:
            self.heartbeats.pop(key, None)
        else:
            content = base64.b64encode(json.dumps(row).encode()).decode()
        current = self.rows.get((table, key))
        if compared_fields(current) == compared_fields({'value': content}):
            if current is not None and content is not None:
                current['value'] = content
            return
        self.version += 1
        self.put(table, key, content)
        self.notify_readers()

    def read_page(self, query: dict[str, str]) -> dict[str, Any]:
        """Read one page of a key range.

        :returns: the fields of the answer.
        """
        start, end = query.get('from', ''), query.get('target', '')
        table = query['table']
        rows = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= start and (not end or key < end)
        ]
        return self.make_page(rows[:PAGE_ROWS], has_more=len(rows) > PAGE_ROWS)

    def wait_for_changes(self, query: dict[str, str]) -> dict[str, Any] | None:
        """Wait for changes after a revision.

        :returns: the fields of the answer, None if history was compacted.
        """
        after = int(query['afterRevision'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if after < self.compacted_version or after > self.version:
                return None
            rows = [
                row
                for row in self.history
                if row['schemaVersion'] > after
                and row['table'] == query['table']
            ]
            left_s = end - time.monotonic()
            if rows or left_s <= 0:
                return self.make_page(rows)
            self.changed.wait(left_s)

    def make_page(self, rows: list[Row], *, has_more: bool = False) -> Row:
        """Build an answer with rows, the version and the time.

        :returns: the fields of the answer.
        """
        return {
            'rows': rows,
            'hasMore': has_more,
            'schemaVersion': self.version,
            'currentTimeMs': int(time.monotonic() * 1000),
        }

    def set_fault(self, fault: str) -> None:
        """Start a fault, or end it with an empty name.

        ``forget`` compacts the history once, ``restore`` returns to a copy once;
        they do not last.
        """
        if fault == 'forget':
            self.compacted_version = self.version
            self.history.clear()
            self.notify_readers()
            return
        if fault == 'restore':
            self.restore()
            return
        self.silences += fault == 'silent'
        self.fault = fault

    def __call__(self, environ: Environ, start: Any) -> list[bytes]:
        """Answer one call."""
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        payload = json.loads(body) if body else {}
        query = {
            name: texts[-1]
            for name, texts in parse_qs(environ['QUERY_STRING']).items()
        }
        if path.startswith('/own/'):
            if path == '/own/fault':
                self.set_fault(payload['fault'])
            else:
                self.write_row(payload)
            return self.send(start, 200, {'schemaVersion': self.version})
        silences = self.silences
        self.delay_answer(silences)
        if self.fault == 'busy':
            return self.send(start, 503, {})
        if path == '/v1/rows-tx':
            return self.answer_transaction(payload, start)
        if path == '/v1/rows-get':
            return self.send(start, 200, self.read_page(query))
        page = self.wait_for_changes(query)
        self.delay_answer(silences)
        return self.send(start, 200 if page else 410, page or {})

    def send(self, start: Any, status: int, fields: Row) -> list[bytes]:
        """Answer with JSON and the era.

        :returns: the WSGI body.
        """
        body = json.dumps(fields).encode()
        start(
            f'{status} {REASON_PHRASES[status]}',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                ('Store-Era', str(self.era)),
            ],
        )
        return [body]

    def delay_answer(self, silences: int) -> None:
        """Delay a call according to the faults since its arrival.

        :param silences: number of silences at its arrival.
        """
        gevent.sleep(
            SLOW_ANSWER_DELAY_S if self.fault == 'slow' else ANSWER_DELAY_S
        )
        while self.fault == 'silent' or self.silences != silences:
            gevent.sleep(HEARTBEAT_S)

    def answer_transaction(
        self, payload: dict[str, Any], start: Any
    ) -> list[bytes]:
        """Apply a transaction and answer, unless a fault loses the answer."""
        tables = {row['table'] for row in payload.get('write', [])}
        if tables & {'op', 'servers'}:
            return self.send(start, 403, {})
        if self.fault == 'late' and random.random() < 0.5:
            gevent.spawn_later(
                random.uniform(*LATE_COMMIT_DELAY_RANGE_S),
                self.apply_transaction,
                payload,
            )
            raise AnswerLost
        differing = self.apply_transaction(payload)
        if self.fault == 'lost' and random.random() < 0.5:
            raise AnswerLost
        if differing is None:
            return self.send(start, 200, self.make_page([]))
        return self.send(start, 412, self.make_page(differing))


class AnswerLost(Exception):
    """Report that a fault ends a call without an answer."""


class StoreHandler(WSGIHandler):  # type: ignore[misc]
    """Close the connection if an answer is lost."""

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close the connection and report unexpected errors."""
        self.close_connection = True
        if not isinstance(error, AnswerLost | OSError):
            super().handle_error(kind, error, trace)


def compared_fields(row: Row | None) -> Any:
    """Decode the fields of a row whose change gives it a new version.

    :returns: None for a row that does not exist.
    """
    content = (row or {}).get('value')
    if content is None:
        return None
    fields = json.loads(base64.b64decode(content))
    if not isinstance(fields, dict):
        return fields
    return {
        name: known
        for name, known in fields.items()
        if name not in UNVERSIONED_FIELDS
    }


def main() -> None:
    """Serve at the address of the first argument."""
    host, _, port = sys.argv[1].rpartition(':')
    store = Store()
    gevent.spawn(store.expire_servers)
    gevent.spawn(store.save_copies)
    server = WSGIServer(
        (host, int(port)), store, log=None, handler_class=StoreHandler
    )
    server.start()
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    Event().wait()


if __name__ == '__main__':
    main()
