"""What is missing, empty or unreadable never allows a request that it might forbid.

Once the last key of all teams was taken away, the catalogue looked like one of an operator without
teams, so that entries asked for no key any more. A route or team that could not be read was left
out, so that a request went to the service of a shorter prefix, or its key was called unknown.
"""

from __future__ import annotations

import json

import pytest
from coltsfootshift_platform.items import StoreItemDecoder
from gateway_harness import KEY, GatewayHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootshift.gateway.table_cache import Item
from coltsfootshift.ids import TeamName

ROUTE = {"name": "a", "kind": "idempotent", "host": "host", "timeout_ms": 1000, "service": "s"}
SERVICE = {"name": "s", "max_conns": 100}
TEAM = {"name": "team-1", "keys": [KEY]}
ANONYMOUS = [{**ROUTE, "prefix": "/read/", "anonymous": True}]
OUTDATED_SECONDS = 5.0  # a key that was taken away must be refused after this time


def decode(**parts):
    """Return the catalogue with one route `/read/`, service and team, or with `parts` of it."""
    routes = [{**ROUTE, "prefix": "/read/"}]
    fields = {"version": 7, "routes": routes, "services": [SERVICE], "tenants": [TEAM], **parts}
    value = json.dumps({name: part for name, part in fields.items() if part != "absent"}).encode()
    return StoreItemDecoder().read_catalogue(Item("op/config", 5, value))


def ask(catalogue, key, path="read", age=0.0):
    """Return the status that a caller gets at once, None if the request goes to an endpoint.

    The catalogue was last confirmed `age` seconds ago.
    """
    harness = GatewayHarness(endpoints=1)
    harness.tables.catalogue = catalogue
    harness.gateway.refresh()
    harness.clock.advance(age)
    caller = harness.send_request(path, key=key)
    text = caller.take()
    assert bool(text) != (harness.accept() is not None)
    return int(text.split()[1]) if text else None


@pytest.mark.parametrize(
    ("tenants", "key", "status"),
    [
        ([TEAM], KEY, None),
        ([TEAM], "other", 401),
        ([TEAM], "", 401),
        ([{"name": "team-1", "keys": []}], KEY, 401),
        ([{"name": "team-1", "keys": []}], "", 401),
        ([{"name": "team-1", "keys": None}], KEY, 401),
        ([{"name": "team-1"}], KEY, 401),
        ([], KEY, 401),
        ([], "", 401),
        ([{"name": "team-1", "keys": ["", KEY]}], "", 401),
        ([{"name": "team-1", "keys": ["", KEY]}], KEY, None),
        ([{"name": 5, "keys": [KEY]}], KEY, 503),
        ([TEAM, {"name": "team-2", "keys": "key-2"}], "key-2", 503),
        ([TEAM, {"name": "team-2", "keys": "key-2"}], KEY, None),
        ("absent", "", None),
    ],
    ids=[
        "held key",
        "unknown key",
        "no key",
        "last key taken away",
        "last key taken away, none presented",
        "keys null",
        "keys absent",
        "last team taken away",
        "last team taken away, none presented",
        "empty key, none presented",
        "key beside an empty one",
        "only team unreadable",
        "key of an unreadable team",
        "key of a team beside an unreadable one",
        "operator without teams",
    ],
)
def test_request_with_a_key_that_no_team_holds_does_not_run(tenants, key, status):
    assert ask(decode(tenants=tenants), key) == status


@pytest.mark.parametrize(
    ("parts", "key", "age", "status"),
    [
        ({"routes": ANONYMOUS}, KEY, 0.0, None),
        ({"routes": ANONYMOUS}, KEY, OUTDATED_SECONDS, 503),
        ({"routes": ANONYMOUS}, "", OUTDATED_SECONDS, None),
        ({"tenants": "absent"}, KEY, 0.0, None),
        ({"tenants": "absent"}, KEY, OUTDATED_SECONDS, 503),
        ({"tenants": "absent"}, "", OUTDATED_SECONDS, None),
    ],
    ids=[
        "anonymous route",
        "anonymous route, outdated",
        "anonymous route, outdated, none presented",
        "no teams",
        "no teams, outdated",
        "no teams, outdated, none presented",
    ],
)
def test_key_does_not_run_by_an_outdated_belief_that_none_is_needed(parts, key, age, status):
    """The route may need a key by now, and the key may have been taken away since."""
    assert ask(decode(**parts), key, age=age) == status


@pytest.mark.parametrize(
    ("rows", "path", "status"),
    [
        ([{"prefix": "/read/"}], "read", None),
        ([], "read", 404),
        ([{"prefix": "/read/", "attempts": -1}], "read", 503),
        ([{"prefix": "/read/"}, {"prefix": "/read/x/", "kind": "odd"}], "read/x", 503),
        ([{"prefix": "/read/"}, {"prefix": "/read/x/", "kind": "odd"}], "read", None),
        ([{"prefix": "/read/x/"}, {"prefix": "/read/", "kind": "odd"}], "read/x", None),
        ([{"prefix": "/read/"}, {"prefix": 5}], "other", 503),
        ([{"prefix": "/read/"}, {"prefix": 5}], "read", None),
    ],
    ids=[
        "route",
        "no route",
        "unreadable route",
        "below an unreadable route",
        "beside an unreadable longer prefix",
        "below a route of an unreadable one",
        "no route, one at an unknown place",
        "route, one at an unknown place",
    ],
)
def test_request_that_may_belong_to_an_unreadable_route_does_not_run(rows, path, status):
    routes = [{**ROUTE, **row} for row in rows]
    assert ask(decode(routes=routes), KEY, path) == status


keys = st.sampled_from(["key-a", "key-b", "key-c"])
teams = st.dictionaries(st.sampled_from(["one", "two"]), st.lists(keys, max_size=3), max_size=2)


@given(st.lists(teams, min_size=1, max_size=6), keys)
@settings(deadline=None)
def test_only_keys_of_the_newest_catalogue_run(series, key):
    """Keys are taken away and given back in any order, down to the last one and back."""
    for held in series:
        catalogue = decode(tenants=[{"name": n, "keys": k} for n, k in held.items()])
    assert catalogue.requires_keys
    team = catalogue.teams.get(key)
    holders = {TeamName(name) for name, listed in series[-1].items() if key in listed}
    assert team.name in holders if holders else team is None
