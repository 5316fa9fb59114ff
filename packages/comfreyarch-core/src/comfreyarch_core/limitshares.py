"""Divide the request limits of upstreams among entries by loans.

Each entry owns an equal share of every limit. For each limited upstream all
entries lend their shares to one of them, its *holder*, which issues permits with
them. So the whole limit is used wherever the requests arrive, and entries that
cannot reach each other keep to their own shares, which add up to the limit.

Nobody uses a share twice. The holder uses a loan until one term after it sent the
report that the loan answers; the lender does without its share until one term
after it sent the loan, which is later. This holds however long messages are
delayed, or processes do not run. An entry that starts waits for one term, as its
predecessor may have lent its share.
"""

from dataclasses import dataclass, field

from comfreyarch_core.rendezvous import sort_by_score
from comfreyarch_core.upstreamlimits import LimitState

# Least time between two reports of an entry, unless limits change.
REPORT_INTERVAL_S = 0.25
# Term of a loan, in report intervals; reports may be lost.
TERM_INTERVALS = 5
# Time without a report after which an entry is no candidate for a holder, in
# report intervals. It is less than a term, so that loans pass on as they end.
CANDIDATE_INTERVALS = 4


@dataclass(frozen=True, slots=True)
class Loan:
    """Lend shares of several limits to the entry that a report came from.

    :param incarnation: incarnation of the borrower.
    :param sequence: number of its last report that the lender received.
    :param term_s: time from that report to the end of the loan, in seconds.
    :param share: part of each limit that is lent, from 0 to 1.
    """

    incarnation: int
    sequence: int
    term_s: float
    share: float
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Represent what an entry reports to the others about limits.

    :param incarnation: random number drawn when the entry's process starts.
    :param sequence: increases with each report of one incarnation.
    :param is_candidate: whether the entry may be a holder; one that is about to
        stop uses no loan any more.
    :param states: what it knows, by upstream.
    :param loans: loans by borrower.
    """

    node: str
    incarnation: int
    sequence: int
    is_candidate: bool
    states: dict[str, LimitState] = field(default_factory=dict)
    loans: dict[str, Loan] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Lent:
    """Record that the own share of a limit is lent until a time."""

    holder: str
    until: float


@dataclass(frozen=True, slots=True)
class Borrowed:
    """Record a share that may be used until a time."""

    share: float
    until: float


@dataclass(slots=True)
class LimitShares:
    """Represent one entry's part in dividing the limits.

    :param usable_from: time before which the own shares are neither used nor lent.
    :param interval_s: time between two reports.
    :param sent_at: when the recent reports were sent, by sequence.
    :param heard: last report of each other entry, and when it arrived.
    :param lent: own shares that are lent, by upstream.
    :param borrowed: shares lent to this entry, by upstream and lender.
    :param candidates: entries that may be holders, as of the last report.
    :param holders: holders by upstream, computed from the candidates.
    """

    node: str
    incarnation: int
    usable_from: float
    interval_s: float = REPORT_INTERVAL_S
    sequence: int = 0
    is_candidate: bool = True
    sent_at: dict[int, float] = field(default_factory=dict)
    heard: dict[str, tuple[LimitReport, float]] = field(default_factory=dict)
    lent: dict[str, Lent] = field(default_factory=dict)
    borrowed: dict[str, dict[str, Borrowed]] = field(default_factory=dict)
    candidates: frozenset[str] = frozenset()
    holders: dict[str, str] = field(default_factory=dict)

    @property
    def term_s(self) -> float:
        """Return the term of a loan.

        :returns: seconds.
        """
        return self.interval_s * TERM_INTERVALS

    def holder(self, upstream: str) -> str:
        """Return the entry that issues the permits for an upstream.

        :returns: this entry if no other one is a candidate.
        """
        holder = self.holders.get(upstream)
        if holder is None:
            holder = sort_by_score(self.candidates, upstream)[0]
            self.holders[upstream] = holder
        return holder

    def share(self, upstream: str, entries: int, now: float) -> float:
        """Add up the shares of a limit that this entry may use.

        :param entries: number of entries that share the limits.
        :returns: a part of the limit, from 0 to 1.
        """
        own = 1 / max(1, entries) if self.may_use_own(upstream, now) else 0
        loans = self.borrowed.get(upstream, {})
        borrowed = sum(
            loan.share for loan in loans.values() if loan.until > now
        )
        return min(1, own + borrowed)

    def may_use_own(self, upstream: str, now: float) -> bool:
        """Check whether the own share is neither lent nor about to be.

        :returns: True if this entry is the holder and the last loan has ended.
        """
        if now < self.usable_from or self.holder(upstream) != self.node:
            return False
        lent = self.lent.get(upstream)
        return lent is None or lent.until <= now

    def handle(self, report: LimitReport, now: float) -> None:
        """Record a report of another entry and the loan it may hold."""
        known = self.heard.get(report.node)
        if known is not None:
            last, _ = known
            is_same_incarnation = last.incarnation == report.incarnation
            if is_same_incarnation and report.sequence <= last.sequence:
                return
        self.heard[report.node] = (report, now)
        if not report.is_candidate:
            # The entry has ended its use of all loans.
            for upstream, lent in list(self.lent.items()):
                if lent.holder == report.node:
                    self.lent.pop(upstream)
        self.update_candidates(now)
        loan = report.loans.get(self.node)
        if loan is not None and self.is_candidate:
            self.record_loan(report.node, loan)

    def record_loan(self, lender: str, loan: Loan) -> None:
        """Record a loan to this entry, unless it answers no recent report."""
        sent_at = self.sent_at.get(loan.sequence)
        if loan.incarnation != self.incarnation or sent_at is None:
            return
        until = sent_at + min(loan.term_s, self.term_s)
        for upstream in loan.upstreams:
            lenders = self.borrowed.setdefault(upstream, {})
            lenders[lender] = Borrowed(loan.share, until)

    def make_report(
        self, states: dict[str, LimitState], entries: int, now: float
    ) -> LimitReport:
        """Make the next report, which renews the loans.

        :param states: what to tell about limits, by upstream.
        :param entries: number of entries that share the limits.
        :returns: the report, to be sent at once to all other entries.
        """
        self.sequence += 1
        self.expire(now)
        self.sent_at[self.sequence] = now
        self.update_candidates(now)
        limited = [name for name, state in states.items() if state.is_limit]
        return LimitReport(
            self.node,
            self.incarnation,
            self.sequence,
            self.is_candidate,
            states,
            self.make_loans(limited, entries, now),
        )

    def make_loans(
        self, limited: list[str], entries: int, now: float
    ) -> dict[str, Loan]:
        """Lend the shares of the limits that other entries hold.

        :returns: loans by borrower.
        """
        if now < self.usable_from:
            return {}
        upstreams: dict[str, list[str]] = {}
        for name in limited:
            holder = self.holder(name)
            if holder != self.node and self.may_lend(name, holder, now):
                self.lent[name] = Lent(holder, now + self.term_s)
                upstreams.setdefault(holder, []).append(name)
        return {
            holder: self.make_loan(holder, names, entries)
            for holder, names in upstreams.items()
        }

    def may_lend(self, upstream: str, holder: str, now: float) -> bool:
        """Check whether the own share may be lent to a holder.

        :returns: False while it is lent to another one.
        """
        lent = self.lent.get(upstream)
        return lent is None or lent.until <= now or lent.holder == holder

    def make_loan(self, holder: str, names: list[str], entries: int) -> Loan:
        """Make the loan to one holder, in answer to its last report.

        :returns: the loan.
        """
        answered, _ = self.heard[holder]
        return Loan(
            answered.incarnation,
            answered.sequence,
            self.term_s,
            1 / max(1, entries),
            tuple(names),
        )

    def update_candidates(self, now: float) -> None:
        """Determine which entries may be holders."""
        timeout_s = self.interval_s * CANDIDATE_INTERVALS
        candidates = {
            node
            for node, (report, heard_at) in self.heard.items()
            if report.is_candidate and now - heard_at <= timeout_s
        }
        if self.is_candidate or not candidates:
            candidates.add(self.node)
        if candidates != self.candidates:
            self.candidates = frozenset(candidates)
            self.holders.clear()

    def expire(self, now: float) -> None:
        """Forget ended loans, old reports, and entries that are gone."""
        start = now - self.term_s
        self.sent_at = {
            sequence: sent_at
            for sequence, sent_at in self.sent_at.items()
            if sent_at >= start
        }
        self.heard = {
            node: known
            for node, known in self.heard.items()
            if known[1] >= start
        }
        self.lent = {
            name: lent for name, lent in self.lent.items() if lent.until > now
        }
        for name, loans in list(self.borrowed.items()):
            left = {
                lender: loan
                for lender, loan in loans.items()
                if loan.until > now
            }
            if left:
                self.borrowed[name] = left
            else:
                self.borrowed.pop(name)

    def leave(self) -> None:
        """Stop to use loans, before this entry's process ends."""
        self.is_candidate = False
        self.borrowed.clear()


def make_limit_shares(node: str, incarnation: int, now: float) -> LimitShares:
    """Create the shares of an entry that starts.

    :returns: shares without loans.
    """
    shares = LimitShares(node, incarnation, now)
    shares.usable_from = now + shares.term_s
    shares.update_candidates(now)
    return shares
