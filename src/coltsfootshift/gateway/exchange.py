"""One call from its admission to its answer: orders, retries, resumed streams, the caller gone."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from coltsfootshift.gateway.callers import IncomingRequest
from coltsfootshift.gateway.calls import ResponseHead
from coltsfootshift.gateway.checks import Admission
from coltsfootshift.gateway.events import EventStreamBuffer
from coltsfootshift.gateway.links import ResponseReceiver
from coltsfootshift.gateway.model import Route, RouteKind, ServiceSpec
from coltsfootshift.gateway.placement import EndpointState, WorkSize
from coltsfootshift.ids import InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.outcomes import NotRun, Unknown

__all__ = ["Exchange", "ExchangeOwner"]

MAX_BUFFERED_BYTES = 1024 * 1024  # a longer plain answer is passed on as it comes
STREAM_STALL_SECONDS = (
    1.5  # beyond three times the longest pause aimed at; a lost endpoint stalls as long
)
STATUS_MISDIRECTED = 421
NOT_RUN_STATUSES = frozenset(
    {408, 421, 429, 503}
)  # callers take these as a promise that nothing has run

logger = get_logger("gateway.exchange")


class ExchangeOwner(ABC):
    """Places exchanges and carries their answers back."""

    reactor: Any

    @abstractmethod
    def reschedule(self, exchange: Exchange) -> bool:
        """Find another endpoint for an exchange now or later; False where none may be asked."""

    @abstractmethod
    def draw_retry_after(self, exchange: Exchange) -> float:
        """Return after how many seconds the caller of an exchange without a place comes back."""

    @abstractmethod
    def record_response_start(self, predicted: float, taken: float) -> None:
        """An answer has begun, `taken` seconds after its order; `predicted` was expected."""

    @abstractmethod
    def record_end(self, exchange: Exchange, outcome: str) -> None:
        """An exchange has ended; called once."""

    @abstractmethod
    def send_refusal(self, exchange: Exchange, outcome: NotRun | Unknown) -> None:
        """Answer the caller that the request failed."""


class _Attempt(ResponseReceiver):
    """One order of an exchange at one endpoint; what arrives after its end is dropped."""

    def __init__(self, exchange: Exchange, state: EndpointState) -> None:
        self.state = state
        self.active = True
        self.head: ResponseHead | None = None
        self.last_received_at = 0.0
        self.body_started = False
        self.sent_at = 0.0
        self.predicted_seconds = 0.0
        self._exchange = exchange

    def head_received(self, head: ResponseHead) -> None:
        if self.active:
            self.head = head
            self._exchange.handle_head(self, head)

    def body_received(self, data: bytes) -> None:
        if self.active:
            self._exchange.handle_data(self, data)

    def response_completed(self) -> None:
        if self.active:
            self._exchange.handle_end(self)

    def attempt_failed(self, reason: str, sent: bool) -> None:
        if self.active:
            self._exchange.handle_failure(self, reason, sent)


class Exchange:
    """One request of a caller; `runs` counts the orders that may have run."""

    def __init__(self, owner: ExchangeOwner, call: IncomingRequest, admission: Admission) -> None:
        assert admission.route is not None and admission.service is not None
        self.incoming = call
        self.admission = admission
        self.route: Route = admission.route
        self.service: ServiceSpec = admission.service
        self.size = _measure_size(admission, self.service)
        self.request = admission.head.request
        self.tried: set[InstanceId] = set()
        self.possible_runs = 0
        self.send_count = 0
        self.version: int | None = None
        self.ended = False
        self.queue_entry: Any = None
        self._owner = owner
        self._outbound: Any = None
        self._attempt: _Attempt | None = None
        self._event_buffer = EventStreamBuffer(admission.head.resume_after)
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._is_streaming = self.route.kind is RouteKind.STREAMING
        reactor = owner.reactor
        self._deadline_timer = reactor.callLater(
            max(0.0, admission.expires_at - reactor.seconds()), self._on_deadline
        )
        call.on_disconnect = self._on_caller_disconnect

    def __repr__(self) -> str:
        return f"Exchange({self.request!r}, route={self.route.name!r}, runs={self.possible_runs})"

    @property
    def resume_after(self) -> str:
        """The id of the last event that the caller has, empty for none."""
        return self._event_buffer.last_id

    @property
    def response_started(self) -> bool:
        """Whether a part of the answer has been sent to the caller."""
        return self.incoming.head_sent

    def start_attempt(self, state: EndpointState) -> ResponseReceiver:
        """Begin an order at an endpoint; `set_outbound` follows."""
        now = self._owner.reactor.seconds()
        attempt = _Attempt(self, state)
        attempt.last_received_at = attempt.sent_at = now
        attempt.predicted_seconds = state.predict_start(self.size, now)
        self._attempt = attempt
        self.tried.add(state.record.endpoint)
        self.possible_runs += 1
        self.send_count += 1
        state.record_sent(self.request, self.size, now)
        return attempt

    def set_outbound(self, outbound: Any) -> None:
        """Keep the handle by which the order is cancelled."""
        self._outbound = outbound
        if self.ended or self._attempt is None:
            outbound.cancel()

    def check_stall(self, now: float) -> None:
        """Go on elsewhere where the endpoint of a resumable stream has fallen silent."""
        attempt = self._attempt
        if attempt is None or not self._is_streaming or not self.route.resumable:
            return
        if attempt.head is None or now - attempt.last_received_at < STREAM_STALL_SECONDS:
            return
        if self.possible_runs >= self.route.attempts:
            return
        self._cancel_attempt()
        attempt.state.record_unreachable(self.request, now)
        self._retry(attempt, f"no event for {now - attempt.last_received_at:.1f} s")

    def withdraw_outdated(self, min_version: int, now: float) -> None:
        """Take back an order that has not begun where its endpoint's version is too old by now."""
        attempt = self._attempt
        if attempt is None or attempt.body_started:
            return
        version = attempt.state.record.versions.get(self.admission.head.model)
        if version is None or version >= min_version:
            return
        self._cancel_attempt()
        self._retry(attempt, f"version {version} may answer no more")

    def handle_head(self, attempt: _Attempt, head: ResponseHead) -> None:
        """Take the head of an answer."""
        now = self._owner.reactor.seconds()
        attempt.last_received_at = now
        attempt.state.record_response_start(self.request, head.load, now)
        if head.not_run or head.status == STATUS_MISDIRECTED:
            self._handle_not_run(attempt, head, now)
            return
        if not head.succeeded or not self._is_streaming:
            return
        if not head.sealed or head.encoded:
            self._fail_attempt(attempt, "a success that is not the endpoint's own answer", now)
            return
        if not self.response_started:
            self.version = head.version
            self.incoming.send_head(head.status, head.forwarded_headers)

    def handle_data(self, attempt: _Attempt, data: bytes) -> None:
        """Take bytes of an answer's body."""
        attempt.last_received_at = self._owner.reactor.seconds()
        if not attempt.body_started:
            attempt.body_started = True
            self._owner.record_response_start(
                attempt.predicted_seconds, attempt.last_received_at - attempt.sent_at
            )
        head = attempt.head
        assert head is not None
        if self._is_streaming and head.succeeded:
            events = self._event_buffer.feed(data)
            if events:
                self.incoming.write(events)
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and head.sealed:
            self._flush_buffered(head)

    def handle_end(self, attempt: _Attempt) -> None:
        """Take the end of a complete answer."""
        now = self._owner.reactor.seconds()
        head = attempt.head
        assert head is not None
        if head.not_run or head.status == STATUS_MISDIRECTED:
            return
        if self._is_streaming and head.succeeded:
            if not self._event_buffer.at_event_boundary:
                self._fail_attempt(attempt, "the stream ended within an event", now)
                return
            attempt.state.record_success(self.request, now)
            self._close("complete")
            self.incoming.finish()
            return
        if head.status >= 500 and self._may_retry():
            attempt.state.record_failure(self.request, now)
            self._retry(attempt, f"status {head.status}", keep_response=True)
            return
        if head.succeeded and (not head.sealed or head.encoded):
            self._fail_attempt(attempt, "a success that is not the endpoint's own answer", now)
            return
        if head.status in NOT_RUN_STATUSES:
            self._fail_attempt(attempt, f"status {head.status} that may have run", now)
            return
        if head.succeeded:
            attempt.state.record_success(self.request, now)
        else:
            attempt.state.record_failure(self.request, now)
        self._close(f"status {head.status}")
        self._send_buffered(head)

    def handle_failure(self, attempt: _Attempt, reason: str, sent: bool) -> None:
        """Take the loss of an order."""
        now = self._owner.reactor.seconds()
        if not sent:
            self.possible_runs -= 1
            self.tried.discard(attempt.state.record.endpoint)
        attempt.state.record_unreachable(self.request, now)
        self._retry(attempt, reason)

    def refuse(self, outcome: NotRun) -> None:
        """End the exchange without an order; what has run already is told as unknown."""
        if self.ended:
            return
        self._close(outcome.reason)
        if self.response_started:
            self.incoming.abort()
        elif self.possible_runs:
            self._owner.send_refusal(self, Unknown(outcome.reason, status=502))
        else:
            self._owner.send_refusal(self, outcome)

    def _handle_not_run(self, attempt: _Attempt, head: ResponseHead, now: float) -> None:
        """The endpoint says that it has not run the order, so another may be asked."""
        self.possible_runs -= 1
        self._cancel_attempt(keep_connection=True)
        if head.status == STATUS_MISDIRECTED:
            attempt.state.record_misdirected(self.request, now)
        else:
            attempt.state.record_full(self.request, now)
        self._retry(attempt, f"not run, status {head.status}")

    def _fail_attempt(self, attempt: _Attempt, reason: str, now: float) -> None:
        self._cancel_attempt()
        attempt.state.record_failure(self.request, now)
        self._retry(attempt, reason)

    def _may_retry(self) -> bool:
        return self.route.retryable and self.possible_runs < self.route.attempts

    def _retry(self, attempt: _Attempt, reason: str, keep_response: bool = False) -> None:
        """Ask another endpoint where the request may run again or has not run; else end it."""
        attempt.active = False
        self._attempt = None
        buffered, self._buffered, self._buffered_bytes = self._buffered, [], 0
        self._event_buffer.discard_partial()
        allowed = self.possible_runs <= 0 or self._may_retry()
        retrying = allowed and self._owner.reschedule(self)
        logger.info(
            "order failed",
            extra={
                "request": self.request,
                "endpoint": attempt.state.record.endpoint,
                "cause": reason,
                "runs": self.possible_runs,
                "again": retrying,
            },
        )
        if retrying or self.ended:
            return
        if keep_response and attempt.head is not None:
            self._buffered = buffered
            self._close(f"status {attempt.head.status}")
            self._send_buffered(attempt.head)
            return
        self._close(reason)
        if self.response_started:
            self.incoming.abort()
        elif self.possible_runs > 0:
            self._owner.send_refusal(self, Unknown(reason, status=502))
        else:
            self._owner.send_refusal(
                self, NotRun(reason, retry_after=self._owner.draw_retry_after(self))
            )

    def _send_buffered(self, head: ResponseHead) -> None:
        if self.response_started:
            self._flush_buffered(head)
            self.incoming.finish()
            return
        self.incoming.respond(head.status, head.forwarded_headers, b"".join(self._buffered))

    def _flush_buffered(self, head: ResponseHead) -> None:
        if not self.response_started:
            self.incoming.send_head(head.status, head.forwarded_headers)
        for data in self._buffered:
            self.incoming.write(data)
        self._buffered = []
        self._buffered_bytes = 0

    def _on_deadline(self) -> None:
        """The deadline or the route's timeout has passed."""
        if self._attempt is not None and not self._outbound.sent:
            self.possible_runs -= 1
        self._cancel_attempt()
        self._close("deadline")
        if self.response_started:
            self.incoming.abort()
        elif self.possible_runs > 0:
            self._owner.send_refusal(self, Unknown("the deadline has passed", status=504))
        else:
            self._owner.send_refusal(self, NotRun("the deadline has passed", retry_after=0.0))

    def _on_caller_disconnect(self) -> None:
        """The caller is gone: nothing of the request goes on."""
        if not self.ended:
            self._cancel_attempt()
            self._close("caller gone")

    def _cancel_attempt(self, keep_connection: bool = False) -> None:
        attempt, outbound = self._attempt, self._outbound
        if attempt is not None:
            attempt.active = False
            attempt.state.record_cancelled(self.request)
        self._attempt = None
        self._outbound = None
        if outbound is not None and not keep_connection:
            outbound.cancel()

    def _close(self, outcome: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._attempt = None
        if self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._owner.record_end(self, outcome)


def _measure_size(admission: Admission, service: ServiceSpec) -> WorkSize:
    """Return what the request asks of an engine; the usual where the caller told nothing."""
    if service.engine is None:
        return WorkSize()
    head = admission.head
    prompt = head.prompt_tokens or int(service.engine.typical_prompt)
    answer = head.answer_hint or head.answer_tokens or int(service.engine.typical_answer)
    return WorkSize(prompt, answer)
