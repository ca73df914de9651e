"""Outcomes that callers receive when an agent does not answer."""

from __future__ import annotations

import json
from io import BytesIO
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from coltsfootshift.entry.http_server import (
    MAX_TICKET_ATTEMPTS,
    TICKET_TIMEOUT_SECONDS,
    CallerHttpServer,
)
from coltsfootshift.filters.base import FilterChain
from coltsfootshift.ids import InstanceId
from coltsfootshift.metrics import Metrics


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


class DirectoryStub:
    """A directory handler, which these tests do not use."""

    def handle_request(self, request: Any) -> bytes:
        return b""
