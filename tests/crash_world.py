"""Simulate entries and upstreams that requests with certain parts crash."""

import heapq
import random
from dataclasses import dataclass, field

from comfreyarch_core.crashguard import PART, REQUEST, make_crash_guard
from comfreyarch_core.crashmessages import (
    ConnectionBroken,
    CrashObserved,
    Lift,
    PeerAnswer,
    PeerBar,
    PeerCrash,
    RequestAnswered,
    RequestSent,
    SuspectAnswered,
    Target,
    TraitBarred,
    TraitCleared,
    UpstreamDied,
)

# Time from the start of an answer after which its upstream has survived it.
SURVIVAL_S = 0.5
RESTART_S = 4.0
TARGET = Target('s', 'r')
RESEND_S = 2.0
RESEND_AGE_S = 10.0


@dataclass
class Setup:
    """Describe a deployment and its traffic."""

    seed: int
    upstreams: int = 16
    entries: int = 8
    slots: int = 12
    rate: float = 60.0
    parts: int = 3
    bad_share: float = 0.2
    bad_parts: int = 1
    crash_probability: float = 1.0
    answer_s: float = 1.0
    loss: float = 0.0
    delay_s: float = 0.02
    length_s: float = 60.0
    bad_from_s: float = 10.0
    things: int = 60
    entry_restarts: tuple = ()


@dataclass(eq=False)
class Run:
    """Represent one send of a request."""

    entry: int
    traits: tuple
    bad: str
    upstream: 'Upstream'
    attempt: int
    answered: bool = False


@dataclass(eq=False)
class Upstream:
    """Represent one upstream."""

    name: str
    runs: set = field(default_factory=set)
    alive: bool = True


class CrashWorld:
    """Play a setup in virtual time.

    :param crash_times: times of all crashes, by bad part.
    :param sends: times of all sends of requests with a bad part, by part.
    :param sound_barred: traits without a bad part that were ever barred.
    """

    def __init__(self, setup):
        self.setup = setup
        self.source = random.Random(setup.seed)
        self.guards = [make_crash_guard() for _ in range(setup.entries)]
        self.upstreams = [Upstream(f'u{i}') for i in range(setup.upstreams)]
        self.started = setup.upstreams
        self.now = 0.0
        self.events = []
        self.order = 0
        self.crash_times = {}
        self.sends = {}
        self.sound_barred = set()
        self.sound_sent = 0
        self.sound_refused = 0
        self.number = 0

    def at(self, delay_s, action, *details):
        """Schedule an action."""
        self.order += 1
        event = (self.now + delay_s, self.order, action, details)
        heapq.heappush(self.events, event)

    def play(self):
        """Play the whole time.

        :returns: the world.
        """
        self.at(0, self.arrive)
        self.at(RESEND_S, self.resend)
        for restart_s, entry in self.setup.entry_restarts:
            self.at(restart_s, self.restart_entry, entry)
        while self.events:
            self.now, _, action, details = heapq.heappop(self.events)
            if self.now > self.setup.length_s:
                break
            action(*details)
        return self

    def arrive(self):
        """Let a request arrive at a random entry."""
        setup = self.setup
        self.at(self.source.expovariate(setup.rate), self.arrive)
        self.number += 1
        bad = ''
        is_bad_time = self.now >= setup.bad_from_s
        if is_bad_time and self.source.random() < setup.bad_share:
            bad = f'{PART}bad{self.source.randrange(setup.bad_parts)}'
        parts = [
            f'{PART}{level}-{self.source.randrange(setup.things)}'
            for level in range(1, setup.parts - 1)
        ]
        if setup.parts > 1:
            parts.insert(0, f'{PART}common')
        if bad:
            # It takes the place of a part that belongs to no one request.
            parts[self.source.randrange(len(parts))] = bad
        traits = (*parts, f'{REQUEST}{self.number}')
        entry = self.source.randrange(setup.entries)
        self.send(entry, traits, bad, 0)

    def send(self, entry, traits, bad, attempt):
        """Send a request to an upstream with a free slot, unless barred."""
        if not bad:
            self.sound_sent += 1
        guard = self.guards[entry]
        if guard.bars.barred_trait(traits, self.now):
            self.sound_refused += not bad
            return
        free = [
            upstream
            for upstream in self.upstreams
            if upstream.alive and len(upstream.runs) < self.setup.slots
        ]
        if not free:
            return
        run = Run(entry, traits, bad, self.source.choice(free), attempt)
        guard.handle(RequestSent(TARGET, traits), self.now)
        run.upstream.runs.add(run)
        if bad:
            self.sends.setdefault(bad, []).append(self.now)
        self.at(self.source.uniform(0.05, 0.3), self.begin, run)

    def begin(self, run):
        """Begin to answer, and crash if the request has a bad part."""
        if run not in run.upstream.runs:
            return
        crashes = self.source.random() < self.setup.crash_probability
        if run.bad and crashes:
            self.crash(run)
            return
        self.at(SURVIVAL_S, self.survive, run)
        duration_s = self.source.expovariate(1 / self.setup.answer_s)
        self.at(SURVIVAL_S + duration_s, run.upstream.runs.discard, run)

    def survive(self, run):
        """Report that the upstream survived an answer."""
        if run in run.upstream.runs:
            run.answered = True
            guard = self.guards[run.entry]
            message = RequestAnswered(TARGET, run.traits)
            self.tell(run.entry, guard.handle(message, self.now))

    def crash(self, run):
        """Crash the upstream of a run; all runs there lose their connection."""
        upstream = run.upstream
        upstream.alive = False
        self.crash_times.setdefault(run.bad, []).append(self.now)
        runs, upstream.runs = upstream.runs, set()
        lost = sorted(runs, key=lambda known: known.traits)
        entries = set()
        for other in lost:
            if not other.answered:
                broken = ConnectionBroken(TARGET, other.traits, upstream.name)
                self.guards[other.entry].handle(broken, self.now)
                entries.add(other.entry)
        for entry in sorted(entries):
            died = UpstreamDied(upstream.name)
            self.tell(entry, self.guards[entry].handle(died, self.now))
        for other in lost:
            if not other.attempt:
                self.at(
                    0.01, self.send, other.entry, other.traits, other.bad, 1
                )
        self.at(RESTART_S, self.restart_upstream, upstream)

    def restart_upstream(self, upstream):
        """Start a crashed upstream again, under a new name."""
        self.upstreams.remove(upstream)
        self.upstreams.append(Upstream(f'u{self.started}'))
        self.started += 1

    def restart_entry(self, entry):
        """Start an entry again, without memory; it asks its peers."""
        self.guards[entry] = make_crash_guard()
        for peer in range(self.setup.entries):
            self.send_bars(peer, entry)

    def resend(self):
        """Send recent crashes and all bars again."""
        self.at(RESEND_S, self.resend)
        for entry in range(self.setup.entries):
            for peer in range(self.setup.entries):
                self.send_bars(entry, peer)

    def send_bars(self, entry, peer):
        """Send the bars and the recent crashes of an entry to a peer."""
        for crash in self.guards[entry].records.crashes[-10:]:
            age_s = self.now - crash.at
            message = PeerCrash(
                TARGET, crash.upstream, tuple(crash.traits), age_s
            )
            if age_s < RESEND_AGE_S:
                self.deliver(entry, peer, message)
        for trait, known in self.guards[entry].bars.by_trait.items():
            left_s = known.until - self.now
            message = PeerBar(trait, self.now - known.since, left_s)
            self.deliver(entry, peer, message)

    def tell(self, entry, notices):
        """Send the notices of an entry to the others."""
        messages = []
        for notice in notices:
            match notice:
                case CrashObserved(_, upstream, traits):
                    messages.append(PeerCrash(TARGET, upstream, traits, 0))
                case SuspectAnswered(trait):
                    messages.append(PeerAnswer(trait))
                case TraitBarred(trait):
                    messages.append(PeerBar(trait, 0, 600))
                case TraitCleared(trait):
                    messages.append(Lift(trait))
        self.note_bars(notices)
        for peer in range(self.setup.entries):
            for message in messages:
                self.deliver(entry, peer, message)

    def deliver(self, entry, peer, message):
        """Send a message to a peer; it may be lost."""
        if peer != entry and self.source.random() >= self.setup.loss:
            delay_s = self.source.uniform(0, 2 * self.setup.delay_s)
            self.at(delay_s, self.receive, entry, peer, message)

    def receive(self, entry, peer, message):
        """Process a message; bars that the sender has to lift are lifted."""
        notices = self.guards[peer].handle_peer(message, self.now)
        self.note_bars(notices)
        if isinstance(message, PeerBar):
            for notice in notices:
                if isinstance(notice, TraitCleared):
                    self.deliver(peer, entry, Lift(notice.trait))

    def note_bars(self, notices):
        """Note the bars of sound traits."""
        for notice in notices:
            if isinstance(notice, TraitBarred) and ':bad' not in notice.trait:
                self.sound_barred.add(notice.trait)

    def later_sends(self, part, contact_s=3.0, crashes=5):
        """Count the sends with a part later than some time after a crash."""
        times = self.crash_times.get(part, [])
        if len(times) < crashes:
            return 0
        since = times[crashes - 1] + contact_s
        return sum(sent > since for sent in self.sends[part])
