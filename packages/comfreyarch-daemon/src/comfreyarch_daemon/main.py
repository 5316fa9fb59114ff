"""Start comfreyarchd from its settings file."""

import gc
import signal
import sys
from pathlib import Path
from typing import Annotated

import gevent
import typer
from gevent.event import Event

from comfreyarch_daemon.entry import EntryRole
from comfreyarch_daemon.logs import log_change, start_logs
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.operations import OperatorsServer
from comfreyarch_daemon.settings import (
    Settings,
    SettingsError,
    load_fleet_key,
    load_settings,
)
from comfreyarch_daemon.sidecar import SidecarRole

EXIT_SETTINGS = 2
# Fewer collections: most garbage here is freed by reference counts.
GC_THRESHOLDS = (20_000, 20, 20)
app = typer.Typer(add_completion=False)


class Daemon:
    """Own a node, its role and its operators' address."""

    __slots__ = ('node', 'operators', 'role', 'stopped')

    def __init__(self, settings: Settings, key: bytes) -> None:
        """Build all parts; nothing runs before ``start``."""
        self.node = Node(settings, key)
        self.role: EntryRole | SidecarRole
        if settings.upstream is not None:
            self.role = SidecarRole(self.node, settings.upstream)
        else:
            self.role = EntryRole(self.node)
        self.node.attach(self.role)
        self.operators = OperatorsServer(self.node, self.role)
        self.stopped = Event()

    def start(self) -> None:
        """Start all parts."""
        self.operators.start()
        self.node.start()
        self.role.start()

    def close(self) -> None:
        """Stop all parts."""
        self.role.close()
        self.node.close()
        self.operators.close()
        self.stopped.set()

    def stop_gracefully(self) -> None:
        """Finish the work at hand within the settings' bound, then stop."""
        log_change('stopping')
        self.role.drain()
        self.close()
        log_change('stopped')


def start_daemon(settings: Settings, key: bytes) -> Daemon:
    """Start a daemon that a signal stops gracefully.

    :raises OSError: if an address is taken.
    """
    daemon = Daemon(settings, key)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gevent.spawn, daemon.stop_gracefully)
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
        read = load_settings(settings)
        key = load_fleet_key(read)
    except SettingsError as error:
        typer.echo(f'comfreyarchd: {error}', err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    if check:
        typer.echo(f'{settings}: correct')
        return
    start_logs(read.node, read.log_level)
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        daemon = start_daemon(read, key)
    except OSError as error:
        typer.echo(f'comfreyarchd: {error}; free the address', err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    daemon.stopped.wait()
    sys.stderr.flush()


def run() -> None:
    """Be the console script."""
    app()
