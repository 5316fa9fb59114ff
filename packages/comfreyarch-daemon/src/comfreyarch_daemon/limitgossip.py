"""Exchange request limits, loans of shares, and permits between entries."""

import math
from collections.abc import Callable, Mapping
from typing import Any

import gevent
from gevent.event import Event

from comfreyarch_core.limitcontrol import LimitControl
from comfreyarch_core.limitshares import REPORT_INTERVAL_S
from comfreyarch_core.permits import Ask, Grant, SendDemand
from comfreyarch_core.upstreamlimits import LimitChange
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.limitmessages import (
    ASKS,
    GRANT,
    REPORT,
    decode_asks,
    decode_grant,
    decode_report,
    encode_asks,
    encode_grant,
    encode_report,
)
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.upstreamcalls import boot_time

# Limits on the reports sent by an entry, without and with those of changes; the
# time between two grows with the number of peers.
MAX_REPORTS_PER_S = 150.0
MAX_CHANGES_PER_S = 1000.0
# Least pause between two rounds.
MIN_PAUSE_S = 0.005


class LimitGossip:
    """Send an entry's reports, asks and permits to its peers, and apply theirs.

    :param listed: returns the listed upstreams by name.
    :param peers: addresses of the other entries, by node.
    :param on_changes: called with the limits that change, and the address of the
        peer that reported them.
    :param on_permits: called after permits arrived.
    :param wake: set to send a report, or to answer asks.
    :param has_changed: whether a report is to be sent before it is due.
    :param last_report_at: time of the last report.
    :param has_new_permits: whether ``on_permits`` is to be called.
    """

    __slots__ = (
        'control',
        'datagrams',
        'has_changed',
        'has_new_permits',
        'last_report_at',
        'listed',
        'on_changes',
        'on_permits',
        'peers',
        'wake',
        'worker',
    )

    def __init__(
        self,
        control: LimitControl,
        listed: Callable[[], Mapping[str, UpstreamEntry]],
        on_changes: Callable[[list[LimitChange], str], None],
        on_permits: Callable[[], None],
    ) -> None:
        """Start without peers."""
        self.control = control
        self.listed = listed
        self.on_changes = on_changes
        self.on_permits = on_permits
        self.datagrams: Datagrams | None = None
        self.peers: Mapping[str, str] = {}
        self.wake = Event()
        self.has_changed = False
        self.last_report_at = 0.0
        self.has_new_permits = False
        self.worker: gevent.Greenlet | None = None

    def share(self, datagrams: Datagrams, peers: Mapping[str, str]) -> None:
        """Set the socket and the peers; nothing is sent before ``start``."""
        self.datagrams = datagrams
        self.peers = peers
        datagrams.handlers[REPORT] = self.receive_report
        datagrams.handlers[ASKS] = self.receive_asks
        datagrams.handlers[GRANT] = self.receive_grant

    def start(self) -> None:
        """Start to send reports while there are limits."""
        self.worker = spawn_loop('limit gossip', self.run)

    def close(self) -> None:
        """Stop."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def run(self) -> None:
        """Send reports and answer asks when they are due, until closed."""
        while True:
            self.wake.wait(self.pause_s(boot_time()))
            self.wake.clear()
            self.send_due_report(boot_time())
            self.answer_asks()
            if self.has_new_permits:
                self.has_new_permits = False
                self.on_permits()
            gevent.sleep(MIN_PAUSE_S)

    def pause_s(self, now: float) -> float | None:
        """Compute the time to the next round.

        :returns: seconds, None if nothing is due before ``wake`` is set.
        """
        if not self.control.is_active(now):
            return None
        next_report_s = self.last_report_at + self.interval_s() - now
        return max(0, min(next_report_s, self.control.next_issue_s(now)))

    def interval_s(self) -> float:
        """Return the time between the last report and the next one.

        :returns: seconds, fewer after a change.
        """
        if self.has_changed:
            return len(self.peers) / MAX_CHANGES_PER_S
        return max(REPORT_INTERVAL_S, len(self.peers) / MAX_REPORTS_PER_S)

    def request_report(self) -> None:
        """Have a report sent before it is due."""
        self.has_changed = True
        self.wake.set()

    def send_due_report(self, now: float) -> None:
        """Send a report to all peers if it is due and there is anything to say."""
        if now < self.last_report_at + self.interval_s():
            return
        if not self.control.is_active(now):
            return
        self.has_changed = False
        self.last_report_at = now
        self.control.shares.interval_s = self.interval_s()
        report = encode_report(self.control.make_report(now))
        for address in self.peers.values():
            self.send(report, address)

    def send(self, message: list[Any], address: str | None) -> None:
        """Send a message, if there is a socket and the peer is known."""
        if self.datagrams is not None and address is not None:
            self.datagrams.send(message, address)

    def ask(self, upstreams: list[UpstreamEntry], demand: SendDemand) -> None:
        """Ask for permits for some of the upstreams that are limited."""
        by_holder: dict[str, list[Ask]] = {}
        now = boot_time()
        for holder, ask in self.control.make_asks(upstreams, demand, now):
            by_holder.setdefault(holder, []).append(ask)
        for holder, asks in by_holder.items():
            if holder == self.control.shares.node:
                for own in asks:
                    self.control.handle_ask(own, now)
                self.wake.set()
            else:
                self.send(encode_asks(asks, demand), self.peers.get(holder))

    def answer_asks(self) -> None:
        """Answer the asks as far as the shares of this entry allow."""
        for grant in self.control.issue(boot_time()):
            if grant.node == self.control.shares.node:
                self.apply_grant(grant)
            else:
                self.send(encode_grant(grant), self.peers.get(grant.node))

    def apply_grant(self, grant: Grant) -> None:
        """Keep permits, and have them used."""
        if self.control.stock.handle(grant, boot_time()):
            self.has_new_permits = True
            self.wake.set()

    def receive_report(self, message: list[Any], address: str) -> None:
        """Handle a peer's report.

        :raises ValueError: if the message is malformed.
        """
        report = decode_report(message)
        changes = self.control.handle_report(report, self.listed(), boot_time())
        if changes:
            self.on_changes(changes, address)

    def receive_asks(self, message: list[Any], _address: str) -> None:
        """Handle a peer's asks for permits.

        :raises ValueError: if the message is malformed.
        """
        now = boot_time()
        for ask in decode_asks(message):
            self.control.handle_ask(ask, now)
        self.answer_asks()
        if self.control.next_issue_s(now) < math.inf:
            self.wake.set()

    def receive_grant(self, message: list[Any], _address: str) -> None:
        """Handle permits.

        :raises ValueError: if the message is malformed.
        """
        self.apply_grant(decode_grant(message))

    def leave(self) -> None:
        """Let other entries hold the limits, before this one stops."""
        self.control.shares.leave()
        self.request_report()
