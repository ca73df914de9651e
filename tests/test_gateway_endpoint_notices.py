"""What endpoints state about themselves in responses, which binds the entry that received it.

An entry that waits for the store's record would go on sending requests to an endpoint that has said
that it leaves: the record stays `ready` for seconds. One that only backs off from an endpoint that
is full would send it requests before the time that the endpoint has named.
"""

from __future__ import annotations

import logging

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response

from coltsfootshift.gateway.endpoint_notices import (
    MAX_NOTICES,
    RETENTION_SECONDS,
    EndpointNotices,
)
from coltsfootshift.gateway.table_cache import EngineStatus
from coltsfootshift.gateway.waiting import SlotForecast
from coltsfootshift.ids import InstanceId

MODEL_HEADERS = ("X-Model: m", "X-Token-Counts: 100,50")
LEAVING = "Server-Leaving: 1"
NOT_RUN = "X-Not-Executed: 1"
TICK_SECONDS = 0.02
LATENCY_OBJECTIVE_SECONDS = 0.4  # of the routes of the harness
BURST_REQUESTS = 16  # more than the places of an endpoint, 12
BORN = 1_700_000_000_000


def make_harness(*numbers):
    """Return a harness with the plain endpoints `e-NUMBER`, all born at the same time."""
    harness = GatewayHarness(endpoints=0)
    for number in numbers:
        list_endpoint(harness, number)
    return harness


def list_endpoint(harness, number, born=BORN, port=80, **fields):
    harness.add_endpoint(f"e-{number}", "s", port + number, born=born, **fields)
    harness.gateway.refresh()


def remove_endpoint(harness, number):
    del harness.tables.endpoints[InstanceId(f"e-{number}")]
    harness.gateway.refresh()


def advance(harness, seconds):
    for _ in range(round(seconds / TICK_SECONDS)):
        harness.clock.advance(TICK_SECONDS)
        harness.confirm()


def read_status(caller) -> int:
    return int(caller.value().split(b" ", 2)[1]) if caller.value() else 0


def read_retry_after(caller) -> float:
    return float(caller.value().lower().partition(b"retry-after: ")[2].partition(b"\r\n")[0])


class Arrivals:
    """The requests that have reached endpoints of a harness, on all connections."""

    def __init__(self, harness):
        self._harness = harness
        self._connections = []

    def take(self):
        """Return the endpoint, request and connection of each that has arrived since."""
        while (connection := self._harness.accept()) is not None:
            self._connections.append(connection)
        rows = []
        for connection in self._connections:
            lines = connection.take().decode().lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines if ": " in line)
            if fields:
                row = (fields["x-expect-instance"], fields["x-attempt-id"], connection)
                rows.append(row)
        return rows

    def take_receivers(self):
        return [endpoint for endpoint, _, _ in self.take()]

    def answer(self):
        """Answer with success what has arrived; return the endpoints that it has reached."""
        rows = self.take()
        for _, request, connection in rows:
            respond(connection, 200, request=request)
        return [endpoint for endpoint, _, _ in rows]


def respond(connection, status, *headers, request="r-1", body=b""):
    """Send a whole response, that of a stream's first event if the status is `stream`."""
    if status == "stream":
        head = make_response(chunked=True, request=request, headers=headers)
        connection.protocol.dataReceived(head + make_chunk(make_event(1)))
        return
    sealed = NOT_RUN not in headers
    response = make_response(body, status, request, headers, sealed=sealed)
    connection.protocol.dataReceived(response)


def keep_record(harness):
    """Leave the endpoint's record as it is."""


def list_again(harness):
    list_endpoint(harness, 0)


def list_at_another_address(harness):
    list_endpoint(harness, 0, port=90)


def remove_and_list_again(harness):
    remove_endpoint(harness, 0)
    advance(harness, 0.1)
    list_endpoint(harness, 0)


def change_from_leaving_to_ready(harness):
    list_endpoint(harness, 0, leaving=True)
    advance(harness, 0.1)
    list_endpoint(harness, 0)


RECORD_CHANGES = [
    keep_record,
    list_again,
    list_at_another_address,
    remove_and_list_again,
    change_from_leaving_to_ready,
]


def start(*numbers, route="read", request="r-1"):
    """Return a harness, its arrivals and the connection of a first request, which went to `e-0`."""
    harness = make_harness(0)
    arrivals = Arrivals(harness)
    caller = harness.send_request(route, request=request)
    ((endpoint, _, connection),) = arrivals.take()
    assert endpoint == "e-0"
    for number in numbers:
        list_endpoint(harness, number)
    return harness, arrivals, caller, connection


def fill(harness, arrivals):
    """Send requests to `e-0` until it has no place left; return their connections."""
    connections = []
    while True:
        harness.send_request(request=f"f-{len(connections)}")
        rows = arrivals.take()
        if not rows:
            return connections
        connections.append(rows[0][2])


@pytest.mark.parametrize("change", RECORD_CHANGES)
@pytest.mark.parametrize(
    ("route", "status", "headers"),
    [
        ("read", 200, ()),
        ("read", 404, ()),
        ("read", 500, ()),
        ("read", 503, (NOT_RUN,)),
        ("read", 503, ()),
        ("read", 429, (NOT_RUN,)),
        ("book", 503, (NOT_RUN,)),
        ("book", 200, ()),
        ("talk", "stream", ()),
    ],
)
def test_endpoint_that_says_that_it_leaves_gets_no_further_request(route, status, headers, change):
    harness, arrivals, _, connection = start(1, route=route)
    respond(connection, status, LEAVING, *headers)
    receivers = arrivals.answer()
    for burst in range(3):
        if burst == 1:
            change(harness)
        for number in range(BURST_REQUESTS):
            harness.send_request(request=f"r-{burst}-{number}")
        receivers += arrivals.answer()
        advance(harness, 0.5)
        receivers += arrivals.answer()
    assert set(receivers) == {"e-1"} and len(receivers) >= 3 * BURST_REQUESTS


@pytest.mark.parametrize(
    ("headers", "status", "believed"),
    [
        ((LEAVING,), 200, True),
        (("Server-Leaving: 0",), 200, False),
        (("Server-Leaving:",), 200, False),
        ((LEAVING, "X-Instance-Id: e-7"), 421, False),
        ((LEAVING, NOT_RUN), 421, False),
    ],
    ids=["leaves", "does not leave", "no value", "another endpoint", "another endpoint, not run"],
)
def test_what_counts_as_a_statement_of_leaving(headers, status, believed):
    """Another endpoint that now has the address answers 421; what it says is not of this one."""
    harness, arrivals, _, connection = start()
    respond(connection, status, *headers)
    advance(harness, 3.0)
    arrivals.take()
    harness.send_request(request="r-2")
    assert arrivals.take_receivers() == ([] if believed else ["e-0"])


def test_response_to_another_request_says_nothing_about_the_endpoint():
    harness, arrivals, _, connection = start(route="book")
    respond(connection, 200, LEAVING, request="r-9")
    advance(harness, 3.0)
    harness.send_request("book", request="r-2")
    assert arrivals.take_receivers() == ["e-0"]


@pytest.mark.parametrize("vanished", [False, True])
@pytest.mark.parametrize("late", [False, True], ids=["told before", "told after"])
def test_new_start_of_an_endpoint_that_left_is_used(vanished, late):
    """The response of the start before may also arrive after the new one is listed."""
    harness, arrivals, _, connection = start()
    if not late:
        respond(connection, 200, LEAVING)
    if vanished:
        remove_endpoint(harness, 0)
    list_endpoint(harness, 0, born=BORN + 1)
    if late:
        respond(connection, 200, LEAVING)
    harness.send_request(request="r-2")
    assert arrivals.take_receivers() == ["e-0"]


@pytest.mark.parametrize(("status", "header"), [(200, LEAVING), (503, "Retry-After: 2")])
def test_statement_that_arrives_while_the_record_is_gone_holds_after_its_return(status, header):
    harness, arrivals, _, connection = start(1)
    remove_endpoint(harness, 0)
    respond(connection, status, header)
    list_endpoint(harness, 0)
    for number in range(BURST_REQUESTS):
        harness.send_request(request=f"r-{number + 2}")
    assert set(arrivals.answer()) == {"e-1"}


def test_requests_in_progress_at_an_endpoint_that_leaves_go_on():
    harness, arrivals, stream, connection = start(route="talk")
    other = harness.send_request("talk", request="r-2")
    ((_, _, second),) = arrivals.take()
    respond(connection, "stream", LEAVING)
    list_endpoint(harness, 1)
    advance(harness, 0.1)
    connection.protocol.dataReceived(make_chunk(make_event(2)) + make_chunk(b""))
    respond(second, "stream", LEAVING, request="r-2")
    assert make_event(2) in stream.value() and stream.value().endswith(b"0\r\n\r\n")
    assert make_event(1) in other.value()
    assert not connection.aborted and not second.aborted and not arrivals.take()


@pytest.mark.parametrize("told_by", ["response", "store"])
def test_only_endpoint_that_leaves_is_treated_as_one_that_the_store_lists_as_leaving(told_by):
    """New requests are refused at once, those that wait when they can't be sent in time."""
    harness = make_harness(0)
    arrivals = Arrivals(harness)
    connections = fill(harness, arrivals)
    waiter = harness.send_request(request="w-1")
    headers = [LEAVING] if told_by == "response" else []
    if told_by == "store":
        list_endpoint(harness, 0, leaving=True)
    respond(connections[0], 200, *headers, request="f-0")
    late = harness.send_request(request="w-2")
    assert read_status(late) == 503 and read_retry_after(late) > 0.0
    advance(harness, 0.1)
    assert read_status(waiter) == 0
    advance(harness, LATENCY_OBJECTIVE_SECONDS)
    assert read_status(waiter) == 503 and read_retry_after(waiter) > 0.0
    assert not arrivals.take()


def test_request_that_waits_goes_elsewhere_when_its_endpoint_leaves():
    harness = make_harness(0)
    arrivals = Arrivals(harness)
    connections = fill(harness, arrivals)
    respond(connections[0], 404, LEAVING, request="f-0")
    advance(harness, TICK_SECONDS)
    assert not arrivals.take()
    list_endpoint(harness, 1)
    advance(harness, TICK_SECONDS)
    assert arrivals.take_receivers() == ["e-1"]


@pytest.mark.parametrize("headers", [(), (NOT_RUN,)], ids=["may have run", "not run"])
@pytest.mark.parametrize("seed", range(4))
def test_request_that_is_retried_goes_to_an_endpoint_that_it_has_not_tried(headers, seed):
    """An endpoint that was tried and has left must not stand for one that was not tried."""
    harness, arrivals, _, connection = start(1, 2)
    harness.gateway._rng.seed(seed)
    respond(connection, 503, LEAVING, NOT_RUN)
    ((second, _, connection),) = arrivals.take()
    respond(connection, 503, *headers)
    ((third, _, _),) = arrivals.take()
    assert {second, third} == {"e-1", "e-2"}


def test_notices_are_bounded_and_outlast_the_record():
    """A notice is kept while the endpoint is listed, and for a time after."""
    notices = EndpointNotices()
    for number in range(MAX_NOTICES + 5):
        notices.record_leaving(f"e-{number}/1", "r-1", 10.0)
    assert len(notices) == MAX_NOTICES and not notices.is_leaving("e-0/1")
    notices.remove_expired(9.0 + RETENTION_SECONDS, [])
    assert len(notices) == MAX_NOTICES
    notices.remove_expired(11.0 + RETENTION_SECONDS, ["e-9/1"])
    assert len(notices) == 1 and notices.is_leaving("e-9/1")
    notices.remove_expired(13.0 + 2 * RETENTION_SECONDS, [])
    assert not len(notices)


def change_versions(harness):
    list_endpoint(harness, 0, versions={"m": 2})


def advance_and_answer(harness, arrivals, seconds):
    """Answer all requests with success; return their endpoints and when they arrived there."""
    rows = []
    for _ in range(round(seconds / TICK_SECONDS)):
        advance(harness, TICK_SECONDS)
        rows += [(endpoint, harness.clock.seconds()) for endpoint in arrivals.answer()]
    return rows


@pytest.mark.parametrize("headers", [(NOT_RUN,), ()], ids=["not run", "may have run"])
@pytest.mark.parametrize("seconds", [0.25, 2.0])
@pytest.mark.parametrize("change", [*RECORD_CHANGES, change_versions])
def test_endpoint_gets_no_request_within_the_time_that_it_named(change, seconds, headers):
    """A changed record ends a backoff, but not a pause that the endpoint asked for."""
    harness, arrivals, _, connection = start(1)
    respond(connection, 503, f"Retry-After: {seconds}", *headers)
    until = harness.clock.seconds() + seconds
    advance(harness, 0.06)
    change(harness)
    rows = []
    for number in range(round((seconds + 1.0) / 0.1)):
        for copy in range(BURST_REQUESTS):
            harness.send_request(request=f"r-{number}-{copy}")
        rows += [(endpoint, harness.clock.seconds()) for endpoint in arrivals.answer()]
        rows += advance_and_answer(harness, arrivals, 0.1)
    arrived = [at for endpoint, at in rows if endpoint == "e-0"]
    assert arrived and until <= min(arrived) <= until + 0.1 + TICK_SECONDS


@pytest.mark.parametrize("later", ["success", "503", "shorter", "unreadable", "500"])
def test_later_response_does_not_end_a_pause(later):
    harness, arrivals, _, first = start()
    harness.send_request(request="r-2")
    ((_, _, second),) = arrivals.take()
    list_endpoint(harness, 1)
    respond(first, 503, "Retry-After: 1.5", NOT_RUN)
    advance(harness, 0.1)
    row = {
        "success": (200,),
        "503": (503, NOT_RUN),
        "shorter": (503, NOT_RUN, "Retry-After: 0.1"),
        "unreadable": (503, NOT_RUN, "Retry-After: soon"),
        "500": (500,),
    }[later]
    respond(second, *row, request="r-2")
    advance_and_answer(harness, arrivals, 0.3)
    for number in range(BURST_REQUESTS):
        harness.send_request(request=f"r-{number}")
    assert set(arrivals.answer()) == {"e-1"}


def test_later_response_may_extend_a_pause():
    harness, arrivals, _, first = start()
    harness.send_request(request="r-2")
    ((_, _, second),) = arrivals.take()
    list_endpoint(harness, 1)
    respond(first, 503, "Retry-After: 0.5", NOT_RUN)
    advance(harness, 0.4)
    respond(second, 503, "Retry-After: 0.5", NOT_RUN, request="r-2")
    advance_and_answer(harness, arrivals, 0.4)
    for number in range(BURST_REQUESTS):
        harness.send_request(request=f"r-{number}")
    assert set(arrivals.answer()) == {"e-1"}
    advance_and_answer(harness, arrivals, 0.16)
    for number in range(BURST_REQUESTS):
        harness.send_request(request=f"s-{number}")
    assert "e-0" in arrivals.answer()


@pytest.mark.parametrize(
    ("status", "text", "reason"),
    [
        (503, "-1", "ignored"),
        (503, "inf", "ignored"),
        (503, "nan", "ignored"),
        (503, "1e999", "ignored"),
        (503, "soon", "ignored"),
        (503, "", "ignored"),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", "ignored"),
        (503, "0", ""),
        (429, "5", ""),
        (421, "5", ""),
        (404, "5", ""),
        (200, "5", ""),
    ],
)
def test_what_asks_for_no_pause(status, text, reason, caplog):
    """Only a 503 with a time asks for one; what is no time is logged once and otherwise ignored."""
    harness, arrivals, _, connection = start()
    headers = (NOT_RUN,) if status in (421, 429, 503) else ()
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        respond(connection, status, f"Retry-After: {text}", *headers)
    lines = [record for record in caplog.records if record.message == "return time ignored"]
    assert len(lines) == (1 if reason else 0)
    advance_and_answer(harness, arrivals, 1.0)
    harness.send_request(request="r-2")
    assert arrivals.take_receivers() == ["e-0"]


@pytest.mark.parametrize("late", [False, True], ids=["told before", "told after"])
@pytest.mark.parametrize("vanished", [False, True])
def test_new_start_of_a_paused_endpoint_is_used(vanished, late):
    harness, arrivals, _, connection = start(route="book")
    if not late:
        respond(connection, 503, "Retry-After: 5")
    if vanished:
        remove_endpoint(harness, 0)
    list_endpoint(harness, 0, born=BORN + 1)
    if late:
        respond(connection, 503, "Retry-After: 5")
    harness.send_request(request="r-2")
    assert arrivals.take_receivers() == ["e-0"]


@pytest.mark.parametrize(
    ("seconds", "served"), [(0.1, True), (0.25, True), (0.6, False), (5.0, False), (1e300, False)]
)
@pytest.mark.parametrize("route", ["read", "book", "talk"])
def test_new_request_waits_for_a_pause_that_ends_in_time_or_is_refused_at_once(
    route, seconds, served
):
    harness, arrivals, _, connection = start(route="book")
    respond(connection, 503, f"Retry-After: {seconds}")
    caller = harness.send_request(route, request="r-2")
    assert not arrivals.take()
    if not served:
        assert read_status(caller) == 503
        assert 0.2 <= read_retry_after(caller) <= 1 / 3
        return
    assert read_status(caller) == 0
    rows = advance_and_answer(harness, arrivals, seconds + 2 * TICK_SECONDS)
    assert [endpoint for endpoint, _ in rows] == ["e-0"] and read_status(caller) == 200
    assert seconds <= rows[0][1] <= seconds + 2 * TICK_SECONDS


@pytest.mark.parametrize(("seconds", "served"), [(0.3, True), (1.2, False)])
@pytest.mark.parametrize("route", ["read", "book"])
def test_request_that_brought_the_pause_is_retried_after_it_or_refused_at_once(
    route, seconds, served
):
    harness, arrivals, caller, connection = start(route=route)
    respond(connection, 503, f"Retry-After: {seconds}", NOT_RUN)
    assert read_status(caller) == (0 if served else 503)
    rows = advance_and_answer(harness, arrivals, seconds + 2 * TICK_SECONDS)
    assert [endpoint for endpoint, _ in rows] == (["e-0"] if served else [])
    assert read_status(caller) == (200 if served else 503)
    assert all(at >= seconds for _, at in rows)


def test_refused_caller_is_told_to_return_after_the_pause():
    harness = GatewayHarness(endpoints=0, engines=1)
    arrivals = Arrivals(harness)
    harness.send_request("model", MODEL_HEADERS)
    ((_, _, connection),) = arrivals.take()
    respond(connection, 503, "Retry-After: 1.25")
    for number in range(20):
        caller = harness.send_request("model", MODEL_HEADERS, request=f"r-{number + 2}")
        assert read_status(caller) == 503 and 1.25 <= read_retry_after(caller) <= 2.0


@pytest.mark.parametrize("cause", ["a pause", "a longer pause", "the other leaves"])
def test_request_that_waits_is_refused_as_soon_as_all_endpoints_are_paused_for_too_long(cause):
    harness = make_harness(0)
    arrivals = Arrivals(harness)
    if cause == "the other leaves":
        list_endpoint(harness, 1)
    connections = {"e-0": [], "e-1": []}
    for number in range(24):
        harness.send_request(request=f"f-{number}")
        for endpoint, request, connection in arrivals.take():
            connections[endpoint].append((request, connection))
    waiter = harness.send_request("book", request="w-1")
    assert not arrivals.take()
    (request, connection), (other_request, other) = connections["e-0"][:2]
    if cause == "a longer pause":
        respond(other, 503, "Retry-After: 0.1", NOT_RUN, request=other_request)
        advance(harness, TICK_SECONDS)
        assert read_status(waiter) == 0
    respond(connection, 503, "Retry-After: 5", NOT_RUN, request=request)
    if cause == "the other leaves":
        advance(harness, TICK_SECONDS)
        assert read_status(waiter) == 0
        request, connection = connections["e-1"][0]
        respond(connection, 404, LEAVING, request=request)
    advance(harness, TICK_SECONDS)
    assert read_status(waiter) == 503


@pytest.mark.parametrize("seed", range(4))
def test_request_goes_to_the_endpoint_whose_pause_ends_first(seed):
    harness, arrivals, _, first = start(route="book")
    harness.gateway._rng.seed(seed)
    harness.send_request("book", request="r-2")
    ((_, _, second),) = arrivals.take()
    list_endpoint(harness, 1)
    respond(first, 503, "Retry-After: 3")
    harness.send_request("book", request="r-3")
    ((endpoint, _, third),) = arrivals.take()
    assert endpoint == "e-1"
    respond(third, 503, "Retry-After: 0.2", request="r-3")
    harness.send_request("book", request="r-4")
    assert advance_and_answer(harness, arrivals, 0.26)[0][0] == "e-1"
    assert not second.aborted


@pytest.mark.parametrize(("seconds", "second"), [(0.3, "e-1"), (5.0, "e-0")])
def test_retry_waits_for_an_endpoint_that_it_has_not_tried_unless_that_is_paused_too_long(
    seconds, second
):
    harness, arrivals, _, first = start()
    list_endpoint(harness, 1)
    remove_endpoint(harness, 0)
    harness.send_request("book", request="r-2")
    ((endpoint, _, other),) = arrivals.take()
    assert endpoint == "e-1"
    list_endpoint(harness, 0)
    respond(other, 503, f"Retry-After: {seconds}", request="r-2")
    respond(first, 500)
    rows = advance_and_answer(harness, arrivals, 0.4)
    assert [endpoint for endpoint, _ in rows] == [second]


def test_engine_that_is_paused_gets_no_request_when_its_version_changes():
    harness = GatewayHarness(endpoints=0, engines=2)
    arrivals = Arrivals(harness)
    harness.send_request("model", MODEL_HEADERS)
    ((paused, _, connection),) = arrivals.take()
    respond(connection, 503, "Retry-After: 3", NOT_RUN)
    arrivals.answer()
    address = harness.tables.endpoints[InstanceId(paused)].address
    for version, loading in ((1, True), (2, False)):
        status = EngineStatus(0, "m", version, loading, harness.clock.seconds())
        harness.gateway.update_engine_status(address, status)
        advance(harness, 0.1)
        for number in range(20):
            harness.send_request("model", MODEL_HEADERS, request=f"r-{version}-{number}")
        receivers = arrivals.answer()
        assert receivers and paused not in receivers


def test_pauses_are_bounded_and_end():
    notices = EndpointNotices()
    for number in range(MAX_NOTICES + 5):
        notices.record_pause(f"e-{number}/1", "r-1", 20.0 + number, 10.0)
    assert len(notices) == MAX_NOTICES and not notices.get_pause_end("e-0/1")
    notices.remove_expired(30.0, [])
    assert len(notices) == MAX_NOTICES - 6 and notices.has_pauses(30.0)
    notices.remove_expired(30.0 + MAX_NOTICES, [])
    assert not len(notices) and not notices.has_pauses(30.0 + MAX_NOTICES)


@pytest.mark.parametrize(
    ("endpoints", "count", "wait"),
    [
        ([(0.0, 2.0)], 1, 0.5),
        ([(0.0, 2.0), (0.0, 2.0)], 2, 0.5),
        ([(1.0, 2.0)], 0, 1.0),
        ([(1.0, 2.0)], 1, 1.5),
        ([(2.0, 4.0), (1.0, 2.0)], 2, 2.0),
        ([(2.0, 4.0), (1.0, 2.0)], 6, 2.0 + 4 / 6),
        ([(2.0, 4.0), (0.0, 0.0)], 4, 3.0),
        ([(0.0, 0.0)], 1, 100.0),
        ([], 1, 100.0),
    ],
)
def test_slots_of_paused_endpoints_count_from_the_end_of_their_pauses(endpoints, count, wait):
    assert SlotForecast(endpoints, min_rate=0.01).find_wait(count) == pytest.approx(wait)
