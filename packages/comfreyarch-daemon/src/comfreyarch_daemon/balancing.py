"""Create a group's balancer from its configuration."""

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
    """Create a group's balancer from its configuration.

    A batch of moves is limited by the bytes that may be copied within one
    decision interval, but may always contain one move.

    :returns: a balancer without any report.
    """
    costs = CostModel(group.base_ms, group.token_ms, group.request_ms)
    most_held = max(len(held) for held in expert_map.placement)
    slots = most_held // expert_map.layers + expert_map.spare_slots
    limits = Limits(
        expert_map.experts // expert_map.layers,
        (slots,) * group.ranks,
    )
    batch_limit = group.batch_bytes_a_s * group.decide_s / group.expert_bytes
    price = Price(
        group.skew_price,
        group.move_price_ms,
        group.horizon_steps,
        max(1, min(group.moves_a_batch, int(batch_limit))),
    )
    estimator = make_estimator(
        placement,
        expert_map.experts,
        costs,
        map_id,
    )
    return Balancer(estimator, placement, limits, price, costs)
