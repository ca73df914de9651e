"""Sends request bodies and receives responses over HTTP."""

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

__all__ = ["RequestBody", "deliver_response"]


@implementer(IBodyProducer)
class RequestBody:
    """A request body that can be refused by its receiver until right before it is sent.

    `sent` is whether the request may have left this process. If the receiver refuses, the
    connection is aborted before any part of the request is written to it.
    """

    def __init__(self, content: bytes, receiver: ResponseReceiver) -> None:
        self.length = len(content)
        self.sent = False
        self.refusal = ""
        self._content = content
        self._receiver = receiver

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body, or fail with `EndpointError` if the request must no longer start."""
        self.refusal = self._receiver.get_start_refusal()
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


def deliver_response(response: Any, digest: Digest, receiver: ResponseReceiver) -> Deferred[None]:
    """Pass a response body to its receiver; fails unless the body is known to be complete."""
    body = _ResponseBody(digest, receiver)
    response.deliverBody(body)
    return body.done


class _ResponseBody(Protocol, ResponseStream):
    transport: Any

    def __init__(self, digest: Digest, receiver: ResponseReceiver) -> None:
        self.done: Deferred[None] = Deferred()
        self._digest = digest
        self._receiver = receiver

    def connectionMade(self) -> None:
        self._receiver.response_started(self._digest, self)

    def dataReceived(self, data: bytes) -> None:
        self._receiver.data_received(data)

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
