"""Choose the sidecar for an attempt from what an entry believes.

An entry keeps links to a subset of the sidecars of each group, found by
rendezvous hashing, its own availability zone first. It takes the one with
the lowest predicted wait among two drawn at random and the two that a
prompt's prefix hashes to, which count as warm.
"""

import heapq
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from comfreyarch_core.frames import Beat

BEAT_TIMEOUT_S = 2.5
AGE_PENALTY = 0.5
REPORT_WEIGHT = 0.5
PREFIX_BONUS_S = 0.15
DEFAULT_SERVICE_S = 0.05
SUBSET_SIZE = 16
SMALLEST_SUBSET = 4
LINKS_IN_ALL = 32
CHOICES = 2
NEAR = 2
LOWEST_SHARE = 0.05
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Peer:
    """Name a sidecar by node name, upstream, group and place."""

    node: str
    upstream: str
    group: str
    availability_zone: str


def score(node: str, key: str) -> int:
    """Give the rendezvous score of a node for a key.

    :returns: a 64-bit number; the highest wins.
    """
    return xxhash.xxh3_64_intdigest(f'{node}\n{key}'.encode())


def rank_by_score(nodes: Iterable[str], key: str) -> list[str]:
    """Order nodes by rendezvous score.

    :returns: the nodes, best first.
    """
    return sorted(nodes, key=lambda node: score(node, key), reverse=True)


def choose_subset(
    entry: str,
    availability_zone: str,
    peers: Sequence[Peer],
    size: int = SUBSET_SIZE,
) -> list[Peer]:
    """Choose the peers of one group that an entry links to.

    Three quarters come from its own availability zone where there are
    enough; the rest from others, so that the loss of a zone leaves links.

    :returns: at most ``size`` peers, best first.
    """
    ordered = sorted(
        peers,
        key=lambda peer: score(peer.node, entry),
        reverse=True,
    )
    near = [
        one for one in ordered if one.availability_zone == availability_zone
    ]
    far = [one for one in ordered if one.availability_zone != availability_zone]
    near_wanted = max(size - len(far), size - size // 4)
    chosen = near[:near_wanted]
    return [*chosen, *far[: size - len(chosen)]]


def subset_size(pools: int) -> int:
    """Share the links that an entry may hold among its pools.

    :returns: peers a pool.
    """
    fair = LINKS_IN_ALL // max(1, pools)
    return max(SMALLEST_SUBSET, min(SUBSET_SIZE, fair))


@dataclass(slots=True)
class View:
    """Hold what an entry believes of one sidecar."""

    peer: Peer
    beat: Beat | None = None
    heard_at: float = 0
    in_flight: int = 0
    sent_since: int = 0
    refused_until: float = 0

    def alive(self, now: float) -> bool:
        """Tell whether the sidecar takes work as far as is known.

        :returns: False when silent, leaving or lately refusing.
        """
        beat = self.beat
        if beat is None or beat.leaving or not beat.ready:
            return False
        if now < self.refused_until:
            return False
        return now - self.heard_at <= BEAT_TIMEOUT_S

    def predicted_wait_s(self, now: float) -> float:
        """Predict the wait of a new attempt here.

        Reported work counts half, since much of it is done by now; what
        was sent since counts whole, so that entries spread what they send.

        :returns: seconds, grown with the report's age.
        """
        beat = self.beat
        if beat is None:
            return BEAT_TIMEOUT_S
        slots = max(1, beat.slots)
        service_s = beat.service_ms / 1000 or DEFAULT_SERVICE_S
        reported = beat.queued + beat.running
        known = REPORT_WEIGHT * reported + self.sent_since
        ahead = max(known, self.in_flight)
        share = max(beat.share, LOWEST_SHARE)
        load = (ahead + 1) / slots * service_s / share
        step = beat.step_ms / 1000
        age = max(0, now - self.heard_at)
        return (load + step) * (1 + AGE_PENALTY * age)


@dataclass(slots=True)
class Router:
    """Choose among the sidecars of the groups that an entry knows.

    :param source: the random source, seeded outside.
    """

    source: random.Random
    views: dict[str, View] = field(default_factory=dict)
    groups: dict[str, list[str]] = field(default_factory=dict)
    beats: dict[str, tuple[Beat, float]] = field(default_factory=dict)

    def know(self, peers: Iterable[Peer]) -> None:
        """Take the present subset; views of kept peers stay."""
        kept = {peer.node: peer for peer in peers}
        for node in self.views.keys() - kept.keys():
            self.views.pop(node)
        self.groups = {}
        for node, peer in kept.items():
            view = self.views.get(node) or self.first_view(peer)
            view.peer = peer
            self.views[node] = view
            self.groups.setdefault(peer.group, []).append(node)

    def first_view(self, peer: Peer) -> View:
        """Make the view of a new peer from its last heartbeat, if any."""
        beat, heard_at = self.beats.get(peer.node, (None, 0))
        return View(peer, beat, heard_at)

    def heard(self, beat: Beat, now: float) -> None:
        """Take a heartbeat; one of an older life is replaced at once."""
        self.beats[beat.node] = (beat, now)
        view = self.views.get(beat.node)
        if view is None:
            return
        view.beat = beat
        view.heard_at = now
        view.sent_since = 0

    def lost(self, node: str) -> None:
        """Take the loss of a link: no work until the next heartbeat."""
        self.beats.pop(node, None)
        view = self.views.get(node)
        if view is not None:
            view.beat = None

    def candidates(
        self,
        group: str,
        now: float,
        avoid: frozenset[str],
    ) -> list[View]:
        """List the sidecars of a group that take work.

        :returns: live views, those in ``avoid`` left out.
        """
        nodes = self.groups.get(group, [])
        views = [self.views[node] for node in nodes if node not in avoid]
        return [view for view in views if view.alive(now)]

    def choose(
        self,
        group: str,
        prefix: int,
        now: float,
        avoid: frozenset[str] = NOBODY,
    ) -> View | None:
        """Choose a sidecar for an attempt.

        :param prefix: hash of the prompt's beginning, 0 for none.
        :param avoid: nodes that this request already tried.
        :returns: the chosen view, or None where nobody takes work.
        """
        live = self.candidates(group, now, avoid)
        if not live:
            return None
        drawn = self.source.sample(live, min(CHOICES, len(live)))
        near = self.near(live, prefix)
        return min(
            [*near, *drawn],
            key=lambda view: self.price(view, near, now),
        )

    def near(self, live: list[View], prefix: int) -> list[View]:
        """Find the candidates that are likely to hold a prefix.

        All entries find the same ones by rendezvous hashing, so that a
        prefix stays warm in few places without a word between them.

        :returns: a few views, none without a prefix.
        """
        if not prefix:
            return []
        key = str(prefix)
        return heapq.nlargest(
            NEAR,
            live,
            key=lambda view: score(view.peer.node, key),
        )

    def price(self, view: View, near: list[View], now: float) -> float:
        """Price a candidate in seconds.

        :returns: the predicted wait less the bonus of a warm prefix.
        """
        bonus = PREFIX_BONUS_S if view in near else 0
        return view.predicted_wait_s(now) - bonus

    def choose_keyed(
        self,
        group: str,
        key: str,
        now: float,
        avoid: frozenset[str] = NOBODY,
    ) -> View | None:
        """Choose by key, so that re-sends meet at one sidecar.

        :returns: the live view with the best score, or None.
        """
        live = self.candidates(group, now, avoid)
        if not live:
            return None
        return max(live, key=lambda view: score(view.peer.upstream, key))

    def sent(self, view: View) -> None:
        """Count an attempt sent."""
        view.in_flight += 1
        view.sent_since += 1

    def done(self, view: View) -> None:
        """Count an attempt over."""
        view.in_flight -= 1


def make_router(seed: int) -> Router:
    """Make a router with its own random source.

    :returns: a router that knows nobody.
    """
    return Router(random.Random(seed))
