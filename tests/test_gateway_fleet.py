"""Exchange of rosters and table changes between entries."""

from __future__ import annotations

from random import Random

import pytest
from coltsfootshift_platform.dialect import PlatformDialect
from gateway_harness import BOUNDS, NullDecoder
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from coltsfootshift.gateway.fleet import (
    ENTRIES_PER_AGENT,
    FALLBACK_ENTRIES,
    OWN_ANSWER_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    FleetObserver,
    FleetTask,
)
from coltsfootshift.gateway.nodes import MAX_RELAYED_AGE_SECONDS, GatewayEntry, NodeConfig
from coltsfootshift.gateway.roster import READER_COUNT, SILENCE_TIMEOUT_SECONDS, Roster
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer, TableCache
from coltsfootshift.ids import FailureDomain, InstanceId, Role
from coltsfootshift.messages import (
    EntryList,
    EntryRow,
    Hello,
    TableChanges,
    TableChangesRequest,
    TableItem,
    TableRevision,
    TableRevisions,
)
from coltsfootshift.settings import Address


class Observer(FleetObserver):
    reads = False

    def reads_table(self, table):
        return self.reads

    def tables_changed(self):
        pass

    def roster_changed(self):
        pass

    def engine_status_received(self, notice):
        pass


class Stream:
    """A stream to a peer that records the messages sent on it."""

    transit_delay = 0.0

    def __init__(self, incarnation="1", peer_id="entry-2", role=Role.ENTRY):
        self.sent = []
        self.aborted = False
        self.peer_incarnation = incarnation
        self.peer_id = InstanceId(peer_id)
        self.peer_role = role.value

    def send(self, message):
        self.sent.append(message)

    def set_needed(self, needed):
        pass

    def abort(self, reason):
        self.aborted = True

    def count_requests(self):
        return sum(isinstance(message, TableChangesRequest) for message in self.sent)


class Context:
    def __init__(self, clock, region="north"):
        self.reactor = clock
        self._region = region

    def make_hello(self, purpose):
        role = Role.AGENT.value
        return Hello("agent-1", "1", role, purpose.value, "", self._region, "a", 0.0)


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


@pytest.mark.parametrize("lost", ["stream", "answer", None])
def test_catalogue_is_asked_of_one_peer_at_a_time(fleet, clock, lost):
    """A large catalogue that every peer sends at once fills the link and delays requests on it.

    Another peer is asked once the first one is lost or has not answered in time.
    """
    first, second = Stream(peer_id="peer-1"), Stream(peer_id="peer-2")
    for stream in (first, second):
        fleet.stream_opened(stream)
        fleet.stream_received(stream, TABLE_REVISIONS)
    assert (first.count_requests(), second.count_requests()) == (1, 0)
    if lost == "stream":
        fleet.stream_closed(first, "lost")
    elif lost == "answer":
        clock.advance(REQUEST_TIMEOUT_SECONDS)
    fleet.stream_received(second, TABLE_REVISIONS)
    assert second.count_requests() == (0 if lost is None else 1)


def test_leaving_endpoint_is_asked_of_every_peer(fleet):
    """Changes of endpoints are small and urgent; a peer that just failed must not delay them."""
    revisions = TableRevisions([TableRevision(Table.ENDPOINTS.value, 5, 0.1)], 0.0)
    streams = [Stream(peer_id="peer-1"), Stream(peer_id="peer-2")]
    for stream in streams:
        fleet.stream_opened(stream)
        fleet.stream_received(stream, revisions)
    assert [stream.count_requests() for stream in streams] == [1, 1]


@pytest.mark.parametrize(
    ("reads", "confirmed_for", "asked"),
    [(True, 0.5, 0), (True, OWN_ANSWER_SECONDS, 1), (False, 0.5, 1)],
    ids=["its own answer is on its way", "no answer came", "it does not read the table"],
)
def test_entry_that_reads_a_table_itself_waits_for_its_answer(
    fleet, clock, reads, confirmed_for, asked
):
    """Peers are asked for what the store does not send; both would double the load of the link."""
    fleet._observer.reads = reads
    fleet._tables.apply(TableAnswer(Table.OPERATOR, (), 4, True, 0.0), 0.0)
    clock.advance(confirmed_for)
    stream = Stream()
    fleet.stream_opened(stream)
    fleet.stream_received(stream, TABLE_REVISIONS)
    assert stream.count_requests() == asked


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
    stream.transit_delay = waited
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


@pytest.mark.parametrize(
    ("region", "near"),
    [("north", 2), ("south", 1), ("west", 0)],
    ids=["enough entries in its region", "one in its region", "none in its region"],
)
def test_agent_prefers_entries_of_its_region(clock, region, near):
    """Agents that take a large catalogue from another region fill the link between the regions."""
    roster = Roster(None)
    rows = []
    for number in range(9):
        place = "south" if number == 4 else "north"
        rows.append(EntryRow(f"x-{number}", 1, "10.0.0.1", number, 2, place, "a", True, False))
    roster.merge(rows, 0.0)
    context = Context(clock, region)
    fleet = FleetTask(context, TableCache(NullDecoder()), roster, [], None, Observer(), Random(1))
    dialled = []
    fleet._dialer.set_targets = lambda targets: dialled.extend(targets.values())
    fleet._choose_peers()
    assert len(dialled) == ENTRIES_PER_AGENT
    assert sum(rows[address.port].region == region for address in dialled) == near


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
        (False, Table.OPERATOR, 0.1, True),
    ],
    ids=["reader", "told by others", "told for too long", "operator's"],
)
def test_entry_reads_what_others_do_not_confirm(reader, table, age, asked):
    clock = MemoryReactorClock()
    name = next(name for name in NAMES if (name in list_readers()) is reader)
    address = Address("10.0.0.1", 1)
    config = NodeConfig(InstanceId(name), address, "north", FailureDomain("a"), (), 8.0, 3)
    entry = GatewayEntry(clock, config, NullDecoder(), PlatformDialect(), address, BOUNDS)
    entry.roster.merge([make_row(other) for other in NAMES], 0.0)
    clock.advance(10.0)
    confirmed_at = clock.seconds() - age
    entry.tables.apply(TableAnswer(table, (), 7, True, confirmed_at), clock.seconds())
    assert entry.choose_start_revision(table) == (7 if asked else None)
