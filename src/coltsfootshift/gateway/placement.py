"""Chooses the endpoint for a request by expected response start, health and failure domain."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from coltsfootshift.gateway.calls import EndpointLoadReport
from coltsfootshift.gateway.endpoint_rate import ColdShare, EndpointRate
from coltsfootshift.gateway.model import EndpointRecord, EngineSpec
from coltsfootshift.gateway.waiting import SlotForecast
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId

__all__ = ["EndpointState", "Placement", "WorkSize", "forecast_slots"]

# Under overload, a half-life of 1 s lets every entry overfill the endpoints.
OTHERS_LOAD_HALF_LIFE_SECONDS = 20.0
LATE_CAPACITY_SHARE = 0.8  # share of an endpoint's slots that late requests may fill
INITIAL_BACKOFF_SECONDS = 0.2  # about the lag of the endpoints' load reports
MAX_BACKOFF_SECONDS = 2.0  # bounds the delay until a recovered endpoint is used again
BACKOFF_JITTER = 0.3  # random share taken off, so that entries do not return at the same moment
FULL_BACKOFF_SECONDS = 0.05  # one scheduler pass of an engine
# A later response start, up to this, is accepted to avoid traffic between failure domains.
REMOTE_PENALTY_SECONDS = 0.015
FAILURE_EMA_WEIGHT = 0.1  # weight of the latest outcome in the moving average
FAILURE_PENALTY_SECONDS = 1.0  # expected delay of a request that fails and is retried
# Expected delay of a request to an endpoint that has fallen silent and may go on.
SILENCE_PENALTY_SECONDS = 1.5
MAX_SILENCE_SECONDS = 1.75  # of a sound endpoint, with some scheduler passes to go on
SUSPICION_SECONDS = 0.1  # outlasts some ticks, each of which renews it while the silence lasts
# A less urgent request goes to a warm endpoint if it begins at most so much later: half of the
# shortest latency objective of streams leaves it in time, and a place to an urgent request.
COLD_RESERVE_SECONDS = 0.2
MOST_URGENT = 0  # of priorities
JITTER_SECONDS = 0.01  # keeps entries with the same estimates from choosing the same endpoint
# A plain service uses little of the latency objective, so as many requests may queue at an endpoint
# as it processes at once.
PLAIN_QUEUE_FACTOR = 2.0
PLAIN_WORK_SECONDS = 0.03  # assumed until requests have been measured
MIN_DEPARTURE_RATE = 0.01  # of a service whose endpoints name a limit of zero
PLAIN_WORK_EMA_WEIGHT = 0.05  # weight of the latest request in the moving average


@dataclass(frozen=True, slots=True)
class WorkSize:
    """The expected size of a request to an engine, in tokens; zero for a plain service."""

    prompt: int = 0
    answer: int = 0


@dataclass(slots=True)
class _InFlightAttempt:
    size: WorkSize
    sent_at: float
    response_started: bool = False


class EndpointState:
    """This entry's estimate of the load and health of one endpoint.

    The entry counts its own requests in flight exactly. The load of the other entries is taken
    from the load reports in responses, which lag: it is the reported total less the own requests
    at that time, and decays as the report ages.

    Until `paused_until` the endpoint wants no requests from this entry; unlike the backoff, nothing
    that happens before shortens it.

    `slowdown` is that of the latest load report, None if it told none; placement does not use it.
    `has_unreadable_reports` is whether a field of the latest load report was not readable.

    Failed requests eject the endpoint: it gets no requests for an exponential backoff, and then one
    at a time until a response progresses. All requests that have received nothing since the latest
    ejection began fail by the same event, which counts once. An endpoint that is only suspected to
    be silent gets requests that no other endpoint takes.
    """

    def __init__(self, record: EndpointRecord, spec: EngineSpec | None, rng: Random) -> None:
        self.record = record
        self.spec = spec
        self._rate = EndpointRate()
        self.failure_rate = 0.0
        self.backoff_until = 0.0
        self.paused_until = 0.0
        self.slowdown: float | None = None
        self.has_unreadable_reports = False
        self._suspected_until = -inf
        self._in_flight: dict[RequestId, _InFlightAttempt] = {}
        self._others_load = 0.0
        self._reported_at = 0.0
        self._rng = rng
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._ejected_at = -inf
        self._silent_since: float | None = None
        self._probing = False
        self._work_seconds = PLAIN_WORK_SECONDS

    def __repr__(self) -> str:
        return f"EndpointState({self.record.endpoint!r}, own={len(self._in_flight)})"

    @property
    def slots(self) -> int:
        """The number of requests that the endpoint processes at once."""
        return max(1, self.spec.slots if self.spec else self.record.slots)

    @property
    def own_in_flight(self) -> int:
        """The number of this entry's requests in flight at the endpoint."""
        return len(self._in_flight)

    @property
    def ejected(self) -> bool:
        """Whether the endpoint has been ejected and has not been seen to be back since."""
        return self._probing

    @property
    def work_seconds(self) -> float:
        """The measured mean time of a request at a plain service, in seconds."""
        return self._work_seconds

    @property
    def rate_limit(self) -> float | None:
        """How many requests a second the endpoint takes from all entries, None if any number."""
        return self._rate.limit

    @property
    def cold(self) -> bool:
        """Whether the endpoint takes few requests for now because it is cold."""
        return self._rate.cold

    def limit_rate(
        self, limit: float | None, share: float, now: float, cold: ColdShare | None = None
    ) -> None:
        """Set the limit for all entries and this entry's share, in requests a second."""
        self._rate.set(limit, share, now, cold)

    def compute_departure_rate(self) -> float:
        """Return how many requests a second the endpoint completes for all entries, when busy."""
        if self.spec is not None:
            rate = 1.0 / compute_departure_interval(self.spec)
        else:
            rate = self.slots / max(0.001, self._work_seconds)
        return self._rate.bound(rate)

    def compute_own_rate(self, entry_count: int) -> float:
        """Return how many requests a second the endpoint completes for this one of the entries."""
        return self._rate.divide(self.compute_departure_rate(), entry_count)

    def estimate_load(self, now: float) -> float:
        """Return the estimated number of requests at the endpoint, of all entries."""
        age = now - self._reported_at
        decay = 0.5 ** (age / OTHERS_LOAD_HALF_LIFE_SECONDS)
        return len(self._in_flight) + self._others_load * decay

    def has_capacity(self, now: float, late: bool = False) -> bool:
        """Return whether the endpoint may be sent one more request now.

        A request that is already late may fill only `LATE_CAPACITY_SHARE` of the slots; the others
        are left to requests that can still be in time.
        """
        if now < max(self.backoff_until, self.paused_until) or self._awaits_probe():
            return False
        if not self._rate.has_room(now):
            return False
        limit = self.slots if self.spec else self.slots * PLAIN_QUEUE_FACTOR
        if late:
            limit *= LATE_CAPACITY_SHARE
        return self.estimate_load(now) < limit

    def predict_start(self, size: WorkSize, now: float) -> float:
        """Return the expected seconds from sending to the first byte of the response body."""
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

    def predict_duration(self, size: WorkSize, now: float) -> float:
        """Return the expected seconds from sending to the end of the response."""
        start = self.predict_start(size, now)
        if self.spec is None:
            return start
        running = min(self.estimate_load(now) + 1, self.slots)
        return start + size.answer * (self.spec.step + self.spec.step_per_request * running)

    def predict_shortest(self, size: WorkSize) -> float:
        """Return the expected seconds from sending to the end if there is a place at once.

        The endpoint is taken to be busy with other requests, but to have read their prompts.
        """
        if self.spec is None:
            return self._work_seconds
        step = self.spec.step + self.spec.step_per_request * self.spec.slots
        tokens = max(self.spec.stride, size.answer)
        return size.prompt / self.spec.prefill_rate + tokens * step

    def record_sent(self, request: RequestId, size: WorkSize, now: float) -> None:
        """Count a request that was sent to the endpoint."""
        self._in_flight[request] = _InFlightAttempt(size, now)
        self._rate.spend(now)

    def record_response_start(
        self, request: RequestId, report: EndpointLoadReport | None, now: float
    ) -> None:
        """Record the start of a response and its load report.

        A report that does not tell how many requests run and how many wait says nothing of the
        total: the estimate so far stays, and ages on.
        """
        attempt = self._in_flight.get(request)
        if attempt is not None:
            attempt.response_started = True
        if report is None:
            return
        self.slowdown = report.slowdown
        total = report.total
        if total is not None:
            self._others_load = max(0.0, total - len(self._in_flight))
            self._reported_at = now

    def record_progress(self) -> None:
        """Record that the endpoint goes on with a response; it ends probing."""
        self._probing = False
        self._silent_since = None

    def record_success(self, request: RequestId, now: float) -> None:
        """Record a successful response; it resets the backoff."""
        attempt = self._in_flight.pop(request, None)
        if attempt is not None and self.spec is None:
            elapsed = now - attempt.sent_at
            self._work_seconds += PLAIN_WORK_EMA_WEIGHT * (elapsed - self._work_seconds)
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._probing = False
        self._silent_since = None
        self.failure_rate -= FAILURE_EMA_WEIGHT * self.failure_rate

    def record_cancelled(self, request: RequestId) -> None:
        """Remove a cancelled request; the health of the endpoint is unaffected."""
        self._in_flight.pop(request, None)

    def record_full(self, request: RequestId, now: float) -> None:
        """Record that the endpoint refused a request because it is full."""
        self._in_flight.pop(request, None)
        self._others_load = max(self._others_load, float(self.slots - len(self._in_flight)))
        self._reported_at = now
        self.backoff_until = max(self.backoff_until, now + FULL_BACKOFF_SECONDS)

    def record_misdirected(self, request: RequestId, since: float, now: float) -> None:
        """Record that the endpoint's identity or model version differs from its record.

        `since` is when the request was sent.
        """
        self._in_flight.pop(request, None)
        if since > self._ejected_at:
            self._eject(now)

    def update_record(self, record: EndpointRecord) -> None:
        """Replace the record; a change of the served versions ends an ejection."""
        if record.versions != self.record.versions:
            self.backoff_until = 0.0
            self._backoff_seconds = INITIAL_BACKOFF_SECONDS
            self._probing = False
            self._silent_since = None
        self.record = record

    def record_failure(self, request: RequestId, now: float) -> None:
        """Record a failed request; it raises the failure rate."""
        self._in_flight.pop(request, None)
        self._raise_failure_rate()

    def record_unreachable(self, request: RequestId, since: float, now: float) -> None:
        """Record a request that failed because the endpoint is unreachable.

        `since` is when the request last received something, or was sent.
        """
        self._in_flight.pop(request, None)
        self.record_silence(since, now)

    def suspect(self, now: float) -> None:
        """Record that the endpoint is silent at this moment although responses are expected."""
        self._suspected_until = now + SUSPICION_SECONDS

    def is_suspected(self, now: float) -> bool:
        """Return whether the endpoint is silent although responses are expected."""
        return now < self._suspected_until

    def may_be_silent(self, now: float) -> bool:
        """Return whether the endpoint was silent when last heard of, and may still be.

        An ejection says nothing any more once a sound endpoint would have gone on, unless requests
        still wait there.
        """
        if self.is_suspected(now):
            return True
        if not self._probing:
            return False
        return bool(self._in_flight) or now - self._ejected_at < MAX_SILENCE_SECONDS

    def record_silence(self, since: float, now: float) -> None:
        """Record that the endpoint has sent nothing for a request since then."""
        if since <= self._ejected_at:
            return
        self._raise_failure_rate()
        if self._silent_since is None:
            self._silent_since = since
        self._eject(now)

    def measure_silence(self, now: float) -> float:
        """Return for how many seconds an ejected endpoint has been silent, 0 if it is not.

        Without a request there and a recent ejection nothing is known of it any more.
        """
        if self._silent_since is None:
            return 0.0
        if not self._in_flight and now > self._ejected_at + MAX_BACKOFF_SECONDS:
            return 0.0
        return now - self._silent_since

    def _eject(self, now: float) -> None:
        self._ejected_at = now
        self._probing = True
        backoff = self._backoff_seconds * (1.0 - BACKOFF_JITTER * self._rng.random())
        self.backoff_until = max(self.backoff_until, now + backoff)
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, self._backoff_seconds * 2)

    def _awaits_probe(self) -> bool:
        """Whether a request is in flight that was sent to find out if the endpoint is back."""
        if not self._probing:
            return False
        return any(attempt.sent_at > self._ejected_at for attempt in self._in_flight.values())

    def _raise_failure_rate(self) -> None:
        self.failure_rate += FAILURE_EMA_WEIGHT * (1.0 - self.failure_rate)


def compute_departure_interval(spec: EngineSpec) -> float:
    """Return the mean time between two completed requests of a full engine, in seconds.

    During its stay a request decodes its tokens in full batches of `slots` requests and waits
    while the prompts of `slots` requests are processed.
    """
    step = spec.step + spec.step_per_request * spec.slots
    residence_seconds = (
        spec.typical_answer * step + spec.slots * spec.typical_prompt / spec.prefill_rate
    )
    return residence_seconds / spec.slots


def forecast_slots(states: Iterable[EndpointState], entry_count: int, now: float) -> SlotForecast:
    """Return when slots of the endpoints are expected to become free for one of the entries."""
    rows = []
    for state in states:
        rate = state.compute_own_rate(entry_count)
        rows.append((max(0.0, state.paused_until - now), rate))
    return SlotForecast(rows, MIN_DEPARTURE_RATE / entry_count)


class Placement:
    """Chooses the endpoint whose response is expected to start first.

    When a burst reaches several entries at once, all of them act on the same lagging load reports.
    Exact counts of own requests and a small jitter keep them from choosing the same endpoint. An
    endpoint in this entry's failure domain is preferred if its response is expected to start at
    most `REMOTE_PENALTY_SECONDS` later.
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
        priority: int = MOST_URGENT,
    ) -> EndpointState | None:
        """Return the endpoint to send the request to, or None if none has capacity.

        Endpoints in `tried` are excluded. Load pattern: some endpoints are cold and take few
        requests, while the warm ones fill. Their places are left to the most urgent requests,
        which begin there at once.
        """
        best: EndpointState | None = None
        best_cost = 0.0
        for state in states:
            if state.record.endpoint in tried or not state.has_capacity(now, late):
                continue
            cost = state.predict_start(size, now) + self._rng.random() * JITTER_SECONDS
            cost += state.failure_rate * FAILURE_PENALTY_SECONDS
            if state.is_suspected(now):
                cost += SILENCE_PENALTY_SECONDS
            if state.cold and priority > MOST_URGENT:
                cost += COLD_RESERVE_SECONDS
            if state.record.failure_domain != self._domain:
                cost += REMOTE_PENALTY_SECONDS
            if best is None or cost < best_cost:
                best, best_cost = state, cost
        return best
