"""The answer on its way from an attempt to the caller, and the credit on its way back."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.defer import Deferred

from coltsfootshift.entry.work import AttemptObserver
from coltsfootshift.messages import AnswerEnd

__all__ = ["AnswerSink", "AttemptReader"]

CREDIT_BATCH_BYTES = 32_768


class AnswerSink(ABC):
    """Where answer bytes go.

    `sent` counts the bytes that went out and `digest` names the weights that made them. `taken`
    is called with the bytes that the caller has taken.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.digest = ""
        self.on_consumed: Callable[[int], None] = _ignore

    @property
    def started(self) -> bool:
        """Whether any byte went out."""
        return self.sent > 0

    @abstractmethod
    def write(self, payload: bytes) -> None:
        """Pass a batch of bytes to the caller."""


class AttemptReader(AttemptObserver):
    """Passes the frames of one attempt to the sink; `done` fires with its end, None if lost.

    The answer of the attempt begins at byte `offset`. Bytes that the sink has already sent are
    left out. Where `expected` names weights, an answer of other weights is not taken.
    """

    def __init__(self, sink: AnswerSink, offset: int, expected: str) -> None:
        self.done: Deferred[AnswerEnd | None] = Deferred()
        self.grant_credit: Callable[[int], None] = _ignore
        self.offset = offset
        self.expected = expected if offset else ""
        self.sent = False
        self.loss_reason = ""
        self._sink = sink
        self._position = offset
        self._first = True
        self._unreported_bytes = 0
        sink.on_consumed = self._report_consumed

    def frame_received(self, payload: bytes, digest: str) -> None:
        """Take the next batch of answer bytes."""
        if self.done.called:
            return
        if self._first and self.expected and digest != self.expected:
            self.attempt_lost("the answer was resumed by other weights")
            return
        self._first = False
        self._sink.digest = self._sink.digest or digest
        skipped = min(len(payload), max(0, self._sink.sent - self._position))
        self._position += len(payload)
        if skipped:
            self._report_consumed(skipped)
        if skipped < len(payload):
            self._sink.write(payload[skipped:])

    def end_received(self, end: AnswerEnd) -> None:
        """Take the end of the attempt."""
        if not self.done.called:
            self.done.callback(end)

    def attempt_lost(self, reason: str) -> None:
        """Give the attempt up."""
        self.loss_reason = reason
        if not self.done.called:
            self.done.callback(None)

    def close(self) -> None:
        """Grant no more credit; the attempt is over."""
        self.grant_credit = _ignore

    def _report_consumed(self, amount: int) -> None:
        self._unreported_bytes += amount
        if self._unreported_bytes < CREDIT_BATCH_BYTES:
            return
        amount, self._unreported_bytes = self._unreported_bytes, 0
        self.grant_credit(amount)


def _ignore(amount: int) -> None:
    return None
