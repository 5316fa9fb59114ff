"""Admission control for one upstream: slots, fair queueing, deadlines.

Teams share the upstream by start-time fair queueing: each attempt carries a
virtual start tag, the attempt with the lowest tag runs next, and a team's tag
advances by cost divided by weight. An attempt that cannot meet its deadline
is refused immediately, with a retry-after time.
"""

from dataclasses import dataclass, field

from comfreyarch_core.refusals import Kind, Refusal, not_run

# Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.2
MIN_RETRY_AFTER_S = 1.0
# Service time that is assumed before the first attempt has finished.
INITIAL_SERVICE_S = 0.05


@dataclass(frozen=True, slots=True)
class Offer:
    """Offer an attempt for admission.

    :param deadline: absolute time on the clock that is passed to ``handle``.
    :param cost: expected work relative to a small request, whose cost is 1;
        the team's tag advances by ``cost / weight``.
    :param weight: the team's share relative to other teams.
    """

    attempt: str
    team: str
    deadline: float
    cost: float = 1
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraw a queued attempt."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Finished:
    """Report that a running attempt has ended."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Advance the clock: expired attempts are refused."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Stop admitting; queued attempts are refused as not run."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Admit again after a planned stop was cancelled."""


@dataclass(frozen=True, slots=True)
class Isolate:
    """Require that an attempt run while no other attempt does.

    It is sent before the attempt is offered, for a request that is suspected
    of crashing its upstream: a crash then identifies the request.
    """

    attempt: str


@dataclass(frozen=True, slots=True)
class Run:
    """Start an attempt now."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse an attempt."""

    attempt: str
    refusal: Refusal


Message = Offer | Withdraw | Finished | Tick | Drain | Resume | Isolate
Outcome = Run | Refuse


@dataclass(slots=True)
class QueuedAttempt:
    """Represent a queued attempt with its virtual start tag.

    :param is_isolated: whether it must run while no other attempt does.
    """

    offer: Offer
    tag: float
    is_isolated: bool = False


@dataclass(slots=True)
class Admission:
    """Decide which attempts run at one upstream.

    :param slots: maximum number of concurrent attempts.
    :param queue_limit: maximum number of queued attempts.
    :param draining: whether every new attempt is refused.
    :param service_s: moving average of the service time in seconds.
    :param virtual_time: highest start tag that has started so far.
    :param running: start time of each running attempt.
    :param team_tags: start tag of each team's next attempt.
    :param isolated: attempts that must run alone and have not started.
    :param alone: the isolated attempt that is running, empty if none is.
    """

    slots: int
    queue_limit: int
    draining: bool = False
    service_s: float = INITIAL_SERVICE_S
    virtual_time: float = 0
    queue: list[QueuedAttempt] = field(default_factory=list)
    running: dict[str, float] = field(default_factory=dict)
    team_tags: dict[str, float] = field(default_factory=dict)
    isolated: set[str] = field(default_factory=set)
    alone: str = ''

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message.

        :param message: the event to process.
        :param now: seconds of a monotonic clock.
        :returns: the attempts to start and to refuse.
        """
        match message:
            case Offer():
                return self.enqueue(message, now)
            case Withdraw(attempt):
                return self.withdraw(attempt)
            case Finished(attempt):
                return self.finish(attempt, now)
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

        :returns: seconds; 0 if the free slots suffice for it and those ahead.
        """
        if len(self.running) + ahead < self.slots:
            return 0
        return (ahead + 1) * self.service_s / self.slots

    def backlog_s(self) -> float:
        """Predict how long the current queue takes to clear.

        :returns: seconds, at least ``MIN_RETRY_AFTER_S``.
        """
        return max(MIN_RETRY_AFTER_S, self.wait_s(len(self.queue)))

    def enqueue(self, offer: Offer, now: float) -> list[Outcome]:
        """Queue or refuse an arriving attempt."""
        if self.draining:
            return [Refuse(offer.attempt, not_run(Kind.leaving))]
        tag = max(self.virtual_time, self.team_tags.get(offer.team, 0))
        ahead = sum(1 for queued in self.queue if queued.tag <= tag)
        expected_end = now + self.wait_s(ahead) + self.service_s
        if expected_end > offer.deadline:
            return [self.refuse(offer, Kind.deadline)]
        self.team_tags[offer.team] = tag + offer.cost / offer.weight
        is_isolated = offer.attempt in self.isolated
        self.queue.append(QueuedAttempt(offer, tag, is_isolated))
        started = self.start(now)
        return [*started, *self.shed()]

    def refuse(self, offer: Offer, kind: Kind) -> Refuse:
        """Refuse an attempt that has not started.

        :returns: the refusal, with a retry-after time.
        """
        self.isolated.discard(offer.attempt)
        return Refuse(offer.attempt, not_run(kind, self.backlog_s()))

    def shed(self) -> list[Outcome]:
        """Refuse the highest tags until the queue is within its limit."""
        shed: list[Outcome] = []
        while len(self.queue) > self.queue_limit:
            highest = max(self.queue, key=lambda queued: queued.tag)
            self.remove(highest)
            shed.append(self.refuse(highest.offer, Kind.overloaded))
        return shed

    def remove(self, queued: QueuedAttempt) -> None:
        """Remove an attempt from the queue and rewind its team's tag."""
        self.queue.remove(queued)
        offer = queued.offer
        self.team_tags[offer.team] -= offer.cost / offer.weight

    def withdraw(self, attempt: str) -> list[Outcome]:
        """Refuse a queued attempt as not run; a running one continues."""
        for queued in self.queue:
            if queued.offer.attempt == attempt:
                self.remove(queued)
                return [Refuse(attempt, not_run(Kind.cancelled))]
        return []

    def expire(self, now: float) -> list[Outcome]:
        """Refuse queued attempts that can no longer meet their deadline."""
        expired = [
            queued
            for queued in self.queue
            if now + self.service_s > queued.offer.deadline
        ]
        for overdue in expired:
            self.remove(overdue)
        return [self.refuse(queued.offer, Kind.deadline) for queued in expired]

    def drain(self) -> list[Outcome]:
        """Stop admitting and refuse all queued attempts as not run."""
        self.draining = True
        refused, self.queue = self.queue, []
        return [
            Refuse(queued.offer.attempt, not_run(Kind.leaving))
            for queued in refused
        ]

    def finish(self, attempt: str, now: float) -> list[Outcome]:
        """Free a slot, update the service time and start queued attempts."""
        started_at = self.running.pop(attempt, None)
        if started_at is not None:
            gain = SERVICE_TIME_SMOOTHING * (now - started_at - self.service_s)
            self.service_s = max(0, self.service_s + gain)
        if self.alone == attempt:
            self.alone = ''
        return [*self.expire(now), *self.start(now)]

    def start(self, now: float) -> list[Outcome]:
        """Start the attempts with the lowest tags while slots are free."""
        started: list[Outcome] = []
        while self.queue and self.has_free_slot():
            queued = min(self.queue, key=lambda candidate: candidate.tag)
            if queued.is_isolated and self.running:
                break
            self.queue.remove(queued)
            self.virtual_time = max(self.virtual_time, queued.tag)
            attempt = queued.offer.attempt
            self.running[attempt] = now
            if queued.is_isolated:
                self.alone = attempt
                self.isolated.discard(attempt)
            started.append(Run(attempt))
        self.reset_when_idle()
        return started

    def has_free_slot(self) -> bool:
        """Check whether another attempt may start.

        :returns: False if all slots are taken or an attempt runs alone.
        """
        return not self.alone and len(self.running) < self.slots

    def reset_when_idle(self) -> None:
        """Reset all tags once nothing is queued or running."""
        if self.queue:
            return
        if not self.running:
            self.team_tags.clear()
            self.virtual_time = 0


def make_admission(slots: int, queue_limit: int) -> Admission:
    """Create the admission control of one upstream.

    :returns: an admission with nothing queued or running.
    """
    return Admission(slots=slots, queue_limit=queue_limit)
