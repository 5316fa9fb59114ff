"""Read configuration files into one raw set."""

import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from comfreyarch_core.checking import CheckResult, check
from comfreyarch_core.configset import RawSet
from comfreyarch_core.faults import Fault


@dataclass(slots=True)
class ParsedFiles:
    """Hold the raw set read from files, and the faults found in reading.

    :param files: the file that defines each object, by ``kind.name``.
    """

    raw: RawSet = field(default_factory=dict)
    files: dict[str, str] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)

    def add(self, file: str, kind: str, name: str, raw: Any) -> None:
        """Add one object; a second object of the same name is a fault."""
        object_name = f'{kind}.{name}'
        if object_name in self.files:
            message = f'already defined in {self.files[object_name]}'
            self.faults.append(
                Fault(file, object_name, '*', message, 'rename one of them')
            )
            return
        self.files[object_name] = file
        self.raw.setdefault(kind, {})[name] = raw


def find_files(paths: Iterable[Path]) -> Iterator[Path]:
    """Yield the TOML files of the paths; a directory's in name order."""
    for path in paths:
        if path.is_dir():
            yield from sorted(path.glob('*.toml'))
        else:
            yield path


def read_files(paths: Iterable[Path]) -> ParsedFiles:
    """Read all files as one set.

    :returns: the objects that could be read, and the faults.
    """
    parsed = ParsedFiles()
    for path in find_files(paths):
        read_file(path, parsed)
    return parsed


def read_file(path: Path, parsed: ParsedFiles) -> None:
    """Read one file and add its objects or faults."""
    file = str(path)
    try:
        tables = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        fault = Fault(
            file, '(file)', '*', str(error), 'give a readable TOML file'
        )
        parsed.faults.append(fault)
        return
    for kind, table in tables.items():
        if not isinstance(table, dict):
            remedy = 'write [kind.name] tables'
            parsed.faults.append(Fault(file, kind, '*', 'not a table', remedy))
            continue
        for name, raw in table.items():
            parsed.add(file, kind, name, raw)


def check_files(paths: Iterable[Path]) -> tuple[RawSet, CheckResult]:
    """Read and check files as one set.

    :returns: the raw set, and the check result with all faults.
    """
    parsed = read_files(paths)
    checked = check(parsed.raw, parsed.files)
    faults = (*parsed.faults, *checked.faults)
    return parsed.raw, CheckResult(checked.config, faults)
