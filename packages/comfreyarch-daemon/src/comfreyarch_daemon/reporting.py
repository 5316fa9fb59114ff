"""Keep what the service-level report needs: outcomes and waits by team."""

import time
from typing import Any

from comfreyarch_core.burn import Tally
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.refusals import Refusal
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.requests import CallerRequest

DEFAULT_WITHIN_S = 0.95
CALLER_FAULTS = frozenset((400, 401, 404, 413, 422))


class Outcomes:
    """Count answers against the objectives, by group and team."""

    __slots__ = ('firsts', 'metrics', 'tallies', 'within')

    def __init__(self, metrics: Metrics) -> None:
        """Start with nothing counted."""
        self.metrics = metrics
        self.tallies: dict[str, Tally] = {}
        self.within: dict[str, float] = {}
        self.firsts: dict[int, float] = {}

    def advanced(self, config: ConfigSet) -> None:
        """Take the objectives of a new configuration."""
        self.within = {
            config.pool_of(one.group): one.within_s
            for one in config.objectives.values()
        }

    def first(self, request: CallerRequest, began: float) -> None:
        """Take note of a streamed answer's first token."""
        waited = time.monotonic() - began
        self.firsts[id(request)] = waited

    def answered(self, request: CallerRequest) -> None:
        """Count a whole answer."""
        waited = self.firsts.pop(id(request), None)
        if waited is None:
            waited = time.monotonic() - request.began
        within = self.within.get(request.group, DEFAULT_WITHIN_S)
        self.tally(request, good=waited <= within)
        self.metrics.record(f'wait/{request.group}/{request.team}', waited)
        self.metrics.count('answered', group=request.group)

    def refused(self, request: CallerRequest, refusal: Refusal) -> None:
        """Count a refusal; a caller's own fault spends no budget."""
        self.firsts.pop(id(request), None)
        self.metrics.count('refused', kind=refusal.kind.value)
        if refusal.status not in CALLER_FAULTS:
            self.tally(request, good=False)

    def tally(self, request: CallerRequest, *, good: bool) -> None:
        """Count one outcome for its group and team."""
        name = f'{request.group}/{request.team}'
        tally = self.tallies.get(name)
        if tally is None:
            tally = Tally()
            self.tallies[name] = tally
        tally.add(time.time(), good=good)

    def report(self) -> dict[str, Any]:
        """Give everything as plain values.

        :returns: buckets and encoded histograms by ``group/team``.
        """
        return {
            'tallies': {
                name: tally.plain() for name, tally in self.tallies.items()
            },
            'waits': self.metrics.encoded(),
        }
