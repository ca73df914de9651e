"""How an agent handles requests and tickets, with a simulated clock and a fake endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from coltsfootshift.agent.work import AgentWorkTask
from coltsfootshift.controllers.tickets import MAX_ANSWER_BYTES, RECORD_LIFETIME_SECONDS
from coltsfootshift.engines.base import (
    Endpoint,
    EndpointError,
    EndpointRequest,
    EndpointResponse,
    EndpointStatus,
    ResponseReceiver,
    ResponseStream,
)
from coltsfootshift.engines.transfer import RequestBody
from coltsfootshift.ids import Digest, Incarnation, InstanceId
from coltsfootshift.messages import (
    AnswerEnd,
    AnswerFrame,
    Cancel,
    Credit,
    IssueTicket,
    Submit,
    TicketIssued,
    TicketSettled,
    VoidTicket,
)
from coltsfootshift.metrics import Metrics


class FakeResponseStream(ResponseStream):
    def __init__(self) -> None:
        self.paused = False
        self.stopped = False

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False

    def stop(self) -> None:
        self.stopped = True


class FakeEndpoint(Endpoint):
    def __init__(self) -> None:
        self.requests: list[EndpointRequest] = []
        self.receivers: list[ResponseReceiver] = []
        self.ends: list[Deferred[EndpointResponse]] = []
        self.cancelled: list[EndpointRequest] = []
        self.unreachable = False

    def run(
        self, request: EndpointRequest, receiver: ResponseReceiver
    ) -> Deferred[EndpointResponse]:
        self.requests.append(request)
        self.receivers.append(receiver)
        self.ends.append(Deferred())
        return self.ends[-1]

    def cancel(self, request: EndpointRequest) -> None:
        self.cancelled.append(request)

    def read_status(self) -> Deferred[EndpointStatus]:
        if self.unreachable:
            return fail(EndpointError("connection refused", started=True))
        return Deferred()


class FakeStream:
    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.transit_delay = 0.0

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def list_frames(self) -> bytes:
        return b"".join(row.payload for row in self.sent if isinstance(row, AnswerFrame))

    def find_end(self) -> tuple[str, int]:
        ends = [row for row in self.sent if isinstance(row, AnswerEnd)]
        assert len(ends) <= 1
        return (ends[0].outcome, ends[0].status) if ends else ("", 0)


class FakeContext:
    def __init__(self, reactor: Clock) -> None:
        self.reactor = reactor
        self.metrics = Metrics()


class AgentTestBed:
    """The work task of an agent with a simulated clock and a fake endpoint."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.endpoint = FakeEndpoint()
        context: Any = FakeContext(self.clock)
        instance, incarnation = InstanceId("ledger-1"), Incarnation("ab")
        self.task = AgentWorkTask(context, self.endpoint, "ledger", instance, incarnation)
        self.request_count = 0

    def open(self) -> Any:
        stream = FakeStream()
        self.task.stream_opened(stream)
        return stream

    def request_ticket(self) -> str:
        stream = self.open()
        self.task.stream_received(stream, IssueTicket("ask", "ledger", "staff"))
        assert isinstance(stream.sent[-1], TicketIssued)
        return str(stream.sent[-1].ticket)

    def submit(self, ticket: str = "", delay: float = 0.0, **changes: Any) -> Any:
        self.request_count += 1
        fields: dict[str, Any] = {
            "request": f"request-{self.request_count}",
            "attempt": 1,
            "service": "ledger",
            "operation": "book",
            "team": "staff",
            "priority": 1,
            "idempotent": not ticket,
            "ticket": ticket,
            "remaining": 5.0,
            "sent_at": 0.0,
            "body": b"tent-1",
        }
        stream = self.open()
        stream.transit_delay = delay
        self.task.stream_received(stream, Submit(**(fields | changes)))
        return stream

    def void(self, ticket: str) -> str:
        stream = self.open()
        self.task.stream_received(stream, VoidTicket("void", ticket))
        assert isinstance(stream.sent[-1], TicketSettled)
        return str(stream.sent[-1].outcome)

    def finish(self, answer: bytes = b"done") -> None:
        source = FakeResponseStream()
        self.endpoint.receivers[-1].response_started(Digest("aa"), source)
        self.endpoint.receivers[-1].data_received(answer)
        self.endpoint.ends[-1].callback(EndpointResponse(200, Digest("aa")))


def leave(bed: AgentTestBed) -> None:
    bed.task.stop_new_work()


@pytest.mark.parametrize(
    ("prepare", "delay", "changes"),
    [
        (leave, 0.0, {}),
        (None, 6.0, {}),
        (None, 1.5, {}),
        (None, 0.5, {"remaining": 0.4}),
    ],
    ids=["leaving", "after its deadline", "held up", "short deadline"],
)
def test_refused_order_never_runs(
    prepare: Callable[[AgentTestBed], None] | None, delay: float, changes: dict[str, Any]
) -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    if prepare is not None:
        prepare(bed)
    assert bed.submit(ticket, delay, **changes).find_end()[0] == "not_run"
    bed.task.leaving = False
    assert bed.submit(ticket).find_end()[0] == "not_run"
    assert bed.void(ticket) == "not_run"
    assert bed.endpoint.requests == []


def test_order_held_up_between_its_check_and_its_sending_is_not_sent() -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    stream = bed.submit(ticket)
    body = RequestBody(b"tent-1", bed.endpoint.receivers[0])
    bed.clock.advance(1.5)
    written: list[bytes] = []
    failures: list[Any] = []
    body.startProducing(type("Consumer", (), {"write": written.append})).addErrback(failures.append)
    assert failures
    assert (written, body.sent) == ([], False)
    bed.endpoint.ends[0].errback(EndpointError(body.refusal, started=body.sent))
    assert stream.find_end()[0] == "not_run"
    assert bed.void(ticket) == "not_run"


@pytest.mark.parametrize(("started", "outcome"), [(False, "not_run"), (True, "unknown")])
def test_lost_endpoint(started: bool, outcome: str) -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    stream = bed.submit(ticket)
    bed.endpoint.unreachable = True
    bed.endpoint.ends[0].errback(EndpointError("gone", started))
    assert stream.find_end()[0] == outcome
    assert bed.submit(ticket).find_end()[0] == outcome
    assert bed.void(ticket) == outcome
    assert len(bed.endpoint.requests) == 1


def test_forgotten_ticket_is_unknown() -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    bed.submit(ticket)
    bed.finish()
    bed.clock.advance(RECORD_LIFETIME_SECONDS + 1)
    assert bed.submit(ticket).find_end()[0] == "unknown"
    assert bed.submit("ledger-1~other~1").find_end()[0] == "unknown"
    assert len(bed.endpoint.requests) == 1


def test_repeat_gets_the_recorded_answer_and_joins_a_running_one() -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    streams = [bed.submit(ticket)]
    source = FakeResponseStream()
    bed.endpoint.receivers[0].response_started(Digest("aa"), source)
    bed.endpoint.receivers[0].data_received(b"first ")
    streams.append(bed.submit(ticket))
    bed.finish(b"second")
    streams.append(bed.submit(ticket))
    for stream in streams:
        assert stream.list_frames() == b"first second"
        assert stream.find_end() == ("complete", 200)
    assert len(bed.endpoint.requests) == 1


def test_large_answer_is_never_replayed_cut() -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    first = bed.submit(ticket)
    bed.endpoint.receivers[0].data_received(bytes(MAX_ANSWER_BYTES + 1))
    joined = bed.submit(ticket)
    bed.finish(b"end")
    later = bed.submit(ticket)
    assert first.find_end() == ("complete", 200)
    assert len(first.list_frames()) == MAX_ANSWER_BYTES + 4
    assert joined.find_end() == later.find_end() == ("unknown", 410)
    assert joined.list_frames() == later.list_frames() == b""


@pytest.mark.parametrize(
    "changes", [{"body": b"tent-2"}, {"team": "campers"}, {"operation": "refund"}]
)
def test_repeat_with_another_request_is_refused(changes: dict[str, Any]) -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    bed.submit(ticket)
    bed.finish(b"answer to tent-1")
    other = bed.submit(ticket, **changes)
    assert other.find_end() == ("not_run", 409)
    assert other.list_frames() == b""


def test_slow_caller_pauses_the_endpoint_and_credit_resumes_it() -> None:
    bed = AgentTestBed()
    stream = bed.submit(window=100)
    source = FakeResponseStream()
    receiver = bed.endpoint.receivers[0]
    receiver.response_started(Digest("aa"), source)
    receiver.data_received(bytes(60))
    assert not source.paused
    receiver.data_received(bytes(60))
    assert source.paused
    bed.task.stream_received(stream, Credit("request-1", 1, 90))
    assert not source.paused


@pytest.mark.parametrize(("ticketed", "cancelled"), [(False, 1), (True, 0)])
def test_cancel_reaches_the_endpoint_for_idempotent_work(ticketed: bool, cancelled: int) -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket() if ticketed else ""
    stream = bed.submit(ticket, window=100)
    source = FakeResponseStream()
    bed.endpoint.receivers[0].response_started(Digest("aa"), source)
    bed.endpoint.receivers[0].data_received(bytes(200))
    bed.task.stream_received(stream, Cancel("request-1", 1))
    assert len(bed.endpoint.cancelled) == cancelled
    assert source.stopped is bool(cancelled)
    assert not source.paused
    assert bed.task.unfinished == 1 - cancelled


def test_leaving_agent_voids_unused_tickets_and_stays_to_say_so() -> None:
    bed = AgentTestBed()
    ticket = bed.request_ticket()
    bed.task.stop_new_work()
    assert bed.task.unfinished == 1
    assert (bed.task.ledger.unused, bed.void(ticket)) == (0, "not_run")
    assert bed.submit(ticket).find_end()[0] == "not_run"
    bed.clock.advance(5.0)
    assert bed.task.unfinished == 0
    stream = bed.open()
    bed.task.stream_received(stream, IssueTicket("ask", "ledger"))
    assert isinstance(stream.sent[-1], TicketIssued)
    assert stream.sent[-1].ticket == ""
