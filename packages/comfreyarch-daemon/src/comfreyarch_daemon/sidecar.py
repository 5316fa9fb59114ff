"""Be a sidecar: the only way to one upstream."""

import time
from typing import Any

import gevent

from comfreyarch_core import frames, suspects
from comfreyarch_core.configset import ConfigSet, RawSet
from comfreyarch_core.suspects import make_suspect_tracker
from comfreyarch_daemon.grouping import Grouping, make_seat
from comfreyarch_daemon.logs import log_change
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.publishing import edit
from comfreyarch_daemon.serving import Serving
from comfreyarch_daemon.settings import UpstreamSettings
from comfreyarch_daemon.store import Instance
from comfreyarch_daemon.ticking import Ticker
from comfreyarch_daemon.upstreaming import make_caller
from comfreyarch_daemon.watching import UpstreamWatch
from comfreyarch_daemon.wire import Link

LOOK_S = 1.0
DRAIN_CHECK_S = 0.05
MS_A_SECOND = 1000


class SidecarRole:
    """Do a sidecar's part of a node."""

    __slots__ = (
        'config',
        'suspect_tracker',
        'grouping',
        'leaving',
        'listed_leaving',
        'node',
        'serving',
        'stopping',
        'ticker',
        'upstream',
        'watch',
    )

    def __init__(self, node: Node, upstream: UpstreamSettings) -> None:
        """Prepare the role of ``node`` beside ``upstream``."""
        self.node = node
        self.upstream = upstream
        self.config = ConfigSet()
        self.suspect_tracker = make_suspect_tracker()
        self.grouping: Grouping | None = None
        self.watch = UpstreamWatch(upstream.url, node.send_beats)
        self.serving = Serving(
            node,
            make_caller(upstream.url),
            self.watch,
            self.suspect_tracker,
        )
        self.serving.on_crash = self.crash
        self.leaving = False
        self.listed_leaving = False
        self.stopping = False
        self.ticker = Ticker(self.look, lambda: LOOK_S, node.source)

    def start(self) -> None:
        """Start serving."""
        self.serving.start()
        self.ticker.start()

    def close(self) -> None:
        """Stop serving."""
        self.ticker.close()
        self.serving.close()
        if self.grouping is not None:
            self.grouping.close()

    def look(self) -> None:
        """Look after the upstream."""
        self.watch.look()

    def drain(self) -> None:
        """Stop gracefully: finish the work at hand, up to a bound."""
        self.stopping = True
        self.update_leaving()
        limit = time.monotonic() + self.node.settings.drain_s
        while self.busy() and time.monotonic() < limit:
            gevent.sleep(DRAIN_CHECK_S)

    def busy(self) -> bool:
        """Tell whether work is left: attempts, or claims to settle.

        :returns: True while there is.
        """
        return bool(self.serving.works or self.serving.claiming.manager.keys)

    def ready(self) -> bool:
        """Tell whether new work is taken.

        :returns: False without configuration or upstream, or leaving.
        """
        known = self.upstream.name in self.config.upstreams
        return known and self.watch.up and not self.leaving

    def update_leaving(self) -> None:
        """Leave on the first word of any source, stay on none."""
        stops = {stop.upstream for stop in self.config.stops.values()}
        ordered = self.upstream.name in stops
        leaving = ordered or self.listed_leaving or self.stopping
        if leaving == self.leaving:
            return
        self.leaving = leaving
        log_change('sidecar leaving', leaving=leaving)
        if leaving:
            self.node.send_beats()
            self.serving.drain()
        else:
            self.serving.resume()
        self.node.send_beats()

    def advanced(self, config: ConfigSet) -> None:
        """Take a new configuration."""
        self.config = config
        upstream = config.upstreams.get(self.upstream.name)
        if upstream is not None:
            group = config.model_groups.get(upstream.group)
            services = config.service_groups.get(upstream.group)
            slots = group.slots if group is not None else 1
            if services is not None:
                slots = services.slots
            self.serving.admission.slots = slots
        if group is not None:
            self.join(config)
        published = suspects.Published(frozenset(config.quarantines))
        self.crash(published)
        self.update_leaving()

    def join(self, config: ConfigSet) -> None:
        """Join the rank group, or take its new configuration."""
        if self.grouping is None:
            seat = make_seat(config, self.upstream.name)
            if seat is None:
                return
            self.grouping = Grouping(self.node, seat, self.upstream.url)
            self.grouping.start()
        self.grouping.configure(config)

    def listed(self, instances: list[Instance]) -> None:
        """Take the instance list: this node's own entry counts."""
        mine = [one for one in instances if one.node == self.node.me.node]
        self.listed_leaving = any(one.leaving for one in mine)
        self.update_leaving()

    def wanted(self) -> list[Instance]:
        """Tell which instances to keep links to.

        :returns: ranks of the group; entries connect here by themselves.
        """
        return self.grouping.wanted() if self.grouping is not None else []

    def frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Take a frame."""
        match frame:
            case frames.Call():
                self.serving.take(link, frame)
            case frames.Cancel(attempt):
                self.serving.cancel(attempt)
            case frames.Window():
                self.serving.allow(frame)
            case frames.Accused(digest, crashes):
                self.crash(suspects.PeerReport(digest, crashes))
            case frames.Beat():
                return
            case _:
                self.group_frame(link, frame)

    def group_frame(self, link: Link, frame: frames.AnyFrame) -> None:
        """Take a frame of the rank group."""
        grouping = self.grouping
        if grouping is None:
            self.node.metrics.count('frames_unexpected')
            return
        match frame:
            case frames.MapFrame(group, message) if self.mine(group):
                grouping.take(link.remote.node, message)
            case frames.RankReport():
                grouping.leading.report(frame)
            case frames.RankShare(_, share):
                grouping.share = share
            case _:
                self.node.metrics.count('frames_unexpected')

    def mine(self, group: str) -> bool:
        """Tell whether a group is this sidecar's own."""
        return self.grouping is not None and self.grouping.seat.group == group

    def crash(self, message: suspects.Message) -> None:
        """Tell the crash desk and carry out what it decides."""
        for outcome in self.suspect_tracker.handle(message, time.monotonic()):
            match outcome:
                case suspects.NotifyPeers(digest, crashes):
                    self.spread(frames.Accused(digest, crashes))
                case suspects.Quarantine(digest):
                    log_change('request quarantined', digest=digest)
                    gevent.spawn(self.publish_quarantine, digest)

    def spread(self, accused: frames.Accused) -> None:
        """Send what is new of a digest to all linked nodes."""
        for link in list(self.node.links.values()):
            link.send(accused)

    def publish_quarantine(self, digest: str) -> None:
        """Publish a quarantine so that every node holds it."""

        def change(raw: RawSet) -> RawSet:
            added = {digest: {'crashes': 2, 'node': self.node.me.node}}
            table = {**raw.get('quarantines', {}), **added}
            return {**raw, 'quarantines': table}

        edit(self.node.store, change)
        self.node.poll()

    def opened(self, link: Link) -> None:
        """Tell a new link of the suspects known here."""
        for digest, crashes in self.suspect_tracker.crashes.items():
            link.send(frames.Accused(digest, crashes))

    def lost(self, link: Link) -> None:
        """Cancel what a lost entry had asked for."""
        self.serving.drop_link(link)
        if self.grouping is not None:
            self.grouping.lost(link)

    def beat(self) -> frames.Beat:
        """Tell life and load.

        :returns: the heartbeat.
        """
        admission = self.serving.admission
        queued = len(admission.queue)
        return frames.Beat(
            self.node.me.node,
            self.node.me.incarnation,
            self.node.configuration.revision(),
            self.leaving,
            self.upstream.name in self.config.upstreams and self.watch.up,
            queued,
            len(admission.running),
            admission.slots,
            admission.wait_s(queued) * MS_A_SECOND,
            admission.service_s * MS_A_SECOND,
            self.step_ms(),
            self.grouping.share if self.grouping is not None else 1,
        )

    def step_ms(self) -> float:
        """Give the rank's last step time.

        :returns: 0 for plain services.
        """
        if self.grouping is None or self.grouping.ranking.last is None:
            return 0
        return self.grouping.ranking.last.step_ms

    def status(self) -> dict[str, Any]:
        """Give the sidecar's state.

        :returns: plain values for the status page.
        """
        admission = self.serving.admission
        upstream = self.config.upstreams.get(self.upstream.name)
        return {
            'upstream': self.upstream.name,
            'group': upstream.group if upstream is not None else '',
            'upstream_up': self.watch.up,
            'leaving': self.leaving,
            'queued': len(admission.queue),
            'running': len(admission.running),
            'claims_open': len(self.serving.claiming.manager.keys),
            **(self.grouping.status() if self.grouping is not None else {}),
        }

    def report(self) -> dict[str, Any]:
        """Give the sidecar's part of the report.

        :returns: the group's plan where this sidecar leads.
        """
        if self.grouping is None:
            return {}
        return self.grouping.leading.explain()
