"""A gateway without sockets: scripted callers and endpoints around the real one."""

from __future__ import annotations

from random import Random

from coltsfootshift_platform.dialect import PlatformDialect
from twisted.internet.error import ConnectionDone, ConnectionLost
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
TIMEOUT = 1.0
ENGINE = EngineSpec(16, 0.00887, 0.0000388, 19100.0, 5, 48, 49152, 977.0, 94.0, ("m",))
BUDGET = (0.2, 100.0, 10.0)
BOUNDS = GatewayBounds(3.0, 5.0, 8.0, *BUDGET)


class _Handle:
    closed = False

    def setsockopt(self, *args):
        pass

    def recv(self, size, flags):
        if self.closed:
            return b""
        raise BlockingIOError


class Transport(StringTransport):
    """A connection's end that remembers how it was ended."""

    def __init__(self):
        super().__init__()
        self.aborted = False
        self.protocol = None
        self.handle = _Handle()

    def getHandle(self):
        return self.handle

    def setTcpNoDelay(self, on):
        pass

    def setTcpKeepAlive(self, on):
        pass

    def abortConnection(self):
        self.aborted = True
        self.end(ConnectionLost())

    def loseConnection(self):
        super().loseConnection()
        self.end(ConnectionDone())

    def end(self, error):
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connectionLost(Failure(error))

    def take(self) -> bytes:
        text = self.value()
        self.clear()
        return text


class NoDecoder(ItemDecoder):
    """The harness sets what is known itself."""

    def read_catalogue(self, item):
        return None

    def read_version(self, item):
        return None

    def read_endpoint(self, item):
        return None


def make_route(name, kind, attempts=2, resumable=False, service="s", timeout=TIMEOUT):
    """Return a route with the prefix of its name."""
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
    """Drives one gateway by the bytes of callers and endpoints, on a clock of its own."""

    def __init__(self, endpoints=2, engines=0, limits=None, seed=1, clock=None):
        self.clock = clock or MemoryReactorClock()
        self.known = TableCache(NoDecoder())
        services = {
            ServiceName("s"): ServiceSpec(ServiceName("s"), 100),
            ServiceName("llm"): ServiceSpec(ServiceName("llm"), 300, ENGINE),
        }
        self.known.catalogue = GatewayCatalogue(
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
        self.confirm()
        self.gateway = Gateway(
            self.clock,
            self.known,
            PlatformDialect(),
            FailureDomain("a"),
            "",
            BOUNDS,
            Metrics(),
            Random(seed),
        )
        # An entry that has been up for long enough to know the others.
        self.gateway._budget = RetryBudget(*BUDGET, started_at=-STARTUP_GRACE_SECONDS)
        self.gateway.start()
        self.gateway.refresh()
        self.factory = CallerFactory(self.gateway, self.clock)
        self._dials = 0

    def add_endpoint(self, name, service, port, versions=None, leaving=False):
        self.known.endpoints[InstanceId(name)] = EndpointRecord(
            InstanceId(name),
            ServiceName(service),
            Address("10.0.0.9", port),
            FailureDomain("a"),
            6,
            leaving=leaving,
            versions=versions or {},
        )

    def confirm(self):
        """Let the store confirm both tables now."""
        for table in Table:
            now = self.clock.seconds()
            revision = max(1, self.known.get_revision(table))
            self.known.apply(TableAnswer(table, (), revision, False, now), now)

    def connect(self) -> Transport:
        """Open a caller's connection."""
        transport = Transport()
        protocol = self.factory.buildProtocol(None)
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return transport

    def call(self, route="read", headers=(), body=b"", key=KEY, request="r-1", method="POST"):
        """Send a whole request on a new connection; return the caller's end."""
        caller = self.connect()
        lines = [f"{method} /{route}/x HTTP/1.1", "Host: host", f"X-Attempt-Id: {request}"]
        lines += [f"X-Api-Key: {key}", f"Content-Length: {len(body)}", *headers, "", ""]
        caller.protocol.dataReceived("\r\n".join(lines).encode() + body)
        return caller

    def accept(self) -> Transport | None:
        """Accept the next connection that the gateway dials; None where it dials none."""
        if self._dials >= len(self.clock.tcpClients):
            return None
        factory = self.clock.tcpClients[self._dials][2]
        self._dials += 1
        transport = Transport()
        transport.protocol = factory.buildProtocol(None)
        link = transport.protocol
        link.makeConnection(transport)
        return transport

    def refuse_dial(self):
        """Let the next connection that the gateway dials fail."""
        factory = self.clock.tcpClients[self._dials][2]
        self._dials += 1
        factory.clientConnectionFailed(None, Failure(ConnectionLost()))


def make_answer(
    body=b"", status=200, request="r-1", headers=(), length=None, sealed=True, chunked=False
) -> bytes:
    """Return an endpoint's answer."""
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request}", *headers]
    if sealed:
        lines.append("X-Response-Seal: seal-1")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body; an empty one ends it."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)
