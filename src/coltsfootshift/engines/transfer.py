"""The two directions of one order over HTTP: its body on the way out, its answer on the way in."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from coltsfootshift.engines.base import EndpointError, ResponseReceiver, ResponseStream
from coltsfootshift.ids import Digest

__all__ = ["RequestBody", "read_answer"]


@implementer(IBodyProducer)
class RequestBody:
    """The body of an order; asks its reader right before it is sent whether it still may be.

    `sent` tells whether the order may have left this process. Where the reader refuses, the
    connection is aborted before anything of the order is written to it.
    """

    def __init__(self, content: bytes, reader: ResponseReceiver) -> None:
        self.length = len(content)
        self.sent = False
        self.refusal = ""
        self._content = content
        self._reader = reader

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body, or fail where the order must not start any more."""
        self.refusal = self._reader.get_start_refusal()
        if self.refusal:
            return fail(EndpointError(self.refusal, started=False))
        self.sent = True
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:
        """The body is written at once; there is nothing to pause."""

    def resumeProducing(self) -> None:
        """The body is written at once; there is nothing to resume."""

    def stopProducing(self) -> None:
        """The body is written at once; there is nothing to stop."""


def read_answer(response: Any, digest: Digest, reader: ResponseReceiver) -> Deferred[None]:
    """Pass the body of a response to its reader; fails where the body is not known to be whole."""
    body = _AnswerBody(digest, reader)
    response.deliverBody(body)
    return body.done


class _AnswerBody(Protocol, ResponseStream):
    transport: Any

    def __init__(self, digest: Digest, reader: ResponseReceiver) -> None:
        self.done: Deferred[None] = Deferred()
        self._digest = digest
        self._reader = reader

    def connectionMade(self) -> None:
        self._reader.response_started(self._digest, self)

    def dataReceived(self, data: bytes) -> None:
        self._reader.data_received(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if reason.check(ResponseDone):
            self.done.callback(None)
            return
        self.done.errback(reason)

    def pause(self) -> None:
        self.transport.pauseProducing()

    def resume(self) -> None:
        self.transport.resumeProducing()

    def stop(self) -> None:
        self.transport.stopProducing()
