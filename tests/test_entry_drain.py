"""Test how an entry of comfreyarchd ends the requests that are open at its exit."""

import time
from dataclasses import replace

import gevent
import msgspec
import pytest
from test_published_evacuation import make_entry

from comfreyarch_core.frames import Call, Cancel, Head
from comfreyarch_core.refusals import Ran
from comfreyarch_core.routing import Beat
from comfreyarch_daemon.attempts import RequestRefused
from comfreyarch_daemon.requests import CallerRequest

DRAIN_S = 1.0
FAR_AWAY = 10**12


class Link:
    """Record the frames that are sent on a link."""

    def __init__(self):
        self.sent = []

    def send(self, frame):
        """Record a frame."""
        self.sent.append(frame)
        return True


def start_request(role, *, stream):
    """Start a request whose sidecar does not answer.

    :returns: its greenlet, with the final refusal, and the link.
    """
    link = Link()
    for number in range(3):
        role.node.links[f's{number}'] = link
        beat = Beat(f's{number}', 'i', 1, slots=4, service_ms=50)
        role.router.record_heartbeat(beat, FAR_AWAY)
    request = CallerRequest(
        '', 'team', 1, 'm', 'POST', '/', {}, b'', FAR_AWAY, 'digest', 0
    )
    request = replace(request, stream=stream, resumable=stream)

    def run():
        role.caller_server.open_requests += 1
        try:
            list(role.executor.answer(request))
        except RequestRefused as error:
            return error.refusal
        finally:
            role.caller_server.open_requests -= 1

    worker = gevent.spawn(run)
    gevent.sleep(0.01)
    return worker, link


@pytest.mark.parametrize('is_started', [True, False])
def test_open_requests_are_answered_before_the_exit(is_started):
    """Guards against a close without an answer (rule LOST, review/2)."""
    role = make_entry(3)
    role.settings = msgspec.structs.replace(role.settings, drain_s=DRAIN_S)
    worker, link = start_request(role, stream=is_started)
    [call] = link.sent
    if is_started:
        role.executor.deliver(Head(call.attempt, 200, {}))
    began_at = time.monotonic()
    role.drain()
    assert time.monotonic() - began_at < DRAIN_S
    refusal = worker.get(timeout=5)
    assert refusal.ran == Ran.outcome_unknown
    assert [type(frame) for frame in link.sent] == [Call, Cancel]


def test_a_drain_waits_for_requests_that_end():
    role = make_entry(3)
    role.settings = msgspec.structs.replace(role.settings, drain_s=20)
    worker, link = start_request(role, stream=False)
    gevent.spawn_later(0.1, role.executor.end_attempts)
    began_at = time.monotonic()
    role.drain()
    assert time.monotonic() - began_at < 5
    assert worker.ready()
