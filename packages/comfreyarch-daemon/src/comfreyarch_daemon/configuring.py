"""Keep a node's configuration up to date from the store and from peers."""

from collections.abc import Callable, Iterable
from dataclasses import asdict
from typing import Any

from comfreyarch_core import frames
from comfreyarch_core.revisions import (
    Advanced,
    Delta,
    Follower,
    delta_from_map,
    delta_to_map,
)
from comfreyarch_daemon.store import (
    Instance,
    StoreClient,
    StoreError,
    TableRow,
)

CONFIG_TABLE = 'config'
HEAD_KEY = 'head'
SNAPSHOT_KEY = 'snapshot'
REVISION_PREFIX = 'revision/'
REVISION_DIGITS = 12
SNAPSHOT_EVERY = 32


def revision_key(revision: int) -> str:
    """Give the row key of a revision, in order as text.

    :returns: the key.
    """
    return f'{REVISION_PREFIX}{revision:0{REVISION_DIGITS}d}'


def head_of(row: TableRow) -> int:
    """Read the head revision out of its row.

    :returns: 0 before the first publish.
    """
    return int((row.content or {}).get('revision', 0))


class ConfigKeeper:
    """Move one node's configuration forward.

    :param on_advance: called after each move, with the new state.
    """

    __slots__ = ('follower', 'highest', 'on_advance', 'store')

    def __init__(
        self,
        store: StoreClient,
        on_advance: Callable[[Advanced], None],
    ) -> None:
        """Start at revision 0."""
        self.store = store
        self.follower = Follower()
        self.on_advance = on_advance
        self.highest = 0

    def revision(self) -> int:
        """Give the revision in force.

        :returns: 0 before the first.
        """
        return self.follower.revision

    def poll(self) -> None:
        """Read the head and pull what is missing.

        :raises StoreError: if the store cannot be read.
        """
        head = head_of(self.store.read(CONFIG_TABLE, HEAD_KEY))
        self.highest = max(self.highest, head)
        if self.follower.check_revision(head) is not None:
            self.pull()

    def pull(self) -> None:
        """Pull deltas from the store, the snapshot first where needed.

        :raises StoreError: if the store cannot be read.
        """
        base, snapshot = 0, None
        if self.follower.revision == 0:
            row = self.store.read(CONFIG_TABLE, SNAPSHOT_KEY)
            if row.content is not None:
                base = row.content['revision']
                snapshot = row.content['raw']
        after = revision_key(max(base, self.follower.revision))
        rows = self.store.scan(CONFIG_TABLE, REVISION_PREFIX, after)
        deltas = [
            delta_from_map(row.content)
            for row in rows
            if row.content is not None
        ]
        self.take(base, snapshot, deltas)

    def take(
        self,
        base: int,
        snapshot: dict[str, Any] | None,
        deltas: list[Delta],
    ) -> None:
        """Take what the store or a peer gave."""
        advanced = self.follower.receive(base, snapshot, deltas)
        if advanced is not None:
            self.on_advance(advanced)

    def pushed(self, frame: frames.Pushed) -> None:
        """Take what a peer gave."""
        deltas = [delta_from_map(raw) for raw in frame.deltas]
        self.take(frame.base, frame.snapshot, deltas)

    def answer(
        self,
        frame: frames.Pull,
        instances: Iterable[Instance] = (),
    ) -> frames.Pushed:
        """Answer a peer that is behind.

        :param instances: this node's instance list.
        :returns: the deltas, or a snapshot where they are gone.
        """
        base, snapshot, deltas = self.follower.changes_since(frame.after)
        packed = [delta_to_map(delta) for delta in deltas]
        listed = [asdict(one) for one in instances] if frame.listing else []
        return frames.Pushed(base, snapshot, packed, listed)

    def try_poll(self) -> bool:
        """Poll without an error.

        :returns: False if the store could not be read.
        """
        try:
            self.poll()
        except StoreError:
            return False
        return True
