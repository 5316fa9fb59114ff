"""Run the real programs and the simulated platform as processes.

Each instance has its own loopback address. Only processes that were started
here are signalled, by their process ids.
"""

import json
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from soak.server import CRASHED_STATUS

ZONES = ('za', 'zb', 'zc')
STORE = ('127.0.2.1', 8000)
STORE_LINK = ('127.0.2.2', 8000)
CALLERS_PORT = 8227
READY_PORT = 8220
SERVER_PORT = 8300
GRACE_PERIOD_S = 8
RESTART_DELAY_S = 0.4
# Capacities so small that datagrams wait for the link.
SIDECAR_LINK_MBPS = 0.4
ENTRY_LINK_MBPS = 4
SLOTS = 6
# Bounds of the first milestone's deployments, under the platform's names.
BOUNDS = {
    'gracePeriodS': GRACE_PERIOD_S,
    'retryBudgetRatio': 0.2,
    'retryWindowS': 10,
    'retryAllowance': 184,
    'evacuationMs': 5000,
    'coldOverage': 1.5,
    'coldAllowance': 5,
}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Hold the number of instances of each kind."""

    entries: int = 4
    groups: int = 1
    ranks: int = 4
    plain: int = 3


@dataclass(eq=False, slots=True)
class Program:
    """Supervise the process of one instance and restart it when it exits.

    :param boot_file: settings file of an entry or a sidecar.
    :param disturbed_until: when the latest fault of the process ends.
    :param stopping: the harness stopped or killed the process.
    :param is_retired: the process is not restarted any more.
    :param unexpected_exits: one message for each exit that the harness did
        not cause.
    """

    name: str
    command: list[str]
    folder: Path
    boot_file: Path | None = None
    process: subprocess.Popen[bytes] | None = None
    disturbed_until: float = 0
    started: float = 0
    stopping: bool = False
    is_retired: bool = False
    unexpected_exits: list[str] = field(default_factory=list)

    def start(self) -> None:
        """Start the process with its output in its own log file."""
        environ = {**os.environ, 'PYTHONUNBUFFERED': '1'}
        if self.boot_file is not None:
            environ['COMFREYARCH_BOOT'] = str(self.boot_file)
        self.stopping = False
        self.started = time.time()
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                self.command,
                env=environ,
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Check whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal_process(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def send_command(self, command: dict[str, Any]) -> None:
        """Send a command as a JSON line on standard input."""
        if self.process is None or self.process.stdin is None:
            return
        try:
            self.process.stdin.write(f'{json.dumps(command)}\n'.encode())
            self.process.stdin.flush()
        except OSError:
            # It was killed; after the restart it has no faults.
            return

    def extend_disturbance(self, duration_s: float = 0) -> None:
        """Extend the time during which the process is disturbed."""
        self.disturbed_until = max(
            self.disturbed_until, time.time() + duration_s
        )

    def supervise(self) -> None:
        """Restart the process whenever it exits; record unexpected exits."""
        while not self.is_retired:
            gevent.sleep(0.05)
            if self.is_running() or self.process is None:
                continue
            code = self.process.returncode
            if not self.stopping and code != CRASHED_STATUS:
                self.unexpected_exits.append(f'{self.name}: exit {code}')
            self.extend_disturbance(RESTART_DELAY_S)
            gevent.sleep(RESTART_DELAY_S)
            if not self.is_retired:
                self.start()


class Fleet:
    """Manage all processes of one run.

    :param programs: entries, sidecars, servers, store and links, by name.
    :param runs: file to which servers write the requests that they run.
    :param links: names of the links that faults can impair.
    :param server_count: number of servers so far; numbers the addresses.
    """

    def __init__(self, size: FleetSize, folder: Path) -> None:
        """Create the fleet without starting processes."""
        self.size = size
        self.folder = folder
        self.runs = folder / 'runs.jsonl'
        self.programs: dict[str, Program] = {}
        self.links: list[str] = []
        self.server_count = 0
        self.supervisors: list[gevent.Greenlet] = []

    @property
    def entries(self) -> list[str]:
        """Return the names of the entries."""
        return [f'entry-{number}' for number in range(self.size.entries)]

    @property
    def sidecars(self) -> list[str]:
        """Return the names of the sidecars."""
        return [name for name in self.programs if name.startswith('sidecar-')]

    @property
    def servers(self) -> list[str]:
        """Return the names of the server processes that are not retired."""
        return [
            name
            for name, program in self.programs.items()
            if name.startswith(('group-', 'plain-')) and not program.is_retired
        ]

    def start(self) -> None:
        """Start all processes, the simulated platform first."""
        python = sys.executable
        self.start_program(
            'store', [python, '-m', 'soak.store', format_address(STORE)]
        )
        self.start_program('links', [python, '-m', 'soak.link'])
        gevent.sleep(1)
        self.open_link('store', STORE_LINK, STORE)
        for number in range(self.size.groups):
            self.start_group(number)
        for _ in range(self.size.plain):
            self.start_plain_server()
        for number, name in enumerate(self.entries):
            boot_file = self.write_boot_file(
                name, f'127.0.1.{number + 1}', number, ''
            )
            self.start_program(name, role_command('entry'), boot_file)
            host = f'127.0.1.{number + 1}'
            port = CALLERS_PORT
            self.open_link(f'to-{name}', (host, port + 1), (host, port))

    def start_program(
        self,
        name: str,
        command: list[str],
        boot_file: Path | None = None,
    ) -> Program:
        """Start one program and supervise it."""
        program = Program(name, command, self.folder, boot_file)
        self.programs[name] = program
        program.start()
        program.extend_disturbance()
        self.supervisors.append(gevent.spawn(program.supervise))
        return program

    def open_link(
        self,
        name: str,
        listen: tuple[str, int],
        target: tuple[str, int],
    ) -> None:
        """Open a link that faults can impair."""
        self.links.append(name)
        self.programs['links'].send_command(
            {'do': 'open', 'link': name, 'listen': listen, 'target': target}
        )

    def write_boot_file(
        self, name: str, host: str, number: int, app: str
    ) -> Path:
        """Write the settings file of an instance.

        :param app: address of the upstream, empty for an entry.
        :returns: the path of the file.
        """
        path = self.folder / f'{name}.json'
        fields = {
            'nodeName': name,
            'ipAddress': host,
            'zone': ZONES[number % len(ZONES)],
            'internalPortRange': [7340, 7355],
            'bounds': BOUNDS,
            'limits': {
                'linkMbps': SIDECAR_LINK_MBPS if app else ENTRY_LINK_MBPS
            },
            'platform': {'address': format_address(STORE_LINK)},
            'listenAddresses': {
                'frontend': f'{host}:{CALLERS_PORT}',
                'ready': f'{host}:{READY_PORT}',
            },
            'service': 'models',
            'app': app,
        }
        path.write_text(json.dumps(fields))
        return path

    def start_group(self, number: int) -> None:
        """Start the servers of a rank group and their sidecars."""
        servers = []
        for rank in range(self.size.ranks):
            host = f'127.0.{10 + number}.{rank + 1}'
            servers.append(self.describe_server(host, 'models', rank))
            name = f'sidecar-{number}-{rank}'
            app = format_address((host, SERVER_PORT))
            boot_file = self.write_boot_file(name, host, rank, app)
            self.start_program(name, role_command('sidecar'), boot_file)
        self.start_servers(f'group-{number}', servers, f'g{number}')

    def start_plain_server(self) -> str:
        """Start one plain server under a new address.

        :returns: the name of its program.
        """
        number = self.server_count
        host = f'127.0.{100 + number // 200}.{number % 200 + 1}'
        server = self.describe_server(host, 'ledger', number)
        name = f'plain-{number}'
        self.start_servers(name, [server], '')
        return name

    def describe_server(
        self, host: str, service: str, number: int
    ) -> dict[str, Any]:
        """Describe one server and open the link to it."""
        self.server_count += 1
        listen_address, link_address = (
            (host, SERVER_PORT),
            (host, SERVER_PORT + 1),
        )
        self.open_link(f'to-{host}', link_address, listen_address)
        fields = {
            'service': service,
            'address': format_address(link_address),
            'zone': ZONES[number % len(ZONES)],
            'slots': SLOTS,
            'state': 'ready',
            'version': '1',
        }
        return {'listen': listen_address, 'fields': fields}

    def start_servers(
        self,
        name: str,
        servers: list[dict[str, Any]],
        group: str,
    ) -> None:
        """Start one process with the given servers."""
        self.start_program(name, self.make_servers_command(servers, group))

    def make_servers_command(
        self,
        servers: list[dict[str, Any]],
        group: str,
    ) -> list[str]:
        """Build the command of a server process, with new identifiers."""
        for server in servers:
            server['name'] = f'i-{random.getrandbits(40):x}'
        settings = {
            'servers': servers,
            'group': group,
            'store': f'http://{format_address(STORE)}',
            'runs': str(self.runs),
        }
        return [sys.executable, '-m', 'soak.server', json.dumps(settings)]

    def assign_new_identifiers(self, name: str) -> None:
        """Give the servers of a process new identifiers at its next start."""
        program = self.programs[name]
        settings = json.loads(program.command[-1])
        program.command = self.make_servers_command(
            settings['servers'], settings['group']
        )

    def write_row(
        self, table: str, key: str, row: dict[str, Any] | None
    ) -> float:
        """Write a row to the store with the rights of the operator.

        :param row: its content, None to remove it.
        :returns: the Unix time of the acknowledgement.
        """
        body = json.dumps({'table': table, 'key': key, 'row': row})
        client = HTTPClient.from_url(f'http://{format_address(STORE)}')
        try:
            client.post('/own/row', body).read()
        finally:
            client.close()
        return time.time()

    def set_store_fault(self, fault: str) -> None:
        """Start a fault of the store, or end it with an empty name."""
        client = HTTPClient.from_url(f'http://{format_address(STORE)}')
        try:
            client.post('/own/fault', json.dumps({'fault': fault})).read()
        finally:
            client.close()

    def close(self) -> None:
        """Kill all processes that were started here."""
        for program in self.programs.values():
            program.is_retired = True
        gevent.killall(self.supervisors)
        for program in self.programs.values():
            program.signal_process(signal.SIGCONT)
            program.signal_process(signal.SIGKILL)
        for program in self.programs.values():
            if program.process is not None:
                program.process.wait()


def format_address(pair: tuple[str, int]) -> str:
    """Format an address.

    :returns: ``host:port``.
    """
    return f'{pair[0]}:{pair[1]}'


def role_command(name: str) -> list[str]:
    """Build the command that starts an entry or a sidecar.

    :returns: the arguments, interpreter first.
    """
    return [sys.executable, '-m', 'comfreyarch_platform', name]
