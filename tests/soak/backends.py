"""Simulated endpoints and engines that record each run and fail on demand."""

from __future__ import annotations

import time
from collections.abc import Iterator
from enum import Enum
from random import Random

from platform_standins import (
    MODEL,
    EngineStandIn,
    StandIn,
    TruncatedResponseError,
    make_chunk,
)

from soak.ledger import EVENTS_PER_STREAM, Ledger, Run, make_answer, make_event

SERVICE_SECONDS = 0.03
EVENT_INTERVAL_SECONDS = 0.02
LOAD_SECONDS = 0.3


class Mode(Enum):
    """How an endpoint or engine handles requests."""

    HEALTHY = "sound"
    FULL = "full"  # refuses requests and states that nothing has run
    FAILING = "failing"  # runs each request and answers half of them with 500
    CUTTING = (
        "losing"  # runs each request and cuts half of the connections before or within the response
    )


class SoakEndpoint(StandIn):
    """An endpoint of the plain service."""

    def __init__(self, name: str, ledger: Ledger, rng: Random) -> None:
        self.name = name
        self.mode = Mode.HEALTHY
        self._ledger = ledger
        self._rng = rng
        super().__init__()

    def handle(self, method, path, query, body, headers):
        fields = {name.lower(): value for name, value in headers.items()}
        if fields.get("x-expect-instance") != self.name:
            return 421, b"", {"X-Instance-Id": self.name}
        request = fields["x-attempt-id"]
        if self.mode is Mode.FULL:
            return 503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": request}
        run = Run(self.name, 0, fields.get("x-tenant", ""), body, time.monotonic())
        self._ledger.record_run(request, run)
        time.sleep(SERVICE_SECONDS)
        answer = {"X-Attempt-Id": request, "X-Response-Seal": "seal"}
        fails = self._rng.random() < 0.5
        if fails and self.mode is Mode.FAILING:
            return 500, b"failed", answer
        if fails and self.mode is Mode.CUTTING:
            raise TruncatedResponseError
        return 200, make_answer(self.name, request), answer


class SoakEngine(EngineStandIn):
    """A model engine that streams events, resumes streams and loads staged weights."""

    def __init__(self, name: str, ledger: Ledger, rng: Random) -> None:
        self.name = name
        self.mode = Mode.HEALTHY
        self._ledger = ledger
        self._rng = rng
        self._busy_until = 0.0
        super().__init__(staged=1)

    def restart(self) -> None:
        """Simulate a restart, which loses all loaded and staged weights."""
        self.staged, self.loaded, self.orders = {}, {}, []
        self.version = 0
        self.born += 1000

    def handle(self, method, path, query, body, headers):
        if path.startswith("/api/"):
            return super().handle(method, path, query, body, headers)
        fields = {name.lower(): value for name, value in headers.items()}
        version = self.version
        expected_version = fields.get("x-expect-version")
        misrouted = fields.get("x-expect-instance") != self.name or (
            expected_version and int(expected_version) != version
        )
        if misrouted or not version:
            return 421, b"", {"X-Instance-Id": self.name}
        request = fields["x-attempt-id"]
        if self.mode is Mode.FULL or time.monotonic() < self._busy_until:
            return 503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": request}
        run = Run(self.name, version, fields.get("x-tenant", ""), body, time.monotonic())
        self._ledger.record_run(request, run)
        answer = {
            "X-Attempt-Id": request,
            "X-Response-Seal": "seal",
            "X-Weight-Versions": str(version),
            "Content-Type": "text/event-stream",
        }
        fails = self._rng.random() < 0.5
        if fails and self.mode is Mode.FAILING:
            return 500, b"failed", answer
        first_event = int(fields.get("last-event-id") or 0) + 1
        cut_at = (
            self._rng.randint(first_event, EVENTS_PER_STREAM)
            if fails and self.mode is Mode.CUTTING
            else None
        )
        return 200, self._stream(request, version, first_event, cut_at), answer

    def describe(self) -> dict:
        return {**super().describe(), "busy": time.monotonic() < self._busy_until}

    def _stream(
        self, request: str, version: int, first_event: int, cut_at: int | None
    ) -> Iterator[bytes]:
        for number in range(first_event, EVENTS_PER_STREAM + 1):
            event = make_event(request, number, version)
            if number == cut_at:
                yield event[: len(event) // 2]
                raise TruncatedResponseError
            yield event
            time.sleep(EVENT_INTERVAL_SECONDS)

    def _order(self, order: dict):
        status, body, headers = super()._order(order)
        if status == 202:
            self._busy_until = time.monotonic() + LOAD_SECONDS
            for index, data in self.loaded.items():
                if data != make_chunk(order["version"], index):
                    self._ledger.record_violation(
                        f"{self.name} loads a wrong chunk {index} of {MODEL}"
                    )
        return status, body, headers
