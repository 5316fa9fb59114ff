"""Test the age of what a node knows of a table."""

import random

from comfreyarch_core import tablefreshness
from comfreyarch_core.tablefreshness import (
    CONFIRM_INTERVAL_S,
    MAX_CONFIRMED_AGE_S,
    MAX_RUN_GAP_S,
    MAX_STAGGER_S,
    make_pause_detector,
)


def make_table_freshness():
    """Create the state of a table that has not been read."""
    return tablefreshness.make_table_freshness(random.Random(1))


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


def test_a_probe_is_due_within_the_interval_and_the_stagger():
    freshness = make_table_freshness()
    assert freshness.probe_due_at() is None
    for at in range(10, 60):
        freshness.confirm(at)
        delay_s = freshness.probe_due_at() - at
        assert 0 <= delay_s - CONFIRM_INTERVAL_S <= MAX_STAGGER_S


def test_one_lost_probe_is_not_a_lost_store():
    freshness = make_table_freshness()
    freshness.confirm(10)
    freshness.record_probe(11)
    assert not freshness.is_store_lost(11)
    freshness.record_probe(12)
    assert freshness.is_store_lost(11)
    freshness.confirm(12)
    assert not freshness.is_store_lost(11)
    assert freshness.is_confirmed_since(11)


def test_only_what_the_store_confirmed_is_sent_to_peers():
    freshness = make_table_freshness()
    assert freshness.confirmation(7, 10) is None
    freshness.confirm(10)
    freshness.confirm_by_peer(14)
    assert freshness.age_s(15) == 1
    assert freshness.confirmation(7, 15).age_s == 5


def test_messages_after_a_pause_are_not_trusted():
    detector = make_pause_detector(10)
    assert not detector.is_backlogged(10.1)
    resumed_at = 10 + MAX_RUN_GAP_S + 1
    assert detector.is_backlogged(resumed_at)
    detector.record_run(resumed_at)
    assert detector.is_backlogged(resumed_at)
    detector.record_run(resumed_at + MAX_RUN_GAP_S / 2)
    assert not detector.is_backlogged(resumed_at + MAX_RUN_GAP_S)
