"""Improve a map greedily, one change after another.

The planner takes load off the rank with the longest predicted step, by the
change that shortens the step most.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from comfreyarch_core.costs import (
    CostModel,
    Picture,
    Placement,
    count_holders,
    spread_requests,
)
from comfreyarch_core.moves import Change, Limits

TARGETS = 6
MIN_GAIN_MS = 1e-6


@dataclass(slots=True)
class Planner:
    """Plan on one picture of a group."""

    placement: Placement
    picture: Picture
    costs: CostModel
    limits: Limits
    holders: list[int] = field(default_factory=list)
    expert_ms: list[float] = field(default_factory=list)
    used: list[dict[int, int]] = field(default_factory=list)
    where: list[set[int]] = field(default_factory=list)
    spares: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Copy the placement and sum it up."""
        self.placement = [list(held) for held in self.placement]
        self.holders = count_holders(self.placement, len(self.picture.loads))
        self.expert_ms = [self.sum_rank(held) for held in self.placement]
        self.used = [self.count_layers(held) for held in self.placement]
        capacity = self.limits.capacity
        smallest = min(capacity)
        self.spares = [
            rank
            for rank, slots in enumerate(capacity)
            if slots > smallest or slots > self.least_used(rank)
        ]
        self.where = [set() for _ in self.picture.loads]
        for rank, held in enumerate(self.placement):
            for expert in held:
                self.where[expert].add(rank)

    def share_ms(self, expert: int, holders: int) -> float:
        """Give an expert's milliseconds on each of its holders."""
        return self.costs.token_ms * self.picture.loads[expert] / holders

    def sum_rank(self, held: list[int]) -> float:
        """Sum the expert milliseconds of a rank."""
        return sum(self.share_ms(one, self.holders[one]) for one in held)

    def count_layers(self, held: list[int]) -> dict[int, int]:
        """Count the slots in use by layer."""
        used: dict[int, int] = {}
        for expert in held:
            layer = expert // self.limits.experts_a_layer
            used[layer] = used.get(layer, 0) + 1
        return used

    def least_used(self, rank: int) -> int:
        """Give the fewest slots that a rank uses in a layer."""
        return min(self.used[rank].values(), default=0)

    def room(self, rank: int, layer: int) -> bool:
        """Tell whether a rank has a free slot in a layer."""
        return self.used[rank].get(layer, 0) < self.limits.capacity[rank]

    def times(self) -> list[float]:
        """Predict the rank times under the best spread of requests."""
        fixed = [self.costs.base_ms + own for own in self.expert_ms]
        picture = self.picture
        spread = spread_requests(
            fixed,
            picture.slowness,
            picture.requests,
            self.costs.request_ms,
        )
        return [
            slow * (own + self.costs.request_ms * requests)
            for own, slow, requests in zip(
                fixed,
                picture.slowness,
                spread,
                strict=True,
            )
        ]

    def hot(self, rank: int) -> float:
        """Give a rank's time without requests, which cannot be spread."""
        own = self.costs.base_ms + self.expert_ms[rank]
        return own * self.picture.slowness[rank]

    def best_change(self) -> Change | None:
        """Find the change that lowers the hottest rank most.

        :returns: the change, or None where none helps.
        """
        ranks = range(len(self.placement))
        source = max(ranks, key=self.hot)
        before = self.hot(source)
        best: Change | None = None
        best_peak = before - MIN_GAIN_MS
        for change in self.candidates(source):
            peak = self.peak_after(change)
            if peak < best_peak:
                best, best_peak = change, peak
        return best

    def candidates(self, source: int) -> Iterator[Change]:
        """Yield the changes that take load off a rank."""
        targets = sorted(range(len(self.placement)), key=self.hot)[:TARGETS]
        for given in self.placement[source]:
            if self.holders[given] > 1:
                yield Change('drop', given, source, source)
            for target in targets:
                if target != source and target not in self.where[given]:
                    yield from self.pair(given, source, target)

    def pair(self, given: int, source: int, target: int) -> Iterator[Change]:
        """Yield the changes between two ranks."""
        layer = given // self.limits.experts_a_layer
        if self.room(target, layer):
            yield Change('replica', given, source, target)
            yield Change('move', given, source, target)
            return
        for taken in self.placement[target]:
            if taken // self.limits.experts_a_layer != layer:
                continue
            if source in self.where[taken]:
                continue
            yield Change('swap', given, source, target, taken)
            if self.holders[taken] > 1:
                yield Change('replace', given, source, target, taken)
                continue
            via = self.roomy(layer, taken, target)
            if via >= 0:
                yield Change('displace', given, source, target, taken, via)

    def roomy(self, layer: int, taken: int, target: int) -> int:
        """Find the coolest rank with a free slot for a displaced expert.

        :returns: a rank, or -1 where there is none.
        """
        ranks = [
            rank
            for rank in self.spares
            if rank != target
            and rank not in self.where[taken]
            and self.room(rank, layer)
        ]
        return min(ranks, key=self.hot, default=-1)

    def deltas(self, change: Change) -> dict[int, float]:
        """Work out how a change shifts expert milliseconds by rank."""
        given, source, target = change.given, change.source, change.target
        count = self.holders[given]
        share = self.share_ms(given, count)
        match change.kind:
            case 'drop':
                return self.spread_delta(given, count - 1, source, -share)
            case 'replica':
                shifted = self.spread_delta(given, count + 1, -1, 0)
                fresh = self.share_ms(given, count + 1)
                shifted[target] = shifted.get(target, 0) + fresh
                return shifted
            case 'move':
                return {source: -share, target: share}
            case 'replace':
                return self.replace_deltas(change)
            case 'displace':
                return self.displace_deltas(change)
        back = self.share_ms(change.taken, self.holders[change.taken])
        return {source: back - share, target: share - back}

    def replace_deltas(self, change: Change) -> dict[int, float]:
        """Work out a replica put in the slot of another's replica."""
        taken, target = change.taken, change.target
        count = self.holders[taken]
        dropped = self.share_ms(taken, count)
        shifted = self.spread_delta(taken, count - 1, target, -dropped)
        fresh = self.holders[change.given] + 1
        for rank, delta in self.spread_delta(
            change.given, fresh, -1, 0
        ).items():
            shifted[rank] = shifted.get(rank, 0) + delta
        own = self.share_ms(change.given, fresh)
        shifted[target] = shifted.get(target, 0) + own
        return shifted

    def displace_deltas(self, change: Change) -> dict[int, float]:
        """Work out a replica whose slot's expert moves on."""
        fresh = self.holders[change.given] + 1
        shifted = self.spread_delta(change.given, fresh, -1, 0)
        moved = self.share_ms(change.taken, self.holders[change.taken])
        own = self.share_ms(change.given, fresh) - moved
        shifted[change.target] = shifted.get(change.target, 0) + own
        shifted[change.via] = shifted.get(change.via, 0) + moved
        return shifted

    def spread_delta(
        self,
        expert: int,
        holders: int,
        leaver: int,
        leaver_delta: float,
    ) -> dict[int, float]:
        """Work out a new holder count on the ranks that keep an expert."""
        former = self.share_ms(expert, self.holders[expert])
        delta = self.share_ms(expert, holders) - former
        shifted = {rank: delta for rank in self.where[expert] if rank != leaver}
        if leaver >= 0:
            shifted[leaver] = leaver_delta
        return shifted

    def peak_after(self, change: Change) -> float:
        """Give the hottest of the ranks that a change touches."""
        peak = 0.0
        for rank, delta in self.deltas(change).items():
            own = self.costs.base_ms + self.expert_ms[rank] + delta
            peak = max(peak, own * self.picture.slowness[rank])
        return peak

    def apply(self, change: Change) -> None:
        """Carry out a change on this planner's map."""
        for rank, delta in self.deltas(change).items():
            self.expert_ms[rank] += delta
        source, target = change.source, change.target
        if change.kind in {'drop', 'move', 'swap'}:
            self.take_out(source, change.given)
        if change.kind in {'swap', 'replace', 'displace'}:
            self.take_out(target, change.taken)
        if change.kind == 'swap':
            self.put_in(source, change.taken)
        if change.kind == 'displace':
            self.put_in(change.via, change.taken)
        if change.kind != 'drop':
            self.put_in(target, change.given)

    def take_out(self, rank: int, expert: int) -> None:
        """Take an expert off a rank."""
        self.placement[rank].remove(expert)
        self.where[expert].discard(rank)
        self.holders[expert] -= 1
        self.used[rank][expert // self.limits.experts_a_layer] -= 1

    def put_in(self, rank: int, expert: int) -> None:
        """Put an expert on a rank."""
        layer = expert // self.limits.experts_a_layer
        self.placement[rank].append(expert)
        self.where[expert].add(rank)
        self.holders[expert] += 1
        self.used[rank][layer] = self.used[rank].get(layer, 0) + 1
