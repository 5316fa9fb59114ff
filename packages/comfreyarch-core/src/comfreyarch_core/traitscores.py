"""Keep crashes, answers and share of the traffic of each trait, within bounds."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Lower bound of a net count, so that a trait that begins to crash upstreams is
# still barred.
MIN_NET = -5
# Factor by which each answer reduces the weight of the former ones in shares.
SHARE_DECAY = 0.99
# Limit on the traits kept; the oldest are dropped first.
MAX_TRAITS = 10_000


@dataclass(slots=True)
class TraitCount:
    """Count what happened to the requests with a trait.

    :param net: crashes less answers.
    :param weight: decayed number of answers, as of answer ``last_answer``.
    """

    net: int = 0
    weight: float = 0
    last_answer: int = 0


@dataclass(slots=True)
class TraitScores:
    """Count crashes and answers by trait.

    :param counts: the counts, the one changed last at the end.
    :param answers: number of answers received.
    :param weight: decayed number of answers.
    """

    counts: dict[str, TraitCount] = field(default_factory=dict)
    answers: int = 0
    weight: float = 0

    def net(self, trait: str) -> int:
        """Return the crashes of a trait less its answers.

        :returns: 0 for an unknown trait.
        """
        known = self.counts.get(trait)
        return known.net if known is not None else 0

    def share(self, trait: str) -> float:
        """Return the share of a trait in the recent answers.

        :returns: 0 to 1; 0 without any answer.
        """
        known = self.counts.get(trait)
        if known is None or not self.weight:
            return 0
        return self.decayed_weight(known) / self.weight

    def record_answer(self, traits: Iterable[str]) -> None:
        """Count an answer for the shares of the traits of its request."""
        self.answers += 1
        self.weight = self.weight * SHARE_DECAY + 1
        for trait in traits:
            known = self.touch(trait)
            known.weight = self.decayed_weight(known) + 1
            known.last_answer = self.answers

    def decayed_weight(self, known: TraitCount) -> float:
        """Compute the present weight of a trait's answers."""
        return known.weight * SHARE_DECAY ** (self.answers - known.last_answer)

    def add(self, trait: str, change: int) -> None:
        """Change the net count of a trait."""
        known = self.touch(trait)
        known.net = max(MIN_NET, known.net + change)

    def lower_to(self, trait: str, highest: int) -> None:
        """Lower the net count of a trait to a limit."""
        known = self.touch(trait)
        known.net = min(known.net, highest)

    def raise_to(self, trait: str, lowest: int) -> None:
        """Raise the net count of a trait to a limit."""
        known = self.touch(trait)
        known.net = max(known.net, lowest)

    def touch(self, trait: str) -> TraitCount:
        """Return the count of a trait, and drop the oldest above the limit.

        Counts above 0 are kept: callers choose the parts, and could push a
        suspect out with others.
        """
        known = self.counts.pop(trait, None) or TraitCount()
        self.counts[trait] = known
        if len(self.counts) > MAX_TRAITS:
            not_suspect = (
                name
                for name, other in self.counts.items()
                if other.net <= 0 and other is not known
            )
            self.counts.pop(next(not_suspect, trait))
        return known


def make_trait_scores() -> TraitScores:
    """Create scores without any trait.

    :returns: the scores.
    """
    return TraitScores()
