"""The load after an outage whose upstreams answer, and reject everything."""

from comfreyarch_core.placing import make_placer
from comfreyarch_core.servicegate import (
    CLOSING_REJECTIONS,
    TRY_S,
    make_service_gate,
)
from comfreyarch_core.upstreamlist import UpstreamEntry

FORMING_S = 3.0


def test_few_requests_are_spent_while_everything_is_rejected():
    gate = make_service_gate()
    sent = 0
    for tick in range(int(FORMING_S * 100)):
        now = tick / 100
        if gate.may_send(now):
            gate.sent(now)
            gate.rejected(now)
            sent += 1
    assert sent <= CLOSING_REJECTIONS + FORMING_S / TRY_S + 1


def test_one_acceptance_opens_it_for_all():
    gate = make_service_gate()
    for _ in range(CLOSING_REJECTIONS):
        gate.rejected(0)
    assert not gate.may_send(0.01)
    gate.accepted()
    assert gate.may_send(0.01)


def test_single_rejections_between_acceptances_close_nothing():
    gate = make_service_gate()
    for tick in range(100):
        gate.rejected(tick)
        gate.accepted()
        assert gate.may_send(tick)


def test_a_busy_service_is_not_down():
    placer = make_placer('z', 1)
    placer.know([UpstreamEntry('u', 's', '10.0.0.1:80', 'z', 1, False)])
    view = placer.choose('s', 0)
    view.in_flight += 1
    assert placer.choose('s', 0) is None
    assert not placer.is_down('s', 0)
    placer.failed('u', 0)
    assert placer.is_down('s', 0)
