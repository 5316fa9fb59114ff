#!/bin/bash
# The stand-ins of cases 6 and later are Python programs that need only the
# standard library, so nothing is built; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in sorted([*pathlib.Path('lib2').glob('*.py'), *pathlib.Path('.').glob('*/case.py')]):
    ast.parse(path.read_text(), str(path))
END
