"""Which endpoint a request is sent to: expected start of its answer, health, failure domain."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

from coltsfootshift.gateway.calls import EndpointLoadReport
from coltsfootshift.gateway.model import EndpointRecord, EngineSpec
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId

__all__ = ["EndpointState", "Placement", "WorkSize"]

OTHERS_LOAD_HALF_LIFE_SECONDS = (
    20.0  # replay of overload: 1 s lets each entry overfill the endpoints
)
LATE_CAPACITY_SHARE = (
    0.8  # of an endpoint's places that late requests may fill (replay of overload)
)
INITIAL_BACKOFF_SECONDS = 0.2  # about one report lag of the endpoints
MAX_BACKOFF_SECONDS = 2.0  # bounds the delay until a recovered endpoint is tried again
FULL_BACKOFF_SECONDS = 0.05  # one pass of an engine
REMOTE_PENALTY_SECONDS = 0.015  # a start later by less is worth keeping bytes in the domain
FAILURE_EMA_WEIGHT = 0.1  # share of the latest outcome in the failure rate
FAILURE_PENALTY_SECONDS = 1.0  # expected delay of a failed and repeated request
JITTER_SECONDS = 0.01  # keeps entries with equal beliefs from choosing the same endpoint
PLAIN_QUEUE_FACTOR = 2.0  # plain work is short against its objective: a second set may wait
PLAIN_WORK_SECONDS = 0.03  # assumed until outcomes are measured
PLAIN_WORK_EMA_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class WorkSize:
    """How much a request asks of an engine, in tokens; zero for plain work."""

    prompt: int = 0
    answer: int = 0


@dataclass(slots=True)
class _InFlightAttempt:
    size: WorkSize
    sent_at: float
    response_started: bool = False


class EndpointState:
    """What this entry believes of one endpoint: own orders there, others' load, health.

    Load reports come with answers and are late; own orders are counted exactly, and what others
    have there is the report less the own orders at its time, fading as the report ages.
    """

    def __init__(self, record: EndpointRecord, spec: EngineSpec | None) -> None:
        self.record = record
        self.spec = spec
        self.failure_rate = 0.0
        self.backoff_until = 0.0
        self._in_flight: dict[RequestId, _InFlightAttempt] = {}
        self._others_load = 0.0
        self._reported_at = 0.0
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._probing = False
        self._work_seconds = PLAIN_WORK_SECONDS

    def __repr__(self) -> str:
        return f"EndpointState({self.record.endpoint!r}, own={len(self._in_flight)})"

    @property
    def slots(self) -> int:
        """How many requests the endpoint works on at once."""
        return max(1, self.spec.slots if self.spec else self.record.slots)

    @property
    def own_in_flight(self) -> int:
        """How many orders of this entry are there."""
        return len(self._in_flight)

    @property
    def work_seconds(self) -> float:
        """How long plain work takes there, as measured."""
        return self._work_seconds

    def estimate_load(self, now: float) -> float:
        """Return how many requests are believed to be there."""
        age = now - self._reported_at
        decay = 0.5 ** (age / OTHERS_LOAD_HALF_LIFE_SECONDS)
        return len(self._in_flight) + self._others_load * decay

    def has_capacity(self, now: float, late: bool = False) -> bool:
        """Return whether one more request would start without waiting for others there.

        A request that is late already leaves some places to those that may still be in time.
        """
        if now < self.backoff_until or (self._probing and self._in_flight):
            return False
        limit = self.slots if self.spec else self.slots * PLAIN_QUEUE_FACTOR
        if late:
            limit *= LATE_CAPACITY_SHARE
        return self.estimate_load(now) < limit

    def predict_start(self, size: WorkSize, now: float) -> float:
        """Return the expected seconds from sending to the first piece of the answer."""
        load = self.estimate_load(now)
        if self.spec is None:
            return self._work_seconds * (1.0 + max(0.0, load + 1 - self.slots) / self.slots)
        waiting = max(0.0, load + 1 - self.slots)
        start = waiting * compute_departure_interval(self.spec)
        pending_prompt_tokens = size.prompt
        for attempt in self._in_flight.values():
            if not attempt.response_started:
                pending_prompt_tokens += attempt.size.prompt
        step = self.spec.step + self.spec.step_per_request * min(load, self.slots)
        return start + pending_prompt_tokens / self.spec.prefill_rate + step * self.spec.stride

    def record_sent(self, request: RequestId, size: WorkSize, now: float) -> None:
        """An order was sent."""
        self._in_flight[request] = _InFlightAttempt(size, now)

    def record_response_start(
        self, request: RequestId, report: EndpointLoadReport | None, now: float
    ) -> None:
        """The answer to an order has begun."""
        attempt = self._in_flight.get(request)
        if attempt is not None:
            attempt.response_started = True
        if report is not None:
            total = report.running + report.waiting
            self._others_load = max(0.0, total - len(self._in_flight))
            self._reported_at = now

    def record_success(self, request: RequestId, now: float) -> None:
        """An order was answered well."""
        attempt = self._in_flight.pop(request, None)
        if attempt is not None and self.spec is None:
            taken = now - attempt.sent_at
            self._work_seconds += PLAIN_WORK_EMA_WEIGHT * (taken - self._work_seconds)
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._probing = False
        self.failure_rate -= FAILURE_EMA_WEIGHT * self.failure_rate

    def record_cancelled(self, request: RequestId) -> None:
        """An order was withdrawn; this says nothing about the endpoint."""
        self._in_flight.pop(request, None)

    def record_full(self, request: RequestId, now: float) -> None:
        """The endpoint has refused an order for lack of room."""
        self._in_flight.pop(request, None)
        self._others_load = max(self._others_load, float(self.slots - len(self._in_flight)))
        self._reported_at = now
        self.backoff_until = max(self.backoff_until, now + FULL_BACKOFF_SECONDS)

    def record_misdirected(self, request: RequestId, now: float) -> None:
        """The endpoint is another one, or serves another version, than its record says."""
        self._in_flight.pop(request, None)
        self.backoff_until = max(self.backoff_until, now + self._backoff_seconds)
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, self._backoff_seconds * 2)

    def update_record(self, record: EndpointRecord) -> None:
        """Take what is told of the endpoint now; other versions than before end a block."""
        if record.versions != self.record.versions:
            self.backoff_until = 0.0
            self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self.record = record

    def record_failure(self, request: RequestId, now: float) -> None:
        """An order failed at the endpoint; it is tried again after a growing delay."""
        self._in_flight.pop(request, None)
        self.failure_rate += FAILURE_EMA_WEIGHT * (1.0 - self.failure_rate)

    def record_unreachable(self, request: RequestId, now: float) -> None:
        """The endpoint is out of reach or silent; one trial at a time until it answers."""
        self.record_failure(request, now)
        self.backoff_until = max(self.backoff_until, now + self._backoff_seconds)
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, self._backoff_seconds * 2)
        self._probing = True


def compute_departure_interval(spec: EngineSpec) -> float:
    """Return the seconds between two departures of an engine that is full.

    A request writes its tokens beside `slots` others and waits while as many prompts are read.
    """
    step = spec.step + spec.step_per_request * spec.slots
    residence_seconds = (
        spec.typical_answer * step + spec.slots * spec.typical_prompt / spec.prefill_rate
    )
    return residence_seconds / spec.slots


class Placement:
    """Chooses the endpoint whose answer is expected to begin first.

    Answers a burst that meets several entries at once: each counts its own orders exactly and a
    little jitter keeps entries with the same late reports apart. An endpoint in the own failure
    domain is preferred where it costs at most `REMOTE_PENALTY_SECONDS`.
    """

    def __init__(self, domain: FailureDomain, rng: Random) -> None:
        self._domain = domain
        self._rng = rng

    def choose(
        self,
        states: Iterable[EndpointState],
        size: WorkSize,
        tried: Collection[InstanceId],
        late: bool,
        now: float,
    ) -> EndpointState | None:
        """Return the endpoint to send to now, or None where none has room."""
        best: EndpointState | None = None
        best_cost = 0.0
        for state in states:
            if state.record.endpoint in tried or not state.has_capacity(now, late):
                continue
            cost = state.predict_start(size, now) + self._rng.random() * JITTER_SECONDS
            cost += state.failure_rate * FAILURE_PENALTY_SECONDS
            if state.record.failure_domain != self._domain:
                cost += REMOTE_PENALTY_SECONDS
            if best is None or cost < best_cost:
                best, best_cost = state, cost
        return best
