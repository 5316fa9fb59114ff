"""Track the published configuration, whose revision never decreases."""

from dataclasses import dataclass, field
from typing import Any

from comfreyarch_core.checking import check
from comfreyarch_core.configset import ConfigSet, RawSet

# Deltas kept for nodes that are behind; nodes further behind get a snapshot.
MAX_DELTAS = 256


@dataclass(frozen=True, slots=True)
class Delta:
    """Objects that one publish puts and deletes.

    :param token: unique to the publish, to recognise it after a write whose
        outcome was unknown.
    """

    revision: int
    token: str
    puts: RawSet
    deletes: dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class Advanced:
    """Report that the node has moved to a higher revision."""

    revision: int
    config: ConfigSet


@dataclass(frozen=True, slots=True)
class MissingDeltas:
    """Report that the deltas after revision ``after`` are missing."""

    after: int


def apply_delta(raw: RawSet, delta: Delta) -> RawSet:
    """Apply a delta to a raw set.

    :returns: a new raw set; ``raw`` is not modified.
    """
    merged = {kind: dict(table) for kind, table in raw.items()}
    for kind, table in delta.puts.items():
        merged.setdefault(kind, {}).update(table)
    for kind, names in delta.deletes.items():
        for name in names:
            merged.get(kind, {}).pop(name, None)
    return merged


def difference(old: RawSet, new: RawSet) -> tuple[RawSet, dict[str, list[str]]]:
    """Compute the changes that turn one raw set into another.

    :returns: the puts and the deletes.
    """
    puts: RawSet = {}
    deletes: dict[str, list[str]] = {}
    for kind in sorted(old.keys() | new.keys()):
        before = old.get(kind, {})
        after = new.get(kind, {})
        changed = {
            name: raw for name, raw in after.items() if before.get(name) != raw
        }
        deleted = sorted(before.keys() - after.keys())
        if changed:
            puts[kind] = changed
        if deleted:
            deletes[kind] = deleted
    return puts, deletes


@dataclass(slots=True)
class Follower:
    """Hold a node's configuration and apply newer revisions to it.

    :param revision: the current revision, 0 before the first.
    :param raw: the current raw set.
    :param config: the current set, checked and typed.
    :param deltas: recent deltas by revision, to answer peers.
    """

    revision: int = 0
    raw: RawSet = field(default_factory=dict)
    config: ConfigSet = field(default_factory=ConfigSet)
    deltas: dict[int, Delta] = field(default_factory=dict)

    def check_revision(self, revision: int) -> MissingDeltas | None:
        """Compare the current revision with one that a peer or the store has.

        :returns: what to pull if this node is behind, else None.
        """
        return (
            MissingDeltas(self.revision) if revision > self.revision else None
        )

    def receive(
        self,
        base: int,
        snapshot: RawSet | None,
        deltas: list[Delta],
    ) -> Advanced | None:
        """Apply a snapshot and deltas that may be out of order or repeated.

        :param base: the snapshot's revision.
        :returns: the new state, or None if the revision is unchanged.
        """
        previous = self.revision
        if snapshot is not None and base > self.revision:
            self.raw = snapshot
            self.revision = base
        for delta in sorted(deltas, key=lambda change: change.revision):
            self.apply_next(delta)
        if self.revision == previous:
            return None
        self.config = check(self.raw).config
        return Advanced(self.revision, self.config)

    def apply_next(self, delta: Delta) -> None:
        """Apply a delta if it follows the current revision."""
        if delta.revision != self.revision + 1:
            return
        self.raw = apply_delta(self.raw, delta)
        self.revision = delta.revision
        self.deltas[delta.revision] = delta
        self.deltas.pop(delta.revision - MAX_DELTAS, None)

    def changes_since(
        self, after: int
    ) -> tuple[int, RawSet | None, list[Delta]]:
        """Return the changes that a node at revision ``after`` is missing.

        :returns: base revision, snapshot and deltas; the snapshot is None if
            all missing deltas are kept.
        """
        missing = range(after + 1, self.revision + 1)
        if all(number in self.deltas for number in missing):
            return after, None, [self.deltas[number] for number in missing]
        return self.revision, self.raw, []


def delta_to_map(delta: Delta) -> dict[str, Any]:
    """Convert a delta to plain values.

    :returns: a map for a frame or a store row.
    """
    return {
        'revision': delta.revision,
        'token': delta.token,
        'puts': delta.puts,
        'deletes': delta.deletes,
    }


def delta_from_map(raw: dict[str, Any]) -> Delta:
    """Convert a map from ``delta_to_map`` back to a delta.

    :returns: the delta.
    """
    return Delta(raw['revision'], raw['token'], raw['puts'], raw['deletes'])
