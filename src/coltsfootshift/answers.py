"""Reads the answers of HTTP servers within limits of size and time."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from coltsfootshift.errors import ColtsfootshiftError

__all__ = ["AnswerTooLongError", "read_body"]


class AnswerTooLongError(ColtsfootshiftError):
    """The body of an answer is longer than its reader allows."""


def read_body(response: Any, max_bytes: int, seconds: float, reactor: Any) -> Deferred[bytes]:
    """Return the body of a response, which has to be complete within `seconds`.

    A body that is longer than `max_bytes` fails with `AnswerTooLongError`, one that takes too long
    with `TimeoutError`; both close the connection.
    """
    body = _Body(max_bytes)
    response.deliverBody(body)
    return body.done.addTimeout(seconds, reactor)


class _Body(Protocol):
    transport: Any

    def __init__(self, max_bytes: int) -> None:
        self.done: Deferred[bytes] = Deferred(lambda _: self.transport.loseConnection())
        self._max_bytes = max_bytes
        self._data = bytearray()

    def dataReceived(self, data: bytes) -> None:
        if self.done.called:
            return
        self._data += data
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
