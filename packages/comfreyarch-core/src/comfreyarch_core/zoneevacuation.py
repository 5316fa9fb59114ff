"""Decide which upstreams may get requests while zones are evacuated.

An operator requests the evacuation of an availability zone: its upstreams get
no new request until the operator withdraws that. Requests that run there end
normally.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from comfreyarch_core.upstreamlist import UpstreamEntry


@dataclass(slots=True)
class ZoneEvacuations:
    """Hold the zones whose evacuation is requested.

    :param zones: evacuated zones, also those without a known upstream.
    :param is_outdated: whether newer requests may have arrived at this node
        that it has not read yet; sends must wait meanwhile.
    """

    zones: set[str] = field(default_factory=set)
    is_outdated: Callable[[float], bool] = field(
        default=lambda _now: False,
    )

    def start(self, zone: str) -> bool:
        """Record the request to evacuate a zone.

        :returns: False if that was known.
        """
        if zone in self.zones:
            return False
        self.zones.add(zone)
        return True

    def end(self, zone: str) -> bool:
        """Record that the request was withdrawn.

        :returns: False if the zone was not evacuated.
        """
        if zone not in self.zones:
            return False
        self.zones.remove(zone)
        return True

    def includes(self, upstream: UpstreamEntry) -> bool:
        """Check whether the zone of an upstream is evacuated.

        :returns: True if the upstream must get no new request.
        """
        return upstream.availability_zone in self.zones

    def may_send(self, upstream: UpstreamEntry, now: float) -> bool:
        """Check whether a request may be sent to an upstream now.

        :returns: False if its zone is evacuated, or may be.
        """
        return not self.includes(upstream) and not self.is_outdated(now)


def names_in_zone(zone: str, upstreams: Iterable[UpstreamEntry]) -> list[str]:
    """List the upstreams of a zone.

    :returns: their names, sorted.
    """
    return sorted(
        upstream.name
        for upstream in upstreams
        if upstream.availability_zone == zone
    )


def make_zone_evacuations() -> ZoneEvacuations:
    """Create the state without an evacuation.

    :returns: the state.
    """
    return ZoneEvacuations()
