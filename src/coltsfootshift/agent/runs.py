"""A request running at the endpoint and the attempts that its response is sent to."""

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

__all__ = ["COMPLETE", "NOT_RUN", "UNKNOWN", "Listener", "Run", "send_recorded_response"]

NOT_RUN = "not_run"
UNKNOWN = "unknown"
COMPLETE = "complete"
STATUS_OK = 200
STATUS_GONE = 410
RESPONSE_DISCARDED = "the work ran once; its answer is not kept"


@dataclass(slots=True)
class Listener:
    """An attempt waiting for the response to a request.

    `window` limits the bytes sent that the caller has not consumed yet (`outstanding`); zero means
    no limit. `from_start` is false if the attempt joined after the first bytes of the response
    were discarded, so that it cannot receive the complete response.
    """

    stream: PeerStream
    request: str
    attempt: int
    window: int = 0
    frames: int = 0
    outstanding: int = 0
    from_start: bool = True

    @property
    def window_full(self) -> bool:
        """Whether the caller must consume bytes before more are sent."""
        return 0 < self.window <= self.outstanding

    def matches(self, stream: PeerStream, request: str, attempt: int) -> bool:
        """Return whether a message received on a stream refers to this attempt."""
        return self.stream is stream and (self.request, self.attempt) == (request, attempt)

    def send_frame(self, payload: bytes, digest: str) -> None:
        """Send the next bytes of the response; the first frame also carries the weights digest."""
        sent_digest = digest if self.frames == 0 else ""
        frame = AnswerFrame(self.request, self.attempt, self.frames, payload, sent_digest)
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
        """Send the outcome, which ends the attempt."""
        message = AnswerEnd(
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
        self.stream.send(message)


class Run(ResponseReceiver):
    """Forwards the response to a request to its listeners and records it under its ticket.

    The response is read from the endpoint no faster than the slowest listener consumes it.
    """

    def __init__(
        self,
        request: EndpointRequest,
        ticket: Ticket | None,
        ledger: TicketLedger,
        get_start_refusal: Callable[[], str],
    ) -> None:
        self.request = request
        self.ticket = ticket
        self.listeners: list[Listener] = []
        self.cancelled = False
        self.suspect = False
        self._ledger = ledger
        self._get_start_refusal = get_start_refusal
        self._stream: ResponseStream | None = None
        self._paused = False
        self._digest = Digest("")

    def get_start_refusal(self) -> str:
        """Return the reason why the request must not be sent, or an empty string."""
        return self._get_start_refusal()

    def response_started(self, digest: Digest, stream: ResponseStream) -> None:
        """Store the response stream for flow control; stop it if the run was cancelled."""
        self._digest = digest
        self._stream = stream
        if self.cancelled:
            stream.stop()

    def data_received(self, payload: bytes) -> None:
        """Record the next bytes of the response and send them to the listeners."""
        if self.ticket is not None:
            self._ledger.record(self.ticket, payload)
        for listener in self.listeners:
            if listener.from_start:
                listener.send_frame(payload, self._digest)
        self.update_flow_control()

    def add_listener(self, listener: Listener) -> None:
        """Add an attempt and send it the response so far, if no bytes of it were discarded."""
        assert self.ticket is not None
        listener.from_start = not self.ticket.answer.dropped
        for payload in self.ticket.answer.frames:
            listener.send_frame(payload, self._digest)
        self.listeners.append(listener)
        self.update_flow_control()

    def update_flow_control(self) -> None:
        """Pause the response while any listener's window is full, resume it otherwise."""
        window_full = any(listener.window_full for listener in self.listeners)
        if self._stream is None or window_full == self._paused:
            return
        self._paused = window_full
        if window_full:
            self._stream.pause()
            return
        self._stream.resume()

    def cancel(self) -> None:
        """Stop reading the response; called when no listeners are left."""
        self.cancelled = True
        if self._stream is not None:
            self._stream.stop()

    def finish(self, response: EndpointResponse) -> None:
        """End the attempts of all listeners after a complete response."""
        for listener in self.listeners:
            if not listener.from_start:
                listener.send_end(UNKNOWN, reason=RESPONSE_DISCARDED, status=STATUS_GONE)
                continue
            listener.send_end(COMPLETE, digest=response.digest, status=response.status)

    def fail(self, outcome: str, reason: str, crash: str = "") -> None:
        """End the attempts of all listeners after a failure.

        `crash` is the id of the endpoint crash that caused it, empty if there was none.
        """
        for listener in self.listeners:
            listener.send_end(outcome, reason=reason, crash=crash)


def send_recorded_response(listener: Listener, ticket: Ticket) -> None:
    """Send a listener the response or outcome recorded under a finished ticket."""
    recorded = ticket.answer
    if ticket.state.value != COMPLETE:
        listener.send_end(ticket.state.value, reason=ticket.reason or "the ticket is void")
        return
    if recorded.dropped:
        listener.send_end(UNKNOWN, reason=RESPONSE_DISCARDED, status=STATUS_GONE)
        return
    for payload in recorded.frames:
        listener.send_frame(payload, recorded.digest)
    listener.send_end(COMPLETE, digest=recorded.digest, status=recorded.status)
