"""Circuit breaker of a service.

After an outage, upstreams may answer but reject every request for seconds.
Without the breaker, requests use up the retry budget on them.
"""

from comfreyarch_core.circuitbreaker import (
    PROBE_INTERVAL_S,
    REJECTIONS_TO_OPEN,
    make_circuit_breaker,
)
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector

REJECTING_S = 3.0


def test_few_requests_are_spent_while_everything_is_rejected():
    breaker = make_circuit_breaker()
    sent_count = 0
    for tick in range(int(REJECTING_S * 100)):
        now = tick / 100
        if breaker.may_send(now):
            breaker.sent(now)
            breaker.rejected(now)
            sent_count += 1
    assert sent_count <= REJECTIONS_TO_OPEN + REJECTING_S / PROBE_INTERVAL_S + 1


def test_one_acceptance_closes_the_circuit():
    breaker = make_circuit_breaker()
    for _ in range(REJECTIONS_TO_OPEN):
        breaker.rejected(0)
    assert not breaker.may_send(0.01)
    breaker.accepted()
    assert breaker.may_send(0.01)


def test_single_rejections_between_acceptances_do_not_open_it():
    breaker = make_circuit_breaker()
    for tick in range(100):
        breaker.rejected(tick)
        breaker.accepted()
        assert breaker.may_send(tick)


def test_a_busy_service_is_not_down():
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(
        [UpstreamEntry('u', 's', '10.0.0.1:80', 'z', 1, False)]
    )
    view = selector.choose('s', 0)
    view.in_flight += 1
    assert selector.choose('s', 0) is None
    assert not selector.is_down('s', 0)
    selector.failed('u', 0)
    assert selector.is_down('s', 0)
