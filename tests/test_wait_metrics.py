"""Operators see waits and refusals by urgency."""

import gevent
import pytest

from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_core.waiter import Waiter
from comfreyarch_daemon.dispatcherrors import DispatchError, RefusalReason
from comfreyarch_daemon.dispatching import Dispatcher
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.upstreamcalls import boot_time
from comfreyarch_daemon.waitmetrics import (
    count_refused,
    count_served,
    report_waiting,
)


def make_dispatcher():
    """Create a dispatcher of one upstream whose only slot is taken."""
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams([UpstreamEntry('u', 's', 'h:1', 'z', 1, False)])
    selector.views['u'].in_flight = 1
    return Dispatcher(selector)


def read(metrics, name, **labels):
    """Return a metric, None if it was never set."""
    labels['service'] = 's'
    return metrics.registry.get_sample_value(f'comfreyarch_{name}', labels)


# Fails if operators cannot tell which urgency waits, or why it is refused.
def test_waits_and_refusals_are_counted():
    metrics = Metrics()
    dispatcher = make_dispatcher()
    now = boot_time()
    served = Waiter('s', 0, now + 1, now + 1, frozenset())
    waiting = gevent.spawn(dispatcher.acquire_slot, served)
    gevent.sleep(0)
    report_waiting(metrics, dispatcher)
    assert read(metrics, 'requests_waiting', urgency='0') == 1
    dispatcher.release(dispatcher.selector.views['u'])
    waiting.get(timeout=1)
    count_served(metrics, served)
    report_waiting(metrics, dispatcher)
    assert read(metrics, 'requests_waiting', urgency='0') == 0
    assert read(metrics, 'waits_total', urgency='0', outcome='served') == 1


def test_a_request_refused_after_a_wait_is_counted_by_reason():
    metrics = Metrics()
    now = boot_time()
    waiter = Waiter('s', 2, now, now + 0.1, frozenset())
    with pytest.raises(DispatchError) as refusal:
        make_dispatcher().acquire_slot(waiter)
    assert refusal.value.reason is RefusalReason.timeout
    count_refused(metrics, waiter, refusal.value.reason)
    labels = {'urgency': '2', 'reason': 'timeout'}
    assert read(metrics, 'slots_refused_total', **labels) == 1
    assert read(metrics, 'waits_total', urgency='2', outcome='timeout') == 1


def test_a_request_refused_at_once_did_not_wait():
    metrics = Metrics()
    now = boot_time()
    waiter = Waiter('s', 2, now, now + 0.01, frozenset())
    with pytest.raises(DispatchError) as refusal:
        make_dispatcher().acquire_slot(waiter)
    count_refused(metrics, waiter, refusal.value.reason)
    labels = {'urgency': '2', 'reason': 'late_start'}
    assert read(metrics, 'slots_refused_total', **labels) == 1
    assert 'waits' not in metrics.counters
