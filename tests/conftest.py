"""Configure hypothesis and the import path for all tests."""

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


@pytest.fixture
def soak() -> bool:
    """Return whether SOAK is set, which requests long runs."""
    return bool(os.environ.get('SOAK'))
