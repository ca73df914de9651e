"""Cold endpoints: what is believed of them, who may send to them, and how much in one second."""

from __future__ import annotations

import logging
from dataclasses import replace
from random import Random

import pytest
from cold_fleet import (
    ALLOWANCE,
    BOUND,
    COLD_SECONDS,
    EXCESS,
    RATE,
    SIZE,
    SPEC,
    Endpoint,
    Fleet,
    make_record,
    make_row,
)
from coltsfootshift_platform.dialect import PlatformDialect
from fleet_harness import Stream
from gateway_harness import BOUNDS, GatewayHarness, NullDecoder, make_response
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.gateway.cold_guard import MIN_SILENCE_SECONDS, ColdGuard
from coltsfootshift.gateway.coldness import MARGIN_SECONDS, ColdCause, Coldness
from coltsfootshift.gateway.endpoint_limits import (
    DELIVERY_SECONDS,
    compute_cold_share,
    plan_cold_shares,
)
from coltsfootshift.gateway.endpoint_rate import ColdShare
from coltsfootshift.gateway.entry_node import GatewayEntry
from coltsfootshift.gateway.entry_view import (
    LATE_SEED_SECONDS,
    LONG_MEMORY_SECONDS,
    MEMORY_SECONDS,
    SETTLE_SECONDS,
    EntryView,
    SeedContact,
)
from coltsfootshift.gateway.model import ServiceSpec, Team
from coltsfootshift.gateway.nodes import NodeConfig
from coltsfootshift.gateway.placement import (
    EndpointState,
    Placement,
    forecast_slots,
)
from coltsfootshift.gateway.service import TICK_SECONDS
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId, TeamName
from coltsfootshift.messages import ColdReport, ColdRow, EntryRow, WarmReport
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

WARM_REPORT = WarmReport([make_record().incarnation], 0.0)

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


def make_guard(now=0.0, spec=SPEC, tell=None, **options):
    """Return a guard with one endpoint, alone and settled, and the endpoint's state.

    `tell` is a report that it has received before it sees the endpoint.
    """
    record = make_record(**options)
    states = {record.endpoint: EndpointState(record, None, Random(1))}
    guard = ColdGuard(EXCESS, ALLOWANCE, states, Metrics(), now)
    guard.view = EntryView("own", now)
    guard.view.settled = True
    if tell is not None:
        guard.receive_warm(tell, now)
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


@pytest.mark.parametrize(
    ("state_of", "told"),
    [("warm", 1), ("cold", 0), ("silent", 0), ("evacuated", 0), ("unsettled", 0), ("isolated", 0)],
)
def test_settled_entry_tells_what_it_knows_to_be_warm(state_of, told):
    guard, state = make_guard()
    run_checks(guard, 0.0, 1.0 if state_of == "cold" else 10.0)
    if state_of == "silent":
        state.record_silence(9.9, 10.0)
    elif state_of == "evacuated":
        guard.list_evacuated = lambda: {FailureDomain("a")}
    elif state_of == "unsettled":
        guard.view.settled = False
    elif state_of == "isolated":
        guard.view.update([make_row("a")], SeedContact.ALL, 10.0)
        guard.view.update([], SeedContact.ALL, 10.1)
    report = guard.make_warm_report(10.1)
    assert (0 if report is None else len(report.endpoints)) == told


@pytest.mark.parametrize("first", ["record", "report"])
@pytest.mark.parametrize("heard", ["nothing", "record", "silence", "peer", "pause"])
def test_entry_that_starts_takes_the_word_of_a_settled_one(first, heard):
    """It still believes what has been heard of the endpoint itself."""
    guard, state = make_guard(tell=WARM_REPORT if first == "report" else None)
    guard.view.settled = False
    run_checks(guard, 0.0, 0.5)
    if heard == "record":
        guard.record_endpoint(replace(state.record, cold_for=2.0), SPEC, False, 0.5)
    elif heard == "silence":
        state.record_silence(0.0, 0.1)
        run_checks(guard, 0.5, 0.7)
    elif heard == "peer":
        guard.receive(ColdReport([ColdRow(state.record.incarnation, 2.0)], 0.0), 0.6)
    if first == "record":
        guard.receive_warm(decode_message(encode_message(WARM_REPORT)), 0.7)
    end = 1.5 if heard == "pause" else 0.8
    guard.check(end)
    assert (guard.find_share(state.record, end) is None) == (heard == "nothing")


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


@pytest.mark.parametrize(
    ("pause", "paused", "settled"),
    [(0.4, False, True), (1.0, True, True), (3.0, True, False), (90.0, True, False)],
)
def test_entry_that_stood_still_keeps_its_view(pause, paused, settled):
    view = EntryView("own", 0.0)
    for tick in range(20):
        view.update([make_row("a")], SeedContact.ALL, 0.1 * tick)
    assert view.settled and view.observe(1.9 + pause) == paused
    assert view.settled == settled and view.names == ("a", "own")
    view.update([], SeedContact.ALL, 2.0 + pause)
    assert view.names == ("a", "own")


@pytest.mark.parametrize(
    ("count", "live", "isolated"),
    [(1, 1, False), (2, 1, True), (3, 1, True), (3, 2, False), (8, 2, True), (8, 3, False)]
    + [(60, 15, True), (60, 16, False)],
)
def test_entry_that_hears_of_few_others_is_isolated(count, live, isolated):
    view = EntryView("own", 0.0)
    rows = [make_row(f"entry-{number}") for number in range(count - 1)]
    view.update(rows, SeedContact.ALL, 0.1)
    view.update(rows[: live - 1], SeedContact.ALL, 0.2)
    assert view.isolated == isolated


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


@pytest.fixture(autouse=True)
def quiet():
    """The log lines of thousands of entries would take longer than their decisions."""
    logging.disable(logging.INFO)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_no_fleet_exceeds_the_bound_of_a_cold_endpoint(first):
    """The last seed is of two entries that are cut off and may not send to what goes dark."""
    for seed in [*range(first, first + 20), *([2030] if first == 180 else [])]:
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


@pytest.mark.parametrize("count", [13, 40])
def test_endpoints_that_were_dark_are_warm_again_everywhere(count):
    """Some entries may not send to a cold endpoint, and so cannot find out that it is back."""
    fleet = Fleet(7, count, endpoint_count=4, calm=True).run(6.0)
    for name in fleet.endpoints:
        fleet.darken(6.0, name)
    fleet.run(20.0, since=6.0)
    assert fleet.count_most() <= BOUND
    for endpoint in fleet.endpoints.values():
        incarnation = endpoint.record.incarnation
        for entry in fleet.entries.values():
            assert not entry.guard._coldness.is_cold(incarnation, 20.0)


@pytest.mark.parametrize(
    ("count", "cut", "restarted"), [(60, 2, 1), (60, 6, 5), (13, 2, 1), (13, 6, 5)]
)
def test_entries_that_restart_while_cut_off_with_another_take_no_larger_share(
    count, cut, restarted
):
    """The one that goes on knows all, but hears only those few; they settle by its word."""
    fleet = Fleet(3, count, calm=True)
    fleet.seeds = fleet.names[-3:]
    fleet.run(4.0)
    group = fleet.names[:cut]
    fleet.cut = set(group)
    for name in group[:restarted]:
        fleet.plan(4.2, fleet.start, name)
    for endpoint in list(fleet.endpoints):
        fleet.plan(9.0, fleet.replace_endpoint, endpoint)
    fleet.run(13.0, since=4.0)
    assert fleet.count_most() <= BOUND


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


def test_waking_entry_takes_no_endpoint_for_warm_before_it_has_read_anything():
    """Connections that were lost meanwhile are read first, and their requests sent again."""
    harness = make_cold_harness(5.0, endpoints=2)
    pump(harness, 4.5)
    for number in range(16):
        harness.send_request(key="key-0", request=f"r-{number}")
    links = [(dial[1], harness.accept()) for dial in list(harness.clock.tcpClients)]
    assert links
    dialled = len(harness.clock.tcpClients)

    def lose_first():
        for port, transport in links:
            if port == 80:
                transport.disconnect(ConnectionLost())

    harness.stand_still(0.8, lose_first)
    assert len(harness.clock.tcpClients) - dialled <= 1


def test_endpoint_of_a_service_that_gets_its_cold_rate_back_is_not_taken_for_warm():
    guard = ColdGuard(EXCESS, ALLOWANCE, {}, Metrics(), 0.0)
    guard.view.settled = True
    for now, rate in ((0.0, RATE), (10.0, 0.0), (100.0, RATE)):
        spec = replace(SPEC, cold_rate=rate)
        guard.record_endpoint(make_record(), spec, now == 0.0, now)
        assert (guard.find_share(make_record(), now) is not None) == bool(rate)


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


def make_entry(clock, number, seeds=()):
    address = Address(f"10.0.0.{number}", 1)
    name, domain = InstanceId(f"entry-{number}"), FailureDomain("a")
    config = NodeConfig(name, address, "north", domain, seeds, 8.0, 3)
    node = GatewayEntry(clock, config, NullDecoder(), PlatformDialect(), address, BOUNDS)
    catalogue = make_cold_harness(10.0).tables.catalogue
    node.tables.catalogue = catalogue
    node.tables.endpoints[InstanceId("e-0")] = make_record()
    node.gateway.refresh()
    return node


def run_node(node, clock, seconds):
    for _ in range(round(seconds / 0.1)):
        clock.advance(0.1)
        node.gateway.cold.check(clock.seconds())


@pytest.mark.parametrize(
    ("seeds", "settled"), [((), True), (("10.0.0.1",), True), (("10.0.0.1", "10.0.0.2"), False)]
)
def test_entry_alone_settles_only_if_no_other_is_named(seeds, settled):
    clock = MemoryReactorClock()
    node = make_entry(clock, 1, tuple(Address(host, 1) for host in seeds))
    run_node(node, clock, 9.0)
    assert node.gateway.cold.view.settled == settled
    assert node.roster.own.settled_count == int(settled)


def test_entry_that_starts_hears_from_a_settled_one_what_is_warm():
    clock = MemoryReactorClock()
    old = make_entry(clock, 1)
    run_node(old, clock, 9.0)
    new = make_entry(clock, 2, (Address("10.0.0.1", 1),))
    record = make_record()
    assert new.gateway.cold.find_share(record, clock.seconds()) is not None
    streams = {old: Stream(peer_id="entry-2"), new: Stream(peer_id="entry-1")}
    for node in (old, new):
        node.fleet.stream_opened(streams[node])
    for message in [decode_message(encode_message(m)) for m in streams[old].sent]:
        new.fleet.stream_received(streams[new], message)
    run_node(new, clock, 0.2)
    assert new.gateway.cold.find_share(record, clock.seconds()) is None
    assert not new.gateway.cold.view.settled
    run_node(new, clock, SETTLE_SECONDS + 0.3)
    assert new.gateway.cold.view.settled and new.roster.own.settled_count == 2


def test_report_that_was_long_on_its_way_warms_nothing():
    clock = MemoryReactorClock()
    node = make_entry(clock, 2, (Address("10.0.0.1", 1),))
    stream = Stream(peer_id="entry-1")
    stream.transit_delay = stream.max_transit_seconds = 0.6
    node.fleet.stream_opened(stream)
    node.fleet.stream_received(stream, WARM_REPORT)
    run_node(node, clock, 0.2)
    assert node.gateway.cold.find_share(make_record(), clock.seconds()) is not None
