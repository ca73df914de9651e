"""HTTP clients: requests that expire, and answers within limits of size and time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.abstract import isIPAddress
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint, IWriteDescriptor
from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgent, IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.logs import get_logger
from coltsfootshift.statuses import (
    STATUS_LINE_START_BYTES,
    UndefinedStatusError,
    is_final_status,
    is_status_line,
)

__all__ = [
    "AnswerTooLongError",
    "ExpiringBody",
    "MAX_HEAD_BYTES",
    "RequestExpiredError",
    "make_agent",
    "read_body",
]

MAX_HEAD_BYTES = 64 * 1024  # of all heads of a response, informational ones included

logger = get_logger("answers")


class AnswerTooLongError(ColtsfootshiftError):
    """The body of an answer is longer than its reader allows."""


class RequestExpiredError(ColtsfootshiftError):
    """A request was not sent, since its time had passed."""


@implementer(IBodyProducer)
class ExpiringBody:
    """The body of a request that must not be sent after `valid_until`, in the reactor's seconds.

    A connection may first have to be opened, and the process may be suspended meanwhile. A request
    whose head has been sent without its body is not executed. Connections of `make_agent` send the
    body in the same step in which they look at the time for the last time.
    """

    def __init__(self, reactor: Any, data: bytes, valid_until: float) -> None:
        self.length = len(data)
        self._reactor = reactor
        self._data = data
        self._valid_until = valid_until

    @property
    def expired(self) -> bool:
        """Whether the body must not be sent any more."""
        return bool(self._reactor.seconds() >= self._valid_until)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body, or fail with `RequestExpiredError` if it is too late."""
        if self.expired:
            return fail(RequestExpiredError("the request has expired"))
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body has been written as a whole."""

    def resumeProducing(self) -> None:
        """Do nothing: the body has been written as a whole."""

    def stopProducing(self) -> None:
        """Do nothing: the body has been written as a whole."""


def make_agent(reactor: Any, pool: HTTPConnectionPool) -> Any:
    """Return an HTTP agent that takes only responses of a defined status and a limited head.

    A response with a status that HTTP does not define fails with `UndefinedStatusError`, or as a
    lost connection, and is not read. Twisted takes any whole number for a status.

    Twisted limits a line of a head, but neither the number of lines nor of informational responses.
    It also looks up addresses in a thread, like names. On a busy machine that thread may wait for
    a processor longer than the response may take, so that addresses are connected to directly.
    """
    return _StatusAgent(Agent.usingEndpointFactory(reactor, _EndpointFactory(reactor), pool))


def read_body(
    response: Any,
    max_bytes: int,
    seconds: float,
    reactor: Any,
    report_progress: Callable[[], None] | None = None,
) -> Deferred[bytes]:
    """Return the body of a response, which has to be complete within `seconds`.

    `report_progress` is called for each piece of it. A body that is longer than `max_bytes` fails
    with `AnswerTooLongError`, one that takes too long with `TimeoutError`; both close the
    connection, as cancelling does.
    """
    body = _Body(max_bytes, report_progress)
    response.deliverBody(body)
    return body.done.addTimeout(seconds, reactor)


class _Body(Protocol):
    transport: Any

    def __init__(self, max_bytes: int, report_progress: Callable[[], None] | None) -> None:
        self.done: Deferred[bytes] = Deferred(lambda _: self.transport.loseConnection())
        self._max_bytes = max_bytes
        self._report_progress = report_progress
        self._data = bytearray()

    def dataReceived(self, data: bytes) -> None:
        if self.done.called:
            return
        self._data += data
        if self._report_progress is not None:
            self._report_progress()
        if len(self._data) > self._max_bytes:
            self._data.clear()
            self.done.errback(AnswerTooLongError(f"the body exceeds {self._max_bytes} bytes"))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.done.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(bytes(self._data))
        else:
            self.done.errback(reason)


@implementer(IAgent)
class _StatusAgent:
    """Fails the requests whose responses have a status that HTTP does not define."""

    def __init__(self, agent: Any) -> None:
        self._agent = agent

    def request(self, method: bytes, uri: bytes, *args: Any, **options: Any) -> Deferred[Any]:
        """Send a request, with the arguments of `IAgent.request`."""
        requested: Deferred[Any] = self._agent.request(method, uri, *args, **options)
        return requested.addCallback(_check_status, uri)


def _check_status(response: Any, uri: bytes) -> Any:
    if is_final_status(response.code):
        return response
    url = uri.decode("latin-1")
    logger.warning("answer with an undefined status", extra={"url": url, "status": response.code})
    response.deliverBody(_Abandoned())
    raise UndefinedStatusError(f"status {response.code} is none of HTTP")


class _Abandoned(Protocol):
    """Closes the connection of a response that is not read."""

    transport: Any

    def connectionMade(self) -> None:
        self.transport.loseConnection()


class _Connection(ProtocolWrapper):
    """Limits the head of a response, and sends a body that expires at once or not at all.

    It counts the bytes that arrive between a request and the body of its response. The HTTP client
    pauses its transport at the end of a head that is followed by a body.
    """

    transport: Any

    def __init__(self, factory: Any, protocol: Any) -> None:
        super().__init__(factory, protocol)
        self._in_head = True
        self._head_bytes = 0
        self._start = b""
        self._producer: Any = None

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Remember the body that is written next."""
        self._producer = producer
        super().registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:
        """Forget the body, which has been written."""
        self._producer = None
        super().unregisterProducer()

    def write(self, data: bytes) -> None:
        """Write bytes; those of an `ExpiringBody` are not left to the next turn of the reactor.

        The process may be suspended before that turn and would send them however late it is.
        """
        super().write(data)
        if not isinstance(self._producer, ExpiringBody):
            return
        if self._producer.expired:
            self.transport.abortConnection()
        elif IWriteDescriptor.providedBy(self.transport):
            # What fails or is left over here is handled in the next turn.
            self.transport.doWrite()

    def writeSequence(self, data: Any) -> None:
        """Begin to count anew; the head of a request is written as a sequence."""
        self._in_head = True
        self._head_bytes = 0
        self._start = b""
        super().writeSequence(data)

    def pauseProducing(self) -> None:
        """Stop counting at the end of the head."""
        self._in_head = False
        self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Pass on received bytes; abort the connection if they are no head, or too many for one."""
        if self._in_head and len(self._start) < STATUS_LINE_START_BYTES:
            self._start += data[: STATUS_LINE_START_BYTES - len(self._start)]
            if not is_status_line(self._start):
                logger.warning("answer with an undefined status", extra={"line": str(self._start)})
                self.transport.abortConnection()
                return
        super().dataReceived(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.transport.abortConnection()


class _ConnectionFactory(WrappingFactory):
    noisy = False
    protocol = _Connection


@implementer(IStreamClientEndpoint)
class _Endpoint:
    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Deferred[Any]:
        connecting: Deferred[Any] = self._endpoint.connect(_ConnectionFactory(factory))
        return connecting.addCallback(lambda wrapper: wrapper.wrappedProtocol)


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> _Endpoint:
        host = uri.host.decode("ascii")
        if isIPAddress(host):
            return _Endpoint(TCP4ClientEndpoint(self._reactor, host, uri.port))
        return _Endpoint(HostnameEndpoint(self._reactor, uri.host, uri.port))
