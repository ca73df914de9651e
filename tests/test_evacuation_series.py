"""Any series of evacuations, lifts and older copies of the store, told in any order.

Processes that end up with different domains out, or that lift an evacuation as soon as an older
copy lacks it, would send requests into a domain that is being emptied.
"""

from __future__ import annotations

from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st
from test_evacuations import LATER, Decoder, list_out
from test_gateway_restored_store import apply

from coltsfootshift.gateway.table_cache import (
    REWRITE_SECONDS,
    Table,
    TableAnswer,
    TableCache,
    TablePosition,
)


class Store:
    """The store's history: revisions, eras and the items that evacuate domains."""

    def __init__(self):
        self.era, self.revision, self.items, self.removals = 1, 1, {}, {}
        self.copies = [(1, {}, {})]
        self.lifted = set()  # in this era

    def write(self, domain, out):
        self.revision += 1
        if out:
            self.items[domain] = self.revision
            self.removals.pop(domain, None)
            self.lifted.discard(domain)
        elif self.items.pop(domain, None):
            self.removals[domain] = self.revision
            self.lifted.add(domain)
        self.copies.append((self.revision, dict(self.items), dict(self.removals)))

    def restore(self, age):
        del self.copies[max(1, len(self.copies) - age) :]
        self.revision, items, removals = self.copies[-1]
        self.items, self.removals = dict(items), dict(removals)
        self.era, self.lifted = self.era + 1, set()

    def list_items(self):
        rows = [(f"evacuate/{name}", revision, b"{}") for name, revision in self.items.items()]
        return [("catalogue", 1, b"7"), *rows]

    def list_changes(self, after):
        rows = [(f"evacuate/{name}", revision, b"{}") for name, revision in self.items.items()]
        rows += [(f"evacuate/{name}", revision, None) for name, revision in self.removals.items()]
        return sorted((row for row in rows if row[1] > after), key=lambda row: row[1])


def relay(sender, receiver, now):
    """Let a process take the whole table of another, as peers do."""
    items, _ = sender.list_items(Table.OPERATOR, TablePosition())
    position = sender.get_position(Table.OPERATOR)
    if position != TablePosition():
        answer = TableAnswer(
            Table.OPERATOR, tuple(items), position.revision, True, now, position.era
        )
        receiver.apply(answer, now)


PROCESSES = 3
domains = st.sampled_from(["a", "b"])
readers = st.integers(0, PROCESSES - 1)
steps = st.one_of(
    st.tuples(st.just("write"), domains, st.booleans()),
    st.tuples(st.just("restore"), st.integers(1, 4), st.none()),
    st.tuples(st.just("read"), readers, st.none()),
    st.tuples(st.just("watch"), readers, st.none()),
    st.tuples(st.just("relay"), readers, readers),
    st.tuples(st.just("start"), readers, st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, LATER]), st.none()),
)


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=40))
def test_known_evacuations_settle_on_those_of_the_store(series):
    """None that stood when the store came back is lifted sooner than allowed, whoever tells it."""
    store, now = Store(), 0.0
    caches = [TableCache(Decoder()) for _ in range(PROCESSES)]
    kept: list[tuple[float, set]] = [(0.0, set())] * PROCESSES  # since the latest new era

    def check(number, change):
        tables = caches[number]
        era, before = tables.get_position(Table.OPERATOR).era, set(list_out(tables))
        change()
        if tables.get_position(Table.OPERATOR).era > era:
            kept[number] = (now, before)
        since, names = kept[number]
        is_current = tables.get_position(Table.OPERATOR).era == store.era
        if now < since + REWRITE_SECONDS and is_current:
            assert names - store.lifted <= set(list_out(tables))

    for kind, value, other in series:
        if kind == "write":
            store.write(value, other)
        elif kind == "restore":
            store.restore(value)
        elif kind == "start":
            caches[value], kept[value] = TableCache(Decoder()), (now, set())
        elif kind == "wait":
            now += value
        elif kind in ("read", "watch"):
            rows, position, known = store.list_items(), (store.era, store.revision), caches[value]
            after = known.get_position(Table.OPERATOR)
            is_whole = kind == "read" or after.era != store.era
            if not is_whole:
                rows = store.list_changes(after.revision)
            check(value, partial(apply, known, Table.OPERATOR, rows, position, now, is_whole))
        else:
            check(other, partial(relay, caches[value], caches[other], now))
        for number in range(PROCESSES):
            check(number, partial(caches[number].remove_expired, now))
    for number in range(PROCESSES):
        position = (store.era, store.revision)
        apply(caches[number], Table.OPERATOR, store.list_items(), position, now)
    for sender in caches:
        for receiver in caches:
            relay(sender, receiver, now + 0.1)
    for tables in caches:
        tables.remove_expired(now + LATER)
    for sender in caches:
        for receiver in caches:
            relay(sender, receiver, now + LATER + 0.1)
            assert list_out(receiver) == sorted(store.items)
