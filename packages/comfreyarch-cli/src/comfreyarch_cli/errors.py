"""Exit codes and the error that ends a command."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all commands.

    ``faulty``: the configuration has faults. ``raced``: another publisher was
    first. ``store_down``: the store is unavailable; nothing was published.
    ``unsettled``: whether the change was published is unknown. ``failed``: any
    other error.
    """

    done = 0
    failed = 1
    faulty = 2
    raced = 3
    store_down = 4
    unsettled = 5


class CommandError(Exception):
    """End a command with a message and an exit code.

    :param message: the failure and the remedy.
    """

    def __init__(self, message: str, code: ExitCode = ExitCode.failed) -> None:
        """Set message and exit code."""
        super().__init__(message)
        self.code = code
