"""Estimate the load of every expert and the slowness of every rank.

Reports come late, repeated, with gaps or not at all. An older report is
dropped; a silent rank keeps its last estimate. A rank is slow, not hot,
when it takes longer than its own tokens explain, compared with the median
of the group, for several reports on end.
"""

import statistics
from dataclasses import dataclass, field

from comfreyarch_core.costs import CostModel, Picture, Placement

SMOOTHING = 0.3
SLOW_SMOOTHING = 0.4
SLOW_FACTOR = 1.15
RECOVERED_FACTOR = 1.07
SLOW_REPORTS = 3
SILENT_S = 60.0
LOWEST_RATIO = 0.01


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a rank's report since its last.

    :param step: the last step it covers.
    :param step_ms: the rank's own busy time a step.
    :param loads: tokens a step by expert that the rank holds.
    :param requests: running requests.
    """

    rank: int
    step: int
    step_ms: float
    loads: dict[int, float]
    requests: float = 0


@dataclass(slots=True)
class RankView:
    """Hold what is believed of one rank."""

    step: int = -1
    heard_at: float = 0
    ratio: float = 1
    high: int = 0
    slow: bool = False
    requests: float = 0
    loads: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class LoadEstimator:
    """Estimate loads and slowness of one group.

    :param ranks: the group's size.
    :param experts: experts over all layers.
    """

    ranks: int
    experts: int
    costs: CostModel
    views: list[RankView] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with nothing known."""
        self.views = [RankView() for _ in range(self.ranks)]

    def take(self, report: Report, now: float) -> None:
        """Take a report, unless it is older than the last."""
        view = self.views[report.rank]
        if report.step <= view.step:
            return
        view.step = report.step
        view.heard_at = now
        view.requests = report.requests
        smooth(view.loads, report.loads)
        self.judge(view, report)

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

    def loads(self, placement: Placement) -> list[float]:
        """Estimate the whole load of every expert.

        A holder that never reported counts as its heard co-holders do.

        :returns: tokens a step by expert.
        """
        total = [0.0] * self.experts
        heard = [0] * self.experts
        holders = [0] * self.experts
        for rank, held in enumerate(placement):
            known = self.views[rank].loads
            for expert in held:
                holders[expert] += 1
                if expert in known:
                    heard[expert] += 1
                    total[expert] += known[expert]
        return [
            load * holders[number] / max(1, heard[number])
            for number, load in enumerate(total)
        ]

    def picture(self, placement: Placement) -> Picture:
        """Give the group as it is believed to be.

        :returns: the picture that placement and moves are decided on.
        """
        requests = sum(view.requests for view in self.views)
        return Picture(self.loads(placement), self.slowness(), requests)

    def complete(self, now: float) -> bool:
        """Tell whether enough is known to move experts.

        :returns: False while any rank has been silent for long.
        """
        return all(
            view.step >= 0 and now - view.heard_at <= SILENT_S
            for view in self.views
        )

    def moved(self, placement: Placement) -> None:
        """Take a new map: loads of an expert go to its new holders."""
        loads = self.loads_by_expert()
        holders: dict[int, int] = {}
        for held in placement:
            for expert in held:
                holders[expert] = holders.get(expert, 0) + 1
        for rank, held in enumerate(placement):
            self.views[rank].loads = {
                one: loads.get(one, 0) / holders[one] for one in held
            }

    def loads_by_expert(self) -> dict[int, float]:
        """Sum what all ranks reported.

        :returns: tokens a step by expert.
        """
        summed: dict[int, float] = {}
        for view in self.views:
            for expert, load in view.loads.items():
                summed[expert] = summed.get(expert, 0) + load
        return summed


def smooth(known: dict[int, float], fresh: dict[int, float]) -> None:
    """Move known loads towards fresh ones; unknown ones are taken whole."""
    for expert in known.keys() - fresh.keys():
        known.pop(expert)
    for expert, load in fresh.items():
        former = known.get(expert, load)
        known[expert] = former + SMOOTHING * (load - former)


def make_estimator(
    placement: Placement,
    experts: int,
    costs: CostModel,
) -> LoadEstimator:
    """Make the estimator of a group.

    :returns: an estimator that has heard nobody.
    """
    return LoadEstimator(len(placement), experts, costs)
