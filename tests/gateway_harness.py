"""Test harness: a real gateway with in-memory transports, scripted callers and endpoints."""

from __future__ import annotations

import socket
from random import Random

from coltsfootshift_platform.dialect import PlatformDialect
from twisted.internet.error import ConnectionDone, ConnectionLost, NotConnectingError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from coltsfootshift.gateway.budget import STARTUP_GRACE_SECONDS, RetryBudget
from coltsfootshift.gateway.callers import CallerFactory
from coltsfootshift.gateway.model import (
    CallerLimits,
    EndpointRecord,
    EngineSpec,
    GatewayCatalogue,
    Route,
    RouteKind,
    ServiceSpec,
    Team,
    WeightedTarget,
)
from coltsfootshift.gateway.service import Gateway, GatewayBounds
from coltsfootshift.gateway.table_cache import ItemDecoder, Table, TableAnswer, TableCache
from coltsfootshift.ids import FailureDomain, InstanceId, ServiceName, TeamName
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

KEY = "key-1"
ROUTE_TIMEOUT_SECONDS = 1.0
ENGINE_SPEC = EngineSpec(16, 0.00887, 0.0000388, 19100.0, 5, 48, 49152, 977.0, 94.0, ("m",))
RETRY_BUDGET = (0.2, 100.0, 10.0)
BOUNDS = GatewayBounds(3.0, 5.0, 8.0, *RETRY_BUDGET, config_within=2.0)


class _SocketHandle:
    """A socket whose `recv` reports whether the other end has closed the connection.

    All bytes that were written to it have been acknowledged.
    """

    closed = False
    _unused = socket.socket()

    def setsockopt(self, *args):
        pass

    def fileno(self):
        return self._unused.fileno()

    def recv(self, size, flags):
        if self.closed:
            return b""
        raise BlockingIOError


class Transport(StringTransport):
    """One end of an in-memory connection.

    `aborted` is set when it is aborted, `write_closed` when only its writing end is closed;
    `protocol` is None once it is closed. `dataBuffer` holds what has not been sent, as that of a
    connection of Twisted.
    """

    def __init__(self):
        super().__init__()
        self.dataBuffer = b""
        self.offset = self._tempDataLen = 0
        self.aborted = self.write_closed = False
        self.protocol = None
        self.handle = _SocketHandle()

    def getHandle(self):
        return self.handle

    def setTcpNoDelay(self, on):
        pass

    def setTcpKeepAlive(self, on):
        pass

    def abortConnection(self):
        self.aborted = True
        self.disconnect(ConnectionLost())

    def loseConnection(self):
        super().loseConnection()
        self.disconnect(ConnectionDone())

    def loseWriteConnection(self):
        self.write_closed = True

    def disconnect(self, error):
        """Close the connection; the protocol is notified with `error`."""
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connectionLost(Failure(error))

    def take(self) -> bytes:
        """Return and clear the bytes written so far."""
        text = self.value()
        self.clear()
        return text


class NullDecoder(ItemDecoder):
    """Decodes nothing; the harness fills the table cache itself."""

    def read_catalogue(self, item):
        return None

    def read_version(self, item):
        return None

    def read_endpoint(self, item):
        return None


class VersionDecoder(NullDecoder):
    """Decodes items `version/MODEL`, whose value is the published version."""

    def read_version(self, item):
        return item.key.removeprefix("version/"), int(item.value)


def make_route(name, kind, attempts=2, resumable=False, service="s", timeout=ROUTE_TIMEOUT_SECONDS):
    """Return a route with the path prefix `/NAME/`; `timeout` is in seconds."""
    target = WeightedTarget(ServiceName(service), 1.0)
    return Route(
        name,
        "host",
        f"/{name}/",
        kind,
        (target,),
        timeout,
        0.4,
        1,
        attempts,
        resumable=resumable,
        gap_objective=0.4,
    )


ROUTES = (
    make_route("read", RouteKind.IDEMPOTENT),
    make_route("book", RouteKind.NON_IDEMPOTENT, attempts=1),
    make_route("talk", RouteKind.STREAMING, resumable=True),
    make_route("once", RouteKind.STREAMING, resumable=False),
    make_route("model", RouteKind.STREAMING, resumable=True, service="llm", timeout=6.0),
)


class GatewayHarness:
    """Drives one gateway with the bytes of callers and endpoints, on a simulated clock.

    There are `endpoints` plain services `e-0`, `e-1`, ... and `engines` model engines `m-0`,
    `m-1`, ..., which serve version 1 of model `m`. Without `confirmed`, the gateway has heard
    nothing of the store yet. Its failure domain is `a`; `regions` tells the region of each domain.
    """

    def __init__(
        self,
        endpoints=2,
        engines=0,
        limits=None,
        seed=1,
        clock=None,
        decoder=None,
        confirmed=True,
        regions=None,
    ):
        self.clock = clock or MemoryReactorClock()
        self.tables = TableCache(decoder or NullDecoder())
        services = {
            ServiceName("s"): ServiceSpec(ServiceName("s"), 100),
            ServiceName("llm"): ServiceSpec(ServiceName("llm"), 300, ENGINE_SPEC),
        }
        self.tables.catalogue = GatewayCatalogue(
            1,
            {"host": ROUTES},
            services,
            {KEY: Team(TeamName("team-1"))},
            limits or CallerLimits(),
        )
        for number in range(endpoints):
            self.add_endpoint(f"e-{number}", "s", 80 + number)
        for number in range(engines):
            self.add_endpoint(f"m-{number}", "llm", 180 + number, {"m": 1})
        if confirmed:
            self.confirm()
        self.gateway = Gateway(
            self.clock,
            self.tables,
            PlatformDialect(),
            FailureDomain("a"),
            "",
            BOUNDS,
            Metrics(),
            Random(seed),
            regions=regions,
        )
        # The start-up grace is over: the entry knows all others and may use the allowance.
        self.gateway._budget = RetryBudget(*RETRY_BUDGET, started_at=-STARTUP_GRACE_SECONDS)
        self.gateway.start()
        self.gateway.refresh()
        self.factory = CallerFactory(self.gateway, self.clock)
        self._dial_count = 0

    def add_endpoint(self, name, service, port, versions=None, leaving=False, domain="a", born=0):
        self.tables.endpoints[InstanceId(name)] = EndpointRecord(
            InstanceId(name),
            ServiceName(service),
            Address("10.0.0.9", port),
            FailureDomain(domain),
            6,
            leaving=leaving,
            born=born,
            versions=versions or {},
        )

    def confirm(self):
        """Confirm the cached revisions of both tables as of now."""
        for table in Table:
            now = self.clock.seconds()
            revision = max(1, self.tables.get_position(table).revision)
            self.tables.apply(TableAnswer(table, (), revision, False, now), now)

    def stand_still(self, seconds, read):
        """Let the process stand still: it then calls what is due, and `read`s what has arrived.

        As in a reactor, what is to be called at once is called after that, and a timeout that a
        dial was given before.
        """
        self.clock.rightNow += seconds
        due = [call for call in self.clock.calls if call.getTime() <= self.clock.seconds()]
        for call in due:
            self.clock.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)
        for client in self.clock.tcpClients[self._dial_count :]:
            if client[3] is not None and client[3] <= seconds:
                self.refuse_connection()
        read()
        self.clock.advance(0)

    def connect(self) -> Transport:
        """Open a caller's connection."""
        transport = Transport()
        protocol = self.factory.buildProtocol(None)
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return transport

    def send_request(
        self, route="read", headers=(), body=b"", key=KEY, request="r-1", method="POST"
    ):
        """Send a complete request on a new connection; return the caller's end of it."""
        caller = self.connect()
        lines = [f"{method} /{route}/x HTTP/1.1", "Host: host", f"X-Attempt-Id: {request}"]
        lines += [f"X-Api-Key: {key}", f"Content-Length: {len(body)}", *headers, "", ""]
        caller.protocol.dataReceived("\r\n".join(lines).encode() + body)
        return caller

    def accept(self) -> Transport | None:
        """Accept the next connection that the gateway has dialled; return None if there is none."""
        if self._dial_count >= len(self.clock.tcpClients):
            return None
        factory = self.clock.tcpClients[self._dial_count][2]
        self._dial_count += 1
        transport = Transport()
        transport.protocol = factory.buildProtocol(None)
        protocol = transport.protocol
        protocol.makeConnection(transport)
        return transport

    def refuse_connection(self):
        """Fail the next connection that the gateway has dialled."""
        factory = self.clock.tcpClients[self._dial_count][2]
        connector = self.clock.connectors[self._dial_count]
        connector.stopConnecting = _raise_not_connecting
        self._dial_count += 1
        factory.clientConnectionFailed(connector, Failure(ConnectionLost()))


def _raise_not_connecting():
    """Do as a connector of Twisted does that is not connecting any more."""
    raise NotConnectingError


def make_response(
    body=b"", status=200, request="r-1", headers=(), length=None, sealed=True, chunked=False
) -> bytes:
    """Return the bytes of an endpoint's response.

    `length` replaces the value of the Content-Length header; `sealed` adds the endpoint's seal;
    `chunked` returns the head of a chunked response, whose body is made with `make_chunk`.
    """
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request}", *headers]
    if sealed:
        lines.append("X-Response-Seal: seal-1")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body; an empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    """Return an event of an event stream."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)
