"""Run several entries with their gossip, and scripted upstreams, in one loop."""

from unittest.mock import patch

import gevent
from direct_world import ROUTES, RecordingLog, Upstream, parse, read_all
from gevent import socket

from comfreyarch_core.retryshare import RetryLimits
from comfreyarch_core.routetable import CallerLimits, Team, make_route_table
from comfreyarch_core.tabletracker import TableRow, TableState
from comfreyarch_daemon import directnode
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.tablelisteners import EntryAdapter
from comfreyarch_daemon.upstreamcalls import boot_time
from comfreyarch_platform.callheaders import PlatformHeaderCodec

ANY_ADDRESS = '127.0.0.1:0'


class FixedTable:
    """Serve a table that never changes."""

    def __init__(self, *keys):
        self.state = TableState(
            tuple(TableRow(key, b'x', 1) for key in keys), 1
        )

    def read(self):
        """Return the table."""
        return self.state

    def changes(self, after, wait_s):
        """Return no change after the wait."""
        gevent.sleep(wait_s)
        return TableState((), after)

    def close(self):
        """Do nothing."""


class Directory:
    """List the addresses at which the fleet's entries receive datagrams."""

    def __init__(self, fleet=None):
        self.fleet = fleet

    def join(self, node, address):
        """Do nothing; the fleet knows its entries."""

    def members(self):
        """Return the address of each running entry."""
        return self.fleet.addresses() if self.fleet else {}


class EntryFleet:
    """Run entries and one upstream for each script."""

    def __init__(self, entries, *scripts, path):
        self.path = path
        self.upstreams = {}
        for number, script in enumerate(scripts):
            upstream = Upstream(f'u{number}', script)
            upstream.arrived_at = []
            self.upstreams[upstream.name] = upstream
        path.write_text('')
        self.nodes = {}
        for number in range(entries):
            self.add(f'entry-{number}')

    def add(self, name):
        """Start an entry."""
        adapter = EntryAdapter(
            read_settings=lambda _path: make_settings(name),
            header_codec=PlatformHeaderCodec(),
            readiness_path='/ready',
            open_configuration=lambda _settings: FixedTable('routes'),
            open_upstreams=lambda _settings: FixedTable(*self.upstreams),
            open_peers=lambda _settings: Directory(self),
            open_sidecars=lambda _settings: Directory(),
            configuration_key='routes',
            decode_configuration=decode_routes,
            decode_upstream=lambda key, _content, _version: (
                self.upstreams[key].entry
            ),
        )
        log = RecordingLog()
        with patch.object(directnode, 'EventLog', lambda _node: log):
            node = directnode.DirectNode(adapter, self.path)
        self.nodes[name] = node
        node.start()
        return node

    def addresses(self):
        """Return the address at which each entry receives datagrams."""
        found = {}
        for name, node in self.nodes.items():
            host, port = node.datagrams.sock.getsockname()
            if port:
                found[name] = f'{host}:{port}'
        return found

    def __enter__(self):
        with gevent.Timeout(10):
            while not all(
                node.entry.is_ready()
                and len(node.entry.forwarder.selector.views)
                == len(self.upstreams)
                for node in self.nodes.values()
            ):
                gevent.sleep(0.01)
        for node in self.nodes.values():
            node.load_gossip.add_members(self.addresses())
            node.entry.forwarder.entry_count.seen_at = {}
        return self

    def __exit__(self, *_):
        for node in self.nodes.values():
            node.close()
        for upstream in self.upstreams.values():
            upstream.server.stop(timeout=0)

    def call(self, name, path='/safe/x'):
        """Send a request to an entry.

        :returns: status, headers and body, and the seconds it took.
        """
        began_at = boot_time()
        port = self.nodes[name].entry.server.server_port
        sock = socket.create_connection(('127.0.0.1', port))
        sock.settimeout(20)
        sock.sendall(
            (
                f'POST {path} HTTP/1.1\r\nHost: h.example\r\n'
                'X-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n'
                'Authorization: Bearer key\r\nConnection: close\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        )
        answer = parse(read_all(sock))
        return (*answer, boot_time() - began_at)

    def play(self, per_s, seconds, path='/safe/x'):
        """Send requests to the entries in turn, at a steady rate.

        :returns: what ``call`` returned for each.
        """
        names = list(self.nodes)
        calls = []
        for number in range(int(per_s * seconds)):
            name = names[number % len(names)]
            calls.append(gevent.spawn(self.call, name, path))
            gevent.sleep(1 / per_s)
        return [call.get(timeout=20) for call in calls]


def make_settings(name):
    """Create the settings of an entry."""
    return DirectSettings(
        node=name,
        availability_zone='z',
        callers=ANY_ADDRESS,
        readiness=ANY_ADDRESS,
        metrics=ANY_ADDRESS,
        peers=ANY_ADDRESS,
        store='',
        retries=RetryLimits(0.2, 1000, 10),
        grace_s=8,
        seed=sum(name.encode()),
    )


def decode_routes(_content):
    """Return the configuration of all entries."""
    return make_route_table(
        1, ROUTES, [], {'key': Team('team')}, CallerLimits()
    )


def most_in_window(times, window_s):
    """Return the largest number of times that one sliding window holds."""
    return max(
        (
            sum(1 for other in times if begin <= other < begin + window_s)
            for begin in times
        ),
        default=0,
    )
