"""Store what the ranks of a group reported to their leader."""

import math
import operator
from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState, GroupMap
from comfreyarch_daemon.sidecarmessages import ExpertCounts

# Number of recent counts of each rank that a plan is based on. Those of a large
# group are based on fewer, as long as there are enough in all.
COUNTS_PER_RANK = 2
MIN_COUNTS_PER_PLAN = 64
# Share of the ranks that a plan needs if the others are silent.
MIN_HEARD_SHARE = 2 / 3
# Time after which a rank without reports counts as silent. Its engine is then
# contacted directly, which unlike a read by its own sidecar has a cost for the
# engine.
RANK_TIMEOUT_S = 0.4
# Minimum number of expert choices per set for planning a map.
MIN_CHOICES_PER_SET = 400


@dataclass(slots=True)
class GroupReports:
    """Hold counts, experts and engine addresses, by rank.

    :param size: number of ranks in the group.
    :param experts_per_set: number of experts in a set.
    :param recent_counts: the last counts of each rank, oldest first.
    :param latest_counts: the last counts of each rank, kept when
        ``recent_counts`` is cleared; they list the rank's experts.
    :param engine_addresses: addresses of the ranks' engines.
    :param last_seen_at: time of the last report from each rank's sidecar.
    """

    size: int
    experts_per_set: int
    recent_counts: dict[int, list[ExpertCounts]] = field(default_factory=dict)
    latest_counts: dict[int, ExpertCounts] = field(default_factory=dict)
    engine_addresses: dict[int, str] = field(default_factory=dict)
    last_seen_at: dict[int, float] = field(default_factory=dict)

    @property
    def counts_needed(self) -> int:
        """Return the number of counts of each rank that a plan needs."""
        return min(COUNTS_PER_RANK, math.ceil(MIN_COUNTS_PER_PLAN / self.size))

    def end_change(self) -> None:
        """Drop the counts that led to a change of the map.

        The demand does not depend on the map. A large group, which needs only
        the last counts, goes on with them and so follows the next shift sooner.
        """
        if self.counts_needed > 1:
            self.recent_counts.clear()

    def handle_counts(self, counts: ExpertCounts) -> None:
        """Record a rank's counts."""
        kept = self.recent_counts.setdefault(counts.rank, [])
        kept.append(counts)
        self.recent_counts[counts.rank] = kept[-COUNTS_PER_RANK:]
        self.latest_counts[counts.rank] = counts

    def has_current_experts(self, rank: int, own_state: EngineState) -> bool:
        """Check whether a rank's experts under the map in use are known.

        :returns: False if they are unknown or belong to another map.
        """
        counts = self.latest_counts.get(rank)
        return (
            counts is not None
            and counts.version == own_state.version
            and counts.epoch == own_state.epoch
        )

    def assemble_map(self, own_state: EngineState | None) -> GroupMap | None:
        """Assemble the map in use from the experts that the ranks reported.

        :param own_state: state of the leader's own engine.
        :returns: None until all ranks have reported the same map.
        """
        if own_state is None:
            return None
        ranks = range(self.size)
        if not all(self.has_current_experts(rank, own_state) for rank in ranks):
            return None
        counts_by_rank = [self.latest_counts[rank] for rank in ranks]
        sets = range(len(counts_by_rank[0].experts))
        return tuple(
            tuple(counts.experts[set_number] for counts in counts_by_rank)
            for set_number in sets
        )

    def is_enough_heard(self) -> bool:
        """Check whether the counts of the ranks suffice for a plan.

        :returns: True if all ranks reported enough counts, or two thirds did
            and the sidecars of the others are silent.
        """
        needed = self.counts_needed
        missing = [
            rank
            for rank in range(self.size)
            if len(self.recent_counts.get(rank, ())) < needed
        ]
        heard = self.size - len(missing)
        if not missing or heard < MIN_HEARD_SHARE * self.size:
            return not missing
        latest = max(self.last_seen_at.values(), default=0)
        return all(
            latest - self.last_seen_at.get(rank, -math.inf) > RANK_TIMEOUT_S
            for rank in missing
        )

    def sum_loads(self, sets: int) -> list[list[int]] | None:
        """Sum the recent counts of all ranks.

        :param sets: number of expert sets.
        :returns: choices by set and expert, None while too few are known.
        """
        if not self.is_enough_heard():
            return None
        experts = self.experts_per_set
        total = [0] * (sets * experts)
        needed = self.counts_needed
        for kept in self.recent_counts.values():
            for counts in kept[-needed:]:
                total = list(map(operator.add, total, counts.counts))
        if sum(total) < MIN_CHOICES_PER_SET * sets:
            return None
        return [
            total[first : first + experts]
            for first in range(0, len(total), experts)
        ]
