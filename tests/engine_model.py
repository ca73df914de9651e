"""A small model of batching engines behind several gateways, for replays of load.

An engine works in passes: it reads the prompts of admitted requests up to a chunk, then executes
`stride` token steps for all that write. Figures are those that the sites publish.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from gateway_harness import ENGINE, GatewayHarness, Transport, make_answer, make_chunk
from twisted.internet.testing import MemoryReactorClock

QUEUE = 32
CHUNK_TOKENS = 2048
STEP_SECONDS = 0.002
AIM_SECONDS = 0.4
PAUSE_SECONDS = 0.4
LATE_WORTH = 0.25
DEADLINE_SECONDS = 6.0


@dataclass
class Job:
    """A request at an engine."""

    request: str
    transport: Transport
    unread: int
    left: int
    begun: bool = False


class ModelEngine:
    """One engine; `advance` runs the passes that end by a time."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.pass_ends_at: float | None = None
        self.events = 0

    def submit(self, job: Job, now: float) -> None:
        if len(self.waiting) >= QUEUE:
            job.transport.protocol.dataReceived(
                make_answer(
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
        while self.waiting and len(self.running) < ENGINE.slots:
            job = self.waiting.popleft()
            if job.transport.protocol is not None:
                self.running.append(job)
        if not self.running:
            self.pass_ends_at = None
            return
        budget, read = CHUNK_TOKENS, 0
        for job in self.running:
            part = min(job.unread, budget)
            job.unread -= part
            budget -= part
            read += part
        writing = sum(1 for job in self.running if not job.unread)
        step = ENGINE.step + ENGINE.step_per_request * writing
        seconds = read / ENGINE.prefill_rate + (step * ENGINE.stride if writing else 0.0)
        self.pass_ends_at = now + seconds

    def _end_pass(self) -> None:
        done = []
        for job in list(self.running):
            if job.unread or job.transport.protocol is None:
                continue
            data = b""
            if not job.begun:
                job.begun = True
                load = f"X-Engine-Load: {len(self.running)},{len(self.waiting)},{ENGINE.slots}"
                data = make_answer(chunked=True, request=job.request, headers=(load,))
            self.events += 1
            data += make_chunk(b"id: %d\ndata: x\n\n" % self.events)
            job.left -= ENGINE.stride
            if job.left <= 0:
                data += make_chunk(b"")
                done.append(job)
            job.transport.protocol.dataReceived(data)
        self.running = [job for job in self.running if job not in done]


@dataclass
class Asked:
    """A request of a caller and what became of it; times in seconds of the clock."""

    at: float
    caller: Transport | None
    prompt: int
    answer: int
    gateway: int
    first_at: float | None = None
    last_at: float = 0.0
    pause: float = 0.0
    ended: bool = False
    complete: bool = False
    returns_at: float | None = None
    returned: bool = False


@dataclass
class LoadReplay:
    """Callers, gateways and engines on one clock; `run` plays arrivals at a rate."""

    gateways: int = 4
    engines: int = 6
    seed: int = 1
    asked: list[Asked] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.clock = MemoryReactorClock()
        self.models = [ModelEngine(number) for number in range(self.engines)]
        self.harnesses = []
        for number in range(self.gateways):
            harness = GatewayHarness(0, self.engines, seed=number, clock=self.clock)
            harness.gateway.set_entry_count(self.gateways)
            self.harnesses.append(harness)
        self._dials = 0
        self._open: list[tuple[Transport, int]] = []

    def run(self, seconds: float, rate: float) -> float:
        """Play arrivals for a time, let them end; return benefit earned over benefit owed."""
        next_at = self.rng.expovariate(rate)
        while self.clock.seconds() < seconds + DEADLINE_SECONDS:
            now = self.clock.seconds()
            while next_at <= min(now, seconds):
                self._ask(now)
                next_at += self.rng.expovariate(rate)
            if int(now) != int(now - STEP_SECONDS):
                for harness in self.harnesses:
                    harness.confirm()
            for engine in self.models:
                engine.advance(now)
            self._carry(now)
            self._read(now)
            self.clock.advance(STEP_SECONDS)
        return self.measure()

    def measure(self) -> float:
        earned = 0.0
        for asked in self.asked:
            if not asked.complete:
                continue
            in_time = asked.first_at is not None and asked.first_at - asked.at <= AIM_SECONDS
            in_time = in_time and asked.pause <= PAUSE_SECONDS and not asked.returned
            earned += 1.0 if in_time else LATE_WORTH
        return earned / len(self.asked)

    def _ask(self, now: float) -> None:
        prompt = int(min(3500, self.rng.lognormvariate(6.6, 0.7)))
        answer = int(min(260, 5 + self.rng.expovariate(1 / 90)))
        asked = Asked(now, None, prompt, answer, self.rng.randrange(self.gateways))
        self.asked.append(asked)
        self._send(asked, now)

    def _send(self, asked: Asked, now: float) -> None:
        left = int(1000 * (asked.at + DEADLINE_SECONDS - now))
        headers = (
            "X-Model: m",
            f"X-Token-Counts: {asked.prompt},{asked.answer}",
            f"X-Deadline-Ms: {left}",
        )
        name = f"r-{len(self.asked)}-{self.rng.random()}"
        harness = self.harnesses[asked.gateway]
        asked.caller = harness.call("model", headers=headers, request=name)

    def _carry(self, now: float) -> None:
        """Accept the connections dialled, and hand whole orders to the engines."""
        while self._dials < len(self.clock.tcpClients):
            _, port, factory = self.clock.tcpClients[self._dials][:3]
            self._dials += 1
            transport = Transport()
            transport.protocol = factory.buildProtocol(None)
            transport.protocol.makeConnection(transport)
            self._open.append((transport, port - 180))
        self._open = [row for row in self._open if row[0].protocol is not None]
        for transport, number in self._open:
            if not transport.value():
                continue
            fields = {}
            for line in transport.take().decode().split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                fields[name.lower()] = value
            prompt, answer = fields["x-token-counts"].split(",")
            job = Job(fields["x-attempt-id"], transport, int(prompt), int(answer))
            self.models[number].submit(job, now)

    def _read(self, now: float) -> None:
        """Note what callers have received, and let the refused return."""
        for asked in self.asked:
            if asked.returns_at is not None and now >= asked.returns_at:
                asked.returns_at, asked.returned, asked.ended = None, True, False
                self._send(asked, now)
            if asked.ended or asked.caller is None or not asked.caller.value():
                continue
            data = asked.caller.take()
            if data.startswith(b"HTTP/1.1 503"):
                self._note_refusal(asked, data, now)
                continue
            if asked.first_at is None:
                asked.first_at = now
            elif asked.last_at:
                asked.pause = max(asked.pause, now - asked.last_at)
            asked.last_at = now
            if data.endswith(b"0\r\n\r\n"):
                asked.ended = asked.complete = True

    def _note_refusal(self, asked: Asked, data: bytes, now: float) -> None:
        asked.ended = True
        head = data.decode().lower()
        if not asked.returned and "retry-after: " in head:
            after = float(head.partition("retry-after: ")[2].partition("\r\n")[0])
            asked.returns_at = now + after
