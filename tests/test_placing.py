"""Where requests go: free slots, stragglers, failures, closed groups."""

import pytest

from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.fleetload import SILENT_S, LoadNews, make_fleet_load
from comfreyarch_core.placing import HEALTH_S, LoadReport, make_placer
from comfreyarch_core.upstreamlist import UpstreamEntry


def entries(count, zone='z'):
    """Make upstreams of one service."""
    return [
        UpstreamEntry(f'u{i}', 's', f'10.0.0.{i}:80', zone, 6, False)
        for i in range(count)
    ]


def placer(count=4):
    """Make a placer that knows upstreams."""
    made = make_placer('z', 1)
    made.know(entries(count))
    return made


def fill(made, now=0.0):
    """Place until nothing is free."""
    chosen = []
    while (view := made.choose('s', now)) is not None:
        view.in_flight += 1
        chosen.append(view.entry.name)
    return chosen


def test_slots_fill_evenly_and_nothing_goes_beyond_them():
    made = placer()
    chosen = fill(made)
    assert len(chosen) == 24
    for first in range(0, 24, 4):
        assert len(set(chosen[first : first + 4])) == 4


def test_requests_of_other_entries_count():
    made = placer(2)
    made.fleet.handle(LoadNews('other', 1, 1, {'u0': 6}), 0)
    assert set(fill(made)) == {'u1'}
    made.fleet.expire(SILENT_S + 1)
    assert 'u0' in fill(made)


def test_old_news_of_an_entry_is_left_out():
    load = make_fleet_load()
    assert load.handle(LoadNews('a', 1, 2, {'u': 3}), 0)
    assert not load.handle(LoadNews('a', 1, 1, {'u': 9}), 0)
    assert load.others('u') == 3
    assert load.handle(LoadNews('a', 2, 1, {'u': 1}), 0)
    assert load.others('u') == 1


def test_requests_of_entries_that_died_fade():
    made = placer(1)
    made.reported('u0', LoadReport(6, 2, 6), 0)
    assert made.choose('s', 0) is None
    assert made.choose('s', 5) is not None


def test_a_straggler_gets_work_only_when_the_others_are_full():
    made = placer()
    made.heard_health('10.0.0.2:80', EngineHealth('g', 1, True, 2.0), 0)
    chosen = fill(made)
    assert 'u2' not in chosen[:18]
    assert len(chosen) == 24


def test_a_closed_group_gets_nothing_and_opens_at_once():
    made = placer(1)
    made.heard_health('10.0.0.0:80', EngineHealth('g', 1, False, 1.0), 0)
    made.rejected('u0', 0)
    assert made.choose('s', 0.01) is None
    made.heard_health('10.0.0.0:80', EngineHealth('g', 2, True, 1.0), 0.02)
    assert made.choose('s', 0.02) is not None


def test_silence_of_a_sidecar_does_not_close_its_engine():
    made = placer(1)
    made.heard_health('10.0.0.0:80', EngineHealth('g', 1, False, 1.0), 0)
    assert made.choose('s', HEALTH_S + 0.1) is not None


def test_failures_pause_longer_and_longer():
    made = placer(1)
    pauses = [made.failed('u0', 0) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert made.choose('s', 0) is None
    made.succeeded('u0')
    assert made.choose('s', 0) is not None


def test_an_address_with_another_upstream_is_left_alone():
    made = placer(1)
    made.replaced('u0', 0)
    assert made.choose('s', 10) is None


def test_a_leaving_upstream_gets_nothing_new():
    made = make_placer('z', 1)
    leaving = UpstreamEntry('u', 's', '10.0.0.1:80', 'z', 6, True)
    made.know([leaving])
    assert made.choose('s', 0) is None


@pytest.mark.parametrize('share', [0.3, 0.6])
def test_a_grey_upstream_gets_less(share):
    made = placer()
    for number in range(60):
        if number % 10 < share * 10:
            made.erred('u1')
        else:
            made.succeeded('u1')
    made.erred('u1')
    assert fill(made)[:6].count('u1') <= 1
