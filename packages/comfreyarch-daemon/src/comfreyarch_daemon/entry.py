"""Role of an entry: accepts callers' requests and routes them to sidecars."""

import time
from typing import Any

import gevent

from comfreyarch_core import frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.routing import (
    Peer,
    choose_subset,
    leave_out_zones,
    make_router,
    subset_size,
)
from comfreyarch_daemon.callers import CallerServer
from comfreyarch_daemon.linkevacuation import LinkEvacuation
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.outcomerecorder import OutcomeRecorder
from comfreyarch_daemon.periodic import Ticker
from comfreyarch_daemon.requestexecutor import RequestExecutor
from comfreyarch_daemon.requests import RequestReader
from comfreyarch_daemon.settings import Settings
from comfreyarch_daemon.store import Instance
from comfreyarch_daemon.teamlimiter import EntryLocation, TeamLimiter

# Interval at which the quota shares of active teams are renewed.
QUOTA_RENEWAL_INTERVAL_S = 2.0
DRAIN_POLL_INTERVAL_S = 0.05
# Time before the end of a drain at which the open requests are ended.
LAST_ANSWERS_S = 0.5


class EntryRole:
    """Role of a node that serves callers.

    :param subset: sidecars that the entry links to.
    :param evacuation: evacuated zones, whose sidecars get no attempt.
    :param leaving: whether a planned stop is in progress.
    :param stopping: whether this process is ending.
    """

    __slots__ = (
        'caller_server',
        'config',
        'evacuation',
        'executor',
        'instances',
        'leaving',
        'limiter',
        'node',
        'outcomes',
        'router',
        'settings',
        'stopping',
        'subset',
        'ticker',
    )

    def __init__(self, node: Node) -> None:
        """Create the role of ``node``."""
        settings = node.settings
        self.node = node
        self.settings: Settings = settings
        self.router = make_router(settings.seed or settings.node)
        self.executor = RequestExecutor(node, self.router)
        self.evacuation = LinkEvacuation(self.router, node.metrics)
        self.outcomes = OutcomeRecorder(node.metrics)
        location = EntryLocation(settings.node, settings.availability_zone)
        self.limiter = TeamLimiter(location, self.send)
        self.caller_server = CallerServer(
            settings.callers,
            self.executor,
            self.limiter,
            self.outcomes,
        )
        self.config = ConfigSet()
        self.instances: dict[str, Instance] = {}
        self.subset: list[Peer] = []
        self.leaving = False
        self.stopping = False
        self.ticker = Ticker(
            self.renew, lambda: QUOTA_RENEWAL_INTERVAL_S, node.random_source
        )

    def start(self) -> None:
        """Start serving callers."""
        self.caller_server.start()
        self.ticker.start()

    def close(self) -> None:
        """Stop serving callers."""
        self.ticker.close()
        self.caller_server.close()

    def drain(self) -> None:
        """Refuse new requests and wait up to ``drain_s`` for the open ones.

        Those that are still open shortly before are answered with an error.
        """
        self.stopping = True
        self.mark_leaving(leaving=True)
        drain_s = self.settings.drain_s
        drain_deadline = time.monotonic() + drain_s
        last_answers_s = min(LAST_ANSWERS_S, drain_s / 2)
        self.wait_for_requests(drain_deadline - last_answers_s)
        self.executor.end_attempts()
        self.wait_for_requests(drain_deadline)

    def wait_for_requests(self, end: float) -> None:
        """Wait until no request is open, or until a time."""
        while self.caller_server.open_requests and time.monotonic() < end:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)

    def mark_leaving(self, *, leaving: bool) -> None:
        """Start or cancel a planned stop."""
        if leaving == self.leaving:
            return
        self.leaving = leaving
        self.caller_server.stopping = leaving
        log_change('entry leaving', leaving=leaving)

    def ready(self) -> bool:
        """Check whether requests can be served.

        :returns: False before the first configuration and while leaving.
        """
        return self.caller_server.reader is not None and not self.leaving

    def send(self, node: str, frame: frames.Frame) -> bool:
        """Send a frame to a linked node.

        :returns: False if there is no link to the node.
        """
        link = self.node.links.get(node)
        return link.send(frame) if link is not None else False

    def renew(self) -> None:
        """Renew the quota shares of the active teams, and report gauges."""
        self.limiter.renew(time.monotonic())
        self.evacuation.report()

    def apply_config(self, config: ConfigSet) -> None:
        """Apply a new configuration."""
        self.config = config
        self.limiter.apply_config(config)
        self.outcomes.apply_config(config)
        self.caller_server.reader = RequestReader(config)
        stops = {stop.entry for stop in config.stops.values()}
        self.mark_leaving(leaving=self.stopping or self.settings.node in stops)
        self.evacuation.apply(config.evacuated_zones())
        self.update_subset()

    def update_instances(self, instances: list[Instance]) -> None:
        """Apply a new instance list."""
        self.instances = {instance.node: instance for instance in instances}
        self.limiter.update_instances(instances)
        self.update_subset()

    def update_subset(self) -> None:
        """Choose the sidecars of every pool that the entry links to."""
        pools: dict[str, list[Peer]] = {}
        for instance in self.instances.values():
            upstream = self.config.upstreams.get(instance.upstream)
            if instance.role != 'sidecar' or upstream is None:
                continue
            pool = self.config.pool_of(upstream.group)
            peer = Peer(
                instance.node,
                instance.upstream,
                pool,
                instance.availability_zone,
            )
            pools.setdefault(pool, []).append(peer)
        size = subset_size(len(pools))
        chosen = [
            self.choose_pool_subset(pool, peers, size)
            for pool, peers in pools.items()
        ]
        self.subset = [peer for peers in chosen for peer in peers]
        self.router.update_peers(self.subset)

    def choose_pool_subset(
        self, pool: str, peers: list[Peer], size: int
    ) -> list[Peer]:
        """Choose the sidecars of one pool to link to.

        A service needs all of them, since its calls are routed by key. Those of
        evacuated zones are replaced by others, and stay linked for the attempts
        in flight there.

        :returns: the chosen peers.
        """
        if pool in self.config.service_groups:
            return peers
        usable = leave_out_zones(peers, self.router.evacuated_zones)
        evacuated = [
            peer
            for peer in peers
            if peer not in usable and peer.node in self.router.views
        ]
        zone = self.settings.availability_zone
        chosen = choose_subset(self.settings.node, zone, usable, size)
        return [*chosen, *evacuated]

    def wanted_peers(self) -> list[Instance]:
        """List the instances to keep links to.

        :returns: the sidecars of the subset and the teams' home entries.
        """
        names = {
            peer.node for peer in self.subset
        } | self.limiter.home_entries()
        return [self.instances[name] for name in names & self.instances.keys()]

    def handle_frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Handle a frame from a peer."""
        match frame:
            case frames.Beat():
                self.router.record_heartbeat(frame, time.monotonic())
            case frames.ShareAsk():
                self.grant_quota(link, frame)
            case frames.ShareGrant():
                self.limiter.apply_grant(frame, time.monotonic())
            case _:
                self.executor.deliver(frame)

    def grant_quota(self, link: Link, ask: frames.ShareAsk) -> None:
        """Answer another entry's request for a quota share."""
        name = link.remote.node
        instance = self.instances.get(name)
        zone = instance.availability_zone if instance is not None else name
        link.send(
            self.limiter.answer_share_request(name, zone, ask, time.monotonic())
        )

    def link_opened(self, link: Link) -> None:
        """Handle a new link; an entry has nothing to send on it."""

    def link_lost(self, link: Link) -> None:
        """Remove a lost link from routing and end its attempts."""
        if self.node.links.get(link.remote.node) is None:
            self.router.link_lost(link.remote.node)
        self.executor.link_lost(link)

    def make_heartbeat(self) -> frames.Beat:
        """Create a heartbeat.

        :returns: the heartbeat, with the number of open requests as load.
        """
        return frames.Beat(
            self.settings.node,
            self.node.identity.incarnation,
            self.node.configuration.revision(),
            self.leaving,
            running=self.caller_server.open_requests,
        )

    def status(self) -> dict[str, Any]:
        """Return the entry's state.

        :returns: plain values for the status page.
        """
        return {
            'leaving': self.leaving,
            'open_requests': self.caller_server.open_requests,
            'subset': sorted(peer.node for peer in self.subset),
            'evacuated_zones': sorted(self.router.evacuated_zones),
        }

    def report(self) -> dict[str, Any]:
        """Return the entry's outcomes and waits.

        :returns: plain values for the report page.
        """
        return self.outcomes.report()
