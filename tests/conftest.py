"""Configure hypothesis, the import path and the known failing tests."""

import os
import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

# Without a deadline, so that a slow machine does not fail a test, and with the
# same examples in every run.
settings.register_profile(
    'steady',
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
if not os.environ.get('SOAK'):
    settings.load_profile('steady')
sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from known_red import is_known_red, read_known_red  # noqa: E402


def pytest_collection_modifyitems(config, items):
    """Pass over the tests of KNOWN-RED.txt unless tests are named.

    :raises pytest.UsageError: if a listed test does not exist.
    """
    listed = read_known_red()
    are_tests_named = any('.py' in argument for argument in config.args)
    if are_tests_named or not listed:
        return
    passed_over = [item for item in items if is_known_red(item.nodeid, listed)]
    names = {item.nodeid for item in passed_over}
    known = names | {name.partition('[')[0] for name in names}
    unknown = sorted(set(listed) - known)
    if unknown:
        raise pytest.UsageError(f'KNOWN-RED.txt lists unknown tests {unknown}')
    config.hook.pytest_deselected(items=passed_over)
    items[:] = [item for item in items if item.nodeid not in names]


@pytest.fixture
def soak() -> bool:
    """Return whether SOAK is set, which requests long runs."""
    return bool(os.environ.get('SOAK'))
