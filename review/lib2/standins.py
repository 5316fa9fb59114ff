"""Stand-ins for the platform, its servers and its clients, on loopback.

Only the standard library is used, so that nothing has to be built.
"""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STORE_PORT = 8223
SERVER_PORT = 8300
CALLERS_PORT = 8227
READY_PORT = 8220
HEARTBEAT_S = 1.2
# Bounds of the small deployments.
BOUNDS = {
    'seedLagS': 3, 'addressReuseS': 2, 'contactMs': 3000,
    'acknowledgeMs': 4000, 'catchUpS': 4, 'drainMs': 2000, 'gracePeriodS': 8,
    'lossSlackMs': 200, 'configApplyMs': 2000, 'rollbackSlackMs': 250,
    'outerBoundMs': 5000, 'revocationStrict': False, 'revokeMs': 5000,
    'retryBudgetRatio': 0.2, 'retryWindowS': 10, 'retryAllowance': 184,
    'recoveryS': 12, 'eventDelayMs': 120, 'retryAfterS': 0, 'stall_ms': 1500,
    'fencingEnforced': False,
}


def new_host():
    """Return a loopback address that is most likely unused."""
    return f'127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}'


async def read_head(reader):
    """Read a start line and headers; None at the end of the connection."""
    first = await reader.readline()
    if not first.endswith(b'\n'):
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            return None
        if line == b'\r\n':
            return first.decode('latin-1').strip(), headers
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Record:
    """Write one JSON line per event."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start = time.monotonic()
        self.events = []

    def write(self, kind, **fields):
        event = {'t': round(time.monotonic() - self.start, 3), 'kind': kind, **fields}
        self.events.append(event)
        self.file.write(json.dumps(event) + '\n')
        self.file.flush()

    def now(self):
        return time.monotonic() - self.start


class Store:
    """The platform's store: rows, transactions, reads and the feed."""

    def __init__(self, host):
        self.host = host
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.era = None

    @property
    def address(self):
        return f'{self.host}:{STORE_PORT}'

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, STORE_PORT)

    async def put(self, table, key, value):
        """Write a row as the operator or a server, None removes it."""
        content = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        await self.commit([(table, '', key, content)])

    async def commit(self, writes):
        self.version += 1
        for table, part, key, content in writes:
            row = {'table': table, 'part': part, 'key': key, 'schemaVersion': self.version}
            if content is None:
                if self.rows.pop((table, part, key), None) is None:
                    continue
                row['isRemoved'] = True
            else:
                row['value'] = content
                self.rows[table, part, key] = row
            self.history.append(row)
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        """Return a copy from which the store can be restored."""
        return self.version, dict(self.rows)

    async def restore(self, copy):
        """Come back from an older copy: versions are given out again."""
        self.version, rows = copy
        self.rows = dict(rows)
        self.history = [row for row in self.history if row['schemaVersion'] <= self.version]
        self.era = (self.era or 0) + 1
        async with self.changed:
            self.changed.notify_all()

    def page(self, rows, **extra):
        return {'rows': rows, 'schemaVersion': self.version,
                'currentTimeMs': int(time.monotonic() * 1000), **extra}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, headers = head
                body = await read_body(reader, headers)
                await asyncio.sleep(0.004)
                status, answer = await self.answer(first.split()[1], body)
                data = json.dumps(answer).encode()
                lines = [f'HTTP/1.1 {status} X', 'Content-Type: application/json',
                         f'Content-Length: {len(data)}']
                if self.era is not None:
                    lines.append(f'Store-Era: {self.era}')
                writer.write('\r\n'.join([*lines, '', '']).encode() + data)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer left, or the case ends.
            pass
        finally:
            writer.close()

    async def answer(self, target, body):
        url = urlsplit(target)
        query = {k: v[-1] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == '/v1/rows-get':
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query['table'] and part == query.get('part', '')
                    and key >= query.get('from', '')
                    and (not query.get('target') or key < query['target'])]
            return 200, self.page(rows[:500], hasMore=len(rows) > 500)
        if url.path == '/v1/rows-feed':
            after = int(query['afterRevision'])
            end = time.monotonic() + int(query.get('waitMs', 0)) / 1000
            while True:
                if after > self.version:
                    # The store was restored from an older copy.
                    return 410, {}
                rows = [row for row in self.history
                        if row['schemaVersion'] > after and row['table'] == query['table']]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.page(rows)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if url.path == '/v1/rows-tx':
            change = json.loads(body)
            tables = [row['table'] for row in [*change.get('write', []), *change.get('remove', [])]]
            if {'op', 'servers'} & set(tables):
                return 403, {}
            expected = change.get('expectedRevision', [])
            for row in expected:
                known = self.rows.get((row['table'], row.get('part', ''), row['key']), {})
                if known.get('schemaVersion', 0) != row['schemaVersion']:
                    keys = [(each['table'], each.get('part', ''), each['key']) for each in expected]
                    return 412, self.page([self.rows[key] for key in keys if key in self.rows])
            await self.commit(
                [(row['table'], row.get('part', ''), row['key'], row['value'])
                 for row in change.get('write', [])]
                + [(row['table'], row.get('part', ''), row['key'], None)
                   for row in change.get('remove', [])])
            return 200, self.page([])
        return 404, {}


class Server:
    """A sound plain server: it answers each request after some work."""

    def __init__(self, store, record, service, host, zone='za', slots=6, work_s=0.05):
        self.store, self.record, self.service = store, record, service
        self.host, self.zone, self.slots, self.work_s = host, zone, slots, work_s
        self.name = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.running = 0
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, SERVER_PORT)
        self.tasks.append(asyncio.create_task(self.beat()))

    def row(self):
        self.sequence += 1
        return {'service': self.service, 'address': f'{self.host}:{SERVER_PORT}',
                'zone': self.zone, 'version': '1', 'slots': self.slots,
                'state': self.state, 'coldRemainingMs': 0,
                'sequence': self.sequence, 'born': self.born}

    async def beat(self):
        await self.store.put('servers', self.name, self.row())
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            # Only the sequence would change, so the row keeps its version.
            self.sequence += 1

    def headers(self, attempt):
        return {'X-Attempt-Id': attempt, 'X-Server-Signature': f'{self.name}.1',
                'X-Server-Load': f'{self.running},0,{self.slots}',
                'Keep-Alive': 'timeout=15'}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, headers = head
                body = await read_body(reader, headers)
                if not await self.handle(first, headers, body, reader, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer left, or the case ends.
            pass
        finally:
            writer.close()

    def send(self, writer, status, headers, body=b''):
        headers = {**headers, 'Content-Length': len(body)}
        lines = [f'HTTP/1.1 {status} X', *(f'{k}: {v}' for k, v in headers.items()), '', '']
        writer.write('\r\n'.join(lines).encode('latin-1') + body)

    async def handle(self, first, headers, body, reader, writer):
        method, target, _ = first.split()
        attempt = headers.get('x-attempt-id', '')
        expected = headers.get('x-expected-instance', self.name)
        if expected != self.name:
            self.send(writer, 421, {'X-Attempt-Id': attempt, 'At-Server': self.name})
            return True
        if not attempt:
            self.send(writer, 400, {'X-Not-Executed': '1'})
            return True
        if self.running >= self.slots:
            self.send(writer, 503, {'X-Attempt-Id': attempt, 'X-Not-Executed': '1'})
            return True
        self.running += 1
        self.record.write('run', server=self.name, service=self.service, attempt=attempt,
                          method=method, target=target, body=body.decode('latin-1')[:200],
                          length=len(body),
                          headers={k: v for k, v in headers.items()
                                   if k.startswith('x-') or k == 'last-event-id'})
        try:
            return await self.run(attempt, headers, body, reader, writer)
        finally:
            self.running -= 1

    async def run(self, attempt, headers, body, reader, writer):
        await asyncio.sleep(self.work_s)
        self.send(writer, 200, self.headers(attempt), f'answer to {attempt}'.encode())
        await writer.drain()
        return True


def configuration(version, routes, services, tenants=None, **limits):
    """Build a configuration document."""
    config = {'version': version, 'routes': routes, 'services': services,
              'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                         'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000, **limits}}
    if tenants is not None:
        config['tenants'] = tenants
    return config


def route(name, host, prefix, service, kind, **fields):
    """Build a route document."""
    return {'name': name, 'host': host, 'prefix': prefix, 'service': service,
            'kind': kind, 'attempts': 2, 'timeoutMs': 4000, 'targetLatencyMs': 400,
            'priority': 1, **fields}


class Node:
    """One process of the system, with the command of the deploy file."""

    def __init__(self, store, role, folder, number=0, zone='za', host=None, bounds=None, **fields):
        self.host = host or new_host()
        self.name = f'{role}-{zone}-{number}'
        self.role, self.folder = role, Path(folder)
        self.boot = self.folder / f'{self.name}.json'
        self.boot.write_text(json.dumps({
            'nodeName': self.name, 'role': role, 'machineClass': 'edge',
            'servedRoles': ['edge'], 'ipAddress': self.host, 'zone': zone, 'region': 'ra',
            'zones': {'za': 'ra', 'zb': 'ra', 'zc': 'ra'},
            'listenAddresses': {'frontend': f'{self.host}:{CALLERS_PORT}',
                                'ready': f'{self.host}:{READY_PORT}'},
            'internalPortRange': [7340, 7355], 'seedNodes': [],
            'limits': {'cpuFraction': 0.559, 'cpuCores': 1, 'memoryMb': 222,
                       'fileDescriptors': 1535, 'linkMbps': 350.0, 'diskMb': 0},
            'dataDirectory': None, 'heartbeatIntervalMs': 1200,
            'bounds': {**BOUNDS, **(bounds or {})},
            'platform': {'address': store.address, 'form': 'table', 'rowBytes': 65536},
            **fields}))
        self.process = None

    def start(self):
        environ = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environ.update(PYTHONPATH=str(ROOT / 'target' / 'deps'), COMFREYARCH_BOOT=str(self.boot),
                       PYTHONDONTWRITEBYTECODE='1')
        self.log = open(self.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            ['python3', '-m', 'comfreyarch_platform', self.role],
            cwd=ROOT, env=environ, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def close(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def ready(self, timeout_s=15):
        """Wait until the node says that it is ready."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
                if b' 200 ' in line:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False


class Client:
    """One connection of a client to an entry."""

    def __init__(self, node, record):
        self.node, self.record = node, record

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.host, CALLERS_PORT)
        return self

    def encode(self, method, host, target, headers, body=b'', length=True):
        lines = [f'{method} {target} HTTP/1.1', f'Host: {host}',
                 *(f'{k}: {v}' for k, v in headers.items())]
        if length and (body or method == 'POST'):
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join([*lines, '', '']).encode() + body

    async def send(self, method, host, target, headers, body=b''):
        self.record.write('sent', attempt=headers.get('X-Attempt-Id'), method=method,
                          target=target, to=self.node.name)
        self.writer.write(self.encode(method, host, target, headers, body))
        await self.writer.drain()

    async def answer(self, attempt, timeout_s=10):
        """Read one answer: status, headers and body; None if it is incomplete."""
        try:
            head = await asyncio.wait_for(read_head(self.reader), timeout_s)
            if head is None:
                raise ConnectionError('no answer')
            status = int(head[0].split()[1])
            body = await asyncio.wait_for(read_body(self.reader, head[1]), timeout_s)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record.write('no answer', attempt=attempt, why=repr(error))
            return None
        self.record.write('answered', attempt=attempt, status=status,
                          signed='x-server-signature' in head[1],
                          body=body.decode('latin-1')[:120])
        return status, head[1], body

    async def ask(self, method, host, target, headers, body=b'', timeout_s=10):
        await self.send(method, host, target, headers, body)
        return await self.answer(headers.get('X-Attempt-Id'), timeout_s)

    def close(self):
        self.writer.close()


def attempt_id():
    return f'{random.getrandbits(64):016x}'


def main(case, record_path, trouble):
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(record_path)
    nodes = []
    # Ends the processes that were started here also if this one is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, trouble, nodes, scratch), 110))
        except Exception as error:
            traceback.print_exc()
            record.write('could not run', why=repr(error))
            code = 2
        else:
            code = 1 if broken else 0
        finally:
            for node in nodes:
                node.close()
            if os.environ.get('KEEP_LOGS'):
                for path in Path(scratch).glob('*.log'):
                    (Path(os.environ['KEEP_LOGS']) / path.name).write_bytes(path.read_bytes())
    record.write('result', exit=code)
    print(f'exit {code}', file=sys.stderr)
    sys.exit(code)
