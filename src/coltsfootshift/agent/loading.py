"""Sends load orders to the engine once the lock is held and all chunks are staged."""

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

PAUSE_THRESHOLD_SECONDS = 2.0  # a longer gap between ticks is a pause; ticks are 0.1 s apart

logger = get_logger("agent.loading")


class EngineLoader:
    """Performs the actions of the activation controller.

    `on_staging_lost` is called with a digest when the engine no longer has its staged chunks. No
    order is sent while `is_current` returns False: a newer version may be named in a catalogue
    that peers have and this process does not, as after a pause.
    Serving states for the neighbours are buffered until `take_changed_states` is called;
    `on_changed` is called when the first one is buffered.

    When a paused process resumes, it handles pending responses before its timers run. Pauses are
    therefore detected before each event and each load order, not only on ticks.
    """

    def __init__(
        self,
        own: InstanceId,
        reactor: Any,
        metrics: Metrics,
        engine: ModelEngine,
        lock: PortLock,
        on_staging_lost: Callable[[Digest], None],
        is_current: Callable[[], bool],
    ) -> None:
        self.controller = ActivationController(own, time.time())
        self.on_changed: Callable[[], object] | None = None
        self._reactor = reactor
        self._metrics = metrics
        self._engine = engine
        self._lock = lock
        self._on_staging_lost = on_staging_lost
        self._is_current = is_current
        self._changed_states: dict[InstanceId, ServingState] = {}
        self._ticked_at: float | None = None

    def tick(self) -> None:
        """Record that the process is running; called periodically."""
        self._check_pause()
        self._ticked_at = self._reactor.seconds()

    def handle_event(self, event: Event) -> None:
        """Pass an event to the controller and perform the resulting actions."""
        self._check_pause()
        self._handle(event)

    def _check_pause(self) -> bool:
        """Return whether the process was paused, and notify the controller once per pause."""
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
                self._send_order(action.order)
            elif isinstance(action, AnnounceServing):
                self._add_changed_state(action.state)
        phase = self.controller.phase
        if phase is not before:
            row = {"phase": phase.value, "digest": self.controller.wanted}
            logger.info("activation phase changed", extra=row)

    def _add_changed_state(self, state: ServingState) -> None:
        first = not self._changed_states
        self._changed_states[state.instance] = state
        if first and self.on_changed is not None:
            self.on_changed()

    def take_changed_states(self) -> list[ServingState]:
        """Return and clear the states that have not been sent to the neighbours yet."""
        changed, self._changed_states = self._changed_states, {}
        return list(changed.values())

    def _send_order(self, order: LoadOrder) -> None:
        if not self._is_current():
            self._metrics.count("settling_waits")
            self.handle_event(LoadRefused())
            return
        if not self._lock.acquire():
            self._metrics.count("lock_waits")
            self.handle_event(LoadRefused())
            return
        deferred = self._engine.list_staged(order.digest)
        deferred.addCallback(self._load_if_staged, order)
        deferred.addErrback(self._handle_load_failure)

    def _load_if_staged(self, staged: frozenset[int], order: LoadOrder) -> Any:
        if self._check_pause() or not self._is_current():
            self.handle_event(LoadRefused())
            return None
        if order.digest != self.controller.wanted:
            return None
        if len(staged) < order.chunks:
            self._metrics.count("staging_losses")
            logger.warning("engine has lost staged chunks", extra={"digest": order.digest})
            self.handle_event(StagingLost(order.digest))
            self._on_staging_lost(order.digest)
            return None
        self._metrics.count("load_orders")
        return self._engine.load(order)

    def _handle_load_failure(self, failure: Failure) -> None:
        self._metrics.count("load_refusals")
        logger.warning("load order failed", extra={"problem": failure.getErrorMessage()})
        self.handle_event(LoadRefused())
