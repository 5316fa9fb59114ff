"""Run the whole path once and check every answer."""

import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from gevent.pool import Pool

from standins import calling
from standins.launcher import Fleet, fetch
from standins.scenes import TEAMS, make_fleet, run_cli, start_all

MODEL_REQUESTS = 240
RESERVATIONS = 40
SEED = 7
AT_ONCE = 24
STOP_AFTER = 80
OK = 200


@dataclass(slots=True)
class Score:
    """Count answers; receipts are kept by key."""

    answered: int = 0
    wrong: int = 0
    lost: int = 0
    receipts: dict[str, set[bytes]] = field(default_factory=dict)
    kinds: Counter[str] = field(default_factory=Counter)

    def take(self, kind: str, reply: calling.Reply, wanted: bytes) -> None:
        """Count one reply against the bytes it must be."""
        self.kinds[kind] += 1
        if reply.status != OK or not reply.whole:
            self.lost += 1
        elif reply.body == wanted:
            self.answered += 1
        else:
            self.wrong += 1

    def take_receipt(self, key: str, reply: calling.Reply) -> None:
        """Count one reservation's reply."""
        self.kinds['reservation'] += 1
        if reply.status != OK or not reply.whole:
            self.lost += 1
            return
        self.answered += 1
        self.receipts.setdefault(key, set()).add(reply.body)


def say(text: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def ask_models(fleet: Fleet, score: Score, numbers: range) -> None:
    """Send model requests, streamed and whole, through all entries."""
    source = random.Random(SEED)
    entries = [one for one in fleet.nodes.values() if one.role == 'entry']

    def ask(number: int, count: int) -> None:
        entry = entries[number % len(entries)]
        stream = number % 3 != 0
        prompt = f'quarto {number}'
        team = TEAMS[number % len(TEAMS)]
        reply = calling.chat(entry.callers, team, prompt, count, stream=stream)
        wanted = calling.expected(prompt, count, stream=stream)
        score.take('streamed' if stream else 'whole', reply, wanted)

    pool = Pool(AT_ONCE)
    for number in numbers:
        pool.spawn(ask, number, source.randint(2, 24))
    pool.join()


def make_reservations(fleet: Fleet, score: Score) -> None:
    """Send every reservation twice, at once, through two entries."""
    entries = [one for one in fleet.nodes.values() if one.role == 'entry']

    def ask(number: int, entry: int) -> None:
        key = f'hold-{number}'
        body = f'{{"room": {number}}}'.encode()
        port = entries[entry % len(entries)].callers
        reply = calling.reserve(port, TEAMS[0], key, body)
        score.take_receipt(key, reply)

    pool = Pool(AT_ONCE)
    for number in range(RESERVATIONS):
        pool.spawn(ask, number, 0)
        pool.spawn(ask, number, 1)
    pool.join()


def count_repeats(fleet: Fleet, score: Score) -> int:
    """Count runs beyond the first in the ledgers, and differing receipts.

    :returns: the number of repeats.
    """
    runs: Counter[str] = Counter()
    for port in fleet.ledgers:
        runs.update(run['key'] for run in fetch(port, '/ledger')['runs'])
    repeats = sum(count - 1 for count in runs.values())
    score.wrong += sum(len(one) - 1 for one in score.receipts.values())
    score.lost += sum(1 for key in score.receipts if not runs[key])
    return repeats


def play(fleet: Fleet) -> int:
    """Run the demo on a fleet.

    :returns: the exit code.
    """
    began = time.monotonic()
    start_all(fleet)
    say(f'fleet up after {time.monotonic() - began:.1f} s')
    score = Score()
    ask_models(fleet, score, range(STOP_AFTER))
    say(f'{score.answered} model answers checked')
    run_cli(fleet, 'stop', 'upstream', 'redator-3')
    say('redator-3 stopping as planned; asking on')
    ask_models(fleet, score, range(STOP_AFTER, MODEL_REQUESTS))
    run_cli(fleet, 'resume', 'redator-3')
    make_reservations(fleet, score)
    repeats = count_repeats(fleet, score)
    say(run_cli(fleet, 'status'))
    say(run_cli(fleet, 'report'))
    kinds = ', '.join(f'{count} {kind}' for kind, count in score.kinds.items())
    say(f'sent: {kinds}')
    say(
        f'demo: {score.answered} answered, {score.wrong} wrong, '
        f'{repeats} repeated, {score.lost} lost',
    )
    return 1 if score.wrong or repeats or score.lost else 0


def main() -> int:
    """Run the demo in a folder of its own.

    :returns: the exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(Path(folder))
        try:
            code = play(fleet)
        finally:
            fleet.close()
    return code


if __name__ == '__main__':
    sys.exit(main())
