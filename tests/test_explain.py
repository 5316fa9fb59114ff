"""A request's story from the logs of several nodes."""

import json

import pytest
from typer.testing import CliRunner

from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.explaining import explain
from comfreyarch_cli.main import app


def line(at, node, event, **facts):
    """Write one log line, as a collector may prefix it."""
    return f'{at} {node} ' + json.dumps(
        {'at': at, 'node': node, 'event': event, **facts},
    ).replace('{"at": ', '{"at":')


LOG = [
    line(1.0, 'e1', 'sent', request='r', upstream='u1'),
    line(1.2, 'e1', 'engine_health', upstream='u1', usable=False),
    line(1.3, 'e2', 'engine_health', upstream='u1', usable=False),
    line(1.5, 'e1', 'send_failed', request='r', ending='silent', again=True),
    line(1.6, 'e1', 'sent', request='r', upstream='u2'),
    line(1.6, 'e1', 'sent', request='other', upstream='u3'),
]
END = line(2.0, 'e1', 'ended', request='r', outcome='answered', left_out=3)


def write(path, lines):
    """Write a log file."""
    path.write_text('\n'.join(lines))
    return path


def test_a_story_in_order_over_files(tmp_path):
    first = write(tmp_path / 'a', [END, *LOG[3:]])
    second = write(tmp_path / 'b', ['no event', *LOG[:3]])
    told = list(explain('r', [first, second]))
    assert 'sent' in told[0] and 'u1' in told[0]
    assert 'engine_health' in told[1]
    assert 'send_failed' in told[2]
    assert 'u2' in told[3]
    assert 'answered' in told[4]
    assert any('3 lines' in one for one in told)
    assert not any('u3' in one or 'e2' in one for one in told)


def test_what_is_missing_is_said(tmp_path):
    told = list(explain('r', [write(tmp_path / 'a', LOG)]))
    assert 'missing: how it ended' in told[-1]


def test_an_unknown_request_says_what_to_give(tmp_path):
    with pytest.raises(CommandError, match='logs of all entries'):
        list(explain('none', [write(tmp_path / 'a', LOG)]))


def test_the_command(tmp_path):
    path = write(tmp_path / 'a', [*LOG, END])
    result = CliRunner().invoke(app, ['explain', 'r', str(path)])
    assert result.exit_code == 0
    assert 'answered' in result.output
