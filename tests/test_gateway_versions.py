"""Which version of the weights may serve, for entries that learnt late of its publication."""

from __future__ import annotations

from random import Random

import pytest
from gateway_harness import GatewayHarness, VersionDecoder
from twisted.internet.task import Clock

from coltsfootshift.gateway.fleet import FleetObserver, FleetTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer, TableCache
from coltsfootshift.ids import InstanceId, Role
from coltsfootshift.messages import EntryRow
from coltsfootshift.settings import Address

VERSION_ITEM = Item("version/m", 5, b"2")
OTHER_ITEM = Item("version/other", 2, b"1")
MODEL_HEADERS = ("X-Model: m", "X-Token-Counts: 100,50")


class Observer(FleetObserver):
    def tables_changed(self):
        pass

    def roster_changed(self):
        pass

    def engine_status_received(self, notice):
        pass


class Stream:
    """A stream that records the messages sent on it."""

    transit_delay = 0.0
    peer_incarnation = "1"
    peer_id = InstanceId("peer")
    peer_role = Role.ENTRY.value

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def set_needed(self, needed):
        pass


class Context:
    def __init__(self, clock):
        self.reactor = clock


def make_fleet(clock, tables):
    row = EntryRow("entry", 1, "10.0.0.1", 1, 2, "north", "a", True, False)
    address = Address("10.0.0.1", 1)
    return FleetTask(Context(clock), tables, Roster(row), [], address, Observer(), Random(1))


def apply(tables, clock, items, revision):
    now = clock.seconds()
    tables.apply(TableAnswer(Table.OPERATOR, items, revision, False, now), now)


def make_reports(*ages, restarted=False):
    """Return what an entry reports that followed the store.

    It learnt of version 2 the first of `ages` ago, of version 3 the second, and so on. If it
    `restarted`, version 2 was in the first answer that it received.
    """
    clock = Clock()
    clock.advance(500.0)  # clocks of different instances share no origin
    tables = TableCache(VersionDecoder(), clock.seconds())
    if not restarted:
        apply(tables, clock, (OTHER_ITEM,), 4)
    for index, (age, next_age) in enumerate(zip(ages, (*ages[1:], 0.0), strict=True)):
        item = Item(VERSION_ITEM.key, VERSION_ITEM.revision + index, str(2 + index).encode())
        tables.confirm(Table.OPERATOR, item.revision - 1, clock.seconds())
        apply(tables, clock, (item,), item.revision)
        clock.advance(age - next_age)
    stream = Stream()
    fleet = make_fleet(clock, tables)
    fleet.stream_opened(stream)
    fleet.announce()
    return stream.sent


def serves_outdated(harness):
    """Return whether a request is placed on an engine with version 1."""
    harness.confirm()
    harness.gateway.refresh()
    harness.send_request("model", headers=MODEL_HEADERS)
    return harness.accept() is not None


@pytest.mark.parametrize(
    ("known_for", "learnt_for", "published_for", "allowed"),
    [
        (9.0, 1.0, 7.5, False),
        (9.0, 1.0, 6.5, True),
        (9.0, 6.5, 7.5, False),
        (1.5, 1.0, 20.0, False),
        (None, 3.5, 4.0, True),
        (None, 3.5, 7.5, False),
    ],
    ids=[
        "frozen during the publication",
        "frozen during the publication, not yet due",
        "suspended after it",
        "restarted with an outdated table of a peer",
        "restarted, not yet due",
        "restarted, due",
    ],
)
def test_entry_that_learnt_late_serves_no_outdated_version(
    known_for, learnt_for, published_for, allowed
):
    """The limit of a version counts from its publication, as seen by entries that noticed it.

    The entry has had a table without the version for `known_for` seconds (None: it restarted and
    found the version) and the version for `learnt_for`; it was published `published_for` ago.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    clock = harness.clock
    if known_for is not None:
        apply(harness.tables, clock, (OTHER_ITEM,), 4)
        clock.advance(known_for - learnt_for)
    apply(harness.tables, clock, (VERSION_ITEM,), 5)
    clock.advance(learnt_for)
    fleet = make_fleet(clock, harness.tables)
    for report in make_reports(published_for):
        fleet.stream_received(Stream(), report)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize(
    ("restarted", "published_for", "allowed"),
    [
        (False, (7.5, 5.5), False),
        (False, (6.5, 4.5), True),
        (True, (7.5, 5.5), False),
        (True, (6.5, 4.5), True),
        (True, (9.5, 7.5), False),
    ],
    ids=[
        "stood still",
        "stood still, not yet due",
        "restarted",
        "restarted, not yet due",
        "restarted, both due",
    ],
)
def test_entry_that_missed_a_version_keeps_its_limit(restarted, published_for, allowed):
    """A version that was replaced before an entry read it forbids older ones at its own limit.

    The entry learnt only of version 3, 1 s ago; versions 2 and 3 were published `published_for`
    ago. Its engine has version 1.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    clock = harness.clock
    if not restarted:
        apply(harness.tables, clock, (OTHER_ITEM,), 4)
        clock.advance(8.0)
    apply(harness.tables, clock, (Item("version/m", 6, b"3"),), 6)
    clock.advance(1.0)
    fleet = make_fleet(clock, harness.tables)
    for report in make_reports(*published_for):
        fleet.stream_received(Stream(), report)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize(
    ("peer_restarted", "ages", "restarted", "learnt_for", "allowed"),
    [
        (True, (12.0, 5.5), False, 1.0, False),
        (True, (7.2, 5.5), False, 1.0, False),
        (True, (6.5, 5.5), False, 1.0, True),
        (True, (12.0, 5.5), True, 2.2, False),
        (True, (12.0, 5.5), True, 1.0, True),
        (False, (90.0, 5.5), False, 1.0, False),
        (False, (90.0, 5.5), True, 1.0, False),
        (True, (2.5,), True, 2.2, False),
    ],
    ids=[
        "stood still, peer restarted",
        "stood still, peer restarted since the first version",
        "stood still, peer restarted, not yet due",
        "restarted, peer too",
        "restarted, peer too, not yet held to the limits",
        "stood still, first version long due",
        "restarted, first version long due",
        "the start of a peer is no publication",
    ],
)
def test_entry_learns_of_a_missed_version_from_any_peer(
    peer_restarted, ages, restarted, learnt_for, allowed
):
    """A version that no running entry saw being published is passed on to those that missed it.

    The entry learnt of the newest version only, `learnt_for` ago; its engine has version 1.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    clock = harness.clock
    if not restarted:
        apply(harness.tables, clock, (OTHER_ITEM,), 4)
        clock.advance(8.0)
    newest = Item("version/m", 6, str(1 + len(ages)).encode())
    apply(harness.tables, clock, (newest,), 6)
    clock.advance(learnt_for)
    fleet = make_fleet(clock, harness.tables)
    for report in make_reports(*ages, restarted=peer_restarted):
        fleet.stream_received(Stream(), report)
    assert serves_outdated(harness) is allowed
