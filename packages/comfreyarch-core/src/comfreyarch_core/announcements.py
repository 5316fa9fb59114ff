"""Remember what upstreams announce with their answers.

An upstream announces that it leaves, or that it wants no request from this node
for a time. Neither is undone by the instance list, which may be older, by health
reports, or by successful answers.
"""

import math
from dataclasses import dataclass, field

from comfreyarch_core.upstreamlist import UpstreamEntry

# Announcements of leaving that are kept; the oldest are forgotten first.
MAX_LEAVING = 1000


@dataclass(slots=True)
class UpstreamAnnouncements:
    """Record the announcements of all upstreams by name.

    :param leaving: start of the process that announced that it leaves, see
        ``UpstreamEntry.started_ms``.
    :param held_until: time until which the upstream wants no request.
    """

    leaving: dict[str, int] = field(default_factory=dict)
    held_until: dict[str, float] = field(default_factory=dict)

    def record_leaving(self, entry: UpstreamEntry) -> bool:
        """Record that an upstream leaves.

        :returns: False if that was known.
        """
        if self.is_leaving(entry):
            return False
        self.leaving.pop(entry.name, None)
        self.leaving[entry.name] = entry.started_ms
        if len(self.leaving) > MAX_LEAVING:
            self.leaving.pop(next(iter(self.leaving)))
        return True

    def record_hold(self, name: str, until: float, now: float) -> None:
        """Record that an upstream wants no request; the longest time holds."""
        self.held_until = {
            other: end for other, end in self.held_until.items() if end > now
        }
        self.held_until[name] = max(until, self.hold_end(name))

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Check whether an upstream leaves, by its entry or its answers.

        :returns: False if it has started anew since it announced that.
        """
        return entry.leaving or (
            self.leaving.get(entry.name) == entry.started_ms
        )

    def hold_end(self, name: str) -> float:
        """Return the time until which an upstream wants no request.

        :returns: minus infinity if it announced none.
        """
        return self.held_until.get(name, -math.inf)


def make_announcements() -> UpstreamAnnouncements:
    """Create the announcements of upstreams that have made none.

    :returns: the announcements.
    """
    return UpstreamAnnouncements()
