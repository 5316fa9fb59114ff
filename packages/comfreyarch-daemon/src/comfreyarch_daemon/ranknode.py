"""Run the sidecar of a rank: its agent, and the group's leader at times."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from comfreyarch_core.enginestate import EngineState
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.healthnews import HELLO
from comfreyarch_daemon.healthteller import HealthTeller
from comfreyarch_daemon.leadership import LeaderRow, MapRules, Term
from comfreyarch_daemon.mapleader import READINGS_A_SECOND, MapLeader
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.rankagent import RankAgent
from comfreyarch_daemon.rankmail import (
    COUNTS,
    LEAD,
    ORDER,
    STATE,
    CountNews,
    LeadNews,
    OrderNews,
    StateNews,
    read_counts,
    read_lead,
    read_order,
    read_state,
    write_counts,
    write_lead,
    write_order,
    write_state,
)
from comfreyarch_daemon.ranksettings import RankAdapter
from comfreyarch_daemon.running import Running, run_node
from comfreyarch_daemon.settings import SettingsError
from comfreyarch_daemon.settingsfile import SettingsFile
from comfreyarch_daemon.smallpages import MetricsPage, serve
from comfreyarch_daemon.tablewatch import StoreAway
from comfreyarch_daemon.upstreamcalls import boot_time

# A leader tells that it lives; ranks follow another one after a silence,
# the lowest first.
LEAD_S = 0.15
LEAD_SILENT_S = 0.55
LEAD_STEP_S = 0.25
# An engine may carry an order out so late; a process that is younger cannot
# know what the one before it has ordered.
LATE_ORDER_S = 15.0
# States are told to the ranks that may lead next, too.
CANDIDATES = 2
# How often the peers are listed until all ranks were heard.
PEERS_S = 3.0
PEERS_TRIES = 2
FIRST_LOOK_S = 0.5
# A state that did not change is told so often.
TELL_S = 0.3


@dataclass(slots=True)
class LeaderView:
    """Hold what a sidecar knows of its group's leader.

    :param born_at: when this process began.
    :param heard_at: when a leader was last heard.
    :param fence: the highest fence heard of.
    :param address: where the leader takes datagrams.
    :param greeted: fences of leaders that were told of this rank.
    :param not_before: this rank does not lead before.
    :param told: the state told last, without its step and requests.
    :param told_at: when it was told.
    """

    born_at: float
    heard_at: float
    fence: int = 0
    address: str = ''
    greeted: set[int] = field(default_factory=set)
    not_before: float = 0
    told: EngineState | None = None
    told_at: float = 0

    def is_young(self, now: float) -> bool:
        """Tell whether orders of the process before may still come.

        :returns: True for some seconds after the start.
        """
        return now - self.born_at < LATE_ORDER_S


class RankNode:
    """Own a rank's sidecar.

    :param addresses: datagram addresses of the group's sidecars, by rank.
    """

    __slots__ = (
        'adapter',
        'addresses',
        'agent',
        'datagrams',
        'file',
        'health',
        'heard',
        'lead',
        'leader',
        'leadership',
        'log',
        'metrics',
        'path',
        'peers',
        'rules',
        'settings',
        'stopped',
        'workers',
        'www',
    )

    def __init__(self, adapter: RankAdapter, path: Path) -> None:
        """Build all parts; nothing runs before ``start``."""
        settings = adapter.read_settings(path)
        self.adapter = adapter
        self.path = path
        self.settings = settings
        self.log = EventLog(settings.node)
        self.metrics = Metrics()
        self.datagrams = Datagrams(settings.peers, self.log)
        self.health = HealthTeller(settings.engine, self.datagrams, self.log)
        self.datagrams.handlers = {
            HELLO: self.health.heard_hello,
            STATE: self.heard_state,
            COUNTS: self.heard_counts,
            ORDER: self.heard_order,
            LEAD: self.heard_lead,
        }
        self.agent = RankAgent(
            adapter.open_engine(settings.engine),
            adapter.open_engine(settings.engine),
            self.told_state,
            self.told_counts,
            self.log,
            self.metrics,
        )
        self.www = serve(settings.metrics, MetricsPage(self.metrics))
        self.leadership = adapter.open_leadership(settings)
        self.peers = adapter.open_peers(settings)
        self.leader: MapLeader | None = None
        self.rules: MapRules | None = None
        self.lead = LeaderView(born_at=boot_time(), heard_at=boot_time())
        self.addresses: dict[int, str] = {}
        self.heard: dict[int, StateNews] = {}
        self.workers: list[gevent.Greenlet] = []
        self.stopped = Event()
        self.file = SettingsFile(path, self.reload)

    def start(self) -> None:
        """Start all parts."""
        self.log.write('start', engine=self.settings.engine)
        self.www.start()
        self.datagrams.start()
        self.agent.start()
        self.file.start()
        self.workers = [
            gevent.spawn(self.find_peers),
            gevent.spawn(self.follow),
        ]

    def close(self) -> None:
        """Stop all parts."""
        for worker in self.workers:
            worker.kill(block=False)
        if self.leader is not None:
            self.leader.close()
        self.file.close()
        self.agent.close()
        self.datagrams.close()
        self.www.stop_accepting()
        self.log.write('stop')
        self.stopped.set()

    def reload(self) -> None:
        """Read the settings anew; addresses stay until the next start."""
        try:
            settings = self.adapter.read_settings(self.path)
        except SettingsError as error:
            self.log.write('reload_failed', why=str(error))
            return
        self.log.write('reload', changed=settings != self.settings)

    def find_peers(self) -> None:
        """Make this sidecar known to its group, then learn of the others.

        All start together, so the others are looked up a little later.
        """
        own = self.await_engine()
        self.ask_peers(self.join, own)
        for _ in range(PEERS_TRIES):
            gevent.sleep(PEERS_S)
            if len(self.addresses) == own.size:
                break
            self.ask_peers(self.learn, own)
        self.log.write('peers_listed', peers=len(self.addresses))

    def join(self, own: EngineState) -> None:
        """Make this sidecar known.

        :raises StoreAway: where the table cannot be written.
        """
        self.peers.join(peer_name(own), self.settings.peers)

    def await_engine(self) -> EngineState:
        """Wait until the engine tells its group.

        :returns: its state.
        """
        while self.agent.state is None:
            gevent.sleep(FIRST_LOOK_S)
        return self.agent.state

    def ask_peers(
        self,
        call: Callable[[EngineState], None],
        own: EngineState,
    ) -> None:
        """Call the table of the sidecars until it answers."""
        while True:
            try:
                call(own)
            except StoreAway as error:
                self.log.write('peers_unknown', why=str(error))
                gevent.sleep(PEERS_S)
            else:
                return

    def learn(self, own: EngineState) -> None:
        """Look the addresses of the group's sidecars up.

        :raises StoreAway: where the table cannot be read.
        """
        members = self.peers.members()
        for rank in range(own.size):
            address = members.get(f'{own.group}/{rank}')
            if address is not None:
                self.addresses.setdefault(rank, address)

    def told_state(
        self,
        state: EngineState,
        asked_at: float,
        *,
        urgent: bool,
    ) -> None:
        """Pass the own engine's state on.

        :param asked_at: when the reading began, which numbers it.
        :param urgent: also where nothing but the step changed.
        """
        number = int(asked_at * READINGS_A_SECOND)
        news = StateNews(self.settings.engine, state, number)
        self.addresses[state.rank] = self.settings.peers
        if self.leader is not None:
            self.leader.heard_state(news)
        now = boot_time()
        self.health.take(state, now)
        plain = replace(state, step=0, running=0, waiting=0)
        recent = now - self.lead.told_at < TELL_S
        if plain == self.lead.told and recent and not urgent:
            return
        self.lead.told = plain
        self.lead.told_at = now
        message = write_state(news)
        for address in self.audience():
            self.datagrams.send(message, address)

    def audience(self) -> set[str]:
        """List who needs the own state.

        :returns: the leader and who may follow it.
        """
        heard = sorted(self.addresses)[:CANDIDATES]
        chosen = {self.addresses[rank] for rank in heard}
        if self.lead.address:
            chosen.add(self.lead.address)
        return chosen - {self.settings.peers}

    def told_counts(self, news: CountNews) -> None:
        """Pass the own counts on to the leader."""
        if self.leader is not None:
            self.leader.facts.heard_counts(news)
        elif self.lead.address:
            self.datagrams.send(write_counts(news), self.lead.address)

    def heard_state(self, message: list[Any], address: str) -> None:
        """Take another rank's state."""
        news = read_state(message)
        own = self.agent.state
        if own is None or news.state.group != own.group:
            return
        self.addresses[news.state.rank] = address
        self.heard[news.state.rank] = news
        if self.leader is not None:
            self.leader.heard_state(news)

    def heard_counts(self, message: list[Any], _address: str) -> None:
        """Take another rank's counts."""
        news = read_counts(message)
        leader = self.leader
        if leader is not None and leader.group == news.group:
            leader.facts.heard_counts(news)

    def heard_order(self, message: list[Any], address: str) -> None:
        """Take a leader's order."""
        news = read_order(message)
        own = self.agent.state
        if own is None or own.group != news.group or own.rank != news.rank:
            return
        self.follow_leader(news.fence, address)
        self.agent.obey(news)

    def heard_lead(self, message: list[Any], address: str) -> None:
        """Take word of a leader."""
        news: LeadNews = read_lead(message)
        own = self.agent.state
        if own is not None and own.group == news.group:
            self.follow_leader(news.fence, address)

    def follow_leader(self, fence: int, address: str) -> None:
        """Follow the leader with the highest fence."""
        if fence < self.lead.fence:
            return
        if fence > self.lead.fence:
            self.log.write('leader', fence=fence, address=address)
        self.lead.fence = fence
        self.agent.fence = max(self.agent.fence, fence)
        self.lead.address = address
        self.lead.heard_at = boot_time()
        if self.leader is not None and fence > self.leader.fence:
            self.leader.close()
            self.leader = None
            self.lead.not_before = boot_time() + LATE_ORDER_S

    def tell(self, news: OrderNews) -> None:
        """Bring an order to a rank's sidecar."""
        own = self.agent.state
        if own is not None and news.rank == own.rank:
            self.agent.obey(news)
            return
        address = self.addresses.get(news.rank)
        if address is not None:
            self.datagrams.send(write_order(news), address)

    def follow(self) -> None:
        """Tell that the own term lasts, or begin one after a silence."""
        while True:
            gevent.sleep(LEAD_S)
            own = self.agent.state
            if self.leader is not None and self.leader.stuck:
                self.resign(self.leader)
            if self.leader is not None:
                tell_lead(self, self.leader)
            elif own is not None and own.size > 1 and self.is_due(own):
                self.claim(own)

    def is_due(self, own: EngineState) -> bool:
        """Tell whether this rank should lead.

        :returns: False while a leader is heard, or a lower rank may follow.
        """
        now = boot_time()
        if now < self.lead.not_before:
            return False
        silent_s = now - self.lead.heard_at
        return silent_s > LEAD_SILENT_S + LEAD_STEP_S * own.rank

    def resign(self, leader: MapLeader) -> None:
        """Let another rank settle what this one cannot."""
        self.log.write('resigned', group=leader.group, fence=leader.fence)
        leader.close()
        self.leader = None
        self.lead.not_before = boot_time() + LATE_ORDER_S

    def may_live(self, former: LeaderRow, own: EngineState) -> bool:
        """Tell whether a leader that was never heard may be alive.

        It does not know this rank's address yet: it is told, once.

        :returns: True where its word should be awaited.
        """
        known = (
            former.fence <= self.lead.fence or former.fence in self.lead.greeted
        )
        if known or not former.address:
            return False
        self.lead.greeted.add(former.fence)
        number = int(boot_time() * READINGS_A_SECOND)
        news = StateNews(self.settings.engine, own, number)
        self.datagrams.send(write_state(news), former.address)
        return True

    def claim_after(self, former: LeaderRow, own: EngineState) -> int | None:
        """Claim the lead, unless another rank should lead.

        A process before this one may have led in this epoch: its orders may
        be carried out late, among them releases of the very steps that this
        one would hold.

        :returns: the fence of the term, None where there is none.
        :raises StoreAway: where the store does not say which.
        """
        term = Term(self.settings.peers, own.epoch)
        led_before = term in former.terms and self.lead.is_young(boot_time())
        if led_before or self.may_live(former, own):
            return None
        return self.leadership.claim(own.group, term, former)

    def claim(self, own: EngineState) -> None:
        """Try to become the leader."""
        self.lead.heard_at = boot_time()
        try:
            if self.rules is None:
                self.rules = self.adapter.map_rules(self.settings)
            former = self.leadership.read(own.group)
            fence = self.claim_after(former, own)
        except StoreAway as error:
            self.log.write('claim_failed', why=str(error))
            return
        if fence is None or self.rules is None:
            return
        self.log.write(
            'lead', group=own.group, fence=fence, former=former.fence
        )
        self.lead.fence = fence
        self.agent.fence = fence
        self.lead.address = self.settings.peers
        self.leader = MapLeader(
            own,
            fence,
            self.rules,
            self.leadership,
            self.tell,
            self.adapter.open_engine,
            self.log,
            self.metrics,
        )
        self.leader.remembered = self.agent.content
        self.leader.follows(former, self.addresses)
        for news in self.heard.values():
            if news.state.epoch == own.epoch and news.state.rank != own.rank:
                self.leader.seed(news)
        self.leader.start()
        tell_lead(self, self.leader)


def tell_lead(node: RankNode, leader: MapLeader) -> None:
    """Tell all sidecars of a node's group that it leads."""
    news = LeadNews(leader.group, leader.fence, node.settings.node)
    message = write_lead(news)
    for address in node.addresses.values():
        if address != node.settings.peers:
            node.datagrams.send(message, address)


def peer_name(state: EngineState) -> str:
    """Name a sidecar by its group and rank.

    :returns: the name of its row.
    """
    return f'{state.group}/{state.rank}'


def run_sidecar(adapter: RankAdapter, path: Path) -> None:
    """Run a rank's sidecar until a signal stops it."""

    def build() -> Running:
        node = RankNode(adapter, path)
        return Running(node.start, node.close, node.reload, node.stopped)

    run_node(build)
