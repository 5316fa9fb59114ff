"""Test when a rank's sidecar reads its rules and claims leadership."""

from pathlib import Path

import pytest
from direct_world import RecordingLog

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.grouppressure import ServiceLimits
from comfreyarch_core.setplanner import MapLimits
from comfreyarch_core.storeposition import make_position
from comfreyarch_daemon import maprules, ranknode
from comfreyarch_daemon.leadership import LeaderRow, MapRules
from comfreyarch_daemon.maprules import MAX_RULES_AGE_S
from comfreyarch_daemon.ranknode import RankNode
from comfreyarch_daemon.ranksettings import RankAdapter, RankSettings
from comfreyarch_daemon.tablesource import StoreCallFailed

RULES = MapRules(MapLimits(64, 11, 3), ServiceLimits(12, 0.12))
NEW_RULES = MapRules(MapLimits(64, 11, 3), ServiceLimits(12, 0.06))


class FakeStore:
    """Hold the leader's row and the rules of a group."""

    def __init__(self, rules):
        self.rules = rules
        self.fence = 0
        self.era = 0
        self.claims = 0
        self.reads = 0
        self.is_down = False

    def read_map_rules(self, _settings):
        """Read the rules."""
        if self.is_down:
            raise StoreCallFailed('down')
        self.reads += 1
        return self.rules

    def read(self, _group):
        """Read the leader's row."""
        return LeaderRow(self.fence, era=self.era)

    def claim(self, _group, _term, _former):
        """Become the leader."""
        self.claims += 1
        self.fence += 1
        return self.fence


@pytest.fixture
def clock(monkeypatch):
    """Replace the time of the sidecar."""
    now = [1000.0]
    for module in (maprules, ranknode):
        monkeypatch.setattr(module, 'boot_time', lambda: now[0])
    return now


def make_node(monkeypatch, store):
    """Create a sidecar that is not started, and leads without planning."""
    settings = RankSettings(
        'n', '127.0.0.1:0', '127.0.0.1:0', '127.0.0.1:9', 's', '127.0.0.1:9'
    )
    monkeypatch.setattr(ranknode.MapLeader, 'start', lambda leader: None)
    node = RankNode(
        RankAdapter(
            read_settings=lambda _path: settings,
            open_engine=lambda _address: None,
            open_leadership=lambda _settings: store,
            open_peers=lambda _settings: None,
            read_map_rules=store.read_map_rules,
        ),
        Path('unused'),
    )
    node.log = RecordingLog()
    return node


def make_state():
    """Make the state of an idle engine."""
    return EngineState('g', 1, 0, 8, True, 0, 0, None, None, None, 0)


# Fails if the sidecars of a service without experts write the leader's row of
# their group again and again.
def test_a_service_without_experts_needs_no_leader(monkeypatch, clock):
    store = FakeStore(None)
    node = make_node(monkeypatch, store)
    for _ in range(5):
        node.claim_leadership(make_state())
    assert not store.claims
    assert store.reads == 1


# Fails if a leader keeps the rules of its first configuration for ever.
def test_the_rules_of_a_leader_are_read_again(monkeypatch, clock):
    store = FakeStore(RULES)
    node = make_node(monkeypatch, store)
    node.claim_leadership(make_state())
    assert node.leader.pressure.limits == RULES.service_limits
    store.rules = NEW_RULES
    store.is_down = True
    node.rules.refresh()
    assert node.leader.pressure.limits == RULES.service_limits
    store.is_down = False
    node.rules.refresh()
    assert node.leader.pressure.limits == NEW_RULES.service_limits


# Fails if a leader that announces itself while a rank reads the row is replaced by
# that rank at once.
def test_a_leader_heard_during_the_read_is_not_replaced(monkeypatch, clock):
    store = FakeStore(RULES)
    node = make_node(monkeypatch, store)

    def read(_group):
        clock[0] += 0.1
        node.follow_leader(1, '127.0.0.2:9')
        return LeaderRow(1)

    monkeypatch.setattr(store, 'read', read)
    node.claim_leadership(make_state())
    assert not store.claims
    assert node.leader is None


# Fails if a sidecar begins a term with rules that it read long ago.
def test_a_new_term_begins_with_current_rules(monkeypatch, clock):
    store = FakeStore(RULES)
    node = make_node(monkeypatch, store)
    node.claim_leadership(make_state())
    store.rules = NEW_RULES
    clock[0] += MAX_RULES_AGE_S + 1
    node.claim_leadership(make_state())
    assert node.leader.pressure.limits == NEW_RULES.service_limits


# Fails if a leader whose term a restored store has lost goes on to lead, and
# never changes a map again.
@pytest.mark.parametrize('fence', [0, 4, make_position(1, 3)])
def test_a_leader_whose_term_the_store_lost_resigns(monkeypatch, clock, fence):
    store = FakeStore(RULES)
    store.fence = 8
    node = make_node(monkeypatch, store)
    node.claim_leadership(make_state())
    assert node.leader.is_still_leader()
    store.fence = fence
    store.era = 1
    assert not node.leader.is_still_leader()
    assert node.leader.must_resign


def test_a_leader_whose_term_a_restored_store_has_goes_on(monkeypatch, clock):
    store = FakeStore(RULES)
    node = make_node(monkeypatch, store)
    node.claim_leadership(make_state())
    store.era = 1
    assert node.leader.is_still_leader()
    assert not node.leader.must_resign


def test_a_stale_read_of_the_row_ends_no_term(monkeypatch, clock):
    store = FakeStore(RULES)
    store.fence = 8
    node = make_node(monkeypatch, store)
    node.claim_leadership(make_state())
    store.fence = 4
    assert not node.leader.is_still_leader()
    assert not node.leader.must_resign
