"""Define the commands of comfreyarch."""

import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer

from comfreyarch_cli import changes, explaining, reports
from comfreyarch_cli.access import list_instances, open_store, read_pages
from comfreyarch_cli.errors import CommandError, Exit
from comfreyarch_cli.output import print_json, print_line, print_table
from comfreyarch_cli.pages import show_time, write_page
from comfreyarch_daemon.claimdriver import CLAIM_TABLE
from comfreyarch_daemon.store import StoreError

app = typer.Typer(
    help='Operate comfreyarch: publish configuration and plan stops.',
    no_args_is_help=True,
)
stop_app = typer.Typer(help='Order planned stops.', no_args_is_help=True)
app.add_typer(stop_app, name='stop')

StoreOption = Annotated[
    str,
    typer.Option(
        '--store',
        envvar='COMFREYARCH_STORE',
        help="URL of the platform's service.",
    ),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print JSON instead of a table.'),
]
Files = Annotated[
    list[Path],
    typer.Argument(help='TOML files, or folders of them.'),
]


@app.command()
def check(files: Files) -> None:
    """Check configuration files as one set; print every fault."""
    changes.load_set(files)
    print_line('no faults')


@app.command()
def explain(
    request: Annotated[
        str,
        typer.Argument(help="The request's attempt id."),
    ],
    files: Annotated[
        list[Path],
        typer.Argument(help='Logs of entries and sidecars, in any order.'),
    ],
) -> None:
    """Tell what became of one request, from the nodes' logs."""
    for line in explaining.explain(request, files):
        print_line(line)


@app.command()
def diff(files: Files, store: StoreOption) -> None:
    """Show what publishing these files would change."""
    for line in changes.show_difference(open_store(store), files):
        print_line(line)


@app.command()
def publish(
    files: Files,
    store: StoreOption,
    expect: Annotated[
        int | None,
        typer.Option(help='Publish only if this revision is in force.'),
    ] = None,
) -> None:
    """Check these files and publish them as the whole configuration."""
    changes.publish_files(open_store(store), files, expect)


@app.command()
def status(store: StoreOption, *, as_json: JsonOption = False) -> None:
    """Show which nodes live and which revision each holds."""
    pages = list(read_pages(list_instances(open_store(store)), '/status'))
    if as_json:
        print_json({one.instance.node: one.page for one in pages})
        return
    rows = [status_row(one.instance.node, one.page) for one in pages]
    print_table('Nodes', ('node', 'role', 'revision', 'ready', 'load'), rows)


def status_row(node: str, page: dict[str, Any] | None) -> tuple[object, ...]:
    """Make a node's row of the status table.

    :returns: one cell a column.
    """
    if page is None:
        return (node, '?', '?', 'no answer', '')
    load = page.get('open_requests', '')
    if page['role'] == 'sidecar':
        load = f'{page["running"]} running, {page["queued"]} queued'
        if page.get('leads'):
            load = f'{load}, leads {page["group"]}'
        if page.get('evacuation'):
            moved = page['evacuation']
            load = f'{load}, experts of stopping ranks: {moved}'
    state = 'yes' if page['ready'] else 'no'
    if page.get('leaving'):
        state = 'leaving'
    return (node, page['role'], page['revision'], state, load)


@stop_app.command('upstream')
def stop_upstream(name: str, store: StoreOption) -> None:
    """Order the planned stop of an upstream."""
    change = changes.put_stop('upstream', name)
    changes.change_set(open_store(store), change)


@stop_app.command('entry')
def stop_entry(name: str, store: StoreOption) -> None:
    """Order the planned stop of an entry."""
    change = changes.put_stop('entry', name)
    changes.change_set(open_store(store), change)


@app.command()
def resume(name: str, store: StoreOption) -> None:
    """Take back the planned stop of an upstream or entry."""
    changes.change_set(open_store(store), changes.drop_stop(name))


@app.command()
def claims(store: StoreOption, *, as_json: JsonOption = False) -> None:
    """List claims whose outcome is open or unknown."""
    try:
        rows = open_store(store).scan(CLAIM_TABLE)
    except StoreError as error:
        raise CommandError(f'store: {error}', Exit.store_down) from error
    open_rows = [
        {'key': row.key, **row.content}
        for row in rows
        if row.content and row.content['state'] in {'claimed', 'unknown'}
    ]
    if as_json:
        print_json(open_rows)
        return
    columns = ('key', 'state', 'holder', 'attempt')
    cells = [[one[column] for column in columns] for one in open_rows]
    print_table('Open claims', columns, cells)


@app.command()
def quarantine(
    store: StoreOption,
    *,
    release: Annotated[
        str,
        typer.Option(help='Release this digest.'),
    ] = '',
    as_json: JsonOption = False,
) -> None:
    """List quarantined requests, or release one."""
    client = open_store(store)
    if release:
        changes.change_set(client, changes.drop_quarantine(release))
        return
    held = changes.read_store(client).raw.get('quarantines', {})
    if as_json:
        print_json(held)
        return
    rows = [(digest, one.get('node', '')) for digest, one in held.items()]
    print_table('Quarantined requests', ('digest', 'found by'), rows)


@app.command()
def rebalance(
    store: StoreOption,
    *,
    dry_run: Annotated[
        bool,
        typer.Option('--dry-run', help='Only show; moves need no command.'),
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show what each group's coordinator would move now, and why."""
    if not dry_run:
        raise CommandError('groups move by themselves; add --dry-run')
    instances = list_instances(open_store(store))
    sidecars = [one for one in instances if one.role == 'sidecar']
    plans = {
        one.page['group']: one.page
        for one in read_pages(sidecars, '/report')
        if one.page
    }
    if as_json:
        print_json(plans)
        return
    for group, page in plans.items():
        print_plan(group, page)


def print_plan(group: str, page: dict[str, Any]) -> None:
    """Print a group's predicted times and its plan."""
    times = page['times_ms']
    slowest = max(times)
    print_line(f'{group}: slowest rank {slowest:.1f} ms of a step')
    plan = page.get('plan')
    if plan is None:
        print_line('  no change pays')
        return
    verdict = 'pays' if plan['pays'] else 'does not pay'
    print_line(
        f'  {plan["before_ms"]:.1f} to {plan["after_ms"]:.1f} ms; worth '
        f'{plan["worth_ms"]:.0f}, price {plan["price_ms"]:.0f}: {verdict}',
    )
    for change in plan['changes']:
        print_line(
            f'  {change["kind"]} expert {change["expert"]} '
            f'from rank {change["from"]} to rank {change["to"]}',
        )


@app.command()
def report(
    store: StoreOption,
    *,
    html: Annotated[
        Path | None,
        typer.Option(help='Write one HTML page with plots to this file.'),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show service-level burn and who waited, over all entries."""
    summary = reports.gather(open_store(store))
    if html is not None:
        html.write_text(write_page(summary))
        print_line(f'{html} written')
        return
    if as_json:
        print_json([asdict(line) for line in summary.lines])
        return
    rows = [report_row(line) for line in summary.lines]
    columns = ('group', 'team', '5 min', '1 h', '6 h', 'used up', 'wait p95')
    print_table('Error budget burn', columns, rows)
    for name in summary.missing:
        print_line(f'no answer from {name}: figures are partial')


def report_row(line: reports.Line) -> tuple[object, ...]:
    """Make a row of the report.

    :returns: one cell a column.
    """
    rates = [f'{one.rate:.2f}' for one in line.burns]
    wait = '' if line.waits is None else f'{line.waits.p95:.0f} ms'
    left = show_time(line.exhausted_s)
    return (line.group, line.team, *rates, left, wait)


def run() -> None:
    """Be the console script: errors become messages and exit codes."""
    try:
        app()
    except CommandError as error:
        sys.stderr.write(f'comfreyarch: {error}\n')
        sys.exit(error.code)
