"""Reads that hold thousands of tiny chunks, each of which costs the processor an event of h11.

Only a bounded number of them may be handled in a turn of the reactor, and all of them must reach
the caller in order.
"""

from __future__ import annotations

import h11
import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response
from test_gateway_answers import open_stream, read_body, read_chunks, read_status
from twisted.internet.error import ConnectionDone, ConnectionLost

CHUNKED = make_response(chunked=True)
CHUNKS = [b"%02d" % (number % 100) for number in range(9000)]
READ = b"".join(map(make_chunk, CHUNKS))  # what a read of 64 KiB may hold
MOST_EVENTS = 200
CONNECTIONS = 5
TURN_SECONDS = 0.004
LONGEST_SECONDS = 0.5  # for a read, if its endpoint has no other connection with so many chunks


class EventMeter:
    """Counts the events that h11 returns."""

    def __init__(self, monkeypatch):
        self.count = 0
        next_event = h11.Connection.next_event

        def count_event(connection):
            self.count += 1
            return next_event(connection)

        monkeypatch.setattr(h11.Connection, "next_event", count_event)

    def take(self) -> int:
        count, self.count = self.count, 0
        return count


def advance_turns(harness, meter, seconds=LONGEST_SECONDS) -> int:
    """Let time pass; return the largest number of events that were handled in a turn."""
    most = meter.take()
    for _ in range(round(seconds / TURN_SECONDS)):
        harness.clock.advance(TURN_SECONDS)
        most = max(most, meter.take())
    return most


@pytest.mark.parametrize("route", ["read", "book"])
def test_read_of_many_chunks_leaves_the_turn_to_others(route, monkeypatch):
    """All events of a read were handled at once, for 0.1 s and more."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request(route)
    endpoint = harness.accept()
    meter = EventMeter(monkeypatch)
    endpoint.protocol.dataReceived(CHUNKED + READ + make_chunk(b""))
    assert endpoint.producerState == "paused"
    assert advance_turns(harness, meter) <= MOST_EVENTS
    assert read_status(caller) == 200 and read_body(caller) == b"".join(CHUNKS)
    assert endpoint.producerState == "producing" and endpoint.protocol.usable


def test_many_connections_of_an_endpoint_take_no_more_of_the_processor_than_one(monkeypatch):
    harness = GatewayHarness(endpoints=1)
    meter = EventMeter(monkeypatch)
    for number in range(CONNECTIONS):
        harness.send_request("book", request=f"r-{number}")
        endpoint = harness.accept()
        meter.take()
        endpoint.protocol.dataReceived(make_response(chunked=True, request=f"r-{number}") + READ)
        assert meter.take() <= MOST_EVENTS
    assert 0 < advance_turns(harness, meter) <= MOST_EVENTS


@pytest.mark.parametrize("error", [ConnectionDone(), ConnectionLost()], ids=["closed", "lost"])
@pytest.mark.parametrize("ended", [True, False], ids=["whole answer", "part of an answer"])
def test_what_was_read_before_a_connection_ended_is_handled(ended, error, monkeypatch):
    """The end of the connection must not overtake what has arrived before it."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request("book")
    endpoint = harness.accept()
    meter = EventMeter(monkeypatch)
    endpoint.protocol.dataReceived(CHUNKED + READ + make_chunk(b"") * ended)
    assert meter.take() <= MOST_EVENTS
    endpoint.disconnect(error)
    assert read_status(caller) == (200 if ended else 502)
    assert (read_body(caller) == b"".join(CHUNKS)) == ended
    meter.take()
    assert advance_turns(harness, meter) == 0


def test_caller_that_leaves_ends_the_work_for_its_answer(monkeypatch):
    """Another connection of the endpoint must not wait for the turns of one that is gone."""
    harness = GatewayHarness(endpoints=1)
    meter = EventMeter(monkeypatch)
    gone = harness.send_request("book", request="r-0")
    harness.accept().protocol.dataReceived(make_response(chunked=True, request="r-0") + READ)
    caller = harness.send_request("book")
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(CHUNKED + READ + make_chunk(b""))
    assert meter.take() <= 2 * MOST_EVENTS
    gone.disconnect(ConnectionDone())
    assert advance_turns(harness, meter) <= MOST_EVENTS
    assert read_body(caller) == b"".join(CHUNKS)


@pytest.mark.parametrize("resumed_early", [True, False])
def test_pause_for_a_slow_caller_and_for_many_chunks_do_not_end_each_other(
    resumed_early, monkeypatch
):
    harness = GatewayHarness(endpoints=1)
    caller, endpoint = open_stream(harness, "once")
    pieces = [make_event(number) for number in range(2000)]
    meter = EventMeter(monkeypatch)
    endpoint.protocol.dataReceived(b"".join(map(make_chunk, pieces)))
    assert meter.take() <= MOST_EVENTS
    caller.producer.pauseProducing()
    if resumed_early:
        caller.producer.resumeProducing()
        assert endpoint.producerState == "paused"
    assert advance_turns(harness, meter) <= MOST_EVENTS
    if not resumed_early:
        assert endpoint.producerState == "paused"
        caller.producer.resumeProducing()
    assert endpoint.producerState == "producing"
    endpoint.protocol.dataReceived(make_chunk(b""))
    assert read_chunks(caller).endswith(b"".join(pieces))
    assert caller.value().endswith(b"\r\n0\r\n\r\n") and endpoint.protocol.usable


def test_rest_of_a_refusal_in_many_chunks_is_not_read_on_without_end(monkeypatch):
    """Nobody waits for it any more, so that only the limits of a drained answer end it."""
    harness = GatewayHarness()
    harness.send_request("book")
    endpoint = harness.accept()
    head = make_response(status=503, headers=("X-Not-Executed: 1",), sealed=False, chunked=True)
    meter = EventMeter(monkeypatch)
    endpoint.protocol.dataReceived(head + READ)
    assert harness.accept() is not None
    assert advance_turns(harness, meter, 1.1) <= MOST_EVENTS
    assert endpoint.aborted
