"""Apply changes of the store's tables to a direct entry."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from comfreyarch_core.routetable import RouteTable
from comfreyarch_core.tabletracker import Change, TableRow
from comfreyarch_core.upstreamlist import UpstreamEntry, make_upstream_list
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.headercodec import HeaderCodec
from comfreyarch_daemon.loadgossip import PeerDirectory
from comfreyarch_daemon.tablewatch import TableSource
from comfreyarch_daemon.upstreamcalls import boot_time


@dataclass(frozen=True, slots=True)
class Adapter:
    """Hold what a platform adapter provides."""

    read_settings: Callable[[Path], DirectSettings]
    headercodec: HeaderCodec
    readiness_path: str
    open_configuration: Callable[[DirectSettings], TableSource]
    open_upstreams: Callable[[DirectSettings], TableSource]
    open_peers: Callable[[DirectSettings], PeerDirectory]
    open_sidecars: Callable[[DirectSettings], PeerDirectory]
    configuration_key: str
    decode_configuration: Callable[[bytes], RouteTable]
    decode_upstream: Callable[[str, bytes, int], UpstreamEntry]


class ConfigurationListener:
    """Apply configurations from the store to an entry."""

    __slots__ = ('adapter', 'entry', 'log')

    def __init__(self, adapter: Adapter, entry: DirectEntry) -> None:
        """Apply configurations to ``entry``."""
        self.adapter = adapter
        self.entry = entry
        self.log = entry.log

    def apply_change(self, change: Change) -> None:
        """Apply the row of the configuration; log one that is unreadable."""
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
        """Do nothing; the last known configuration stays in force."""

    def store_back(self) -> None:
        """Do nothing; newer configurations are applied as they arrive."""


class UpstreamsListener:
    """Apply upstreams from the store to an entry.

    :param known: upstreams listed in the store, or kept until they lapse.
    :param malformed: keys of malformed rows that are logged already.
    """

    __slots__ = ('adapter', 'entry', 'known', 'log', 'malformed')

    def __init__(self, adapter: Adapter, entry: DirectEntry) -> None:
        """Apply upstreams to ``entry``."""
        self.adapter = adapter
        self.entry = entry
        self.log = entry.log
        self.known = make_upstream_list()
        self.malformed: set[str] = set()

    def apply_change(self, change: Change) -> None:
        """Apply changed and removed rows of upstreams."""
        for row in change.rows:
            self.apply_row(row)
        now = boot_time()
        for key in change.removed:
            self.known.drop(key, now)
            self.log.write(
                'upstream_removed',
                upstream=key,
                kept=key in self.known.entries,
            )
        self.entry.listed(self.known.entries.values())

    def apply_row(self, row: TableRow) -> None:
        """Apply a changed row; a malformed one is logged once per key."""
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
        """Keep upstreams that lapse while the store is unreachable."""
        self.known.store_lost()

    def store_back(self) -> None:
        """Start the grace period for lapsed upstreams to be listed again."""
        self.known.store_back(boot_time())

    def tick(self) -> None:
        """Drop upstreams that were not listed again within the grace period."""
        lapsed = self.known.expire(boot_time())
        if lapsed:
            self.log.write('upstreams_lapsed', upstreams=lapsed)
            self.entry.listed(self.known.entries.values())
