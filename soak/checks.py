"""Check the promises of the users' pages from what both ends saw.

Callers tell what they sent and got, servers what they ran. Checks with a
time bound look only at entries that no fault had touched lately.
"""

import json
import re
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak.callers import RETRYABLE, Seen
from soak.plan import Fault, Published, concerns
from soak.wire import SIGNATURE, answer_body, event

OK_STATUS = 200
UNAUTHORIZED = 401
# Bounds of the users' pages, in seconds.
CONTACT_S = 3.0
CONFIGURATION_S = 2.0
DRAIN_S = 2.0
GRACE_S = 8.0
# Requests that may run at more servers than their route allows.
OVER_ATTEMPTS = 3
ATTEMPTS = {'resumable': 3, 'safe': 3, 'once': 1}


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold all that was seen of one run.

    :param runs: lines of the servers' file.
    :param teams: key → team.
    :param logged: attempts that entries' logs name.
    """

    seen: list[Seen]
    runs: list[dict[str, Any]]
    faults: list[Fault]
    published: list[Published]
    teams: dict[str, str]
    logged: set[str]

    def calm(self, entry: str, start: float, end: float) -> bool:
        """Tell whether an entry and the store had no fault in a span."""
        return not any(
            concerns(fault, entry)
            and fault.what != 'configure'
            and fault.at < end
            and fault.until + CONTACT_S > start
            for fault in self.faults
        )

    def undisturbed(self, start: float, end: float) -> bool:
        """Tell whether only planned work was under way in a span."""
        return not any(
            fault.at < end and fault.until + CONTACT_S > start
            for fault in self.faults
            if not fault.planned
        )


def read_runs(path: Path) -> list[dict[str, Any]]:
    """Read what servers wrote.

    :returns: a table a line.
    """
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def read_logged(folder: Path) -> set[str]:
    """Read which attempts entries' logs name.

    :returns: their ids.
    """
    found: set[str] = set()
    for path in folder.glob('entry-*.log'):
        text = path.read_text('utf-8', 'replace')
        found.update(re.findall('"request":"([0-9a-f]+)"', text))
    return found


def check(evidence: Evidence, *, timed: bool = True) -> list[str]:
    """Check all promises.

    :param timed: also those with a time bound, which a machine that stands
        still for seconds may break.
    :returns: a line for each broken one.
    """
    always = (
        mixed,
        mixed_maps,
        repeated,
        refused_yet_run,
        unasked,
        over_attempts,
    )
    bounded = (lost_in_planned_work, old_configuration, sent_to_leaving)
    promises = (*always, *bounded) if timed else always
    return [
        f'{promise.__name__}: {line}'
        for promise in promises
        for line in promise(evidence)
    ]


def by_attempt(evidence: Evidence) -> dict[str, list[dict[str, Any]]]:
    """Order the runs by attempt."""
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in evidence.runs:
        if 'attempt' in run:
            runs[run['attempt']].append(run)
    return runs


def mixed(evidence: Evidence) -> list[str]:
    """Find answers that are not whole, or not the server's own."""
    runs = by_attempt(evidence)
    broken = []
    for seen in evidence.seen:
        if not seen.status:
            continue
        told = seen.headers.get('x-attempt-id', seen.attempt)
        signed = seen.headers.get(SIGNATURE, '')
        statuses = {
            run['status']
            for run in runs[seen.attempt]
            if run['server'] == signed
        }
        if told != seen.attempt:
            broken.append(f'{seen.attempt} got the answer to {told}')
        if signed and seen.status not in statuses:
            broken.append(f'{seen.attempt} got {seen.status} of {signed}')
        if seen.status == OK_STATUS and not is_own(seen, signed):
            broken.append(f'{seen.attempt} got another body of {signed!r}')
    return broken


def is_own(seen: Seen, signed: str) -> bool:
    """Tell whether a success holds the server's bytes, all if it is whole."""
    if not signed:
        return False
    if not seen.sheet.streams:
        expected = answer_body(seen.attempt, signed)
    else:
        numbers = range(1, seen.last + 1)
        expected = b''.join(
            event(seen.attempt, number, seen.last) for number in numbers
        )
    if seen.whole:
        return seen.answer == expected
    return expected.startswith(seen.answer)


def mixed_maps(evidence: Evidence) -> list[str]:
    """Find passes under two expert maps."""
    return [
        str(run['mixed_maps']) for run in evidence.runs if 'mixed_maps' in run
    ]


def repeated(evidence: Evidence) -> list[str]:
    """Find runs of what must not repeat."""
    runs = by_attempt(evidence)
    return [
        f'{seen.attempt} ran {len(runs[seen.attempt])} times'
        for seen in evidence.seen
        if seen.sheet.kind == 'once' and len(runs[seen.attempt]) > 1
    ]


def refused_yet_run(evidence: Evidence) -> list[str]:
    """Find what was answered as not run, and ran."""
    runs = by_attempt(evidence)
    return [
        f'{seen.attempt} got {seen.status} and ran'
        for seen in evidence.seen
        if seen.sheet.kind == 'once'
        and seen.status in RETRYABLE
        and runs[seen.attempt]
    ]


def unasked(evidence: Evidence) -> list[str]:
    """Find runs of what nobody sent, or sent otherwise."""
    sent = {seen.attempt: seen for seen in evidence.seen}
    broken = []
    for attempt, runs in by_attempt(evidence).items():
        seen = sent.get(attempt)
        if seen is None:
            broken.append(f'{attempt} ran, and nobody sent it')
            continue
        expected = (seen.target, evidence.teams[seen.key], '', seen.body)
        for run in runs:
            if (run['path'], run['team'], run['key'], run['body']) != expected:
                broken.append(f'{attempt} ran as {run}')
    return broken


def over_attempts(evidence: Evidence) -> list[str]:
    """Find requests that ran at more servers than their route allows."""
    runs = by_attempt(evidence)
    over = [
        seen.attempt
        for seen in evidence.seen
        if len(runs[seen.attempt]) > ATTEMPTS[seen.sheet.kind]
    ]
    return over if len(over) > OVER_ATTEMPTS else []


def lost_in_planned_work(evidence: Evidence) -> list[str]:
    """Find requests that broke off while only planned work was under way.

    What no entry logged and no server ran was not read: it crossed the end
    of the connection.
    """
    runs = by_attempt(evidence)
    return [
        f'{seen.attempt} at {seen.entry}: {seen.error}'
        for seen in evidence.seen
        if (seen.attempt in evidence.logged or runs[seen.attempt])
        and not seen.whole
        and not seen.left
        and evidence.undisturbed(seen.at, seen.ended_at)
    ]


def old_configuration(evidence: Evidence) -> list[str]:
    """Find what was handled as an older configuration says, too late."""
    broken = []
    for seen in evidence.seen:
        if not seen.status or not evidence.published:
            continue
        start = seen.at - CONFIGURATION_S
        allowed = [one for one in evidence.published if one.at > start]
        former = [one for one in evidence.published if one.at <= start]
        allowed += former[-1:]
        granted = {seen.key in one.keys for one in allowed}
        denied = seen.status == UNAUTHORIZED
        if granted == {denied} and evidence.calm(
            seen.entry, start - CONTACT_S, seen.ended_at
        ):
            broken.append(f'{seen.attempt} with {seen.key}: {seen.status}')
    return broken


def sent_to_leaving(evidence: Evidence) -> list[str]:
    """Find requests that reach a server long after it told of its leaving."""
    leaving = {
        run['server']: run['at'] for run in evidence.runs if 'draining' in run
    }
    sent = {seen.attempt: seen for seen in evidence.seen}
    broken = []
    for attempt, runs in by_attempt(evidence).items():
        for run in runs:
            at = leaving.get(run['server'])
            if at is None or run['arrived'] <= at + DRAIN_S:
                continue
            entry = sent[attempt].entry
            if evidence.calm(entry, at - CONTACT_S, run['arrived']):
                late_s = run['arrived'] - at
                broken.append(f'{attempt} came {late_s:.2f} s after')
    return broken
