"""Hold what the ranks of a group told their leader."""

from dataclasses import dataclass, field

from comfreyarch_core.enginestate import EngineState, GroupMap
from comfreyarch_daemon.rankmail import CountNews

# Counts that a plan is made of: the last ones of each rank.
COUNTS_KEPT = 2
# A map is planned only on so many choices of experts, by set.
LEAST_CHOICES = 400


@dataclass(slots=True)
class GroupFacts:
    """Hold counts, experts and addresses, by rank.

    :param size: ranks of the group.
    :param experts_a_set: experts of one set.
    :param told: the last news of each rank's experts.
    :param engines: addresses of the engines.
    :param heard_at: when each rank's sidecar was last heard.
    """

    size: int
    experts_a_set: int
    counts: dict[int, list[CountNews]] = field(default_factory=dict)
    told: dict[int, CountNews] = field(default_factory=dict)
    engines: dict[int, str] = field(default_factory=dict)
    heard_at: dict[int, float] = field(default_factory=dict)

    def heard_counts(self, news: CountNews) -> None:
        """Take a rank's counts."""
        kept = self.counts.setdefault(news.rank, [])
        kept.append(news)
        self.counts[news.rank] = kept[-COUNTS_KEPT:]
        self.told[news.rank] = news

    def knows(self, rank: int, own: EngineState) -> bool:
        """Tell whether a rank's experts of the map in use are known.

        :returns: False where they are not, or of another map.
        """
        news = self.told.get(rank)
        return (
            news is not None
            and news.version == own.version
            and news.epoch == own.epoch
        )

    def content(self, own: EngineState | None) -> GroupMap | None:
        """Put the map in use together from what the ranks told.

        :param own: the leader's own engine.
        :returns: None until all told of the same map.
        """
        if own is None:
            return None
        ranks = range(self.size)
        if not all(self.knows(rank, own) for rank in ranks):
            return None
        told = [self.told[rank] for rank in ranks]
        sets = range(len(told[0].experts))
        return tuple(
            tuple(news.experts[number] for news in told) for number in sets
        )

    def loads(self, sets: int) -> list[list[int]] | None:
        """Add up the last counts of all ranks.

        :returns: choices by set and expert, None while too few are known.
        """
        if len(self.counts) < self.size:
            return None
        experts = self.experts_a_set
        total = [0] * (sets * experts)
        for kept in self.counts.values():
            if len(kept) < COUNTS_KEPT:
                return None
            for news in kept:
                for number, count in enumerate(news.counts):
                    total[number] += count
        if sum(total) < LEAST_CHOICES * sets:
            return None
        return [
            total[first : first + experts]
            for first in range(0, len(total), experts)
        ]
