"""Watch one rank's engine and carry a leader's orders to it."""

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import gevent
from gevent.lock import BoundedSemaphore

from comfreyarch_core.enginestate import EngineState, GroupMap, PrepareMap
from comfreyarch_core.mapplan import first_map
from comfreyarch_daemon.engineapi import EngineApi, EngineAway, HeldExperts
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.rankmail import CountNews, OrderNews
from comfreyarch_daemon.upstreamcalls import boot_time

# The engine's own sidecar reads it for free; the time is the sidecar's.
POLL_S = 0.15
# Counts are read and told so often; demand shifts within some seconds.
COUNT_S = 0.4
# Orders without an answer are remembered for so long.
UNANSWERED_S = 3.0
# Orders that may wait while the engine does not answer.
MOST_ORDERS = 4
# Maps that are remembered: the one in use is among the last few prepared.
MAPS_KEPT = 6


class StateListener(Protocol):
    """Take an engine's state that was just read."""

    def __call__(
        self,
        state: EngineState,
        asked_at: float,
        *,
        urgent: bool,
    ) -> None:
        """Take it.

        :param asked_at: when the reading began; a later one is newer.
        :param urgent: it was read after an order.
        """


class RankAgent:
    """Own the connections to one engine.

    :param fence: the highest fence seen; orders under lower ones are refused.
    :param maps: the last maps that leaders let this rank prepare, by version.
    """

    __slots__ = (
        'copying',
        'counts',
        'experts',
        'fence',
        'lock',
        'log',
        'maps',
        'metrics',
        'on_counts',
        'on_state',
        'orders',
        'reads',
        'state',
        'unanswered',
        'waiting',
        'workers',
    )

    def __init__(
        self,
        reads: EngineApi,
        orders: EngineApi,
        on_state: StateListener,
        on_counts: Callable[[CountNews], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Take the engine's interface, twice: orders may hang."""
        self.reads = reads
        self.orders = orders
        self.on_state = on_state
        self.on_counts = on_counts
        self.log = log
        self.metrics = metrics
        self.state: EngineState | None = None
        self.experts: HeldExperts | None = None
        self.counts: tuple[int, ...] = ()
        self.fence = 0
        self.maps: dict[int, GroupMap] = {}
        self.copying: int | None = None
        self.lock = BoundedSemaphore(1)
        self.waiting = 0
        self.unanswered: deque[float] = deque()
        self.workers: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start watching."""
        self.workers = [gevent.spawn(self.run)]

    def close(self) -> None:
        """Stop watching."""
        for worker in self.workers:
            worker.kill(block=False)
        self.reads.close()
        self.orders.close()

    def run(self) -> None:
        """Read the engine for as long as this runs."""
        due = 0.0
        while True:
            try:
                self.poll()
                due += POLL_S
                if due >= COUNT_S:
                    due = 0
                    self.count()
            except EngineAway as error:
                self.away(error)
            gevent.sleep(POLL_S)

    def away(self, error: EngineAway) -> None:
        """Note that the engine does not answer."""
        self.metrics.count('engine_failures')
        if self.state is not None:
            self.log.write('engine_lost', why=str(error))
        self.state = None
        self.counts = ()

    def poll(self) -> None:
        """Read the state.

        :raises EngineAway: where the engine does not answer.
        """
        asked_at = boot_time()
        state = self.reads.state()
        if state is None:
            return
        known = self.state
        if known is None or known.epoch != state.epoch:
            self.log.write(
                'engine_found',
                group=state.group,
                rank=state.rank,
                epoch=state.epoch,
                open=state.is_open,
            )
            self.counts = ()
            self.experts = None
        self.take(state, asked_at, urgent=False)

    def take(
        self,
        state: EngineState,
        asked_at: float,
        *,
        urgent: bool,
    ) -> None:
        """Take a state that was just read, and add what is known here."""
        oldest = boot_time() - UNANSWERED_S
        while self.unanswered and self.unanswered[0] < oldest:
            self.unanswered.popleft()
        self.state = replace(
            state,
            unanswered=len(self.unanswered),
            copying=self.copying,
        )
        self.on_state(self.state, asked_at, urgent=urgent)

    def count(self) -> None:
        """Read and tell the counts since the last time.

        :raises EngineAway: where the engine does not answer.
        """
        state = self.state
        if state is None or not state.is_open:
            return
        if self.experts is None or self.experts.version != state.version:
            self.experts = self.reads.held()
        chosen = self.reads.chosen()
        former, self.counts = self.counts, chosen.counts
        if len(former) != len(chosen.counts):
            return
        fresh = tuple(
            max(0, new - old)
            for new, old in zip(chosen.counts, former, strict=True)
        )
        self.on_counts(
            CountNews(
                state.group,
                state.rank,
                state.epoch,
                self.experts.version,
                self.experts.experts,
                fresh,
            )
        )

    def obey(self, news: OrderNews) -> None:
        """Give the engine an order of a leader, then read its state."""
        if news.fence < self.fence or self.waiting >= MOST_ORDERS:
            self.log.write('order_refused', fence=news.fence, known=self.fence)
            return
        self.fence = news.fence
        if isinstance(news.order, PrepareMap):
            self.remember(news.order)
        self.waiting += 1
        gevent.spawn(self.carry, news)

    def remember(self, order: PrepareMap) -> None:
        """Keep a map: the next leader may need it and not reach all ranks."""
        self.maps[order.version] = order.content
        while len(self.maps) > MAPS_KEPT:
            self.maps.pop(min(self.maps))

    def content(self, state: EngineState, experts: int) -> GroupMap | None:
        """Give the map in use, where this rank knows all of it.

        :param experts: experts of a set.
        :returns: None where the map was prepared before this process began.
        """
        if state.version == 0 and self.experts is not None:
            return first_map(len(self.experts.experts), experts, state.size)
        return self.maps.get(state.version)

    def carry(self, news: OrderNews) -> None:
        """Carry one order out, after those before it."""
        with self.lock:
            try:
                self.give(news)
                asked_at = boot_time()
                state = self.orders.state()
            except EngineAway as error:
                self.away(error)
                return
            finally:
                self.waiting -= 1
        if state is not None:
            self.take(state, asked_at, urgent=True)

    def give(self, news: OrderNews) -> None:
        """Give one order; what became of it shows in the state."""
        outcome = 'refused'
        try:
            if self.orders.order(news.order, news.epoch, news.sequence):
                outcome = 'accepted'
                if isinstance(news.order, PrepareMap):
                    self.copying = news.order.version
        except EngineAway as error:
            outcome = str(error)
            self.unanswered.append(boot_time())
        self.metrics.count('orders')
        self.log.write(
            'order',
            order=type(news.order).__name__,
            fence=news.fence,
            epoch=news.epoch,
            sequence=news.sequence,
            outcome=outcome,
        )
