"""Faults of the gateway's own code while it handles an answer: each caller is answered at once."""

from __future__ import annotations

import logging
from unittest.mock import Mock

import h11
import pytest
from coltsfootshift_platform.dialect import PlatformDialect
from gateway_harness import GatewayHarness, make_chunk, make_event, make_response
from twisted.internet.error import ConnectionLost

from coltsfootshift.gateway.callers import CallerConnection, IncomingRequest
from coltsfootshift.gateway.exchange import Exchange
from coltsfootshift.gateway.links import ConnectionPool
from coltsfootshift.gateway.placement import EndpointState
from coltsfootshift.gateway.service import Gateway

ANSWER = make_response(chunked=True) + make_chunk(make_event(1)) + make_chunk(b"")


def deliver(endpoint, data):
    """Pass bytes to the gateway as a reactor does, which closes a connection that raises."""
    try:
        endpoint.protocol.dataReceived(data)
    except Exception as error:
        endpoint.disconnect(error)


def answer(harness):
    deliver(harness.accept(), ANSWER)


def answer_with_an_error(harness):
    deliver(harness.accept(), make_response(b"error", status=500))


def answer_with_a_refusal(harness):
    deliver(
        harness.accept(), make_response(status=503, headers=("X-Not-Executed: 1",), sealed=False)
    )


def answer_with_no_response(harness):
    deliver(harness.accept(), b"no response")


def close_without_an_answer(harness):
    harness.accept().disconnect(ConnectionLost())


def refuse_the_dial(harness):
    harness.refuse_connection()


def answer_nothing(harness):
    harness.accept()
    for _ in range(55):
        harness.clock.advance(0.02)


FAULTS = [
    (Gateway, "record_limit", answer),
    (Gateway, "record_notices", answer),
    (Gateway, "record_response_start", answer),
    (Gateway, "record_survival", answer),
    (EndpointState, "record_response_start", answer),
    (EndpointState, "record_success", answer),
    (EndpointState, "record_failure", answer_with_an_error),
    (IncomingRequest, "start_stream", answer),
    (IncomingRequest, "write", answer),
    (IncomingRequest, "finish", answer),
    (ConnectionPool, "add_idle", answer),
    (Gateway, "reschedule", answer_with_an_error),
    (Gateway, "reschedule", answer_with_a_refusal),
    (EndpointState, "record_full", answer_with_a_refusal),
    (Gateway, "reschedule", answer_with_no_response),
    (Gateway, "record_loss", close_without_an_answer),
    (Gateway, "measure_silence", close_without_an_answer),
    (EndpointState, "record_unreachable", refuse_the_dial),
    (Gateway, "reschedule", refuse_the_dial),
    (Gateway, "send_refusal", answer_nothing),
    (Exchange, "check_stall", answer_nothing),
]


def put_in_line(harness, request):
    """Send requests until one has to wait for an endpoint; the last one has the id `request`."""
    for number in range(12):
        harness.send_request("book", request=f"r-{number}-before")
    return harness.send_request("book", request=request)


def is_answered(caller):
    """Whether a caller has an answer, or the end of its connection within one."""
    text = caller.value()
    return caller.aborted or text.startswith((b"HTTP/1.1 50", b"HTTP/1.1 200"))


@pytest.mark.parametrize("error", [ValueError("a fault"), h11.LocalProtocolError("a fault")])
@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
@pytest.mark.parametrize(
    ("owner", "name", "end"),
    FAULTS,
    ids=[f"{row[0].__name__}.{row[1]}-{row[2].__name__}" for row in FAULTS],
)
def test_fault_while_an_answer_is_handled_ends_its_request_at_once(
    owner, name, end, route, error, monkeypatch, caplog
):
    """Its caller waited until the deadline, or for ever if the fault came with that."""
    caplog.set_level(logging.CRITICAL, "coltsfootshift")
    harness = GatewayHarness(endpoints=1)
    caller = harness.send_request(route)

    def fail(*args, **fields):
        raise error

    monkeypatch.setattr(owner, name, fail)
    end(harness)
    monkeypatch.undo()
    harness.clock.advance(0.3)
    assert is_answered(caller) and not harness.gateway.unfinished
    assert not caller.value().endswith(b"\r\n0\r\n\r\n") or name not in ("start_stream", "write")
    other = harness.send_request("read", request="r-2")
    endpoint = harness.accept()
    if endpoint is not None:
        deliver(endpoint, make_response(b"ok", request="r-2"))
        assert b" 200 " in other.value()


@pytest.mark.parametrize("route", ["read", "book", "talk", "once"])
def test_response_that_cannot_be_parsed_ends_no_request_without_an_answer(route, monkeypatch):
    """The reactor closes the connection of an endpoint if its response raises an exception."""
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request(route)
    parse = Mock(side_effect=ValueError("a fault"))
    monkeypatch.setattr(PlatformDialect, "parse_response", parse)
    answer(harness)
    second = harness.accept()
    assert (second is not None) is (route in ("read", "talk"))
    if second is not None:
        deliver(second, ANSWER)
    assert is_answered(caller) and not harness.gateway.unfinished


PERIODIC = [
    (Exchange, "check_stall"),
    (Exchange, "withdraw_outdated"),
    (Exchange, "refuse"),
    (Gateway, "_place"),
]


@pytest.mark.parametrize(("owner", "name"), PERIODIC, ids=[row[1] for row in PERIODIC])
def test_fault_with_one_request_holds_up_no_other(owner, name, monkeypatch, caplog):
    """The periodic task failed with the same request again and again, before it came to others."""
    caplog.set_level(logging.CRITICAL, "coltsfootshift")
    harness = GatewayHarness(endpoints=1, engines=1)
    handle = getattr(owner, name)

    def fail(first, *args):
        exchange = first if owner is Exchange else args[0]
        if exchange.request == "r-1":
            raise ValueError("a fault")
        return handle(first, *args)

    if name in ("check_stall", "withdraw_outdated"):
        headers = ["X-Model: m", "X-Token-Counts: 900,90", "X-Deadline-Ms: 5000"]
        callers = [harness.send_request("model", headers, request="r-1")]
    else:
        callers = [put_in_line(harness, "r-1")]
    callers.append(put_in_line(harness, "r-2"))
    monkeypatch.setattr(owner, name, fail)
    endpoints = [item for item in iter(harness.accept, None)]
    for _ in range(60):
        harness.clock.advance(0.02)
    for endpoint in endpoints:
        assert endpoint.protocol is None or b"r-1\r\n" not in endpoint.value()
    assert all(is_answered(caller) for caller in callers) and not harness.gateway.unfinished


def test_fault_with_the_next_request_leaves_the_answer_before_it_whole(monkeypatch, caplog):
    """The next request on the connection is read as soon as the answer is complete."""
    caplog.set_level(logging.CRITICAL, "coltsfootshift")
    harness = GatewayHarness(endpoints=1)
    caller = harness.connect()
    harness.connect = lambda: caller
    harness.send_request("read", request="r-1")
    harness.send_request("read", request="r-2")
    check = Mock(side_effect=ValueError("a fault"))
    monkeypatch.setattr(CallerConnection, "_is_closed_by_caller", check)
    answer(harness)
    assert caller.value().startswith(b"HTTP/1.1 200") and not caller.aborted
