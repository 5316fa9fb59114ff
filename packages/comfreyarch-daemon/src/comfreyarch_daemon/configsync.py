"""Synchronize a node's configuration from the store and from peers."""

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
# Zero-padded width of the revision in a row key.
REVISION_DIGITS = 12
# Number of revisions from one snapshot to the next.
SNAPSHOT_EVERY = 32


def revision_key(revision: int) -> str:
    """Return the row key of a revision.

    :returns: the key; keys sort as text in the order of the revisions.
    """
    return f'{REVISION_PREFIX}{revision:0{REVISION_DIGITS}d}'


def head_revision(row: TableRow) -> int:
    """Return the revision in the head row.

    :returns: the revision, 0 before the first publish.
    """
    return int((row.content or {}).get('revision', 0))


class ConfigSynchronizer:
    """Advance a node's configuration to newer revisions.

    :param highest_head: highest revision read from the head row.
    :param on_advance: called with the new configuration after each advance.
    """

    __slots__ = ('follower', 'highest_head', 'on_advance', 'store')

    def __init__(
        self,
        store: StoreClient,
        on_advance: Callable[[Advanced], None],
    ) -> None:
        """Start without a configuration, at revision 0."""
        self.store = store
        self.follower = Follower()
        self.on_advance = on_advance
        self.highest_head = 0

    def revision(self) -> int:
        """Return the current revision.

        :returns: the revision, 0 without a configuration.
        """
        return self.follower.revision

    def poll(self) -> None:
        """Read the head revision and pull the missing revisions.

        :raises StoreError: if the store cannot be read.
        """
        head = head_revision(self.store.read(CONFIG_TABLE, HEAD_KEY))
        self.highest_head = max(self.highest_head, head)
        if self.follower.check_revision(head) is not None:
            self.pull()

    def pull(self) -> None:
        """Pull the missing deltas from the store.

        A node without a configuration reads the snapshot first.

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
        self.apply(base, snapshot, deltas)

    def apply(
        self,
        base: int,
        snapshot: dict[str, Any] | None,
        deltas: list[Delta],
    ) -> None:
        """Apply a snapshot and deltas from the store or a peer."""
        advanced = self.follower.receive(base, snapshot, deltas)
        if advanced is not None:
            self.on_advance(advanced)

    def apply_push(self, frame: frames.Pushed) -> None:
        """Apply the configuration that a peer sent."""
        deltas = [delta_from_map(raw) for raw in frame.deltas]
        self.apply(frame.base, frame.snapshot, deltas)

    def answer_pull(
        self,
        frame: frames.Pull,
        instances: Iterable[Instance] = (),
    ) -> frames.Pushed:
        """Answer a peer that pulls newer revisions.

        :param instances: the instance list of this node.
        :returns: the deltas, or a snapshot if they are no longer held.
        """
        base, snapshot, deltas = self.follower.changes_since(frame.after)
        packed = [delta_to_map(delta) for delta in deltas]
        listed = (
            [asdict(instance) for instance in instances]
            if frame.listing
            else []
        )
        return frames.Pushed(base, snapshot, packed, listed)

    def try_poll(self) -> bool:
        """Poll and catch store errors.

        :returns: False if the store cannot be read.
        """
        try:
            self.poll()
        except StoreError:
            return False
        return True
