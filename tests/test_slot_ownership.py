"""Test that every slot is released, however its request ends.

Guards against slots that count as used for good after an entry was frozen, so that
all entries refuse a service whose upstreams are idle (review/3).
"""

import random
import time
from unittest.mock import patch

import gevent
import pytest
from direct_world import World, answering, reply
from gevent.event import Event

from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_core.waiter import Waiter
from comfreyarch_daemon.dispatcherrors import DispatchError
from comfreyarch_daemon.dispatching import Dispatcher, release_slot
from comfreyarch_daemon.sharedcrashguard import RequestBarred
from comfreyarch_daemon.upstreamcalls import boot_time

SLOTS = 3
TRAIT = 'part:1'


def make_dispatcher():
    """Create a dispatcher with two upstreams of one service."""
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(
        UpstreamEntry(f'u{each}', 's', f'h:{each}', 'z', SLOTS, False)
        for each in range(2)
    )
    return Dispatcher(selector)


def make_waiter(patience_s=1.0, **options):
    """Create a request that waits for a slot for at most some time."""
    now = boot_time()
    return Waiter(
        's', 1, now, now + patience_s, frozenset(), 0, now + 20, **options
    )


def count_in_flight(dispatcher):
    """Return the number of requests that count as in flight."""
    return sum(view.in_flight for view in dispatcher.selector.views.values())


def freeze(seconds):
    """Let no greenlet run for a time, as in a process that is stopped."""
    time.sleep(seconds)


@pytest.mark.parametrize('patience_s', [0.03, 0.05, 0.08])
def test_a_slot_assigned_as_the_wait_times_out_is_not_lost(patience_s):
    """Guards against slots lost when an entry wakes up (review/3)."""
    dispatcher = make_dispatcher()
    holders = [make_waiter() for _ in range(2 * SLOTS)]
    for holder in holders:
        dispatcher.acquire_slot(holder)
    outcomes = []

    def wait():
        waiter = make_waiter(patience_s)
        try:
            outcomes.append(dispatcher.acquire_slot(waiter))
        except DispatchError as error:
            outcomes.append(error)
        finally:
            release_slot(dispatcher, waiter)

    workers = [gevent.spawn(wait) for _ in range(4)]
    gevent.sleep(0)
    # Due at the same time as the end of the waits, and set before it.
    workers += [
        gevent.spawn_later(patience_s / 2, release_slot, dispatcher, holder)
        for holder in holders
    ]
    freeze(0.2)
    gevent.joinall(workers, timeout=10)
    assert len(outcomes) == 4
    assert count_in_flight(dispatcher) == 0
    assert not dispatcher.results
    assert not dispatcher.queues['s'].waiters


def test_a_request_past_its_latest_start_gets_no_slot():
    dispatcher = make_dispatcher()
    holders = [make_waiter() for _ in range(2 * SLOTS)]
    for holder in holders:
        dispatcher.acquire_slot(holder)
    waiting = gevent.spawn(dispatcher.acquire_slot, make_waiter(0.05))
    gevent.sleep(0)
    freeze(0.1)
    release_slot(dispatcher, holders[0])
    with pytest.raises(DispatchError):
        waiting.get(timeout=10)
    assert count_in_flight(dispatcher) == 2 * SLOTS - 1


def test_a_slot_is_released_once():
    dispatcher = make_dispatcher()
    waiter = make_waiter()
    dispatcher.acquire_slot(waiter)
    release_slot(dispatcher, waiter)
    release_slot(dispatcher, waiter)
    assert count_in_flight(dispatcher) == 0


class Player:
    """Run requests that end in any way, at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.dispatcher = make_dispatcher()
        self.dispatcher.on_load_change = self.fail_sometimes
        self.failure_share = 0.0

    def fail_sometimes(self):
        """Raise an error at some of the changes of the load."""
        if self.rng.random() < self.failure_share:
            raise RuntimeError('load change')

    def run_request(self):
        """Acquire a slot, keep it for a while, and release it."""
        traits = (TRAIT,) if self.rng.random() < 0.3 else ()
        waiter = make_waiter(self.rng.uniform(0, 0.1), traits=traits)
        try:
            self.dispatcher.acquire_slot(waiter)
            gevent.sleep(self.rng.uniform(0, 0.05))
        except (DispatchError, RequestBarred, RuntimeError):
            pass
        finally:
            try:
                release_slot(self.dispatcher, waiter)
            except RuntimeError:
                pass

    def disturb(self, workers):
        """Do one of the things that end waits and slots."""
        match self.rng.randrange(6):
            case 0:
                self.rng.choice(workers).kill(block=False)
            case 1:
                self.dispatcher.refuse_barred(TRAIT)
            case 2:
                freeze(self.rng.uniform(0.01, 0.06))
            case 3:
                self.dispatcher.refuse_held()
            case 4:
                self.failure_share = self.rng.choice([0, 0.1, 0.3])
            case _:
                gevent.sleep(self.rng.uniform(0, 0.02))

    def play(self):
        """Play for a while.

        :returns: the number of requests in flight once all have ended.
        """
        self.dispatcher.start()
        workers = []
        for _ in range(120):
            workers.append(gevent.spawn(self.run_request))
            gevent.sleep(self.rng.uniform(0, 0.003))
            if self.rng.random() < 0.3:
                self.disturb(workers)
        self.failure_share = 0
        gevent.joinall(workers, timeout=20)
        assert all(worker.ready() for worker in workers)
        self.dispatcher.close()
        return count_in_flight(self.dispatcher)


@pytest.mark.parametrize('seed', range(12))
def test_all_slots_are_released_in_the_end(seed):
    """Fails if any way to end a request leaves its slot in use."""
    player = Player(seed)
    assert player.play() == 0
    assert not player.dispatcher.results
    assert not player.dispatcher.queues['s'].waiters


@pytest.mark.parametrize(
    'name',
    [
        'record_send',
        'connect',
        'succeeded',
        'record_answer',
        'put_back',
        'encode_request',
    ],
)
def test_an_unexpected_error_in_a_send_releases_the_slot(name):
    owners = {
        'record_send': 'requestcrashes.RequestCrashes',
        'connect': 'forwarding.Forwarder',
        'succeeded': '',
        'record_answer': 'dispatching.Dispatcher',
        'put_back': 'upstreamcalls.ConnectionPool',
        'encode_request': 'requestsender',
    }
    target = f'comfreyarch_daemon.{owners[name]}.{name}'
    if name == 'succeeded':
        target = 'comfreyarch_core.upstreamselection.UpstreamSelector.succeeded'
    with World(answering()) as world:
        with patch(target, side_effect=RuntimeError(name)):
            world.call('/safe/x')
        views = world.entry.forwarder.selector.views
        assert [view.in_flight for view in views.values()] == [0]
        assert world.call('/safe/x')[0] == 200


def test_a_caller_that_leaves_while_it_waits_takes_no_slot():
    release = Event()

    def script(_upstream, sock, request):
        release.wait()
        sock.sendall(reply(request))

    with World(script) as world:
        busy = [gevent.spawn(world.call, '/once/x') for _ in range(6)]
        with gevent.Timeout(10):
            while world.runs < 6:
                gevent.sleep(0.01)
        sock = world.connect()
        sock.sendall(
            b'POST /safe/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n'
        )
        gevent.sleep(0.1)
        sock.close()
        release.set()
        gevent.joinall(busy, timeout=10)
        with gevent.Timeout(10):
            while world.entry.open_requests:
                gevent.sleep(0.01)
        views = world.entry.forwarder.selector.views
        assert [view.in_flight for view in views.values()] == [0]
