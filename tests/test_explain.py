"""Trace of a request, collected from the logs of several nodes."""

import json

import pytest
from typer.testing import CliRunner

from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.main import app
from comfreyarch_cli.requesttrace import explain


def line(at, node, event, **facts):
    """Format one log line with the prefix of a log collector."""
    return f'{at} {node} ' + json.dumps(
        {'at': at, 'node': node, 'event': event, **facts},
    ).replace('{"at": ', '{"at":')


LOG_LINES = [
    line(1.0, 'e1', 'sent', request='r', upstream='u1'),
    line(1.2, 'e1', 'engine_health', upstream='u1', usable=False),
    line(1.3, 'e2', 'engine_health', upstream='u1', usable=False),
    line(1.5, 'e1', 'send_failed', request='r', ending='silent', again=True),
    line(1.6, 'e1', 'sent', request='r', upstream='u2'),
    line(1.6, 'e1', 'sent', request='other', upstream='u3'),
]
END_LINE = line(2.0, 'e1', 'ended', request='r', outcome='answered', left_out=3)


def write(path, lines):
    """Write a log file."""
    path.write_text('\n'.join(lines))
    return path


def test_a_story_in_order_over_files(tmp_path):
    first = write(tmp_path / 'a', [END_LINE, *LOG_LINES[3:]])
    second = write(tmp_path / 'b', ['no event', *LOG_LINES[:3]])
    lines_shown = list(explain('r', [first, second]))
    assert 'sent' in lines_shown[0] and 'u1' in lines_shown[0]
    assert 'engine_health' in lines_shown[1]
    assert 'send_failed' in lines_shown[2]
    assert 'u2' in lines_shown[3]
    assert 'answered' in lines_shown[4]
    assert any('3 lines' in shown for shown in lines_shown)
    assert not any('u3' in shown or 'e2' in shown for shown in lines_shown)


def test_what_is_missing_is_said(tmp_path):
    lines_shown = list(explain('r', [write(tmp_path / 'a', LOG_LINES)]))
    assert 'missing: how it ended' in lines_shown[-1]


def test_an_unknown_request_says_what_to_give(tmp_path):
    with pytest.raises(CommandError, match='logs of all entries'):
        list(explain('none', [write(tmp_path / 'a', LOG_LINES)]))


def test_the_command(tmp_path):
    path = write(tmp_path / 'a', [*LOG_LINES, END_LINE])
    result = CliRunner().invoke(app, ['explain', 'r', str(path)])
    assert result.exit_code == 0
    assert 'answered' in result.output
