"""Plan the changes of a map that pay: the lever that has a price."""

from comfreyarch_core.costs import (
    CostModel,
    Picture,
    Placement,
)
from comfreyarch_core.moves import Change, Limits, Plan, Price
from comfreyarch_core.planner import Planner


def plan_moves(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
    limits: Limits,
    price: Price,
) -> Plan | None:
    """Plan the batch of changes that pays most for its price.

    :returns: the plan, or None where no change pays.
    """
    planner = Planner(placement, picture, costs, limits)
    before = max(planner.times())
    best: Plan | None = None
    changes: list[Change] = []
    loads = 0
    worth_a_ms = price.skew_price * price.horizon_steps
    while loads < price.most_moves:
        change = planner.best_change()
        if change is None or loads + change.loads > price.most_moves:
            break
        planner.apply(change)
        changes.append(change)
        loads += change.loads
        after = max(planner.times())
        cost = loads * price.move_price_ms
        worth = (before - after) * worth_a_ms
        if best is None or worth - cost > best.worth_ms - best.price_ms:
            copied = [sorted(held) for held in planner.placement]
            best = Plan(copied, tuple(changes), before, after, cost, worth)
    if best is None or best.worth_ms <= best.price_ms:
        return None
    return best


def pack(
    placement: Placement,
    picture: Picture,
    costs: CostModel,
    limits: Limits,
) -> Placement:
    """Improve a map without regard to price, until nothing helps.

    :returns: the improved map.
    """
    most = len(picture.loads) * 2
    price = Price(1, 0, 1, most)
    plan = plan_moves(placement, picture, costs, limits, price)
    return placement if plan is None else plan.placement
