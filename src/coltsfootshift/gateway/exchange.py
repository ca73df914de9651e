"""The life cycle of an admitted request: attempts, retries, stream resumption, cancellation."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, TypeVar

from coltsfootshift.gateway.callers import IncomingRequest
from coltsfootshift.gateway.calls import ResponseHead
from coltsfootshift.gateway.checks import Admission
from coltsfootshift.gateway.events import EventStreamBuffer
from coltsfootshift.gateway.holding import HeldBody, HeldBytes
from coltsfootshift.gateway.homes import RequestHomes
from coltsfootshift.gateway.links import ResponseReceiver
from coltsfootshift.gateway.model import Route, RouteKind, ServiceSpec
from coltsfootshift.gateway.placement import EndpointState, WorkSize
from coltsfootshift.ids import InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.outcomes import NotRun, Unknown

__all__ = ["Exchange", "ExchangeOwner"]

MAX_BUFFERED_BYTES = 1024 * 1024  # a longer response is forwarded as it arrives
# A sound endpoint may be silent for 1.5 s and needs some scheduler passes to go on. Callers abandon
# a stream that has no event for 2 s or more.
STALL_SECONDS = 1.75
# More than the pauses between events that callers accept; new requests go elsewhere from then on.
SUSPECT_SECONDS = 0.5
# An engine that ends under a request does so within two scheduler passes, of up to 0.1 s each.
SURVIVAL_SECONDS = 0.5
SURVIVAL_EVENTS = 4
# Endpoints cut off a response that remains unread for some seconds.
UNREAD_SECONDS = 1.0
STATUS_MISDIRECTED = 421
# Callers rely on these statuses as a guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Result = TypeVar("Result")

logger = get_logger("gateway.exchange")


class ExchangeOwner(ABC):
    """Schedules the attempts of exchanges and sends the gateway's own responses.

    `held_bytes` counts what all exchanges hold of their responses.
    """

    reactor: Any
    held_bytes: HeldBytes

    @abstractmethod
    def reschedule(self, exchange: Exchange) -> bool:
        """Send or queue an exchange for another attempt; return False if none is possible."""

    @abstractmethod
    def reserve_place(self, exchange: Exchange) -> EndpointState | None:
        """Return another endpoint that takes an exchange now, and count the retry; else None."""

    @abstractmethod
    def send_attempt(self, exchange: Exchange, state: EndpointState) -> None:
        """Send an exchange to an endpoint."""

    @abstractmethod
    def draw_retry_after(self, exchange: Exchange) -> float:
        """Return after how many seconds the caller of a refused exchange should retry."""

    @abstractmethod
    def record_response_start(self, predicted: float, elapsed: float) -> None:
        """Record the time from sending to the start of a response body, in seconds."""

    @abstractmethod
    def record_limit(self, state: EndpointState, head: ResponseHead) -> None:
        """Record whether an endpoint names a limit in a response."""

    @abstractmethod
    def record_notices(self, state: EndpointState, head: ResponseHead) -> None:
        """Record what an endpoint states about itself in a response."""

    @abstractmethod
    def measure_silence(self, state: EndpointState) -> float | None:
        """Return the seconds since an endpoint last sent this process anything, None if never."""

    @abstractmethod
    def record_loss(self, exchange: Exchange, state: EndpointState, begun: bool) -> None:
        """Record that the connection of an attempt ended before its response was complete.

        `begun` is set if the endpoint may have ended because it had just begun the request.
        """

    @abstractmethod
    def record_unread_cut(self) -> None:
        """Record that an endpoint has ended a response that its slow caller left unread."""

    @abstractmethod
    def record_survival(self, exchange: Exchange, begun_at: float) -> None:
        """Record that an endpoint runs on after it began a request at `begun_at`, in seconds."""

    @abstractmethod
    def record_end(self, exchange: Exchange, outcome: str) -> None:
        """Record the end of an exchange; called once for each."""

    @abstractmethod
    def send_refusal(self, exchange: Exchange, outcome: NotRun | Unknown) -> None:
        """Respond to the caller that the request failed."""


class _Attempt(ResponseReceiver):
    """One attempt of an exchange at an endpoint; data that arrives after its end is dropped.

    A stream progresses with its head and with each complete event that carries something new, a
    plain response with all bytes. An attempt without a response is taken to progress until the
    response is expected. `unproductive_since` is when the first bytes arrived that have brought no
    progress so far. `unread_seconds` is for how long the response was left unread, since its caller
    was slow, and zero once the endpoint has gone on after that.
    """

    def __init__(self, exchange: Exchange, state: EndpointState) -> None:
        self.state = state
        self.is_first_there = state.record.endpoint not in exchange.tried
        self.active = True
        self.head: ResponseHead | None = None
        self.last_received_at = 0.0
        self.progressed_at = 0.0
        self.unproductive_since: float | None = None
        self.begun_at: float | None = None
        self.event_count = 0
        self.survived = False
        self.body_started = False
        self.sent_at = 0.0
        self.predicted_seconds = 0.0
        self.unread_seconds = 0.0
        self._exchange = exchange

    def has_survived(self, now: float) -> bool:
        """Whether the endpoint has run the request for long enough not to end under it."""
        if self.begun_at is None or self.event_count < SURVIVAL_EVENTS:
            return False
        return now - self.begun_at >= SURVIVAL_SECONDS

    def measure_unproductive(self) -> float:
        """Return for how many seconds bytes have been arriving without progress."""
        if self.unproductive_since is None:
            return 0.0
        return self.last_received_at - self.unproductive_since

    def record_progress(self, now: float) -> None:
        """Record that the response has progressed."""
        self.last_received_at = self.progressed_at = now
        self.unproductive_since = None

    def head_received(self, head: ResponseHead) -> None:
        if self.active:
            self.head = head
            self._exchange.guard(self._exchange.handle_head, self, head)

    def body_received(self, data: bytes) -> None:
        if self.active:
            self._exchange.guard(self._exchange.handle_data, self, data)

    def response_completed(self) -> None:
        if self.active:
            self._exchange.guard(self._exchange.handle_end, self)

    def attempt_failed(self, reason: str, sent: bool) -> None:
        if self.active:
            self._exchange.guard(self._exchange.handle_failure, self, reason, sent)


class Exchange:
    """An admitted request of a caller.

    `possible_runs` counts the attempts that may have run at an endpoint, `arrivals` those that may
    have reached one, and `send_count` all attempts. `spent_at` is when a retry was taken from the
    budget for what is dialled or queued now, None if none was.
    """

    def __init__(
        self, owner: ExchangeOwner, incoming: IncomingRequest, admission: Admission
    ) -> None:
        assert admission.route is not None and admission.service is not None
        self.incoming = incoming
        self.admission = admission
        self.route: Route = admission.route
        self.service: ServiceSpec = admission.service
        self.size = _measure_size(admission, self.service)
        self.request = admission.head.request
        self.homes = RequestHomes(admission)
        self.tried: set[InstanceId] = set()
        self.possible_runs = 0
        self.arrivals = 0
        self.send_count = 0
        self.spent_at: float | None = None
        self.version: int | None = None
        self.ended = False
        self.queue_entry: Any = None
        self._owner = owner
        self._outbound: Any = None
        self._attempt: _Attempt | None = None
        self._event_buffer = EventStreamBuffer(admission.head.resume_after)
        self._held = HeldBody(owner.held_bytes, MAX_BUFFERED_BYTES)
        # The head of a complete failure, whose body is held back until the retry is sent.
        self._failure: ResponseHead | None = None
        self._blocked = False
        self._blocked_at = 0.0
        self._unblocked_at = 0.0
        self._is_streaming = self.route.kind is RouteKind.STREAMING
        reactor = owner.reactor
        self._deadline_timer = reactor.callLater(
            max(0.0, admission.expires_at - reactor.seconds()), self.guard, self._on_deadline
        )
        incoming.on_disconnect = self._on_caller_disconnect
        incoming.on_blocked = self._on_caller_blocked
        incoming.on_unblocked = self._on_caller_unblocked

    def __repr__(self) -> str:
        return f"Exchange({self.request!r}, route={self.route.name!r}, runs={self.possible_runs})"

    @property
    def resume_after(self) -> str:
        """The id of the last event sent to the caller, empty if none was."""
        return self._event_buffer.last_id

    @property
    def attempted(self) -> EndpointState | None:
        """The endpoint of the attempt in progress, None if there is none."""
        return None if self._attempt is None else self._attempt.state

    @property
    def sent(self) -> bool:
        """Whether the attempt in progress may have left this process."""
        return self._outbound is not None and bool(self._outbound.sent)

    @property
    def response_started(self) -> bool:
        """Whether part of the response has been sent to the caller."""
        return self.incoming.head_sent

    @property
    def has_retry_claim(self) -> bool:
        """Whether its caller loses more than others do if it is not retried.

        The caller has part of the answer, or must not send the request again.
        """
        if self.response_started:
            return self.route.resumable
        return self.route.kind is RouteKind.NON_IDEMPOTENT

    @property
    def rest(self) -> WorkSize:
        """The expected size of what is left to run, if its answer goes on where it broke off.

        An answer is taken to be no longer than a typical one, whatever its caller expects: callers
        are often wrong, and a rest that is overestimated ends an answer that could be finished.
        """
        engine = self.service.engine
        if engine is None:
            return self.size
        answer_tokens = min(self.size.answer, int(engine.typical_answer))
        passed = engine.stride * self._event_buffer.event_count
        return WorkSize(self.size.prompt, max(0, answer_tokens - passed))

    def guard(self, handle: Callable[..., Result], *args: Any) -> Result | None:
        """Return the result of a function that handles this request, or None if it fails.

        The caller is then told at once: the events that a failed function has dealt with do not
        come again.
        """
        try:
            return handle(*args)
        except Exception:
            logger.exception("request not handled", extra={"request": self.request})
            self.incoming.fail()
            return None

    def start_attempt(self, state: EndpointState) -> ResponseReceiver:
        """Start an attempt at an endpoint; the owner then calls `set_outbound`."""
        now = self._owner.reactor.seconds()
        attempt = _Attempt(self, state)
        attempt.last_received_at = attempt.sent_at = now
        attempt.predicted_seconds = state.predict_start(self.size, now)
        attempt.progressed_at = now + attempt.predicted_seconds
        self._attempt = attempt
        if self._failure is not None:
            self._failure = None
            self._held.discard()
        self.tried.add(state.record.endpoint)
        self.possible_runs += 1
        self.arrivals += 1
        self.send_count += 1
        state.record_sent(self.request, self.size, now)
        return attempt

    def set_outbound(self, outbound: Any) -> None:
        """Store the handle that cancels the attempt."""
        self._outbound = outbound
        if self.ended or self._attempt is None:
            outbound.cancel()

    def check_stall(self, now: float) -> None:
        """Move a stalled request that may be repeated to another endpoint that takes it at once.

        Before that, its endpoint is suspected if it sends nothing else to this process either.
        Otherwise it waits until its endpoint goes on, another takes it or the deadline has passed.
        A stream ends as broken if its endpoint keeps sending bytes that complete no event.
        """
        attempt = self._attempt
        if attempt is None or self._blocked:
            return
        stalled_seconds = now - attempt.progressed_at
        if stalled_seconds < SUSPECT_SECONDS:
            return
        silent_seconds = self._owner.measure_silence(attempt.state)
        if silent_seconds is None or silent_seconds >= SUSPECT_SECONDS:
            attempt.state.suspect(now)
        if stalled_seconds < STALL_SECONDS:
            return
        reason = f"no progress for {stalled_seconds:.1f} s"
        if attempt.measure_unproductive() >= STALL_SECONDS:
            self._cancel_attempt()
            attempt.state.record_unreachable(self.request, attempt.last_received_at, now)
            self._retry(attempt, reason)
            return
        silent = silent_seconds is None or silent_seconds >= STALL_SECONDS
        if silent:
            attempt.state.record_silence(attempt.last_received_at, now)
        state = self._owner.reserve_place(self) if self._may_retry() else None
        if state is None:
            return
        self._cancel_attempt()
        if not silent:
            attempt.state.record_failure(self.request, now)
        self._discard_partial()
        self._log_failure(attempt, reason, retrying=True)
        self.spent_at = now
        self._owner.send_attempt(self, state)

    def withdraw_outdated(self, min_version: int, now: float) -> None:
        """Cancel an attempt that is not answered yet if its endpoint's version is too old."""
        attempt = self._attempt
        if attempt is None or attempt.head is not None:
            return
        version = attempt.state.record.versions.get(self.admission.head.model)
        if version is None or version >= min_version:
            return
        self._cancel_attempt()
        self._retry(attempt, f"version {version} may answer no more")

    def withdraw_unsent(self, reason: str) -> None:
        """Cancel an attempt that has not left this process, and try elsewhere.

        A retry that was taken from the budget for it is not lost.
        """
        attempt = self._attempt
        if attempt is None or self.sent:
            return
        self._cancel_attempt()
        self._retry(attempt, reason, withdrawn=True)

    def handle_head(self, attempt: _Attempt, head: ResponseHead) -> None:
        """Handle the head of a response."""
        now = self._owner.reactor.seconds()
        attempt.begun_at = now
        attempt.record_progress(now)
        attempt.state.record_response_start(self.request, head.load, now)
        self._owner.record_limit(attempt.state, head)
        if head.status != STATUS_MISDIRECTED:  # otherwise another endpoint may have answered
            self._owner.record_notices(attempt.state, head)
        if head.not_run or head.status == STATUS_MISDIRECTED:
            self._handle_not_run(attempt, head, now)
            return
        if head.succeeded and (not head.sealed or head.encoded):
            self._fail_attempt(attempt, "a success that is not the endpoint's own answer", now)
            return
        if head.status in NOT_RUN_STATUSES:
            self._fail_attempt(attempt, f"status {head.status} that may have run", now)
            return
        if self.response_started and not head.succeeded:
            self._fail_attempt(attempt, f"status {head.status} in place of the rest", now)
            return
        if head.succeeded and self._is_streaming and not self.response_started:
            self.version = head.version
            self.incoming.start_stream(head.status, head.forwarded_headers)

    def handle_data(self, attempt: _Attempt, data: bytes) -> None:
        """Handle bytes of a response body."""
        attempt.last_received_at = self._owner.reactor.seconds()
        if not self._blocked and attempt.last_received_at - self._unblocked_at >= UNREAD_SECONDS:
            attempt.unread_seconds = 0.0  # the endpoint goes on, so that it has not cut it off
        if not self._is_streaming:
            attempt.record_progress(attempt.last_received_at)
        elif attempt.unproductive_since is None:
            attempt.unproductive_since = attempt.last_received_at
        if not attempt.body_started:
            attempt.body_started = True
            self._owner.record_response_start(
                attempt.predicted_seconds, attempt.last_received_at - attempt.sent_at
            )
        head = attempt.head
        assert head is not None
        if head.succeeded:
            attempt.state.record_progress()
        if self._is_streaming and head.succeeded:
            event_count = self._event_buffer.event_count
            events = self._event_buffer.feed(data)
            attempt.event_count += self._event_buffer.event_count - event_count
            if self._event_buffer.event_count > event_count:
                attempt.record_progress(attempt.last_received_at)
            if not attempt.survived and attempt.has_survived(attempt.last_received_at):
                self._record_survival(attempt)
            if events:
                self.incoming.write(events)
                if self._blocked:
                    self._held.keep_unsent(len(events))
            if self._event_buffer.overlong:
                self._fail_attempt(attempt, "an event without end", attempt.last_received_at)
            return
        self._held.add(data)
        if not self._held.overlong and not self.response_started:
            return
        if head.sealed:
            self._pass_on_held(head)
        else:
            reason = f"status {head.status} with too long a body"
            self._fail_attempt(attempt, reason, attempt.last_received_at)

    def handle_end(self, attempt: _Attempt) -> None:
        """Handle the end of a complete response."""
        now = self._owner.reactor.seconds()
        head = attempt.head
        assert head is not None
        if head.not_run or head.status == STATUS_MISDIRECTED:
            return
        if not head.framed and self._was_left_unread(attempt):
            self._handle_unread_cut(attempt, "the connection ended")
            return
        if self._lacks_body(attempt, head):
            self._record_loss(attempt)
            self._fail_attempt(attempt, "the connection ended after the head", now)
            return
        if self._is_streaming and head.succeeded:
            if not self._event_buffer.at_event_boundary:
                self._record_loss(attempt)
                self._fail_attempt(attempt, "the stream ended within an event", now)
                return
            if head.framed:
                self._record_survival(attempt)
            attempt.state.record_success(self.request, now)
            self._close("complete")
            self.incoming.finish()
            return
        if head.framed:
            self._record_survival(attempt)
        if head.status >= 500 and self._may_retry():
            attempt.state.record_failure(self.request, now)
            self._retry(attempt, f"status {head.status}", keep_response=True)
            return
        if head.succeeded:
            attempt.state.record_success(self.request, now)
        else:
            attempt.state.record_failure(self.request, now)
        body = self._held.take()
        self._close(f"status {head.status}")
        self._send_rest(head, body)

    def handle_failure(self, attempt: _Attempt, reason: str, sent: bool) -> None:
        """Handle an attempt without a complete response."""
        now = self._owner.reactor.seconds()
        if self._was_left_unread(attempt):
            self._handle_unread_cut(attempt, reason)
            return
        if sent:
            self._record_loss(attempt)
        else:
            self._record_unsent(attempt)
        attempt.state.record_unreachable(self.request, attempt.last_received_at, now)
        self._retry(attempt, reason)

    def _was_left_unread(self, attempt: _Attempt) -> bool:
        """Return whether the endpoint may have cut off the response since its caller was slow."""
        if attempt.head is None:
            return False
        unread = attempt.unread_seconds
        if self._blocked:
            since = max(self._blocked_at, attempt.sent_at)
            unread = max(unread, self._owner.reactor.seconds() - since)
        return unread >= UNREAD_SECONDS

    def _handle_unread_cut(self, attempt: _Attempt, reason: str) -> None:
        """Handle a response that ended after it was left unread; it may not be complete.

        Even a connection that was closed cleanly shows no end then: the endpoint may have dropped
        what its socket did not take. It says nothing of the endpoint's health.
        """
        attempt.state.record_cancelled(self.request)
        self._owner.record_unread_cut()
        self._retry(attempt, f"{reason} after the caller left the response unread")

    def withdraw(self, outcome: NotRun) -> None:
        """End the exchange unless its response has begun, whose outcome is awaited."""
        attempt = self._attempt
        if self.response_started or (attempt is not None and attempt.head is not None):
            return
        self._cancel_attempt()
        self.refuse(outcome)

    def refuse(self, outcome: NotRun) -> None:
        """End the exchange; the outcome is unknown if an earlier attempt may have run."""
        if self.ended:
            return
        if self._failure is not None:
            self._send_failure(self._failure, outcome.reason)
            return
        self._close(outcome.reason)
        if self.response_started:
            self._break_off(outcome.reason)
        elif self.possible_runs:
            self._owner.send_refusal(self, Unknown(outcome.reason, status=502))
        else:
            self._owner.send_refusal(self, outcome)

    def _lacks_body(self, attempt: _Attempt, head: ResponseHead) -> bool:
        """Return whether a success ended with its connection before any of its body came."""
        if not head.succeeded or head.framed or attempt.body_started:
            return False
        return self.admission.head.method != b"HEAD"

    def _record_unsent(self, attempt: _Attempt) -> None:
        """Record that an attempt has ended before its request left this process."""
        self.possible_runs -= 1
        self.arrivals -= 1
        if attempt.is_first_there:
            self.tried.discard(attempt.state.record.endpoint)

    def _record_survival(self, attempt: _Attempt) -> None:
        if attempt.survived or attempt.begun_at is None:
            return
        attempt.survived = True
        self._owner.record_survival(self, attempt.begun_at)

    def _record_loss(self, attempt: _Attempt) -> None:
        # A plain service sends its head when it has run the request, an engine when it begins to.
        begun = attempt.head is not None or self.service.engine is None
        self._owner.record_loss(self, attempt.state, begun and not attempt.survived)

    def _handle_not_run(self, attempt: _Attempt, head: ResponseHead, now: float) -> None:
        """Retry after the endpoint has stated that it has not run the request."""
        self.possible_runs -= 1
        self._cancel_attempt(keep_connection=True)
        if head.status == STATUS_MISDIRECTED:
            attempt.state.record_misdirected(self.request, attempt.sent_at, now)
        else:
            attempt.state.record_full(self.request, now)
        self._retry(attempt, f"not run, status {head.status}")

    def _fail_attempt(self, attempt: _Attempt, reason: str, now: float) -> None:
        self._cancel_attempt()
        attempt.state.record_failure(self.request, now)
        self._retry(attempt, reason)

    def _may_retry(self) -> bool:
        """Return whether the request may run again; only a stream can continue a begun response."""
        if self.response_started and not (self._is_streaming and self._event_buffer.resumable):
            return False
        return self.route.retryable and self.possible_runs < self.route.attempts

    def _retry(
        self,
        attempt: _Attempt,
        reason: str,
        keep_response: bool = False,
        withdrawn: bool = False,
    ) -> None:
        """Retry at another endpoint if the request is retryable or has not run; else end it.

        With `keep_response`, the response that is held back, a failure, is sent to the caller
        unless there is a retry. It is kept until that is sent. An attempt that was `withdrawn` is
        made elsewhere by the same retry.
        """
        attempt.active = False
        if not withdrawn:
            self.spent_at = None
        self._attempt = None
        self._outbound = None
        if keep_response:
            self._failure = attempt.head
        else:
            self._discard_partial()
        allowed = self.possible_runs <= 0 or self._may_retry()
        retrying = allowed and self._owner.reschedule(self)
        self._log_failure(attempt, reason, retrying)
        if retrying or self.ended:
            return
        if self._failure is not None:
            self._send_failure(self._failure, reason)
            return
        self._close(reason)
        if self.response_started:
            self._break_off(reason)
        elif self.possible_runs > 0:
            self._owner.send_refusal(self, Unknown(reason, status=502))
        else:
            self._owner.send_refusal(
                self, NotRun(reason, retry_after=self._owner.draw_retry_after(self))
            )

    def _discard_partial(self) -> None:
        """Discard what was not sent to the caller."""
        self._held.discard()
        self._event_buffer.discard_partial()

    def _log_failure(self, attempt: _Attempt, reason: str, retrying: bool) -> None:
        begun_at = attempt.begun_at
        begun = None if begun_at is None else round(self._owner.reactor.seconds() - begun_at, 3)
        logger.info(
            "order failed",
            extra={
                "request": self.request,
                "endpoint": attempt.state.record.endpoint,
                "cause": reason,
                "silent": self._owner.measure_silence(attempt.state),
                "begun": begun,
                "events": attempt.event_count,
                "runs": self.possible_runs,
                "again": retrying,
            },
        )

    def _break_off(self, reason: str) -> None:
        """Reset the caller's connection, so that a begun response does not look complete."""
        now = self._owner.reactor.seconds()
        logger.info(
            "answer broken off",
            extra={
                "request": self.request,
                "cause": reason,
                "events": self._event_buffer.event_count,
                "connection_reused": self.incoming.connection_reused,
                "time_left": round(self.admission.expires_at - now, 3),
            },
        )
        self.incoming.break_off(reason)

    def _send_failure(self, head: ResponseHead, outcome: str) -> None:
        """End with the failure that an endpoint answered before the request was to run again."""
        body = self._held.take()
        self._close(outcome)
        self._send_rest(head, body)

    def _send_rest(self, head: ResponseHead, body: bytes) -> None:
        """End the response with what was held back of it."""
        if self.response_started:
            self.incoming.write(body)
            self.incoming.finish()
            return
        self.incoming.respond(head.status, head.forwarded_headers, body)

    def _pass_on_held(self, head: ResponseHead) -> None:
        """Send the caller what has been held back; from then on the body is sent as it arrives."""
        self._event_buffer.resumable = False  # the rest of a failure is no stream of events
        if not self.response_started:
            self.incoming.start_stream(head.status, head.forwarded_headers)
        data = self._held.take()
        self.incoming.write(data)
        if self._blocked:
            self._held.keep_unsent(len(data))

    def _on_deadline(self) -> None:
        """End the exchange when the caller's deadline or the route's timeout has passed."""
        self.give_up("the deadline has passed", "deadline")

    def give_up(self, reason: str, outcome: str = "") -> None:
        """End the exchange now: as not run if that is certain, else as unknown or broken off.

        `outcome` is the text of the log line, by default the reason.
        """
        if self.ended:
            return
        self._cancel_attempt()
        if self._failure is not None:
            self._send_failure(self._failure, outcome or reason)
            return
        self._close(outcome or reason)
        if self.response_started:
            self._break_off(reason)
        elif self.possible_runs > 0:
            self._owner.send_refusal(self, Unknown(reason, status=504))
        else:
            self._owner.send_refusal(self, NotRun(reason, retry_after=0.0))

    def _on_caller_disconnect(self, outcome: str) -> None:
        """Cancel everything in progress when the caller has disconnected, or after a fault."""
        if not self.ended:
            self._cancel_attempt()
            self._close(outcome)

    def _on_caller_blocked(self) -> None:
        """Let the rest of the response wait at the endpoint while the caller is slow."""
        if not self._blocked:
            self._blocked_at = self._owner.reactor.seconds()
        self._blocked = True
        if self._outbound is not None:
            self._outbound.pause()

    def _on_caller_unblocked(self) -> None:
        now = self._owner.reactor.seconds()
        attempt = self._attempt
        if attempt is not None:
            if self._blocked:
                unread = now - max(self._blocked_at, attempt.sent_at)
                attempt.unread_seconds = max(attempt.unread_seconds, unread)
            attempt.record_progress(now)
        self._blocked = False
        self._unblocked_at = now
        self._held.release_unsent()
        if self._outbound is not None:
            self._outbound.resume()

    def _cancel_attempt(self, keep_connection: bool = False) -> None:
        attempt, outbound = self._attempt, self._outbound
        if attempt is not None:
            attempt.active = False
            attempt.state.record_cancelled(self.request)
            if outbound is not None and not outbound.sent:
                self._record_unsent(attempt)
        self._attempt = None
        self._outbound = None
        if outbound is not None and keep_connection:
            outbound.drain()
        elif outbound is not None:
            outbound.cancel()

    def _close(self, outcome: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.admission.body = b""  # connections that are kept may refer to this exchange for long
        self._attempt = None
        self._held.discard()
        self._held.release_unsent()
        if self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._owner.record_end(self, outcome)


def _measure_size(admission: Admission, service: ServiceSpec) -> WorkSize:
    """Return the size of a request, with typical values where the caller gave none."""
    if service.engine is None:
        return WorkSize()
    head = admission.head
    prompt_tokens = head.prompt_tokens or int(service.engine.typical_prompt)
    typical_answer = int(service.engine.typical_answer)
    # The caller states the most tokens that it takes; few answers are as long.
    answer_tokens = head.answer_hint or min(head.answer_tokens or typical_answer, typical_answer)
    return WorkSize(prompt_tokens, answer_tokens)
