"""A signal that says that the settings changed, while a process starts."""

import signal
import subprocess
import sys

import pytest

# Stands in for the slow imports of a role: the signal comes during them.
SCRIPT = """
import os, signal, sys
os.environ['COMFREYARCH_BOOT'] = '/nonexistent/settings'
sys.argv = ['comfreyarch_platform', {role!r}]
class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'comfreyarch_platform.bootfile':
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
from comfreyarch_platform.__main__ import main
main()
"""


@pytest.mark.parametrize('role', ['entry', 'sidecar'])
def test_a_process_that_starts_lives_through_it(role):
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT.format(role=role)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode != -signal.SIGHUP
    assert 'settings' in done.stderr
