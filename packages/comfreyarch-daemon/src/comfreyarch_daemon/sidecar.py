"""Role of a sidecar, through which all calls to one upstream pass."""

import time
from typing import Any

import gevent

from comfreyarch_core import frames, suspects
from comfreyarch_core.configset import ConfigSet, RawSet
from comfreyarch_core.suspects import make_suspect_tracker
from comfreyarch_daemon.attemptserver import AttemptServer
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.membership import GroupMembership, make_rank_identity
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.periodic import Ticker
from comfreyarch_daemon.publishing import publish_change
from comfreyarch_daemon.settings import UpstreamSettings
from comfreyarch_daemon.store import Instance
from comfreyarch_daemon.upstreamclient import make_upstream_client
from comfreyarch_daemon.upstreamhealth import UpstreamHealth

HEALTH_CHECK_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
MS_PER_S = 1000


class SidecarRole:
    """Role of a node that stands beside an upstream.

    :param membership: the upstream's rank group, None for a service and
        before the group is configured.
    :param instance_leaving: whether the instance list marks this instance as
        leaving.
    :param stopping: whether this process is draining before its exit.
    """

    __slots__ = (
        'attempt_server',
        'config',
        'instance_leaving',
        'leaving',
        'membership',
        'node',
        'stopping',
        'suspect_tracker',
        'ticker',
        'upstream',
        'upstream_health',
    )

    def __init__(self, node: Node, upstream: UpstreamSettings) -> None:
        """Create the role of ``node`` for ``upstream``."""
        self.node = node
        self.upstream = upstream
        self.config = ConfigSet()
        self.suspect_tracker = make_suspect_tracker()
        self.membership: GroupMembership | None = None
        self.upstream_health = UpstreamHealth(
            upstream.url, node.send_heartbeats
        )
        self.attempt_server = AttemptServer(
            node,
            make_upstream_client(upstream.url),
            self.upstream_health,
            self.suspect_tracker,
        )
        self.attempt_server.on_suspect_message = self.handle_suspect_message
        self.leaving = False
        self.instance_leaving = False
        self.stopping = False
        self.ticker = Ticker(
            self.check_upstream,
            lambda: HEALTH_CHECK_INTERVAL_S,
            node.random_source,
        )

    def start(self) -> None:
        """Start serving."""
        self.attempt_server.start()
        self.ticker.start()

    def close(self) -> None:
        """Stop serving."""
        self.ticker.close()
        self.attempt_server.close()
        if self.membership is not None:
            self.membership.close()

    def check_upstream(self) -> None:
        """Check the upstream's health."""
        self.upstream_health.check()

    def drain(self) -> None:
        """Refuse new calls and wait up to ``drain_s`` for open ones."""
        self.stopping = True
        self.update_leaving()
        drain_deadline = time.monotonic() + self.node.settings.drain_s
        while self.has_open_work() and time.monotonic() < drain_deadline:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)

    def has_open_work(self) -> bool:
        """Check whether attempts or unsettled claims remain.

        :returns: True while any remain.
        """
        return bool(
            self.attempt_server.pending_calls
            or self.attempt_server.claim_driver.manager.keys
        )

    def ready(self) -> bool:
        """Check whether new calls are accepted.

        :returns: False if the upstream is not configured or down, or the
            sidecar is leaving.
        """
        known = self.upstream.name in self.config.upstreams
        return known and self.upstream_health.up and not self.leaving

    def update_leaving(self) -> None:
        """Start leaving if any source requires it, resume once none does.

        The sources are a configured stop, an evacuation of the zone, the
        instance list, and the end of this process. The rank of a sidecar that
        leaves stays in its group.
        """
        stops = {stop.upstream for stop in self.config.stops.values()}
        stop_configured = self.upstream.name in stops
        leaving = any(
            (
                stop_configured,
                self.config.is_evacuated(self.node.settings.availability_zone),
                self.instance_leaving,
                self.stopping,
            )
        )
        if leaving == self.leaving:
            return
        self.leaving = leaving
        log_change('sidecar leaving', leaving=leaving)
        if leaving:
            self.node.send_heartbeats()
            self.attempt_server.drain()
        else:
            self.attempt_server.resume()
        self.node.send_heartbeats()

    def apply_config(self, config: ConfigSet) -> None:
        """Apply a new configuration."""
        self.config = config
        upstream = config.upstreams.get(self.upstream.name)
        if upstream is not None:
            self.attempt_server.admission.slots = find_slots(
                config, upstream.group
            )
            if upstream.group in config.model_groups:
                self.join_group(config)
        published = suspects.Published(frozenset(config.quarantines))
        self.handle_suspect_message(published)
        self.update_leaving()

    def join_group(self, config: ConfigSet) -> None:
        """Join the rank group, or apply its new configuration."""
        if self.membership is None:
            rank_identity = make_rank_identity(config, self.upstream.name)
            if rank_identity is None:
                return
            self.membership = GroupMembership(
                self.node, rank_identity, self.upstream.url
            )
            self.membership.start()
        self.membership.configure(config)

    def update_instances(self, instances: list[Instance]) -> None:
        """Apply a new instance list, of which only this node's item matters."""
        own_instances = [
            instance
            for instance in instances
            if instance.node == self.node.identity.node
        ]
        self.instance_leaving = any(
            instance.leaving for instance in own_instances
        )
        self.update_leaving()

    def wanted_peers(self) -> list[Instance]:
        """List the instances to keep links to.

        :returns: the ranks of the group; entries open their links themselves.
        """
        return (
            self.membership.wanted_peers()
            if self.membership is not None
            else []
        )

    def handle_frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Handle a frame from a peer."""
        match frame:
            case frames.Call():
                self.attempt_server.accept(link, frame)
            case frames.Cancel(attempt):
                self.attempt_server.cancel(attempt)
            case frames.Window():
                self.attempt_server.add_credit(frame)
            case frames.Accused(digest, crashes):
                self.handle_suspect_message(
                    suspects.PeerReport(digest, crashes)
                )
            case frames.Beat():
                return
            case _:
                self.handle_group_frame(link, frame)

    def handle_group_frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Handle a frame of the rank group."""
        membership = self.membership
        if membership is None:
            self.node.metrics.count('frames_unexpected')
            return
        match frame:
            case frames.MapFrame(group, message) if self.is_own_group(group):
                membership.handle_message(link.remote.node, message)
            case frames.RankReport():
                membership.coordinator_role.report(frame)
            case frames.RankShare(_, share):
                membership.share = share
            case _:
                self.node.metrics.count('frames_unexpected')

    def is_own_group(self, group: str) -> bool:
        """Check whether a group is this sidecar's own."""
        return (
            self.membership is not None
            and self.membership.rank_identity.group == group
        )

    def handle_suspect_message(self, message: suspects.Message) -> None:
        """Pass a message to the suspect tracker and perform its outcomes."""
        for outcome in self.suspect_tracker.handle(message, time.monotonic()):
            match outcome:
                case suspects.NotifyPeers(digest, crashes):
                    self.broadcast(frames.Accused(digest, crashes))
                case suspects.Quarantine(digest):
                    log_change('request quarantined', digest=digest)
                    gevent.spawn(self.publish_quarantine, digest)

    def broadcast(self, accused: frames.Accused) -> None:
        """Send the crash count of a digest to all linked nodes."""
        for link in list(self.node.links.values()):
            link.send(accused)

    def publish_quarantine(self, digest: str) -> None:
        """Publish a quarantine, so that every node enforces it."""

        def change(raw: RawSet) -> RawSet:
            added = {digest: {'crashes': 2, 'node': self.node.identity.node}}
            table = {**raw.get('quarantines', {}), **added}
            return {**raw, 'quarantines': table}

        publish_change(self.node.store, change)
        self.node.poll()

    def link_opened(self, link: Link) -> None:
        """Send all known suspects on a new link."""
        for digest, crashes in self.suspect_tracker.crashes.items():
            link.send(frames.Accused(digest, crashes))

    def link_lost(self, link: Link) -> None:
        """Cancel the attempts of a lost link and notify the rank group."""
        self.attempt_server.cancel_link(link)
        if self.membership is not None:
            self.membership.link_lost(link)

    def make_heartbeat(self) -> frames.Beat:
        """Create a heartbeat.

        :returns: the heartbeat, with the load of this sidecar.
        """
        admission = self.attempt_server.admission
        queued = len(admission.queue)
        return frames.Beat(
            self.node.identity.node,
            self.node.identity.incarnation,
            self.node.configuration.revision(),
            self.leaving,
            self.upstream.name in self.config.upstreams
            and self.upstream_health.up,
            queued,
            len(admission.running),
            admission.slots,
            admission.wait_s(queued) * MS_PER_S,
            admission.service_s * MS_PER_S,
            self.step_ms(),
            self.membership.share if self.membership is not None else 1,
        )

    def step_ms(self) -> float:
        """Return the duration of the rank's last step.

        :returns: milliseconds, 0 for a service.
        """
        if (
            self.membership is None
            or self.membership.rank_role.last_status is None
        ):
            return 0
        return self.membership.rank_role.last_status.step_ms

    def status(self) -> dict[str, Any]:
        """Return the sidecar's state.

        :returns: plain values for the status page.
        """
        admission = self.attempt_server.admission
        upstream = self.config.upstreams.get(self.upstream.name)
        return {
            'upstream': self.upstream.name,
            'group': upstream.group if upstream is not None else '',
            'upstream_up': self.upstream_health.up,
            'leaving': self.leaving,
            'zone_evacuated': self.config.is_evacuated(
                self.node.settings.availability_zone
            ),
            'queued': len(admission.queue),
            'running': len(admission.running),
            'claims_open': len(self.attempt_server.claim_driver.manager.keys),
            **(self.membership.status() if self.membership is not None else {}),
        }

    def report(self) -> dict[str, Any]:
        """Return the sidecar's part of the report.

        :returns: the group's plan if this sidecar is the leader, else nothing.
        """
        if self.membership is None:
            return {}
        return self.membership.coordinator_role.explain()


def find_slots(config: ConfigSet, group: str) -> int:
    """Find the number of slots of the upstreams of a group.

    :returns: the slots, 1 for a group that is not configured.
    """
    service_group = config.service_groups.get(group)
    if service_group is not None:
        return service_group.slots
    model_group = config.model_groups.get(group)
    return model_group.slots if model_group is not None else 1
