"""Start comfreyarch and the stand-ins as processes."""

import hashlib
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent import subprocess as gevent_subprocess
from geventhttpclient import HTTPClient

WAIT_TIMEOUT_S = 20.0
# Ports that this process has given to programs.
GIVEN_PORTS: set[int] = set()
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 5.0
ZONES = ('poa-centro', 'poa-norte', 'canoas')
REGION = 'rs-sul'
FLEET_KEY = 'fleet-key-of-the-demo-only'


class WaitTimeoutError(RuntimeError):
    """Report that a condition did not hold in time."""


def free_port() -> int:
    """Return a free TCP port on loopback that was not returned before.

    The system may offer a port again until a program has bound it.
    """
    while True:
        with socket.socket() as probe_socket:
            probe_socket.bind(('127.0.0.1', 0))
            port = int(probe_socket.getsockname()[1])
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


def wait_until(
    condition: Callable[[], object],
    event: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> None:
    """Wait until a condition holds.

    :param event: what is waited for, for the error message.
    :raises WaitTimeoutError: if the timeout expires.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise WaitTimeoutError(
                f'timed out after {timeout_s} s waiting for {event}'
            )
        gevent.sleep(POLL_INTERVAL_S)


def http_request(
    port: int,
    method: str,
    path: str,
    content: object = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one HTTP request over a new connection.

    :param content: sent as JSON; None for an empty body.
    :returns: status and body; status 0 if there is no answer.
    """
    client = HTTPClient(
        '127.0.0.1',
        port,
        connection_timeout=5,
        network_timeout=60,
    )
    body = b'' if content is None else json.dumps(content).encode()
    try:
        response = client.request(method, path, body, headers or {})
        return int(response.status_code), bytes(response.read())
    except OSError:
        return 0, b''
    finally:
        client.close()


def fetch_json(port: int, path: str) -> Any:
    """Get a JSON page.

    :returns: the decoded page, an empty dictionary if the status is not 200.
    """
    status, body = http_request(port, 'GET', path)
    return json.loads(body) if status == 200 else {}


@dataclass(slots=True)
class Process:
    """Control one child process."""

    name: str
    child: 'subprocess.Popen[bytes]'

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.child.kill()
        self.child.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the suspended process."""
        self.child.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to terminate."""
        self.child.terminate()

    def close(self) -> None:
        """Terminate the process, or kill it after a timeout.

        A suspended process is resumed first to handle the signal.
        """
        if self.child.poll() is not None:
            return
        self.thaw()
        self.child.terminate()
        try:
            self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()


@dataclass(slots=True)
class FleetNode:
    """Hold the addresses and settings of a comfreyarch node.

    :param link: port for links of peers.
    :param operators: port of the operators' pages.
    :param callers: port for callers, 0 for a sidecar.
    :param upstream: name of the upstream, empty for an entry.
    :param settings: path of the settings file.
    :param process: the last process started for the node, if any.
    """

    name: str
    role: str
    link: int
    operators: int
    callers: int
    zone: str
    upstream: str
    settings: Path
    process: Process | None = None

    def instance_entry(self, *, leaving: bool = False) -> dict[str, Any]:
        """Return the node's entry in the instance list."""
        return {
            'node': self.name,
            'role': self.role,
            'link': f'127.0.0.1:{self.link}',
            'operators': f'127.0.0.1:{self.operators}',
            'availability_zone': self.zone,
            'region': REGION,
            'upstream': self.upstream,
            'leaving': leaving,
        }


@dataclass(slots=True)
class Fleet:
    """Manage all processes of one run.

    :param folder: folder for settings and logs.
    :param store: port of the store, 0 until it has started.
    :param engines: port of each rank's engine.
    :param ledgers: port of each ledger.
    """

    folder: Path
    processes: list[Process] = field(default_factory=list)
    nodes: dict[str, FleetNode] = field(default_factory=dict)
    store: int = 0
    engines: list[int] = field(default_factory=list)
    ledgers: list[int] = field(default_factory=list)

    def start_process(self, name: str, *command: str) -> Process:
        """Start a Python module that logs to a file in the folder."""
        log_file = (self.folder / f'{name}.log').open('ab')
        child = subprocess.Popen(
            [sys.executable, '-m', *command],
            stdout=log_file,
            stderr=log_file,
        )
        log_file.close()
        process = Process(name, child)
        self.processes.append(process)
        return process

    def run_module(self, *arguments: str) -> str:
        """Run a Python module to its end.

        :returns: its standard output.
        :raises subprocess.CalledProcessError: if it fails.
        """
        completed = gevent_subprocess.run(
            [sys.executable, '-m', *arguments],
            check=True,
            capture_output=True,
            text=True,
        )
        output: str = completed.stdout
        return output

    def start_store(self) -> Process:
        """Start the stand-in for the platform and wait until it answers."""
        if not self.store:
            self.store = free_port()
        process = self.start_process(
            'store',
            'standins.platform',
            str(self.store),
        )
        wait_until(
            lambda: http_request(self.store, 'GET', '/counts')[0] == 200,
            'the store',
        )
        return process

    def start_engines(
        self,
        placement: list[list[int]],
        step_ms: float,
    ) -> Process:
        """Start the stand-in for a rank group and wait until it answers."""
        self.engines = [free_port() for _ in placement]
        arguments = {
            'ports': self.engines,
            'step_ms': step_ms,
            'placement': placement,
        }
        process = self.start_process(
            'engines',
            'standins.engines',
            json.dumps(arguments),
        )
        for port in self.engines:
            wait_until(partial(fetch_json, port, '/health'), 'engines')
        return process

    def start_ledger(self, name: str) -> Process:
        """Start the stand-in for an application server."""
        port = free_port()
        self.ledgers.append(port)
        process = self.start_process(name, 'standins.ledger', str(port), name)
        wait_until(lambda: bool(fetch_json(port, '/health')), name)
        return process

    def add_node(
        self,
        name: str,
        role: str,
        zone: str,
        upstream: str = '',
        upstream_port: int = 0,
        **extra_settings: object,
    ) -> FleetNode:
        """Write a node's settings and add it to the instance list.

        :param upstream_port: port of the upstream's server.
        :returns: the node, not yet started.
        """
        key = self.folder / 'fleet.key'
        key.write_text(FLEET_KEY)
        node = FleetNode(
            name,
            role,
            free_port(),
            free_port(),
            free_port() if role == 'entry' else 0,
            zone,
            upstream,
            self.folder / f'{name}.toml',
        )
        settings_values = {
            'role': role,
            'node': name,
            'region': REGION,
            'availability_zone': zone,
            'link': f'127.0.0.1:{node.link}',
            'operators': f'127.0.0.1:{node.operators}',
            'store': f'http://127.0.0.1:{self.store}',
            'fleet_key_file': str(key),
            **extra_settings,
        }
        if role == 'entry':
            settings_values['callers'] = f'127.0.0.1:{node.callers}'
        text = ''.join(
            f'{name} = {json.dumps(setting)}\n'
            for name, setting in settings_values.items()
        )
        if upstream:
            url = f'http://127.0.0.1:{upstream_port}'
            text += f'[upstream]\nname = "{upstream}"\nurl = "{url}"\n'
        node.settings.write_text(text)
        self.nodes[name] = node
        self.update_instance_list([node])
        return node

    def update_instance_list(
        self, nodes: list[FleetNode], *, leaving: bool = False
    ) -> None:
        """Add or update nodes in the instance list."""
        entries = [node.instance_entry(leaving=leaving) for node in nodes]
        http_request(self.store, 'POST', '/admin/instances', {'put': entries})

    def start_node(self, node: FleetNode) -> Process:
        """Start the process of a node."""
        node.process = self.start_process(
            node.name,
            'comfreyarch_daemon',
            '--settings',
            str(node.settings),
        )
        return node.process

    def is_ready(self, node: FleetNode) -> bool:
        """Check whether a node is ready for work."""
        return http_request(node.operators, 'GET', '/ready')[0] == 200

    def wait_ready(self) -> None:
        """Wait until all nodes are ready and linked to the sidecars."""
        for node in self.nodes.values():
            wait_until(partial(self.is_ready, node), node.name)
        sidecars = {
            node.name for node in self.nodes.values() if node.role == 'sidecar'
        }
        for node in self.nodes.values():
            if node.role == 'entry':
                wait_until(
                    partial(self.has_links, node, sidecars),
                    f'links of {node.name}',
                )

    def has_links(self, node: FleetNode, expected_peers: set[str]) -> bool:
        """Check whether a node has links to all expected peers."""
        return expected_peers <= set(self.list_links(node))

    def list_links(self, node: FleetNode) -> list[str]:
        """Return the names of the peers that a node has links to."""
        found: list[str] = fetch_json(node.operators, '/status').get(
            'links', []
        )
        return found

    def close(self) -> None:
        """Stop all processes."""
        for process in reversed(self.processes):
            process.close()


def make_token(team: str) -> str:
    """Return a team's API token for demos and tests."""
    return f'token-of-{team}'


def hash_token(team: str) -> str:
    """Hash a team's API token for the configuration.

    :returns: SHA-256 in hexadecimal.
    """
    return hashlib.sha256(make_token(team).encode()).hexdigest()
