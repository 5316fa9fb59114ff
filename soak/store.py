"""Stand in for the platform's store, and misbehave when told to."""

import base64
import json
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

BEATS_MISSED = 3
BEAT_S = 1.2
ANSWER_S = 0.004
SLOW_S = 0.3
LATE_S = (1.0, 4.0)
PAGE_ROWS = 500
REASONS = {
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
    """Hold rows and their history.

    :param forgotten: the newest version whose history is gone.
    :param fault: what calls of the system meet at present.
    """

    version: int = 0
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    history: list[Row] = field(default_factory=list)
    forgotten: int = 0
    fault: str = ''
    changed: Event = field(default_factory=Event)
    beats: dict[str, float] = field(default_factory=dict)

    def put(self, table: str, key: str, content: str | None) -> None:
        """Write a row, or remove it."""
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

    def commit(self) -> None:
        """Let readers see what was written."""
        self.changed.set()
        self.changed.clear()

    def transact(self, change: dict[str, Any]) -> list[Row] | None:
        """Apply a transaction.

        :returns: None where it was applied, else the rows that differ.
        """
        wanted = change.get('expectedRevision', [])
        for one in wanted:
            row = self.rows.get((one['table'], one['key']))
            if (row or {}).get('schemaVersion', 0) != one['schemaVersion']:
                keys = [(each['table'], each['key']) for each in wanted]
                return [self.rows[key] for key in keys if key in self.rows]
        self.version += 1
        for one in change.get('write', []):
            self.put(one['table'], one['key'], one['value'])
        for one in change.get('remove', []):
            self.put(one['table'], one['key'], None)
        self.commit()
        return None

    def expire(self) -> None:
        """Remove the entries of servers that fell silent."""
        while True:
            gevent.sleep(BEAT_S / BEATS_MISSED)
            oldest = time.monotonic() - BEATS_MISSED * BEAT_S
            for key, at in list(self.beats.items()):
                if at < oldest:
                    self.beats.pop(key)
                    self.own_write({'key': key, 'row': None})

    def own_write(self, told: dict[str, Any]) -> None:
        """Take a row of the operator or of a server."""
        table, key, row = told.get('table', 'servers'), told['key'], told['row']
        if table == 'servers':
            self.beats[key] = time.monotonic()
        content = None
        if row is None:
            self.beats.pop(key, None)
        else:
            content = base64.b64encode(json.dumps(row).encode()).decode()
        known = self.rows.get((table, key))
        if (known or {}).get('value') == content:
            return
        self.version += 1
        self.put(table, key, content)
        self.commit()

    def page(self, query: dict[str, str]) -> dict[str, Any]:
        """Read rows.

        :returns: the fields of the answer.
        """
        start, end = query.get('from', ''), query.get('target', '')
        table = query['table']
        rows = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= start and (not end or key < end)
        ]
        return self.told(rows[:PAGE_ROWS], has_more=len(rows) > PAGE_ROWS)

    def feed(self, query: dict[str, str]) -> dict[str, Any] | None:
        """Wait for changes.

        :returns: the fields of the answer, None where history is gone.
        """
        after = int(query['afterRevision'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if after < self.forgotten:
                return None
            rows = [
                row
                for row in self.history
                if row['schemaVersion'] > after
                and row['table'] == query['table']
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.told(rows)
            self.changed.wait(left)

    def told(self, rows: list[Row], *, has_more: bool = False) -> Row:
        """Add what each answer about rows says.

        :returns: the fields of the answer.
        """
        return {
            'rows': rows,
            'hasMore': has_more,
            'schemaVersion': self.version,
            'currentTimeMs': int(time.monotonic() * 1000),
        }

    def set_fault(self, fault: str) -> None:
        """Begin or end a fault."""
        if fault == 'forget':
            self.forgotten = self.version
            self.history.clear()
            self.commit()
            return
        self.fault = fault

    def __call__(self, environ: Environ, start: Any) -> list[bytes]:
        """Answer one call."""
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        told = json.loads(body) if body else {}
        query = {
            name: texts[-1]
            for name, texts in parse_qs(environ['QUERY_STRING']).items()
        }
        if path.startswith('/own/'):
            if path == '/own/fault':
                self.set_fault(told['fault'])
            else:
                self.own_write(told)
            return answer(start, 200, {'schemaVersion': self.version})
        self.suffer()
        if self.fault == 'busy':
            return answer(start, 503, {})
        if path == '/v1/rows-tx':
            return self.answer_change(told, start)
        if path == '/v1/rows-get':
            return answer(start, 200, self.page(query))
        page = self.feed(query)
        self.suffer()
        return answer(start, 200 if page else 410, page or {})

    def suffer(self) -> None:
        """Let a call meet the present fault."""
        gevent.sleep(SLOW_S if self.fault == 'slow' else ANSWER_S)
        while self.fault == 'silent':
            gevent.sleep(BEAT_S)

    def answer_change(self, told: dict[str, Any], start: Any) -> list[bytes]:
        """Apply a transaction and answer, unless the answer is lost."""
        tables = {row['table'] for row in told.get('write', [])}
        if tables & {'op', 'servers'}:
            return answer(start, 403, {})
        if self.fault == 'late' and random.random() < 0.5:
            gevent.spawn_later(random.uniform(*LATE_S), self.transact, told)
            raise AnswerLost
        differing = self.transact(told)
        if self.fault == 'lost' and random.random() < 0.5:
            raise AnswerLost
        if differing is None:
            return answer(start, 200, self.told([]))
        return answer(start, 412, self.told(differing))


class AnswerLost(Exception):
    """End a call without an answer."""


class StoreHandler(WSGIHandler):  # type: ignore[misc]
    """Close the connection where an answer is lost."""

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Write nothing more; report what is a fault of this program."""
        self.close_connection = True
        if not isinstance(error, AnswerLost | OSError):
            super().handle_error(kind, error, trace)


def answer(start: Any, status: int, fields: Row) -> list[bytes]:
    """Answer with JSON.

    :returns: the WSGI body.
    """
    body = json.dumps(fields).encode()
    start(
        f'{status} {REASONS[status]}',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]


def main() -> None:
    """Serve at the address of the first argument."""
    host, _, port = sys.argv[1].rpartition(':')
    store = Store()
    gevent.spawn(store.expire)
    server = WSGIServer(
        (host, int(port)), store, log=None, handler_class=StoreHandler
    )
    server.start()
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    Event().wait()


if __name__ == '__main__':
    main()
