"""Begun answers that are broken off: callers get the whole events that came before."""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import replace

import pytest
from gateway_harness import (
    KEY,
    ROUTES,
    GatewayHarness,
    make_chunk,
    make_event,
    make_response,
)
from twisted.internet.epollreactor import EPollReactor

from coltsfootshift.gateway import callers
from coltsfootshift.ids import InstanceId
from coltsfootshift.settings import Address

HEAD = make_response(chunked=True)
SHORT_EVENTS = [make_event(number) for number in (1, 2, 3)]
LONG_EVENTS = [b"id: %d\ndata: %s\n\n" % (number, b"x" * 10_000) for number in (1, 2, 3)]
MAX_SECONDS = 20.0  # this process may stand still
FLUSHED_SECONDS = 2.0  # more than a caller that does not read is waited for


class LoopbackHarness(GatewayHarness):
    """A gateway with an endpoint and callers on the loopback interface."""

    def __init__(self):
        super().__init__(endpoints=1, clock=EPollReactor())
        self._listener = socket.create_server(("127.0.0.1", 0))
        record = self.tables.endpoints[InstanceId("e-0")]
        address = Address(*self._listener.getsockname())
        self.tables.endpoints[InstanceId("e-0")] = replace(record, address=address)
        routes = tuple(replace(route, timeout=4 * MAX_SECONDS) for route in ROUTES)
        self.tables.catalogue = replace(self.tables.catalogue, routes={"host": routes})
        self.gateway.refresh()
        self.port = self.clock.listenTCP(0, self.factory, interface="127.0.0.1")

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.gateway._loop.stop()
        self.port.stopListening()
        self.clock.iterate(0)

    def iterate(self, seconds):
        """Run the reactor for `seconds`."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.clock.iterate(0.005)

    def call(self, protocol="HTTP/1.1", receive_bytes=None, route="once"):
        """Send a request that may not be repeated, by default a stream; return both ends of it."""
        caller = socket.socket()
        if receive_bytes is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        caller.connect(("127.0.0.1", self.port.getHost().port))
        lines = [f"POST /{route}/x {protocol}", "Host: host", "X-Attempt-Id: r-1"]
        lines += [f"X-Api-Key: {KEY}", "Content-Length: 0", "", ""]
        caller.sendall("\r\n".join(lines).encode())
        self._listener.setblocking(False)
        endpoint, _ = self.wait_for(self._listener.accept)
        endpoint.setblocking(False)
        assert b"r-1" in self.wait_for(lambda: endpoint.recv(65536))
        endpoint.setblocking(True)
        return caller, endpoint

    def wait_for(self, act):
        """Return the result of a function of a socket as soon as it would not block."""
        until = time.monotonic() + MAX_SECONDS
        while time.monotonic() < until:
            self.clock.iterate(0.005)
            try:
                return act()
            except BlockingIOError:
                continue
        raise AssertionError("nothing has arrived")

    def read(self, caller):
        """Return what a caller receives, and the error with which its connection ends."""
        caller.setblocking(False)
        received = b""
        while True:
            try:
                data = self.wait_for(lambda: caller.recv(65536))
            except OSError as error:
                return received, type(error)
            if not data:
                return received, None
            received += data


@pytest.fixture
def harness():
    with LoopbackHarness() as harness:
        yield harness


def close(endpoint):
    endpoint.close()


def reset(endpoint):
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    endpoint.close()


def keep(endpoint):
    pass


@pytest.mark.parametrize(
    ("events", "receive_bytes"),
    [(SHORT_EVENTS, None), (LONG_EVENTS, 4096)],
    ids=["short", "long, slow caller"],
)
@pytest.mark.parametrize("protocol", ["HTTP/1.1", "HTTP/1.0"])
@pytest.mark.parametrize(
    ("rest", "end"),
    [(b"no chunk\r\n", keep), (b"", close), (b"9\r\nid: 4", close), (b"", reset)],
    ids=["no chunk", "closed", "closed in a chunk", "reset"],
)
def test_whole_events_before_a_fault_reach_the_caller(
    harness, rest, end, protocol, events, receive_bytes, monkeypatch
):
    """They were dropped with the connection if they came in one read with the fault."""
    monkeypatch.setattr(callers, "MAX_FLUSH_SECONDS", MAX_SECONDS)
    caller, endpoint = harness.call(protocol, receive_bytes)
    endpoint.sendall(HEAD + b"".join(make_chunk(event) for event in events) + rest)
    end(endpoint)
    received, error = harness.read(caller)
    assert [event for event in events if event in received] == events
    assert error is ConnectionResetError and not received.endswith(b"0\r\n\r\n")
    assert b"id: 4" not in received


def test_caller_that_does_not_read_is_not_waited_for(harness):
    """What it has not read is dropped after a limited time."""
    caller, endpoint = harness.call(receive_bytes=4096)
    (connection,) = harness.factory._connections
    endpoint.sendall(HEAD)
    number = 0
    while not connection.transport.producerPaused:
        number += 1
        endpoint.sendall(make_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 30_000)))
        harness.iterate(0.005)
    (exchange,) = harness.gateway._exchanges
    exchange.give_up("a fault")
    started = time.monotonic()
    while connection.open and time.monotonic() < started + MAX_SECONDS:
        harness.iterate(0.02)
    assert time.monotonic() - started < FLUSHED_SECONDS
    with pytest.raises(ConnectionResetError):
        while caller.recv(65536):
            pass


@pytest.mark.parametrize("protocol", ["HTTP/1.1", "HTTP/1.0"])
def test_events_reach_the_caller_of_an_entry_that_stood_still(harness, protocol):
    """The time to send them was over before the reactor had written them."""
    caller, endpoint = harness.call(protocol)
    (connection,) = harness.factory._connections
    endpoint.sendall(HEAD + b"".join(make_chunk(event) for event in SHORT_EVENTS) + b"no chunk\r\n")
    until = time.monotonic() + MAX_SECONDS
    while not connection._closing and time.monotonic() < until:
        harness.clock.iterate(0.005)
    time.sleep(1.2 * callers.MAX_FLUSH_SECONDS)
    received, error = harness.read(caller)
    assert [event for event in SHORT_EVENTS if event in received] == SHORT_EVENTS
    assert error is ConnectionResetError
