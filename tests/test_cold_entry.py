"""Test that an entry keeps to what cold upstreams tolerate."""

from dataclasses import replace

import gevent
import pytest
from direct_world import ROUTES, World, answering, reply

from comfreyarch_core.coldstates import ColdRules
from comfreyarch_core.coldupstreams import ColdBound
from comfreyarch_core.routetable import Service, make_route_table
from comfreyarch_core.sendpermits import Unlimited
from comfreyarch_daemon.forwarding import Forwarder
from comfreyarch_daemon.upstreamcalls import boot_time

# Five sends in 1.25 s.
RULES = ColdRules(3, 4)


class Permitted(Unlimited):
    """Give each request a permit that ends at one time."""

    def __init__(self, end):
        self.end = end

    def use_permit(self, _entry, _now):
        """Return the end of the permit."""
        return self.end


def recording(answer):
    """Create a script that records when requests arrive."""

    def script(upstream, sock, request):
        upstream.arrived_at = [
            *getattr(upstream, 'arrived_at', ()),
            boot_time(),
        ]
        return answer(upstream, sock, request)

    return script


def refusing(_upstream, sock, request):
    """Reject a request as not run."""
    sock.sendall(reply(request, 503, extra='X-Not-Executed: 1\r\n'))


def set_cold(world, cold_s, rules=RULES, **fields):
    """Configure the service and let all upstreams state a remaining time."""
    entry = world.entry
    cold = entry.forwarder.cold
    cold.state.bound = ColdBound(1.5, 5)
    cold.state.record_entries(['entry'], boot_time() - 10)
    entry.table = None
    entry.apply_configuration(
        make_route_table(
            2,
            ROUTES,
            [Service('s', 0, cold=rules)],
            None,
            entry.limits,
        )
    )
    list_upstreams(world, cold_s, sequence=1, **fields)


def list_upstreams(world, cold_s, sequence, **fields):
    """Let all upstreams state a remaining time."""
    world.entry.replace_upstreams(
        [
            replace(upstream.entry, cold_s=cold_s, sequence=sequence, **fields)
            for upstream in world.upstreams
        ]
    )


def play(world, count, path='/safe/x'):
    """Send requests at once.

    :returns: the answers.
    """
    callers = [gevent.spawn(world.call, path) for _ in range(count)]
    gevent.joinall(callers)
    return [caller.value for caller in callers]


def gaps(times):
    """Return the least time between requests that are five apart."""
    return min(
        later - earlier
        for earlier, later in zip(times, times[5:], strict=False)
    )


# Fails if requests that wait are not served when the allowance returns, or if the
# upstream gets more.
def test_waiting_requests_are_served_when_the_allowance_returns():
    with World(recording(answering())) as world:
        set_cold(world, 20)
        began_at = boot_time()
        answers = play(world, 9)
        assert {status for status, *_ in answers} == {200}
        took_s = boot_time() - began_at
        assert 1.2 < took_s < 2.6
        assert gaps(world.upstreams[0].arrived_at) > 1.1


# Fails if waiting requests are not sent when the upstream is warm.
def test_waiting_requests_are_served_when_the_upstream_is_warm():
    with World(answering()) as world:
        set_cold(world, 0.5)
        began_at = boot_time()
        assert {status for status, *_ in play(world, 6)} == {200}
        assert 0.4 < boot_time() - began_at < 1
        events = [event for event, _ in world.entry.log.events]
        world.entry.forwarder.cold.report(None)
        assert 'cold_started' in events
        assert 'cold_ended' in [event for event, _ in world.entry.log.events]


# Fails if a request that was rejected is sent again beyond the allowance.
def test_retries_keep_to_the_allowance():
    scripts = [recording(refusing), recording(refusing)]
    with World(*scripts) as world:
        set_cold(world, 20)
        play(world, 12)
        for upstream in world.upstreams:
            times = upstream.arrived_at
            assert len(times) >= 2
            assert len(times) < 6 or gaps(times) > 1.1


# Fails if a request is kept waiting for an upstream that may not be used in time.
def test_a_request_is_refused_at_once_if_none_may_be_sent_in_time():
    with World(answering()) as world:
        set_cold(world, 60, ColdRules(3, 0.1))
        state = world.entry.forwarder.cold.state
        entry = world.upstreams[0].entry
        # One send in 10 s.
        state.free_at[entry.name] = [boot_time() + 9]
        began_at = boot_time()
        status, headers, _ = world.call('/safe/x')
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert boot_time() - began_at < 0.2
        assert world.runs == 0


# Fails if an upstream that becomes cold while a connection opens gets the request.
def test_an_upstream_that_becomes_cold_while_a_connection_opens():
    with World(answering()) as world:
        set_cold(world, 0)
        entry = world.upstreams[0].entry
        cold = world.entry.forwarder.cold
        send_by = cold.state.record_send(entry, boot_time())
        assert cold.state.is_in_time(entry, send_by, boot_time())
        list_upstreams(world, 3, sequence=2)
        assert not cold.state.is_in_time(entry, send_by, boot_time())


# Fails if a permit for an announced limit excuses a request from the allowance of
# an upstream that became cold while the connection opened.
def test_a_permit_does_not_excuse_from_the_allowance(monkeypatch):
    connect = Forwarder.connect
    with World(recording(answering())) as world:
        set_cold(world, 0)
        began_at = boot_time()
        world.entry.forwarder.selector.permits = Permitted(began_at + 5)

        def connect_late(forwarder, call, view):
            if view.entry.sequence == 1:
                list_upstreams(world, 0.4, sequence=2)
                forwarder.cold.state.free_at['u0'] = [boot_time() + 5]
            return connect(forwarder, call, view)

        monkeypatch.setattr(Forwarder, 'connect', connect_late)
        status, *_ = world.call('/safe/x')
        assert status == 200
        assert world.upstreams[0].arrived_at[0] - began_at >= 0.4


def test_gauges_of_cold_upstreams():
    with World(answering()) as world:
        set_cold(world, 20)
        play(world, 1)
        cold = world.entry.forwarder.cold
        cold.report(['entry'])
        page = world.entry.metrics.text().decode()
        assert 'comfreyarch_cold_upstreams 1.0' in page
        assert 'comfreyarch_cold_tolerated_per_s{upstream="u0"} 4.0' in page
        assert 'comfreyarch_cold_sends_per_s{upstream="u0"} 0.8' in page
        list_upstreams(world, 0, sequence=2)
        page = world.entry.metrics.text().decode()
        assert 'comfreyarch_cold_upstreams 0.0' in page
        assert 'upstream="u0"' not in page


# Fails if an upstream that is only slow is limited, or if its coldness is reported
# as a limit.
@pytest.mark.parametrize('rules', [ColdRules(3, 0), ColdRules()])
def test_slow_upstreams_are_not_limited(rules):
    with World(answering()) as world:
        set_cold(world, 20, rules)
        began_at = boot_time()
        assert {status for status, *_ in play(world, 12)} == {200}
        assert boot_time() - began_at < 0.5
        started = dict(world.entry.log.events)['cold_started']
        assert started['per_s'] == 0
