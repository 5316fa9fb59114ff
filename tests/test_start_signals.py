"""Test that a reload signal during startup does not end a process.

The default action of SIGHUP is to terminate. A signal that arrives while a
role is imported, before its handler is set, must not do that.
"""

import signal
import subprocess
import sys

import pytest

# Sends the signal while the role imports its modules.
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
    completed = subprocess.run(
        [sys.executable, '-c', SCRIPT.format(role=role)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode != -signal.SIGHUP
    assert 'settings' in completed.stderr
