"""Run comfreyarchd as a module."""

from comfreyarch_daemon.main import run

run()
