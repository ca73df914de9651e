"""Hands waiting requests to endpoints that have room, by class."""

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

TICK_SECONDS = 0.05
MOST_PASSED_OVER = 8


@dataclass(slots=True)
class _Place:
    """A waiting request and the deferred that its runner waits for."""

    exchange: Exchange
    digest: str
    granted: Deferred[InstanceId | NotRun]


@dataclass(slots=True)
class _ServiceQueue:
    queue: RequestQueue
    places: dict[int, _Place] = field(default_factory=dict)


class Dispatcher:
    """Owns the queue and the retry budget of each service at this entry."""

    def __init__(self, reactor: Any, work: WorkTask, metrics: Metrics) -> None:
        self._reactor = reactor
        self._work = work
        self._metrics = metrics
        self._services: dict[str, _ServiceQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._number = 0
        self._pumping = False
        work.on_room = self.pump
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor
        self._loop.start(TICK_SECONDS, now=False)

    def acquire(self, exchange: Exchange, digest: str) -> Deferred[InstanceId | NotRun]:
        """Return the endpoint for the next attempt, once one has room, or why there is none.

        Where `digest` is not empty, only an endpoint that reports these weights is returned.
        """
        assert exchange.service_entry is not None
        now = self._reactor.seconds()
        served = self._find_service(exchange.service)
        served.queue.max_length = exchange.service_entry.limits.queue
        self._number += 1
        place = _Place(exchange, digest, Deferred())
        served.places[self._number] = place
        item = QueuedRequest(
            exchange.priority, exchange.arrived_at, self._number, exchange.deadline
        )
        if len(served.queue):
            self._drop(served, served.queue.offer(item, now))
            self.pump(exchange.service)
            return place.granted
        instance = self._work.choose(exchange.service, exchange.tried, digest)
        if instance is not None:
            del served.places[self._number]
            place.granted.callback(instance)
            return place.granted
        self._drop(served, served.queue.offer(item, now))
        return place.granted

    def pump(self, service: str) -> None:
        """Hand waiting requests of a service to endpoints while there is room."""
        served = self._services.get(service)
        if served is None or self._pumping:
            return
        self._pumping = True
        try:
            self._drop(served, served.queue.expire(self._reactor.seconds()))
            self._hand_out(served)
        finally:
            self._pumping = False

    def note_served(self, service: str, seconds: float) -> None:
        """Measure one whole answer."""
        self._find_service(service).queue.record_served(seconds)

    def get_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._budgets.setdefault(service, RetryBudget())

    def describe(self) -> dict[str, Any]:
        """Return the state that the status page shows."""
        rows = {}
        for name, served in sorted(self._services.items()):
            rows[name] = {
                "waiting": len(served.queue),
                "service_seconds": round(served.queue.service_seconds, 4),
                "seconds_between": round(served.queue.departure_interval, 4),
                "retry_credit": round(self.get_budget(name).credit, 2),
            }
        return rows

    def _find_service(self, service: str) -> _ServiceQueue:
        if service not in self._services:
            self._services[service] = _ServiceQueue(RequestQueue(max_length=0))
        return self._services[service]

    def _hand_out(self, served: _ServiceQueue) -> None:
        """Pass over a few that wait for certain weights, so that they hold up nobody else."""
        for item in served.queue.list_first(MOST_PASSED_OVER):
            place = served.places.get(item.number)
            if place is None:
                continue
            exchange = place.exchange
            instance = self._work.choose(exchange.service, exchange.tried, place.digest)
            if instance is None:
                continue
            served.queue.take(item, self._reactor.seconds())
            del served.places[item.number]
            place.granted.callback(instance)

    def _drop(self, served: _ServiceQueue, drops: list[Drop]) -> None:
        for drop in drops:
            place = served.places.pop(drop.number)
            self._metrics.count("requests_shed")
            self._metrics.count(f"requests_shed_class_{place.exchange.requested_class}")
            refusal = NotRun(drop.reason, status=503, retry_after=drop.retry_after)
            place.granted.callback(refusal)

    def _tick(self) -> None:
        for service, served in self._services.items():
            if len(served.queue):
                self.pump(service)
