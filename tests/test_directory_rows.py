"""The directory soon stops naming entries that have ended, and goes on naming those that run.

Entries tell each other whom they know. A row that was passed on counted as a sign of life: a
process that woke after the others had dropped an ended entry brought it back everywhere.
"""

from __future__ import annotations

from collections import deque
from random import Random

import msgspec
import pytest
from fleet_harness import Context, Observer, Stream
from gateway_harness import NullDecoder
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from coltsfootshift.gateway.fleet import FleetTask, make_entry_row
from coltsfootshift.gateway.roster import LATE_READING_SECONDS, SILENCE_TIMEOUT_SECONDS, Roster
from coltsfootshift.gateway.table_cache import TableCache
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import EntryList, EntryRow
from coltsfootshift.settings import Address

CONTACT_SECONDS = 3.0  # the shortest that a deployment asks for
# An entry that has ended may be named for so long, by those that have run on meanwhile.
NAMED_SECONDS = CONTACT_SECONDS + 3.0
STEP_SECONDS = 0.25
CALM_SECONDS = 4.0
START_MS = 1_000_000


class Link(Stream):
    """One end of a stream between two processes; what is sent waits in the other's inbox."""

    def __init__(self, source, target):
        super().__init__(peer_id=target.name)
        self.source, self.target, self.back = source, target, None

    def send(self, message):
        if self.target.streams.get(self.source.name) is self.back:
            self.target.inbox.append((self.back, message))

    def abort(self, reason):
        raise AssertionError(reason)


class NoDialer:
    def list_connected(self):
        return frozenset()

    def set_targets(self, targets):
        pass


class Process:
    """An entry's roster and fleet task with their own clock, which stands still in a freeze."""

    def __init__(self, number, started_at):
        self.name = InstanceId(f"entry-{number}")
        self.clock = Clock()
        address = Address(f"10.0.0.{number}", 1)
        callers = Address(address.host, 2)
        started_ms = START_MS + int(started_at * 1000)
        row = make_entry_row(self.name, started_ms, address, callers, "north", "a")
        self.roster = Roster(msgspec.structs.replace(row, ready=True))
        tables = TableCache(NullDecoder())
        self.fleet = FleetTask(
            Context(self.clock), tables, self.roster, [], address, Observer(), Random(number)
        )
        self.fleet._dialer = NoDialer()
        self.streams = {}
        self.inbox = deque()
        self.frozen_until = self.ran_since = started_at
        self.missed_seconds = 0.0

    def list_named(self):
        hosts = [row.host for row in self.roster.list_caller_addresses("a", "north", Random(1))]
        return {f"entry-{host.rpartition('.')[2]}" for host in hosts}

    def read(self):
        while self.inbox:
            stream, message = self.inbox.popleft()
            if self.streams.get(stream.peer_id) is stream:
                self.fleet.stream_received(stream, message)


class SmallFleet:
    """Some entries that are all connected, with faults that a test brings about.

    With `reads_first` a process reads before its timers run, as a busy one does when it wakes.
    """

    reads_first = False

    def __init__(self, count):
        self.now = 0.0
        self.running = {}
        self.ended_at = {}
        for number in range(count):
            self.start(number)

    def start(self, number):
        name = f"entry-{number}"
        if name in self.running:
            return
        self.ended_at.pop(name, None)
        process = self.running[name] = Process(number, self.now)
        process.fleet.start()
        for other in list(self.running.values()):
            if other is not process:
                self.connect(process, other)

    def kill(self, number):
        process = self.running.pop(f"entry-{number}", None)
        if process is None:
            return
        self.ended_at[process.name] = self.now
        for other in list(process.streams):
            self.disconnect(process, self.running[other])

    def freeze(self, number, seconds):
        process = self.running.get(f"entry-{number}")
        if process is not None:
            process.frozen_until = self.now + seconds

    def change(self, number):
        """Let an entry announce a change of its row, which the others pass on."""
        process = self.running.get(f"entry-{number}")
        if process is not None and process.frozen_until <= self.now:
            own = process.roster.own
            process.roster.own = msgspec.structs.replace(own, store_ms=(own.store_ms or 0) + 1)
            process.fleet.announce()

    def reconnect(self, number, other):
        """Replace the stream of two entries, upon which each sends the other all that it knows."""
        one, two = (self.running.get(f"entry-{n}") for n in (number, other))
        if one is None or two is None or one is two:
            return
        if any(process.frozen_until > self.now for process in (one, two)):
            return
        self.disconnect(one, two)
        self.connect(one, two)

    def connect(self, one, two):
        ends = Link(one, two), Link(two, one)
        ends[0].back, ends[1].back = ends[1], ends[0]
        one.streams[two.name], two.streams[one.name] = ends
        one.fleet.stream_opened(ends[0])
        two.fleet.stream_opened(ends[1])

    def disconnect(self, one, two):
        for process, peer in ((one, two), (two, one)):
            stream = process.streams.pop(peer.name, None)
            if stream is not None:
                process.fleet.stream_closed(stream, "replaced")

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for process in list(self.running.values()):
                process.missed_seconds += STEP_SECONDS
                if process.frozen_until > self.now:
                    process.ran_since = None
                    continue
                if process.ran_since is None:
                    process.ran_since = self.now
                missed, process.missed_seconds = process.missed_seconds, 0.0
                if self.reads_first:
                    process.clock.rightNow += missed
                    process.read()
                    process.clock.advance(0)
                else:
                    process.clock.advance(missed)
                    process.read()
            self.check_named()

    def check_named(self):
        for process in self.running.values():
            if process.ran_since is None or self.now - process.ran_since < CONTACT_SECONDS:
                continue
            for name in process.list_named() & set(self.ended_at):
                assert self.now - self.ended_at[name] <= NAMED_SECONDS, (process.name, name)


@pytest.fixture(scope="module", autouse=True, params=[False, True], ids=["timers", "reads"])
def order_of_a_turn(request):
    SmallFleet.reads_first = request.param
    yield
    SmallFleet.reads_first = False


def test_process_that_wakes_does_not_bring_an_ended_entry_back():
    """All others named the ended entry again for three seconds after one that was frozen woke."""
    fleet = SmallFleet(4)
    fleet.run(2.0)
    fleet.freeze(1, 12.0)
    fleet.kill(0)
    fleet.run(12.0 + STEP_SECONDS)
    fleet.reconnect(1, 2)
    fleet.start(4)
    fleet.run(CALM_SECONDS)
    assert fleet.running["entry-4"].list_named() == {f"entry-{n}" for n in (1, 2, 3, 4)}


def test_late_announcement_that_is_passed_on_does_not_bring_an_ended_entry_back():
    """The process that wakes reads what the ended entry told it just before, as if it were new."""
    fleet = SmallFleet(4)
    fleet.run(2.0)
    fleet.freeze(1, 12.0)
    fleet.run(0.5)
    fleet.change(0)
    fleet.kill(0)
    process = fleet.running["entry-1"]
    late = EntryRow("entry-0", 2 * START_MS, "10.0.0.0", 1, 2, "north", "a", True, False, 9.0)
    process.inbox.append((process.streams["entry-2"], EntryList([late])))
    fleet.run(12.0 + CALM_SECONDS)


@pytest.mark.parametrize("passes_on", [1, 2, 3])
def test_reconnecting_entries_do_not_keep_an_ended_one_alive(passes_on):
    """Each told the next of it just after that one had dropped it."""
    fleet = SmallFleet(4)
    fleet.run(2.0)
    fleet.kill(0)
    for step in range(48):
        fleet.reconnect(1 + step % 3, 1 + (step + passes_on) % 3)
        fleet.run(STEP_SECONDS)
    assert all("entry-0" not in process.list_named() for process in fleet.running.values())


def test_entry_that_restarts_under_its_name_is_named_again():
    fleet = SmallFleet(3)
    fleet.run(2.0)
    fleet.kill(0)
    fleet.run(8.0)
    fleet.start(0)
    fleet.run(1.0)
    assert all(len(process.list_named()) == 3 for process in fleet.running.values())


numbers = st.integers(0, 4)
events = st.one_of(
    st.tuples(st.just("kill"), numbers),
    st.tuples(st.just("start"), numbers),
    st.tuples(st.just("change"), numbers),
    st.tuples(st.just("reconnect"), numbers, numbers),
    st.tuples(st.just("freeze"), numbers, st.sampled_from([0.5, 1.5, 3.0, 9.0])),
    st.tuples(st.just("run"), st.sampled_from([0.25, 0.5, 1.0, 2.5, 6.5])),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(events, max_size=25))
def test_any_order_of_faults(steps):
    """No ended entry is named for long, and in the end all that run name each other."""
    fleet = SmallFleet(5)
    fleet.run(1.0)
    for name, *arguments in steps:
        getattr(fleet, name)(*arguments)
        fleet.run(STEP_SECONDS)
    fleet.run(9.0 + CALM_SECONDS)
    for process in fleet.running.values():
        assert process.list_named() == set(fleet.running)


@pytest.mark.parametrize(
    "teller, transit, named",
    [
        ("entry-9", 0.0, True),
        ("entry-9", 1.0, True),
        ("entry-9", 9.0, False),
        ("entry-9", float("inf"), False),
        ("entry-9", float("nan"), True),
        ("x", 9.0, True),
    ],
)
def test_what_others_say_ages_on_its_way(teller, transit, named):
    """What an entry says of itself does not: it lives, however slow its link is."""
    process = Process(1, 0.0)
    stream = Stream(peer_id=teller)
    stream.transit_delay = transit
    process.fleet.stream_received(stream, EntryList([make_row(1)]))
    assert any(row.instance == "x" for row in process.roster.list_rows()) == named


def make_row(sequence=1, leaving=False):
    return EntryRow("x", sequence, "10.0.0.1", 1, 2, "north", "a", True, leaving)


# rows with their ages in ms, in order of arrival at time 0; whether the entry is named at 0, at 2 s
ROWS = [
    ([(make_row(1), 0)], True, True),
    ([(make_row(1), 2000)], True, False),
    ([(make_row(1), 2600)], False, False),
    ([(make_row(1), 2000), (make_row(2), 0)], True, True),
    ([(make_row(1), 0), (make_row(2), 2400)], True, True),
    ([(make_row(2, leaving=True), 0), (make_row(1), 0)], False, False),
    ([(make_row(1), 0), (make_row(2, leaving=True), 9000)], False, False),
    ([(make_row(1), 2600), (make_row(1), 0)], True, True),
]


@pytest.mark.parametrize("rows, at_once, later", ROWS)
def test_row_counts_from_when_its_entry_was_heard(rows, at_once, later):
    roster = Roster(None)
    for row, age in rows:
        roster.merge([row], 0.0, [age])
    assert bool(roster.list_caller_addresses("a", "north", Random(1))) == at_once
    roster.remove_silent(2.0)
    assert bool(roster.list_caller_addresses("a", "north", Random(1))) == later


def test_process_that_stood_still_tells_others_how_old_its_rows_may_be():
    """It keeps the rows itself for a while, as most of the entries still run."""
    roster = Roster(None)
    roster.merge([make_row(1)], 0.0)
    roster.extend(10.0, 10.5)
    roster.remove_silent(10.5)
    assert roster.measure_ages(roster.list_rows(), 10.5) == [10_500]
    roster.merge([make_row(2)], 10.5)
    assert roster.measure_ages(roster.list_rows(), 10.5) == [10_000]
    after = 10.5 + LATE_READING_SECONDS
    roster.extend(0.0, after)
    roster.merge([make_row(3)], after)
    assert roster.measure_ages(roster.list_rows(), after) == [0]
    assert roster.remove_silent(after + SILENCE_TIMEOUT_SECONDS + 0.1) == ["x"]
