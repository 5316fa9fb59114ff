"""Test that a store outage does not drop live upstreams from the list."""

from dataclasses import replace

import pytest

from comfreyarch_core.upstreamlist import (
    LAPSE_GRACE_S,
    UpstreamEntry,
    make_upstream_list,
)

UPSTREAM_1 = UpstreamEntry('one', 's', '10.0.0.1:80', 'z', 6, False, listed=1)
UPSTREAM_2 = UpstreamEntry('two', 's', '10.0.0.2:80', 'z', 6, False, listed=2)


def test_a_removed_entry_is_gone_at_once():
    upstreams = make_upstream_list()
    upstreams.replace([UPSTREAM_1, UPSTREAM_2], 0)
    upstreams.drop('one', 1)
    assert set(upstreams.entries) == {'two'}


def test_entries_that_lapse_with_the_store_are_kept_for_the_grace():
    upstreams = make_upstream_list()
    upstreams.replace([UPSTREAM_1, UPSTREAM_2], 0)
    upstreams.store_lost()
    upstreams.store_back(10)
    upstreams.replace([UPSTREAM_2], 10)
    assert set(upstreams.entries) == {'one', 'two'}
    assert upstreams.expire(10 + LAPSE_GRACE_S / 2) == []
    assert upstreams.expire(10 + LAPSE_GRACE_S) == ['one']
    assert set(upstreams.entries) == {'two'}


def test_an_entry_that_comes_back_in_the_grace_stays():
    upstreams = make_upstream_list()
    upstreams.replace([UPSTREAM_1], 0)
    upstreams.store_lost()
    upstreams.store_back(10)
    upstreams.drop('one', 10.1)
    upstreams.change(UPSTREAM_1)
    assert upstreams.expire(10 + LAPSE_GRACE_S) == []
    assert set(upstreams.entries) == {'one'}


def test_a_leaving_upstream_gets_no_grace():
    upstreams = make_upstream_list()
    upstreams.replace([replace(UPSTREAM_1, leaving=True)], 0)
    upstreams.store_lost()
    upstreams.store_back(10)
    upstreams.drop('one', 10)
    assert not upstreams.entries


def test_the_grace_counts_from_the_return_only():
    upstreams = make_upstream_list()
    upstreams.replace([UPSTREAM_1], 0)
    upstreams.store_back(10)
    upstreams.drop('one', 10)
    assert not upstreams.entries


def test_the_newest_entry_of_an_address_holds():
    upstreams = make_upstream_list()
    upstreams.replace([UPSTREAM_1], 0)
    restarted = replace(UPSTREAM_1, name='reborn', listed=9)
    upstreams.change(restarted)
    assert set(upstreams.entries) == {'reborn'}
    upstreams.change(UPSTREAM_1)
    assert set(upstreams.entries) == {'reborn'}


# Fails if an entry that the store turns away drops a live upstream whose row
# lapsed in an outage from which a peer returned first.
def test_a_removal_that_a_peer_reports_during_an_outage_begins_the_grace():
    upstreams = make_upstream_list()
    upstreams.replace([UPSTREAM_1, UPSTREAM_2], 0)
    upstreams.change(replace(UPSTREAM_2, leaving=True))
    upstreams.store_lost()
    upstreams.drop('one', 10)
    upstreams.drop('two', 10)
    assert set(upstreams.entries) == {'one'}
    assert upstreams.expire(10 + LAPSE_GRACE_S / 2) == []
    assert upstreams.expire(10 + LAPSE_GRACE_S) == ['one']


READY = replace(UPSTREAM_1, started_ms=1000, sequence=5)
LEAVING = replace(READY, leaving=True, sequence=7, listed=3)


# Fails if a restored store makes an upstream ready again that is leaving.
def test_an_entry_of_an_older_copy_does_not_undo_leaving():
    upstreams = make_upstream_list()
    upstreams.change(READY)
    upstreams.change(LEAVING)
    upstreams.change(replace(READY, listed=9))
    assert upstreams.entries['one'].leaving


# Fails if a restored store brings back an upstream that has left.
def test_an_entry_of_an_older_copy_does_not_bring_back_what_left():
    upstreams = make_upstream_list()
    upstreams.change(LEAVING)
    upstreams.drop('one', 10)
    upstreams.change(replace(LEAVING, listed=9))
    upstreams.change(replace(READY, listed=9))
    assert not upstreams.entries


# Fails if the sequence 0 of a first report is read as no sequence.
@pytest.mark.parametrize('is_removed', [True, False])
def test_the_first_report_in_an_older_copy_is_outdated(is_removed):
    upstreams = make_upstream_list()
    first = replace(READY, sequence=0)
    upstreams.change(first)
    upstreams.change(LEAVING)
    if is_removed:
        upstreams.drop('one', 10)
    upstreams.change(replace(first, listed=9))
    assert [entry.leaving for entry in upstreams.entries.values()] == (
        [] if is_removed else [True]
    )


def test_an_entry_without_sequence_is_never_outdated():
    upstreams = make_upstream_list()
    upstreams.change(LEAVING)
    upstreams.change(replace(READY, sequence=None, listed=9))
    assert not upstreams.entries['one'].leaving


def test_an_upstream_that_was_removed_and_reports_again_is_back():
    upstreams = make_upstream_list()
    upstreams.change(READY)
    upstreams.drop('one', 10)
    upstreams.change(replace(READY, sequence=8, listed=9))
    assert set(upstreams.entries) == {'one'}


def test_an_upstream_that_started_anew_under_its_name_is_ready():
    upstreams = make_upstream_list()
    upstreams.change(LEAVING)
    restarted = replace(READY, started_ms=2000, sequence=1, listed=9)
    upstreams.change(restarted)
    assert upstreams.entries['one'] == restarted


# Fails if a restored store gives an address back to the upstream that had it
# before.
def test_the_upstream_that_started_last_keeps_its_address():
    upstreams = make_upstream_list()
    newer = replace(READY, name='new', started_ms=3000, listed=4)
    upstreams.change(newer)
    upstreams.change(replace(READY, listed=9))
    assert set(upstreams.entries) == {'new'}
