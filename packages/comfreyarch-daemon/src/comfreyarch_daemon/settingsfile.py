"""Detect changes of a settings file that come without a signal."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import gevent

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.settings import SettingsError
from comfreyarch_daemon.supervision import spawn_loop

POLL_INTERVAL_S = 1.0
Settings = TypeVar('Settings')


def reread_settings(
    read: Callable[[Path], Settings], path: Path, log: EventLog
) -> Settings | None:
    """Read a settings file again.

    :param read: reads the file.
    :returns: the settings, None if they cannot be used, which is logged.
    """
    try:
        return read(path)
    except SettingsError as error:
        log.write('reload_failed', why=str(error))
        return None


class SettingsFileWatcher:
    """Poll a file and call back when it changed."""

    __slots__ = ('last_fingerprint', 'on_change', 'path', 'worker')

    def __init__(self, path: Path, on_change: Callable[[], None]) -> None:
        """Record the current state of the file."""
        self.path = path
        self.on_change = on_change
        self.last_fingerprint = self.fingerprint()
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start polling."""
        self.worker = spawn_loop('settings file', self.run)

    def close(self) -> None:
        """Stop polling."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def run(self) -> None:
        """Poll until closed."""
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Call back if the file changed since the last check."""
        current = self.fingerprint()
        if current is not None and current != self.last_fingerprint:
            self.last_fingerprint = current
            self.on_change()

    def fingerprint(self) -> tuple[int, int, int] | None:
        """Identify the current state of the file.

        :returns: inode, size and modification time; None if it is missing.
        """
        try:
            stat = self.path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_size, stat.st_mtime_ns
