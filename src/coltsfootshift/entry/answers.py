"""Forwards answers from attempts to callers and returns flow-control credit to the agents."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.defer import Deferred

from coltsfootshift.entry.work import AttemptObserver
from coltsfootshift.messages import AnswerEnd

__all__ = ["AnswerSink", "AttemptReader"]

CREDIT_BATCH_BYTES = 32_768


class AnswerSink(ABC):
    """Receives the bytes of one answer.

    `sent` counts the bytes written and `digest` identifies the weights that produced them.
    `on_consumed` is called with the number of further bytes that the caller has consumed.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.digest = ""
        self.on_consumed: Callable[[int], None] = _ignore

    @property
    def started(self) -> bool:
        """Whether any byte has been written."""
        return self.sent > 0

    @abstractmethod
    def write(self, payload: bytes) -> None:
        """Write a batch of bytes to the caller."""


class AttemptReader(AttemptObserver):
    """Passes the frames of one attempt to the sink; `done` fires with its end, or None if lost.

    The attempt's answer starts at byte `offset`. Bytes that the sink has already sent are
    skipped. A resumed answer (`offset` above 0) is rejected if its weights have a digest other
    than `expected_digest`; if that is empty, any weights are accepted.
    """

    def __init__(self, sink: AnswerSink, offset: int, expected_digest: str) -> None:
        self.done: Deferred[AnswerEnd | None] = Deferred()
        self.grant_credit: Callable[[int], None] = _ignore
        self.offset = offset
        self.expected_digest = expected_digest if offset else ""
        self.sent = False
        self.loss_reason = ""
        self._sink = sink
        self._position = offset
        self._first = True
        self._unreported_bytes = 0
        sink.on_consumed = self._report_consumed

    def frame_received(self, payload: bytes, digest: str) -> None:
        """Write the next batch of answer bytes to the sink."""
        if self.done.called:
            return
        if self._first and self.expected_digest and digest != self.expected_digest:
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
        """Fire `done` with the end of the attempt."""
        if not self.done.called:
            self.done.callback(end)

    def attempt_lost(self, reason: str) -> None:
        """Fire `done` with None and keep the reason."""
        self.loss_reason = reason
        if not self.done.called:
            self.done.callback(None)

    def close(self) -> None:
        """Stop granting credit."""
        self.grant_credit = _ignore

    def _report_consumed(self, amount: int) -> None:
        self._unreported_bytes += amount
        if self._unreported_bytes < CREDIT_BATCH_BYTES:
            return
        amount, self._unreported_bytes = self._unreported_bytes, 0
        self.grant_credit(amount)


def _ignore(amount: int) -> None:
    return None
