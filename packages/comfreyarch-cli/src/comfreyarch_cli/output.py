"""Print tables, JSON and faults."""

import json
import sys
from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table

from comfreyarch_core.faults import Fault


def print_json(content: object) -> None:
    """Print a value as indented JSON."""
    sys.stdout.write(f'{json.dumps(content, indent=2)}\n')


def print_line(text: str) -> None:
    """Print one line to standard output."""
    sys.stdout.write(f'{text}\n')


def print_faults(faults: Iterable[Fault]) -> None:
    """Print one line per fault to standard error."""
    for fault in faults:
        sys.stderr.write(f'{fault}\n')


def print_table(
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print a table with a title and column headings."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def print_listings(
    pages: dict[str, list[dict[str, object]]],
    title: str,
    columns: tuple[str, ...],
    *,
    as_json: bool,
) -> None:
    """Print what entries list, a table for each, or all as JSON.

    :param pages: rows by entry.
    :param title: title of a table, which the entry's address follows.
    """
    if as_json:
        print_json(pages)
        return
    for entry, listed in pages.items():
        rows = [[item[name] for name in columns] for item in listed]
        print_table(f'{title} {entry}', columns, rows)
