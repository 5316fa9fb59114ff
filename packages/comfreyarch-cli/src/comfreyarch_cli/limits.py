"""List the request limits that upstreams announce to entries."""

from comfreyarch_cli.access import HTTP_OK, fetch_json
from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.output import print_json, print_table

COLUMNS = ('upstream', 'limit_per_s', 'sends_per_s')


def show_limits(entries: list[str], *, as_json: bool) -> None:
    """Print the limits that entries know, and what each of them sends.

    :param entries: addresses of their metrics, ``host:port``.
    :raises CommandError: if an entry does not list its limits.
    """
    pages = {entry: read_limits(entry) for entry in entries}
    if as_json:
        print_json(pages)
        return
    for entry, listed in pages.items():
        rows = [[limit[name] for name in COLUMNS] for limit in listed]
        print_table(f'Request limits known to {entry}', COLUMNS, rows)


def read_limits(entry: str) -> list[dict[str, object]]:
    """Read the limits that an entry knows.

    :returns: a row for each.
    :raises CommandError: if the entry does not list them.
    """
    status, listed = fetch_json(entry, 'GET', '/limits')
    if status != HTTP_OK or not isinstance(listed, list):
        raise CommandError(
            f'{entry} does not list limits; give the address of its metrics'
        )
    return listed
