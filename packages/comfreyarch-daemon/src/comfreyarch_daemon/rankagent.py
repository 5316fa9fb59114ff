"""Poll one rank's engine and execute the leader's orders on it."""

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import gevent
from gevent.lock import BoundedSemaphore

from comfreyarch_core.enginestate import EngineState, PrepareMap
from comfreyarch_core.reportpacing import (
    MIN_LARGE_GROUP,
    SHORTEST_LARGE_GROUP_INTERVAL_S,
    compute_count_interval,
)
from comfreyarch_core.savedmaps import SavedMaps
from comfreyarch_daemon.engineapi import (
    EngineApi,
    EngineUnavailable,
    HeldExperts,
)
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.sidecarmessages import ExpertCounts, RankOrder
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.upstreamcalls import boot_time

# Interval at which the state is read. Reads by the engine's own sidecar cost
# the engine nothing, only the sidecar's time.
POLL_INTERVAL_S = 0.15
# Shortest interval at which counts are read and reported. Demand shifts within
# seconds.
COUNT_INTERVAL_S = 0.4
# Time for which an order without an answer is counted in the reported state.
UNANSWERED_WINDOW_S = 3.0
# Maximum number of orders queued while the engine does not answer.
MAX_PENDING_ORDERS = 4


class StateListener(Protocol):
    """Callback for an engine state that was just read."""

    def __call__(
        self,
        state: EngineState,
        read_started_at: float,
        *,
        urgent: bool,
    ) -> None:
        """Process the state.

        :param read_started_at: time at which the reading started; a reading
            that started later is newer.
        :param urgent: whether the state was read after an order.
        """


class RankAgent:
    """Poll one engine and execute the leader's orders on it.

    :param read_connection: the connection for reads.
    :param order_connection: the connection for orders and the read after each.
    :param fence: the highest fence seen; orders with a lower one are refused.
    :param held_experts: the rank's experts under the map in use.
    :param counts: expert counts at the last reading, since the engine's start.
    :param count_interval_s: interval between two reports of counts.
    :param since_count_s: time since the last report of counts.
    :param saved_maps: the last maps that leaders ordered this rank to prepare.
    :param copying: version of the last map that the engine started to prepare.
    :param pending_orders: number of orders that are queued or in progress.
    :param unanswered: times of recent orders without an answer.
    """

    __slots__ = (
        'copying',
        'count_interval_s',
        'counts',
        'fence',
        'held_experts',
        'lock',
        'log',
        'metrics',
        'on_counts',
        'on_state',
        'order_connection',
        'pending_orders',
        'read_connection',
        'saved_maps',
        'since_count_s',
        'state',
        'unanswered',
        'workers',
    )

    def __init__(
        self,
        read_connection: EngineApi,
        order_connection: EngineApi,
        on_state: StateListener,
        on_counts: Callable[[ExpertCounts], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Set up the agent with separate connections for reads and orders.

        An order without an answer blocks its connection, and reads must not
        wait for it.
        """
        self.read_connection = read_connection
        self.order_connection = order_connection
        self.on_state = on_state
        self.on_counts = on_counts
        self.log = log
        self.metrics = metrics
        self.state: EngineState | None = None
        self.held_experts: HeldExperts | None = None
        self.counts: tuple[int, ...] = ()
        self.count_interval_s = COUNT_INTERVAL_S
        self.since_count_s = 0.0
        self.fence = 0
        self.saved_maps = SavedMaps()
        self.copying: int | None = None
        self.lock = BoundedSemaphore(1)
        self.pending_orders = 0
        self.unanswered: deque[float] = deque()
        self.workers: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start polling."""
        self.workers = [spawn_loop('engine polls', self.run)]

    def close(self) -> None:
        """Stop polling and close the connections."""
        for worker in self.workers:
            worker.kill(block=False)
        self.read_connection.close()
        self.order_connection.close()

    def run(self) -> None:
        """Poll the engine's state and counts until stopped."""
        polled_at = boot_time()
        while True:
            now = boot_time()
            elapsed_s, polled_at = now - polled_at, now
            try:
                self.poll()
                self.handle_count_timer(elapsed_s)
            except EngineUnavailable as error:
                self.mark_unavailable(error)
            gevent.sleep(POLL_INTERVAL_S)

    def handle_count_timer(self, elapsed_s: float) -> None:
        """Report counts if they are due.

        In a large group each report covers the time since the last poll only,
        so that few reports mix the demand of before and after a shift.

        :param elapsed_s: time since the last call.
        :raises EngineUnavailable: if the engine does not answer.
        """
        self.since_count_s += elapsed_s
        if self.since_count_s >= self.count_interval_s:
            # The remainder counts for the next report, but not more than one.
            self.since_count_s = min(
                self.since_count_s - self.count_interval_s, POLL_INTERVAL_S
            )
            self.report_counts()
        elif self.is_in_large_group() and self.state is not None:
            if self.state.is_open:
                self.counts = self.read_connection.chosen().counts

    def is_in_large_group(self) -> bool:
        """Check whether the rank's group is so large that reports are rarer."""
        return self.state is not None and self.state.size >= MIN_LARGE_GROUP

    def mark_unavailable(self, error: EngineUnavailable) -> None:
        """Record that the engine did not answer, and drop its state."""
        self.metrics.count('engine_failures')
        if self.state is not None:
            self.log.write('engine_lost', why=str(error))
        self.state = None
        self.counts = ()

    def poll(self) -> None:
        """Read the engine's state.

        :raises EngineUnavailable: if the engine does not answer.
        """
        read_started_at = boot_time()
        state = self.read_connection.state()
        if state is None:
            return
        previous = self.state
        if previous is None or previous.epoch != state.epoch:
            self.log.write(
                'engine_found',
                group=state.group,
                rank=state.rank,
                epoch=state.epoch,
                open=state.is_open,
            )
            self.counts = ()
            self.held_experts = None
            self.saved_maps.sets = 0
        self.update_state(state, read_started_at, urgent=False)

    def update_state(
        self,
        state: EngineState,
        read_started_at: float,
        *,
        urgent: bool,
    ) -> None:
        """Record a state that was just read and pass it to the listener.

        The state is completed with the unanswered orders and the map being
        copied, which only this sidecar knows.
        """
        oldest = boot_time() - UNANSWERED_WINDOW_S
        while self.unanswered and self.unanswered[0] < oldest:
            self.unanswered.popleft()
        self.state = replace(
            state,
            unanswered=len(self.unanswered),
            copying=self.copying,
        )
        self.on_state(self.state, read_started_at, urgent=urgent)

    def pace_counts(self, message_bytes: int, link_bytes_per_s: float) -> None:
        """Set the interval of count reports after one was sent.

        :param message_bytes: its size.
        :param link_bytes_per_s: capacity of the leader's link, 0 if unknown.
        """
        if self.state is not None:
            self.count_interval_s = compute_count_interval(
                message_bytes,
                self.state.size,
                link_bytes_per_s,
                SHORTEST_LARGE_GROUP_INTERVAL_S
                if self.is_in_large_group()
                else COUNT_INTERVAL_S,
            )

    def report_counts(self) -> None:
        """Read the expert counts and report their increase since the last call.

        :raises EngineUnavailable: if the engine does not answer.
        """
        state = self.state
        if state is None or not state.is_open:
            return
        if (
            self.held_experts is None
            or self.held_experts.version != state.version
        ):
            self.held_experts = self.read_connection.held()
            self.saved_maps.sets = len(self.held_experts.experts)
        chosen = self.read_connection.chosen()
        previous, self.counts = self.counts, chosen.counts
        if len(previous) != len(chosen.counts):
            return
        new_counts = tuple(
            max(0, new - old)
            for new, old in zip(chosen.counts, previous, strict=True)
        )
        self.on_counts(
            ExpertCounts(
                state.group,
                state.rank,
                state.epoch,
                self.held_experts.version,
                self.held_experts.experts,
                new_counts,
            )
        )

    def enqueue_order(self, order: RankOrder) -> None:
        """Queue a leader's order for the engine.

        The order is refused if a higher fence was seen or too many orders are
        pending.
        """
        if (
            order.fence < self.fence
            or self.pending_orders >= MAX_PENDING_ORDERS
        ):
            self.log.write('order_refused', fence=order.fence, known=self.fence)
            return
        self.fence = order.fence
        if isinstance(order.order, PrepareMap):
            self.saved_maps.save(order.order)
        self.pending_orders += 1
        gevent.spawn(self.execute_order, order)

    def execute_order(self, order: RankOrder) -> None:
        """Execute one order after the orders queued before it.

        The engine's state is read afterwards and passed on at once.
        """
        with self.lock:
            try:
                self.send_order(order)
                read_started_at = boot_time()
                state = self.order_connection.state()
            except EngineUnavailable as error:
                self.mark_unavailable(error)
                return
            finally:
                self.pending_orders -= 1
        if state is not None:
            self.update_state(state, read_started_at, urgent=True)

    def send_order(self, order: RankOrder) -> None:
        """Send the engine one order and log the answer.

        The engine's state shows whether the order took effect.
        """
        outcome = 'refused'
        try:
            if self.order_connection.order(
                order.order, order.epoch, order.sequence
            ):
                outcome = 'accepted'
                if isinstance(order.order, PrepareMap):
                    self.copying = order.order.version
        except EngineUnavailable as error:
            outcome = str(error)
            self.unanswered.append(boot_time())
        self.metrics.count('orders')
        self.log.write(
            'order',
            order=type(order.order).__name__,
            fence=order.fence,
            epoch=order.epoch,
            sequence=order.sequence,
            outcome=outcome,
        )
