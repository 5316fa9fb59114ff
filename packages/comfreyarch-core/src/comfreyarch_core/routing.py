"""Choose a sidecar for an attempt from the heartbeats an entry has received.

An entry holds links to a subset of each group's sidecars. The subset is
chosen by rendezvous hashing and prefers the entry's own availability zone.
Sidecars of evacuated zones get no attempt.
For each attempt, the entry picks the sidecar with the lowest predicted wait
among two drawn at random and the two that the prompt's prefix hashes to,
which are likely to have the prefix cached and get a bonus for it.
"""

import heapq
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from comfreyarch_core.frames import Beat
from comfreyarch_core.rendezvous import rendezvous_score

HEARTBEAT_TIMEOUT_S = 2.5
# Relative growth of the predicted wait per second of heartbeat age.
AGE_PENALTY_PER_S = 0.5
# Weight of work that a heartbeat reported; part of it has finished by now.
REPORT_WEIGHT = 0.5
# Time saved by a sidecar that has the prompt's prefix cached.
PREFIX_BONUS_S = 0.15
# Service time that is assumed when a heartbeat reports none.
DEFAULT_SERVICE_S = 0.05
MAX_SUBSET_SIZE = 16
MIN_SUBSET_SIZE = 4
# Links of one entry over all groups.
MAX_LINKS = 32
# Candidates that are drawn at random for each attempt.
RANDOM_CANDIDATES = 2
# Candidates that are chosen by the hash of the prompt's prefix.
PREFIX_CANDIDATES = 2
# Lower bound of a rank's share, which divides its predicted load.
MIN_SHARE = 0.05
NO_NODES: frozenset[str] = frozenset()
NO_ZONES: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Peer:
    """Identify a sidecar by node name, upstream, group and zone."""

    node: str
    upstream: str
    group: str
    availability_zone: str


def leave_out_zones(peers: Iterable[Peer], zones: frozenset[str]) -> list[Peer]:
    """Leave out the peers of evacuated zones.

    :returns: the peers that may get attempts.
    """
    return [peer for peer in peers if peer.availability_zone not in zones]


def choose_subset(
    entry: str,
    availability_zone: str,
    peers: Sequence[Peer],
    size: int = MAX_SUBSET_SIZE,
) -> list[Peer]:
    """Choose the peers of one group that an entry links to.

    Three quarters come from the entry's own availability zone if it has
    enough peers. The rest come from other zones, so that links remain when a
    zone is lost.

    :returns: at most ``size`` peers, those of the own zone first.
    """
    ordered = sorted(
        peers,
        key=lambda peer: rendezvous_score(peer.node, entry),
        reverse=True,
    )
    local = [
        peer for peer in ordered if peer.availability_zone == availability_zone
    ]
    remote = [
        peer for peer in ordered if peer.availability_zone != availability_zone
    ]
    local_count = max(size - len(remote), size - size // 4)
    chosen = local[:local_count]
    return [*chosen, *remote[: size - len(chosen)]]


def subset_size(groups: int) -> int:
    """Compute how many peers of each group an entry links to.

    :param groups: number of groups that share the entry's links.
    :returns: peers per group.
    """
    fair_share = MAX_LINKS // max(1, groups)
    return max(MIN_SUBSET_SIZE, min(MAX_SUBSET_SIZE, fair_share))


@dataclass(slots=True)
class SidecarView:
    """Represent one sidecar as an entry sees it.

    :param beat: the last heartbeat, None before the first or after link loss.
    :param heartbeat_at: when that heartbeat arrived.
    :param in_flight: this entry's attempts in flight there.
    :param sent_since_heartbeat: attempts sent since the last heartbeat.
    :param refused_until: end of the pause after an overload refusal.
    """

    peer: Peer
    beat: Beat | None = None
    heartbeat_at: float = 0
    in_flight: int = 0
    sent_since_heartbeat: int = 0
    refused_until: float = 0

    def is_available(self, now: float) -> bool:
        """Check whether the sidecar is believed to accept attempts.

        :returns: False if its heartbeat timed out, it is leaving, its
            upstream is not ready, or it recently refused an attempt.
        """
        beat = self.beat
        if beat is None or beat.leaving or not beat.ready:
            return False
        if now < self.refused_until:
            return False
        return now - self.heartbeat_at <= HEARTBEAT_TIMEOUT_S

    def predicted_wait_s(self, now: float) -> float:
        """Predict the wait of a new attempt at this sidecar.

        Reported work counts half, because much of it has finished by now.
        Attempts sent since the report count fully, so that an entry spreads
        its attempts between two heartbeats. The work counts at least as much
        as this entry's attempts in flight.

        :returns: seconds, increasing with the age of the heartbeat.
        """
        beat = self.beat
        if beat is None:
            return HEARTBEAT_TIMEOUT_S
        slots = max(1, beat.slots)
        service_s = beat.service_ms / 1000 or DEFAULT_SERVICE_S
        reported = beat.queued + beat.running
        estimated = REPORT_WEIGHT * reported + self.sent_since_heartbeat
        ahead = max(estimated, self.in_flight)
        share = max(beat.share, MIN_SHARE)
        load_s = (ahead + 1) / slots * service_s / share
        step_s = beat.step_ms / 1000
        age_s = max(0, now - self.heartbeat_at)
        return (load_s + step_s) * (1 + AGE_PENALTY_PER_S * age_s)


@dataclass(slots=True)
class Router:
    """Choose among the sidecars of the groups that an entry links to.

    :param source: random source, seeded by the caller.
    :param views: known sidecars by node name.
    :param groups: node names by group.
    :param evacuated_zones: zones whose sidecars get no attempt.
    :param heartbeats: last heartbeat and arrival time of every node, including
        nodes outside the current subset.
    """

    source: random.Random
    views: dict[str, SidecarView] = field(default_factory=dict)
    groups: dict[str, list[str]] = field(default_factory=dict)
    evacuated_zones: frozenset[str] = NO_ZONES
    heartbeats: dict[str, tuple[Beat, float]] = field(default_factory=dict)

    def update_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the subset of peers; views of remaining peers are kept."""
        kept = {peer.node: peer for peer in peers}
        for node in self.views.keys() - kept.keys():
            self.views.pop(node)
        self.groups = {}
        for node, peer in kept.items():
            view = self.views.get(node) or self.create_view(peer)
            view.peer = peer
            self.views[node] = view
            self.groups.setdefault(peer.group, []).append(node)

    def create_view(self, peer: Peer) -> SidecarView:
        """Create the view of a new peer from its last heartbeat, if any."""
        beat, heartbeat_at = self.heartbeats.get(peer.node, (None, 0))
        return SidecarView(peer, beat, heartbeat_at)

    def record_heartbeat(self, beat: Beat, now: float) -> None:
        """Replace a node's last heartbeat, even one of another incarnation."""
        self.heartbeats[beat.node] = (beat, now)
        view = self.views.get(beat.node)
        if view is None:
            return
        view.beat = beat
        view.heartbeat_at = now
        view.sent_since_heartbeat = 0

    def link_lost(self, node: str) -> None:
        """Record a lost link: no attempt is sent until the next heartbeat."""
        self.heartbeats.pop(node, None)
        view = self.views.get(node)
        if view is not None:
            view.beat = None

    def candidates(
        self,
        group: str,
        now: float,
        avoid: frozenset[str],
    ) -> list[SidecarView]:
        """List the available sidecars of a group.

        :param avoid: nodes to leave out.
        :returns: views of available sidecars.
        """
        nodes = self.groups.get(group, [])
        views = [self.views[node] for node in nodes if node not in avoid]
        return [
            view
            for view in views
            if view.is_available(now)
            and view.peer.availability_zone not in self.evacuated_zones
        ]

    def count_peers(self, zone: str) -> int:
        """Count the sidecars of a zone that the entry links to.

        :returns: a number of sidecars.
        """
        return sum(
            view.peer.availability_zone == zone for view in self.views.values()
        )

    def in_flight(self, zone: str) -> int:
        """Count this entry's attempts in flight in a zone.

        :returns: a number of attempts.
        """
        return sum(
            view.in_flight
            for view in self.views.values()
            if view.peer.availability_zone == zone
        )

    def choose(
        self,
        group: str,
        prefix: int,
        now: float,
        avoid: frozenset[str] = NO_NODES,
    ) -> SidecarView | None:
        """Choose a sidecar for an attempt.

        :param prefix: hash of the start of the prompt, 0 for none.
        :param avoid: nodes that this request has already tried.
        :returns: the chosen view, or None if no sidecar is available.
        """
        available = self.candidates(group, now, avoid)
        if not available:
            return None
        drawn = self.source.sample(
            available,
            min(RANDOM_CANDIDATES, len(available)),
        )
        cached = self.prefix_candidates(available, prefix)
        return min(
            [*cached, *drawn],
            key=lambda view: self.cost_s(view, cached, now),
        )

    def prefix_candidates(
        self, available: list[SidecarView], prefix: int
    ) -> list[SidecarView]:
        """Return the candidates that likely have a prefix cached.

        All entries compute the same candidates by rendezvous hashing, so a
        prefix stays cached on few sidecars without coordination.

        :returns: at most ``PREFIX_CANDIDATES`` views, none without a prefix.
        """
        if not prefix:
            return []
        key = str(prefix)
        return heapq.nlargest(
            PREFIX_CANDIDATES,
            available,
            key=lambda view: rendezvous_score(view.peer.node, key),
        )

    def cost_s(
        self, view: SidecarView, cached: list[SidecarView], now: float
    ) -> float:
        """Compute the cost of a candidate.

        :param cached: candidates that likely have the prefix cached.
        :returns: predicted wait in seconds, less the prefix bonus.
        """
        bonus = PREFIX_BONUS_S if view in cached else 0
        return view.predicted_wait_s(now) - bonus

    def choose_keyed(
        self,
        group: str,
        key: str,
        now: float,
        avoid: frozenset[str] = NO_NODES,
    ) -> SidecarView | None:
        """Choose by idempotency key, so that retries reach the same sidecar.

        :returns: the available view with the highest score, or None.
        """
        available = self.candidates(group, now, avoid)
        if not available:
            return None
        return max(
            available,
            key=lambda view: rendezvous_score(view.peer.upstream, key),
        )

    def sent(self, view: SidecarView) -> None:
        """Record that an attempt was sent."""
        view.in_flight += 1
        view.sent_since_heartbeat += 1

    def done(self, view: SidecarView) -> None:
        """Record that an attempt has ended."""
        view.in_flight -= 1


def make_router(seed: int | str) -> Router:
    """Create a router with its own random source.

    :param seed: routers with equal seeds make the same choices.
    :returns: a router without peers.
    """
    return Router(random.Random(seed))
