"""Be the sidecar of one rank: carry the rank desk's orders and words."""

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
from comfreyarch_daemon.engineorders import (
    EngineClient,
    EngineSilent,
    EngineState,
)

LOOK_S = 1.0


@dataclass(frozen=True, slots=True)
class Seat:
    """Say which rank of which group this sidecar serves."""

    group: str
    rank: int
    ranks: int


class Ranking:
    """Drive one rank desk.

    :param send: sends a message to a rank of the group, by number.
    :param reply: sends a reply to the group's coordinator.
    """

    __slots__ = (
        'asking',
        'participant',
        'engine',
        'greenlets',
        'last',
        'now',
        'orders',
        'reply',
        'reported',
        'seat',
        'send',
    )

    def __init__(
        self,
        seat: Seat,
        engine: EngineClient,
        now: Callable[[], float],
        send: Callable[[int, AnyMapMessage], None],
        reply: Callable[[AnyMapMessage], None],
    ) -> None:
        """Prepare; nothing is read before ``start``."""
        self.seat = seat
        self.engine = engine
        self.now = now
        self.send = send
        self.reply = reply
        self.participant = RankParticipant(seat.rank)
        self.orders: SimpleQueue[EngineOrder] = SimpleQueue()
        self.greenlets: list[gevent.Greenlet] = []
        self.asking = False
        self.last: EngineState | None = None
        self.reported: Callable[[EngineState], None] = ignore_state

    def start(self) -> None:
        """Start looking at the engine and giving it orders."""
        self.greenlets = [
            gevent.spawn(self.order_loop),
            gevent.spawn(self.look_loop),
        ]

    def close(self) -> None:
        """Stop."""
        gevent.killall(self.greenlets, block=False)
        self.engine.close()

    def handle(self, message: rankmessages.Message) -> None:
        """Give the desk a message and carry out what it decides."""
        for outcome in self.participant.handle(message, self.now()):
            match outcome:
                case rankmessages.ToEngine(order):
                    self.orders.put(order)
                case rankmessages.ToCoordinator(reply):
                    self.reply(reply)
                case rankmessages.ToPeers(ask):
                    self.ask_peers(ask)
                case rankmessages.ToPeer(rank, tell):
                    self.send(rank, tell)

    def ask_peers(self, ask: AskOutcome) -> None:
        """Ask the ranks that follow this one."""
        self.asking = True
        for rank in self.peers():
            self.send(rank, ask)

    def peers(self) -> list[int]:
        """List the ranks to ask for an outcome.

        :returns: a few that follow this one, round the group.
        """
        count = min(MAX_PEERS_QUERIED, self.seat.ranks - 1)
        first = self.seat.rank + 1
        return [
            number % self.seat.ranks for number in range(first, first + count)
        ]

    def order_loop(self) -> None:
        """Give the engine one order after another."""
        while True:
            order = self.orders.get()
            try:
                done, state = self.engine.give(order)
            except EngineSilent:
                self.handle(rankmessages.EngineUnresponsive())
                continue
            self.handle(rankmessages.EngineAnswered(done, state.rank_state))

    def look_loop(self) -> None:
        """Look at the engine again and again."""
        while True:
            self.look()
            gevent.sleep(LOOK_S)

    def look(self) -> None:
        """Read the engine's state and tell the desk."""
        try:
            state = self.engine.read_state()
        except EngineSilent:
            return
        self.last = state
        self.handle(rankmessages.EngineStateRead(state.rank_state))
        self.handle(rankmessages.Tick())
        self.asking = bool(self.participant.state.open_change)
        self.reported(state)

    def floor(self, fence: int) -> None:
        """Take the fence of the lease row as the floor."""
        self.handle(rankmessages.FenceFloor(fence))

    def report(self) -> frames.RankReport | None:
        """Make the report to the coordinator.

        :returns: None before the first look.
        """
        state = self.last
        if state is None:
            return None
        held = state.rank_state.placement
        own = held[self.seat.rank] if held else []
        return frames.RankReport(
            self.seat.group,
            self.seat.rank,
            state.rank_state.step,
            state.step_ms,
            state.running,
            {
                expert: state.loads[expert]
                for expert in own
                if expert < len(state.loads)
            },
            state.rank_state.map_id,
        )


def ignore_state(state: EngineState) -> None:
    """Ignore a state before the role is set up."""
