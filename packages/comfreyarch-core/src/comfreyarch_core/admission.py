"""Admit attempts to one upstream: hard limits, fair queue, deadlines.

Teams share by start-time fair queueing: each attempt carries a virtual
start tag, the lowest tag runs next, and a team's tag advances by cost over
weight. What cannot make its deadline is refused at once, with the time
after which to come back.
"""

from dataclasses import dataclass, field

from comfreyarch_core.refusals import Kind, Refusal, not_run

SMOOTHING = 0.2
MIN_RETRY_AFTER_S = 1.0
START_SERVICE_S = 0.05


@dataclass(frozen=True, slots=True)
class Offer:
    """Offer an attempt; ``deadline`` is a time of the caller's clock."""

    attempt: str
    team: str
    deadline: float
    cost: float = 1
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Take a queued attempt back."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Finished:
    """Tell that a running attempt is over."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass: expired attempts are refused."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Admit nothing more; what is queued is refused as not run."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Admit again: the planned stop was taken back."""


@dataclass(frozen=True, slots=True)
class Isolate:
    """Ask that an attempt run alone: nothing else starts beside it."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Run:
    """Start an attempt now."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give an attempt up."""

    attempt: str
    refusal: Refusal


Message = Offer | Withdraw | Finished | Tick | Drain | Resume | Isolate
Outcome = Run | Refuse


@dataclass(slots=True)
class Waiting:
    """Hold a queued attempt with its fair tag."""

    offer: Offer
    tag: float
    alone: bool = False


@dataclass(slots=True)
class Admission:
    """Decide what runs at one upstream.

    :param slots: attempts that run at once.
    :param queue_limit: attempts that wait at most.
    """

    slots: int
    queue_limit: int
    draining: bool = False
    service_s: float = START_SERVICE_S
    virtual: float = 0
    queue: list[Waiting] = field(default_factory=list)
    running: dict[str, float] = field(default_factory=dict)
    tags: dict[str, float] = field(default_factory=dict)
    isolated: set[str] = field(default_factory=set)
    alone: str = ''

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: what happened.
        :param now: seconds of a monotonic clock.
        :returns: what to start and what to refuse.
        """
        match message:
            case Offer():
                return self.offer(message, now)
            case Withdraw(attempt):
                return self.withdraw(attempt)
            case Finished(attempt):
                return self.finished(attempt, now)
            case Isolate(attempt):
                self.isolated.add(attempt)
                return []
            case Drain():
                return self.drain()
            case Resume():
                self.draining = False
        return [*self.expire(now), *self.start(now)]

    def wait_s(self, ahead: int) -> float:
        """Predict the wait behind ``ahead`` queued attempts.

        :returns: seconds; 0 with a free slot and nothing ahead.
        """
        if len(self.running) + ahead < self.slots:
            return 0
        return (ahead + 1) * self.service_s / self.slots

    def backlog_s(self) -> float:
        """Predict when the present queue is worked off.

        :returns: seconds, never below a second.
        """
        return max(MIN_RETRY_AFTER_S, self.wait_s(len(self.queue)))

    def offer(self, offer: Offer, now: float) -> list[Outcome]:
        """Queue or refuse an arriving attempt."""
        if self.draining:
            return [Refuse(offer.attempt, not_run(Kind.leaving))]
        tag = max(self.virtual, self.tags.get(offer.team, 0))
        ahead = sum(1 for one in self.queue if one.tag <= tag)
        expected = now + self.wait_s(ahead) + self.service_s
        if expected > offer.deadline:
            return [self.refuse(offer, Kind.deadline)]
        self.tags[offer.team] = tag + offer.cost / offer.weight
        alone = offer.attempt in self.isolated
        self.queue.append(Waiting(offer, tag, alone))
        started = self.start(now)
        return [*started, *self.shed()]

    def refuse(self, offer: Offer, kind: Kind) -> Refuse:
        """Refuse an attempt that has not started.

        :returns: the refusal, with the time to come back.
        """
        self.isolated.discard(offer.attempt)
        return Refuse(offer.attempt, not_run(kind, self.backlog_s()))

    def shed(self) -> list[Outcome]:
        """Refuse the latest tag where the queue is over its limit."""
        shed: list[Outcome] = []
        while len(self.queue) > self.queue_limit:
            last = max(self.queue, key=lambda one: one.tag)
            self.remove(last)
            shed.append(self.refuse(last.offer, Kind.overloaded))
        return shed

    def remove(self, waiting: Waiting) -> None:
        """Take one out of the queue and give its team the tag back."""
        self.queue.remove(waiting)
        offer = waiting.offer
        self.tags[offer.team] -= offer.cost / offer.weight

    def withdraw(self, attempt: str) -> list[Outcome]:
        """Refuse a queued attempt as not run; a running one goes on."""
        for waiting in self.queue:
            if waiting.offer.attempt == attempt:
                self.remove(waiting)
                return [Refuse(attempt, not_run(Kind.cancelled))]
        return []

    def expire(self, now: float) -> list[Outcome]:
        """Refuse what can no longer make its deadline."""
        late = [
            one
            for one in self.queue
            if now + self.service_s > one.offer.deadline
        ]
        for waiting in late:
            self.remove(waiting)
        return [self.refuse(one.offer, Kind.deadline) for one in late]

    def drain(self) -> list[Outcome]:
        """Stop admitting; the queue is given back as not run."""
        self.draining = True
        waiting, self.queue = self.queue, []
        return [
            Refuse(one.offer.attempt, not_run(Kind.leaving)) for one in waiting
        ]

    def finished(self, attempt: str, now: float) -> list[Outcome]:
        """Free a slot, learn the service time, start the next."""
        began = self.running.pop(attempt, None)
        if began is not None:
            gain = SMOOTHING * (now - began - self.service_s)
            self.service_s = max(0, self.service_s + gain)
        if self.alone == attempt:
            self.alone = ''
        return [*self.expire(now), *self.start(now)]

    def start(self, now: float) -> list[Outcome]:
        """Start the lowest tags while slots are free."""
        started: list[Outcome] = []
        while self.queue and self.has_room():
            waiting = min(self.queue, key=lambda one: one.tag)
            if waiting.alone and self.running:
                break
            self.queue.remove(waiting)
            self.virtual = max(self.virtual, waiting.tag)
            attempt = waiting.offer.attempt
            self.running[attempt] = now
            if waiting.alone:
                self.alone = attempt
                self.isolated.discard(attempt)
            started.append(Run(attempt))
        self.forget_idle_teams()
        return started

    def has_room(self) -> bool:
        """Tell whether another attempt may start.

        :returns: False while all slots are taken or one runs alone.
        """
        return not self.alone and len(self.running) < self.slots

    def forget_idle_teams(self) -> None:
        """Drop the tags that no longer hold anybody back."""
        if self.queue:
            return
        if not self.running:
            self.tags.clear()
            self.virtual = 0


def make_admission(slots: int, queue_limit: int) -> Admission:
    """Make the admission of one upstream.

    :returns: an empty admission.
    """
    return Admission(slots=slots, queue_limit=queue_limit)
