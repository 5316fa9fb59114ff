"""Take configurations and upstreams from the store's tables."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from comfreyarch_core.routetable import RouteTable
from comfreyarch_core.tabletracker import Change, TableRow
from comfreyarch_core.upstreamlist import UpstreamEntry, make_upstream_list
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.headercodec import HeaderCodec
from comfreyarch_daemon.peerload import Peers
from comfreyarch_daemon.tablewatch import TableSource
from comfreyarch_daemon.upstreamcalls import boot_time


@dataclass(frozen=True, slots=True)
class Adapter:
    """Hold what a platform's adapter provides."""

    read_settings: Callable[[Path], DirectSettings]
    headercodec: HeaderCodec
    readiness_path: str
    open_configuration: Callable[[DirectSettings], TableSource]
    open_upstreams: Callable[[DirectSettings], TableSource]
    open_peers: Callable[[DirectSettings], Peers]
    open_sidecars: Callable[[DirectSettings], Peers]
    configuration_key: str
    decode_configuration: Callable[[bytes], RouteTable]
    decode_upstream: Callable[[str, bytes, int], UpstreamEntry]


class ConfigurationListener:
    """Take configurations from the store."""

    __slots__ = ('adapter', 'entry', 'log')

    def __init__(self, adapter: Adapter, entry: DirectEntry) -> None:
        """Hold where configurations go."""
        self.adapter = adapter
        self.entry = entry
        self.log = entry.log

    def changed(self, change: Change) -> None:
        """Take the configuration's row."""
        for row in change.rows:
            if row.key != self.adapter.configuration_key:
                continue
            try:
                table = self.adapter.decode_configuration(row.content)
            except ValueError as error:
                self.log.write('configuration_unreadable', why=str(error))
                continue
            self.entry.configured(table)

    def store_lost(self) -> None:
        """Go on with the configuration that is known."""

    def store_back(self) -> None:
        """Take what comes."""


class UpstreamsListener:
    """Take upstreams from the store."""

    __slots__ = ('adapter', 'entry', 'known', 'log', 'malformed')

    def __init__(self, adapter: Adapter, entry: DirectEntry) -> None:
        """Hold where upstreams go."""
        self.adapter = adapter
        self.entry = entry
        self.log = entry.log
        self.known = make_upstream_list()
        self.malformed: set[str] = set()

    def changed(self, change: Change) -> None:
        """Take rows of upstreams."""
        for row in change.rows:
            self.take(row)
        now = boot_time()
        for key in change.removed:
            self.known.drop(key, now)
            self.log.write(
                'upstream_removed',
                upstream=key,
                kept=key in self.known.entries,
            )
        self.entry.listed(self.known.entries.values())

    def take(self, row: TableRow) -> None:
        """Take one row; a malformed one is logged once."""
        key = row.key
        try:
            entry = self.adapter.decode_upstream(key, row.content, row.version)
        except ValueError as error:
            if key not in self.malformed:
                self.malformed.add(key)
                self.log.write('upstream_unreadable', why=str(error))
            return
        known = self.known.entries.get(key)
        self.known.change(entry)
        if known is None or known.leaving != entry.leaving:
            self.log.write(
                'upstream_listed',
                upstream=key,
                service=entry.service,
                address=entry.address,
                leaving=entry.leaving,
            )

    def store_lost(self) -> None:
        """Keep entries that lapse until the store is back."""
        self.known.store_lost()

    def store_back(self) -> None:
        """Begin the time in which lapsed entries come back."""
        self.known.store_back(boot_time())

    def tick(self) -> None:
        """Drop what is still missing."""
        gone = self.known.expire(boot_time())
        if gone:
            self.log.write('upstreams_lapsed', upstreams=gone)
            self.entry.listed(self.known.entries.values())
