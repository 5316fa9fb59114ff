"""Balance one model group by request shares and expert moves.

Shifting requests between ranks costs nothing, so shares are recomputed at
each decision. Expert moves have a price, and a plan of moves pays if the step
time that it saves is worth more than that. A map is proposed only after its
plan has paid at several consecutive decisions, so that a short burst of load
moves nothing. A proposed change is abandoned once it no longer pays.
"""

from dataclasses import dataclass

from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
    Placement,
    expert_times,
    rank_times,
    spread_requests,
)
from comfreyarch_core.loads import LoadEstimator, Report
from comfreyarch_core.mapmessages import INITIAL_MAP_ID
from comfreyarch_core.moveplanning import plan_moves
from comfreyarch_core.moves import Limits, Plan, Price

# Consecutive decisions at which a plan must pay before it is proposed.
CONFIRMATIONS = 3
# Least predicted gain of a plan, as a share of the present step time.
MIN_GAIN_SHARE = 0.01
# A proposed change is abandoned if its worth falls below this share of its
# price.
ABANDON_SHARE = 0.5
# Decisions without a proposal after a change was aborted.
COOL_DOWN_DECISIONS = 2
# Least predicted gain of new request shares, as a share of the step time;
# smaller gains are noise of the reports.
SPREAD_GAIN_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class MapInForce:
    """Report the map in force and its identifier."""

    placement: Placement
    map_id: str = INITIAL_MAP_ID


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """Report that the proposed change was committed or aborted."""

    committed: bool


@dataclass(frozen=True, slots=True)
class Decide:
    """Request a decision from the reports received so far."""


@dataclass(frozen=True, slots=True)
class Shares:
    """Set each rank's share of requests, relative to an even share of 1."""

    shares: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ProposeMap:
    """Propose the map of a plan."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class AbandonMap:
    """Abandon the proposed change because it no longer pays."""


Message = Report | MapInForce | ChangeEnded | Decide
Outcome = Shares | ProposeMap | AbandonMap


@dataclass(slots=True)
class Balancer:
    """Decide on request shares and map changes for one group.

    :param placement: the map in force.
    :param confirmations: consecutive decisions at which a plan must pay.
    :param confirmed: consecutive decisions at which a plan has paid so far.
    :param cool_down: decisions left before a plan may be considered again.
    :param proposed: the plan of the change in progress.
    :param last_plan: the plan of the last decision that made one.
    :param shares: request shares in force; empty for even ones.
    """

    estimator: LoadEstimator
    placement: Placement
    limits: Limits
    price: Price
    costs: CostModel
    confirmations: int = CONFIRMATIONS
    confirmed: int = 0
    cool_down: int = 0
    proposed: Plan | None = None
    last_plan: Plan | None = None
    shares: tuple[float, ...] = ()

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Process a message and return the resulting decisions.

        :param message: a report, the map in force, the end of a change, or
            a request to decide.
        :param now: seconds.
        :returns: request shares, and a map to propose or abandon.
        """
        match message:
            case Report():
                self.estimator.add_report(message, now)
                return []
            case MapInForce(placement, map_id):
                self.placement = placement
                self.estimator.add_map(placement, map_id)
                return self.update_shares()
            case ChangeEnded(committed):
                self.end_change(committed=committed)
                return []
        return self.decide(now)

    def end_change(self, *, committed: bool) -> None:
        """Clear the proposed plan.

        After a commit, the next plan may be proposed at the next decision.
        After an abort, no plan is considered for some decisions.
        """
        self.proposed = None
        self.confirmed = self.confirmations - 1 if committed else 0
        self.cool_down = 0 if committed else COOL_DOWN_DECISIONS

    def decide(self, now: float) -> list[Outcome]:
        """Update the request shares, then consider a change to the map."""
        outcomes = self.update_shares()
        if not self.estimator.is_complete(now):
            self.confirmed = 0
            return outcomes
        if self.proposed is not None:
            return [*outcomes, *self.review_proposed(self.proposed)]
        if self.cool_down:
            self.cool_down -= 1
            return outcomes
        return [*outcomes, *self.consider_plan()]

    def update_shares(self) -> list[Outcome]:
        """Compute the request shares that even out the rank times.

        :returns: the new shares; empty if they gain too little.
        """
        snapshot = self.estimator.snapshot()
        costs = self.costs
        fixed = [
            costs.base_ms + expert_ms
            for expert_ms in expert_times(self.placement, snapshot, costs)
        ]
        # Shares are relative to an even number of requests per rank, which
        # must not be zero in an idle group.
        requests = max(snapshot.requests, len(fixed))
        spread = spread_requests(
            fixed,
            snapshot.slowness,
            requests,
            costs.request_ms,
        )
        even_requests = requests / len(fixed)
        shares = tuple(round(count / even_requests, 3) for count in spread)
        if not self.shares_pay(snapshot, shares, even_requests):
            return []
        self.shares = shares
        return [Shares(shares)]

    def shares_pay(
        self,
        snapshot: LoadSnapshot,
        shares: tuple[float, ...],
        even_requests: float,
    ) -> bool:
        """Check whether new shares gain more than the noise of reports.

        :param even_requests: requests of a rank under even shares.
        """
        former = self.shares or (1.0,) * len(shares)
        before, after = (
            max(
                rank_times(
                    self.placement,
                    snapshot,
                    self.costs,
                    [share * even_requests for share in compared],
                ),
            )
            for compared in (former, shares)
        )
        return before - after > SPREAD_GAIN_SHARE * before

    def plan(self) -> Plan | None:
        """Plan map changes on the present load snapshot."""
        snapshot = self.estimator.snapshot()
        return plan_moves(
            self.placement,
            snapshot,
            self.costs,
            self.limits,
            self.price,
        )

    def consider_plan(self) -> list[Outcome]:
        """Propose a plan after enough consecutive decisions at which it pays.

        The plan is made anew at each decision; only the last is proposed.
        """
        plan = self.plan()
        self.last_plan = plan
        if plan is None or not self.pays(plan) or not self.pays_now(plan):
            self.confirmed = 0
            return []
        self.confirmed += 1
        if self.confirmed < self.confirmations:
            return []
        self.proposed = plan
        return [ProposeMap(plan)]

    def pays(self, plan: Plan) -> bool:
        """Check whether a plan is worth its price and gains more than noise.

        :returns: True if its worth exceeds its price and its gain exceeds
            ``MIN_GAIN_SHARE`` of the step time.
        """
        is_above_noise = plan.gain_ms > MIN_GAIN_SHARE * plan.before_ms
        return is_above_noise and plan.worth_ms > plan.price_ms

    def review_proposed(self, proposed: Plan) -> list[Outcome]:
        """Abandon the change in progress if it no longer pays."""
        if self.current_worth_ms(proposed) >= ABANDON_SHARE * proposed.price_ms:
            return []
        return [AbandonMap()]

    def pays_now(self, plan: Plan) -> bool:
        """Check whether a plan also pays by the latest reports alone.

        :returns: False once a burst is over, even while the smoothed loads
            still show it.
        """
        return self.current_worth_ms(plan) > plan.price_ms

    def current_worth_ms(self, plan: Plan) -> float:
        """Compute what a plan is worth by the latest reports alone.

        :returns: the unit of ``Plan.worth_ms``.
        """
        snapshot = self.estimator.snapshot(latest=True)
        before = max(self.predict_times(self.placement, snapshot))
        after = max(self.predict_times(plan.placement, snapshot))
        worth_per_ms = self.price.skew_price * self.price.horizon_steps
        return (before - after) * worth_per_ms

    def predict_times(
        self, placement: Placement, snapshot: LoadSnapshot
    ) -> list[float]:
        """Predict the step time of each rank under a map.

        :returns: milliseconds by rank.
        """
        return rank_times(placement, snapshot, self.costs)
