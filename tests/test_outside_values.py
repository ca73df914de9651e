"""Values from outside that are not what they have to be cost themselves only."""

from __future__ import annotations

import json
from random import Random
from unittest.mock import Mock

import msgpack
import pytest
from coltsfootshift_platform.engines import HttpEngine, HttpOrigin
from coltsfootshift_platform.items import StoreItemDecoder
from coltsfootshift_platform.settings import load_platform_settings, parse_address
from hypothesis import given
from hypothesis import strategies as st
from odd_values import DEEP, ENTRIES, HUGE, PARTS, REPORTS, make_entry, write_entry
from platform_standins import KEY, make_config, make_settings, write_settings
from twisted.internet.task import Clock

from coltsfootshift.gateway.checks import Admission, KeyCheck, RouteCheck
from coltsfootshift.gateway.engines import PortError
from coltsfootshift.gateway.homes import NOWHERE, find_homes
from coltsfootshift.gateway.model import Route, RouteKind
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer, TableCache
from coltsfootshift.outcomes import NotRun
from coltsfootshift.settings import Address

ORIGIN = "10.0.0.2:90"
ODD_HOMES = ("north", 5, True, {"north": 1}, [5], [None], [""], ["nor\r\nth"], [["north"]])

# Any JSON, and any bytes.
numbers = st.integers() | st.floats(allow_nan=False, allow_infinity=False)
scalars = st.none() | st.booleans() | numbers | st.text()
trees = st.recursive(
    scalars,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
entry_fields = st.sampled_from(sorted(make_entry()))


def make_item(key: str, value, revision=1) -> Item:
    return Item(key, revision, value if isinstance(value, bytes) else json.dumps(value).encode())


def test_entry_in_order_is_taken():
    record = StoreItemDecoder().read_endpoint(make_item("servers/e-1", write_entry()))
    assert record is not None
    assert (record.address, record.slots, record.versions) == (Address("10.0.0.1", 80), 6, {"m": 1})


@pytest.mark.parametrize("value", ENTRIES.values(), ids=ENTRIES)
def test_odd_entry_of_an_engine_costs_that_entry_only(lines, value):
    """One odd entry among the engines' ended the processes that read the list, or was used."""
    tables = TableCache(StoreItemDecoder())
    items = (make_item("servers/odd", value, 1), make_item("servers/e-1", write_entry(), 2))
    tables.apply(TableAnswer(Table.ENDPOINTS, items, 2, True, 0.0), 0.0)
    assert sorted(tables.endpoints) == ["e-1"]
    assert lines().count("invalid item in the store") == 1


@pytest.mark.parametrize("key", ["servers/a\r\nX: 1", "servers/", "servers/\u00e9", "servers/a b"])
def test_entry_under_an_odd_key_is_left_out(lines, key):
    """The id of an engine is sent in a header."""
    assert StoreItemDecoder().read_endpoint(make_item(key, write_entry())) is None
    assert lines() == ["invalid item in the store"]


@pytest.mark.parametrize("text", PARTS.values(), ids=PARTS)
@pytest.mark.parametrize("field", ["routes", "services", "tenants"])
def test_odd_part_of_the_catalogue_costs_that_part_only(lines, field, text):
    """One route that the decoder refused cost the whole catalogue, so that an older one held."""
    config = make_config(7, ORIGIN)
    config[field] = ["@odd", *config[field]]
    value = json.dumps(config).encode().replace(b'"@odd"', text)
    catalogue = StoreItemDecoder().read_catalogue(make_item("op/config", value))
    assert catalogue is not None and catalogue.version == 7
    assert catalogue.find_route("desk.example", "/book/1") is not None
    assert len(catalogue.services) == 3 and len(catalogue.teams) == 1
    assert lines() == ["invalid part of an item left out"]


@pytest.mark.parametrize("text", [DEEP, b"5", b'{"max_body_bytes": -1}'], ids=["deep", "5", "-1"])
def test_odd_limits_of_the_catalogue_leave_the_default(lines, text):
    config = {**make_config(7, ORIGIN), "limits": "@odd"}
    value = json.dumps(config).encode().replace(b'"@odd"', text)
    catalogue = StoreItemDecoder().read_catalogue(make_item("op/config", value))
    assert catalogue is not None and catalogue.limits.body_bytes == 4 * 1024 * 1024
    assert lines() == ["invalid part of an item left out"]


@pytest.mark.parametrize(
    ("change", "left"),
    [
        ({"kind": "odd"}, 0),
        ({"kind": None}, 0),
        ({"host": None}, 0),
        ({"host": 5}, 0),
        ({"prefix": "book"}, 0),
        ({"service": None}, 0),
        ({"split": [{"service": "a", "weight": -1}]}, 0),
        ({"split": []}, 1),
        ({"split": None}, 1),
        ({"timeout_ms": float("inf")}, 0),
        ({"timeout_ms": HUGE}, 0),
        ({"timeout_ms": "3000"}, 0),
        ({"timeout_ms": 1200.5}, 1),
        ({"attempts": -1}, 0),
        ({"slo_ms": None}, 1),
        ({"odd": {"a": [1]}}, 1),
        *(({"allowed_regions": value}, 0) for value in ODD_HOMES),
    ],
    ids=lambda value: str(value)[:40],
)
def test_route_is_checked_field_by_field(change, left):
    config = make_config(7, ORIGIN)
    config["routes"][0].update(change)
    value = json.dumps(config).replace("Infinity", "1e999").encode()
    catalogue = StoreItemDecoder().read_catalogue(make_item("op/config", value))
    assert catalogue is not None
    assert sum(len(routes) for routes in catalogue.routes.values()) == left


@pytest.mark.parametrize(
    ("fields", "homes"),
    [
        ({}, []),
        ({"allowed_regions": None}, []),
        ({"allowed_regions": []}, []),
        ({"allowed_regions": ["north"]}, ["north"]),
        ({"allowed_regions": ["north", "south", "north"]}, ["north", "south"]),
    ],
    ids=str,
)
def test_homes_of_routes_and_teams_are_read(fields, homes):
    config = make_config(7, ORIGIN)
    config["routes"][0].update(fields)
    config["tenants"][0].update(fields)
    catalogue = StoreItemDecoder().read_catalogue(make_item("op/config", config))
    assert catalogue is not None and not catalogue.unread.homes
    route = catalogue.find_route("desk.example", "/book/1")
    assert route is not None and sorted(route.homes) == homes
    assert [sorted(team.homes) for team in catalogue.teams.values()] == [homes]


@pytest.mark.parametrize("value", ODD_HOMES, ids=repr)
@pytest.mark.parametrize("part", ["routes", "tenants"])
def test_request_whose_homes_cannot_be_read_is_refused_and_not_sent_abroad(part, value):
    """Neither is it sent anywhere, nor denied: the operator's next catalogue may allow it."""
    config = make_config(7, ORIGIN)
    config[part][0]["allowed_regions"] = value
    tables = TableCache(StoreItemDecoder())
    items = (make_item("op/config", config),)
    tables.apply(TableAnswer(Table.OPERATOR, items, 2, True, 0.0), 0.0)
    tables.apply(TableAnswer(Table.ENDPOINTS, (), 2, True, 0.0), 0.0)
    head = Mock(host="desk.example", path="/book/1", key=KEY, deadline=None)
    admission = Admission(head, 0.0)
    checks = [RouteCheck(Random(1), 2.0), KeyCheck(5.0, 2.0)]
    found = [
        check.find_refusal(admission, tables, 0.1) for check in checks[: 1 + (part != "routes")]
    ]
    assert isinstance(found[-1], NotRun) and found[-1].status == 503
    assert tables.catalogue.unread.homes
    admission.route = admission.route or Route("r", "", "", RouteKind.IDEMPOTENT, (), 1.0, 1.0)
    assert find_homes(tables.catalogue, admission) == NOWHERE


@pytest.mark.parametrize(
    ("change", "cold"),
    [
        ({}, (0.0, 0.0)),
        ({"cold_s": 3, "cold_per_s": 17.0}, (3.0, 17.0)),
        ({"cold_s": 3}, (3.0, 0.0)),
        ({"cold_s": 3, "cold_per_s": -1}, None),
        ({"cold_s": "3", "cold_per_s": 17}, None),
        ({"cold_s": HUGE, "cold_per_s": 17}, None),
        ({"cold_s": None, "cold_per_s": 17}, None),
    ],
    ids=lambda value: str(value)[:40],
)
def test_service_says_how_cold_its_endpoints_are(change, cold):
    """A service whose figures cannot be read is left out: it must not be taken for a warm one."""
    config = make_config(7, ORIGIN)
    name = config["services"][0]["name"]
    config["services"][0].update(change)
    catalogue = StoreItemDecoder().read_catalogue(make_item("op/config", config))
    assert catalogue is not None
    service = catalogue.services.get(name)
    assert cold == (None if service is None else (service.cold_seconds, service.cold_rate))


@pytest.mark.parametrize(
    ("bounds", "read"),
    [({}, (1.0, 0.0)), ({"cold_excess": 1.5, "cold_slack": 5}, (1.5, 5.0))],
    ids=["none", "both"],
)
def test_settings_name_the_bound_of_cold_endpoints(tmp_path, bounds, read):
    fields = make_settings("entry", ORIGIN, [81, 82, 83, 84, 90, 99], [])
    fields["bounds"] = {**fields["bounds"], **bounds}
    settings = load_platform_settings(write_settings(tmp_path / "entry.toml", fields))
    assert (settings.cold_excess, settings.cold_allowance) == read


@pytest.mark.parametrize("milliseconds", [0, 1500, 2750.5])
def test_entry_says_for_how_long_its_engine_is_cold(milliseconds):
    entry = make_item("servers/e-1", write_entry(cold_ms=milliseconds))
    record = StoreItemDecoder().read_endpoint(entry)
    assert record is not None and record.cold_for == milliseconds / 1000


@pytest.mark.parametrize("keys", [[], None], ids=["empty", "null"])
def test_team_without_keys_leaves_the_catalogue_in_force(keys):
    config = make_config(7, ORIGIN)
    config["tenants"][0]["keys"] = keys
    catalogue = StoreItemDecoder().read_catalogue(make_item("op/config", config))
    assert catalogue is not None and dict(catalogue.teams) == {}


@pytest.mark.parametrize(
    "value",
    [
        DEEP,
        b'{"model": "m", "version": 1e999}',
        b'{"model": "m", "version": %s}' % (b"9" * 6000),
        {"model": "m", "version": HUGE},
        {"model": "m", "version": 2**64},
        {"model": "m", "version": -5},
        {"model": "m", "version": 0},
        {"model": "m", "version": "2"},
        {"model": 5, "version": 2},
        {"version": 2},
        [],
        b"\xff",
    ],
    ids=lambda value: str(value)[:40],
)
def test_odd_version_costs_that_version_only(lines, value):
    tables = TableCache(StoreItemDecoder())
    good = make_item("op/version/n", {"model": "n", "version": 2}, 2)
    items = (make_item("op/version/m", value, 1), good)
    tables.apply(TableAnswer(Table.OPERATOR, items, 2, True, 0.0), 0.0)
    assert sorted(tables.wanted_versions) == ["n"]
    assert lines().count("invalid item in the store") == 1


def make_client(client, body: bytes):
    """Let a control client receive `body` for every request."""

    async def request(*args, **kwargs):
        return 200, body

    client._client.request = request
    return client


def get_result(deferred):
    results: list = []
    deferred.addBoth(results.append)
    return results[0]


@pytest.mark.parametrize("value", [b"{}", b"", b"\xff", b"null", b"[1"], ids=repr)
@pytest.mark.parametrize(
    ("key", "domain"),
    [
        ("op/evacuate/north-a", "north-a"),
        ("op/evacuate/a/b", "a/b"),
        ("op/evacuate/", None),
        ("op/evacuate/a b", None),
        ("op/evacuate/\u00e9", None),
        ("op/evacuate/" + "z" * 300, None),
        ("op/evacuate", None),
        ("op/version/m", None),
    ],
)
def test_evacuation_is_read_from_its_key(key, domain, value):
    """An odd key evacuates nothing, and an odd value does not hide an evacuation."""
    item = Item(key, 1, value)
    assert StoreItemDecoder().read_evacuation(item) == domain
    tables = TableCache(StoreItemDecoder())
    tables.apply(TableAnswer(Table.OPERATOR, (item,), 1, True, 0.0), 0.0)
    assert list(tables.evacuations.list_out()) == ([domain] if domain else [])


@pytest.mark.parametrize("body", REPORTS.values(), ids=REPORTS)
def test_odd_report_of_an_engine_is_an_error_of_that_request(body):
    engine = make_client(HttpEngine(Clock(), Address("10.0.0.1", 80)), body)
    assert get_result(engine.read_report()).check(PortError)
    assert get_result(engine.list_staged("m")).check(PortError)
    origin = make_client(HttpOrigin(Clock(), Address("10.0.0.1", 80)), body)
    assert get_result(origin.read_digests("m", 1)).check(PortError)


@pytest.mark.parametrize(
    "body",
    [b'{"digests": ["9f2c"]}', b'{"digests": [5]}', b'{"digests": ["zz"]}', b'{"digests": null}'],
)
def test_odd_digests_are_an_error_of_that_request(body):
    origin = make_client(HttpOrigin(Clock(), Address("10.0.0.1", 80)), body)
    assert get_result(origin.read_digests("m", 1)).check(PortError)


@pytest.mark.parametrize(
    "text",
    ["", ":", "a:", ":80", "a:0", "a:65536", "a:-1", "a: 80", "a\0:80", "a b:80", "a:8\u0660"],
)
def test_address_out_of_order_is_refused(text):
    with pytest.raises(ValueError, match="HOST:PORT"):
        parse_address(text)


@given(st.binary())
def test_any_bytes_are_decoded_or_refused(data):
    for key in ("servers/x", "op/config", "op/version/m"):
        item = Item(key, 1, data)
        decoder = StoreItemDecoder()
        for read in (decoder.read_endpoint, decoder.read_catalogue, decoder.read_version):
            read(item)


@given(entry_fields, trees)
def test_any_value_of_a_field_is_decoded_or_refused(field, value):
    """What is taken can be sent between processes and in headers."""
    item = make_item("servers/x", {**make_entry(), field: value})
    record = StoreItemDecoder().read_endpoint(item)
    if record is None:
        return
    msgpack.packb([record.slots, record.born, *record.versions.values()])
    assert 1 <= record.address.port <= 65535 and record.slots >= 1 and record.born >= 0
    assert (record.service + record.failure_domain).isascii()


@given(st.sampled_from(["routes", "services", "tenants", "limits", "version"]), trees)
def test_any_value_in_the_catalogue_is_decoded_or_refused(field, value):
    config = {**make_config(7, ORIGIN), field: value}
    StoreItemDecoder().read_catalogue(make_item("op/config", config))
    config = make_config(7, ORIGIN)
    if field in ("routes", "services", "tenants"):
        name = sorted(config[field][0])[0]
        config[field][0][name] = value
        assert StoreItemDecoder().read_catalogue(make_item("op/config", config)) is not None
