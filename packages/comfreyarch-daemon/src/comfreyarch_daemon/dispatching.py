"""Give requests a slot at an upstream, or let them wait for one."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from comfreyarch_core.upstreamselection import (
    NO_UPSTREAMS,
    UpstreamSelector,
    UpstreamView,
)
from comfreyarch_core.waitqueue import Waiter, WaitQueue, make_wait_queue
from comfreyarch_daemon.upstreamcalls import boot_time

# Waiting requests are looked at so often besides: pauses end, strays fade.
PUMP_S = 0.03


class NoPlace(Exception):
    """Tell that a request cannot start in time.

    :param why: what decided it.
    :param retry_after_s: when the line is expected to be worked off.
    """

    def __init__(
        self,
        why: str,
        retry_after_s: float,
        *,
        upstreams: bool,
    ) -> None:
        """Hold when to come back, and whether there are upstreams at all."""
        super().__init__(why)
        self.retry_after_s = retry_after_s
        self.upstreams = upstreams


class Dispatcher:
    """Place requests, and those that wait as slots become free.

    :param changed: called when a count in flight changed.
    """

    __slots__ = ('changed', 'queues', 'selector', 'results', 'worker')

    def __init__(self, selector: UpstreamSelector) -> None:
        """Start with nobody waiting."""
        self.selector = selector
        self.queues: dict[str, WaitQueue] = {}
        self.results: dict[Waiter, AsyncResult] = {}
        self.changed: Callable[[], None] = ignore
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start looking at the lines now and then."""
        self.worker = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop that."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def run(self) -> None:
        """Place what waits, for as long as something does."""
        while True:
            gevent.sleep(PUMP_S)
            if self.results:
                self.pump()

    def place(self, waiter: Waiter) -> UpstreamView:
        """Give a request a slot, at once or after a wait.

        :returns: the upstream, the request counted in flight there.
        :raises NoPlace: where it cannot start in time.
        """
        now = boot_time()
        queue = self.queues.setdefault(waiter.service, make_wait_queue())
        if not queue.waiters:
            view = self.take(waiter, now)
            if view is not None:
                return view
        if not self.candidates(waiter):
            raise NoPlace('no upstream is listed', 0, upstreams=False)
        if queue.cannot_start_in_time(waiter, now):
            wait_s = queue.wait_s(waiter, now)
            why = f'{len(queue.waiters)} wait, {wait_s:.2f} s expected'
            raise NoPlace(why, wait_s, upstreams=True)
        return self.wait(waiter, queue)

    def wait(self, waiter: Waiter, queue: WaitQueue) -> UpstreamView:
        """Wait in the line.

        :raises NoPlace: after the time in which a start is of use.
        """
        result = AsyncResult()
        self.results[waiter] = result
        queue.join(waiter)
        try:
            view: UpstreamView | None = result.get(
                timeout=max(0, waiter.latest_start_at - boot_time()),
            )
        except gevent.Timeout:
            view = None
        except BaseException:
            if result.ready():
                self.release(result.get())
            raise
        finally:
            self.results.pop(waiter, None)
            queue.leave(waiter)
        if view is None:
            why = f'no slot in time, {len(queue.waiters)} wait'
            wait_s = queue.start_interval_s * len(queue.waiters)
            raise NoPlace(why, wait_s, upstreams=True)
        return view

    def take(self, waiter: Waiter, now: float) -> UpstreamView | None:
        """Take a free slot.

        :returns: None where there is none.
        """
        view = self.selector.choose(
            waiter.service,
            now,
            waiter.avoid,
            waiter.max_pass_s(now),
        )
        if view is None:
            return None
        view.in_flight += 1
        self.selector.circuit_breaker(waiter.service).sent(now)
        self.changed()
        return view

    def candidates(self, waiter: Waiter) -> bool:
        """Tell whether any upstream could take a request at some time.

        :returns: False where the service has none left.
        """
        views = self.selector.services.get(waiter.service, ())
        return any(view.entry.name not in waiter.avoid for view in views)

    def release(self, view: UpstreamView) -> None:
        """Give a slot back."""
        view.in_flight -= 1
        self.changed()
        if self.results:
            self.pump()

    def pump(self) -> None:
        """Place waiting requests in their order while slots are free."""
        now = boot_time()
        for queue in self.queues.values():
            for waiter in queue.ordered(now):
                view = self.take(waiter, now)
                if view is None and waiter.avoid == NO_UPSTREAMS:
                    break
                if view is not None:
                    queue.record_start(waiter, now)
                    self.results.pop(waiter).set(view)

    def news(self) -> tuple[dict[str, int], dict[str, int]]:
        """Give the counts for the other entries.

        :returns: requests in flight by upstream, and waiting by service.
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


def ignore() -> None:
    """Do nothing: nobody listens yet."""
