"""Connections of callers that this process is closing."""

from __future__ import annotations

import pytest
from gateway_harness import (
    ROUTE_TIMEOUT_SECONDS,
    GatewayHarness,
    make_chunk,
    make_event,
    make_response,
)

BLOCK = b"x" * 65536
BLOCK_COUNT = 16
MAX_LATE_SECONDS = 0.25  # of the end of an answer after its time-out
STEP_SECONDS = 0.005


def break_off(harness, caller, endpoint):
    """Break an answer off while the caller has not received all of it."""
    endpoint.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    caller.dataBuffer = b"what waits to be sent"
    endpoint.protocol.dataReceived(b"no chunk\r\n")


def close_when_sent(harness, caller, endpoint):
    """Complete an answer after which the connection is closed, once the caller has received it."""
    caller.loseConnection = lambda: None
    endpoint.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    endpoint.protocol.dataReceived(make_chunk(b""))


@pytest.mark.parametrize("end", [break_off, close_when_sent])
def test_bytes_that_arrive_at_a_closing_connection_are_not_kept(end):
    """A caller that sent without end, and did not read, filled the memory."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request("once", ("Connection: close",))
    connection = caller.protocol
    end(harness, caller, harness.accept())
    assert connection.open and connection.busy
    for _ in range(BLOCK_COUNT):
        connection.dataReceived(BLOCK)
    assert len(connection._http.trailing_data[0]) == 0


def test_answer_whose_time_is_over_ends_in_time_for_a_caller_that_does_not_receive():
    """It ended later than the platform accepts after the time-out of its route."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request("once")
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    caller.dataBuffer = b"what waits to be sent"
    while not caller.aborted:
        harness.clock.advance(STEP_SECONDS)
    late = harness.clock.seconds() - ROUTE_TIMEOUT_SECONDS
    assert 0.0 < late <= MAX_LATE_SECONDS - 2 * STEP_SECONDS
