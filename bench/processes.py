"""Read processor time and memory of processes from /proc."""

import os
import time
from collections.abc import Callable
from pathlib import Path

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
KB_PER_MB = 1024


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process.

    :returns: seconds in user and system mode.
    """
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process.

    :returns: megabytes, 0 if the kernel reports none.
    """
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / KB_PER_MB
    return 0


def measure_cpu_s(action: Callable[[], object], times: int) -> float:
    """Measure the processor time of an action in this process.

    :returns: mean seconds per call.
    """
    started_at = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started_at) / times
