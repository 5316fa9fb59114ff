"""Shared part of every node: links, configuration, instance list."""

import random
import secrets
import time

import gevent

from comfreyarch_core import frames
from comfreyarch_core.revisions import Advanced
from comfreyarch_daemon.configsync import ConfigSynchronizer
from comfreyarch_daemon.handshake import Identity, open_link
from comfreyarch_daemon.linklistener import LinkListener
from comfreyarch_daemon.linktransport import Link, LinkError
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.periodic import Ticker
from comfreyarch_daemon.roles import Role
from comfreyarch_daemon.settings import Settings
from comfreyarch_daemon.store import (
    Instance,
    StoreError,
    make_store,
)

HEARTBEAT_INTERVAL_S = 1.0
# Time without a frame after which a link is closed; between nodes of the same
# role, it is multiplied by SAME_ROLE_HEARTBEAT_DIVISOR.
LINK_TIMEOUT_S = 2.5
# Nodes of the same role send each other one heartbeat in this many.
SAME_ROLE_HEARTBEAT_DIVISOR = 4
DIAL_INTERVAL_S = 0.25
# Minimum pause after a failed dial; random jitter adds at most as much again.
DIAL_BACKOFF_S = 1.0
MIN_POLL_INTERVAL_S = 1.0
# Polls of the store per second by the whole fleet; exceeded only once the
# interval has grown to ``poll_s``.
FLEET_READS_PER_S = 200
MIN_PULL_INTERVAL_S = 0.2
INCARNATION_BYTES = 8


class Node:
    """Maintain the links, configuration and instance list of one process.

    :param backoff: earliest time of the next dial, by address.
    :param dialling: addresses that are being dialled.
    :param list_read: whether the instance list was read from the store; until
        then, lists from peers are accepted.
    :param last_pull_at: when a configuration was last pulled from a peer.
    """

    __slots__ = (
        'backoff',
        'configuration',
        'dialling',
        'heartbeats_sent',
        'identity',
        'instances',
        'last_pull_at',
        'links',
        'list_read',
        'listener',
        'metrics',
        'random_source',
        'role',
        'settings',
        'store',
        'store_up',
        'tickers',
    )

    def __init__(self, settings: Settings, key: bytes) -> None:
        """Create a node; call ``attach`` before ``start``.

        :param key: the fleet key.
        """
        self.settings = settings
        self.metrics = Metrics()
        self.store = make_store(settings.store, settings.store_timeout_s)
        self.configuration = ConfigSynchronizer(self.store, self.apply_revision)
        self.random_source = random.Random(settings.seed or settings.node)
        self.identity = Identity(
            settings.node,
            settings.role,
            secrets.token_hex(INCARNATION_BYTES),
            key,
            self.configuration.revision,
        )
        self.links: dict[str, Link] = {}
        self.instances: dict[str, Instance] = {}
        self.list_read = False
        self.backoff: dict[str, float] = {}
        self.dialling: set[str] = set()
        self.last_pull_at = float(0)
        self.store_up = True
        self.heartbeats_sent = 0
        self.role: Role | None = None
        self.listener = LinkListener(
            settings.link,
            self.identity,
            self.metrics,
            self.register_link,
        )
        self.tickers = [
            Ticker(self.poll, self.poll_interval_s, self.random_source),
            Ticker(self.dial, lambda: DIAL_INTERVAL_S, self.random_source),
            Ticker(
                self.send_heartbeats,
                lambda: HEARTBEAT_INTERVAL_S,
                self.random_source,
            ),
        ]

    def attach(self, role: Role) -> None:
        """Set the node's role."""
        self.role = role

    def start(self) -> None:
        """Start listening and start the timers."""
        self.listener.start()
        for ticker in self.tickers:
            ticker.start()
        log_change('node started', incarnation=self.identity.incarnation)

    def close(self) -> None:
        """Stop the timers and close all links."""
        for ticker in self.tickers:
            ticker.close()
        self.listener.close()
        for link in list(self.links.values()):
            link.close()
        self.store.close()

    def now(self) -> float:
        """Read the monotonic clock.

        :returns: seconds.
        """
        return time.monotonic()

    def require_role(self) -> Role:
        """Return the attached role.

        :returns: the role.
        :raises RuntimeError: if ``attach`` has not been called.
        """
        if self.role is None:
            raise RuntimeError(
                f'node {self.identity.node!r} has no role: '
                'call attach() before start()'
            )
        return self.role

    def poll_interval_s(self) -> float:
        """Compute the poll interval that bounds the reads of the whole fleet.

        :returns: seconds, at least ``MIN_POLL_INTERVAL_S`` unless the setting
            ``poll_s`` is lower, and at most ``poll_s``.
        """
        interval_s = len(self.instances) / FLEET_READS_PER_S
        return min(self.settings.poll_s, max(MIN_POLL_INTERVAL_S, interval_s))

    def poll(self) -> None:
        """Poll the store for the configuration and the instance list."""
        store_ok = self.configuration.try_poll()
        try:
            self.replace_instances(self.store.instances())
            self.list_read = True
        except StoreError:
            store_ok = False
        if not self.list_read:
            self.pull_from_peers()
        if store_ok != self.store_up:
            log_change('store', up=store_ok)
            self.store_up = store_ok
        self.metrics.gauge('store_up', store_ok)

    def replace_instances(self, instances: list[Instance]) -> None:
        """Replace the instance list with one that may be out of date."""
        self.instances = {instance.node: instance for instance in instances}
        self.require_role().update_instances(instances)

    def apply_revision(self, update: Advanced) -> None:
        """Apply a higher configuration revision."""
        self.metrics.gauge('revision', update.revision)
        log_change('revision in force', revision=update.revision)
        self.require_role().apply_config(update.config)
        self.send_heartbeats()

    def dial(self) -> None:
        """Close unresponsive links and dial the missing ones."""
        now = self.now()
        self.close_unresponsive(now)
        for address in self.addresses_to_dial(now):
            self.dialling.add(address)
            gevent.spawn(self.dial_address, address)

    def addresses_to_dial(self, now: float) -> list[str]:
        """List the addresses to dial now.

        A node that has neither a configuration nor a link dials the peers of
        its settings, too.

        :returns: wanted addresses that have no link, are not being dialled
            and are not in backoff.
        """
        wanted_addresses = {
            instance.link
            for instance in self.require_role().wanted_peers()
            if instance.node not in self.links
            and instance.node != self.identity.node
        }
        if self.configuration.revision() == 0 and not self.links:
            wanted_addresses.update(self.settings.peers)
        return [
            address
            for address in wanted_addresses - self.dialling
            if self.backoff.get(address, 0) <= now
        ]

    def dial_address(self, address: str) -> None:
        """Open a link, or back off with jitter on failure."""
        try:
            link = open_link(address, self.identity, self.metrics)
        except LinkError as error:
            self.metrics.count('dials_failed', reason=error.reason)
            pause_s = DIAL_BACKOFF_S * (1 + self.random_source.random())
            self.backoff[address] = self.now() + pause_s
            return
        finally:
            self.dialling.discard(address)
        self.register_link(link)

    def register_link(self, link: Link) -> None:
        """Register an authenticated link in place of the peer's previous one.

        The previous link is closed only if the peer has restarted since.
        Otherwise both nodes may have dialled each other at the same time, and
        the peer may still send on it.
        """
        name = link.remote.node
        previous = self.links.get(name)
        self.links[name] = link
        link.start(self.handle_frame, self.unregister_link)
        if previous is not None:
            if previous.remote.incarnation != link.remote.incarnation:
                previous.close()
        link.send(self.require_role().make_heartbeat())
        self.require_role().link_opened(link)
        self.check_peer_revision(link, link.remote.revision)

    def unregister_link(self, link: Link) -> None:
        """Remove a closed link."""
        name = link.remote.node
        if self.links.get(name) is link:
            self.links.pop(name)
        if self.role is not None:
            self.role.link_lost(link)

    def handle_frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Handle the frames common to all roles; pass on the others."""
        match frame:
            case frames.Pull():
                known = self.instances.values()
                link.send(self.configuration.answer_pull(frame, known))
                return
            case frames.Pushed():
                self.handle_push(frame)
                return
            case frames.Beat():
                self.check_peer_revision(link, frame.revision)
        self.require_role().handle_frame(link, frame)

    def handle_push(self, frame: frames.Pushed) -> None:
        """Apply a pushed configuration.

        Its instance list is used only until one was read from the store.
        """
        self.configuration.apply_push(frame)
        if frame.instances and not self.list_read:
            self.replace_instances(
                [Instance(**fields) for fields in frame.instances]
            )

    def pull_from_peers(self) -> None:
        """Pull configuration and instance list from all linked nodes."""
        pull = frames.Pull(self.configuration.revision(), listing=True)
        for link in list(self.links.values()):
            link.send(pull)

    def check_peer_revision(self, link: Link, revision: int) -> None:
        """Pull the configuration from a peer that has a higher revision."""
        if self.configuration.follower.check_revision(revision) is None:
            return
        now = self.now()
        if now - self.last_pull_at < MIN_PULL_INTERVAL_S:
            return
        self.last_pull_at = now
        link.send(frames.Pull(self.configuration.revision()))

    def link_bytes(self) -> int:
        """Sum the bytes sent and received on the open links.

        :returns: bytes; closed links are not counted.
        """
        return sum(
            link.sent_bytes + link.received_bytes
            for link in self.links.values()
        )

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all linked nodes that are due one."""
        beat = self.require_role().make_heartbeat()
        self.heartbeats_sent += 1
        for link in list(self.links.values()):
            if self.heartbeats_sent % self.heartbeat_divisor(link) == 0:
                link.send(beat)

    def close_unresponsive(self, now: float) -> None:
        """Close the links on which no frame arrived within the timeout."""
        for link in list(self.links.values()):
            if (
                now - link.last_received_at
                > LINK_TIMEOUT_S * self.heartbeat_divisor(link)
            ):
                link.fail('silent')

    def heartbeat_divisor(self, link: Link) -> int:
        """Compute how many heartbeat intervals pass per heartbeat on a link.

        Calls pass between entries and sidecars only, so nodes of the same
        role need each other's heartbeats less often.

        :returns: 1 if every heartbeat is sent.
        """
        return (
            SAME_ROLE_HEARTBEAT_DIVISOR
            if link.remote.role == self.identity.role
            else 1
        )
