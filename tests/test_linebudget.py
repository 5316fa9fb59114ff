"""Log lines stay bounded under a flood, and say what was left out."""

import os

from comfreyarch_core.linebudget import (
    BURST_LINES,
    LINES_A_SECOND,
    make_line_budget,
)
from comfreyarch_daemon.eventlog import LONGEST_LINE, EventLog


def test_a_flood_of_one_event_is_bounded_and_counted():
    budget = make_line_budget()
    takes = [budget.take('sent', tick / 1000) for tick in range(10000)]
    written = sum(take is not None for take in takes)
    told = sum(take or 0 for take in takes)
    assert written <= BURST_LINES + 10 * LINES_A_SECOND + 1
    assert budget.take('other', 10) == 0
    assert told + budget.take('sent', 20) == 10000 - written


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
    assert len(os.read(reader, 20000)) <= LONGEST_LINE
    os.close(reader)
    os.close(writer)
