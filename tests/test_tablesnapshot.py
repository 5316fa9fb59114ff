"""Test that a table's snapshot is whole whatever happens to its parts."""

from hypothesis import given, strategies

from comfreyarch_core.tablesnapshot import (
    make_snapshot_assembler,
    split_snapshot,
)

CONTENTS = {1: b'', 2: b'abc', 3: b'abcdefg' * 5, 4: bytes(range(256))}
PARTS = [
    part
    for version, content in CONTENTS.items()
    for part in split_snapshot('t', version, content, 10)
]


# Fails if parts of two versions are joined, or a snapshot ends early.
@given(strategies.lists(strategies.sampled_from(PARTS), max_size=80))
def test_lost_repeated_and_reordered_parts_give_whole_snapshots(received):
    assembler = make_snapshot_assembler()
    for part in received:
        content = assembler.add(part)
        assert content in {None, CONTENTS[part.version]}


def test_all_parts_in_any_order_give_the_snapshot():
    parts = [part for part in PARTS if part.version == 4]
    assembler = make_snapshot_assembler()
    contents = [assembler.add(part) for part in reversed(parts)]
    assert contents == [None] * (len(parts) - 1) + [CONTENTS[4]]


def test_a_late_part_of_an_older_snapshot_is_ignored():
    older = [part for part in PARTS if part.version == 3]
    newer = [part for part in PARTS if part.version == 4]
    assembler = make_snapshot_assembler()
    assembler.add(newer[0])
    assert assembler.add(older[0]) is None
    contents = [assembler.add(part) for part in newer[1:]]
    assert contents[-1] == CONTENTS[4]
