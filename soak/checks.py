"""Check the guarantees of the users' pages from the evidence of a run.

The attempts that callers recorded are compared with the runs that servers
wrote. Checks with a time bound consider only entries that no fault affected
recently.
"""

import json
import re
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from comfreyarch_core.retryshare import RetryLimits
from soak.callers import RETRYABLE_STATUSES, AttemptRecord
from soak.faultinjection import (
    COLD_PER_S,
    EVACUATION_S,
    Evacuated,
    Fault,
    PublishedConfiguration,
    affects_entry,
    ends_or_suspends,
)
from soak.fleet import BOUNDS
from soak.retrybudget import find_worst_window
from soak.wire import SIGNATURE_HEADER, answer_body, event

OK_STATUS = 200
UNAUTHORIZED = 401
# Bounds of the users' pages, in seconds.
# From the end of a fault until contact is restored.
CONTACT_RECOVERY_S = 3.0
# From publishing a configuration until it is in force.
MAX_CONFIGURATION_DELAY_S = 2.0
# From a server's announcement of draining until no request is sent to it.
MAX_DRAIN_DELAY_S = 2.0
# From a server's 503 with Retry-After until requests to it are counted, and their
# number that is tolerated.
HOLD_DELAY_S = 0.5
TOLERATED_IN_HOLD = 2
# From the announcement of a planned stop until the process may be killed.
GRACE_PERIOD_S = 8.0
# Window of a server's request limit, and how far it may be exceeded in one, from
# the time on which an entry is taken to know it.
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
KNOWN_LIMIT_DELAY_S = 0.5
# Requests that may reach a cold server in any second, over all entries.
COLD_MOST = COLD_PER_S * BOUNDS['coldOverage'] + BOUNDS['coldAllowance']
# From a server's statement that it is cold again until entries must know it.
KNOWN_COLD_DELAY_S = 2.0
# Crashes by one part of prompts after which it is known, and the number of later
# requests with it that is tolerated.
KNOWN_CRASHES = 5
TOLERATED_WITH_CRASHING_PART = 3
# Number of requests in a run that may exceed their route's attempts.
TOLERATED_EXCESS = 3
# Bounds of the retry budget of each service, which all entries share.
RETRY_LIMITS = RetryLimits(ratio=0.2, allowance=184, window_s=10)
MAX_ATTEMPTS = {'resumable': 3, 'safe': 3, 'once': 1}


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold the evidence of one run.

    :param runs: events that servers wrote: runs, draining and mixed maps.
    :param teams: API key → team.
    :param logged_attempts: ids of the attempts in the entries' logs.
    :param in_force: time and version of each configuration that came into
        force, by entry, from the logs.
    :param evacuations: evacuations of zones.
    """

    records: list[AttemptRecord]
    runs: list[dict[str, Any]]
    faults: list[Fault]
    published: list[PublishedConfiguration]
    teams: dict[str, str]
    logged_attempts: set[str]
    in_force: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    evacuations: list[Evacuated] = field(default_factory=list)

    def is_unaffected(self, entry: str, start: float, end: float) -> bool:
        """Check that no fault affected an entry or the store in an interval.

        A fault may have effects for ``CONTACT_RECOVERY_S`` after its end.
        """
        return not any(
            affects_entry(fault, entry)
            and fault.what != 'configure'
            and fault.at < end
            and fault.until + CONTACT_RECOVERY_S > start
            for fault in self.faults
        )

    def has_only_planned_work(self, start: float, end: float) -> bool:
        """Check that an interval had no fault but planned work."""
        return not any(
            fault.at < end and fault.until + CONTACT_RECOVERY_S > start
            for fault in self.faults
            if not fault.is_planned
        )


def read_runs(path: Path) -> list[dict[str, Any]]:
    """Read the events that servers wrote.

    :returns: one dictionary for each event.
    """
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def read_logged_attempts(folder: Path) -> set[str]:
    """Read the attempts that entries' logs mention.

    :returns: the attempt ids.
    """
    found: set[str] = set()
    for path in folder.glob('entry-*.log'):
        text = path.read_text('utf-8', 'replace')
        found.update(re.findall('"request":"([0-9a-f]+)"', text))
    return found


def read_configurations(folder: Path) -> dict[str, list[tuple[float, int]]]:
    """Read from the entries' logs when configurations came into force.

    :returns: Unix time and version of each, by entry.
    """
    found: dict[str, list[tuple[float, int]]] = {}
    for path in folder.glob('entry-*.log'):
        configurations = found.setdefault(path.stem, [])
        for line in path.read_text('utf-8', 'replace').splitlines():
            if '"event":"configuration",' in line:
                logged = json.loads(line)
                configurations.append((logged['at'], logged['version']))
    return found


def check(evidence: Evidence, *, timed: bool = True) -> list[str]:
    """Check all guarantees.

    :param timed: include those with a time bound, which a machine that
        stalls for seconds may violate.
    :returns: one message for each violation.
    """
    untimed = (
        mismatched_answers,
        mixed_maps,
        repeated_runs,
        refused_but_ran,
        unrequested_runs,
        excess_attempts,
        excess_repeats,
    )
    time_bound = (
        lost_in_planned_work,
        outdated_configuration,
        late_configurations,
        sent_to_draining,
        sent_to_evacuated,
        sent_after_announcement,
        sent_within_hold,
        over_limit,
        over_cold_bound,
        sent_with_crashing_part,
    )
    guarantees = (*untimed, *time_bound) if timed else untimed
    return [
        f'{guarantee.__name__}: {line}'
        for guarantee in guarantees
        for line in guarantee(evidence)
    ]


def group_by_attempt(evidence: Evidence) -> dict[str, list[dict[str, Any]]]:
    """Group the runs by attempt id."""
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in evidence.runs:
        if 'attempt' in run:
            runs[run['attempt']].append(run)
    return runs


def mismatched_answers(evidence: Evidence) -> list[str]:
    """Find answers that differ from what the signing server sent."""
    runs = group_by_attempt(evidence)
    violations = []
    for record in evidence.records:
        if not record.status:
            continue
        answered_attempt = record.headers.get('x-attempt-id', record.attempt)
        signer = record.headers.get(SIGNATURE_HEADER, '')
        statuses = {
            run['status']
            for run in runs[record.attempt]
            if run['server'] == signer
        }
        if answered_attempt != record.attempt:
            violations.append(
                f'{record.attempt} got the answer to attempt {answered_attempt}'
            )
        if signer and record.status not in statuses:
            violations.append(
                f'{record.attempt} got status {record.status}, '
                f'not sent by {signer}'
            )
        if record.status == OK_STATUS and not has_expected_body(record, signer):
            violations.append(
                f'{record.attempt} got a body that {signer!r} did not send'
            )
    return violations


def has_expected_body(record: AttemptRecord, signer: str) -> bool:
    """Check the body of a success; a prefix suffices if it is incomplete."""
    if not signer:
        return False
    if not record.sheet.streams:
        expected = answer_body(record.attempt, signer)
    else:
        numbers = range(1, record.last + 1)
        expected = b''.join(
            event(record.attempt, number, record.last) for number in numbers
        )
    if record.whole:
        return record.answer == expected
    return expected.startswith(record.answer)


def mixed_maps(evidence: Evidence) -> list[str]:
    """Find passes in which ranks used different expert maps."""
    return [
        str(run['mixed_maps']) for run in evidence.runs if 'mixed_maps' in run
    ]


def repeated_runs(evidence: Evidence) -> list[str]:
    """Find requests that must run at most once and ran repeatedly."""
    runs = group_by_attempt(evidence)
    return [
        f'{record.attempt} ran {len(runs[record.attempt])} times'
        for record in evidence.records
        if record.sheet.kind == 'once' and len(runs[record.attempt]) > 1
    ]


def refused_but_ran(evidence: Evidence) -> list[str]:
    """Find requests that were refused as not executed and yet ran."""
    runs = group_by_attempt(evidence)
    return [
        f'{record.attempt} was refused with status {record.status} and yet ran'
        for record in evidence.records
        if record.sheet.kind == 'once'
        and record.status in RETRYABLE_STATUSES
        and runs[record.attempt]
    ]


def unrequested_runs(evidence: Evidence) -> list[str]:
    """Find runs that no caller requested or that differ from the request."""
    sent = {record.attempt: record for record in evidence.records}
    violations = []
    for attempt, runs in group_by_attempt(evidence).items():
        record = sent.get(attempt)
        if record is None:
            violations.append(f'{attempt} ran, but no caller sent it')
            continue
        expected = (record.target, evidence.teams[record.key], '', record.body)
        for run in runs:
            if (run['path'], run['team'], run['key'], run['body']) != expected:
                violations.append(
                    f'{attempt} differs from its request: ran as {run}'
                )
    return violations


def excess_attempts(evidence: Evidence) -> list[str]:
    """Find requests that ran more often than their route allows."""
    runs = group_by_attempt(evidence)
    exceeding = [
        record.attempt
        for record in evidence.records
        if len(runs[record.attempt]) > MAX_ATTEMPTS[record.sheet.kind]
    ]
    return exceeding if len(exceeding) > TOLERATED_EXCESS else []


def excess_repeats(evidence: Evidence) -> list[str]:
    """Find services that got more repeated requests than their budget.

    Arrivals that a server rejected count, too. Requests are counted by their
    first arrival, which leaves out those that never arrived.
    """
    arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for run in evidence.runs:
        attempt = run.get('attempt') or run.get('rejected')
        if attempt:
            arrived = run.get('arrived', run['at'])
            arrivals[run.get('service', '')].append((arrived, attempt))
    violations = []
    for service, arrived in arrivals.items():
        firsts, repeats = split_repeats(sorted(arrived))
        excess, end = find_worst_window(firsts, repeats, RETRY_LIMITS)
        if excess > 0:
            violations.append(
                f'{excess:.0f} repeats too many to {service} in the window '
                f'before {end}'
            )
    return violations


def split_repeats(
    arrivals: list[tuple[float, str]],
) -> tuple[list[float], list[float]]:
    """Split arrivals into the first of each attempt and the others.

    :param arrivals: time and attempt, in order of time.
    :returns: the times of both.
    """
    seen: set[str] = set()
    firsts: list[float] = []
    repeats: list[float] = []
    for arrived, attempt in arrivals:
        (repeats if attempt in seen else firsts).append(arrived)
        seen.add(attempt)
    return firsts, repeats


def lost_in_planned_work(evidence: Evidence) -> list[str]:
    """Find requests that failed while only planned work was in progress.

    A request that no entry logged and no server ran is left out: it was sent
    while the entry closed the connection, and never read.
    """
    runs = group_by_attempt(evidence)
    return [
        f'{record.attempt} at {record.entry}: {record.error}'
        for record in evidence.records
        if (record.attempt in evidence.logged_attempts or runs[record.attempt])
        and not record.whole
        and not record.left
        and evidence.has_only_planned_work(record.at, record.ended_at)
    ]


def outdated_configuration(evidence: Evidence) -> list[str]:
    """Find requests whose API key was judged by an outdated configuration."""
    violations = []
    for record in evidence.records:
        if not record.status or not evidence.published:
            continue
        start = record.at - MAX_CONFIGURATION_DELAY_S
        possible = [
            configuration
            for configuration in evidence.published
            if configuration.at > start
        ]
        previous = [
            configuration
            for configuration in evidence.published
            if configuration.at <= start
        ]
        possible += previous[-1:]
        granted = {
            record.key in configuration.keys for configuration in possible
        }
        denied = record.status == UNAUTHORIZED
        if granted == {denied} and evidence.is_unaffected(
            record.entry, start - CONTACT_RECOVERY_S, record.ended_at
        ):
            violations.append(
                f'{record.attempt} with key {record.key} '
                f'got status {record.status}'
            )
    return violations


def late_configurations(evidence: Evidence) -> list[str]:
    """Find configurations that an entry had in force too late or not at all.

    Those before the entry's first one are left out, as it was starting.
    """
    violations = []
    for entry, configurations in evidence.in_force.items():
        for published in evidence.published:
            if configurations and published.at < configurations[0][0]:
                continue
            due_at = published.at + MAX_CONFIGURATION_DELAY_S
            known = [version for at, version in configurations if at <= due_at]
            if max(known, default=0) < published.version and (
                evidence.is_unaffected(
                    entry, published.at - CONTACT_RECOVERY_S, due_at
                )
            ):
                violations.append(
                    f'version {published.version} of {published.at} at {entry}'
                )
    return violations


def sent_to_draining(evidence: Evidence) -> list[str]:
    """Find requests sent to a server too long after it began to drain."""
    draining = {
        run['server']: run['at'] for run in evidence.runs if 'draining' in run
    }
    sent = {record.attempt: record for record in evidence.records}
    violations = []
    for attempt, runs in group_by_attempt(evidence).items():
        for run in runs:
            at = draining.get(run['server'])
            if at is None or run['arrived'] <= at + MAX_DRAIN_DELAY_S:
                continue
            entry = sent[attempt].entry
            if evidence.is_unaffected(
                entry, at - CONTACT_RECOVERY_S, run['arrived']
            ):
                late_s = run['arrived'] - at
                violations.append(
                    f'{attempt} arrived {late_s:.2f} s after draining began'
                )
    return violations


def sent_to_evacuated(evidence: Evidence) -> list[str]:
    """Find requests that arrived in a zone too long after its evacuation.

    Arrivals that a server rejected count, too.
    """
    sent = {record.attempt: record for record in evidence.records}
    violations = []
    for run in evidence.runs:
        attempt = run.get('attempt') or run.get('rejected') or run.get('held')
        record = sent.get(attempt or '')
        if record is None:
            continue
        arrived = run.get('arrived', run['at'])
        for evacuated in evidence.evacuations:
            if (
                run.get('zone') == evacuated.zone
                and evacuated.at + EVACUATION_S < arrived < evacuated.until
                and evidence.is_unaffected(
                    record.entry, evacuated.at - CONTACT_RECOVERY_S, arrived
                )
            ):
                late_s = arrived - evacuated.at
                violations.append(
                    f'{attempt} arrived in {evacuated.zone} {late_s:.2f} s after '
                    'the evacuation began'
                )
    return violations


def sent_after_announcement(evidence: Evidence) -> list[str]:
    """Find requests to a server whose answer had announced that it leaves.

    Only the end or a suspension of the entry that passed it on excuses them.
    """
    announced: dict[tuple[str, str], float] = {}
    for record in evidence.records:
        if record.headers.get('server-leaving') and record.status:
            server = record.headers.get('x-server-signature', '')
            known_at = announced.get((record.entry, server), record.ended_at)
            announced[record.entry, server] = min(known_at, record.ended_at)
    sent = {record.attempt: record for record in evidence.records}
    violations = []
    for attempt, runs in group_by_attempt(evidence).items():
        if attempt not in sent:
            continue
        entry, sent_at = sent[attempt].entry, sent[attempt].at
        for run in runs:
            known_at = announced.get((entry, run['server']), sent_at)
            excused = any(
                ends_or_suspends(fault, entry)
                and fault.at < sent_at
                and fault.until > known_at
                for fault in evidence.faults
            )
            if sent_at > known_at + MAX_DRAIN_DELAY_S and not excused:
                violations.append(f'{attempt} at {run["server"]} by {entry}')
    return violations


def sent_within_hold(evidence: Evidence) -> list[str]:
    """Find servers that wanted no request from an entry and got more."""
    sent = {record.attempt: record for record in evidence.records}
    refused: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    for run in evidence.runs:
        if run.get('held') in sent:
            entry = sent[run['held']].entry
            refused[entry, run['server']].append(run)
    violations = []
    for (entry, server), runs in refused.items():
        first = runs[0]
        start = first['at'] + HOLD_DELAY_S
        later = [run for run in runs if start < run['at'] < first['until']]
        if len(later) > TOLERATED_IN_HOLD and evidence.is_unaffected(
            entry, first['at'], first['until']
        ):
            violations.append(f'{len(later)} requests to {server} by {entry}')
    return violations


def over_limit(evidence: Evidence) -> list[str]:
    """Find servers that got more requests than the limit that they announced."""
    sent = {record.attempt: record for record in evidence.records}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for run in evidence.runs:
        if 'limit' in run:
            spans[run['server']].append((run['at'], run['limit']))
        record = sent.get(run.get('attempt') or run.get('rejected') or '')
        if record is not None:
            arrived = run.get('arrived', run['at'])
            arrivals[run['server']].append((arrived, record.entry))
    violations = []
    for server, changes in spans.items():
        ends = [*(at for at, _ in changes[1:]), float('inf')]
        for (start, limit), end in zip(changes, ends, strict=True):
            told = told_of_limit(evidence, server, start, end)
            counted = sorted(
                at
                for at, entry in arrivals[server]
                if start + CONTACT_RECOVERY_S <= at < end
                and at >= told.get(entry, end) + KNOWN_LIMIT_DELAY_S
                and evidence.is_unaffected(entry, at - LIMIT_WINDOW_S, at)
            )
            most = max(
                (
                    sum(at <= other < at + LIMIT_WINDOW_S for other in counted)
                    for at in counted
                ),
                default=0,
            )
            allowed = LIMIT_RATIO * limit * LIMIT_WINDOW_S + LIMIT_SLACK
            if limit and most > allowed:
                violations.append(
                    f'{server} announced {limit} a second and got {most} requests'
                    f' in {LIMIT_WINDOW_S:.0f} s'
                )
    return violations


def told_of_limit(
    evidence: Evidence, server: str, start: float, end: float
) -> dict[str, float]:
    """Find when entries first passed on a server's limit in an interval.

    :returns: time by entry.
    """
    told: dict[str, float] = {}
    for record in evidence.records:
        if (
            record.headers.get('server-limit')
            and record.headers.get('x-server-signature') == server
            and start <= record.ended_at < end
        ):
            known_at = told.get(record.entry, record.ended_at)
            told[record.entry] = min(known_at, record.ended_at)
    return told


def over_cold_bound(evidence: Evidence) -> list[str]:
    """Find seconds in which a cold server got more requests than the bound.

    Entries in contact or not count. Those that could not learn that the server
    became cold again are excused, as is a second in which a fault of a link or
    of a server may have held back requests that then arrived together.
    """
    sent = {record.attempt: record for record in evidence.records}
    since: dict[str, dict[str, Any]] = {}
    arrivals: dict[str, list[float]] = defaultdict(list)
    for run in evidence.runs:
        if 'cold_until' in run:
            # Entries take one that starts again under its name for the former.
            is_new = run['start'] and run['server'] not in since
            since[run['server']] = {**run, 'start': is_new}
        record = sent.get(run.get('cold_arrival', ''))
        cold = since.get(run['server']) if record is not None else None
        if cold is None or record is None:
            continue
        arrived = run['arrived']
        if cold['start'] or (
            arrived >= cold['at'] + KNOWN_COLD_DELAY_S
            and evidence.is_unaffected(
                record.entry, cold['at'] - CONTACT_RECOVERY_S, arrived
            )
        ):
            arrivals[run['server']].append(arrived)
    violations = []
    for server, times in arrivals.items():
        most, at = max(
            (sum(at <= other < at + 1 for other in times), at)
            for at in (*times, 0.0)
            if not may_bunch(evidence, at)
        )
        if most > COLD_MOST:
            violations.append(
                f'{server} got {most} requests in a second from {at} while cold,'
                f' {COLD_MOST:.0f} allowed'
            )
    return violations


def may_bunch(evidence: Evidence, at: float) -> bool:
    """Check whether a fault may have held back requests until a second."""
    return any(
        (fault.what == 'pause-server' or fault.what.startswith('link-'))
        and fault.at < at + 1
        and fault.until + CONTACT_RECOVERY_S > at
        for fault in evidence.faults
    )


def sent_with_crashing_part(evidence: Evidence) -> list[str]:
    """Find parts that crashed servers and reached more of them later."""
    sent = {record.attempt: record for record in evidence.records}
    crashes: dict[str, list[float]] = defaultdict(list)
    arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for run in evidence.runs:
        if 'crashed' in run:
            crashes[run['part']].append(run['at'])
        record = sent.get(run.get('attempt') or run.get('rejected') or '')
        if record is not None and record.crashing_part:
            arrived = run.get('arrived', run['at'])
            arrivals[record.crashing_part].append((arrived, record.entry))
    violations = []
    for part, crashed_at in crashes.items():
        if len(crashed_at) < KNOWN_CRASHES:
            continue
        known_at = sorted(crashed_at)[KNOWN_CRASHES - 1]
        later = [
            arrived
            for arrived, entry in arrivals[part]
            if arrived > known_at + CONTACT_RECOVERY_S
            and evidence.is_unaffected(
                entry, arrived - CONTACT_RECOVERY_S, arrived
            )
        ]
        if len(later) > TOLERATED_WITH_CRASHING_PART:
            violations.append(
                f'{part} crashed {len(crashed_at)} servers, and {len(later)} '
                f'requests with it were sent later'
            )
    return violations
