"""Reads the platform's tables: each one completely at first, then by long polls for changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Coroutine
from math import inf
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.storereads import (
    Abandon,
    Answered,
    Dropped,
    Failed,
    Heard,
    ReportContact,
    RequestId,
    Resume,
    SendProbe,
    Sent,
    StoreAction,
    StoreReads,
    TimeReached,
)
from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.gateway.table_cache import Table, TableAnswer, TableConsumer, TablePosition
from coltsfootshift.logs import get_logger
from coltsfootshift.metrics import Metrics

__all__ = ["StoreError", "TableReader"]

# Range of the wait for a change. Its maximum is at most a third of the time within which a revoked
# key must be refused. It is randomised so that entries do not poll at the same moment.
WATCH_WAIT_SECONDS = {Table.OPERATOR: (0.5, 0.8), Table.ENDPOINTS: (1.0, 1.5)}
# All entries receive a change of the operator at about the same time. The first wait after it has a
# wider range, so that some of them have their table confirmed again soon.
FIRST_WATCH_WAIT_SECONDS = (0.2, 0.8)
# While other processes read a table for this one, it checks this often that they still do.
IDLE_POLL_SECONDS = 0.1
# Until the store has confirmed a table again after an outage, keys are refused.
REPEATED_WATCH_WAIT_SECONDS = 0.02
REREAD_PAUSE_SECONDS = 0.2  # after an answer that is of no use, or that the history is lost

logger = get_logger("gateway.reader")


class StoreError(ColtsfootshiftError):
    """The store did not answer, refused, or answered unexpectedly.

    `answered` is set if it has answered, and `history_lost` if that is because it does not store
    the changes after the given revision any more.
    """

    def __init__(self, text: str, answered: bool = False, history_lost: bool = False) -> None:
        super().__init__(text)
        self.answered = answered
        self.history_lost = history_lost


class TableReader(ABC):
    """Keeps one long poll open for each table that its consumer reads, and passes on the answers.

    `StoreReads` decides when the store counts as lost, and what is sent again when. Subclasses send
    the requests. `rng` randomises the length of waits and pauses.
    """

    def __init__(
        self, reactor: Any, consumer: TableConsumer, metrics: Metrics, rng: Random
    ) -> None:
        self.reactor = reactor
        self.metrics = metrics
        self._consumer = consumer
        self._rng = rng
        self._stopped = False
        self._waits = dict(WATCH_WAIT_SECONDS)
        self._repeated: set[Table] = set()  # whose last read failed
        self._reads = StoreReads(rng, reactor.seconds())
        self._lost_at: float | None = None
        self._running: dict[RequestId, Deferred[Any]] = {}
        self._resumed: dict[RequestId, Deferred[None]] = {}
        self._probes = 0
        self._timer: Any = None

    @abstractmethod
    async def fetch_table(self, table: Table, request: RequestId) -> TableAnswer:
        """Return a complete table. Raises `StoreError`."""

    @abstractmethod
    async def fetch_changes(
        self, table: Table, after: TablePosition, wait: float, request: RequestId
    ) -> TableAnswer:
        """Return what has changed after a position, once there is anything or after `wait` seconds.

        Raises `StoreError`.
        """

    @abstractmethod
    async def fetch_probe(self, request: RequestId) -> None:
        """Send a request with a small answer on a connection of its own. Raises `StoreError`."""

    @abstractmethod
    async def close_connections(self, request: RequestId) -> None:
        """Close the connections that were used for a request."""

    def start(self) -> None:
        """Start to read all tables."""
        for table in Table:
            Deferred.fromCoroutine(self._watch(table)).addErrback(self._log_crash)
        self._set_timer()

    def stop(self) -> None:
        """Start no further requests, and give up those without an answer."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for running in list(self._running.values()):
            running.cancel()

    def record_progress(self, request: RequestId) -> None:
        """Record that a part of an answer has arrived."""
        self._handle(Heard(request))

    async def _watch(self, table: Table) -> None:
        name = RequestId(table.value)
        reread = False
        while not self._stopped:
            after = self._consumer.choose_start(table)
            if after is None:
                self._handle(Dropped(name))
                await self._sleep(IDLE_POLL_SECONDS)
                continue
            if self._reads.is_paused(name):
                await self._wait_for_resumption(name)
                continue
            whole = reread or not after.revision
            sent_at = self.reactor.seconds()
            try:
                answer = await self._read(table, after, whole, name)
                self._handle(Answered(name))
                self._repeated.discard(table)
                if whole:
                    self._consumer.record_contact(True, self.reactor.seconds() - sent_at)
                self._apply(answer)
                reread = False
            except Exception as error:
                if self._stopped:
                    return
                self._repeated.add(table)
                reread = reread or not isinstance(error, StoreError) or error.history_lost
                self._log_failure(table, error, self.reactor.seconds() - sent_at)
                await self._handle_error(name, error)

    async def _read(
        self, table: Table, after: TablePosition, whole: bool, name: RequestId
    ) -> TableAnswer:
        if whole:
            return await self._run(Sent(name), self.fetch_table(table, name))
        wait = self._rng.uniform(*self._waits[table])
        if table in self._repeated:
            wait = REPEATED_WATCH_WAIT_SECONDS
        return await self._run(Sent(name, wait), self.fetch_changes(table, after, wait, name))

    async def _run(self, sent: Sent, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Await a request; `StoreError` if it is cancelled, as `Abandon` does."""
        name = sent.request
        running = self._running[name] = Deferred.fromCoroutine(coroutine)
        self._handle(sent)
        try:
            return await running
        except CancelledError as error:
            raise StoreError("no answer in time") from error
        finally:
            if self._running.get(name) is running:
                del self._running[name]

    def _apply(self, answer: TableAnswer) -> None:
        changed = bool(answer.items) and answer.table is Table.OPERATOR and not answer.complete
        self._waits[answer.table] = (
            FIRST_WATCH_WAIT_SECONDS if changed else WATCH_WAIT_SECONDS[answer.table]
        )
        self._consumer.handle_answer(answer)

    async def _handle_error(self, name: RequestId, error: Exception) -> None:
        """Decide what follows a failed read, and pause if that is not up to `StoreReads`."""
        await self.close_connections(name)
        if isinstance(error, StoreError) and error.history_lost:
            self._handle(Answered(name))
            await self._sleep(REREAD_PAUSE_SECONDS)
        elif not isinstance(error, StoreError) or error.answered:
            self._handle(Failed(name, answered=True))
            await self._sleep(REREAD_PAUSE_SECONDS)
        else:
            self._handle(Failed(name))

    async def _wait_for_resumption(self, name: RequestId) -> None:
        """Wait until a read is resumed, or until it may have become unnecessary."""
        resumed = self._resumed[name] = Deferred()
        await resumed.addTimeout(IDLE_POLL_SECONDS, self.reactor, lambda *_: None)
        self._resumed.pop(name, None)

    async def _probe(self) -> None:
        """Find out whether the store answers, and how soon."""
        self._probes += 1
        name = RequestId(f"probe {self._probes}")
        sent_at = self.reactor.seconds()
        try:
            await self._run(Sent(name, is_probe=True), self.fetch_probe(name))
        except StoreError:
            self.metrics.count("store_failures")
            self._handle(Failed(name))
            return
        finally:
            await self.close_connections(name)
        self._consumer.record_contact(True, self.reactor.seconds() - sent_at)
        self._handle(Answered(name))

    def _handle(self, event: Event) -> None:
        """Let `StoreReads` process an event, and carry out its actions."""
        if self._stopped:
            return
        try:
            for action in self._reads.handle(event, self.reactor.seconds()):
                self._carry_out(action)
        finally:
            self._set_timer()

    def _carry_out(self, action: StoreAction) -> None:
        if isinstance(action, SendProbe):
            Deferred.fromCoroutine(self._probe()).addErrback(self._log_crash)
        elif isinstance(action, Abandon):
            self._cancel(action.request)
        elif isinstance(action, Resume):
            resumed = self._resumed.pop(action.request, None)
            if resumed is not None:
                resumed.callback(None)
        elif isinstance(action, ReportContact):
            self._report_contact(action.reached)

    def _cancel(self, name: RequestId) -> None:
        running = self._running.pop(name, None)
        if running is not None:
            running.cancel()

    def _set_timer(self) -> None:
        if self._stopped:
            return
        now = self.reactor.seconds()
        at = self._reads.find_next_time(now)
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() == at:
                return
            self._timer.cancel()
        if at < inf:
            self._timer = self.reactor.callLater(max(0.0, at - now), self._handle_timer)

    def _handle_timer(self) -> None:
        now = self.reactor.seconds()
        for table in Table:
            name = RequestId(table.value)
            if self._reads.is_overdue(name, now) and self._consumer.choose_start(table) is None:
                self._handle(Dropped(name))
                self._cancel(name)
        self._handle(TimeReached(self._consumer.count_readers()))

    def _report_contact(self, reached: bool) -> None:
        now = self.reactor.seconds()
        if reached and self._lost_at is not None:
            logger.info("store regained", extra={"lost_for": round(now - self._lost_at, 3)})
        elif not reached:
            logger.info("store lost", extra={"requests": sorted(self._running)})
        self._lost_at = None if reached else now
        self._consumer.record_contact(reached)

    def _log_failure(self, table: Table, error: Exception, seconds: float) -> None:
        """Log a failed read; the pauses between failures bound the number of lines."""
        self.metrics.count("store_failures")
        row: dict[str, Any] = {"table": table.value, "read_took": round(seconds, 3)}
        if isinstance(error, StoreError):
            row["cause"] = str(error)
            logger.info("read of the store failed", extra=row)
        else:
            logger.error("answer of the store not applied", extra=row, exc_info=error)

    def _sleep(self, seconds: float) -> Deferred[None]:
        deferred: Deferred[None] = Deferred()
        self.reactor.callLater(seconds * self._rng.uniform(0.5, 1.0), deferred.callback, None)
        return deferred

    def _log_crash(self, failure: Any) -> None:
        logger.error("reading the store failed", extra={"trace": failure.getTraceback()})
