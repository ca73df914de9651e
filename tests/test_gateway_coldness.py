"""Cold endpoints: what is believed of them, who may send to them, and how much in one second."""

from __future__ import annotations

import heapq
import logging
from bisect import bisect_left
from collections import deque
from copy import copy
from dataclasses import replace
from random import Random

import msgspec
import pytest
from gateway_harness import GatewayHarness, make_response

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.gateway.cold_guard import MIN_SILENCE_SECONDS, ColdGuard
from coltsfootshift.gateway.coldness import MARGIN_SECONDS, ColdCause, Coldness
from coltsfootshift.gateway.endpoint_limits import (
    DELIVERY_SECONDS,
    compute_cold_share,
    plan_cold_shares,
)
from coltsfootshift.gateway.entry_view import (
    LATE_SEED_SECONDS,
    LONG_MEMORY_SECONDS,
    MEMORY_SECONDS,
    SETTLE_SECONDS,
    EntryView,
    SeedContact,
)
from coltsfootshift.gateway.fleet import RELAY_DELAY_SECONDS
from coltsfootshift.gateway.model import EndpointRecord, ServiceSpec, Team
from coltsfootshift.gateway.placement import (
    ColdShare,
    EndpointState,
    Placement,
    WorkSize,
    forecast_slots,
)
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.service import TICK_SECONDS
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId, ServiceName, TeamName
from coltsfootshift.messages import ColdReport, ColdRow, EntryRow, WarmReport
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

RATE, EXCESS, ALLOWANCE = 17.0, 1.5, 5.0
BOUND = RATE * EXCESS + ALLOWANCE
COLD_SECONDS = 3.0
SPEC = ServiceSpec(ServiceName("s"), 10_000, cold_seconds=COLD_SECONDS, cold_rate=RATE)
SIZE = WorkSize()
MANY_SLOTS = 100_000  # so that nothing but the rate holds requests back


def make_record(number=0, born=1, cold_for=0.0, slots=MANY_SLOTS):
    name, domain = InstanceId(f"e-{number}"), FailureDomain("a")
    address = Address("10.0.0.9", 80 + number)
    return EndpointRecord(name, SPEC.name, address, domain, slots, born=born, cold_for=cold_for)


def make_row(name, settled_count=0, leaving=False, sequence=1):
    return EntryRow(name, sequence, name, 1, 2, "r", "a", True, leaving, None, settled_count)


# What is cold


@pytest.mark.parametrize(
    ("steps", "warm_at"),
    [
        ([], 3.0),
        ([("record", 2.0, 0.0)], 3.0),  # a record that names no rest may be old
        ([("record", 2.0, 4.0)], 6.0),
        ([("record", 2.0, 0.5)], 3.0),
        ([("record", 1.0, 4.0), ("record", 2.0, 4.0)], 5.0),  # read again, but not newer
        ([("word", 1.0, 0.0)], 1.0 - MARGIN_SECONDS),
        ([("word", 1.0, 0.7)], 1.7),
        ([("word", 2.0, 5.0)], 7.0),
        ([("word", 0.1, 0.0)], 3.0),  # may be older than what made the endpoint cold
        ([("word", 1.0, 0.0), ("silence", 2.0, 3.0)], 5.0),
        ([("silence", 2.9, 3.0), ("word", 3.0, 0.0)], 5.9),
        ([("word", 1.0, 0.0), ("word", 2.0, 1.0)], 3.0),
    ],
)
def test_endpoint_is_cold_until_its_evidence_has_run_out(steps, warm_at):
    coldness, name = Coldness(), make_record().incarnation
    assert coldness.record_endpoint(make_record(), SPEC, True, 0.0)
    for kind, at, seconds in steps:
        if kind == "record":
            coldness.record_endpoint(make_record(cold_for=seconds), SPEC, False, at)
        elif kind == "word":
            coldness.record_word(name, seconds, at)
        else:
            coldness.record(name, ColdCause.SILENCE, seconds, at)
    end = warm_at + MARGIN_SECONDS
    assert coldness.is_cold(name, end - 0.01) or end <= steps[-1][1]
    assert not coldness.is_cold(name, end + 0.01)


def make_guard(now=0.0, spec=SPEC, **options):
    """Return a guard with one endpoint, alone and settled, and the endpoint's state."""
    record = make_record(**options)
    states = {record.endpoint: EndpointState(record, None, Random(1))}
    guard = ColdGuard(EXCESS, ALLOWANCE, states, Metrics(), now)
    guard.view = EntryView("own", now)
    guard.view.settled = True
    guard.record_endpoint(record, spec, True, now)
    return guard, states[record.endpoint]


def run_checks(guard, start, end):
    at = start
    while at < end:
        guard.check(at)
        at += 0.1
    guard.check(end)


@pytest.mark.parametrize(
    ("event", "cold"),
    [
        ("none", False),
        ("short silence", False),
        ("silence", True),
        ("silence that ended", True),
        ("peer", True),
        ("evacuation", True),
        ("evacuation elsewhere", False),
        ("pause of this process", True),
        ("no entry is heard of", True),
    ],
)
def test_what_may_have_made_an_endpoint_cold_again(event, cold):
    guard, state = make_guard()
    run_checks(guard, 0.0, 10.0)
    assert guard.find_share(state.record, 10.0) is None
    if "silence" in event:
        state.record_silence(9.9, 10.0)
        run_checks(guard, 10.0, 10.0 + (0.3 if "short" in event else MIN_SILENCE_SECONDS))
        if event != "silence":
            state.record_progress()
    elif event == "peer":
        report = ColdReport([ColdRow(state.record.incarnation, 3.0), ColdRow("x/1", 3.0)], 0.0)
        relayed = guard.receive(decode_message(encode_message(report)), 10.0)
        assert [row.endpoint for row in relayed.rows] == [state.record.incarnation]
        assert guard.receive(report, 10.0) is None
    elif "evacuation" in event:
        domain = FailureDomain("b" if "elsewhere" in event else "a")
        guard.record_evacuation_end(domain, 10.0)
    elif event == "no entry is heard of":
        rows = [[make_row("other")], []]
        guard.read_entries = lambda: (rows.pop(0) if rows else [], SeedContact.ALL)
    now = 12.0 if "pause" in event else 10.6
    if "pause" not in event:
        run_checks(guard, 10.0, now)
    guard.check(now)
    assert (guard.find_share(state.record, now) is not None) == cold


def test_lasting_silence_is_told_to_peers_and_nothing_else_is():
    guard, state = make_guard()
    told = []
    guard.notify_peers = told.append
    run_checks(guard, 0.0, 5.0)
    assert not told
    state.record_silence(5.0, 5.0)
    run_checks(guard, 5.0, 7.0)
    assert 3 <= len(told) <= 4
    assert all(row.endpoint == state.record.incarnation for m in told for row in m.rows)


# Who shares


@pytest.mark.parametrize(
    ("rows", "seeds", "settled_after"),
    [
        ([], SeedContact.ALL, SETTLE_SECONDS),
        ([], SeedContact.FEW, None),
        ([make_row("a")], SeedContact.ALL, SETTLE_SECONDS),
        ([make_row("a")], SeedContact.MOST, LATE_SEED_SECONDS),
        ([make_row("a")], SeedContact.FEW, None),
        ([make_row("a", settled_count=2)], SeedContact.FEW, SETTLE_SECONDS),
        ([make_row("a", settled_count=3)], SeedContact.FEW, None),  # knows one more than this one
        ([make_row("a", 2), make_row("b", 9)], SeedContact.FEW, SETTLE_SECONDS),
    ],
)
def test_entry_that_starts_settles_once_it_knows_the_others(rows, seeds, settled_after):
    view = EntryView("own", 0.0)
    settled_at = None
    for tick in range(120):
        view.update(rows, seeds, 0.1 * tick)
        if view.settled and settled_at is None:
            settled_at = 0.1 * tick
    if settled_after is None:
        assert settled_at is None
    else:
        assert settled_at == pytest.approx(settled_after, abs=0.15)


@pytest.mark.parametrize(
    ("silent", "leaving", "forgotten_after"),
    [(1, False, MEMORY_SECONDS), (7, False, LONG_MEMORY_SECONDS), (7, True, 0.0)],
)
def test_silent_entries_keep_their_part_for_a_while(silent, leaving, forgotten_after):
    names = [f"entry-{number}" for number in range(7)]
    view = EntryView("own", 0.0)
    view.update([make_row(name, leaving=leaving) for name in names], SeedContact.ALL, 0.1)
    rows = [make_row(name) for name in names[silent:]]
    at = 0.1
    while len(view.names) == 8 and at < 1000.0:
        at += 0.4
        view.update(rows, SeedContact.ALL, at)
    assert at - 0.1 == pytest.approx(forgotten_after, abs=1.0)
    assert len(view.names) == 8 - silent


def test_entry_that_stood_still_is_unsettled_and_keeps_its_view():
    view = EntryView("own", 0.0)
    for tick in range(20):
        view.update([make_row("a")], SeedContact.ALL, 0.1 * tick)
    assert view.settled and view.observe(90.0) and not view.settled
    assert view.names == ("a", "own")
    view.update([], SeedContact.ALL, 90.1)
    assert view.names == ("a", "own")


def test_row_of_an_earlier_build_is_read():
    row = EntryRow("a", 1, "h", 1, 2, "r", "d", True, False, 3.0)
    assert row.settled_count == 0


# The rate


@pytest.mark.parametrize("bound", [6.0, 17.0, 30.5, 80.0])
@pytest.mark.parametrize("count", [1, 2, 5, 9, 13, 24, 25, 40, 60, 300])
def test_shares_of_all_entries_keep_to_the_bound(count, bound):
    rate = min(RATE, bound)
    plan = plan_cold_shares(rate, bound, count)
    most = plan.senders * (int((1.0 + DELIVERY_SECONDS) / plan.interval) + 1)
    assert most <= bound
    entries = [f"entry-{number}" for number in range(count)]
    shares = [compute_cold_share(rate, bound, "e", name, entries) for name in entries]
    assert sum(share > 0 for share in shares) == plan.senders
    assert sum(shares) <= rate * 1.001
    if bound >= 1.5 * rate + 5:
        assert sum(shares) >= 0.9 * rate


@pytest.mark.parametrize(
    ("limit", "share", "cold", "sent"),
    [
        (None, 0.0, ColdShare(17.0, 17.0, 1.0), 17),
        (None, 0.0, ColdShare(17.0, 0.0, 0.0), 0),
        (4.0, 4.0, ColdShare(17.0, 17.0, 1.0), 4),
        (40.0, 40.0, ColdShare(17.0, 2.0, 1.0), 2),
        (4.0, 4.0, None, 4),
    ],
)
def test_lower_of_both_limits_applies(limit, share, cold, sent):
    state = EndpointState(make_record(), None, Random(1))
    state.limit_rate(limit, share, 0.0, cold)
    count = 0
    for tick in range(1, 102):
        if state.has_capacity(0.01 * tick):
            state.record_sent(RequestId(str(tick)), SIZE, 0.01 * tick)
            count += 1
    assert count == pytest.approx(sent, abs=1)


def test_cold_endpoint_frees_no_more_places_than_this_entrys_share():
    state = EndpointState(make_record(slots=4), None, Random(1))
    busy = forecast_slots([state], 10, 0.0).find_wait(1)
    state.limit_rate(None, 0.0, 0.0, ColdShare(10.0, 0.5, 1.0))
    assert forecast_slots([state], 10, 0.0).find_wait(1) == pytest.approx(2.0)
    state.limit_rate(None, 0.0, 0.0)
    assert forecast_slots([state], 10, 0.0).find_wait(1) == busy


@pytest.mark.parametrize(
    ("priority", "warm_load", "chosen"),
    [(0, 4, "e-0"), (1, 4, "e-1"), (2, 8, "e-1"), (1, 60, "e-0")],
    ids=["urgent", "less urgent", "least urgent", "warm one is late"],
)
def test_less_urgent_requests_leave_cold_places_to_urgent_ones(priority, warm_load, chosen):
    cold, warm = [EndpointState(make_record(n, slots=4), None, Random(1)) for n in range(2)]
    cold.limit_rate(None, 0.0, 0.0, ColdShare(17.0, 17.0, 1.0))
    warm.record = replace(warm.record, slots=40)
    placement = Placement(FailureDomain("a"), Random(1))
    for number in range(warm_load):
        warm.record_sent(RequestId(str(number)), SIZE, 0.5)
    if warm_load <= 8:
        warm._work_seconds = 0.1
    else:
        warm._work_seconds = 0.5
    state = placement.choose([cold, warm], SIZE, (), False, 1.0, priority)
    assert state.record.endpoint == chosen


# Fleets

STEP_SECONDS = 0.04
RUN_SECONDS = 8.0
ANNOUNCE_SECONDS = 0.5
LONGEST_NEWS_SECONDS = 0.3  # from one entry to another
LONGEST_RECORD_SECONDS = 1.0  # from the store to an entry
SILENCE_SECONDS = 0.4  # until an entry gives up a request


class Endpoint:
    """An endpoint as it is: dark from `dark_at` to `back_at`, cold from then on."""

    def __init__(self, number, born=1):
        self.record = make_record(number, born)
        self.back_at, self.dark_at = 0.0, float("inf")
        self.arrivals = []

    def is_dark(self, now):
        return self.dark_at <= now < self.back_at

    def count_most(self, cold_seconds):
        """Return the most arrivals in one second while the endpoint was cold."""
        cold = (at for at in self.arrivals if self.back_at <= at < self.back_at + cold_seconds)
        times, most = sorted(cold), 0
        for number, at in enumerate(times):
            most = max(most, bisect_left(times, at + 1.0) - number)
        return most


class Entry:
    """One entry's decisions, with an unlimited demand for each endpoint."""

    def __init__(self, fleet, name, now):
        self.fleet, self.name = fleet, name
        self.phase = fleet.rng.random() * STEP_SECONDS
        sequence = int(now * 1000) + 1
        self.roster = Roster(EntryRow(name, sequence, name, 1, 2, "r", "a", True, False))
        self.states, self.closed, self.waiting, self.met = {}, set(), deque(), {}
        self.relayed = []
        self.guard = ColdGuard(EXCESS, ALLOWANCE, self.states, Metrics(), now)
        self.guard.view = EntryView(name, now)
        self.guard.read_entries = self.read_entries
        self.guard.list_evacuated = lambda: "a" if self.closed else ""
        self.guard.notify_peers = lambda report: fleet.broadcast(self, report, now=self.now)
        self.frozen_until = self.now = now
        self.announce_at = now

    def read_entries(self):
        known = {row.instance for row in self.roster.list_rows()}
        missing = sum(seed not in known for seed in self.fleet.seeds)
        contact = SeedContact.FEW
        if 2 * missing < len(self.fleet.seeds):
            contact = SeedContact.MOST if missing else SeedContact.ALL
        view = self.guard.view
        count = view.live_count if view.settled else 0
        self.roster.own = replace_row(self.roster.own, settled_count=count)
        return self.roster.list_rows(), contact

    def learn(self, record, now):
        known = self.states.get(record.endpoint)
        if known is not None and known.record.born == record.born:
            return
        self.guard.record_endpoint(record, self.fleet.spec, True, now)
        self.states[record.endpoint] = EndpointState(record, None, self.fleet.rng)
        self.apply_limits(now)

    def apply_limits(self, now):
        for state in self.states.values():
            cold = self.guard.find_share(state.record, now)
            if cold is not None or state.cold:
                state.limit_rate(None, 0.0, now, cold)

    def receive(self, message, now):
        if isinstance(message, ColdReport):
            self.guard.receive(message, now)
        elif isinstance(message, WarmReport):
            self.guard.receive_warm(message, now)
        elif changed := self.roster.merge(message, now):
            if not self.relayed:
                self.fleet.plan(now + RELAY_DELAY_SECONDS, self.fleet.relay, self)
            self.relayed += changed

    def run(self, now):
        self.now = now
        if now >= self.announce_at:
            self.announce_at = now + ANNOUNCE_SECONDS
            self.roster.remove_silent(now)
            own = self.roster.own
            self.roster.own = replace_row(own, sequence=own.sequence + 1)
            self.fleet.announce(self, now)
        if self.guard.check(now):
            self.apply_limits(now)
        while self.waiting and self.waiting[0][1] <= now - SILENCE_SECONDS:
            state, sent_at, request = self.waiting.popleft()
            state.record_unreachable(request, sent_at, now)
        for name, state in self.states.items():
            if name not in self.closed and state.has_capacity(now):
                self.send(state, now)

    def send(self, state, now):
        request = RequestId(str(now))
        state.record_sent(request, SIZE, now)
        endpoint = self.fleet.endpoints[state.record.endpoint]
        if endpoint.record.born != state.record.born or endpoint.is_dark(now):
            self.waiting.append((state, now, request))
            return
        endpoint.arrivals.append(now)
        state.record_progress()
        state.record_success(request, now)


def replace_row(row, **fields):
    return msgspec.structs.replace(row, **fields)


class Fleet:
    """Entries that start, are lost, freeze and are cut off, on a simulated clock."""

    def __init__(self, seed, count, endpoint_count=2, cold_seconds=COLD_SECONDS, calm=False):
        self.rng = Random(seed)
        self.spec = replace(SPEC, cold_seconds=cold_seconds)
        self.names = [f"entry-{number}" for number in range(count)]
        self.seeds = self.rng.sample(self.names, min(count, self.rng.choice([1, 3, 60])))
        self.entries, self.cut = {}, set()
        self.endpoints = {}
        self.finished, self.evacuated = [], False
        self.events, self.sequence = [], 0
        for number in range(endpoint_count):
            endpoint = Endpoint(number)
            self.endpoints[endpoint.record.endpoint] = endpoint
        spread = self.rng.choice([0.0, 0.2, 2.0])
        for name in self.names:
            self.plan(0.0 if calm else spread * self.rng.random(), self.start, name)
        if not calm:
            self.plan_troubles()

    def plan(self, at, call, *args):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, call, args))

    def plan_troubles(self):
        rng = self.rng
        for name in self.endpoints:
            kind = rng.choice([self.replace_endpoint, self.darken, self.evacuate])
            self.plan(rng.uniform(0.5, 4.0), kind, name)
        for kind in rng.sample([self.lose, self.freeze, self.cut_off, self.join], 2):
            group = rng.sample(self.names, rng.randint(1, max(1, len(self.names) // 2)))
            self.plan(rng.uniform(0.3, 4.0), kind, group)

    def start(self, now, name):
        self.entries[name] = entry = Entry(self, name, now)
        entry.closed.update(self.endpoints if self.evacuated else ())
        for endpoint in self.endpoints.values():
            entry.learn(endpoint.record, now)

    def lose(self, now, group):
        """Some are lost together; half of them start again."""
        for number, name in enumerate(group):
            self.entries.pop(name, None)
            if number % 2:
                self.plan(now + self.rng.uniform(0.2, 2.0), self.start, name)

    def join(self, now, group):
        for name in group[:10]:
            self.plan(now + self.rng.random(), self.start, f"new-{name}")

    def freeze(self, now, group):
        until = now + self.rng.uniform(0.3, 3.0)
        for name in group:
            if name in self.entries:
                self.entries[name].frozen_until = until

    def cut_off(self, now, group):
        self.cut = set(group)
        self.plan(now + self.rng.uniform(0.5, 4.0), self.reconnect)

    def reconnect(self, now):
        self.cut = set()

    def replace_endpoint(self, now, name):
        old = self.endpoints[name]
        self.finished.append(old)
        new = Endpoint(int(name[2:]), old.record.born + 1)
        new.back_at = now
        self.endpoints[name] = new
        self.tell(now, lambda at, entry: entry.learn(new.record, at))

    def darken(self, now, name):
        endpoint = self.endpoints[name]
        endpoint.dark_at, endpoint.back_at = now, now + self.rng.uniform(1.2, 3.0)
        self.finished.append(copy(endpoint))

    def evacuate(self, now, name):
        """Take all endpoints out of service, which all entries know before any is cold."""
        ends_at = now + LONGEST_RECORD_SECONDS + 0.5
        self.evacuated = True
        for endpoint in self.endpoints.values():
            self.tell(now, lambda at, entry, e=endpoint: entry.closed.add(e.record.endpoint))
            self.plan(ends_at, self.end_evacuation, endpoint)

    def end_evacuation(self, now, endpoint):
        endpoint.back_at = max(endpoint.back_at, now)
        self.evacuated = False

        def open_again(at, entry):
            entry.guard.record_evacuation_end(endpoint.record.failure_domain, at)
            entry.apply_limits(at)
            entry.closed.discard(endpoint.record.endpoint)

        self.tell(now, open_again)

    def tell(self, now, call):
        for entry in self.entries.values():
            self.plan(now + self.rng.random() * LONGEST_RECORD_SECONDS, self.deliver, entry, call)

    def deliver(self, now, entry, call):
        if now < entry.frozen_until:
            self.plan(entry.frozen_until, self.deliver, entry, call)
            return
        call(now, entry)

    def announce(self, entry, now):
        row = [entry.roster.own]
        names = {known.instance for known in entry.roster.list_rows()}.union(self.seeds)
        for name in sorted(names):
            other = self.entries.get(name)
            if other is None or other is entry or not self.is_linked(entry, other):
                continue
            if other not in entry.met and now < other.frozen_until:
                continue
            if other not in entry.met:
                entry.met[other] = True
                other.met[entry] = True
                for sender, receiver in ((entry, other), (other, entry)):
                    self.send(sender, receiver, sender.roster.list_rows(), now)
                    report = sender.guard.make_warm_report(now)
                    if report is not None:
                        self.send(sender, receiver, report, now)
            else:
                self.send(entry, other, row, now)

    def relay(self, now, entry):
        rows, entry.relayed = entry.relayed, []
        for other in entry.met:
            if self.entries.get(other.name) is other and self.is_linked(entry, other):
                self.send(entry, other, rows, now)

    def broadcast(self, entry, message, now):
        for other in self.entries.values():
            if other is not entry and self.is_linked(entry, other):
                self.send(entry, other, message, now)

    def is_linked(self, first, second):
        return (first.name in self.cut) == (second.name in self.cut)

    def send(self, sender, receiver, message, now):
        def receive(at, entry):
            entry.receive(message, at)

        delay = self.rng.random() * LONGEST_NEWS_SECONDS
        self.plan(now + delay, self.deliver, receiver, receive)

    def run(self, until=RUN_SECONDS, step_seconds=STEP_SECONDS, since=0.0):
        for step in range(round(since / step_seconds), round(until / step_seconds)):
            now = step * step_seconds
            while self.events and self.events[0][0] <= now:
                _, _, call, args = heapq.heappop(self.events)
                call(now, *args)
            for entry in list(self.entries.values()):
                if now >= entry.frozen_until:
                    entry.run(now + entry.phase)
        return self

    def count_most(self):
        every = [*self.finished, *self.endpoints.values()]
        return max(endpoint.count_most(self.spec.cold_seconds) for endpoint in every)


@pytest.fixture(autouse=True)
def quiet():
    """The log lines of thousands of entries would take longer than their decisions."""
    logging.disable(logging.INFO)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_no_fleet_exceeds_the_bound_of_a_cold_endpoint(first):
    for seed in range(first, first + 20):
        count = Random(seed).randint(1, 60)
        assert Fleet(seed, count).run().count_most() <= BOUND, f"seed {seed}, {count} entries"


@pytest.mark.parametrize("count", [1, 2, 5, 9, 13, 25, 40, 60])
def test_calm_fleet_uses_the_rate_of_a_cold_endpoint(count):
    fleet = Fleet(count, count, cold_seconds=60.0, calm=True).run(9.0, TICK_SECONDS)
    assert fleet.count_most() <= BOUND
    for endpoint in fleet.endpoints.values():
        sent = sum(at >= 4.0 for at in endpoint.arrivals)
        assert sent >= 0.8 * RATE * 5.0


@pytest.mark.parametrize("count", [1, 13, 60])
def test_fleet_and_endpoints_that_restart_together_keep_to_the_bound(count):
    """All machines lose power: nobody knows anybody, and demand is far above what is allowed."""
    fleet = Fleet(count, count, cold_seconds=6.0, calm=True)
    fleet.run(4.0, TICK_SECONDS)
    fleet.entries, fleet.events = {}, []
    for name in fleet.endpoints:
        fleet.endpoints[name] = Endpoint(int(name[2:]), born=2)
        fleet.endpoints[name].back_at = 4.0
    for name in fleet.names:
        fleet.plan(4.0 + 0.3 * fleet.rng.random(), fleet.start, name)
    fleet.run(10.0, TICK_SECONDS, since=4.0)
    assert fleet.count_most() <= BOUND
    for endpoint in fleet.endpoints.values():
        assert sum(at >= 8.0 for at in endpoint.arrivals) >= 0.8 * RATE * 2.0


# The gateway


def make_cold_harness(cold_rate, cold_seconds=COLD_SECONDS, endpoints=1):
    """Return the harness of a gateway that is alone, settled and has one cold service."""
    harness = GatewayHarness(endpoints=endpoints)
    service = ServiceSpec(SPEC.name, 100, cold_seconds=cold_seconds, cold_rate=cold_rate)
    catalogue = harness.tables.catalogue
    teams = {f"key-{n}": Team(TeamName(f"team-{n}"), priority=n) for n in (0, 2)}
    services = {**catalogue.services, SPEC.name: service}
    harness.tables.catalogue = replace(catalogue, services=services, teams=teams)
    harness.gateway.cold.view.settled = True
    harness.gateway.refresh()
    return harness


def pump(harness, seconds):
    """Let time pass; return the requests that have reached endpoints, each on its connection."""
    sent = []
    for _ in range(round(seconds / TICK_SECONDS)):
        harness.clock.advance(TICK_SECONDS)
        while (transport := harness.accept()) is not None:
            sent.append(transport)
    return sent


@pytest.mark.parametrize(
    ("rate", "seconds", "sent", "refused"),
    [(40.0, 3.0, (6, 12), (15, 26)), (0.0, 3.0, (12, 12), (0, 0)), (40.0, 0.0, (12, 12), (0, 0))],
    ids=["cold", "no rate", "no time"],
)
def test_requests_beyond_a_cold_share_are_refused_at_once(rate, seconds, sent, refused):
    """Without the fields all of them are placed or wait, as before."""
    harness = make_cold_harness(rate, seconds)
    callers = [harness.send_request(key="key-2", request=f"r-{n}") for n in range(30)]
    answered = [caller for caller in callers if b" 503 " in caller.value()]
    assert refused[0] <= len(answered) <= refused[1]
    connections = pump(harness, 0.36)
    assert sent[0] <= len(connections) <= sent[1]
    counters = harness.gateway.metrics.snapshot()["counters"]
    assert ("requests_to_cold" in counters) == bool(rate and seconds)
    assert ("placements_put_off_by_cold" in counters) == bool(rate and seconds)


def test_urgent_request_gets_the_place_for_which_others_wait():
    harness = make_cold_harness(10.0)
    for name, key in (("late", "key-2"), ("urgent", "key-0")):
        harness.send_request(key=key, request=name)
    sent = pump(harness, 0.2)
    assert [b"urgent" in transport.value() for transport in sent] == [True], sent[0].value()


def test_endpoint_is_used_as_before_once_it_says_that_it_is_warm():
    harness = make_cold_harness(10.0)
    pump(harness, 1.0)
    harness.send_request(key="key-0", request="r-0")
    (first,) = pump(harness, 0.2)
    state = harness.gateway._states[InstanceId("e-0")]
    assert state.cold and state.rate_limit == 10.0
    headers = ("X-Cold-Ms: 0",)
    first.protocol.dataReceived(make_response(b"ok", request="r-0", headers=headers))
    pump(harness, 0.04)
    assert not state.cold and state.rate_limit is None
    for number in range(1, 6):
        harness.send_request(key="key-2", request=f"r-{number}")
    assert len(pump(harness, 0.02)) + (b"r-" in first.value()) >= 5


def test_service_without_a_cold_rate_is_served_as_before(caplog):
    logging.disable(logging.NOTSET)
    caplog.set_level(logging.INFO)
    harness = GatewayHarness(endpoints=2, engines=2)
    harness.gateway.cold.record_evacuation_end(FailureDomain("a"), 0.0)
    for number in range(8):
        harness.send_request(request=f"r-{number}")
    assert len(pump(harness, 0.02)) == 8
    assert not any(state.cold for state in harness.gateway._states.values())
    lines = [record.getMessage() for record in caplog.records]
    assert "request placed" in lines
    assert not [line for line in lines if "cold" in line or "view of entries" in line]


def test_gateway_logs_what_turns_cold_and_warm(caplog):
    logging.disable(logging.NOTSET)
    caplog.set_level(logging.INFO)
    harness = make_cold_harness(10.0)
    assert harness.gateway.metrics.snapshot()["gauges"]["endpoints_cold"] == 1.0
    pump(harness, COLD_SECONDS + 1.0)
    rows = [row for row in caplog.records if row.getMessage().startswith("endpoint ")]
    assert [row.getMessage() for row in rows] == ["endpoint cold", "endpoint warm"]
    assert harness.gateway.metrics.snapshot()["gauges"]["endpoints_cold"] == 0.0
