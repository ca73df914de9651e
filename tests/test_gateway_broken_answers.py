"""Answers that break off, or that an endpoint writes where they do not belong."""

from __future__ import annotations

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response
from twisted.internet.error import ConnectionLost

REFUSAL = make_response(status=503, headers=("X-Not-Executed: 1",), sealed=False)
WHOLE = make_response(b"whole")


def read_status(caller) -> int:
    return int(caller.value().split(b" ", 2)[1]) if caller.value() else 0


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
