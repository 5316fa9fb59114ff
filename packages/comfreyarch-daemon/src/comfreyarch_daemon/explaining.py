"""Explain to operators what a group's balancer would do."""

from typing import Any

from comfreyarch_core.balancer import (
    Balancer,
)


def explain(group: str, balancer: Balancer, now: float) -> dict[str, Any]:
    """Tell what the balancer would do now, and why.

    :param now: seconds of the monotonic clock.
    :returns: moves, gain and price as plain values.
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
                    'kind': one.kind,
                    'expert': one.expert,
                    'from': one.source,
                    'to': one.target,
                    'instead_of': one.evicted,
                }
                for one in plan.changes
            ],
            'before_ms': plan.before_ms,
            'after_ms': plan.after_ms,
            'worth_ms': plan.worth_ms,
            'price_ms': plan.price_ms,
            'pays': balancer.pays(plan),
        }
    return page
