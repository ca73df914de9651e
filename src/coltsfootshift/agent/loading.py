"""Orders the engine to load, under the lock and only what it confirms to have staged."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from coltsfootshift.agent.lock import PortLock
from coltsfootshift.controllers.activation import (
    ActivationController,
    AnnounceServing,
    LoadRefused,
    OrderLoad,
    ProcessPaused,
    StagingLost,
)
from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.waves import ServingState
from coltsfootshift.engines.base import LoadOrder, ModelEngine
from coltsfootshift.ids import Digest, InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.metrics import Metrics

__all__ = ["EngineLoader"]

PAUSE_THRESHOLD_SECONDS = 2.0  # without a tick; ticks come many times a second

logger = get_logger("agent.loading")


class EngineLoader:
    """Carries out what the activation controller decides.

    `lose_staged` is called with a digest whose staged chunks the engine no longer has. States
    that neighbours are to be told gather in `take_news`; `on_news` tells of the first of them.
    A process that wakes from a pause finds answers that wait before its timers run, so the pause
    is looked for before each event and each order, not only on a tick.
    """

    def __init__(
        self,
        own: InstanceId,
        reactor: Any,
        metrics: Metrics,
        engine: ModelEngine,
        lock: PortLock,
        lose_staged: Callable[[Digest], None],
    ) -> None:
        self.controller = ActivationController(own, time.time())
        self.on_news: Callable[[], object] | None = None
        self._reactor = reactor
        self._metrics = metrics
        self._engine = engine
        self._lock = lock
        self._lose_staged = lose_staged
        self._news: dict[InstanceId, ServingState] = {}
        self._ticked_at: float | None = None

    def tick(self) -> None:
        """Note that the process runs."""
        self._check_pause()
        self._ticked_at = self._reactor.seconds()

    def handle_event(self, event: Event) -> None:
        """Hand an event to the controller and carry out what follows."""
        self._check_pause()
        self._handle(event)

    def _check_pause(self) -> bool:
        """Return whether the process did not run for a while; the controller is told once."""
        now = self._reactor.seconds()
        if self._ticked_at is None or now - self._ticked_at <= PAUSE_THRESHOLD_SECONDS:
            return False
        self._ticked_at = now
        self._metrics.count("pauses")
        self._handle(ProcessPaused())
        return True

    def _handle(self, event: Event) -> None:
        before = self.controller.phase
        for action in self.controller.handle(event, self._reactor.seconds()):
            if isinstance(action, OrderLoad):
                self._order(action.order)
            elif isinstance(action, AnnounceServing):
                self._add_news(action.state)
        phase = self.controller.phase
        if phase is not before:
            row = {"phase": phase.value, "digest": self.controller.wanted}
            logger.info("activation phase changed", extra=row)

    def _add_news(self, state: ServingState) -> None:
        first = not self._news
        self._news[state.instance] = state
        if first and self.on_news is not None:
            self.on_news()

    def take_news(self) -> list[ServingState]:
        """Return the states that neighbours have not been told yet."""
        news, self._news = self._news, {}
        return list(news.values())

    def _order(self, order: LoadOrder) -> None:
        if not self._lock.acquire():
            self._metrics.count("lock_waits")
            self.handle_event(LoadRefused())
            return
        deferred = self._engine.list_staged(order.digest)
        deferred.addCallback(self._load, order)
        deferred.addErrback(self._note_refusal)

    def _load(self, staged: frozenset[int], order: LoadOrder) -> Any:
        if self._check_pause():
            self.handle_event(LoadRefused())
            return None
        if order.digest != self.controller.wanted:
            return None
        if len(staged) < order.chunks:
            self._metrics.count("staging_losses")
            logger.warning("staged chunks are gone", extra={"digest": order.digest})
            self.handle_event(StagingLost(order.digest))
            self._lose_staged(order.digest)
            return None
        self._metrics.count("load_orders")
        return self._engine.load(order)

    def _note_refusal(self, failure: Failure) -> None:
        self._metrics.count("load_refusals")
        logger.warning("load order failed", extra={"problem": failure.getErrorMessage()})
        self.handle_event(LoadRefused())
