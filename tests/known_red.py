"""Read the tests that KNOWN-RED.txt lists as failing."""

from pathlib import Path

LIST = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red():
    """Return the listed names; a name without brackets covers all its cases."""
    if not LIST.exists():
        return []
    lines = LIST.read_text().splitlines()
    return [line.partition('|')[0].strip() for line in lines if line.strip()]


def is_known_red(name, listed):
    """Check whether a test is listed."""
    return name in listed or name.partition('[')[0] in listed
