"""What the gateway knows of the tables: order, age, lapses, versions that are named."""

from __future__ import annotations

import json

import pytest

from coltsfootshift.gateway.model import EndpointRecord, GatewayCatalogue
from coltsfootshift.gateway.table_cache import (
    ENGINE_STATUS_TTL_SECONDS,
    LEASE_EXPIRY_GRACE_SECONDS,
    EngineStatus,
    Item,
    ItemDecoder,
    Table,
    TableAnswer,
    TableCache,
)
from coltsfootshift.ids import FailureDomain, InstanceId, ServiceName
from coltsfootshift.settings import Address


class PlainDecoder(ItemDecoder):
    """Items of a test: `catalogue`, `version/MODEL` and endpoints by name."""

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


def tell(known, table, items, revision, now, complete=False, confirmed_at=None):
    rows = tuple(Item(key, rev, value) for key, rev, value in items)
    at = now if confirmed_at is None else confirmed_at
    return known.apply(TableAnswer(table, rows, revision, complete, at), now)


ENDPOINT = json.dumps({"service": "s"}).encode()
LEAVING = json.dumps({"service": "s", "leaving": True}).encode()


@pytest.fixture
def known():
    knowledge = TableCache(PlainDecoder())
    tell(knowledge, Table.OPERATOR, [("catalogue", 3, b"7")], 3, 0.0, complete=True)
    tell(knowledge, Table.ENDPOINTS, [("e-1", 2, ENDPOINT)], 3, 0.0, complete=True)
    return knowledge


@pytest.mark.parametrize(
    ("revision", "version", "expected"),
    [(5, b"9", 9), (2, b"6", 7), (4, b"6", 7)],
    ids=["newer", "older revision", "newer revision with an older version"],
)
def test_catalogue_never_reverts(known, revision, version, expected):
    tell(known, Table.OPERATOR, [("catalogue", revision, version)], revision, 1.0)
    assert known.catalogue.version == expected


@pytest.mark.parametrize(
    ("outage", "record", "kept"),
    [(8.0, ENDPOINT, True), (8.0, LEAVING, False), (0.5, ENDPOINT, False)],
    ids=["lapsed in an outage", "was leaving", "no outage"],
)
def test_endpoint_that_lapsed_is_held(known, outage, record, kept):
    for moment in (2.0, 4.0, 6.0):
        tell(known, Table.ENDPOINTS, [("e-1", 4, record)], 4, moment)
    back = 6.0 + outage
    tell(known, Table.ENDPOINTS, [("e-1", 6, None)], 6, back)
    assert ("e-1" in known.endpoints) is kept
    known.remove_expired(back + LEASE_EXPIRY_GRACE_SECONDS)
    assert "e-1" not in known.endpoints


def test_lapsed_endpoint_that_is_back_stays(known):
    tell(known, Table.ENDPOINTS, [], 4, 10.0)
    tell(known, Table.ENDPOINTS, [("e-1", 6, None)], 6, 18.0)
    tell(known, Table.ENDPOINTS, [("e-1", 7, ENDPOINT)], 7, 19.0)
    known.remove_expired(30.0)
    assert "e-1" in known.endpoints


@pytest.mark.parametrize("value", [b'{"colour": 1}', b"{}"])
def test_items_of_other_writers_name_no_endpoint(known, value):
    tell(known, Table.ENDPOINTS, [("x", 9, value)], 9, 1.0)
    assert set(known.endpoints) == {"e-1"}


def test_each_named_version_keeps_its_time(known):
    tell(known, Table.OPERATOR, [("version/m", 5, b"2")], 5, 18.0)
    tell(known, Table.OPERATOR, [("version/m", 6, b"3")], 6, 21.0)
    rows = [(named.version, named.learnt_at) for named in known.wanted_versions["m"]]
    assert rows == [(2, 18.0), (3, 21.0)]
    assert known.get_latest_version("m").version == 3


def test_version_found_at_the_start_has_no_known_time():
    known = TableCache(PlainDecoder())
    tell(known, Table.OPERATOR, [("version/m", 5, b"2")], 5, 4.0, complete=True)
    tell(known, Table.OPERATOR, [("version/m", 6, b"3")], 6, 5.0)
    assert [named.at_start for named in known.wanted_versions["m"]] == [True, False]


@pytest.mark.parametrize(("revision", "age"), [(3, 1.0), (2, 9.0)], ids=["same", "another"])
def test_confirmation_counts_for_the_revision_held_only(known, revision, age):
    known.confirm(Table.OPERATOR, revision, 8.0)
    assert known.measure_age(Table.OPERATOR, 9.0) == age


def test_difference_between_processes_is_completed(known):
    tell(known, Table.ENDPOINTS, [("e-2", 5, ENDPOINT)], 5, 1.0)
    items, keys = known.list_items(Table.ENDPOINTS, 3)
    assert [item.key for item in items] == ["e-2"] and set(keys) == {"e-1", "e-2"}
    whole = known.merge_items(Table.ENDPOINTS, items, ["e-1", "e-2"])
    assert {item.key for item in whole} == {"e-1", "e-2"}


def make_engine(born, version):
    return json.dumps({"service": "s", "born": born, "versions": {"m": version}}).encode()


AT_ENGINE = Address("10.0.0.1", 80)


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
    known = TableCache(PlainDecoder())
    note = EngineStatus(1, "m", 2, False, 10.0)
    if note_first:
        assert known.update_engine_status(AT_ENGINE, note) == []
    else:
        tell(known, Table.ENDPOINTS, [("e-1", 3, make_engine(1, 1))], 3, 9.0)
        assert known.update_engine_status(AT_ENGINE, note) == ["e-1"]
        assert known.endpoints["e-1"].versions == {"m": 2}
    tell(known, Table.ENDPOINTS, [("e-1", 4, make_engine(born, 1))], 4, 10.0 + waited)
    assert known.endpoints["e-1"].versions == expected


def test_engine_that_loads_serves_nothing_of_the_model(known):
    tell(known, Table.ENDPOINTS, [("e-1", 5, make_engine(1, 1))], 5, 1.0)
    known.update_engine_status(AT_ENGINE, EngineStatus(1, "m", 1, True, 2.0))
    assert known.endpoints["e-1"].versions == {}


def test_version_found_at_the_start_counts_from_the_start_of_the_process():
    known = TableCache(PlainDecoder(), started_at=1.0)
    tell(known, Table.OPERATOR, [("version/m", 5, b"2")], 5, 9.0, complete=True)
    assert known.wanted_versions["m"][0].learnt_at == 1.0
