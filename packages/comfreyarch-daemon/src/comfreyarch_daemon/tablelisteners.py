"""Apply changes of the store's tables to a direct entry."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from pathlib import Path

from comfreyarch_core.routetable import RouteTable
from comfreyarch_core.tabletracker import Change, TableRow
from comfreyarch_core.upstreamlist import UpstreamEntry, make_upstream_list
from comfreyarch_daemon.directentry import DirectEntry
from comfreyarch_daemon.directsettings import DirectSettings
from comfreyarch_daemon.headercodec import HeaderCodec
from comfreyarch_daemon.loadgossip import PeerDirectory
from comfreyarch_daemon.tablesource import TableSource
from comfreyarch_daemon.upstreamcalls import boot_time


@dataclass(frozen=True, slots=True)
class EntryAdapter:
    """Hold what a platform provides to a direct entry.

    :param readiness_path: path at which the readiness page is served.
    :param open_configuration: opens the table that holds the configuration.
    :param open_upstreams: opens the table that lists the upstreams.
    :param open_peers: opens the directory of the entries.
    :param open_sidecars: opens the directory of the sidecars.
    :param configuration_key: key of the row that holds the configuration.
    :param decode_configuration: decodes the content of that row.
    :param decode_upstream: decodes key, content and version of a row of the
        upstreams.
    :param decode_evacuated_zone: decodes the key of a row of the configuration's
        table by which an operator requests the evacuation of a zone.
    """

    read_settings: Callable[[Path], DirectSettings]
    header_codec: HeaderCodec
    readiness_path: str
    open_configuration: Callable[[DirectSettings], TableSource]
    open_upstreams: Callable[[DirectSettings], TableSource]
    open_peers: Callable[[DirectSettings], PeerDirectory]
    open_sidecars: Callable[[DirectSettings], PeerDirectory]
    configuration_key: str
    decode_configuration: Callable[[bytes], RouteTable]
    decode_upstream: Callable[[str, bytes, int], UpstreamEntry]
    decode_evacuated_zone: Callable[[str], str | None] = lambda _key: None


class ConfigurationListener:
    """Apply configurations and evacuations from the store to an entry.

    :param on_services: called with the names of the configured services.
    """

    __slots__ = ('adapter', 'entry', 'log', 'on_services')

    def __init__(self, adapter: EntryAdapter, entry: DirectEntry) -> None:
        """Apply configurations to ``entry``."""
        self.adapter = adapter
        self.entry = entry
        self.log = entry.log
        self.on_services: Callable[[frozenset[str]], None] = ignore_services

    def apply_change(self, change: Change) -> None:
        """Apply the row of the configuration; log one that is unreadable."""
        self.apply_evacuations(change)
        for row in change.rows:
            if row.key != self.adapter.configuration_key:
                continue
            try:
                table = self.adapter.decode_configuration(row.content)
            except ValueError as error:
                self.log.write('configuration_unreadable', why=str(error))
                continue
            self.entry.apply_configuration(table)
            if self.entry.table is not None:
                self.on_services(self.entry.table.service_names())

    def apply_evacuations(self, change: Change) -> None:
        """Start the evacuations requested by rows; end those of removed rows.

        The content of the rows is ignored.
        """
        for row in change.rows:
            zone = self.adapter.decode_evacuated_zone(row.key)
            if zone is not None:
                self.entry.forwarder.zone_control.start(zone)
        for key in change.removed:
            zone = self.adapter.decode_evacuated_zone(key)
            if zone is not None:
                self.entry.forwarder.zone_control.end(zone, change.removed_by)

    def store_lost(self) -> None:
        """Do nothing; the last known configuration stays in force."""

    def store_back(self) -> None:
        """Do nothing; newer configurations are applied as they arrive."""


class UpstreamsListener:
    """Apply upstreams from the store to an entry.

    :param upstream_list: upstreams listed in the store, or kept until they
        lapse.
    :param malformed: keys of malformed rows that are logged already.
    :param unused: upstreams at whose address another one is used, by name.
    """

    __slots__ = (
        'adapter',
        'entry',
        'log',
        'malformed',
        'unused',
        'upstream_list',
    )

    def __init__(self, adapter: EntryAdapter, entry: DirectEntry) -> None:
        """Apply upstreams to ``entry``."""
        self.adapter = adapter
        self.entry = entry
        self.log = entry.log
        self.upstream_list = make_upstream_list()
        self.malformed: set[str] = set()
        self.unused: dict[str, str] = {}

    def apply_change(self, change: Change) -> None:
        """Apply changed and removed rows of upstreams."""
        for row in change.rows:
            self.apply_row(row)
        now = boot_time()
        for key in change.removed:
            self.upstream_list.drop(key, now)
            self.log.write(
                'upstream_removed',
                upstream=key,
                kept=key in self.upstream_list.listed,
            )
        self.use_upstreams()

    def use_upstreams(self) -> None:
        """Pass the usable upstreams to the entry, and log the others."""
        used = self.upstream_list.entries
        by_address = {entry.address: entry for entry in used.values()}
        unused = {
            entry.name: by_address[entry.address].name
            for entry in self.upstream_list.listed.values()
            if entry.name not in used
        }
        for name, other in unused.items():
            if self.unused.get(name) != other:
                entry = self.upstream_list.listed[name]
                self.log.write(
                    'upstream_unused',
                    upstream=name,
                    service=entry.service,
                    address=entry.address,
                    used=other,
                )
        self.unused = unused
        self.entry.replace_upstreams(used.values(), unused)

    def apply_services(self, services: Collection[str]) -> None:
        """Apply the names of the configured services."""
        if self.upstream_list.services != services:
            self.upstream_list.services = services
            self.use_upstreams()

    def record_misdirected(self, name: str) -> None:
        """Handle that another upstream answered at the address of one."""
        if self.upstream_list.record_misdirected(name, boot_time()):
            self.use_upstreams()

    def apply_row(self, row: TableRow) -> None:
        """Apply a changed row; a malformed one is logged once per key."""
        key = row.key
        try:
            entry = self.adapter.decode_upstream(key, row.content, row.version)
        except Exception as error:
            # Whatever one row holds, the others are applied.
            if key not in self.malformed:
                self.malformed.add(key)
                self.log.write('upstream_unreadable', why=str(error))
            return
        previous = self.upstream_list.listed.get(key)
        self.upstream_list.change(entry)
        if previous is None or previous.leaving != entry.leaving:
            self.log.write(
                'upstream_listed',
                upstream=key,
                service=entry.service,
                address=entry.address,
                leaving=entry.leaving,
            )

    def store_lost(self) -> None:
        """Record the outage, in which entries of live upstreams may lapse."""
        self.upstream_list.store_lost()

    def store_back(self) -> None:
        """Start the grace period for lapsed upstreams to be listed again."""
        self.upstream_list.store_back(boot_time())

    def tick(self) -> None:
        """Drop upstreams that were not listed again within the grace period."""
        lapsed = self.upstream_list.expire(boot_time())
        if lapsed:
            self.log.write('upstreams_lapsed', upstreams=lapsed)
            self.use_upstreams()


def ignore_services(_services: frozenset[str]) -> None:
    """Do nothing; the default for ``ConfigurationListener.on_services``."""
