"""Define a rank group's leader row, its store, and the rules for its maps."""

from dataclasses import dataclass
from typing import Protocol

from comfreyarch_core.grouppressure import ServiceLimits
from comfreyarch_core.setplanner import MapLimits


@dataclass(frozen=True, slots=True)
class Term:
    """Identify a leader of a group in one of the group's epochs.

    :param address: datagram address of the leader's sidecar.
    :param era: era of the store in which the term was claimed.
    """

    address: str
    epoch: int
    era: int = 0

    def is_of(self, address: str, epoch: int) -> bool:
        """Check whether a sidecar led by this term.

        :returns: False for another sidecar or epoch.
        """
        return (self.address, self.epoch) == (address, epoch)


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """Represent a group's leader row; the fence is 0 if no rank leads.

    :param fence: position at which the current term was claimed, which does not
        change if the store is restored from a copy that has the row.
    :param terms: the last terms, the current one first.
    :param era: era of the store when the row was read.
    """

    fence: int
    terms: tuple[Term, ...] = ()
    era: int = 0

    @property
    def address(self) -> str:
        """Return the current leader's address.

        :returns: an empty string if no rank leads.
        """
        return self.terms[0].address if self.terms else ''


class Leadership(Protocol):
    """Interface to the store of leaders, implemented by a platform adapter."""

    def read(self, group: str) -> LeaderRow:
        """Read the row of a group's leader.

        :raises StoreCallFailed: if the store does not answer.
        """

    def claim(
        self,
        group: str,
        term: Term,
        former: LeaderRow,
    ) -> int | None:
        """Replace the former leader if no other rank has replaced it.

        :returns: the new fence, None if another rank was faster.
        :raises StoreCallFailed: if the outcome is unknown.
        """


@dataclass(frozen=True, slots=True)
class MapRules:
    """Hold the limits on a group's maps and the limits of its service."""

    limits: MapLimits
    service_limits: ServiceLimits
