"""Tell a request's story from the logs of many nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from comfreyarch_cli.errors import CommandError

# Events that say how a request ended.
LAST_EVENTS = frozenset(('ended', 'refused'))
# Changes of belief that are shown where they fall into a request's time.
BELIEFS = frozenset(
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
        'table_behind',
        'upstream_listed',
        'upstream_removed',
        'upstreams_lapsed',
    )
)
HIDDEN = frozenset(('at', 'node', 'event', 'request'))


@dataclass(slots=True)
class Story:
    """Hold what the logs say of one request.

    :param lines: its own events and the beliefs that changed meanwhile.
    :param unread: log lines that are no events.
    """

    request: str
    lines: list[dict[str, Any]] = field(default_factory=list)
    unread: int = 0

    def own(self) -> list[dict[str, Any]]:
        """Select the request's own events.

        :returns: the events in order.
        """
        return [one for one in self.lines if one.get('request') == self.request]


def read_events(texts: Iterable[str]) -> Iterator[dict[str, Any] | None]:
    """Read the events in log lines, whatever stands before them.

    :returns: events, None for a line without one.
    """
    for text in texts:
        start = text.find('{"at"')
        try:
            event = json.loads(text[start:]) if start >= 0 else None
        except json.JSONDecodeError:
            event = None
        yield event if isinstance(event, dict) else None


def tell(request: str, texts: Iterable[str]) -> Story:
    """Collect a request's events and the beliefs of the nodes it met.

    :raises CommandError: where no log mentions it.
    """
    story = Story(request)
    events: list[dict[str, Any]] = []
    for event in read_events(texts):
        if event is None:
            story.unread += 1
        else:
            events.append(event)
    own = [one for one in events if one.get('request') == request]
    if not own:
        raise CommandError(
            f'no line mentions {request}; give the logs of all entries of '
            'its availability zone, from its time',
        )
    nodes = {one.get('node') for one in own}
    first = min(one['at'] for one in own)
    last = max(one['at'] for one in own)
    around = [
        one
        for one in events
        if one.get('event') in BELIEFS
        and one.get('node') in nodes
        and first <= one.get('at', 0) <= last
    ]
    story.lines = sorted([*own, *around], key=lambda one: one['at'])
    return story


def show(story: Story) -> Iterator[str]:
    """Write a story, a line an event, and what is missing in it.

    :returns: the lines.
    """
    began = story.lines[0]['at']
    for one in story.lines:
        facts = ' '.join(
            f'{name}={fact}'
            for name, fact in one.items()
            if name not in HIDDEN and fact is not None
        )
        mark = ' ' if one.get('request') == story.request else '.'
        after = one['at'] - began
        yield f'{after:8.3f} s {mark} {one["node"]} {one["event"]} {facts}'
    yield from gaps(story)


def gaps(story: Story) -> Iterator[str]:
    """Say what the logs do not tell.

    :returns: a line for each gap.
    """
    own = story.own()
    if not any(one['event'] in LAST_EVENTS for one in own):
        yield (
            'missing: how it ended; its entry died, froze or was cut off '
            'then, or the log ends here'
        )
    left_out = sum(one.get('left_out', 0) for one in own)
    if left_out:
        yield f'missing: {left_out} lines of these events were left out before'
    if story.unread:
        yield f'note: {story.unread} lines are no events'


def explain(request: str, files: Iterable[Path]) -> Iterator[str]:
    """Tell a request's story from log files.

    :returns: lines to print.
    :raises CommandError: where a file cannot be read or none mentions it.
    """
    texts: list[str] = []
    for path in files:
        try:
            texts += path.read_text(errors='replace').splitlines()
        except OSError as error:
            raise CommandError(f'{path}: {error}; give a log file') from error
    return show(tell(request, texts))
