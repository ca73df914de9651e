"""Which endpoint a request is sent to: expected start of its answer, health, failure domain."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

from coltsfootshift.gateway.calls import EndpointLoadReport
from coltsfootshift.gateway.model import EndpointRecord, EngineSpec
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId

__all__ = ["EndpointState", "Placement", "WorkSize"]

OTHERS_HALF_LIFE_SECONDS = 20.0  # replay of overload: 1 s lets each entry overfill the endpoints
LATE_SHARE = 0.8  # of an endpoint's places that late requests may fill (replay of overload)
FIRST_BLOCK_SECONDS = 0.2  # about one report lag of the endpoints
MOST_BLOCK_SECONDS = 2.0  # bounds the delay until a recovered endpoint is tried again
FULL_BLOCK_SECONDS = 0.05  # one pass of an engine
REMOTE_PENALTY_SECONDS = 0.015  # a start later by less is worth keeping bytes in the domain
FAILURE_WEIGHT = 0.1  # share of the latest outcome in the failure rate
FAILURE_PENALTY_SECONDS = 1.0  # expected delay of a failed and repeated request
JITTER_SECONDS = 0.01  # keeps entries with equal beliefs from choosing the same endpoint
PLAIN_SLOTS_FACTOR = 2.0  # plain work is short against its objective: a second set may wait
PLAIN_WORK_SECONDS = 0.03  # assumed until outcomes are measured
PLAIN_WORK_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class WorkSize:
    """How much a request asks of an engine, in tokens; zero for plain work."""

    prompt: int = 0
    answer: int = 0


@dataclass(slots=True)
class _OwnWork:
    size: WorkSize
    sent_at: float
    begun: bool = False


class EndpointState:
    """What this entry believes of one endpoint: own orders there, others' load, health.

    Load reports come with answers and are late; own orders are counted exactly, and what others
    have there is the report less the own orders at its time, fading as the report ages.
    """

    def __init__(self, record: EndpointRecord, spec: EngineSpec | None) -> None:
        self.record = record
        self.spec = spec
        self.failure_rate = 0.0
        self.blocked_until = 0.0
        self._own: dict[RequestId, _OwnWork] = {}
        self._others = 0.0
        self._others_at = 0.0
        self._block = FIRST_BLOCK_SECONDS
        self._trial = False
        self._work = PLAIN_WORK_SECONDS

    def __repr__(self) -> str:
        return f"EndpointState({self.record.endpoint!r}, own={len(self._own)})"

    @property
    def slots(self) -> int:
        """How many requests the endpoint works on at once."""
        return max(1, self.spec.slots if self.spec else self.record.slots)

    @property
    def own_in_flight(self) -> int:
        """How many orders of this entry are there."""
        return len(self._own)

    @property
    def work_seconds(self) -> float:
        """How long plain work takes there, as measured."""
        return self._work

    def estimate_load(self, now: float) -> float:
        """Return how many requests are believed to be there."""
        age = now - self._others_at
        fade = 0.5 ** (age / OTHERS_HALF_LIFE_SECONDS)
        return len(self._own) + self._others * fade

    def has_room(self, now: float, late: bool = False) -> bool:
        """Return whether one more request would start without waiting for others there.

        A request that is late already leaves some places to those that may still be in time.
        """
        if now < self.blocked_until or (self._trial and self._own):
            return False
        most = self.slots if self.spec else self.slots * PLAIN_SLOTS_FACTOR
        if late:
            most *= LATE_SHARE
        return self.estimate_load(now) < most

    def predict_start(self, size: WorkSize, now: float) -> float:
        """Return the expected seconds from sending to the first piece of the answer."""
        load = self.estimate_load(now)
        if self.spec is None:
            return self._work * (1.0 + max(0.0, load + 1 - self.slots) / self.slots)
        waiting = max(0.0, load + 1 - self.slots)
        start = waiting * compute_departure_interval(self.spec)
        unread = size.prompt
        for work in self._own.values():
            if not work.begun:
                unread += work.size.prompt
        step = self.spec.step + self.spec.step_per_request * min(load, self.slots)
        return start + unread / self.spec.prefill_rate + step * self.spec.stride

    def note_sent(self, request: RequestId, size: WorkSize, now: float) -> None:
        """An order was sent."""
        self._own[request] = _OwnWork(size, now)

    def note_begun(self, request: RequestId, report: EndpointLoadReport | None, now: float) -> None:
        """The answer to an order has begun."""
        work = self._own.get(request)
        if work is not None:
            work.begun = True
        if report is not None:
            total = report.running + report.waiting
            self._others = max(0.0, total - len(self._own))
            self._others_at = now

    def note_done(self, request: RequestId, now: float) -> None:
        """An order was answered well."""
        work = self._own.pop(request, None)
        if work is not None and self.spec is None:
            taken = now - work.sent_at
            self._work += PLAIN_WORK_WEIGHT * (taken - self._work)
        self._block = FIRST_BLOCK_SECONDS
        self._trial = False
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate

    def note_dropped(self, request: RequestId) -> None:
        """An order was withdrawn; this says nothing about the endpoint."""
        self._own.pop(request, None)

    def note_full(self, request: RequestId, now: float) -> None:
        """The endpoint has refused an order for lack of room."""
        self._own.pop(request, None)
        self._others = max(self._others, float(self.slots - len(self._own)))
        self._others_at = now
        self.blocked_until = max(self.blocked_until, now + FULL_BLOCK_SECONDS)

    def note_misdirected(self, request: RequestId, now: float) -> None:
        """The endpoint is another one, or serves another version, than its record says."""
        self._own.pop(request, None)
        self.blocked_until = max(self.blocked_until, now + self._block)
        self._block = min(MOST_BLOCK_SECONDS, self._block * 2)

    def update_record(self, record: EndpointRecord) -> None:
        """Take what is told of the endpoint now; other versions than before end a block."""
        if record.versions != self.record.versions:
            self.blocked_until = 0.0
            self._block = FIRST_BLOCK_SECONDS
        self.record = record

    def note_failed(self, request: RequestId, now: float) -> None:
        """An order failed at the endpoint; it is tried again after a growing delay."""
        self._own.pop(request, None)
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)

    def note_unreachable(self, request: RequestId, now: float) -> None:
        """The endpoint is out of reach or silent; one trial at a time until it answers."""
        self.note_failed(request, now)
        self.blocked_until = max(self.blocked_until, now + self._block)
        self._block = min(MOST_BLOCK_SECONDS, self._block * 2)
        self._trial = True


def compute_departure_interval(spec: EngineSpec) -> float:
    """Return the seconds between two departures of an engine that is full.

    A request writes its tokens beside `slots` others and waits while as many prompts are read.
    """
    step = spec.step + spec.step_per_request * spec.slots
    life = spec.typical_answer * step + spec.slots * spec.typical_prompt / spec.prefill_rate
    return life / spec.slots


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
            if state.record.endpoint in tried or not state.has_room(now, late):
                continue
            cost = state.predict_start(size, now) + self._rng.random() * JITTER_SECONDS
            cost += state.failure_rate * FAILURE_PENALTY_SECONDS
            if state.record.failure_domain != self._domain:
                cost += REMOTE_PENALTY_SECONDS
            if best is None or cost < best_cost:
                best, best_cost = state, cost
        return best
