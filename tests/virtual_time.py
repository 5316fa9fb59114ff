"""Run the daemon's greenlets on a virtual clock, without real waiting."""

import heapq
from itertools import count

import greenlet

# Interval at which a greenlet that waits for another one checks it.
JOIN_CHECK_S = 0.005


class VirtualGreenlet:
    """Stand in for ``gevent.Greenlet``."""

    def __init__(self, clock, owner, callback, callback_args):
        self.clock = clock
        self.owner = owner
        self.callback = callback
        self.callback_args = callback_args
        self.switcher = greenlet.greenlet(self.run, parent=clock.hub)
        self.is_killed = False
        self.value = None

    def run(self):
        """Run the function; being killed is not an error."""
        if self.is_killed:
            return
        try:
            self.value = self.callback(*self.callback_args)
        except greenlet.GreenletExit:
            return

    def ready(self):
        """Check whether the function has returned."""
        return self.switcher.dead

    def join(self, timeout):
        """Wait until the function has returned, or for a time."""
        end = self.clock.now + timeout
        while not self.ready() and self.clock.now < end:
            self.clock.sleep(JOIN_CHECK_S)

    def kill(self, block=True):
        """End the greenlet at its current or next pause."""
        self.is_killed = True
        if self.switcher is not greenlet.getcurrent():
            self.clock.schedule(0, self)


class VirtualClock:
    """Schedule greenlets by virtual time; stands in for the gevent module.

    All greenlets that are due at one time run in the order of their pauses.
    A greenlet belongs to the owner of the one that started it; those of a
    frozen owner do not run.
    """

    def __init__(self, now=1000):
        self.now = float(now)
        self.hub = greenlet.getcurrent()
        self.due = []
        self.numbers = count()
        self.by_switcher = {}
        self.frozen_until = {}
        # Stands in for the class, of which only ``spawn`` is used.
        self.Greenlet = self

    def boot_time(self):
        """Return the virtual time."""
        return self.now

    def schedule(self, delay_s, target):
        """Resume a greenlet after a delay."""
        entry = (self.now + max(0, delay_s), next(self.numbers), target)
        heapq.heappush(self.due, entry)

    def spawn(self, callback, *callback_args):
        """Start a greenlet."""
        return self.spawn_later(0, callback, *callback_args)

    def spawn_later(self, delay_s, callback, *callback_args):
        """Start a greenlet after a delay."""
        current = self.by_switcher.get(greenlet.getcurrent())
        owner = current.owner if current else None
        return self.spawn_for(owner, delay_s, callback, *callback_args)

    def spawn_for(self, owner, delay_s, callback, *callback_args):
        """Start a greenlet of an owner after a delay."""
        target = VirtualGreenlet(self, owner, callback, callback_args)
        self.by_switcher[target.switcher] = target
        self.schedule(delay_s, target)
        return target

    def sleep(self, delay_s=0):
        """Pause the current greenlet."""
        current = self.by_switcher[greenlet.getcurrent()]
        self.schedule(delay_s, current)
        self.hub.switch()
        if current.is_killed:
            raise greenlet.GreenletExit

    def run_until(self, end):
        """Run all greenlets that are due up to a time."""
        while self.due and self.due[0][0] <= end:
            due_at, _, target = heapq.heappop(self.due)
            self.now = max(self.now, due_at)
            frozen_until = self.frozen_until.get(target.owner, 0)
            if frozen_until > self.now:
                self.schedule(frozen_until - self.now, target)
                continue
            if not target.switcher.dead:
                target.switcher.switch()
            if target.switcher.dead:
                self.by_switcher.pop(target.switcher, None)
        self.now = max(self.now, end)
