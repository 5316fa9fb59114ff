"""Run a local fleet, send requests and check every answer."""

import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from gevent.pool import Pool

from standins import callerclient
from standins.fleetsetup import TEAMS, make_fleet, run_cli, start_nodes
from standins.launcher import Fleet, fetch_json

MODEL_REQUESTS = 240
RESERVATIONS = 40
SEED = 7
MAX_CONCURRENT_REQUESTS = 24
REQUESTS_BEFORE_STOP = 80
OK = 200


@dataclass(slots=True)
class Totals:
    """Count answers and collect receipts by idempotency key.

    :param answered: complete answers with the expected bytes, and complete
        replies to reservations.
    :param wrong: complete answers with unexpected bytes, and receipts that
        differ from the first of their key.
    :param lost: refused, incomplete or missing answers, and keys without a
        run.
    """

    answered: int = 0
    wrong: int = 0
    lost: int = 0
    receipts: dict[str, set[bytes]] = field(default_factory=dict)
    counts_by_kind: Counter[str] = field(default_factory=Counter)

    def count_reply(
        self, kind: str, reply: callerclient.Reply, expected_body: bytes
    ) -> None:
        """Count one reply, compared with the expected bytes."""
        self.counts_by_kind[kind] += 1
        if reply.status != OK or not reply.is_complete:
            self.lost += 1
        elif reply.body == expected_body:
            self.answered += 1
        else:
            self.wrong += 1

    def count_receipt(self, key: str, reply: callerclient.Reply) -> None:
        """Count the reply to a reservation and keep its receipt."""
        self.counts_by_kind['reservation'] += 1
        if reply.status != OK or not reply.is_complete:
            self.lost += 1
            return
        self.answered += 1
        self.receipts.setdefault(key, set()).add(reply.body)


def print_line(text: str) -> None:
    """Print a line and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def send_model_requests(fleet: Fleet, totals: Totals, numbers: range) -> None:
    """Send chat completions, two of three streamed, through all entries."""
    rng = random.Random(SEED)
    entries = [node for node in fleet.nodes.values() if node.role == 'entry']

    def send(number: int, count: int) -> None:
        entry = entries[number % len(entries)]
        stream = number % 3 != 0
        prompt = f'quarto {number}'
        team = TEAMS[number % len(TEAMS)]
        reply = callerclient.chat(
            entry.callers, team, prompt, count, stream=stream
        )
        expected_body = callerclient.make_expected_body(
            prompt, count, stream=stream
        )
        totals.count_reply(
            'streamed' if stream else 'whole', reply, expected_body
        )

    pool = Pool(MAX_CONCURRENT_REQUESTS)
    for number in numbers:
        pool.spawn(send, number, rng.randint(2, 24))
    pool.join()


def make_reservations(fleet: Fleet, totals: Totals) -> None:
    """Send every reservation twice concurrently, through two entries."""
    entries = [node for node in fleet.nodes.values() if node.role == 'entry']

    def send(number: int, entry: int) -> None:
        key = f'hold-{number}'
        body = f'{{"room": {number}}}'.encode()
        port = entries[entry % len(entries)].callers
        reply = callerclient.reserve(port, TEAMS[0], key, body)
        totals.count_receipt(key, reply)

    pool = Pool(MAX_CONCURRENT_REQUESTS)
    for number in range(RESERVATIONS):
        pool.spawn(send, number, 0)
        pool.spawn(send, number, 1)
    pool.join()


def count_repeats(fleet: Fleet, totals: Totals) -> int:
    """Count repeated runs in the ledgers.

    Differing receipts of a key count as wrong answers, and keys without a run
    as lost ones.

    :returns: the number of runs beyond the first of each key.
    """
    runs: Counter[str] = Counter()
    for port in fleet.ledgers:
        runs.update(run['key'] for run in fetch_json(port, '/ledger')['runs'])
    repeats = sum(count - 1 for count in runs.values())
    totals.wrong += sum(len(bodies) - 1 for bodies in totals.receipts.values())
    totals.lost += sum(1 for key in totals.receipts if not runs[key])
    return repeats


def run_demo(fleet: Fleet) -> int:
    """Run the demo on a fleet.

    :returns: the exit code.
    """
    started_at = time.monotonic()
    start_nodes(fleet)
    print_line(f'fleet up after {time.monotonic() - started_at:.1f} s')
    totals = Totals()
    send_model_requests(fleet, totals, range(REQUESTS_BEFORE_STOP))
    print_line(f'{totals.answered} model answers checked')
    run_cli(fleet, 'stop', 'upstream', 'redator-3')
    print_line('planned stop of redator-3 requested; sending more requests')
    send_model_requests(
        fleet, totals, range(REQUESTS_BEFORE_STOP, MODEL_REQUESTS)
    )
    run_cli(fleet, 'resume', 'redator-3')
    make_reservations(fleet, totals)
    repeats = count_repeats(fleet, totals)
    print_line(run_cli(fleet, 'status'))
    print_line(run_cli(fleet, 'report'))
    counts_by_kind = ', '.join(
        f'{count} {kind}' for kind, count in totals.counts_by_kind.items()
    )
    print_line(f'sent: {counts_by_kind}')
    print_line(
        f'demo: {totals.answered} answered, {totals.wrong} wrong, '
        f'{repeats} repeated, {totals.lost} lost',
    )
    return 1 if totals.wrong or repeats or totals.lost else 0


def main() -> int:
    """Run the demo in a temporary folder.

    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(Path(folder))
        try:
            code = run_demo(fleet)
        finally:
            fleet.close()
    return code


if __name__ == '__main__':
    sys.exit(main())
