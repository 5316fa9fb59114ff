"""Measure sidecar selection: cached prefixes and time to first token."""

from bench.figures import emit
from bench.path import percentile
from bench.traffic import Scenario, Traffic

POLICIES = ('chosen', 'round robin', 'random', 'least in flight')
# Times between two load reports of a sidecar.
REPORT_INTERVALS_S = (0, 1, 5)
ENTRY_COUNTS = (1, 4, 16)
# Arrivals as a fraction of the capacity for cached prefixes.
LOAD = 0.4
PREFIXES = 300


def main() -> None:
    """Compare policies by report interval and number of entries."""
    for entries in ENTRY_COUNTS:
        for report_interval_s in REPORT_INTERVALS_S:
            for policy in POLICIES:
                scenario = Scenario(
                    policy=policy,
                    load=LOAD,
                    entries=entries,
                    report_interval_s=report_interval_s,
                    prefixes=PREFIXES,
                    deadline_s=10,
                    duration_s=20,
                )
                totals = Traffic(scenario).play()
                label = f'{entries} entries/{report_interval_s} s/{policy}'
                hit_rate = totals.cache_hits / max(1, totals.started)
                emit('routing', label, 'cache warm', 'share', hit_rate)
                waits = [
                    wait
                    for team_waits in totals.waits.values()
                    for wait in team_waits
                ]
                first_token_ms = percentile(waits, 0.95) * 1000
                emit(
                    'routing',
                    label,
                    'first token p95',
                    'ms',
                    first_token_ms,
                    950,
                )


if __name__ == '__main__':
    main()
