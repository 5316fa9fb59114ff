"""Test the guarantees to callers on real processes.

The tests kill and pause processes, cut connections and make the store fail.
"""

import json
import subprocess
from collections import Counter
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from standins import callerclient
from standins.fleetsetup import (
    LIMITED_TEAM,
    LIMITED_TEAM_CONCURRENCY,
    make_fleet,
    run_cli,
    start_nodes,
)
from standins.launcher import (
    Fleet,
    FleetNode,
    fetch_json,
    http_request,
    wait_until,
)

TEAM = 'estudantes'
RANKS = 3
SERVICES = 2


@pytest.fixture(scope='module')
def fleet(tmp_path_factory) -> Iterator[Fleet]:
    fleet_processes = make_fleet(
        tmp_path_factory.mktemp('fleet'), RANKS, SERVICES, 2, 5
    )
    try:
        start_nodes(fleet_processes, RANKS, SERVICES)
        yield fleet_processes
    finally:
        fleet_processes.close()


@pytest.fixture(autouse=True)
def healthy(fleet: Fleet) -> Iterator[None]:
    """Restore all processes before and after each test."""
    restore_fleet(fleet)
    yield
    restore_fleet(fleet)


def restore_fleet(fleet: Fleet) -> None:
    http_request(fleet.store, 'POST', '/faults', {})
    for port in fleet.ledgers:
        http_request(port, 'POST', '/faults', {})
    for node in fleet.nodes.values():
        process = node.process
        if process is None or process.child.poll() is not None:
            fleet.start_node(node)
        else:
            process.thaw()
    fleet.wait_ready()
    wait_until(lambda: find_leader(fleet) is not None, 'a leader')
    wait_until(lambda: is_stepping(fleet), 'the group to step')


def read_page(port: int, path: str) -> dict:
    """Read a page of a stand-in, retrying while it restarts."""
    pages: list[dict] = []
    wait_until(lambda: pages.append(fetch_json(port, path)) or pages[-1], path)
    return pages[-1]


def is_stepping(fleet: Fleet) -> bool:
    before = read_page(fleet.engines[0], '/state')
    gevent.sleep(0.05)
    after = read_page(fleet.engines[0], '/state')
    return (after['epoch'], after['step']) > (before['epoch'], before['step'])


def entry(fleet: Fleet, number: int = 0) -> FleetNode:
    return fleet.nodes[f'entry-{number}']


def sidecar(fleet: Fleet, name: str) -> FleetNode:
    return fleet.nodes[f'side-{name}']


def status(node: FleetNode) -> dict:
    return fetch_json(node.operators, '/status')


def find_leader(fleet: Fleet) -> FleetNode | None:
    for node in fleet.nodes.values():
        if status(node).get('phase') == 'steady':
            return node
    return None


def find_serving_sidecar(fleet: Fleet) -> FleetNode:
    """Find a sidecar that runs a request."""
    sidecars: list[FleetNode] = []

    def find_running() -> bool:
        sidecars.extend(
            node
            for node in fleet.nodes.values()
            if node.role == 'sidecar' and status(node).get('running')
        )
        return bool(sidecars)

    wait_until(find_running, 'a running request')
    return sidecars[0]


def count_runs(fleet: Fleet, key: str) -> int:
    return sum(
        run['key'] == key
        for port in fleet.ledgers
        for run in fetch_json(port, '/ledger')['runs']
    )


def read_error(reply: callerclient.Reply) -> dict:
    return json.loads(reply.body)['error']


def check_maps(fleet: Fleet) -> None:
    """Check in the log of the engines that each step used a single map."""
    maps_by_step: dict[tuple, set] = {}
    for epoch, step, _, map_id in read_page(fleet.engines[0], '/log')['log']:
        maps_by_step.setdefault((epoch, step), set()).add(map_id)
    assert maps_by_step
    assert all(len(map_ids) == 1 for map_ids in maps_by_step.values())


def test_answers_are_whole_through_every_entry(fleet: Fleet) -> None:
    for number in range(6):
        stream = number % 2 == 0
        port = entry(fleet, number % 2).callers
        reply = callerclient.chat(port, TEAM, f'p{number}', 9, stream=stream)
        assert reply.body == callerclient.make_expected_body(
            f'p{number}', 9, stream=stream
        )


@pytest.mark.parametrize('events', [1, 10, 29])
@pytest.mark.parametrize(
    'fault', ['sidecar killed', 'sidecar paused', 'engine dies']
)
def test_broken_stream_is_resumed_and_whole(
    fleet: Fleet,
    fault: str,
    events: int,
) -> None:
    stream = callerclient.OpenStream(entry(fleet).callers, TEAM, 'resume', 30)
    for _ in range(events):
        stream.read_event()
    node = (
        find_serving_sidecar(fleet)
        if events < 29
        else sidecar(fleet, 'redator-0')
    )
    if fault == 'sidecar killed':
        node.process.kill()
    elif fault == 'sidecar paused':
        node.process.freeze()
    else:
        rank = int(node.upstream.rsplit('-', 1)[1])
        http_request(fleet.engines[rank], 'POST', '/control', {'die': True})
    body = stream.read_rest()
    assert stream.is_complete()
    assert body == callerclient.make_expected_body('resume', 30, stream=True)
    check_maps(fleet)


def test_caller_gone_cancels_the_work(fleet: Fleet) -> None:
    stream = callerclient.OpenStream(entry(fleet).callers, TEAM, 'gone', 4000)
    stream.read_event()
    find_serving_sidecar(fleet)
    stream.close()
    wait_until(
        lambda: all(
            read_page(port, '/state')['running'] == 0 for port in fleet.engines
        ),
        'the engines to be idle',
    )


def test_engine_death_beside_a_sidecar_that_just_restarted(
    fleet: Fleet,
) -> None:
    """A restarted sidecar finds the leader before it receives an order."""
    rank = next(
        number
        for number in range(RANKS)
        if find_leader(fleet) is not sidecar(fleet, f'redator-{number}')
    )
    sidecar(fleet, f'redator-{rank}').process.kill()
    restore_fleet(fleet)
    before = read_page(fleet.engines[rank], '/state')['epoch']
    http_request(fleet.engines[rank], 'POST', '/control', {'die': True})
    wait_until(
        lambda: read_page(fleet.engines[rank], '/state')['epoch'] > before,
        'a new epoch',
    )
    check_maps(fleet)


def test_engine_death_starts_an_epoch_and_the_group_goes_on(
    fleet: Fleet,
) -> None:
    before = read_page(fleet.engines[0], '/state')['epoch']
    http_request(fleet.engines[1], 'POST', '/control', {'die': True})
    wait_until(
        lambda: fetch_json(fleet.engines[0], '/state').get('epoch', 0) > before,
        'a new epoch',
    )
    wait_until(lambda: is_stepping(fleet), 'the group to step')
    check_maps(fleet)


@pytest.mark.parametrize('fault', ['killed', 'paused'])
def test_leader_lost_another_leads_and_old_one_is_harmless(
    fleet: Fleet,
    fault: str,
) -> None:
    former = find_leader(fleet)
    fence = status(former)['fence']
    if fault == 'killed':
        former.process.kill()
    else:
        former.process.freeze()

    def has_new_leader() -> bool:
        return any(
            status(node).get('leads') and status(node)['fence'] > fence
            for node in fleet.nodes.values()
            if node is not former
        )

    wait_until(has_new_leader, 'another leader')
    if fault == 'paused':
        former.process.thaw()
        wait_until(
            lambda: not status(former)['leads'], 'the former leader to follow'
        )
    check_maps(fleet)
    assert is_stepping(fleet) or fault == 'killed'


def test_demand_rush_moves_experts_under_one_map_a_step(fleet: Fleet) -> None:
    port = fleet.engines[0]
    before = fetch_json(port, '/state')['map']
    streams = [
        callerclient.OpenStream(
            entry(fleet).callers, TEAM, f'rush{number}', 3000
        )
        for number in range(6)
    ]
    weights = [0.8, 0.04, 0.04, 0.04, 0.04, 0.04]
    http_request(port, 'POST', '/control', {'weights': weights})
    try:
        wait_until(
            lambda: fetch_json(port, '/state')['map'] != before,
            'a new map',
            40,
        )
        placement = fetch_json(port, '/state')['placement']
        holders = sum(0 in held for held in placement)
        assert holders > 1
        check_maps(fleet)
        plan = json.loads(run_cli(fleet, 'rebalance', '--dry-run', '--json'))
        assert plan['redator']['times_ms']
    finally:
        for stream in streams:
            stream.close()
        weights = [1 / 6] * 6
        http_request(port, 'POST', '/control', {'weights': weights})


def test_reservation_sent_at_once_through_two_entries_runs_once(
    fleet: Fleet,
) -> None:
    http_request(fleet.ledgers[0], 'POST', '/faults', {'delay_s': 0.2})
    http_request(fleet.ledgers[1], 'POST', '/faults', {'delay_s': 0.2})
    jobs = [
        gevent.spawn(
            callerclient.reserve,
            entry(fleet, number % 2).callers,
            TEAM,
            'twice',
            b'{}',
        )
        for number in range(6)
    ]
    gevent.joinall(jobs)
    bodies = {job.value.body for job in jobs}
    assert {job.value.status for job in jobs} == {200}
    assert len(bodies) == 1
    assert count_runs(fleet, 'twice') == 1


def test_same_key_with_another_body_is_refused(fleet: Fleet) -> None:
    port = entry(fleet).callers
    assert callerclient.reserve(port, TEAM, 'reused', b'{"a": 1}').status == 200
    reply = callerclient.reserve(port, TEAM, 'reused', b'{"a": 2}')
    assert reply.status == 422
    assert read_error(reply)['ran'] == 'not_run'
    assert count_runs(fleet, 'reused') == 1


@pytest.mark.parametrize('when', ['before', 'after'])
def test_upstream_that_breaks_leaves_the_outcome_unknown(
    fleet: Fleet,
    when: str,
) -> None:
    for port in fleet.ledgers:
        http_request(port, 'POST', '/faults', {'die': when})
    key = f'breaks-{when}'
    port = entry(fleet).callers
    first = callerclient.reserve(port, TEAM, key, b'{}')
    assert read_error(first)['ran'] == 'outcome_unknown'
    restore_fleet(fleet)
    again = callerclient.reserve(entry(fleet, 1).callers, TEAM, key, b'{}')
    assert read_error(again)['kind'] == 'outcome_unknown'
    assert count_runs(fleet, key) == (when == 'after')
    assert key in run_cli(fleet, 'claims', '--json')


@pytest.mark.parametrize('fault', ['sidecar killed', 'entry killed'])
def test_death_amid_a_reservation_never_repeats_it(
    fleet: Fleet,
    fault: str,
) -> None:
    for port in fleet.ledgers:
        http_request(port, 'POST', '/faults', {'delay_s': 0.5})
    key = fault.replace(' ', '-')
    job = gevent.spawn(
        callerclient.reserve, entry(fleet).callers, TEAM, key, b'{}'
    )
    node = find_serving_sidecar(fleet)
    victim = node if fault == 'sidecar killed' else entry(fleet)
    victim.process.kill()
    job.join()
    if fault == 'sidecar killed':
        assert read_error(job.value)['ran'] == 'outcome_unknown'
    restore_fleet(fleet)
    wait_until(lambda: count_runs(fleet, key) == 1, 'the run to be written')
    replies = [
        callerclient.reserve(entry(fleet, number % 2).callers, TEAM, key, b'{}')
        for number in range(4)
    ]
    assert count_runs(fleet, key) == 1
    if fault == 'entry killed':
        assert {reply.status for reply in replies} == {200}


def test_store_down_refuses_reservations_at_once_and_serves_models(
    fleet: Fleet,
) -> None:
    http_request(fleet.store, 'POST', '/faults', {'mode': 'refuse'})
    port = entry(fleet).callers
    reply = callerclient.reserve(port, TEAM, 'outage', b'{}')
    assert reply.status == 503
    assert read_error(reply)['kind'] == 'store_down'
    assert read_error(reply)['ran'] == 'not_run'
    assert int(reply.headers['retry-after']) >= 1
    chat = callerclient.chat(port, TEAM, 'outage', 5, stream=True)
    assert chat.body == callerclient.make_expected_body(
        'outage', 5, stream=True
    )
    assert count_runs(fleet, 'outage') == 0


def test_node_starts_from_its_peers_while_the_store_is_down(
    fleet: Fleet,
) -> None:
    node = entry(fleet)
    node.process.kill()
    peers = [
        f'127.0.0.1:{peer.link}'
        for peer in fleet.nodes.values()
        if peer is not node
    ]
    text = node.settings.read_text()
    node.settings.write_text(f'peers = {json.dumps(peers)}\n{text}')
    http_request(fleet.store, 'POST', '/faults', {'mode': 'refuse'})
    fleet.start_node(node)
    wait_until(lambda: status(node).get('revision', 0) > 0, 'a configuration')

    def is_answered() -> bool:
        reply = callerclient.chat(node.callers, TEAM, 'peers', 4, stream=True)
        return reply.body == callerclient.make_expected_body(
            'peers', 4, stream=True
        )

    wait_until(is_answered, 'an answer')
    node.settings.write_text(text)


def test_claim_whose_write_answer_is_lost_still_runs_once(
    fleet: Fleet,
) -> None:
    http_request(fleet.store, 'POST', '/faults', {'mode': 'lose', 'count': 3})
    port = entry(fleet).callers
    reply = callerclient.reserve(port, TEAM, 'lost-answer', b'{}')
    assert reply.status == 200
    assert count_runs(fleet, 'lost-answer') == 1
    again = callerclient.reserve(
        entry(fleet, 1).callers, TEAM, 'lost-answer', b'{}'
    )
    assert again.body == reply.body


def test_planned_stop_cuts_nothing_off_and_lets_no_new_work_in(
    fleet: Fleet,
) -> None:
    streams = [
        callerclient.OpenStream(
            entry(fleet).callers, TEAM, f'stop{number}', 300
        )
        for number in range(8)
    ]
    for stream in streams:
        stream.read_event()
    name = find_serving_sidecar(fleet).upstream
    run_cli(fleet, 'stop', 'upstream', name)
    node = sidecar(fleet, name)
    wait_until(lambda: status(node)['leaving'], 'the sidecar to leave')
    handed_over_before = count_handed_over(node)
    for number in range(30):
        reply = callerclient.chat(
            entry(fleet, number % 2).callers,
            TEAM,
            f'new{number}',
            3,
            stream=True,
        )
        assert reply.body == callerclient.make_expected_body(
            f'new{number}', 3, stream=True
        )
    assert count_handed_over(node) == handed_over_before
    for number, stream in enumerate(streams):
        body = stream.read_rest()
        assert body == callerclient.make_expected_body(
            f'stop{number}', 300, stream=True
        )
    wait_until(
        lambda: any(
            status(member).get('evacuation') == 'done'
            for member in fleet.nodes.values()
        ),
        'the experts to move off the stopping rank',
    )
    rank = int(name.rsplit('-', 1)[1])
    assert read_page(fleet.engines[0], '/state')['placement'][rank] == []
    check_maps(fleet)
    run_cli(fleet, 'resume', name)
    wait_until(lambda: status(node)['ready'], 'the sidecar to be back')


def count_handed_over(node: FleetNode) -> float:
    _, page = http_request(node.operators, 'GET', '/metrics')
    for line in page.decode().splitlines():
        if line.startswith('comfreyarch_handed_over_total'):
            return float(line.split()[1])
    return 0


@pytest.mark.parametrize('source', ['list entry', 'SIGTERM'])
def test_leaving_is_learnt_from_any_source(fleet: Fleet, source: str) -> None:
    node = sidecar(fleet, 'redator-2')
    stream = callerclient.OpenStream(entry(fleet).callers, TEAM, 'leaving', 400)
    stream.read_event()
    if source == 'SIGTERM':
        node.process.terminate()
    else:
        fleet.update_instance_list([node], leaving=True)
        wait_until(lambda: status(node)['leaving'], 'the sidecar to leave')
    body = stream.read_rest()
    assert body == callerclient.make_expected_body('leaving', 400, stream=True)
    fleet.update_instance_list([node])
    if source == 'SIGTERM':
        wait_until(lambda: node.process.child.poll() == 0, 'a clean exit')


def test_request_that_crashes_engines_is_quarantined_and_mates_answered(
    fleet: Fleet,
) -> None:
    port = entry(fleet).callers
    concurrent_calls = [
        gevent.spawn(
            callerclient.chat, port, TEAM, f'mate{number}', 40, stream=True
        )
        for number in range(4)
    ]
    poison = callerclient.chat(port, TEAM, 'poison pill', 20, stream=False)
    assert poison.status >= 400
    gevent.joinall(concurrent_calls)
    for number, call in enumerate(concurrent_calls):
        wanted = callerclient.make_expected_body(
            f'mate{number}', 40, stream=True
        )
        assert call.value.body == wanted

    def is_quarantined() -> bool:
        reply = callerclient.chat(
            entry(fleet, 1).callers,
            TEAM,
            'poison pill',
            20,
            stream=False,
        )
        return reply.status == 422

    wait_until(is_quarantined, 'the quarantine', 30)
    digests = json.loads(run_cli(fleet, 'quarantine', '--json'))
    assert len(digests) == 1
    restore_fleet(fleet)
    incarnations = [
        read_page(engine, '/state')['incarnation'] for engine in fleet.engines
    ]
    assert is_quarantined()
    assert incarnations == [
        read_page(engine, '/state')['incarnation'] for engine in fleet.engines
    ]
    run_cli(fleet, 'quarantine', '--release', next(iter(digests)))


def test_publish_is_in_force_on_all_nodes_and_racers_lose(
    fleet: Fleet,
) -> None:
    path = fleet.folder / 'config.toml'
    good = path.read_text()
    path.write_text(good.replace('rate = 2000', 'rate = 1900'))
    run_cli(fleet, 'publish', str(path))
    revision = max(status(node)['revision'] for node in fleet.nodes.values())
    wait_until(
        lambda: all(
            status(node)['revision'] >= revision
            for node in fleet.nodes.values()
        ),
        'all nodes',
        10,
    )
    path.write_text(good)
    with pytest.raises(subprocess.CalledProcessError) as raced:
        run_cli(fleet, 'publish', str(path), '--expect', str(revision - 1))
    assert raced.value.returncode == 3
    run_cli(fleet, 'publish', str(path))


def test_limit_holds_over_all_entries(fleet: Fleet) -> None:
    ports = [entry(fleet, number % 2).callers for number in range(30)]
    streams = [
        callerclient.OpenStream(port, LIMITED_TEAM, f'limit{number}', 900)
        for number, port in enumerate(ports)
    ]
    admitted = [
        opened for opened in streams if opened.response.status_code == 200
    ]
    refused = [
        opened for opened in streams if opened.response.status_code == 429
    ]
    assert len(admitted) + len(refused) == 30
    assert 2 <= len(admitted) <= LIMITED_TEAM_CONCURRENCY
    assert all(opened.response.get('retry-after') for opened in refused)
    for stream in streams:
        stream.close()


def test_refused_set_changes_nothing_and_exits_with_two(fleet: Fleet) -> None:
    bad = fleet.folder / 'bad.toml'
    bad.write_text('[teams.x]\nrate = "much"\n[routes.y]\ngroup = "none"\n')
    before = status(entry(fleet))['revision']
    with pytest.raises(subprocess.CalledProcessError) as refused:
        run_cli(fleet, 'publish', str(bad))
    assert refused.value.returncode == 2
    assert 'Traceback' not in refused.value.stderr
    assert 'token_sha256' in refused.value.stderr
    assert 'prefix' in refused.value.stderr
    assert status(entry(fleet))['revision'] == before


def test_planned_stop_of_an_entry_refuses_as_not_run(fleet: Fleet) -> None:
    stream = callerclient.OpenStream(
        entry(fleet).callers, TEAM, 'entry stop', 200
    )
    stream.read_event()
    run_cli(fleet, 'stop', 'entry', 'entry-0')
    wait_until(lambda: status(entry(fleet))['leaving'], 'the entry to leave')
    reply = callerclient.chat(
        entry(fleet).callers, TEAM, 'late', 3, stream=True
    )
    assert read_error(reply)['kind'] == 'leaving'
    assert read_error(reply)['ran'] == 'not_run'
    body = stream.read_rest()
    assert body == callerclient.make_expected_body(
        'entry stop', 200, stream=True
    )
    run_cli(fleet, 'resume', 'entry-0')
    wait_until(lambda: fleet.is_ready(entry(fleet)), 'the entry to be back')


def test_operators_commands_read_what_is_there(fleet: Fleet, tmp_path) -> None:
    callerclient.chat(entry(fleet).callers, TEAM, 'report', 4, stream=True)
    callerclient.chat(entry(fleet, 1).callers, TEAM, 'report', 4, stream=True)
    lines = json.loads(run_cli(fleet, 'report', '--json'))
    matching = [
        line
        for line in lines
        if (line['group'], line['team']) == ('redator', TEAM)
    ]
    assert len(matching) == 1
    assert matching[0]['waits']['count'] >= 2
    assert [burn['window_s'] for burn in matching[0]['burns']] == [
        300,
        3600,
        21600,
    ]
    page = tmp_path / 'report.html'
    run_cli(fleet, 'report', '--html', str(page))
    assert '<svg' in page.read_text()
    assert 'http' not in page.read_text().replace('http://www.w3.org', '')
    nodes = json.loads(run_cli(fleet, 'status', '--json'))
    assert set(nodes) == set(fleet.nodes)
    assert sum(bool(state.get('leads')) for state in nodes.values()) == 1
    changed = tmp_path / 'changed.toml'
    text = (fleet.folder / 'config.toml').read_text()
    changed.write_text(text.replace('rate = 2000', 'rate = 7'))
    assert '~ teams.estudantes' in run_cli(fleet, 'diff', str(changed))


def test_garbage_on_a_link_is_counted_and_others_go_on(fleet: Fleet) -> None:
    node = sidecar(fleet, 'redator-0')
    stream = callerclient.OpenStream(entry(fleet).callers, TEAM, 'garbage', 60)
    with socket.create_connection(('127.0.0.1', node.link)) as raw:
        raw.sendall(b'\x16\x03\x01 nonsense \r\n\r\n' * 50)
        wait_until(
            lambda: (
                b'links_refused'
                in http_request(
                    node.operators,
                    'GET',
                    '/metrics',
                )[1]
            ),
            'the refusal to be counted',
        )
    body = stream.read_rest()
    assert body == callerclient.make_expected_body('garbage', 60, stream=True)


def test_refusals_are_json_with_kind_and_remedy(fleet: Fleet) -> None:
    port = entry(fleet).callers
    cases = Counter()
    wrong = callerclient.send(port, 'POST', '/v1/chat/completions', b'{}', {})
    cases[read_error(wrong)['kind']] += wrong.status == 401
    headers = {'Authorization': f'Bearer token-of-{TEAM}'}
    for path, body in (
        ('/nowhere', b''),
        ('/v1/chat/completions', b'not json'),
        ('/services/reservations', b'{}'),
    ):
        reply = callerclient.send(port, 'POST', path, body, headers)
        error = read_error(reply)
        assert error['ran'] == 'not_run'
        assert error['remedy']
        cases[error['kind']] += 1
    assert set(cases) == {
        'unauthorized',
        'unknown_route',
        'bad_request',
        'key_required',
    }
