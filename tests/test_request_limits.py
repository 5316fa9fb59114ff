"""Test that all entries together keep to the limit that an upstream announces."""

import gevent
import pytest
from direct_world import answering
from entry_fleet import EntryFleet, most_in_window

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
            node.entry.forwarder.limits.limits.limited()
            for node in fleet.nodes.values()
        ] != expected:
            gevent.sleep(0.01)
