"""Bytes of endpoints that never become an answer, sent without end.

The connection must be closed within a limit of bytes and time. The caller gets the answer of
another endpoint or a final failure, and a request that may have run is sent again only if
it may repeat.
"""

from __future__ import annotations

import time
import tracemalloc

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response
from test_gateway_answers import open_stream, read_body, read_chunks, read_status
from twisted.internet.error import ConnectionDone, ConnectionLost

from coltsfootshift.gateway.events import MAX_EVENT_BYTES, EventStreamBuffer
from coltsfootshift.gateway.exchange import MAX_BUFFERED_BYTES, STALL_SECONDS
from coltsfootshift.gateway.links import (
    BACKLOG_PAUSE_SECONDS,
    MAX_DRAIN_BYTES,
    MAX_DRAIN_SECONDS,
    MAX_HEAD_BYTES,
    MAX_HEAD_SECONDS,
)

PIECE_BYTES = 4096
TICK_SECONDS = 0.1
SLACK_SECONDS = 0.2
LATE_DEADLINE_SECONDS = 20.0
CHUNKED = make_response(chunked=True)
OK = make_response(b"ok")
STREAM_OK = CHUNKED + make_chunk(make_event(1)) + make_chunk(b"")


def repeat(text: bytes) -> bytes:
    return text * (PIECE_BYTES // len(text))


def feed(endpoint, piece: bytes, most: int) -> int:
    """Send a piece again and again until the connection is closed; return the bytes taken."""
    taken = 0
    while not endpoint.aborted and taken <= most:
        endpoint.protocol.dataReceived(piece)
        taken += len(piece)
    return taken


def dribble(harness, endpoint, piece: bytes, seconds: float) -> float:
    """Send a piece every `TICK_SECONDS` until the connection is closed; return the time taken."""
    started = harness.clock.seconds()
    while not endpoint.aborted and harness.clock.seconds() - started < seconds:
        endpoint.protocol.dataReceived(piece)
        harness.clock.advance(TICK_SECONDS)
        harness.confirm()
    return harness.clock.seconds() - started


def postpone_deadline(harness):
    for exchange in harness.gateway._exchanges:
        exchange._deadline_timer.delay(LATE_DEADLINE_SECONDS)


def check_outcome(harness, route, caller):
    """Check that the request is retried only where that is allowed, and how it ends."""
    second = harness.accept()
    if route in ("book", "once"):
        assert second is None
        assert caller.aborted or read_status(caller) == 502
        assert not caller.value().endswith(b"\r\n0\r\n\r\n")
        return
    assert second is not None
    second.protocol.dataReceived(STREAM_OK if route == "talk" else OK)
    assert read_status(caller) == 200
    body = read_chunks(caller) if route == "talk" else read_body(caller)
    assert body == (make_event(1) if route == "talk" else b"ok")


@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nX-A: ", repeat(b"a")),
        (b"HTTP/1.1 200 OK\r\n", repeat(b"X-A: a\r\n")),
        (b"HTTP/1.1 200 ", repeat(b"a")),
        (b"", repeat(b"\r\n")),
        (b"", repeat(b"a")),
        (CHUNKED, repeat(b"0")),
        (CHUNKED + b"5;", repeat(b"a")),
        (CHUNKED + b"0\r\n", repeat(b"X-A: a\r\n")),
    ],
    ids=[
        "header",
        "headers",
        "reason",
        "blank lines",
        "no status line",
        "chunk size",
        "chunk extension",
        "trailers",
    ],
)
def test_head_without_end(route, start, piece):
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(start)
    assert feed(endpoint, piece, 4 * MAX_HEAD_BYTES) <= MAX_HEAD_BYTES + PIECE_BYTES
    check_outcome(harness, route, caller)


@pytest.mark.parametrize("state", ["idle", "after an answer", "cancelled"])
def test_bytes_that_nobody_waits_for(state):
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request()
    endpoint = harness.accept()
    if state == "cancelled":
        caller.disconnect(ConnectionDone())
    else:
        endpoint.protocol.dataReceived(OK + (b"a" if state == "after an answer" else b""))
        assert read_body(caller) == b"ok"
    assert feed(endpoint, repeat(b"a"), MAX_HEAD_BYTES) <= PIECE_BYTES
    assert endpoint.aborted


def test_whole_body_without_end_is_cut_at_the_deadline():
    """A sealed answer that only never ends can't be told from a long one before the deadline."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request("book")
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(CHUNKED)
    feed(endpoint, make_chunk(repeat(b"a")), 2 * MAX_BUFFERED_BYTES)
    harness.clock.advance(1.0)
    assert endpoint.aborted and caller.aborted
    assert not caller.value().endswith(b"\r\n0\r\n\r\n")


@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
@pytest.mark.parametrize("status", [100, 102, 103])
def test_informational_answers_without_end(route, status):
    """Each of them is complete, so that no limit on an incomplete head applies."""
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    piece = repeat(b"HTTP/1.1 %d X\r\n\r\n" % status)
    assert feed(endpoint, piece, 4 * MAX_HEAD_BYTES) <= MAX_HEAD_BYTES
    check_outcome(harness, route, caller)


def test_few_informational_answers_are_passed_over():
    harness = GatewayHarness()
    caller = harness.send_request("book")
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(b"HTTP/1.1 100 X\r\n\r\n" + b"HTTP/1.1 103 X\r\n\r\n" + OK)
    assert read_body(caller) == b"ok" and not endpoint.aborted


@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
@pytest.mark.parametrize("piece", [b"a", b"HTTP 1", b"\n", b" HTTP/1.1 200 OK"])
def test_bytes_that_begin_no_answer(route, piece):
    """The caller must not wait for the rest of a head whose first bytes are none."""
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(piece)
    assert endpoint.aborted
    check_outcome(harness, route, caller)


def test_answer_may_arrive_byte_by_byte():
    harness = GatewayHarness()
    caller = harness.send_request("book")
    endpoint = harness.accept()
    for position in range(len(OK)):
        endpoint.protocol.dataReceived(OK[position : position + 1])
    assert read_body(caller) == b"ok" and not endpoint.aborted


@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
def test_head_that_dribbles_without_end(route):
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    postpone_deadline(harness)
    endpoint.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nX-A: ")
    assert dribble(harness, endpoint, b"a", 10.0) <= MAX_HEAD_SECONDS + SLACK_SECONDS
    check_outcome(harness, route, caller)


def test_time_for_a_head_ends_with_it():
    harness = GatewayHarness()
    harness.send_request("once")
    endpoint = harness.accept()
    postpone_deadline(harness)
    endpoint.protocol.dataReceived(CHUNKED[:30])
    endpoint.protocol.dataReceived(CHUNKED[30:])
    harness.clock.advance(MAX_HEAD_SECONDS + SLACK_SECONDS)
    assert not endpoint.aborted


@pytest.mark.parametrize("route", ["talk", "once"])
@pytest.mark.parametrize("piece", [repeat(b"a"), repeat(b"data: a\n"), repeat(b": a\r\n")])
def test_event_without_end(route, piece):
    harness = GatewayHarness()
    caller, endpoint = open_stream(harness, route)
    taken = feed(endpoint, make_chunk(piece), 4 * MAX_EVENT_BYTES)
    assert taken <= MAX_EVENT_BYTES + 2 * PIECE_BYTES
    check_outcome(harness, route, caller)


def test_event_that_arrives_byte_by_byte_costs_linear_time():
    buffer = EventStreamBuffer("")
    started = time.process_time()
    for _ in range(MAX_EVENT_BYTES):
        buffer.feed(b"a")
    assert time.process_time() - started < 1.0


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_end_of_an_event_may_be_divided(end):
    buffer = EventStreamBuffer("")
    text = b"id: 1" + end + b"id: 2" + end
    fed = [buffer.feed(text[position : position + 1]) for position in range(len(text))]
    assert [event for event in fed if event] == [b"id: 1" + end, b"id: 2" + end]
    assert buffer.at_event_boundary and buffer.last_id == "2"


@pytest.mark.parametrize("route", ["talk", "once"])
@pytest.mark.parametrize(
    "piece", [b"a", b": a\n\n", b"\n\n", b"\r\n"], ids=["event", "comments", "ends", "lines"]
)
def test_stream_of_bytes_without_events(route, piece):
    """Bytes that complete no event must not hold off the stall timer."""
    harness = GatewayHarness()
    caller, endpoint = open_stream(harness, route)
    postpone_deadline(harness)
    seconds = dribble(harness, endpoint, make_chunk(piece), 10.0)
    assert seconds <= STALL_SECONDS + SLACK_SECONDS
    second = harness.accept()
    assert (second is not None) is (route == "talk")
    assert second is not None or caller.aborted


@pytest.mark.parametrize("route", ["talk", "once"])
def test_error_body_of_a_stream_that_dribbles_without_end(route):
    """The bytes of an error are no events either."""
    harness = GatewayHarness()
    harness.send_request(route)
    endpoint = harness.accept()
    postpone_deadline(harness)
    endpoint.protocol.dataReceived(make_response(status=500, chunked=True))
    seconds = dribble(harness, endpoint, make_chunk(b"a"), 10.0)
    assert seconds <= STALL_SECONDS + SLACK_SECONDS


def test_last_attempt_of_a_stream_without_events_ends():
    """Without another endpoint to turn to, the caller must not wait for its deadline."""
    harness = GatewayHarness()
    caller, first = open_stream(harness)
    postpone_deadline(harness)
    first.protocol.dataReceived(make_chunk(make_event(1)))
    dribble(harness, first, make_chunk(b"a"), 10.0)
    second = harness.accept()
    second.protocol.dataReceived(CHUNKED)
    dribble(harness, second, make_chunk(b"a"), 10.0)
    assert second.aborted and caller.aborted


def test_stream_of_slow_events_goes_on():
    harness = GatewayHarness()
    caller, endpoint = open_stream(harness, "once")
    postpone_deadline(harness)
    for number in range(4):
        endpoint.protocol.dataReceived(make_chunk(make_event(number)))
        harness.clock.advance(0.9 * STALL_SECONDS)
    endpoint.protocol.dataReceived(make_chunk(b""))
    assert read_chunks(caller) == b"".join(make_event(number) for number in range(4))


@pytest.mark.parametrize("route", ["read", "book"])
@pytest.mark.parametrize("end", [repeat(b"0"), None], ids=["chunk size", "connection lost"])
def test_answer_that_has_begun_is_not_continued_with_another(route, end):
    """The bytes of a second answer must not follow those of a first one that broke off."""
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(CHUNKED)
    feed(endpoint, make_chunk(repeat(b"a")), MAX_BUFFERED_BYTES + PIECE_BYTES)
    assert read_status(caller) == 200
    if end is None:
        endpoint.disconnect(ConnectionLost())
    else:
        feed(endpoint, end, 2 * MAX_HEAD_BYTES)
    assert harness.accept() is None and caller.aborted


NOT_THE_ENDPOINTS = [
    (dict(sealed=False), 0),
    (dict(headers=("Content-Encoding: gzip",)), 0),
    (dict(status=503), 0),
    (dict(status=429), 0),
    (dict(status=500, sealed=False), MAX_BUFFERED_BYTES),
    (dict(status=404, sealed=False), MAX_BUFFERED_BYTES),
]


@pytest.mark.parametrize("route", ["read", "book"])
@pytest.mark.parametrize(
    ("fields", "limit"),
    NOT_THE_ENDPOINTS,
    ids=["no seal", "encoded", "unmarked 503", "unmarked 429", "unsealed 500", "unsealed 404"],
)
def test_body_without_end_that_may_not_be_passed_on(route, fields, limit):
    """It is refused by its head, or else held only up to the limit, and none of it is passed on."""
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(make_response(chunked=True, **fields))
    taken = feed(endpoint, make_chunk(repeat(b"a")), 2 * MAX_BUFFERED_BYTES)
    assert taken <= limit + 2 * PIECE_BYTES
    check_outcome(harness, route, caller)


def test_body_of_tiny_chunks_is_held_in_little_memory():
    """Each chunk must not be held as an object of its own."""
    harness = GatewayHarness(endpoints=1)
    harness.send_request("book")
    endpoint = harness.accept()
    postpone_deadline(harness)
    endpoint.protocol.dataReceived(CHUNKED)
    piece = make_chunk(b"ab") * 4096
    tracemalloc.start()
    try:
        for _ in range(MAX_BUFFERED_BYTES // len(piece) + 1):
            endpoint.protocol.dataReceived(piece)
            while endpoint.producerState == "paused":
                harness.clock.advance(BACKLOG_PAUSE_SECONDS)
        assert not endpoint.aborted
        assert tracemalloc.get_traced_memory()[0] < 2 * MAX_BUFFERED_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("pause", [0.0, TICK_SECONDS], ids=["fast", "dribble"])
@pytest.mark.parametrize("status", [503, 421])
@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
def test_body_without_end_of_an_answer_that_was_not_run(route, status, pause):
    """The rest of such an answer is read only to keep the connection."""
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    marks = ("X-Not-Executed: 1",)
    endpoint.protocol.dataReceived(
        make_response(status=status, headers=marks, sealed=False, chunked=True)
    )
    second = harness.accept()
    second.protocol.dataReceived(STREAM_OK if route in ("talk", "once") else OK)
    assert read_status(caller) == 200
    if pause:
        seconds = dribble(harness, endpoint, make_chunk(b"a"), 10.0)
        assert seconds <= MAX_DRAIN_SECONDS + SLACK_SECONDS
    else:
        taken = feed(endpoint, make_chunk(repeat(b"a")), 4 * MAX_DRAIN_BYTES)
        assert taken <= MAX_DRAIN_BYTES + 2 * PIECE_BYTES
    assert endpoint.aborted


def test_answer_that_was_not_run_keeps_its_connection():
    harness = GatewayHarness()
    harness.send_request("once")
    endpoint = harness.accept()
    head = make_response(status=503, headers=("X-Not-Executed: 1",), sealed=False, length=4)
    endpoint.protocol.dataReceived(head)
    endpoint.protocol.dataReceived(b"full")
    harness.clock.advance(MAX_DRAIN_SECONDS + SLACK_SECONDS)
    assert endpoint.protocol.usable and not endpoint.aborted


@pytest.mark.parametrize("route", ["book", "once"])
def test_endpoint_is_not_read_ahead_of_a_slow_caller(route):
    """The rest of a long answer must wait at its endpoint, not in this process."""
    harness = GatewayHarness()
    caller = harness.send_request(route)
    endpoint = harness.accept()
    postpone_deadline(harness)
    endpoint.protocol.dataReceived(CHUNKED)
    piece = make_event(1) if route == "once" else repeat(b"a")
    for _ in range(2 * MAX_BUFFERED_BYTES // PIECE_BYTES):
        endpoint.protocol.dataReceived(make_chunk(piece))
    caller.producer.pauseProducing()
    assert endpoint.producerState == "paused"
    harness.clock.advance(2 * STALL_SECONDS)
    assert not endpoint.aborted
    caller.producer.resumeProducing()
    assert endpoint.producerState == "producing"
    harness.clock.advance(TICK_SECONDS)
    assert not endpoint.aborted
    endpoint.protocol.dataReceived(make_chunk(b""))
    assert caller.value().endswith(b"\r\n0\r\n\r\n") and caller.producer is None


def test_pause_for_a_slow_caller_ends_with_the_answer():
    """The connection must be read again for the next answer."""
    harness = GatewayHarness()
    caller, endpoint = open_stream(harness, "once")
    endpoint.protocol.dataReceived(make_chunk(make_event(1)))
    caller.producer.pauseProducing()
    endpoint.protocol.dataReceived(make_chunk(b""))
    assert endpoint.producerState == "producing" and endpoint.protocol.usable
