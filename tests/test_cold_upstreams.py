"""Test what entries send to cold upstreams, and which upstreams are cold."""

import random

import pytest
from limit_world import most_in_window

from comfreyarch_core.coldstates import ColdRules
from comfreyarch_core.coldupstreams import (
    MIN_PERIOD_S,
    SEND_WITHIN_S,
    ColdBound,
    make_cold_upstreams,
    make_plan,
)
from comfreyarch_core.storeposition import make_position
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector

BOUND = ColdBound(1.5, 5)
RULES = ColdRules(3, 28)
CHECK_S = 0.03


def upstream(
    name='u0', cold_s=None, sequence=1, started_ms=1, service='s', listed=0
):
    """Create a list entry."""
    return UpstreamEntry(
        name,
        service,
        f'{name}:1',
        'z',
        5,
        False,
        cold_s,
        listed=listed,
        started_ms=started_ms,
        sequence=sequence,
    )


class ColdWorld:
    """Play entries that send to cold upstreams whenever they may.

    :param chance: part of the checks at which an entry has a request.
    :param connect_s: longest time for which a connection opens.
    :param delay_s: longest time from a send to its arrival.
    """

    def __init__(self, entries, upstreams, rules, seed=1, chance=1, delay_s=0):
        self.source = random.Random(seed)
        self.rules = rules
        self.chance = chance
        self.delay_s = delay_s
        self.connect_s = delay_s
        self.now = 0.0
        self.listed = [upstream(f'u{n}') for n in range(upstreams)]
        self.arrivals = {entry.name: [] for entry in self.listed}
        self.members = [f'e{n}' for n in range(entries)]
        self.entries = {}
        self.frozen_until = {}
        self.blind = set()
        for name in self.members:
            self.start(name)

    def start(self, name, members=None):
        """Start an entry, or start it again."""
        cold = make_cold_upstreams(name)
        cold.bound = BOUND
        cold.rules = {'s': self.rules}
        cold.update_upstreams(self.listed, self.now)
        if members is None:
            members = self.members
        if members:
            cold.record_entries(members, self.now)
        self.entries[name] = cold

    def state_cold(self, cold_s):
        """Let all upstreams state a remaining time; blind entries miss it."""
        self.listed = [
            upstream(entry.name, cold_s, entry.sequence + 1)
            for entry in self.listed
        ]
        for name, cold in self.entries.items():
            if name not in self.blind:
                cold.update_upstreams(self.listed, self.now)

    def play(self, until):
        """Let every entry check its upstreams until a time."""
        phases = {name: self.source.random() * CHECK_S for name in self.entries}
        while self.now < until:
            for name, cold in self.entries.items():
                at = self.now + phases.get(name, 0)
                if self.frozen_until.get(name, 0) <= at:
                    self.check(cold, at)
            self.now += CHECK_S

    def check(self, cold, at):
        """Send a request to each upstream that may get one."""
        for entry in self.listed:
            if self.source.random() >= self.chance:
                continue
            if cold.may_send(entry, at):
                send_by = cold.record_send(entry, at)
                sent_at = at + self.source.random() * self.connect_s
                if sent_at < send_by:
                    arrived_at = sent_at + self.source.random() * self.delay_s
                    self.arrivals[entry.name].append(arrived_at)

    def most(self):
        """Return the most requests in any sliding second at one upstream."""
        return max(
            most_in_window(sorted(times), 1.0)
            for times in self.arrivals.values()
        )

    def used(self, begin, end):
        """Return the requests per request tolerated, least of the upstreams."""
        tolerated = self.rules.per_s * (end - begin)
        return min(
            sum(begin <= at < end for at in times) / tolerated
            for times in self.arrivals.values()
        )


# Fails if the shares of all entries exceed the bound in any second, or if less is
# used than the upstreams tolerate.
@pytest.mark.parametrize(
    ('entries', 'per_s'),
    [(1, 28), (13, 28), (26, 28), (26, 2), (26, 0.5), (40, 7.5), (340, 28)],
)
def test_all_entries_together_send_what_is_tolerated(entries, per_s):
    world = ColdWorld(entries, 24 if entries == 26 else 3, ColdRules(3, per_s))
    world.now = 5
    world.state_cold(30)
    world.play(30)
    assert world.most() <= BOUND.overage * per_s + BOUND.allowance
    assert 0.9 <= world.used(6, 30) <= 1.05


# Fails if the short time for which an upstream is cold is not used.
def test_the_first_seconds_are_used():
    world = ColdWorld(26, 24, RULES)
    world.now = 5
    world.state_cold(3)
    world.play(8)
    assert world.most() <= 47
    assert 0.9 <= world.used(5, 8) <= 1.05


# Fails if what was saved, and what follows, falls into one second on its way.
@pytest.mark.parametrize('seed', range(4))
def test_a_burst_after_a_pause_stays_within_the_bound(seed):
    world = ColdWorld(26, 4, RULES, seed, delay_s=0.1)
    world.now = 5
    world.state_cold(60)
    for begin in range(8, 40, 4):
        world.now = begin
        world.play(begin + 2)
    assert 28 <= world.most() <= 47


# Fails if two rounds of sends fall into one second, as connections and requests
# take up to 0.1 s each.
@pytest.mark.parametrize('seed', range(4))
def test_short_bursts_a_second_apart(seed):
    world = ColdWorld(26, 4, RULES, seed, delay_s=0.1)
    world.now = 5
    world.state_cold(60)
    for begin in range(8, 40):
        world.now = begin
        world.play(begin + 0.1)
    assert world.most() <= make_plan(28, BOUND).sends


# Fails if the requests sent before an upstream became cold are left out.
def test_an_upstream_that_becomes_cold_again():
    world = ColdWorld(26, 4, RULES, chance=0.01)
    for begin in range(5, 30, 5):
        world.now = begin
        world.state_cold(0)
        world.play(begin + 2)
        world.state_cold(3)
        world.play(begin + 4)
    assert world.most() <= 47


# Fails if an entry that starts uses at once what its predecessor just used, or if
# one that knows no others takes all.
@pytest.mark.parametrize('members', [None, ()])
def test_entries_that_start(members):
    world = ColdWorld(26, 4, RULES)
    world.now = 5
    world.state_cold(60)
    for round_ in range(20):
        world.play(8 + round_ * 0.7)
        for number in range(round_ % 3, 26, 3):
            world.start(f'e{number}', members)
    assert world.most() <= 47


# Fails if new entries take more than the reserve before the others know of them.
def test_new_entries_unknown_to_the_others():
    world = ColdWorld(26, 4, RULES)
    world.now = 5
    world.state_cold(60)
    world.play(10)
    for number in range(4):
        world.start(f'new{number}', [*world.members, 'new0', 'new1', 'new2'])
    world.play(20)
    assert world.most() <= 47


# Fails if sends are caught up on after a pause of the process.
def test_frozen_entries():
    world = ColdWorld(26, 4, RULES)
    world.now = 5
    world.state_cold(60)
    for begin in range(8, 40, 4):
        for number in range(0, 26, 2):
            world.frozen_until[f'e{number}'] = begin + 3
        world.play(begin + 4)
    assert world.most() <= 47


# Fails if entries that are cut off take the shares of those not heard any more.
def test_entries_cut_off_from_each_other():
    world = ColdWorld(26, 4, RULES)
    world.now = 5
    world.state_cold(100)
    world.play(60)
    for name, cold in world.entries.items():
        cold.record_entries([name], world.now)
    world.play(70)
    assert world.most() <= 47


def test_a_request_that_was_not_sent_in_time_is_placed_again():
    world = ColdWorld(1, 1, RULES)
    world.now = 5
    world.state_cold(3)
    cold = world.entries['e0']
    assert cold.may_send(world.listed[0], 6.5)
    assert cold.record_send(world.listed[0], 6.5) == 6.5 + SEND_WITHIN_S


def test_no_send_where_the_bound_allows_none():
    assert make_plan(0.3, ColdBound(1.5, 0)).sends == 0
    assert make_plan(1.9, ColdBound()).sends == 1
    plan = make_plan(28, BOUND)
    assert plan.sends == 34
    assert plan.sends / plan.period_s == pytest.approx(28)
    assert plan.period_s >= MIN_PERIOD_S
    assert sum(plan.owned(rank, 26) for rank in range(26)) == 34


def make_cold(*entries, rules=RULES):
    """Create the state of an entry that has run for a time."""
    cold = make_cold_upstreams('e')
    cold.bound = BOUND
    cold.rules = {'s': rules}
    cold.update_upstreams(entries, 0)
    cold.record_entries(['e'], 0)
    return cold


# Fails if an entry that starts regards all upstreams as cold, or one that starts
# later as warm.
def test_an_upstream_is_cold_from_its_listing():
    running = upstream('u0', 0)
    cold = make_cold(running)
    assert not cold.is_cold(running, 1)
    started = upstream('u1', 0)
    cold.update_upstreams([running, started], 10)
    assert not cold.is_cold(running, 10)
    assert cold.is_cold(started, 12.9)
    assert not cold.is_cold(started, 13)
    # Its next statement takes precedence.
    cold.update_upstreams([running, upstream('u1', 0, 2)], 11)
    assert not cold.is_cold(started, 11)


# Fails if upstreams that start after all others left the list are taken for ones
# that run, as those in the first list of an entry.
def test_an_upstream_that_starts_after_an_empty_list():
    cold = make_cold()
    started = upstream('u1', 0)
    cold.update_upstreams([started], 10)
    assert cold.is_cold(started, 12.9)


# Fails if a list entry that is read again starts the time anew.
def test_a_stale_list_entry_counts_down():
    entry = upstream(cold_s=2)
    cold = make_cold(entry)
    cold.update_upstreams([entry], 1.9)
    assert cold.is_cold(entry, 1.9)
    assert not cold.is_cold(entry, 2)
    unstated = upstream(sequence=2)
    cold.update_upstreams([unstated], 1.5)
    assert cold.is_cold(unstated, 1.9)
    assert not cold.is_cold(unstated, 2)


def test_upstreams_of_an_ended_evacuation_are_presumed_cold():
    entry = upstream(cold_s=0)
    cold = make_cold(entry)
    cold.presume_cold(['u0', 'unknown'], 5, 10)
    cold.update_upstreams([entry], 10.1)
    assert cold.is_cold(entry, 12.9)
    assert not cold.is_cold(entry, 13)
    cold.presume_cold(['u0'], 5, 20)
    cold.update_upstreams([upstream(cold_s=0, sequence=2, listed=6)], 20.1)
    assert not cold.is_cold(entry, 20.1)


# Fails if a list entry that is read after the end of an evacuation, but was written
# before it, ends the limit.
def test_a_list_entry_from_before_the_end_does_not_end_the_limit():
    entry = upstream(cold_s=0)
    cold = make_cold(entry)
    cold.presume_cold(['u0'], 5, 10)
    cold.update_upstreams([upstream(cold_s=0, sequence=2, listed=5)], 10.1)
    assert cold.is_cold(entry, 12.9)
    # Nor does one that does not state a time.
    cold.update_upstreams([upstream(sequence=3, listed=6)], 10.2)
    assert cold.is_cold(entry, 12.9)
    assert not cold.is_cold(entry, 13)
    cold.update_upstreams([upstream(cold_s=0, sequence=4, listed=7)], 10.3)
    assert not cold.is_cold(entry, 10.3)
    assert not cold.presumed


# Fails if an entry from before the end counts as newer, as a restored store gives it
# a position in a new era.
def test_a_restored_list_entry_does_not_end_the_limit():
    cold = make_cold(upstream(cold_s=0, sequence=4, listed=4))
    cold.presume_cold(['u0'], 5, 10)
    restored = upstream(cold_s=0, sequence=4, listed=make_position(1, 4))
    cold.update_upstreams([restored], 10.1)
    cold.update_upstreams([restored], 10.2)
    assert cold.is_cold(restored, 12.9)
    newer = upstream(cold_s=0, sequence=5, listed=make_position(1, 5))
    cold.update_upstreams([newer], 10.3)
    assert not cold.is_cold(newer, 10.3)


# Fails if the end of an evacuation shortens the time that an upstream stated, or
# limits upstreams of a service without a rule.
def test_what_an_upstream_stated_outlasts_the_presumption():
    entry = upstream(cold_s=20)
    cold = make_cold(entry)
    cold.presume_cold(['u0'], 5, 10)
    assert cold.is_cold(entry, 19.9)
    warm = upstream(cold_s=0)
    cold = make_cold(warm, rules=ColdRules())
    cold.presume_cold(['u0'], 5, 10)
    assert not cold.is_cold(warm, 10)


# Fails if a request that was sent before the upstream became cold is left out.
def test_the_sends_before_an_upstream_became_cold_count():
    cold = make_cold(upstream(cold_s=0), rules=ColdRules(3, 1))
    assert cold.record_send(upstream(), 9.9) == float('inf')
    assert cold.record_send(upstream(), 9.95) == float('inf')
    entry = upstream(cold_s=3, sequence=2)
    cold.update_upstreams([entry], 10)
    # Two sends in 2 s, both used just before.
    assert cold.next_send_at(entry, 10) == pytest.approx(11.9)


# Fails if an entry that starts sends what its predecessor may just have sent.
def test_an_entry_that_starts_waits_for_a_period():
    entry = upstream(cold_s=60)
    cold = make_cold_upstreams('e')
    cold.bound = BOUND
    cold.rules = {'s': RULES}
    cold.update_upstreams([entry], 0)
    assert cold.next_send_at(entry, 5) == 60
    cold.record_entries(['e'], 10)
    assert not cold.may_send(entry, 10 + MIN_PERIOD_S - 0.01)
    # They are spread over the next period.
    free_at = cold.free_at['u0']
    assert free_at[-1] - free_at[0] > 0.9 * MIN_PERIOD_S
    assert cold.may_send(entry, 10 + MIN_PERIOD_S + 0.01)


# Fails if a send that passes between entries is used by both within a second.
def test_a_send_that_passes_to_an_entry_is_unused_for_a_period():
    entry = upstream(cold_s=600)
    cold = make_cold(entry)
    cold.record_entries(['e', 'other'], 1)
    cold.next_send_at(entry, 10)
    assert len(cold.free_at['u0']) == 17
    cold.record_entries(['e'], 200)
    cold.next_send_at(entry, 200)
    free_at = cold.free_at['u0']
    assert len(free_at) == 34
    assert sum(at >= 200 + MIN_PERIOD_S for at in free_at) == 17


# Fails if a deployment without the rule is limited.
def test_a_slow_upstream_is_only_preferred_less():
    entries = [upstream('u0', 0), upstream('u1', 60)]
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(entries)
    selector.cold.update_upstreams(entries, 0)
    chosen = []
    while (view := selector.choose('s', 1)) is not None:
        view.in_flight += 1
        chosen.append(view.entry.name)
    assert chosen == ['u0', 'u1'] * 5


# Fails if a zone that returns gets more than it tolerates, or a request is sent to
# a cold upstream although another one has a slot.
def test_a_whole_zone_that_is_cold():
    entries = [upstream(f'u{n}', 3 if n < 24 else 0) for n in range(72)]
    selector = make_upstream_selector('z', 1)
    selector.cold = make_cold(*entries)
    selector.update_upstreams(entries)
    chosen = []
    while (view := selector.choose('s', 1.3)) is not None:
        selector.cold.record_send(view.entry, 1.3)
        view.in_flight += 1
        chosen.append(view.entry.name)
    assert not {f'u{n}' for n in range(24)} & set(chosen[:48])
    assert len(chosen) < 72 * 5
    assert selector.choose('s', 3) is not None
