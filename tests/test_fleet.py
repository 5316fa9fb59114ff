"""Check limits, suspects, routing, lease: how the nodes act together."""

import itertools
import random

import pytest

from comfreyarch_core import lease, limits, routing, suspects
from comfreyarch_core.frames import Beat
from comfreyarch_core.lease import LeaseKeeper, LeaseRow
from comfreyarch_core.limits import Demand, Home, TeamGate
from comfreyarch_core.refusals import Kind, Ran
from comfreyarch_core.routing import Peer, choose_subset, make_router

ENTRIES = 16
ZONES = 4


class Limited:
    """Run one team's limits over many entries in two levels."""

    def __init__(self, rate: float, open_limit: float) -> None:
        self.gates = [
            TeamGate(rate, open_limit, ENTRIES) for _ in range(ENTRIES)
        ]
        part = 1 - limits.STATIC_PART
        self.root = Home(rate * part, open_limit * part)
        self.zones = [Home(0, 0) for _ in range(ZONES)]
        self.cut: set[int] = set()

    def renew(self, now: float) -> None:
        for number, zone in enumerate(self.zones):
            if number not in self.cut:
                grant = self.root.handle(f'z{number}', zone.demand(), now)
                zone.resize(grant.rate, grant.open)
            else:
                zone.resize(0, 0)
        for number, gate in enumerate(self.gates):
            zone = number % ZONES
            if zone not in self.cut:
                demand = gate.demand(now)
                home = self.zones[zone]
                gate.grant = home.handle(f'e{number}', demand, now)

    def allowed(self, now: float) -> float:
        return sum(gate.allowed_rate(now) for gate in self.gates)


def test_shares_never_exceed_the_team_limit() -> None:
    source = random.Random(3)
    fleet = Limited(1000, 400)
    for second in range(60):
        now = float(second)
        if second == 30:
            fleet.cut = {1}
        for gate in fleet.gates:
            for _ in range(source.randrange(0, 200)):
                gate.admit(now)
                gate.open_requests = 0
        fleet.renew(now)
        assert fleet.allowed(now) <= 1000 * 1.001


def test_demand_at_one_entry_gets_most_of_the_limit() -> None:
    fleet = Limited(1000, 400)
    admitted = 0
    for tenth in range(200):
        now = tenth / 10
        for _ in range(100):
            if fleet.gates[0].admit(now) is None:
                admitted += 1
                fleet.gates[0].release()
        if tenth % 10 == 0:
            fleet.renew(now)
    assert admitted / 20 >= 0.7 * 1000
    assert admitted / 20 <= 1000 * 1.1


def test_cut_off_entry_keeps_to_its_static_share() -> None:
    gate = TeamGate(1600, 100, ENTRIES)
    assert gate.allowed_rate(0) == pytest.approx(1600 * 0.2 / ENTRIES)
    gate.grant = limits.Grant(100, 10, 5)
    assert gate.allowed_rate(4) > 100
    assert gate.allowed_rate(6) == pytest.approx(1600 * 0.2 / ENTRIES)


def test_refusal_over_rate_tells_when_to_come_back() -> None:
    gate = TeamGate(1, 100, 1)
    refusals = [gate.admit(0) for _ in range(5)]
    last = refusals[-1]
    assert last is not None
    assert last.kind == Kind.over_rate
    assert last.ran == Ran.not_run
    assert last.retry_after_s >= 1


def test_concurrency_is_bounded() -> None:
    gate = TeamGate(1e6, 5, 1)
    gate.grant = limits.Grant(1e6, 4, 100)
    taken = [gate.admit(0.1 * number) for number in range(50)]
    assert sum(one is None for one in taken) <= 5


def test_shares_go_to_who_wants_them() -> None:
    home = Home(100, 100)
    for now in (0, 1, 2):
        small = home.handle('small', Demand(5, 5), now)
        large = home.handle('large', Demand(500, 500), now)
    assert small.rate >= 5
    assert large.rate >= 80
    assert small.rate + large.rate <= 100.001


def test_batch_crash_suspects_all_and_quarantines_none() -> None:
    desk = suspects.make_crash_desk()
    outcomes = desk.handle(suspects.Crashed(('bad', 'ok')), 0)
    assert {one.digest for one in outcomes} == {'bad', 'ok'}
    assert desk.suspect('ok') and not desk.quarantined('ok')


def test_second_crash_alone_quarantines_and_mates_are_cleared() -> None:
    desk = suspects.make_crash_desk()
    desk.handle(suspects.Crashed(('bad', 'ok')), 0)
    cleared = desk.handle(suspects.Survived('ok', alone=True), 0)
    assert cleared == [suspects.Spread('ok', 0)]
    outcomes = desk.handle(suspects.Crashed(('bad',)), 0)
    assert suspects.Quarantine('bad') in outcomes
    assert desk.quarantined('bad') and not desk.suspect('ok')


def test_quarantine_spreads_and_is_released_by_configuration() -> None:
    desk = suspects.make_crash_desk()
    assert desk.handle(suspects.Heard('bad', 2), 0)
    assert desk.handle(suspects.Heard('bad', 2), 0) == []
    desk.handle(suspects.Published(frozenset({'bad'})), 0)
    desk.handle(suspects.Published(frozenset()), 0)
    assert not desk.quarantined('bad')


def test_innocent_in_two_batches_is_not_quarantined() -> None:
    desk = suspects.make_crash_desk()
    desk.handle(suspects.Crashed(('bad', 'ok')), 0)
    desk.handle(suspects.Crashed(('other', 'ok')), 0)
    assert not desk.quarantined('ok')


def peers(count: int, zones: int) -> list[Peer]:
    return [
        Peer(f's{number}', f'u{number}', 'g', f'z{number % zones}')
        for number in range(count)
    ]


def test_subset_prefers_its_own_zone_and_keeps_a_way_out() -> None:
    chosen = choose_subset('e1', 'z0', peers(200, 5), 16)
    near = [one for one in chosen if one.availability_zone == 'z0']
    assert len(chosen) == 16
    assert 10 <= len(near) < 16


def test_subsets_spread_the_load_of_links() -> None:
    links: dict[str, int] = {}
    everyone = peers(200, 5)
    for number in range(100):
        for one in choose_subset(f'e{number}', f'z{number % 5}', everyone, 16):
            links[one.node] = links.get(one.node, 0) + 1
    assert max(links.values()) <= 3 * 8


def test_subset_changes_little_when_a_sidecar_goes() -> None:
    everyone = peers(200, 5)
    before = {one.node for one in choose_subset('e1', 'z0', everyone, 16)}
    gone = sorted(before)[0]
    rest = [one for one in everyone if one.node != gone]
    after = {one.node for one in choose_subset('e1', 'z0', rest, 16)}
    assert len(before & after) == 15


def router_of(count: int) -> routing.Router:
    router = make_router(1)
    router.know(peers(count, 2))
    for number in range(count):
        router.heard(Beat(f's{number}', 'i', 1, slots=4, service_ms=50), 0)
    return router


def test_silent_leaving_and_down_sidecars_get_no_work() -> None:
    router = router_of(4)
    router.heard(Beat('s0', 'i', 1, leaving=True), 0)
    router.heard(Beat('s1', 'i', 1, ready=False), 0)
    router.heard(Beat('s3', 'i', 1, slots=4), 10)
    router.heard(Beat('s2', 'i', 1, slots=4), 4)
    for _ in range(20):
        assert router.choose('g', 0, 10).peer.node == 's3'
    router.lost('s3')
    assert router.choose('g', 0, 10) is None


def test_death_is_noticed_within_three_seconds() -> None:
    router = router_of(1)
    assert router.choose('g', 0, 2) is not None
    assert router.choose('g', 0, 3) is None


def test_a_tried_sidecar_is_avoided() -> None:
    router = router_of(2)
    for _ in range(20):
        view = router.choose('g', 0, 0, frozenset({'s0'}))
        assert view.peer.node == 's1'


def test_entries_agree_where_a_prefix_is_warm_until_it_costs_too_much() -> None:
    router = router_of(8)
    first = router.choose('g', 77, 0)
    assert router_of(8).choose('g', 77, 0).peer == first.peer
    for view in router.near(list(router.views.values()), 77):
        busy = Beat(view.peer.node, 'i', 1, queued=90, slots=4, service_ms=50)
        router.heard(busy, 0)
    chosen = router.choose('g', 77, 0)
    assert chosen not in router.near(list(router.views.values()), 77)


def test_resends_of_a_key_meet_at_one_sidecar() -> None:
    routers = [router_of(5), router_of(5)]
    for key in map(str, range(20)):
        chosen = {one.choose_keyed('g', key, 0).peer.node for one in routers}
        assert len(chosen) == 1


def test_slow_rank_with_a_small_share_gets_less() -> None:
    router = router_of(2)
    router.heard(Beat('s0', 'i', 1, slots=4, service_ms=50, share=0.2), 0)
    counts = {'s0': 0, 's1': 0}
    for _ in range(100):
        view = router.choose('g', 0, 0)
        router.sent(view)
        counts[view.peer.node] += 1
    assert counts['s0'] < counts['s1'] / 2


FATES = ('ok', 'lost answer', 'lost', 'down')


class LeaseTable:
    """Hold one lease row and several candidates' pending writes."""

    def __init__(self, count: int) -> None:
        self.row = LeaseRow()
        self.keepers = [
            LeaseKeeper(f'side-{number}', number) for number in range(count)
        ]
        self.leads: list[tuple[str, int]] = []

    def act(self, number: int, outcomes: list, fate: str, now: float) -> None:
        for outcome in outcomes:
            if isinstance(outcome, lease.Lead):
                name = self.keepers[number].holder
                self.leads.append((name, outcome.fence))
            elif isinstance(outcome, lease.ReadRow):
                if fate != 'down':
                    self.tell(number, lease.Saw(self.row), fate, now)
            elif isinstance(outcome, lease.WriteRow):
                self.write(number, outcome, fate, now)

    def write(
        self,
        number: int,
        write: lease.WriteRow,
        fate: str,
        now: float,
    ) -> None:
        if fate == 'down':
            return
        matches = self.row.version == write.expected
        if matches and fate != 'lost':
            self.row = write.row
        taken = matches and fate == 'ok'
        message = lease.Took(write.row) if taken else lease.Missed()
        self.tell(number, message, 'ok', now)

    def tell(self, number: int, message: object, fate: str, now: float) -> None:
        self.act(number, self.keepers[number].handle(message, now), fate, now)


@pytest.mark.parametrize(
    ('seed', 'fate'),
    list(itertools.product(range(20), FATES)),
)
def test_no_two_candidates_lead_under_one_fence(seed: int, fate: str) -> None:
    source = random.Random(f'{seed}/{fate}')
    table = LeaseTable(3)
    paused: dict[int, float] = {}
    for tick in range(400):
        now = tick * 0.5
        for number in range(3):
            if paused.get(number, 0) > now:
                continue
            if source.random() < 0.01:
                paused[number] = now + 15
                continue
            one = fate if source.random() < 0.3 else 'ok'
            table.tell(number, lease.Tick(), one, now)
    fences = [fence for _, fence in table.leads]
    holders: dict[int, set[str]] = {}
    for holder, fence in table.leads:
        holders.setdefault(fence, set()).add(holder)
    assert fences
    assert all(len(one) == 1 for one in holders.values())


def test_lease_of_a_dead_holder_is_taken_over() -> None:
    table = LeaseTable(2)
    for tick in range(40):
        now = tick * 0.5
        table.tell(0, lease.Tick(), 'ok', now)
        table.tell(1, lease.Tick(), 'ok', now)
    assert {holder for holder, _ in table.leads} == {'side-0'}
    for tick in range(40, 80):
        table.tell(1, lease.Tick(), 'ok', tick * 0.5)
    assert table.leads[-1][0] == 'side-1'
    assert table.row.fence == 2


def test_store_down_keeps_the_holder() -> None:
    table = LeaseTable(2)
    for tick in range(20):
        table.tell(0, lease.Tick(), 'ok', tick * 0.5)
    for tick in range(20, 100):
        for number in range(2):
            table.tell(number, lease.Tick(), 'down', tick * 0.5)
    assert table.keepers[0].leading_fence == 1
    assert len(table.leads) == 1
