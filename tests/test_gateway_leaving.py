"""What callers get from an entry that was asked to stop: complete answers, whole."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import Mock

import pytest
from coltsfootshift_platform.dialect import PlatformDialect
from gateway_harness import (
    BOUNDS,
    ROUTES,
    GatewayHarness,
    NullDecoder,
    Transport,
    make_chunk,
    make_event,
    make_response,
)
from twisted.internet.error import ConnectionLost

from coltsfootshift.gateway.entry_node import GatewayEntry
from coltsfootshift.gateway.nodes import NodeConfig
from coltsfootshift.ids import FailureDomain, InstanceId
from coltsfootshift.settings import Address

STOP_WITHIN_SECONDS = 8.0
STOP_BY_SECONDS = 7.65  # of an entry that stops within that
STEP_SECONDS = 0.02
LONG_SECONDS = 60.0


class SlowTransport(Transport):
    """A connection whose bytes the caller takes only when `flush` is called."""

    def loseConnection(self):
        self.disconnecting = True

    def flush(self):
        Transport.loseConnection(self)


class LeavingHarness(GatewayHarness):
    """A gateway in an entry that stops within `stop_within` seconds once `entry.leave` is called.

    Requests may last, and wait for a free endpoint, for longer than the entry has.
    """

    def __init__(self, stop_within=STOP_WITHIN_SECONDS, **fields):
        super().__init__(**fields)
        routes = []
        for route in ROUTES:
            routes.append(replace(route, timeout=LONG_SECONDS, latency_objective=LONG_SECONDS))
        self.tables.catalogue = replace(self.tables.catalogue, routes={"host": tuple(routes)})
        address = Address("10.0.0.1", 1)
        config = NodeConfig(
            InstanceId("entry-1"), address, "north", FailureDomain("a"), (), stop_within, 3
        )
        self.entry = GatewayEntry(
            self.clock, config, NullDecoder(), PlatformDialect(), address, BOUNDS
        )
        self.entry.gateway, self.entry._caller_factory = self.gateway, self.factory
        self.entry._port = self.port = Mock()

    @property
    def listening(self):
        return not self.port.stopListening.called

    @property
    def stopped(self):
        return self.clock.hasStopped

    def advance(self, seconds):
        """Let time pass in steps, with confirmed tables, until the entry stops."""
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until - STEP_SECONDS / 2 and not self.stopped:
            self.clock.advance(STEP_SECONDS)
            self.confirm()

    def run_until_stopped(self):
        """Let time pass until the entry stops; return the seconds that it took."""
        started = self.clock.seconds()
        self.advance(2 * LONG_SECONDS)
        assert self.stopped
        return self.clock.seconds() - started


def read_status(caller):
    """Return the status of a complete response; 0 if the caller got none."""
    head, separator, _ = caller.value().partition(b"\r\n\r\n")
    return int(head.split()[1]) if separator and not caller.aborted else 0


@pytest.mark.parametrize("route", ["read", "book", "talk", "once", "model"])
@pytest.mark.parametrize("sent_at", [-1.0, 0.5, 1.9])
def test_request_that_an_endpoint_does_not_answer_is_answered_before_the_stop(route, sent_at):
    """The process stopped without an answer to what the endpoints still worked on."""
    harness = LeavingHarness(endpoints=1, engines=1)
    harness.advance(2.0)
    if sent_at >= 0:
        harness.entry.leave()
        harness.advance(sent_at)
    headers = ["X-Model: m", "X-Token-Counts: 900,90"]
    caller = harness.send_request(route, headers)
    endpoint = harness.accept()
    if sent_at < 0:
        harness.advance(-sent_at)
        harness.entry.leave()
    assert endpoint.value() and not caller.value()
    harness.advance(STOP_WITHIN_SECONDS * 5 / 6 - max(0.0, sent_at))
    assert not caller.value() and endpoint.protocol is not None
    harness.run_until_stopped()
    assert read_status(caller) == 504
    assert endpoint.aborted


def test_request_that_waits_for_an_endpoint_is_refused_before_the_stop():
    """The process stopped without an answer to requests that no endpoint had been sent."""
    harness = LeavingHarness(endpoints=1)
    callers = [harness.send_request("book", request=f"r-{number}") for number in range(13)]
    endpoints = [harness.accept() for _ in range(12)]
    assert harness.accept() is None and None not in endpoints
    harness.entry.leave()
    harness.run_until_stopped()
    assert [read_status(caller) for caller in callers] == [504] * 12 + [503]
    assert harness.accept() is None


@pytest.mark.parametrize(
    ("stop_within", "sent_at", "admitted"),
    [(8.0, 1.9, True), (8.0, 2.1, False), (3.0, 0.7, True), (3.0, 0.8, False), (0.8, 0.3, False)],
)
def test_requests_are_admitted_while_there_is_time_to_answer_them(stop_within, sent_at, admitted):
    """A short time to stop was taken up by the fixed times for requests of other callers."""
    harness = LeavingHarness(stop_within)
    harness.entry.leave()
    harness.advance(sent_at)
    caller = harness.send_request("book")
    endpoint = harness.accept()
    assert (endpoint is not None) is admitted
    if not admitted:
        assert read_status(caller) == 503
        assert b"connection: close" in caller.value().lower()
        assert b"retry-after: 0.000" in caller.value().lower()
        assert caller.protocol is None


@pytest.mark.parametrize(("stop_within", "closes_at"), [(8.0, 4.0), (3.0, 1.5), (30.0, 4.0)])
def test_entry_stops_listening_before_it_has_to_stop(stop_within, closes_at):
    harness = LeavingHarness(stop_within)
    harness.entry.leave()
    harness.advance(closes_at - 0.1)
    assert harness.listening and not harness.stopped
    harness.advance(0.2)
    assert not harness.listening and not harness.stopped


@pytest.mark.parametrize(
    ("hint", "admitted"), [("90", True), ("400", True), ("5000", False)], ids=str
)
def test_request_that_would_outlast_the_process_is_refused_at_once(hint, admitted):
    """Requests were passed on although the process had to stop before their end."""
    harness = LeavingHarness(engines=1)
    harness.entry.leave()
    harness.advance(1.0)
    headers = ["X-Model: m", "X-Token-Counts: 900,8000", f"X-Length-Hint: {hint}"]
    caller = harness.send_request("model", headers)
    endpoint = harness.accept()
    assert (endpoint is not None) is admitted
    if not admitted:
        assert read_status(caller) == 503
        return
    lines = endpoint.value().lower().split(b"\r\n")
    left = [int(line.split()[1]) for line in lines if line.startswith(b"x-deadline-ms")]
    assert 5000 <= left[0] <= (STOP_WITHIN_SECONDS - 1.0) * 1000 - 500


@pytest.mark.parametrize(
    ("route", "lost_at", "retried"),
    [("read", 5.0, True), ("read", 7.29, False), ("model", 3.0, True), ("model", 6.9, False)],
)
def test_retry_that_cannot_end_before_the_stop_is_not_begun(route, lost_at, retried):
    """A request was sent to a second endpoint just before the process stopped."""
    harness = LeavingHarness(endpoints=1, engines=1)
    caller = harness.send_request(route, ["X-Model: m", "X-Token-Counts: 900,90"])
    endpoint = harness.accept()
    harness.entry.leave()
    harness.advance(lost_at)
    harness.add_endpoint("e-1", "s", 81)
    harness.add_endpoint("m-1", "llm", 181, {"m": 1})
    harness.gateway.refresh()
    endpoint.abortConnection()
    assert (harness.accept() is not None) is retried
    if not retried:
        assert read_status(caller) == 502


def test_request_that_waits_too_long_to_end_is_refused_before_others_are():
    """It was kept until the process stopped, though no endpoint could have served it any more."""
    harness = LeavingHarness(engines=1)
    headers = ["X-Model: m", "X-Token-Counts: 900,90"]
    for number in range(16):
        harness.send_request("model", headers, request=f"r-{number}")
    waiting = harness.send_request("model", [*headers, "X-Length-Hint: 300"], request="r-16")
    harness.entry.leave()
    harness.advance(1.0)
    assert not waiting.value()
    harness.advance(5.0)
    assert read_status(waiting) == 503


def test_begun_stream_goes_on_until_the_stop_and_is_then_broken_off():
    """A stream that is broken off must not look complete."""
    harness = LeavingHarness(engines=1)
    caller = harness.send_request("model", ["X-Model: m", "X-Token-Counts: 900,900"])
    endpoint = harness.accept()
    harness.entry.leave()
    endpoint.protocol.dataReceived(make_response(chunked=True, headers=["X-Weight-Versions: 1"]))
    number = 0
    while not harness.stopped:
        number += 1
        assert caller.protocol is not None
        endpoint.protocol.dataReceived(make_chunk(make_event(number)))
        harness.advance(0.1)
    assert make_event(number - 1) in caller.value()
    assert caller.aborted and endpoint.aborted
    assert number * 0.1 >= STOP_WITHIN_SECONDS * 5 / 6


@pytest.mark.parametrize("left", [0.01, 0.1, 0.2])
def test_answer_broken_off_before_the_stop_is_reset_by_then(left):
    """The end of the process closed the connection in order: without chunks, it looked complete."""
    harness = LeavingHarness(endpoints=1)
    caller = harness.send_request("once")
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    caller.dataBuffer = b"what the caller does not receive"
    reset = []
    harness.clock.stop = lambda: reset.append(caller.aborted)
    harness.entry.leave()
    harness.clock.callLater(STOP_BY_SECONDS - left, endpoint.disconnect, ConnectionLost())
    harness.advance(STOP_WITHIN_SECONDS)
    assert reset == [True]


@pytest.mark.parametrize("taken_at", [5.0, 6.0, None])
def test_entry_waits_until_its_answers_have_been_sent(taken_at):
    """The process stopped as soon as the last answer was written; its bytes were lost."""
    harness = LeavingHarness()
    caller = SlowTransport()
    harness.connect = lambda: _attach(harness, caller)
    harness.send_request("book")
    endpoint = harness.accept()
    harness.entry.leave()
    harness.advance(1.0)
    endpoint.protocol.dataReceived(make_response(b"ok"))
    assert read_status(caller) == 200
    if taken_at is None:
        assert 1.0 + harness.run_until_stopped() >= STOP_WITHIN_SECONDS * 5 / 6
        return
    harness.advance(taken_at - 1.0)
    assert not harness.stopped
    caller.flush()
    assert harness.run_until_stopped() < 0.5


def _attach(harness, caller):
    protocol = harness.factory.buildProtocol(None)
    caller.protocol = protocol
    protocol.makeConnection(caller)
    return caller


@pytest.mark.parametrize("used", [False, True], ids=["new", "kept"])
def test_request_that_arrives_just_after_the_port_has_closed_gets_an_answer(used):
    """Its connection was closed together with the port."""
    harness = LeavingHarness()
    connect = harness.connect
    if used:
        caller = harness.send_request("book", request="r-0")
        harness.accept().protocol.dataReceived(make_response(b"ok", request="r-0"))
        assert read_status(caller) == 200
        caller.clear()
    harness.entry.leave()
    harness.advance(3.9)
    if not used:
        caller = connect()
    harness.advance(0.3)
    assert not harness.listening
    harness.connect = lambda: caller
    harness.send_request("book")
    assert read_status(caller) == 503 and caller.protocol is None
    assert harness.accept() is None


def test_entry_without_requests_stops_early():
    harness = LeavingHarness()
    harness.connect()
    harness.entry.leave()
    assert harness.run_until_stopped() < 5.0
