"""Queues requests by class and assigns them to endpoints with free capacity."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.queue import Drop, QueuedRequest, RequestQueue
from coltsfootshift.controllers.retries import RetryBudget
from coltsfootshift.entry.work import WorkTask
from coltsfootshift.filters.base import Exchange
from coltsfootshift.ids import InstanceId
from coltsfootshift.metrics import Metrics
from coltsfootshift.outcomes import NotRun

__all__ = ["Dispatcher"]

TICK_INTERVAL_SECONDS = 0.05
MAX_SCANNED_REQUESTS = 8  # at the head of a queue, when an endpoint has free capacity


@dataclass(slots=True)
class _Waiter:
    """A queued request, the weights it needs and the deferred that its runner awaits."""

    exchange: Exchange
    digest: str
    assignment: Deferred[InstanceId | NotRun]


@dataclass(slots=True)
class _ServiceState:
    queue: RequestQueue
    waiters: dict[int, _Waiter] = field(default_factory=dict)


class Dispatcher:
    """Owns the request queue and the retry budget of each service at this entry."""

    def __init__(self, reactor: Any, work: WorkTask, metrics: Metrics) -> None:
        self._reactor = reactor
        self._work = work
        self._metrics = metrics
        self._services: dict[str, _ServiceState] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._last_number = 0
        self._dispatching = False
        work.on_capacity = self.dispatch
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor
        self._loop.start(TICK_INTERVAL_SECONDS, now=False)

    def acquire(self, exchange: Exchange, digest: str) -> Deferred[InstanceId | NotRun]:
        """Return the endpoint for the next attempt once one has capacity, or a refusal.

        If `digest` is not empty, the answer has begun, and only an endpoint that reports these
        weights is returned.
        """
        assert exchange.service_entry is not None
        now = self._reactor.seconds()
        state = self._find_service(exchange.service)
        state.queue.max_length = exchange.service_entry.limits.queue
        self._last_number += 1
        waiter = _Waiter(exchange, digest, Deferred())
        state.waiters[self._last_number] = waiter
        item = QueuedRequest(
            exchange.priority,
            exchange.arrived_at,
            self._last_number,
            exchange.deadline,
            begun=bool(digest),
        )
        if len(state.queue):
            self._refuse_dropped(state, state.queue.offer(item, now))
            self.dispatch(exchange.service)
            return waiter.assignment
        instance = self._work.choose(exchange.service, exchange.tried, digest)
        if instance is not None:
            del state.waiters[self._last_number]
            waiter.assignment.callback(instance)
            return waiter.assignment
        self._refuse_dropped(state, state.queue.offer(item, now))
        return waiter.assignment

    def dispatch(self, service: str) -> None:
        """Refuse expired requests of a service and assign queued ones to free endpoints."""
        state = self._services.get(service)
        if state is None or self._dispatching:
            return
        self._dispatching = True
        try:
            self._refuse_dropped(state, state.queue.expire(self._reactor.seconds()))
            self._assign_waiting(state)
        finally:
            self._dispatching = False

    def record_served(self, service: str, seconds: float) -> None:
        """Record the duration of one complete answer, in seconds."""
        self._find_service(service).queue.record_served(seconds)

    def get_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._budgets.setdefault(service, RetryBudget())

    def describe(self) -> dict[str, Any]:
        """Return the queue state by service for the status page."""
        rows = {}
        for name, state in sorted(self._services.items()):
            rows[name] = {
                "waiting": len(state.queue),
                "service_seconds": round(state.queue.service_seconds, 4),
                "seconds_between": round(state.queue.departure_interval, 4),
                "retry_credit": round(self.get_budget(name).credit, 2),
            }
        return rows

    def _find_service(self, service: str) -> _ServiceState:
        if service not in self._services:
            self._services[service] = _ServiceState(RequestQueue(max_length=0))
        return self._services[service]

    def _assign_waiting(self, state: _ServiceState) -> None:
        """Assign the first requests in the queue to endpoints.

        More than one is examined, so that a request that needs particular weights does not block
        those behind it.
        """
        for item in state.queue.list_first(MAX_SCANNED_REQUESTS):
            waiter = state.waiters.get(item.number)
            if waiter is None:
                continue
            exchange = waiter.exchange
            instance = self._work.choose(exchange.service, exchange.tried, waiter.digest)
            if instance is None:
                continue
            state.queue.take(item, self._reactor.seconds())
            del state.waiters[item.number]
            waiter.assignment.callback(instance)

    def _refuse_dropped(self, state: _ServiceState, drops: list[Drop]) -> None:
        for drop in drops:
            waiter = state.waiters.pop(drop.number)
            self._metrics.count("requests_shed")
            self._metrics.count(f"requests_shed_class_{waiter.exchange.requested_class}")
            refusal = NotRun(drop.reason, status=503, retry_after=drop.retry_after)
            waiter.assignment.callback(refusal)

    def _tick(self) -> None:
        for service, state in self._services.items():
            if len(state.queue):
                self.dispatch(service)
