"""Limit the sends to upstreams that are cold (``coldstates``).

A cold upstream tolerates a number of requests per second from all entries
together. That number is divided into *sends*, each of which one entry may make
once in a period. The entries that own the sends of an upstream follow from the
list of entries by rendezvous hashing, so nothing is exchanged, and the sum over
all entries holds whether they reach each other or not.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from comfreyarch_core.coldstates import ColdStates
from comfreyarch_core.rendezvous import sort_by_score
from comfreyarch_core.upstreamlist import UpstreamEntry

# Time from the use of an allowed send within which the request must be sent; its
# connection opens within a few milliseconds.
SEND_WITHIN_S = 0.1
# Least period of a send. It is longer than the second of the bound by
# ``SEND_WITHIN_S`` and by as much for differences of the delay to the upstream.
MIN_PERIOD_S = 1.2
# Time for which an entry owns sends after it was last listed or heard: it may be
# cut off. The list is read once a minute.
MEMBER_TTL_S = 120.0


@dataclass(frozen=True, slots=True)
class ColdBound:
    """Bound the requests that may reach a cold upstream in any second.

    :param overage: multiple of the tolerated requests per second.
    :param allowance: additional requests.
    """

    overage: float = 1
    allowance: float = 0


@dataclass(frozen=True, slots=True)
class SendPlan:
    """Divide what a cold upstream tolerates.

    :param sends: number of sends, owned by the entries.
    :param period_s: time between two uses of one send.
    """

    sends: int
    period_s: float

    def owned(self, rank: int, entries: int) -> int:
        """Return the number of sends that one entry owns.

        :param rank: place of the entry for the upstream, from 0.
        :returns: a number; the sum over all ranks is ``sends``.
        """
        return self.sends // entries + (rank < self.sends % entries)


@dataclass(slots=True)
class ColdUpstreams(ColdStates):
    """Decide what this entry may send to the upstreams that are cold.

    :param seen_at: time at which each entry was last listed or heard.
    :param usable_from: time before which this entry sends nothing to cold
        upstreams, as its predecessor may have; infinite without a list of
        entries.
    :param ranks: place of this entry, by upstream.
    :param free_at: times from which the owned sends may be used, by upstream.
    :param sent_at: times of the recent sends, by upstream.
    """

    node: str = ''
    bound: ColdBound = field(default_factory=ColdBound)
    seen_at: dict[str, float] = field(default_factory=dict)
    usable_from: float = math.inf
    ranks: dict[str, int] = field(default_factory=dict)
    free_at: dict[str, list[float]] = field(default_factory=dict)
    sent_at: dict[str, deque[float]] = field(default_factory=dict)

    def update_upstreams(
        self, entries: Collection[UpstreamEntry], now: float
    ) -> None:
        """Record the list of upstreams; what is known of others is dropped."""
        # ``super()`` does not work in a slotted dataclass.
        ColdStates.update_upstreams(self, entries, now)
        for known in (self.ranks, self.free_at, self.sent_at):
            for name in known.keys() - self.states.keys():
                known.pop(name)

    def record_entries(self, nodes: Iterable[str], now: float) -> None:
        """Record the entries that share what cold upstreams tolerate.

        To be called only with a complete list, which may lack those that have
        just started.
        """
        former = self.seen_at.keys() | set()
        for node in (*nodes, self.node):
            self.seen_at[node] = now
        for node, seen_at in list(self.seen_at.items()):
            if now - seen_at > MEMBER_TTL_S:
                self.seen_at.pop(node)
        if self.usable_from == math.inf:
            self.usable_from = now + MIN_PERIOD_S
        if former != self.seen_at.keys():
            self.ranks.clear()

    def plan(self, entry: UpstreamEntry) -> SendPlan:
        """Divide what an upstream tolerates while cold.

        :returns: sends such that no second has more than the bound.
        """
        return make_plan(self.rules_of(entry).per_s, self.bound)

    def owned_sends(self, entry: UpstreamEntry, plan: SendPlan) -> int:
        """Return the number of sends to an upstream that this entry owns.

        :returns: a number, 0 for most entries if there are few sends.
        """
        rank = self.ranks.get(entry.name)
        if rank is None:
            rank = sort_by_score(self.seen_at, entry.name).index(self.node)
            self.ranks[entry.name] = rank
        return plan.owned(rank, len(self.seen_at))

    def refresh(self, entry: UpstreamEntry, now: float) -> list[float]:
        """Bring the owned sends to a cold upstream up to date.

        :returns: times from which they may be used, lowest first; none without
            a list of entries.
        """
        if self.usable_from == math.inf:
            return []
        plan = self.plan(entry)
        owned = self.owned_sends(entry, plan)
        free_at = self.free_at.get(entry.name)
        if free_at is None:
            free_at = self.first_times(entry, plan, owned)
        # A send that passes to this entry was perhaps just used by another one.
        gained = owned - len(free_at)
        free_at += [now + plan.period_s] * gained
        # Those used last are kept.
        free_at = sorted(free_at)[max(0, -gained) :]
        self.free_at[entry.name] = free_at
        return free_at

    def first_times(
        self, entry: UpstreamEntry, plan: SendPlan, owned: int
    ) -> list[float]:
        """Compute when the owned sends to an upstream may first be used.

        The sends of all entries are spread over a period, so that entries that
        learn together that an upstream is cold do not send together.

        :returns: times.
        """
        begin = max(self.cold_since(entry), self.usable_from)
        rank = self.ranks.get(entry.name, 0)
        step_s = plan.period_s / max(1, plan.sends)
        times = [
            begin + step_s * (rank + len(self.seen_at) * number)
            for number in range(owned)
        ]
        recent = sorted(self.sent_at.get(entry.name, ()), reverse=True)
        for number, sent_at in enumerate(recent[:owned]):
            times[number] = max(times[number], sent_at + plan.period_s)
        return times

    def next_send_at(self, entry: UpstreamEntry, now: float) -> float:
        """Return when the next request may be sent to an upstream.

        :returns: a time that is not after ``now`` if it may be sent now;
            infinite if this entry may send none while the upstream is cold.
        """
        if self.tolerated(entry, now) == math.inf:
            self.free_at.pop(entry.name, None)
            return -math.inf
        free_at = self.refresh(entry, now)
        return min(self.cold_until(entry), free_at[0] if free_at else math.inf)

    def may_send(self, entry: UpstreamEntry, now: float) -> bool:
        """Check whether an upstream may get a request of this entry now.

        :returns: False if it is cold and no owned send is free.
        """
        return self.next_send_at(entry, now) <= now

    def record_send(self, entry: UpstreamEntry, now: float) -> float:
        """Use a send to an upstream, after ``may_send``.

        :returns: time by which the request must be sent, infinite if the
            upstream is not limited.
        """
        per_s = self.rules_of(entry).per_s
        if per_s <= 0:
            return math.inf
        plan = self.plan(entry)
        # An upstream that becomes cold has had the requests sent before.
        recent = self.sent_at.setdefault(entry.name, deque())
        recent.append(now)
        drop_older(recent, now - plan.period_s)
        free_at = self.free_at.get(entry.name)
        if not free_at or not self.is_cold(entry, now):
            return math.inf
        free_at[0] = now + plan.period_s
        return now + SEND_WITHIN_S

    def is_in_time(
        self, entry: UpstreamEntry, send_by: float, now: float
    ) -> bool:
        """Check whether a request may still be sent, once it is connected.

        :param send_by: time by which it must be sent, infinite if the upstream
            was not limited when it was chosen.
        :returns: False if it must be placed again.
        """
        if send_by < math.inf:
            return now < send_by
        return self.tolerated(entry, now) == math.inf

    def sends_per_s(self, entry: UpstreamEntry, now: float) -> float:
        """Return what this entry sent to an upstream lately.

        :returns: requests per second.
        """
        period_s = self.plan(entry).period_s
        recent = self.sent_at.get(entry.name, deque())
        drop_older(recent, now - period_s)
        return len(recent) / period_s


def drop_older(times: deque[float], start: float) -> None:
    """Drop the times that are not after a start."""
    while times and times[0] <= start:
        times.popleft()


def make_plan(per_s: float, bound: ColdBound) -> SendPlan:
    """Divide what a cold upstream tolerates into sends.

    :param per_s: requests per second.
    :returns: the plan; without sends if the bound allows not even one in a
        second.
    """
    most = math.floor(per_s * bound.overage + bound.allowance)
    sends = max(0, min(math.ceil(per_s * MIN_PERIOD_S), most))
    return SendPlan(sends, max(MIN_PERIOD_S, sends / per_s))


def make_cold_upstreams(node: str) -> ColdUpstreams:
    """Create the state of an entry that starts.

    :returns: a state without upstreams, rules and known entries.
    """
    return ColdUpstreams(node=node)
