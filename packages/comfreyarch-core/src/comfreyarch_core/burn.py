"""Compute the error budget burn rate of each service level objective."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Time that one bucket of answer counts covers.
BUCKET_S = 10
MINUTE_S = 60
HOUR_S = 3600
WINDOWS_S = (5 * MINUTE_S, HOUR_S, 6 * HOUR_S)
DAY_S = 24 * HOUR_S
# Period for which the error budget is granted.
PERIOD_DAYS = 30
PERIOD_S = PERIOD_DAYS * DAY_S
KEPT_BUCKETS = WINDOWS_S[-1] // BUCKET_S


@dataclass(slots=True)
class Bucket:
    """Count the good and bad answers of ten seconds."""

    good: int = 0
    bad: int = 0


@dataclass(frozen=True, slots=True)
class Burn:
    """Answer counts and burn rate of one window.

    :param rate: burn rate; 1 spends the whole error budget in exactly the
        30-day period.
    """

    window_s: int
    good: int
    bad: int
    rate: float


@dataclass(slots=True)
class Tally:
    """Count one service level's answers in buckets of ten seconds.

    Buckets older than the longest window are dropped.
    """

    buckets: dict[int, Bucket] = field(default_factory=dict)

    def add(self, now: float, *, good: bool) -> None:
        """Count one answer.

        :param now: wall-clock time in seconds, so that the buckets of several
            entries can be merged.
        """
        number = int(now) // BUCKET_S
        bucket = self.buckets.get(number)
        if bucket is None:
            bucket = Bucket()
            self.buckets[number] = bucket
            self.drop_expired(number)
        if good:
            bucket.good += 1
        else:
            bucket.bad += 1

    def drop_expired(self, number: int) -> None:
        """Drop the buckets that are older than the longest window.

        :param number: number of the current bucket.
        """
        oldest = number - KEPT_BUCKETS
        expired = [index for index in self.buckets if index < oldest]
        for expired_index in expired:
            self.buckets.pop(expired_index)

    def plain(self) -> dict[str, list[int]]:
        """Convert the buckets to plain values.

        :returns: good and bad counts by bucket number.
        """
        return {
            str(number): [bucket.good, bucket.bad]
            for number, bucket in self.buckets.items()
        }


def merge(tallies: Iterable[dict[str, list[int]]]) -> dict[int, Bucket]:
    """Add up the buckets of several entries.

    :param tallies: the result of ``Tally.plain`` of each entry.
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
    """Compute the burn rates of all windows.

    :param target: the share of answers that must be good.
    :param now: wall-clock time in seconds.
    :returns: one result for each window, shortest window first.
    """
    return [compute_burn(buckets, target, now, window) for window in WINDOWS_S]


def compute_burn(
    buckets: dict[int, Bucket],
    target: float,
    now: float,
    window_s: int,
) -> Burn:
    """Compute the burn rate of one window.

    :returns: the counts and the rate, which is 0 without answers.
    """
    start = (int(now) - window_s) // BUCKET_S
    inside = [bucket for number, bucket in buckets.items() if number > start]
    good = sum(bucket.good for bucket in inside)
    bad = sum(bucket.bad for bucket in inside)
    total = good + bad
    rate = bad / total / (1 - target) if total else 0
    return Burn(window_s, good, bad, rate)


def predict_exhaustion_s(rate: float, spent: float) -> float | None:
    """Predict when the error budget of the period is exhausted.

    :param rate: the burn rate, assumed to stay constant.
    :param spent: the share of the budget already spent.
    :returns: seconds until then, or None where nothing is being spent.
    """
    if rate <= 0:
        return None
    return max(0, 1 - spent) * PERIOD_S / rate
