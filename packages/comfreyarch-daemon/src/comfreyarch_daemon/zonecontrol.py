"""Start and end evacuations of availability zones at a direct entry."""

from collections.abc import Callable

from comfreyarch_core.upstreamselection import UpstreamView
from comfreyarch_core.zoneevacuation import names_in_zone
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics

ZONES_GAUGE = 'evacuated_zones'
IN_FLIGHT_GAUGE = 'evacuated_in_flight'


class ZoneControl:
    """Apply, log and count the evacuations that the operator requests.

    :param on_ended: called with the names of the upstreams of a zone whose
        evacuation ended, and the position of the store by which it had, before
        any request is sent to them.
    """

    __slots__ = ('dispatcher', 'evacuations', 'log', 'metrics', 'on_ended')

    def __init__(
        self, dispatcher: Dispatcher, log: EventLog, metrics: Metrics
    ) -> None:
        """Start without an evacuation."""
        self.dispatcher = dispatcher
        self.evacuations = dispatcher.selector.evacuations
        self.log = log
        self.metrics = metrics
        self.on_ended: Callable[[list[str], int], None] = ignore
        self.report()

    def start(self, zone: str) -> None:
        """Start an evacuation, and place the waiting requests again."""
        if not self.evacuations.start(zone):
            return
        self.sort_upstreams()
        self.log.write(
            'evacuation_started',
            zone=zone,
            upstreams=len(self.upstreams(zone)),
            in_flight=self.in_flight(zone),
        )
        self.report()
        self.dispatcher.serve_queues()

    def end(self, zone: str, position: int) -> None:
        """End an evacuation, and place the waiting requests again.

        :param position: position of the store by which it ended.
        """
        if not self.evacuations.end(zone):
            return
        views = self.dispatcher.selector.views.values()
        names = names_in_zone(zone, (view.entry for view in views))
        self.on_ended(names, position)
        self.sort_upstreams()
        self.log.write(
            'evacuation_ended',
            zone=zone,
            upstreams=len(names),
            in_flight=self.in_flight(zone),
        )
        self.metrics.drop_gauge(IN_FLIGHT_GAUGE, zone=zone)
        self.report()
        self.dispatcher.serve_queues()

    def sort_upstreams(self) -> None:
        """Have the selector sort out the upstreams of evacuated zones."""
        selector = self.dispatcher.selector
        selector.update_upstreams(
            [view.entry for view in selector.views.values()]
        )

    def upstreams(self, zone: str) -> list[UpstreamView]:
        """List the known upstreams of a zone.

        :returns: their views.
        """
        views = self.dispatcher.selector.views.values()
        return [view for view in views if view.entry.availability_zone == zone]

    def in_flight(self, zone: str) -> int:
        """Count the requests of this entry in flight in a zone.

        :returns: a number of requests.
        """
        return sum(view.in_flight for view in self.upstreams(zone))

    def report(self) -> None:
        """Publish the evacuated zones and the requests in flight there."""
        zones = self.evacuations.zones
        self.metrics.gauge(ZONES_GAUGE, len(zones))
        for zone in zones:
            self.metrics.gauge(IN_FLIGHT_GAUGE, self.in_flight(zone), zone=zone)


def ignore(_names: list[str], _position: int) -> None:
    """Do nothing; the default for ``ZoneControl.on_ended``."""
