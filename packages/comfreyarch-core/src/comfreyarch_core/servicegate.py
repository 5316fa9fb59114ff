"""Spare a service that rejects everything, and the retry budget.

After an outage all upstreams of a service may answer, and reject, for some
seconds. Once several in a row did, one request at a time tries; the others
wait and start as soon as one was accepted.
"""

from dataclasses import dataclass

# Rejections in a row, without one acceptance, that close the gate.
CLOSING_REJECTIONS = 3
# Time between two tries while it is closed.
TRY_S = 0.2


@dataclass(slots=True)
class ServiceGate:
    """Decide whether a request may be sent to a service now.

    :param rejections: rejections since the last acceptance.
    :param next_at: time of the next try while closed.
    """

    rejections: int = 0
    next_at: float = 0

    @property
    def closed(self) -> bool:
        """Tell whether the service rejects everything of late.

        :returns: True until a request was accepted.
        """
        return self.rejections >= CLOSING_REJECTIONS

    def may_send(self, now: float) -> bool:
        """Tell whether a request may be sent.

        :returns: True while open, and for one try now and then.
        """
        return not self.closed or now >= self.next_at

    def sent(self, now: float) -> None:
        """Note that a request was sent."""
        if self.closed:
            self.next_at = now + TRY_S

    def rejected(self, now: float) -> None:
        """Note that an upstream did not run a request."""
        self.rejections += 1
        if self.rejections == CLOSING_REJECTIONS:
            self.next_at = now + TRY_S

    def accepted(self) -> None:
        """Note that an upstream took a request, or opened."""
        self.rejections = 0


def make_service_gate() -> ServiceGate:
    """Make an open gate.

    :returns: the gate.
    """
    return ServiceGate()
