"""Measure the overhead of entry and sidecar over a direct call."""

import tempfile
import time
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from bench.figures import emit
from bench.processes import read_cpu_s, read_resident_mb
from standins import callerclient
from standins.fleetsetup import make_fleet, start_nodes
from standins.launcher import Fleet, FleetNode

REQUESTS = 600
STREAMS = 32
TOKENS_PER_STREAM = 250
OPEN_STREAMS = 200
TEAM = 'estudantes'
# Its square is the number of microseconds in a second.
MS_PER_S = 1000


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile.

    :param fraction: the percentile as a number from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def time_calls(port: int, count: int) -> list[float]:
    """Measure sequential short, unstreamed calls on one connection.

    :returns: latencies in milliseconds.
    """
    client = HTTPClient('127.0.0.1', port, network_timeout=10)
    body = callerclient.chat_body('bench', 1, stream=False)
    headers = callerclient.chat_headers(TEAM, 20_000)
    latencies_ms: list[float] = []
    for _ in range(count):
        started_at = time.perf_counter()
        response = client.request('POST', '/v1/chat/completions', body, headers)
        response.read()
        latencies_ms.append((time.perf_counter() - started_at) * MS_PER_S)
    client.close()
    return latencies_ms


def get_pid(node: FleetNode) -> int:
    """Return the process identifier of a node."""
    if node.process is None:
        raise RuntimeError(f'node {node.name} has no process: start it first')
    return node.process.child.pid


def measure_requests(
    fleet: Fleet, entry: FleetNode, sidecar: FleetNode
) -> None:
    """Measure added latency and processor time per request."""
    for port in (fleet.engines[0], entry.callers):
        time_calls(port, 50)
    direct_ms: list[float] = []
    proxied_ms: list[float] = []
    before = [read_cpu_s(get_pid(node)) for node in (entry, sidecar)]
    for _ in range(6):
        direct_ms += time_calls(fleet.engines[0], REQUESTS // 6)
        proxied_ms += time_calls(entry.callers, REQUESTS // 6)
    for fraction, name in ((0.5, 'p50'), (0.99, 'p99')):
        added_ms = percentile(proxied_ms, fraction) - percentile(
            direct_ms, fraction
        )
        base_ms = percentile(direct_ms, fraction)
        emit(
            'path',
            'whole answer',
            f'added {name}',
            'ms',
            added_ms,
            base_ms,
        )
    for node, previous in zip((entry, sidecar), before, strict=True):
        cpu_ms = (read_cpu_s(get_pid(node)) - previous) / REQUESTS * MS_PER_S
        emit('path', node.role, 'processor time a request', 'ms', cpu_ms, 1)


def measure_tokens(fleet: Fleet, entry: FleetNode, sidecar: FleetNode) -> None:
    """Measure processor time per streamed token at the engine's step rate."""
    before = [read_cpu_s(get_pid(node)) for node in (entry, sidecar)]
    greenlets = [
        gevent.spawn(
            callerclient.chat,
            entry.callers,
            TEAM,
            f'stream{number}',
            TOKENS_PER_STREAM,
            stream=True,
        )
        for number in range(STREAMS)
    ]
    gevent.joinall(greenlets)
    correct_count = sum(
        job.value.body
        == callerclient.make_expected_body(
            f'stream{number}', TOKENS_PER_STREAM, stream=True
        )
        for number, job in enumerate(greenlets)
    )
    emit('path', 'streams', 'whole', 'answers', correct_count, STREAMS)
    for node, previous in zip((entry, sidecar), before, strict=True):
        cpu_us = (
            (read_cpu_s(get_pid(node)) - previous)
            / (STREAMS * TOKENS_PER_STREAM)
            * MS_PER_S
            * MS_PER_S
        )
        emit('path', node.role, 'processor time a token', 'us', cpu_us, 50)


def measure_memory(entry: FleetNode, sidecar: FleetNode) -> None:
    """Measure resident memory when idle and per open stream."""
    idle = [read_resident_mb(get_pid(node)) for node in (entry, sidecar)]
    streams = [
        callerclient.OpenStream(entry.callers, TEAM, f'open{number}', 5000)
        for number in range(OPEN_STREAMS)
    ]
    for stream in streams:
        stream.read_event()
    for node, previous in zip((entry, sidecar), idle, strict=True):
        emit('path', node.role, 'resident idle', 'MB', previous)
        growth_kb = (
            (read_resident_mb(get_pid(node)) - previous) / OPEN_STREAMS * 1024
        )
        emit('path', node.role, 'resident an open stream', 'KB', growth_kb)
    for stream in streams:
        stream.close()


def run_measurements(step_ms: float, *measurements: str) -> None:
    """Run measurements on one entry, one sidecar and one engine.

    :param step_ms: step time of the engine, 0 for immediate answers.
    :param measurements: ``requests``, ``tokens`` or ``memory``.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(Path(folder), 1, 0, 1, step_ms)
        try:
            start_nodes(fleet, 1, 0, slots=512)
            entry = fleet.nodes['entry-0']
            sidecar = fleet.nodes['side-redator-0']
            if 'requests' in measurements:
                measure_requests(fleet, entry, sidecar)
            if 'tokens' in measurements:
                measure_tokens(fleet, entry, sidecar)
            if 'memory' in measurements:
                measure_memory(entry, sidecar)
        finally:
            fleet.close()


def main() -> None:
    """Measure the overhead on latency, processor time and memory."""
    run_measurements(0, 'requests')
    run_measurements(10, 'tokens', 'memory')


if __name__ == '__main__':
    main()
