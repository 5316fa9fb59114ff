"""Which upstreams are believed in while the store is away or comes back."""

from dataclasses import replace

from comfreyarch_core.upstreamlist import (
    LAPSE_GRACE_S,
    UpstreamEntry,
    make_upstream_list,
)

ONE = UpstreamEntry('one', 's', '10.0.0.1:80', 'z', 6, False, listed=1)
TWO = UpstreamEntry('two', 's', '10.0.0.2:80', 'z', 6, False, listed=2)


def test_a_removed_entry_is_gone_at_once():
    known = make_upstream_list()
    known.replace([ONE, TWO], 0)
    known.drop('one', 1)
    assert set(known.entries) == {'two'}


def test_entries_that_lapse_with_the_store_are_kept_for_the_grace():
    known = make_upstream_list()
    known.replace([ONE, TWO], 0)
    known.store_lost()
    known.store_back(10)
    known.replace([TWO], 10)
    assert set(known.entries) == {'one', 'two'}
    assert known.expire(10 + LAPSE_GRACE_S / 2) == []
    assert known.expire(10 + LAPSE_GRACE_S) == ['one']
    assert set(known.entries) == {'two'}


def test_an_entry_that_comes_back_in_the_grace_stays():
    known = make_upstream_list()
    known.replace([ONE], 0)
    known.store_lost()
    known.store_back(10)
    known.drop('one', 10.1)
    known.change(ONE)
    assert known.expire(10 + LAPSE_GRACE_S) == []
    assert set(known.entries) == {'one'}


def test_a_leaving_upstream_gets_no_grace():
    known = make_upstream_list()
    known.replace([replace(ONE, leaving=True)], 0)
    known.store_lost()
    known.store_back(10)
    known.drop('one', 10)
    assert not known.entries


def test_the_grace_counts_from_the_return_only():
    known = make_upstream_list()
    known.replace([ONE], 0)
    known.store_back(10)
    known.drop('one', 10)
    assert not known.entries


def test_the_newest_entry_of_an_address_holds():
    known = make_upstream_list()
    known.replace([ONE], 0)
    reborn = replace(ONE, name='reborn', listed=9)
    known.change(reborn)
    assert set(known.entries) == {'reborn'}
    known.change(ONE)
    assert set(known.entries) == {'reborn'}
