"""Connections of callers that this process is closing."""

from __future__ import annotations

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response

BLOCK = b"x" * 65536
BLOCK_COUNT = 16


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
