"""Evacuate availability zones at an entry that uses links to sidecars."""

from comfreyarch_core.routing import Router
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.zonecontrol import IN_FLIGHT_GAUGE, ZONES_GAUGE


class LinkEvacuation:
    """Apply, log and count the evacuations of the published configuration."""

    __slots__ = ('metrics', 'router')

    def __init__(self, router: Router, metrics: Metrics) -> None:
        """Start without an evacuation."""
        self.router = router
        self.metrics = metrics

    def apply(self, zones: frozenset[str]) -> None:
        """Replace the evacuated zones; requests that run there go on."""
        former = self.router.evacuated_zones
        self.router.evacuated_zones = zones
        for started in sorted(zones - former):
            self.log('evacuation started', started)
        for ended in sorted(former - zones):
            self.log('evacuation ended', ended)
            self.metrics.drop_gauge(IN_FLIGHT_GAUGE, zone=ended)
        self.report()

    def log(self, event: str, zone: str) -> None:
        """Log the start or end of an evacuation."""
        log_change(
            event,
            zone=zone,
            upstreams=self.router.count_peers(zone),
            in_flight=self.router.in_flight(zone),
        )

    def report(self) -> None:
        """Publish the evacuated zones and the attempts in flight there."""
        zones = self.router.evacuated_zones
        self.metrics.gauge(ZONES_GAUGE, len(zones))
        for zone in zones:
            level = self.router.in_flight(zone)
            self.metrics.gauge(IN_FLIGHT_GAUGE, level, zone=zone)
