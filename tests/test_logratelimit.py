"""Test that a flood of log lines is limited and suppressed lines counted.

A reader that stops or closes the pipe must not block or end the process.
"""

import json
import os

import pytest

from comfreyarch_core.logratelimit import (
    BURST_LINES,
    LINES_PER_S,
    make_log_rate_limiter,
)
from comfreyarch_daemon.eventlog import MAX_LINE_BYTES, EventLog


def test_a_flood_of_one_event_is_bounded_and_counted():
    limiter = make_log_rate_limiter()
    results = [limiter.allow('sent', tick / 1000) for tick in range(10000)]
    written = sum(suppressed is not None for suppressed in results)
    reported = sum(suppressed or 0 for suppressed in results)
    assert written <= BURST_LINES + 10 * LINES_PER_S + 1
    assert limiter.allow('other', 10) == 0
    assert reported + limiter.allow('sent', 20) == 10000 - written


def test_a_reader_that_stops_loses_lines_and_nothing_blocks():
    reader, writer = os.pipe()
    log = EventLog('n', writer)
    for number in range(4000):
        log.write(f'event{number}', filler='x' * 200)
    assert log.dropped['reader'] > 0
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_ends_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog('n', writer)
    log.write('sent')
    assert log.dropped['reader'] == 1
    os.close(writer)


def test_a_line_is_never_longer_than_a_pipe_takes_at_once():
    reader, writer = os.pipe()
    EventLog('n', writer).write('sent', filler='x' * 10000)
    assert len(os.read(reader, 20000)) <= MAX_LINE_BYTES
    os.close(reader)
    os.close(writer)


# Fails if a long line is cut in the middle of its JSON, so that tools which read
# logs lose it.
@pytest.mark.parametrize(
    'fields',
    [
        {'why': 'x' * 10000},
        {'why': '"\\' * 10000},
        {'why': 'é' * 10000},
        {'why': 'x' * 3000, 'request': 'y' * 3000},
        {'ranks': list(range(5000))},
        {f'field{number}': number for number in range(400)},
    ],
)
def test_a_long_line_stays_valid_json(fields):
    reader, writer = os.pipe()
    EventLog('n', writer).write('sent', **fields)
    line = os.read(reader, 20000)
    assert len(line) <= MAX_LINE_BYTES
    decoded = json.loads(line)
    assert decoded['event'] == 'sent'
    assert decoded['shortened']
    os.close(reader)
    os.close(writer)
