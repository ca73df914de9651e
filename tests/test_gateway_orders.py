"""Orders to an engine that may have been accepted though their answers were lost."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from random import Random
from unittest.mock import Mock

import pytest
from coltsfootshift_platform.engines import HttpEngine
from gateway_harness import ENGINE_SPEC, GatewayHarness
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.testing import MemoryReactorClock

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.gateway.engines import EngineReport, OrderResult, PortError
from coltsfootshift.gateway.model import ServiceSpec
from coltsfootshift.gateway.rollout import TICK_SECONDS, RolloutTask
from coltsfootshift.gateway.table_cache import WantedVersion
from coltsfootshift.ids import FailureDomain, ServiceName
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

CHUNK = b"chunk"
SILENT_SECONDS = 1.5  # of an engine that handles nothing, and then goes on in order
ORDER_TIMEOUT_SECONDS = 1.0


class StubEngine:
    """An engine that accepts orders, whose answers may be lost."""

    def __init__(self, version, answers):
        self.report = EngineReport(versions={"m": version}, busy=False, accepted_orders=0, born=1)
        self.answers = answers
        self.orders = []

    def read_report(self):
        return succeed(self.report)

    def list_staged(self, model):
        return succeed(frozenset({0}))

    def read_staged(self, model, index):
        return succeed(CHUNK)

    def reset_connections(self):
        pass

    def stage(self, model, index, data):
        return succeed(None)

    def load(self, model, version, fencing, expected_orders, abort, valid_until):
        self.orders.append((version, expected_orders))
        if expected_orders != self.report.accepted_orders:
            return succeed(OrderResult(False, 409))
        self.report = EngineReport({"m": version}, False, expected_orders + 1, 1)
        if self.answers:
            return succeed(OrderResult(True, 202))
        return fail(PortError("timed out"))


class StubOrigin:
    """An origin that serves `chunks` equal chunks of each version."""

    def __init__(self, chunks=1):
        self.chunks = chunks

    def read_digests(self, model, version):
        return succeed([hashlib.sha256(CHUNK).digest()] * self.chunks)

    def read_chunk(self, model, version, index):
        return succeed(CHUNK)

    def reset_connections(self):
        pass


class VersionedOrigin(StubOrigin):
    """An origin whose chunks differ by version."""

    def read_digests(self, model, version):
        return succeed([hashlib.sha256(make_chunk(version)).digest()] * self.chunks)

    def read_chunk(self, model, version, index):
        return succeed(make_chunk(version))


def make_chunk(version):
    return b"chunk of %d" % version


def make_rollout(engine, chunks=1, make_origin=StubOrigin):
    """Return a clock, the tables and the rollout of the only agent, whose chunks are staged."""
    harness = GatewayHarness(endpoints=0)
    spec = replace(ENGINE_SPEC, chunks=chunks, chunk_bytes=len(CHUNK))
    services = {
        ServiceName("llm"): ServiceSpec(ServiceName("llm"), 300, spec),
        ServiceName("origin"): ServiceSpec(
            ServiceName("origin"), 30, origin=Address("10.0.0.8", 1)
        ),
    }
    harness.tables.catalogue = replace(harness.tables.catalogue, services=services)
    harness.add_endpoint("m-0", "llm", 180, {"m": 1})
    rollout = RolloutTask(
        Mock(reactor=harness.clock),
        harness.tables,
        engine,
        lambda address: make_origin(chunks),
        Address("10.0.0.9", 7700),
        ServiceName("llm"),
        Location("north", FailureDomain("a")),
        {},
        4.7,
        8.0,
        3.0,
        Metrics(),
        Random(1),
        Mock(),
    )
    return harness.clock, harness.tables, rollout


def run(clock, seconds):
    for _ in range(round(seconds / TICK_SECONDS)):
        clock.advance(TICK_SECONDS)


@pytest.mark.parametrize("answers", [True, False], ids=["answered", "answer lost"])
def test_order_without_an_answer_is_not_given_twice_and_counts_once_it_shows(answers):
    """The next version was put off until 8 s after the one whose order was not answered.

    Version 3 is published 3 s after version 2, which the engine serves by then.
    """
    engine = StubEngine(1, answers)
    clock, tables, rollout = make_rollout(engine)
    tables.wanted_versions["m"] = [WantedVersion("m", 2, 0.0)]
    rollout.refresh()
    rollout.start(1)
    run(clock, 3.0)
    assert engine.orders == [(2, 0)]
    tables.wanted_versions["m"].append(WantedVersion("m", 3, clock.seconds()))
    run(clock, 2.0)
    assert engine.orders == [(2, 0), (3, 1)]


def test_agent_that_starts_beside_a_loaded_engine_goes_on_to_the_next_version():
    """It did not know that the order had been given before it started."""
    engine = StubEngine(2, answers=True)
    clock, tables, rollout = make_rollout(engine)
    tables.wanted_versions["m"] = [WantedVersion("m", 2, 0.0)]
    rollout.refresh()
    rollout.start(1)
    run(clock, 3.0)
    tables.wanted_versions["m"].append(WantedVersion("m", 3, clock.seconds()))
    run(clock, 2.0)
    assert engine.orders == [(3, 0)]


class CopyingEngine(StubEngine):
    """Its answers about staged chunks are those of earlier requests on the same connection."""

    def __init__(self):
        super().__init__(1, answers=True)
        self.copies = False

    def read_staged(self, model, index):
        return succeed(b"of the request before" if self.copies else CHUNK)

    def reset_connections(self):
        self.copies = False


def test_engine_whose_answers_come_one_request_late_is_loaded():
    """A second copy of an answer moved all later ones on its connection by one request."""
    engine = CopyingEngine()
    clock, tables, rollout = make_rollout(engine)
    rollout.refresh()
    rollout.start(1)
    run(clock, 1.0)
    engine.copies = True
    tables.wanted_versions["m"] = [WantedVersion("m", 2, clock.seconds())]
    run(clock, 2.0)
    assert engine.orders == [(2, 0)]


def test_connections_with_an_answer_that_cannot_be_read_are_not_used_again():
    clock = MemoryReactorClock()
    client = HttpEngine(clock, Address("10.0.0.9", 80))
    before = client._client._pool
    answers = iter([b"of another request"])

    async def get(path, query, max_bytes=0):
        return next(answers)

    client._client.get = get
    failures = []
    client.read_report().addErrback(failures.append)
    assert failures[0].check(PortError)
    assert client._client._pool is not before


class SilentEngine(StubEngine):
    """Handles nothing in its silences, and goes on with what was sent to it meanwhile.

    It handles chunks that were sent after an order on another connection before that order and,
    if `reports_first` is set, reports as well. `loaded` lists the version of each order and the
    chunks that it has loaded.
    """

    def __init__(self, clock, reports_first):
        super().__init__(1, answers=True)
        self.clock = clock
        self.reports_first = reports_first
        self.silent_until = 0.0
        self.order_waits = False
        self.staged = {}
        self.loaded = []

    def read_report(self):
        is_first = self.reports_first and self.order_waits
        if self.clock.seconds() < self.silent_until and not is_first:
            return fail(PortError("timed out"))
        return super().read_report()

    def list_staged(self, model):
        return succeed(frozenset(self.staged))

    def read_staged(self, model, index):
        return succeed(self.staged[index])

    def stage(self, model, index, data):
        self.staged[index] = data
        return succeed(None)

    def load(self, model, version, fencing, expected_orders, abort, valid_until):
        silent_for = 0.0 if self.loaded else SILENT_SECONDS
        self.order_waits = True
        self.silent_until = self.clock.seconds() + silent_for
        self.clock.callLater(silent_for, self._accept, version, expected_orders)
        answer = Deferred()
        if silent_for:
            error = PortError("timed out")
            self.clock.callLater(ORDER_TIMEOUT_SECONDS, lambda: answer.errback(error))
        else:
            self.clock.callLater(0, answer.callback, OrderResult(True, 202))
        return answer

    def _accept(self, version, expected_orders):
        self.order_waits = False
        if expected_orders == self.report.accepted_orders:
            self.report = EngineReport({"m": version}, False, expected_orders + 1, 1)
            self.loaded.append((version, set(self.staged.values())))


@pytest.mark.parametrize("reports_first", [False, True], ids=["in order", "reports first"])
@pytest.mark.parametrize(
    ("published_after", "silent_for"),
    [(0.6, 0.0), (0.9, 0.0), (3.0, 7.0), (3.0, 7.6)],
    ids=["at once", "within a second", "as the transfer seems stuck", "just before that"],
)
def test_chunks_of_the_next_version_are_not_staged_while_an_order_may_be_accepted(
    published_after, silent_for, reports_first
):
    """The next version is published while the order waits at an engine that is silent.

    Its chunks replaced those of the ordered version before the engine loaded them.
    """
    engine = SilentEngine(None, reports_first)
    clock, tables, rollout = make_rollout(engine, 3, VersionedOrigin)
    engine.clock = clock
    rollout.refresh()
    rollout.start(1)
    run(clock, 2.0)
    named_at = clock.seconds()
    engine.silent_until = named_at + silent_for
    tables.wanted_versions["m"] = [WantedVersion("m", 2, named_at)]
    run(clock, published_after)
    tables.wanted_versions["m"].append(WantedVersion("m", 3, clock.seconds()))
    run(clock, 14.0)
    assert [version for version, _ in engine.loaded] == [2, 3]
    assert all(chunks == {make_chunk(version)} for version, chunks in engine.loaded)
