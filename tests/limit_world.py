"""Simulate entries that share the request limits of upstreams."""

import heapq
import math
import random
from dataclasses import dataclass, field

from comfreyarch_core.limitcontrol import make_limit_control
from comfreyarch_core.permits import SendDemand
from comfreyarch_core.upstreamlist import UpstreamEntry

REPORT_S = 0.25
# Interval at which waiting requests are served, as in the dispatcher.
QUEUE_CHECK_S = 0.03
# Interval at which the shares are added up.
SAMPLE_S = 0.05


@dataclass
class Setup:
    """Describe a deployment, its traffic and its faults.

    :param limit: requests per second that each limited upstream takes.
    :param limited: number of limited upstreams.
    :param others: number of upstreams without a limit.
    :param rate: requests per second over all entries.
    :param loss: share of the messages that are lost.
    :param restarts: times at which an entry's process is replaced.
    :param freezes: begin and length of pauses, by entry.
    :param cuts: begin, length and entry, whose messages to others are lost.
    :param isolated: entries that never hear or reach another one.
    :param changes: times at which the limits change, and to what.
    """

    seed: int
    entries: int = 8
    limit: float = 1.0
    limited: int = 1
    others: int = 0
    rate: float = 30.0
    delay_s: float = 0.003
    late_share: float = 0.0
    late_s: float = 1.0
    loss: float = 0.0
    patience_s: float = 2.0
    answer_s: float = 0.2
    length_s: float = 40.0
    limited_from_s: float = 5.0
    restarts: tuple = ()
    stops: tuple = ()
    freezes: tuple = ()
    cuts: tuple = ()
    isolated: tuple = ()
    changes: tuple = ()


@dataclass(eq=False)
class Waiting:
    """Represent a request that waits at an entry until a time."""

    until: float


@dataclass(eq=False)
class Entry:
    """Represent one entry and the messages that wait while it is paused."""

    number: int
    control: object
    frozen_until: float = 0.0
    queue: list = field(default_factory=list)
    generation: int = 0
    report_due: bool = False


class LimitWorld:
    """Play a setup in virtual time.

    :param arrivals: times of the requests that each upstream got.
    :param most_shared: largest sum of the shares in use of one limit.
    :param requested: times at which requests arrived at entries.
    :param refused: requests that waited too long.
    """

    def __init__(self, setup):
        self.setup = setup
        self.source = random.Random(setup.seed)
        self.now = 0.0
        self.events = []
        self.order = 0
        self.limit = math.inf
        self.names = [f'u{n}' for n in range(setup.limited + setup.others)]
        self.listed = {
            name: UpstreamEntry(name, 's', f'{name}:1', 'z', 6, False)
            for name in self.names
        }
        self.limited = self.names[: setup.limited]
        self.arrivals = {name: [] for name in self.names}
        self.entries = [
            Entry(number, self.make_control(number))
            for number in range(setup.entries)
        ]
        self.most_shared = 0.0
        self.requested = []
        self.refused = 0
        self.messages = 0

    def make_control(self, number):
        """Create the limit control of a process that starts."""
        control = make_limit_control(
            f'e{number}',
            self.source.getrandbits(32),
            random.Random(self.source.getrandbits(32)),
            self.now,
        )
        control.entries = lambda: self.setup.entries
        return control

    def at(self, delay_s, action, *details):
        """Schedule an action."""
        self.order += 1
        event = (self.now + delay_s, self.order, action, details)
        heapq.heappush(self.events, event)

    def play(self):
        """Play the whole time.

        :returns: the world.
        """
        setup = self.setup
        self.at(0, self.arrive)
        self.at(0, self.add_up_shares)
        self.at(setup.limited_from_s, self.change_limit, setup.limit)
        for change_s, limit in setup.changes:
            self.at(change_s, self.change_limit, limit)
        for entry in self.entries:
            self.at(self.source.random() * REPORT_S, self.report, entry)
            self.at(self.source.random() * QUEUE_CHECK_S, self.check, entry)
        for restart_s, number in setup.restarts:
            self.at(restart_s, self.restart, self.entries[number])
        for stop_s, number in setup.stops:
            self.at(stop_s, self.stop, self.entries[number])
        for begin_s, length_s, number in setup.freezes:
            self.at(begin_s, self.freeze, self.entries[number], length_s)
        while self.events and self.events[0][0] <= setup.length_s:
            self.now, _, action, details = heapq.heappop(self.events)
            action(*details)
        return self

    def add_up_shares(self):
        """Add up the shares that the running entries may use."""
        self.at(SAMPLE_S, self.add_up_shares)
        running = [
            entry for entry in self.entries if entry.frozen_until <= self.now
        ]
        for name in self.limited:
            shares = [
                entry.control.shares.share(name, len(self.entries), self.now)
                for entry in running
            ]
            self.most_shared = max(self.most_shared, sum(shares))

    def change_limit(self, limit):
        """Change what the limited upstreams announce."""
        self.limit = limit

    def restart(self, entry):
        """Replace an entry's process; its requests are lost."""
        entry.control = self.make_control(entry.number)
        entry.queue.clear()
        entry.generation += 1

    def stop(self, entry):
        """Begin a planned stop, which ends in a restart."""
        entry.control.shares.leave()
        entry.report_due = True
        self.at(3.0, self.restart, entry)

    def freeze(self, entry, length_s):
        """Pause an entry's process."""
        entry.frozen_until = self.now + length_s

    def run_at(self, entry, action, *details):
        """Run an action of an entry, once its process is not paused.

        :returns: False if the action was deferred.
        """
        if entry.frozen_until <= self.now:
            return True
        self.at(entry.frozen_until - self.now, action, *details)
        return False

    def is_cut(self, sender, receiver):
        """Check whether messages between two entries are lost."""
        if self.setup.isolated and (
            sender in self.setup.isolated or receiver in self.setup.isolated
        ):
            return True
        return any(
            begin <= self.now < begin + length and number == sender
            for begin, length, number in self.setup.cuts
        )

    def send(self, sender, receiver, action, *details):
        """Send a message between entries; it may be lost or late."""
        self.messages += 1
        setup = self.setup
        if self.is_cut(sender, receiver) or self.source.random() < setup.loss:
            return
        delay_s = self.source.expovariate(1 / setup.delay_s)
        if self.source.random() < setup.late_share:
            delay_s += self.source.random() * setup.late_s
        self.at(delay_s, action, self.entries[receiver], *details)

    def arrive(self):
        """Let a request arrive at an entry."""
        self.at(self.source.expovariate(self.setup.rate), self.arrive)
        self.requested.append(self.now)
        entry = self.source.choice(self.entries)
        self.start_request(entry, Waiting(self.now + self.setup.patience_s))

    def start_request(self, entry, waiting):
        """Send a request, or let it wait."""
        if not self.run_at(entry, self.start_request, entry, waiting):
            return
        if self.try_send(entry):
            self.ask(entry, SendDemand())
            return
        entry.queue.append(waiting)
        self.ask(entry, self.demand(entry))
        self.serve(entry)

    def try_send(self, entry):
        """Send a request to any upstream that may get it.

        :returns: False if none may.
        """
        ready = [
            name
            for name in self.names
            if entry.control.may_send(self.listed[name], self.now)
        ]
        if not ready:
            return False
        limited = [name for name in ready if name in self.limited]
        name = self.source.choice(limited or ready)
        control = entry.control
        control.use_permit(self.listed[name], self.now)
        version = control.limits.version(name)
        self.at(self.setup.delay_s, self.reach, name)
        if name in self.limited:
            self.at(
                self.source.expovariate(1 / self.setup.answer_s),
                self.answer,
                entry,
                entry.generation,
                name,
                version,
            )
        return True

    def reach(self, name):
        """Let a request reach an upstream."""
        self.arrivals[name].append(self.now)

    def answer(self, entry, generation, name, version):
        """Let an answer be made now; it arrives a little later."""
        stated = None if self.limit == math.inf else self.limit
        details = (entry, generation, name, version, stated)
        self.at(self.setup.delay_s, self.receive_answer, *details)

    def receive_answer(self, entry, generation, name, version, stated):
        """Let an entry receive an answer."""
        details = (entry, generation, name, version, stated)
        if not self.run_at(entry, self.receive_answer, *details):
            return
        if generation != entry.generation:
            return
        change = entry.control.record_answer(
            self.listed[name], stated, version, self.now
        )
        if change is not None:
            self.broadcast(entry)
            self.serve(entry)

    def report(self, entry):
        """Send an entry's report when it is due."""
        if not self.run_at(entry, self.report, entry):
            return
        self.at(REPORT_S, self.report, entry)
        if entry.control.is_active(self.now):
            self.broadcast(entry)

    def broadcast(self, entry):
        """Send an entry's report to all others."""
        report = entry.control.make_report(self.now)
        for other in self.entries:
            if other is not entry:
                self.send(
                    entry.number, other.number, self.receive_report, report
                )

    def receive_report(self, entry, report):
        """Let an entry receive a report."""
        if not self.run_at(entry, self.receive_report, entry, report):
            return
        changes = entry.control.handle_report(report, self.listed, self.now)
        if changes:
            self.broadcast(entry)

    def ask(self, entry, demand):
        """Send the asks that are due."""
        asks = entry.control.make_asks(self.listed.values(), demand, self.now)
        for holder, ask in asks:
            number = int(holder[1:])
            if number == entry.number:
                entry.control.handle_ask(ask, self.now)
            else:
                self.send(entry.number, number, self.receive_ask, ask)
        self.issue(entry)

    def receive_ask(self, entry, ask):
        """Let a holder receive an ask."""
        if self.run_at(entry, self.receive_ask, entry, ask):
            entry.control.handle_ask(ask, self.now)
            self.issue(entry)

    def issue(self, entry):
        """Send the answers that are possible now."""
        for grant in entry.control.issue(self.now):
            number = int(grant.node[1:])
            if number == entry.number:
                entry.control.stock.handle(grant, self.now)
            else:
                self.send(entry.number, number, self.receive_grant, grant)

    def receive_grant(self, entry, grant):
        """Let an entry receive an answer to an ask."""
        if not self.run_at(entry, self.receive_grant, entry, grant):
            return
        if entry.control.stock.handle(grant, self.now):
            self.serve(entry)

    def check(self, entry):
        """Check an entry's queue and its asks periodically."""
        if not self.run_at(entry, self.check, entry):
            return
        self.at(QUEUE_CHECK_S, self.check, entry)
        self.issue(entry)
        self.serve(entry)
        if entry.queue:
            self.ask(entry, self.demand(entry))

    def demand(self, entry):
        """Describe an entry's waiting requests."""
        left_s = entry.queue[0].until - self.now
        return SendDemand(len(entry.queue), (left_s,), left_s)

    def serve(self, entry):
        """Send waiting requests and refuse those that waited too long."""
        waiting = len(entry.queue)
        entry.queue[:] = [each for each in entry.queue if each.until > self.now]
        self.refused += waiting - len(entry.queue)
        while entry.queue and self.try_send(entry):
            entry.queue.pop(0)

    def used(self, begin_s, end_s):
        """Compute the part of the limit that was used.

        :returns: requests sent per request allowed.
        """
        sent = sum(
            1
            for name in self.limited
            for at in self.arrivals[name]
            if begin_s <= at < end_s
        )
        allowed = self.setup.limit * (end_s - begin_s) * self.setup.limited
        return sent / allowed


def most_in_window(times, window_s):
    """Return the largest number of sorted times in one sliding window."""
    most = 0
    begin = 0
    for end, at in enumerate(times):
        while at - times[begin] >= window_s:
            begin += 1
        most = max(most, end - begin + 1)
    return most
