"""Measure what entry and sidecar add to a direct call."""

import tempfile
import time
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from bench.lines import emit
from bench.processes import cpu_s, resident_mb
from standins import calling
from standins.launcher import Fleet, NodeAt
from standins.scenes import make_fleet, start_all

REQUESTS = 600
STREAMS = 32
TOKENS = 250
OPEN_STREAMS = 200
TEAM = 'estudantes'
MS = 1000


def percentile(values: list[float], share: float) -> float:
    """Give a percentile."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def time_calls(port: int, count: int) -> list[float]:
    """Time small whole answers, one after another, on one connection.

    :returns: milliseconds each.
    """
    client = HTTPClient('127.0.0.1', port, network_timeout=10)
    body = calling.chat_body('bench', 1, stream=False)
    headers = calling.chat_headers(TEAM, 20_000)
    took: list[float] = []
    for _ in range(count):
        began = time.perf_counter()
        response = client.request('POST', '/v1/chat/completions', body, headers)
        response.read()
        took.append((time.perf_counter() - began) * MS)
    client.close()
    return took


def pid_of(node: NodeAt) -> int:
    """Give a node's process."""
    if node.process is None:
        raise RuntimeError('not started')
    return node.process.child.pid


def measure_requests(fleet: Fleet, entry: NodeAt, sidecar: NodeAt) -> None:
    """Measure added latency and processor time a request."""
    for port in (fleet.engines[0], entry.callers):
        time_calls(port, 50)
    direct: list[float] = []
    through: list[float] = []
    before = [cpu_s(pid_of(one)) for one in (entry, sidecar)]
    for _ in range(6):
        direct += time_calls(fleet.engines[0], REQUESTS // 6)
        through += time_calls(entry.callers, REQUESTS // 6)
    for share, name in ((0.5, 'p50'), (0.99, 'p99')):
        added = percentile(through, share) - percentile(direct, share)
        base = percentile(direct, share)
        emit('path', 'whole answer', f'added {name}', 'ms', added, base)
    for one, former in zip((entry, sidecar), before, strict=True):
        spent = (cpu_s(pid_of(one)) - former) / REQUESTS * MS
        emit('path', one.role, 'processor time a request', 'ms', spent, 1)


def measure_tokens(fleet: Fleet, entry: NodeAt, sidecar: NodeAt) -> None:
    """Measure processor time a streamed token, paced by lock-step."""
    before = [cpu_s(pid_of(one)) for one in (entry, sidecar)]
    jobs = [
        gevent.spawn(
            calling.chat,
            entry.callers,
            TEAM,
            f'stream{number}',
            TOKENS,
            stream=True,
        )
        for number in range(STREAMS)
    ]
    gevent.joinall(jobs)
    whole = sum(
        job.value.body
        == calling.expected(f'stream{number}', TOKENS, stream=True)
        for number, job in enumerate(jobs)
    )
    emit('path', 'streams', 'whole', 'answers', whole, STREAMS)
    for one, former in zip((entry, sidecar), before, strict=True):
        spent = (cpu_s(pid_of(one)) - former) / (STREAMS * TOKENS) * MS * MS
        emit('path', one.role, 'processor time a token', 'us', spent, 50)


def measure_memory(entry: NodeAt, sidecar: NodeAt) -> None:
    """Measure resident memory idle and with streams open."""
    idle = [resident_mb(pid_of(one)) for one in (entry, sidecar)]
    streams = [
        calling.OpenStream(entry.callers, TEAM, f'open{number}', 5000)
        for number in range(OPEN_STREAMS)
    ]
    for stream in streams:
        stream.event()
    for one, former in zip((entry, sidecar), idle, strict=True):
        emit('path', one.role, 'resident idle', 'MB', former)
        grown = (resident_mb(pid_of(one)) - former) / OPEN_STREAMS * 1024
        emit('path', one.role, 'resident an open stream', 'KB', grown)
    for stream in streams:
        stream.close()


def run(step_ms: float, *measures: str) -> None:
    """Start one entry, one sidecar, one engine and measure."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(Path(folder), 1, 0, 1, step_ms)
        try:
            start_all(fleet, 1, 0, slots=512)
            entry = fleet.nodes['entry-0']
            sidecar = fleet.nodes['side-redator-0']
            if 'requests' in measures:
                measure_requests(fleet, entry, sidecar)
            if 'tokens' in measures:
                measure_tokens(fleet, entry, sidecar)
            if 'memory' in measures:
                measure_memory(entry, sidecar)
        finally:
            fleet.close()


def main() -> None:
    """Measure all."""
    run(0, 'requests')
    run(10, 'tokens', 'memory')


if __name__ == '__main__':
    main()
