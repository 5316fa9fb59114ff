"""Run a rank's sidecar: its engine agent and, if elected, the map leader.

This sidecar runs on a platform. comfreyarchd uses ``sidecar`` and
``membership`` instead.
"""

from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from comfreyarch_core.enginestate import EngineState
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.healthreporter import HealthReporter
from comfreyarch_daemon.leadership import LeaderRow, LeaderView, Term
from comfreyarch_daemon.mapleader import MapLeader
from comfreyarch_daemon.maprules import MapRulesReader
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.monitoringpages import MetricsPage, make_page_server
from comfreyarch_daemon.orderchannel import OrderChannel
from comfreyarch_daemon.peerlookup import PeerLookup
from comfreyarch_daemon.rankagent import RankAgent
from comfreyarch_daemon.rankdatagrams import (
    COUNTS,
    LEAD,
    ORDER,
    PACKED_COUNTS,
    RELAY,
    STATE,
    decode_announcement,
    decode_counts,
    decode_order,
    decode_packed_counts,
    decode_state,
    encode_counts,
    encode_packed_counts,
    encode_state,
)
from comfreyarch_daemon.ranksettings import RankAdapter
from comfreyarch_daemon.settingsfile import (
    SettingsFileWatcher,
    reread_settings,
)
from comfreyarch_daemon.sidecarmessages import (
    READINGS_PER_S,
    ExpertCounts,
    LeaderAnnouncement,
    RankOrder,
    StateReport,
)
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.tablesource import StoreCallFailed
from comfreyarch_daemon.upstreamcalls import boot_time

# Interval at which a leader announces itself.
ANNOUNCE_INTERVAL_S = 0.15
# Number of lowest ranks that receive states besides the leader, because one of
# them leads next.
LEADER_CANDIDATES = 3
# Interval at which a state is resent if nothing else than its step or request
# counts changed. It is less than that of two readings: a third one would make the
# rank seem silent.
STATE_RESEND_INTERVAL_S = 0.28


class RankNode:
    """Run the sidecar of a rank.

    :param addresses: datagram addresses of the group's sidecars, by rank.
    :param peer_states: the last state report of each other rank, and the time of
        its receipt.
    :param leader: the map leader while this sidecar leads the group, else None.
    :param rules: reads the rules for the group's maps.
    """

    __slots__ = (
        'adapter',
        'addresses',
        'agent',
        'datagrams',
        'health',
        'leader',
        'leader_view',
        'leadership',
        'log',
        'metrics',
        'metrics_server',
        'orders',
        'path',
        'peer_lookup',
        'peer_states',
        'rules',
        'settings',
        'settings_file',
        'stopped',
        'workers',
    )

    def __init__(self, adapter: RankAdapter, path: Path) -> None:
        """Build all parts without starting them."""
        settings = adapter.read_settings(path)
        self.adapter = adapter
        self.path = path
        self.settings = settings
        self.log = EventLog(settings.node)
        self.metrics = Metrics()
        self.datagrams = Datagrams(
            settings.peers, self.log, settings.link_bytes_per_s
        )
        self.health = HealthReporter(settings.engine, self.datagrams, self.log)
        self.addresses: dict[int, str] = {}
        self.orders = OrderChannel(
            self.datagrams,
            settings.peers,
            self.addresses,
            self.accept_order,
            self.log,
        )
        self.datagrams.handlers = {
            **self.health.handlers(),
            STATE: self.handle_state,
            COUNTS: self.handle_counts,
            PACKED_COUNTS: self.handle_packed_counts,
            ORDER: self.handle_order,
            RELAY: self.orders.handle_relayed_order,
            LEAD: self.handle_announcement,
        }
        self.agent = RankAgent(
            adapter.open_engine(settings.engine),
            adapter.open_engine(settings.engine),
            self.publish_state,
            self.publish_counts,
            self.log,
            self.metrics,
        )
        self.peer_lookup = PeerLookup(
            adapter.open_peers(settings),
            settings.peers,
            self.addresses,
            lambda: self.agent.state,
            self.log,
        )
        self.metrics_server = make_page_server(
            settings.metrics, MetricsPage(self.metrics)
        )
        self.leadership = adapter.open_leadership(settings)
        self.leader: MapLeader | None = None
        self.rules = MapRulesReader(
            lambda: adapter.read_map_rules(settings),
            lambda: self.leader.apply_rules if self.leader else None,
            self.log,
        )
        self.leader_view = LeaderView(
            process_started_at=boot_time(), leader_seen_at=boot_time()
        )
        self.peer_states: dict[int, tuple[StateReport, float]] = {}
        self.workers: list[gevent.Greenlet] = []
        self.stopped = Event()
        self.settings_file = SettingsFileWatcher(path, self.reload)

    def start(self) -> None:
        """Start all parts."""
        self.log.write('start', engine=self.settings.engine)
        self.metrics_server.start()
        self.datagrams.start()
        self.agent.start()
        self.settings_file.start()
        self.rules.start()
        self.workers = [
            spawn_loop('peer lookup', self.peer_lookup.run),
            spawn_loop('leadership', self.run_leadership),
        ]

    def close(self) -> None:
        """Stop all parts."""
        for worker in self.workers:
            worker.kill(block=False)
        if self.leader is not None:
            self.leader.close()
        self.rules.close()
        self.settings_file.close()
        self.agent.close()
        self.datagrams.close()
        self.metrics_server.stop_accepting()
        self.log.write('stop')
        self.stopped.set()

    def reload(self) -> None:
        """Read the settings file again and log whether it changed.

        The running parts keep their addresses until the next start.
        """
        settings = reread_settings(
            self.adapter.read_settings, self.path, self.log
        )
        if settings is None:
            return
        self.log.write('reload', changed=settings != self.settings)

    def publish_state(
        self,
        state: EngineState,
        read_started_at: float,
        *,
        urgent: bool,
    ) -> None:
        """Send the local engine's state to the leader and to candidates.

        :param read_started_at: time at which the reading started; the report's
            number is computed from it.
        :param urgent: send even if only the step or the request counts changed.
        """
        number = int(read_started_at * READINGS_PER_S)
        report = StateReport(self.settings.engine, state, number)
        self.addresses[state.rank] = self.settings.peers
        if self.leader is not None:
            self.leader.handle_state(report)
        now = boot_time()
        self.health.report_health(state, now)
        reduced = replace(state, step=0, running=0, waiting=0)
        is_recent = (
            now - self.leader_view.last_sent_at < STATE_RESEND_INTERVAL_S
        )
        if reduced == self.leader_view.last_sent and is_recent and not urgent:
            return
        self.leader_view.last_sent = reduced
        self.leader_view.last_sent_at = now
        message = encode_state(report)
        for address in self.state_recipients():
            self.datagrams.send(message, address)

    def state_recipients(self) -> set[str]:
        """List the addresses that receive the local engine's state.

        :returns: the leader and the ranks that may lead next.
        """
        ranks = sorted(self.addresses)[:LEADER_CANDIDATES]
        recipients = {self.addresses[rank] for rank in ranks}
        if self.leader_view.address:
            recipients.add(self.leader_view.address)
        return recipients - {self.settings.peers}

    def publish_counts(self, counts: ExpertCounts) -> None:
        """Send the local engine's expert counts to the leader."""
        if self.leader is not None:
            self.leader.handle_counts(counts)
        elif self.leader_view.address:
            encode = (
                encode_packed_counts
                if self.agent.is_in_large_group()
                else encode_counts
            )
            size = self.datagrams.send(encode(counts), self.leader_view.address)
            self.agent.pace_counts(size, self.settings.link_bytes_per_s)

    def handle_state(self, message: list[Any], address: str) -> None:
        """Process the state of another rank of this group."""
        report = decode_state(message)
        # A leader whose engine does not answer now still leads its group.
        known = self.leader or self.agent.state
        if known is None or report.state.group != known.group:
            return
        is_new = self.addresses.get(report.state.rank) != address
        self.addresses[report.state.rank] = address
        self.peer_states[report.state.rank] = (report, boot_time())
        if self.leader is not None:
            if is_new and not self.leader.must_resign:
                # The sender may be about to claim leadership.
                announcement = make_announcement(self, self.leader)
                self.orders.announce_to(announcement, address)
            self.leader.handle_state(report)

    def handle_counts(self, message: list[Any], _address: str) -> None:
        """Process the expert counts of another rank."""
        if self.leader is not None:
            self.leader.handle_counts(decode_counts(message))

    def handle_packed_counts(self, message: list[Any], _address: str) -> None:
        """Process the expert counts of another rank of a large group."""
        if self.leader is not None:
            self.leader.handle_counts(decode_packed_counts(message))

    def handle_order(self, message: list[Any], address: str) -> None:
        """Process a leader's order to this rank."""
        self.accept_order(decode_order(message), address)

    def accept_order(self, order: RankOrder, address: str) -> None:
        """Pass a leader's order to the local engine.

        :param address: datagram address of the leader.
        """
        own_state = self.agent.state
        if (
            own_state is None
            or own_state.group != order.group
            or own_state.rank != order.rank
        ):
            return
        if address != self.settings.peers:
            self.follow_leader(order.fence, address)
        self.agent.enqueue_order(order)

    def handle_announcement(self, message: list[Any], address: str) -> None:
        """Process a leader's announcement."""
        announcement: LeaderAnnouncement = decode_announcement(message)
        own_state = self.agent.state
        if own_state is not None and own_state.group == announcement.group:
            self.follow_leader(announcement.fence, address)

    def follow_leader(self, fence: int, address: str) -> None:
        """Follow a leader unless one with a higher fence was seen.

        If this sidecar led under a lower fence, it stops leading, and does not
        try to lead again before its own late orders have expired.
        """
        if fence < self.leader_view.fence:
            return
        if fence > self.leader_view.fence:
            self.log.write('leader', fence=fence, address=address)
            # The new leader needs the state of each rank to plan.
            self.leader_view.last_sent = None
        self.leader_view.contacted = None
        self.leader_view.has_sought_leader = True
        self.leader_view.fence = fence
        self.agent.fence = max(self.agent.fence, fence)
        self.leader_view.address = address
        self.leader_view.leader_seen_at = boot_time()
        if self.leader is not None and fence > self.leader.fence:
            self.leader.close()
            self.leader = None
            self.leader_view.delay_claim(boot_time())

    def run_leadership(self) -> None:
        """Announce this sidecar's term, or claim leadership after a timeout."""
        while True:
            gevent.sleep(ANNOUNCE_INTERVAL_S)
            if self.leader is not None and self.leader.must_resign:
                self.resign(self.leader)
            if self.leader is None:
                self.seek_leader(self.agent.state, boot_time())
            else:
                announce_leader(self, self.leader)

    def seek_leader(self, own_state: EngineState | None, now: float) -> None:
        """Contact a leader, or claim leadership, as far as that is due."""
        if own_state is None:
            self.leader_view.wait_for_engine(now)
        elif self.leader_view.is_contact_due(now):
            self.contact_leader(own_state)
        elif own_state.size > 1 and self.leader_view.is_claim_due(
            own_state.rank, now
        ):
            self.claim_leadership(own_state)

    def resign(self, leader: MapLeader) -> None:
        """Stop leading, so that another rank can complete the recovery."""
        self.log.write('resigned', group=leader.group, fence=leader.fence)
        leader.close()
        self.leader = None
        self.leader_view.delay_claim(boot_time())

    def contact_unseen_leader(
        self, former: LeaderRow, own_state: EngineState
    ) -> bool:
        """Begin to contact a leader from which nothing was received.

        Such a leader may be alive without knowing this rank's address. One at
        this sidecar's own address is its predecessor, which does not live.

        :returns: True if the state was sent, so that this rank should wait for
            that leader's announcement before it claims leadership.
        """
        is_known = (
            former.address == self.settings.peers
            or former.fence <= self.leader_view.fence
            or former.fence in self.leader_view.contacted_fences
        )
        if is_known or not former.address:
            return False
        self.leader_view.begin_contact(former)
        self.contact_leader(own_state)
        return True

    def contact_leader(self, own_state: EngineState) -> None:
        """Send the state to the leader whose answer is awaited."""
        leader = self.leader_view.contacted
        if leader is None:
            return
        now = boot_time()
        self.leader_view.contacts += 1
        self.leader_view.contacted_at = now
        report = StateReport(
            self.settings.engine, own_state, int(now * READINGS_PER_S)
        )
        self.datagrams.send(encode_state(report), leader.address)

    def try_claim(
        self, former: LeaderRow, own_state: EngineState, sought_at: float
    ) -> int | None:
        """Claim leadership unless another rank should lead.

        A leader that announced itself while the row was read is followed.

        If the predecessor of this process led in this epoch, its orders may
        still be executed late. They may release the very steps that this
        process would hold.

        :param sought_at: time at which the row was read, at the latest.
        :returns: the fence of the new term, None if this rank does not lead.
        :raises StoreCallFailed: if the store cannot be read, or the outcome of
            the claim is unknown.
        """
        if self.leader_view.leader_seen_at > sought_at:
            return None
        own = (self.settings.peers, own_state.epoch)
        has_led_before = any(
            term.is_of(*own) for term in former.terms
        ) and self.leader_view.is_recently_started(boot_time())
        if has_led_before or self.contact_unseen_leader(former, own_state):
            return None
        return self.leadership.claim(own_state.group, Term(*own), former)

    def claim_leadership(self, own_state: EngineState) -> None:
        """Try to become the leader, and start leading on success."""
        sought_at = boot_time()
        self.leader_view.leader_seen_at = sought_at
        self.leader_view.contacted = None
        self.leader_view.has_sought_leader = True
        try:
            rules = self.rules.current()
            if rules is None:
                # No term is needed for a service without experts.
                return
            former = self.leadership.read(own_state.group)
            fence = self.try_claim(former, own_state, sought_at)
        except StoreCallFailed as error:
            self.log.write('claim_failed', why=str(error))
            return
        if fence is None:
            return
        self.log.write(
            'lead', group=own_state.group, fence=fence, former=former.fence
        )
        self.leader_view.fence = fence
        self.agent.fence = fence
        self.leader_view.address = self.settings.peers
        self.leader = MapLeader(
            own_state,
            fence,
            rules,
            self.leadership,
            self.orders,
            self.adapter.open_engine,
            self.log,
            self.metrics,
        )
        self.leader.find_known_map = self.agent.saved_maps.find_current
        self.leader.set_former_leader(former, self.addresses)
        for report, received_at in self.peer_states.values():
            if (
                report.state.epoch == own_state.epoch
                and report.state.rank != own_state.rank
            ):
                self.leader.add_earlier_report(report, received_at)
        self.leader.start()
        self.leader_view.announcements = 0
        announce_leader(self, self.leader)
        gevent.spawn(
            self.peer_lookup.look_up_for_term, own_state, self.announce_again
        )

    def announce_again(self) -> None:
        """Announce a term that has begun to ranks that were looked up."""
        if self.leader is not None:
            self.leader_view.announcements = 0
            announce_leader(self, self.leader)


def make_announcement(node: RankNode, leader: MapLeader) -> LeaderAnnouncement:
    """Create the announcement of a term.

    :returns: the message to the other sidecars.
    """
    return LeaderAnnouncement(leader.group, leader.fence, node.settings.node)


def announce_leader(node: RankNode, leader: MapLeader) -> None:
    """Announce the leader to the sidecars that are due for it."""
    node.orders.announce(
        make_announcement(node, leader), node.leader_view.announcements
    )
    node.leader_view.announcements += 1
