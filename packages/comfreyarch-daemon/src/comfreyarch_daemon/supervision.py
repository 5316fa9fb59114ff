"""Run the background loops of a process, and start them again after errors.

A loop that ends on an unexpected error would leave a process that looks sound
but no longer reads a table, sends its load or serves a queue.
"""

import sys
import traceback
from collections.abc import Callable

import gevent

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import boot_time

# Pause before a loop starts again; each further pause is twice as long.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0
# A loop that ran for this long starts again after the first pause.
SOUND_RUN_S = 30.0
# Frames of a trace that are logged, the innermost ones.
MAX_TRACE_FRAMES = 8

FailureReporter = Callable[[str, Exception], None]


def print_failure(name: str, error: Exception) -> None:
    """Print an unexpected error to standard error."""
    sys.stderr.write(f'comfreyarch: {name} failed: {format_trace(error)}\n')


class FailureReports:
    """Hold how this process reports unexpected errors.

    :param report: called with the name of the part and its error.
    """

    __slots__ = ('report',)

    def __init__(self) -> None:
        """Print errors until the process has set up its log."""
        self.report: FailureReporter = print_failure


# There is one log per process, and loops start before some have access to it.
failure_reports = FailureReports()


class EventReporter:
    """Write an event for each unexpected error, and count them by part."""

    __slots__ = ('log', 'metrics')

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        """Report to the log and the metrics of a node."""
        self.log = log
        self.metrics = metrics

    def report(self, name: str, error: Exception) -> None:
        """Report the error of a part."""
        self.log.write('part_failed', part=name, why=format_trace(error))
        self.metrics.count('part_failures', part=name)


def make_event_reporter(log: EventLog, metrics: Metrics) -> FailureReporter:
    """Create a reporter that writes an event and counts by part.

    :returns: the reporter, for ``failure_reports.report``.
    """
    return EventReporter(log, metrics).report


def format_trace(error: Exception) -> str:
    """Format an error with the innermost frames of its trace.

    :returns: text of several lines.
    """
    return ''.join(
        traceback.format_exception(error, limit=-MAX_TRACE_FRAMES)
    ).strip()


def spawn_loop(name: str, run: Callable[[], None]) -> gevent.Greenlet:
    """Run a loop in a greenlet until it returns or the greenlet is killed.

    :param name: part of the process, for logs and metrics.
    :param run: the loop; it is called again after an unexpected error.
    :returns: the greenlet.
    """
    return gevent.spawn(supervise, name, run)


def supervise(name: str, run: Callable[[], None]) -> None:
    """Call a function until it returns, with a growing pause after errors."""
    pause_s = FIRST_PAUSE_S
    while True:
        started_at = boot_time()
        try:
            run()
        except Exception as error:
            failure_reports.report(name, error)
        else:
            return
        if boot_time() - started_at >= SOUND_RUN_S:
            pause_s = FIRST_PAUSE_S
        gevent.sleep(pause_s)
        pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
