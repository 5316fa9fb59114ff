"""Make the balancer of a group from its configuration."""

from comfreyarch_core.balancer import (
    Balancer,
)
from comfreyarch_core.costs import CostModel
from comfreyarch_core.loads import make_estimator
from comfreyarch_core.mapmessages import Placement
from comfreyarch_core.moves import Limits, Price
from comfreyarch_core.objects import ExpertMap, ModelGroup


def make_balancer(
    group: ModelGroup,
    expert_map: ExpertMap,
    placement: Placement,
    map_id: str,
) -> Balancer:
    """Make the balancer of a group from its configuration.

    :returns: a balancer that has heard nobody.
    """
    costs = CostModel(group.base_ms, group.token_ms, group.request_ms)
    own = max(len(held) for held in expert_map.placement)
    slots = own // expert_map.layers + expert_map.spare_slots
    limits = Limits(
        expert_map.experts // expert_map.layers,
        (slots,) * group.ranks,
    )
    budget = group.batch_bytes_a_s * group.decide_s / group.expert_bytes
    price = Price(
        group.skew_price,
        group.move_price_ms,
        group.horizon_steps,
        max(1, min(group.moves_a_batch, int(budget))),
    )
    estimator = make_estimator(
        placement,
        expert_map.experts,
        costs,
        map_id,
    )
    return Balancer(estimator, placement, limits, price, costs)
