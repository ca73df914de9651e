"""Exchange of rosters and table changes between entries."""

from __future__ import annotations

from math import inf
from random import Random

import msgspec
import pytest
from coltsfootshift_platform.dialect import PlatformDialect
from fleet_harness import Context, Observer, Stream
from gateway_harness import BOUNDS, NullDecoder
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.controllers.quarantine import Standing
from coltsfootshift.gateway.beliefs import BeliefAnswer
from coltsfootshift.gateway.crashes import (
    CRASHES_TO_QUARANTINE,
    SURVIVAL_MEMORY_SECONDS,
    Suspect,
)
from coltsfootshift.gateway.endpoint_list import ENGINE_STATUS_TTL_SECONDS
from coltsfootshift.gateway.entry_node import (
    MAX_FIRST_RELAYED_AGE_SECONDS,
    MAX_RELAYED_AGE_SECONDS,
    STARTUP_CONTACT_SECONDS,
    STARTUP_PEER_SECONDS,
    GatewayEntry,
)
from coltsfootshift.gateway.fleet import (
    ENDPOINTS_REQUEST_TIMEOUT_SECONDS,
    ENTRIES_PER_AGENT,
    FALLBACK_ENTRIES,
    NEAR_ANSWER_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    STORE_ANSWER_SECONDS,
    FleetTask,
)
from coltsfootshift.gateway.model import EndpointRecord
from coltsfootshift.gateway.nodes import PEER_TIMING, NodeConfig
from coltsfootshift.gateway.roster import READER_COUNT, SILENCE_TIMEOUT_SECONDS, Roster
from coltsfootshift.gateway.table_cache import (
    Item,
    Table,
    TableAnswer,
    TableCache,
    TablePosition,
)
from coltsfootshift.ids import FailureDomain, InstanceId, Role, ServiceName, SuspectId
from coltsfootshift.keys import KeyRing
from coltsfootshift.messages import (
    EndpointLimitReport,
    EndpointLimitRow,
    EngineNotice,
    EntryList,
    EntryRow,
    Hello,
    SuspicionReport,
    TableChanges,
    TableChangesRequest,
    TableItem,
    TableRevision,
    TableRevisions,
)
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address
from coltsfootshift.streams import StreamContext

SPREAD_SECONDS = 0.3  # from the first entry that has a change to all that hear of it


def make_row(name="entry-1", sequence=1, ready=True, leaving=False, domain="a"):
    return EntryRow(name, sequence, "10.0.0.1", 1, 2, "north", domain, ready, leaving)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def fleet(clock):
    tables = TableCache(NullDecoder())
    roster = Roster(make_row())
    address = Address("10.0.0.1", 1)
    return FleetTask(Context(clock), tables, roster, [], address, Observer(), Random(1))


TABLE_REVISIONS = TableRevisions([TableRevision("operator", 5, 0.1)], 0.0)


@pytest.mark.parametrize("lost", ["stream", "answer"])
def test_difference_is_asked_for_again_when_no_answer_came(fleet, clock, lost):
    """Table changes are requested again after a lost stream or a missing response, not before."""
    first = Stream()
    fleet.stream_opened(first)
    fleet.stream_received(first, TABLE_REVISIONS)
    fleet.stream_received(first, TABLE_REVISIONS)
    assert first.count_requests() == 1
    second = first
    if lost == "stream":
        fleet.stream_closed(first, "lost")
        second = Stream()
        fleet.stream_opened(second)
    else:
        clock.advance(REQUEST_TIMEOUT_SECONDS)
    fleet.stream_received(second, TABLE_REVISIONS)
    assert second.count_requests() == (1 if lost == "stream" else 2)


@pytest.mark.parametrize(
    "revisions", [(5, 5, 5, 5), (5, 6, 7, 8)], ids=["one", "one after another"]
)
def test_change_that_all_peers_announce_is_requested_once(fleet, clock, revisions):
    """A table that all peers announce at once does not cross the network once for each of them."""
    streams = [Stream(peer_id=f"entry-{number}") for number in range(2, 2 + len(revisions))]
    for stream in streams:
        fleet.stream_opened(stream)
    for stream, revision in zip(streams, revisions, strict=True):
        rows = [TableRevision("operator", revision, 0.1), TableRevision("endpoints", 9, 0.1)]
        fleet.stream_received(stream, TableRevisions(rows, 0.0))
    assert [stream.count_requests() for stream in streams] == [2, 0, 0, 0]
    latest = max(revisions)
    item = TableItem("k", latest, b"{}")
    fleet.stream_received(streams[0], TableChanges("operator", latest, 0.0, [item], ["k"], 0.0))
    rows = [TableRevision("operator", latest + 1, 0.0)]
    fleet.stream_received(streams[1], TableRevisions(rows, 0.0))
    assert streams[1].count_requests() == 1


@pytest.mark.parametrize("closed", [False, True], ids=["open", "closed"])
def test_change_announced_during_a_request_is_requested_after_its_answer(fleet, closed):
    """A small change does not wait for the next announcement because a large one was on its way."""
    first, second = Stream(), Stream(peer_id="entry-3")
    for stream, revision in ((first, 5), (second, 6)):
        fleet.stream_opened(stream)
        rows = [TableRevision("operator", revision, 0.1)]
        fleet.stream_received(stream, TableRevisions(rows, 0.0))
    assert (first.count_requests(), second.count_requests()) == (1, 0)
    if closed:
        fleet.stream_closed(second, "lost")
    item = TableItem("k", 5, b"{}")
    fleet.stream_received(first, TableChanges("operator", 5, 0.0, [item], ["k"], 0.0))
    assert (first.count_requests(), second.count_requests()) == (1, 0 if closed else 1)


@pytest.mark.parametrize(
    ("table", "timeout"),
    [
        (Table.OPERATOR, REQUEST_TIMEOUT_SECONDS),
        (Table.ENDPOINTS, ENDPOINTS_REQUEST_TIMEOUT_SECONDS),
    ],
)
@pytest.mark.parametrize("lost", ["stream", "answer"])
def test_change_is_requested_from_another_peer_when_the_first_is_lost(
    fleet, clock, table, timeout, lost
):
    report = TableRevisions([TableRevision(table.value, 5, 0.1)], 0.0)
    first, second = Stream(), Stream(peer_id="entry-3")
    fleet.stream_opened(first)
    fleet.stream_opened(second)
    fleet.stream_received(first, report)
    if lost == "stream":
        fleet.stream_closed(first, "lost")
    else:
        clock.advance(timeout)
    fleet.stream_received(second, report)
    assert (first.count_requests(), second.count_requests()) == (1, 1)


@pytest.mark.parametrize(
    ("reads", "answered", "requests"),
    [(False, False, [1, 1]), (True, False, [0, 1]), (True, True, [0, 0])],
    ids=["reads nothing", "store does not answer", "store answers"],
)
def test_change_that_the_store_sends_is_not_requested_as_well(
    fleet, clock, reads, answered, requests
):
    """An entry that reads a table asks its peers only if the store's answer does not come."""
    fleet._observer = Observer(reads)
    stream = Stream()
    fleet.stream_opened(stream)
    seen = []
    for revision in (5, 6):
        rows = [TableRevision("operator", revision, 0.1)]
        fleet.stream_received(stream, TableRevisions(rows, 0.0))
        seen.append(stream.count_requests())
        if answered:
            answer = TableAnswer(Table.OPERATOR, (), revision, False, clock.seconds())
            fleet._tables.apply(answer, clock.seconds())
        clock.advance(STORE_ANSWER_SECONDS)
    assert seen == requests


class _Reader(Observer):
    """Reads the tables itself; `expects` tells whether the store is likely to answer soon."""

    def __init__(self, expects):
        super().__init__(True)
        self.expects = expects

    def expects_answer(self, table):
        return self.expects


@pytest.mark.parametrize("table", list(Table))
@pytest.mark.parametrize(
    ("observer", "near_peer", "seconds"),
    [
        (_Reader(True), True, SPREAD_SECONDS),
        (_Reader(False), True, 0.0),
        (Observer(), False, SPREAD_SECONDS),
    ],
    ids=["own read hangs", "store is lost", "nobody near asks"],
)
def test_change_that_is_announced_once_is_requested_in_time(
    fleet, clock, table, observer, near_peer, seconds
):
    """The end of the wait for another answer was noticed with the next announcement only."""
    fleet._roster.merge([make_row(f"other-{number}") for number in range(30)], 0.0)
    fleet._observer = observer
    stream = Stream()
    stream.peer_is_near = near_peer
    fleet.stream_opened(stream)
    report = TableRevisions([TableRevision(table.value, 5, 0.1)], 0.0)
    fleet.stream_received(stream, report)
    clock.advance(seconds)
    assert stream.count_requests() == 1


@pytest.mark.parametrize(
    ("table", "timeout"),
    [
        (Table.OPERATOR, REQUEST_TIMEOUT_SECONDS),
        (Table.ENDPOINTS, ENDPOINTS_REQUEST_TIMEOUT_SECONDS),
    ],
)
@pytest.mark.parametrize("lost", ["stream", "answer"])
def test_request_without_an_answer_goes_to_another_peer_that_announced_it(
    fleet, clock, table, timeout, lost
):
    """The end of the time for an answer was noticed with the next announcement only."""
    report = TableRevisions([TableRevision(table.value, 5, 0.1)], 0.0)
    streams = [Stream(), Stream(peer_id="entry-3")]
    for stream in streams:
        fleet.stream_opened(stream)
    for stream in streams:
        fleet.stream_received(stream, report)
    assert [stream.count_requests() for stream in streams] == [1, 0]
    if lost == "stream":
        fleet.stream_closed(streams[0], "lost")
    else:
        clock.advance(timeout)
    assert [stream.count_requests() for stream in streams] == [1, 1]
    answer = TableAnswer(table, (), 5, False, clock.seconds())
    fleet._tables.apply(answer, clock.seconds())
    clock.advance(timeout)
    assert [stream.count_requests() for stream in streams] == [1, 1]


@pytest.mark.parametrize(("incarnation", "aborted"), [("1", False), ("2", True)])
def test_second_stream_of_a_peer_replaces_only_an_older_start(fleet, incarnation, aborted):
    """A stream of another incarnation aborts the earlier one.

    Streams of the same incarnation, which both ends have dialled, coexist.
    """
    first, second = Stream(), Stream(incarnation)
    fleet.stream_opened(first)
    fleet.stream_opened(second)
    assert first.aborted is aborted
    fleet.stream_closed(second, "lost")
    fleet.announce()
    assert aborted or len(first.sent) == 4


@pytest.mark.parametrize(("waited", "age"), [(0.0, 0.5), (6.0, 6.5)], ids=["prompt", "late"])
def test_confirmation_that_waited_on_its_way_counts_as_old(fleet, clock, waited, age):
    """The transit delay of a message adds to the age of the confirmation that it carries."""
    stream = Stream()
    fleet.stream_opened(stream)
    clock.advance(20.0)
    stream.max_transit_seconds = waited
    item = TableItem("k", 5, b"{}")
    changes = TableChanges("operator", 5, 0.5, [item], ["k"], 0.0)
    fleet.stream_received(stream, changes)
    assert fleet._tables.measure_age(Table.OPERATOR, clock.seconds()) == pytest.approx(age)


def test_answer_holds_what_changed_and_all_keys(fleet):
    items = (Item("a", 1, b"1"), Item("b", 4, b"2"))
    fleet._tables.apply(TableAnswer(Table.OPERATOR, items, 4, True, 0.0), 0.0)
    stream = Stream()
    fleet.stream_opened(stream)
    fleet.stream_received(stream, TableChangesRequest("operator", 2))
    changes = stream.sent[-1]
    assert [item.key for item in changes.items] == ["b"] and changes.keys == ["a", "b"]


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([make_row("x", 1)], ["entry-1", "x"]),
        ([make_row("x", 1), make_row("x", 2, leaving=True)], ["entry-1"]),
        ([make_row("x", 2, ready=False), make_row("x", 1)], ["entry-1"]),
    ],
    ids=["live", "leaving", "an older row comes late"],
)
def test_directory_names_entries_that_take_callers(rows, expected):
    roster = Roster(make_row())
    for row in rows:
        roster.merge([row], 1.0)
    listed = [r.instance for r in roster.list_rows() if r.ready and not r.leaving]
    assert listed == expected
    assert len(roster.list_caller_addresses("a", "north", Random(1))) == len(expected)


def test_silent_entry_is_forgotten():
    roster = Roster(make_row())
    roster.merge([make_row("x", 1)], 1.0)
    assert roster.remove_silent(1.0 + SILENCE_TIMEOUT_SECONDS) == []
    assert roster.remove_silent(1.1 + SILENCE_TIMEOUT_SECONDS) == ["x"]


@pytest.mark.parametrize(("role", "others"), [(Role.AGENT, FALLBACK_ENTRIES), (Role.ENTRY, 0)])
def test_agents_are_told_of_other_entries_that_live(fleet, role, others):
    fleet._roster.merge([make_row(f"other-{number}") for number in range(9)], 0.0)
    stream = Stream(role=role)
    fleet.stream_opened(stream)
    fleet.announce()
    lists = [message for message in stream.sent if isinstance(message, EntryList)]
    assert len(lists[-1].rows) == 1 + others


@pytest.mark.parametrize(("near", "only_near"), [(3, True), (1, False)], ids=["enough", "too few"])
def test_agent_connects_to_entries_of_its_region(near, only_near):
    """Copies of table changes for agents do not cross the links between regions."""
    hello = Hello("agent-1", "1", "agent", "entries", "", "north", "a", 0.0)
    reactor = MemoryReactorClock()
    keys = KeyRing.make("secret")
    context = StreamContext(reactor, PEER_TIMING, Metrics(), lambda purpose: hello, keys)
    tables = TableCache(NullDecoder())
    seeds = [Address("10.2.0.1", 1), Address("10.2.0.2", 1)]
    fleet = FleetTask(context, tables, Roster(None), seeds, None, Observer(), Random(1))
    fleet.start()
    assert len(reactor.tcpClients) == len(seeds)
    rows = [make_region_row("south", number) for number in range(1, 9)]
    rows += [make_region_row("north", number) for number in range(1, 1 + near)]
    fleet.stream_received(Stream(), EntryList(rows))
    assert len(fleet._dialer.targets) == ENTRIES_PER_AGENT
    if only_near:
        assert all(target.startswith("10.1.") for target in fleet._dialer.targets)


def test_agent_opens_no_stream_to_an_entry_that_it_no_longer_wants():
    """A connection in progress, across regions, must not become a stream after it was given up."""
    hello = Hello("agent-1", "1", "agent", "entries", "", "north", "a", 0.0)
    reactor = MemoryReactorClock()
    keys = KeyRing.make("secret")
    context = StreamContext(reactor, PEER_TIMING, Metrics(), lambda purpose: hello, keys)
    tables = TableCache(NullDecoder())
    seeds = [Address("10.2.0.1", 1), Address("10.2.0.2", 1)]
    fleet = FleetTask(context, tables, Roster(None), seeds, None, Observer(), Random(1))
    fleet.start()
    dials = [client[2] for client in reactor.tcpClients]
    rows = [make_region_row("north", number) for number in range(1, 1 + ENTRIES_PER_AGENT)]
    fleet.stream_received(Stream(), EntryList(rows))
    assert [dial.buildProtocol(None) for dial in dials] == [None, None]
    assert reactor.tcpClients[-1][2].buildProtocol(None) is not None


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("listens_after", [0.3, 0.6, 2.0])
def test_agent_that_starts_first_connects_soon_after_an_entry_listens(seed, listens_after):
    """Load pattern: all processes were killed and start again; agents are ready before entries."""
    hello = Hello("agent-1", "1", "agent", "entries", "", "north", "a", 0.0)
    reactor = MemoryReactorClock()
    context = StreamContext(
        reactor, PEER_TIMING, Metrics(), lambda purpose: hello, KeyRing.make("secret")
    )
    tables = TableCache(NullDecoder())
    seeds = [Address("10.1.0.1", 1)]
    fleet = FleetTask(context, tables, Roster(None), seeds, None, Observer(), Random(seed))
    fleet.start()
    dialled = 0
    while reactor.seconds() < listens_after:
        if dialled < len(reactor.tcpClients):
            dialled += 1
            factory = reactor.tcpClients[-1][2]
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        reactor.advance(0.01)
    while dialled == len(reactor.tcpClients):
        reactor.advance(0.01)
    assert reactor.seconds() - listens_after <= 0.4


def make_region_row(region, number):
    host = f"10.{1 if region == 'north' else 2}.0.{number}"
    return EntryRow(f"{region}-{number}", 1, host, 1, 2, region, region, True, False)


NAMES = [f"entry-{number}" for number in range(16)]


def list_readers(leaving=()):
    readers = []
    for name in NAMES:
        roster = Roster(make_row(name, leaving=name in leaving))
        roster.merge([make_row(other, leaving=other in leaving) for other in NAMES], 1.0)
        if roster.is_reader():
            readers.append(name)
    return readers


def test_few_entries_read_the_endpoints_for_all():
    """The readers are chosen among the live entries, so that others replace leaving readers."""
    readers = list_readers()
    assert len(readers) == READER_COUNT
    others = list_readers(leaving=readers)
    assert len(others) == READER_COUNT and not set(others) & set(readers)


@pytest.mark.parametrize(
    ("reader", "table", "age", "asked"),
    [
        (True, Table.ENDPOINTS, 0.1, True),
        (False, Table.ENDPOINTS, 0.1, False),
        (False, Table.ENDPOINTS, MAX_RELAYED_AGE_SECONDS, True),
        (False, Table.OPERATOR, 0.1, False),
        (False, Table.OPERATOR, MAX_RELAYED_AGE_SECONDS, True),
    ],
    ids=["reader", "told by others", "told for too long", "operator's", "operator's for too long"],
)
def test_entry_reads_what_others_do_not_confirm(reader, table, age, asked):
    clock = MemoryReactorClock()
    name = next(name for name in NAMES if (name in list_readers()) is reader)
    entry = make_entry(clock, name)
    entry.roster.merge([make_row(other) for other in NAMES], 0.0)
    clock.advance(10.0)
    confirmed_at = clock.seconds() - age
    entry.tables.apply(TableAnswer(table, (), 7, True, confirmed_at), clock.seconds())
    assert entry.choose_start(table) == (TablePosition(0, 7) if asked else None)


@pytest.mark.parametrize(
    ("distances", "changes", "readers"),
    [
        ({"a": 9.8, "b": 4.2, "c": 9.7, "d": 4.1}, {}, {"b", "d"}),
        ({"a": 9.8, "b": 4.2, "c": 9.7, "d": 4.1}, {"d": {"store_ms": None}}, {"b", "c"}),
        ({"a": 9.8, "b": 4.2, "c": 9.7, "d": 4.1}, {"b": {"leaving": True}}, {"c", "d"}),
        ({"a": None, "b": None, "c": 9.7, "d": None}, {}, {"c", None}),
        ({"a": 4.2}, {}, {"a"}),
    ],
    ids=["near the store", "the store fails one", "one leaves", "one knows the store", "alone"],
)
def test_entries_that_the_store_answers_soonest_read_the_catalogue(distances, changes, readers):
    """Each entry read each catalogue as a whole from the store, most of them across regions."""
    rows = {}
    for name, distance in distances.items():
        row = msgspec.structs.replace(make_row(name), store_ms=distance)
        rows[name] = msgspec.structs.replace(row, **changes.get(name, {}))
    chosen = set()
    for name, row in rows.items():
        roster = Roster(row)
        roster.merge(rows.values(), 1.0)
        if roster.is_catalogue_reader():
            chosen.add(name)
    assert len(chosen) == len(readers) and chosen >= readers - {None}


@pytest.mark.parametrize(
    ("age", "first", "others"),
    [
        (MAX_FIRST_RELAYED_AGE_SECONDS - 0.1, False, False),
        (MAX_FIRST_RELAYED_AGE_SECONDS, True, False),
        (MAX_RELAYED_AGE_SECONDS, True, True),
    ],
    ids=["confirmed", "for a while not", "for long not"],
)
def test_one_entry_of_a_region_reads_the_catalogue_before_the_others(age, first, others):
    """When confirmations come late on a full link, not all entries behind it read over it."""
    clock = MemoryReactorClock()
    asked = {}
    for name in NAMES[:4]:
        entry = make_entry(clock, name)
        entry.roster.merge([make_row(other) for other in NAMES[:4]], 0.0)
        nearer = [make_row(f"near-{number}", domain="b") for number in range(2)]
        entry.roster.merge([msgspec.structs.replace(row, store_ms=1.0) for row in nearer], 0.0)
        for row in nearer:
            entry.roster._rows[row.instance] = msgspec.structs.replace(
                entry.roster._rows[row.instance], region="south"
            )
        clock.advance(10.0)
        entry.tables.apply(TableAnswer(Table.OPERATOR, (), 7, True, clock.seconds() - age), 0.0)
        reads = entry.choose_start(Table.OPERATOR) is not None
        asked.setdefault(entry.roster.is_first_of_region(), []).append(reads)
    assert asked == {True: [first], False: [others] * 3}


@pytest.mark.parametrize(
    ("told", "waits"),
    [(True, STARTUP_PEER_SECONDS), (False, STARTUP_CONTACT_SECONDS)],
    ids=["a peer has one", "nobody has one"],
)
def test_entry_that_starts_asks_its_peers_for_the_catalogue_first(told, waits):
    """When all entries have restarted, none waits for the others."""
    clock = MemoryReactorClock()
    entry = make_entry(clock, "entry-0")
    if told:
        stream = Stream()
        entry.fleet.stream_opened(stream)
        entry.fleet.stream_received(stream, TABLE_REVISIONS)
    assert entry.choose_start(Table.ENDPOINTS) is not None
    clock.advance(waits - 0.01)
    assert entry.choose_start(Table.OPERATOR) is None
    clock.advance(0.02)
    assert entry.choose_start(Table.OPERATOR) is not None


@pytest.mark.parametrize(
    ("contacts", "expected"),
    [
        ([(True, 0.0098), (True, 0.0042), (True, 0.3)], 4.2),
        ([(True, 0.0042), (False, inf)], None),
        ([(True, 0.0042), (False, inf), (True, inf)], 4.2),
        ([(False, inf)], None),
    ],
    ids=["shortest", "lost", "regained", "never reached"],
)
def test_entry_announces_how_soon_the_store_answers_it(contacts, expected):
    entry = make_entry(MemoryReactorClock(), "entry-0")
    for reached, seconds in contacts:
        entry.record_contact(reached, seconds)
    assert entry.roster.own.store_ms == expected


@pytest.mark.parametrize(
    ("near_peer", "first", "waited", "requests"),
    [
        (True, False, 0.0, 1),
        (False, True, 0.0, 1),
        (False, False, 0.0, 0),
        (False, False, NEAR_ANSWER_SECONDS, 1),
    ],
    ids=["from the own region", "first of its region", "not the first", "nobody near"],
)
def test_one_entry_of_a_region_requests_a_change_across_regions(
    fleet, clock, near_peer, first, waited, requests
):
    """Each entry of a region requested a copy of each change over the same link."""
    others = [make_row(f"other-{number}") for number in range(30)]
    fleet._roster.merge(others, 0.0)
    if first:
        for name in list(fleet._roster._rows):
            del fleet._roster._rows[name]
    assert fleet._roster.is_first_of_region() is first
    stream = Stream()
    stream.peer_is_near = near_peer
    fleet.stream_opened(stream)
    fleet.stream_received(stream, TABLE_REVISIONS)
    clock.advance(waited)
    if waited:
        fleet.stream_received(stream, TABLE_REVISIONS)
    assert stream.count_requests() == requests


@pytest.mark.parametrize(
    ("steps", "live"),
    [([0.5] * 12, 1), ([6.0], 2)],
    ids=["the other fell silent", "this entry stood still"],
)
def test_entry_that_stood_still_does_not_count_the_others_as_silent(fleet, clock, steps, live):
    """It would take the whole retry budget, and name itself alone in the directory."""
    fleet._roster.merge([make_row("other")], 0.0)
    fleet.start()
    clock.pump(steps)
    assert fleet._roster.count_live() == live


@pytest.mark.parametrize(
    ("reads", "near", "sent"),
    [(False, True, 8), (False, False, 4), (True, False, 8)],
    ids=["own region", "another region", "reader of the store"],
)
def test_peers_in_other_regions_are_told_less_often_that_nothing_changed(clock, reads, near, sent):
    """Load pattern: all entries tell all others, most of them over the links between regions."""
    address = Address("10.0.0.1", 1)
    observer = Observer(reads=reads)
    tables = TableCache(NullDecoder())
    fleet = FleetTask(Context(clock), tables, Roster(make_row()), [], address, observer, Random(1))
    stream = Stream()
    stream.peer_is_near = near
    fleet.stream_opened(stream)
    stream.sent.clear()
    fleet.start()
    clock.pump([0.5] * 7)
    rows = [message.rows[0] for message in stream.sent if isinstance(message, EntryList)]
    assert len(rows) == sent
    assert [row.sequence for row in rows] == sorted({row.sequence for row in rows})
    fleet.announce()
    assert isinstance(stream.sent[-2], EntryList)


def test_rows_that_arrive_together_are_passed_on_together(clock, fleet):
    """Load pattern: 39 entries start at once, and each one's row changes until it is ready."""
    stream = Stream()
    fleet.stream_opened(stream)
    stream.sent.clear()
    for ready in (False, True):
        for number in range(38):
            row = make_row(f"entry-{number + 2}", 1 + ready, ready)
            fleet.stream_received(Stream(), EntryList([row]))
            clock.advance(0.001)
    clock.advance(0.1)
    lists = [message for message in stream.sent if isinstance(message, EntryList)]
    assert len(lists) == 1
    assert sorted(row.sequence for row in lists[0].rows) == [2] * 38


class BeliefObserver(Observer):
    """Knows one report; everything that it receives is news unless `known` is set."""

    def __init__(self, known=False):
        super().__init__()
        self.known = known

    def list_beliefs(self):
        return [SuspicionReport([], 1.0)]

    def belief_received(self, message, peer):
        relay = None if self.known else SuspicionReport([], 2.0)
        return BeliefAnswer(relay, reply=SuspicionReport([], 3.0))


@pytest.mark.parametrize("known", [False, True], ids=["news", "known"])
def test_what_crashes_endpoints_is_told_to_new_peers_and_passed_on(clock, known):
    """An entry that restarts or joins learns it at once, and one without a stream to the sender."""
    address = Address("10.0.0.1", 1)
    tables, roster = TableCache(NullDecoder()), Roster(make_row())
    observer = BeliefObserver(known)
    fleet = FleetTask(Context(clock), tables, roster, [], address, observer, Random(1))
    first, second = Stream(), Stream(peer_id="side-1", role=Role.AGENT)
    for stream in (first, second):
        fleet.stream_opened(stream)
        assert SuspicionReport([], 1.0) in stream.sent
    fleet.stream_received(first, SuspicionReport([], 0.0))
    assert SuspicionReport([], 3.0) in first.sent and SuspicionReport([], 2.0) not in first.sent
    assert (SuspicionReport([], 2.0) in second.sent) is not known


def make_entry(clock, name):
    address = Address("10.0.0.1", 1)
    config = NodeConfig(InstanceId(name), address, "north", FailureDomain("a"), (), 8.0, 3)
    return GatewayEntry(clock, config, NullDecoder(), PlatformDialect(), address, BOUNDS)


@pytest.mark.parametrize(("took", "counted"), [(0.2, 1.0), (0.7, 1.0), (3.5, 3.8), (None, 1.0)])
def test_process_that_starts_slowly_counts_its_start_from_its_first_line(took, counted):
    """A start of 3.5 s on a busy machine counted as one of 1 s, and a version's limit too late."""
    address = Address("10.0.0.1", 1)
    began_at = inf if took is None else 50.0 - took
    config = NodeConfig(
        InstanceId("entry-1"), address, "north", FailureDomain("a"), (), 8.0, 3, began_at
    )
    assert config.find_start(50.0) == pytest.approx(50.0 - counted)


def take_beliefs(stream):
    """Return the suspicions and limits that were sent on a stream, as they cross the network."""
    kinds = (SuspicionReport, EndpointLimitReport)
    sent = [message for message in stream.sent if isinstance(message, kinds)]
    stream.sent.clear()
    return [decode_message(encode_message(message)) for message in sent]


def test_entry_acts_on_what_another_has_seen_of_an_endpoint():
    """What one entry sees is told at once, and to an entry that starts later."""
    clock = MemoryReactorClock()
    first, second, third = (make_entry(clock, f"entry-{number}") for number in range(3))
    clock.advance(SURVIVAL_MEMORY_SECONDS)
    for number in range(20):
        other = Suspect(SuspectId(f"s/part/{number}"), b"")
        first.gateway.beliefs.record_survival((other,), 0.0, clock.seconds())
    streams = {}
    for node in (first, second):
        streams[node] = Stream(peer_id="peer")
        node.fleet.stream_opened(streams[node])
        streams[node].sent.clear()
    suspects = []
    for number in range(CRASHES_TO_QUARANTINE):
        suspects.append(Suspect(SuspectId("s/part/bad"), b"%d" % number))
        clock.advance(1.0)
        begun = [(suspects[-1],)]
        now = clock.seconds()
        first.gateway._tell(first.beliefs.record_crash(f"e-{number}", "s", begun, now))
    first.gateway.notify_peers(first.beliefs.record_limit("e-9/0", 2.5, clock.seconds()))
    for message in take_beliefs(streams[first]):
        second.fleet.stream_received(streams[second], message)
    later = Stream(peer_id="entry-2")
    second.fleet.stream_opened(later)
    for message in take_beliefs(later):
        third.fleet.stream_received(Stream(), message)
    for node in (first, second, third):
        standing = node.beliefs.crashes.find_standing(suspects, clock.seconds())
        assert standing is Standing.QUARANTINED
        assert node.gateway.beliefs.limits.get_rate("e-9/0") == 2.5


@pytest.mark.parametrize(
    ("waited", "rate"), [(0.0, None), (1.5, 2.5)], ids=["prompt report", "late report"]
)
def test_late_report_replaces_no_newer_limit(waited, rate):
    """A limit that was named 1 s ago is newer than a report that was on its way for longer."""
    clock = MemoryReactorClock()
    entry = make_entry(clock, "entry-1")
    clock.advance(10.0)
    entry.beliefs.record_limit("e-1/0", 2.5, clock.seconds() - 1.0)
    stream = Stream()
    stream.max_transit_seconds = stream.transit_delay = waited
    entry.fleet.stream_opened(stream)
    report = EndpointLimitReport([EndpointLimitRow("e-1/0", None, 0.1)], 0.0)
    entry.fleet.stream_received(stream, report)
    assert entry.beliefs.limits.get_rate("e-1/0") == rate


@pytest.mark.parametrize(
    ("waited", "version"),
    [(0.0, 2), (ENGINE_STATUS_TTL_SECONDS + 0.5, 3)],
    ids=["prompt notice", "late notice"],
)
def test_late_notice_replaces_no_record_of_the_store(waited, version):
    """A notice that was on its way for longer than it is valid says nothing of the engine now."""
    entry = make_entry(MemoryReactorClock(), "entry-1")
    address = Address("10.0.0.9", 180)
    name, service = InstanceId("m-0"), ServiceName("llm")
    record = EndpointRecord(name, service, address, FailureDomain("a"), 6, versions={"m": 3})
    entry.tables.endpoints[name] = record
    stream = Stream(role=Role.AGENT)
    stream.max_transit_seconds = stream.transit_delay = waited
    entry.fleet.stream_opened(stream)
    notice = EngineNotice(address.host, address.port, 0, "m", 2, False, 0.0)
    entry.fleet.stream_received(stream, notice)
    assert entry.tables.endpoints[name].versions == {"m": version}


@pytest.mark.parametrize("table", list(Table))
@pytest.mark.parametrize(
    ("revision", "era", "requests"),
    [(4, 0, 0), (9, 0, 1), (4, 1, 1)],
    ids=["same items", "another item", "another era"],
)
def test_later_revision_with_the_same_items_is_not_requested(
    fleet, clock, table, revision, era, requests
):
    """A request for nothing kept another one waiting while its peer did not answer."""
    own, other = fleet._tables, TableCache(NullDecoder())
    own.apply(TableAnswer(table, (Item("k", 4, b"1"),), 4, True, 0.0), 0.0)
    items = (Item("k", revision, b"1", era),)
    other.apply(TableAnswer(table, items, 9, True, 0.0, era), 0.0)
    stream = Stream()
    fleet.stream_opened(stream)
    clock.advance(3.0)
    content = other.digest_content(table)
    row = TableRevision(table.value, 9, 0.5, era, content=content)
    fleet.stream_received(stream, TableRevisions([row], 0.0))
    assert stream.count_requests() == requests
    reached = own.get_position(table) == TablePosition(era, 9)
    assert reached == (not requests)
    assert own.measure_age(table, clock.seconds()) == pytest.approx(3.0 if requests else 0.5)
