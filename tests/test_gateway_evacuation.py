"""Requests of an entry while the operator takes failure domains out of service and back.

A domain is emptied before work on its power or network: what is placed there afterwards is lost
with it, and what is withdrawn needlessly is run twice.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from gateway_harness import GatewayHarness, NullDecoder, make_chunk, make_event
from rollout_cluster import Cluster
from test_gateway_endpoint_notices import (
    BURST_REQUESTS,
    MODEL_HEADERS,
    Arrivals,
    advance,
    list_endpoint,
    read_retry_after,
    read_status,
    remove_endpoint,
    respond,
)
from test_gateway_homes import HomesHarness

from coltsfootshift.gateway.model import ServiceSpec
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer
from coltsfootshift.gateway.waiting import (
    QueuedRequest,
    RequestsAhead,
    ServiceQueue,
    SlotForecast,
    Turn,
)
from coltsfootshift.ids import FailureDomain, ServiceName


class Decoder(NullDecoder):
    """Decodes items `evacuate/DOMAIN`."""

    def read_evacuation(self, item):
        if not item.key.startswith("evacuate/"):
            return None
        return FailureDomain(item.key.removeprefix("evacuate/"))


def make_harness(*domains, **fields):
    """Return a harness with the plain endpoints `e-0`, `e-1` and so on in the given domains."""
    harness = GatewayHarness(endpoints=0, decoder=Decoder(), **fields)
    for number, domain in enumerate(domains):
        list_endpoint(harness, number, domain=domain)
    return harness


def write(tables, now, domain, value=b"{}"):
    """Let the operator write the item that evacuates a domain, or remove it."""
    revision = tables.get_position(Table.OPERATOR).revision + 1
    item = Item(f"evacuate/{domain}", revision, value)
    tables.apply(TableAnswer(Table.OPERATOR, (item,), revision, False, now), now)


def evacuate(harness, *domains):
    for domain in domains:
        write(harness.tables, harness.clock.seconds(), domain)
    harness.gateway.refresh()


def take_back(harness, domain):
    write(harness.tables, harness.clock.seconds(), domain, None)
    harness.gateway.refresh()


def send_many(harness, count, route="read", prefix="r"):
    return [harness.send_request(route, request=f"{prefix}-{n}") for n in range(count)]


def read_gauge(harness, name):
    return harness.gateway.metrics.snapshot()["gauges"].get(name)


@pytest.mark.parametrize("route", ["read", "book", "talk"])
@pytest.mark.parametrize(
    ("out", "expected"),
    [
        (["a"], {"e-1", "e-2"}),
        (["b"], {"e-0", "e-2"}),
        (["a", "c"], {"e-1"}),
        (["elsewhere"], {"e-0", "e-1", "e-2"}),
    ],
    ids=["own domain", "another", "two", "unknown"],
)
def test_nothing_is_placed_in_an_evacuated_domain(out, expected, route):
    harness = make_harness("a", "b", "c")
    evacuate(harness, *out)
    arrivals = Arrivals(harness)
    send_many(harness, BURST_REQUESTS, route)
    assert set(arrivals.take_receivers()) <= expected
    for domain in out:
        take_back(harness, domain)
    send_many(harness, 3 * BURST_REQUESTS, route, "later")
    reached = set(arrivals.take_receivers())
    assert reached & ({"e-0", "e-1", "e-2"} - expected) or out == ["elsewhere"]


@pytest.mark.parametrize("route", ["read", "book", "talk"])
def test_answer_that_was_sent_for_ends_where_it_is(route):
    """It may have begun: to withdraw it would lose the work, and run it a second time."""
    harness = make_harness("a", "b")
    arrivals = Arrivals(harness)
    caller = harness.send_request(route)
    ((endpoint, _, connection),) = arrivals.take()
    if route == "talk":
        respond(connection, "stream")
    evacuate(harness, "a" if endpoint == "e-0" else "b")
    advance(harness, 0.3)
    assert arrivals.take() == [] and not connection.aborted
    if route == "talk":
        connection.protocol.dataReceived(make_chunk(make_event(2)) + make_chunk(b""))
        assert b"piece-1" in caller.value() and b"piece-2" in caller.value()
    else:
        respond(connection, 200)
    assert read_status(caller) == 200 and harness.gateway.unfinished == 0


@pytest.mark.parametrize(
    ("route", "headers"), [("read", ()), ("talk", ())], ids=["plain", "begun stream"]
)
def test_retry_leaves_an_evacuated_domain(route, headers):
    """The endpoint breaks the connection after its domain was evacuated, with another there."""
    harness = make_harness("a", "a", "b")
    arrivals = Arrivals(harness)
    harness.send_request(route, headers)
    ((endpoint, _, connection),) = arrivals.take()
    assert endpoint in ("e-0", "e-1")
    if route == "talk":
        respond(connection, "stream")
    evacuate(harness, "a")
    connection.abortConnection()
    advance(harness, 0.3)
    assert arrivals.take_receivers() == ["e-2"]


@pytest.mark.parametrize("route", ["read", "book", "talk"])
def test_request_that_has_not_left_goes_elsewhere(route):
    """A dial that ends after the bound would bring the request there."""
    harness = make_harness("a", "b")
    harness.send_request(route)
    (port,) = [client[1] for client in harness.clock.tcpClients]
    evacuate(harness, "a" if port == 80 else "b")
    assert [client[1] for client in harness.clock.tcpClients] == [port, 161 - port]
    arrivals = Arrivals(harness)
    assert arrivals.take_receivers() == ["e-1" if port == 80 else "e-0"]
    assert harness.gateway.metrics.get_count("retries_over_budget") == 0
    caller = harness.send_request(route, request="r-2")
    evacuate(harness, "a", "b")
    assert read_status(caller) == 503 and read_retry_after(caller) > 0
    assert arrivals.take() == []


@pytest.mark.parametrize("full", [False, True], ids=["placed at once", "queued first"])
def test_dial_of_a_retry_that_is_withdrawn_costs_no_second_retry(full):
    """The retry has not left: with an empty budget, the request would end for nothing."""
    harness = make_harness("a", "b", "c")
    arrivals = Arrivals(harness)
    caller = harness.send_request("read")
    ((_, _, connection),) = arrivals.take()
    respond(connection, 500)
    advance(harness, 0.02)
    (exchange,) = harness.gateway._exchanges
    spent = harness.gateway._budget._retries[ServiceName("s")]
    assert len(spent) == 1 and not exchange.sent
    for state in harness.gateway._states.values() if full else ():
        state.backoff_until = 1e9
    harness.gateway._budget._ratio = harness.gateway._budget._allowance = 0.0  # no more is left
    evacuate(harness, exchange.attempted.record.failure_domain)
    advance(harness, 0.1)
    for state in harness.gateway._states.values():
        state.backoff_until = 0.0
    advance(harness, 0.02)
    assert len(spent) == 1 and spent[0] >= (0.12 if full else 0.02)
    ((_, _, connection),) = arrivals.take()
    respond(connection, 500)
    advance(harness, 0.02)
    assert read_status(caller) == 500 and arrivals.take() == []  # what has left costs one


def test_what_waits_goes_elsewhere_or_is_refused_at_once():
    """A domain of two is evacuated while both are full and requests wait for either."""
    harness = make_harness("a", "b", seed=3)
    arrivals = Arrivals(harness)
    callers = send_many(harness, 124)
    running = arrivals.take()
    waiting = harness.gateway._count_waiting()
    assert waiting > 10
    evacuate(harness, "elsewhere")
    assert harness.gateway._count_waiting() == waiting
    evacuate(harness, "a")
    refused = [caller for caller in callers if read_status(caller) == 503]
    still_waiting = harness.gateway._count_waiting()
    assert 0 < still_waiting < waiting and len(refused) >= waiting - still_waiting
    assert all(read_retry_after(caller) > 0 for caller in refused)
    for _, request, connection in running:
        respond(connection, 200, request=request)
    for _ in range(20):
        advance(harness, 0.02)
        assert set(arrivals.answer()) <= {"e-1"}
    statuses = [read_status(caller) for caller in callers]
    assert statuses.count(200) + statuses.count(503) == len(callers)
    assert statuses.count(200) >= len(running) + still_waiting * 0.8


def test_evacuation_elsewhere_refuses_nobody_that_waits():
    """Fewer places for another reason, here a removed endpoint, are no matter of the evacuation."""
    harness = make_harness("a", "b", seed=3)
    send_many(harness, 124)
    remove_endpoint(harness, 0)
    waiting = harness.gateway._count_waiting()
    evacuate(harness, "elsewhere")
    assert harness.gateway._count_waiting() == waiting > 90


def test_evacuation_elsewhere_refuses_nobody_with_other_homes():
    """What waits has places in time in its own homes, though not if all homes shared a queue."""
    harness = HomesHarness(read=["south"], talk=["east"])
    harness.tables._decoder = Decoder()
    harness.confirm()
    harness.fill("a", "b", "c")
    callers = send_many(harness, 60) + send_many(harness, 60, "talk", "t")
    evacuate(harness, "a")
    assert not any(read_status(caller) for caller in callers)
    evacuate(harness, "b")
    assert [read_status(caller) for caller in callers] == [503] * 60 + [0] * 60


@pytest.mark.parametrize("engines", [False, True], ids=["plain", "engines"])
def test_requests_are_refused_at_once_while_all_domains_are_out(engines):
    """Their callers come back when told to; none is denied."""
    harness = make_harness("a", "b")
    for number in range(2 if engines else 0):
        harness.add_endpoint(f"m-{number}", "llm", 180 + number, {"m": 1}, domain="ab"[number])
    harness.gateway.refresh()
    route, headers = ("model", MODEL_HEADERS) if engines else ("read", ())
    arrivals = Arrivals(harness)
    callers = [harness.send_request(route, headers, request=f"r-{n}") for n in range(60)]
    sent = len(arrivals.take())
    evacuate(harness, "a", "b")
    assert harness.gateway._count_waiting() == 0
    refused = [caller for caller in callers if read_status(caller)]
    assert len(refused) == 60 - sent
    refused.append(harness.send_request(route, headers, request="later"))
    for caller in refused:
        assert read_status(caller) == 503 and read_retry_after(caller) > 0
    take_back(harness, "b")
    harness.send_request(route, headers, request="again")
    assert set(arrivals.take_receivers()) <= {"m-1" if engines else "e-1"}


@pytest.mark.parametrize("lost_first", [True, False], ids=["lost, then evacuated", "evacuated"])
def test_domain_is_lost_while_another_is_evacuated(lost_first):
    """The last domain serves alone; retries of what was lost go only there."""
    harness = make_harness("a", "b", "c")
    arrivals = Arrivals(harness)
    callers = send_many(harness, 6)
    steps = [lambda: evacuate(harness, "b"), lambda: lose(arrivals.take())]
    for step in reversed(steps) if lost_first else steps:
        step()
    for number in range(25):
        callers.append(harness.send_request(request=f"later-{number}"))
        advance(harness, 0.04)
        for endpoint, request, connection in arrivals.take():
            if endpoint == "e-0":
                connection.abortConnection()
            else:
                assert endpoint == "e-2"
                respond(connection, 200, request=request)
    assert [read_status(caller) for caller in callers[6:]].count(200) >= 24


def lose(rows):
    """End the connections to the endpoint of domain `a`; answer on the others."""
    for endpoint, request, connection in rows:
        if endpoint == "e-0":
            connection.abortConnection()
        else:
            respond(connection, 200, request=request)


def test_operators_see_what_is_out_and_what_runs_there(lines):
    harness = make_harness("a", "b")
    arrivals = Arrivals(harness)
    send_many(harness, 4)
    rows = arrivals.take()
    running = [endpoint for endpoint, _, _ in rows].count("e-0")
    assert running > 0 and read_gauge(harness, "failure_domains_evacuated") == 0.0
    evacuate(harness, "a", "nowhere")
    assert lines().count("failure domain evacuated") == 2
    harness.clock.advance(0.25)
    assert read_gauge(harness, "failure_domains_evacuated") == 2.0
    assert read_gauge(harness, "evacuated_requests_running") == running
    assert read_gauge(harness, "evacuation_requests_a") == running
    assert read_gauge(harness, "evacuation_seconds_a") == 0.25
    assert read_gauge(harness, "evacuation_requests_nowhere") == 0.0
    for _, request, connection in rows:
        respond(connection, 200, request=request)
    assert read_gauge(harness, "evacuated_requests_running") == 0.0
    take_back(harness, "a")
    assert lines().count("failure domain back in service") == 1
    assert read_gauge(harness, "evacuation_seconds_a") is None
    assert harness.tables.evacuations.lifted_at(FailureDomain("a")) == 0.25


@pytest.mark.parametrize("between", [True, False], ids=["refreshed between", "in one answer"])
def test_end_of_each_evacuation_is_noticed(between, lines):
    """Endpoints may be cold when their domain is back, however short it was out."""
    harness = make_harness("a")
    ended = []
    harness.gateway._evacuation_ended = lambda domain, now: ended.append((domain, now))
    for number in range(2):
        harness.clock.advance(1.0)
        write(harness.tables, harness.clock.seconds(), "a")
        if between:
            harness.gateway.refresh()
        assert len(ended) == number
        take_back(harness, "a")
        harness.gateway.refresh()
    assert [domain for domain, _ in ended] == ["a", "a"]
    assert lines().count("failure domain back in service") == 2
    assert read_gauge(harness, "failure_domains_evacuated") == 0.0


@pytest.mark.parametrize(("cold_rate", "placed"), [(10.0, 0), (0.0, 4)], ids=["cold", "no rate"])
def test_what_waits_for_the_end_of_an_evacuation_does_not_crash_cold_endpoints(cold_rate, placed):
    """What waits is placed at the moment at which the domain is back, when it may be cold."""
    harness = make_harness("a")
    spec = ServiceSpec(ServiceName("s"), 100, cold_seconds=3.0, cold_rate=cold_rate)
    catalogue = harness.tables.catalogue
    services = {**catalogue.services, spec.name: spec}
    harness.tables.catalogue = replace(catalogue, services=services)
    harness.gateway.cold.view.settled = True
    harness.gateway.refresh()
    for _ in range(200):  # until all that starts cold is warm
        advance(harness, 0.02)
    evacuate(harness, "a")
    advance(harness, 1.0)
    harness.gateway._list_prospects = lambda exchange, now: list(harness.gateway._states.values())
    send_many(harness, 4)
    take_back(harness, "a")
    arrivals = Arrivals(harness)
    assert len(arrivals.take_receivers()) == placed


def test_evacuation_that_the_store_lost_ends_without_another_answer():
    """Nothing else may tell the entry that the time to write it again is over."""
    harness = make_harness("a", "b")
    evacuate(harness, "a")
    now = harness.clock.seconds()
    harness.tables.apply(TableAnswer(Table.OPERATOR, (), 1, True, now, era=2), now)
    harness.gateway.refresh()
    arrivals = Arrivals(harness)
    send_many(harness, 6)
    assert set(arrivals.answer()) == {"e-1"}
    advance(harness, 3.2)
    send_many(harness, 6, prefix="later")
    assert "e-0" in arrivals.answer()


def test_deployment_without_evacuations_is_served_as_before():
    """Operator items of no known kind change nothing, and no gauge of a domain appears."""
    seen = []
    for decoder in (NullDecoder(), Decoder()):
        harness = GatewayHarness(endpoints=3, engines=3, decoder=decoder)
        item = Item("other", 2, b"{}")
        harness.tables.apply(TableAnswer(Table.OPERATOR, (item,), 2, False, 0.0), 0.0)
        harness.gateway.refresh()
        for number in range(20):
            harness.send_request(request=f"r-{number}")
            harness.send_request("model", MODEL_HEADERS, request=f"m-{number}")
        seen.append([client[1] for client in harness.clock.tcpClients])
        gauges = harness.gateway.metrics.snapshot()["gauges"]
        assert not [name for name in gauges if name.startswith("evacuation_")]
    assert seen[0] == seen[1]


def test_agents_of_an_evacuated_domain_go_on_loading_weights():
    """Weights that are published meanwhile are there when the domain is taken back."""
    cluster = Cluster(4, regions=("north", "south"))
    for member in cluster.members:
        member.tables._decoder = Decoder()
        write(member.tables, cluster.clock.seconds(), "north")
        member.rollout.refresh()
        assert member.tables.evacuations.is_out(FailureDomain("north"))
    cluster.publish()
    evacuated = cluster.run_until_loaded(cluster.members, 2, 12.0)
    as_before = Cluster(4, regions=("north", "south"))
    as_before.publish()
    assert evacuated is not None
    assert evacuated == as_before.run_until_loaded(as_before.members, 2, 12.0)


class PlainRequestsAhead(RequestsAhead):
    """Counts each request as one."""

    def __init__(self):
        self.count = 0

    def add(self, request):
        self.count += 1

    def count_ahead(self, request):
        return self.count


@pytest.mark.parametrize(
    ("rate", "kept"),
    [(None, 0), (0.0, 0), (10.0, 4), (1000.0, 8)],
    ids=["nobody serves", "no places", "few places", "enough"],
)
def test_queue_keeps_what_still_gets_a_place(rate, kept):
    """Ten requests wait for 0.4 s at most, two of them no more."""
    queue = ServiceQueue(Random(1))
    rows = [QueuedRequest(n, 1, 0.45 if n < 8 else 0.0, 2.0, Turn.NEW) for n in range(10)]
    plenty = SlotForecast([(0.0, 1e9)])
    for row in rows:
        assert queue.offer(row, plenty, -1.0) is None
    slots = None if rate is None else SlotForecast([(0.0, rate)])
    refused = list(queue.recheck(lambda item: slots, PlainRequestsAhead(), 0.0001))
    assert len(refused) == 10 - kept and len(queue) == kept
    assert all(refusal.retry_after > 0 for _, refusal in refused)
