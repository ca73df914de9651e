"""The work task of an agent, the only task that sends requests to the endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from coltsfootshift.agent.crashes import CrashDetector
from coltsfootshift.agent.runs import NOT_RUN, UNKNOWN, Listener, Run, send_recorded_response
from coltsfootshift.controllers.load import MIN_REPORT_INTERVAL_SECONDS
from coltsfootshift.controllers.tickets import (
    TICKET_LIFETIME_SECONDS,
    Ticket,
    TicketLedger,
    TicketState,
    TicketUse,
)
from coltsfootshift.engines.base import (
    Endpoint,
    EndpointError,
    EndpointRequest,
    EndpointResponse,
    EndpointStatus,
)
from coltsfootshift.ids import Digest, Incarnation, InstanceId, RequestId, TicketId
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    Cancel,
    Credit,
    IssueTicket,
    Leaving,
    LoadReport,
    Message,
    Submit,
    TicketIssued,
    TicketSettled,
    VoidTicket,
)
from coltsfootshift.streams import PeerStream, StreamContext, StreamOwner
from coltsfootshift.tasks import Task

__all__ = ["AgentWorkTask"]

STATUS_INTERVAL_SECONDS = 0.25
REPORT_REPEAT_INTERVAL_SECONDS = 2.0
MAX_REQUEST_DELAY_SECONDS = 1.0
SUSPECT_RUNNING = "another suspect request is running here"
LEAVING_LINGER_SECONDS = 3.0
STATUS_TICKET_CONFLICT = 409

logger = get_logger("agent.work")


class AgentWorkTask(Task, StreamOwner):
    """Runs requests from entries at the endpoint and reports its load to them.

    A request that arrives after its deadline, or that was delayed because this process or the
    stream was paused, is refused before it starts. Refusing a request voids its ticket, so that a
    copy of the request received on another stream does not run either.
    """

    def __init__(
        self,
        context: StreamContext,
        endpoint: Endpoint,
        service: str,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        super().__init__(context.reactor)
        self.ledger = TicketLedger(instance, incarnation)
        self.status: EndpointStatus | None = None
        self.leaving = False
        self.on_status: Callable[[EndpointStatus], None] | None = None
        self.find_report_interval: Callable[[], float] = lambda: MIN_REPORT_INTERVAL_SECONDS
        self._context = context
        self._endpoint = endpoint
        self._service = service
        self._streams: list[PeerStream] = []
        self._runs: dict[tuple[str, int], Run] = {}
        self._report_count = 0
        self._last_reported: EndpointStatus | None = None
        self._reported_at = 0.0
        self._status_pending = False
        self._linger_until = 0.0
        self._crashes = CrashDetector(context.reactor, endpoint.read_status, instance, incarnation)
        self._loop = LoopingCall(self._read_status)
        self._loop.clock = context.reactor

    @property
    def unfinished(self) -> int:
        """The number of requests at the endpoint, plus one while the process lingers.

        A leaving process lingers to answer for voided tickets; see `stop_new_work`.
        """
        lingering = self.reactor.seconds() < self._linger_until
        return len(self._runs) + int(lingering)

    def start(self) -> None:
        """Start polling the endpoint's status."""
        self._loop.start(STATUS_INTERVAL_SECONDS)

    def stop_new_work(self) -> None:
        """Refuse new requests and announce this on every stream.

        Unused tickets become void. If there are any, the process lingers for a few seconds so that
        an entry that submits work under one of them learns that it was not run.
        """
        self.leaving = True
        now = self.reactor.seconds()
        if self.ledger.unused:
            self._linger_until = now + LEAVING_LINGER_SECONDS
            self.ledger.void_unused("the agent is leaving", now)
        for stream in self._streams:
            stream.send(Leaving())

    def handle(self, message: Any) -> None:
        """Raise `TypeError`: the work task accepts no messages from other tasks."""
        raise TypeError(f"unexpected message {message!r}")

    def stream_opened(self, stream: PeerStream) -> None:
        """Add the stream of an entry and send it the latest load report."""
        self._streams.append(stream)
        if self.leaving:
            stream.send(Leaving())
        if self.status is not None:
            stream.send(self._make_report(self.status))

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Handle a submitted request, a cancellation, a credit or a ticket message."""
        if isinstance(message, Submit):
            self._handle_submit(stream, message)
        elif isinstance(message, Cancel):
            self._handle_cancel(stream, message)
        elif isinstance(message, Credit):
            self._handle_credit(stream, message)
        elif isinstance(message, IssueTicket):
            self._issue_ticket(stream, message)
        elif isinstance(message, VoidTicket):
            state = self.ledger.void(TicketId(message.ticket), self.reactor.seconds())
            stream.send(TicketSettled(message.request, message.ticket, state.value))
        elif not isinstance(message, Leaving):
            stream.abort(f"sent {type(message).__name__} on a work stream")

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Cancel idempotent requests that have no listeners left."""
        if stream in self._streams:
            self._streams.remove(stream)
        for run in list(self._runs.values()):
            run.listeners = [item for item in run.listeners if item.stream is not stream]
            self._cancel_if_unneeded(run)

    def _handle_submit(self, stream: PeerStream, submit: Submit) -> None:
        listener = Listener(stream, submit.request, submit.attempt, submit.window)
        if submit.idempotent:
            self._start_or_refuse(listener, submit, None)
            return
        if not submit.ticket:
            listener.send_end(NOT_RUN, reason="non-idempotent work needs a ticket", status=428)
            return
        ticket = self.ledger.find(TicketId(submit.ticket), self.reactor.seconds())
        if ticket is None:
            reason = "the ticket is of another incarnation, or no longer kept"
            listener.send_end(UNKNOWN, reason=reason)
            return
        use = TicketUse.of(submit.service, submit.team, submit.operation, submit.body)
        if not self.ledger.bind(ticket, use):
            reason = "the ticket is bound to another request"
            listener.send_end(NOT_RUN, reason=reason, status=STATUS_TICKET_CONFLICT)
            return
        if ticket.state is TicketState.ISSUED:
            self._start_or_refuse(listener, submit, ticket)
            return
        self._answer_used_ticket(listener, ticket)

    def _start_or_refuse(self, listener: Listener, submit: Submit, ticket: Ticket | None) -> None:
        now = self.reactor.seconds()
        refusal = self._find_refusal(listener.stream, submit)
        if not refusal and submit.suspect and self._is_suspect_running():
            self._context.metrics.count("suspects_refused")
            if ticket is not None:
                self.ledger.void(ticket.ticket, now, SUSPECT_RUNNING)
            listener.send_end(NOT_RUN, reason=SUSPECT_RUNNING, refused_suspect=True)
            return
        if refusal:
            self._context.metrics.count("orders_refused")
            if ticket is not None:
                self.ledger.void(ticket.ticket, now, refusal)
            listener.send_end(NOT_RUN, reason=refusal)
            return
        if ticket is not None and not self.ledger.start(ticket.ticket, now):
            self._answer_used_ticket(listener, ticket)
            return
        self._run(listener, submit, ticket)

    def _find_refusal(self, stream: PeerStream, submit: Submit) -> str:
        if self.leaving:
            return "the agent is leaving"
        if submit.service != self._service:
            return f"this agent serves {self._service}"
        if stream.transit_delay >= submit.remaining:
            return "the order came after its deadline"
        if stream.transit_delay > MAX_REQUEST_DELAY_SECONDS:
            return "the order was held up"
        if self.status is not None and not self.status.serving:
            return "the endpoint is not serving"
        return ""

    def _is_suspect_running(self) -> bool:
        return any(run.suspect for run in self._runs.values())

    def _answer_used_ticket(self, listener: Listener, ticket: Ticket) -> None:
        """Join the listener to the ticket's running request, or send it the recorded response."""
        if ticket.state is not TicketState.RUNNING:
            send_recorded_response(listener, ticket)
            return
        for run in self._runs.values():
            if run.ticket is ticket:
                run.add_listener(listener)
                return

    def _run(self, listener: Listener, submit: Submit, ticket: Ticket | None) -> None:
        request = EndpointRequest(
            RequestId(submit.request),
            submit.attempt,
            submit.operation,
            submit.priority,
            submit.body,
            submit.resume_from,
            Digest(submit.digest),
        )
        max_delay = min(MAX_REQUEST_DELAY_SECONDS, submit.remaining - listener.stream.transit_delay)
        start_by = self.reactor.seconds() + max_delay
        run = Run(request, ticket, self.ledger, lambda: self._get_start_refusal(start_by))
        run.suspect = submit.suspect
        run.listeners.append(listener)
        self._runs[request.request, request.attempt] = run
        self._context.metrics.count("orders_run")
        deferred = self._endpoint.run(request, run)
        deferred.addCallbacks(
            self._handle_response, self._handle_failure, callbackArgs=(run,), errbackArgs=(run,)
        ).addErrback(self._log_failure)

    def _get_start_refusal(self, start_by: float) -> str:
        if self.reactor.seconds() <= start_by:
            return ""
        self._context.metrics.count("orders_held_up")
        return "the order was held up before it reached the endpoint"

    def _handle_response(self, response: EndpointResponse, run: Run) -> None:
        self._runs.pop((run.request.request, run.request.attempt), None)
        now = self.reactor.seconds()
        if run.ticket is not None:
            self.ledger.complete(run.ticket.ticket, response.status, response.digest, now)
        run.finish(response)

    def _handle_failure(self, failure: Failure, run: Run) -> None:
        self._runs.pop((run.request.request, run.request.attempt), None)
        if run.cancelled:
            return
        error = failure.value
        started = error.started if isinstance(error, EndpointError) else True
        reason = str(error)
        if run.ticket is not None:
            end_ticket = self.ledger.lose if started else self.ledger.revoke
            end_ticket(run.ticket.ticket, reason, self.reactor.seconds())
        self._context.metrics.count("orders_failed")
        if not started:
            run.fail(NOT_RUN, reason)
            return
        deferred = self._crashes.check()
        deferred.addCallback(lambda crash: run.fail(UNKNOWN, reason, crash))

    def _log_failure(self, failure: Failure) -> None:
        logger.error(
            "handling the end of a request failed", extra={"failure": failure.getTraceback()}
        )

    def _handle_cancel(self, stream: PeerStream, cancel: Cancel) -> None:
        for run in list(self._runs.values()):
            remaining = []
            for listener in run.listeners:
                if not listener.matches(stream, cancel.request, cancel.attempt):
                    remaining.append(listener)
            if len(remaining) == len(run.listeners):
                continue
            run.listeners = remaining
            self._cancel_if_unneeded(run)
            return

    def _handle_credit(self, stream: PeerStream, credit: Credit) -> None:
        exact_run = self._runs.get((credit.request, credit.attempt))
        for run in self._runs.values() if exact_run is None else [exact_run]:
            for listener in run.listeners:
                if not listener.matches(stream, credit.request, credit.attempt):
                    continue
                listener.outstanding = max(0, listener.outstanding - credit.amount)
                run.update_flow_control()
                return

    def _cancel_if_unneeded(self, run: Run) -> None:
        run.update_flow_control()
        if run.listeners or run.ticket is not None:
            return
        self._context.metrics.count("orders_cancelled")
        self._runs.pop((run.request.request, run.request.attempt), None)
        self._endpoint.cancel(run.request)
        run.cancel()

    def _issue_ticket(self, stream: PeerStream, message: IssueTicket) -> None:
        reason = self._find_ticket_refusal(message)
        if reason:
            stream.send(TicketIssued(message.request, "", 0.0, reason))
            return
        now = self.reactor.seconds()
        ticket = self.ledger.issue(message.service, message.team, now)
        if ticket is None:
            self._context.metrics.count("ledger_full")
            stream.send(TicketIssued(message.request, "", 0.0, "too many tickets are kept"))
            return
        stream.send(TicketIssued(message.request, ticket.ticket, TICKET_LIFETIME_SECONDS))

    def _find_ticket_refusal(self, message: IssueTicket) -> str:
        if self.leaving:
            return "the agent is leaving"
        if message.service != self._service:
            return f"this agent serves {self._service}"
        return ""

    def _read_status(self) -> None:
        if self._status_pending:
            return
        self._status_pending = True
        deferred = self._endpoint.read_status()
        deferred.addCallbacks(self._handle_status, self._handle_status_failure)

    def _handle_status(self, status: EndpointStatus) -> None:
        self._status_pending = False
        self.status = status
        self._crashes.mark_alive()
        if self.on_status is not None:
            self.on_status(status)
        self._send_reports(status)

    def _handle_status_failure(self, failure: Failure) -> None:
        self._status_pending = False
        self._context.metrics.count("status_failures")
        self.status = EndpointStatus(0, 0, 0, Digest(""), False, 0, 0.0)
        self._send_reports(self.status)

    def _send_reports(self, status: EndpointStatus) -> None:
        if not self._is_report_due(status):
            return
        self._last_reported = status
        self._reported_at = self.reactor.seconds()
        report = self._make_report(status)
        for stream in self._streams:
            stream.send(report)

    def _is_report_due(self, status: EndpointStatus) -> bool:
        """Return whether a report must be sent now.

        Changes of the served weights or of readiness are reported at once, load changes at most
        once per report interval. The load of a busy endpoint is repeated even if unchanged; an
        idle endpoint is not reported again, to avoid needless traffic.
        """
        reported = self._last_reported
        if reported is None:
            return True
        if (status.digest, status.serving) != (reported.digest, reported.serving):
            return True
        age = self.reactor.seconds() - self._reported_at
        interval = self.find_report_interval()
        if (status.running, status.queued) != (reported.running, reported.queued):
            return age >= interval
        return status.running + status.queued > 0 and age >= max(
            interval, REPORT_REPEAT_INTERVAL_SECONDS
        )

    def _make_report(self, status: EndpointStatus) -> LoadReport:
        self._report_count += 1
        return LoadReport(
            sequence=self._report_count,
            age=status.age,
            running=status.running,
            queued=status.queued,
            capacity=status.capacity,
            digest=status.digest,
            serving=status.serving and not self.leaving,
        )
