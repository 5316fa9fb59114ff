"""Publish configuration in one transaction that advances the head."""

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
from comfreyarch_daemon.configsync import (
    CONFIG_TABLE,
    HEAD_KEY,
    REVISION_PREFIX,
    SNAPSHOT_EVERY,
    SNAPSHOT_KEY,
    head_revision,
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
# Number of reads that look for the result of an unconfirmed publish.
CONFIRM_READS = 20


@dataclass(frozen=True, slots=True)
class Published:
    """Report that the change is published as ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Report that the set equals the one at ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class RevisionTaken:
    """Report that another publisher took ``revision`` first."""

    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that the set has faults; nothing was published."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Report that the publish may or may not have taken effect.

    The store did not confirm it; ``token`` identifies it in a later read.
    """

    token: str
    detail: str


@dataclass(frozen=True, slots=True)
class StoreDown:
    """Report that the store is unavailable; nothing was published."""

    detail: str


PublishOutcome = (
    Published | Unchanged | RevisionTaken | Refused | Unconfirmed | StoreDown
)


@dataclass(frozen=True, slots=True)
class CurrentConfig:
    """Represent the current configuration and its rows in the store."""

    revision: int
    raw: RawSet
    head: TableRow
    snapshot: TableRow


def read_current_config(store: StoreClient) -> CurrentConfig:
    """Read the head and build the current set from snapshot and deltas.

    :returns: the current configuration.
    :raises StoreError: if the store cannot be read.
    """
    head = store.read(CONFIG_TABLE, HEAD_KEY)
    snapshot = store.read(CONFIG_TABLE, SNAPSHOT_KEY)
    content = snapshot.content or {'revision': 0, 'raw': {}}
    raw: RawSet = content['raw']
    base = int(content['revision'])
    for row in store.scan(CONFIG_TABLE, REVISION_PREFIX, revision_key(base)):
        if row.content is not None and row.content['revision'] <= head_revision(
            head
        ):
            raw = apply_delta(raw, delta_from_map(row.content))
    return CurrentConfig(head_revision(head), raw, head, snapshot)


def publish(
    store: StoreClient,
    current: CurrentConfig,
    wanted: RawSet,
) -> PublishOutcome:
    """Check a complete set and publish its difference from the current one.

    :param current: the configuration that the set is based on.
    :param wanted: the complete new set.
    :returns: the outcome; after a conflict or a lost answer, the store is
        read to determine it.
    """
    checked = check(wanted)
    if checked.faults:
        return Refused(checked.faults)
    puts, deletes = difference(current.raw, wanted)
    if not puts and not deletes:
        return Unchanged(current.revision)
    revision = current.revision + 1
    token = secrets.token_hex(TOKEN_BYTES)
    delta = Delta(revision, token, puts, deletes)
    outcome = store.transact(make_puts(current, delta, wanted))
    if isinstance(outcome, Written):
        return Published(revision)
    if isinstance(outcome, Unavailable):
        return StoreDown(outcome.detail)
    if isinstance(outcome, Ambiguous):
        return confirm_by_token(store, revision, token, outcome.detail)
    return confirm_by_token(store, revision, token, 'conflict')


def make_puts(
    current: CurrentConfig, delta: Delta, wanted: RawSet
) -> list[Put]:
    """Build the rows of one publish.

    :returns: the head, the delta and, at revision 1 and every
        ``SNAPSHOT_EVERY`` revisions, the snapshot.
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


def confirm_by_token(
    store: StoreClient,
    revision: int,
    token: str,
    detail: str,
) -> PublishOutcome:
    """Determine by its token whether a publish took effect.

    Once the row of the revision exists, a delayed transaction can no longer
    take effect, since it expects that the row does not exist.

    :returns: whether this or another publisher wrote the revision;
        ``Unconfirmed`` if its row cannot be read or does not exist.
    """
    for _ in range(CONFIRM_READS):
        try:
            row = store.read(CONFIG_TABLE, revision_key(revision))
        except StoreError:
            continue
        if row.content is None:
            continue
        if row.content['token'] == token:
            return Published(revision)
        return RevisionTaken(revision)
    return Unconfirmed(token, detail)


def publish_change(
    store: StoreClient,
    change: Callable[[RawSet], RawSet],
    tries: int = 8,
) -> PublishOutcome:
    """Apply a change to the current set and publish the result.

    It is retried if another publisher takes the revision first.

    :param change: returns the new set for a current one.
    :param tries: the maximum number of attempts.
    :returns: the outcome of the last attempt.
    """
    outcome: PublishOutcome = StoreDown(
        'no publish attempted; tries must be 1 or more'
    )
    for _ in range(tries):
        try:
            current = read_current_config(store)
        except StoreError as error:
            return StoreDown(str(error))
        outcome = publish(store, current, change(current.raw))
        if not isinstance(outcome, RevisionTaken):
            return outcome
    return outcome
