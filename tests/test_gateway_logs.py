"""Log lines: bounded in rate, never blocking, and enough to tell how an answer ended."""

from __future__ import annotations

import json
import logging
import os
import time

import h11
import pytest
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response
from twisted.internet.error import ConnectionDone, ConnectionLost

from coltsfootshift.gateway.callers import CallerConnection
from coltsfootshift.gateway.service import Gateway
from coltsfootshift.logs import MAX_LINES_PER_SECOND, MAX_PENDING_BYTES, BoundedHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    handler.setFormatter(logging.Formatter("%(message)s"))
    yield reader, handler
    os.close(reader)
    os.close(writer)


def emit(handler, text, count=1):
    for _ in range(count):
        handler.emit(logging.makeLogRecord({"msg": text}))


def test_lines_of_one_kind_are_bounded_and_others_pass(pipe, monkeypatch):
    reader, handler = pipe
    monkeypatch.setattr(time, "monotonic", lambda: 5.0)
    emit(handler, "often", MAX_LINES_PER_SECOND + 50)
    emit(handler, "seldom")
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert lines.count("often") == MAX_LINES_PER_SECOND and lines.count("seldom") == 1
    monkeypatch.setattr(time, "monotonic", lambda: 6.0)
    emit(handler, "seldom")
    assert "lines left out" in os.read(reader, 1 << 20).decode()


def test_reader_that_stops_costs_lines_and_no_time(pipe):
    """When the pipe is full, lines are dropped instead of blocking or buffering without limit."""
    _, handler = pipe
    started = time.perf_counter()
    for kind in range(40):
        emit(handler, json.dumps({"kind": kind, "text": "x" * 1000}), MAX_LINES_PER_SECOND)
    assert time.perf_counter() - started < 5.0
    assert len(handler._pending) <= MAX_PENDING_BYTES and handler._dropped


@pytest.mark.parametrize("reused", [False, True], ids=["first on its connection", "on a kept one"])
def test_answer_that_is_broken_off_says_why_and_for_how_long_its_endpoint_was_silent(
    reused, caplog
):
    """The lines did not tell a broken answer from an ended one, nor a silent endpoint from others.

    The endpoint's connection is lost 0.75 s after the first event of a stream that may not be
    repeated.
    """
    harness = GatewayHarness(endpoints=1)
    endpoint = None
    if reused:
        caller = harness.send_request("read", request="r-0")
        endpoint = harness.accept()
        endpoint.protocol.dataReceived(make_response(b"ok", request="r-0"))
        harness.connect = lambda: caller
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        caller = harness.send_request("once")
        endpoint = endpoint or harness.accept()
        endpoint.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
        harness.clock.advance(0.75)
        endpoint.abortConnection()
    rows = {record.message: record for record in caplog.records}
    assert caller.aborted
    assert rows["order failed"].silent == 0.75
    broken = rows["answer broken off"]
    assert (broken.request, broken.events, broken.connection_reused) == ("r-1", 1, reused)
    assert broken.time_left == 0.25 and broken.cause.startswith("connection lost")


def begin_stream(harness):
    """Send a request whose answer has begun with one event; return both connections."""
    caller = harness.send_request("once")
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    return caller, endpoint


def leave_before_the_answer(harness, fault):
    harness.send_request("read").disconnect(ConnectionLost())


def leave_in_the_middle(harness, fault):
    begin_stream(harness)[0].disconnect(ConnectionDone())


def leave_while_the_end_is_sent(harness, fault):
    caller, endpoint = begin_stream(harness)
    endpoint.protocol.dataReceived(make_chunk(b""))
    caller.dataBuffer = b"0\r\n\r\n"
    caller.disconnect(ConnectionLost())


def leave_with_the_next_request_half_sent(harness, fault):
    caller = harness.send_request("read")
    harness.accept().protocol.dataReceived(make_response(b"ok"))
    caller.protocol.dataReceived(b"POST /read/x HT")
    caller.disconnect(ConnectionDone())


def leave_before_the_request_is_handled(harness, fault):
    caller = harness.connect()
    caller.handle.closed = True
    harness.connect = lambda: caller
    harness.send_request("read")


def lose_the_endpoint(harness, fault):
    caller, endpoint = begin_stream(harness)
    caller.dataBuffer = caller.value()
    endpoint.disconnect(ConnectionLost())


def lose_the_endpoint_with_bytes_unread(harness, fault):
    caller, endpoint = begin_stream(harness)
    caller.protocol.dataReceived(b"POST /read/x HT")
    endpoint.disconnect(ConnectionLost())


def pass_the_deadline(harness, fault):
    begin_stream(harness)
    for _ in range(60):
        harness.clock.advance(0.02)


def stop_the_process(harness, fault):
    begin_stream(harness)
    harness.gateway.break_off()


def stop_the_process_while_the_end_is_sent(harness, fault):
    caller, endpoint = begin_stream(harness)
    endpoint.protocol.dataReceived(make_chunk(b""))
    caller.dataBuffer = b"0\r\n\r\n"
    harness.gateway.break_off()
    caller.disconnect(ConnectionLost())


def fail_to_write(harness, fault):
    caller, endpoint = begin_stream(harness)
    fault.setattr(
        caller.protocol._http, "send", lambda event: raise_error(h11.LocalProtocolError("late"))
    )
    endpoint.protocol.dataReceived(make_chunk(make_event(2)))


def fail_to_handle(harness, fault):
    def handle(self, incoming):
        incoming.start_stream(200, [])
        raise ValueError("a fault")

    fault.setattr(Gateway, "handle_request", handle)
    harness.send_request("read")


def fail_to_read(harness, fault):
    caller = harness.send_request("read")
    fault.setattr(CallerConnection, "_read_events", lambda self: raise_error(ValueError("a fault")))
    with pytest.raises(ValueError, match="a fault"):
        caller.protocol.dataReceived(b"P")
    caller.disconnect(ValueError("a fault"))  # as the reactor does


def send_a_head_too_slowly(harness, fault):
    harness.connect().protocol.dataReceived(b"POST /read/x HT")
    harness.clock.advance(3.1)


def send_no_request(harness, fault):
    harness.connect().protocol.dataReceived(b"\0\0\r\n\r\n")


def raise_error(error):
    raise error


WHOLE = {"request": "r-1", "unsent_bytes": 0, "unread": False}
BEGUN = {**WHOLE, "head_sent": True}
PART = {"request": "", "head_sent": False, "answer_bytes": 0, "seconds": None}
ENDS = [
    (leave_before_the_answer, "caller", "ConnectionLost", {**WHOLE, "answer_bytes": 0}),
    (leave_in_the_middle, "caller", "ConnectionDone", BEGUN),
    (leave_while_the_end_is_sent, "caller", "ConnectionLost", {**BEGUN, "unsent_bytes": 5}),
    (leave_with_the_next_request_half_sent, "caller", "ConnectionDone", {**PART, "unread": True}),
    (leave_before_the_request_is_handled, "caller", "closed before", PART),
    (lose_the_endpoint, "process", "connection lost", {"request": "r-1", "unread": False}),
    (lose_the_endpoint_with_bytes_unread, "process", "connection lost", {"unread": True}),
    (pass_the_deadline, "process", "the deadline has passed", BEGUN),
    (stop_the_process, "process", "this entry is leaving", BEGUN),
    (stop_the_process_while_the_end_is_sent, "process", "ConnectionLost", {"unsent_bytes": 5}),
    (fail_to_write, "error", "the answer cannot be sent: late", BEGUN),
    (fail_to_handle, "process", "its handling failed", {"head_sent": True}),
    (fail_to_read, "error", "ValueError: a fault", {"request": "r-1", "unread": True}),
    (send_a_head_too_slowly, "process", "rejected with 408", {**PART, "unread": True}),
    (send_no_request, "process", "rejected with 400", PART),
]


@pytest.mark.parametrize(
    ("end", "ended_by", "cause", "fields"), ENDS, ids=[row[0].__name__ for row in ENDS]
)
def test_line_tells_who_ended_the_connection_of_a_request(
    end, ended_by, cause, fields, caplog, monkeypatch
):
    """A caller that had left could not be told from a connection that this process had closed."""
    harness = GatewayHarness(endpoints=1)
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        end(harness, monkeypatch)
    (line,) = [row for row in caplog.records if row.message == "caller connection ended"]
    assert (line.ended_by, line.cause[: len(cause)]) == (ended_by, cause)
    assert {name: getattr(line, name) for name in fields} == fields
    assert bool(line.answer_bytes) is line.head_sent
    assert harness.gateway.metrics.get_count(f"caller_connections_ended_by_{ended_by}") == 1


@pytest.mark.parametrize("after", ["an answer", "nothing"])
@pytest.mark.parametrize("ended_by", ["caller", "process"])
def test_end_of_an_idle_connection_is_counted_and_not_logged(ended_by, after, caplog):
    harness = GatewayHarness(endpoints=1)
    caller = harness.connect()
    if after == "an answer":
        harness.connect = lambda: caller
        harness.send_request("read")
        harness.accept().protocol.dataReceived(make_response(b"ok"))
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        if ended_by == "caller":
            caller.disconnect(ConnectionDone())
        else:
            harness.factory.close_idle()
    assert caller.protocol is None
    assert not [row for row in caplog.records if row.message == "caller connection ended"]
    assert harness.gateway.metrics.get_count("caller_connections_ended_idle") == 1


def test_line_tells_that_the_process_stood_still_before(caplog):
    """A delay below that of `event loop stalled` left no trace."""
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request("once")
    harness.clock.advance(0.02)
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        harness.stand_still(0.1, lambda: caller.disconnect(ConnectionLost()))
    (line,) = [row for row in caplog.records if row.message == "caller connection ended"]
    assert (line.since_tick, line.tick_delay, line.seconds) == (0.0, 0.08, 0.12)


def spend_the_budget(harness):
    harness.gateway._budget.set_entry_count(10_000)


def remove_the_endpoints(harness):
    harness.tables.endpoints.clear()
    harness.gateway.refresh()


def suspect_the_request(harness):
    (exchange,) = harness.gateway._exchanges
    crashes = harness.gateway.beliefs.crashes
    for number in range(3):
        crashes.record_crash(f"x-{number}", "s", [exchange.admission.suspects], 0.0)


@pytest.mark.parametrize(
    ("prepare", "cause"),
    [
        (spend_the_budget, "the retry budget is spent"),
        (remove_the_endpoints, "no endpoint can serve it"),
        (suspect_the_request, "endpoints may end under it"),
        (lambda harness: None, None),
    ],
    ids=["budget", "no endpoint", "suspect", "retried"],
)
def test_line_tells_why_a_failed_request_is_not_sent_again(prepare, cause, caplog):
    """`order failed` told only that it was not."""
    harness = GatewayHarness(endpoints=2)
    harness.send_request("read")
    endpoint = harness.accept()
    prepare(harness)
    with caplog.at_level(logging.INFO, "coltsfootshift"):
        endpoint.abortConnection()
    rows = [row for row in caplog.records if row.message == "request not retried"]
    assert [(row.request, row.cause) for row in rows] == ([] if cause is None else [("r-1", cause)])
