"""Name the exit codes and carry errors that an operator can act on."""

import enum


class Exit(enum.IntEnum):
    """Name the exit codes of every command."""

    done = 0
    failed = 1
    faulty = 2
    raced = 3
    store_down = 4
    unsettled = 5


class CommandError(Exception):
    """Stop a command with a message and an exit code.

    :param message: what went wrong and what to do.
    """

    def __init__(self, message: str, code: Exit = Exit.failed) -> None:
        """Hold message and code."""
        super().__init__(message)
        self.code = code
