"""A status that HTTP does not define is no answer, whoever reads it.

A back end in trouble sent an answer with the status 000, which was taken for a success.
"""

from __future__ import annotations

import json
import socket
import threading
from random import Random

import pytest
from coltsfootshift_platform.engines import HttpEngine, HttpOrigin
from coltsfootshift_platform.store import StoreError, StoreWatcher
from gateway_harness import GatewayHarness, Transport, make_response
from test_gateway_answers import read_status
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from coltsfootshift.catalogueservice.base import PlatformError
from coltsfootshift.catalogueservice.http import HttpPlatform
from coltsfootshift.cli.client import ReadError, read_page
from coltsfootshift.controllers.storereads import RequestId as StoreRequestId
from coltsfootshift.engines.base import EndpointError, EndpointRequest, LoadOrder, ResponseReceiver
from coltsfootshift.engines.http import HttpEndpoint
from coltsfootshift.entry.attempts import _make_outcome
from coltsfootshift.gateway.engines import OrderResult, PortError
from coltsfootshift.gateway.table_cache import Table, TableConsumer, TablePosition
from coltsfootshift.ids import Digest, RequestId
from coltsfootshift.messages import AnswerEnd
from coltsfootshift.metrics import Metrics
from coltsfootshift.outcomes import Complete, NotRun, Unknown
from coltsfootshift.settings import Address
from coltsfootshift.weightstore.base import WeightStoreError
from coltsfootshift.weightstore.http import HttpWeightStore

ADDRESS = Address("10.0.0.1", 80)
URL = "http://10.0.0.1:80"
DIGEST = Digest("d")

# Of these a lenient reader makes 200; the standard library's client, too.
LENIENT = ["+200", "2_0_0", "0200"]
UNDEFINED = ["000", "042", "099", "600", "999", "+20", "2 0", "-200", *LENIENT]
INFORMATIONAL = ["100", "199"]


class Receiver(ResponseReceiver):
    def get_start_refusal(self):
        return ""

    def response_started(self, digest, stream):
        pass

    def data_received(self, payload):
        pass


class NoTables(TableConsumer):
    def record_contact(self, reached, seconds=0.0):
        pass

    def choose_start(self, table):
        return None

    def handle_answer(self, answer):
        pass


def run_request(reactor):
    request = EndpointRequest(RequestId("r"), 1, "o", 1, b"body")
    return HttpEndpoint(reactor, URL).run(request, Receiver())


def read_store(reactor, watch):
    watcher = StoreWatcher(reactor, ADDRESS, NoTables(), Metrics(), Random(1))
    name = StoreRequestId(Table.OPERATOR.value)
    if watch:
        position = TablePosition(0, 1)
        return Deferred.fromCoroutine(watcher.fetch_changes(Table.OPERATOR, position, 0.0, name))
    return Deferred.fromCoroutine(watcher.fetch_table(Table.OPERATOR, name))


STATUS = json.dumps(
    dict(running=1, queued=1, capacity=1, digest="d", serving=True, fencing=1, age=0.1)
)
TABLE = json.dumps({"records": [], "after": 0, "revision": 1, "complete": True})
REPORT = json.dumps({"models": [], "busy": False, "sequence": 1, "born": 1})
MANIFEST = json.dumps({"model": "m", "version": 1, "digests": ["ab" * 32]})

# Each reader of a status: its call, a body that it takes with the status 200, its error.
READERS = {
    "request": (run_request, "x", EndpointError),
    "status": (lambda r: HttpEndpoint(r, URL).read_status(), STATUS, EndpointError),
    "stage": (lambda r: HttpEndpoint(r, URL).stage(DIGEST, 1, b"x"), "", EndpointError),
    "drop": (lambda r: HttpEndpoint(r, URL).drop_staged(DIGEST), "", EndpointError),
    "read staged": (lambda r: HttpEndpoint(r, URL).read_staged(DIGEST, 1), "x", EndpointError),
    "list staged": (lambda r: HttpEndpoint(r, URL).list_staged(DIGEST), "[1]", EndpointError),
    "load": (lambda r: HttpEndpoint(r, URL).load(LoadOrder(DIGEST, 1, 1)), "", EndpointError),
    "platform": (lambda r: HttpPlatform(r, URL).watch("t", 0), TABLE, PlatformError),
    "weights": (lambda r: HttpWeightStore(r, URL).read_chunk(DIGEST, 1), "x", WeightStoreError),
    "engine report": (lambda r: HttpEngine(r, ADDRESS).read_report(), REPORT, PortError),
    "engine staged": (
        lambda r: HttpEngine(r, ADDRESS).list_staged("m"),
        json.dumps({"held": [1]}),
        PortError,
    ),
    "engine chunk": (lambda r: HttpEngine(r, ADDRESS).read_staged("m", 1), "x", PortError),
    "engine stage": (lambda r: HttpEngine(r, ADDRESS).stage("m", 1, b"x"), "", PortError),
    "engine load": (
        lambda r: HttpEngine(r, ADDRESS).load("m", 1, 1, 1, False, 9.0),
        "",
        PortError,
    ),
    "origin digests": (lambda r: HttpOrigin(r, ADDRESS).read_digests("m", 1), MANIFEST, PortError),
    "origin chunk": (lambda r: HttpOrigin(r, ADDRESS).read_chunk("m", 1, 1), "x", PortError),
    "store": (lambda r: read_store(r, False), json.dumps({"at": 1}), StoreError),
    "store watch": (
        lambda r: read_store(r, True),
        json.dumps({"at": 1, "events": []}),
        StoreError,
    ),
}


def play(call, status, body, before=b""):
    """Return the result of a call that gets a response, and the transport of its connection."""
    reactor = MemoryReactorClock()
    results = []
    call(reactor).addBoth(results.append)
    transport = Transport()
    transport.protocol = reactor.tcpClients[0][2].buildProtocol(None)
    protocol = transport.protocol
    protocol.makeConnection(transport)
    reactor.advance(0)
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    protocol.dataReceived(before + head)
    if body and transport.protocol is not None:
        protocol.dataReceived(body.encode())
    reactor.advance(0)
    return results[0], transport


@pytest.mark.parametrize("call, body, error", READERS.values(), ids=READERS)
def test_defined_success_is_an_answer(call, body, error):
    result, transport = play(call, "200", body)
    assert not isinstance(result, Failure), result
    assert not transport.aborted


@pytest.mark.parametrize("status", UNDEFINED)
@pytest.mark.parametrize("call, body, error", READERS.values(), ids=READERS)
def test_undefined_status_is_no_answer(call, body, error, status):
    """Staging a chunk and orders to load counted as done, and an order as refused."""
    result, transport = play(call, status, body)
    assert isinstance(result, Failure) and result.check(error), result
    assert getattr(result.value, "status", 0) == 0
    assert getattr(result.value, "started", True)  # whether the request has run is unknown
    assert transport.protocol is None


@pytest.mark.parametrize("status", ["000", "+20", "2 0", "600", "999"])
@pytest.mark.parametrize("call, body, error", READERS.values(), ids=READERS)
def test_undefined_status_behind_an_informational_response_is_no_answer(call, body, error, status):
    result, transport = play(call, status, body, b"HTTP/1.1 100 Continue\r\n\r\n")
    assert isinstance(result, Failure) and result.check(error), result
    assert transport.protocol is None or not body


@pytest.mark.parametrize("status", ["304", "404", "500", "599"])
@pytest.mark.parametrize(
    "call, body, error",
    [READERS[name] for name in ("stage", "drop", "load", "engine stage", "weights", "platform")],
)
def test_defined_failure_is_no_success(call, body, error, status):
    """A redirection, of which there is none in the protocol, counted as done."""
    result, _ = play(call, status, body)
    assert isinstance(result, Failure) and result.check(error), result


@pytest.mark.parametrize("status", ["201", "304", "500", "599"])
def test_list_of_staged_chunks_is_taken_only_from_a_success(status):
    call, body, error = READERS["engine staged"]
    result, _ = play(call, status, body)
    assert isinstance(result, Failure) == (status != "201")


def test_order_with_a_defined_failure_is_refused():
    result, _ = play(READERS["engine load"][0], "409", "")
    assert result == OrderResult(False, 409)


@pytest.mark.parametrize("status", [s for s in UNDEFINED if s not in LENIENT] + INFORMATIONAL)
def test_command_line_reads_no_page_with_an_undefined_status(status):
    """One such answer ended the command for the whole fleet with a traceback."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def answer():
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n"
                connection.sendall(head.encode() + b"{}")

        thread = threading.Thread(target=answer)
        thread.start()
        try:
            with pytest.raises(ReadError):
                read_page(f"http://127.0.0.1:{server.getsockname()[1]}/status")
        finally:
            thread.join()


@pytest.mark.parametrize("status", [0, 42, 99, 100, 199, 600, 999, -200])
@pytest.mark.parametrize("outcome", ["complete", "not_run", "unknown"])
def test_undefined_status_of_an_agent_does_not_reach_the_caller(outcome, status):
    """An agent of an earlier version tells the status as its endpoint sent it."""
    assert _make_outcome(make_end(outcome, status)) == Unknown(
        f"the agent named the undefined status {status}", status=502
    )


@pytest.mark.parametrize(
    "outcome, status, expected",
    [
        ("complete", 200, Complete(status=200)),
        ("complete", 404, Complete(status=404)),
        ("complete", 599, Complete(status=599)),
        ("not_run", 200, NotRun("")),
        ("not_run", 422, NotRun("", status=422, retry=False)),
        ("unknown", 200, Unknown("", status=504)),
        ("unknown", 410, Unknown("", status=410)),
    ],
)
def test_defined_status_of_an_agent_does(outcome, status, expected):
    assert _make_outcome(make_end(outcome, status)) == expected


def make_end(outcome, status):
    return AnswerEnd("r", 1, 0, outcome, "", "", status=status)


def answer_all(harness, status, sealed):
    """Answer a request with a status wherever it is sent."""
    for _ in range(4):
        endpoint = harness.accept()
        if endpoint is not None:
            endpoint.protocol.dataReceived(make_response(status=status, sealed=sealed))
        harness.clock.advance(0.5)


@pytest.mark.parametrize("sealed", [True, False], ids=["sealed", "unsealed"])
@pytest.mark.parametrize("status", UNDEFINED + INFORMATIONAL)
@pytest.mark.parametrize("route", ["read", "book", "talk"])
def test_undefined_status_of_an_endpoint_does_not_reach_a_caller(route, status, sealed, lines):
    """600 and 999 reached the callers of requests that may not be repeated, with the seal."""
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request(route)
    answer_all(harness, status, sealed)
    # The request may have run: no 503. What follows 1xx is awaited until the deadline.
    assert read_status(caller) in ((502, 504) if status in INFORMATIONAL else (502,))
    assert b"X-Response-Seal" not in caller.value()
    assert "order failed" in lines() or status in INFORMATIONAL
    counted = harness.gateway.metrics.get_count("answers_not_http")
    if status not in INFORMATIONAL:
        assert counted == (1 if route == "book" else 2)


@pytest.mark.parametrize("status", ["000", "600", "999", "+20"])
@pytest.mark.parametrize("route", ["read", "talk"])
def test_request_that_may_be_repeated_is_answered_by_another_endpoint(route, status):
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request(route)
    harness.accept().protocol.dataReceived(make_response(b"odd", status=status))
    harness.accept().protocol.dataReceived(make_response())
    assert read_status(caller) == 200 and b"odd" not in caller.value()


@pytest.mark.parametrize("not_run", [(), ("X-Not-Executed: 1",)], ids=["plain", "not run"])
@pytest.mark.parametrize("status", ["600", "999"])
def test_undefined_status_is_not_taken_for_a_statement(status, not_run):
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request("book")
    harness.accept().protocol.dataReceived(make_response(status=status, headers=not_run))
    assert harness.accept() is None and read_status(caller) == 502


# What reaches the caller of a defined final status, with and without the endpoint's seal.
DEFINED = [(200, 502), (204, 502), (299, 502), (304, 304), (404, 404), (599, 599)]


@pytest.mark.parametrize("status, unsealed", DEFINED)
@pytest.mark.parametrize("sealed", [True, False], ids=["sealed", "unsealed"])
@pytest.mark.parametrize("route", ["read", "book", "talk"])
def test_defined_status_of_an_endpoint_reaches_its_caller(route, status, unsealed, sealed):
    harness = GatewayHarness(endpoints=2)
    caller = harness.send_request(route)
    answer_all(harness, status, sealed)
    assert read_status(caller) == (status if sealed else unsealed)
    assert harness.gateway.metrics.get_count("answers_not_http") == 0
