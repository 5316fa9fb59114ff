"""Run the command line with ``python -m comfreyarch_cli``."""

from comfreyarch_cli.main import run

run()
