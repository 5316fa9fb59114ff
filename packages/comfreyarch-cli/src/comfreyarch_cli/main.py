"""Commands of the operators' command line."""

import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer

from comfreyarch_cli import (
    bars,
    changes,
    limits,
    place,
    reports,
    requesttrace,
)
from comfreyarch_cli.access import list_instances, open_store, read_pages
from comfreyarch_cli.errors import CommandError, ExitCode
from comfreyarch_cli.output import print_json, print_line, print_table
from comfreyarch_cli.reportpage import format_hours, render_report
from comfreyarch_daemon.claimdriver import CLAIM_TABLE
from comfreyarch_daemon.store import StoreError

app = typer.Typer(
    help='Operate comfreyarch: publish configuration and plan stops.',
    no_args_is_help=True,
)
stop_app = typer.Typer(help='Order planned stops.', no_args_is_help=True)
app.add_typer(stop_app, name='stop')

app.command()(bars.bars)
app.command()(place.place)

StoreOption = Annotated[
    str,
    typer.Option(
        '--store',
        envvar='COMFREYARCH_STORE',
        help='URL of the store.',
    ),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print JSON instead of a table.'),
]
Files = Annotated[
    list[Path],
    typer.Argument(help='TOML files, or directories that contain them.'),
]


@app.command()
def check(files: Files) -> None:
    """Check configuration files as one set and print all faults."""
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
    """Trace one request through the logs of the nodes."""
    for line in requesttrace.explain(request, files):
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
def status(
    store: StoreOption = '',
    *,
    entries: Annotated[
        list[str] | None,
        typer.Option(
            '--entry',
            help='Show the request limits known to the entry whose metrics'
            ' are at HOST:PORT, instead of the nodes.',
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show all nodes, whether they are ready, and the evacuated zones."""
    if entries:
        limits.show_limits(entries, as_json=as_json)
        return
    if not store:
        raise CommandError('status needs --store, or --entry for limits')
    client = open_store(store)
    node_pages = list(read_pages(list_instances(client), '/status'))
    if as_json:
        print_json(
            {
                node_page.instance.node: node_page.page
                for node_page in node_pages
            }
        )
        return
    rows = [
        status_row(node_page.instance.node, node_page.page)
        for node_page in node_pages
    ]
    print_table('Nodes', ('node', 'role', 'revision', 'ready', 'load'), rows)
    zones = changes.list_evacuated(changes.read_published(client).raw)
    if zones:
        print_line(f'evacuated zones: {", ".join(zones)}')


def status_row(node: str, page: dict[str, Any] | None) -> tuple[object, ...]:
    """Format a node's row of the status table.

    :param page: the node's status page, None if it did not answer.
    :returns: one cell per column.
    """
    if page is None:
        return (node, '?', '?', 'no answer', '')
    load = page.get('open_requests', '')
    if page['role'] == 'sidecar':
        load = f'{page["running"]} running, {page["queued"]} queued'
        if page.get('leads'):
            load = f'{load}, leads {page["group"]}'
        if page.get('evacuation'):
            evacuated = page['evacuation']
            load = f'{load}, experts of stopping ranks: {evacuated}'
    state = 'yes' if page['ready'] else 'no'
    if page.get('leaving'):
        state = 'evacuated' if page.get('zone_evacuated') else 'leaving'
    return (node, page['role'], page['revision'], state, load)


@stop_app.command('upstream')
def stop_upstream(name: str, store: StoreOption) -> None:
    """Order the planned stop of an upstream."""
    change = changes.add_stop('upstream', name)
    changes.publish_edit(open_store(store), change)


@stop_app.command('entry')
def stop_entry(name: str, store: StoreOption) -> None:
    """Order the planned stop of an entry."""
    change = changes.add_stop('entry', name)
    changes.publish_edit(open_store(store), change)


@app.command()
def resume(name: str, store: StoreOption) -> None:
    """Cancel the planned stop of an upstream or entry."""
    changes.publish_edit(open_store(store), changes.remove_stop(name))


@app.command()
def evacuate(
    zone: Annotated[str, typer.Argument(help='Availability zone.')],
    store: StoreOption,
    *,
    end: Annotated[
        bool,
        typer.Option('--end', help='Withdraw the request.'),
    ] = False,
) -> None:
    """Request that upstreams of a zone get no new request, or withdraw it."""
    make_change = changes.remove_evacuation if end else changes.add_evacuation
    changes.publish_edit(open_store(store), make_change(zone))


@app.command()
def claims(store: StoreOption, *, as_json: JsonOption = False) -> None:
    """List claims in progress and claims with an unknown outcome."""
    try:
        rows = open_store(store).scan(CLAIM_TABLE)
    except StoreError as error:
        raise CommandError(
            f'cannot read the claims: {error}; check --store',
            ExitCode.store_down,
        ) from error
    open_rows = [
        {'key': row.key, **row.content}
        for row in rows
        if row.content and row.content['state'] in {'claimed', 'unknown'}
    ]
    if as_json:
        print_json(open_rows)
        return
    columns = ('key', 'state', 'holder', 'attempt')
    cells = [[claim[column] for column in columns] for claim in open_rows]
    print_table('Open claims', columns, cells)


@app.command()
def quarantine(
    store: StoreOption,
    *,
    release: Annotated[
        str,
        typer.Option(help='Digest of the request to release.'),
    ] = '',
    as_json: JsonOption = False,
) -> None:
    """List quarantined requests, or release one."""
    client = open_store(store)
    if release:
        changes.publish_edit(client, changes.remove_quarantine(release))
        return
    quarantined = changes.read_published(client).raw.get('quarantines', {})
    if as_json:
        print_json(quarantined)
        return
    rows = [
        (digest, entry.get('node', '')) for digest, entry in quarantined.items()
    ]
    print_table('Quarantined requests', ('digest', 'found by'), rows)


@app.command()
def rebalance(
    store: StoreOption,
    *,
    dry_run: Annotated[
        bool,
        typer.Option(
            '--dry-run',
            help='Only show the plan; required, as groups rebalance themselves.',
        ),
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show the expert moves that each group's coordinator would make now."""
    if not dry_run:
        raise CommandError(
            'groups rebalance automatically; add --dry-run to see their plans'
        )
    instances = list_instances(open_store(store))
    sidecars = [
        instance for instance in instances if instance.role == 'sidecar'
    ]
    plans = {
        node_page.page['group']: node_page.page
        for node_page in read_pages(sidecars, '/report')
        if node_page.page
    }
    if as_json:
        print_json(plans)
        return
    for group, page in plans.items():
        print_plan(group, page)


def print_plan(group: str, page: dict[str, Any]) -> None:
    """Print a group's slowest predicted rank time and its plan."""
    times = page['times_ms']
    slowest = max(times)
    print_line(f'{group}: slowest rank takes {slowest:.1f} ms per step')
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
        typer.Option(help='Write an HTML page with plots to this file.'),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show error budget burn and waits per team, over all entries."""
    summary = reports.collect_summary(open_store(store))
    if html is not None:
        html.write_text(render_report(summary))
        print_line(f'{html} written')
        return
    if as_json:
        print_json([asdict(line) for line in summary.lines])
        return
    rows = [report_row(line) for line in summary.lines]
    columns = ('group', 'team', '5 min', '1 h', '6 h', 'used up', 'wait p95')
    print_table('Error budget burn', columns, rows)
    for name in summary.missing:
        print_line(f'no answer from {name}: the report is incomplete')


def report_row(line: reports.ReportLine) -> tuple[object, ...]:
    """Format a row of the report.

    :returns: one cell per column.
    """
    rates = [f'{burn.rate:.2f}' for burn in line.burns]
    wait = '' if line.waits is None else f'{line.waits.p95:.0f} ms'
    exhaustion = format_hours(line.exhausted_s)
    return (line.group, line.team, *rates, exhaustion, wait)


def run() -> None:
    """Run the console script; print command errors and exit with their code."""
    try:
        app()
    except CommandError as error:
        sys.stderr.write(f'comfreyarch: {error}\n')
        sys.exit(error.code)
