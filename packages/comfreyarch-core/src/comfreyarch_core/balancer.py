"""Decide for one group's balance: request shares and expert moves.

Requests are the free lever and are spread anew at each decision. Experts
move only when the plan still pays at a second look, so that a short rush
moves nothing; a change under way is abandoned when it no longer pays.
"""

from dataclasses import dataclass

from comfreyarch_core.costs import (
    CostModel,
    Picture,
    Placement,
    expert_times,
    rank_times,
    spread_requests,
)
from comfreyarch_core.loads import LoadEstimator, Report
from comfreyarch_core.mapmessages import FIRST_MAP
from comfreyarch_core.moves import Limits, Plan, Price
from comfreyarch_core.planning import plan_moves

CONFIRMATIONS = 3
MIN_GAIN_SHARE = 0.01
ABANDON_SHARE = 0.5
COOL_DOWN_DECISIONS = 2
SPREAD_GAIN_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class MapInForce:
    """Tell the map in force and its name."""

    placement: Placement
    map_id: str = FIRST_MAP


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """Tell that the proposed change was committed or aborted."""

    committed: bool


@dataclass(frozen=True, slots=True)
class Decide:
    """Decide now on what is known."""


@dataclass(frozen=True, slots=True)
class Shares:
    """Give each rank its share of requests; 1 is an even one."""

    shares: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ProposeMap:
    """Propose a map, with the plan that tells why."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class AbandonMap:
    """Abandon the proposed change: it no longer pays."""


Message = Report | MapInForce | ChangeEnded | Decide
Outcome = Shares | ProposeMap | AbandonMap


@dataclass(slots=True)
class Balancer:
    """Decide for one group.

    :param confirmations: looks at which a plan must pay.
    """

    estimator: LoadEstimator
    placement: Placement
    limits: Limits
    price: Price
    costs: CostModel
    confirmations: int = CONFIRMATIONS
    agreed: int = 0
    cooling: int = 0
    proposed: Plan | None = None
    last: Plan | None = None
    shares: tuple[float, ...] = ()

    def handle(self, message: Message, now: float) -> list[Outcome]:
        """Take a message and decide.

        :param message: a report, news of the map, or the order to decide.
        :param now: seconds.
        :returns: shares, and a map to propose or abandon.
        """
        match message:
            case Report():
                self.estimator.take(message, now)
                return []
            case MapInForce(placement, map_id):
                self.placement = placement
                self.estimator.moved(placement, map_id)
                return self.spread()
            case ChangeEnded(committed):
                self.ended(committed=committed)
                return []
        return self.decide(now)

    def ended(self, *, committed: bool) -> None:
        """Go on at the next look after a commit, pause after an abort."""
        self.proposed = None
        self.agreed = self.confirmations - 1 if committed else 0
        self.cooling = 0 if committed else COOL_DOWN_DECISIONS

    def decide(self, now: float) -> list[Outcome]:
        """Spread requests, then weigh a change of the map."""
        outcomes = self.spread()
        if not self.estimator.complete(now):
            self.agreed = 0
            return outcomes
        if self.proposed is not None:
            return [*outcomes, *self.weigh_proposed(self.proposed)]
        if self.cooling:
            self.cooling -= 1
            return outcomes
        return [*outcomes, *self.weigh()]

    def spread(self) -> list[Outcome]:
        """Give shares that even the predicted rank times."""
        picture = self.estimator.picture()
        costs = self.costs
        fixed = [
            costs.base_ms + own
            for own in expert_times(self.placement, picture, costs)
        ]
        requests = max(picture.requests, len(fixed))
        spread = spread_requests(
            fixed,
            picture.slowness,
            requests,
            costs.request_ms,
        )
        even = requests / len(fixed)
        shares = tuple(round(own / even, 3) for own in spread)
        if not self.spread_pays(picture, shares, even):
            return []
        self.shares = shares
        return [Shares(shares)]

    def spread_pays(
        self,
        picture: Picture,
        shares: tuple[float, ...],
        even: float,
    ) -> bool:
        """Tell whether new shares gain more than the reports' noise."""
        former = self.shares or (1.0,) * len(shares)
        before, after = (
            max(
                rank_times(
                    self.placement,
                    picture,
                    self.costs,
                    [share * even for share in given],
                ),
            )
            for given in (former, shares)
        )
        return before - after > SPREAD_GAIN_SHARE * before

    def plan(self) -> Plan | None:
        """Plan on the present picture."""
        picture = self.estimator.picture()
        return plan_moves(
            self.placement,
            picture,
            self.costs,
            self.limits,
            self.price,
        )

    def weigh(self) -> list[Outcome]:
        """Propose a plan that pays at enough looks on end."""
        plan = self.plan()
        self.last = plan
        if plan is None or not self.pays(plan) or not self.pays_now(plan):
            self.agreed = 0
            return []
        self.agreed += 1
        if self.agreed < self.confirmations:
            return []
        self.proposed = plan
        return [ProposeMap(plan)]

    def pays(self, plan: Plan) -> bool:
        """Tell whether a plan is worth its price and not mere noise.

        :returns: True for a gain above price and above a hundredth.
        """
        enough = plan.gain_ms > MIN_GAIN_SHARE * plan.before_ms
        return enough and plan.worth_ms > plan.price_ms

    def weigh_proposed(self, proposed: Plan) -> list[Outcome]:
        """Abandon a change under way once it no longer pays."""
        if self.worth_now(proposed) >= ABANDON_SHARE * proposed.price_ms:
            return []
        return [AbandonMap()]

    def pays_now(self, plan: Plan) -> bool:
        """Tell whether a plan also pays by the last reports alone.

        :returns: False once a rush is over, though the estimate lags.
        """
        return self.worth_now(plan) > plan.price_ms

    def worth_now(self, plan: Plan) -> float:
        """Give what a plan is worth by the last reports alone."""
        picture = self.estimator.picture(latest=True)
        before = max(self.times(self.placement, picture))
        after = max(self.times(plan.placement, picture))
        worth_a_ms = self.price.skew_price * self.price.horizon_steps
        return (before - after) * worth_a_ms

    def times(self, placement: Placement, picture: Picture) -> list[float]:
        """Predict rank times of a map."""
        return rank_times(placement, picture, self.costs)
