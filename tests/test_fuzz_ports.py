"""Test that random input on any port reaches no upstream and ends no node."""

import cbor2
from direct_world import RecordingLog, World, answering, parse
from hypothesis import HealthCheck, given, settings, strategies

from comfreyarch_core.fleetload import make_fleet_load
from comfreyarch_daemon.datagrams import DECODE_ERRORS, Datagrams
from comfreyarch_daemon.healthmessages import decode_health
from comfreyarch_daemon.loadgossip import LOAD, LoadGossip
from comfreyarch_daemon.rankdatagrams import (
    COUNTS,
    LEAD,
    ORDER,
    STATE,
    decode_announcement,
    decode_counts,
    decode_order,
    decode_state,
)

FUZZ = settings(
    deadline=None,
    max_examples=150,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
VALID_REQUEST = (
    b'POST /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n'
    b'Authorization: Bearer key\r\nConnection: close\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.integers()
    | strategies.text(max_size=8)
    | strategies.booleans()
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=8)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=4
        )
    ),
    max_leaves=20,
)


@FUZZ
@given(strategies.binary(max_size=400))
def test_bytes_that_are_no_request_reach_no_upstream(garbage):
    with World(answering()) as world:
        received = world.raw(garbage + b'\r\n\r\n\r\n\r\n')
        assert not received or parse(received)[0] >= 400
        assert world.runs == 0
        assert world.call('/safe/')[0] == 200


@FUZZ
@given(
    strategies.integers(0, len(VALID_REQUEST) - 1),
    strategies.binary(min_size=1, max_size=4),
)
def test_a_request_with_a_few_other_bytes_runs_once_at_most(place, other):
    with World(answering()) as world:
        sent = (
            VALID_REQUEST[:place] + other + VALID_REQUEST[place + len(other) :]
        )
        sock = world.connect()
        sock.sendall(sent + b'\r\n\r\n')
        sock.shutdown(1)
        world.entry.idle(sock, idle=False)
        assert world.call('/safe/')[0] == 200
        assert world.runs <= 2


def make_datagrams():
    """Create a socket with the datagram handlers of an entry and a sidecar."""
    datagrams = Datagrams('127.0.0.1:0', RecordingLog())
    LoadGossip(
        'n', datagrams, make_fleet_load(), dict, lambda: None, RecordingLog()
    )
    for tag, reader in (
        ('health', decode_health),
        (STATE, decode_state),
        (COUNTS, decode_counts),
        (ORDER, decode_order),
        (LEAD, decode_announcement),
    ):
        datagrams.handlers[tag] = lambda message, _, reader=reader: reader(
            message
        )
    return datagrams


@FUZZ
@given(strategies.binary(max_size=200))
def test_datagrams_of_any_bytes_are_dropped(garbage):
    datagrams = make_datagrams()
    try:
        datagrams.dispatch(garbage, 'x:1')
    except DECODE_ERRORS:
        pass
    finally:
        datagrams.close()


@FUZZ
@given(
    strategies.sampled_from((LOAD, 'health', STATE, COUNTS, ORDER, LEAD)),
    strategies.lists(VALUES, max_size=18),
)
def test_messages_with_any_fields_are_taken_or_dropped(tag, fields):
    datagrams = make_datagrams()
    try:
        datagrams.dispatch(cbor2.dumps([tag, *fields]), 'x:1')
    except DECODE_ERRORS:
        pass
    finally:
        datagrams.close()
