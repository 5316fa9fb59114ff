"""Predict waits for slots from the requests of all entries.

An entry sees only a small part of a service's starts. The rate at which slots
become free follows from the slots of all upstreams and from how long an answer
occupies one, per unit of work. The work of a request is its number of engine
passes, or 1 if that is unknown.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Weight of the newest answer in the moving averages.
ANSWER_WEIGHT = 0.1
# Answers after which the averages are used.
MIN_ANSWERS = 10
# Part of the starts that less urgent requests can count on when more urgent ones
# wait, so that they do not starve.
RESERVED_SHARE = 0.125
# No request is refused while this part of the slots is free.
FREE_SHARE_TO_SERVE = 0.5
# Time for which slots are left to more urgent requests at other entries, which
# may be unable to use them. The entries learn of free slots after up to 0.1 s.
MAX_YIELD_S = 0.3
# Time for which the count of slots is used; counting takes a step per upstream.
COUNT_AGE_S = 0.02


@dataclass(frozen=True, slots=True)
class Backlog:
    """Hold the requests of one rank that wait at an entry.

    :param rank: position of the requests; the lowest is served first.
    :param count: number of requests.
    :param work: sum of their work.
    """

    rank: int
    count: int
    work: float


def rank_of(urgency: int, *, is_late: bool) -> int:
    """Rank a request by its value.

    A late answer is worth 0.3 to 0.5 of one on time, and an urgency about
    half of the one before it, so late requests go after the next urgency.

    :param is_late: whether the latency objective is missed.
    :returns: a number; the lowest is served first.
    """
    return 2 * (urgency + is_late) + is_late


def ranks_of_same_urgency(rank: int) -> tuple[int, ...]:
    """List the ranks of an urgency up to one of them.

    :returns: the rank, after a late one that of requests on time.
    """
    on_time = rank_of(0, is_late=False) - rank_of(0, is_late=True) + rank
    return (rank, on_time) if rank % 2 else (rank,)


@dataclass(slots=True)
class FleetQueue:
    """Predict the waits for one service.

    :param duration_s: moving average of the time an answer occupies a slot.
    :param work: moving average of its work.
    :param answers: number of answers recorded.
    :param slots: slots of the upstreams that are up.
    :param free: slots of these without a request.
    :param others: requests that wait at other entries.
    :param counted_at: time at which the slots were counted.
    :param yielding_since: time since which slots are left to others.
    """

    duration_s: float = 0
    work: float = 1
    answers: int = 0
    slots: int = 0
    free: float = 0
    others: tuple[Backlog, ...] = ()
    counted_at: float | None = None
    yielding_since: float | None = None

    def needs_count(self, now: float) -> bool:
        """Check whether the count of slots is too old.

        :returns: True also before the first count.
        """
        return self.counted_at is None or now - self.counted_at > COUNT_AGE_S

    def record_slots(self, slots: int, free: float, now: float) -> None:
        """Record the slots of the service."""
        self.slots = slots
        self.free = free
        self.counted_at = now

    def record_start(self) -> None:
        """Record that a request of this entry took a slot."""
        self.free = max(0, self.free - 1)

    def record_answer(self, duration_s: float, work: float) -> None:
        """Record how long a complete answer occupied a slot."""
        weight = max(ANSWER_WEIGHT, 1 / (self.answers + 1))
        self.duration_s += weight * (duration_s - self.duration_s)
        self.work += weight * (work - self.work)
        self.answers += 1

    @property
    def work_per_s(self) -> float:
        """Return the work that all slots together do in a second.

        :returns: 0 if it is not known.
        """
        if self.answers < MIN_ANSWERS or self.duration_s <= 0:
            return 0
        return self.slots * self.work / self.duration_s

    @property
    def has_much_room(self) -> bool:
        """Check whether so many slots are free that no request is refused.

        :returns: False also if there are no slots.
        """
        return 0 < self.slots * FREE_SHARE_TO_SERVE <= self.free

    def others_work(self, rank: int, share: float = 1) -> float:
        """Add up the work at other entries that goes before a request.

        :param share: part of the requests of the same rank that goes before.
        :returns: a sum of work.
        """
        before = sum(
            backlog.work for backlog in self.others if backlog.rank < rank
        )
        return before + share * self.others_work_of(rank)

    def others_work_of(self, rank: int) -> float:
        """Add up the work at other entries of one rank.

        :returns: a sum of work.
        """
        return sum(
            backlog.work for backlog in self.others if backlog.rank == rank
        )

    def others_work_of_urgency(self, rank: int, share: float = 1) -> float:
        """Add up the work of one urgency that goes before a request elsewhere.

        :param share: part of the requests of the same rank that goes before.
        :returns: a sum of work.
        """
        _, *before = ranks_of_same_urgency(rank)
        return share * self.others_work_of(rank) + sum(
            self.others_work_of(each) for each in before
        )

    def wait_s(self, ahead: float, ahead_of_urgency: float) -> float:
        """Predict a wait; the work per second must be known.

        :param ahead: work that goes before the request, at all entries.
        :param ahead_of_urgency: the part of it with the same urgency.
        :returns: seconds, at most what the reserved share allows.
        """
        if ahead < self.free * self.work:
            return 0
        next_work = self.work * (1 - self.free)
        return min(
            (ahead + next_work) / self.work_per_s,
            (ahead_of_urgency + self.work) / (self.work_per_s * RESERVED_SHARE),
        )

    def yields(self, rank: int, now: float) -> bool:
        """Decide whether a request leaves the free slots to other entries.

        :returns: True if more urgent requests there need all of them, unless
            they did not use them for a while.
        """
        urgent = sum(
            backlog.count for backlog in self.others if backlog.rank < rank
        )
        if urgent == 0 or urgent < self.free or self.free <= 0:
            self.yielding_since = None
            return False
        if self.yielding_since is None:
            self.yielding_since = now
        return now - self.yielding_since < MAX_YIELD_S


def summarize(requests: Iterable[tuple[int, float]]) -> tuple[Backlog, ...]:
    """Sum up waiting requests by rank.

    :param requests: rank and work of each.
    :returns: the sums, lowest rank first.
    """
    sums: dict[int, tuple[int, float]] = {}
    for rank, work in requests:
        count, total = sums.get(rank, (0, 0))
        sums[rank] = (count + 1, total + work)
    return tuple(Backlog(key, *totals) for key, totals in sorted(sums.items()))


def make_fleet_queue() -> FleetQueue:
    """Create a prediction that knows nothing yet.

    :returns: the prediction.
    """
    return FleetQueue()
