"""Share a team's limits over all entries, in two levels.

Each entry owns a static share, a fixed part of the limit divided by the
number of entries. The rest is lent for short terms by the team's home
entry to one home in each availability zone, and by that to its entries.
Both levels are a ``Home``: what it has lent and not yet got back never
exceeds its allotment. Cut off, an entry keeps to its static share.
"""

from dataclasses import dataclass, field

from comfreyarch_core.refusals import Kind, Refusal, not_run

STATIC_PART = 0.2
GRANT_TTL_S = 5.0
FLOOR_OPEN = 1
FLOOR_RATE = 0.2
SMOOTHING = 0.3
BURST_S = 1.0
HEADROOM = 1.5
SHORTEST_S = 0.001


@dataclass(frozen=True, slots=True)
class Demand:
    """Say what a child wants: requests a second and open requests."""

    rate: float
    open: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Lend a share until ``until``."""

    rate: float
    open: float
    until: float


NOTHING = Grant(0, 0, 0)


@dataclass(slots=True)
class Home:
    """Lend an allotment to children for short terms.

    :param rate: requests a second to lend in all.
    :param open: open requests to lend in all.
    """

    rate: float
    open: float
    lent: dict[str, Grant] = field(default_factory=dict)
    wants: dict[str, Demand] = field(default_factory=dict)

    def handle(self, child: str, demand: Demand, now: float) -> Grant:
        """Answer a child's ask.

        :param child: the asking entry.
        :param demand: what it wants.
        :param now: seconds.
        :returns: a share; never more than is free.
        """
        self.expire(now)
        self.wants[child] = demand
        others = [one for name, one in self.lent.items() if name != child]
        free_rate = self.rate - sum(one.rate for one in others)
        free_open = self.open - sum(one.open for one in others)
        rates = [one.rate for one in self.wants.values()]
        opens = [one.open for one in self.wants.values()]
        grant = Grant(
            max(0, min(free_rate, fair_share(self.rate, rates, demand.rate))),
            max(0, min(free_open, fair_share(self.open, opens, demand.open))),
            now + GRANT_TTL_S,
        )
        self.lent[child] = grant
        return grant

    def resize(self, rate: float, open_requests: float) -> None:
        """Take a new allotment; loans above it run out."""
        self.rate = rate
        self.open = open_requests

    def demand(self) -> Demand:
        """Sum what the children want.

        :returns: the demand to ask of the level above.
        """
        return Demand(
            sum(one.rate for one in self.wants.values()),
            sum(one.open for one in self.wants.values()),
        )

    def expire(self, now: float) -> None:
        """Forget children whose loans ran out."""
        over = [name for name, one in self.lent.items() if one.until <= now]
        for child in over:
            self.lent.pop(child)
            self.wants.pop(child, None)


def fair_share(total: float, wants: list[float], want: float) -> float:
    """Find the max-min fair share of one want; spare room is spread.

    :returns: the share of the child that wants ``want``.
    """
    left = total
    unmet = sorted(wants)
    while unmet:
        level = left / len(unmet)
        if unmet[0] > level:
            return min(want, level)
        left -= unmet.pop(0)
    return want + left / max(1, len(wants))


@dataclass(slots=True)
class TeamGate:
    """Admit one team's requests at one entry.

    :param rate: the team's limit over all entries, requests a second.
    :param open_limit: the team's open requests over all entries.
    :param entries: how many entries share the limit.
    """

    rate: float
    open_limit: float
    entries: int
    grant: Grant = NOTHING
    open_requests: int = 0
    tokens: float = 1
    filled_at: float = 0
    arrivals: int = 0
    seen_rate: float = 0
    asked_at: float = 0

    def allowed_rate(self, now: float) -> float:
        """Give the rate allowed now.

        :returns: requests a second: static share and loan.
        """
        static = self.rate * STATIC_PART / max(1, self.entries)
        lent = self.grant.rate if self.grant.until > now else 0
        return static + lent

    def allowed_open(self, now: float) -> float:
        """Give the open requests allowed now.

        :returns: static share and loan, never below one.
        """
        static = self.open_limit * STATIC_PART / max(1, self.entries)
        lent = self.grant.open if self.grant.until > now else 0
        return max(FLOOR_OPEN, static + lent)

    def admit(self, now: float) -> Refusal | None:
        """Take a request in, or refuse it at once.

        :returns: None when it is admitted.
        """
        self.arrivals += 1
        rate = self.allowed_rate(now)
        self.fill(rate, now)
        if self.tokens < 1:
            wait_s = (1 - self.tokens) / max(rate, FLOOR_RATE)
            return not_run(Kind.over_rate, max(1, wait_s))
        if self.open_requests + 1 > self.allowed_open(now):
            return not_run(Kind.over_concurrency, 1)
        self.tokens -= 1
        self.open_requests += 1
        return None

    def fill(self, rate: float, now: float) -> None:
        """Fill the bucket for the time that passed."""
        passed = now - self.filled_at
        depth = max(1, rate * BURST_S)
        self.tokens = min(depth, self.tokens + passed * rate)
        self.filled_at = now

    def release(self) -> None:
        """Count a request over."""
        self.open_requests -= 1

    def demand(self, now: float) -> Demand:
        """Tell what to ask for, from the arrivals since the last ask.

        :returns: the demand with some headroom.
        """
        passed = max(now - self.asked_at, SHORTEST_S)
        fresh = self.arrivals / passed
        self.seen_rate += SMOOTHING * (fresh - self.seen_rate)
        self.arrivals = 0
        self.asked_at = now
        wanted_rate = max(self.seen_rate, fresh) * HEADROOM
        return Demand(
            min(self.rate, wanted_rate),
            min(self.open_limit, self.open_requests * HEADROOM + 1),
        )

    def idle(self) -> bool:
        """Tell whether the team has nothing here now.

        :returns: True when there is no reason to ask.
        """
        return self.open_requests == 0 and self.arrivals == 0
