"""Run a node as a process: signal handling, and exit on bad settings."""

import gc
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

import gevent
from gevent.event import Event

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.settings import SettingsError
from comfreyarch_daemon.supervision import (
    failure_reports,
    make_event_reporter,
)

EXIT_SETTINGS = 2
# Most objects are short-lived, so full collections would only cost time.
GC_THRESHOLDS = (20_000, 20, 20)


@dataclass(frozen=True, slots=True)
class NodeControls:
    """Hold the functions that start, stop and reload a node.

    :param terminate: begins a planned stop; ``stopped`` is set at its end.
    :param reload: reads the settings again.
    """

    log: EventLog
    metrics: Metrics
    start: Callable[[], None]
    terminate: Callable[[], None]
    reload: Callable[[], None]
    stopped: Event


def run_node(build: Callable[[], NodeControls]) -> None:
    """Run a node until SIGTERM or SIGINT stops it; SIGHUP reloads it.

    :param build: creates the node; none of it runs before its ``start``.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        node = build()
    except (SettingsError, OSError) as error:
        exit_with_error(error)
    failure_reports.report = make_event_reporter(node.log, node.metrics)
    gevent.signal_handler(signal.SIGTERM, node.terminate)
    gevent.signal_handler(signal.SIGINT, node.terminate)
    gevent.signal_handler(signal.SIGHUP, node.reload)
    try:
        node.start()
    except OSError as error:
        exit_with_error(error)
    node.stopped.wait()


def exit_with_error(error: Exception) -> NoReturn:
    """Print a startup error and exit with ``EXIT_SETTINGS``.

    :raises SystemExit: always.
    """
    sys.stderr.write(f'comfreyarch: {error}\n')
    sys.exit(EXIT_SETTINGS)
