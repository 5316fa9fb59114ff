"""Improve a map by greedy search, one change after another.

Each change takes load off the rank with the longest predicted step time
without requests. Of all candidates, the search picks the change that leaves
the lowest peak among the ranks that the change affects.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
    Placement,
    count_holders,
    spread_requests,
)
from comfreyarch_core.moves import Change, Limits

# Number of least loaded ranks that are considered as targets of a change.
MAX_TARGETS = 6
# A change must lower the peak by at least this much.
MIN_GAIN_MS = 1e-6


@dataclass(slots=True)
class Planner:
    """Search for changes to a map under one load snapshot.

    :param placement: the present map; it is copied, not modified.
    :param holder_counts: number of ranks that hold each expert.
    :param expert_ms: milliseconds a step spends in experts, by rank, before
        slowness.
    :param used_slots: slots in use by layer, for each rank.
    :param holder_ranks: ranks that hold each expert.
    :param spare_ranks: ranks that may have free slots for displaced experts.
    """

    placement: Placement
    snapshot: LoadSnapshot
    costs: CostModel
    limits: Limits
    holder_counts: list[int] = field(default_factory=list)
    expert_ms: list[float] = field(default_factory=list)
    used_slots: list[dict[int, int]] = field(default_factory=list)
    holder_ranks: list[set[int]] = field(default_factory=list)
    spare_ranks: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Copy the placement and build the indexes over it."""
        self.placement = [list(held) for held in self.placement]
        self.holder_counts = count_holders(
            self.placement, len(self.snapshot.loads)
        )
        self.expert_ms = [self.sum_expert_ms(held) for held in self.placement]
        self.used_slots = [
            self.count_used_slots(held) for held in self.placement
        ]
        capacity = self.limits.capacity
        smallest = min(capacity)
        self.spare_ranks = [
            rank
            for rank, slots in enumerate(capacity)
            if slots > smallest or slots > self.min_used_slots(rank)
        ]
        self.holder_ranks = [set() for _ in self.snapshot.loads]
        for rank, held in enumerate(self.placement):
            for expert in held:
                self.holder_ranks[expert].add(rank)

    def share_ms(self, expert: int, holders: int) -> float:
        """Return an expert's milliseconds a step on each of its holders."""
        return self.costs.token_ms * self.snapshot.loads[expert] / holders

    def sum_expert_ms(self, held: list[int]) -> float:
        """Sum the milliseconds of the experts that a rank holds."""
        return sum(
            self.share_ms(expert, self.holder_counts[expert]) for expert in held
        )

    def count_used_slots(self, held: list[int]) -> dict[int, int]:
        """Count a rank's slots in use by layer."""
        used: dict[int, int] = {}
        for expert in held:
            layer = expert // self.limits.experts_per_layer
            used[layer] = used.get(layer, 0) + 1
        return used

    def min_used_slots(self, rank: int) -> int:
        """Return the fewest slots that a rank uses in any of its layers."""
        return min(self.used_slots[rank].values(), default=0)

    def has_free_slot(self, rank: int, layer: int) -> bool:
        """Check whether a rank has a free slot in a layer."""
        return self.used_slots[rank].get(layer, 0) < self.limits.capacity[rank]

    def predict_times(self) -> list[float]:
        """Predict the step time of each rank under the best request spread.

        :returns: milliseconds by rank.
        """
        fixed = [self.costs.base_ms + spent for spent in self.expert_ms]
        snapshot = self.snapshot
        spread = spread_requests(
            fixed,
            snapshot.slowness,
            snapshot.requests,
            self.costs.request_ms,
        )
        return [
            slow * (rank_ms + self.costs.request_ms * requests)
            for rank_ms, slow, requests in zip(
                fixed,
                snapshot.slowness,
                spread,
                strict=True,
            )
        ]

    def fixed_time_ms(self, rank: int) -> float:
        """Return a rank's step time without requests.

        This part can be lowered only by moving experts.
        """
        rank_ms = self.costs.base_ms + self.expert_ms[rank]
        return rank_ms * self.snapshot.slowness[rank]

    def best_change(self) -> Change | None:
        """Find the change that relieves the slowest rank most.

        :returns: the change with the lowest peak over the ranks that it
            touches, or None if no change lowers the peak.
        """
        ranks = range(len(self.placement))
        source = max(ranks, key=self.fixed_time_ms)
        before = self.fixed_time_ms(source)
        best: Change | None = None
        best_peak = before - MIN_GAIN_MS
        for change in self.candidates(source):
            peak = self.peak_after(change)
            if peak < best_peak:
                best, best_peak = change, peak
        return best

    def candidates(self, source: int) -> Iterator[Change]:
        """Yield the changes that take load off a rank."""
        targets = sorted(range(len(self.placement)), key=self.fixed_time_ms)[
            :MAX_TARGETS
        ]
        for expert in self.placement[source]:
            if self.holder_counts[expert] > 1:
                yield Change('drop', expert, source, source)
            for target in targets:
                if target != source and target not in self.holder_ranks[expert]:
                    yield from self.pair_candidates(expert, source, target)

    def pair_candidates(
        self, expert: int, source: int, target: int
    ) -> Iterator[Change]:
        """Yield the changes that shift an expert's load to a target rank."""
        layer = expert // self.limits.experts_per_layer
        if self.has_free_slot(target, layer):
            yield Change('replica', expert, source, target)
            yield Change('move', expert, source, target)
            return
        for evicted in self.placement[target]:
            if evicted // self.limits.experts_per_layer != layer:
                continue
            if source in self.holder_ranks[evicted]:
                continue
            yield Change('swap', expert, source, target, evicted)
            if self.holder_counts[evicted] > 1:
                yield Change('replace', expert, source, target, evicted)
                continue
            via = self.find_free_rank(layer, evicted, target)
            if via >= 0:
                yield Change('displace', expert, source, target, evicted, via)

    def find_free_rank(self, layer: int, evicted: int, target: int) -> int:
        """Find the least loaded rank with a free slot for a displaced expert.

        :returns: a rank, or -1 if there is none.
        """
        ranks = [
            rank
            for rank in self.spare_ranks
            if rank != target
            and rank not in self.holder_ranks[evicted]
            and self.has_free_slot(rank, layer)
        ]
        return min(ranks, key=self.fixed_time_ms, default=-1)

    def time_deltas(self, change: Change) -> dict[int, float]:
        """Compute how a change shifts expert milliseconds.

        :returns: the difference by rank, for the ranks that it affects.
        """
        expert, source, target = change.expert, change.source, change.target
        count = self.holder_counts[expert]
        share = self.share_ms(expert, count)
        match change.kind:
            case 'drop':
                return self.share_deltas(expert, count - 1, source, -share)
            case 'replica':
                deltas = self.share_deltas(expert, count + 1, -1, 0)
                new_share = self.share_ms(expert, count + 1)
                deltas[target] = deltas.get(target, 0) + new_share
                return deltas
            case 'move':
                return {source: -share, target: share}
            case 'replace':
                return self.replace_deltas(change)
            case 'displace':
                return self.displace_deltas(change)
        evicted_share = self.share_ms(
            change.evicted, self.holder_counts[change.evicted]
        )
        return {source: evicted_share - share, target: share - evicted_share}

    def replace_deltas(self, change: Change) -> dict[int, float]:
        """Compute the shift when a replica replaces that of another expert."""
        evicted, target = change.evicted, change.target
        count = self.holder_counts[evicted]
        dropped = self.share_ms(evicted, count)
        deltas = self.share_deltas(evicted, count - 1, target, -dropped)
        new_count = self.holder_counts[change.expert] + 1
        for rank, delta in self.share_deltas(
            change.expert, new_count, -1, 0
        ).items():
            deltas[rank] = deltas.get(rank, 0) + delta
        new_share = self.share_ms(change.expert, new_count)
        deltas[target] = deltas.get(target, 0) + new_share
        return deltas

    def displace_deltas(self, change: Change) -> dict[int, float]:
        """Compute the shift when a replica displaces an expert to ``via``."""
        new_count = self.holder_counts[change.expert] + 1
        deltas = self.share_deltas(change.expert, new_count, -1, 0)
        evicted_share = self.share_ms(
            change.evicted, self.holder_counts[change.evicted]
        )
        target_delta = self.share_ms(change.expert, new_count) - evicted_share
        deltas[change.target] = deltas.get(change.target, 0) + target_delta
        deltas[change.via] = deltas.get(change.via, 0) + evicted_share
        return deltas

    def share_deltas(
        self,
        expert: int,
        holders: int,
        leaving_rank: int,
        leaving_delta: float,
    ) -> dict[int, float]:
        """Compute how a new holder count shifts an expert's shares.

        :param holders: the new number of holders.
        :param leaving_rank: the rank that drops the expert, -1 for none.
        :param leaving_delta: the difference on that rank.
        :returns: the difference by rank, in milliseconds.
        """
        former = self.share_ms(expert, self.holder_counts[expert])
        delta = self.share_ms(expert, holders) - former
        deltas = {
            rank: delta
            for rank in self.holder_ranks[expert]
            if rank != leaving_rank
        }
        if leaving_rank >= 0:
            deltas[leaving_rank] = leaving_delta
        return deltas

    def peak_after(self, change: Change) -> float:
        """Return the longest time of the ranks that a change affects.

        :returns: milliseconds, without requests.
        """
        peak = 0.0
        for rank, delta in self.time_deltas(change).items():
            rank_ms = self.costs.base_ms + self.expert_ms[rank] + delta
            peak = max(peak, rank_ms * self.snapshot.slowness[rank])
        return peak

    def apply(self, change: Change) -> None:
        """Apply a change to this planner's copy of the map."""
        for rank, delta in self.time_deltas(change).items():
            self.expert_ms[rank] += delta
        source, target = change.source, change.target
        if change.kind in {'drop', 'move', 'swap'}:
            self.remove_expert(source, change.expert)
        if change.kind in {'swap', 'replace', 'displace'}:
            self.remove_expert(target, change.evicted)
        if change.kind == 'swap':
            self.add_expert(source, change.evicted)
        if change.kind == 'displace':
            self.add_expert(change.via, change.evicted)
        if change.kind != 'drop':
            self.add_expert(target, change.expert)

    def remove_expert(self, rank: int, expert: int) -> None:
        """Remove an expert from a rank."""
        self.placement[rank].remove(expert)
        self.holder_ranks[expert].discard(rank)
        self.holder_counts[expert] -= 1
        self.used_slots[rank][expert // self.limits.experts_per_layer] -= 1

    def add_expert(self, rank: int, expert: int) -> None:
        """Add an expert to a rank."""
        layer = expert // self.limits.experts_per_layer
        self.placement[rank].append(expert)
        self.holder_ranks[expert].add(rank)
        self.holder_counts[expert] += 1
        self.used_slots[rank][layer] = self.used_slots[rank].get(layer, 0) + 1
