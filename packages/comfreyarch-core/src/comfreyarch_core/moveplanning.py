"""Choose expert moves whose gain in step time is worth more than they cost."""

from comfreyarch_core.costs import (
    CostModel,
    LoadSnapshot,
    Placement,
)
from comfreyarch_core.moves import Change, Limits, Plan, Price
from comfreyarch_core.planner import Planner


def plan_moves(
    placement: Placement,
    snapshot: LoadSnapshot,
    costs: CostModel,
    limits: Limits,
    price: Price,
) -> Plan | None:
    """Plan the batch of changes with the highest worth net of its price.

    :returns: the plan, or None if no batch is worth more than its price.
    """
    planner = Planner(placement, snapshot, costs, limits)
    before_ms = max(planner.predict_times())
    best: Plan | None = None
    changes: list[Change] = []
    copies = 0
    worth_per_ms = price.skew_price * price.horizon_steps
    while copies < price.max_moves:
        change = planner.best_change()
        if change is None or copies + change.loads > price.max_moves:
            break
        planner.apply(change)
        changes.append(change)
        copies += change.loads
        after_ms = max(planner.predict_times())
        cost_ms = copies * price.move_price_ms
        worth_ms = (before_ms - after_ms) * worth_per_ms
        if best is None or worth_ms - cost_ms > best.worth_ms - best.price_ms:
            planned = [sorted(held) for held in planner.placement]
            best = Plan(
                planned, tuple(changes), before_ms, after_ms, cost_ms, worth_ms
            )
    if best is None or best.worth_ms <= best.price_ms:
        return None
    return best


def optimize_placement(
    placement: Placement,
    snapshot: LoadSnapshot,
    costs: CostModel,
    limits: Limits,
) -> Placement:
    """Improve a map regardless of price, until no change helps.

    :returns: the improved map.
    """
    max_moves = len(snapshot.loads) * 2
    price = Price(1, 0, 1, max_moves)
    plan = plan_moves(placement, snapshot, costs, limits, price)
    return placement if plan is None else plan.placement
