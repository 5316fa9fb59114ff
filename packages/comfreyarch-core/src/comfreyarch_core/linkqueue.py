"""Schedule the datagrams of a node within the capacity of its link.

A link drops without notice what its buffer does not hold. Datagrams are therefore
sent no faster than the link takes them, and those that must wait do so here, where
urgent ones overtake others, newer ones replace older ones, and outdated ones are
dropped.
"""

import enum
import math
from dataclasses import dataclass, field

from comfreyarch_core.reportpacing import DATAGRAM_OVERHEAD_BYTES

# Share of the link that datagrams may use. Streams, orders to engines and calls to
# the store need the rest.
LINK_SHARE = 0.8
# Datagrams are sent while the link needs less than this time for those before them,
# so that it does not idle when a timer is late.
MAX_LEAD_S = 0.004
# Maximum time in which the link would send all that waits.
MAX_BACKLOG_S = 1.0


class Urgency(enum.IntEnum):
    """Define the order in which waiting datagrams are sent, lowest first."""

    control = 0
    state = 1
    bulk = 2
    background = 3


@dataclass(frozen=True, slots=True)
class SendPolicy:
    """Define how the datagrams of one tag wait for the link.

    :param max_wait_s: time after which a waiting datagram is outdated.
    :param is_superseded: whether a datagram replaces a waiting one of the same
        tag to the same address.
    """

    urgency: Urgency
    max_wait_s: float
    is_superseded: bool


@dataclass(frozen=True, slots=True)
class Datagram:
    """Represent an encoded message to one address.

    :param tag: tag of the message.
    """

    tag: str
    encoded: bytes
    address: str
    policy: SendPolicy

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the datagram takes on the link."""
        return len(self.encoded) + DATAGRAM_OVERHEAD_BYTES


# Identifies a waiting datagram; the number is 0 if a newer one replaces it.
Key = tuple[str, str, int]


@dataclass(slots=True)
class LinkQueue:
    """Queue the datagrams of one node.

    :param bytes_per_s: bytes that datagrams may use of the link, infinite if its
        capacity is unknown.
    :param waiting: datagrams and the times since which they wait, by urgency.
    :param waiting_bytes: size of all waiting datagrams.
    :param free_at: time at which the link has sent all datagrams passed to it.
    :param number: number of datagrams offered.
    :param dropped: number of dropped datagrams by tag.
    """

    bytes_per_s: float
    waiting: dict[Urgency, dict[Key, tuple[Datagram, float]]] = field(
        default_factory=lambda: {urgency: {} for urgency in Urgency}
    )
    waiting_bytes: int = 0
    free_at: float = 0
    number: int = 0
    dropped: dict[str, int] = field(default_factory=dict)

    def offer(self, datagram: Datagram, now: float) -> list[Datagram]:
        """Add a datagram.

        :param now: seconds of a monotonic clock.
        :returns: the datagrams to send now.
        """
        self.number += 1
        policy = datagram.policy
        number = 0 if policy.is_superseded else self.number
        key = (datagram.tag, datagram.address, number)
        lane = self.waiting[policy.urgency]
        former = lane.get(key)
        if former is not None:
            self.waiting_bytes -= former[0].size_bytes
        # A replaced datagram keeps its place, or it would never be its turn.
        lane[key] = (datagram, now)
        self.waiting_bytes += datagram.size_bytes
        due = self.take_due(now)
        self.drop_excess()
        return due

    def take_due(self, now: float) -> list[Datagram]:
        """Remove the datagrams that the link takes now.

        :returns: the datagrams in the order in which to send them.
        """
        due = []
        while now >= self.next_due_at():
            datagram = self.take_first(now)
            if datagram is None:
                break
            self.free_at = max(self.free_at, now) + self.transfer_s(
                datagram.size_bytes
            )
            due.append(datagram)
        return due

    def take_first(self, now: float) -> Datagram | None:
        """Remove the most urgent datagram, and those before it that are outdated.

        :returns: None if none is left.
        """
        for lane in self.waiting.values():
            while lane:
                key = next(iter(lane))
                datagram, since = self.remove(lane, key)
                if now - since <= datagram.policy.max_wait_s:
                    return datagram
                self.count_dropped(datagram)
        return None

    def take_urgent(self, now: float) -> list[Datagram]:
        """Remove all datagrams of orders and states, whatever the link takes.

        A node that stops can send them no later.

        :returns: the datagrams, without those that are outdated.
        """
        taken = [
            self.remove(lane, key)
            for urgency, lane in self.waiting.items()
            if urgency <= Urgency.state
            for key in list(lane)
        ]
        return [
            datagram
            for datagram, since in taken
            if now - since <= datagram.policy.max_wait_s
        ]

    def remove(
        self, lane: dict[Key, tuple[Datagram, float]], key: Key
    ) -> tuple[Datagram, float]:
        """Remove a waiting datagram.

        :returns: the datagram and the time since which it waited.
        """
        datagram, since = lane.pop(key)
        self.waiting_bytes -= datagram.size_bytes
        return datagram, since

    def drop_excess(self) -> None:
        """Drop the oldest of the least urgent datagrams beyond the bound."""
        limit = MAX_BACKLOG_S * self.bytes_per_s
        for urgency in reversed(Urgency):
            lane = self.waiting[urgency]
            while lane and self.waiting_bytes > limit:
                datagram, _ = self.remove(lane, next(iter(lane)))
                self.count_dropped(datagram)

    def count_dropped(self, datagram: Datagram) -> None:
        """Count a datagram that is not sent."""
        self.dropped[datagram.tag] = self.dropped.get(datagram.tag, 0) + 1

    def next_due_at(self) -> float:
        """Return the time at which the next datagram may be sent.

        :returns: infinity if none waits.
        """
        return self.free_at - MAX_LEAD_S if self.waiting_bytes else math.inf

    def transfer_s(self, size_bytes: float) -> float:
        """Return the time in which the link takes a number of bytes."""
        return size_bytes / self.bytes_per_s

    def backlog_s(self, now: float) -> float:
        """Return the time until all that was offered has left."""
        busy_s = max(0.0, self.free_at - now)
        return busy_s + self.transfer_s(self.waiting_bytes)

    def take_dropped(self) -> dict[str, int]:
        """Return the numbers of dropped datagrams and start again from zero.

        :returns: numbers by tag.
        """
        dropped, self.dropped = self.dropped, {}
        return dropped


def make_link_queue(link_bytes_per_s: float) -> LinkQueue:
    """Create the queue of a node.

    :param link_bytes_per_s: capacity of its link, 0 if unknown; datagrams then
        never wait.
    :returns: an empty queue.
    """
    return LinkQueue(LINK_SHARE * link_bytes_per_s or math.inf)
