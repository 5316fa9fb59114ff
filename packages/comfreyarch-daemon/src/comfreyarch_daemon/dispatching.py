"""Assign requests to free slots at upstreams, or queue them for one."""

import math
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from comfreyarch_core.fleetqueue import Backlog
from comfreyarch_core.permits import SendDemand
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import (
    NO_UPSTREAMS,
    UpstreamSelector,
    UpstreamView,
    count_slots,
)
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import WaitQueue, make_wait_queue
from comfreyarch_daemon.dispatcherrors import (
    DispatchError,
    make_late_error,
    make_timeout_error,
)
from comfreyarch_daemon.placementchecks import (
    check_candidates,
    check_end,
    check_hold,
)
from comfreyarch_daemon.sharedcrashguard import RequestBarred
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.upstreamcalls import boot_time

# Interval between checks for slots that become free without an event of this
# entry: an upstream's pause ends, or the weight of its strays (requests that
# no entry accounts for) decays.
QUEUE_CHECK_INTERVAL_S = 0.03
# Demand of requests that may come.
FUTURE_DEMAND = SendDemand()


class Dispatcher:
    """Assign requests to slots and serve the wait queues.

    :param on_load_change: called when the number of requests in flight
        changed.
    :param on_demand: called with limited upstreams and the requests that may use
        a permit for one of them.
    :param queues: wait queues by service.
    :param results: result of each waiting request: the upstream at which it
        gets a slot.
    """

    __slots__ = (
        'on_demand',
        'on_load_change',
        'queues',
        'results',
        'selector',
        'worker',
    )

    def __init__(self, selector: UpstreamSelector) -> None:
        """Start without waiting requests."""
        self.selector = selector
        self.queues: dict[str, WaitQueue] = {}
        self.results: dict[Waiter, AsyncResult] = {}
        self.on_load_change: Callable[[], None] = ignore_change
        self.on_demand: Callable[[list[UpstreamEntry], SendDemand], None] = (
            ignore_demand
        )
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to check the wait queues periodically."""
        self.worker = spawn_loop('wait queues', self.run)

    def close(self) -> None:
        """Stop the periodic checks."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def run(self) -> None:
        """Serve the wait queues periodically."""
        while True:
            gevent.sleep(QUEUE_CHECK_INTERVAL_S)
            if self.results:
                self.serve_queues()

    def acquire_slot(self, waiter: Waiter) -> UpstreamView:
        """Assign a slot to a request, at once or after a wait.

        The request owns the slot. The caller ends with ``release_slot``,
        whether this returns or fails.

        :returns: the upstream; the request counts as in flight there.
        :raises DispatchError: if the request cannot start in time.
        """
        queue = self.queues.setdefault(waiter.service, make_wait_queue())
        view = place(self, waiter, queue, boot_time())
        return view if view is not None else self.wait_for_slot(waiter, queue)

    def wait_for_slot(self, waiter: Waiter, queue: WaitQueue) -> UpstreamView:
        """Wait in the queue until a slot is assigned.

        :raises DispatchError: if none is assigned before the latest useful
            start.
        :raises RequestBarred: if a trait of it is barred meanwhile.
        """
        result = AsyncResult()
        self.results[waiter] = result
        queue.join(waiter)
        try:
            self.on_load_change()
            self.request_queued(queue, boot_time())
            result.wait(timeout=max(0, waiter.latest_start_at - boot_time()))
        except BaseException:
            release_slot(self, waiter)
            raise
        finally:
            self.results.pop(waiter, None)
            queue.leave(waiter)
        if waiter.slot is not None:
            # It may also have been assigned just as the time ran out.
            return waiter.slot
        if result.exception is not None:
            raise result.exception
        raise make_timeout_error(queue, self.selector.source.random())

    def yields(self, queue: WaitQueue, waiter: Waiter, now: float) -> bool:
        """Decide whether a request leaves the free slots to other entries.

        :returns: True if more urgent requests wait there for all of them.
        """
        fleet = queue.fleet
        fleet.others = self.selector.fleet_load.backlogs(waiter.service)
        if queue.is_limited or not fleet.others:
            return False
        self.update_fleet(waiter.service, queue, now)
        return fleet.yields(waiter.rank(now), now)

    def update_fleet(self, service: str, queue: WaitQueue, now: float) -> bool:
        """Update what the waits for slots are predicted from.

        :returns: False if the last count of the slots is still used.
        """
        queue.fleet.others = self.selector.fleet_load.backlogs(service)
        if not queue.fleet.needs_count(now):
            return False
        slots, free = count_slots(self.selector, service, now)
        queue.fleet.record_slots(slots, free, now)
        return True

    def record_answer(
        self, view: UpstreamView, duration_s: float, pass_count: float
    ) -> None:
        """Record how long a complete answer occupied a slot."""
        queue = self.queues.get(view.entry.service)
        if queue is not None:
            queue.fleet.record_answer(duration_s, pass_count or 1)

    def take_free_slot(
        self,
        waiter: Waiter,
        now: float,
    ) -> UpstreamView | None:
        """Choose an upstream with a free slot and count the request there.

        :returns: None if no upstream has a free slot.
        """
        view = self.selector.choose(
            waiter.service,
            now,
            waiter.avoid,
            waiter.max_pass_s(now),
        )
        if view is None:
            return None
        waiter.cold_send_by = self.selector.cold.record_send(view.entry, now)
        waiter.send_by = min(
            self.selector.permits.use_permit(view.entry, now),
            waiter.cold_send_by,
        )
        view.claim.take()
        view.in_flight += 1
        waiter.slot = view
        self.selector.circuit_breaker(waiter.service).sent(now)
        self.on_load_change()
        return view

    def refuse_unplaceable(self) -> None:
        """Refuse the waiting requests that evacuations leave no upstream."""
        if not self.selector.evacuations.zones:
            return
        for waiter in list(self.results):
            try:
                check_candidates(self.selector, waiter)
            except DispatchError as error:
                self.refuse(waiter, error)

    def refuse_endless(self, queue: WaitQueue, now: float) -> None:
        """Refuse the waiting requests that cannot end before their deadline."""
        for waiter in list(queue.waiters):
            try:
                check_end(self.selector, waiter, queue, now)
            except DispatchError as error:
                self.refuse(waiter, error)

    def refuse_held(self) -> None:
        """Refuse the waiting requests that no upstream wants in time."""
        now = boot_time()
        for waiter in list(self.results):
            try:
                check_hold(self.selector, waiter, now)
            except DispatchError as error:
                self.refuse(waiter, error)

    def refuse_barred(self, trait: str) -> None:
        """Refuse the waiting requests with a newly barred trait."""
        for waiter in list(self.results):
            if trait in waiter.traits:
                self.refuse(waiter, RequestBarred(trait))

    def refuse(self, waiter: Waiter, error: Exception) -> None:
        """Refuse a waiting request; it is not assigned a slot any more."""
        self.queues[waiter.service].leave(waiter)
        self.results.pop(waiter).set_exception(error)

    def release(self, view: UpstreamView) -> None:
        """Release a slot and assign free slots to waiting requests."""
        view.in_flight -= 1
        view.claim.released_at = boot_time()
        self.on_load_change()
        if self.results:
            self.serve_queues()

    def serve_queues(self) -> None:
        """Assign free slots to waiting requests in the order of the queue."""
        now = boot_time()
        self.refuse_unplaceable()
        for service, queue in self.queues.items():
            if not queue.waiters:
                continue
            refuse_expired(self, queue, now)
            self.update_limit(service, queue, now)
            is_counted = self.update_fleet(service, queue, now)
            self.serve_queue(queue, now)
            if is_counted or queue.is_limited:
                self.refuse_late(queue, now)
                self.refuse_endless(queue, now)
            self.request_queued(queue, now)

    def serve_queue(self, queue: WaitQueue, now: float) -> None:
        """Assign free slots to the requests of one queue."""
        for waiter in queue.ordered(now):
            if not queue.is_reserved and self.yields(queue, waiter, now):
                break
            view = waiter.slot
            if view is None:
                view = self.take_free_slot(waiter, now)
            # Not even a request that may run at any upstream got a slot.
            if view is None and waiter.avoid == NO_UPSTREAMS:
                break
            if view is not None:
                queue.record_start(waiter, now)
                queue.fleet.record_start()
                self.results.pop(waiter).set(view)

    def update_limit(self, service: str, queue: WaitQueue, now: float) -> None:
        """Update what the upstreams of a queue's service take together."""
        queue.limit = self.selector.service_limit(service, now)
        if queue.is_limited:
            queue.others = self.selector.fleet_load.waiting(service)

    def refuse_late(self, queue: WaitQueue, now: float) -> None:
        """Refuse the requests that would start too late."""
        for waiter in queue.too_late(now):
            draw = self.selector.source.random()
            error = make_late_error(queue, queue.drain_s(), draw)
            self.refuse(waiter, error)

    def request_queued(self, queue: WaitQueue, now: float) -> None:
        """Request permits for the requests of a queue."""
        if not queue.waiters or self.selector.permits.is_idle:
            return
        first = queue.ordered(now)[0]
        urgency, is_late, start_at = queue.position(first, now)
        demand = SendDemand(
            len(queue.waiters),
            (urgency, is_late, start_at - now),
            first.latest_start_at - now,
        )
        self.request_permits(first.service, demand, now)

    def request_permits(
        self, service: str, demand: SendDemand, now: float
    ) -> None:
        """Request permits for the limited upstreams of a service."""
        upstreams = self.selector.limited_upstreams(service, now)
        if upstreams:
            self.on_demand(upstreams, demand)

    def load_counts(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return this entry's load, which is sent to the other entries.

        :returns: requests in flight by upstream, and waiting requests by
            service.
        """
        in_flight = {
            name: view.in_flight
            for name, view in self.selector.views.items()
            if view.in_flight > 0
        }
        waiting = {
            service: len(queue.waiters)
            for service, queue in self.queues.items()
            if queue.waiters
        }
        return in_flight, waiting

    def backlogs(self) -> dict[str, tuple[Backlog, ...]]:
        """Return what waits at this entry, which is sent to the others.

        :returns: sums by rank, by service.
        """
        now = boot_time()
        return {
            service: queue.backlogs(now)
            for service, queue in self.queues.items()
            if queue.waiters
        }


def place(
    dispatcher: Dispatcher, waiter: Waiter, queue: WaitQueue, now: float
) -> UpstreamView | None:
    """Assign a free slot to a request, or check that it may wait for one.

    :returns: the upstream, None if the request may wait.
    :raises DispatchError: if the request cannot start in time.
    """
    if not queue.waiters and not dispatcher.yields(queue, waiter, now):
        view = dispatcher.take_free_slot(waiter, now)
        if view is not None:
            dispatcher.request_permits(waiter.service, FUTURE_DEMAND, now)
            return view
    check_candidates(dispatcher.selector, waiter)
    check_hold(dispatcher.selector, waiter, now)
    dispatcher.update_limit(waiter.service, queue, now)
    dispatcher.update_fleet(waiter.service, queue, now)
    check_end(dispatcher.selector, waiter, queue, now)
    # Waits for slots tell nothing of the wait for a permit.
    needs_permit = not queue.is_limited and math.isfinite(
        dispatcher.selector.service_limit(waiter.service, now, waiter.avoid)
    )
    if not needs_permit and queue.cannot_start_in_time(waiter, now):
        raise make_late_error(
            queue,
            queue.wait_s(waiter, now),
            dispatcher.selector.source.random(),
        )
    return None


def release_slot(dispatcher: Dispatcher, waiter: Waiter) -> None:
    """Release the slot of a request, if it has one."""
    view, waiter.slot = waiter.slot, None
    if view is not None:
        dispatcher.release(view)


def limit_starts(dispatcher: Dispatcher, latest_start_at: float) -> None:
    """Bound the latest start of the requests that wait now.

    A request that continues a stream is not bounded.
    """
    for waiter in dispatcher.results:
        if not waiter.is_resumed:
            waiter.latest_start_at = min(
                waiter.latest_start_at, latest_start_at
            )


def refuse_expired(
    dispatcher: Dispatcher, queue: WaitQueue, now: float
) -> None:
    """Refuse the waiting requests whose latest start has passed."""
    for waiter in list(queue.waiters):
        if waiter.latest_start_at <= now:
            draw = dispatcher.selector.source.random()
            dispatcher.refuse(waiter, make_timeout_error(queue, draw))


def ignore_change() -> None:
    """Do nothing; the default for ``Dispatcher.on_load_change``."""


def ignore_demand(_upstreams: list[UpstreamEntry], _demand: SendDemand) -> None:
    """Do nothing; the default for ``Dispatcher.on_demand``."""
