"""Test that the retries of all entries together stay within the budget."""

import random

from comfreyarch_core.retryshare import RetryLimits, make_retry_share

LIMITS = RetryLimits(ratio=0.2, allowance=184, window_s=10)


def take(share, now):
    """Reserve a retry and send it at once."""
    return share.reserve(now) and share.spend(now)


def test_the_allowance_is_shared():
    share = make_retry_share(LIMITS, -100, 10)
    taken = sum(take(share, 0) for _ in range(100))
    assert taken <= LIMITS.allowance / 10


def test_requests_earn_repeats_in_their_window_only():
    share = make_retry_share(RetryLimits(0.2, 0, 10), -100, 1)
    for _ in range(100):
        share.record_request(0)
    assert sum(take(share, 5) for _ in range(100)) <= 20
    assert not take(share, 25)


def test_all_entries_together_stay_below_the_sum_in_any_window():
    source = random.Random(7)
    shares = [make_retry_share(LIMITS, -100, 8) for _ in range(8)]
    requests: list[float] = []
    retries: list[float] = []
    for tick in range(4000):
        now = tick / 100
        share = source.choice(shares)
        if source.random() < 0.5:
            share.record_request(now)
            requests.append(now)
        while source.random() < 0.8:
            if take(share, now):
                retries.append(now)
    for start in range(30):
        retried = [at for at in retries if start <= at < start + 10]
        current = [at for at in requests if start <= at < start + 10]
        previous = [at for at in requests if start - 10 <= at < start]
        earned = LIMITS.ratio * max(len(current), len(previous))
        assert len(retried) <= earned + LIMITS.allowance


# Fails if entries that were all killed after a burst of retries earn new ones while
# those of their predecessors lie in the window.
def test_retries_before_a_restart_count_against_those_after_it():
    entries = 20
    requests = [number / 4 for number in range(80)]
    retries: list[float] = []
    for started_at, burst_at, killed_at in ((-100, 9.9, 10), (10, 19.8, 20)):
        share = make_retry_share(LIMITS, started_at, entries)
        for at in requests:
            if max(0, started_at) <= at < killed_at:
                share.record_request(at)
        retries += [burst_at for _ in range(100) if take(share, burst_at)]
    # Each entry has the same load, so its part of the budget is the same.
    within = [at for at in retries if 9.85 <= at < 19.85]
    earned = LIMITS.ratio * sum(9.85 <= at < 19.85 for at in requests)
    assert len(within) <= earned + LIMITS.allowance / entries
