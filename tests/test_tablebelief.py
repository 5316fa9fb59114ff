"""What is believed of a table under stale reads, gaps and lost history."""

from hypothesis import given, settings, strategies

from comfreyarch_core.tablebelief import (
    TableRow,
    TableState,
    make_table_belief,
)


def state(version, *rows):
    """Make a reading from (key, version, removed)."""
    made = tuple(TableRow(key, b'', at, gone) for key, at, gone in rows)
    return TableState(made, version)


def test_a_stale_read_changes_nothing():
    belief = make_table_belief()
    belief.read(state(10, ('a', 9, False)))
    belief.history_lost()
    assert belief.read(state(7, ('b', 3, False))) is None
    assert belief.whole


def test_a_whole_read_tells_what_is_gone():
    belief = make_table_belief()
    belief.read(state(10, ('a', 9, False), ('b', 8, False)))
    belief.history_lost()
    change = belief.read(state(12, ('b', 11, False)))
    assert change.removed == ('a',)
    assert [row.key for row in change.rows] == ['b']


def test_older_rows_are_left_out():
    belief = make_table_belief()
    belief.read(state(10, ('a', 9, False)))
    assert not belief.changed(state(11, ('a', 4, False))).rows


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
    belief = make_table_belief()
    seen = {}
    for number, (key, gone, whole) in enumerate(steps, start=1):
        history.append((str(key), number, gone))
        cut = source.randint(0, len(history))
        if whole:
            belief.history_lost()
            latest = {}
            for one in history[:cut]:
                latest[one[0]] = one
            rows = [one for one in latest.values() if not one[2]]
            change = belief.read(state(cut, *rows))
            if change is None:
                continue
        else:
            change = belief.changed(state(cut, *history[:cut]))
        for row in change.rows:
            assert row.version > seen.get(row.key, 0)
            seen[row.key] = row.version
