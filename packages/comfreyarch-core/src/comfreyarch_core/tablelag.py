"""Decide when to request a table from a peer that knows more of it.

Peers state the newest row that they know. A table that is behind for a moment
gets the row with its own poll; one that stays behind may not be answered by
the store, so it is requested from the peer.
"""

from dataclasses import dataclass

# Time that a table may lag behind that of a peer before it is requested, and
# again after each further such time. It is longer than the pause after which a
# watch polls again.
MAX_TABLE_LAG_S = 0.35


@dataclass(slots=True)
class TableLag:
    """Describe a table of which a peer knows more.

    :param newest: position of the newest row that a peer knows.
    :param address: address of that peer.
    :param due_at: time at which the table is requested if it still lags.
    :param requests: number of requests sent.
    """

    newest: int
    address: str
    due_at: float
    requests: int = 0

    def update(self, newest: int, address: str) -> None:
        """Record what another peer knows; the one that knows most counts."""
        if newest >= self.newest:
            self.newest = newest
            self.address = address

    def record_request(self, now: float) -> None:
        """Record that the table was requested."""
        self.requests += 1
        self.due_at = now + MAX_TABLE_LAG_S


def make_table_lag(newest: int, address: str, now: float) -> TableLag:
    """Create the lag of a table behind that of a peer.

    :param newest: position of the newest row that the peer knows.
    :returns: a lag without requests.
    """
    return TableLag(newest, address, now + MAX_TABLE_LAG_S)
