"""Measure reaction times to a publish, a planned stop and a failure."""

import re
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import gevent

from bench.figures import emit
from standins import callerclient
from standins.fleetsetup import make_fleet, run_cli, start_nodes
from standins.launcher import Fleet, FleetNode, fetch_json, http_request

TEAM = 'estudantes'
PUBLISH_ROUNDS = 3
CALLERS = 12
DETECTION_TIMEOUT_S = 12.0
RANKS = 3


def time_until(condition: Callable[[], bool], timeout_s: float) -> float:
    """Wait until a condition holds or the timeout expires.

    :returns: seconds waited, at least ``timeout_s`` after a timeout.
    """
    started_at = time.monotonic()
    while not condition() and time.monotonic() - started_at < timeout_s:
        gevent.sleep(0.01)
    return time.monotonic() - started_at


def is_in_force(fleet: Fleet, revision: int) -> bool:
    """Check whether all nodes apply a revision or a later one."""
    return all(
        fetch_json(node.operators, '/status').get('revision', 0) >= revision
        for node in fleet.nodes.values()
    )


def count_handed_over(node: FleetNode) -> float:
    """Read how many attempts a sidecar has handed to its upstream."""
    _, page = http_request(node.operators, 'GET', '/metrics')
    found = re.search(rb'\ncomfreyarch_handed_over_total (\S+)', page)
    return float(found.group(1)) if found else 0


class LoadGenerator:
    """Send requests from concurrent callers and count the outcomes."""

    def __init__(self, fleet: Fleet) -> None:
        """Start the callers."""
        self.fleet = fleet
        self.correct = 0
        self.wrong = 0
        self.refused = 0
        self.is_running = True
        self.greenlets = [
            gevent.spawn(self.send_requests, caller)
            for caller in range(CALLERS)
        ]

    def send_requests(self, caller: int) -> None:
        """Send a caller's requests one after another until closed."""
        entries = [
            node for node in self.fleet.nodes.values() if node.role == 'entry'
        ]
        while self.is_running:
            port = entries[caller % len(entries)].callers
            reply = callerclient.chat(
                port, TEAM, f'load{caller}', 6, stream=True
            )
            if reply.status != 200:
                self.refused += 1
                gevent.sleep(0.05)
            elif reply.body == callerclient.make_expected_body(
                f'load{caller}', 6, stream=True
            ):
                self.correct += 1
            else:
                self.wrong += 1

    def close(self) -> None:
        """Stop the callers."""
        self.is_running = False
        gevent.joinall(self.greenlets)


def time_last_handover(node: FleetNode, duration_s: float) -> float:
    """Observe the attempts that a sidecar hands to its upstream.

    :returns: seconds until the last attempt in the period observed.
    """
    started_at = time.monotonic()
    last_count = count_handed_over(node)
    last_change_s = 0.0
    while time.monotonic() - started_at < duration_s:
        current_count = count_handed_over(node)
        if current_count != last_count:
            last_count = current_count
            last_change_s = time.monotonic() - started_at
        gevent.sleep(0.01)
    return last_change_s


def has_no_link(fleet: Fleet, entries: list[FleetNode], name: str) -> bool:
    """Check that no entry has a link to a node."""
    return all(name not in fleet.list_links(entry) for entry in entries)


def measure_publish(fleet: Fleet) -> None:
    """Measure the time until all nodes apply a published revision."""
    path = fleet.folder / 'config.toml'
    text = path.read_text()
    durations_s: list[float] = []
    for number in range(PUBLISH_ROUNDS):
        changed = text.replace('rate = 2000', f'rate = {1900 + number}')
        path.write_text(changed)
        before = fetch_json(fleet.nodes['entry-0'].operators, '/status')[
            'revision'
        ]
        started_at = time.monotonic()
        job = gevent.spawn(run_cli, fleet, 'publish', str(path))
        time_until(partial(is_in_force, fleet, before + 1), 20)
        durations_s.append(time.monotonic() - started_at)
        job.join()
    emit('events', 'publish', 'command to in force', 's', max(durations_s), 10)


def measure_stop(fleet: Fleet, load: LoadGenerator) -> None:
    """Measure how long a stopping upstream still receives new work."""
    node = fleet.nodes['side-redator-2']
    job = gevent.spawn(run_cli, fleet, 'stop', 'upstream', 'redator-2')
    elapsed_s = time_last_handover(node, 6)
    job.join()
    emit(
        'events', 'planned stop', 'command to last new work', 's', elapsed_s, 3
    )
    run_cli(fleet, 'resume', 'redator-2')
    refused = load.refused
    emit('events', 'planned stop', 'refused to callers', 'answers', refused, 0)


def measure_death(fleet: Fleet, load: LoadGenerator) -> None:
    """Kill, then freeze a sidecar under load.

    Measure the time until no entry has a link to it, and count the callers'
    answers.
    """
    node = fleet.nodes['side-redator-1']
    for fault in ('killed', 'frozen'):
        gevent.sleep(2)
        before = (load.correct, load.wrong, load.refused)
        process = node.process
        if process is None:
            return
        if fault == 'killed':
            process.kill()
        else:
            process.freeze()
        entries = [
            entry for entry in fleet.nodes.values() if entry.role == 'entry'
        ]
        elapsed_s = time_until(
            partial(has_no_link, fleet, entries, node.name), DETECTION_TIMEOUT_S
        )
        emit('events', fault, 'death to no new work', 's', elapsed_s, 3)
        gevent.sleep(4)
        for name, count, previous in zip(
            ('whole', 'wrong', 'refused'),
            (load.correct, load.wrong, load.refused),
            before,
            strict=True,
        ):
            emit(
                'events', fault, f'answers {name}', 'answers', count - previous
            )
        if fault == 'killed':
            fleet.start_node(node)
        else:
            process.thaw()
        fleet.wait_ready()


def main() -> None:
    """Run on three ranks, two service instances and two entries."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(Path(folder), RANKS, 2, 2, 5)
        try:
            start_nodes(fleet, RANKS, 2)
            measure_publish(fleet)
            load = LoadGenerator(fleet)
            gevent.sleep(1)
            measure_stop(fleet, load)
            measure_death(fleet, load)
            load.close()
        finally:
            fleet.close()


if __name__ == '__main__':
    main()
