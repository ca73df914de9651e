"""HTTP/1.1 client connections to endpoints, pooled and checked strictly for stray bytes."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from coltsfootshift.gateway.calls import Dialect, Headers, ResponseHead
from coltsfootshift.gateway.unsent import count_unsent
from coltsfootshift.settings import Address
from coltsfootshift.statuses import is_final_status

__all__ = ["ResponseReceiver", "EndpointConnection", "ConnectionPool"]

# A TCP handshake takes a few ms; a lost SYN is retransmitted only after 1 s.
CONNECT_TIMEOUT_SECONDS = 0.6
# Closes a connection whose sent data stays unacknowledged. The host of a sound endpoint may
# acknowledge nothing for 1.5 s, and a segment may be retransmitted only 3 s after the first try.
UNACKED_TIMEOUT_MILLISECONDS = 3500
# A connection without unacknowledged data is closed at the first probe after the time above.
PROBE_INTERVAL_SECONDS = 1
MAX_IDLE_SECONDS = 4.0  # below the keep-alive of endpoints, usually 5 s or more
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # endpoints announce their timeout in whole seconds
MAX_HEAD_BYTES = 64 * 1024
# A head is sent at once, but a sound endpoint may be silent for 1.5 s in the middle of it, and a
# lost segment may be retransmitted only 3 s after the first try.
MAX_HEAD_SECONDS = 3.5
# The rest of a response that is of no use is read within these limits to keep its connection.
MAX_DRAIN_BYTES = 64 * 1024
MAX_DRAIN_SECONDS = 1.0
RESPONSE_START = b"HTTP/"
MAX_INFORMATIONAL_RESPONSES = 8  # requests ask for none; an endpoint may send a few unasked
# A read of 64 KiB may hold some 9,000 chunks of 2 bytes, each of which is an event of h11.
MAX_EVENTS_PER_TURN = 128
# Between two portions of the events that an endpoint has sent beyond that, on all its connections.
BACKLOG_PAUSE_SECONDS = 0.004


class ResponseReceiver(ABC):
    """Receives the response to one attempt, or the reason why it failed."""

    @abstractmethod
    def head_received(self, head: ResponseHead) -> None:
        """Called when the head of the response has arrived."""

    @abstractmethod
    def body_received(self, data: bytes) -> None:
        """Called when bytes of the response body have arrived."""

    @abstractmethod
    def response_completed(self) -> None:
        """Called when the response is complete according to its HTTP framing."""

    @abstractmethod
    def attempt_failed(self, reason: str, sent: bool) -> None:
        """Called when the response cannot be completed.

        `sent` is set if the request may have reached the endpoint.
        """


class _Drain(ResponseReceiver):
    """Discards the rest of a response, and cancels its connection if that takes too long."""

    def __init__(self, connection: EndpointConnection, reactor: Any) -> None:
        self._connection = connection
        self._left_bytes = MAX_DRAIN_BYTES
        self._timer = reactor.callLater(MAX_DRAIN_SECONDS, connection.cancel)

    def head_received(self, head: ResponseHead) -> None:
        """Do nothing: the head has been received before."""

    def body_received(self, data: bytes) -> None:
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self.response_completed()
            self._connection.cancel()

    def response_completed(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def attempt_failed(self, reason: str, sent: bool) -> None:
        self.response_completed()


class EndpointConnection(Protocol):
    """A connection to an endpoint, which carries one request at a time.

    The connection is aborted on bytes that belong to no request, on a response that names another
    request, and on invalid framing. At most `MAX_EVENTS_PER_TURN` events are handled in a turn of
    the reactor; while more have arrived, the backlog, nothing is read.
    """

    transport: Any

    def __init__(self, pool: ConnectionPool) -> None:
        self.idle_until = 0.0
        self._pool = pool
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._receiver: ResponseReceiver | None = None
        self._request = ""
        self._start = b""
        self._informational_count = 0
        self._head_timer: Any = None
        self._keep_alive = MAX_IDLE_SECONDS
        self._lost = False
        self._paused = False
        self._backlogged = False

    def connectionMade(self) -> None:
        """Detect a dead peer by unacknowledged bytes, and by probes if there are none.

        The timeout for unacknowledged bytes replaces the kernel's limit on the number of probes.
        """
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLISECONDS)

    @property
    def established(self) -> bool:
        """Whether the connection is open, as far as this process knows."""
        return bool(self.connected) and not self._lost

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
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
        """Send a request; its response is passed to the receiver.

        `request` is the id that the response has to name.
        """
        self._receiver = receiver
        self._request = request
        self._start = b""
        self._informational_count = 0
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.transport.write(data)

    def cancel(self) -> None:
        """Abort the connection, upon which the endpoint cancels the request."""
        self._receiver = None
        self._abort()

    def pause(self) -> None:
        """Read no further bytes of the response in progress until it is resumed."""
        if self._receiver is not None and not self._lost:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on after a pause."""
        if self._paused and not self._lost:
            self._paused = False
            self._read_on()

    def _read_on(self) -> None:
        if not (self._paused or self._backlogged or self._lost):
            self.transport.resumeProducing()

    def drain(self) -> None:
        """Discard the rest of the response in progress; a short one leaves the connection open.

        The connection is cancelled if the endpoint has not taken the whole request: the rest of a
        long body would stay in memory although its caller's request goes on elsewhere.
        """
        if self._receiver is not None and count_unsent(self.transport):
            self.cancel()
        elif self._receiver is not None:
            self._receiver = _Drain(self, self._pool.reactor)

    def dataReceived(self, data: bytes) -> None:
        """Read the response; bytes that arrive without a request abort the connection."""
        self._pool.received_at = self._pool.reactor.seconds()
        if self._receiver is None:
            self._abort()
            return
        if len(self._start) < len(RESPONSE_START):
            self._start += data[: len(RESPONSE_START) - len(self._start)]
            if not RESPONSE_START.startswith(self._start):
                self._reject_answer(f"begins with {self._start!r}")
                return
        self._http.receive_data(data)
        if not self._backlogged:
            self._read_events()
        if self._http.their_state is h11.SEND_RESPONSE and self._head_timer is None:
            self._limit_head_time()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the request in flight.

        A response that is framed by the end of the connection is complete only if the connection
        was closed cleanly.
        """
        self._lost = True
        self._cancel_head_timer()
        if self._backlogged:
            self._read_all_events()
        if reason.check(connectionDone.type):
            self._end_response()
        self._fail(f"connection lost: {reason.getErrorMessage()}")
        self._pool.remove(self)

    def _end_response(self) -> None:
        """End the response in progress, if any, with its connection, which was closed cleanly."""
        if self._receiver is None:
            return
        if self._http.their_state is h11.SEND_RESPONSE:
            begun = bool(self._http.trailing_data[0])
            place = "within the head of an answer" if begun else "before an answer"
            self._fail(f"connection closed {place}")
            return
        self._http.receive_data(b"")
        self._read_all_events()

    def read_backlog(self) -> None:
        """Handle the next events of the backlog, and read on once it is empty."""
        if not self._backlogged:
            return
        self._backlogged = False
        try:
            self._read_events()
        except Exception:
            self._abort()  # as the reactor does after an error in `dataReceived`
            raise
        self._read_on()

    def _read_events(self) -> None:
        """Handle the events that have arrived; leave those beyond the limit to later turns."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._read_event():
                return
        if self._receiver is not None and not self._lost:
            self._backlogged = True
            self.transport.pauseProducing()
            self._pool.add_backlogged(self)

    def _read_all_events(self) -> None:
        self._backlogged = False
        while self._read_event():
            continue

    def _read_event(self) -> bool:
        """Handle the next event that has arrived; return whether there was one."""
        if self._receiver is None:
            return False
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._reject_answer(str(error))
            return False
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._receiver.body_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end()
        elif isinstance(event, h11.InformationalResponse):
            self._handle_informational()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("connection closed before an answer")
            return False
        return True

    def _reject_answer(self, cause: str) -> None:
        """Fail the request: what has arrived is no answer in HTTP, and it may have run."""
        self._pool.count_no_answer()
        self._fail(f"no HTTP answer: {cause}")
        self._abort()

    def _limit_head_time(self) -> None:
        """Start the time within which a head has to be complete, unless none has begun."""
        if self._receiver is not None and self._http.trailing_data[0]:
            self._head_timer = self._pool.reactor.callLater(MAX_HEAD_SECONDS, self._on_head_timeout)

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        self._fail(f"no complete head within {MAX_HEAD_SECONDS} s of its first byte")
        self._abort()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head(self, event: h11.Response) -> None:
        self._cancel_head_timer()
        if not is_final_status(event.status_code):
            self._reject_answer(f"status {event.status_code}")
            return
        head = self._pool.dialect.parse_response(event.status_code, event.headers)
        if head.request != self._request:
            self._fail(f"the answer names the request {head.request!r}")
            self._abort()
            return
        if head.keep_alive is not None:
            self._keep_alive = max(0.0, head.keep_alive - KEEP_ALIVE_MARGIN_SECONDS)
        if self._receiver is not None:
            self._receiver.head_received(head)

    def _handle_informational(self) -> None:
        """Skip an informational response; each is complete, so h11 does not limit their number."""
        self._cancel_head_timer()
        self._informational_count += 1
        if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
            self._fail("too many informational responses")
            self._abort()

    def _handle_end(self) -> None:
        receiver, self._receiver = self._receiver, None
        try:
            self._keep_or_abort()
        finally:
            if receiver is not None:
                receiver.response_completed()

    def _keep_or_abort(self) -> None:
        """Keep the connection for the next request if nothing but the response has come on it.

        An endpoint that answers before it has taken the whole request may read on slowly. The rest
        is dropped with the connection, and no other request waits behind it.
        """
        http = self._http
        clean = not http.trailing_data[0] and http.our_state is h11.DONE
        clean = clean and not count_unsent(self.transport)
        if clean and http.their_state is h11.DONE and not self._lost:
            self.resume()
            http.start_next_cycle()
            self.idle_until = self._pool.reactor.seconds() + min(MAX_IDLE_SECONDS, self._keep_alive)
            self._pool.add_idle(self)
        else:
            self._abort()

    def _fail(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.attempt_failed(reason, True)

    def _abort(self) -> None:
        if not self._lost:
            self._lost = True
            self._cancel_head_timer()
            self.transport.abortConnection()


class _Dialer(ClientFactory):
    noisy = False

    def __init__(self, pool: ConnectionPool, outbound: _OutboundRequest) -> None:
        self._pool = pool
        self._outbound = outbound
        self._timer: Any = None
        self._timed_out = False

    def limit_time(self, connector: Any) -> None:
        """Give the dial up after `CONNECT_TIMEOUT_SECONDS`.

        A reactor's own timeout comes before it notices, after this process stood still, that the
        connection has been opened meanwhile.
        """
        self._timer = self._pool.reactor.callLater(
            CONNECT_TIMEOUT_SECONDS, self._stop_unless_opened, connector
        )

    def buildProtocol(self, addr: Any) -> EndpointConnection:
        self._cancel_timer()
        return _DialledConnection(self._pool, self._outbound)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._cancel_timer()
        self._pool.release_failed_dial()
        outbound = self._outbound
        outbound.connector = None
        if outbound.cancelled:
            return
        cause = reason.getErrorMessage()
        if self._timed_out:
            cause = f"not opened within {CONNECT_TIMEOUT_SECONDS} s"
        outbound.receiver.attempt_failed(f"cannot connect: {cause}", False)

    def _stop_unless_opened(self, connector: Any) -> None:
        self._timer = self._pool.reactor.callLater(0, self._stop, connector)

    def _stop(self, connector: Any) -> None:
        self._timed_out = True
        connector.stopConnecting()

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class _OutboundRequest:
    """A request to an endpoint that waits for a connection or has been sent on one.

    Its body is dropped then: the connection that was dialled for it keeps this object for as long
    as it is open.
    """

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
        """Whether the request may have left this process."""
        return self.connection is not None

    def send_on(self, connection: EndpointConnection) -> None:
        """Send the request on a connection."""
        self.connection = connection
        # Requests that have ended stay in memory until the next run of the garbage collector.
        body, self.body = self.body, b""
        connection.send(self.method, self.target, self.headers, body, self.request, self.receiver)

    def cancel(self) -> None:
        """Cancel the request by aborting its connection or the dialling; idempotent."""
        if self.cancelled:
            return
        self.cancelled = True
        self.body = b""
        if self.connection is not None:
            self.connection.cancel()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def pause(self) -> None:
        """Let the rest of the response wait at the endpoint."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Read on after a pause."""
        if self.connection is not None:
            self.connection.resume()

    def drain(self) -> None:
        """Discard the rest of the response, whose head has arrived."""
        if not self.cancelled and self.connection is not None:
            self.connection.drain()


class _DialledConnection(EndpointConnection):
    """A connection that was dialled for one request."""

    def __init__(self, pool: ConnectionPool, outbound: _OutboundRequest) -> None:
        super().__init__(pool)
        self._outbound: _OutboundRequest | None = outbound

    def connectionMade(self) -> None:
        super().connectionMade()
        self._pool.add_established(self)
        outbound, self._outbound = self._outbound, None
        if outbound is None or outbound.cancelled:
            self._abort()
            return
        outbound.send_on(self)


def _ignore() -> None:
    return None


class ConnectionPool:
    """The pooled connections to one endpoint; the most recently used one is reused first.

    `received_at` is when the endpoint last sent something on any of them. `count_no_answer` is
    called for each response that is none in HTTP.
    """

    def __init__(self, reactor: Any, address: Address, dialect: Dialect, source: str) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.dialled = 0
        self.received_at: float | None = None
        self.max_open = 1 << 30
        self.count_no_answer: Callable[[], None] = _ignore
        self._address = address
        self._source = source
        self._idle: deque[EndpointConnection] = deque()
        self._established: set[EndpointConnection] = set()
        self._backlogged: deque[EndpointConnection] = deque()
        self._backlog_timer: Any = None
        self._open = 0

    def __repr__(self) -> str:
        return f"ConnectionPool({self._address!r}, open={self._open}, idle={len(self._idle)})"

    @property
    def full(self) -> bool:
        """Whether no connection is idle and no further one may be opened."""
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
        """Send a request on an idle connection, or on a new one.

        Set `new_connection` for a request that must not run twice: the endpoint may have closed an
        idle connection unnoticed, and then it is unknown whether the request has run.
        """
        outbound = _OutboundRequest(method, target, headers, body, request, receiver)
        connection = None if new_connection else self._take_idle()
        if connection is not None:
            outbound.send_on(connection)
            return outbound
        self._open += 1
        self.dialled += 1
        dialer = _Dialer(self, outbound)
        outbound.connector = self.reactor.connectTCP(
            self._address.host,
            self._address.port,
            dialer,
            timeout=None,
            bindAddress=(self._source, 0) if self._source else None,
        )
        dialer.limit_time(outbound.connector)
        return outbound

    @property
    def connected(self) -> bool:
        """Whether any connection to the endpoint is established."""
        return any(connection.established for connection in self._established)

    def add_established(self, connection: EndpointConnection) -> None:
        """Record a connection that has been opened."""
        self._established.add(connection)

    def add_idle(self, connection: EndpointConnection) -> None:
        """Make a connection available for the next request."""
        self._idle.append(connection)

    def add_backlogged(self, connection: EndpointConnection) -> None:
        """Let a connection read its backlog after those that already wait for that.

        They take turns at intervals, so that the backlogs of many connections take no more of the
        processor's time than that of one.
        """
        self._backlogged.append(connection)
        self._schedule_backlog()

    def _schedule_backlog(self) -> None:
        if self._backlogged and self._backlog_timer is None:
            self._backlog_timer = self.reactor.callLater(BACKLOG_PAUSE_SECONDS, self._read_backlog)

    def _read_backlog(self) -> None:
        self._backlog_timer = None
        if self._backlogged:
            connection = self._backlogged.popleft()
            self._schedule_backlog()
            connection.read_backlog()

    def remove(self, connection: EndpointConnection) -> None:
        """Remove a lost connection."""
        self._open -= 1
        self._established.discard(connection)
        for waiting in (self._idle, self._backlogged):
            if connection in waiting:
                waiting.remove(connection)

    def release_failed_dial(self) -> None:
        """Stop counting a connection that could not be opened."""
        self._open -= 1

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().cancel()

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long."""
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
