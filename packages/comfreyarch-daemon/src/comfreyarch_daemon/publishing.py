"""Publish configuration: one transaction that moves the head."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass

from comfreyarch_core.checking import check
from comfreyarch_core.configset import RawSet
from comfreyarch_core.faults import Fault
from comfreyarch_core.revisions import (
    Delta,
    apply_delta,
    delta_from_map,
    delta_to_map,
    difference,
)
from comfreyarch_daemon.configuring import (
    CONFIG_TABLE,
    HEAD_KEY,
    REVISION_PREFIX,
    SNAPSHOT_EVERY,
    SNAPSHOT_KEY,
    head_of,
    revision_key,
)
from comfreyarch_daemon.store import (
    Ambiguous,
    Put,
    StoreClient,
    StoreError,
    TableRow,
    Unavailable,
    Written,
)

TOKEN_BYTES = 12
SETTLE_READS = 20


@dataclass(frozen=True, slots=True)
class Published:
    """Tell that the change stands at ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class Nothing:
    """Tell that there was nothing to change."""

    revision: int


@dataclass(frozen=True, slots=True)
class Raced:
    """Tell that another publisher moved the head first."""

    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Tell that the set has faults; nothing was published."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Tell that the store does not answer; ask by token later."""

    token: str
    detail: str


@dataclass(frozen=True, slots=True)
class StoreDown:
    """Tell that the store refused; nothing was published."""

    detail: str


PublishOutcome = Published | Nothing | Raced | Refused | Unsettled | StoreDown


@dataclass(frozen=True, slots=True)
class Current:
    """Hold what the store has in force."""

    revision: int
    raw: RawSet
    head: TableRow
    snapshot: TableRow


def read_current(store: StoreClient) -> Current:
    """Read head, snapshot and deltas.

    :returns: the raw set in force.
    :raises StoreError: if the store cannot be read.
    """
    head = store.read(CONFIG_TABLE, HEAD_KEY)
    snapshot = store.read(CONFIG_TABLE, SNAPSHOT_KEY)
    content = snapshot.content or {'revision': 0, 'raw': {}}
    raw: RawSet = content['raw']
    base = int(content['revision'])
    for row in store.scan(CONFIG_TABLE, REVISION_PREFIX, revision_key(base)):
        if row.content is not None and row.content['revision'] <= head_of(head):
            raw = apply_delta(raw, delta_from_map(row.content))
    return Current(head_of(head), raw, head, snapshot)


def publish(
    store: StoreClient,
    current: Current,
    wanted: RawSet,
) -> PublishOutcome:
    """Check a whole set and publish how it differs from the current.

    :param current: what the change was made from.
    :param wanted: the whole new set.
    :returns: the outcome; conflicts and lost answers are settled.
    """
    checked = check(wanted)
    if checked.faults:
        return Refused(checked.faults)
    puts, deletes = difference(current.raw, wanted)
    if not puts and not deletes:
        return Nothing(current.revision)
    revision = current.revision + 1
    token = secrets.token_hex(TOKEN_BYTES)
    delta = Delta(revision, token, puts, deletes)
    outcome = store.transact(make_puts(current, delta, wanted))
    if isinstance(outcome, Written):
        return Published(revision)
    if isinstance(outcome, Unavailable):
        return StoreDown(outcome.detail)
    if isinstance(outcome, Ambiguous):
        return settle(store, revision, token, outcome.detail)
    return settle(store, revision, token, 'conflict')


def make_puts(current: Current, delta: Delta, wanted: RawSet) -> list[Put]:
    """List the rows of one publish.

    :returns: delta, head and, now and then, a snapshot.
    """
    puts = [
        Put(
            CONFIG_TABLE,
            HEAD_KEY,
            current.head.version,
            {'revision': delta.revision, 'token': delta.token},
        ),
        Put(
            CONFIG_TABLE,
            revision_key(delta.revision),
            0,
            delta_to_map(delta),
        ),
    ]
    if delta.revision == 1 or delta.revision % SNAPSHOT_EVERY == 0:
        content = {'revision': delta.revision, 'raw': wanted}
        version = current.snapshot.version
        puts.append(Put(CONFIG_TABLE, SNAPSHOT_KEY, version, content))
    return puts


def settle(
    store: StoreClient,
    revision: int,
    token: str,
    detail: str,
) -> PublishOutcome:
    """Find out by token whether a publish took effect.

    A late transaction cannot take effect once the revision's row stands.

    :returns: published, raced, or unsettled while the store is silent.
    """
    for _ in range(SETTLE_READS):
        try:
            row = store.read(CONFIG_TABLE, revision_key(revision))
        except StoreError:
            continue
        if row.content is None:
            continue
        if row.content['token'] == token:
            return Published(revision)
        return Raced(revision)
    return Unsettled(token, detail)


def edit(
    store: StoreClient,
    change: Callable[[RawSet], RawSet],
    tries: int = 8,
) -> PublishOutcome:
    """Publish a change made from whatever is current; races are retried.

    :param change: makes the new set from the current one.
    :returns: the last outcome.
    """
    outcome: PublishOutcome = StoreDown('not tried')
    for _ in range(tries):
        try:
            current = read_current(store)
        except StoreError as error:
            return StoreDown(str(error))
        outcome = publish(store, current, change(current.raw))
        if not isinstance(outcome, Raced):
            return outcome
    return outcome
