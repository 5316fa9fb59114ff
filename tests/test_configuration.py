"""Test the check, the publishing and the propagation of configuration.

Publishing must survive concurrent publishers and writes whose outcome is
unknown; a node's revision must never decrease.
"""

import random
import tomllib

import pytest
from fake_store import FakeStore
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyarch_cli.parsing import check_files
from comfreyarch_core.checking import check
from comfreyarch_core.revisions import Delta, Follower
from comfreyarch_daemon import publishing
from comfreyarch_daemon.configsync import ConfigSynchronizer
from comfreyarch_daemon.publishing import (
    publish,
    publish_change,
    read_current_config,
)
from standins.fleetsetup import format_config

VALID = tomllib.loads(format_config(4, 2))


def with_team(raw: dict, name: str, rate: float = 5) -> dict:
    digest = f'{abs(hash(name)):064x}'[:64]
    team = {'token_sha256': digest, 'rate': rate}
    return {**raw, 'teams': {**raw.get('teams', {}), name: team}}


def test_groups_of_one_model_are_one_pool() -> None:
    raw = {
        **VALID,
        'model_groups': {
            'redator': VALID['model_groups']['redator'],
            'redator-b': VALID['model_groups']['redator'],
        },
    }
    config = check(raw).config
    assert config.pool_of('redator-b') == config.pool_of('redator') == 'redator'
    assert config.pool_of('balcao') == 'balcao'


def test_good_set_has_no_fault() -> None:
    assert check(VALID).faults == ()


@pytest.mark.parametrize(
    ('change', 'place'),
    [
        ({'model_groups': {'g': {'model': 'm'}}}, 'model_groups.g'),
        ({'teams': {'t': {'token_sha256': 'x'}}}, 'teams.t'),
        ({'teams': {'t': {'token_sha256': 'a' * 64, 'rat': 1}}}, 'teams.t'),
        (
            {'upstreams': {'u': {'group': 'none', 'availability_zone': 'z'}}},
            'upstreams.u',
        ),
        ({'routes': {'r': {'group': 'none', 'prefix': '/x'}}}, 'routes.r'),
        ({'stops': {'s': {'upstream': 'none'}}}, 'stops.s'),
        ({'stops': {'s': {}}}, 'stops.s'),
        ({'gadgets': {'x': {}}}, 'gadgets'),
        ({'routes': {'r': 7}}, 'routes.r'),
        (
            {'expert_maps': {'m': {'experts': 3, 'placement': [[0]]}}},
            'expert_maps.m',
        ),
    ],
)
def test_each_fault_names_its_object_and_a_remedy(
    change: dict, place: str
) -> None:
    faults = check(change).faults
    assert place in {fault.object for fault in faults}
    assert all(fault.remedy for fault in faults)


def test_all_faults_show_at_once_with_their_files(tmp_path) -> None:
    (tmp_path / 'a.toml').write_text('[teams.t]\nrate = "x"\nbad = 1\n')
    (tmp_path / 'b.toml').write_text('[teams.t]\n[routes.r]\n')
    (tmp_path / 'c.toml').write_text('not toml')
    _, checked = check_files([tmp_path])
    shown = '\n'.join(map(str, checked.faults))
    for text in (
        'a.toml: teams.t.rate',
        'bad',
        'token_sha256',
        'c.toml',
        'b.toml',
    ):
        assert text in shown


@settings(derandomize=True, max_examples=200)
@given(
    st.dictionaries(
        st.sampled_from(['teams', 'routes', 'upstreams', 'stops', 'zzz']),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: st.dictionaries(
                st.text(max_size=5), inner, max_size=3
            ),
            max_leaves=8,
        ),
        max_size=4,
    ),
)
def test_any_raw_set_gives_faults_and_no_exception(raw: dict) -> None:
    check(raw)


def test_revision_never_goes_back_whatever_comes() -> None:
    source = random.Random(5)
    deltas = [
        Delta(number, f't{number}', {'teams': {f'n{number}': {}}}, {})
        for number in range(1, 30)
    ]
    follower = Follower()
    highest = 0
    for _ in range(300):
        base = source.randrange(0, 20)
        snapshot = {'teams': {}} if source.random() < 0.2 else None
        received = source.sample(deltas, source.randrange(0, 6))
        follower.receive(base, snapshot, received)
        assert follower.revision >= highest
        highest = follower.revision
    follower.receive(0, None, deltas)
    assert follower.revision == 29


def test_racing_publishers_one_wins_and_the_other_is_told() -> None:
    store = FakeStore()
    current = read_current_config(store)
    first = publish(store, current, with_team({}, 'one'))
    second = publish(store, current, with_team({}, 'two'))
    assert isinstance(first, publishing.Published)
    assert isinstance(second, publishing.RevisionTaken)
    assert set(read_current_config(store).raw['teams']) == {'one'}


def test_edits_that_race_all_take_effect() -> None:
    store = FakeStore()
    for number in range(70):
        outcome = publish_change(
            store, lambda raw, n=number: with_team(raw, f't{n}')
        )
        assert isinstance(outcome, publishing.Published)
    assert len(read_current_config(store).raw['teams']) == 70


def test_refused_set_changes_nothing() -> None:
    store = FakeStore()
    publish(store, read_current_config(store), VALID)
    before = read_current_config(store)
    outcome = publish(store, before, {'teams': {'t': {}}})
    assert isinstance(outcome, publishing.Refused)
    assert read_current_config(store) == before


@pytest.mark.parametrize('effect', [True, False])
def test_unclear_publish_is_settled_by_its_token(effect: bool) -> None:
    store = FakeStore()
    current = read_current_config(store)
    store.write_outcomes = ['lost answer' if effect else 'late']
    if not effect:
        store.on_read = store.apply_late_writes
    outcome = publish(store, current, with_team({}, 'one'))
    assert isinstance(outcome, publishing.Published)
    assert read_current_config(store).revision == 1


def test_unclear_publish_that_another_overtook_is_raced() -> None:
    store = FakeStore()
    current = read_current_config(store)
    store.write_outcomes = ['lost']
    other = with_team({}, 'two')
    store.on_read = lambda: (
        None if store.rows else publish(store, current, other)
    )
    outcome = publish(store, current, with_team({}, 'one'))
    assert isinstance(outcome, publishing.RevisionTaken)


def test_store_down_publishes_nothing() -> None:
    store = FakeStore()
    store.write_outcomes = ['down']
    outcome = publish(store, read_current_config(store), with_team({}, 'one'))
    assert isinstance(outcome, publishing.StoreDown)
    assert store.rows == {}


def test_new_node_starts_from_a_peer_while_the_store_is_down() -> None:
    store = FakeStore()
    for number in range(40):
        publish_change(store, lambda raw, n=number: with_team(raw, f't{n}'))
    peer = ConfigSynchronizer(store, lambda _: None)
    peer.poll()
    failed_store = FakeStore()
    failed_store.up = False
    new_node = ConfigSynchronizer(failed_store, lambda _: None)
    assert not new_node.try_poll()
    from comfreyarch_core import frames

    new_node.apply_push(peer.answer_pull(frames.Pull(0)))
    assert new_node.revision() == 40
    assert len(new_node.follower.config.teams) == 40


def test_node_follows_by_deltas_and_by_snapshot() -> None:
    store = FakeStore()
    seen: list[int] = []
    synchronizer = ConfigSynchronizer(
        store, lambda advance: seen.append(advance.revision)
    )
    for number in range(40):
        publish_change(store, lambda raw, n=number: with_team(raw, f't{n}'))
        if number % 7 == 0:
            synchronizer.poll()
    synchronizer.poll()
    late_node = ConfigSynchronizer(store, lambda _: None)
    late_node.poll()
    assert synchronizer.follower.raw == late_node.follower.raw
    assert seen == sorted(seen)


def test_one_type_fault_hides_no_other_fault():
    raw = {
        'teams': {'broken': {'token_sha256': 5}},
        'objectives': {'o': {'target': 7}},
        'routes': {'r': {'group': 'none', 'prefix': 'x'}},
    }
    found = {(fault.object, fault.field) for fault in check(raw).faults}
    assert ('teams.broken', 'token_sha256') in found
    assert ('routes.r', 'group') in found
    assert ('routes.r', 'prefix') in found


def test_a_reference_to_an_unreadable_object_is_no_fault_of_its_own():
    raw = {
        'service_groups': {'g': {'slots': 'x', 'unknown': 1}},
        'routes': {'r': {'group': 'g', 'prefix': '/x'}},
    }
    found = {(fault.object, fault.field) for fault in check(raw).faults}
    assert not [place for place in found if place[0] == 'routes.r']
