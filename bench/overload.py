"""Measure goodput, refusals and waiting times under overload."""

from bench.figures import emit
from bench.path import percentile
from bench.traffic import (
    SERVICE_TIME_S,
    SLOTS_PER_SERVER,
    Scenario,
    Totals,
    Traffic,
)

# Arrivals as a multiple of capacity.
LOAD_FACTORS = (1, 2, 4)
# Least goodput under overload, as a fraction of that at full load.
GOODPUT_TARGET = 0.95
# Maximum p95 of the small team, relative to that at a tenth of capacity.
MAX_LATENCY_RATIO = 2


def compute_goodput(scenario: Scenario, totals: Totals) -> float:
    """Return the answers within the deadline as a fraction of capacity."""
    capacity = (
        scenario.servers
        * SLOTS_PER_SERVER
        / SERVICE_TIME_S
        * scenario.duration_s
    )
    return totals.on_time / capacity


def main() -> None:
    """Compare load shedding with none, and with round-robin routing."""
    unloaded = Traffic(Scenario(load=0.1)).play()
    unloaded_p95_s = percentile(unloaded.waits['small'], 0.95) + SERVICE_TIME_S
    latency_limit_ms = MAX_LATENCY_RATIO * unloaded_p95_s * 1000
    full_load_goodput = 0.0
    for load in LOAD_FACTORS:
        cases = {
            'chosen': Scenario(load=load),
            'no shedding': Scenario(load=load, sheds_load=False),
            'round robin': Scenario(load=load, policy='round robin'),
        }
        for name, scenario in cases.items():
            totals = Traffic(scenario).play()
            goodput = compute_goodput(scenario, totals)
            if name == 'chosen' and load == 1:
                full_load_goodput = goodput
            label = f'{load}x/{name}'
            baseline = (
                GOODPUT_TARGET * full_load_goodput if name == 'chosen' else None
            )
            emit('overload', label, 'goodput', 'of capacity', goodput, baseline)
            refused = totals.refused / totals.sent
            emit('overload', label, 'refused', 'of sent', refused)
            late = totals.late / totals.sent
            emit('overload', label, 'answered late', 'of sent', late)
            waits = totals.waits.get('small', [0.0])
            p95_ms = (percentile(waits, 0.95) + SERVICE_TIME_S) * 1000
            emit(
                'overload',
                label,
                'small team answer p95',
                'ms',
                p95_ms,
                latency_limit_ms,
            )


if __name__ == '__main__':
    main()
