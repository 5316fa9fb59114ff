"""Test route lookup by longest prefix and team lookup by API key."""

from comfreyarch_core.routetable import (
    CallerLimits,
    Route,
    RouteKind,
    ServiceShare,
    Team,
    make_route_table,
)


def route(prefix, kind=RouteKind.idempotent, host='a.example', resumable=False):
    """Create a route."""
    return Route(
        prefix,
        host,
        prefix,
        kind,
        2,
        0.4,
        0.1,
        1,
        (ServiceShare('s', 1),),
        2,
        False,
        resumable,
    )


def table(*routes, teams=None):
    """Create a route table."""
    return make_route_table(1, routes, [], teams, CallerLimits())


def test_longest_prefix_wins():
    found = table(route('/a/'), route('/a/b/'), route('/a/b/c/'))
    assert found.match('a.example', '/a/b/x').prefix == '/a/b/'
    assert found.match('a.example', '/a/b/c/').prefix == '/a/b/c/'
    assert found.match('a.example', '/a/bc').prefix == '/a/'


def test_no_route_of_another_host_or_path():
    found = table(route('/a/'))
    assert found.match('b.example', '/a/x') is None
    assert found.match('a.example', '/b/x') is None
    assert found.match('a.example', '/a') is None


def test_query_is_no_part_of_the_path():
    found = table(route('/a/'), route('/a/b/'))
    assert found.match('a.example', '/a/x?y=/a/b/').prefix == '/a/'


def test_what_may_run_twice():
    assert route('/a/').repeatable
    assert not route('/a/', RouteKind.non_idempotent).repeatable
    assert not route('/a/', RouteKind.streaming).repeatable
    assert route('/a/', RouteKind.streaming, resumable=True).repeatable


def test_keys_name_teams():
    found = table(route('/a/'), teams={'k': Team('t')})
    assert found.requires_keys
    assert found.team_of('k').name == 't'
    assert found.team_of('other') is None
    assert not table(route('/a/')).requires_keys
