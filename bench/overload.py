"""Measure goodput under overload, and who waits."""

from bench.lines import emit
from bench.path import percentile
from bench.traffic import SERVICE_S, SLOTS, Scene, Totals, Traffic

LOADS = (1, 2, 4)
TARGET = 0.95
TWICE = 2


def goodput(scene: Scene, totals: Totals) -> float:
    """Give answers in time over capacity."""
    capacity = scene.servers * SLOTS / SERVICE_S * scene.length_s
    return totals.good / capacity


def main() -> None:
    """Compare shedding with none and with round robin."""
    unloaded = Traffic(Scene(load=0.1)).play()
    calm_s = percentile(unloaded.waits['small'], 0.95) + SERVICE_S
    calm = TWICE * calm_s * 1000
    first = 0.0
    for load in LOADS:
        cases = {
            'chosen': Scene(load=load),
            'no shedding': Scene(load=load, shed=False),
            'round robin': Scene(load=load, policy='round robin'),
        }
        for name, scene in cases.items():
            totals = Traffic(scene).play()
            share = goodput(scene, totals)
            if name == 'chosen' and load == 1:
                first = share
            label = f'{load}x/{name}'
            base = TARGET * first if name == 'chosen' else None
            emit('overload', label, 'goodput', 'of capacity', share, base)
            refused = totals.refused / totals.sent
            emit('overload', label, 'refused', 'of sent', refused)
            late = totals.late / totals.sent
            emit('overload', label, 'answered late', 'of sent', late)
            waits = totals.waits.get('small', [0.0])
            took = (percentile(waits, 0.95) + SERVICE_S) * 1000
            emit(
                'overload',
                label,
                'small team answer p95',
                'ms',
                took,
                calm,
            )


if __name__ == '__main__':
    main()
