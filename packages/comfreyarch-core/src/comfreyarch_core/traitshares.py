"""Estimate the share of each trait in the recent answers of a service.

Shares are kept by service: while one service is down, the answers of others say
nothing about the traits of its requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Factor by which each answer of a service reduces the weight of former ones.
DECAY = 0.99
# Limit on the pairs of service and trait kept; the oldest are dropped first.
MAX_SHARES = 10_000


@dataclass(slots=True)
class DecayedCount:
    """Count answers, each with a weight that decays.

    :param last_answer: number of the service's answer at the last change.
    """

    weight: float = 0
    last_answer: int = 0

    def weight_at(self, answer: int) -> float:
        """Compute the weight at the time of an answer of the service."""
        return self.weight * DECAY ** (answer - self.last_answer)

    def add(self, answer: int) -> None:
        """Count an answer of the service, by its number."""
        self.weight = self.weight_at(answer) + 1
        self.last_answer = answer


@dataclass(slots=True)
class TraitShares:
    """Count the answers of services, and those with each trait.

    :param services: counts by service.
    :param traits: counts by service and trait, the latest change last.
    """

    services: dict[str, DecayedCount] = field(default_factory=dict)
    traits: dict[tuple[str, str], DecayedCount] = field(default_factory=dict)

    def record_answer(self, service: str, traits: Iterable[str]) -> None:
        """Count an answer of a service to a request with some traits."""
        total = self.services.setdefault(service, DecayedCount())
        answer = total.last_answer + 1
        total.add(answer)
        for trait in traits:
            key = (service, trait)
            known = self.traits.pop(key, None) or DecayedCount()
            known.add(answer)
            self.traits[key] = known
        while len(self.traits) > MAX_SHARES:
            self.traits.pop(next(iter(self.traits)))

    def answers(self, service: str) -> int:
        """Return the number of answers of a service."""
        known = self.services.get(service)
        return known.last_answer if known is not None else 0

    def share(self, service: str, trait: str) -> float:
        """Return the share of a trait in the recent answers of a service.

        :returns: 0 to 1; 0 without any answer.
        """
        known = self.traits.get((service, trait))
        if known is None:
            return 0
        total = self.services[service]
        return known.weight_at(total.last_answer) / total.weight

    def highest_share(self, trait: str) -> float:
        """Return the highest share of a trait over all services."""
        return max(
            (self.share(service, trait) for service in self.services),
            default=0,
        )


def make_trait_shares() -> TraitShares:
    """Create shares without any answer.

    :returns: the shares.
    """
    return TraitShares()
