"""Simulation of batching model engines behind several gateways, driven by a synthetic load.

An engine works in passes. In each pass it prefills up to `CHUNK_TOKENS` prompt tokens of the
admitted requests, then executes `stride` decoding steps for all requests whose prompt is complete.
The engine's timing follows `ENGINE_SPEC`, whose values are those that the sites publish.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from gateway_harness import ENGINE_SPEC, GatewayHarness, Transport, make_chunk, make_response
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from coltsfootshift.ids import InstanceId

FIRST_PORT = 180
MAX_QUEUE_LENGTH = 32
CHUNK_TOKENS = 2048
STEP_SECONDS = 0.002
LATENCY_OBJECTIVE_SECONDS = 0.4
GAP_OBJECTIVE_SECONDS = 0.4
LATE_BENEFIT = 0.25
DEADLINE_SECONDS = 6.0
RESTART_SECONDS = 2.0


@dataclass
class Job:
    """An attempt of a request at an engine; `prompt_left` and `answer_left` are in tokens.

    `number` is that of the latest event, and at first of the one after which the answer goes on.
    """

    request: str
    transport: Transport
    prompt_left: int
    answer_left: int
    number: int = 0
    response_started: bool = False


class ModelEngine:
    """One simulated engine.

    `submit` queues a job, or refuses it if the queue is full. `advance` completes all passes that
    end by the given time and sends their events.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.pass_ends_at: float | None = None

    def submit(self, job: Job, now: float) -> None:
        if len(self.waiting) >= MAX_QUEUE_LENGTH:
            job.transport.protocol.dataReceived(
                make_response(
                    status=503, request=job.request, headers=("X-Not-Executed: 1",), sealed=False
                )
            )
            return
        self.waiting.append(job)
        if self.pass_ends_at is None:
            self._begin_pass(now)

    def advance(self, now: float) -> None:
        while self.pass_ends_at is not None and self.pass_ends_at <= now:
            self._end_pass()
            self._begin_pass(self.pass_ends_at)

    def _begin_pass(self, now: float) -> None:
        self.running = [job for job in self.running if job.transport.protocol is not None]
        while self.waiting and len(self.running) < ENGINE_SPEC.slots:
            job = self.waiting.popleft()
            if job.transport.protocol is not None:
                self.running.append(job)
        if not self.running:
            self.pass_ends_at = None
            return
        budget, prompt_read = CHUNK_TOKENS, 0
        for job in self.running:
            share = min(job.prompt_left, budget)
            job.prompt_left -= share
            budget -= share
            prompt_read += share
        decoding = sum(1 for job in self.running if not job.prompt_left)
        step = ENGINE_SPEC.step + ENGINE_SPEC.step_per_request * decoding
        seconds = prompt_read / ENGINE_SPEC.prefill_rate + (
            step * ENGINE_SPEC.stride if decoding else 0.0
        )
        self.pass_ends_at = now + seconds

    def _end_pass(self) -> None:
        finished = []
        for job in list(self.running):
            if job.prompt_left or job.transport.protocol is None:
                continue
            data = b""
            if not job.response_started:
                job.response_started = True
                load = f"X-Engine-Load: {len(self.running)},{len(self.waiting)},{ENGINE_SPEC.slots}"
                data = make_response(chunked=True, request=job.request, headers=(load,))
            job.number += 1
            data += make_chunk(b"id: %d\ndata: x\n\n" % job.number)
            job.answer_left -= ENGINE_SPEC.stride
            if job.answer_left <= 0:
                data += make_chunk(b"")
                finished.append(job)
            job.transport.protocol.dataReceived(data)
        self.running = [job for job in self.running if job not in finished]


@dataclass
class ReplayedRequest:
    """A caller's request and its result.

    Times are in seconds of the simulated clock. `max_gap` is the longest time in seconds between
    two parts of the response. A refused request is retried once, at `retry_at`. `name` is the id
    of the latest try. `begun` is set if part of an answer had arrived when its engine ended, and
    `interrupted` if the engine that had the request has ended.
    """

    sent_at: float
    caller: Transport | None
    prompt_tokens: int
    answer_tokens: int
    gateway: int
    first_at: float | None = None
    last_at: float = 0.0
    max_gap: float = 0.0
    ended: bool = False
    complete: bool = False
    retry_at: float | None = None
    retried: bool = False
    name: str = ""
    begun: bool = False
    interrupted: bool = False


@dataclass
class LoadReplay:
    """Simulates callers, gateways and engines on one clock.

    At each of the times `losses`, in seconds, the engine with the most requests ends, and another
    starts `RESTART_SECONDS` later.
    """

    gateways: int = 4
    engines: int = 6
    seed: int = 1
    losses: tuple[float, ...] = ()
    requests: list[ReplayedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.clock = MemoryReactorClock()
        self.model_engines = [ModelEngine(number) for number in range(self.engines)]
        self.harnesses = []
        names = [str(number) for number in range(self.gateways)]
        for number in range(self.gateways):
            harness = GatewayHarness(0, self.engines, seed=number, clock=self.clock)
            harness.gateway.set_entries(str(number), names)
            self.harnesses.append(harness)
        self._dial_count = 0
        self._connections: list[tuple[Transport, int]] = []
        self._losses = deque(self.losses)
        self._starts: deque[float] = deque()
        self._ended: set[int] = set()

    def run(self, seconds: float, rate: float) -> float:
        """Send requests at random for `seconds`, `rate` per second on average, and let them end.

        Return the mean benefit of a request, see `compute_benefit`.
        """
        next_at = self.rng.expovariate(rate)
        while self.clock.seconds() < seconds + DEADLINE_SECONDS:
            now = self.clock.seconds()
            while next_at <= min(now, seconds):
                self._send_new_request(now)
                next_at += self.rng.expovariate(rate)
            if int(now) != int(now - STEP_SECONDS):
                for harness in self.harnesses:
                    harness.confirm()
            if self._losses and now >= self._losses[0]:
                self._losses.popleft()
                self._starts.append(now + RESTART_SECONDS)
                self._end_engine()
            if self._starts and now >= self._starts[0]:
                self._starts.popleft()
                self._start_engine()
            for engine in self.model_engines:
                engine.advance(now)
            self._deliver_attempts(now)
            self._receive_responses(now)
            self.clock.advance(STEP_SECONDS)
        return self.compute_benefit()

    def compute_benefit(self) -> float:
        """Return the mean benefit of all requests, from 0.0 to 1.0.

        A complete response earns 1.0 if it met the latency and gap objectives at the first try,
        and `LATE_BENEFIT` otherwise.
        """
        earned = 0.0
        for request in self.requests:
            if not request.complete:
                continue
            in_time = (
                request.first_at is not None
                and request.first_at - request.sent_at <= LATENCY_OBJECTIVE_SECONDS
            )
            in_time = in_time and request.max_gap <= GAP_OBJECTIVE_SECONDS and not request.retried
            earned += 1.0 if in_time else LATE_BENEFIT
        return earned / len(self.requests)

    def _end_engine(self) -> None:
        """End the engine with the most requests; its connections close and its record goes."""
        live = [engine for engine in self.model_engines if engine.number not in self._ended]
        engine = max(live, key=lambda item: len(item.running) + len(item.waiting))
        self._ended.add(engine.number)
        jobs = {job.request for job in [*engine.running, *engine.waiting]}
        for request in self.requests:
            if request.name in jobs and not request.ended:
                request.interrupted, request.begun = True, request.first_at is not None
        engine.running, engine.waiting, engine.pass_ends_at = [], deque(), None
        for transport, number in self._connections:
            if number == engine.number and transport.protocol is not None:
                transport.disconnect(ConnectionDone())
        for harness in self.harnesses:
            del harness.tables.endpoints[InstanceId(f"m-{engine.number}")]
            harness.gateway.refresh()

    def _start_engine(self) -> None:
        number = len(self.model_engines)
        self.model_engines.append(ModelEngine(number))
        for harness in self.harnesses:
            harness.add_endpoint(f"m-{number}", "llm", FIRST_PORT + number, {"m": 1})
            harness.gateway.refresh()

    def _send_new_request(self, now: float) -> None:
        prompt = int(min(3500, self.rng.lognormvariate(6.6, 0.7)))
        answer = int(min(260, 5 + self.rng.expovariate(1 / 90)))
        request = ReplayedRequest(now, None, prompt, answer, self.rng.randrange(self.gateways))
        self.requests.append(request)
        self._send(request, now)

    def _send(self, request: ReplayedRequest, now: float) -> None:
        remaining_ms = int(1000 * (request.sent_at + DEADLINE_SECONDS - now))
        headers = (
            "X-Model: m",
            f"X-Token-Counts: {request.prompt_tokens},{request.answer_tokens}",
            f"X-Deadline-Ms: {remaining_ms}",
        )
        request.name = f"r-{len(self.requests)}-{self.rng.random()}"
        harness = self.harnesses[request.gateway]
        request.caller = harness.send_request("model", headers=headers, request=request.name)

    def _deliver_attempts(self, now: float) -> None:
        """Accept new connections of the gateways and pass their requests to the engines."""
        while self._dial_count < len(self.clock.tcpClients):
            _, port, factory = self.clock.tcpClients[self._dial_count][:3]
            connector = self.clock.connectors[self._dial_count]
            self._dial_count += 1
            if port - FIRST_PORT in self._ended:
                factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))
                continue
            transport = Transport()
            transport.protocol = factory.buildProtocol(None)
            transport.protocol.makeConnection(transport)
            self._connections.append((transport, port - FIRST_PORT))
        self._connections = [row for row in self._connections if row[0].protocol is not None]
        for transport, engine in self._connections:
            if not transport.value():
                continue
            fields = {}
            for line in transport.take().decode().split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                fields[name.lower()] = value
            prompt, answer = fields["x-token-counts"].split(",")
            number = int(fields.get("last-event-id", 0))
            left = max(1, int(answer) - number * ENGINE_SPEC.stride)
            job = Job(fields["x-attempt-id"], transport, int(prompt), left, number)
            self.model_engines[engine].submit(job, now)

    def _receive_responses(self, now: float) -> None:
        """Record what callers have received, and retry refused requests that are due."""
        for request in self.requests:
            if request.retry_at is not None and now >= request.retry_at:
                request.retry_at, request.retried, request.ended = None, True, False
                self._send(request, now)
            if request.ended or request.caller is None or not request.caller.value():
                continue
            data = request.caller.take()
            if data.startswith(b"HTTP/1.1 503"):
                self._record_refusal(request, data, now)
                continue
            if data.startswith(b"HTTP/1.1 5"):
                request.ended = True
                continue
            if request.first_at is None:
                request.first_at = now
            elif request.last_at:
                request.max_gap = max(request.max_gap, now - request.last_at)
            request.last_at = now
            if data.endswith(b"0\r\n\r\n"):
                request.ended = request.complete = True

    def _record_refusal(self, request: ReplayedRequest, data: bytes, now: float) -> None:
        request.ended = True
        head = data.decode().lower()
        if not request.retried and "retry-after: " in head:
            after = float(head.partition("retry-after: ")[2].partition("\r\n")[0])
            request.retry_at = now + after
