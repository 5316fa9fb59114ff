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
class Parsed:
    """Hold a raw set, the file of each object, and faults of reading."""

    raw: RawSet = field(default_factory=dict)
    files: dict[str, str] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)

    def add(self, file: str, kind: str, name: str, raw: Any) -> None:
        """Add one object; a second of the same name is a fault."""
        place = f'{kind}.{name}'
        if place in self.files:
            message = f'already defined in {self.files[place]}'
            self.faults.append(Fault(file, place, '*', message, 'rename one'))
            return
        self.files[place] = file
        self.raw.setdefault(kind, {})[name] = raw


def find_files(paths: Iterable[Path]) -> Iterator[Path]:
    """Yield the TOML files of the paths, folders read in name order."""
    for path in paths:
        if path.is_dir():
            yield from sorted(path.glob('*.toml'))
        else:
            yield path


def read_files(paths: Iterable[Path]) -> Parsed:
    """Read all files as one set.

    :returns: what could be read, with the faults.
    """
    parsed = Parsed()
    for path in find_files(paths):
        read_file(path, parsed)
    return parsed


def read_file(path: Path, parsed: Parsed) -> None:
    """Read one file into a set."""
    file = str(path)
    try:
        tables = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        fault = Fault(file, '(file)', '*', str(error), 'give a TOML file')
        parsed.faults.append(fault)
        return
    for kind, named in tables.items():
        if not isinstance(named, dict):
            remedy = 'write [kind.name] tables'
            parsed.faults.append(Fault(file, kind, '*', 'no table', remedy))
            continue
        for name, raw in named.items():
            parsed.add(file, kind, name, raw)


def check_files(paths: Iterable[Path]) -> tuple[RawSet, CheckResult]:
    """Read and check files as one set.

    :returns: the raw set, and the outcome with all faults.
    """
    parsed = read_files(paths)
    checked = check(parsed.raw, parsed.files)
    faults = (*parsed.faults, *checked.faults)
    return parsed.raw, CheckResult(checked.config, faults)
