"""Answers that break off, or that an endpoint writes where they do not belong."""

from __future__ import annotations

import logging

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response
from twisted.internet.error import ConnectionDone, ConnectionLost

from coltsfootshift.gateway.exchange import MAX_BUFFERED_BYTES

REFUSAL = make_response(status=503, headers=("X-Not-Executed: 1",), sealed=False)
WHOLE = make_response(b"whole")
UNFRAMED = make_response(b"").replace(b"Content-Length: 0\r\n", b"")
BLOCK = b"x" * 65536
CUTS = [len(b"HTTP/1.1 200 X"), WHOLE.index(b"Attempt"), WHOLE.index(b"seal-1") + 3]
CUTS += [WHOLE.index(b"5\r\n\r\n") + size for size in range(5)]


def read_status(caller) -> int:
    return int(caller.value().split(b" ", 2)[1]) if caller.value() else 0


def read_body(caller) -> bytes:
    return caller.value().partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("route", ["read", "book", "once", "talk"])
def test_refusal_that_is_written_again_is_not_taken_for_that_of_the_next_attempt(route):
    """The same request may be sent again to the endpoint that refused it, under the same id."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request(route)
    first = harness.accept()
    first.protocol.dataReceived(REFUSAL)
    first.take()
    for _ in range(10):
        harness.clock.advance(0.02)
    second = harness.accept()
    assert second is not None and b"r-1" in second.value() and not first.value()
    first.protocol.dataReceived(REFUSAL)
    assert first.aborted and read_status(caller) == 0
    second.protocol.dataReceived(WHOLE)
    assert read_status(caller) == 200


@pytest.mark.parametrize("route", ["read", "talk", "once"])
def test_refusal_that_is_written_again_is_not_taken_for_that_of_the_next_request(route):
    harness = GatewayHarness(endpoints=1)
    harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(REFUSAL)
    endpoint.take()
    harness.clock.advance(0.06)
    caller = harness.send_request(route, request="r-2")
    if endpoint.value():
        endpoint.protocol.dataReceived(REFUSAL)
        assert endpoint.aborted and read_status(caller) not in (503, 429)


ERRORS = {
    "error": make_response(b"error text", status=500),
    "own refusal, sealed": make_response(b"error text", status=404),
    "chunked error": make_response(status=500, chunked=True)
    + make_chunk(b"error text")
    + make_chunk(b""),
    "unmarked refusal": make_response(b"error text", status=503),
    "unsealed error": make_response(b"error text", status=500, sealed=False),
    "long error": make_response(b"error text" * 200_000, status=500),
    "head as body": make_response(b"HTTP/1.1 500 X\r\n\r\nerror text", status=500),
    "not run": make_response(b"error text", status=503, headers=("X-Not-Executed: 1",)),
}


@pytest.mark.parametrize("answer", ERRORS.values(), ids=ERRORS.keys())
def test_error_of_the_next_engine_does_not_reach_a_stream_that_has_begun(answer):
    """The stream ends as broken, so that its caller does not take it for complete."""
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request("talk")
    first = harness.accept()
    first.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    first.disconnect(ConnectionLost())
    second = harness.accept()
    second.protocol.dataReceived(answer)
    for _ in range(100):
        harness.clock.advance(0.02)
    assert caller.value().count(b"HTTP/1.1") == 1 and b"error text" not in caller.value()
    assert caller.aborted and not caller.value().endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("error", [ConnectionDone(), ConnectionLost()])
def test_endpoint_that_closes_in_the_middle_of_a_head_has_not_answered(route, cut, error):
    """The head alone must not reach the caller as a success with an empty body."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(WHOLE[:cut])
    endpoint.disconnect(error)
    for _ in range(60):
        harness.clock.advance(0.02)
    assert b" 200 " not in caller.value() or not caller.value().endswith(b"0\r\n\r\n")
    assert b"HTTP/1.1 200" not in caller.value() or caller.aborted


@pytest.mark.parametrize(
    ("body", "error", "complete"),
    [
        (make_event(1) + make_event(2), ConnectionDone(), True),
        (make_event(1) + make_event(2), ConnectionLost(), False),
        (make_event(1) + b"id: 2\nda", ConnectionDone(), False),
        (make_event(1) + b"id: 2\ndata: piece-2\n", ConnectionDone(), False),
        (b"", ConnectionDone(), False),
    ],
    ids=["whole", "reset", "within an event", "before its end", "no event"],
)
@pytest.mark.parametrize("route", ["talk", "once"])
def test_stream_that_ends_with_its_connection(route, body, error, complete):
    """A resumable one goes on at another endpoint unless it is whole; others end as broken."""
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request(route)
    first = harness.accept()
    first.protocol.dataReceived(UNFRAMED + body)
    first.disconnect(error)
    for _ in range(10):
        harness.clock.advance(0.02)
    assert caller.value().endswith(b"0\r\n\r\n") is complete
    second = harness.accept()
    assert (second is not None) is (not complete and route == "talk")
    if second is not None and body.startswith(b"id: 1"):
        last = 2 if body.endswith(b"\n\n") else 1
        assert b"last-event-id: %d\r\n" % last in second.value().lower()


@pytest.mark.parametrize(
    ("body", "error", "status"),
    [
        (b"whole", ConnectionDone(), 200),
        (b"whole", ConnectionLost(), 502),
        (b"", ConnectionDone(), 502),
    ],
    ids=["whole", "reset", "empty"],
)
def test_plain_answer_that_ends_with_its_connection(body, error, status):
    """Nothing shows that an empty one is whole: its endpoint may have closed after the head."""
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request("book")
    first = harness.accept()
    first.protocol.dataReceived(UNFRAMED + body)
    first.disconnect(error)
    assert read_status(caller) == status and read_body(caller) == (body if status == 200 else b"")


@pytest.mark.parametrize(
    ("data", "cause"),
    [
        (b"", "connection closed before an answer"),
        (WHOLE[:30], "connection closed within the head of an answer"),
        (b"HTTP/1.1 102 Processing\r\n\r\n", "connection closed before an answer"),
        (UNFRAMED, "the connection ended after the head"),
    ],
    ids=["nothing", "part of a head", "only an informational answer", "a head"],
)
@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used one"])
def test_line_tells_in_plain_words_that_an_endpoint_closed_before_its_answer(
    used, data, cause, caplog
):
    """It had the text of a library, which names the states of its protocol machine."""
    harness = GatewayHarness(endpoints=1)
    endpoint = None
    if used:
        harness.send_request("read", request="r-0")
        endpoint = harness.accept()
        endpoint.protocol.dataReceived(make_response(b"ok", request="r-0"))
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        harness.send_request("talk")
        endpoint = endpoint or harness.accept()
        if data:
            endpoint.protocol.dataReceived(data)
        endpoint.disconnect(ConnectionDone())
    (line,) = [row for row in caplog.records if row.message == "order failed"]
    assert line.cause == cause


@pytest.mark.parametrize("whole", [True, False], ids=["whole", "cut"])
@pytest.mark.parametrize("route", ["read", "talk"])
def test_failure_that_was_passed_on_in_part_is_not_continued_with_another_answer(route, whole):
    """The events of another attempt followed its bytes, and the answer looked complete."""
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request(route)
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(make_response(status=500, chunked=True))
    for _ in range(MAX_BUFFERED_BYTES // len(BLOCK) + 1):
        endpoint.protocol.dataReceived(make_chunk(BLOCK))
    if whole:
        endpoint.protocol.dataReceived(make_chunk(b""))
    else:
        endpoint.disconnect(ConnectionLost())
    assert read_status(caller) == 500 and harness.accept() is None
    assert caller.aborted is not whole
    assert caller.value().endswith(make_chunk(b"")) is whole
