"""What the programs meet: endpoints and engines that note each run and fail on order."""

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

from soak.ledger import EVENTS, Ledger, Run, make_answer, make_event

WORK_SECONDS = 0.03
EVENT_SECONDS = 0.02
LOAD_SECONDS = 0.3


class Mode(Enum):
    """How a back end treats requests."""

    SOUND = "sound"
    FULL = "full"  # refuses and says that nothing has run
    FAILING = "failing"  # runs and answers 500, half of the time
    LOSING = "losing"  # runs and cuts the connection before or within its answer


class SoakEndpoint(StandIn):
    """A plain service's endpoint."""

    def __init__(self, name: str, ledger: Ledger, rng: Random) -> None:
        self.name = name
        self.mode = Mode.SOUND
        self._ledger = ledger
        self._rng = rng
        super().__init__()

    def handle(self, method, path, query, body, headers):
        row = {name.lower(): value for name, value in headers.items()}
        if row.get("x-expect-instance") != self.name:
            return 421, b"", {"X-Instance-Id": self.name}
        request = row["x-attempt-id"]
        if self.mode is Mode.FULL:
            return 503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": request}
        run = Run(self.name, 0, row.get("x-tenant", ""), body, time.monotonic())
        self._ledger.note_run(request, run)
        time.sleep(WORK_SECONDS)
        answer = {"X-Attempt-Id": request, "X-Response-Seal": "seal"}
        hit = self._rng.random() < 0.5
        if hit and self.mode is Mode.FAILING:
            return 500, b"failed", answer
        if hit and self.mode is Mode.LOSING:
            raise TruncatedResponseError
        return 200, make_answer(self.name, request), answer


class SoakEngine(EngineStandIn):
    """A model engine that streams, may be resumed, and loads what is staged."""

    def __init__(self, name: str, ledger: Ledger, rng: Random) -> None:
        self.name = name
        self.mode = Mode.SOUND
        self._ledger = ledger
        self._rng = rng
        self._busy_until = 0.0
        super().__init__(staged=1)

    def restart(self) -> None:
        """Start anew: nothing is loaded or staged."""
        self.staged, self.loaded, self.orders = {}, {}, []
        self.version = 0
        self.born += 1000

    def handle(self, method, path, query, body, headers):
        if path.startswith("/api/"):
            return super().handle(method, path, query, body, headers)
        row = {name.lower(): value for name, value in headers.items()}
        version = self.version
        wanted = row.get("x-expect-version")
        misled = row.get("x-expect-instance") != self.name or (wanted and int(wanted) != version)
        if misled or not version:
            return 421, b"", {"X-Instance-Id": self.name}
        request = row["x-attempt-id"]
        if self.mode is Mode.FULL or time.monotonic() < self._busy_until:
            return 503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": request}
        run = Run(self.name, version, row.get("x-tenant", ""), body, time.monotonic())
        self._ledger.note_run(request, run)
        answer = {
            "X-Attempt-Id": request,
            "X-Response-Seal": "seal",
            "X-Weight-Versions": str(version),
            "Content-Type": "text/event-stream",
        }
        hit = self._rng.random() < 0.5
        if hit and self.mode is Mode.FAILING:
            return 500, b"failed", answer
        first = int(row.get("last-event-id") or 0) + 1
        stop = self._rng.randint(first, EVENTS) if hit and self.mode is Mode.LOSING else None
        return 200, self._stream(request, version, first, stop), answer

    def describe(self) -> dict:
        return {**super().describe(), "busy": time.monotonic() < self._busy_until}

    def _stream(self, request: str, version: int, first: int, stop: int | None) -> Iterator[bytes]:
        for number in range(first, EVENTS + 1):
            event = make_event(request, number, version)
            if number == stop:
                yield event[: len(event) // 2]
                raise TruncatedResponseError
            yield event
            time.sleep(EVENT_SECONDS)

    def _order(self, order: dict):
        status, body, headers = super()._order(order)
        if status == 202:
            self._busy_until = time.monotonic() + LOAD_SECONDS
            for index, data in self.loaded.items():
                if data != make_chunk(order["version"], index):
                    self._ledger.note_broken(f"{self.name} loads a wrong chunk {index} of {MODEL}")
        return status, body, headers
