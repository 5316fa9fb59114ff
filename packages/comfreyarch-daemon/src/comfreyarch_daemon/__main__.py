"""Run comfreyarchd with ``python -m comfreyarch_daemon``."""

from comfreyarch_daemon.main import run

run()
