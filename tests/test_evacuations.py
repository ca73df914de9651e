"""Which failure domains a process takes to be out of service, whatever the store and peers tell.

A store that comes back from an older copy lacks evacuations, or has some that were lifted. A
process that follows it at once sends requests into a domain that is being emptied, or leaves a
sound one empty.
"""

from __future__ import annotations

import pytest
from fleet_harness import Observer
from test_gateway_knowledge import PlainDecoder
from test_gateway_restored_store import apply, connect, make_catalogue, make_fleet, make_record
from twisted.internet.task import Clock

from coltsfootshift.gateway.evacuations import Evacuations
from coltsfootshift.gateway.table_cache import (
    REWRITE_SECONDS,
    Item,
    Table,
    TableCache,
    TablePosition,
)
from coltsfootshift.ids import FailureDomain

WHOLE, EVENTS = True, False
SOON, LATER = 1.0, REWRITE_SECONDS + 0.1
KEY = "evacuate/a"


class Decoder(PlainDecoder):
    """Also decodes `evacuate/DOMAIN`; a domain with a space is none."""

    def read_evacuation(self, item):
        name = item.key.removeprefix("evacuate/")
        return FailureDomain(name) if name != item.key and name and " " not in name else None

    def read_version(self, item):
        return None if item.key.startswith("evacuate") else super().read_version(item)


def make_cache(*items, position=(1, 20), now=0.0):
    """Return a cache with a catalogue and further items, at a position of the store."""
    tables = TableCache(Decoder())
    apply(tables, Table.OPERATOR, [make_catalogue(7), *items], position, now)
    apply(tables, Table.ENDPOINTS, [("e-1", 1, make_record())], position, now)
    return tables


def list_out(tables):
    return sorted(tables.evacuations.list_out())


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        (KEY, b"{}", ["a"]),
        (KEY, b"", ["a"]),
        (KEY, b"\xff not JSON", ["a"]),
        ("evacuate/nowhere", b"{}", ["nowhere"]),
        ("evacuate/", b"{}", []),
        ("evacuate/a b", b"{}", []),
        ("evacuated/a", b"0", []),
    ],
    ids=["plain", "no value", "odd value", "unknown domain", "no domain", "odd domain", "other"],
)
def test_key_of_an_item_is_the_request(key, value, expected):
    tables = make_cache()
    apply(tables, Table.OPERATOR, [(key, 21, value)], (1, 21), 1.0, EVENTS)
    assert list_out(tables) == expected
    apply(tables, Table.OPERATOR, [(key, 22, None)], (1, 22), 2.0, EVENTS)
    assert list_out(tables) == []
    assert tables.catalogue.version == 7


def test_item_that_names_no_domain_is_logged(lines):
    apply(make_cache(), Table.OPERATOR, [("evacuate/", 21, b"{}")], (1, 21), 1.0, EVENTS)
    assert lines().count("undecodable item ignored") == 1


@pytest.mark.parametrize(
    ("before", "answers", "expected"),
    [
        ([10], [((2, 12), WHOLE, [])], {SOON: True, LATER: False}),
        ([10], [((2, 12), WHOLE, [10])], {SOON: True, LATER: True}),
        ([10], [((2, 12), WHOLE, []), ((2, 13), EVENTS, [13])], {SOON: True, LATER: True}),
        ([10], [((2, 12), WHOLE, []), ((2, 13), WHOLE, [13])], {SOON: True, LATER: True}),
        ([10], [((2, 12), WHOLE, []), ((2, 13), WHOLE, [])], {SOON: True, LATER: False}),
        ([10], [((2, 12), WHOLE, [10]), ((2, 13), EVENTS, [None])], {SOON: False, LATER: False}),
        ([10], [((2, 12), WHOLE, [10]), ((2, 13), WHOLE, [])], {SOON: False, LATER: False}),
        ([10], [((2, 12), WHOLE, []), ((3, 11), WHOLE, [])], {SOON: True, LATER: False}),
        ([10, None], [((2, 12), WHOLE, [10])], {SOON: False, LATER: True}),
        ([10, None], [((2, 12), WHOLE, [])], {SOON: False, LATER: False}),
        ([10, None], [((2, 12), WHOLE, [10]), ((2, 13), EVENTS, [None])], {LATER: False}),
        ([10, None], [((2, 12), WHOLE, [10]), ((2, 13), WHOLE, [])], {LATER: False}),
        ([10, None], [((2, 12), WHOLE, [10]), ((2, 13), EVENTS, [13])], {SOON: True}),
        ([10, None], [((2, 12), WHOLE, [10]), ((2, 13), WHOLE, [10])], {SOON: False}),
        ([10, None], [((2, 12), WHOLE, []), ((2, 13), WHOLE, [13])], {SOON: True}),
        ([10, None], [((2, 40), WHOLE, [40])], {SOON: True}),
        ([10, 15, None], [((2, 12), WHOLE, [10])], {SOON: False, LATER: True}),
        ([10, None], [((2, 12), WHOLE, [10]), ((3, 11), WHOLE, [10])], {SOON: False}),
        ([], [((2, 12), WHOLE, [10])], {SOON: True, LATER: True}),
        ([10], [((1, 9), WHOLE, [])], {SOON: True, LATER: True}),
        ([10, None], [((1, 15), WHOLE, [10])], {SOON: False, LATER: False}),
        ([10], [((2, 13), EVENTS, [None])], {SOON: True, LATER: True}),
    ],
    ids=[
        "lost",
        "in the copy",
        "lost, written again",
        "lost, read written again",
        "lost, read again",
        "in the copy, lifted since",
        "in the copy, read lifted since",
        "lost twice",
        "lifted, in the copy",
        "lifted, not in the copy",
        "lifted, lifted again",
        "lifted, read lifted again",
        "lifted, requested since",
        "lifted, read again",
        "lifted, read requested since",
        "lifted, requested before it was read",
        "written twice and lifted, in the copy",
        "lifted, in two copies",
        "unknown before",
        "late answer of before",
        "late answer of before the lift",
        "changes of another era",
    ],
)
def test_evacuation_while_the_store_is_an_older_copy(before, answers, expected):
    """`expected` tells at times after the restore whether the domain is out.

    The numbers are revisions at which the item was written; None is its removal.
    """
    tables = make_cache()
    for number, revision in enumerate(before):
        items = [(KEY, 21 + number if revision is None else revision, b"{}")]
        if revision is None:
            items = [(KEY, 30, None)]
        position = (1, 21 + number)
        apply(tables, Table.OPERATOR, items, position, 1.0, EVENTS)
    for step, (position, complete, revisions) in enumerate(answers):
        items = [make_catalogue(7)] if complete else []
        for revision in revisions:
            value = None if revision is None else b"{}"
            items.append((KEY, position[1] if revision is None else revision, value))
        apply(tables, Table.OPERATOR, items, position, 10.0 + step / 10, complete)
    seen = {}
    for after in expected:
        tables.remove_expired(10.0 + (len(answers) - 1) / 10 + after)
        seen[after] = list_out(tables) == ["a"]
    assert seen == expected


def test_time_of_an_evacuation_is_when_it_was_first_known():
    tables = make_cache()
    apply(tables, Table.OPERATOR, [(KEY, 21, b"{}")], (1, 21), 5.0, EVENTS)
    apply(tables, Table.OPERATOR, [make_catalogue(7)], (2, 12), 9.0)
    apply(tables, Table.OPERATOR, [(KEY, 13, b"{}")], (2, 13), 10.0, EVENTS)
    assert tables.evacuations.list_out() == {"a": 5.0}
    assert tables.evacuations.lifted_at(FailureDomain("a")) is None
    apply(tables, Table.OPERATOR, [(KEY, 14, None)], (2, 14), 11.0, EVENTS)
    assert tables.evacuations.lifted_at(FailureDomain("a")) == 11.0


@pytest.mark.parametrize(
    ("lifted", "copy", "after", "confirmed"),
    [
        (False, [], SOON, False),
        (False, [], LATER, True),
        (True, [10], SOON, False),
        (True, [10], LATER, True),
        (False, [10], SOON, True),
    ],
    ids=["lost", "lost for good", "lifted, in the copy", "kept in the copy", "unchanged"],
)
def test_store_that_differs_does_not_confirm_its_table_for_a_while(lifted, copy, after, confirmed):
    """It may lack later changes as well, but never confirms nothing for longer than that."""
    tables = make_cache((KEY, 10, b"{}"))
    if lifted:
        apply(tables, Table.OPERATOR, [(KEY, 21, None)], (1, 21), 5.0, EVENTS)
    items = [make_catalogue(7), *((KEY, revision, b"{}") for revision in copy)]
    apply(tables, Table.OPERATOR, items, (2, 12), 10.0)
    tables.remove_expired(10.0 + after)
    tables.confirm(Table.OPERATOR, TablePosition(2, 12), 10.0 + after)
    assert (tables.measure_age(Table.OPERATOR, 10.0 + after) == 0.0) is confirmed


@pytest.mark.parametrize("since_restore", [0.5, LATER], ids=["soon", "later"])
@pytest.mark.parametrize("turned", [False, True])
@pytest.mark.parametrize(
    ("position", "items", "read_ago", "soon", "finally_out"),
    [
        (None, [], 0.0, True, False),
        ((2, 12), [], 0.0, True, False),
        ((2, 14), [], 0.0, True, False),
        ((2, 11), [], 0.0, True, False),
        ((2, 14), [], LATER, False, False),
        ((1, 9), [], 0.0, True, False),
        ((1, 25), [], 0.0, False, False),
        ((2, 14), [(KEY, 14, b"{}")], 0.0, True, True),
    ],
    ids=[
        "has started",
        "read only the copy",
        "read more of the copy",
        "read less of the copy",
        "read the copy long ago",
        "is behind",
        "is ahead and saw it lifted",
        "read it written again",
    ],
)
def test_peers_keep_an_evacuation_that_the_store_has_lost(
    position, items, read_ago, soon, finally_out, turned, since_restore
):
    """One process knew the evacuation when the store came back without it, and tells the other."""
    clock = Clock()
    clock.advance(30.0)
    now = clock.seconds()
    knowing = make_cache((KEY, 10, b"{}"))
    apply(knowing, Table.OPERATOR, [make_catalogue(7)], (2, 12), now - since_restore)
    other = TableCache(Decoder())
    if position is not None:
        other = make_cache(*items, position=position, now=now - read_ago)
    for tables in (knowing, other):
        tables.remove_expired(now)
    nodes = [make_fleet(clock, knowing), make_fleet(clock, other)]
    connect(*(reversed(nodes) if turned else nodes))
    is_kept = soon and since_restore < REWRITE_SECONDS
    assert list_out(other) == (["a"] if is_kept or finally_out else [])
    clock.advance(LATER)
    for tables in (knowing, other):
        tables.remove_expired(clock.seconds())
        assert list_out(tables) == (["a"] if finally_out else [])


def test_announcement_that_brings_the_end_of_the_restore_is_heard():
    """A peer that has the same items may tell of the store before the next tick does."""
    clock = Clock()
    clock.advance(30.0)
    stores = [make_cache((KEY, 10, b"{}")) for _ in range(2)]
    for tables in stores:
        apply(tables, Table.OPERATOR, [(KEY, 21, None)], (1, 21), 25.0, EVENTS)
        items = [make_catalogue(7), (KEY, 10, b"{}")]
        apply(tables, Table.OPERATOR, items, (2, 12), 30.0 - REWRITE_SECONDS)
    told, telling = stores
    apply(telling, Table.OPERATOR, [], (2, 13), 30.0, EVENTS)
    assert list_out(told) == []
    first, second = make_fleet(clock, telling), make_fleet(clock, told)
    second._observer = observer = ChangeObserver(told)
    connect(first, second)
    assert told.get_position(Table.OPERATOR) == TablePosition(2, 13)
    assert list_out(told) == ["a"] and (True, ["a"]) in observer.seen


class ChangeObserver(Observer):
    """Keeps what was known whenever the tables changed."""

    def __init__(self, tables):
        super().__init__()
        self.tables = tables
        self.seen = []

    def tables_changed(self):
        self.seen.append((self.tables.catalogue is not None, list_out(self.tables)))


def test_process_that_starts_learns_evacuations_with_the_catalogue():
    """It must not be ready, or place anything, before it knows which domains are out."""
    clock = Clock()
    clock.advance(30.0)
    started = TableCache(Decoder())
    first = make_fleet(clock, make_cache((KEY, 10, b"{}")))
    second = make_fleet(clock, started)
    second._observer = observer = ChangeObserver(started)
    connect(first, second)
    assert (True, ["a"]) in observer.seen
    assert (True, []) not in observer.seen and started.complete


@pytest.mark.parametrize("keys", [["catalogue", KEY], ["catalogue"]], ids=["cut off", "none"])
def test_catalogue_without_the_rest_of_the_table_is_not_taken(keys):
    """A peer's answer that lacks an item which it lists leaves a process that starts as it is."""
    tables = TableCache(Decoder())
    merged, missing = tables.merge_items(Table.OPERATOR, [Item("catalogue", 3, b"7")], keys)
    assert missing == keys[1:] and [item.key for item in merged] == ["catalogue"]


def test_outdated_peer_gives_no_catalogue_before_the_table_is_known():
    tables = TableCache(Decoder())
    apply(tables, Table.OPERATOR, [(KEY, 4, b"{}")], (2, 12), 5.0)
    assert tables.catalogue is None and list_out(tables) == ["a"]
    apply(tables, Table.OPERATOR, [make_catalogue(7), ("evacuate/b", 9, b"{}")], (1, 20), 5.1)
    assert tables.catalogue.version == 7 and list_out(tables) == ["a", "b"]
    tables.remove_expired(5.0 + LATER)
    assert list_out(tables) == ["a"]


def put(era, revision, now, copied=False):
    domain = FailureDomain("a")
    return lambda evacuations: evacuations.record(KEY, domain, era, revision, now, copied)


def lift(now):
    return lambda evacuations: evacuations.lift(KEY, now)


def begin_era(era, now, *followed):
    return lambda evacuations: evacuations.begin_era(era, now + REWRITE_SECONDS, *followed)


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([begin_era(2, 0.0), put(1, 10, SOON)], True),
        ([begin_era(2, 0.0), put(1, 10, LATER)], False),
        ([begin_era(2, 0.0, (1, 25)), put(1, 10, SOON)], False),
        ([begin_era(2, 0.0, (1, 25)), put(1, 26, SOON)], True),
        ([begin_era(3, 0.0, (2, 25)), put(1, 10, SOON)], True),
        ([put(0, 10, 0.0), lift(0.0), begin_era(2, 0.0, (1, 5)), put(0, 10, SOON)], False),
        ([put(0, 10, 0.0), lift(0.0), begin_era(2, 0.0, (1, 5)), put(0, 11, SOON)], True),
        (
            [put(0, 25, 0.0), lift(0.0), put(0, 4, 0.0), lift(0.0), begin_era(1, 0.0)]
            + [put(1, 20, 0.0, copied=True)],
            False,
        ),
        (
            [put(1, 100, 0.0), begin_era(2, 10.0, (1, 120)), put(2, 92, 11.0), lift(14.0)]
            + [begin_era(3, 20.0, (2, 95)), put(3, 100, 20.0, copied=True)],
            False,
        ),
        (
            [put(1, 100, 0.0), lift(1.0), begin_era(2, 62.0, (1, 120))]
            + [put(2, 100, 62.0, copied=True)],
            True,
        ),
    ],
    ids=[
        "lost by the copy",
        "told too late",
        "lifted as far as it was followed",
        "written beyond that",
        "of two eras ago",
        "of two eras ago, lifted",
        "of two eras ago, written after the lift",
        "lifted twice, higher revision first",
        "lifted at a lower revision than before the first of two restores",
        "lifted longer ago than any copy is old",
    ],
)
def test_item_of_an_earlier_era(steps, expected):
    evacuations = Evacuations()
    for step in steps:
        step(evacuations)
    assert evacuations.is_out(FailureDomain("a")) is expected


@pytest.mark.parametrize(
    ("steps", "accepted"),
    [
        ([], True),
        ([put(1, 10, SOON)], False),
        ([begin_era(3, 0.1, (2, 5)), put(1, 10, SOON)], False),
        ([put(1, 10, SOON), begin_era(3, SOON)], True),
        ([put(0, 10, SOON)], True),
    ],
    ids=["not seen", "refused", "held and lifted before", "refused in another era", "older one"],
)
def test_item_that_was_refused_is_not_asked_for_again(steps, accepted):
    """Peers list it with each announcement, and whole tables would be sent for it."""
    evacuations = Evacuations()
    before = [put(1, 10, -5.0), lift(-4.0), begin_era(2, 0.0, (1, 20))]
    for step in [*before, *steps]:
        step(evacuations)
    assert evacuations.accepts(KEY, 1, SOON) is accepted


@pytest.mark.parametrize("copies", [[[10], []], [[]]], ids=["lifted, then lost", "lost"])
def test_item_that_is_gone_is_told_to_nobody(copies):
    """A process that starts would take it for one that stands."""
    tables = make_cache((KEY, 10, b"{}"))
    if len(copies) > 1:
        apply(tables, Table.OPERATOR, [(KEY, 21, None)], (1, 21), 5.0, EVENTS)
    for number, revisions in enumerate(copies):
        items = [make_catalogue(7), *((KEY, revision, b"{}") for revision in revisions)]
        apply(tables, Table.OPERATOR, items, (2 + number, 12), 10.0)
    before = tables.digest_content(Table.OPERATOR)
    was_listed = KEY in tables.list_items(Table.OPERATOR, TablePosition())[1]
    assert was_listed is (len(copies) == 1)
    tables.remove_expired(10.0 + LATER)
    assert KEY not in tables.list_items(Table.OPERATOR, TablePosition())[1]
    assert KEY not in tables.get_operator_versions()
    assert (tables.digest_content(Table.OPERATOR) != before) is was_listed


def test_lifts_of_long_ago_are_forgotten():
    evacuations = Evacuations()
    for number in range(200):
        key, now = f"evacuate/{number}", 10.0 * number
        evacuations.record(key, FailureDomain(str(number)), 1, number, now)
        evacuations.lift(key, now)
    assert len(evacuations._lifts) <= 8
