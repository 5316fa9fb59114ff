"""Define the tables that a node copies from a store, and who uses them."""

from typing import Protocol

from comfreyarch_core.tabletracker import Change, TableState


class StoreCallFailed(Exception):
    """Report that a call to the store failed, and why."""


class HistoryGone(Exception):
    """Report that the store no longer has the requested changes."""


class TableSource(Protocol):
    """Read one table of a store; implemented by a platform adapter."""

    def read(self) -> TableState:
        """Read the whole table.

        :raises StoreCallFailed: if the store does not answer.
        """

    def changes(self, after: int, wait_s: float) -> TableState:
        """Wait for changes after a version.

        :param wait_s: long-poll timeout.
        :raises StoreCallFailed: if the store does not answer.
        :raises HistoryGone: if a full read is needed.
        """

    def close(self) -> None:
        """Close the connection; a call in flight fails."""


class TableListener(Protocol):
    """Receive the changes and store outages that a watch detects."""

    def apply_change(self, change: Change) -> None:
        """Apply rows that changed or were removed."""

    def store_lost(self) -> None:
        """Handle the start of a store outage."""

    def store_back(self) -> None:
        """Handle the end of a store outage."""
