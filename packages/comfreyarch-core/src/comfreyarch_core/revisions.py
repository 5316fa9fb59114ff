"""Follow the published configuration: revisions only move forward."""

from dataclasses import dataclass, field
from typing import Any

from comfreyarch_core.checking import check
from comfreyarch_core.configset import ConfigSet, RawSet

KEPT_DELTAS = 256


@dataclass(frozen=True, slots=True)
class Delta:
    """Hold one publish: what it puts and deletes at its revision."""

    revision: int
    token: str
    puts: RawSet
    deletes: dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class Advanced:
    """Tell that the node now stands at a higher revision."""

    revision: int
    config: ConfigSet


@dataclass(frozen=True, slots=True)
class Behind:
    """Tell that deltas after ``after`` are wanted."""

    after: int


def apply_delta(raw: RawSet, delta: Delta) -> RawSet:
    """Apply a delta to a raw set.

    :returns: a new raw set; the given one is unchanged.
    """
    merged = {kind: dict(table) for kind, table in raw.items()}
    for kind, table in delta.puts.items():
        merged.setdefault(kind, {}).update(table)
    for kind, names in delta.deletes.items():
        for name in names:
            merged.get(kind, {}).pop(name, None)
    return merged


def difference(old: RawSet, new: RawSet) -> tuple[RawSet, dict[str, list[str]]]:
    """Find what turns one raw set into another.

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
        gone = sorted(before.keys() - after.keys())
        if changed:
            puts[kind] = changed
        if gone:
            deletes[kind] = gone
    return puts, deletes


@dataclass(slots=True)
class Follower:
    """Keep a node's configuration and move it forward only.

    :param revision: the revision in force, 0 before the first.
    :param raw: the raw set in force.
    """

    revision: int = 0
    raw: RawSet = field(default_factory=dict)
    config: ConfigSet = field(default_factory=ConfigSet)
    deltas: dict[int, Delta] = field(default_factory=dict)

    def heard(self, revision: int) -> Behind | None:
        """Take note of a revision that someone else holds.

        :returns: what to pull, if this node is behind.
        """
        return Behind(self.revision) if revision > self.revision else None

    def receive(
        self,
        base: int,
        snapshot: RawSet | None,
        deltas: list[Delta],
    ) -> Advanced | None:
        """Take a snapshot and deltas, in any order, late or repeated.

        :param base: the snapshot's revision.
        :returns: the new state, or None if nothing moved.
        """
        start = self.revision
        if snapshot is not None and base > self.revision:
            self.raw = snapshot
            self.revision = base
        for delta in sorted(deltas, key=lambda one: one.revision):
            self.step(delta)
        if self.revision == start:
            return None
        self.config = check(self.raw).config
        return Advanced(self.revision, self.config)

    def step(self, delta: Delta) -> None:
        """Apply a delta if it is the next one."""
        if delta.revision != self.revision + 1:
            return
        self.raw = apply_delta(self.raw, delta)
        self.revision = delta.revision
        self.deltas[delta.revision] = delta
        self.deltas.pop(delta.revision - KEPT_DELTAS, None)

    def since(self, after: int) -> tuple[int, RawSet | None, list[Delta]]:
        """Give what a node at revision ``after`` needs.

        :returns: base, snapshot or None, and the deltas.
        """
        wanted = range(after + 1, self.revision + 1)
        if all(number in self.deltas for number in wanted):
            return after, None, [self.deltas[number] for number in wanted]
        return self.revision, self.raw, []


def delta_to_map(delta: Delta) -> dict[str, Any]:
    """Turn a delta into plain values.

    :returns: a map for a frame or a row.
    """
    return {
        'revision': delta.revision,
        'token': delta.token,
        'puts': delta.puts,
        'deletes': delta.deletes,
    }


def delta_from_map(raw: dict[str, Any]) -> Delta:
    """Read a delta back.

    :returns: the delta.
    """
    return Delta(raw['revision'], raw['token'], raw['puts'], raw['deletes'])
