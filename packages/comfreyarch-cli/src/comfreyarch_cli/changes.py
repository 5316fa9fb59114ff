"""Change the published configuration: publish, stop, evacuate, release."""

from collections.abc import Callable
from pathlib import Path

from comfreyarch_cli.access import list_instances, read_pages
from comfreyarch_cli.errors import CommandError, ExitCode
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

# Kinds that commands and sidecars publish, and that files usually lack.
SYSTEM_KINDS = ('stops', 'evacuations', 'quarantines')


def load_set(paths: list[Path]) -> RawSet:
    """Read and check configuration files as one set.

    :returns: the raw set.
    :raises CommandError: if the set has faults, after printing all of them.
    """
    raw, checked = check_files(paths)
    if checked.faults:
        print_faults(checked.faults)
        count = len(checked.faults)
        noun = 'fault' if count == 1 else 'faults'
        raise CommandError(
            f'{count} {noun} in the files; nothing published, correct the files',
            ExitCode.faulty,
        )
    return raw


def read_published(store: StoreClient) -> CurrentConfig:
    """Read the configuration in force.

    :returns: its revision and raw set.
    :raises CommandError: if the store cannot be read.
    """
    try:
        return read_current_config(store)
    except StoreError as error:
        raise CommandError(
            f'cannot read the configuration: {error}; check --store',
            ExitCode.store_down,
        ) from error


def preserve_system_kinds(raw: RawSet, current: RawSet) -> RawSet:
    """Preserve stops, evacuations and quarantines that the files lack.

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
    """Publish files as the whole configuration.

    :param expected: revision that must be in force, None for any.
    :returns: the revision in force.
    :raises CommandError: if the set was not published.
    """
    raw = load_set(paths)
    current = read_published(store)
    if expected is not None and current.revision != expected:
        raise CommandError(
            f'revision {current.revision} is in force, not {expected}; run '
            'diff and publish again',
            ExitCode.raced,
        )
    wanted = preserve_system_kinds(raw, current.raw)
    return report_outcome(store, publish(store, current, wanted))


def publish_edit(
    store: StoreClient,
    change: Callable[[RawSet], RawSet],
) -> int:
    """Publish a change to the configuration in force.

    :returns: the revision in force.
    :raises CommandError: if the change was not published.
    """
    return report_outcome(store, publish_change(store, change))


def report_outcome(store: StoreClient, outcome: PublishOutcome) -> int:
    """Report the outcome of a publish and have the nodes read it.

    :returns: the revision in force.
    :raises CommandError: if nothing was published or the outcome is unknown.
    """
    match outcome:
        case Published(revision):
            request_poll(store)
            print_line(f'revision {revision} published')
            return revision
        case Unchanged(revision):
            print_line(f'nothing to change; revision {revision}')
            return revision
        case RevisionTaken(revision):
            raise CommandError(
                f'another publisher published revision {revision} first; try '
                'again',
                ExitCode.raced,
            )
        case Refused(faults):
            print_faults(faults)
            raise CommandError(
                f'set has faults ({len(faults)}); nothing published, correct them',
                ExitCode.faulty,
            )
        case StoreDown(detail):
            raise CommandError(
                f'store unavailable: {detail}; nothing published, try later',
                ExitCode.store_down,
            )
    raise CommandError(
        f'store does not answer: {outcome.detail}; run status to see whether the '
        f'revision increased (token {outcome.token})',
        ExitCode.unsettled,
    )


def request_poll(store: StoreClient) -> None:
    """Request that all nodes read the head revision at once.

    A node that misses the request reads the revision at its next poll.
    """
    try:
        instances = list_instances(store)
    except CommandError:
        return
    for _ in read_pages(instances, '/poll'):
        continue


def show_difference(store: StoreClient, paths: list[Path]) -> list[str]:
    """Compare files with the configuration in force.

    :returns: a line per object: ``+`` new, ``~`` changed, ``-`` removed.
    """
    current = read_published(store)
    wanted = preserve_system_kinds(load_set(paths), current.raw)
    puts, deletes = difference(current.raw, wanted)
    lines: list[str] = []
    for kind, table in puts.items():
        existing = current.raw.get(kind, {})
        lines.extend(
            f'{"~" if name in existing else "+"} {kind}.{name}'
            for name in table
        )
    for kind, names in deletes.items():
        lines.extend(f'- {kind}.{name}' for name in names)
    return lines


def add_stop(member: str, name: str) -> Callable[[RawSet], RawSet]:
    """Create the change that orders a planned stop.

    :param member: ``upstream`` or ``entry``.
    :param name: name of the upstream or entry.
    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'stops': {**raw.get('stops', {}), f'{member}-{name}': {member: name}},
    }


def remove_stop(name: str) -> Callable[[RawSet], RawSet]:
    """Create the change that cancels the planned stops of a name.

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


def add_evacuation(zone: str) -> Callable[[RawSet], RawSet]:
    """Create the change that requests the evacuation of a zone.

    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'evacuations': {
            **raw.get('evacuations', {}),
            zone: {'availability_zone': zone},
        },
    }


def remove_evacuation(zone: str) -> Callable[[RawSet], RawSet]:
    """Create the change that withdraws the evacuation of a zone.

    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'evacuations': {
            key: evacuation
            for key, evacuation in raw.get('evacuations', {}).items()
            if evacuation['availability_zone'] != zone
        },
    }


def list_evacuated(raw: RawSet) -> list[str]:
    """List the evacuated zones of a configuration.

    :returns: their names, sorted.
    """
    evacuations = raw.get('evacuations', {}).values()
    return sorted(
        {evacuation['availability_zone'] for evacuation in evacuations}
    )


def remove_quarantine(digest: str) -> Callable[[RawSet], RawSet]:
    """Create the change that releases a quarantined digest.

    :returns: the change.
    """
    return lambda raw: {
        **raw,
        'quarantines': {
            key: quarantine
            for key, quarantine in raw.get('quarantines', {}).items()
            if key != digest
        },
    }
