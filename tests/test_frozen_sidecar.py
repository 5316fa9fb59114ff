"""Test planning beside a leader whose sidecar is frozen while its engine runs."""

import pytest
from group_world import WorkingWorld, address_of

from comfreyarch_core.mapcontrolmessages import Reported
from comfreyarch_daemon.sidecarmessages import READINGS_PER_S

SIZE = 72
FREEZE_S = 4
# Interval at which ranks report counts, without which nothing can be planned.
COUNTS_S = 0.45


def make_led_world(monkeypatch, size=SIZE):
    """Create a group whose lowest rank has led for some seconds."""
    world = WorkingWorld(size, monkeypatch)
    world.slots = 4
    for rank in range(size):
        world.rows[f'g/{rank}'] = address_of(rank)
    world.start_all()
    world.run(6)
    assert world.events('lead')[-1][1] == 0
    return world


def freeze(world, rank):
    """Freeze a sidecar now.

    :returns: the time.
    """
    now = world.clock.now
    world.clock.frozen_until[rank] = now + FREEZE_S
    return now


def later(world, name, since):
    """List the times of events since a time."""
    return [at for at, _ in world.events(name) if at > since]


def outcomes(world):
    """List the outcomes of all changes in their order."""
    found = [
        (at, fields['why'])
        for node in world.nodes.values()
        for at, (name, fields) in zip(
            node.log.times, node.log.events, strict=True
        )
        if name == 'map_settled'
    ]
    return sorted(found)


def test_maps_change_without_faults(monkeypatch):
    world = make_led_world(monkeypatch)
    assert {why for _, why in outcomes(world)} == {'changed'}
    assert not world.group.violation


# Fails if a leader plans nothing until a frozen sidecar reports again, although the
# engine beside it runs.
@pytest.mark.parametrize('phase_s', [0, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6])
def test_planning_goes_on_beside_a_frozen_leader(monkeypatch, phase_s):
    world = make_led_world(monkeypatch)
    world.hot = 5
    world.run(phase_s)
    frozen_at = freeze(world, 0)
    direct_reads = world.direct_reads
    world.run(0.3)
    world.hot = 9
    world.run(FREEZE_S - 0.4)
    lead_at = later(world, 'lead', frozen_at)[0]
    planned = later(world, 'map_planned', lead_at)
    recovered = [
        at for at, why in outcomes(world) if at > lead_at and why == 'recovered'
    ]
    begun_at = recovered[0] if recovered else lead_at
    assert planned[0] - begun_at <= 0.5 + COUNTS_S
    changed = [
        at for at, why in outcomes(world) if at > lead_at and why == 'changed'
    ]
    assert changed
    assert len(later(world, 'lead', frozen_at)) == 1
    assert not world.group.violation
    assert world.direct_reads - direct_reads <= 4 * FREEZE_S + 8
    # The sidecar resumes, and the group goes on.
    world.hot = 13
    resumed_at = world.clock.now
    world.run(6)
    assert any(
        at > resumed_at and why == 'changed' for at, why in outcomes(world)
    )
    assert not world.group.violation


# Fails if a leader that knows nothing of an engine that stands still takes it for
# ready, or spends its time on an engine that does not answer.
def test_no_map_changes_beside_a_frozen_instance(monkeypatch):
    world = make_led_world(monkeypatch)
    world.hot = 5
    frozen_at = freeze(world, 0)
    world.stopped_engines.add(0)
    world.run(FREEZE_S - 0.1)
    lead_at = later(world, 'lead', frozen_at)[0]
    assert not [
        why for at, why in outcomes(world) if at > lead_at and why == 'changed'
    ]
    assert len(later(world, 'engine_silent', frozen_at)) < 60
    world.stopped_engines.clear()
    resumed_at = world.clock.now
    world.run(6)
    assert any(
        at > resumed_at and why == 'changed' for at, why in outcomes(world)
    )
    assert not world.group.violation


# Fails if evidence from direct orders is numbered further and further ahead: the
# reports of the sidecar are then dropped for seconds after it resumes.
def test_reports_count_again_once_a_sidecar_resumes(monkeypatch):
    world = make_led_world(monkeypatch)
    freeze(world, 0)
    world.run(2)
    leader = next(
        node for rank, node in world.nodes.items() if rank and node.leader
    )
    delivery = leader.leader.delivery
    control = leader.leader.control
    state = control.states[0]
    for _ in range(5):
        world.run(0.2)
        control.handle(
            Reported(state, delivery.estimate_reading_number(0)),
            world.clock.now,
        )
    ahead = control.reading_numbers[0] / READINGS_PER_S - world.clock.now
    assert ahead < 0.05


# Fails if a small group, whose plans need two counts of each rank, waits for those
# of the frozen sidecar.
def test_a_small_group_plans_beside_a_frozen_leader(monkeypatch):
    world = make_led_world(monkeypatch, 8)
    world.hot = 1 - world.hot
    frozen_at = freeze(world, 0)
    world.run(FREEZE_S - 0.1)
    lead_at = later(world, 'lead', frozen_at)[0]
    assert later(world, 'map_planned', lead_at)
    assert not world.group.violation
