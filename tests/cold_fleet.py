"""A fleet of entries before cold endpoints: their decisions alone, on a simulated clock."""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import deque
from copy import copy
from dataclasses import replace
from random import Random

import msgspec

from coltsfootshift.gateway.cold_guard import ColdGuard
from coltsfootshift.gateway.entry_view import EntryView, SeedContact
from coltsfootshift.gateway.fleet import RELAY_DELAY_SECONDS
from coltsfootshift.gateway.model import EndpointRecord, ServiceSpec
from coltsfootshift.gateway.placement import EndpointState, WorkSize
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId, ServiceName
from coltsfootshift.messages import ColdReport, EntryRow, WarmReport
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
        count = view.live_count if view.settled and view.hears_most else 0
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
