"""The gateway's cache of the store's tables: revisions, age, expired leases, wanted versions."""

from __future__ import annotations

import json

import pytest

from coltsfootshift.gateway.endpoint_list import (
    ENGINE_STATUS_TTL_SECONDS,
    LEASE_EXPIRY_GRACE_SECONDS,
    EngineStatus,
)
from coltsfootshift.gateway.model import EndpointRecord, GatewayCatalogue
from coltsfootshift.gateway.table_cache import (
    Item,
    ItemDecoder,
    Table,
    TableAnswer,
    TableCache,
    TablePosition,
)
from coltsfootshift.ids import FailureDomain, InstanceId, ServiceName
from coltsfootshift.settings import Address


class PlainDecoder(ItemDecoder):
    """Decodes the items of these tests: `catalogue`, `version/MODEL` and endpoints by name."""

    def read_catalogue(self, item):
        if item.key != "catalogue":
            return None
        return GatewayCatalogue(int(item.value), {}, {}, {})

    def read_version(self, item):
        if not item.key.startswith("version/"):
            return None
        return item.key.removeprefix("version/"), int(item.value)

    def read_endpoint(self, item):
        fields = json.loads(item.value)
        if "service" not in fields:
            return None
        return EndpointRecord(
            InstanceId(item.key),
            ServiceName(fields["service"]),
            Address("10.0.0.1", 80),
            FailureDomain("a"),
            4,
            leaving=fields.get("leaving", False),
            born=fields.get("born", 0),
            versions=fields.get("versions", {}),
        )


def apply_answer(tables, table, items, revision, now, complete=False, confirmed_at=None):
    rows = tuple(Item(key, rev, value) for key, rev, value in items)
    at = now if confirmed_at is None else confirmed_at
    return tables.apply(TableAnswer(table, rows, revision, complete, at), now)


ENDPOINT = json.dumps({"service": "s"}).encode()
LEAVING_ENDPOINT = json.dumps({"service": "s", "leaving": True}).encode()


@pytest.fixture
def tables():
    tables = TableCache(PlainDecoder())
    apply_answer(tables, Table.OPERATOR, [("catalogue", 3, b"7")], 3, 0.0, complete=True)
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 2, ENDPOINT)], 3, 0.0, complete=True)
    return tables


@pytest.mark.parametrize(
    ("revision", "version", "expected"),
    [(5, b"9", 9), (2, b"6", 7), (4, b"6", 7)],
    ids=["newer", "older revision", "newer revision with an older version"],
)
def test_catalogue_never_reverts(tables, revision, version, expected):
    apply_answer(tables, Table.OPERATOR, [("catalogue", revision, version)], revision, 1.0)
    assert tables.catalogue.version == expected


@pytest.mark.parametrize(
    ("outage", "record", "kept"),
    [(8.0, ENDPOINT, True), (8.0, LEAVING_ENDPOINT, False), (0.5, ENDPOINT, False)],
    ids=["lapsed in an outage", "was leaving", "no outage"],
)
def test_endpoint_that_lapsed_is_held(tables, outage, record, kept):
    """An endpoint whose lease may have expired only because of an outage is kept for a while."""
    for moment in (2.0, 4.0, 6.0):
        apply_answer(tables, Table.ENDPOINTS, [("e-1", 4, record)], 4, moment)
    back = 6.0 + outage
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 6, None)], 6, back)
    assert ("e-1" in tables.endpoints) is kept
    tables.remove_expired(back + LEASE_EXPIRY_GRACE_SECONDS)
    assert "e-1" not in tables.endpoints


def test_lapsed_endpoint_that_is_back_stays(tables):
    apply_answer(tables, Table.ENDPOINTS, [], 4, 10.0)
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 6, None)], 6, 18.0)
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 7, ENDPOINT)], 7, 19.0)
    tables.remove_expired(30.0)
    assert "e-1" in tables.endpoints


@pytest.mark.parametrize("value", [b'{"colour": 1}', b"{}"])
def test_items_of_other_writers_name_no_endpoint(tables, value):
    apply_answer(tables, Table.ENDPOINTS, [("x", 9, value)], 9, 1.0)
    assert set(tables.endpoints) == {"e-1"}


def test_each_named_version_keeps_its_time(tables):
    """Publishing another version does not change the time from which the previous one is due."""
    apply_answer(tables, Table.OPERATOR, [("version/m", 5, b"2")], 5, 18.0)
    apply_answer(tables, Table.OPERATOR, [("version/m", 6, b"3")], 6, 21.0)
    rows = [(wanted.version, wanted.learnt_at) for wanted in tables.wanted_versions["m"]]
    assert rows == [(2, 18.0), (3, 21.0)]
    assert tables.get_latest_version("m").version == 3


def test_version_found_at_the_start_has_no_known_time():
    tables = TableCache(PlainDecoder())
    apply_answer(tables, Table.OPERATOR, [("version/m", 5, b"2")], 5, 4.0, complete=True)
    apply_answer(tables, Table.OPERATOR, [("version/m", 6, b"3")], 6, 5.0)
    assert [wanted.at_start for wanted in tables.wanted_versions["m"]] == [True, False]


@pytest.mark.parametrize(("revision", "age"), [(3, 1.0), (2, 9.0)], ids=["same", "another"])
def test_confirmation_counts_for_the_revision_held_only(tables, revision, age):
    tables.confirm(Table.OPERATOR, TablePosition(0, revision), 8.0)
    assert tables.measure_age(Table.OPERATOR, 9.0) == age


def test_difference_between_processes_is_completed(tables):
    apply_answer(tables, Table.ENDPOINTS, [("e-2", 5, ENDPOINT)], 5, 1.0)
    items, keys = tables.list_items(Table.ENDPOINTS, TablePosition(0, 3))
    assert [item.key for item in items] == ["e-2"] and set(keys) == {"e-1", "e-2"}
    merged, missing = tables.merge_items(Table.ENDPOINTS, items, ["e-1", "e-2", "e-3"])
    assert {item.key for item in merged} == {"e-1", "e-2"} and missing == ["e-3"]


def make_engine(born, version):
    return json.dumps({"service": "s", "born": born, "versions": {"m": version}}).encode()


ENGINE_ADDRESS = Address("10.0.0.1", 80)


@pytest.mark.parametrize(
    ("note_first", "born", "waited", "expected"),
    [
        (False, 1, 0.5, {"m": 2}),
        (True, 1, 0.5, {"m": 2}),
        (False, 1, ENGINE_STATUS_TTL_SECONDS + 0.1, {"m": 1}),
        (False, 2, 0.5, {"m": 1}),
    ],
    ids=["record after", "listed after", "record long after", "another start"],
)
def test_record_of_the_store_is_older_news_than_the_agents(note_first, born, waited, expected):
    """An agent's report takes precedence over the store's record until it expires.

    It does not apply to another incarnation of the engine.
    """
    tables = TableCache(PlainDecoder())
    status = EngineStatus(1, "m", 2, False, 10.0)
    if note_first:
        assert tables.update_engine_status(ENGINE_ADDRESS, status) == []
    else:
        apply_answer(tables, Table.ENDPOINTS, [("e-1", 3, make_engine(1, 1))], 3, 9.0)
        assert tables.update_engine_status(ENGINE_ADDRESS, status) == ["e-1"]
        assert tables.endpoints["e-1"].versions == {"m": 2}
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 4, make_engine(born, 1))], 4, 10.0 + waited)
    assert tables.endpoints["e-1"].versions == expected


def test_engine_that_loads_serves_nothing_of_the_model(tables):
    """An engine that is loading must get no requests, whatever its record says."""
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 5, make_engine(1, 1))], 5, 1.0)
    tables.update_engine_status(ENGINE_ADDRESS, EngineStatus(1, "m", 1, True, 2.0))
    assert tables.endpoints["e-1"].versions == {}


def test_version_found_at_the_start_counts_from_the_start_of_the_process():
    tables = TableCache(PlainDecoder(), started_at=1.0)
    apply_answer(tables, Table.OPERATOR, [("version/m", 5, b"2")], 5, 9.0, complete=True)
    assert tables.wanted_versions["m"][0].learnt_at == 1.0


@pytest.mark.parametrize("relayed", [False, True], ids=["store first", "peer first"])
def test_endpoint_that_lapsed_is_held_also_after_a_peer_has_confirmed_the_table(tables, relayed):
    """A peer that reads the store again first must not end the grace period of this process."""
    if relayed:
        tables.confirm(Table.ENDPOINTS, TablePosition(0, 3), 9.9)
    apply_answer(tables, Table.ENDPOINTS, [("e-1", 6, None)], 6, 10.0)
    assert "e-1" in tables.endpoints


@pytest.mark.parametrize("table", list(Table))
def test_digest_of_the_content_follows_each_change(tables, table):
    """It is kept between changes, and a peer takes it for the state of the table."""
    seen = [tables.digest_content(table)]
    value = ENDPOINT if table is Table.ENDPOINTS else b"9"
    for revision, complete in ((20, False), (21, False), (22, True)):
        apply_answer(tables, table, [("catalogue", revision, value)], revision, 1.0, complete)
        seen.append(tables.digest_content(table))
        value = ENDPOINT if table is Table.ENDPOINTS else b"%d" % revision
    apply_answer(tables, table, [], 30, 1.0)
    assert tables.digest_content(table) == seen[-1]
    assert len(set(seen)) == len(seen)
