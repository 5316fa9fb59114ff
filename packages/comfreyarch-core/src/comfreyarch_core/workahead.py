"""Add up the work that goes before a request in the queues of all entries."""

from dataclasses import dataclass, field

from comfreyarch_core.fleetqueue import FleetQueue


@dataclass(slots=True)
class WorkAhead:
    """Hold the work that goes before a request at this entry.

    :param fleet: predicts waits from the requests of all entries.
    :param total: sum of the work.
    :param by_rank: the same by rank.
    :param by_urgency: the same by urgency.
    """

    fleet: FleetQueue
    total: float = 0
    by_rank: dict[int, float] = field(default_factory=dict)
    by_urgency: dict[int, float] = field(default_factory=dict)

    def add(self, rank: int, urgency: int, work: float) -> None:
        """Add a request that goes before those that are predicted next."""
        self.total += work
        self.by_rank[rank] = self.by_rank.get(rank, 0) + work
        self.by_urgency[urgency] = self.by_urgency.get(urgency, 0) + work

    def wait_s(self, rank: int, urgency: int, share: float = 1) -> float:
        """Predict the wait of a request after those added.

        :param share: part of the requests of the same rank at other entries
            that goes before it.
        :returns: seconds.
        """
        fleet = self.fleet
        same_urgency = fleet.others_work_of_urgency(rank, share)
        return fleet.wait_s(
            self.total + fleet.others_work(rank, share),
            self.by_urgency.get(urgency, 0) + same_urgency,
        )


def make_work_ahead(fleet: FleetQueue) -> WorkAhead:
    """Create a sum without requests.

    :returns: the sum.
    """
    return WorkAhead(fleet)
