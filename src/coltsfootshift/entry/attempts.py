"""Runs an admitted request to its outcome, with retries and voiding of tickets."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from coltsfootshift.controllers.quarantine import Standing
from coltsfootshift.entry.answers import AnswerSink, AttemptReader
from coltsfootshift.entry.dispatch import Dispatcher
from coltsfootshift.entry.suspects import SuspectSharing
from coltsfootshift.entry.work import EndpointGoneError, WorkTask
from coltsfootshift.filters.base import Exchange
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import AnswerEnd, Submit
from coltsfootshift.metrics import Metrics
from coltsfootshift.outcomes import Complete, NotRun, Outcome, Unknown
from coltsfootshift.statuses import is_final_status
from coltsfootshift.tickets import ParsedTicket, TicketError

__all__ = ["RequestRunner"]

RETRY_DELAY_SECONDS = 0.1
VOID_TIMEOUT_SECONDS = 1.0
MAX_ATTEMPTS = 16
WINDOW_BYTES = 131_072  # limit on bytes sent by an agent but not yet consumed by the caller
STATUS_OK = 200
STATUS_INCOMPLETE = 502
STATUS_UNKNOWN = 504
STATUS_QUARANTINED = 422


class RequestRunner:
    """Runs admitted requests at agents.

    An idempotent request is retried, preferably at another endpoint, if its attempt fails. Once
    bytes of the answer have been sent, a retry resumes the answer and must use the same weights.

    A request with a ticket is sent only to the agent that issued the ticket. That agent runs a
    ticket once and records the answer, so a lost attempt can safely be sent to it again. If the
    deadline passes without an answer, the ticket is voided.

    That the issuer was replaced is known only from an answer of the agent that replaced it. An idle
    stream may still be open, its peer having ended unnoticed before the issuer started.
    """

    def __init__(
        self,
        reactor: Any,
        work: WorkTask,
        dispatcher: Dispatcher,
        suspects: SuspectSharing,
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._suspects = suspects
        self._work = work
        self._dispatcher = dispatcher
        self._metrics = metrics

    async def run(self, exchange: Exchange, sink: AnswerSink) -> Outcome:
        """Return the outcome of a request that the filter chain has admitted."""
        if exchange.idempotent:
            return await self._run_idempotent(exchange, sink)
        return await self._run_ticket(exchange, sink)

    async def _run_idempotent(self, exchange: Exchange, sink: AnswerSink) -> Outcome:
        assert exchange.service_entry is not None
        budget = self._dispatcher.get_budget(exchange.service)
        budget.record_first_try(exchange.service_entry.limits.retry_share)
        reason = "deadline has passed"
        may_have_run = False
        while self._seconds_left(exchange) > 0 and exchange.count_runs() < MAX_ATTEMPTS:
            if exchange.refused_suspect:
                await self._sleep(RETRY_DELAY_SECONDS)
            elif exchange.attempts and not budget.try_spend():
                self._metrics.count("retries_over_budget")
                await self._sleep(RETRY_DELAY_SECONDS)
                continue
            assigned = await self._dispatcher.acquire(exchange, self._get_required_digest(sink))
            if isinstance(assigned, NotRun):
                if not may_have_run and not sink.sent:
                    return assigned
                reason = assigned.reason
                break
            self._metrics.count("retries" if exchange.attempts else "first_tries")
            reader = AttemptReader(sink, sink.sent, expected_digest=sink.digest)
            end = await self._attempt(exchange, assigned, reader)
            if end is not None and end.outcome == "complete":
                return _make_outcome(end)
            if reader.sent:
                may_have_run = may_have_run or end is None or end.outcome != "not_run"
            reason = end.reason if end is not None else reader.loss_reason
            if self._suspects.find_standing(exchange) is Standing.QUARANTINED:
                return Unknown("endpoints crashed while it ran", status=STATUS_QUARANTINED)
            if sink.sent and not sink.digest:
                break
            if sink.sent:
                self._metrics.count("resumes")
        if sink.sent:
            return Unknown(f"the answer was cut: {reason}", status=STATUS_INCOMPLETE)
        if may_have_run:
            return Unknown(f"no attempt gave an answer: {reason}")
        return NotRun(reason)

    async def _run_ticket(self, exchange: Exchange, sink: AnswerSink) -> Outcome:
        try:
            parsed = ParsedTicket.parse(exchange.ticket)
        except TicketError as error:
            return NotRun(str(error), status=428, retry=False)
        while self._seconds_left(exchange) > 0:
            incarnation = self._work.find_incarnation(parsed.instance)
            if incarnation is None:
                self._work.keep_connected(parsed.instance)
                await self._sleep(RETRY_DELAY_SECONDS)
                continue
            reader = AttemptReader(sink, 0, expected_digest="")
            replaced = incarnation != parsed.incarnation
            end = await self._attempt(exchange, parsed.instance, reader, replaced)
            if end is not None and replaced:
                return Unknown("the agent that issued the ticket was replaced")
            if end is not None:
                return _make_outcome(end)
            self._metrics.count("ticket_repeats")
        return await self._void_ticket(exchange, parsed)

    async def _void_ticket(self, exchange: Exchange, parsed: ParsedTicket) -> Outcome:
        """Void the ticket, so that `not_run` is returned only for work that will never run."""
        deferred = self._work.void_ticket(parsed.instance, exchange.request, exchange.ticket)
        deferred.addTimeout(VOID_TIMEOUT_SECONDS, self._reactor)
        try:
            settled = await deferred
        except Exception:
            return Unknown("the agent did not confirm that the work was not run")
        if settled.outcome == "not_run":
            return NotRun("deadline has passed; the ticket is void", status=504, retry=False)
        return Unknown(f"the ticket is {settled.outcome}; repeat with it to get the answer")

    async def _attempt(
        self,
        exchange: Exchange,
        instance: InstanceId,
        reader: AttemptReader,
        issuer_replaced: bool = False,
    ) -> AnswerEnd | None:
        """Send one attempt and return its end, or None if it was lost or could not be sent.

        With `issuer_replaced`, the agent answers for a ticket that it has not issued, which tells
        nothing of its endpoint.

        The attempt is cancelled at the agent if this returns before its end, for example because
        the caller has disconnected.
        """
        exchange.attempts += 1
        now = self._reactor.seconds()
        choice = self._work.endpoints.describe_choice(instance, now)
        exchange.trace.add_step(now, "attempt", f"sent to {instance}: {choice}")
        exchange.tried.append(instance)
        number = exchange.attempts
        reader.grant_credit = lambda amount: self._work.grant_credit(
            instance, exchange.request, number, amount
        )
        try:
            self._work.start(instance, self._make_submit(exchange, number, reader), reader)
        except EndpointGoneError as error:
            reader.loss_reason = str(error)
            exchange.trace.add_step(now, "attempt", f"not sent to {instance}: {error}")
            return None
        reader.sent = True
        seconds = max(0.0, self._seconds_left(exchange))
        timer = self._reactor.callLater(seconds, reader.attempt_lost, "deadline has passed")
        started_at = self._reactor.seconds()
        try:
            end = await reader.done
            text = (
                f"{end.outcome} {end.reason}" if end is not None else f"lost: {reader.loss_reason}"
            )
            exchange.trace.add_step(self._reactor.seconds(), "attempt", f"{instance} ended {text}")
            if end is None or not issuer_replaced:
                await self._record_end(exchange, instance, end, started_at)
            return end
        finally:
            reader.close()
            if timer.active():
                timer.cancel()
            self._work.cancel(instance, exchange.request, number)

    async def _record_end(
        self, exchange: Exchange, instance: InstanceId, end: AnswerEnd | None, started_at: float
    ) -> None:
        """Record the result of an attempt in the endpoint table, dispatcher and quarantine."""
        now = self._reactor.seconds()
        endpoints = self._work.endpoints
        exchange.refused_suspect = end is not None and end.refused_suspect
        exchange.suspect_refusals += exchange.refused_suspect
        if end is not None and end.outcome == "complete":
            endpoints.record_success(instance)
            self._dispatcher.record_served(exchange.service, now - started_at)
            self._suspects.record_served(exchange)
            return
        if end is not None and end.crash:
            await self._suspects.record_crash(exchange, end.crash)
        if self._seconds_left(exchange) > 0 and not exchange.refused_suspect:
            endpoints.record_failure(instance, now)

    def _make_submit(self, exchange: Exchange, number: int, reader: AttemptReader) -> Submit:
        return Submit(
            request=exchange.request,
            attempt=number,
            service=exchange.service,
            operation=exchange.operation,
            team=exchange.team,
            priority=exchange.priority,
            idempotent=exchange.idempotent,
            ticket=exchange.ticket,
            remaining=self._seconds_left(exchange),
            sent_at=self._reactor.seconds(),
            body=exchange.body,
            window=WINDOW_BYTES,
            resume_from=reader.offset,
            digest=reader.expected_digest,
            suspect=self._suspects.find_standing(exchange) is Standing.SUSPECT,
        )

    def _get_required_digest(self, sink: AnswerSink) -> str:
        return sink.digest if sink.sent else ""

    def _seconds_left(self, exchange: Exchange) -> float:
        return exchange.deadline - self._reactor.seconds()

    def _sleep(self, seconds: float) -> Deferred[None]:
        deferred: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, _fire, deferred)
        return deferred


def _fire(deferred: Deferred[None]) -> None:
    if not deferred.called:
        deferred.callback(None)


def _make_outcome(end: AnswerEnd) -> Outcome:
    if not is_final_status(end.status):
        reason = f"the agent named the undefined status {end.status}"
        return Unknown(reason, status=STATUS_INCOMPLETE)
    if end.outcome == "complete":
        return Complete(digest=end.digest, status=end.status)
    if end.outcome != "not_run":
        status = STATUS_UNKNOWN if end.status == STATUS_OK else end.status
        return Unknown(end.reason, status=status)
    if end.status == STATUS_OK:
        return NotRun(end.reason)
    return NotRun(end.reason, status=end.status, retry=False)
