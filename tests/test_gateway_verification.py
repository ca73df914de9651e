"""An agent that is suspended between its check of the staged chunks and the load.

It took a pass over the chunks as valid however long it had taken, so that it ordered a load of
chunks that had turned bad while it was suspended.
"""

from __future__ import annotations

from unittest.mock import Mock

import pytest
from coltsfootshift_platform.engines import HttpEngine
from hypothesis import given, settings
from hypothesis import strategies as st
from test_gateway_orders import (
    CHUNK,
    ORDER_TIMEOUT_SECONDS,
    SILENT_SECONDS,
    StubEngine,
    make_rollout,
    run,
)
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.interfaces import IWriteDescriptor
from twisted.internet.testing import MemoryReactorClock, StringTransport
from zope.interface import implementer

from coltsfootshift.controllers.verification import VERIFICATION_SECONDS, VerifiedChunks
from coltsfootshift.gateway.engines import PortError
from coltsfootshift.gateway.table_cache import WantedVersion
from coltsfootshift.settings import Address

CHUNKS = 5
SUSPENDED_SECONDS = 4.0
EXCUSED_SECONDS = 3.0  # a load may take chunks that turned bad within this time
READ_SECONDS = 0.01
LOAD_SECONDS = 6.0  # by then the version has been loaded, whatever is suspended meanwhile


class RottingEngine(StubEngine):
    """Answers each question after a while; the process is suspended during one of them.

    `suspend_at` counts the questions about staged chunks from the one after which all chunks are
    staged for the first time. At the start of the suspension the chunks in `spoilt` turn bad.
    """

    def __init__(self, clock, suspend_at, spoilt, suspended_for=SUSPENDED_SECONDS):
        super().__init__(1, answers=True)
        self.clock = clock
        self.suspended_for = suspended_for
        self.suspend_at = suspend_at
        self.spoilt = spoilt
        self.questions = 0
        self.watching = False
        self.bad_since = {}
        self.ages = []

    def read_staged(self, model, index):
        answer = Deferred()
        data = b"spoilt" if index in self.bad_since else CHUNK
        self.clock.callLater(READ_SECONDS, self._answer, answer, data)
        return answer

    def stage(self, model, index, data):
        self.bad_since.pop(index, None)
        return succeed(None)

    def load(self, model, version, fencing, expected_orders, abort, valid_until):
        now = self.clock.seconds()
        assert now < valid_until
        self.ages.append([now - since for since in self.bad_since.values()])
        return super().load(model, version, fencing, expected_orders, abort, valid_until)

    def _answer(self, answer, data):
        self.questions += self.watching
        if self.watching and self.questions == self.suspend_at:
            for index in self.spoilt:
                self.bad_since[index] = self.clock.seconds()
            self.clock.rightNow += self.suspended_for
        answer.callback(data)


class SilentEngine(RottingEngine):
    """Falls silent when it is sent an order, which it accepts after the sender has given up.

    The chunks in `spoilt_in_silence` turn bad at the start of that.
    """

    silent_for = SILENT_SECONDS
    silent_until = 0.0
    spoilt_in_silence = ()

    def read_report(self):
        if self.clock.seconds() < self.silent_until:
            return fail(PortError("timed out"))
        return super().read_report()

    def load(self, *order):
        now = self.clock.seconds()
        self.silent_until = now + self.silent_for
        self.bad_since.update(dict.fromkeys(self.spoilt_in_silence, now))
        self.clock.callLater(self.silent_for, self._accept, *order)
        answer = Deferred()
        error = PortError("timed out")
        self.clock.callLater(ORDER_TIMEOUT_SECONDS, lambda: answer.errback(error))
        return answer

    def _accept(self, *order):
        now = self.clock.seconds()
        self.ages.append([now - since for since in self.bad_since.values()])
        StubEngine.load(self, *order)


def make_suspended(suspend_at, spoilt, make_engine=RottingEngine, suspended_for=SUSPENDED_SECONDS):
    engine = make_engine(None, suspend_at, spoilt, suspended_for)
    clock, tables, rollout = make_rollout(engine, CHUNKS)
    engine.clock = clock
    return clock, tables, rollout, engine


def publish_when_staged(clock, tables, rollout, engine):
    """Publish version 2 once version 1 is staged, and let the agent load it."""
    rollout.refresh()
    rollout.start(1)
    run(clock, 2.0)
    engine.watching = True
    tables.wanted_versions["m"] = [WantedVersion("m", 2, clock.seconds())]
    for _ in range(round(LOAD_SECONDS / READ_SECONDS)):
        clock.advance(READ_SECONDS)


@pytest.mark.parametrize("suspend_at", range(1, CHUNKS + 1))
@pytest.mark.parametrize("spoilt", [(0,), (CHUNKS - 1,), tuple(range(CHUNKS))])
def test_chunks_that_turn_bad_while_the_agent_is_suspended_are_not_loaded(suspend_at, spoilt):
    """It is suspended after any of the questions of a pass, between answer and next question."""
    clock, tables, rollout, engine = make_suspended(suspend_at, spoilt)
    publish_when_staged(clock, tables, rollout, engine)
    assert engine.questions > suspend_at and [order[0] for order in engine.orders] == [2]
    assert all(age <= EXCUSED_SECONDS for ages in engine.ages for age in ages)


@pytest.mark.parametrize("suspended_for", [0.5, 1.4, 1.6, 1.9, 2.5])
@pytest.mark.parametrize("suspend_at", [1, CHUNKS])
def test_order_that_a_silent_engine_accepts_late_loads_no_chunk_that_was_bad_for_long(
    suspend_at, suspended_for
):
    """The agent is suspended in its check, and the engine is silent when the order arrives.

    The engine reads the order from its socket when it goes on, although the agent has given up.
    """
    spoilt = tuple(range(suspend_at))
    clock, tables, rollout, engine = make_suspended(suspend_at, spoilt, SilentEngine, suspended_for)
    publish_when_staged(clock, tables, rollout, engine)
    assert engine.questions >= suspend_at and engine.report.versions == {"m": 2}
    assert all(age <= EXCUSED_SECONDS for ages in engine.ages for age in ages)


@pytest.mark.parametrize("silent_for", [0.5, SILENT_SECONDS, 2.5, SUSPENDED_SECONDS])
def test_order_at_an_engine_that_is_suspended_loads_no_chunk_that_was_bad_for_long(silent_for):
    """The instance is suspended while the order waits at the engine, and a chunk turns bad then."""
    clock, tables, rollout, engine = make_suspended(0, (), SilentEngine)
    engine.silent_for, engine.spoilt_in_silence = silent_for, (0,)
    publish_when_staged(clock, tables, rollout, engine)
    assert engine.report.versions == {"m": 2}
    assert all(age <= EXCUSED_SECONDS for ages in engine.ages for age in ages)


# Whole parts of a power of two, so that sums and differences of times are exact.
EXACT_SECONDS = st.integers(0, 3 * 1024).map(lambda count: count / 1024)


@given(
    st.lists(st.tuples(st.integers(0, 3), EXACT_SECONDS, st.booleans()), min_size=1, max_size=30)
)
@settings(deadline=None)
def test_no_result_is_used_longer_than_it_is_valid(steps):
    """Chunks are requested in any order, and time passes before each answer."""
    verified, now, requested = VerifiedChunks(4), 0.0, {}
    for index, seconds, is_correct in steps:
        asked_at, now = now, now + seconds
        if is_correct:
            verified.record(index, asked_at)
            requested[index] = asked_at
        due = set(verified.list_due(now))
        for chunk in range(4):
            is_old = now - requested.get(chunk, float("-inf")) >= VERIFICATION_SECONDS
            assert (chunk in due) == is_old
        assert (now < verified.valid_until) == (not due)


@pytest.mark.parametrize(
    ("dial_seconds", "sent"), [(0.1, True), (SUSPENDED_SECONDS, False)], ids=["at once", "late"]
)
def test_order_is_not_sent_once_the_check_is_outdated(dial_seconds, sent):
    """The connection to the engine opens only when the process runs again."""
    clock = MemoryReactorClock()
    engine = HttpEngine(clock, Address("10.0.0.9", 80))
    results = []
    engine.load("m", 2, 2, 0, False, clock.seconds() + VERIFICATION_SECONDS).addBoth(results.append)
    clock.rightNow += dial_seconds
    transport = StringTransport()
    protocol = clock.tcpClients[0][2].buildProtocol(None)
    protocol.makeConnection(transport)
    assert (b'"operation":"start"' in transport.value()) == sent


@implementer(IWriteDescriptor)
class BufferingTransport(StringTransport):
    """Keeps what is written until its reactor calls `doWrite`, as a connection of Twisted does.

    The process is suspended for `suspended_for` seconds after the order has been written.
    """

    def __init__(self, clock, suspended_for):
        super().__init__()
        self.clock = clock
        self.suspended_for = suspended_for
        self.sent = b""
        self.aborted = False

    def write(self, data):
        super().write(data)
        self.clock.rightNow += self.suspended_for

    def abortConnection(self):
        self.aborted = True

    def doWrite(self):
        if not self.aborted:
            self.sent = self.value()


@pytest.mark.parametrize(
    ("suspended_for", "sent"), [(0.0, True), (SUSPENDED_SECONDS, False)], ids=["runs", "suspended"]
)
def test_order_leaves_in_the_step_in_which_the_time_is_looked_at(suspended_for, sent):
    """The process was suspended between that and the turn of the reactor that sends."""
    clock = MemoryReactorClock()
    engine = HttpEngine(clock, Address("10.0.0.9", 80))
    engine.load("m", 2, 2, 0, False, clock.seconds() + VERIFICATION_SECONDS).addBoth(Mock())
    transport = BufferingTransport(clock, suspended_for)
    clock.tcpClients[0][2].buildProtocol(None).makeConnection(transport)
    assert (b'"operation":"start"' in transport.sent) == sent
    clock.rightNow += SUSPENDED_SECONDS
    transport.doWrite()
    assert (b'"operation":"start"' in transport.sent) == sent
