"""List the request limits that upstreams announce to entries."""

from comfreyarch_cli.access import read_listing
from comfreyarch_cli.output import print_listings

COLUMNS = ('upstream', 'limit_per_s', 'sends_per_s')


def show_limits(entries: list[str], *, as_json: bool) -> None:
    """Print the limits that entries know, and what each of them sends.

    :param entries: addresses of their metrics, ``host:port``.
    :raises CommandError: if an entry does not list its limits.
    """
    pages = {entry: read_listing(entry, '/limits') for entry in entries}
    print_listings(pages, 'Request limits known to', COLUMNS, as_json=as_json)
