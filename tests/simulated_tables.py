"""Simulate a store and entries that copy its tables, in virtual time."""

from dataclasses import replace
from functools import partial

from direct_world import RecordingLog
from virtual_time import VirtualClock

from comfreyarch_core.storeposition import (
    era_of,
    make_position,
    version_of,
)
from comfreyarch_core.tabletracker import TableRow, TableState
from comfreyarch_daemon import supervision, tablesync, tablewatch
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.tablerelay import TABLE_PART, TABLE_REQUEST
from comfreyarch_daemon.tablesource import HistoryGone, StoreCallFailed
from comfreyarch_daemon.tablesync import TableSync

TABLE = 'configuration'
KEY = 'config'
# Pauses of a simulated call while it waits.
STEP_S = 0.01
ANSWER_S = 0.004
SLOW_ANSWER_S = 0.8
ANSWER_TIMEOUT_S = 2.0
GOSSIP_INTERVAL_S = 0.5
GOSSIP_DELAY_S = 0.002


class Fault:
    """Describe how the store misbehaves during a time.

    :param how: silent, refusing, slow or dead (connections that were open at
        the start get no answers, new ones do).
    :param entries: numbers of the entries concerned, None for all.
    """

    def __init__(self, how, start, end, entries=None):
        self.how = how
        self.start = start
        self.end = end
        self.entries = entries

    def applies(self, entry, now):
        """Check whether the fault concerns an entry at a time."""
        is_concerned = self.entries is None or entry in self.entries
        return is_concerned and self.start <= now < self.end


class SimulatedStore:
    """Hold one table of one row per key, and the faults of the store."""

    def __init__(self, clock, faults):
        self.clock = clock
        self.faults = faults
        self.version = 1
        self.rows = {}
        self.oldest_known = 0
        self.era = 0
        self.copies = {}
        self.calls = 0

    def write(self, key, content):
        """Write a row."""
        self.version += 1
        self.rows[key] = TableRow(key, content, self.version)

    def save_copy(self, name):
        """Save a copy to restore."""
        self.copies[name] = (self.version, dict(self.rows))

    def restore(self, name):
        """Return to a copy; versions go back, and the era rises."""
        self.version, rows = self.copies[name]
        self.rows = dict(rows)
        self.era += 1

    def forget_history(self):
        """Forget all changes up to now."""
        self.oldest_known = self.version

    def state(self, after=-1):
        """Return the rows written after a version, with their positions."""
        rows = [row for row in self.rows.values() if row.version > after]
        rows.sort(key=lambda row: row.version)
        positioned = (
            replace(row, version=make_position(self.era, row.version))
            for row in rows
        )
        return TableState(
            tuple(positioned), make_position(self.era, self.version)
        )

    def fault(self, entry, how):
        """Find a fault of one kind that concerns an entry now."""
        for fault in self.faults:
            if fault.how == how and fault.applies(entry, self.clock.now):
                return fault
        return None


class SimulatedTable:
    """One entry's connection to the store, for one call at a time."""

    def __init__(self, store, entry):
        self.store = store
        self.clock = store.clock
        self.entry = entry
        self.opened_at = None
        self.generation = 0

    def close(self):
        """Close the connection; a call in flight fails."""
        self.opened_at = None
        self.generation += 1

    def read(self):
        """Read the whole table."""
        return self.call(0, lambda: self.store.state())

    def changes(self, after, wait_s):
        """Wait for changes."""

        def answer():
            store = self.store
            known = version_of(after)
            if era_of(after) != store.era or known > store.version:
                raise HistoryGone('restored')
            if known < store.oldest_known:
                raise HistoryGone('history')
            state = store.state(known)
            return state if state.rows else None

        return self.call(wait_s, answer)

    def is_silent(self):
        """Check whether the store does not answer on this connection."""
        if self.store.fault(self.entry, 'silent'):
            return True
        dead = self.store.fault(self.entry, 'dead')
        return bool(dead) and self.opened_at < dead.start

    def call(self, wait_s, answer):
        """Make one call and wait for its answer."""
        store, clock = self.store, self.clock
        store.calls += 1
        if self.opened_at is None:
            self.opened_at = clock.now
        generation = self.generation
        started_at = clock.now
        deadline = started_at + wait_s + ANSWER_TIMEOUT_S
        is_slow = bool(store.fault(self.entry, 'slow'))
        ready_at = started_at + (SLOW_ANSWER_S if is_slow else ANSWER_S)
        is_lost = False
        while True:
            # A call that was under way during a silence is never answered.
            is_lost = is_lost or self.is_silent()
            if self.generation != generation:
                raise StoreCallFailed('closed')
            if store.fault(self.entry, 'refusing'):
                self.close()
                raise StoreCallFailed('refused')
            if clock.now >= deadline:
                self.close()
                raise StoreCallFailed('timeout')
            if not is_lost and clock.now >= ready_at:
                found = answer()
                if found is not None:
                    return found
                if clock.now >= started_at + wait_s:
                    return TableState(
                        (), make_position(store.era, store.version)
                    )
            clock.sleep(STEP_S)


class SimulatedEntry:
    """One entry's copy of the table."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.log = RecordingLog()
        self.log.node = f'entry-{number}'
        self.applied = []
        self.paused_until = 0
        self.tables = TableSync(self.log, Metrics(), self.send)
        self.tables.add(TABLE, partial(fleet.open_table, number), self)
        self.tables.on_confirmed = self.send_tables

    @property
    def watch(self):
        """Return the watch of the table."""
        return self.tables.watches[TABLE]

    def apply_change(self, change):
        """Record the contents that come into force."""
        for row in change.rows:
            self.applied.append((self.fleet.clock.now, int(row.content)))

    def store_lost(self):
        """Do nothing."""

    def store_back(self):
        """Do nothing."""

    def run(self):
        """Send what this entry knows to the others, periodically."""
        clock = self.fleet.clock
        self.tables.start()
        while True:
            clock.sleep(GOSSIP_INTERVAL_S)
            self.send_tables()
            self.tables.report_ages()

    def send_tables(self):
        """Send what is known of the table to the others."""
        for peer in self.fleet.entries:
            if peer is not self and self.fleet.is_linked(self, peer):
                self.fleet.clock.spawn_for(
                    peer.number,
                    GOSSIP_DELAY_S,
                    peer.receive_tables,
                    self.tables.versions(),
                    self.tables.confirmations(),
                    self.address,
                )

    @property
    def address(self):
        """Return the entry's address."""
        return str(self.number)

    def send(self, message, address):
        """Send a message to a peer."""
        peer = self.fleet.entries[int(address)]
        if self.fleet.is_linked(self, peer):
            handlers = {
                TABLE_REQUEST: peer.tables.handle_request,
                TABLE_PART: peer.tables.handle_part,
            }
            self.fleet.clock.spawn_for(
                peer.number,
                GOSSIP_DELAY_S,
                handlers[message[0]],
                message,
                self.address,
            )

    def receive_tables(self, versions, confirmations, address):
        """Handle what a peer knows of the table."""
        self.tables.handle_confirmations(confirmations)
        self.tables.handle_versions(versions, address)


class SimulatedFleet:
    """Run entries with one store, and changes of its configuration.

    :param writes: time and content of each change, in order.
    """

    def __init__(self, monkeypatch, entries, faults, unlinked=()):
        self.clock = VirtualClock()
        for module in (supervision, tablesync, tablewatch):
            monkeypatch.setattr(module, 'gevent', self.clock)
            if hasattr(module, 'boot_time'):
                monkeypatch.setattr(module, 'boot_time', self.clock.boot_time)
        self.start = self.clock.now
        for fault in faults:
            fault.start += self.start
            fault.end += self.start
        self.store = SimulatedStore(self.clock, faults)
        self.unlinked = unlinked
        self.writes = []
        self.entries = [
            SimulatedEntry(self, number) for number in range(entries)
        ]

    def open_table(self, number):
        """Open an entry's connection to the table."""
        return SimulatedTable(self.store, number)

    def is_linked(self, sender, receiver):
        """Check whether datagrams pass between two entries."""
        return not {sender.number, receiver.number} & set(self.unlinked)

    def run(self, changes, end, gap_s=0.05):
        """Start all entries, write changes at the given times, and run.

        :param gap_s: time between the starts of two entries.
        """
        self.write(0)
        for number, entry in enumerate(self.entries):
            self.clock.spawn_for(number, number * gap_s, entry.run)
        for content, at in enumerate(changes, start=1):
            self.clock.spawn_later(at, self.write, content)
        self.clock.run_until(self.start + end)

    def freeze(self, numbers, start, end):
        """Suspend entries for a time."""

        def suspend():
            for number in numbers:
                self.clock.frozen_until[number] = self.start + end

        self.clock.spawn_later(start, suspend)

    def write(self, content):
        """Write the configuration."""
        self.writes.append((self.clock.now, content))
        self.store.write(KEY, str(content).encode())

    def delays(self, number, ignore_before=0):
        """List how long each change took to come into force at an entry.

        :returns: seconds by content; infinite for a change that never did.
        """
        applied = self.entries[number].applied
        return {
            content: min(
                (at for at, known in applied if known >= content),
                default=float('inf'),
            )
            - written_at
            for written_at, content in self.writes
            if written_at - self.start >= ignore_before
        }
