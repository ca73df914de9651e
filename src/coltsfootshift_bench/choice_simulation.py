"""Simulates how entries choose endpoints, for comparison with a random and an ideal choice.

The simulation uses the endpoint table of the real daemon; only time and endpoints are simulated.
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
REPORT_INTERVAL_SECONDS = 0.25


@dataclass(slots=True)
class _Endpoint:
    """An endpoint that runs up to `slots` requests at once and queues the others in order.

    The work of a request takes its nominal time divided by `speed`. `history` has a tuple (time,
    running, queued) for each report.
    """

    slots: int
    speed: float
    queue: list[tuple[int, InstanceId, float, float]] = field(default_factory=list)
    running: int = 0
    history: list[tuple[float, int, int]] = field(default_factory=list)

    def get_counts_at(self, at: float) -> tuple[int, int]:
        """Return the numbers of running and queued requests at an earlier time."""
        counts = (0, 0)
        for sampled_at, running, queued in self.history:
            if sampled_at > at:
                break
            counts = (running, queued)
        return counts


@dataclass(slots=True)
class ChoiceRun:
    """The parameters of one simulation, and the durations of its requests; times are in seconds.

    `policy` is `own` (the choice of the daemon), `random` or `ideal` (the endpoint with the
    shortest estimated wait, from its actual state). `report_age` is the age of a load report on
    arrival. `load` is the offered load as a share of the total capacity. `endpoint_speeds` maps the
    numbers of endpoints to speeds other than 1.
    """

    policy: str
    report_age: float
    rng: Random
    entries: int = 4
    endpoints: int = 5
    slots: int = 8
    load: float = 0.8
    work_seconds: float = 0.2
    endpoint_speeds: dict[int, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)


def run_choice(run: ChoiceRun, length: float) -> list[float]:
    """Simulate `length` seconds and return the sorted durations of all requests of that time."""
    return _Simulation(run).run(length)


class _Simulation:
    """An event-driven simulation; events are processed in order of time."""

    def __init__(self, run: ChoiceRun) -> None:
        self._run = run
        self._rng = run.rng
        self._now = 0.0
        self._event_count = 0
        self._report_sequence = 0
        self._events: list[tuple[float, int, str, tuple]] = []
        self._endpoints: dict[InstanceId, _Endpoint] = {}
        for number in range(run.endpoints):
            speed = run.endpoint_speeds.get(number, 1.0)
            self._endpoints[InstanceId(f"engine-{number}")] = _Endpoint(run.slots, speed)
        self._tables = [self._make_table() for _ in range(run.entries)]

    def run(self, length: float) -> list[float]:
        """Run the simulation; see `run_choice`."""
        total_speed = sum(endpoint.slots * endpoint.speed for endpoint in self._endpoints.values())
        rate = self._run.load * total_speed / self._run.work_seconds
        self._schedule(0.0, "report", ())
        self._schedule(self._rng.expovariate(rate), "arrive", ())
        while self._events:
            self._now, _, kind, arguments = heapq.heappop(self._events)
            if self._now > length and kind != "end":
                continue
            if kind == "arrive":
                self._schedule(self._now + self._rng.expovariate(rate), "arrive", ())
                self._handle_arrival()
            elif kind == "report":
                self._schedule(self._now + REPORT_INTERVAL_SECONDS, "report", ())
                self._send_reports()
            else:
                self._handle_end(*arguments)
        return sorted(self._run.seconds)

    def _make_table(self) -> EndpointTable:
        table = EndpointTable()
        table.entries[SERVICE] = self._run.entries
        for instance in self._endpoints:
            table.add(instance, SERVICE)
        return table

    def _schedule(self, at: float, kind: str, arguments: tuple) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, kind, arguments))

    def _send_reports(self) -> None:
        self._report_sequence += 1
        sampled_at = self._now - self._run.report_age
        for instance, endpoint in self._endpoints.items():
            endpoint.history.append((self._now, endpoint.running, len(endpoint.queue)))
            running, queued = endpoint.get_counts_at(sampled_at)
            age = self._run.report_age
            report = LoadReport(
                self._report_sequence, age, running, queued, endpoint.slots, "", True
            )
            for table in self._tables:
                table.record_report(instance, report, self._now)

    def _handle_arrival(self) -> None:
        number = self._rng.randrange(len(self._tables))
        work = self._rng.uniform(0.5, 1.5) * self._run.work_seconds
        instance = self._choose(self._tables[number])
        self._tables[number].record_sent(instance, self._now)
        endpoint = self._endpoints[instance]
        endpoint.queue.append((number, instance, self._now, work / endpoint.speed))
        self._start_queued(endpoint)

    def _choose(self, table: EndpointTable) -> InstanceId:
        names = list(self._endpoints)
        if self._run.policy == "random":
            return self._rng.choice(names)
        if self._run.policy == "ideal":
            self._rng.shuffle(names)
            return min(names, key=self._estimate_wait)
        chosen = table.choose(SERVICE, (), self._rng, self._now)
        if chosen is None:
            chosen = table.choose_for_ticket(SERVICE, (), self._rng, self._now)
        assert chosen is not None
        return chosen

    def _estimate_wait(self, instance: InstanceId) -> float:
        endpoint = self._endpoints[instance]
        return (endpoint.running + len(endpoint.queue)) / endpoint.slots / endpoint.speed

    def _start_queued(self, endpoint: _Endpoint) -> None:
        while endpoint.queue and endpoint.running < endpoint.slots:
            number, instance, arrived_at, seconds = endpoint.queue.pop(0)
            endpoint.running += 1
            self._schedule(self._now + seconds, "end", (number, instance, arrived_at))

    def _handle_end(self, number: int, instance: InstanceId, arrived_at: float) -> None:
        endpoint = self._endpoints[instance]
        endpoint.running -= 1
        self._tables[number].record_ended(instance, self._now)
        self._run.seconds.append(self._now - arrived_at)
        self._start_queued(endpoint)
