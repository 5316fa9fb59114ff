"""Measure the passes of rank groups by the events of their streams.

Each pass of a group yields one event of every stream, so the time between two
events of a stream is that of a pass. An entry sees it at once, while the pass
times that sidecars report are smoothed and up to a second old; these are used
for groups without streams of this entry.
"""

import math
from collections import deque
from dataclasses import dataclass, field

# Time over which the shortest pass is sought. Passes that the next expert map
# shortens within this time lead to no refusal.
WINDOW_S = 0.5
# Least number of gaps that describe the passes.
MIN_GAPS = 3
# Share of the gaps that may be shorter than the shortest pass, as a congested
# link delivers events together. It is below the share of one pass among those
# of the window at the usual pass time of 60 ms.
BUNCHED_SHARE = 0.1
# Reported pass times expire after this time, as do reports of health.
REPORT_TTL_S = 3.0


@dataclass(slots=True)
class GroupPace:
    """Hold the recent pass times of one group.

    :param gaps: time at which a gap ended and its length in seconds.
    :param reports: time of a sidecar's report and its pass time in seconds.
    :param computed: last time for which the gaps were evaluated, and the
        result; choosing an upstream asks once for each upstream.
    """

    gaps: deque[tuple[float, float]] = field(default_factory=deque)
    reports: deque[tuple[float, float]] = field(default_factory=deque)
    computed: tuple[float, float] = (-math.inf, 0)

    def drop_old(self, now: float) -> None:
        """Drop what does not describe the passes of the window."""
        start = now - WINDOW_S
        while self.gaps and self.gaps[0][0] < start:
            self.gaps.popleft()
        # The last report before the window describes its beginning.
        while len(self.reports) > 1 and self.reports[1][0] <= start:
            self.reports.popleft()

    def measured_s(self, now: float) -> float:
        """Return the shortest pass that the gaps show.

        :returns: seconds, 0 if the gaps are too few or cover only a part of
            the window.
        """
        if self.computed[0] != now:
            self.drop_old(now)
            self.computed = (now, self.low_gap_s(now))
        return self.computed[1]

    def low_gap_s(self, now: float) -> float:
        """Compute a low quantile of the gaps.

        :returns: seconds, 0 as above.
        """
        if len(self.gaps) < MIN_GAPS:
            return 0
        ended_at, gap_s = self.gaps[0]
        if ended_at - gap_s > now - WINDOW_S:
            return 0
        gaps = sorted(gap_s for _, gap_s in self.gaps)
        return gaps[math.floor(BUNCHED_SHARE * len(gaps))]

    def reported_s(self, now: float) -> float:
        """Return the shortest pass time that was reported.

        :returns: seconds, 0 if the reports cover only a part of the window.
        """
        self.drop_old(now)
        if not self.reports or self.reports[0][0] > now - WINDOW_S:
            return 0
        if now - self.reports[-1][0] > REPORT_TTL_S:
            return 0
        return min(pass_s for _, pass_s in self.reports)


@dataclass(slots=True)
class StreamPace:
    """Hold the recent pass times of all groups."""

    groups: dict[str, GroupPace] = field(default_factory=dict)

    def record_gap(self, group: str, gap_s: float, now: float) -> None:
        """Record the time between two events of a stream.

        :param now: monotonic time in seconds at which the second one arrived.
        """
        pace = self.groups.setdefault(group, GroupPace())
        pace.gaps.append((now, gap_s))
        pace.drop_old(now)

    def record_report(self, group: str, pass_s: float, now: float) -> None:
        """Record a pass time that a sidecar reports."""
        pace = self.groups.setdefault(group, GroupPace())
        pace.reports.append((now, pass_s))
        pace.drop_old(now)

    def measured_s(self, group: str, now: float) -> float:
        """Return the shortest pass that the streams of a group show.

        :returns: seconds, 0 if it is unknown.
        """
        pace = self.groups.get(group)
        return 0 if pace is None else pace.measured_s(now)

    def shortest_pass_s(self, group: str, now: float) -> float:
        """Return the shortest pass of a group within the window.

        :returns: seconds, 0 if it is unknown.
        """
        pace = self.groups.get(group)
        if pace is None:
            return 0
        return pace.measured_s(now) or pace.reported_s(now)


def make_stream_pace() -> StreamPace:
    """Create the measurement.

    :returns: one without any pass time.
    """
    return StreamPace()
