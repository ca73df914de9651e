"""Answers that break off, or that an endpoint writes where they do not belong."""

from __future__ import annotations

import pytest
from gateway_harness import GatewayHarness, make_response

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
