"""Be the part that every node shares: links, configuration, instances."""

import random
import secrets
import time

import gevent

from comfreyarch_core import frames
from comfreyarch_core.revisions import Advanced
from comfreyarch_daemon.configuring import ConfigKeeper
from comfreyarch_daemon.handshake import Identity, open_link
from comfreyarch_daemon.linking import Listener
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.roles import Role
from comfreyarch_daemon.settings import Settings
from comfreyarch_daemon.store import (
    Instance,
    StoreError,
    make_store,
)
from comfreyarch_daemon.ticking import Ticker
from comfreyarch_daemon.wire import Link, LinkError

BEAT_S = 1.0
LINK_TIMEOUT_S = 2.5
PEER_PACE = 4
DIAL_S = 0.25
DIAL_BACKOFF_S = 1.0
MIN_POLL_S = 1.0
READS_A_SECOND = 200
PULL_GAP_S = 0.2
INCARNATION_BYTES = 8


class Node:
    """Keep links, configuration and instance list of one process."""

    __slots__ = (
        'backoff',
        'beats_sent',
        'configuration',
        'dialling',
        'instances',
        'links',
        'list_fresh',
        'listener',
        'me',
        'metrics',
        'pulled_at',
        'role',
        'settings',
        'source',
        'store',
        'store_up',
        'tickers',
    )

    def __init__(self, settings: Settings, key: bytes) -> None:
        """Prepare a node; ``attach`` a role before ``start``.

        :param key: the fleet key.
        """
        self.settings = settings
        self.metrics = Metrics()
        self.store = make_store(settings.store, settings.store_timeout_s)
        self.configuration = ConfigKeeper(self.store, self.advance)
        self.source = random.Random(settings.seed or settings.node)
        self.me = Identity(
            settings.node,
            settings.role,
            secrets.token_hex(INCARNATION_BYTES),
            key,
            self.configuration.revision,
        )
        self.links: dict[str, Link] = {}
        self.instances: dict[str, Instance] = {}
        self.list_fresh = False
        self.backoff: dict[str, float] = {}
        self.dialling: set[str] = set()
        self.pulled_at = float(0)
        self.store_up = True
        self.beats_sent = 0
        self.role: Role | None = None
        self.listener = Listener(
            settings.link,
            self.me,
            self.metrics,
            self.adopt,
        )
        self.tickers = [
            Ticker(self.poll, self.poll_interval_s, self.source),
            Ticker(self.dial, lambda: DIAL_S, self.source),
            Ticker(self.send_beats, lambda: BEAT_S, self.source),
        ]

    def attach(self, role: Role) -> None:
        """Give the node its role."""
        self.role = role

    def start(self) -> None:
        """Listen and start the timers."""
        self.listener.start()
        for ticker in self.tickers:
            ticker.start()
        log_change('node started', incarnation=self.me.incarnation)

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

    def need_role(self) -> Role:
        """Give the attached role.

        :returns: the role.
        :raises RuntimeError: before ``attach``.
        """
        if self.role is None:
            raise RuntimeError('no role yet; call attach before start')
        return self.role

    def poll_interval_s(self) -> float:
        """Give the poll interval, so that the fleet's reads stay bounded.

        :returns: seconds between ``MIN_POLL_S`` and the settings' value.
        """
        fair = len(self.instances) / READS_A_SECOND
        return min(self.settings.poll_s, max(MIN_POLL_S, fair))

    def poll(self) -> None:
        """Read configuration head and instance list."""
        up = self.configuration.try_poll()
        try:
            self.take_list(self.store.instances())
            self.list_fresh = True
        except StoreError:
            up = False
        if not self.list_fresh:
            self.ask_peers()
        if up != self.store_up:
            log_change('store', up=up)
            self.store_up = up
        self.metrics.gauge('store_up', up)

    def take_list(self, instances: list[Instance]) -> None:
        """Take the instance list; it may lag."""
        self.instances = {one.node: one for one in instances}
        self.need_role().listed(instances)

    def advance(self, advanced: Advanced) -> None:
        """Put a higher revision in force."""
        self.metrics.gauge('revision', advanced.revision)
        log_change('revision in force', revision=advanced.revision)
        self.need_role().advanced(advanced.config)
        self.send_beats()

    def dial(self) -> None:
        """Drop silent links, open those that are wanted and missing."""
        now = self.now()
        self.drop_silent(now)
        for address in self.missing(now):
            self.dialling.add(address)
            gevent.spawn(self.dial_one, address)

    def missing(self, now: float) -> list[str]:
        """List the addresses to dial now.

        :returns: addresses without a link, a dial or a fresh failure.
        """
        wanted = {
            one.link
            for one in self.need_role().wanted()
            if one.node not in self.links and one.node != self.me.node
        }
        if self.configuration.revision() == 0 and not self.links:
            wanted.update(self.settings.peers)
        return [
            address
            for address in wanted - self.dialling
            if self.backoff.get(address, 0) <= now
        ]

    def dial_one(self, address: str) -> None:
        """Open one link."""
        try:
            link = open_link(address, self.me, self.metrics)
        except LinkError as error:
            self.metrics.count('dials_failed', reason=error.reason)
            pause = DIAL_BACKOFF_S * (1 + self.source.random())
            self.backoff[address] = self.now() + pause
            return
        finally:
            self.dialling.discard(address)
        self.adopt(link)

    def adopt(self, link: Link) -> None:
        """Take a proven link into use."""
        name = link.remote.node
        former = self.links.get(name)
        self.links[name] = link
        link.start(self.frame, self.drop)
        if former is not None:
            if former.remote.incarnation != link.remote.incarnation:
                former.close()
        link.send(self.need_role().beat())
        self.need_role().opened(link)
        self.heard_revision(link, link.remote.revision)

    def drop(self, link: Link) -> None:
        """Take a closed link out of use."""
        name = link.remote.node
        if self.links.get(name) is link:
            self.links.pop(name)
        if self.role is not None:
            self.role.lost(link)

    def frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Handle the frames common to all roles, pass on the rest."""
        match frame:
            case frames.Pull():
                known = self.instances.values()
                link.send(self.configuration.answer(frame, known))
                return
            case frames.Pushed():
                self.pushed(frame)
                return
            case frames.Beat():
                self.heard_revision(link, frame.revision)
        self.need_role().frame(link, frame)

    def pushed(self, frame: frames.Pushed) -> None:
        """Take configuration and, without one of its own, a list."""
        self.configuration.pushed(frame)
        if frame.instances and not self.list_fresh:
            self.take_list([Instance(**one) for one in frame.instances])

    def ask_peers(self) -> None:
        """Ask all linked nodes for what the store does not give."""
        pull = frames.Pull(self.configuration.revision(), listing=True)
        for link in list(self.links.values()):
            link.send(pull)

    def heard_revision(self, link: Link, revision: int) -> None:
        """Pull from a peer that holds a higher revision."""
        if self.configuration.follower.check_revision(revision) is None:
            return
        now = self.now()
        if now - self.pulled_at < PULL_GAP_S:
            return
        self.pulled_at = now
        link.send(frames.Pull(self.configuration.revision()))

    def link_bytes(self) -> int:
        """Sum the bytes of the open links, both ways.

        :returns: bytes; closed links no longer count.
        """
        return sum(
            link.sent_bytes + link.received_bytes
            for link in self.links.values()
        )

    def send_beats(self) -> None:
        """Send life and load to all linked nodes."""
        beat = self.need_role().beat()
        self.beats_sent += 1
        for link in list(self.links.values()):
            if self.beats_sent % self.pace_of(link) == 0:
                link.send(beat)

    def drop_silent(self, now: float) -> None:
        """Close the links that nothing was heard on for too long."""
        for link in list(self.links.values()):
            if now - link.heard_at > LINK_TIMEOUT_S * self.pace_of(link):
                link.fail('silent')

    def pace_of(self, link: Link) -> int:
        """Tell which of the beats go out on a link.

        Work flows between entries and sidecars only; nodes of one role need
        one another's life less.

        :returns: 1 for every beat.
        """
        return PEER_PACE if link.remote.role == self.me.role else 1
