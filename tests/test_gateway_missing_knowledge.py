"""What an entry or agent does while something that it needs to know is missing.

What is missing must neither stand for "no limit" nor leave a request waiting: an entry without a
service's figures or a caller's deadline might forward without a bound, and one without endpoints
might hold a request that it can refuse at once.
"""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from coltsfootshift_platform.engines import HttpOrigin
from coltsfootshift_platform.items import StoreItemDecoder
from gateway_harness import KEY, ROUTE_TIMEOUT_SECONDS, GatewayHarness
from test_outside_values import get_result, make_client
from twisted.internet.task import Clock

from coltsfootshift.gateway.engines import PortError
from coltsfootshift.gateway.model import CallerLimits
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer
from coltsfootshift.settings import Address

REVOKE_SECONDS = 5.0
CONFIG_SECONDS = 2.0  # within which a change of the catalogue must be in force
DIGEST = "ab" * 32


def read_status(caller):
    text = caller.take()
    return int(text.split()[1]) if text else None


@pytest.mark.parametrize(
    "missing", ["catalogue", "list of endpoints", "service", "all services", "targets"]
)
def test_request_is_refused_at_once_while_what_it_needs_is_not_known(missing):
    harness = GatewayHarness(endpoints=1, confirmed=missing != "list of endpoints")
    if missing == "list of endpoints":
        harness.tables.apply(TableAnswer(Table.OPERATOR, (), 1, False, 0.0), 0.0)
    catalogue = harness.tables.catalogue
    changes = {
        "catalogue": None,
        "list of endpoints": catalogue,
        "service": replace(
            catalogue,
            services={name: spec for name, spec in catalogue.services.items() if name != "s"},
        ),
        "all services": replace(catalogue, services={}),
        "targets": replace(
            catalogue,
            routes={"host": tuple(replace(r, targets=()) for r in catalogue.routes["host"])},
        ),
    }
    harness.tables.catalogue = changes[missing]
    harness.gateway.refresh()
    caller = harness.send_request()
    assert read_status(caller) == 503 and harness.accept() is None


@pytest.mark.parametrize("route", ["read", "book", "talk"])
def test_request_without_endpoints_is_refused_before_its_time_is_over(route):
    harness = GatewayHarness(endpoints=0)
    caller = harness.send_request(route)
    for _ in range(round(ROUTE_TIMEOUT_SECONDS / 0.1)):
        harness.clock.advance(0.1)
    assert read_status(caller) == 503


@pytest.mark.parametrize(
    ("header", "most_ms"),
    [
        ([], 1000 * ROUTE_TIMEOUT_SECONDS),
        (["X-Deadline-Ms: x"], 1000 * ROUTE_TIMEOUT_SECONDS),
        (["X-Deadline-Ms:"], 1000 * ROUTE_TIMEOUT_SECONDS),
        (["X-Deadline-Ms: nan"], 1000 * ROUTE_TIMEOUT_SECONDS),
        (["X-Deadline-Ms: 1e999"], 1000 * ROUTE_TIMEOUT_SECONDS),
        (["X-Deadline-Ms: 9e9"], 1000 * ROUTE_TIMEOUT_SECONDS),
        (["X-Deadline-Ms: 300"], 300),
        (["X-Deadline-Ms: 0"], None),
        (["X-Deadline-Ms: -5"], None),
    ],
    ids=lambda value: str(value[0]) if isinstance(value, list) and value else "",
)
def test_endpoint_is_told_a_time_that_the_route_bounds(header, most_ms):
    """None of what a caller sends, or leaves out, gives an endpoint longer than its route does."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request(headers=header)
    endpoint = harness.accept()
    if most_ms is None:
        assert endpoint is None and read_status(caller) == 503
        return
    lines = endpoint.take().split(b"\r\n")
    told = [line for line in lines if line.lower().startswith(b"x-deadline-ms:")]
    assert len(told) == 1 and 0 < int(told[0].split(b":")[1]) <= most_ms


@pytest.mark.parametrize("limits", ["absent", None, {}, {"max_body_bytes": 0}, [], "x"])
def test_limits_that_are_missing_are_the_defaults(limits):
    fields = {"version": 7, "routes": [], "services": []}
    if limits != "absent":
        fields["limits"] = limits
    item = Item("op/config", 5, json.dumps(fields).encode())
    assert StoreItemDecoder().read_catalogue(item).limits == CallerLimits()


@pytest.mark.parametrize("age", [0.0, REVOKE_SECONDS, 60.0])
def test_catalogue_that_was_not_confirmed_for_long_refuses_keys_only(age):
    """The store may be away for long; what needs no key goes on."""
    harness = GatewayHarness(endpoints=1)
    catalogue = harness.tables.catalogue
    routes = tuple(
        replace(route, anonymous=route.name == "read") for route in catalogue.routes["host"]
    )
    harness.tables.catalogue = replace(catalogue, routes={"host": routes})
    harness.clock.advance(age)
    assert read_status(harness.send_request("read", key="")) is None
    assert harness.accept() is not None
    keyed = harness.send_request("talk", key=KEY, request="r-2")
    assert read_status(keyed) == (503 if age >= REVOKE_SECONDS else None)


@pytest.mark.parametrize(
    ("route", "key", "age", "status"),
    [
        ("nowhere", KEY, CONFIG_SECONDS, 404),
        ("nowhere", KEY, CONFIG_SECONDS + 0.1, 503),
        ("nowhere", "", 60.0, 503),
        ("read", "other", CONFIG_SECONDS, 401),
        ("read", "other", CONFIG_SECONDS + 0.1, 503),
    ],
)
def test_nothing_is_denied_by_a_catalogue_that_may_be_outdated(route, key, age, status):
    """A route or key that was added while the store was away was denied, and callers gave up."""
    harness = GatewayHarness(endpoints=1)
    harness.clock.advance(age)
    caller = harness.send_request(route, key=key)
    assert (b"retry-after" in caller.value().lower()) == (status == 503)
    assert read_status(caller) == status


@pytest.mark.parametrize(
    ("fields", "accepted"),
    [
        ({"model": "m", "version": 2, "digests": [DIGEST]}, True),
        ({"digests": [DIGEST]}, True),
        ({"model": "m", "version": 1, "digests": [DIGEST]}, False),
        ({"model": "n", "version": 2, "digests": [DIGEST]}, False),
        ({"version": 3, "digests": [DIGEST]}, False),
        ({"model": "m", "version": 2}, False),
    ],
    ids=["as asked", "names neither", "older", "other model", "newer", "no digests"],
)
def test_manifest_of_another_version_is_refused(fields, accepted):
    origin = make_client(HttpOrigin(Clock(), Address("10.0.0.1", 80)), json.dumps(fields).encode())
    result = get_result(origin.read_digests("m", 2))
    assert result == [bytes.fromhex(DIGEST)] if accepted else result.check(PortError)
