"""Drives the choice of endpoint over simulated endpoints, beside a random and an ideal choice.

The endpoint table of each entry is the one that the daemon uses; only time and the endpoints are
simulated.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from coltsfootshift.controllers.load import EndpointTable
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import LoadReport

__all__ = ["ChoiceRun", "run_choice"]

SERVICE = "kit-assistant"
REPORT_SECONDS = 0.25


@dataclass(slots=True)
class _Endpoint:
    """Runs `slots` requests at once and queues the others in order; `speed` divides their time."""

    slots: int
    speed: float
    queue: list[tuple[int, InstanceId, float, float]] = field(default_factory=list)
    running: int = 0
    past: list[tuple[float, int, int]] = field(default_factory=list)

    def find_past(self, at: float) -> tuple[int, int]:
        """Return how many ran and waited at an earlier time."""
        found = (0, 0)
        for moment, running, queued in self.past:
            if moment > at:
                break
            found = (running, queued)
        return found


@dataclass(slots=True)
class ChoiceRun:
    """A run of one policy: `own`, `random` or `ideal`; times are in seconds."""

    policy: str
    report_age: float
    rng: Random
    entries: int = 4
    endpoints: int = 5
    slots: int = 8
    load: float = 0.8
    work_seconds: float = 0.2
    slow: dict[int, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)


def run_choice(run: ChoiceRun, length: float) -> list[float]:
    """Return the sorted times of all requests that came within `length` seconds."""
    return _Simulation(run).run(length)


class _Simulation:
    """The events of one run in order of time."""

    def __init__(self, run: ChoiceRun) -> None:
        self._run = run
        self._rng = run.rng
        self._now = 0.0
        self._count = 0
        self._sequence = 0
        self._events: list[tuple[float, int, str, tuple]] = []
        self._endpoints: dict[InstanceId, _Endpoint] = {}
        for number in range(run.endpoints):
            speed = run.slow.get(number, 1.0)
            self._endpoints[InstanceId(f"engine-{number}")] = _Endpoint(run.slots, speed)
        self._tables = [self._make_table() for _ in range(run.entries)]

    def run(self, length: float) -> list[float]:
        """Run the simulation."""
        speeds = sum(endpoint.slots * endpoint.speed for endpoint in self._endpoints.values())
        rate = self._run.load * speeds / self._run.work_seconds
        self._post(0.0, "report", ())
        self._post(self._rng.expovariate(rate), "arrive", ())
        while self._events:
            self._now, _, kind, content = heapq.heappop(self._events)
            if self._now > length and kind != "end":
                continue
            if kind == "arrive":
                self._post(self._now + self._rng.expovariate(rate), "arrive", ())
                self._arrive()
            elif kind == "report":
                self._post(self._now + REPORT_SECONDS, "report", ())
                self._report()
            else:
                self._end(*content)
        return sorted(self._run.seconds)

    def _make_table(self) -> EndpointTable:
        table = EndpointTable()
        table.entries[SERVICE] = self._run.entries
        for instance in self._endpoints:
            table.add(instance, SERVICE)
        return table

    def _post(self, at: float, kind: str, content: tuple) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, kind, content))

    def _report(self) -> None:
        self._sequence += 1
        then = self._now - self._run.report_age
        for instance, endpoint in self._endpoints.items():
            endpoint.past.append((self._now, endpoint.running, len(endpoint.queue)))
            running, queued = endpoint.find_past(then)
            age = self._run.report_age
            report = LoadReport(self._sequence, age, running, queued, endpoint.slots, "", True)
            for table in self._tables:
                table.record_report(instance, report, self._now)

    def _arrive(self) -> None:
        number = self._rng.randrange(len(self._tables))
        work = self._rng.uniform(0.5, 1.5) * self._run.work_seconds
        instance = self._choose(self._tables[number])
        self._tables[number].record_sent(instance, self._now)
        endpoint = self._endpoints[instance]
        endpoint.queue.append((number, instance, self._now, work / endpoint.speed))
        self._fill(endpoint)

    def _choose(self, table: EndpointTable) -> InstanceId:
        names = list(self._endpoints)
        if self._run.policy == "random":
            return self._rng.choice(names)
        if self._run.policy == "ideal":
            self._rng.shuffle(names)
            return min(names, key=self._find_wait)
        chosen = table.choose(SERVICE, (), self._rng, self._now)
        if chosen is None:
            chosen = table.choose_for_ticket(SERVICE, (), self._rng, self._now)
        assert chosen is not None
        return chosen

    def _find_wait(self, instance: InstanceId) -> float:
        endpoint = self._endpoints[instance]
        return (endpoint.running + len(endpoint.queue)) / endpoint.slots / endpoint.speed

    def _fill(self, endpoint: _Endpoint) -> None:
        while endpoint.queue and endpoint.running < endpoint.slots:
            number, instance, arrived_at, seconds = endpoint.queue.pop(0)
            endpoint.running += 1
            self._post(self._now + seconds, "end", (number, instance, arrived_at))

    def _end(self, number: int, instance: InstanceId, arrived_at: float) -> None:
        endpoint = self._endpoints[instance]
        endpoint.running -= 1
        self._tables[number].record_ended(instance, self._now)
        self._run.seconds.append(self._now - arrived_at)
        self._fill(endpoint)
