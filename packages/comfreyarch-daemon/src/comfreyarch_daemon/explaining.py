"""Explain the next plan of a group's balancer to operators."""

from typing import Any

from comfreyarch_core.balancer import (
    Balancer,
)


def explain(group: str, balancer: Balancer, now: float) -> dict[str, Any]:
    """Return the plan that the balancer would choose now, and its inputs.

    :param now: seconds of the monotonic clock.
    :returns: shares, predicted times and, if there is a plan, its changes,
        gain and price, as JSON-compatible values.
    """
    plan = balancer.plan()
    snapshot = balancer.estimator.snapshot()
    page: dict[str, Any] = {
        'group': group,
        'slowness': list(snapshot.slowness),
        'shares': list(balancer.shares),
        'times_ms': balancer.predict_times(balancer.placement, snapshot),
        'reports_complete': balancer.estimator.is_complete(now),
    }
    if plan is not None:
        page['plan'] = {
            'changes': [
                {
                    'kind': change.kind,
                    'expert': change.expert,
                    'from': change.source,
                    'to': change.target,
                    'instead_of': change.evicted,
                }
                for change in plan.changes
            ],
            'before_ms': plan.before_ms,
            'after_ms': plan.after_ms,
            'worth_ms': plan.worth_ms,
            'price_ms': plan.price_ms,
            'pays': balancer.pays(plan),
        }
    return page
