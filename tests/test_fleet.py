"""Test team limits, crash suspects, routing and the lease across nodes."""

import itertools
import random

import pytest

from comfreyarch_core import lease, limits, routing, suspects
from comfreyarch_core.frames import Beat
from comfreyarch_core.lease import LeaseCandidate, LeaseRow
from comfreyarch_core.limits import Demand, QuotaAllocator, TeamGate
from comfreyarch_core.refusals import Kind, Ran
from comfreyarch_core.routing import Peer, choose_subset, make_router

ENTRIES = 16
ZONES = 4


class LimitedFleet:
    """Allocate one team's limits to entries through two levels."""

    def __init__(self, rate: float, open_limit: float) -> None:
        self.gates = [
            TeamGate(rate, open_limit, ENTRIES) for _ in range(ENTRIES)
        ]
        shared_fraction = 1 - limits.STATIC_FRACTION
        self.root = QuotaAllocator(
            rate * shared_fraction, open_limit * shared_fraction
        )
        self.zones = [QuotaAllocator(0, 0) for _ in range(ZONES)]
        self.partitioned_zones: set[int] = set()

    def renew(self, now: float) -> None:
        for number, zone in enumerate(self.zones):
            if number not in self.partitioned_zones:
                grant = self.root.handle(f'z{number}', zone.demand(), now)
                zone.resize(grant.rate, grant.open)
            else:
                zone.resize(0, 0)
        for number, gate in enumerate(self.gates):
            zone = number % ZONES
            if zone not in self.partitioned_zones:
                demand = gate.demand(now)
                home = self.zones[zone]
                gate.grant = home.handle(f'e{number}', demand, now)

    def total_allowed_rate(self, now: float) -> float:
        return sum(gate.allowed_rate(now) for gate in self.gates)


def test_shares_never_exceed_the_team_limit() -> None:
    rng = random.Random(3)
    fleet = LimitedFleet(1000, 400)
    for second in range(60):
        now = float(second)
        if second == 30:
            fleet.partitioned_zones = {1}
        for gate in fleet.gates:
            for _ in range(rng.randrange(0, 200)):
                gate.admit(now)
                gate.open_requests = 0
        fleet.renew(now)
        assert fleet.total_allowed_rate(now) <= 1000 * 1.001


def test_demand_at_one_entry_gets_most_of_the_limit() -> None:
    fleet = LimitedFleet(1000, 400)
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
    refusals = [gate.admit(0.1 * number) for number in range(50)]
    assert sum(refusal is None for refusal in refusals) <= 5


def test_shares_go_to_who_wants_them() -> None:
    home = QuotaAllocator(100, 100)
    for now in (0, 1, 2):
        small = home.handle('small', Demand(5, 5), now)
        large = home.handle('large', Demand(500, 500), now)
    assert small.rate >= 5
    assert large.rate >= 80
    assert small.rate + large.rate <= 100.001


def test_batch_crash_suspects_all_and_quarantines_none() -> None:
    tracker = suspects.make_suspect_tracker()
    outcomes = tracker.handle(suspects.UpstreamCrashed(('bad', 'ok')), 0)
    assert {outcome.digest for outcome in outcomes} == {'bad', 'ok'}
    assert tracker.suspect('ok') and not tracker.quarantined('ok')


def test_second_crash_alone_quarantines_and_mates_are_cleared() -> None:
    tracker = suspects.make_suspect_tracker()
    tracker.handle(suspects.UpstreamCrashed(('bad', 'ok')), 0)
    cleared = tracker.handle(suspects.RequestCompleted('ok', alone=True), 0)
    assert cleared == [suspects.NotifyPeers('ok', 0)]
    outcomes = tracker.handle(suspects.UpstreamCrashed(('bad',)), 0)
    assert suspects.Quarantine('bad') in outcomes
    assert tracker.quarantined('bad') and not tracker.suspect('ok')


def test_quarantine_spreads_and_is_released_by_configuration() -> None:
    tracker = suspects.make_suspect_tracker()
    assert tracker.handle(suspects.PeerReport('bad', 2), 0)
    assert tracker.handle(suspects.PeerReport('bad', 2), 0) == []
    tracker.handle(suspects.Published(frozenset({'bad'})), 0)
    tracker.handle(suspects.Published(frozenset()), 0)
    assert not tracker.quarantined('bad')


def test_innocent_in_two_batches_is_not_quarantined() -> None:
    tracker = suspects.make_suspect_tracker()
    tracker.handle(suspects.UpstreamCrashed(('bad', 'ok')), 0)
    tracker.handle(suspects.UpstreamCrashed(('other', 'ok')), 0)
    assert not tracker.quarantined('ok')


def peers(count: int, zones: int) -> list[Peer]:
    return [
        Peer(f's{number}', f'u{number}', 'g', f'z{number % zones}')
        for number in range(count)
    ]


def test_subset_prefers_its_own_zone_and_keeps_a_way_out() -> None:
    chosen = choose_subset('e1', 'z0', peers(200, 5), 16)
    same_zone = [peer for peer in chosen if peer.availability_zone == 'z0']
    assert len(chosen) == 16
    assert 10 <= len(same_zone) < 16


def test_subsets_spread_the_load_of_links() -> None:
    links: dict[str, int] = {}
    all_peers = peers(200, 5)
    for number in range(100):
        for peer in choose_subset(
            f'e{number}', f'z{number % 5}', all_peers, 16
        ):
            links[peer.node] = links.get(peer.node, 0) + 1
    assert max(links.values()) <= 3 * 8


def test_subset_changes_little_when_a_sidecar_goes() -> None:
    all_peers = peers(200, 5)
    before = {peer.node for peer in choose_subset('e1', 'z0', all_peers, 16)}
    removed = sorted(before)[0]
    remaining = [peer for peer in all_peers if peer.node != removed]
    after = {peer.node for peer in choose_subset('e1', 'z0', remaining, 16)}
    assert len(before & after) == 15


def router_of(count: int) -> routing.Router:
    router = make_router(1)
    router.update_peers(peers(count, 2))
    for number in range(count):
        router.record_heartbeat(
            Beat(f's{number}', 'i', 1, slots=4, service_ms=50), 0
        )
    return router


def test_silent_leaving_and_down_sidecars_get_no_work() -> None:
    router = router_of(4)
    router.record_heartbeat(Beat('s0', 'i', 1, leaving=True), 0)
    router.record_heartbeat(Beat('s1', 'i', 1, ready=False), 0)
    router.record_heartbeat(Beat('s3', 'i', 1, slots=4), 10)
    router.record_heartbeat(Beat('s2', 'i', 1, slots=4), 4)
    for _ in range(20):
        assert router.choose('g', 0, 10).peer.node == 's3'
    router.link_lost('s3')
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
    for view in router.prefix_candidates(list(router.views.values()), 77):
        busy = Beat(view.peer.node, 'i', 1, queued=90, slots=4, service_ms=50)
        router.record_heartbeat(busy, 0)
    chosen = router.choose('g', 77, 0)
    assert chosen not in router.prefix_candidates(
        list(router.views.values()), 77
    )


def test_resends_of_a_key_meet_at_one_sidecar() -> None:
    routers = [router_of(5), router_of(5)]
    for key in map(str, range(20)):
        chosen = {
            router.choose_keyed('g', key, 0).peer.node for router in routers
        }
        assert len(chosen) == 1


def test_slow_rank_with_a_small_share_gets_less() -> None:
    router = router_of(2)
    router.record_heartbeat(
        Beat('s0', 'i', 1, slots=4, service_ms=50, share=0.2), 0
    )
    counts = {'s0': 0, 's1': 0}
    for _ in range(100):
        view = router.choose('g', 0, 0)
        router.sent(view)
        counts[view.peer.node] += 1
    assert counts['s0'] < counts['s1'] / 2


STORE_FAULTS = ('ok', 'lost answer', 'lost', 'down')


class LeaseTable:
    """Simulate one lease row and several candidates under store faults."""

    def __init__(self, count: int) -> None:
        self.row = LeaseRow()
        self.candidates = [
            LeaseCandidate(f'side-{number}', number) for number in range(count)
        ]
        self.leads: list[tuple[str, int]] = []

    def apply_outcomes(
        self, number: int, outcomes: list, fault: str, now: float
    ) -> None:
        for outcome in outcomes:
            if isinstance(outcome, lease.Lead):
                name = self.candidates[number].holder
                self.leads.append((name, outcome.fence))
            elif isinstance(outcome, lease.ReadRow):
                if fault != 'down':
                    self.send(number, lease.RowRead(self.row), fault, now)
            elif isinstance(outcome, lease.WriteRow):
                self.write_row(number, outcome, fault, now)

    def write_row(
        self,
        number: int,
        write: lease.WriteRow,
        fault: str,
        now: float,
    ) -> None:
        if fault == 'down':
            return
        matches = self.row.version == write.expected
        if matches and fault != 'lost':
            self.row = write.row
        taken = matches and fault == 'ok'
        message = lease.RowWritten(write.row) if taken else lease.WriteFailed()
        self.send(number, message, 'ok', now)

    def send(
        self, number: int, message: object, fault: str, now: float
    ) -> None:
        self.apply_outcomes(
            number, self.candidates[number].handle(message, now), fault, now
        )


@pytest.mark.parametrize(
    ('seed', 'fault'),
    list(itertools.product(range(20), STORE_FAULTS)),
)
def test_no_two_candidates_lead_under_one_fence(seed: int, fault: str) -> None:
    rng = random.Random(f'{seed}/{fault}')
    table = LeaseTable(3)
    paused: dict[int, float] = {}
    for tick in range(400):
        now = tick * 0.5
        for number in range(3):
            if paused.get(number, 0) > now:
                continue
            if rng.random() < 0.01:
                paused[number] = now + 15
                continue
            current_fault = fault if rng.random() < 0.3 else 'ok'
            table.send(number, lease.Tick(), current_fault, now)
    fences = [fence for _, fence in table.leads]
    holders: dict[int, set[str]] = {}
    for holder, fence in table.leads:
        holders.setdefault(fence, set()).add(holder)
    assert fences
    assert all(len(names) == 1 for names in holders.values())


def test_lease_of_a_dead_holder_is_taken_over() -> None:
    table = LeaseTable(2)
    for tick in range(40):
        now = tick * 0.5
        table.send(0, lease.Tick(), 'ok', now)
        table.send(1, lease.Tick(), 'ok', now)
    assert {holder for holder, _ in table.leads} == {'side-0'}
    for tick in range(40, 80):
        table.send(1, lease.Tick(), 'ok', tick * 0.5)
    assert table.leads[-1][0] == 'side-1'
    assert table.row.fence == 2


def test_store_down_keeps_the_holder() -> None:
    table = LeaseTable(2)
    for tick in range(20):
        table.send(0, lease.Tick(), 'ok', tick * 0.5)
    for tick in range(20, 100):
        for number in range(2):
            table.send(number, lease.Tick(), 'down', tick * 0.5)
    assert table.candidates[0].leading_fence == 1
    assert len(table.leads) == 1
