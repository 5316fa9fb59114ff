"""Plan expert moves, swaps and replicas: the lever that has a price.

The planner improves the map greedily: it takes load off the rank with the
longest predicted step, by the change that shortens the step most, until
a further one no longer pays. Every change is one or two expert loads.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from comfreyarch_core.costs import (
    CostModel,
    Picture,
    Placement,
    count_holders,
    rank_times,
    spread_requests,
)

TARGETS = 6
LOADS_OF = {'swap': 2, 'displace': 2, 'drop': 0}
MIN_GAIN_MS = 1e-6


@dataclass(frozen=True, slots=True)
class Limits:
    """Hold what a map must keep to.

    :param experts_a_layer: experts of a layer.
    :param capacity: slots a layer, by rank.
    """

    experts_a_layer: int
    capacity: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Price:
    """Hold what a group's operators weigh.

    :param skew_price: worth of a millisecond of step time saved.
    :param move_price_ms: price of one expert load.
    :param horizon_steps: steps within which it must pay.
    :param most_moves: expert loads in a batch.
    """

    skew_price: float
    move_price_ms: float
    horizon_steps: int
    most_moves: int


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one change of the map.

    ``kind`` is ``swap``, ``move``, ``replica``, ``replace`` (a replica in
    the slot of another's), ``displace`` (the same, the other moving on to
    ``via``) or ``drop``; ``given`` goes from ``source`` to
    ``target``, ``taken`` leaves ``target``.
    """

    kind: str
    given: int
    source: int
    target: int
    taken: int = -1
    via: int = -1

    @property
    def loads(self) -> int:
        """Count the experts that must be loaded.

        :returns: 0 to 2.
        """
        return LOADS_OF.get(self.kind, 1)


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold a planned map with the reasons for it.

    :param gain_ms: predicted step time saved.
    :param price_ms: what the loads cost, in the same terms as
        ``gain_ms * skew_price * horizon_steps``.
    """

    placement: Placement
    changes: tuple[Change, ...]
    before_ms: float
    after_ms: float
    price_ms: float
    worth_ms: float

    @property
    def gain_ms(self) -> float:
        """Give the predicted step time saved.

        :returns: milliseconds.
        """
        return self.before_ms - self.after_ms

    @property
    def loads(self) -> int:
        """Count the experts that must be loaded.

        :returns: over all changes.
        """
        return sum(change.loads for change in self.changes)


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


def plan_moves(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
    limits: Limits,
    price: Price,
) -> Plan | None:
    """Plan the batch of changes that pays most for its price.

    :returns: the plan, or None where no change pays.
    """
    planner = Planner(placement, picture, costs, limits)
    before = max(planner.times())
    best: Plan | None = None
    changes: list[Change] = []
    loads = 0
    worth_a_ms = price.skew_price * price.horizon_steps
    while loads < price.most_moves:
        change = planner.best_change()
        if change is None or loads + change.loads > price.most_moves:
            break
        planner.apply(change)
        changes.append(change)
        loads += change.loads
        after = max(planner.times())
        cost = loads * price.move_price_ms
        worth = (before - after) * worth_a_ms
        if best is None or worth - cost > best.worth_ms - best.price_ms:
            copied = [sorted(held) for held in planner.placement]
            best = Plan(copied, tuple(changes), before, after, cost, worth)
    if best is None or best.worth_ms <= best.price_ms:
        return None
    return best


def pack(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
    limits: Limits,
) -> Placement:
    """Improve a map without regard to price, until nothing helps.

    :returns: the improved map.
    """
    most = len(picture.loads) * 2
    price = Price(1, 0, 1, most)
    plan = plan_moves(placement, picture, costs, limits, price)
    return placement if plan is None else plan.placement


def limit_ms(
    picture: Picture,
    costs: CostModel,
    limits: Limits,
) -> float:
    """Bound the step time from below over all maps.

    No map can be better than an even spread of all work, nor than its
    largest expert share with all spare slots given to replicas in the
    best way.

    :returns: milliseconds.
    """
    speed = sum(1 / slow for slow in picture.slowness)
    ranks = len(picture.slowness)
    work = (
        ranks * costs.base_ms
        + costs.token_ms * sum(picture.loads)
        + costs.request_ms * picture.requests
    )
    fastest = min(picture.slowness)
    even = work / speed
    largest = largest_share(picture.loads, limits)
    return max(even, fastest * (costs.base_ms + costs.token_ms * largest))


def largest_share(loads: Sequence[float], limits: Limits) -> float:
    """Bound the largest expert share with all spare slots in use.

    :returns: tokens a step.
    """
    size = limits.experts_a_layer
    largest = 0.0
    for first in range(0, len(loads), size):
        layer = loads[first : first + size]
        shares = spread_spares(layer, sum(limits.capacity) - size)
        largest = max(largest, *shares)
    return largest


def spread_spares(layer: Sequence[float], spares: int) -> list[float]:
    """Give each spare slot to the expert with the largest share.

    :returns: the shares that remain.
    """
    counts = [1] * len(layer)
    shares = list(layer)
    for _ in range(max(0, spares)):
        top = shares.index(max(shares))
        counts[top] += 1
        shares[top] = layer[top] / counts[top]
    return shares


def predicted_skew(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
) -> float:
    """Predict the skew under the best spread of requests.

    :returns: slowest over mean.
    """
    times = rank_times(placement, picture, costs)
    return max(times) * len(times) / sum(times)
