"""Implement the command ``comfreyarchd``, which runs an entry or a sidecar."""

import gc
import signal
import sys
from pathlib import Path
from typing import Annotated

import gevent
import typer
from gevent.event import Event

from comfreyarch_daemon.entry import EntryRole
from comfreyarch_daemon.logs import (
    configure_logging,
    log_change,
    make_log_reporter,
)
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.operatorserver import OperatorServer
from comfreyarch_daemon.settings import (
    Settings,
    SettingsError,
    load_fleet_key,
    load_settings,
)
from comfreyarch_daemon.sidecar import SidecarRole
from comfreyarch_daemon.supervision import failure_reports

# Exit status for settings that are invalid or name an address in use.
EXIT_SETTINGS = 2
# Reference counting frees most garbage, so rarer collections save time.
GC_THRESHOLDS = (20_000, 20, 20)
app = typer.Typer(add_completion=False)


class Daemon:
    """Run a node, its role and the operators' HTTP server."""

    __slots__ = ('node', 'operators', 'role', 'stopped')

    def __init__(self, settings: Settings, key: bytes) -> None:
        """Create all components; none of them runs before ``start``."""
        self.node = Node(settings, key)
        self.role: EntryRole | SidecarRole
        if settings.upstream is not None:
            self.role = SidecarRole(self.node, settings.upstream)
        else:
            self.role = EntryRole(self.node)
        self.node.attach(self.role)
        self.operators = OperatorServer(self.node, self.role)
        self.stopped = Event()

    def start(self) -> None:
        """Start all components."""
        self.operators.start()
        self.node.start()
        self.role.start()

    def close(self) -> None:
        """Stop all components."""
        self.role.close()
        self.node.close()
        self.operators.close()
        self.stopped.set()

    def stop_gracefully(self) -> None:
        """Drain the requests in flight for at most ``drain_s``, then stop."""
        log_change('stopping')
        self.role.drain()
        self.close()
        log_change('stopped')


def start_daemon(settings: Settings, key: bytes) -> Daemon:
    """Start a daemon that SIGTERM and SIGINT stop gracefully.

    :raises OSError: if an address is already in use.
    """
    daemon = Daemon(settings, key)
    failure_reports.report = make_log_reporter(daemon.node.metrics)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(
            signal_number, gevent.spawn, daemon.stop_gracefully
        )
    daemon.start()
    return daemon


@app.command()
def main(
    settings: Annotated[
        Path,
        typer.Option(help='The TOML file with the settings of this node.'),
    ],
    *,
    check: Annotated[
        bool,
        typer.Option('--check', help='Only check the settings.'),
    ] = False,
) -> None:
    """Run one node of comfreyarch: an entry or a sidecar."""
    try:
        loaded = load_settings(settings)
        key = load_fleet_key(loaded)
    except SettingsError as error:
        typer.echo(f'comfreyarchd: {error}', err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    if check:
        typer.echo(f'{settings}: correct')
        return
    configure_logging(loaded.node, loaded.log_level)
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        daemon = start_daemon(loaded, key)
    except OSError as error:
        typer.echo(
            f'comfreyarchd: cannot listen: {error}; stop the process on '
            'the address or change the settings',
            err=True,
        )
        raise typer.Exit(EXIT_SETTINGS) from error
    daemon.stopped.wait()
    sys.stderr.flush()


def run() -> None:
    """Run the console script ``comfreyarchd``."""
    app()
