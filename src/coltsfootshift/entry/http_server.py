"""The HTTP server for callers: directory, tickets and requests."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from typing import Any

from klein import Klein
from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from coltsfootshift.decisions import DecisionLog
from coltsfootshift.entry.answers import AnswerSink
from coltsfootshift.entry.attempts import RequestRunner
from coltsfootshift.entry.directory import DirectoryHandler
from coltsfootshift.entry.work import EndpointGoneError, WorkTask
from coltsfootshift.filters.base import Exchange, FilterChain
from coltsfootshift.ids import InstanceId, TicketId, make_request_id
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import TicketIssued
from coltsfootshift.metrics import Metrics
from coltsfootshift.outcomes import Complete, NotRun, Outcome, Unknown
from coltsfootshift.request_bodies import MAX_BODY_BYTES, make_site
from coltsfootshift.tickets import ParsedTicket, TicketError

__all__ = ["CallerHttpServer"]

TICKET_TIMEOUT_SECONDS = 2.0
MAX_TICKET_ATTEMPTS = 3
MAX_REQUEST_ID_CHARACTERS = 128
NDJSON = "application/x-ndjson"

logger = get_logger("entry.door")


class _CallerSink(AnswerSink):
    """Writes answer bytes to a caller's connection; the first write also sends the headers.

    Bytes written while the connection's send buffer is full count as consumed only once the
    buffer has drained.
    """

    def __init__(self, request: Any, request_id: str) -> None:
        super().__init__()
        self._request = request
        self._request_id = request_id
        self._full = False
        self._unreported_bytes = 0
        self._registered = False

    def write(self, payload: bytes) -> None:
        """Write a batch of bytes to the caller."""
        if not self.started:
            self._request.setHeader("Content-Type", NDJSON)
            self._request.setHeader("Coltsfootshift-Request", self._request_id)
            self._request.registerProducer(self, True)
            self._registered = True
        self.sent += len(payload)
        self._unreported_bytes += len(payload)
        self._request.write(payload)
        self._report_consumed()

    def close(self) -> None:
        """Unregister as producer; called before the last line of the answer is written."""
        if self._registered:
            self._registered = False
            self._request.unregisterProducer()

    def pauseProducing(self) -> None:
        """Stop reporting bytes as consumed: the send buffer is full."""
        self._full = True

    def resumeProducing(self) -> None:
        """Report the bytes written in the meantime: the send buffer has drained."""
        self._full = False
        self._report_consumed()

    def stopProducing(self) -> None:
        """Mark the producer as unregistered: the connection has closed."""
        self._registered = False

    def _report_consumed(self) -> None:
        if self._full:
            return
        amount, self._unreported_bytes = self._unreported_bytes, 0
        self.on_consumed(amount)


class CallerHttpServer:
    """Serves callers over HTTP.

    An answer is a stream of JSON lines. The last line contains the outcome, so that callers can
    tell a truncated answer from a complete one.
    """

    def __init__(
        self,
        reactor: Any,
        chain: FilterChain,
        ticket_chain: FilterChain,
        runner: RequestRunner,
        work: WorkTask,
        metrics: Metrics,
        directory: DirectoryHandler,
        is_ready: Callable[[], bool],
        decisions: DecisionLog,
    ) -> None:
        self._reactor = reactor
        self._chain = chain
        self._ticket_chain = ticket_chain
        self._runner = runner
        self._work = work
        self._metrics = metrics
        self._is_ready = is_ready
        self._decisions = decisions
        self.leaving = False
        self.in_progress = 0
        self._running: set[Deferred[Outcome]] = set()
        self._stopping = False
        self.app = Klein()
        self.app.route("/directory", methods=["GET"])(directory.handle_request)
        self.app.route("/v1/services/<service>/requests", methods=["POST"])(self._handle_request)
        self.app.route("/v1/services/<service>/tickets", methods=["POST"])(self._handle_ticket)
        self.app.route("/v1/tickets/<ticket>", methods=["DELETE"])(self._handle_void)

    def listen(self, host: str, port: int) -> Any:
        """Listen on a TCP port and return the port object."""
        return self._reactor.listenTCP(port, make_site(self.app), interface=host)

    def end_unfinished(self) -> None:
        """End the requests in progress: as not run if no agent was sent them, else as unknown."""
        self._stopping = True
        for running in list(self._running):
            running.cancel()

    async def _handle_request(self, request: Any, service: str) -> bytes:
        exchange = self._parse_exchange(request, service)
        if isinstance(exchange, NotRun):
            return self._finish_answer(request, "", None, self._resolve_refusal(request, exchange))
        exchange.trace.request = request.getHeader("Coltsfootshift-Request") or exchange.request
        refusal = self._check_accepting()
        if refusal is None:
            refusal = self._chain.admit(exchange, self._reactor.seconds())
        if refusal is not None:
            return self._end_request(
                request, exchange, None, self._resolve_refusal(request, refusal)
            )
        sink = _CallerSink(request, exchange.trace.request)
        outcome = await self._run(exchange, sink)
        sink.close()
        return self._end_request(request, exchange, sink, outcome)

    def _resolve_refusal(self, request: Any, refusal: NotRun) -> Outcome:
        """Return the outcome of a request that this entry refuses.

        For a request with a ticket this is `unknown` rather than `not_run`, because another entry
        may already have sent it to the agent.
        """
        ticket = request.getHeader("Coltsfootshift-Ticket") or ""
        if not ParsedTicket.is_valid(ticket):
            return refusal
        if refusal.retry:
            request.setHeader("Retry-After", f"{max(1, round(refusal.retry_after))}")
        reason = f"not sent by this entry: {refusal.reason}; repeat with the same ticket"
        return Unknown(reason, status=refusal.status)

    async def _run(self, exchange: Exchange, sink: AnswerSink) -> Outcome:
        """Run an admitted request; cancellation and unexpected errors also give an outcome."""
        self.in_progress += 1
        outcome: Outcome = Unknown("internal error", status=500)
        running = Deferred.fromCoroutine(self._runner.run(exchange, sink))
        self._running.add(running)
        try:
            outcome = await running
        except CancelledError:
            outcome = self._make_cancelled_outcome(exchange)
        except Exception:
            self._metrics.count("internal_errors")
            logger.exception("unexpected error while running a request")
        finally:
            self._running.discard(running)
            self.in_progress -= 1
            now = self._reactor.seconds()
            self._chain.release(exchange, outcome, now)
            self._metrics.observe("request_seconds", now - exchange.arrived_at)
        return outcome

    def _make_cancelled_outcome(self, exchange: Exchange) -> Outcome:
        if not self._stopping:
            self._metrics.count("callers_gone")
            return Unknown("the caller has gone")
        if exchange.attempts or exchange.ticket:
            return Unknown("this entry has stopped")
        return NotRun("this entry has stopped")

    async def _handle_ticket(self, request: Any, service: str) -> bytes:
        exchange = self._parse_exchange(request, service)
        if isinstance(exchange, NotRun):
            return self._finish_answer(request, "", None, exchange)
        refusal = self._check_accepting()
        if refusal is None:
            refusal = self._ticket_chain.admit(exchange, self._reactor.seconds())
        if refusal is not None:
            return self._finish_answer(request, "", None, refusal)
        tried: list[InstanceId] = []
        for _ in range(MAX_TICKET_ATTEMPTS):
            instance = self._work.choose_for_ticket(service, tried)
            if instance is None:
                break
            tried.append(instance)
            issued = await self._request_ticket(instance, service, exchange.team)
            if issued is None:
                continue
            request.setResponseCode(201)
            request.setHeader("Content-Type", "application/json")
            return _encode_line({"ticket": issued.ticket, "lifetime_seconds": issued.lifetime})
        reason = "no endpoint gave a ticket" if tried else "no endpoint is available"
        return self._finish_answer(request, "", None, NotRun(reason))

    async def _request_ticket(
        self, instance: InstanceId, service: str, team: str
    ) -> TicketIssued | None:
        deferred = self._work.issue_ticket(instance, make_request_id(), service, team)
        deferred.addTimeout(TICKET_TIMEOUT_SECONDS, self._reactor)
        try:
            issued = await deferred
        except (EndpointGoneError, TimeoutError):
            return None
        return issued if issued.ticket else None

    async def _handle_void(self, request: Any, ticket: str) -> bytes:
        try:
            parsed = ParsedTicket.parse(ticket)
        except TicketError as error:
            return self._finish_answer(
                request, "", None, NotRun(str(error), status=400, retry=False)
            )
        deferred = self._work.void_ticket(parsed.instance, make_request_id(), ticket)
        deferred.addTimeout(TICKET_TIMEOUT_SECONDS, self._reactor)
        try:
            settled = await deferred
        except (EndpointGoneError, TimeoutError):
            return self._finish_answer(request, "", None, Unknown("the agent did not answer"))
        if settled.outcome == "not_run":
            return self._finish_answer(request, "", None, NotRun("void", status=200, retry=False))
        if settled.outcome == "complete":
            return self._finish_answer(request, "", None, Complete())
        return self._finish_answer(request, "", None, Unknown(f"the ticket is {settled.outcome}"))

    def _check_accepting(self) -> NotRun | None:
        """Return a refusal if this entry accepts no requests at present, otherwise None."""
        if self.leaving:
            return NotRun("this entry is leaving")
        if not self._is_ready():
            return NotRun("this entry has not caught up with its peers yet")
        return None

    def _parse_exchange(self, request: Any, service: str) -> Exchange | NotRun:
        request_id = request.getHeader("Coltsfootshift-Request") or ""
        if len(request_id) > MAX_REQUEST_ID_CHARACTERS:
            reason = f"request id of more than {MAX_REQUEST_ID_CHARACTERS} characters"
            return NotRun(reason, status=400, retry=False)
        body = request.content.read(MAX_BODY_BYTES + 1)
        deadline = request.getHeader("Coltsfootshift-Deadline-Seconds")
        try:
            seconds = _parse_seconds(deadline) if deadline else None
        except ValueError:
            reason = f"deadline {deadline!r} is not a number of seconds above 0"
            return NotRun(reason, status=400, retry=False)
        return Exchange(
            request=make_request_id(),
            service=service,
            operation=request.getHeader("Coltsfootshift-Operation") or "",
            team=request.getHeader("Coltsfootshift-Team") or "",
            requested_class=request.getHeader("Coltsfootshift-Class") or "standard",
            body=body,
            arrived_at=self._reactor.seconds(),
            deadline_seconds=seconds,
            ticket=TicketId(request.getHeader("Coltsfootshift-Ticket") or ""),
        )

    def _end_request(
        self, request: Any, exchange: Exchange, sink: _CallerSink | None, outcome: Outcome
    ) -> bytes:
        """Store the decision trace of the request and return the last line of the answer."""
        text = outcome.name.value
        if not isinstance(outcome, Complete):
            text = f"{text}: {outcome.reason}"
        exchange.trace.add_step(self._reactor.seconds(), "outcome", text)
        self._decisions.add(exchange.trace, complete=isinstance(outcome, Complete))
        return self._finish_answer(request, exchange.trace.request, sink, outcome)

    def _finish_answer(
        self, request: Any, request_id: str, sink: _CallerSink | None, outcome: Outcome
    ) -> bytes:
        self._metrics.count(f"outcome_{outcome.name.value}")
        if sink is None or not sink.started:
            request.setResponseCode(outcome.status)
            request.setHeader("Content-Type", NDJSON)
            request.setHeader("Coltsfootshift-Outcome", outcome.name.value)
        if isinstance(outcome, NotRun) and outcome.retry:
            request.setHeader("Retry-After", f"{max(1, round(outcome.retry_after))}")
        return _encode_line({"request": request_id, **_make_outcome_row(outcome)})


def _parse_seconds(text: str) -> float:
    seconds = float(text)
    if not isfinite(seconds) or seconds <= 0:
        raise ValueError(text)
    return seconds


def _make_outcome_row(outcome: Outcome) -> dict[str, Any]:
    row: dict[str, Any] = {"outcome": outcome.name.value}
    if isinstance(outcome, Complete):
        row["digest"] = outcome.digest
        return row
    row["reason"] = outcome.reason
    if isinstance(outcome, NotRun):
        row["retry"] = outcome.retry
        row["retry_after"] = round(outcome.retry_after, 3)
    return row


def _encode_line(row: dict[str, Any]) -> bytes:
    return json.dumps(row).encode() + b"\n"
