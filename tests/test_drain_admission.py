"""Requests that entries still accept while many of them drain together."""

from comfreyarch_core.drainadmission import can_finish_before, max_duration_s
from comfreyarch_core.routetable import Route, RouteKind, ServiceShare

EXIT_AT = 7.4


def route(kind, timeout_s):
    """Create a route."""
    return Route(
        'r',
        'h',
        '/',
        kind,
        timeout_s,
        0.4,
        0.1,
        1,
        (ServiceShare('s', 1),),
        2,
        False,
        True,
    )


STREAM = route(RouteKind.streaming, 8)
NON_IDEMPOTENT = route(RouteKind.non_idempotent, 2)


def test_a_short_answer_is_taken_when_a_long_one_is_not():
    assert can_finish_before(STREAM, 60, 4, EXIT_AT)
    assert not can_finish_before(STREAM, 300, 4, EXIT_AT)


def test_a_plain_call_is_taken_while_its_time_limit_fits():
    assert can_finish_before(NON_IDEMPOTENT, 0, 5.3, EXIT_AT)
    assert not can_finish_before(NON_IDEMPOTENT, 0, 5.5, EXIT_AT)


def test_an_answer_of_unknown_length_may_take_all_its_time():
    assert max_duration_s(STREAM, 0) == 8
    assert not can_finish_before(STREAM, 0, 0, EXIT_AT)


def test_nothing_takes_longer_than_its_route_allows():
    assert max_duration_s(STREAM, 100_000) == 8
