"""Keep the net number of crashes of each trait, within bounds."""

from dataclasses import dataclass, field

# Lower bound of a net number, so that a trait that begins to crash upstreams is
# still barred.
MIN_NET = -5
# Limit on the traits kept; the oldest are dropped first.
MAX_TRAITS = 10_000


@dataclass(slots=True)
class TraitScores:
    """Count crashes less answers by trait.

    :param by_trait: the net numbers, the one changed last at the end.
    """

    by_trait: dict[str, float] = field(default_factory=dict)

    def net(self, trait: str) -> float:
        """Return the crashes of a trait less its answers.

        :returns: 0 for an unknown trait.
        """
        return self.by_trait.get(trait, 0)

    def add(self, trait: str, change: float) -> None:
        """Change a net number, and drop the oldest above the limit.

        Numbers above 0 are kept: callers choose the parts, and could push a
        suspect out with others.
        """
        net = self.by_trait.pop(trait, 0) + change
        self.by_trait[trait] = max(MIN_NET, net)
        if len(self.by_trait) > MAX_TRAITS:
            not_suspect = (
                name for name, known in self.by_trait.items() if known <= 0
            )
            self.by_trait.pop(next(not_suspect, trait))

    def lower_to(self, trait: str, highest: float) -> None:
        """Lower a net number to a limit."""
        self.by_trait[trait] = min(self.net(trait), highest)

    def raise_to(self, trait: str, lowest: float) -> None:
        """Raise a net number to a limit."""
        self.by_trait[trait] = max(self.net(trait), lowest)


def make_trait_scores() -> TraitScores:
    """Create scores without any trait.

    :returns: the scores.
    """
    return TraitScores()
