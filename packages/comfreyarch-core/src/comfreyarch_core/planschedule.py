"""Decide when a leader plans a map.

A shift of demand is planned for as soon as enough ranks have reported the new
demand, anything else at an interval.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from comfreyarch_core.demandwatch import DemandWatch, make_demand_watch
from comfreyarch_core.mapplan import PlannedMap
from comfreyarch_core.reportpacing import MIN_LARGE_GROUP

# Interval between two plans for the same demand.
PLAN_INTERVAL_S = 0.3
# Interval at which the demand of a large group is checked for a shift.
DEMAND_CHECK_INTERVAL_S = 0.05


@dataclass(slots=True)
class PlanSchedule:
    """Track the demand of a group and the time of its next plan.

    :param demand: detects shifts of demand, None in a small group.
    :param next_plan_at: time of the next plan for the same demand.
    :param term_confirmed_at: time at which the store last confirmed the
        leader's term.
    :param planned: the plan of the last change.
    """

    demand: DemandWatch | None
    next_plan_at: float
    term_confirmed_at: float
    planned: PlannedMap | None = None

    @property
    def check_interval_s(self) -> float:
        """Return the interval at which ``is_due`` should be called."""
        return (
            PLAN_INTERVAL_S if self.demand is None else DEMAND_CHECK_INTERVAL_S
        )

    def handle(self, rank: int, counts: Sequence[int], now: float) -> None:
        """Record a rank's counts; a rank that ran no pass reports zeros."""
        if self.demand is not None and any(counts):
            self.demand.handle(rank, counts, now)

    def detect_shift(self, now: float) -> bool:
        """Check whether the demand has shifted since the last call."""
        return self.demand is not None and self.demand.detect_shift(now)

    def is_due(self, now: float) -> bool:
        """Check whether a map should be planned now.

        :returns: True at the interval, or once the new demand is known.
        """
        is_new_known = (
            self.demand is not None
            and self.demand.is_new
            and self.demand.sum_loads(now) is not None
        )
        if not is_new_known and now < self.next_plan_at:
            return False
        self.next_plan_at = now + PLAN_INTERVAL_S
        return True

    def expect(self, loads: Sequence[Sequence[float]], planned: bool) -> None:
        """Record the demand that was considered.

        :param planned: whether a map was planned for it.
        """
        if self.demand is not None and (planned or self.demand.is_new):
            self.demand.expect(loads)


def make_plan_schedule(size: int, experts: int, now: float) -> PlanSchedule:
    """Create the schedule of a leader's term.

    :param size: number of ranks in the group.
    :param experts: number of experts in a set.
    """
    demand = (
        make_demand_watch(size, experts) if size >= MIN_LARGE_GROUP else None
    )
    return PlanSchedule(demand, now + PLAN_INTERVAL_S, now)
