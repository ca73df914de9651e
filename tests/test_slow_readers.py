"""What is held for callers and endpoints that read slowly is bounded, counted and released."""

from __future__ import annotations

import tracemalloc

import pytest
from gateway_harness import KEY, GatewayHarness, make_chunk, make_event, make_response
from test_gateway_answers import read_status
from twisted.internet.error import ConnectionDone, ConnectionLost

from coltsfootshift.gateway.exchange import STALL_SECONDS, UNREAD_SECONDS
from coltsfootshift.gateway.holding import MAX_HELD_BYTES, MIN_BODY_BYTES, HeldBytes
from coltsfootshift.gateway.unsent import MEASURE_INTERVAL_SECONDS, UnsentAnswers

SOCKET_BYTES = 64 * 1024  # what a transport takes before it pauses its producer, and reads at once
LONG_BYTES = 900 * 1024  # held whole by default
PIECE_BYTES = 512 * 1024  # three of them are more than is held of a response
MANY = 100
CHUNKED = make_response(chunked=True)
UNFRAMED = CHUNKED.replace(b"Transfer-Encoding: chunked\r\n", b"")


def stop_reading(transport):
    """Let what is written to a transport wait in it, which pauses its producer as a socket's."""
    write = transport.write

    def keep(data):
        write(data)
        transport.dataBuffer += data
        if transport.producer is not None and len(transport.dataBuffer) > SOCKET_BYTES:
            transport.producer.pauseProducing()

    transport.write = keep


def read_on(transport):
    """Take all that waits in a transport, which then goes on as that of a socket does."""
    transport.dataBuffer = b""
    if transport.producer is not None:
        transport.producer.resumeProducing()


def begin(harness, route, number=1, body=b""):
    """Return a caller that reads nothing, and the endpoint that its request reached."""
    caller = harness.send_request(route, request=f"r-{number}", body=body)
    stop_reading(caller)
    return caller, harness.accept()


def answer(endpoint, body, number=1):
    """Send a complete response in pieces, as long as it is read."""
    data = make_response(body, request=f"r-{number}")
    for start in range(0, len(data), SOCKET_BYTES):
        if endpoint.producerState != "producing":
            return
        endpoint.protocol.dataReceived(data[start : start + SOCKET_BYTES])


@pytest.mark.parametrize("route", ["read", "book"])
@pytest.mark.parametrize("end", ["reads", "leaves", "is reset"])
def test_complete_answer_counts_until_its_caller_has_read_it(route, end):
    """It was counted only until it was complete, however long it then waited."""
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = begin(harness, route)
    answer(endpoint, bytes(LONG_BYTES))
    assert harness.gateway.unfinished == 0
    assert harness.gateway.held_bytes.size == len(caller.dataBuffer) > LONG_BYTES
    harness.clock.advance(3 * MEASURE_INTERVAL_SECONDS)
    assert harness.gateway.held_bytes.size > LONG_BYTES
    if end == "reads":
        read_on(caller)
    else:
        caller.disconnect(ConnectionDone() if end == "leaves" else ConnectionLost())
    harness.clock.advance(2 * MEASURE_INTERVAL_SECONDS)
    assert harness.gateway.held_bytes.size == 0


def test_stream_that_waits_for_its_caller_counts():
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = begin(harness, "once")
    event = b"id: 1\ndata: " + bytes(SOCKET_BYTES).replace(b"\0", b"x") + b"\n\n"
    endpoint.protocol.dataReceived(CHUNKED + make_chunk(event) + make_chunk(event))
    assert endpoint.producerState == "paused"
    assert harness.gateway.held_bytes.size >= len(event)
    read_on(caller)
    assert harness.gateway.held_bytes.size == 0 and endpoint.producerState == "producing"


def test_answers_that_many_callers_leave_unread_are_bounded():
    """A hundred answers of 0.9 MiB waited in memory, none of which was counted."""
    harness = GatewayHarness(endpoints=MANY // 4)
    pairs = []
    for number in range(MANY):
        caller, endpoint = begin(harness, "book", number)
        answer(endpoint, bytes(LONG_BYTES), number)
        pairs.append((caller, endpoint))
    waiting = sum(len(caller.dataBuffer) for caller, _ in pairs)
    assert waiting <= MAX_HELD_BYTES + MANY * (MIN_BODY_BYTES + 2 * SOCKET_BYTES)
    assert harness.gateway.held_bytes.size >= waiting - MANY * 2 * SOCKET_BYTES
    for caller, _ in pairs:
        caller.disconnect(ConnectionDone())
    assert harness.gateway.held_bytes.size == 0


def test_caller_that_leaves_answers_unread_is_answered_no_further_while_much_is_held():
    """Each of many connections could leave 8 MiB of answers."""
    harness = GatewayHarness(endpoints=1)
    harness.gateway.held_bytes.size = MAX_HELD_BYTES + 1
    caller = harness.connect()
    stop_reading(caller)
    request = b"GET /none HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: r\r\n\r\n"
    for _ in range(100):
        if caller.producerState == "producing":
            caller.protocol.dataReceived(request * 20)
        harness.clock.advance(0.01)
    assert 0 < len(caller.dataBuffer) <= MIN_BODY_BYTES + SOCKET_BYTES


class Connection:
    size = 0

    def count_unsent(self):
        return self.size


@pytest.mark.parametrize(
    "sizes, counted",
    [([MIN_BODY_BYTES], 0), ([20_000], 20_000), ([20_000, 30_000], 30_000), ([20_000, 100], 0)],
)
def test_unsent_bytes_are_counted_as_they_change(sizes, counted):
    harness, total, connection = GatewayHarness(endpoints=0), HeldBytes(), Connection()
    unsent = UnsentAnswers(total, harness.clock)
    for size in sizes:
        connection.size = size
        unsent.update(connection)
    assert total.size == counted
    unsent.release(connection)
    unsent.release(connection)
    assert total.size == 0


# How an endpoint answers before it has read the whole body, and whether the request goes on.
EARLY_ANSWERS = {
    "success": (make_response(b"ok"), False),
    "failure": (make_response(b"no", status=400), False),
    "not run": (make_response(status=503, headers=("X-Not-Executed: 1",)), True),
    "not run, body open": (
        make_response(status=429, headers=("X-Not-Executed: 1",), length=9),
        True,
    ),
}


@pytest.mark.parametrize("count", [1, 20])
@pytest.mark.parametrize("data, goes_on", EARLY_ANSWERS.values(), ids=EARLY_ANSWERS)
def test_rest_of_a_body_is_dropped_after_an_early_answer(data, goes_on, count):
    """It stayed in memory, counted for no request, and the next one waited behind it."""
    harness = GatewayHarness(endpoints=2)
    endpoints = []
    for number in range(count):
        harness.send_request("book", request=f"r-{number}", body=bytes(40_000))
        endpoint = harness.accept()
        endpoint.dataBuffer = bytes(30_000)
        endpoints.append(endpoint)
        harness.clock.advance(0.1)  # an endpoint that refused the last one takes requests again
        endpoint.protocol.dataReceived(data.replace(b"r-1", b"r-%d" % number))
        if goes_on:
            following = harness.accept()
            assert following is not None and b"r-%d" % number in following.take()
            following.protocol.dataReceived(make_response(b"ok", request=f"r-{number}"))
    assert all(endpoint.aborted for endpoint in endpoints)
    assert harness.factory._bodies.size == 0


def test_kept_connections_hold_no_body_of_an_earlier_request():
    """Each kept the body of the request that it was dialled for, counted for no request."""
    harness = GatewayHarness(endpoints=1)
    tracemalloc.start()
    try:
        for number in range(20):
            harness.send_request("book", request=f"r-{number}", body=bytes(LONG_BYTES))
            endpoint = harness.accept()
            endpoint.protocol.dataReceived(make_response(b"ok", request=f"r-{number}"))
            assert endpoint.protocol.usable
            endpoint.clear()
        assert tracemalloc.get_traced_memory()[0] < 3 * LONG_BYTES
    finally:
        tracemalloc.stop()


def test_body_counts_while_its_endpoint_reads_it_slowly():
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request("book", body=bytes(40_000))
    endpoint = harness.accept()
    endpoint.dataBuffer = bytes(30_000)
    harness.clock.advance(0.5)
    assert harness.factory._bodies.size == 40_000 and not endpoint.aborted
    harness.clock.advance(1.0)
    assert read_status(caller) == 504 and endpoint.aborted
    assert harness.factory._bodies.size == 0


def test_slow_endpoint_and_slow_caller_of_one_request():
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = begin(harness, "book", body=bytes(40_000))
    endpoint.dataBuffer = bytes(30_000)
    answer(endpoint, bytes(LONG_BYTES))
    assert endpoint.aborted and harness.factory._bodies.size == 0
    assert harness.gateway.held_bytes.size == len(caller.dataBuffer)
    caller.disconnect(ConnectionLost())
    assert harness.gateway.held_bytes.size == 0


def leave_unread(harness, route, head, seconds):
    """Begin a response that its caller leaves unread for some seconds; return both ends of it."""
    caller, endpoint = begin(harness, route)
    for exchange in harness.gateway._exchanges:
        exchange._deadline_timer.delay(10 * seconds)
    endpoint.protocol.dataReceived(head)
    for number in range(1, 4):
        event = make_event(number) if route != "book" else bytes(PIECE_BYTES)
        endpoint.protocol.dataReceived(make_chunk(event) if head == CHUNKED else event)
    caller.producer.pauseProducing()
    harness.clock.advance(seconds)
    return caller, endpoint


CUTS = [
    (CHUNKED, ConnectionDone),
    (CHUNKED, ConnectionLost),
    (UNFRAMED, ConnectionDone),
    (UNFRAMED, ConnectionLost),
]


@pytest.mark.parametrize("route", ["once", "book"])
@pytest.mark.parametrize("head, error", CUTS)
@pytest.mark.parametrize("noticed", ["while unread", "when read on"])
def test_unread_response_that_its_endpoint_cuts_does_not_look_complete(route, head, error, noticed):
    """A response without length that was closed while it waited was taken to be complete."""
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = leave_unread(harness, route, head, 2 * UNREAD_SECONDS)
    (state,) = harness.gateway._states.values()
    if noticed == "when read on":
        read_on(caller)
    endpoint.disconnect(error())
    caller.dataBuffer = b""
    harness.clock.advance(0.3)
    assert caller.aborted and not caller.value().endswith(b"0\r\n\r\n")
    assert harness.gateway.held_bytes.size == 0
    # The caller was slow, so that the cut is not held against the endpoint.
    assert not state.ejected and state.failure_rate == 0.0 and state.own_in_flight == 0
    assert harness.gateway.metrics.get_count("answers_cut_unread") == 1
    assert harness.gateway.metrics.get_count("endpoints_ended") == 0


def test_unread_stream_that_its_endpoint_cuts_is_resumed_at_another():
    harness = GatewayHarness(endpoints=2)
    caller, endpoint = leave_unread(harness, "talk", UNFRAMED, 2 * UNREAD_SECONDS)
    read_on(caller)
    endpoint.disconnect(ConnectionDone())
    following = harness.accept()
    assert b"last-event-id: 3\r\n" in following.take().lower()
    following.protocol.dataReceived(CHUNKED + make_chunk(make_event(4)) + make_chunk(b""))
    assert caller.value().endswith(b"0\r\n\r\n") and not caller.aborted
    assert [caller.value().count(make_event(number)) for number in range(1, 5)] == [1] * 4


def test_endpoint_that_ends_before_it_answers_is_judged_while_its_caller_is_slow():
    """Nothing of a response to the resumed stream had come that could be left unread."""
    harness = GatewayHarness(endpoints=2)
    _, endpoint = leave_unread(harness, "talk", CHUNKED, 2 * UNREAD_SECONDS)
    endpoint.disconnect(ConnectionLost())
    following = harness.accept()
    harness.clock.advance(1.5 * UNREAD_SECONDS)
    following.disconnect(ConnectionLost())
    states = harness.gateway._states.values()
    assert sorted(state.ejected for state in states) == [False, True]
    assert harness.gateway.metrics.get_count("answers_cut_unread") == 1


@pytest.mark.parametrize("route", ["once", "book"])
def test_response_without_length_that_was_read_in_time_ends_with_its_connection(route):
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = leave_unread(harness, route, UNFRAMED, UNREAD_SECONDS / 2)
    read_on(caller)
    endpoint.disconnect(ConnectionDone())
    assert caller.value().endswith(b"0\r\n\r\n") and not caller.aborted


def test_endpoint_that_falls_silent_is_still_judged():
    """Only a response that was left unread excuses its endpoint."""
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = leave_unread(harness, "once", CHUNKED, UNREAD_SECONDS / 2)
    read_on(caller)
    (state,) = harness.gateway._states.values()
    harness.clock.advance(STALL_SECONDS)
    endpoint.disconnect(ConnectionLost())
    assert state.ejected


def go_on(harness, endpoint, route, head, seconds):
    """The endpoint goes on sending, and the caller reads all at once, for so many seconds."""
    for n in range(4, 4 + int(seconds)):
        harness.clock.advance(1.0)
        data = make_event(n) if route != "book" else bytes(1000)
        endpoint.protocol.dataReceived(make_chunk(data) if head == CHUNKED else data)


@pytest.mark.parametrize("route", ["once", "book", "talk"])
def test_complete_unframed_answer_whose_caller_paused_once_long_ago(route):
    harness = GatewayHarness(endpoints=2)
    caller, endpoint = leave_unread(harness, route, UNFRAMED, 1.1 * UNREAD_SECONDS)
    read_on(caller)
    go_on(harness, endpoint, route, UNFRAMED, 8)
    endpoint.disconnect(ConnectionDone())
    caller.dataBuffer = b""
    harness.clock.advance(0.3)
    assert caller.value().endswith(b"0\r\n\r\n") and not caller.aborted


def test_engine_that_ends_long_after_a_pause_is_noticed():
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = leave_unread(harness, "once", CHUNKED, 1.1 * UNREAD_SECONDS)
    read_on(caller)
    go_on(harness, endpoint, "once", CHUNKED, 8)
    (state,) = harness.gateway._states.values()
    endpoint.disconnect(ConnectionLost())
    harness.clock.advance(1.0)
    assert state.ejected, harness.gateway.metrics.get_count("answers_cut_unread")


def test_bytes_of_a_stream_behind_a_complete_answer_count_once():
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = begin(harness, "read")
    answer(endpoint, bytes(LONG_BYTES))
    lines = ["POST /once/x HTTP/1.1", "Host: host", "X-Attempt-Id: r-2", f"X-Api-Key: {KEY}"]
    lines += ["Content-Length: 0", "", ""]
    caller.protocol.dataReceived("\r\n".join(lines).encode())
    target = harness.accept() or endpoint
    event = b"id: 1\ndata: " + b"x" * 60_000 + b"\n\n"
    target.protocol.dataReceived(make_response(chunked=True, request="r-2"))
    if caller.producer is not None:
        caller.producer.pauseProducing()
    for _ in range(8):
        target.protocol.dataReceived(make_chunk(event))
    harness.clock.advance(0.2)
    assert harness.gateway.held_bytes.size <= len(caller.dataBuffer)
