"""The load while many entries leave together: who is still taken."""

from comfreyarch_core.lastrequests import ends_in_time, longest_s
from comfreyarch_core.routetable import Route, RouteKind, ServiceShare

END = 7.4


def route(kind, timeout_s):
    """Make a route."""
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
PLAIN = route(RouteKind.non_idempotent, 2)


def test_a_short_answer_is_taken_when_a_long_one_is_not():
    assert ends_in_time(STREAM, 60, 4, END)
    assert not ends_in_time(STREAM, 300, 4, END)


def test_a_plain_call_is_taken_while_its_time_limit_fits():
    assert ends_in_time(PLAIN, 0, 5.3, END)
    assert not ends_in_time(PLAIN, 0, 5.5, END)


def test_an_answer_of_unknown_length_may_take_all_its_time():
    assert longest_s(STREAM, 0) == 8
    assert not ends_in_time(STREAM, 0, 0, END)


def test_nothing_takes_longer_than_its_route_allows():
    assert longest_s(STREAM, 100_000) == 8
