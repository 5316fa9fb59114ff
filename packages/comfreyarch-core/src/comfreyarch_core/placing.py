"""Choose an upstream for a request that goes to it directly.

An entry knows its own requests at each upstream, and from answers how many
requests all entries had there a moment ago. It sends to where the fewest
are expected for each slot, and leaves out upstreams that lately failed.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyarch_core.upstreamlist import UpstreamEntry

# A load report loses half of its weight in this time.
REPORT_HALF_LIFE_S = 0.5
# Load, as a share of the slots, by which the own zone is preferred.
NEAR_BONUS = 0.08
# Pauses after failures in a row: the first, and the longest.
FIRST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 3.0
# Pause after an upstream refused a request as not run.
FULL_PAUSE_S = 0.15
# Weight of the newest outcome in the share of failed requests.
OUTCOME_WEIGHT = 0.15
# Extra load that an upstream is charged for failing all its requests.
FAILURE_LOAD = 4.0
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what an upstream tells of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class UpstreamView:
    """Hold what an entry believes of one upstream.

    :param in_flight: own requests there now.
    :param others: requests of other entries at the last report.
    :param failed_share: share of late outcomes that were failures.
    :param paused_until: no new request before, unless nobody else is left.
    """

    entry: UpstreamEntry
    in_flight: int = 0
    others: float = 0
    reported_at: float = 0
    failures: int = 0
    failed_share: float = 0
    paused_until: float = 0

    def load(self, now: float) -> float:
        """Predict the load that a further request would meet.

        :returns: requests for each slot, grown by late failures.
        """
        age = max(0.0, now - self.reported_at)
        others = self.others * 0.5 ** (age / REPORT_HALF_LIFE_S)
        slots = max(1, self.entry.slots)
        load = (self.in_flight + others + 1) / slots
        return load + FAILURE_LOAD * self.failed_share


@dataclass(slots=True)
class Placer:
    """Choose among the upstreams of all services.

    :param source: the random source, seeded outside.
    :param zone: the entry's availability zone.
    """

    source: random.Random
    zone: str
    views: dict[str, UpstreamView] = field(default_factory=dict)
    services: dict[str, list[UpstreamView]] = field(default_factory=dict)

    def know(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take the present upstreams; what is believed of known ones stays."""
        views: dict[str, UpstreamView] = {}
        services: dict[str, list[UpstreamView]] = {}
        for entry in entries:
            view = self.views.get(entry.name) or UpstreamView(entry)
            view.entry = entry
            views[entry.name] = view
            if not entry.leaving:
                services.setdefault(entry.service, []).append(view)
        self.views = views
        self.services = services

    def choose(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NOBODY,
    ) -> UpstreamView | None:
        """Choose the upstream with the lowest predicted load.

        :param avoid: names that this request was sent to before.
        :returns: None where the service has no upstream left.
        """
        views = [
            view
            for view in self.services.get(service, ())
            if view.entry.name not in avoid
        ]
        ready = [view for view in views if view.paused_until <= now]
        if not ready and views:
            return min(views, key=lambda view: view.paused_until)
        if not ready:
            return None
        self.source.shuffle(ready)
        return min(ready, key=lambda view: self.price(view, now))

    def price(self, view: UpstreamView, now: float) -> float:
        """Price a candidate.

        :returns: its load, less the preference for the own zone.
        """
        near = view.entry.availability_zone == self.zone
        return view.load(now) - (NEAR_BONUS if near else 0)

    def reported(self, name: str, report: LoadReport, now: float) -> None:
        """Take a load report that came with an answer."""
        view = self.views.get(name)
        if view is None:
            return
        total = report.running + report.waiting
        view.others = max(0, total - view.in_flight)
        view.reported_at = now

    def rejected(self, name: str, now: float) -> None:
        """Note that an upstream took no more: it is left alone a moment."""
        view = self.views.get(name)
        if view is not None:
            view.paused_until = max(view.paused_until, now + FULL_PAUSE_S)

    def succeeded(self, name: str) -> None:
        """Note that an upstream answered as it should."""
        view = self.views.get(name)
        if view is None:
            return
        view.failures = 0
        view.paused_until = 0
        view.failed_share *= 1 - OUTCOME_WEIGHT

    def erred(self, name: str) -> None:
        """Note that an upstream ran a request and failed."""
        view = self.views.get(name)
        if view is not None:
            view.failed_share += OUTCOME_WEIGHT * (1 - view.failed_share)

    def failed(self, name: str, now: float) -> float:
        """Note a failure: nothing new is sent for a growing pause.

        :returns: the pause in seconds.
        """
        view = self.views.get(name)
        if view is None:
            return 0
        pause = min(FIRST_PAUSE_S * 2**view.failures, LONGEST_PAUSE_S)
        view.failures += 1
        view.failed_share += OUTCOME_WEIGHT * (1 - view.failed_share)
        view.paused_until = now + pause
        return pause


def make_placer(zone: str, seed: int) -> Placer:
    """Make a placer with its own random source.

    :returns: a placer that knows nobody.
    """
    return Placer(random.Random(seed), zone)
