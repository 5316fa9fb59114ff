"""Measure the choice of sidecar: warm prefixes and first-token time."""

from bench.lines import emit
from bench.path import percentile
from bench.traffic import Scene, Traffic

POLICIES = ('chosen', 'round robin', 'random', 'least in flight')
STALE_S = (0, 1, 5)
ENTRIES = (1, 4, 16)
LOAD = 0.4
PREFIXES = 300


def main() -> None:
    """Compare policies over staleness and number of entries."""
    for entries in ENTRIES:
        for stale_s in STALE_S:
            for policy in POLICIES:
                scene = Scene(
                    policy=policy,
                    load=LOAD,
                    entries=entries,
                    stale_s=stale_s,
                    prefixes=PREFIXES,
                    deadline_s=10,
                    length_s=20,
                )
                totals = Traffic(scene).play()
                label = f'{entries} entries/{stale_s} s/{policy}'
                warm = totals.warm / max(1, totals.started)
                emit('routing', label, 'cache warm', 'share', warm)
                waits = [
                    wait for team in totals.waits.values() for wait in team
                ]
                first = percentile(waits, 0.95) * 1000
                emit('routing', label, 'first token p95', 'ms', first, 950)


if __name__ == '__main__':
    main()
