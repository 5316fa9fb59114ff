"""Outcomes and waits by group and team for the service-level report."""

import time
from typing import Any

from comfreyarch_core.burn import Tally
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.refusals import Refusal
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.requests import CallerRequest

# Longest wait of a good answer of a group without an objective.
DEFAULT_THRESHOLD_S = 0.95
CALLER_ERROR_STATUSES = frozenset((400, 401, 404, 413, 422))


class OutcomeRecorder:
    """Count answers against the objectives, by group and team.

    :param thresholds_s: longest wait of a good answer, by group.
    :param first_token_waits_s: seconds until the first token of open streams,
        by ``id`` of the request.
    """

    __slots__ = ('first_token_waits_s', 'metrics', 'tallies', 'thresholds_s')

    def __init__(self, metrics: Metrics) -> None:
        """Create a recorder without outcomes."""
        self.metrics = metrics
        self.tallies: dict[str, Tally] = {}
        self.thresholds_s: dict[str, float] = {}
        self.first_token_waits_s: dict[int, float] = {}

    def apply_config(self, config: ConfigSet) -> None:
        """Apply the objectives of a new configuration."""
        self.thresholds_s = {
            config.pool_of(objective.group): objective.within_s
            for objective in config.objectives.values()
        }

    def record_first_token(
        self, request: CallerRequest, started_at: float
    ) -> None:
        """Record the first-token wait of a stream, when its head arrives."""
        wait_s = time.monotonic() - started_at
        self.first_token_waits_s[id(request)] = wait_s

    def record_answer(self, request: CallerRequest) -> None:
        """Record a complete answer.

        A streamed answer is measured up to its first token, any other up to
        its end.
        """
        wait_s = self.first_token_waits_s.pop(id(request), None)
        if wait_s is None:
            wait_s = time.monotonic() - request.received_at
        threshold_s = self.thresholds_s.get(request.group, DEFAULT_THRESHOLD_S)
        self.count_outcome(request, good=wait_s <= threshold_s)
        self.metrics.record(f'wait/{request.group}/{request.team}', wait_s)
        self.metrics.count('answered', group=request.group)

    def record_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        """Record a refusal; a caller's error spends no error budget."""
        self.first_token_waits_s.pop(id(request), None)
        self.metrics.count('refused', kind=refusal.kind.value)
        if refusal.status not in CALLER_ERROR_STATUSES:
            self.count_outcome(request, good=False)

    def count_outcome(self, request: CallerRequest, *, good: bool) -> None:
        """Count one outcome for the request's group and team."""
        name = f'{request.group}/{request.team}'
        tally = self.tallies.get(name)
        if tally is None:
            tally = Tally()
            self.tallies[name] = tally
        tally.add(time.time(), good=good)

    def report(self) -> dict[str, Any]:
        """Return all outcomes and waits as plain values.

        :returns: buckets and encoded histograms by ``group/team``.
        """
        return {
            'tallies': {
                name: tally.plain() for name, tally in self.tallies.items()
            },
            'waits': self.metrics.encode_histograms(),
        }
