"""Search for cases in which all entries together exceed the retry budget.

Requests fail in bursts, as they do when upstreams die; retries wait up to some
seconds for a free slot; entries are killed and restarted, added and removed.
The budget is checked as the users word it, from the arrivals at the upstreams.
"""

import heapq
import math
import random
from itertools import count

import gevent
import pytest
from direct_world import World, answering

from comfreyarch_core.retryshare import (
    EntryCount,
    RetryLimits,
    RetryShare,
    make_retry_share,
)
from soak.retrybudget import find_worst_window

LIMITS = RetryLimits(ratio=0.2, allowance=180, window_s=10)
ENTRIES = 8
DAY_S = 60.0
REQUESTS_PER_S = 42
# Longest time that a retry waits for a free slot.
LONGEST_WAIT_S = 8.0
# Time until the others count an entry that was added or removed.
COUNT_DELAY_S = 2.0


class Entry:
    """Represent one entry's process and its share of the budget."""

    def __init__(self, started_at, disabled_rules):
        self.counted = EntryCount(LIMITS.window_s)
        self.disabled_rules = disabled_rules
        if 'restart' in disabled_rules:
            started_at = -1e9
        self.share = make_retry_share(LIMITS, started_at, ENTRIES)
        self.alive = True

    def count_others(self, entries, now):
        """Learn the number of entries."""
        if 'removal' in self.disabled_rules:
            self.counted.seen_at.clear()
        self.counted.record(entries, now)
        self.share.entries = self.counted.highest(now)


class Day:
    """Play a day of failures and count what arrives at the upstreams."""

    def __init__(self, seed, disabled_rules=frozenset()):
        self.random = random.Random(seed)
        self.disabled_rules = disabled_rules
        self.now = 0.0
        self.numbers = count()
        self.events = []
        self.requests = []
        self.arrivals = []
        self.entries = [Entry(-100, disabled_rules) for _ in range(ENTRIES)]
        self.outage_until = 0.0
        self.slots_free_at = 0.0

    def schedule(self, delay_s, action):
        """Run an action later."""
        entry = (self.now + delay_s, next(self.numbers), action)
        heapq.heappush(self.events, entry)

    def play(self):
        """Play the day."""
        self.schedule(0, self.send_requests)
        self.schedule(0, self.count_entries)
        for _ in range(8):
            self.schedule(self.random.uniform(0, DAY_S), self.disturb)
        while self.events and self.events[0][0] < DAY_S:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def send_requests(self):
        """Send a caller's request to some entry."""
        self.schedule(
            self.random.expovariate(REQUESTS_PER_S), self.send_requests
        )
        alive = [entry for entry in self.entries if entry.alive]
        self.requests.append(self.now)
        if alive:
            entry = self.random.choice(alive)
            entry.share.record_request(self.now)
            self.attempt(entry, 1)

    def attempt(self, entry, number):
        """Send a request, which fails during an outage."""
        fails = self.now < self.outage_until and self.random.random() < 0.9
        if fails:
            self.schedule(
                self.random.choice([0.001, 0.3]),
                lambda: self.fail(entry, number),
            )

    def fail(self, entry, number):
        """Reserve a retry after a failure and send it once a slot is free."""
        if not entry.alive or number > 5:
            return
        if not entry.share.reserve(self.now):
            return
        if 'sent' in self.disabled_rules:
            entry.share.spend(self.now)
        wait_s = max(0, self.slots_free_at - self.now)
        wait_s = min(wait_s, LONGEST_WAIT_S) + self.random.uniform(0, 0.05)
        self.schedule(wait_s, lambda: self.retry(entry, number))

    def retry(self, entry, number):
        """Send a retry."""
        if not entry.alive:
            return
        if 'sent' not in self.disabled_rules and not entry.share.spend(
            self.now
        ):
            return
        self.arrivals.append(self.now)
        self.attempt(entry, number + 1)

    def disturb(self):
        """Start an outage, or kill, restart, add or remove entries."""
        match self.random.choice(['outage', 'kill', 'kill_all', 'remove']):
            case 'outage':
                self.outage_until = self.now + self.random.uniform(1, 12)
                self.slots_free_at = self.now + self.random.uniform(0, 12)
            case 'kill':
                self.restart([self.random.randrange(len(self.entries))])
            case 'kill_all':
                self.restart(range(len(self.entries)))
            case 'remove':
                self.entries[0].alive = False
                self.schedule(COUNT_DELAY_S + 8, lambda: self.restart([0]))

    def restart(self, indexes):
        """Replace processes by new ones."""
        for index in indexes:
            self.entries[index].alive = False
            self.entries[index] = Entry(self.now, self.disabled_rules)

    def count_entries(self):
        """Update the number of entries that each entry knows."""
        self.schedule(1, self.count_entries)
        alive = sum(entry.alive for entry in self.entries)
        for entry in self.entries:
            if entry.alive:
                self.schedule(
                    COUNT_DELAY_S,
                    lambda entry=entry: entry.count_others(alive, self.now),
                )

    def excess(self):
        """Return by how many retries the worst window exceeds the budget."""
        return find_worst_window(self.requests, self.arrivals, LIMITS)[0]


def find_excesses(seeds, disabled_rules=frozenset()):
    """Return the seeds whose day exceeds the budget."""
    found = []
    for seed in seeds:
        day = Day(seed, disabled_rules)
        day.play()
        if day.excess() > 0:
            found.append(seed)
    return found


@pytest.mark.parametrize('first_seed', range(0, 120, 30))
def test_no_day_exceeds_the_budget(first_seed):
    assert not find_excesses(range(first_seed, first_seed + 30))


@pytest.mark.parametrize('rule', ['sent', 'restart'])
def test_the_search_finds_the_excess_without_a_rule(rule):
    """Fails if the search cannot find what each rule prevents.

    ``sent``: a retry counts when it is sent, not when the send before failed.
    ``restart``: a restarted entry has no allowance for one window.
    """
    assert find_excesses(range(120), frozenset({rule}))


def test_the_retries_of_a_removed_entry_stay_counted():
    """Fails if an entry takes over a share that lies in the window."""
    entries = EntryCount(10)
    entries.record(8, 0)
    entries.record(7, 5)
    assert entries.highest(9) == 8
    assert entries.highest(11) == 7
    assert entries.highest(30) == 1


def close_connection(_upstream, _sock, _request):
    """Close the connection without an answer."""
    return 'close'


# Fails if a retry counts from the failure before it, so that those which waited
# for a slot arrive beside the retries of the next window.
def test_a_retry_counts_when_it_is_sent():
    with World(close_connection, answering()) as world:
        forwarder = world.entry.forwarder
        busy = forwarder.selector.views['u1']
        busy.in_flight = busy.entry.slots
        call = gevent.spawn(world.call, '/safe/')
        share = forwarder.retry_share('s')
        with gevent.Timeout(5):
            while not share.reserved:
                gevent.sleep(0.01)
        assert not share.retries
        busy.in_flight = 1
        forwarder.dispatcher.release(busy)
        assert call.get()[0] == 200
        assert (len(share.retries), share.reserved) == (1, 0)


# Fails if the retry of a caller that leaves stays reserved for ever.
def test_a_request_that_ends_while_it_waits_gives_its_retry_back():
    with World(close_connection, answering()) as world:
        forwarder = world.entry.forwarder
        busy = forwarder.selector.views['u1']
        busy.in_flight = busy.entry.slots
        status, _, _ = world.call('/safe/', extra='X-Deadline-Ms: 300\r\n')
        assert status == 504
        share = forwarder.retry_share('s')
        assert (len(share.retries), share.reserved) == (0, 0)


# Fails if a send that reached no upstream takes from the budget.
def test_a_send_that_reached_nobody_needs_no_retry():
    with World(answering(), answering()) as world:
        world.upstreams[0].server.stop(timeout=0)
        world.upstreams[1].server.stop(timeout=0)
        status, _, _ = world.call('/safe/')
        assert status == 503
        share = world.entry.forwarder.retry_share('s')
        assert not share.retries


def test_a_request_without_budget_is_refused_at_once_and_logged():
    with World(close_connection, close_connection) as world:
        world.entry.forwarder.started_at = math.inf
        assert world.call('/safe/')[0] == 504
        assert world.runs == 1
        assert [
            facts['allowance']
            for name, facts in world.log.events
            if name == 'retry_budget_used'
        ] == [0]


# Fails if a retry whose place was lost while it waited is logged as sent.
def test_a_retry_that_lost_its_place_is_not_sent(monkeypatch):
    monkeypatch.setattr(RetryShare, 'spend', lambda share, _: share.cancel())
    with World(close_connection, close_connection) as world:
        assert world.call('/safe/')[0] == 504
        assert world.runs == 1
        events = [name for name, _ in world.log.events]
        assert events.count('sent') == 1
        assert events.count('retry_budget_used') == 1
        assert world.entry.forwarder.retry_share('s').reserved == 0
