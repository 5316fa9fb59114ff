"""Even out the ranks of one set of experts, one change after another.

Each change takes load off the slowest rank. In a large group many ranks are
nearly as slow as the slowest one, so a single change hardly lowers the peak;
the search therefore continues below the peak and judges the sequence of
changes as a whole.

``planner`` searches whole maps with all costs of a step. This search considers
the load of experts alone and is several times faster, as a leader plans while
it serves its group.
"""

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

# The expert that each affected rank gives up and the one that it takes, -1 for
# none.
Change = dict[int, tuple[int, int]]
# Number of least loaded ranks that are considered as targets of a change.
MAX_TARGETS = 6
# The same in a large group, where more targets take a third more time and do not
# lower the skew.
MAX_LARGE_GROUP_TARGETS = 3
MIN_LARGE_GROUP = 32
# A change must lower the slowest rank's time by at least this share of it.
MIN_RELIEF = 1e-3


@dataclass(frozen=True, slots=True)
class MapLimits:
    """Define the limits on a map.

    :param experts: number of experts in a set.
    :param capacity: maximum experts of a set on one rank.
    :param max_new: maximum experts of a set that one map adds to a rank.
    """

    experts: int
    capacity: int
    max_new: int


@dataclass(slots=True)
class SetPlanner:
    """Search for changes to the placement of one set.

    :param held: experts by rank.
    :param loads: load by expert; the holders of an expert share it evenly.
    :param slowness: factor by rank, 1 for a healthy rank.
    :param original: experts by rank before the first change.
    :param holders: ranks by expert.
    :param times: load by rank, multiplied by its slowness.
    """

    held: list[set[int]]
    loads: Sequence[float]
    slowness: Sequence[float]
    limits: MapLimits
    original: list[frozenset[int]]
    holders: list[set[int]] = field(default_factory=list)
    times: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Build the indexes over the placement."""
        self.holders = [set() for _ in self.loads]
        for rank, own in enumerate(self.held):
            for number in own:
                self.holders[number].add(rank)
        self.times = [
            slow * sum(self.share(expert) for expert in experts)
            for experts, slow in zip(self.held, self.slowness, strict=True)
        ]

    def share(self, expert: int) -> float:
        """Return the load of an expert on each of its holders."""
        return self.loads[expert] / len(self.holders[expert])

    def peak(self) -> float:
        """Return the time of the slowest rank."""
        return max(self.times)

    def count_copies(self) -> int:
        """Count the experts that ranks must copy for the placement.

        :returns: experts that a rank holds now and did not hold originally.
        """
        return sum(
            len(experts - original)
            for experts, original in zip(self.held, self.original, strict=True)
        )

    def relieve_slowest(self) -> bool:
        """Apply the change that relieves the slowest rank most.

        Changes of three ranks are considered only if no simpler one helps.

        :returns: False if no change relieves it.
        """
        times = self.times
        source = max(range(len(times)), key=times.__getitem__)
        targets = self.find_targets(source)
        for candidates in (self.simple_changes, self.displacements):
            change = self.find_best(candidates(source, targets), source)
            if change is not None:
                self.apply(change)
                return True
        return False

    def fill_places(self) -> None:
        """Replicate the hottest experts in all places that are left.

        A step runs the tokens of few requests, so its load on an expert differs
        from the mean. Replicas share such a difference, too.
        """
        heap = [
            (-self.share(expert), expert) for expert in range(len(self.loads))
        ]
        heapq.heapify(heap)
        while heap:
            _, expert = heapq.heappop(heap)
            rank = self.find_free_rank(expert)
            if rank is None:
                continue
            change = {rank: (-1, expert)}
            if self.times_after(change)[rank] > self.peak():
                continue
            self.apply(change)
            heapq.heappush(heap, (-self.share(expert), expert))

    def find_free_rank(self, expert: int) -> int | None:
        """Find the least loaded rank with a free place for an expert.

        :returns: None if there is none.
        """
        ranks = [
            rank
            for rank, experts in enumerate(self.held)
            if len(experts) < self.limits.capacity
            and expert not in experts
            and self.can_take(rank, expert)
        ]
        return min(ranks, key=self.times.__getitem__, default=None)

    def find_best(
        self, candidates: Iterator[Change], source: int
    ) -> Change | None:
        """Find the change with the lowest peak over the ranks it affects.

        :param source: the rank to relieve.
        :returns: None if no change relieves it.
        """
        best = self.times[source] * (1 - MIN_RELIEF)
        best_change: Change | None = None
        for change in candidates:
            peak = max(self.times_after(change).values())
            if peak < best:
                best, best_change = peak, change
        return best_change

    def simple_changes(
        self, source: int, targets: list[int]
    ) -> Iterator[Change]:
        """Yield changes that drop, copy, move or swap a rank's experts."""
        for expert in self.held[source]:
            if len(self.holders[expert]) > 1:
                yield {source: (expert, -1)}
            for target in targets:
                if target not in self.holders[expert]:
                    yield from self.give(expert, source, target)

    def displacements(
        self, source: int, targets: list[int]
    ) -> Iterator[Change]:
        """Yield changes in which a rank passes on an expert to take another."""
        vias = [
            rank
            for rank in targets
            if len(self.held[rank]) < self.limits.capacity
        ]
        for expert in self.held[source]:
            for target in targets:
                if target not in self.holders[expert]:
                    yield from self.displace(expert, target, vias)

    def displace(
        self, expert: int, target: int, vias: list[int]
    ) -> Iterator[Change]:
        """Yield changes that copy an expert to a rank that passes on another."""
        for evicted in self.held[target]:
            for via in vias:
                if via != target and via not in self.holders[evicted]:
                    yield {target: (evicted, expert), via: (-1, evicted)}

    def find_targets(self, source: int) -> list[int]:
        """List the least loaded ranks that may take an expert."""
        ranks = [
            rank
            for rank, experts in enumerate(self.held)
            if rank != source
            and len(experts - self.original[rank]) < self.limits.max_new
        ]
        is_large = len(self.held) >= MIN_LARGE_GROUP
        count = MAX_LARGE_GROUP_TARGETS if is_large else MAX_TARGETS
        return heapq.nsmallest(count, ranks, key=self.times.__getitem__)

    def can_take(self, rank: int, expert: int) -> bool:
        """Check that a rank may be given an expert.

        :returns: False if it would exceed the new experts allowed to it.
        """
        original = self.original[rank]
        if expert in original:
            return True
        return len(self.held[rank] - original) < self.limits.max_new

    def give(self, expert: int, source: int, target: int) -> Iterator[Change]:
        """Yield changes that give a rank's expert to another rank."""
        if len(self.held[target]) < self.limits.capacity:
            yield {target: (-1, expert)}
            yield {source: (expert, -1), target: (-1, expert)}
            return
        for evicted in self.held[target]:
            if len(self.holders[evicted]) > 1:
                yield {target: (evicted, expert)}
            if source in self.holders[evicted]:
                continue
            if self.can_take(source, evicted):
                yield {source: (expert, evicted), target: (evicted, expert)}

    def times_after(self, change: Change) -> dict[int, float]:
        """Predict the times of the ranks that a change affects.

        :returns: times by rank.
        """
        counts: dict[int, int] = {}
        for removed, added in change.values():
            if removed >= 0:
                counts[removed] = counts.get(removed, 0) - 1
            if added >= 0:
                counts[added] = counts.get(added, 0) + 1
        after: dict[int, float] = {}
        for expert, difference in counts.items():
            if not difference:
                continue
            former = self.share(expert)
            share = self.share_after(expert, difference)
            for rank in self.holders[expert]:
                moved = (share - former) * self.slowness[rank]
                after[rank] = after.get(rank, self.times[rank]) + moved
        for rank, (removed, added) in change.items():
            load = 0.0
            if removed >= 0:
                load -= self.share_after(removed, counts[removed])
            if added >= 0:
                load += self.share_after(added, counts[added])
            time = after.get(rank, self.times[rank])
            after[rank] = time + load * self.slowness[rank]
        return after

    def share_after(self, expert: int, difference: int) -> float:
        """Return an expert's share after its holders change in number."""
        return self.loads[expert] / (len(self.holders[expert]) + difference)

    def apply(self, change: Change) -> None:
        """Apply a change."""
        for rank, time in self.times_after(change).items():
            self.times[rank] = time
        for rank, (removed, added) in change.items():
            if removed >= 0:
                self.held[rank].remove(removed)
                self.holders[removed].discard(rank)
            if added >= 0:
                self.held[rank].add(added)
                self.holders[added].add(rank)


def make_set_planner(
    held: Sequence[Sequence[int]],
    loads: Sequence[float],
    slowness: Sequence[float],
    limits: MapLimits,
    original: Sequence[Sequence[int]] = (),
) -> SetPlanner:
    """Create a planner of one set; the placement is copied.

    :param held: experts by rank.
    :param original: experts by rank before the first change, if ``held`` is
        the result of changes.
    :returns: a planner that has made no change.
    """
    return SetPlanner(
        [set(experts) for experts in held],
        loads,
        slowness,
        limits,
        [frozenset(experts) for experts in original or held],
    )
