"""Test that the soak finds cold servers that get too many requests."""

import json
import os
import random

import pytest
from test_soak import make_evidence, make_record

from comfreyarch_core.coldstates import ColdRules
from comfreyarch_platform.documents import decode_configuration
from soak.checks import COLD_MOST, KNOWN_COLD_DELAY_S, over_cold_bound
from soak.faultinjection import COLD_PER_S, Fault, make_configuration
from soak.server import COLD_START_S, Server, execute_command

START = 1000.0


def find(
    count, first=START + 2.5, gap_s=0.02, start=False, faults=(), former=()
):
    """Check a server that is cold from a time and gets requests from another."""
    record = make_record(at=first)
    cold = {'server': 's', 'at': START, 'cold_until': START + 9, 'start': start}
    runs = [
        {
            'server': 's',
            'at': first + number * gap_s,
            'arrived': first + number * gap_s,
            'cold_arrival': record.attempt,
        }
        for number in range(count)
    ]
    return over_cold_bound(
        make_evidence(record, [*former, cold, *runs], faults)
    )


# Fails if the check misses requests above the bound, or finds some within it.
@pytest.mark.parametrize('start', [True, False])
def test_requests_above_the_bound_are_found(start):
    assert not find(int(COLD_MOST), start=start)
    assert len(find(int(COLD_MOST) + 1, start=start)) == 1
    assert not find(40, gap_s=1 / COLD_MOST, start=start)


# Fails if entries are held to what they can't know yet, or if a server that starts
# is excused, which its first list entry states to be cold.
def test_entries_must_know_a_while_after_the_statement():
    assert not find(20, first=START + KNOWN_COLD_DELAY_S - 1)
    assert find(20, first=START + KNOWN_COLD_DELAY_S - 1, start=True)


# Fails if an entry without the store is held to a statement that it can't read, or
# excused for a server that was cold when it was listed.
def test_an_entry_without_the_store_is_excused():
    faults = [Fault('store-silent', 'store', START, START + 3)]
    assert not find(20, faults=faults)
    assert find(20, faults=faults, start=True)


# Fails if requests that a fault held back count as sent together.
@pytest.mark.parametrize('what', ['pause-server', 'link-delay'])
def test_requests_that_were_held_back_are_excused(what):
    assert not find(20, faults=[Fault(what, 'plain-0', START, START + 2)])


# Fails if the worst second, which a fault explains, hides another one.
def test_an_excused_second_hides_no_other():
    faults = [Fault('pause-server', 'plain-0', START + 8, START + 9)]
    assert find(20, first=START + 3, faults=faults)


# Fails if a server that starts again under its name is known to be cold at once.
def test_a_server_that_starts_again_under_its_name():
    former = [{'server': 's', 'at': 900, 'cold_until': 903, 'start': True}]
    assert not find(20, first=START + 0.1, start=True, former=former)
    assert find(20, first=START + 0.1, start=True)


# Fails if requests to several servers are added up, or one hides another.
def test_servers_are_checked_apart():
    record = make_record(at=START)
    runs = []
    for server in ('s', 't', 'u'):
        cold = {'at': START, 'cold_until': START + 9, 'start': True}
        runs.append({**cold, 'server': server})
        count = 6 if server == 's' else 12
        runs += [
            {'server': server, 'arrived': START + 1, 'cold_arrival': 'a'}
        ] * count
    found = over_cold_bound(make_evidence(record, runs))
    assert [line.split()[0] for line in found] == ['t', 'u']


# Fails if entries are not told the rule that the check is about.
def test_the_configuration_states_the_rule():
    row = make_configuration(1, {'key': 'team'}, random.Random(1))
    table = decode_configuration(json.dumps(row).encode())
    rules = {service.cold for service in table.services.values()}
    assert rules == {ColdRules(COLD_START_S, COLD_PER_S)}


# Fails if a server does not state for how long it is cold, or writes no arrivals
# meanwhile.
def test_a_server_states_that_it_is_cold(tmp_path, monkeypatch):
    rows = []
    path = tmp_path / 'runs'
    runs_fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    fields = {'service': 's', 'zone': 'z', 'state': 'ready'}
    server = Server('i', ('127.0.0.1', 1), '', fields, runs_fd)
    monkeypatch.setattr(
        Server, 'write_row', lambda _server, row: rows.append(row)
    )
    server.count_arrival('a', 1000.0)
    execute_command([server], {'do': 'cold', 'for_s': 5})
    now = server.cold_until - 4
    for number in range(3):
        server.count_arrival('a', now + number * 0.6)
    os.close(runs_fd)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert lines[0]['cold_until'] == server.cold_until
    assert [line['in_second'] for line in lines[1:]] == [1, 2, 2]
    assert 4 < server.stated_row(fields)['coldRemainingMs'] / 1000 <= 5
