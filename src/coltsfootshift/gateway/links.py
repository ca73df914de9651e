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

CONNECT_SECONDS = 0.6  # a handshake takes a few ms; a lost first packet is sent again after 1 s
UNACKED_MILLISECONDS = 1500  # bytes unacknowledged for this long end a connection
IDLE_SECONDS = 4.0  # kept below the endpoints' usual keep-alive of 5 s and more
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # endpoints tell whole seconds
MAX_HEAD_BYTES = 64 * 1024


class ResponseReceiver(ABC):
    """Takes the answer to one order, or learns why there is none."""

    @abstractmethod
    def answer_begun(self, head: ResponseHead) -> None:
        """The head of the answer has arrived."""

    @abstractmethod
    def answer_data(self, data: bytes) -> None:
        """Bytes of the answer's body have arrived."""

    @abstractmethod
    def answer_ended(self) -> None:
        """The answer is complete by its framing."""

    @abstractmethod
    def order_failed(self, reason: str, sent: bool) -> None:
        """The order has no whole answer; `sent` tells whether it may have reached the endpoint."""


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
        self._sink: ResponseReceiver | None = None
        self._request = ""
        self._keep_alive = IDLE_SECONDS
        self._lost = False

    def connectionMade(self) -> None:
        """Find a silent peer by probes and unacknowledged bytes."""
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MILLISECONDS)

    @property
    def usable(self) -> bool:
        """Whether another order may be sent on this connection."""
        return not self._lost and self._sink is None and self._http.our_state is h11.IDLE

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request: str,
        sink: ResponseReceiver,
    ) -> None:
        """Send an order; its answer goes to the sink."""
        self._sink = sink
        self._request = request
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.transport.write(data)

    def cancel(self) -> None:
        """Drop the connection; the endpoint stops an order whose connection is gone."""
        self._sink = None
        self._end()

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; bytes without an order end the connection."""
        if self._sink is None:
            self._end()
            return
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """An answer that is framed by the end of its connection ends only with a clean close."""
        self._lost = True
        if self._sink is not None and reason.check(connectionDone.type):
            self._http.receive_data(b"")
            self._read_events()
        self._fail(f"connection lost: {reason.getErrorMessage()}")
        self._pool.note_lost(self)

    def _read_events(self) -> None:
        while self._sink is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(f"no HTTP answer: {error}")
                self._end()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._sink.answer_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail("connection closed before an answer")
                return

    def _begin(self, event: h11.Response) -> None:
        head = self._pool.dialect.parse_response(event.status_code, event.headers)
        if head.request != self._request:
            self._fail(f"the answer names the request {head.request!r}")
            self._end()
            return
        if head.keep_alive is not None:
            self._keep_alive = max(0.0, head.keep_alive - KEEP_ALIVE_MARGIN_SECONDS)
        if self._sink is not None:
            self._sink.answer_begun(head)

    def _finish(self) -> None:
        sink, self._sink = self._sink, None
        http = self._http
        clean = not http.trailing_data[0] and http.our_state is h11.DONE
        if clean and http.their_state is h11.DONE and not self._lost:
            http.start_next_cycle()
            self.idle_until = self._pool.reactor.seconds() + min(IDLE_SECONDS, self._keep_alive)
            self._pool.note_idle(self)
        else:
            self._end()
        if sink is not None:
            sink.answer_ended()

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.order_failed(reason, True)

    def _end(self) -> None:
        if not self._lost:
            self._lost = True
            self.transport.abortConnection()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, pool: ConnectionPool, order: _Order) -> None:
        self._pool = pool
        self._order = order

    def buildProtocol(self, addr: Any) -> EndpointConnection:
        return _FreshLink(self._pool, self._order)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._pool.note_dial_failed()
        order = self._order
        if not order.cancelled:
            order.sink.order_failed(f"cannot connect: {reason.getErrorMessage()}", False)


class _Order:
    """An order on its way to a connection."""

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request: str,
        sink: ResponseReceiver,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request = request
        self.sink = sink
        self.link: EndpointConnection | None = None
        self.connector: Any = None
        self.cancelled = False

    @property
    def sent(self) -> bool:
        """Whether the order may have left this process."""
        return self.link is not None

    def place(self, link: EndpointConnection) -> None:
        """Send the order on a connection."""
        self.link = link
        link.send(self.method, self.target, self.headers, self.body, self.request, self.sink)

    def cancel(self) -> None:
        """Stop the order, wherever it is."""
        if self.cancelled:
            return
        self.cancelled = True
        if self.link is not None:
            self.link.cancel()
        elif self.connector is not None:
            self.connector.stopConnecting()


class _FreshLink(EndpointConnection):
    """A connection that was dialled for one order."""

    def __init__(self, pool: ConnectionPool, order: _Order) -> None:
        super().__init__(pool)
        self._order: _Order | None = order

    def connectionMade(self) -> None:
        super().connectionMade()
        order, self._order = self._order, None
        if order is None or order.cancelled:
            self._end()
            return
        order.place(self)


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
        sink: ResponseReceiver,
        fresh: bool = False,
    ) -> _Order:
        """Send an order on a kept connection, or on one dialled for it.

        With `fresh` no kept connection is used: an endpoint may have dropped it unseen, and then
        whether the order has run is not known.
        """
        order = _Order(method, target, headers, body, request, sink)
        link = None if fresh else self._take_idle()
        if link is not None:
            order.place(link)
            return order
        self._open += 1
        self.dialled += 1
        order.connector = self.reactor.connectTCP(
            self._address.host,
            self._address.port,
            _Dial(self, order),
            timeout=CONNECT_SECONDS,
            bindAddress=(self._source, 0) if self._source else None,
        )
        return order

    def note_idle(self, link: EndpointConnection) -> None:
        """A connection is free for the next order."""
        self._idle.append(link)

    def note_lost(self, link: EndpointConnection) -> None:
        """A connection is gone."""
        self._open -= 1
        if link in self._idle:
            self._idle.remove(link)

    def note_dial_failed(self) -> None:
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
            link = self._idle.pop()
            if link.usable and link.idle_until > now:
                return link
            link.cancel()
        return None
