"""Test the age of what a node knows of a table."""

from comfreyarch_core.tablefreshness import (
    MAX_CONFIRMED_AGE_S,
    make_table_freshness,
)


def test_the_age_counts_from_the_latest_confirmation():
    freshness = make_table_freshness()
    assert freshness.age_s(10) is None
    freshness.confirm(10)
    freshness.confirm(8)
    assert freshness.age_s(13) == 3


def test_a_crossing_of_the_limit_is_reported_once_each_way():
    freshness = make_table_freshness()
    freshness.confirm(0)
    late = MAX_CONFIRMED_AGE_S + 1
    assert not freshness.became_stale(MAX_CONFIRMED_AGE_S)
    assert freshness.became_stale(late)
    assert not freshness.became_stale(late)
    assert not freshness.became_fresh(late)
    freshness.confirm(late)
    assert freshness.became_fresh(late)
    assert not freshness.became_fresh(late)
