"""Change the published configuration: publish, stop, resume, release."""

from collections.abc import Callable
from pathlib import Path

from comfreyarch_cli.access import list_instances, read_pages
from comfreyarch_cli.errors import CommandError, Exit
from comfreyarch_cli.output import print_faults, print_line
from comfreyarch_cli.parsing import check_files
from comfreyarch_core.configset import RawSet
from comfreyarch_core.revisions import difference
from comfreyarch_daemon.publishing import (
    CurrentConfig,
    Published,
    PublishOutcome,
    Refused,
    RevisionTaken,
    StoreDown,
    Unchanged,
    publish,
    publish_change,
    read_current_config,
)
from comfreyarch_daemon.store import StoreClient, StoreError

SYSTEM_KINDS = ('stops', 'quarantines')


def load_set(paths: list[Path]) -> RawSet:
    """Read and check files.

    :returns: the raw set.
    :raises CommandError: after printing all faults.
    """
    raw, checked = check_files(paths)
    if checked.faults:
        print_faults(checked.faults)
        count = len(checked.faults)
        noun = 'fault' if count == 1 else 'faults'
        raise CommandError(f'{count} {noun}; nothing published', Exit.faulty)
    return raw


def read_store(store: StoreClient) -> CurrentConfig:
    """Read what is in force.

    :raises CommandError: if the store cannot be read.
    """
    try:
        return read_current_config(store)
    except StoreError as error:
        raise CommandError(f'store: {error}', Exit.store_down) from error


def keep_system_kinds(raw: RawSet, current: RawSet) -> RawSet:
    """Keep planned stops and quarantines unless the files name them.

    :returns: the set to publish.
    """
    kept = {
        kind: current[kind]
        for kind in SYSTEM_KINDS
        if kind in current and kind not in raw
    }
    return {**raw, **kept}


def publish_files(
    store: StoreClient,
    paths: list[Path],
    expected: int | None,
) -> int:
    """Publish files as the whole set.

    :param expected: the revision it must be based on, None for any.
    :returns: the revision in force.
    :raises CommandError: if it was not published.
    """
    raw = load_set(paths)
    current = read_store(store)
    if expected is not None and current.revision != expected:
        raise CommandError(
            f'head is {current.revision}, not {expected}; diff and try again',
            Exit.raced,
        )
    wanted = keep_system_kinds(raw, current.raw)
    return finish(store, publish(store, current, wanted))


def change_set(
    store: StoreClient,
    change: Callable[[RawSet], RawSet],
) -> int:
    """Publish a change of whatever is in force.

    :returns: the revision in force.
    :raises CommandError: if it was not published.
    """
    return finish(store, publish_change(store, change))


def finish(store: StoreClient, outcome: PublishOutcome) -> int:
    """Tell the outcome of a publish and wake the nodes.

    :returns: the revision in force.
    :raises CommandError: if it was not published.
    """
    match outcome:
        case Published(revision):
            wake_nodes(store)
            print_line(f'revision {revision} published')
            return revision
        case Unchanged(revision):
            print_line(f'nothing to change; revision {revision}')
            return revision
        case RevisionTaken(revision):
            raise CommandError(
                f'another publish took revision {revision}; try again',
                Exit.raced,
            )
        case Refused(faults):
            print_faults(faults)
            raise CommandError('set has faults', Exit.faulty)
        case StoreDown(detail):
            raise CommandError(
                f'store: {detail}; nothing published, try later',
                Exit.store_down,
            )
    raise CommandError(
        f'store silent; run status and look for token {outcome.token}',
        Exit.unsettled,
    )


def wake_nodes(store: StoreClient) -> None:
    """Ask all nodes to read the head now; who misses it polls."""
    try:
        instances = list_instances(store)
    except CommandError:
        return
    for _ in read_pages(instances, '/poll'):
        continue


def show_difference(store: StoreClient, paths: list[Path]) -> list[str]:
    """Compare files with what is in force.

    :returns: one line an object: ``+`` new, ``~`` changed, ``-`` gone.
    """
    current = read_store(store)
    wanted = keep_system_kinds(load_set(paths), current.raw)
    puts, deletes = difference(current.raw, wanted)
    lines: list[str] = []
    for kind, table in puts.items():
        known = current.raw.get(kind, {})
        lines.extend(
            f'{"~" if name in known else "+"} {kind}.{name}' for name in table
        )
    for kind, names in deletes.items():
        lines.extend(f'- {kind}.{name}' for name in names)
    return lines


def put_stop(member: str, name: str) -> Callable[[RawSet], RawSet]:
    """Make the change that orders a planned stop.

    :param member: ``upstream`` or ``entry``.
    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'stops': {**raw.get('stops', {}), f'{member}-{name}': {member: name}},
    }


def drop_stop(name: str) -> Callable[[RawSet], RawSet]:
    """Make the change that takes planned stops of a name back.

    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'stops': {
            key: stop
            for key, stop in raw.get('stops', {}).items()
            if name not in stop.values()
        },
    }


def drop_quarantine(digest: str) -> Callable[[RawSet], RawSet]:
    """Make the change that releases a digest.

    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'quarantines': {
            key: held
            for key, held in raw.get('quarantines', {}).items()
            if key != digest
        },
    }
