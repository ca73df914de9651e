"""The cached tables and their exchange while the store comes back from an older copy of itself."""

from __future__ import annotations

import json
from random import Random

import msgspec
import pytest
from fleet_harness import Context, Observer, Stream
from test_gateway_knowledge import PlainDecoder
from twisted.internet.task import Clock

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.gateway.endpoint_list import (
    LEASE_EXPIRY_GRACE_SECONDS,
    LEASE_SECONDS,
    MAX_COPY_AGE_SECONDS,
)
from coltsfootshift.gateway.fleet import FleetTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.table_cache import (
    REWRITE_SECONDS,
    Item,
    Table,
    TableAnswer,
    TableCache,
    TablePosition,
)
from coltsfootshift.messages import (
    EntryRow,
    TableChanges,
    TableChangesRequest,
    TableRevision,
    TableRevisions,
)
from coltsfootshift.settings import Address

WHOLE, EVENTS = True, False


def apply(tables, table, items, position, now, complete=WHOLE, confirmed_at=None):
    era, revision = position
    rows = tuple(Item(key, rev, value, era) for key, rev, value in items)
    at = now if confirmed_at is None else confirmed_at
    return tables.apply(TableAnswer(table, rows, revision, complete, at, era), now)


def make_catalogue(version):
    return ("catalogue", version, b"%d" % version)


def make_tables(version=7, revision=20):
    """Return tables with a catalogue, at a revision of the first era."""
    tables = TableCache(PlainDecoder())
    apply(tables, Table.OPERATOR, [("catalogue", revision, b"%d" % version)], (1, revision), 0.0)
    return tables


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([((2, 12), WHOLE, 6)], 7),
        ([((2, 12), WHOLE, 6), ((2, 13), EVENTS, 7)], 7),
        ([((2, 12), WHOLE, 6), ((2, 13), EVENTS, 9)], 9),
        ([((2, 12), WHOLE, 8)], 8),
        ([((2, 12), WHOLE, 6), ((3, 11), WHOLE, 5), ((3, 12), EVENTS, 9)], 9),
        ([((2, 12), WHOLE, 9), ((3, 11), WHOLE, 5)], 9),
        ([((2, 12), WHOLE, 9), ((1, 30), EVENTS, 8)], 9),
        ([((2, 30), EVENTS, 9)], 7),
        ([((2, 12), WHOLE, None)], 7),
        ([((2, 12), WHOLE, None), ((2, 13), WHOLE, None), ((2, 14), EVENTS, 9)], 9),
    ],
    ids=[
        "older copy",
        "written again",
        "replaced",
        "read after it was replaced",
        "in series",
        "in series, newest kept",
        "late answer of the former era",
        "changes above a gap",
        "copy without the item",
        "read twice without the item",
    ],
)
def test_catalogue_never_reverts_with_an_older_store(answers, expected):
    tables = make_tables()
    for now, (position, complete, version) in enumerate(answers, start=1):
        items = [] if version is None else [("catalogue", position[1], b"%d" % version)]
        apply(tables, Table.OPERATOR, items, position, float(now), complete)
    assert tables.catalogue.version == expected
    kept, keys = tables.list_items(Table.OPERATOR, TablePosition())
    assert keys == ["catalogue"] and [int(item.value) for item in kept] == [expected]


@pytest.mark.parametrize(
    ("version", "after", "confirmed"),
    [(6, 1.0, False), (6, REWRITE_SECONDS, True), (7, 1.0, True), (None, 1.0, False)],
    ids=["older copy", "never written again", "unchanged", "copy without the item"],
)
def test_store_that_lacks_the_newest_catalogue_does_not_confirm_it(version, after, confirmed):
    """Changes that this process has not seen may be missing too: a revoked key, for example."""
    tables = make_tables()
    items = [] if version is None else [("catalogue", 10, b"%d" % version)]
    apply(tables, Table.OPERATOR, items, (2, 12), 10.0)
    apply(tables, Table.OPERATOR, [], (2, 12), 10.0 + after, EVENTS)
    tables.confirm(Table.OPERATOR, TablePosition(2, 12), 10.0 + after)
    assert tables.measure_age(Table.OPERATOR, 10.0 + after) == (0.0 if confirmed else 10.0 + after)


def test_published_version_stays_wanted_with_an_older_store():
    tables = make_tables()
    apply(tables, Table.OPERATOR, [("version/m", 21, b"2")], (1, 21), 1.0, EVENTS)
    apply(tables, Table.OPERATOR, [make_catalogue(7)], (2, 12), 3.0)
    apply(tables, Table.OPERATOR, [("version/m", 13, b"1")], (2, 13), 3.5, EVENTS)
    apply(tables, Table.OPERATOR, [("version/m", 14, b"2")], (2, 14), 4.0, EVENTS)
    assert [(w.version, w.learnt_at) for w in tables.wanted_versions["m"]] == [(2, 1.0)]


def test_item_that_cannot_be_decoded_does_not_replace_a_catalogue():
    """A process that starts later must get the last valid one from its peers."""
    decoder = PlainDecoder()
    decoder.read_catalogue = lambda item: (
        None if item.value == b"?" else PlainDecoder.read_catalogue(decoder, item)
    )
    decoder.read_version = lambda item: None
    tables = TableCache(decoder)
    apply(tables, Table.OPERATOR, [make_catalogue(7)], (1, 7), 0.0)
    apply(tables, Table.OPERATOR, [("catalogue", 8, b"?")], (1, 8), 1.0, EVENTS)
    items, _ = tables.list_items(Table.OPERATOR, TablePosition())
    assert [item.value for item in items] == [b"7"]


def make_record(born=1, leaving=False, version=0):
    fields = {"service": "s", "born": born, "leaving": leaving}
    if version:
        fields["versions"] = {"m": version}
    return json.dumps(fields).encode()


NOW, LATER, GONE = 1.0, LEASE_EXPIRY_GRACE_SECONDS + 0.5, LEASE_SECONDS + 0.5


@pytest.mark.parametrize(
    ("before", "copy", "written", "expected"),
    [
        (make_record(), make_record(), None, {NOW: "ready", GONE: "ready"}),
        (make_record(leaving=True), make_record(), None, {NOW: "leaving", GONE: "leaving"}),
        (None, make_record(), None, {NOW: "gone", LATER: "gone", GONE: "ready"}),
        (None, make_record(), make_record(), {NOW: "gone", LATER: "ready"}),
        (make_record(), None, None, {NOW: "ready", LATER: "gone"}),
        (make_record(), None, make_record(), {NOW: "ready", LATER: "ready"}),
        (make_record(leaving=True), None, None, {NOW: "gone", GONE: "gone"}),
        (make_record(born=2), make_record(), None, {NOW: "ready", LATER: "gone"}),
        (make_record(born=2), make_record(), make_record(born=2), {NOW: "ready", GONE: "ready"}),
        (make_record(leaving=True), make_record(born=2), None, {NOW: "ready", GONE: "ready"}),
        (make_record(version=2), make_record(version=1), None, {NOW: "m2", LATER: "m1"}),
        (
            make_record(version=2),
            make_record(version=1),
            make_record(version=2),
            {NOW: "m2", LATER: "m2"},
        ),
    ],
    ids=[
        "unchanged",
        "was leaving",
        "was removed",
        "was removed, registers again",
        "registered since the copy",
        "registered since the copy, writes again",
        "left, unknown to the copy",
        "restarted since the copy, silent",
        "restarted since the copy, writes again",
        "restarted meanwhile",
        "other version, silent",
        "other version, writes again",
    ],
)
def test_endpoint_does_not_revert_with_an_older_store(before, copy, written, expected):
    """`expected` holds the state at times after the restore; endpoints write again after 1.5 s."""
    tables = TableCache(PlainDecoder())
    apply(tables, Table.ENDPOINTS, [("e-1", 10, make_record())], (1, 10), 0.0)
    apply(tables, Table.ENDPOINTS, [("e-1", 20, before)], (1, 20), 5.0, EVENTS)
    tables.remove_expired(5.0 + LEASE_EXPIRY_GRACE_SECONDS)
    items = [] if copy is None else [("e-1", 10, copy)]
    apply(tables, Table.ENDPOINTS, items, (2, 12), 10.0)
    seen = {}
    for after in expected:
        if written is not None and after > 1.5:
            rows = [("e-1", 13, written)]
            apply(tables, Table.ENDPOINTS, rows, (2, 13), 10.0 + 1.5, EVENTS)
        tables.remove_expired(10.0 + after)
        seen[after] = describe(tables.endpoints.get("e-1"))
    assert seen == expected


def describe(record):
    if record is None:
        return "gone"
    if record.versions:
        return f"m{record.versions['m']}"
    return "leaving" if record.leaving else "ready"


def test_endpoints_that_left_long_ago_are_forgotten():
    """What is remembered of them is bounded; no copy is that old."""
    tables = TableCache(PlainDecoder())
    for number in range(100):
        key, at = f"e-{number}", number * MAX_COPY_AGE_SECONDS / 10
        apply(tables, Table.ENDPOINTS, [(key, number + 1, make_record())], (1, number + 1), at)
    assert len(tables.endpoint_list._departed) <= 12


def make_fleet(clock, tables, reads=False):
    row = EntryRow("entry", 1, "10.0.0.1", 1, 2, "north", "a", True, False)
    address = Address("10.0.0.1", 1)
    return FleetTask(Context(clock), tables, Roster(row), [], address, Observer(reads), Random(1))


def connect(first, second):
    """Open a stream between two fleets and deliver messages until none is left."""
    streams = (Stream(peer_id="second"), Stream(peer_id="first"))
    for fleet, stream in zip((first, second), streams, strict=True):
        fleet.stream_opened(stream)
    while streams[0].sent or streams[1].sent:
        for receiver, out, back in ((second, *streams), (first, *reversed(streams))):
            messages, out.sent[:] = list(out.sent), []
            for message in messages:
                receiver.stream_received(back, decode_message(encode_message(message)))


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (((1, 20), 7), ((2, 12), 6), 7),
        (((2, 12), 7), ((2, 12), 6), 7),
        (((2, 14), 7), ((2, 12), 6), 7),
        (((1, 20), 7), ((2, 12), 9), 9),
        (((1, 20), 7), ((3, 3), 7), 7),
        (((1, 20), 7), None, 7),
    ],
    ids=[
        "one has not noticed the restore",
        "one has read only the older copy",
        "one is further",
        "written since",
        "in series",
        "one has started",
    ],
)
@pytest.mark.parametrize("turned", [False, True])
def test_peers_settle_on_the_newest_catalogue_of_all(first, second, expected, turned):
    """No process reverts to what an older copy of the store holds, whoever has read it."""
    clock = Clock()
    clock.advance(30.0)
    nodes = []
    for known in (first, second):
        tables = TableCache(PlainDecoder())
        if known is not None:
            position, version = known
            rows = [("catalogue", position[1], b"%d" % version)]
            apply(tables, Table.OPERATOR, rows, position, 30.0)
        nodes.append(make_fleet(clock, tables))
    connect(*(reversed(nodes) if turned else nodes))
    positions = [(1, 20) if known is None else known[0] for known in (first, second)]
    newest = TablePosition(*max(positions))
    for node in nodes:
        assert node._tables.catalogue.version == expected
        assert node._tables.get_position(Table.OPERATOR) == newest


def test_changes_of_a_new_era_are_sent_to_a_peer_of_the_former_one():
    """Its revision is higher, but of another history."""
    clock = Clock()
    tables = make_tables()
    apply(tables, Table.OPERATOR, [make_catalogue(8), ("version/m", 3, b"1")], (2, 12), 1.0)
    stream = Stream()
    fleet = make_fleet(clock, tables)
    fleet.stream_opened(stream)
    fleet.stream_received(stream, TableChangesRequest("operator", 20, 1))
    changes = stream.sent[-1]
    assert isinstance(changes, TableChanges) and (changes.era, changes.revision) == (2, 12)
    assert {item.key for item in changes.items} == {"catalogue", "version/m"}


class FormerRevision(msgspec.Struct, frozen=True, array_like=True):
    """A table's row of an entry that knows no eras."""

    table: str
    revision: int
    age: float


class FormerRevisions(msgspec.Struct, frozen=True, array_like=True, tag="g-state"):
    """The report of an entry that knows no eras."""

    rows: list[FormerRevision]
    sent_at: float


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (
            TableRevisions([TableRevision("operator", 5, 0.5, 2)], 1.0),
            FormerRevisions([FormerRevision("operator", 5, 0.5)], 1.0),
        ),
        (
            FormerRevisions([FormerRevision("operator", 5, 0.5)], 1.0),
            TableRevisions([TableRevision("operator", 5, 0.5)], 1.0),
        ),
    ],
    ids=["to an entry of an earlier build", "from one"],
)
def test_entries_of_two_builds_understand_each_other(sent, expected):
    data = msgspec.msgpack.encode(sent)
    assert msgspec.msgpack.decode(data, type=type(expected)) == expected
