"""The HTTP/1.1 server for callers: reads whole requests within limits and writes responses."""

from __future__ import annotations

import fcntl
import struct
import termios
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

import h11
from twisted.internet.error import ConnectionAborted, ConnectionClosed
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from coltsfootshift.gateway.body_budget import BodyBudget, compute_max_bytes
from coltsfootshift.gateway.calls import Headers
from coltsfootshift.gateway.holding import MIN_BODY_BYTES, HeldBytes
from coltsfootshift.gateway.model import CallerLimits
from coltsfootshift.gateway.unsent import UnsentAnswers, count_unsent
from coltsfootshift.logs import get_logger

__all__ = [
    "CallerConnection",
    "CallerFactory",
    "ConnectionEnd",
    "Ender",
    "IncomingRequest",
    "RequestHandler",
]

logger = get_logger("gateway.callers")

HANDLING_FAILED = "its handling failed"
MAX_CAUSE_CHARACTERS = 200
# Before a connection is reset, its caller is given this long to receive what was written. An answer
# whose time is over has to end within a quarter of a second.
MAX_FLUSH_SECONDS = 0.2
FLUSH_CHECK_SECONDS = 0.01
# A caller is not read on if it has sent more than this behind its request in progress. As its
# leaving can't be noticed then, a short request or two that were sent ahead are below it.
MAX_READ_AHEAD_BYTES = 64 * 1024

# A caller that sends many requests ahead shares the process with the others.
MAX_REQUESTS_PER_TURN = 32
# No further request of a caller is handled while more than this of its answers waits to be sent.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
UNSENT_CHECK_SECONDS = 0.05
# A request waits this long for memory for its body, then it is refused.
MAX_BODY_WAIT_SECONDS = 1.0
BODY_RETRY_AFTER_SECONDS = 1
# A caller that sends the rest of a refused body is read on for this long.
MAX_LINGER_SECONDS = 2.0
# A closing connection is kept no longer while its caller receives nothing of what waits for it.
MAX_CLOSING_SECONDS = 10.0

_REASON_PHRASES = {
    200: b"OK",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}

# Responses that are sent before the body of the request has been read.
_BODY_REFUSALS = frozenset({413, 503})


class Ender(Enum):
    """Who has ended a caller's connection; `ERROR` stands for an exception in this process."""

    CALLER = "caller"
    PROCESS = "process"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """How a caller's connection has ended.

    `request` is the whole request whose answer was not finished, or not sent to the last byte; it
    is None while the next request is being read. `answer_bytes` of its answer were passed to the
    transport, and `unsent_bytes` waited there. `unread` is set if bytes of the caller had not been
    processed, and `incomplete` if any request, whole or in part, was left without all of its
    answer.
    """

    ended_by: Ender
    cause: str
    request: IncomingRequest | None
    answer_bytes: int
    unsent_bytes: int
    unread: bool
    reused: bool
    incomplete: bool


class IncomingRequest:
    """A complete request of a caller, with the methods to respond to it.

    `on_disconnect` is called once, with what happened, if the caller's connection is lost before
    the response is finished, or if the handling of the request has failed. `on_blocked` is called
    when more of the response waits to be sent than the transport holds, and `on_unblocked` when all
    of it has been sent. `arrived_at` is in seconds of the reactor's clock; `connection_reused` is
    set if the connection has carried a request before.
    `request` is the id that the caller has given it, empty until it is known.
    """

    def __init__(
        self, connection: CallerConnection, head: h11.Request, body: bytes, arrived_at: float
    ) -> None:
        self.method: bytes = head.method
        self.target: bytes = head.target
        self.headers = head.headers
        self.body = body
        self.arrived_at = arrived_at
        self.on_disconnect: Callable[[str], None] | None = None
        self.on_blocked: Callable[[], None] | None = None
        self.on_unblocked: Callable[[], None] | None = None
        self.request = ""
        self.head_sent = False
        self.finished = False
        self.connection_reused = connection.request_count > 1
        self._connection = connection

    @property
    def disconnected(self) -> bool:
        """Whether the caller's connection has ended."""
        return not self._connection.open

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        framing = [(b"Content-Length", str(len(body)).encode())]
        self.send_head(status, headers + framing)
        if body:
            self.write(body)
        self.finish()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers unless already sent or the caller has disconnected."""
        if self.disconnected or self.head_sent:
            return
        self.head_sent = True
        self._connection.send_head(status, headers)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is written as it arrives."""
        if self.disconnected or self.head_sent:
            return
        self._connection.watch_transport()
        self.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send bytes of the response body."""
        if not self.disconnected and not self.finished:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Mark the response as complete."""
        if self.finished:
            return
        self.finished = True
        if not self.disconnected:
            self._connection.end_response()

    def fail(self) -> None:
        """Respond to a request whose handling failed; whether it has run is unknown."""
        try:
            if self.on_disconnect is not None:
                self.on_disconnect(HANDLING_FAILED)
        finally:
            if not self.head_sent:
                self.respond(502, [], b"")
            elif self._connection.is_handling(self):
                self.break_off(HANDLING_FAILED)

    def break_off(self, cause: str) -> None:
        """Reset the connection, so that the caller cannot treat the response as complete."""
        self.finished = True
        self._connection.break_off(cause)


class RequestHandler(ABC):
    """Handles the requests that callers' connections have read.

    `held_bytes` counts what this process holds of answers.
    """

    held_bytes: HeldBytes

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """The current limits."""

    @property
    @abstractmethod
    def closing(self) -> bool:
        """Whether connections are closed after the response in progress."""

    @property
    @abstractmethod
    def stopped(self) -> bool:
        """Whether this process has ended all requests and stops."""

    @abstractmethod
    def handle_request(self, request: IncomingRequest) -> None:
        """Respond to a request, now or later."""

    @abstractmethod
    def record_connection_end(self, end: ConnectionEnd) -> None:
        """Record how a caller's connection has ended; called once for each."""


class CallerConnection(Protocol):
    """A connection of a caller; its requests are processed one at a time, in order."""

    transport: Any

    def __init__(
        self,
        handler: RequestHandler,
        reactor: Any,
        bodies: BodyBudget[CallerConnection],
        unsent: UnsentAnswers,
    ) -> None:
        self.open = False
        self.request_count = 0
        self._handler = handler
        self._reactor = reactor
        self._bodies = bodies
        self._unsent = unsent
        self._awaits_memory = False
        self._header_bytes = handler.limits.header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=self._header_bytes)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._request: IncomingRequest | None = None
        self._latest: IncomingRequest | None = None
        self._answer_bytes = 0
        self._end_recorded = False
        self._timeout: Any = None
        self._rejected = False
        self._watching = False
        self._closing = False
        self._broken_off = False
        self._unread = False
        self._reading = False
        self._continuation: Any = None

    @property
    def busy(self) -> bool:
        """Whether a request is in progress, or bytes of the last response wait to be sent."""
        if not self.open:
            return False
        return self._closing or not self._is_idle()

    def count_unsent(self) -> int:
        """Return how many bytes of complete answers wait to be sent.

        Those of the answer in progress are behind them, and its exchange counts them.
        """
        unsent = count_unsent(self.transport)
        return unsent if self._request is None else max(0, unsent - self._answer_bytes)

    def is_handling(self, request: IncomingRequest) -> bool:
        """Return whether the response to a request is not complete yet."""
        return self._request is request

    def connectionMade(self) -> None:
        """Wait for the first request."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self._set_timeout(self._handler.limits.idle_timeout, self._on_idle_timeout)

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes; those that arrive once the connection is closing are dropped."""
        if self._rejected or self._closing:
            return
        self._apply_limits()
        self._http.receive_data(data)
        if self._awaits_memory:
            return
        self._limit_read_ahead()
        if self._head is None and self._request is None:
            self._set_timeout(self._handler.limits.header_timeout, self._on_header_timeout)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the request in progress that its caller has disconnected."""
        self.open = False
        self._cancel_timeout()
        self._cancel_continuation()
        self._release_body()
        self._unsent.release(self)
        self._record_loss(reason)
        request, self._request = self._request, None
        if request is not None and not request.finished and request.on_disconnect is not None:
            request.on_disconnect("caller gone")

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the response in progress."""
        if self._handler.closing and not self._has_further_bytes():
            headers = [*headers, (b"Connection", b"close")]
        reason = _REASON_PHRASES.get(status, b"Answer")
        self._send(h11.Response(status_code=status, headers=headers, reason=reason))

    def send_data(self, data: bytes) -> None:
        """Send bytes of the response body."""
        self._send(h11.Data(data=data))

    def watch_transport(self) -> None:
        """Register for the transport's pauses during the response in progress."""
        self._watching = True
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Notify the request in progress that its response waits to be sent."""
        if self._request is not None and self._request.on_blocked is not None:
            self._request.on_blocked()

    def resumeProducing(self) -> None:
        """Notify the request in progress that its response has been sent so far."""
        if self._request is not None and self._request.on_unblocked is not None:
            self._request.on_unblocked()

    def stopProducing(self) -> None:
        """Do nothing: the loss of the connection follows."""

    def end_response(self) -> None:
        """End the response, then read the next request or close the connection."""
        if self._watching:
            self._watching = False
            self.transport.unregisterProducer()
        self._send(h11.EndOfMessage())
        self._request = None
        self._release_body()
        if not self.open:
            return
        self._unsent.update(self)
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            self._close_when_sent()
            return
        self._http.start_next_cycle()
        self._head = None
        self._apply_limits()
        self._read_on()
        if self._handler.closing and not self._has_further_bytes():
            self._close_when_sent()
            return
        if self._http.trailing_data[0]:
            self._set_timeout(self._handler.limits.header_timeout, self._on_header_timeout)
        else:
            self._set_timeout(self._handler.limits.idle_timeout, self._on_idle_timeout)
        self._read_events()

    def abort(self, ended_by: Ender, cause: str) -> None:
        """Close the connection without flushing it."""
        if self.open:
            self._record_end(ended_by, cause, self._has_further_bytes())
        self._request = None
        if self.open:
            self.transport.abortConnection()

    def break_off(self, cause: str) -> None:
        """Abort the connection once the caller has received what was written of the response.

        A caller that does not receive it within `MAX_FLUSH_SECONDS` loses the rest.
        """
        if self.open and not self._closing:
            self._record_end(Ender.PROCESS, cause, self._has_further_bytes())
            self._closing = self._broken_off = True
            self._abort_when_received(self._reactor.seconds() + MAX_FLUSH_SECONDS)
        self._request = None

    def _abort_when_received(self, latest: float) -> None:
        if not self.open:
            return
        if self._handler.stopped or not _count_unreceived(self.transport):
            self.transport.abortConnection()
            return
        if self._reactor.seconds() >= latest:
            # After this process stood still, the reactor has yet to write what it was given before.
            self._reactor.callLater(0, self.transport.abortConnection)
            return
        self._reactor.callLater(FLUSH_CHECK_SECONDS, self._abort_when_received, latest)

    def abort_broken_off(self) -> None:
        """Abort the connection if its answer was broken off, whatever has been received of it."""
        if self.open and self._broken_off:
            self.transport.abortConnection()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or arriving on it."""
        if self.open and self._is_idle():
            self._close_when_sent()

    def _record_loss(self, reason: Failure) -> None:
        """Record the end of the connection unless this process has closed it before."""
        ended_by = Ender.CALLER
        if self._handler.stopped or reason.check(ConnectionAborted):
            ended_by = Ender.PROCESS
        elif not reason.check(ConnectionClosed):
            ended_by = Ender.ERROR
        cause = f"{type(reason.value).__name__}: {reason.getErrorMessage()}"
        self._record_end(ended_by, cause, bool(self._http.trailing_data[0]))

    def _record_end(self, ended_by: Ender, cause: str, unread: bool) -> None:
        if self._end_recorded:
            return
        self._end_recorded = True
        unsent_bytes = count_unsent(self.transport)
        request = self._request
        if request is None and unsent_bytes:
            request = self._latest
        reading = self._head is not None or unread
        self._handler.record_connection_end(
            ConnectionEnd(
                ended_by,
                cause[:MAX_CAUSE_CHARACTERS],
                request,
                answer_bytes=0 if request is None else self._answer_bytes,
                unsent_bytes=unsent_bytes,
                unread=unread,
                reused=self.request_count > 1,
                incomplete=request is not None or self._rejected or (reading and not self._closing),
            )
        )

    def _is_idle(self) -> bool:
        """Return whether no request is in progress, and no byte of a further one has arrived."""
        if self._request is not None or self._head is not None:
            return False
        return not self._has_further_bytes()

    def _has_further_bytes(self) -> bool:
        """Return whether bytes have arrived that belong to no request so far.

        Closing the connection would lose them. Those in the socket's buffer are read soon.
        """
        if self._http.trailing_data[0]:
            return True
        try:
            return bool(self.transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT))
        except BlockingIOError:
            return False
        except OSError as error:
            logger.info("caller connection failed", extra={"cause": str(error)})
            return False

    def _limit_read_ahead(self) -> None:
        """Stop reading until the response in progress has ended if much was sent behind it."""
        if self._request is None or self._unread:
            return
        if len(self._http.trailing_data[0]) > MAX_READ_AHEAD_BYTES:
            self._unread = True
            self.transport.pauseProducing()

    def _read_on(self) -> None:
        if self._unread and self._continuation is None:
            self._unread = False
            self.transport.resumeProducing()

    def _apply_limits(self) -> None:
        """Apply a changed limit of the header size between two requests."""
        limit = self._handler.limits.header_bytes
        if limit == self._header_bytes or self._request is not None or self._head is not None:
            return
        data, _ = self._http.trailing_data
        self._header_bytes = limit
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        if data:
            self._http.receive_data(data)

    def _close_when_sent(self) -> None:
        self._closing = True
        self._cancel_timeout()
        self._cancel_continuation()
        self.transport.loseConnection()
        # A process that stops waits for its callers as long as it may.
        if self.open and not self._handler.closing:
            self._watch_closing(_count_unreceived(self.transport))

    def _close_when_read(self) -> None:
        """Drop what the caller still sends until it closes, at most for `MAX_LINGER_SECONDS`.

        Bytes that are left unread would reset the connection before the caller has read the
        response.
        """
        self._closing = True
        self._cancel_timeout()
        self._cancel_continuation()
        self.transport.loseWriteConnection()
        self._read_on()
        if self.open:
            self._set_timeout(MAX_LINGER_SECONDS, self._close_when_sent)

    def _watch_closing(self, unreceived: int) -> None:
        self._set_timeout(MAX_CLOSING_SECONDS, partial(self._on_closing_timeout, unreceived))

    def _send(self, event: Any) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            self.abort(Ender.ERROR, f"the answer cannot be sent: {error}")
            raise
        if data and self.open:
            self._answer_bytes += len(data)
            self.transport.write(data)

    def _read_events(self) -> None:
        """Handle what has been read, until a request is in progress or more bytes are needed.

        Load pattern: a caller sends hundreds of requests ahead, all of which are answered at once.
        The end of each answer leads here again, and the loop below goes on with the next request.
        """
        if self._reading or self._awaits_memory or self._continuation is not None:
            return
        self._reading = True
        try:
            self._handle_events()
        finally:
            self._reading = False

    def _handle_events(self) -> None:
        first = self.request_count
        while self.open and self._request is None and not self._awaits_memory:
            if self._rejected or self._closing:
                return
            if self._head is None and self.request_count - first >= MAX_REQUESTS_PER_TURN:
                self._continue_later(0.0)
                return
            most_unsent = MIN_BODY_BYTES if self._unsent.full else MAX_UNSENT_BYTES
            if self._head is None and count_unsent(self.transport) > most_unsent:
                self._continue_later(UNSENT_CHECK_SECONDS)
                return
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._send_continue()
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(event)

    def _continue_later(self, delay: float) -> None:
        """Handle what has been read after `delay` seconds, and read no more until then."""
        if not self._unread:
            self._unread = True
            self.transport.pauseProducing()
        self._continuation = self._reactor.callLater(delay, self._continue)

    def _continue(self) -> None:
        self._continuation = None
        self._read_events()
        if self.open and self._request is None:
            self._read_on()

    def _cancel_continuation(self) -> None:
        if self._continuation is not None:
            self._continuation.cancel()
            self._continuation = None

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._body = bytearray()
            self._reserve_body(event)
            return
        if isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._handler.limits.body_bytes:
                self._reject(413)
            return
        if isinstance(event, h11.EndOfMessage) and self._head is not None:
            self._cancel_timeout()
            body = bytes(self._body)
            self._body = bytearray()
            if self._is_closed_by_caller():
                self.abort(Ender.CALLER, "closed before the request was handled")
                return
            self.request_count += 1
            request = IncomingRequest(self, self._head, body, self._reactor.seconds())
            self._request = self._latest = request
            self._answer_bytes = 0
            try:
                self._handler.handle_request(request)
            except Exception:
                logger.exception("request not handled", extra={"target": request.target.decode()})
                request.fail()

    def _reserve_body(self, head: h11.Request) -> None:
        """Read the body of a request on if there is memory for it, else when there will be."""
        limit = self._handler.limits.body_bytes
        if self._bodies.reserve(self, min(_find_body_length(head, limit), limit)):
            return
        self._awaits_memory = True
        if not self._unread:
            self._unread = True
            self.transport.pauseProducing()
        self._set_timeout(MAX_BODY_WAIT_SECONDS, self._on_body_wait_timeout)

    def _read_body(self) -> None:
        """Read on; memory for the body has been reserved."""
        if not self._awaits_memory or not self.open:
            return
        self._awaits_memory = False
        self._set_timeout(self._handler.limits.header_timeout, self._on_header_timeout)
        self._read_on()
        self._read_events()

    def _release_body(self) -> None:
        """Give up the memory of the body that was read last, whose request has ended."""
        if self._latest is not None:
            self._latest.body = b""
        for connection in self._bodies.release(self):
            self._reactor.callLater(0, connection._read_body)

    def _on_body_wait_timeout(self) -> None:
        self._timeout = None
        self._reject(503, [(b"Retry-After", str(BODY_RETRY_AFTER_SECONDS).encode())])

    def _is_closed_by_caller(self) -> bool:
        """Return whether the caller has closed the connection.

        After this process was suspended, a request and the end of its connection may be waiting
        in the socket's buffer together.
        """
        try:
            return self.transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError as error:
            logger.info(
                "caller connection failed before the request was handled",
                extra={"cause": str(error)},
            )
            return True

    def _reject(self, status: int, further: Headers | None = None) -> None:
        """Respond to a request that is not read to its end with an error, then close."""
        self._rejected = True
        self._awaits_memory = False
        self._release_body()
        self._record_end(Ender.PROCESS, f"rejected with {status}", self._has_further_bytes())
        self._cancel_timeout()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close"), *(further or [])]
            reason = _REASON_PHRASES.get(status, b"Error")
            self._send(h11.Response(status_code=status, headers=headers, reason=reason))
            self._send(h11.EndOfMessage())
        if status in _BODY_REFUSALS:
            self._close_when_read()
            return
        self._close_when_sent()

    def _on_idle_timeout(self) -> None:
        self._timeout = None
        self.close_idle()

    def _on_closing_timeout(self, before: int) -> None:
        self._timeout = None
        unreceived = _count_unreceived(self.transport)
        if unreceived < before or self._handler.closing:
            self._watch_closing(unreceived)
            return
        self.transport.abortConnection()

    def _on_header_timeout(self) -> None:
        self._timeout = None
        if self._request is None:
            self._reject(408)

    def _set_timeout(self, seconds: float, callback: Callable[[], None]) -> None:
        self._cancel_timeout()
        self._timeout = self._reactor.callLater(seconds, callback)

    def _cancel_timeout(self) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None


def _find_body_length(head: h11.Request, unknown: int) -> int:
    """Return the length of a request's body in bytes, `unknown` if the head does not state it."""
    length = 0
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return unknown
        if name == b"content-length":
            length = int(value)
    return length


def _count_unacknowledged(transport: Any) -> int:
    """Return how many bytes in the buffer of the socket the other end has not acknowledged."""
    data = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", data)[0])


def _count_unreceived(transport: Any) -> int:
    """Return how many bytes that were written to a transport the other end has not acknowledged."""
    return count_unsent(transport) + _count_unacknowledged(transport)


class CallerFactory(Factory):
    """Accepts callers' connections and keeps track of the open ones."""

    noisy = False

    def __init__(self, handler: RequestHandler, reactor: Any) -> None:
        self._handler = handler
        self._reactor = reactor
        self._connections: set[CallerConnection] = set()
        self._bodies: BodyBudget[CallerConnection] = BodyBudget(compute_max_bytes())
        self._unsent = UnsentAnswers(handler.held_bytes, reactor)

    def buildProtocol(self, addr: Any) -> CallerConnection:
        """Create the protocol of an accepted connection."""
        self._connections = {item for item in self._connections if item.open or not item.connected}
        connection = CallerConnection(self._handler, self._reactor, self._bodies, self._unsent)
        self._connections.add(connection)
        return connection

    def count_busy(self) -> int:
        """Return on how many connections a request or response is in progress or being sent."""
        return sum(connection.busy for connection in self._connections)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._connections):
            connection.close_idle()

    def abort_broken_off(self) -> None:
        """Abort the connections whose answers were broken off, before the process stops.

        Its end closes connections in order, by which an answer without framing looks complete.
        """
        for connection in list(self._connections):
            connection.abort_broken_off()
