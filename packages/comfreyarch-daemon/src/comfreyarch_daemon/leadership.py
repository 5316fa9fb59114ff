"""Say who leads a rank group, and what its maps must keep to."""

from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.grouppressure import ServiceLimits
from comfreyarch_core.mapplan import MapLimits


@dataclass(frozen=True, slots=True)
class Term:
    """Say who led a group in one of its epochs.

    :param address: where the leader's sidecar takes datagrams.
    """

    address: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """Say who leads a group; the fence is 0 where nobody does.

    :param terms: the last terms, the present one first.
    """

    fence: int
    terms: tuple[Term, ...] = ()

    @property
    def address(self) -> str:
        """Give the present leader's address.

        :returns: an empty text where nobody leads.
        """
        return self.terms[0].address if self.terms else ''


class Leadership(Protocol):
    """Keep who leads a group; a platform's adapter fills it."""

    def read(self, group: str) -> LeaderRow:
        """Read who leads a group.

        :raises StoreAway: where the store does not answer.
        """

    def claim(
        self,
        group: str,
        term: Term,
        former: LeaderRow,
    ) -> int | None:
        """Become the leader after another one.

        :returns: the new fence, None where another was faster.
        :raises StoreAway: where the store does not say which.
        """


@dataclass(frozen=True, slots=True)
class MapRules:
    """Hold what the maps of a group must keep to, and what it should reach."""

    limits: MapLimits
    figures: ServiceLimits
