"""Compute how fast each service level's error budget is spent."""

from collections.abc import Iterable
from dataclasses import dataclass, field

BUCKET_S = 10
MINUTE_S = 60
HOUR_S = 3600
WINDOWS_S = (5 * MINUTE_S, HOUR_S, 6 * HOUR_S)
DAY_S = 24 * HOUR_S
PERIOD_DAYS = 30
PERIOD_S = PERIOD_DAYS * DAY_S
KEPT_BUCKETS = WINDOWS_S[-1] // BUCKET_S


@dataclass(slots=True)
class Bucket:
    """Count good and bad answers of ten seconds."""

    good: int = 0
    bad: int = 0


@dataclass(frozen=True, slots=True)
class Burn:
    """Tell how a window went.

    :param rate: 1 spends the whole budget in exactly the period.
    """

    window_s: int
    good: int
    bad: int
    rate: float


@dataclass(slots=True)
class Tally:
    """Keep the buckets of one service level, oldest dropped."""

    buckets: dict[int, Bucket] = field(default_factory=dict)

    def add(self, now: float, *, good: bool) -> None:
        """Count one answer.

        :param now: seconds of the wall clock.
        """
        number = int(now) // BUCKET_S
        bucket = self.buckets.get(number)
        if bucket is None:
            bucket = Bucket()
            self.buckets[number] = bucket
            self.drop(number)
        if good:
            bucket.good += 1
        else:
            bucket.bad += 1

    def drop(self, number: int) -> None:
        """Drop the buckets that no window reaches."""
        oldest = number - KEPT_BUCKETS
        stale = [one for one in self.buckets if one < oldest]
        for old in stale:
            self.buckets.pop(old)

    def plain(self) -> dict[str, list[int]]:
        """Give the buckets as plain values.

        :returns: good and bad by bucket number.
        """
        return {
            str(number): [bucket.good, bucket.bad]
            for number, bucket in self.buckets.items()
        }


def merge(tallies: Iterable[dict[str, list[int]]]) -> dict[int, Bucket]:
    """Merge plain buckets of several entries.

    :returns: the sums by bucket number.
    """
    merged: dict[int, Bucket] = {}
    for tally in tallies:
        for number, (good, bad) in tally.items():
            bucket = merged.setdefault(int(number), Bucket())
            bucket.good += good
            bucket.bad += bad
    return merged


def burns(
    buckets: dict[int, Bucket],
    target: float,
    now: float,
) -> list[Burn]:
    """Compute the burn of every window.

    :param target: the share of answers that must be good.
    :returns: one burn a window, shortest first.
    """
    return [burn(buckets, target, now, window) for window in WINDOWS_S]


def burn(
    buckets: dict[int, Bucket],
    target: float,
    now: float,
    window_s: int,
) -> Burn:
    """Compute the burn of one window.

    :returns: rate 0 where there were no answers.
    """
    first = (int(now) - window_s) // BUCKET_S
    inside = [one for number, one in buckets.items() if number > first]
    good = sum(one.good for one in inside)
    bad = sum(one.bad for one in inside)
    total = good + bad
    rate = bad / total / (1 - target) if total else 0
    return Burn(window_s, good, bad, rate)


def exhaustion_s(rate: float, spent: float) -> float | None:
    """Predict when the period's budget is used up.

    :param rate: the burn rate that goes on.
    :param spent: the share of the budget already spent.
    :returns: seconds, or None where the budget holds.
    """
    if rate <= 0:
        return None
    return max(0, 1 - spent) * PERIOD_S / rate
