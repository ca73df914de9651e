"""One order at the endpoint, the attempts that listen to it and the answer on its way to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coltsfootshift.controllers.tickets import Ticket, TicketLedger
from coltsfootshift.engines.base import (
    EndpointRequest,
    EndpointResponse,
    ResponseReceiver,
    ResponseStream,
)
from coltsfootshift.ids import Digest
from coltsfootshift.messages import AnswerEnd, AnswerFrame
from coltsfootshift.streams import PeerStream

__all__ = ["COMPLETE", "NOT_RUN", "UNKNOWN", "Listener", "Run", "answer_from_record"]

NOT_RUN = "not_run"
UNKNOWN = "unknown"
COMPLETE = "complete"
STATUS_OK = 200
STATUS_ANSWER_NOT_KEPT = 410
ANSWER_NOT_KEPT = "the work ran once; its answer is not kept"


@dataclass(slots=True)
class Listener:
    """An attempt that waits for the answer to an order.

    `window` bounds the bytes sent but not yet taken by the caller, zero for no bound. `whole` is
    false where the attempt came after bytes that are no longer kept.
    """

    stream: PeerStream
    request: str
    attempt: int
    window: int = 0
    frames: int = 0
    outstanding: int = 0
    whole: bool = True

    @property
    def full(self) -> bool:
        """Whether the caller has to take bytes before more are sent."""
        return 0 < self.window <= self.outstanding

    def matches(self, stream: PeerStream, request: str, attempt: int) -> bool:
        """Return whether a message on a stream is about this attempt."""
        return self.stream is stream and (self.request, self.attempt) == (request, attempt)

    def send_frame(self, payload: bytes, digest: str) -> None:
        """Send the next bytes of the answer."""
        named = digest if self.frames == 0 else ""
        frame = AnswerFrame(self.request, self.attempt, self.frames, payload, named)
        self.stream.send(frame)
        self.frames += 1
        self.outstanding += len(payload)

    def send_end(
        self,
        outcome: str,
        digest: str = "",
        reason: str = "",
        status: int = STATUS_OK,
        crash: str = "",
        refused_suspect: bool = False,
    ) -> None:
        """Send the end of the attempt."""
        end = AnswerEnd(
            self.request,
            self.attempt,
            self.frames,
            outcome,
            digest,
            reason,
            status,
            crash,
            refused_suspect,
        )
        self.stream.send(end)


class Run(ResponseReceiver):
    """Passes the answer to one order on to its listeners, and records it under its ticket.

    The endpoint is read no faster than the slowest listener takes the answer.
    """

    def __init__(
        self,
        order: EndpointRequest,
        ticket: Ticket | None,
        ledger: TicketLedger,
        get_start_refusal: Callable[[], str],
    ) -> None:
        self.order = order
        self.ticket = ticket
        self.listeners: list[Listener] = []
        self.cancelled = False
        self.suspect = False
        self._ledger = ledger
        self._get_start_refusal = get_start_refusal
        self._source: ResponseStream | None = None
        self._paused = False
        self._digest = Digest("")

    def get_start_refusal(self) -> str:
        """Return why the order must not be sent any more."""
        return self._get_start_refusal()

    def response_started(self, digest: Digest, source: ResponseStream) -> None:
        """Keep the source, so that it can be paused."""
        self._digest = digest
        self._source = source
        if self.cancelled:
            source.stop()

    def data_received(self, payload: bytes) -> None:
        """Send the next bytes to all listeners."""
        if self.ticket is not None:
            self._ledger.record(self.ticket, payload)
        for listener in self.listeners:
            if listener.whole:
                listener.send_frame(payload, self._digest)
        self.adjust()

    def join(self, listener: Listener) -> None:
        """Let one more attempt listen, from the first byte on where that is still kept."""
        assert self.ticket is not None
        listener.whole = not self.ticket.answer.dropped
        for payload in self.ticket.answer.frames:
            listener.send_frame(payload, self._digest)
        self.listeners.append(listener)
        self.adjust()

    def adjust(self) -> None:
        """Pause or resume the endpoint's answer as the listeners' windows ask."""
        full = any(listener.full for listener in self.listeners)
        if self._source is None or full == self._paused:
            return
        self._paused = full
        if full:
            self._source.pause()
            return
        self._source.resume()

    def cancel(self) -> None:
        """Close the answer; nobody listens any more."""
        self.cancelled = True
        if self._source is not None:
            self._source.stop()

    def finish(self, answer: EndpointResponse) -> None:
        """Tell the listeners that the answer is whole."""
        for listener in self.listeners:
            if not listener.whole:
                listener.send_end(UNKNOWN, reason=ANSWER_NOT_KEPT, status=STATUS_ANSWER_NOT_KEPT)
                continue
            listener.send_end(COMPLETE, digest=answer.digest, status=answer.status)

    def fail(self, outcome: str, reason: str, crash: str = "") -> None:
        """Tell the listeners that the answer is not whole, and which crash ended it."""
        for listener in self.listeners:
            listener.send_end(outcome, reason=reason, crash=crash)


def answer_from_record(listener: Listener, ticket: Ticket) -> None:
    """Answer an ended ticket with what is recorded under it."""
    answer = ticket.answer
    if ticket.state.value != COMPLETE:
        listener.send_end(ticket.state.value, reason=ticket.reason or "the ticket is void")
        return
    if answer.dropped:
        listener.send_end(UNKNOWN, reason=ANSWER_NOT_KEPT, status=STATUS_ANSWER_NOT_KEPT)
        return
    for payload in answer.frames:
        listener.send_frame(payload, answer.digest)
    listener.send_end(COMPLETE, digest=answer.digest, status=answer.status)
