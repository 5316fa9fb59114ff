"""Test that all entries together keep to the limit that an upstream announces."""

import gevent
import pytest
from direct_world import World, answering
from entry_fleet import EntryFleet, most_in_window

from comfreyarch_core.permits import PERMIT_TTL_S
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import make_wait_queue
from comfreyarch_daemon.forwarding import Forwarder
from comfreyarch_daemon.upstreamcalls import boot_time

# Bound of the rule, in requests per window, for a limit in requests per second.
WINDOW_S = 4.0
RATIO = 1.5
SLACK = 5
# Time from the first announcement after which the rule holds.
CONTACT_S = 3.0


def allowed(limit):
    """Return the requests that an upstream may get in one window."""
    return RATIO * limit * WINDOW_S + SLACK


def limited(limit):
    """Create the script of an upstream that announces a limit."""
    answer = answering(extra=f'Server-Limit: {limit}\r\n')

    def script(upstream, sock, request):
        upstream.arrived_at.append(boot_time())
        answer(upstream, sock, request)

    return script


def most_later(upstream):
    """Return the most requests in a window once the rule holds."""
    first = min(upstream.arrived_at)
    return most_in_window(
        [at for at in upstream.arrived_at if at >= first + CONTACT_S], WINDOW_S
    )


# Fails if entries ignore a limit, or each of them uses it in full.
@pytest.mark.parametrize('entries', [1, 4, 8])
def test_a_limited_upstream_gets_what_it_takes(entries, tmp_path):
    scripts = [limited(2), answering(), answering()]
    with EntryFleet(entries, *scripts, path=tmp_path / 'settings') as fleet:
        calls = fleet.play(per_s=60, seconds=9)
        upstream = fleet.upstreams['u0']
        assert most_later(upstream) <= allowed(2)
    # The others take over; no caller notices.
    assert {call[0] for call in calls} == {200}


# Fails if callers are left waiting for upstreams that are all limited, or if these
# get less than they take.
def test_limited_upstreams_of_a_service_share_the_load(tmp_path):
    scripts = [limited(4), limited(4)]
    with EntryFleet(4, *scripts, path=tmp_path / 'settings') as fleet:
        calls = fleet.play(per_s=30, seconds=9)
        for upstream in fleet.upstreams.values():
            assert most_later(upstream) <= allowed(4)
            begin = min(upstream.arrived_at) + CONTACT_S
            later = [at for at in upstream.arrived_at if at >= begin]
            assert len(later) >= 0.8 * 4 * (9 - CONTACT_S)
    refused = [call for call in calls if call[0] == 503]
    assert len(refused) + sum(call[0] == 200 for call in calls) == len(calls)
    assert all(float(call[1]['retry-after']) > 0 for call in refused)
    # Once the limits are known, nobody is held who cannot be served in time.
    late = [call for call in refused[len(refused) // 2 :] if call[3] > 0.5]
    assert len(late) <= 0.1 * len(refused)


# Fails if an entry learns of a limit, or of its end, only by its own requests.
def test_an_announcement_to_one_entry_reaches_the_others(tmp_path):
    stated = ['Server-Limit: 1\r\n']

    def script(upstream, sock, request):
        answering(extra=stated[0])(upstream, sock, request)

    with EntryFleet(3, script, path=tmp_path / 'settings') as fleet:
        fleet.call('entry-0')
        wait_for_limits(fleet, [{'u0': 1}] * 3)
        stated[0] = ''
        assert fleet.call('entry-1')[0] == 200
        wait_for_limits(fleet, [{}] * 3)


def wait_for_limits(fleet, expected):
    """Wait until the entries know the expected limits."""
    with gevent.Timeout(2):
        while [
            node.entry.forwarder.limits.control.limits.limited()
            for node in fleet.nodes.values()
        ] != expected:
            gevent.sleep(0.01)


def test_an_entry_that_starts_is_told_of_limits(tmp_path):
    script = answering(extra='Server-Limit: 1\r\n')
    with EntryFleet(2, script, path=tmp_path / 'settings') as fleet:
        fleet.call('entry-0')
        fleet.add('late').load_gossip.add_members(fleet.addresses())
        wait_for_limits(fleet, [{'u0': 1}] * 3)
        assert len(fleet.upstreams['u0'].seen) == 1


# Fails if an entry that stops leaves the limits that it held unused, or if its own
# requests are cut off.
def test_a_planned_stop_hands_the_limits_over(tmp_path):
    scripts = [limited(4), limited(4)]
    with EntryFleet(3, *scripts, path=tmp_path / 'settings') as fleet:
        fleet.play(per_s=12, seconds=2)
        fleet.nodes['entry-0'].terminate()
        began_at = boot_time()
        calls = fleet.play(per_s=12, seconds=2)
        used = sum(
            at >= began_at
            for upstream in fleet.upstreams.values()
            for at in upstream.arrived_at
        )
    assert used >= 0.7 * 8 * 2
    # Each call has an answer, or is told that it did not run.
    assert {call[0] for call in calls} <= {200, 503}


# Fails if a request is sent though its permit ended while a connection was opened,
# or while the process did not run.
def test_a_permit_that_ends_before_the_send_is_not_used(monkeypatch):
    pauses = [0, PERMIT_TTL_S + 0.1]
    sent_at = []
    connect = Forwarder.connect

    def connect_slowly(forwarder, call, view):
        gevent.sleep(pauses.pop(0) if pauses else 0)
        sent_at.append(boot_time())
        return connect(forwarder, call, view)

    monkeypatch.setattr(Forwarder, 'connect', connect_slowly)
    script = limited(5)
    with World(script) as world:
        world.upstreams[0].arrived_at = []
        assert world.call('/safe/x')[0] == 200
        assert world.call('/safe/x')[0] == 200
        assert len(sent_at) == 3
        (first, second) = world.upstreams[0].arrived_at
        assert second - first > PERMIT_TTL_S


def test_callers_are_told_why_they_are_refused():
    with World(limited(0.2)) as world:
        world.upstreams[0].arrived_at = []
        world.call('/safe/x')
        calls = [gevent.spawn(world.call, '/safe/x') for _ in range(3)]
        answers = [call.get() for call in calls]
        assert 503 in {answer[0] for answer in answers}
        refusals = [
            facts for name, facts in world.log.events if name == 'refused'
        ]
        assert 'limited, to 0.2 requests per second' in refusals[0]['why']


def make_waiter(latest_start_at, target_start_at=0.5, urgency=1):
    """Create a waiting request."""
    return Waiter('s', urgency, target_start_at, latest_start_at, frozenset())


def make_limited_queue(limit, others=0):
    """Create the queue of a service whose upstreams are all limited."""
    queue = make_wait_queue()
    queue.limit = limit
    queue.others = others
    return queue


def test_requests_for_limited_upstreams_go_by_their_deadlines():
    queue = make_limited_queue(1.0)
    late = make_waiter(9, target_start_at=3)
    soon = make_waiter(5, target_start_at=4)
    urgent = make_waiter(20, urgency=0)
    for waiter in (late, soon, urgent):
        queue.join(waiter)
    assert queue.ordered(1) == [urgent, soon, late]


def test_requests_that_the_limit_leaves_no_time_for_are_known():
    queue = make_limited_queue(2.0, others=4)
    # Four requests elsewhere take 2 s.
    assert queue.cannot_start_in_time(make_waiter(2.5), 0)
    assert not queue.cannot_start_in_time(make_waiter(3.5), 0)
    for latest_start_at in (0.1, 0.4, 1.6):
        queue.join(make_waiter(latest_start_at))
    assert [each.latest_start_at for each in queue.too_late(0)] == [0.4]
    assert queue.drain_s() == 4


# Fails if requests that waited for permits let the wait for slots look long.
def test_waits_for_permits_are_not_taken_for_occupied_slots():
    queue = make_wait_queue()
    before = queue.start_interval_s
    permitted, other = make_waiter(9), make_waiter(9)
    permitted.send_by = 5
    queue.join(permitted)
    queue.join(other)
    queue.record_start(permitted, 4)
    assert queue.start_interval_s == before
