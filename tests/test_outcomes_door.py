"""Outcomes that callers receive when an agent does not answer."""

from __future__ import annotations

import json
from io import BytesIO
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from coltsfootshift.decisions import DecisionLog
from coltsfootshift.entry.answers import AnswerSink
from coltsfootshift.entry.http_server import (
    MAX_TICKET_ATTEMPTS,
    TICKET_TIMEOUT_SECONDS,
    CallerHttpServer,
)
from coltsfootshift.filters.base import Exchange, FilterChain
from coltsfootshift.ids import InstanceId
from coltsfootshift.metrics import Metrics
from coltsfootshift.outcomes import Outcome


class SilentWork:
    """A work task whose agents accept ticket requests but never answer."""

    def choose_for_ticket(self, service: str, avoid: list[InstanceId]) -> InstanceId:
        return InstanceId("ledger-1")

    def issue_ticket(self, *arguments: str) -> Deferred[Any]:
        return Deferred()

    def void_ticket(self, *arguments: str) -> Deferred[Any]:
        return Deferred()


@pytest.mark.parametrize(
    ("ask", "outcome"),
    [
        (lambda server, request: server._handle_ticket(request, "ledger"), "not_run"),
        (lambda server, request: server._handle_void(request, "ledger-1~ab~1"), "unknown"),
    ],
    ids=["ticket", "void"],
)
def test_silent_agent_gives_an_explicit_outcome(ask: Any, outcome: str) -> None:
    clock = Clock()
    unused: Any = None
    work: Any = SilentWork()
    directory: Any = DirectoryStub()
    chain = FilterChain([])
    server = CallerHttpServer(
        clock, chain, chain, unused, work, Metrics(), directory, lambda: True, unused
    )
    answers: list[bytes] = []
    request = DummyRequest([b""])
    request.content = BytesIO()
    deferred = Deferred.fromCoroutine(ask(server, request))
    deferred.addCallback(answers.append)
    for _ in range(MAX_TICKET_ATTEMPTS):
        clock.advance(TICKET_TIMEOUT_SECONDS + 0.1)
    assert json.loads(answers[0])["outcome"] == outcome


class SilentRunner:
    """Runs requests that end only when they are cancelled."""

    def __init__(self, attempts: int) -> None:
        self._attempts = attempts

    async def run(self, exchange: Exchange, sink: AnswerSink) -> Outcome:
        exchange.attempts = self._attempts
        return await Deferred()


@pytest.mark.parametrize(
    ("attempts", "ticket", "outcome"),
    [(0, "", "not_run"), (1, "", "unknown"), (0, "ledger-1~ab~1", "unknown")],
)
@pytest.mark.parametrize("stops", [True, False], ids=["entry stops", "caller leaves"])
def test_request_in_progress_when_the_entry_stops_gets_an_outcome(
    attempts: int, ticket: str, outcome: str, stops: bool
) -> None:
    """An entry whose time to drain was over cut the requests in progress without an outcome."""
    unused: Any = None
    directory: Any = DirectoryStub()
    runner: Any = SilentRunner(attempts)
    chain, metrics, decisions = FilterChain([]), Metrics(), DecisionLog(0.0)
    server = CallerHttpServer(
        Clock(), chain, chain, runner, unused, metrics, directory, lambda: True, decisions
    )
    request = DummyRequest([b""])
    request.content = BytesIO()
    request.requestHeaders.addRawHeader("Coltsfootshift-Ticket", ticket)
    answers: list[bytes] = []
    deferred = Deferred.fromCoroutine(server._handle_request(request, "ledger"))
    deferred.addCallback(answers.append)
    assert server.in_progress == 1 and not answers
    if stops:
        server.end_unfinished()
        assert json.loads(answers[0])["outcome"] == outcome
    else:
        deferred.cancel()
        assert json.loads(answers[0])["reason"] == "the caller has gone"
    assert server.in_progress == 0


class DirectoryStub:
    """A directory handler, which these tests do not use."""

    def handle_request(self, request: Any) -> bytes:
        return b""
