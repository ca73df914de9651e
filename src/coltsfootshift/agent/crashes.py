"""Detection of endpoint crashes, as opposed to failures of a single request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from coltsfootshift.engines.base import EndpointStatus
from coltsfootshift.ids import Incarnation, InstanceId

__all__ = ["CrashDetector"]

PROBE_TIMEOUT_SECONDS = 1.0


class CrashDetector:
    """Detects crashes by probing the endpoint's status after a request has failed.

    A probe that fails before its timeout means that the endpoint has crashed. All requests that
    fail before the endpoint answers again are attributed to the same crash.
    """

    def __init__(
        self,
        reactor: Any,
        read_status: Callable[[], Deferred[EndpointStatus]],
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        self._reactor = reactor
        self._read_status = read_status
        self._id_prefix = f"{instance}/{incarnation}"
        self._unreachable = False
        self.crashes = 0

    def mark_alive(self) -> None:
        """Record that the endpoint answered, so that the next failure is a new crash."""
        self._unreachable = False

    def check(self) -> Deferred[str]:
        """Probe the endpoint and return a crash id.

        The id is empty if the endpoint answers, or if it only hangs and the probe times out.
        """
        started_at = self._reactor.seconds()
        deferred = self._read_status()
        deferred.addTimeout(PROBE_TIMEOUT_SECONDS, self._reactor)
        return deferred.addCallbacks(
            self._handle_status, self._handle_failure, (), {}, (started_at,)
        )

    def _handle_status(self, status: EndpointStatus) -> str:
        self.mark_alive()
        return ""

    def _handle_failure(self, failure: Failure, started_at: float) -> str:
        if self._reactor.seconds() - started_at >= PROBE_TIMEOUT_SECONDS:
            return ""
        if not self._unreachable:
            self._unreachable = True
            self.crashes += 1
        return f"{self._id_prefix}/{self.crashes}"
