"""Inject faults drawn from a seed, in sequence and overlapping."""

import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from soak.callers import HOST, CallerPool
from soak.fleet import (
    BOUNDS,
    GRACE_PERIOD_S,
    STORE_LINK,
    ZONES,
    Fleet,
)
from soak.server import COLD_START_S, CRASHING_PART

# Faults that are planned work; all others are disruptions.
PLANNED_WORK = frozenset(
    (
        'stop',
        'hup',
        'settings',
        'configure',
        'storm',
        'drain',
        'roll',
        'evacuate',
    )
)
# Faults that end or suspend a process.
LIFE_FAULTS = frozenset(('stop', 'roll', 'kill', 'kill-many', 'pause'))
MAX_FAULT_S = 4.0
# Pause between the configurations of a storm.
STORM_GAP_S = 0.25
ANSWER_FAULTS = ('errors', 'lost', 'hang', 'rubbish', 'cut', 'extra')
STORE_FAULTS = ('busy', 'silent', 'slow', 'lost', 'late', 'forget')
LINK_MODES = ('silent', 'deaf', 'mute', 'delay', 'refuse')
# Time from the request to evacuate a zone until no request may arrive there.
EVACUATION_S = BOUNDS['evacuationMs'] / 1000
# Callers send requests with a crashing part at least for this time.
CRASHING_PART_S = 8.0
# Servers announce a limit for a multiple of a fault's time, as it is checked only
# some seconds after it began.
LIMIT_DURATIONS = 4
MAX_LIMIT_PER_S = 4.0
# Requests per second that a cold server tolerates.
COLD_PER_S = 4.0
# Mean pause of a caller between requests during a burst.
BURST_PAUSE_S = 0.01
# A program can't handle SIGHUP until its interpreter runs the first line; a
# younger process would be ended by the signal.
INTERPRETER_START_S = 1.0


@dataclass(frozen=True, slots=True)
class Fault:
    """Record what was done to which program or link; times are Unix times."""

    what: str
    who: str
    at: float
    until: float

    @property
    def is_planned(self) -> bool:
        """Check whether the fault is planned work."""
        return self.what in PLANNED_WORK


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """Hold the API keys of a configuration and when the store accepted it."""

    at: float
    keys: frozenset[str]
    version: int = 0


@dataclass(frozen=True, slots=True)
class Evacuated:
    """Hold the evacuation of a zone; times are Unix times.

    :param at: time at which the store acknowledged the request.
    :param until: time before its withdrawal was sent.
    """

    zone: str
    at: float
    until: float


class FaultInjector:
    """Inject faults and record them.

    :param faults: all faults so far.
    :param published: all configurations so far.
    :param evacuations: all evacuations that have ended.
    :param evacuated: zones that are evacuated now.
    :param version: version of the latest configuration.
    """

    def __init__(self, fleet: Fleet, callers: CallerPool, seed: int) -> None:
        """Create the injector; no fault is injected yet."""
        self.fleet = fleet
        self.callers = callers
        self.rng = random.Random(seed)
        self.faults: list[Fault] = []
        self.published: list[PublishedConfiguration] = []
        self.evacuations: list[Evacuated] = []
        self.evacuated: set[str] = set()
        self.version = 0
        self.last_configuration: dict[str, Any] | None = None
        self.running: list[gevent.Greenlet] = []

    def fault_methods(self) -> dict[str, Callable[[float], None]]:
        """Map the names of all faults to their methods.

        :returns: name → method that injects the fault for some seconds.
        """
        return {
            'stop': self.stop_entry,
            'hup': self.send_hup,
            'settings': self.rewrite_settings,
            'storm': self.publish_storm,
            'configure': self.publish_configuration,
            'drain': self.drain_plain_server,
            'roll': self.roll_entries,
            'evacuate': self.evacuate_zone,
            'kill': self.kill_node,
            'kill-many': self.kill_all_nodes,
            'pause': self.pause_node,
            'kill-server': self.kill_server,
            'pause-server': self.pause_server,
            'trouble': self.fail_answers,
            'hold-server': self.hold_server,
            'limit-server': self.limit_server,
            'cool-server': self.cool_server,
            'link': self.impair_link,
            'reset': self.break_connections,
            'store': self.impair_store,
            'store-pause': self.pause_store,
            'store-silence': self.silence_store,
            'store-restore': self.restore_store,
            'reform': self.reform_group,
            'late-orders': self.delay_orders,
            'burst': self.raise_request_rate,
            'crashing-part': self.send_crashing_part,
        }

    def run(self, planned_s: float, mixed_s: float, gap_s: float) -> None:
        """Inject planned work alone, then all faults; wait for their end."""
        fault_methods = self.fault_methods()
        all_faults = sorted(fault_methods)
        for span_s, names in (
            (planned_s, sorted(PLANNED_WORK)),
            (mixed_s, all_faults),
        ):
            end = time.time() + span_s
            while time.time() < end:
                gevent.sleep(self.rng.expovariate(1 / gap_s))
                name = self.rng.choice(names)
                duration_s = self.rng.uniform(0.2, MAX_FAULT_S)
                self.running.append(
                    gevent.spawn(fault_methods[name], duration_s)
                )
        gevent.joinall(self.running)

    def record_fault(self, what: str, who: str, duration_s: float) -> None:
        """Record a fault that starts now."""
        now = time.time()
        self.faults.append(Fault(what, who, now, now + duration_s))

    def choose_node(self) -> str:
        """Choose an entry or a sidecar."""
        return self.rng.choice([*self.fleet.entries, *self.fleet.sidecars])

    def stop_entry(self, _duration_s: float) -> None:
        """Stop an entry gracefully; it is restarted."""
        self.stop_program(self.rng.choice(self.fleet.entries), 'stop')

    def roll_entries(self, duration_s: float) -> None:
        """Stop all entries one after another, with overlapping drains."""
        stops = []
        for name in self.fleet.entries:
            stops.append(gevent.spawn(self.stop_program, name, 'roll'))
            gevent.sleep(duration_s)
        gevent.joinall(stops)

    def stop_program(self, name: str, what: str) -> None:
        """Stop one process; kill it after the grace period."""
        program = self.fleet.programs[name]
        if program.stopping or not program.is_running():
            return
        program.stopping = True
        self.record_fault(what, name, GRACE_PERIOD_S + 1)
        process = program.process
        program.signal_process(signal.SIGTERM)
        gevent.sleep(GRACE_PERIOD_S)
        if program.process is process and program.is_running():
            program.signal_process(signal.SIGKILL)

    def send_hup(self, _duration_s: float) -> None:
        """Send SIGHUP to an entry or a sidecar."""
        name = self.choose_node()
        program = self.fleet.programs[name]
        if time.time() - program.started < INTERPRETER_START_S:
            return
        self.record_fault('hup', name, 1)
        program.signal_process(signal.SIGHUP)

    def rewrite_settings(self, _duration_s: float) -> None:
        """Change a settings file without sending SIGHUP."""
        path = self.fleet.programs[self.choose_node()].boot_file
        if path is not None:
            path.write_text(f'{path.read_text()} ')

    def publish_configuration(self, _duration_s: float = 0) -> None:
        """Publish a configuration that may add or remove an API key."""
        self.version += self.rng.randint(1, 5)
        spare = {'spare': 'team-b'} if self.rng.random() < 0.8 else {}
        keys = {'key-a': 'team-a', 'key-b': 'team-b', **spare}
        row = make_configuration(self.version, keys, self.rng)
        self.last_configuration = row
        at = self.fleet.write_row('op', 'config', row)
        self.published.append(
            PublishedConfiguration(at, frozenset(keys), self.version)
        )
        self.faults.append(Fault('configure', 'all', at, at))

    def publish_storm(self, duration_s: float) -> None:
        """Publish configurations in quick succession."""
        end = time.time() + duration_s
        while time.time() < end:
            self.publish_configuration()
            gevent.sleep(STORM_GAP_S)

    def drain_plain_server(self, _duration_s: float) -> None:
        """Drain a plain server and start a replacement."""
        plain = [
            server
            for server in self.fleet.servers
            if server.startswith('plain')
        ]
        name = self.rng.choice(plain)
        program = self.fleet.programs[name]
        if len(plain) < 2:
            return
        program.is_retired = True
        program.stopping = True
        self.record_fault('drain', name, 1)
        self.fleet.start_plain_server()
        program.signal_process(signal.SIGTERM)

    def evacuate_zone(self, duration_s: float) -> None:
        """Evacuate a zone until some time after no request may arrive there."""
        zone = self.rng.choice(ZONES)
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        at = self.fleet.write_row('op', f'evacuate/{zone}', {})
        lasting_s = EVACUATION_S + duration_s
        self.record_fault('evacuate', zone, lasting_s)
        gevent.sleep(lasting_s)
        self.evacuated.remove(zone)
        self.evacuations.append(Evacuated(zone, at, time.time()))
        self.fleet.write_row('op', f'evacuate/{zone}', None)

    def kill_node(self, _duration_s: float) -> None:
        """Kill an entry or a sidecar without warning."""
        self.kill_program(self.choose_node(), 'kill')

    def kill_program(self, name: str, what: str) -> None:
        """Kill one process; it is restarted."""
        program = self.fleet.programs[name]
        program.stopping = True
        self.record_fault(what, name, 1)
        program.signal_process(signal.SIGKILL)

    def kill_all_nodes(self, _duration_s: float) -> None:
        """Kill all entries and sidecars at the same time."""
        for name in (*self.fleet.entries, *self.fleet.sidecars):
            self.kill_program(name, 'kill-many')

    def pause_node(self, duration_s: float) -> None:
        """Suspend an entry or a sidecar."""
        self.pause_program(self.choose_node(), 'pause', duration_s)

    def pause_program(self, name: str, what: str, duration_s: float) -> None:
        """Suspend one process."""
        self.record_fault(what, name, duration_s)
        program = self.fleet.programs[name]
        program.signal_process(signal.SIGSTOP)
        gevent.sleep(duration_s)
        program.signal_process(signal.SIGCONT)

    def kill_server(self, _duration_s: float) -> None:
        """Kill a server process; it restarts with new identifiers."""
        name = self.rng.choice(self.fleet.servers)
        self.fleet.assign_new_identifiers(name)
        self.kill_program(name, 'kill-server')

    def pause_server(self, duration_s: float) -> None:
        """Suspend a server process."""
        name = self.rng.choice(self.fleet.servers)
        self.pause_program(name, 'pause-server', duration_s)

    def fail_answers(self, duration_s: float) -> None:
        """Make servers fail a share of their answers."""
        name = self.rng.choice(self.fleet.servers)
        kind = self.rng.choice(ANSWER_FAULTS)
        share = self.rng.uniform(0.1, 1)
        self.record_fault(f'trouble-{kind}', name, duration_s)
        program = self.fleet.programs[name]
        program.send_command({'do': 'trouble', 'how': kind, 'share': share})
        gevent.sleep(duration_s)
        program.send_command({'do': 'trouble', 'how': '', 'share': 0})

    def hold_server(self, duration_s: float) -> None:
        """Make servers refuse all requests, with the time to retry."""
        name = self.rng.choice(self.fleet.servers)
        self.record_fault('hold-server', name, duration_s)
        command = {'do': 'hold', 'for_s': duration_s}
        self.fleet.programs[name].send_command(command)

    def limit_server(self, duration_s: float) -> None:
        """Make servers announce a request limit, which may change."""
        name = self.rng.choice(self.fleet.servers)
        length_s = duration_s * LIMIT_DURATIONS
        self.record_fault('limit-server', name, length_s)
        program = self.fleet.programs[name]
        for _ in range(self.rng.randint(1, 2)):
            limit = round(self.rng.uniform(0.3, MAX_LIMIT_PER_S), 2)
            program.send_command({'do': 'limit', 'per_s': limit})
            gevent.sleep(length_s)
        program.send_command({'do': 'limit', 'per_s': 0})

    def cool_server(self, duration_s: float) -> None:
        """Make servers cold again, at least for as long as after a start."""
        name = self.rng.choice(self.fleet.servers)
        cold_s = COLD_START_S + duration_s
        self.record_fault('cool-server', name, cold_s)
        self.fleet.programs[name].send_command({'do': 'cold', 'for_s': cold_s})

    def impair_link(self, duration_s: float) -> None:
        """Impair one link."""
        name = self.rng.choice(self.fleet.links)
        mode = self.rng.choice(LINK_MODES)
        self.record_fault(f'link-{mode}', name, duration_s)
        links = self.fleet.programs['links']
        links.send_command({'do': 'mode', 'link': name, 'mode': mode})
        gevent.sleep(duration_s)
        links.send_command({'do': 'mode', 'link': name, 'mode': 'pass'})

    def break_connections(self, _duration_s: float) -> None:
        """Reset or blackhole open connections of a link."""
        name = self.rng.choice(self.fleet.links)
        kind = self.rng.choice(('reset', 'dead'))
        self.record_fault(f'link-{kind}', name, 1)
        share = self.rng.uniform(0.2, 1)
        command = {'do': kind, 'link': name, 'share': share}
        self.fleet.programs['links'].send_command(command)

    def impair_store(self, duration_s: float) -> None:
        """Make the store misbehave."""
        fault = self.rng.choice(STORE_FAULTS)
        self.record_fault(f'store-{fault}', 'store', duration_s)
        self.fleet.set_store_fault(fault)
        gevent.sleep(duration_s)
        self.fleet.set_store_fault('')

    def pause_store(self, duration_s: float) -> None:
        """Suspend the store."""
        self.pause_program('store', 'store-pause', duration_s)

    def silence_store(self, duration_s: float) -> None:
        """Make the store silent, and publish configurations afterwards."""
        self.record_fault('store-silent', 'store', duration_s)
        self.fleet.set_store_fault('silent')
        gevent.sleep(duration_s)
        self.fleet.set_store_fault('')
        self.publish_storm(2 * MAX_FAULT_S)

    def restore_store(self, duration_s: float) -> None:
        """Make the store unreachable, then return from an older copy.

        The operator writes the last configuration and the requests to evacuate
        zones again, servers do so by themselves, and changes follow.
        """
        self.record_fault('store-restored', 'store', duration_s)
        self.fleet.set_store_fault('busy')
        gevent.sleep(duration_s)
        self.fleet.set_store_fault('restore')
        self.fleet.set_store_fault('')
        if self.last_configuration is not None:
            self.fleet.write_row('op', 'config', self.last_configuration)
        for zone in ZONES:
            row: dict[str, Any] | None = {} if zone in self.evacuated else None
            self.fleet.write_row('op', f'evacuate/{zone}', row)
        self.publish_storm(2 * MAX_FAULT_S)

    def send_crashing_part(self, duration_s: float) -> None:
        """Let callers send different requests with a part that crashes servers."""
        part = f'{CRASHING_PART}{self.rng.getrandbits(32):08x}'
        lasting_s = duration_s + CRASHING_PART_S
        self.record_fault('crashing-part', part, lasting_s)
        self.callers.crashing_part = part
        gevent.sleep(lasting_s)
        if self.callers.crashing_part == part:
            self.callers.crashing_part = ''

    def list_groups(self) -> list[str]:
        """Return the names of the rank groups."""
        return [
            server
            for server in self.fleet.servers
            if server.startswith('group')
        ]

    def reform_group(self, _duration_s: float) -> None:
        """Break a rank group; it forms again in a new epoch."""
        name = self.rng.choice(self.list_groups())
        self.record_fault('reform', name, 3)
        self.fleet.programs[name].send_command({'do': 'reform'})

    def delay_orders(self, duration_s: float) -> None:
        """Make the engines of a group execute a share of their orders late."""
        name = self.rng.choice(self.list_groups())
        self.record_fault('late-orders', name, duration_s)
        program = self.fleet.programs[name]
        program.send_command(
            {'do': 'late', 'share': self.rng.uniform(0.1, 0.7)}
        )
        gevent.sleep(duration_s)
        program.send_command({'do': 'late', 'share': 0})

    def raise_request_rate(self, duration_s: float) -> None:
        """Raise the request rate of all callers."""
        self.record_fault('burst', 'all', duration_s)
        previous_pause_s, self.callers.pause_s = (
            self.callers.pause_s,
            BURST_PAUSE_S,
        )
        gevent.sleep(duration_s)
        # If bursts overlap, the previous pause may be that of another burst.
        self.callers.pause_s = max(previous_pause_s, BURST_PAUSE_S * 2)


def make_configuration(
    version: int,
    keys: dict[str, str],
    rng: random.Random,
) -> dict[str, Any]:
    """Build a configuration in the platform's format.

    :returns: the row that the operator writes.
    """
    plain = {'service': 'ledger', 'timeoutMs': 3000 + rng.randint(0, 500)}
    model = {'service': 'models', 'timeoutMs': 7000, 'targetGapMs': 25}
    routes = [
        {'name': 'draft', 'kind': 'streaming', 'resumable': True, **model},
        {'name': 'letter', 'kind': 'streaming', **model},
        {'name': 'look', 'kind': 'idempotent', **plain},
        {'name': 'book', 'kind': 'non_idempotent', **plain},
    ]
    for route in routes:
        route['host'] = HOST
        route['prefix'] = f'/{route["name"]}/'
        route['targetLatencyMs'] = 400
        route['attempts'] = 3 if route['name'] in {'draft', 'look'} else 1
    engine = {
        'slots': 6,
        'experts': 16,
        'rankCapacity': 6,
        'spare': 2,
        'step_ms': 20,
    }
    cold = {'coldStartS': COLD_START_S, 'coldPerS': COLD_PER_S}
    teams = sorted(set(keys.values()))
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'models', 'engine': engine, **cold},
            {'name': 'ledger', **cold},
        ],
        'tenants': [
            {
                'name': team,
                'apiKeys': [key for key in sorted(keys) if keys[key] == team],
            }
            for team in teams
        ],
    }


def affects_entry(fault: Fault, entry: str) -> bool:
    """Check whether a fault may leave an entry with outdated information.

    :returns: True for faults of the entry, its link, the store, the link to the
        store, or all programs.
    """
    return fault.who in {'store', 'all', entry, f'to-{entry}', STORE_LINK[0]}


def ends_or_suspends(fault: Fault, entry: str) -> bool:
    """Check whether a fault ends or suspends an entry's process.

    :returns: False for all other faults.
    """
    return fault.what in LIFE_FAULTS and fault.who in {'all', entry}
