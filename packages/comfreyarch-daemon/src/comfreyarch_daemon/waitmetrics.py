"""Publish waits for slots, and refusals, by urgency."""

from comfreyarch_core.waiter import Waiter
from comfreyarch_daemon.dispatcherrors import RefusalReason
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.metrics import Metrics

# Requests that wait now, by service and urgency.
WAITING_GAUGE = 'requests_waiting'
# Requests that got a slot after they waited have this outcome.
SERVED = 'served'


def count_served(metrics: Metrics, waiter: Waiter) -> None:
    """Count a request that got a slot, if it waited for it."""
    if waiter.was_queued:
        count_wait(metrics, waiter, SERVED)


def count_refused(
    metrics: Metrics, waiter: Waiter, reason: RefusalReason
) -> None:
    """Count a request that gets no slot, and its wait if it waited."""
    metrics.count(
        'slots_refused',
        service=waiter.service,
        urgency=str(waiter.urgency),
        reason=reason.value,
    )
    if waiter.was_queued:
        count_wait(metrics, waiter, reason.value)


def count_wait(metrics: Metrics, waiter: Waiter, outcome: str) -> None:
    """Count the end of a wait."""
    metrics.count(
        'waits',
        service=waiter.service,
        urgency=str(waiter.urgency),
        outcome=outcome,
    )


def report_waiting(metrics: Metrics, dispatcher: Dispatcher) -> None:
    """Publish the requests that wait now."""
    for service, queue in dispatcher.queues.items():
        waiting = [waiter.urgency for waiter in queue.waiters]
        for urgency in queue.urgencies:
            metrics.gauge(
                WAITING_GAUGE,
                waiting.count(urgency),
                service=service,
                urgency=str(urgency),
            )
