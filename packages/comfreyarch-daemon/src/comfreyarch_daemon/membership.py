"""Connect a sidecar's rank and coordinator roles to its group's sidecars.

This is used by comfreyarchd. Sidecars on a platform run ``ranknode`` instead.
"""

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
from comfreyarch_daemon.coordinatorrole import CoordinatorRole
from comfreyarch_daemon.engineclient import EngineClient, EngineStatus
from comfreyarch_daemon.linktransport import Link
from comfreyarch_daemon.node import Node
from comfreyarch_daemon.rankrole import RankIdentity, RankRole
from comfreyarch_daemon.store import Instance

DEFAULT_REPORT_INTERVAL_S = 5.0
RANK_MESSAGES = (Promise, Prepare, Decide, NewEpoch, AskOutcome, TellOutcome)


class GroupMembership:
    """Own the rank role and the coordinator role of one sidecar.

    :param share: this rank's share of the group's requests.
    :param upstream_names: names of the group's upstreams, by rank.
    :param coordinator_node: sidecar that last sent this rank an order.
    """

    __slots__ = (
        'coordinator_node',
        'coordinator_role',
        'last_report_at',
        'node',
        'rank_identity',
        'rank_role',
        'share',
        'upstream_names',
    )

    def __init__(
        self, node: Node, rank_identity: RankIdentity, url: str
    ) -> None:
        """Create both roles for a rank without starting them."""
        self.node = node
        self.rank_identity = rank_identity
        self.share = 1.0
        self.upstream_names: dict[int, str] = {}
        self.coordinator_node = ''
        self.last_report_at = float(0)
        self.rank_role = RankRole(
            rank_identity,
            EngineClient(url),
            time.monotonic,
            self.send,
            self.reply,
        )
        holder = f'{node.identity.node}/{node.identity.incarnation}'
        self.coordinator_role = CoordinatorRole(
            rank_identity,
            holder,
            node.store,
            self.send,
            self.rank_role.set_fence_floor,
        )
        self.coordinator_role.send_share = self.send_share
        self.coordinator_role.has_all_links = self.has_all_links
        self.rank_role.on_status = self.send_due_report

    def start(self) -> None:
        """Start both roles."""
        self.rank_role.start()
        self.coordinator_role.start()

    def close(self) -> None:
        """Stop both roles."""
        self.coordinator_role.close()
        self.rank_role.close()

    def configure(self, config: ConfigSet) -> None:
        """Apply a new configuration."""
        group = config.model_groups[self.rank_identity.group]
        self.upstream_names = {
            upstream.rank: name
            for name, upstream in config.upstreams.items()
            if upstream.group == self.rank_identity.group
        }
        stopped = {stop.upstream for stop in config.stops.values()}
        stopping = frozenset(
            rank
            for rank, name in self.upstream_names.items()
            if name in stopped
        )
        expert_map = config.expert_maps[group.expert_map]
        self.coordinator_role.configure(group, expert_map, stopping)

    def find_sidecar(self, rank: int) -> Instance | None:
        """Find the sidecar of a rank.

        :returns: None if the instance list has none.
        """
        upstream = self.upstream_names.get(rank)
        for instance in self.node.instances.values():
            if instance.role == 'sidecar' and instance.upstream == upstream:
                return instance
        return None

    def wanted_peers(self) -> list[Instance]:
        """List the sidecars to keep links to.

        :returns: those of all ranks while coordinating, those of a few peers
            while the outcome of a change is unknown, otherwise none.
        """
        ranks: list[int] = []
        if self.coordinator_role.coordinator is not None:
            ranks = list(range(self.rank_identity.ranks))
        elif self.rank_role.is_outcome_pending:
            ranks = self.rank_role.peers()
        found = [self.find_sidecar(rank) for rank in ranks]
        return [instance for instance in found if instance is not None]

    def has_all_links(self) -> bool:
        """Check whether the sidecars of all other ranks are linked to this one.

        :returns: False if any of them is not.
        """
        other_sidecars = (
            self.find_sidecar(rank)
            for rank in range(self.rank_identity.ranks)
            if rank != self.rank_identity.rank
        )
        return all(
            instance and instance.node in self.node.links
            for instance in other_sidecars
        )

    def link_lost(self, link: Link) -> None:
        """Abort the change in progress if a rank of the group was lost.

        The lost rank can no longer acknowledge the change.
        """
        instance = self.node.instances.get(link.remote.node)
        if instance and instance.upstream in self.upstream_names.values():
            self.coordinator_role.notify_coordinator(
                coordinatormessages.Abandon()
            )

    def send(self, rank: int, message: AnyMapMessage) -> None:
        """Send a message to a rank; it is dropped if there is no link."""
        if rank == self.rank_identity.rank:
            self.handle_message(self.node.identity.node, message)
            return
        self.send_frame(
            rank, frames.MapFrame(self.rank_identity.group, message)
        )

    def send_frame(self, rank: int, frame: frames.Frame) -> None:
        """Send a frame to a rank's sidecar; without a link it is dropped."""
        instance = self.find_sidecar(rank)
        link = self.node.links.get(instance.node) if instance else None
        if link is not None:
            link.send(frame)

    def send_share(self, rank: int, share: float) -> None:
        """Send a rank its share of requests."""
        if rank == self.rank_identity.rank:
            self.share = share
            return
        self.send_frame(rank, frames.RankShare(self.rank_identity.group, share))

    def reply(self, message: AnyMapMessage) -> None:
        """Send a reply to the coordinator; it is dropped without a link."""
        if self.coordinator_role.coordinator is not None:
            self.handle_message(self.node.identity.node, message)
            return
        link = self.coordinator_link()
        if link is not None:
            link.send(frames.MapFrame(self.rank_identity.group, message))

    def handle_message(self, sender: str, message: AnyMapMessage) -> None:
        """Pass a message of the group to the role that handles it."""
        if not isinstance(message, RANK_MESSAGES):
            self.coordinator_role.notify_coordinator(message)
            return
        if isinstance(message, Promise | Prepare | Decide | NewEpoch):
            self.coordinator_node = sender
        self.rank_role.handle(message)

    def coordinator_link(self) -> Link | None:
        """Find the link to the coordinator.

        A sidecar that started recently may not have received an order yet, so
        the holder in the lease row is tried, too.
        """
        holder = self.coordinator_role.election.holder_node()
        name = self.coordinator_node or holder
        return self.node.links.get(name) or self.node.links.get(holder)

    def send_due_report(self, _status: EngineStatus) -> None:
        """Report loads to the coordinator if the report interval has passed."""
        now = time.monotonic()
        if now - self.last_report_at < self.report_interval_s():
            return
        self.last_report_at = now
        report = self.rank_role.make_report()
        if report is None:
            return
        if self.coordinator_role.coordinator is not None:
            self.coordinator_role.report(report)
            return
        link = self.coordinator_link()
        if link is not None:
            link.send(report)

    def report_interval_s(self) -> float:
        """Return the report interval, a third of the decision interval.

        :returns: seconds.
        """
        group = self.coordinator_role.group
        return (
            DEFAULT_REPORT_INTERVAL_S if group is None else group.decide_s / 3
        )

    def status(self) -> dict[str, Any]:
        """Return the rank, its map and its role.

        :returns: plain values for the status page.
        """
        state = self.rank_role.participant.state
        coordinator = self.coordinator_role.coordinator
        return {
            'rank': self.rank_identity.rank,
            'map': state.map_id,
            'epoch': state.epoch,
            'step': state.step,
            'open_change': state.open_change,
            'share': self.share,
            'leads': coordinator is not None,
            'fence': self.rank_role.participant.promised_fence,
            'phase': coordinator.phase.value if coordinator else '',
            'evacuation': self.coordinator_role.evacuation
            if coordinator
            else '',
        }


def make_rank_identity(config: ConfigSet, upstream: str) -> RankIdentity | None:
    """Return the group and rank of an upstream.

    :returns: None if the upstream's service has no model group.
    """
    settings = config.upstreams[upstream]
    group = config.model_groups.get(settings.group)
    if group is None:
        return None
    return RankIdentity(settings.group, settings.rank, group.ranks)
