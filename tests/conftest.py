"""Share what all tests need."""

import os
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))


@pytest.fixture
def soak() -> bool:
    """Tell whether long runs were asked for."""
    return bool(os.environ.get('SOAK'))
