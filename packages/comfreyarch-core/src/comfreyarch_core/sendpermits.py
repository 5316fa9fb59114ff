"""Define what limits the sends to upstreams that announce a request limit."""

import math
from typing import Protocol, Self

from comfreyarch_core.upstreamlist import UpstreamEntry


class SendPermits(Protocol):
    """Limit the sends to upstreams that announce a request limit."""

    @property
    def is_idle(self) -> bool:
        """Check that no upstream is limited."""

    def rate(self, entry: UpstreamEntry) -> float:
        """Return an upstream's limit, infinite without one."""

    def may_send(self, entry: UpstreamEntry, now: float) -> bool:
        """Check whether an upstream may get a request of this entry now."""

    def use_permit(self, entry: UpstreamEntry, now: float) -> float:
        """Use a permit for a request; return the time to send it by."""

    def copy(self) -> Self:
        """Copy the state, so that a trial leaves this one unchanged."""


class Unlimited:
    """Allow all sends, as long as nothing tracks the limits."""

    __slots__ = ()

    is_idle = True

    def rate(self, _entry: UpstreamEntry) -> float:
        """Return an infinite limit."""
        return math.inf

    def may_send(self, _entry: UpstreamEntry, _now: float) -> bool:
        """Allow a send."""
        return True

    def use_permit(self, _entry: UpstreamEntry, _now: float) -> float:
        """Return no time to send by."""
        return math.inf

    def copy(self) -> Self:
        """Return itself, as there is no state."""
        return self
