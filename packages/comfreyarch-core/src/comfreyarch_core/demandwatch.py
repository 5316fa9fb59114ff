"""Detect shifts of expert demand in the reports of a large group.

The last reports are compared with the demand that the map was planned for. When
they differ, reports from before the shift are dropped, so that no plan mixes
the demand of before and after it.
"""

import math
import operator
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

# Time that one bucket of reports covers.
BUCKET_S = 0.05
# Age up to which reports are compared with the expected demand. Two passes at
# the longest allowed pause take as long.
FRESH_S = 0.15
# Age up to which reports count for a plan.
MAX_REPORT_AGE_S = 1.2
# Share of the ranks that must be among the fresh reports. Shifts concern all
# ranks, so that a sample shows them.
MIN_FRESH_SHARE = 0.1
# Share of the ranks that a plan needs: soon after a shift, and later.
MIN_NEW_SHARE = 0.25
MIN_HEARD_SHARE = 2 / 3
# Share of choices that must have moved to other experts, beyond sampling noise.
# A shift that exchanges half of the experts in demand moves about a quarter.
SHIFTED_SHARE = 0.06
# Factor of the sampling noise. Independent choices give 0.4; those of one request
# are alike.
NOISE_FACTOR = 0.6
# Minimum number of choices per set for planning a map.
MIN_CHOICES_PER_SET = 400


@dataclass(slots=True)
class Bucket:
    """Sum the reports of a short time.

    :param started_at: time of its first report.
    :param ranks: ranks that reported.
    :param total: choices by expert, set after set.
    """

    started_at: float
    ranks: set[int]
    total: list[int]


@dataclass(slots=True)
class DemandWatch:
    """Sum a group's reports and compare them with the expected demand.

    :param size: number of ranks in the group.
    :param experts: number of experts in a set.
    :param started_at: time since which the current demand is taken to hold.
    :param expected: share of each expert in its set in the demand that was
        last planned for; empty while none is known.
    :param shifts: number of shifts detected.
    """

    size: int
    experts: int
    buckets: deque[Bucket] = field(default_factory=deque)
    started_at: float = 0
    expected: list[float] = field(default_factory=list)
    expected_choices: float = 0
    shifts: int = 0

    @property
    def is_new(self) -> bool:
        """Check whether the current demand has not been planned for yet."""
        return not self.expected

    def handle(self, rank: int, counts: Sequence[int], now: float) -> None:
        """Add a rank's report.

        :param counts: recent choices by expert, set after set.
        :param now: monotonic time in seconds.
        """
        buckets = self.buckets
        while buckets and now - buckets[0].started_at > MAX_REPORT_AGE_S:
            buckets.popleft()
        if buckets and len(buckets[-1].total) != len(counts):
            buckets.clear()
            self.expected = []
        if not buckets or now - buckets[-1].started_at >= BUCKET_S:
            buckets.append(Bucket(now, set(), [0] * len(counts)))
        last = buckets[-1]
        last.ranks.add(rank)
        last.total = list(map(operator.add, last.total, counts))

    def sum_since(self, since: float) -> tuple[int, list[int]]:
        """Sum the reports of buckets that began at a time or later.

        :returns: the number of ranks that reported, and choices by expert.
        """
        ranks: set[int] = set()
        total: list[int] = []
        for bucket in self.buckets:
            if bucket.started_at < since:
                continue
            ranks |= bucket.ranks
            total = (
                list(map(operator.add, total, bucket.total))
                if total
                else list(bucket.total)
            )
        return len(ranks), total

    def detect_shift(self, now: float) -> bool:
        """Compare the last reports with the expected demand.

        :returns: True if the demand has shifted; older reports are dropped.
        """
        since = now - FRESH_S
        if self.is_new or since < self.started_at:
            return False
        heard, total = self.sum_since(since)
        sets = len(self.expected) // self.experts
        choices = sum(total) / sets
        if heard < MIN_FRESH_SHARE * self.size:
            return False
        if choices < MIN_CHOICES_PER_SET or len(total) != len(self.expected):
            return False
        noise = NOISE_FACTOR * math.sqrt(
            self.experts * (1 / choices + 1 / self.expected_choices)
        )
        if self.measure_distance(total) < SHIFTED_SHARE + noise:
            return False
        self.shifts += 1
        self.expected = []
        # The first of the fresh reports are from before the shift or cover
        # a part of that time.
        self.started_at = now - BUCKET_S
        return True

    def measure_distance(self, total: Sequence[int]) -> float:
        """Return the share of choices that moved to other experts."""
        shares = compute_shares(total, self.experts)
        moved: float = sum(map(abs, map(operator.sub, shares, self.expected)))
        return moved / 2 / (len(shares) // self.experts)

    def sum_loads(self, now: float) -> list[list[int]] | None:
        """Sum the reports of the current demand.

        :returns: choices by set and expert, None while too few ranks are heard.
        """
        since = max(self.started_at, now - MAX_REPORT_AGE_S)
        heard, total = self.sum_since(since)
        needed = MIN_NEW_SHARE if self.is_new else MIN_HEARD_SHARE
        if not total or heard < needed * self.size:
            return None
        sets = len(total) // self.experts
        if sum(total) < MIN_CHOICES_PER_SET * sets:
            return None
        return [
            total[first : first + self.experts]
            for first in range(0, len(total), self.experts)
        ]

    def expect(self, loads: Sequence[Sequence[float]]) -> None:
        """Record the demand that was planned for.

        :param loads: choices by set and expert.
        """
        flat = [load for chosen in loads for load in chosen]
        self.expected = compute_shares(flat, self.experts)
        self.expected_choices = max(1, sum(flat) / len(loads))


def compute_shares(total: Sequence[float], experts: int) -> list[float]:
    """Return each expert's share of the choices of its set."""
    shares: list[float] = []
    for first in range(0, len(total), experts):
        chosen = total[first : first + experts]
        all_choices = sum(chosen) or 1
        shares += [choices / all_choices for choices in chosen]
    return shares


def make_demand_watch(size: int, experts: int) -> DemandWatch:
    """Create the watch of a leader's term.

    :param size: number of ranks in the group.
    :param experts: number of experts in a set.
    :returns: a watch without any report.
    """
    return DemandWatch(size, experts)
