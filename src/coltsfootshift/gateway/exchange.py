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

MAX_HELD_BYTES = 1024 * 1024  # a longer plain answer is passed on as it comes
SILENCE_SECONDS = (
    1.5  # beyond three times the longest pause aimed at; a lost endpoint stalls as long
)
MISDIRECTED = 421
PROMISES = frozenset({408, 421, 429, 503})  # callers take these as a promise that nothing has run

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
        self.open = True
        self.head: ResponseHead | None = None
        self.heard_at = 0.0
        self.begun = False
        self.sent_at = 0.0
        self.predicted = 0.0
        self._exchange = exchange

    def answer_begun(self, head: ResponseHead) -> None:
        if self.open:
            self.head = head
            self._exchange.take_head(self, head)

    def answer_data(self, data: bytes) -> None:
        if self.open:
            self._exchange.take_data(self, data)

    def answer_ended(self) -> None:
        if self.open:
            self._exchange.take_end(self)

    def order_failed(self, reason: str, sent: bool) -> None:
        if self.open:
            self._exchange.take_failure(self, reason, sent)


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
        self._order: Any = None
        self._attempt: _Attempt | None = None
        self._cutter = EventStreamBuffer(admission.head.resume_after)
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._streams = self.route.kind is RouteKind.STREAMING
        reactor = owner.reactor
        self._deadline = reactor.callLater(
            max(0.0, admission.expires_at - reactor.seconds()), self._end_late
        )
        call.on_disconnect = self._drop

    def __repr__(self) -> str:
        return f"Exchange({self.request!r}, route={self.route.name!r}, runs={self.possible_runs})"

    @property
    def resume_after(self) -> str:
        """The id of the last event that the caller has, empty for none."""
        return self._cutter.last_id

    @property
    def response_started(self) -> bool:
        """Whether a part of the answer has been sent to the caller."""
        return self.incoming.head_sent

    def start_attempt(self, state: EndpointState) -> ResponseReceiver:
        """Begin an order at an endpoint; `set_outbound` follows."""
        now = self._owner.reactor.seconds()
        attempt = _Attempt(self, state)
        attempt.heard_at = attempt.sent_at = now
        attempt.predicted = state.predict_start(self.size, now)
        self._attempt = attempt
        self.tried.add(state.record.endpoint)
        self.possible_runs += 1
        self.send_count += 1
        state.note_sent(self.request, self.size, now)
        return attempt

    def set_outbound(self, order: Any) -> None:
        """Keep the handle by which the order is cancelled."""
        self._order = order
        if self.ended or self._attempt is None:
            order.cancel()

    def check_stall(self, now: float) -> None:
        """Go on elsewhere where the endpoint of a resumable stream has fallen silent."""
        attempt = self._attempt
        if attempt is None or not self._streams or not self.route.resumable:
            return
        if attempt.head is None or now - attempt.heard_at < SILENCE_SECONDS:
            return
        if self.possible_runs >= self.route.attempts:
            return
        self._cancel_order()
        attempt.state.note_unreachable(self.request, now)
        self._retry(attempt, f"no event for {now - attempt.heard_at:.1f} s")

    def withdraw_outdated(self, least: int, now: float) -> None:
        """Take back an order that has not begun where its endpoint's version is too old by now."""
        attempt = self._attempt
        if attempt is None or attempt.begun:
            return
        version = attempt.state.record.versions.get(self.admission.head.model)
        if version is None or version >= least:
            return
        self._cancel_order()
        self._retry(attempt, f"version {version} may answer no more")

    def take_head(self, attempt: _Attempt, head: ResponseHead) -> None:
        """Take the head of an answer."""
        now = self._owner.reactor.seconds()
        attempt.heard_at = now
        attempt.state.note_begun(self.request, head.load, now)
        if head.not_run or head.status == MISDIRECTED:
            self._take_not_run(attempt, head, now)
            return
        if not head.succeeded or not self._streams:
            return
        if not head.sealed or head.encoded:
            self._fail_attempt(attempt, "a success that is not the endpoint's own answer", now)
            return
        if not self.response_started:
            self.version = head.version
            self.incoming.send_head(head.status, head.passed)

    def take_data(self, attempt: _Attempt, data: bytes) -> None:
        """Take bytes of an answer's body."""
        attempt.heard_at = self._owner.reactor.seconds()
        if not attempt.begun:
            attempt.begun = True
            self._owner.record_response_start(attempt.predicted, attempt.heard_at - attempt.sent_at)
        head = attempt.head
        assert head is not None
        if self._streams and head.succeeded:
            whole = self._cutter.feed(data)
            if whole:
                self.incoming.write(whole)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > MAX_HELD_BYTES and head.sealed:
            self._pass_held(head)

    def take_end(self, attempt: _Attempt) -> None:
        """Take the end of a complete answer."""
        now = self._owner.reactor.seconds()
        head = attempt.head
        assert head is not None
        if head.not_run or head.status == MISDIRECTED:
            return
        if self._streams and head.succeeded:
            if not self._cutter.at_event_boundary:
                self._fail_attempt(attempt, "the stream ended within an event", now)
                return
            attempt.state.note_done(self.request, now)
            self._close("complete")
            self.incoming.finish()
            return
        if head.status >= 500 and self._may_run_again():
            attempt.state.note_failed(self.request, now)
            self._retry(attempt, f"status {head.status}", keep_answer=True)
            return
        if head.succeeded and (not head.sealed or head.encoded):
            self._fail_attempt(attempt, "a success that is not the endpoint's own answer", now)
            return
        if head.status in PROMISES:
            self._fail_attempt(attempt, f"status {head.status} that may have run", now)
            return
        if head.succeeded:
            attempt.state.note_done(self.request, now)
        else:
            attempt.state.note_failed(self.request, now)
        self._close(f"status {head.status}")
        self._answer_held(head)

    def take_failure(self, attempt: _Attempt, reason: str, sent: bool) -> None:
        """Take the loss of an order."""
        now = self._owner.reactor.seconds()
        if not sent:
            self.possible_runs -= 1
            self.tried.discard(attempt.state.record.endpoint)
        attempt.state.note_unreachable(self.request, now)
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

    def _take_not_run(self, attempt: _Attempt, head: ResponseHead, now: float) -> None:
        """The endpoint says that it has not run the order, so another may be asked."""
        self.possible_runs -= 1
        self._cancel_order(keep=True)
        if head.status == MISDIRECTED:
            attempt.state.note_misdirected(self.request, now)
        else:
            attempt.state.note_full(self.request, now)
        self._retry(attempt, f"not run, status {head.status}")

    def _fail_attempt(self, attempt: _Attempt, reason: str, now: float) -> None:
        self._cancel_order()
        attempt.state.note_failed(self.request, now)
        self._retry(attempt, reason)

    def _may_run_again(self) -> bool:
        return self.route.retryable and self.possible_runs < self.route.attempts

    def _retry(self, attempt: _Attempt, reason: str, keep_answer: bool = False) -> None:
        """Ask another endpoint where the request may run again or has not run; else end it."""
        attempt.open = False
        self._attempt = None
        held, self._held, self._held_bytes = self._held, [], 0
        self._cutter.discard_partial()
        allowed = self.possible_runs <= 0 or self._may_run_again()
        again = allowed and self._owner.reschedule(self)
        logger.info(
            "order failed",
            extra={
                "request": self.request,
                "endpoint": attempt.state.record.endpoint,
                "cause": reason,
                "runs": self.possible_runs,
                "again": again,
            },
        )
        if again or self.ended:
            return
        if keep_answer and attempt.head is not None:
            self._held = held
            self._close(f"status {attempt.head.status}")
            self._answer_held(attempt.head)
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

    def _answer_held(self, head: ResponseHead) -> None:
        if self.response_started:
            self._pass_held(head)
            self.incoming.finish()
            return
        self.incoming.respond(head.status, head.passed, b"".join(self._held))

    def _pass_held(self, head: ResponseHead) -> None:
        if not self.response_started:
            self.incoming.send_head(head.status, head.passed)
        for data in self._held:
            self.incoming.write(data)
        self._held = []
        self._held_bytes = 0

    def _end_late(self) -> None:
        """The deadline or the route's timeout has passed."""
        if self._attempt is not None and not self._order.sent:
            self.possible_runs -= 1
        self._cancel_order()
        self._close("deadline")
        if self.response_started:
            self.incoming.abort()
        elif self.possible_runs > 0:
            self._owner.send_refusal(self, Unknown("the deadline has passed", status=504))
        else:
            self._owner.send_refusal(self, NotRun("the deadline has passed", retry_after=0.0))

    def _drop(self) -> None:
        """The caller is gone: nothing of the request goes on."""
        if not self.ended:
            self._cancel_order()
            self._close("caller gone")

    def _cancel_order(self, keep: bool = False) -> None:
        attempt, order = self._attempt, self._order
        if attempt is not None:
            attempt.open = False
            attempt.state.note_dropped(self.request)
        self._attempt = None
        self._order = None
        if order is not None and not keep:
            order.cancel()

    def _close(self, outcome: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._attempt = None
        if self._deadline.active():
            self._deadline.cancel()
        self._owner.record_end(self, outcome)


def _measure_size(admission: Admission, service: ServiceSpec) -> WorkSize:
    """Return what the request asks of an engine; the usual where the caller told nothing."""
    if service.engine is None:
        return WorkSize()
    head = admission.head
    prompt = head.prompt_tokens or int(service.engine.typical_prompt)
    answer = head.answer_hint or head.answer_tokens or int(service.engine.typical_answer)
    return WorkSize(prompt, answer)
