"""Run the fault soak: ``python -m soak --seed 7 --minutes 1``."""

import json
import random
import shutil
import signal
import sys
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import gevent
import typer

from soak.callers import RETRYABLE_STATUSES, CallerPool
from soak.checks import (
    Evidence,
    check,
    read_configurations,
    read_logged_attempts,
    read_runs,
)
from soak.faultinjection import FaultInjector
from soak.fleet import Fleet, FleetSize

KEYS = {'key-a': 'team-a', 'key-b': 'team-b', 'spare': 'team-b'}
# The users' bound on recovery: no fault is injected for this long before the
# requests of the final phase are counted.
RECOVERY_S = 12.0
FINAL_PHASE_S = 3.0
# Ratio of the final phase's requests that the users' pages require to succeed.
MIN_SERVED_RATIO = 0.25
# Time for the programs to start before callers send requests.
STARTUP_S = 6.0
# Ratio of the run in which planned work is the only fault.
PLANNED_RATIO = 0.3


def main(
    seed: int = 1,
    minutes: float = 1.0,
    entries: int = 4,
    groups: int = 1,
    ranks: int = 4,
    callers: int = 24,
    gap_s: Annotated[float, typer.Option(help='between faults')] = 0.8,
    timed: Annotated[bool, typer.Option(help='check time bounds')] = True,
    folder: Path = Path('run/soak'),
) -> None:
    """Run the real programs under faults drawn by a seed; exit 1 if broken."""
    folder = (folder / str(seed)).absolute()
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    random.seed(seed)
    # SIGTERM raises SystemExit, so that the finally block kills all processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, 1)
    fleet = Fleet(FleetSize(entries, groups, ranks), folder)
    caller_pool = CallerPool(fleet, KEYS)
    injector = FaultInjector(fleet, caller_pool, seed)
    try:
        recovery_violations = run_phases(
            fleet, caller_pool, injector, callers, minutes, gap_s
        )
    finally:
        fleet.close()
    evidence = Evidence(
        caller_pool.records,
        read_runs(fleet.runs),
        injector.faults,
        injector.published,
        KEYS,
        read_logged_attempts(folder),
        read_configurations(folder),
        injector.evacuations,
    )
    write_evidence(folder, evidence)
    violations = check(evidence, timed=timed) + find_tracebacks(folder)
    violations += recovery_violations if timed else []
    violations.extend(
        f'unexpected exit: {line}'
        for program in fleet.programs.values()
        for line in program.unexpected_exits
    )
    statuses = Counter(str(record.status) for record in caller_pool.records)
    typer.echo(
        f'seed {seed}: {len(caller_pool.records)} requests {dict(statuses)}, '
        f'{len(evidence.runs)} runs, {len(injector.faults)} faults, '
        f'{len(violations)} violations'
    )
    for line in violations[:40]:
        typer.echo(f'  {line}')
    raise typer.Exit(1 if violations else 0)


def run_phases(
    fleet: Fleet,
    caller_pool: CallerPool,
    injector: FaultInjector,
    callers: int,
    minutes: float,
    gap_s: float,
) -> list[str]:
    """Run all phases: startup, planned work, all faults, recovery.

    :returns: one message if the system did not recover, else none.
    """
    fleet.start()
    injector.publish_configuration()
    gevent.sleep(STARTUP_S)
    caller_pool.start(callers)
    planned_s = 60 * minutes * PLANNED_RATIO
    injector.run(planned_s, 60 * minutes - planned_s, gap_s)
    gevent.sleep(RECOVERY_S)
    final_start = time.time()
    gevent.sleep(FINAL_PHASE_S)
    caller_pool.stop()
    final_records = [
        record for record in caller_pool.records if record.at >= final_start
    ]
    served = sum(
        1 for record in final_records if record.status == 200 and record.whole
    )
    if served < MIN_SERVED_RATIO * len(final_records) or not final_records:
        return [
            f'not recovered: {served} of {len(final_records)} requests served'
        ]
    return []


def write_evidence(folder: Path, evidence: Evidence) -> None:
    """Write attempts and faults beside the logs, without answer bodies."""
    with (folder / 'seen.jsonl').open('w') as lines:
        for record in evidence.records:
            fields = asdict(record)
            fields['answer'] = len(record.answer)
            fields['refused'] = record.status in RETRYABLE_STATUSES
            lines.write(f'{json.dumps(fields)}\n')
    with (folder / 'faults.jsonl').open('w') as lines:
        for fault in evidence.faults:
            lines.write(f'{json.dumps(asdict(fault))}\n')


def find_tracebacks(folder: Path) -> list[str]:
    """Find uncaught exceptions in the programs' logs.

    :returns: one message for each log with a traceback.
    """
    return [
        f'traceback in {path.name}'
        for path in sorted(folder.glob('*.log'))
        if 'Traceback (most recent call last)'
        in path.read_text('utf-8', 'replace')
    ]


if __name__ == '__main__':
    typer.run(main)
