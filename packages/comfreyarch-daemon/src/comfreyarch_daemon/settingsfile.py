"""Notice a settings file that changes without a signal."""

from collections.abc import Callable
from pathlib import Path

import gevent

# How often the file is looked at.
LOOK_S = 1.0


class SettingsFile:
    """Look at a file now and then and call back when it changed."""

    __slots__ = ('on_change', 'path', 'seen', 'worker')

    def __init__(self, path: Path, on_change: Callable[[], None]) -> None:
        """Name the file."""
        self.path = path
        self.on_change = on_change
        self.seen = self.mark()
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start looking."""
        self.worker = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop looking."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def run(self) -> None:
        """Look for as long as this runs."""
        while True:
            gevent.sleep(LOOK_S)
            self.look()

    def look(self) -> None:
        """Call back if the file changed since the last look."""
        mark = self.mark()
        if mark is not None and mark != self.seen:
            self.seen = mark
            self.on_change()

    def mark(self) -> tuple[int, int, int] | None:
        """Tell one state of the file from another.

        :returns: inode, size and time of change; None while it is missing.
        """
        try:
            stat = self.path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_size, stat.st_mtime_ns
