"""List and lift the bars of entries."""

from typing import Annotated
from urllib.parse import quote

import typer

from comfreyarch_cli.access import HTTP_OK, fetch_json, read_listing
from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.output import print_line, print_listings

COLUMNS = ('trait', 'age_s', 'left_s', 'crashes')


def bars(
    entries: Annotated[
        list[str],
        typer.Argument(help='Addresses of the metrics of entries, HOST:PORT.'),
    ],
    *,
    lift: Annotated[
        str,
        typer.Option(help='Trait whose bar is lifted, at all entries.'),
    ] = '',
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print JSON instead of a table.'),
    ] = False,
) -> None:
    """List what requests are refused for, as it crashes upstreams, or lift one."""
    if lift:
        lift_bar(entries, lift)
        return
    pages = {entry: read_listing(entry, '/bars') for entry in entries}
    print_listings(pages, 'Bars of', COLUMNS, as_json=as_json)


def lift_bar(entries: list[str], trait: str) -> None:
    """Lift a bar at the given entries, which tell all others.

    :raises CommandError: if none of them has it.
    """
    path = f'/bars/lift?trait={quote(trait, safe="")}'
    lifted = [
        entry
        for entry in entries
        if fetch_json(entry, 'POST', path)[0] == HTTP_OK
    ]
    if not lifted:
        raise CommandError(
            f'no entry given bars {trait!r}; list the bars without --lift'
        )
    print_line(f'{trait} lifted')
