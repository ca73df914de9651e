"""Connections to endpoints: one request at a time, kept between requests, strict about bytes."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections import deque
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from coltsfootshift.gateway.calls import Dialect, Headers, ResponseHead
from coltsfootshift.settings import Address

__all__ = ["ResponseReceiver", "EndpointConnection", "ConnectionPool"]

CONNECT_TIMEOUT_SECONDS = (
    0.6  # a handshake takes a few ms; a lost first packet is sent again after 1 s
)
UNACKED_TIMEOUT_MILLISECONDS = 1500  # bytes unacknowledged for this long end a connection
MAX_IDLE_SECONDS = 4.0  # kept below the endpoints' usual keep-alive of 5 s and more
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # endpoints tell whole seconds
MAX_HEAD_BYTES = 64 * 1024


class ResponseReceiver(ABC):
    """Takes the answer to one outbound, or learns why there is none."""

    @abstractmethod
    def head_received(self, head: ResponseHead) -> None:
        """The head of the answer has arrived."""

    @abstractmethod
    def body_received(self, data: bytes) -> None:
        """Bytes of the answer's body have arrived."""

    @abstractmethod
    def response_completed(self) -> None:
        """The answer is complete by its framing."""

    @abstractmethod
    def attempt_failed(self, reason: str, sent: bool) -> None:
        """The outbound has no whole answer; `sent` tells whether it may have reached the endpoint."""


class EndpointConnection(Protocol):
    """One connection to an endpoint.

    Bytes that belong to no request, an answer that names another request, and a broken framing
    end the connection.
    """

    transport: Any

    def __init__(self, pool: ConnectionPool) -> None:
        self.idle_until = 0.0
        self._pool = pool
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._receiver: ResponseReceiver | None = None
        self._request = ""
        self._keep_alive = MAX_IDLE_SECONDS
        self._lost = False

    def connectionMade(self) -> None:
        """Find a silent peer by probes and unacknowledged bytes."""
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLISECONDS)

    @property
    def usable(self) -> bool:
        """Whether another outbound may be sent on this connection."""
        return not self._lost and self._receiver is None and self._http.our_state is h11.IDLE

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request: str,
        receiver: ResponseReceiver,
    ) -> None:
        """Send an outbound; its answer goes to the receiver."""
        self._receiver = receiver
        self._request = request
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.transport.write(data)

    def cancel(self) -> None:
        """Drop the connection; the endpoint stops an outbound whose connection is gone."""
        self._receiver = None
        self._abort()

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; bytes without an outbound end the connection."""
        if self._receiver is None:
            self._abort()
            return
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """An answer that is framed by the end of its connection ends only with a clean close."""
        self._lost = True
        if self._receiver is not None and reason.check(connectionDone.type):
            self._http.receive_data(b"")
            self._read_events()
        self._fail(f"connection lost: {reason.getErrorMessage()}")
        self._pool.remove(self)

    def _read_events(self) -> None:
        while self._receiver is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(f"no HTTP answer: {error}")
                self._abort()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._receiver.body_received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail("connection closed before an answer")
                return

    def _handle_head(self, event: h11.Response) -> None:
        head = self._pool.dialect.parse_response(event.status_code, event.headers)
        if head.request != self._request:
            self._fail(f"the answer names the request {head.request!r}")
            self._abort()
            return
        if head.keep_alive is not None:
            self._keep_alive = max(0.0, head.keep_alive - KEEP_ALIVE_MARGIN_SECONDS)
        if self._receiver is not None:
            self._receiver.head_received(head)

    def _handle_end(self) -> None:
        receiver, self._receiver = self._receiver, None
        http = self._http
        clean = not http.trailing_data[0] and http.our_state is h11.DONE
        if clean and http.their_state is h11.DONE and not self._lost:
            http.start_next_cycle()
            self.idle_until = self._pool.reactor.seconds() + min(MAX_IDLE_SECONDS, self._keep_alive)
            self._pool.add_idle(self)
        else:
            self._abort()
        if receiver is not None:
            receiver.response_completed()

    def _fail(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.attempt_failed(reason, True)

    def _abort(self) -> None:
        if not self._lost:
            self._lost = True
            self.transport.abortConnection()


class _Dialer(ClientFactory):
    noisy = False

    def __init__(self, pool: ConnectionPool, outbound: _OutboundRequest) -> None:
        self._pool = pool
        self._outbound = outbound

    def buildProtocol(self, addr: Any) -> EndpointConnection:
        return _DialledConnection(self._pool, self._outbound)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._pool.release_failed_dial()
        outbound = self._outbound
        if not outbound.cancelled:
            outbound.receiver.attempt_failed(f"cannot connect: {reason.getErrorMessage()}", False)


class _OutboundRequest:
    """An outbound on its way to a connection."""

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request: str,
        receiver: ResponseReceiver,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request = request
        self.receiver = receiver
        self.connection: EndpointConnection | None = None
        self.connector: Any = None
        self.cancelled = False

    @property
    def sent(self) -> bool:
        """Whether the outbound may have left this process."""
        return self.connection is not None

    def send_on(self, connection: EndpointConnection) -> None:
        """Send the outbound on a connection."""
        self.connection = connection
        connection.send(
            self.method, self.target, self.headers, self.body, self.request, self.receiver
        )

    def cancel(self) -> None:
        """Stop the outbound, wherever it is."""
        if self.cancelled:
            return
        self.cancelled = True
        if self.connection is not None:
            self.connection.cancel()
        elif self.connector is not None:
            self.connector.stopConnecting()


class _DialledConnection(EndpointConnection):
    """A connection that was dialled for one outbound."""

    def __init__(self, pool: ConnectionPool, outbound: _OutboundRequest) -> None:
        super().__init__(pool)
        self._outbound: _OutboundRequest | None = outbound

    def connectionMade(self) -> None:
        super().connectionMade()
        outbound, self._outbound = self._outbound, None
        if outbound is None or outbound.cancelled:
            self._abort()
            return
        outbound.send_on(self)


class ConnectionPool:
    """The connections to one endpoint's address; the one used last is used first."""

    def __init__(self, reactor: Any, address: Address, dialect: Dialect, source: str) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.dialled = 0
        self.max_open = 1 << 30
        self._address = address
        self._source = source
        self._idle: deque[EndpointConnection] = deque()
        self._open = 0

    def __repr__(self) -> str:
        return f"ConnectionPool({self._address!r}, open={self._open}, idle={len(self._idle)})"

    @property
    def full(self) -> bool:
        """Whether no further connection may be opened and none is idle."""
        return self._open >= self.max_open and not self._idle

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request: str,
        receiver: ResponseReceiver,
        new_connection: bool = False,
    ) -> _OutboundRequest:
        """Send an outbound on a kept connection, or on one dialled for it.

        With `new_connection` no kept connection is used: an endpoint may have dropped it unseen, and then
        whether the outbound has run is not known.
        """
        outbound = _OutboundRequest(method, target, headers, body, request, receiver)
        connection = None if new_connection else self._take_idle()
        if connection is not None:
            outbound.send_on(connection)
            return outbound
        self._open += 1
        self.dialled += 1
        outbound.connector = self.reactor.connectTCP(
            self._address.host,
            self._address.port,
            _Dialer(self, outbound),
            timeout=CONNECT_TIMEOUT_SECONDS,
            bindAddress=(self._source, 0) if self._source else None,
        )
        return outbound

    def add_idle(self, connection: EndpointConnection) -> None:
        """A connection is free for the next outbound."""
        self._idle.append(connection)

    def remove(self, connection: EndpointConnection) -> None:
        """A connection is gone."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)

    def release_failed_dial(self) -> None:
        """A connection could not be opened."""
        self._open -= 1

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().cancel()

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = self.reactor.seconds()
        while self._idle and self._idle[0].idle_until <= now:
            self._idle.popleft().cancel()

    def _take_idle(self) -> EndpointConnection | None:
        now = self.reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and connection.idle_until > now:
                return connection
            connection.cancel()
        return None
