"""Test the explanation of placements, and that it changes no state."""

import json
import math

import pytest
from direct_world import World, answering
from typer.testing import CliRunner

from comfreyarch_cli import place as place_command
from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.main import app
from comfreyarch_core.coldstates import ColdRules, ColdState
from comfreyarch_core.enginehealth import EngineHealth
from comfreyarch_core.fleetload import EntryLoad
from comfreyarch_core.limitcontrol import make_limit_control
from comfreyarch_core.placementreport import (
    LeftOut,
    copy_queue,
    copy_selector,
    make_placement_report,
)
from comfreyarch_core.refusals import Kind
from comfreyarch_core.slowranks import SLOW_PACE
from comfreyarch_core.upstreamlimits import UNKNOWN_VERSION
from comfreyarch_core.upstreamlist import UpstreamEntry
from comfreyarch_core.upstreamselection import make_upstream_selector
from comfreyarch_core.waiter import Waiter
from comfreyarch_core.waitqueue import make_wait_queue
from comfreyarch_daemon.dispatching import Dispatcher, place
from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.monitoringpages import MetricsPage
from comfreyarch_daemon.operatorpages import OperatorPages

NOW = 100.0


def make_selector(count=5):
    """Create a selector with upstreams of one service with 2 slots each."""
    selector = make_upstream_selector('z', 1)
    selector.update_upstreams(
        UpstreamEntry(f'u{i}', 's', f'10.0.0.{i}:80', f'z{i}', 2, False)
        for i in range(count)
    )
    return selector


def make_waiter(urgency=1, **changes):
    """Create a request that arrives now."""
    return Waiter('s', urgency, NOW + 0.4, NOW + 2, frozenset(), **changes)


def explain(selector, queue=None, waiter=None):
    """Place a request on copies and explain that."""
    waiter = waiter or make_waiter()
    queue = copy_queue(queue or make_wait_queue())
    trial = Dispatcher(copy_selector(selector, 's'))
    outcome = place(trial, waiter, queue, NOW)
    return make_placement_report(selector, queue, waiter, outcome, NOW)


def snapshot(selector):
    """Return the state of a selector in a comparable form."""
    return repr(selector), selector.source.getstate()


def test_the_chosen_upstream_is_the_one_that_the_entry_then_chooses():
    for used in range(6):
        selector = make_selector()
        for number in range(used):
            selector.views[f'u{number % 5}'].in_flight += 1
        report = explain(selector)
        chosen = selector.choose('s', NOW)
        assert report.chosen == chosen.entry.name
        assert report.candidates[0].upstream == report.chosen
        scores = [each.load_score for each in report.candidates]
        assert scores == sorted(scores)
        assert len(scores) == 3


def make_leaving(selector):
    selector.announced_leaving('u0')


def evacuate(selector):
    selector.evacuations.start('z0')
    selector.update_upstreams([view.entry for view in selector.views.values()])


def hold(selector):
    selector.announced_hold('u0', 9, NOW)


def pause(selector):
    selector.failed('u0', NOW)


def make_unhealthy(selector):
    report_health(selector, usable=False, pace=1)


def make_slow(selector):
    report_health(selector, usable=True, pace=SLOW_PACE)


def report_health(selector, *, usable, pace):
    view = selector.views['u0']
    view.health = EngineHealth('g', 1, usable, pace)
    view.health_reported_at = NOW


def fill(selector):
    selector.views['u0'].in_flight = 2


def limit(selector):
    control = make_limit_control('e', 1, selector.source, NOW - 30)
    entry = selector.views['u0'].entry
    control.record_answer(entry, 2, UNKNOWN_VERSION, NOW)
    selector.permits = control


def cool(selector):
    cold = selector.cold
    cold.node = 'e'
    cold.rules = {'s': ColdRules(60, 28)}
    cold.states = {'u0': ColdState((1, 1, 1), NOW - 5, None)}


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (make_leaving, LeftOut.leaving),
        (evacuate, LeftOut.evacuated_zone),
        (hold, LeftOut.hold),
        (pause, LeftOut.paused),
        (make_unhealthy, LeftOut.unhealthy),
        (make_slow, LeftOut.slow),
        (fill, LeftOut.no_free_slot),
        (limit, LeftOut.limited),
        (cool, LeftOut.cold),
    ],
)
def test_an_upstream_is_left_out_for_the_right_reason(change, reason):
    selector = make_selector()
    change(selector)
    before = snapshot(selector)
    report = explain(selector)
    assert report.left_out == {'u0': reason}
    assert report.counts() == {reason: 1}
    assert report.chosen not in {'', 'u0'}
    assert snapshot(selector) == before


def test_no_probe_of_an_open_circuit_is_used_up():
    selector = make_selector()
    for _ in range(3):
        selector.rejected('u0', NOW - 5)
    before = snapshot(selector)
    assert explain(selector).chosen
    assert snapshot(selector) == before
    selector.circuit_breaker('s').sent(NOW)
    reasons = set(explain(selector).left_out.values())
    assert reasons == {LeftOut.circuit_open}


def test_a_request_is_queued_by_urgency_and_the_queue_stays_as_it_is():
    selector = make_selector(1)
    fill(selector)
    queue = make_wait_queue()
    for urgency in (0, 2, 2):
        queue.join(make_waiter(urgency))
    before = snapshot(selector), repr(queue)
    report = explain(selector, queue)
    assert report.queue_position == 2
    assert report.wait_s == pytest.approx(2 * queue.start_interval_s)
    assert not report.chosen
    assert (snapshot(selector), repr(queue)) == before


def share_slots(selector):
    """Make the free slots scarce, so that entries claim them."""
    selector.fleet_load.node = 'e'
    selector.fleet_load.handle(
        EntryLoad('other', 1, 1, {}, waiting={'s': 1}), NOW
    )


def permit(selector):
    """Let the only entry accrue tokens for a limited upstream."""
    limit(selector)
    selector.choose('s', NOW - 5)


def grant(selector):
    """Give the entry a permit of another one."""
    limit(selector)
    selector.permits.stock.permits['u0'] = [NOW + 1]


def allow_cold(selector):
    """Let the only entry own the sends to a cold upstream."""
    cool(selector)
    selector.cold.record_entries(['e'], NOW - 4)


@pytest.mark.parametrize('change', [share_slots, permit, grant, allow_cold])
def test_claims_permits_and_cold_sends_are_not_used_up(change):
    selector = make_selector(1)
    change(selector)
    before = snapshot(selector)
    assert explain(selector).chosen == 'u0'
    assert snapshot(selector) == before
    # The comparison notices a placement that is not done on copies.
    place(Dispatcher(selector), make_waiter(), make_wait_queue(), NOW)
    assert snapshot(selector) != before


@pytest.fixture(name='pages')
def make_pages():
    """Create the pages of an entry that runs no server."""
    world = World(answering(), answering())
    forwarder = world.entry.forwarder
    return OperatorPages(
        MetricsPage(Metrics()),
        forwarder.crash_guard,
        forwarder.limits,
        world.entry,
    )


def get(pages, path):
    """Read a page without a network."""
    path, _, query = path.partition('?')
    started = []
    body = pages(
        {'PATH_INFO': path, 'QUERY_STRING': query, 'REQUEST_METHOD': 'GET'},
        lambda status, _headers: started.append(status),
    )
    return int(str(started[0]).split()[0]), json.loads(b''.join(body))


@pytest.fixture(name='run')
def make_run(pages, monkeypatch):
    """Run the command with the pages instead of a network."""
    monkeypatch.setattr(
        place_command,
        'fetch_json',
        lambda _entry, _method, path: get(pages, path),
    )
    return lambda *args: CliRunner().invoke(
        app, ['place', '--entry', 'e:1', *args]
    )


def test_the_command_explains_a_request_by_path_and_by_route(run):
    for target in ('h.example/safe/x', '/safe/'):
        (placed,) = json.loads(run(target, '--json').stdout)['placements']
        assert placed['urgency'] == 1
        assert placed['chosen'] == placed['candidates'][0]['upstream']
    shown = run('h.example/safe/x', '--team', 'team').stdout
    assert 'route /safe/' in shown
    assert 'chosen: u' in shown


def test_the_command_shows_queues_refusals_and_reasons(run, pages):
    dispatcher = pages.placements.entry.dispatcher
    for view in dispatcher.selector.views.values():
        view.in_flight = 6
    shown = run('h.example/safe/x', '--deadline', '3').stdout
    assert 'queued: position 1' in shown
    assert 'left out, no_free_slot: 2 (u0, u1)' in shown
    assert not dispatcher.queues
    short = run('h.example/safe/x', '--deadline', '0.1', '--json').stdout
    (placed,) = json.loads(short)['placements']
    assert placed['refused']['kind'] == Kind.overloaded
    assert 0 < placed['refused']['retry_after_s'] < math.inf
    dispatcher.selector.update_upstreams([])
    assert 'refused: no_upstream (503)' in run('h.example/safe/x').stdout
    assert 'refused: unknown_route (404)' in run('other/x').stdout
    wrong = run('h.example/safe/x', '--team', 'nobody')
    assert 'refused: unauthorized (401)' in wrong.stdout


def test_a_malformed_number_and_an_entry_without_the_page_are_named(run, pages):
    for deadline in ('soon', 'nan'):
        assert get(pages, f'/place?target=x&deadline_s={deadline}')[0] == 400
    pages.placements = None
    pages.metrics_page = lambda _environ, start: (
        start('404 Not Found', []) or [b'{}']
    )
    assert isinstance(run('h.example/safe/x').exception, CommandError)
