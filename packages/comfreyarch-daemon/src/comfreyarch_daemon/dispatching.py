"""Give requests a slot at an upstream, or let them wait for one."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from comfreyarch_core.placing import NOBODY, Placer, UpstreamView
from comfreyarch_core.waitline import Waiter, WaitLine, make_wait_line
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

    __slots__ = ('changed', 'lines', 'placer', 'results', 'worker')

    def __init__(self, placer: Placer) -> None:
        """Start with nobody waiting."""
        self.placer = placer
        self.lines: dict[str, WaitLine] = {}
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
        line = self.lines.setdefault(waiter.service, make_wait_line())
        if not line.waiters:
            view = self.take(waiter, now)
            if view is not None:
                return view
        if not self.candidates(waiter):
            raise NoPlace('no upstream is listed', 0, upstreams=False)
        if line.hopeless(waiter, now):
            wait_s = line.wait_s(waiter, now)
            why = f'{len(line.waiters)} wait, {wait_s:.2f} s expected'
            raise NoPlace(why, wait_s, upstreams=True)
        return self.wait(waiter, line)

    def wait(self, waiter: Waiter, line: WaitLine) -> UpstreamView:
        """Wait in the line.

        :raises NoPlace: after the time in which a start is of use.
        """
        result = AsyncResult()
        self.results[waiter] = result
        line.join(waiter)
        try:
            view: UpstreamView | None = result.get(
                timeout=max(0, waiter.leave_at - boot_time()),
            )
        except gevent.Timeout:
            view = None
        except BaseException:
            if result.ready():
                self.release(result.get())
            raise
        finally:
            self.results.pop(waiter, None)
            line.leave(waiter)
        if view is None:
            why = f'no slot in time, {len(line.waiters)} wait'
            wait_s = line.start_s * len(line.waiters)
            raise NoPlace(why, wait_s, upstreams=True)
        return view

    def take(self, waiter: Waiter, now: float) -> UpstreamView | None:
        """Take a free slot.

        :returns: None where there is none.
        """
        view = self.placer.choose(
            waiter.service,
            now,
            waiter.avoid,
            waiter.longest_pass_s(now),
        )
        if view is None:
            return None
        view.in_flight += 1
        self.placer.gate(waiter.service).sent(now)
        self.changed()
        return view

    def candidates(self, waiter: Waiter) -> bool:
        """Tell whether any upstream could take a request at some time.

        :returns: False where the service has none left.
        """
        views = self.placer.services.get(waiter.service, ())
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
        for line in self.lines.values():
            for waiter in line.ordered(now):
                view = self.take(waiter, now)
                if view is None and waiter.avoid == NOBODY:
                    break
                if view is not None:
                    line.started(waiter, now)
                    self.results.pop(waiter).set(view)

    def news(self) -> tuple[dict[str, int], dict[str, int]]:
        """Give the counts for the other entries.

        :returns: requests in flight by upstream, and waiting by service.
        """
        in_flight = {
            name: view.in_flight
            for name, view in self.placer.views.items()
            if view.in_flight > 0
        }
        waiting = {
            service: len(line.waiters)
            for service, line in self.lines.items()
            if line.waiters
        }
        return in_flight, waiting


def ignore() -> None:
    """Do nothing: nobody listens yet."""
