"""Estimate the share of each trait in the recent answers on a route.

Shares are kept by route: the answers on others say nothing about the traits of
its requests, as one service may be down, or a route be used seldom.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyarch_core.crashmessages import Target

# Factor by which each answer on a route reduces the weight of former ones.
DECAY = 0.99
# Limit on the pairs of route and trait kept; the oldest are dropped first.
MAX_SHARES = 10_000


@dataclass(slots=True)
class DecayedCount:
    """Count answers, each with a weight that decays.

    :param last_answer: number of the route's answer at the last change.
    """

    weight: float = 0
    last_answer: int = 0

    def weight_at(self, answer: int) -> float:
        """Compute the weight at the time of an answer on the route."""
        return self.weight * DECAY ** (answer - self.last_answer)

    def add(self, answer: int) -> None:
        """Count an answer on the route, by its number."""
        self.weight = self.weight_at(answer) + 1
        self.last_answer = answer


@dataclass(slots=True)
class TraitShares:
    """Count the answers on routes, and those with each trait.

    :param services: number of answers by service.
    :param routes: decayed counts by route.
    :param traits: decayed counts by route and trait, the latest change last.
    """

    services: dict[str, int] = field(default_factory=dict)
    routes: dict[str, DecayedCount] = field(default_factory=dict)
    traits: dict[tuple[str, str], DecayedCount] = field(default_factory=dict)

    def record_answer(self, target: Target, traits: Iterable[str]) -> None:
        """Count an answer to a request with some traits."""
        answered = self.services.get(target.service, 0)
        self.services[target.service] = answered + 1
        total = self.routes.setdefault(target.route, DecayedCount())
        answer = total.last_answer + 1
        total.add(answer)
        for trait in traits:
            key = (target.route, trait)
            known = self.traits.pop(key, None) or DecayedCount()
            known.add(answer)
            self.traits[key] = known
        while len(self.traits) > MAX_SHARES:
            self.traits.pop(next(iter(self.traits)))

    def service_answers(self, service: str) -> int:
        """Return the number of answers of a service."""
        return self.services.get(service, 0)

    def route_answers(self, route: str) -> int:
        """Return the number of answers on a route."""
        known = self.routes.get(route)
        return known.last_answer if known is not None else 0

    def share(self, route: str, trait: str) -> float:
        """Return the share of a trait in the recent answers on a route.

        :returns: 0 to 1; 0 without any answer.
        """
        known = self.traits.get((route, trait))
        if known is None:
            return 0
        total = self.routes[route]
        return known.weight_at(total.last_answer) / total.weight

    def highest_share(self, trait: str) -> float:
        """Return the highest share of a trait over all routes."""
        return max(
            (self.share(route, trait) for route in self.routes), default=0
        )


def make_trait_shares() -> TraitShares:
    """Create shares without any answer.

    :returns: the shares.
    """
    return TraitShares()
