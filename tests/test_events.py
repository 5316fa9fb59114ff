"""Test that docs/EVENTS.md lists exactly the events that the code writes."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
WRITES = re.compile(r"\blog\.write\(\s*'([a-z_]+)'")
LISTED = re.compile(r'^\| `([a-z_]+)` \|', re.MULTILINE)


def test_the_page_lists_what_the_code_writes():
    written = set()
    for folder in ('packages', 'platform'):
        for path in (ROOT / folder).rglob('*.py'):
            written |= set(WRITES.findall(path.read_text()))
    listed = set(LISTED.findall((ROOT / 'docs/EVENTS.md').read_text()))
    assert written == listed
