"""Trace one request through the logs of several nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from comfreyarch_cli.errors import CommandError

# Events that report how a request ended.
FINAL_EVENTS = frozenset(('ended', 'refused'))
# State changes of a node that are shown if they happened while it had the
# request.
STATE_EVENTS = frozenset(
    (
        'configuration',
        'engine_health',
        'leader',
        'map_settled',
        'peer_lost',
        'start',
        'stop',
        'stopping',
        'store_back',
        'store_lost',
        'store_restored',
        'table_behind',
        'table_confirmed',
        'table_relayed',
        'table_unconfirmed',
        'upstream_listed',
        'upstream_removed',
        'upstreams_lapsed',
    )
)
# Fields that are not repeated among the details of a line.
HIDDEN_FIELDS = frozenset(('at', 'node', 'event', 'request'))


@dataclass(slots=True)
class RequestTrace:
    """Hold the logged events of one request.

    :param lines: its events and the state changes of its nodes, by time.
    :param unparsed_lines: number of log lines without an event.
    """

    request: str
    lines: list[dict[str, Any]] = field(default_factory=list)
    unparsed_lines: int = 0

    def request_events(self) -> list[dict[str, Any]]:
        """Return the events of the request, without state changes.

        :returns: the events in order.
        """
        return [
            record
            for record in self.lines
            if record.get('request') == self.request
        ]


def read_events(texts: Iterable[str]) -> Iterator[dict[str, Any] | None]:
    """Parse the events in log lines, ignoring any prefix.

    :returns: events, None for a line without one.
    """
    for text in texts:
        start = text.find('{"at"')
        try:
            event = json.loads(text[start:]) if start >= 0 else None
        except json.JSONDecodeError:
            event = None
        yield event if isinstance(event, dict) else None


def collect_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Collect a request's events and the state changes of its nodes.

    :returns: the trace.
    :raises CommandError: if no line mentions the request.
    """
    trace = RequestTrace(request)
    events: list[dict[str, Any]] = []
    for event in read_events(texts):
        if event is None:
            trace.unparsed_lines += 1
        else:
            events.append(event)
    request_events = [
        record for record in events if record.get('request') == request
    ]
    if not request_events:
        raise CommandError(
            f'no log line mentions request {request}; give the logs of all '
            'entries of its availability zone, from the time of the request',
        )
    nodes = {record.get('node') for record in request_events}
    first = min(record['at'] for record in request_events)
    last = max(record['at'] for record in request_events)
    state_changes = [
        record
        for record in events
        if record.get('event') in STATE_EVENTS
        and record.get('node') in nodes
        and first <= record.get('at', 0) <= last
    ]
    trace.lines = sorted(
        [*request_events, *state_changes], key=lambda record: record['at']
    )
    return trace


def format_trace(trace: RequestTrace) -> Iterator[str]:
    """Format a trace, one line per event, and what is missing in it.

    :returns: the lines.
    """
    started_at = trace.lines[0]['at']
    for record in trace.lines:
        details = ' '.join(
            f'{name}={fact}'
            for name, fact in record.items()
            if name not in HIDDEN_FIELDS and fact is not None
        )
        marker = ' ' if record.get('request') == trace.request else '.'
        after = record['at'] - started_at
        yield f'{after:8.3f} s {marker} {record["node"]} {record["event"]} {details}'
    yield from describe_gaps(trace)


def describe_gaps(trace: RequestTrace) -> Iterator[str]:
    """Report what is missing from a trace.

    :returns: a line for each gap.
    """
    request_events = trace.request_events()
    if not any(record['event'] in FINAL_EVENTS for record in request_events):
        yield (
            'missing: how it ended; its entry crashed, froze or was cut off '
            'from the network, or the log ends here'
        )
    left_out = sum(record.get('left_out', 0) for record in request_events)
    if left_out:
        yield (
            f'missing: {left_out} lines of these events, dropped by the '
            'rate limit'
        )
    if trace.unparsed_lines:
        yield f'note: {trace.unparsed_lines} lines without an event'


def explain(request: str, files: Iterable[Path]) -> Iterator[str]:
    """Trace a request through log files.

    :returns: lines to print.
    :raises CommandError: if a file cannot be read or no line mentions the
        request.
    """
    texts: list[str] = []
    for path in files:
        try:
            texts += path.read_text(errors='replace').splitlines()
        except OSError as error:
            raise CommandError(
                f'cannot read log file {path}: {error}; give a readable file'
            ) from error
    return format_trace(collect_trace(request, texts))
