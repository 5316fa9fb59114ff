"""Test that row versions never decrease under stale reads and lost history."""

from hypothesis import given, settings, strategies

from comfreyarch_core.tabletracker import (
    TableRow,
    TableState,
    make_table_tracker,
)


def state(version, *rows):
    """Create the result of a read from (key, version, removed) tuples."""
    table_rows = tuple(
        TableRow(key, b'', row_version, removed)
        for key, row_version, removed in rows
    )
    return TableState(table_rows, version)


def test_a_stale_read_changes_nothing():
    tracker = make_table_tracker()
    tracker.read(state(10, ('a', 9, False)))
    tracker.mark_history_lost()
    assert tracker.read(state(7, ('b', 3, False))) is None
    assert tracker.needs_full_read


def test_a_whole_read_tells_what_is_gone():
    tracker = make_table_tracker()
    tracker.read(state(10, ('a', 9, False), ('b', 8, False)))
    tracker.mark_history_lost()
    change = tracker.read(state(12, ('b', 11, False)))
    assert change.removed == ('a',)
    assert change.removed_by == 12
    assert [row.key for row in change.rows] == ['b']


def test_older_rows_are_left_out():
    tracker = make_table_tracker()
    tracker.read(state(10, ('a', 9, False)))
    assert not tracker.changed(state(11, ('a', 4, False))).rows


def test_a_removal_tells_its_position():
    tracker = make_table_tracker()
    tracker.read(state(10, ('a', 9, False)))
    change = tracker.changed(state(14, ('a', 12, True), ('b', 13, False)))
    assert change.removed == ('a',)
    assert change.removed_by == 12


@settings(deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=40,
    ),
    strategies.randoms(use_true_random=False),
)
def test_versions_of_a_row_never_fall(steps, source):
    history = []
    tracker = make_table_tracker()
    seen = {}
    for number, (key, removed, is_full_read) in enumerate(steps, start=1):
        history.append((str(key), number, removed))
        read_version = source.randint(0, len(history))
        if is_full_read:
            tracker.mark_history_lost()
            latest = {}
            for stored_row in history[:read_version]:
                latest[stored_row[0]] = stored_row
            rows = [
                stored_row
                for stored_row in latest.values()
                if not stored_row[2]
            ]
            change = tracker.read(state(read_version, *rows))
            if change is None:
                continue
        else:
            change = tracker.changed(
                state(read_version, *history[:read_version])
            )
        for row in change.rows:
            assert row.version > seen.get(row.key, 0)
            seen[row.key] = row.version
