"""Test upstream choice by free slots, stragglers, failures, engine health."""

import pytest

from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.fleetload import (
    COUNTS_TIMEOUT_S,
    EntryLoad,
    make_fleet_load,
)
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import (
    HEALTH_TTL_S,
    LoadReport,
    make_upstream_selector,
)


def entries(count, zone='z'):
    """Create upstreams of one service with 6 slots each."""
    return [
        UpstreamEntry(f'u{i}', 's', f'10.0.0.{i}:80', zone, 6, False)
        for i in range(count)
    ]


def make_selector(count=4):
    """Create a selector with upstreams of one service."""
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(entries(count))
    return selector


def fill(selector, now=0.0):
    """Send requests until no slot is free; return the chosen upstreams."""
    chosen = []
    while (view := selector.choose('s', now)) is not None:
        view.in_flight += 1
        chosen.append(view.entry.name)
    return chosen


def test_slots_fill_evenly_and_nothing_goes_beyond_them():
    selector = make_selector()
    chosen = fill(selector)
    assert len(chosen) == 24
    for first in range(0, 24, 4):
        assert len(set(chosen[first : first + 4])) == 4


def test_requests_of_other_entries_count():
    selector = make_selector(2)
    selector.fleet_load.handle(EntryLoad('other', 1, 1, {'u0': 6}), 0)
    assert set(fill(selector)) == {'u1'}
    selector.fleet_load.expire(COUNTS_TIMEOUT_S + 1)
    assert 'u0' in fill(selector)


def test_old_news_of_an_entry_is_left_out():
    load = make_fleet_load()
    assert load.handle(EntryLoad('a', 1, 2, {'u': 3}), 0)
    assert not load.handle(EntryLoad('a', 1, 1, {'u': 9}), 0)
    assert load.others('u') == 3
    assert load.handle(EntryLoad('a', 2, 1, {'u': 1}), 0)
    assert load.others('u') == 1


def test_requests_of_entries_that_died_fade():
    selector = make_selector(1)
    selector.update_load('u0', LoadReport(6, 2, 6), 0)
    assert selector.choose('s', 0) is None
    assert selector.choose('s', 5) is not None


def test_a_straggler_gets_work_only_when_the_others_are_full():
    selector = make_selector()
    selector.update_health('10.0.0.2:80', EngineHealth('g', 1, True, 2.0), 0)
    chosen = fill(selector)
    assert 'u2' not in chosen[:18]
    assert len(chosen) == 24


def test_a_closed_group_gets_nothing_and_opens_at_once():
    selector = make_selector(1)
    selector.update_health('10.0.0.0:80', EngineHealth('g', 1, False, 1.0), 0)
    selector.rejected('u0', 0)
    assert selector.choose('s', 0.01) is None
    selector.update_health('10.0.0.0:80', EngineHealth('g', 2, True, 1.0), 0.02)
    assert selector.choose('s', 0.02) is not None


def test_silence_of_a_sidecar_does_not_close_its_engine():
    selector = make_selector(1)
    selector.update_health('10.0.0.0:80', EngineHealth('g', 1, False, 1.0), 0)
    assert selector.choose('s', HEALTH_TTL_S + 0.1) is not None


def test_failures_pause_longer_and_longer():
    selector = make_selector(1)
    pauses = [selector.failed('u0', 0) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert selector.choose('s', 0) is None
    selector.succeeded('u0')
    assert selector.choose('s', 0) is not None


def test_an_address_with_another_upstream_is_left_alone():
    selector = make_selector(1)
    selector.replaced('u0', 0)
    assert selector.choose('s', 10) is None


def test_a_leaving_upstream_gets_nothing_new():
    selector = make_upstream_selector('z', 1)
    leaving = UpstreamEntry('u', 's', '10.0.0.1:80', 'z', 6, True)
    selector.update_upstreams([leaving])
    assert selector.choose('s', 0) is None


@pytest.mark.parametrize('share', [0.3, 0.6])
def test_a_grey_upstream_gets_less(share):
    selector = make_selector()
    for number in range(60):
        if number % 10 < share * 10:
            selector.returned_error('u1')
        else:
            selector.succeeded('u1')
    selector.returned_error('u1')
    assert fill(selector)[:6].count('u1') <= 1
