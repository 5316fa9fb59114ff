"""Run comfreyarch as a module."""

from comfreyarch_cli.main import run

run()
