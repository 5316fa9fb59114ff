"""Run a sidecar's rank role: its participant in map changes and its engine."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import SimpleQueue

from comfreyarch_core import frames, rankmessages
from comfreyarch_core.mapmessages import (
    MAX_PEERS_QUERIED,
    AnyMapMessage,
    AskOutcome,
    EngineOrder,
)
from comfreyarch_core.rankparticipant import RankParticipant
from comfreyarch_daemon.engineclient import (
    EngineClient,
    EngineStatus,
    EngineUnavailable,
)
from comfreyarch_daemon.supervision import spawn_loop

POLL_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class RankIdentity:
    """Identify the rank that a sidecar serves.

    :param ranks: number of ranks in the group.
    """

    group: str
    rank: int
    ranks: int


class RankRole:
    """Connect one rank's participant to its engine and to the other ranks.

    :param send: sends a message to a rank of the group, by number.
    :param reply: sends a reply to the group's coordinator.
    :param is_outcome_pending: whether the outcome of a change is unknown, so
        that links to other ranks are needed to query them.
    :param on_status: called with each engine status read by polling.
    """

    __slots__ = (
        'engine',
        'greenlets',
        'is_outcome_pending',
        'last_status',
        'now',
        'on_status',
        'orders',
        'participant',
        'rank_identity',
        'reply',
        'send',
    )

    def __init__(
        self,
        rank_identity: RankIdentity,
        engine: EngineClient,
        now: Callable[[], float],
        send: Callable[[int, AnyMapMessage], None],
        reply: Callable[[AnyMapMessage], None],
    ) -> None:
        """Create the role; nothing is read before ``start``."""
        self.rank_identity = rank_identity
        self.engine = engine
        self.now = now
        self.send = send
        self.reply = reply
        self.participant = RankParticipant(rank_identity.rank)
        self.orders: SimpleQueue[EngineOrder] = SimpleQueue()
        self.greenlets: list[gevent.Greenlet] = []
        self.is_outcome_pending = False
        self.last_status: EngineStatus | None = None
        self.on_status: Callable[[EngineStatus], None] = ignore_status

    def start(self) -> None:
        """Start polling the engine and sending it orders."""
        self.greenlets = [
            spawn_loop('engine orders', self.order_loop),
            spawn_loop('engine polls', self.poll_loop),
        ]

    def close(self) -> None:
        """Stop the role and close the connections to the engine."""
        gevent.killall(self.greenlets, block=False)
        self.engine.close()

    def handle(self, message: rankmessages.Message) -> None:
        """Pass a message to the participant and apply its outcomes."""
        for outcome in self.participant.handle(message, self.now()):
            match outcome:
                case rankmessages.ToEngine(order):
                    self.orders.put(order)
                case rankmessages.ToCoordinator(reply):
                    self.reply(reply)
                case rankmessages.ToPeers(query):
                    self.query_peers(query)
                case rankmessages.ToPeer(rank, answer):
                    self.send(rank, answer)

    def query_peers(self, query: AskOutcome) -> None:
        """Query the ranks after this one for the outcome of a change."""
        self.is_outcome_pending = True
        for rank in self.peers():
            self.send(rank, query)

    def peers(self) -> list[int]:
        """List the ranks to query for an outcome.

        :returns: a few ranks after this one, wrapping around at the last rank.
        """
        count = min(MAX_PEERS_QUERIED, self.rank_identity.ranks - 1)
        first = self.rank_identity.rank + 1
        return [
            rank % self.rank_identity.ranks
            for rank in range(first, first + count)
        ]

    def order_loop(self) -> None:
        """Send the engine queued orders one at a time."""
        while True:
            order = self.orders.get()
            try:
                accepted, status = self.engine.send_order(order)
            except EngineUnavailable:
                self.handle(rankmessages.EngineUnresponsive())
                continue
            self.handle(
                rankmessages.EngineAnswered(accepted, status.rank_state)
            )

    def poll_loop(self) -> None:
        """Poll the engine periodically."""
        while True:
            self.poll()
            gevent.sleep(POLL_INTERVAL_S)

    def poll(self) -> None:
        """Read the engine's status and pass its state to the participant."""
        try:
            status = self.engine.read_status()
        except EngineUnavailable:
            return
        self.last_status = status
        self.handle(rankmessages.EngineStateRead(status.rank_state))
        self.handle(rankmessages.Tick())
        self.is_outcome_pending = bool(self.participant.state.open_change)
        self.on_status(status)

    def set_fence_floor(self, fence: int) -> None:
        """Set the fence of the lease row as the lowest fence to accept."""
        self.handle(rankmessages.FenceFloor(fence))

    def make_report(self) -> frames.RankReport | None:
        """Create the load report to the coordinator.

        :returns: None before the first poll.
        """
        status = self.last_status
        if status is None:
            return None
        placement = status.rank_state.placement
        experts = placement[self.rank_identity.rank] if placement else []
        return frames.RankReport(
            self.rank_identity.group,
            self.rank_identity.rank,
            status.rank_state.step,
            status.step_ms,
            status.running,
            {
                expert: status.loads[expert]
                for expert in experts
                if expert < len(status.loads)
            },
            status.rank_state.map_id,
        )


def ignore_status(status: EngineStatus) -> None:
    """Ignore a status that is read before the role is set up."""
