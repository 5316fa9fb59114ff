"""Share what all tests need."""

import os
import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

# A slow machine must not change a verdict.
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
    """Tell whether long runs were asked for."""
    return bool(os.environ.get('SOAK'))
