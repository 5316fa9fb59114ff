"""Circuit breaker for a service whose upstreams reject every request.

After an outage, all upstreams of a service may answer but reject requests for
some seconds. After several consecutive rejections, only one request at a time
is sent as a probe, to spare the service and the retry budget. The other
requests wait and start as soon as one has been accepted.
"""

from dataclasses import dataclass

# Consecutive rejections that open the circuit.
REJECTIONS_TO_OPEN = 3
# Time between two probes while the circuit is open.
PROBE_INTERVAL_S = 0.2


@dataclass(slots=True)
class CircuitBreaker:
    """Decide whether a request may be sent to a service now.

    :param rejections: rejections since the last acceptance.
    :param next_probe_at: earliest time of the next probe while open.
    """

    rejections: int = 0
    next_probe_at: float = 0

    @property
    def is_open(self) -> bool:
        """Check whether the circuit is open, that is, requests are held back.

        :returns: True until a request is accepted.
        """
        return self.rejections >= REJECTIONS_TO_OPEN

    def may_send(self, now: float) -> bool:
        """Check whether a request may be sent.

        :returns: True while the circuit is closed or when a probe is due.
        """
        return not self.is_open or now >= self.next_probe_at

    def sent(self, now: float) -> None:
        """Record that a request was sent."""
        if self.is_open:
            self.next_probe_at = now + PROBE_INTERVAL_S

    def rejected(self, now: float) -> None:
        """Record that an upstream rejected a request without running it."""
        self.rejections += 1
        if self.rejections == REJECTIONS_TO_OPEN:
            self.next_probe_at = now + PROBE_INTERVAL_S

    def accepted(self) -> None:
        """Close the circuit: a request was accepted or an engine recovered."""
        self.rejections = 0


def make_circuit_breaker() -> CircuitBreaker:
    """Create a circuit breaker.

    :returns: a breaker whose circuit is closed.
    """
    return CircuitBreaker()
