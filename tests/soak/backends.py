"""Simulated endpoints and engines that record each run and fail on demand."""

from __future__ import annotations

import threading
import time
from collections import deque
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

from soak.ledger import EVENTS_PER_STREAM, Arrival, Ledger, Run, make_answer, make_event

SERVICE_SECONDS = 0.03
EVENT_INTERVAL_SECONDS = 0.02
LOAD_SECONDS = 0.3
RETRY_AFTER_RANGE_SECONDS = (0.2, 3.0)


class Mode(Enum):
    """How an endpoint or engine handles requests."""

    HEALTHY = "sound"
    FULL = "full"  # refuses requests and states that nothing has run
    FAILING = "failing"  # runs each request and answers half of them with 500
    CUTTING = (
        "losing"  # runs each request and cuts half of the connections before or within the response
    )


class Gate:
    """Holds threads back while it is closed; then they pass in the order of their arrival."""

    def __init__(self) -> None:
        self.closed = False
        self._condition = threading.Condition()
        self._waiting: deque[object] = deque()

    def close(self) -> None:
        """Let no thread pass from now on."""
        with self._condition:
            self.closed = True

    def open(self) -> None:
        """Let all threads pass."""
        with self._condition:
            self.closed = False
            self._condition.notify_all()

    def wait(self) -> None:
        """Return once this thread may pass."""
        with self._condition:
            if not self.closed and not self._waiting:
                return
            place = object()
            self._waiting.append(place)
            self._condition.wait_for(lambda: not self.closed and self._waiting[0] is place)
            self._waiting.popleft()
            self._condition.notify_all()


class SoakBackend(StandIn):
    """States in its answers that it leaves, and while full for how long it wants no requests.

    While its gate is closed, it handles no request and writes no answer. Connections stay open, and
    what arrives waits.
    """

    def __init__(self, name: str, ledger: Ledger, rng: Random, **fields) -> None:
        self.name = name
        self.gate = Gate()
        self.mode = Mode.HEALTHY
        self.leaving = False
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._ledger = ledger
        self._rng = rng
        super().__init__(**fields)

    def restart(self) -> None:
        """Simulate a new start under the same name."""
        self.leaving = False
        self.born += 1000
        self._started_at = time.monotonic()

    def make_headers(self, request: str) -> dict[str, str]:
        """Record that a request has arrived; return the headers of its answer."""
        headers = {"X-Attempt-Id": request}
        retry_after = 0.0
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if self.mode is Mode.FULL:
            retry_after = round(self._rng.uniform(*RETRY_AFTER_RANGE_SECONDS), 2)
            headers["Retry-After"] = str(retry_after)
        incarnation, now = f"{self.name}/{self.born}", time.monotonic()
        row = Arrival(request, incarnation, now, now - self._started_at, self.leaving, retry_after)
        self._ledger.record_arrival(row)
        return headers


class SoakEndpoint(SoakBackend):
    """An endpoint of the plain service."""

    def handle(self, method, path, query, body, headers):
        self.gate.wait()
        fields = {name.lower(): value for name, value in headers.items()}
        if fields.get("x-expect-instance") != self.name:
            return 421, b"", {"X-Instance-Id": self.name}
        request = fields["x-attempt-id"]
        answer = self.make_headers(request)
        if "Retry-After" in answer:
            return 503, b"", {**answer, "X-Not-Executed": "1"}
        run = Run(self.name, 0, fields.get("x-tenant", ""), body, time.monotonic())
        self._ledger.record_run(request, run)
        time.sleep(SERVICE_SECONDS)
        self.gate.wait()
        answer["X-Response-Seal"] = "seal"
        fails = self._rng.random() < 0.5
        if fails and self.mode is Mode.FAILING:
            return 500, b"failed", answer
        if fails and self.mode is Mode.CUTTING:
            self._ledger.record_break(request)
            raise TruncatedResponseError
        return 200, make_answer(self.name, request), answer


class SoakEngine(SoakBackend, EngineStandIn):
    """A model engine that streams events, resumes streams and loads staged weights.

    When it gets the next order, it falls silent for `silence_at_order` seconds.
    """

    def __init__(self, name: str, ledger: Ledger, rng: Random) -> None:
        self.silence_at_order = 0.0
        self._busy_until = 0.0
        super().__init__(name, ledger, rng, staged=1)

    def restart(self) -> None:
        """Simulate a restart, which loses all loaded and staged weights."""
        self.staged, self.loaded, self.orders = {}, {}, []
        self.version = 0
        super().restart()

    def handle(self, method, path, query, body, headers):
        if path == "/api/order" and self.silence_at_order:
            self.gate.close()
            threading.Timer(self.silence_at_order, self.gate.open).start()
            self.silence_at_order = 0.0
        self.gate.wait()
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
        answer = self.make_headers(request)
        if "Retry-After" in answer or time.monotonic() < self._busy_until:
            return 503, b"", {**answer, "X-Not-Executed": "1"}
        run = Run(self.name, version, fields.get("x-tenant", ""), body, time.monotonic())
        self._ledger.record_run(request, run)
        answer |= {
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
            self.gate.wait()
            event = make_event(request, number, version)
            if number == cut_at:
                self._ledger.record_break(request)
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
