"""Join a sidecar to its rank group: messages between the group's ranks."""

import time
from typing import Any

from comfreyarch_core import coordinatormessages, frames
from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.mapmessages import (
    AnyMapMessage,
    AskOutcome,
    Decide,
    NewEpoch,
    Prepare,
    Promise,
    TellOutcome,
)
from comfreyarch_daemon.engineorders import EngineClient, EngineState
from comfreyarch_daemon.leading import Leading
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.ranking import Ranking, Seat
from comfreyarch_daemon.store import Instance
from comfreyarch_daemon.wire import Link

REPORT_S = 5.0
TO_RANK = (Promise, Prepare, Decide, NewEpoch, AskOutcome, TellOutcome)


class Grouping:
    """Own the rank's and the leader's part of one sidecar."""

    __slots__ = (
        'leader',
        'leading',
        'node',
        'ranking',
        'reported_at',
        'seat',
        'share',
        'upstreams',
    )

    def __init__(self, node: Node, seat: Seat, url: str) -> None:
        """Prepare both parts for a seat."""
        self.node = node
        self.seat = seat
        self.share = 1.0
        self.upstreams: dict[int, str] = {}
        self.leader = ''
        self.reported_at = float(0)
        self.ranking = Ranking(
            seat,
            EngineClient(url),
            time.monotonic,
            self.send,
            self.reply,
        )
        holder = f'{node.me.node}/{node.me.incarnation}'
        self.leading = Leading(
            seat,
            holder,
            node.store,
            self.send,
            self.ranking.floor,
        )
        self.leading.send_share = self.send_share
        self.leading.linked = self.linked
        self.ranking.reported = self.report

    def start(self) -> None:
        """Start both parts."""
        self.ranking.start()
        self.leading.start()

    def close(self) -> None:
        """Stop both parts."""
        self.leading.close()
        self.ranking.close()

    def configure(self, config: ConfigSet) -> None:
        """Take a new configuration."""
        group = config.model_groups[self.seat.group]
        self.upstreams = {
            one.rank: name
            for name, one in config.upstreams.items()
            if one.group == self.seat.group
        }
        stopped = {stop.upstream for stop in config.stops.values()}
        stopping = frozenset(
            rank for rank, name in self.upstreams.items() if name in stopped
        )
        expert_map = config.expert_maps[group.expert_map]
        self.leading.configure(group, expert_map, stopping)

    def node_of(self, rank: int) -> Instance | None:
        """Find the sidecar of a rank.

        :returns: None where the instance list has none.
        """
        upstream = self.upstreams.get(rank)
        for one in self.node.instances.values():
            if one.role == 'sidecar' and one.upstream == upstream:
                return one
        return None

    def wanted(self) -> list[Instance]:
        """Tell which ranks' sidecars to keep links to.

        :returns: all while leading, a few while an outcome is missing.
        """
        ranks: list[int] = []
        if self.leading.coordinator is not None:
            ranks = list(range(self.seat.ranks))
        elif self.ranking.asking:
            ranks = self.ranking.peers()
        found = [self.node_of(rank) for rank in ranks]
        return [one for one in found if one is not None]

    def linked(self) -> bool:
        """Tell whether all other ranks' sidecars have a link to this one.

        :returns: False while one of them is away.
        """
        others = (
            self.node_of(rank)
            for rank in range(self.seat.ranks)
            if rank != self.seat.rank
        )
        return all(one and one.node in self.node.links for one in others)

    def lost(self, link: Link) -> None:
        """Abort a change that a lost rank can no longer acknowledge."""
        instance = self.node.instances.get(link.remote.node)
        if instance and instance.upstream in self.upstreams.values():
            self.leading.tell(coordinatormessages.Abandon())

    def send(self, rank: int, message: AnyMapMessage) -> None:
        """Send a message to a rank; without a link it is lost."""
        if rank == self.seat.rank:
            self.take(self.node.me.node, message)
            return
        self.send_frame(rank, frames.MapFrame(self.seat.group, message))

    def send_frame(self, rank: int, frame: frames.Frame) -> None:
        """Send a frame to a rank's sidecar."""
        instance = self.node_of(rank)
        link = self.node.links.get(instance.node) if instance else None
        if link is not None:
            link.send(frame)

    def send_share(self, rank: int, share: float) -> None:
        """Send a rank its share of requests."""
        if rank == self.seat.rank:
            self.share = share
            return
        self.send_frame(rank, frames.RankShare(self.seat.group, share))

    def reply(self, message: AnyMapMessage) -> None:
        """Send a reply to the coordinator that the lease names."""
        if self.leading.coordinator is not None:
            self.take(self.node.me.node, message)
            return
        link = self.coordinator_link()
        if link is not None:
            link.send(frames.MapFrame(self.seat.group, message))

    def take(self, sender: str, message: AnyMapMessage) -> None:
        """Take a message of the group."""
        if not isinstance(message, TO_RANK):
            self.leading.tell(message)
            return
        if isinstance(message, Promise | Prepare | Decide | NewEpoch):
            self.leader = sender
        self.ranking.handle(message)

    def coordinator_link(self) -> Link | None:
        """Find the link to the coordinator.

        A sidecar that started lately has had no order yet; the lease row
        tells it who leads.
        """
        holder = self.leading.election.holder_node()
        name = self.leader or holder
        return self.node.links.get(name) or self.node.links.get(holder)

    def report(self, _state: EngineState) -> None:
        """Report loads to the coordinator now and then."""
        now = time.monotonic()
        if now - self.reported_at < self.report_interval_s():
            return
        self.reported_at = now
        report = self.ranking.report()
        if report is None:
            return
        if self.leading.coordinator is not None:
            self.leading.report(report)
            return
        link = self.coordinator_link()
        if link is not None:
            link.send(report)

    def report_interval_s(self) -> float:
        """Give the time between reports: a third of a decision's.

        :returns: seconds.
        """
        group = self.leading.group
        return REPORT_S if group is None else group.decide_s / 3

    def status(self) -> dict[str, Any]:
        """Tell rank, map and lead.

        :returns: plain values for the status page.
        """
        state = self.ranking.participant.state
        coordinator = self.leading.coordinator
        return {
            'rank': self.seat.rank,
            'map': state.map_id,
            'epoch': state.epoch,
            'step': state.step,
            'open_change': state.open_change,
            'share': self.share,
            'leads': coordinator is not None,
            'fence': self.ranking.participant.promised_fence,
            'phase': coordinator.phase.value if coordinator else '',
            'evacuation': self.leading.evacuation if coordinator else '',
        }


def make_seat(config: ConfigSet, upstream: str) -> Seat | None:
    """Find the seat of an upstream.

    :returns: None for plain services.
    """
    described = config.upstreams[upstream]
    group = config.model_groups.get(described.group)
    if group is None:
        return None
    return Seat(described.group, described.rank, group.ranks)
