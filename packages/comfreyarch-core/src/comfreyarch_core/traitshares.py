"""Estimate the share of each trait in the recent requests on a route.

Shares are kept by route: the requests on others say nothing about the traits of
its requests, as one service may be down, or a route be used seldom.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyarch_core.crashmessages import Target

# Factor by which each request on a route reduces the weight of former ones.
DECAY = 0.99
# Limit on the pairs of route and trait kept; the oldest are dropped first.
MAX_SHARES = 10_000


@dataclass(slots=True)
class DecayedCount:
    """Count requests, each with a weight that decays.

    :param last: number of the route's request at the last change.
    """

    weight: float = 0
    last: int = 0

    def weight_at(self, number: int) -> float:
        """Compute the weight at the time of a request on the route."""
        return self.weight * DECAY ** (number - self.last)

    def add(self, number: int) -> None:
        """Count a request on the route, by its number."""
        self.weight = self.weight_at(number) + 1
        self.last = number


@dataclass(slots=True)
class TraitShares:
    """Count the requests on routes, and those with each trait.

    :param services: number of requests by service.
    :param routes: decayed counts by route.
    :param traits: decayed counts by route and trait, the latest change last.
    """

    services: dict[str, int] = field(default_factory=dict)
    routes: dict[str, DecayedCount] = field(default_factory=dict)
    traits: dict[tuple[str, str], DecayedCount] = field(default_factory=dict)

    def record(self, target: Target, traits: Iterable[str]) -> None:
        """Count a request with some traits."""
        known_requests = self.services.get(target.service, 0)
        self.services[target.service] = known_requests + 1
        total = self.routes.setdefault(target.route, DecayedCount())
        number = total.last + 1
        total.add(number)
        for trait in traits:
            key = (target.route, trait)
            known = self.traits.pop(key, None) or DecayedCount()
            known.add(number)
            self.traits[key] = known
        while len(self.traits) > MAX_SHARES:
            self.traits.pop(next(iter(self.traits)))

    def service_count(self, service: str) -> int:
        """Return the number of requests for a service."""
        return self.services.get(service, 0)

    def route_count(self, route: str) -> int:
        """Return the number of requests on a route."""
        known = self.routes.get(route)
        return known.last if known is not None else 0

    def share(self, route: str, trait: str) -> float:
        """Return the share of a trait in the recent requests on a route.

        :returns: 0 to 1; 0 without any request.
        """
        known = self.traits.get((route, trait))
        if known is None:
            return 0
        total = self.routes[route]
        return known.weight_at(total.last) / total.weight

    def highest_share(self, trait: str) -> float:
        """Return the highest share of a trait over all routes."""
        return max(
            (self.share(route, trait) for route in self.routes), default=0
        )


def make_trait_shares() -> TraitShares:
    """Create shares without any request.

    :returns: the shares.
    """
    return TraitShares()
