"""Test that configurations come into force in time when the store misbehaves.

The bounds are the users': 2 s after the acknowledgement (``configApplyMs``), for
an entry that had contact for 3 s (``contactMs``).
"""

import pytest
import simulated_tables
from simulated_tables import Fault, SimulatedFleet

from comfreyarch_core.tablefreshness import (
    CONFIRM_INTERVAL_S,
    RUN_CHECK_INTERVAL_S,
)

IN_FORCE_S = 2.0
CONTACT_S = 3.0
FAULT_AT = 8.0


def late(fleet, numbers, fault_end):
    """List the changes that entries with contact had in force too late.

    A change must be in force 2 s after it was written, but no earlier than 3 s
    after the end of the fault.
    """
    found = []
    for number in numbers:
        for content, delay_s in fleet.delays(number).items():
            written_at = fleet.writes[content][0] - fleet.start
            due_at = max(written_at + IN_FORCE_S, fault_end + CONTACT_S)
            if written_at + delay_s > due_at:
                found.append((number, content, written_at, delay_s))
    return found


def storm(start, end, gap_s):
    """List the times of changes in quick succession."""
    return [start + gap_s * n for n in range(int((end - start) / gap_s))]


# Fails if a poll that is never answered hides changes until its timeout.
@pytest.mark.parametrize('entries', [1, 2, 8])
@pytest.mark.parametrize('silent_s', [0.3, 1.0, 5.0])
@pytest.mark.parametrize('phase_s', [0.0, 0.13, 0.26, 0.7])
def test_a_silent_store_delays_no_change_beyond_the_bound(
    monkeypatch, entries, silent_s, phase_s
):
    start = FAULT_AT + phase_s
    fault = Fault('silent', start, start + silent_s)
    fleet = SimulatedFleet(monkeypatch, entries, [fault])
    changes = [*storm(6, FAULT_AT, 0.25), *storm(start + silent_s, 24, 0.9)]
    fleet.run(changes, 30)
    assert not late(fleet, range(entries), start + silent_s)


# Fails if an entry that the store turns away does not learn from its peers.
@pytest.mark.parametrize('how', ['silent', 'refusing'])
@pytest.mark.parametrize('turned_away', [1, 3, 7])
def test_an_entry_turned_away_by_the_store_learns_from_its_peers(
    monkeypatch, how, turned_away
):
    numbers = range(turned_away)
    fault = Fault(how, FAULT_AT, FAULT_AT + 12, numbers)
    fleet = SimulatedFleet(monkeypatch, 8, [fault])
    fleet.run([FAULT_AT - 0.5, *storm(FAULT_AT + 0.4, 24, 0.9)], 30)
    assert not late(fleet, range(8), -CONTACT_S)


@pytest.mark.parametrize('how', ['refusing', 'slow'])
@pytest.mark.parametrize('entries', [1, 8])
def test_a_refusing_or_slow_store_delays_no_change_beyond_the_bound(
    monkeypatch, how, entries
):
    fault = Fault(how, FAULT_AT, FAULT_AT + 5)
    fleet = SimulatedFleet(monkeypatch, entries, [fault])
    changes = [*storm(6, FAULT_AT, 0.25), *storm(FAULT_AT + 5, 24, 0.9)]
    fleet.run(changes, 30)
    assert not late(fleet, range(entries), FAULT_AT + 5)


# Fails if a connection that is silent for good, without a reset, goes unnoticed.
@pytest.mark.parametrize('entries', [1, 8])
def test_dead_connections_delay_no_change_beyond_the_bound(
    monkeypatch, entries
):
    fault = Fault('dead', FAULT_AT, 30)
    fleet = SimulatedFleet(monkeypatch, entries, [fault])
    fleet.run([*storm(6, 24, 0.9)], 30)
    assert not late(fleet, range(entries), FAULT_AT)


def test_an_entry_with_dead_connections_learns_from_its_peers(monkeypatch):
    fault = Fault('dead', FAULT_AT, 30, range(3))
    fleet = SimulatedFleet(monkeypatch, 8, [fault])
    fleet.run([FAULT_AT - 0.5, *storm(FAULT_AT + 0.4, 24, 0.9)], 30)
    assert not late(fleet, range(8), -CONTACT_S)


# Fails if messages that waited while an entry was suspended confirm its tables.
@pytest.mark.parametrize('silent', [False, True])
def test_an_entry_that_was_frozen_has_changes_in_force_in_time(
    monkeypatch, silent
):
    faults = [Fault('silent', FAULT_AT, FAULT_AT + 2)] if silent else []
    fleet = SimulatedFleet(monkeypatch, 4, faults)
    fleet.freeze([0, 1], FAULT_AT + 1, FAULT_AT + 5)
    fleet.run([*storm(6, FAULT_AT, 0.25), *storm(FAULT_AT + 2, 24, 0.9)], 30)
    assert not late(fleet, [2, 3], FAULT_AT + 2)
    assert not late(fleet, [0, 1], FAULT_AT + 5)


# Fails if the age of the knowledge is unbounded, or each entry probes alone.
@pytest.mark.parametrize('entries', [1, 8, 40])
def test_the_age_is_bounded_with_the_calls_of_one_entry(monkeypatch, entries):
    seconds = 40
    fleet = SimulatedFleet(monkeypatch, entries, [])
    fleet.run([], seconds)
    for entry in fleet.entries:
        logged = [event for event, _ in entry.log.events]
        assert 'table_unconfirmed' not in logged
    # Each entry reads the table and polls it at least twice.
    own_calls = entries * 4
    assert fleet.store.calls <= seconds / CONFIRM_INTERVAL_S + own_calls


# Fails if entries pass on each other's confirmations, so that each message makes
# what they know seem younger.
def test_entries_do_not_keep_each_other_confirmed(monkeypatch):
    monkeypatch.setattr(simulated_tables, 'GOSSIP_INTERVAL_S', 0.02)
    monkeypatch.setattr(simulated_tables, 'GOSSIP_DELAY_S', 0.01)
    fleet = SimulatedFleet(monkeypatch, 4, [Fault('silent', FAULT_AT, 30)])
    fleet.run([], 20)
    for entry in fleet.entries:
        confirmed_at = entry.watch.freshness.confirmed_at - fleet.start
        assert confirmed_at <= FAULT_AT + simulated_tables.GOSSIP_DELAY_S
        assert entry.watch.is_unreachable


def test_a_store_without_history_delays_no_change(monkeypatch):
    fleet = SimulatedFleet(monkeypatch, 4, [])
    for at in (8.1, 8.2, 12.0):
        fleet.clock.spawn_later(at, fleet.store.forget_history)
    fleet.run(storm(6, 14, 0.25), 20)
    assert not late(fleet, range(4), -CONTACT_S)


# Fails if entries hold the versions of a restored store against those before, so
# that they take no change until the store has passed its former version.
@pytest.mark.parametrize('entries', [1, 4])
@pytest.mark.parametrize('away_s', [0, 1.5])
@pytest.mark.parametrize('lost_s', [0.1, 3.0])
def test_a_restored_store_delays_no_change_beyond_the_bound(
    monkeypatch, entries, away_s, lost_s
):
    restored_at = FAULT_AT + away_s
    fault = Fault('refusing', FAULT_AT, restored_at)
    fleet = SimulatedFleet(monkeypatch, entries, [fault])
    store = fleet.store
    fleet.clock.spawn_later(FAULT_AT - lost_s, store.save_copy, 'copy')
    fleet.clock.spawn_later(restored_at, store.restore, 'copy')
    rewritten_at = restored_at + 0.5
    changes = [*storm(4, FAULT_AT, 0.25), *storm(rewritten_at, 24, 0.9)]
    fleet.run(changes, 30)
    assert not late(fleet, range(entries), restored_at)


# Fails if an entry wakes up again and again while it cannot read a table that it
# must read in full.
def test_an_entry_does_not_spin_while_it_waits_for_a_full_read(monkeypatch):
    fault = Fault('refusing', FAULT_AT, 30)
    fleet = SimulatedFleet(monkeypatch, 1, [fault])
    watch = fleet.entries[0].watch
    fleet.clock.spawn_later(FAULT_AT, watch.record_history_gone)
    runs = []
    detector = fleet.entries[0].tables.pause_detector
    monkeypatch.setattr(
        type(detector), 'record_run', lambda _, now: runs.append(now)
    )
    fleet.run([], 28)
    seconds = 28 - FAULT_AT
    later = [at for at in runs if at - fleet.start > FAULT_AT + 1]
    assert len(later) <= seconds / RUN_CHECK_INTERVAL_S + 1
