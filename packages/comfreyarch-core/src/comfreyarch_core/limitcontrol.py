"""Keep one entry's sends to limited upstreams within what all entries may send.

Composes what is known of the limits, the shares of the entries, and the permits
that are issued for the shares.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from copy import deepcopy
from dataclasses import dataclass, field, replace
from typing import Self

from comfreyarch_core.limitshares import (
    LimitReport,
    LimitShares,
    make_limit_shares,
)
from comfreyarch_core.permits import (
    PERMIT_TTL_S,
    Ask,
    Grant,
    PermitIssuer,
    SendDemand,
    make_permit_issuer,
)
from comfreyarch_core.permitstock import PermitStock, make_permit_stock
from comfreyarch_core.upstreamlimits import (
    LimitChange,
    LimitState,
    UpstreamLimits,
    make_upstream_limits,
)
from comfreyarch_core.upstreamlist import UpstreamEntry

# Time for which the end of a limit is told to the other entries.
REPORT_ENDED_S = 10.0
# Upstreams asked for at once for a request; more only if more wait.
MIN_ASKED = 4


@dataclass(slots=True)
class LimitControl:
    """Decide which sends to limited upstreams an entry may make.

    :param entries: returns the number of entries that share the limits.
    :param reported_until: until when the end of a limit is told, by upstream.
    """

    shares: LimitShares
    issuer: PermitIssuer
    source: random.Random
    limits: UpstreamLimits = field(default_factory=make_upstream_limits)
    stock: PermitStock = field(default_factory=make_permit_stock)
    entries: Callable[[], int] = int
    reported_until: dict[str, float] = field(default_factory=dict)

    @property
    def is_idle(self) -> bool:
        """Check that no upstream is or was limited.

        :returns: True almost always; no rate needs to be looked up then.
        """
        return not self.limits.states

    def rate(self, entry: UpstreamEntry) -> float:
        """Return the limit of an upstream.

        :returns: requests per second, infinite without a limit.
        """
        return self.limits.rate(entry)

    def may_send(self, entry: UpstreamEntry, now: float) -> bool:
        """Check whether an upstream may get a request of this entry now.

        :returns: False if it is limited and there is no permit.
        """
        limit = self.limits.rate(entry)
        if limit == math.inf or self.stock.has(entry.name, now):
            return True
        share = self.shares.share(entry.name, self.entries(), now)
        return share > 0 and self.issuer.has_own(entry.name, limit, share, now)

    def use_permit(self, entry: UpstreamEntry, now: float) -> float:
        """Use a permit for a request if the upstream is limited.

        To be called only after ``may_send``.

        :returns: time by which the request must be sent, infinite without a
            limit.
        """
        name = entry.name
        if self.limits.rate(entry) == math.inf:
            return math.inf
        if self.stock.has(name, now):
            return self.stock.take(name, now)
        self.issuer.use_own(name)
        return now + PERMIT_TTL_S

    def copy(self) -> Self:
        """Copy the state, so that a trial leaves this one unchanged.

        :returns: a control that counts the same entries.
        """
        return replace(
            self,
            shares=deepcopy(self.shares),
            issuer=deepcopy(self.issuer),
            source=deepcopy(self.source),
            limits=deepcopy(self.limits),
            stock=deepcopy(self.stock),
            reported_until=self.reported_until.copy(),
        )

    def record_answer(
        self,
        entry: UpstreamEntry,
        stated: float | None,
        sent_version: int,
        now: float,
    ) -> LimitChange | None:
        """Record what an answer states, see ``UpstreamLimits.record_answer``.

        :returns: the change, None if nothing changes.
        """
        change = self.limits.record_answer(entry, stated, sent_version, now)
        if change is not None:
            self.apply(change, now)
        return change

    def keep_listed(
        self, entries: Iterable[UpstreamEntry], now: float
    ) -> list[LimitChange]:
        """Forget the upstreams that are not listed, or have started anew.

        :returns: a change for each limit that ends so.
        """
        changes = self.limits.keep_listed(entries)
        for change in changes:
            self.apply(change, now)
        return changes

    def apply(self, change: LimitChange, now: float) -> None:
        """Drop the permits and asks of an upstream whose limit has ended."""
        if change.rate < math.inf:
            self.reported_until.pop(change.upstream, None)
            return
        self.reported_until[change.upstream] = now + REPORT_ENDED_S
        self.stock.forget(change.upstream)
        self.issuer.forget(change.upstream)

    def handle_report(
        self,
        report: LimitReport,
        listed: Mapping[str, UpstreamEntry],
        now: float,
    ) -> list[LimitChange]:
        """Handle another entry's report.

        :param listed: upstreams of which states are accepted, by name.
        :returns: the limits that change by it.
        """
        self.shares.handle(report, now)
        changes = []
        for name in report.states.keys() & listed.keys():
            change = self.merge(listed[name], report.states[name], now)
            if change is not None:
                changes.append(change)
        return changes

    def merge(
        self, entry: UpstreamEntry, state: LimitState, now: float
    ) -> LimitChange | None:
        """Merge another entry's state of one upstream.

        :returns: the change, None if nothing changes.
        """
        known = self.limits.states.get(entry.name)
        if known is not None and state.precedes(known) and not known.is_limit:
            # The other entry has not learned yet that the limit ended.
            self.reported_until[entry.name] = now + REPORT_ENDED_S
        change = self.limits.merge(entry, state, now)
        if change is not None:
            self.apply(change, now)
        return change

    def is_active(self, now: float) -> bool:
        """Check whether there is anything to report.

        :returns: False if no upstream is or was lately limited.
        """
        return bool(self.reported_states(now))

    def reported_states(self, now: float) -> dict[str, LimitState]:
        """Select what is reported: the limits, and those that ended lately.

        :returns: states by upstream.
        """
        return {
            name: state
            for name, state in self.limits.states.items()
            if state.is_limit or self.reported_until.get(name, 0) > now
        }

    def make_report(self, now: float) -> LimitReport:
        """Make the next report, to be sent at once to all other entries.

        :returns: the report.
        """
        self.reported_until = {
            name: until
            for name, until in self.reported_until.items()
            if until > now
        }
        return self.shares.make_report(
            self.reported_states(now), self.entries(), now
        )

    def make_asks(
        self,
        upstreams: Iterable[UpstreamEntry],
        demand: SendDemand,
        now: float,
    ) -> list[tuple[str, Ask]]:
        """Make the asks that are due for some limited upstreams.

        :returns: asks, each with the holder that it is to be sent to.
        """
        limited = [
            upstream.name
            for upstream in upstreams
            if self.limits.rate(upstream) < math.inf
        ]
        self.source.shuffle(limited)
        asks: list[tuple[str, Ask]] = []
        for name in limited:
            holder = self.shares.holder(name)
            # Requests that come need no permit at the holder.
            if holder == self.shares.node and not demand.waiting:
                continue
            number = self.stock.next_ask(name, now)
            if number is not None:
                ask = Ask(self.shares.node, name, number, demand)
                asks.append((holder, ask))
            if len(asks) >= max(MIN_ASKED, demand.waiting):
                break
        return asks

    def handle_ask(self, ask: Ask, now: float) -> None:
        """Keep an ask of any entry; ``issue`` answers it."""
        state = self.limits.states.get(ask.upstream)
        if state is not None and state.is_limit:
            self.issuer.handle(ask, now)

    def issue(self, now: float) -> list[Grant]:
        """Answer the asks as far as the shares of this entry allow.

        :returns: answers to be sent, those to this entry's own asks included.
        """
        grants = []
        for name in list(self.issuer.asks):
            rate = self.limits.states[name].rate
            share = self.shares.share(name, self.entries(), now)
            grants += self.issuer.issue(name, rate, share, now)
        return grants

    def next_issue_s(self, now: float) -> float:
        """Compute the time until the next ask can be answered.

        :returns: seconds, infinite if there is none.
        """
        return min(
            (
                self.issuer.next_token_s(
                    name,
                    self.limits.states[name].rate
                    * self.shares.share(name, self.entries(), now),
                )
                for name in self.issuer.asks
            ),
            default=math.inf,
        )


def make_limit_control(
    node: str, incarnation: int, source: random.Random, now: float
) -> LimitControl:
    """Create the limit control of an entry that starts.

    :param incarnation: random number that no former process of it has had.
    :param source: random source, seeded by the caller.
    :returns: a control without limits.
    """
    shares = make_limit_shares(node, incarnation, now)
    return LimitControl(shares, make_permit_issuer(source), source)
