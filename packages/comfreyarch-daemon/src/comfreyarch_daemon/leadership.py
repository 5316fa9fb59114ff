"""Define a rank group's leader row, its view by sidecars, and its map rules."""

from dataclasses import dataclass, field
from typing import Protocol

from comfreyarch_core.enginestate import EngineState
from comfreyarch_core.grouppressure import ServiceLimits
from comfreyarch_core.setplanner import MapLimits

# Time without an announcement after which another rank claims leadership.
LEADER_TIMEOUT_S = 0.55
# Extra wait per rank number, so that the lowest rank claims first.
CLAIM_DELAY_PER_RANK_S = 0.25
# Number of states sent to a leader that is unheard, before its place is claimed,
# and their interval. Links drop some datagrams, above all when all start at once.
MAX_CONTACTS = 3
CONTACT_INTERVAL_S = 0.14
# Maximum delay after which an engine may still execute an order. A process
# younger than this cannot know what its predecessor has ordered.
MAX_ORDER_DELAY_S = 15.0


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


@dataclass(slots=True)
class LeaderView:
    """Represent a sidecar's view of its group's leader.

    :param process_started_at: start time of this process.
    :param leader_seen_at: time of the last message from a leader, or of this
        rank's last attempt to become the leader.
    :param fence: the highest fence seen.
    :param address: datagram address of the leader's sidecar.
    :param has_sought_leader: whether this rank has heard a leader or read the
        leader's row. Before, it need not wait for a leader to time out.
    :param contacted_fences: fences of leaders to which this rank has sent its
        state unasked.
    :param contacted: the last of these leaders while its answer is awaited.
    :param contacts: number of states sent to it.
    :param contacted_at: time at which the last of them was sent.
    :param earliest_claim_at: time before which this rank does not try to lead.
    :param announcements: number of announcements sent in this rank's term.
    :param last_sent: the state sent last, with the step and the request counts
        set to 0.
    :param last_sent_at: time at which it was sent.
    """

    process_started_at: float
    leader_seen_at: float
    fence: int = 0
    address: str = ''
    has_sought_leader: bool = False
    contacted_fences: set[int] = field(default_factory=set)
    contacted: LeaderRow | None = None
    contacts: int = 0
    contacted_at: float = 0
    earliest_claim_at: float = 0
    announcements: int = 0
    last_sent: EngineState | None = None
    last_sent_at: float = 0

    def is_recently_started(self, now: float) -> bool:
        """Check whether orders of this process's predecessor may still arrive.

        :returns: True during the maximum delay of an order after the start.
        """
        return now - self.process_started_at < MAX_ORDER_DELAY_S

    def begin_contact(self, leader: LeaderRow) -> None:
        """Begin to contact a leader from which nothing was received."""
        self.contacted_fences.add(leader.fence)
        self.contacted = leader
        self.contacts = 0

    def is_contact_due(self, now: float) -> bool:
        """Check whether the contacted leader should be sent the state again.

        :returns: False once it was sent often enough.
        """
        return (
            self.contacted is not None
            and self.contacts < MAX_CONTACTS
            and now - self.contacted_at >= CONTACT_INTERVAL_S
        )

    def is_claim_due(self, rank: int, now: float) -> bool:
        """Check whether a rank should claim leadership.

        :returns: False while a leader's messages arrive, and during the delay
            that lets lower ranks claim first.
        """
        if now < self.earliest_claim_at:
            return False
        if self.contacted is not None:
            answer_due_at = self.contacted_at + CONTACT_INTERVAL_S
            return self.contacts >= MAX_CONTACTS and now >= answer_due_at
        timeout_s = LEADER_TIMEOUT_S if self.has_sought_leader else 0
        silent_s = now - self.leader_seen_at
        return silent_s > timeout_s + CLAIM_DELAY_PER_RANK_S * rank

    def wait_for_engine(self, now: float) -> None:
        """Delay the first claim of a sidecar whose engine is in no group.

        The ranks of a group find their engines at the same time, and would all
        claim leadership then.
        """
        if not self.has_sought_leader:
            self.leader_seen_at = now

    def delay_claim(self, now: float) -> None:
        """Wait with the next claim until this rank's late orders expired."""
        self.earliest_claim_at = now + MAX_ORDER_DELAY_S
