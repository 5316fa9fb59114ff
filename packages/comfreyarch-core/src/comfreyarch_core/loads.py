"""Estimate the load of every expert and the slowness of every rank.

Reports come late, repeated, with gaps or not at all. The replicas of an
expert share its load evenly, so one holder's report tells the whole load,
by the number of holders in the map that the report names; late reports
under a former map stay right, and a silent rank leaves no hole where
another holds the same expert. A rank is slow, not hot, when it takes
longer than its own tokens explain, compared with the median of the group,
for several reports on end.
"""

import statistics
from dataclasses import dataclass, field

from comfreyarch_core.costs import (
    CostModel,
    Picture,
    Placement,
    count_holders,
)
from comfreyarch_core.mapmessages import FIRST_MAP

SMOOTHING = 0.5
SLOW_SMOOTHING = 0.4
SLOW_FACTOR = 1.15
RECOVERED_FACTOR = 1.07
SLOW_REPORTS = 3
SILENT_S = 60.0
HEARD_SHARE = 0.75
LOWEST_RATIO = 0.01
MAPS_KEPT = 8


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a rank's report since its last.

    :param step: the last step it covers.
    :param step_ms: the rank's own busy time a step.
    :param loads: tokens a step by expert that the rank holds.
    :param requests: running requests.
    :param map_id: the map under which the rank ran.
    """

    rank: int
    step: int
    step_ms: float
    loads: dict[int, float]
    requests: float = 0
    map_id: str = FIRST_MAP


@dataclass(slots=True)
class RankView:
    """Hold what is believed of one rank."""

    step: int = -1
    heard_at: float = 0
    ratio: float = 1
    high: int = 0
    slow: bool = False
    requests: float = 0


@dataclass(slots=True)
class LoadEstimator:
    """Estimate loads and slowness of one group.

    :param views: one a rank.
    :param smoothed: tokens a step by expert.
    :param latest: the same by the last reports alone.
    :param holders: how many ranks held each expert, by map.
    """

    costs: CostModel
    views: list[RankView]
    smoothed: list[float]
    latest: list[float]
    holders: dict[str, list[int]] = field(default_factory=dict)

    def take(self, report: Report, now: float) -> None:
        """Take a report, unless it is older than the last."""
        view = self.views[report.rank]
        if report.step <= view.step:
            return
        view.step = report.step
        view.heard_at = now
        view.requests = report.requests
        holders = self.holders.get(report.map_id)
        if holders is not None:
            self.learn(report, holders)
        self.judge(view, report)

    def learn(self, report: Report, holders: list[int]) -> None:
        """Learn whole loads from one holder's report."""
        for expert, load in report.loads.items():
            if expert >= len(holders) or not holders[expert]:
                continue
            whole = load * holders[expert]
            self.latest[expert] = whole
            known = self.smoothed[expert] or whole
            self.smoothed[expert] = known + SMOOTHING * (whole - known)

    def judge(self, view: RankView, report: Report) -> None:
        """Compare a rank's time with what its tokens explain."""
        costs = self.costs
        explained = (
            costs.base_ms
            + costs.token_ms * sum(report.loads.values())
            + costs.request_ms * report.requests
        )
        ratio = report.step_ms / explained if explained > 0 else 1
        view.ratio += SLOW_SMOOTHING * (ratio - view.ratio)
        relative = view.ratio / self.median_ratio()
        if relative >= SLOW_FACTOR:
            view.high += 1
        elif relative < RECOVERED_FACTOR:
            view.high = 0
            view.slow = False
        if view.high >= SLOW_REPORTS:
            view.slow = True

    def median_ratio(self) -> float:
        """Give the ratio of a usual rank.

        :returns: above 0.
        """
        heard = [view.ratio for view in self.views if view.step >= 0]
        return max(statistics.median(heard), LOWEST_RATIO) if heard else 1

    def slowness(self) -> list[float]:
        """Give each rank's factor.

        :returns: 1 for all that are not stragglers.
        """
        usual = self.median_ratio()
        return [
            max(1, view.ratio / usual) if view.slow else 1.0
            for view in self.views
        ]

    def picture(self, *, latest: bool = False) -> Picture:
        """Give the group as it is believed to be.

        :param latest: take the last reports alone, not smoothed.
        :returns: the picture that placement and moves are decided on.
        """
        loads = self.latest if latest else self.smoothed
        requests = sum(view.requests for view in self.views)
        return Picture(loads, self.slowness(), requests)

    def complete(self, now: float) -> bool:
        """Tell whether enough is known to move experts.

        :returns: False until every rank was heard, and while more than a
            quarter of them are silent.
        """
        lately = sum(now - view.heard_at <= SILENT_S for view in self.views)
        known = all(view.step >= 0 for view in self.views)
        return known and lately >= HEARD_SHARE * len(self.views)

    def moved(self, placement: Placement, map_id: str) -> None:
        """Take note of a map, so that reports under it can be read."""
        self.holders.pop(map_id, None)
        self.holders[map_id] = count_holders(placement, len(self.smoothed))
        if len(self.holders) > MAPS_KEPT:
            self.holders.pop(next(iter(self.holders)))


def make_estimator(
    placement: Placement,
    experts: int,
    costs: CostModel,
    map_id: str = FIRST_MAP,
) -> LoadEstimator:
    """Make the estimator of a group.

    :returns: an estimator that has heard nobody.
    """
    views = [RankView() for _ in placement]
    nothing = [0.0] * experts
    estimator = LoadEstimator(costs, views, nothing, list(nothing))
    estimator.moved(placement, map_id)
    return estimator
