"""Estimate the load of every expert and the slowness of every rank.

Reports may be late, duplicated, incomplete or lost. The replicas of an expert
share its load evenly, so one holder's report and the number of holders in the
map that the report names give the total load of the expert. Late reports under
an earlier map are therefore still valid, and a silent rank leaves no gap if
another rank holds the same expert. A rank counts as slow, rather than heavily
loaded, if it takes longer than its own tokens explain, compared with the
median of the group, in several reports without recovering in between.
"""

import statistics
from dataclasses import dataclass, field

from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
    Placement,
    count_holders,
)
from comfreyarch_core.mapmessages import INITIAL_MAP_ID

# Weight of the newest report in an expert's smoothed load.
SMOOTHING = 0.5
# Weight of the newest report in a rank's smoothed ratio.
SLOW_SMOOTHING = 0.4
# Ratio to the group's median from which a report counts as slow.
SLOW_FACTOR = 1.15
# Ratio to the group's median below which a slow rank has recovered.
RECOVERED_FACTOR = 1.07
# Slow reports, without recovery in between, after which a rank counts as slow.
SLOW_REPORTS = 3
# Time without a report after which a rank is silent.
SILENT_S = 60.0
# Minimum share of ranks that are not silent for experts to be moved.
MIN_REPORTING_SHARE = 0.75
# Lower bound of the median ratio, which is a divisor.
MIN_RATIO = 0.01
# Maps whose holder counts are kept for reading late reports.
MAPS_KEPT = 8


@dataclass(frozen=True, slots=True)
class Report:
    """Represent a rank's report on the steps since its previous report.

    :param step: the last step covered.
    :param step_ms: the rank's own busy time per step.
    :param loads: tokens per step, by expert that the rank holds.
    :param requests: running requests.
    :param map_id: the map under which the rank ran.
    """

    rank: int
    step: int
    step_ms: float
    loads: dict[int, float]
    requests: float = 0
    map_id: str = INITIAL_MAP_ID


@dataclass(slots=True)
class RankView:
    """Hold the estimated state of one rank.

    :param step: the last step covered by a report, -1 before the first.
    :param reported_at: time of the last report.
    :param ratio: smoothed ratio of the reported to the predicted step time.
    :param slow_reports: slow reports since ``ratio``, relative to the median,
        was last below ``RECOVERED_FACTOR``.
    :param slow: whether the rank counts as slow.
    :param requests: running requests in the last report.
    """

    step: int = -1
    reported_at: float = 0
    ratio: float = 1
    slow_reports: int = 0
    slow: bool = False
    requests: float = 0


@dataclass(slots=True)
class LoadEstimator:
    """Estimate loads and slowness of one group.

    :param views: estimated state by rank.
    :param smoothed: smoothed tokens per step by expert.
    :param latest: tokens per step by expert from the latest reports alone.
    :param holder_counts: number of ranks that hold each expert, by map.
    """

    costs: CostModel
    views: list[RankView]
    smoothed: list[float]
    latest: list[float]
    holder_counts: dict[str, list[int]] = field(default_factory=dict)

    def add_report(self, report: Report, now: float) -> None:
        """Record a report unless it is older than the rank's last one."""
        view = self.views[report.rank]
        if report.step <= view.step:
            return
        view.step = report.step
        view.reported_at = now
        view.requests = report.requests
        holder_counts = self.holder_counts.get(report.map_id)
        if holder_counts is not None:
            self.update_loads(report, holder_counts)
        self.update_slowness(view, report)

    def update_loads(self, report: Report, holder_counts: list[int]) -> None:
        """Update the total loads of experts from one holder's report."""
        for expert, load in report.loads.items():
            if expert >= len(holder_counts) or not holder_counts[expert]:
                continue
            total = load * holder_counts[expert]
            self.latest[expert] = total
            previous = self.smoothed[expert] or total
            self.smoothed[expert] = previous + SMOOTHING * (total - previous)

    def update_slowness(self, view: RankView, report: Report) -> None:
        """Update whether a rank is slow for the tokens it processes."""
        costs = self.costs
        expected_ms = (
            costs.base_ms
            + costs.token_ms * sum(report.loads.values())
            + costs.request_ms * report.requests
        )
        ratio = report.step_ms / expected_ms if expected_ms > 0 else 1
        view.ratio += SLOW_SMOOTHING * (ratio - view.ratio)
        relative = view.ratio / self.median_ratio()
        if relative >= SLOW_FACTOR:
            view.slow_reports += 1
        elif relative < RECOVERED_FACTOR:
            view.slow_reports = 0
            view.slow = False
        if view.slow_reports >= SLOW_REPORTS:
            view.slow = True

    def median_ratio(self) -> float:
        """Compute the median ratio of the ranks that have reported.

        :returns: at least ``MIN_RATIO``; 1 before the first report.
        """
        ratios = [view.ratio for view in self.views if view.step >= 0]
        return max(statistics.median(ratios), MIN_RATIO) if ratios else 1

    def slowness(self) -> list[float]:
        """Compute the slowness factor of each rank.

        :returns: factors by rank, 1 for ranks that are not stragglers.
        """
        baseline = self.median_ratio()
        return [
            max(1, view.ratio / baseline) if view.slow else 1.0
            for view in self.views
        ]

    def snapshot(self, *, latest: bool = False) -> LoadSnapshot:
        """Return the current estimate for the group.

        :param latest: use the latest reports alone instead of smoothed loads.
        :returns: the snapshot on which placement and moves are decided.
        """
        loads = self.latest if latest else self.smoothed
        requests = sum(view.requests for view in self.views)
        return LoadSnapshot(loads, self.slowness(), requests)

    def is_complete(self, now: float) -> bool:
        """Check whether enough ranks have reported to move experts.

        :returns: False until every rank has reported, and while more than a
            quarter of them are silent.
        """
        reporting = sum(
            now - view.reported_at <= SILENT_S for view in self.views
        )
        all_known = all(view.step >= 0 for view in self.views)
        return all_known and reporting >= MIN_REPORTING_SHARE * len(self.views)

    def add_map(self, placement: Placement, map_id: str) -> None:
        """Record a map's holder counts, which reports under it require."""
        self.holder_counts.pop(map_id, None)
        self.holder_counts[map_id] = count_holders(
            placement, len(self.smoothed)
        )
        if len(self.holder_counts) > MAPS_KEPT:
            self.holder_counts.pop(next(iter(self.holder_counts)))


def make_estimator(
    placement: Placement,
    experts: int,
    costs: CostModel,
    map_id: str = INITIAL_MAP_ID,
) -> LoadEstimator:
    """Create the load estimator of a group.

    :returns: an estimator without any report.
    """
    views = [RankView() for _ in placement]
    zeros = [0.0] * experts
    estimator = LoadEstimator(costs, views, zeros, list(zeros))
    estimator.add_map(placement, map_id)
    return estimator
