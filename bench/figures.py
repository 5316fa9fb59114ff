"""Print measured figures as JSON, one object per line."""

import json
import sys


def emit(
    bench: str,
    case: str,
    figure: str,
    unit: str,
    value: float,
    baseline: float | None = None,
) -> None:
    """Print one figure as a JSON object.

    :param baseline: the value that the figure is compared with, if any.
    """
    line = {
        'bench': bench,
        'case': case,
        'figure': figure,
        'unit': unit,
        'value': round(value, 4),
        'baseline': None if baseline is None else round(baseline, 4),
    }
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()
