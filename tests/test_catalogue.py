"""Tests of connected table controllers under simulated time: races, partitions, takeovers."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootshift.audit import AuditTrail
from coltsfootshift.catalogue.table import RecordTable
from coltsfootshift.catalogue.view import CatalogueView
from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.catalogue import TableController
from coltsfootshift.controllers.freshness import Freshness
from coltsfootshift.controllers.tableevents import (
    ApplyRecords,
    DifferenceReceived,
    DifferenceRequested,
    PeerCountChanged,
    PeerDisconnected,
    PlatformAnswered,
    PlatformFailed,
    ProcessResumed,
    RefusePeer,
    RequestDifference,
    RevisionReceived,
    SendDifference,
    SendNotice,
    SendStates,
    StateReceived,
    StatesSent,
    TableAction,
    TableStarted,
    TableTick,
    WatchPlatform,
    WatchRankChanged,
)
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import Difference, VersionedRecord

TICK_SECONDS = 0.25
HOP_SECONDS = 0.005
WATCH_SECONDS = 1.0
IN_FORCE_SECONDS = 3.0


@dataclass
class Platform:
    """A platform table that can be made to fail or to answer with an old revision."""

    records: list[VersionedRecord] = field(default_factory=list)
    down: bool = False
    stale_at: int | None = None
    answers_at_once: bool = False
    reads: int = 0

    def publish(self, key: str, value: bytes = b"{}") -> int:
        revision = len(self.records) + 1
        self.records.append(VersionedRecord(key, revision, value))
        return revision

    def read(self, after: int) -> Difference:
        revision = len(self.records) if self.stale_at is None else self.stale_at
        newest = {record.key: record for record in self.records[:revision]}
        rows = [row for row in newest.values() if row.revision > after]
        if after == 0:
            rows = [row for row in rows if row.value]
            return Difference("catalogue", revision, revision, True, rows)
        return Difference("catalogue", after, revision, False, rows)


class Process:
    """A process with its table controller and the records that it has applied."""

    def __init__(self, name: str) -> None:
        self.name = InstanceId(name)
        self.freshness = Freshness()
        self.controller = TableController(RecordTable("catalogue"), self.freshness, gated=True)
        self.in_force: dict[str, VersionedRecord] = {}
        self.reverts = 0
        self.first_revision = 0
        self.alive = True
        self.paused = False

    def handle(self, event: Event, now: float) -> list[TableAction]:
        before = self.controller.table.revision
        actions = self.controller.handle(event, now)
        self.reverts += self.controller.table.revision < before
        return actions

    def apply(self, records: list[VersionedRecord]) -> None:
        if not self.in_force:
            self.first_revision = max((record.revision for record in records), default=0)
        for record in records:
            held = self.in_force.get(record.key)
            if held is not None and held.revision >= record.revision:
                self.reverts += 1
            self.in_force[record.key] = record


class Network:
    """Processes in a ring with chords; messages and platform answers take `HOP_SECONDS`."""

    def __init__(self, count: int, rng: Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.platform = Platform()
        self.processes: dict[InstanceId, Process] = {}
        self.partitioned: set[frozenset[InstanceId]] = set()
        self.queue: list[tuple[float, int, Process, Event | WatchPlatform]] = []
        self.scheduled = 0
        for number in range(count):
            self.processes[InstanceId(f"p{number}")] = Process(f"p{number}")
        self.links: dict[InstanceId, set[InstanceId]] = {name: set() for name in self.processes}
        names = list(self.processes)
        for number, name in enumerate(names):
            for step in (1, 3):
                self.links[name].add(names[(number + step) % count])
                self.links[names[(number + step) % count]].add(name)
        for name in names:
            self.links[name].discard(name)
        for rank, process in enumerate(self.processes.values()):
            self.start(process, rank)

    def start(self, process: Process, rank: int) -> None:
        self.handle_event(process, TableStarted(self.rng.uniform(0, 0.5), 0.5))
        self.handle_event(process, PeerCountChanged(len(self.links[process.name])))
        self.handle_event(process, WatchRankChanged(rank))
        self.open_streams(process)

    def restart(self, name: str) -> Process:
        process = Process(name)
        rank = list(self.processes).index(process.name)
        self.processes[process.name] = process
        self.start(process, rank)
        return process

    def kill(self, name: InstanceId) -> None:
        self.processes[name].alive = False
        for peer in self.links[name]:
            self.handle_event(self.processes[peer], PeerDisconnected(name))

    def set_partition(self, one: set[InstanceId], other: set[InstanceId]) -> None:
        before, self.partitioned = self.partitioned, {frozenset((a, b)) for a in one for b in other}
        for pair in self.partitioned - before:
            a, b = pair
            self.handle_event(self.processes[a], PeerDisconnected(b))
            self.handle_event(self.processes[b], PeerDisconnected(a))
        for pair in before - self.partitioned:
            for name in pair:
                self.open_streams(self.processes[name])

    def open_streams(self, process: Process) -> None:
        for peer in self.links[process.name]:
            self.send_state(process, peer)
            self.send_state(self.processes[peer], process.name)

    def send_state(self, process: Process, peer: InstanceId) -> None:
        controller = process.controller
        ages = process.freshness.list_ages(self.now)
        event = StateReceived(process.name, controller.table.revision, controller.settled)
        self.send(process, peer, event, ages)

    def send(
        self, source: Process, peer: InstanceId, event: Event, ages: list[int] | None = None
    ) -> None:
        if frozenset((source.name, peer)) in self.partitioned or not source.alive:
            return
        target = self.processes[peer]
        if ages is not None:
            target.freshness.merge(ages, self.now)
        self.schedule(HOP_SECONDS, target, event)

    def schedule(self, delay: float, target: Process, event: Event | WatchPlatform) -> None:
        self.scheduled += 1
        self.queue.append((self.now + delay, self.scheduled, target, event))

    def handle_event(self, process: Process, event: Event) -> None:
        if not process.alive:
            return
        for action in process.handle(event, self.now):
            self.perform(process, action)

    def perform(self, process: Process, action: TableAction) -> None:
        if isinstance(action, ApplyRecords):
            process.apply(action.records)
        elif isinstance(action, RequestDifference):
            self.send(
                process, action.peer, DifferenceRequested(process.name, action.after, action.floor)
            )
        elif isinstance(action, SendNotice):
            self.send(process, action.peer, RevisionReceived(process.name, action.revision))
        elif isinstance(action, SendDifference):
            self.send(process, action.peer, DifferenceReceived(process.name, action.difference))
        elif isinstance(action, SendStates):
            self.handle_event(process, StatesSent())
            for peer in self.links[process.name]:
                self.send_state(process, peer)
        elif isinstance(action, WatchPlatform):
            self.schedule(action.delay, process, action)

    def answer_read(self, process: Process, action: WatchPlatform) -> None:
        """Answer a read or watch that is due; without changes a watch takes `WATCH_SECONDS`."""
        self.platform.reads += 1
        if self.platform.down:
            self.schedule(HOP_SECONDS, process, PlatformFailed(action.number))
            return
        answer = self.platform.read(process.controller.table.revision)
        waits = not answer.records and answer.revision > 0 and not self.platform.answers_at_once
        delay = WATCH_SECONDS if waits else HOP_SECONDS
        self.schedule(delay, process, PlatformAnswered(answer, action.number))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            step_end = min(until, self.now + TICK_SECONDS)
            self.deliver_due(step_end)
            self.now = step_end
            for process in self.processes.values():
                if not process.paused:
                    self.handle_event(process, TableTick())

    def deliver_due(self, until: float) -> None:
        while True:
            due = [item for item in self.queue if item[0] <= until and not item[2].paused]
            if not due:
                return
            item = min(due, key=lambda row: (row[0], row[1]))
            self.queue.remove(item)
            self.now = max(self.now, item[0])
            if isinstance(item[3], WatchPlatform):
                self.answer_read(item[2], item[3])
            else:
                self.handle_event(item[2], item[3])

    def list_behind(self, revision: int) -> list[str]:
        rows = []
        for process in self.processes.values():
            held = max((row.revision for row in process.in_force.values()), default=0)
            if process.alive and held < revision:
                rows.append(process.name)
        return rows

    def count_reverts(self) -> int:
        return sum(process.reverts for process in self.processes.values())


@pytest.fixture
def network() -> Network:
    """Return a network of twenty processes that have received the first catalogue."""
    started = Network(20, Random(3))
    for number in range(3):
        started.platform.publish(f"team/t{number}")
    started.run(4)
    assert not started.list_behind(3)
    return started


def test_change_spreads(network: Network) -> None:
    revision = network.platform.publish("team/t1")
    network.run(1.0)
    assert not network.list_behind(revision)
    assert network.count_reverts() == 0


@pytest.mark.parametrize("killed", [2, 4, 8])
def test_later_watchers_take_over(network: Network, killed: int) -> None:
    for name in list(network.processes)[:killed]:
        network.kill(name)
    revision = network.platform.publish("team/t1")
    network.run(IN_FORCE_SECONDS)
    assert not network.list_behind(revision)


def test_taken_over_watch_ends_when_the_first_watchers_return(network: Network) -> None:
    names = list(network.processes)[:2]
    for name in names:
        network.kill(name)
    network.run(4)
    assert network.processes[InstanceId("p2")].controller.watching
    for name in names:
        network.restart(name)
    network.run(4)
    watching = [row.name for row in network.processes.values() if row.controller.watching]
    assert watching == names


def test_partition_heals_without_reverts(network: Network) -> None:
    names = list(network.processes)
    network.set_partition(set(names[:10]), set(names[10:]))
    revision = network.platform.publish("team/t1")
    network.run(IN_FORCE_SECONDS)
    assert not network.list_behind(revision), "the side without the first watchers has others"
    network.platform.down = True
    network.run(2)
    network.set_partition(set(), set())
    network.platform.down = False
    revision = network.platform.publish("team/t2")
    network.run(IN_FORCE_SECONDS)
    assert not network.list_behind(revision)
    assert network.count_reverts() == 0


@pytest.mark.parametrize("fault", ["down", "stale"])
def test_start_while_the_platform_fails(network: Network, fault: str) -> None:
    """A process that starts meanwhile takes the highest revision from its peers first."""
    revision = network.platform.publish("team/t1")
    network.run(1)
    network.platform.down = fault == "down"
    network.platform.stale_at = 2 if fault == "stale" else None
    process = network.restart("p0")
    network.run(IN_FORCE_SECONDS)
    assert process.first_revision == revision
    assert process.reverts == 0


@pytest.mark.parametrize("stale_at", [2, 3])
def test_stale_platform_that_answers_at_once_is_read_seldom(
    network: Network, stale_at: int
) -> None:
    network.platform.answers_at_once = True
    network.platform.stale_at = stale_at
    before = network.platform.reads
    network.run(10)
    assert (network.platform.reads - before) / 10 <= 4
    assert network.count_reverts() == 0


def test_platform_down_is_read_seldom(network: Network) -> None:
    network.platform.down = True
    network.run(10)
    before = network.platform.reads
    network.run(20)
    assert (network.platform.reads - before) / 20 <= 16
    network.platform.down = False
    revision = network.platform.publish("team/t1")
    network.run(IN_FORCE_SECONDS)
    assert not network.list_behind(revision)


def test_paused_watcher_wakes_with_old_answers(network: Network) -> None:
    watcher = network.processes[InstanceId("p0")]
    watcher.paused = True
    revision = network.platform.publish("team/t1")
    network.run(5)
    network.platform.publish("team/t1")
    network.run(2)
    watcher.paused = False
    network.handle_event(watcher, ProcessResumed())
    assert not watcher.controller.settled
    network.run(IN_FORCE_SECONDS)
    assert not network.list_behind(revision + 1)
    assert network.count_reverts() == 0


def test_whole_restart_reads_little(network: Network) -> None:
    before = network.platform.reads
    for name in list(network.processes):
        network.restart(name)
    network.run(3)
    assert not network.list_behind(3)
    assert network.platform.reads - before < 2 * len(network.processes)


@given(st.data())
@settings(max_examples=80, deadline=None)
def test_random_faults_never_revert(data: st.DataObject) -> None:
    network = Network(8, Random(data.draw(st.integers(0, 1000))))
    network.platform.publish("team/t0")
    names = list(network.processes)
    steps = st.sampled_from(["publish", "remove", "stale", "fresh", "down", "up", "cut", "heal"])
    for step in data.draw(st.lists(steps, max_size=12)):
        key = f"team/t{data.draw(st.integers(0, 3))}"
        if step in ("publish", "remove"):
            network.platform.publish(key, b"{}" if step == "publish" else b"")
        elif step in ("stale", "fresh"):
            network.platform.stale_at = len(network.platform.records) if step == "stale" else None
        elif step in ("down", "up"):
            network.platform.down = step == "down"
        else:
            network.set_partition(set(names[:4]) if step == "cut" else set(), set(names[4:]))
        network.run(data.draw(st.sampled_from([0.1, 0.6, 2.5])))
    network.platform.stale_at = None
    network.platform.down = False
    network.set_partition(set(), set())
    network.run(9)
    assert network.count_reverts() == 0
    wanted = {row.key: row.revision for row in network.platform.read(0).records}
    for process in network.processes.values():
        held = {row.key: row.revision for row in process.in_force.values() if row.value}
        assert held == wanted


@pytest.mark.parametrize(
    "difference",
    [
        Difference("catalogue", 5, 4, False, []),
        Difference("catalogue", 3, 9, False, [VersionedRecord("team/a", 10, b"{}")]),
        Difference("catalogue", 3, 9, False, [VersionedRecord("team/a", 3, b"{}")]),
        Difference("catalogue", 3, 9, False, [VersionedRecord("team/a", 4, b"x" * 1_200_000)]),
        Difference(
            "catalogue", 3, 9, False, [VersionedRecord("t", 4, b""), VersionedRecord("t", 5, b"")]
        ),
        Difference("catalogue", -1, 9, True, []),
    ],
)
def test_malformed_differences_are_refused(difference: Difference) -> None:
    controller = TableController(RecordTable("catalogue"), Freshness())
    actions = controller.handle(DifferenceReceived(InstanceId("bad"), difference), 0.0)
    assert [type(action) for action in actions] == [RefusePeer]
    assert controller.table.revision == 0


def make_table(count: int, value_bytes: int = 10, kept: int = 10_000) -> RecordTable:
    table = RecordTable("catalogue", kept)
    records = [VersionedRecord(f"team/{n}", n, b"x" * value_bytes) for n in range(1, count + 1)]
    table.apply(Difference("catalogue", 0, count, False, records))
    return table


def test_large_table_is_cut_below_the_frame_limit() -> None:
    source = make_table(12, value_bytes=1_000_000)
    reader = RecordTable("catalogue")
    sizes = deque[int]()
    while reader.revision < source.revision:
        difference = source.make_difference(reader.revision, reader.floor)
        sizes.append(sum(len(row.value) for row in difference.records))
        assert reader.accepts(difference)
        reader.apply(difference)
    assert max(sizes) <= 5_000_000 and len(sizes) >= 3
    assert reader.list_records() == source.list_records()


def test_removed_key_stays_removed_below_the_floor() -> None:
    """A reader with a key whose tombstone was dropped receives a complete difference."""
    source = make_table(3, kept=0)
    reader = make_table(3)
    for revision in range(4, 1200):
        gone = VersionedRecord(f"team/{revision - 3}", revision, b"")
        source.apply(Difference("catalogue", revision - 1, revision, False, [gone]))
    assert source.floor > reader.revision
    difference = source.make_difference(reader.revision, reader.floor)
    assert difference.complete
    reader.apply(difference)
    assert reader.list_records() == source.list_records() == []
    assert reader.make_difference(3).complete


def test_earlier_text_is_learned_from_a_peer() -> None:
    """A process that read an invalid entry from the platform gets the earlier text from a peer."""
    good, bad = json.dumps(TEAM).encode(), b'{"owner": "tests"}'
    peer, started = make_view(), make_view()
    for revision, value in ((1, good), (2, bad)):
        record = VersionedRecord(KEY, revision, value)
        peer.apply(Difference("catalogue", revision - 1, revision, False, [record]))
    started.apply(Difference("catalogue", 2, 2, True, [VersionedRecord(KEY, 2, bad)]))
    assert started.view.find_team("crew") is None
    assert started.view.list_missing_fallbacks(started.table) == {KEY: 2}
    records = peer.view.list_fallbacks(peer.table, [KEY])
    assert started.view.apply_fallbacks(started.table, records) == [KEY]
    assert started.view.find_team("crew") == peer.view.find_team("crew") is not None
    assert started.view.problems == peer.view.problems
    assert started.view.list_missing_fallbacks(started.table) == {}
    assert [row.fallback for row in started.table.make_difference(0).records] == [good]


def test_audit_of_large_values_is_bounded() -> None:
    """Of a hundred changes of one megabyte each, only the latest are kept."""
    audit = AuditTrail()
    for revision in range(100):
        audit.add("service/big", revision, b"x" * 1_000_000, b"y" * 1_000_000, "test")
    rows = audit.list_records()
    assert sum(len(row["before"]) + len(row["after"]) for row in rows) <= 10_000_000
    assert rows[-1]["revision"] == 99


KEY = "team/crew"
TEAM = {"owner": "tests", "class": "batch", "limits": {"requests_per_second": 1.0}}


@dataclass
class TableWithView:
    """A catalogue table and the view that is kept up to date with it."""

    table: RecordTable
    view: CatalogueView

    def apply(self, difference: Difference) -> None:
        self.view.apply(self.table, self.table.apply(difference), "test")


def make_view() -> TableWithView:
    return TableWithView(RecordTable("catalogue"), CatalogueView(AuditTrail()))
