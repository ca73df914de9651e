"""Which version of the weights may serve, for entries that learnt late of its publication."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import msgspec
import pytest
from fleet_harness import Context, Observer, Stream
from gateway_harness import (
    ROUTES,
    GatewayHarness,
    VersionDecoder,
    make_chunk,
    make_event,
    make_response,
    make_route,
)
from twisted.internet.task import Clock

from coltsfootshift.gateway.fleet import FleetTask
from coltsfootshift.gateway.model import RouteKind
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.table_cache import (
    Item,
    Table,
    TableAnswer,
    TableCache,
    TablePosition,
    WantedVersion,
)
from coltsfootshift.messages import EntryRow, PublishedVersion, TableRevision, TableRevisions
from coltsfootshift.settings import Address

VERSION_ITEM = Item("version/m", 5, b"2")
OTHER_ITEM = Item("version/other", 2, b"1")
MODEL_HEADERS = ("X-Model: m", "X-Token-Counts: 100,50")


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
        tables.confirm(Table.OPERATOR, TablePosition(0, item.revision - 1), clock.seconds())
        apply(tables, clock, (item,), item.revision)
        clock.advance(age - next_age)
        tables.confirm(Table.OPERATOR, TablePosition(0, item.revision), clock.seconds())
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
        (9.0, 1.0, 6.5, False),
        (9.0, 1.0, 5.5, True),
        (9.0, 5.5, 6.5, False),
        (1.5, 1.0, 20.0, False),
        (None, 3.5, 4.0, True),
        (None, 3.5, 6.5, False),
    ],
    ids=[
        "frozen during the publication",
        "frozen during the publication, not yet due",
        "learnt late, though not frozen",
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
    ("since_second", "since_third", "allowed"),
    [(9.0, 4.0, False), (6.9, 1.0, False), (5.0, 1.0, True), (3600.0, 4.0, False)],
    ids=["second overdue", "second due within the margin", "second not yet due", "long ago"],
)
def test_restarted_entry_keeps_the_limit_of_a_version_that_another_has_replaced(
    since_second, since_third, allowed
):
    """A snapshot holds only the newest version, but the limit of the one before still counts."""
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (Item("version/m", 6, b"3"),), 6)
    harness.clock.advance(3.5)
    fleet = make_fleet(harness.clock, harness.tables)
    observer_clock = Clock()
    observer = TableCache(VersionDecoder())
    apply(observer, observer_clock, (OTHER_ITEM,), 4)
    apply(observer, observer_clock, (VERSION_ITEM,), 5)
    observer_clock.advance(since_second - since_third)
    observer.confirm(Table.OPERATOR, TablePosition(0, 5), observer_clock.seconds())
    apply(observer, observer_clock, (Item("version/m", 6, b"3"),), 6)
    observer_clock.advance(since_third)
    stream = Stream()
    make_fleet(observer_clock, observer).stream_opened(stream)
    for report in stream.sent:
        fleet.stream_received(Stream(), report)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize(
    ("stood_still", "awake_for", "allowed"),
    [(1.9, 3.0, True), (1.9, 5.5, False), (6.0, 2.5, False)],
    ids=["not yet due", "overdue after a short stop", "overdue after a long stop"],
)
def test_entry_that_stood_still_alone_serves_no_outdated_version(stood_still, awake_for, allowed):
    """Without a report of another entry, the limit counts from the last answer without the version.

    The version was published just after that answer, when the entry had stopped; it woke after
    `stood_still`, found the version and has run for `awake_for`.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (OTHER_ITEM,), 4)
    harness.clock.advance(stood_still)
    apply(harness.tables, harness.clock, (VERSION_ITEM,), 5)
    harness.clock.advance(awake_for)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize("delay", [0.0, 1.9])
def test_restarted_entry_trusts_no_report_that_is_late_by_more_than_the_margin(delay):
    """The only entry that saw the publication learnt of it late, as it stood still for a moment."""
    observer_clock = Clock()
    observer = TableCache(VersionDecoder())
    apply(observer, observer_clock, (OTHER_ITEM,), 4)
    observer_clock.advance(delay)
    apply(observer, observer_clock, (VERSION_ITEM,), 5)
    observer_clock.advance(8.1 - delay)
    stream = Stream()
    make_fleet(observer_clock, observer).stream_opened(stream)
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (VERSION_ITEM,), 5)
    harness.clock.advance(3.5)
    fleet = make_fleet(harness.clock, harness.tables)
    for report in stream.sent:
        fleet.stream_received(Stream(), report)
    assert not serves_outdated(harness)


@pytest.mark.parametrize(
    ("previous_at", "learnt_at", "reported"),
    [(0.0, 1.5, [2]), (0.0, 2.5, []), (None, 0.0, [])],
    ids=["followed the store", "not confirmed for long", "found at the start"],
)
def test_only_an_entry_that_followed_the_store_reports_a_publication(
    previous_at, learnt_at, reported
):
    """A time learnt late would let others serve an outdated version."""
    clock = Clock()
    tables = TableCache(VersionDecoder())
    if previous_at is not None:
        apply(tables, clock, (OTHER_ITEM,), 4)
    while clock.seconds() < learnt_at:
        clock.advance(0.25)
        tables.record_running(clock.seconds())
    apply(tables, clock, (VERSION_ITEM,), 5)
    assert [
        wanted.version for wanted in tables.list_shared_versions(clock.seconds()) if wanted.observed
    ] == reported


@pytest.mark.parametrize("ages", [(7.5, 5.0), (5.0, 7.5)], ids=["earliest first", "latest first"])
@pytest.mark.parametrize("transit", [0.0, 3.0])
def test_earliest_report_counts_without_its_delay(ages, transit):
    """A late report must not postpone a limit, nor may a slow stream bring it forward."""
    clock = Clock()
    clock.advance(20.0)
    tables = TableCache(VersionDecoder(), clock.seconds())
    apply(tables, clock, (VERSION_ITEM, OTHER_ITEM), 5)
    fleet = make_fleet(clock, tables)
    stream = Stream()
    stream.max_transit_seconds = transit
    for age in ages:
        for report in make_reports(age):
            fleet.stream_received(stream, report)
    times = {name: rows[-1].published_by for name, rows in tables.wanted_versions.items()}
    assert times == {"m": pytest.approx(12.5), "other": None}


def test_reports_of_versions_do_not_mix():
    tables = TableCache(VersionDecoder())
    apply(tables, Clock(), (VERSION_ITEM,), 5)
    apply(tables, Clock(), (Item("version/m", 6, b"3"),), 6)
    tables.record_publication("m", 3, -1.0, observed=True)
    tables.record_publication("m", 2, -4.0, observed=True)
    rows = [(wanted.version, wanted.published_by) for wanted in tables.wanted_versions["m"]]
    assert rows == [(2, -4.0), (3, -1.0)]


class FormerRevisions(msgspec.Struct, frozen=True, array_like=True, tag="g-state"):
    """The message of entries that report no publications."""

    rows: list[TableRevision]
    sent_at: float


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (TableRevisions([], 1.0, [PublishedVersion("m", 2, 0.5)]), FormerRevisions([], 1.0)),
        (FormerRevisions([], 1.0), TableRevisions([], 1.0)),
    ],
    ids=["to an entry of an earlier build", "from one"],
)
def test_entries_of_two_builds_understand_each_other(sent, expected):
    data = msgspec.msgpack.encode(sent)
    assert msgspec.msgpack.decode(data, type=type(expected)) == expected


@pytest.mark.parametrize("version", [2, 3])
def test_expected_version_is_the_one_that_the_engine_serves(version):
    """An engine answers 421 to every other expected version, also to an older one."""
    harness = GatewayHarness(endpoints=0)
    harness.add_endpoint("m-0", "llm", 180, {"m": version})
    harness.tables.wanted_versions["m"] = [WantedVersion("m", 2, 0.0), WantedVersion("m", 3, 4.0)]
    harness.gateway.refresh()
    harness.clock.advance(7.1)
    harness.confirm()
    harness.send_request("model", headers=MODEL_HEADERS)
    assert b"x-expect-version: %d\r\n" % version in harness.accept().value().lower()


@pytest.mark.parametrize(
    ("restarted", "published_for", "allowed"),
    [
        (False, (6.5, 4.5), False),
        (False, (5.5, 3.5), True),
        (True, (6.5, 4.5), False),
        (True, (5.5, 3.5), True),
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
        (True, (6.2, 4.5), False, 1.0, False),
        (True, (5.5, 4.5), False, 0.5, True),
        (True, (12.0, 5.5), True, 1.2, False),
        (True, (12.0, 5.5), True, 0.5, True),
        (False, (90.0, 5.5), False, 1.0, False),
        (False, (90.0, 5.5), True, 1.0, False),
        (True, (2.5,), True, 1.2, False),
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


def follow(tables, clock, unconfirmed_for, items, revision):
    """Apply a change to a running process `unconfirmed_for` after the last confirmation."""
    for _ in range(round(unconfirmed_for / 0.25)):
        tables.record_running(clock.seconds())
        clock.advance(0.25)
    tables.record_running(clock.seconds())
    apply(tables, clock, items, revision)


@pytest.mark.parametrize(
    ("peer_restarted", "published_for", "allowed"),
    [
        (False, 6.25, False),
        (False, 4.75, True),
        (True, 6.25, False),
        (True, 4.75, True),
    ],
    ids=["due within the margin", "not yet due", "peer restarted", "peer restarted, not yet due"],
)
def test_entry_that_learnt_behind_a_large_change_serves_no_outdated_version(
    peer_restarted, published_for, allowed
):
    """An entry behind a full link learns a second late; none has followed the store closely.

    The answer of the store that brought the change before confirms the table as of 2.25 s before
    the publication, so that no entry counts as having observed it. Another entry learnt of the
    version at once. As far as they know, its answer may have been delayed by up to 1 s as well.
    """
    peer_clock = Clock()
    peer_clock.advance(500.0)
    peer = TableCache(VersionDecoder(), peer_clock.seconds())
    if peer_restarted:
        apply(peer, peer_clock, (VERSION_ITEM,), 5)
    else:
        apply(peer, peer_clock, (OTHER_ITEM,), 4)
        follow(peer, peer_clock, 2.25, (VERSION_ITEM,), 5)
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (OTHER_ITEM,), 4)
    follow(harness.tables, harness.clock, 3.25, (VERSION_ITEM,), 5)
    harness.clock.advance(published_for - 1.0)
    peer_clock.advance(published_for)
    assert not any(wanted.observed for wanted in peer.wanted_versions["m"])
    stream = Stream()
    make_fleet(peer_clock, peer).stream_opened(stream)
    fleet = make_fleet(harness.clock, harness.tables)
    for report in stream.sent:
        fleet.stream_received(Stream(), report)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize("stopped_for", [0.0, 0.6], ids=["ran on", "stood still long before"])
def test_no_report_is_earlier_than_the_publication(stopped_for):
    """An entry without the store for 7 s had stopped at the beginning; the version is new."""
    peer_clock = Clock()
    peer = TableCache(VersionDecoder())
    apply(peer, peer_clock, (OTHER_ITEM,), 4)
    peer_clock.advance(stopped_for)
    follow(peer, peer_clock, 7.0, (VERSION_ITEM,), 5)
    stream = Stream()
    make_fleet(peer_clock, peer).stream_opened(stream)
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (OTHER_ITEM,), 4)
    apply(harness.tables, harness.clock, (VERSION_ITEM,), 5)
    fleet = make_fleet(harness.clock, harness.tables)
    for report in stream.sent:
        fleet.stream_received(Stream(), report)
    assert serves_outdated(harness)


def test_earlier_bound_than_the_own_one_is_passed_on():
    """An entry learnt of a version late, and from one that has ended when it was published."""
    clock = Clock()
    observer = TableCache(VersionDecoder())
    apply(observer, clock, (OTHER_ITEM,), 4)
    follow(observer, clock, 1.5, (VERSION_ITEM,), 5)
    observer.record_publication("m", 2, 0.25, observed=True)
    clock.advance(6.0)
    stream = Stream()
    make_fleet(clock, observer).stream_opened(stream)
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (VERSION_ITEM,), 5)
    harness.clock.advance(3.5)
    fleet = make_fleet(harness.clock, harness.tables)
    for report in stream.sent:
        fleet.stream_received(Stream(), report)
    assert not serves_outdated(harness)


@pytest.mark.parametrize(
    ("table_age", "started_for", "allowed"),
    [(10.0, 1.5, False), (10.0, 0.5, True), (1.0, 1.5, True)],
    ids=["held to the limits", "not yet held to the limits", "confirmed lately"],
)
def test_entry_that_starts_with_an_outdated_table_knows_no_publication(
    table_age, started_for, allowed
):
    """The first table came from a peer that had lost the store `table_age` ago.

    The version may have been published any time since. The margin of 2 s counts here too.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    started_at = harness.clock.seconds()
    confirmed_at = started_at - table_age
    answer = TableAnswer(Table.OPERATOR, (OTHER_ITEM,), 4, True, confirmed_at)
    harness.tables.apply(answer, started_at)
    apply(harness.tables, harness.clock, (VERSION_ITEM,), 5)
    harness.clock.advance(started_for)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize("unconfirmed_for", [1.75, 3.25])
def test_entry_that_learnt_late_alone_serves_no_outdated_version(unconfirmed_for):
    """The answer with the version was 1.5 s on its way, and no other process learnt sooner."""
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (OTHER_ITEM,), 4)
    follow(harness.tables, harness.clock, unconfirmed_for, (VERSION_ITEM,), 5)
    published_for = 8.25
    harness.clock.advance(published_for - 1.5)
    assert not serves_outdated(harness)


@pytest.mark.parametrize("age", [6.0, 9.0])
def test_report_of_an_earlier_build_ends_no_version_before_its_limit(age):
    """Earlier builds report their start or the end of a break, before the publication.

    The store has confirmed 0.25 s before this entry learnt of the version that there was none.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (OTHER_ITEM,), 4)
    follow(harness.tables, harness.clock, 0.25, (VERSION_ITEM,), 5)
    harness.clock.advance(5.0)
    fleet = make_fleet(harness.clock, harness.tables)
    report = TableRevisions([], 0.0, [PublishedVersion("m", 2, age, observed=False)])
    fleet.stream_received(Stream(), report)
    harness.clock.advance(0.5)
    assert serves_outdated(harness)


@pytest.mark.parametrize(("published_for", "allowed"), [(4.75, True), (6.25, False)])
def test_entry_that_ran_on_keeps_the_limit_of_a_version_that_it_never_saw(published_for, allowed):
    """Version 3 replaced version 2 before the answer of the store arrived, 1 s late.

    Another entry has had both from the beginning; none counts as having observed them.
    """
    harness = GatewayHarness(endpoints=0, engines=1, decoder=VersionDecoder(), confirmed=False)
    apply(harness.tables, harness.clock, (OTHER_ITEM,), 4)
    follow(harness.tables, harness.clock, 3.25, (Item("version/m", 6, b"3"),), 6)
    harness.clock.advance(published_for - 1.0)
    fleet = make_fleet(harness.clock, harness.tables)
    rows = [
        PublishedVersion("m", 2, published_for, False, published_for + 2.25),
        PublishedVersion("m", 3, published_for - 0.25, False, published_for + 2.25),
    ]
    fleet.stream_received(Stream(), TableRevisions([], 0.0, rows))
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize(
    ("domain", "published_for", "allowed"),
    [("a", 5.75, True), ("a", 6.25, False), ("b", 5.75, True), ("b", 6.25, False)],
    ids=["own region", "own region, due", "another region", "another region, due"],
)
def test_request_that_a_full_link_between_regions_delays_is_not_placed(
    domain, published_for, allowed
):
    """A request that arrives a second late would begin after the limit of its version."""
    harness = GatewayHarness(endpoints=0, decoder=VersionDecoder())
    harness.add_endpoint("m-0", "llm", 180, {"m": 1}, domain=domain)
    harness.tables.wanted_versions["m"] = [WantedVersion("m", 2, harness.clock.seconds())]
    harness.clock.advance(published_for)
    assert serves_outdated(harness) is allowed


@pytest.mark.parametrize(
    ("domain", "published_for", "withdrawn"),
    [("a", 6.0, False), ("a", 6.3, True), ("b", 6.0, False), ("b", 6.3, True)],
    ids=["own region", "own region, due", "another region", "another region, due"],
)
def test_withdrawal_that_a_full_link_between_regions_delays_arrives_in_time(
    domain, published_for, withdrawn
):
    """An engine that gets the withdrawal a second late begins the request after the limit."""
    harness = GatewayHarness(endpoints=0, decoder=VersionDecoder())
    harness.add_endpoint("m-0", "llm", 180, {"m": 1}, domain=domain)
    harness.tables.wanted_versions["m"] = [WantedVersion("m", 2, harness.clock.seconds())]
    harness.clock.advance(5.0)
    harness.confirm()
    harness.gateway.refresh()
    harness.send_request("model", headers=MODEL_HEADERS)
    engine = harness.accept()
    harness.clock.pump([0.1] * round((published_for - 5.0) / 0.1))
    assert engine.aborted is withdrawn


HEAD = make_response(chunked=True, headers=["X-Weight-Versions: 1"])
EVENT = make_event(1)
PHASES = {
    "not begun": (b"", b""),
    "in its head": (HEAD[:40], b""),
    "head": (HEAD, make_chunk(EVENT)),
    "in its first event": (HEAD + make_chunk(EVENT[:7]), make_chunk(EVENT[7:])),
    "first event": (HEAD + make_chunk(EVENT), make_chunk(make_event(2))),
}


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize(
    ("kind", "resumable"),
    [(RouteKind.STREAMING, True), (RouteKind.STREAMING, False), (RouteKind.IDEMPOTENT, False)],
    ids=["resumable stream", "stream", "plain"],
)
def test_answer_whose_head_has_come_is_not_withdrawn_at_the_limit(kind, resumable, phase):
    """It was broken off if its body was late, though its engine had begun it in time."""
    harness = GatewayHarness(endpoints=0, engines=1)
    route = make_route("own", kind, resumable=resumable, service="llm", timeout=6.0)
    catalogue = harness.tables.catalogue
    harness.tables.catalogue = replace(catalogue, routes={"host": (route, *ROUTES)})
    harness.tables.wanted_versions["m"] = [WantedVersion("m", 2, 0.0)]
    harness.clock.advance(5.0)
    harness.confirm()
    caller = harness.send_request("own", headers=MODEL_HEADERS)
    engine = harness.accept()
    sent, rest = PHASES[phase]
    engine.protocol.dataReceived(sent)
    for _ in range(70):
        harness.clock.advance(0.02)
        harness.confirm()
    begun = sent.startswith(HEAD)
    assert engine.aborted is not begun
    if begun:
        engine.protocol.dataReceived(rest + make_chunk(b""))
        assert EVENT in caller.value().replace(b"\r\n9\r\n", b"") and not caller.aborted
