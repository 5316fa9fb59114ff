"""Be an entry: take callers' requests and find a sidecar for each."""

import time
from typing import Any

import gevent

from comfreyarch_core import frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.routing import (
    Peer,
    choose_subset,
    make_router,
    subset_size,
)
from comfreyarch_daemon.answering import Answering
from comfreyarch_daemon.callers import CallersServer
from comfreyarch_daemon.limiting import Limiter, Place
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.reporting import Outcomes
from comfreyarch_daemon.requests import RequestReader
from comfreyarch_daemon.settings import Settings
from comfreyarch_daemon.store import Instance
from comfreyarch_daemon.ticking import Ticker
from comfreyarch_daemon.wire import Link

RENEW_S = 2.0
DRAIN_CHECK_S = 0.05


class EntryRole:
    """Do an entry's part of a node."""

    __slots__ = (
        'answering',
        'callers',
        'config',
        'instances',
        'leaving',
        'limiter',
        'node',
        'outcomes',
        'router',
        'settings',
        'subset',
        'ticker',
    )

    def __init__(self, node: Node) -> None:
        """Prepare the role of ``node``."""
        settings = node.settings
        self.node = node
        self.settings: Settings = settings
        self.router = make_router(settings.seed)
        self.answering = Answering(node, self.router)
        self.outcomes = Outcomes(node.metrics)
        place = Place(settings.node, settings.availability_zone)
        self.limiter = Limiter(place, self.send)
        self.callers = CallersServer(
            settings.callers,
            self.answering,
            self.limiter,
            self.outcomes,
        )
        self.config = ConfigSet()
        self.instances: dict[str, Instance] = {}
        self.subset: list[Peer] = []
        self.leaving = False
        self.ticker = Ticker(self.renew, lambda: RENEW_S, node.source)

    def start(self) -> None:
        """Start taking callers."""
        self.callers.start()
        self.ticker.start()

    def close(self) -> None:
        """Stop taking callers."""
        self.ticker.close()
        self.callers.close()

    def drain(self) -> None:
        """Refuse new requests and wait for the open ones, up to a bound."""
        self.turn_leaving(leaving=True)
        limit = time.monotonic() + self.settings.drain_s
        while self.callers.open_requests and time.monotonic() < limit:
            gevent.sleep(DRAIN_CHECK_S)

    def turn_leaving(self, *, leaving: bool) -> None:
        """Begin or end a planned stop."""
        if leaving == self.leaving:
            return
        self.leaving = leaving
        self.callers.stopping = leaving
        log_change('entry leaving', leaving=leaving)

    def ready(self) -> bool:
        """Tell whether requests can be served.

        :returns: False before the first configuration and when leaving.
        """
        return self.callers.reader is not None and not self.leaving

    def send(self, node: str, frame: frames.Frame) -> bool:
        """Send a frame to a linked node.

        :returns: False where there is no link.
        """
        link = self.node.links.get(node)
        return link.send(frame) if link is not None else False

    def renew(self) -> None:
        """Renew the shares of the teams at work."""
        self.limiter.renew(time.monotonic())

    def advanced(self, config: ConfigSet) -> None:
        """Take a new configuration."""
        self.config = config
        self.limiter.advanced(config)
        self.outcomes.advanced(config)
        self.callers.reader = RequestReader(config)
        stops = {stop.entry for stop in config.stops.values()}
        self.turn_leaving(leaving=self.settings.node in stops)
        self.choose_peers()

    def listed(self, instances: list[Instance]) -> None:
        """Take a new instance list."""
        self.instances = {one.node: one for one in instances}
        self.limiter.listed(instances)
        self.choose_peers()

    def choose_peers(self) -> None:
        """Choose the subset of sidecars of every group."""
        groups: dict[str, list[Peer]] = {}
        for one in self.instances.values():
            upstream = self.config.upstreams.get(one.upstream)
            if one.role != 'sidecar' or upstream is None:
                continue
            pool = self.config.pool_of(upstream.group)
            peer = Peer(
                one.node,
                one.upstream,
                pool,
                one.availability_zone,
            )
            groups.setdefault(pool, []).append(peer)
        size = subset_size(len(groups))
        chosen = [self.choose_group(peers, size) for peers in groups.values()]
        self.subset = [peer for peers in chosen for peer in peers]
        self.router.update_peers(self.subset)

    def choose_group(self, peers: list[Peer], size: int) -> list[Peer]:
        """Choose the subset of one pool; keyed services need them all.

        :returns: the peers to link to.
        """
        if peers[0].group in self.config.service_groups:
            return peers
        zone = self.settings.availability_zone
        return choose_subset(self.settings.node, zone, peers, size)

    def wanted(self) -> list[Instance]:
        """Tell which instances to keep links to.

        :returns: the subset's sidecars and the homes of busy teams.
        """
        names = {peer.node for peer in self.subset} | self.limiter.homes()
        return [self.instances[name] for name in names & self.instances.keys()]

    def frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Take a frame."""
        match frame:
            case frames.Beat():
                self.router.record_heartbeat(frame, time.monotonic())
            case frames.ShareAsk():
                self.asked(link, frame)
            case frames.ShareGrant():
                self.limiter.granted(frame, time.monotonic())
            case _:
                self.answering.deliver(frame)

    def asked(self, link: Link, ask: frames.ShareAsk) -> None:
        """Lend a share to another entry."""
        name = link.remote.node
        instance = self.instances.get(name)
        zone = instance.availability_zone if instance is not None else name
        link.send(self.limiter.asked(name, zone, ask, time.monotonic()))

    def opened(self, link: Link) -> None:
        """Take note of a new link."""

    def lost(self, link: Link) -> None:
        """Take a lost link out of routing and end its attempts."""
        if self.node.links.get(link.remote.node) is None:
            self.router.lost(link.remote.node)
        self.answering.lost(link)

    def beat(self) -> frames.Beat:
        """Tell life.

        :returns: the heartbeat.
        """
        return frames.Beat(
            self.settings.node,
            self.node.me.incarnation,
            self.node.configuration.revision(),
            self.leaving,
            running=self.callers.open_requests,
        )

    def status(self) -> dict[str, Any]:
        """Give the entry's state.

        :returns: plain values for the status page.
        """
        return {
            'leaving': self.leaving,
            'open_requests': self.callers.open_requests,
            'subset': sorted(peer.node for peer in self.subset),
        }

    def report(self) -> dict[str, Any]:
        """Give the entry's outcomes and waits.

        :returns: plain values for the report page.
        """
        return self.outcomes.report()
