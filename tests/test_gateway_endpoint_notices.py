"""What endpoints state about themselves in responses, which binds the entry that received it.

An entry that waits for the store's record would go on sending requests to an endpoint that has said
that it leaves: the record stays `ready` for seconds.
"""

from __future__ import annotations

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response

from coltsfootshift.gateway.endpoint_notices import (
    MAX_NOTICES,
    RETENTION_SECONDS,
    EndpointNotices,
)
from coltsfootshift.ids import InstanceId

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


def list_endpoint(harness, number, born=BORN, port=80, leaving=False):
    harness.add_endpoint(f"e-{number}", "s", port + number, born=born, leaving=leaving)
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


def test_statement_that_arrives_while_the_record_is_gone_holds_after_its_return():
    harness, arrivals, _, connection = start(1)
    remove_endpoint(harness, 0)
    respond(connection, 200, LEAVING)
    list_endpoint(harness, 0)
    receivers = []
    for number in range(6):
        harness.send_request(request=f"r-{number + 2}")
        receivers += arrivals.answer()
    assert set(receivers) == {"e-1"}


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
