"""Run a node as a process: its settings' faults, signals and end."""

import gc
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

import gevent
from gevent.event import Event

from comfreyarch_daemon.settings import SettingsError

EXIT_SETTINGS = 2
# Few objects live long in a node; full collections would only cost time.
GC_THRESHOLDS = (20_000, 20, 20)


@dataclass(frozen=True, slots=True)
class Running:
    """Hold what a process needs of its node.

    :param terminate: begins a planned stop, which ends with ``stopped``.
    """

    start: Callable[[], None]
    terminate: Callable[[], None]
    reload: Callable[[], None]
    stopped: Event


def run_node(build: Callable[[], Running]) -> None:
    """Run a node until a signal stops it.

    :param build: makes the node; nothing runs before its ``start``.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        node = build()
    except (SettingsError, OSError) as error:
        leave(error)
    gevent.signal_handler(signal.SIGTERM, node.terminate)
    gevent.signal_handler(signal.SIGINT, node.terminate)
    gevent.signal_handler(signal.SIGHUP, node.reload)
    try:
        node.start()
    except OSError as error:
        leave(error)
    node.stopped.wait()


def leave(error: Exception) -> NoReturn:
    """End the process: its settings cannot be used.

    :raises SystemExit: always.
    """
    sys.stderr.write(f'comfreyarch: {error}\n')
    sys.exit(EXIT_SETTINGS)
