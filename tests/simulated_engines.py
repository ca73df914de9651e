"""Drives gateways against simulated model engines.

They end when a prompt holds a certain part, and may name a limit in their answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

from gateway_harness import (
    GatewayHarness,
    Transport,
    make_chunk,
    make_event,
    make_response,
)
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.gateway.beliefs import SharedBeliefs
from coltsfootshift.ids import InstanceId

STEP_SECONDS = 0.02
EVENT_SECONDS = 0.05
CONFIRM_SECONDS = 1.0  # the entries trust their tables for longer
EVENT_COUNT = 14
RESTART_SECONDS = 3.0
ENGINE_PORT = 180  # of the first engine of a harness
COMMON_PART = "5c1e07a2"


@dataclass
class Arrival:
    """A request that has reached an engine; `begun_at` is None until its answer begins."""

    request: str
    parts: tuple[str, ...]
    arrived_at: float
    transport: Transport
    port: int
    begun_at: float | None = None
    events: int = 0


@dataclass
class Engine:
    """One address at which an engine runs, or starts again at `back_at`."""

    port: int
    number: int
    back_at: float | None = None
    connections: list[Transport] = field(default_factory=list)
    running: list[Arrival] = field(default_factory=list)


class SimulatedEngines:
    """Simulated engines, the gateways before them and the callers that send them requests.

    An engine ends one event after it has begun to answer a prompt with a part of `crashing`. It
    is back `RESTART_SECONDS` later under another name.
    """

    def __init__(self, entries=1, engines=6, crashing=(), seed=1, linked=True):
        self.clock = MemoryReactorClock()
        self.rng = Random(seed)
        self.crashing = set(crashing)
        self.entries = [
            GatewayHarness(0, engines, seed=seed + n, clock=self.clock) for n in range(entries)
        ]
        self.engines = {ENGINE_PORT + n: Engine(ENGINE_PORT + n, n) for n in range(engines)}
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self.limits: dict[int, float] = {}
        self.callers: dict[str, Transport] = {}
        self.linked = linked
        self.agent = SharedBeliefs(judges_from=inf)
        self._dial_count = 0
        self._started = 0
        self._confirm_at = 0.0
        for harness in self.entries:
            self._join(harness)

    @property
    def now(self) -> float:
        return self.clock.seconds()

    def restart_entry(self, number):
        """Replace an entry by a new one, which knows what the others and an agent tell it."""
        seed = self.rng.random()
        harness = GatewayHarness(0, 0, seed=seed, clock=self.clock)
        harness.tables.endpoints.update(self.entries[number].tables.endpoints)
        harness.gateway.refresh()
        self.entries[number] = harness
        self._join(harness)
        known = [other.gateway.beliefs for other in self.entries if other is not harness]
        for beliefs in [*known, self.agent] if self.linked else []:
            for message in beliefs.list_messages(self.now):
                self._deliver(harness, message)

    def send(self, parts, entry=None, headers=(), body=b"", own=None) -> str:
        """Send a streaming request with these shared parts of its prompt; return its id.

        `own` is the last part, which is new if none is given.
        """
        request = f"r-{len(self.callers)}"
        harness = self.entries[
            entry if entry is not None else self.rng.randrange(len(self.entries))
        ]
        prefix = ",".join(f"{part}:100" for part in (*parts, own or f"{len(self.callers):08x}"))
        self.callers[request] = harness.send_request(
            "model",
            request=request,
            headers=(
                "X-Model: m",
                "X-Token-Counts: 700,70",
                f"X-Prompt-Prefix: {prefix}",
                *headers,
            ),
            body=body,
        )
        return request

    def run(self, seconds, senders=()):
        """Let time pass; each sender is called once a step with the current time."""
        until = self.now + seconds
        while self.now < until - STEP_SECONDS / 2:
            for send in senders:
                send(self)
            if self.now >= self._confirm_at:
                self._confirm_at = self.now + CONFIRM_SECONDS
                for harness in self.entries:
                    harness.confirm()
            self.clock.advance(STEP_SECONDS)
            self._step()

    def crash(self, port):
        """End an engine: its connections close and its record goes."""
        engine = self.engines[port]
        engine.back_at = self.now + RESTART_SECONDS
        self.crashes.append(self.now)
        connections, engine.connections, engine.running = engine.connections, [], []
        for transport in connections:
            transport.disconnect(ConnectionDone())
        for harness in self.entries:
            for name in list(harness.tables.endpoints):
                if harness.tables.endpoints[name].address.port == port:
                    del harness.tables.endpoints[name]
            harness.gateway.refresh()

    def answered(self, requests) -> int:
        """Return how many of the requests got a whole answer."""
        return sum(self.callers[name].value().endswith(b"0\r\n\r\n") for name in requests)

    def find_most_arrivals(self, port, start, end, seconds):
        """Return the most requests that reached an engine in `seconds` within a span of time."""
        times = [row.arrived_at for row in self.arrivals if row.port == port]
        times = [at for at in times if start <= at <= end]
        most = 0
        for at in times:
            most = max(most, sum(at <= other < at + seconds for other in times))
        return most

    def sent_to_engines(self, part, after=0.0) -> int:
        """Return how many requests with a part have reached engines later than a time."""
        return sum(part in row.parts and row.arrived_at > after for row in self.arrivals)

    def _join(self, harness):
        names = [str(number) for number in range(len(self.entries))]
        harness.gateway.set_entries(str(self.entries.index(harness)), names)
        if self.linked:
            harness.gateway.notify_peers = lambda message: self._broadcast(harness, message)

    def _broadcast(self, sender, message):
        """Deliver a message to the agent and all other entries, and their replies to the sender."""
        self.agent.receive(decode_message(encode_message(message)), "entry", self.now)
        for harness in self.entries:
            if harness is not sender:
                reply = self._deliver(harness, message)
                if reply is not None:
                    self._deliver(sender, reply)

    def _deliver(self, harness, message):
        """Deliver a message as the node of an entry does; return the reply to its sender."""
        data = decode_message(encode_message(message))
        answer = harness.gateway.beliefs.receive(data, "entry", self.now)
        if answer.relay is not None:
            harness.gateway.apply_limits()
            harness.gateway.end_quarantined()
        return answer.reply

    def _step(self):
        while self._dial_count < len(self.clock.tcpClients):
            _, port, factory = self.clock.tcpClients[self._dial_count][:3]
            connector = self.clock.connectors[self._dial_count]
            self._dial_count += 1
            engine = self.engines[port]
            if engine.back_at is not None:
                factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))
                continue
            transport = Transport()
            transport.protocol = factory.buildProtocol(None)
            transport.protocol.makeConnection(transport)
            engine.connections.append(transport)
        for engine in self.engines.values():
            self._step_engine(engine)

    def _step_engine(self, engine):
        if engine.back_at is not None:
            if self.now >= engine.back_at:
                self._restart(engine)
            return
        for transport in engine.connections:
            if transport.value() and transport.protocol is not None:
                self._accept(engine, transport)
        for arrival in list(engine.running):
            if arrival.transport.protocol is None:
                engine.running.remove(arrival)
                continue
            if self._write(engine, arrival):
                self.crash(engine.port)
                return

    def _accept(self, engine, transport):
        lines = transport.take().decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        fields = {name.lower(): value for name, value in fields.items()}
        parts = tuple(row.split(":")[0] for row in fields["x-prompt-prefix"].split(","))
        arrival = Arrival(fields["x-attempt-id"], parts, self.now, transport, engine.port)
        self.arrivals.append(arrival)
        engine.running.append(arrival)

    def _write(self, engine, arrival) -> bool:
        """Write what is due of an answer; return whether the engine ends under it."""
        protocol = arrival.transport.protocol
        if arrival.begun_at is None:
            arrival.begun_at = self.now
            headers = (
                "Content-Type: text/event-stream",
                f"X-Engine-Load: {len(engine.running)},0,16",
            )
            if engine.port in self.limits:
                headers += (f"Server-Limit: {self.limits[engine.port]}",)
            head = make_response(chunked=True, request=arrival.request, headers=headers)
            protocol.dataReceived(head + make_chunk(make_event(1)))
            arrival.events = 1
            return False
        if self.now < arrival.begun_at + arrival.events * EVENT_SECONDS:
            return False
        if self.crashing.intersection(arrival.parts):
            return True
        arrival.events += 1
        if arrival.events <= EVENT_COUNT:
            protocol.dataReceived(make_chunk(make_event(arrival.events)))
            return False
        engine.running.remove(arrival)
        protocol.dataReceived(make_chunk(b""))
        return False

    def _restart(self, engine):
        engine.back_at = None
        self._started += 1
        name = f"m-{engine.number}-{self._started}"
        for harness in self.entries:
            harness.add_endpoint(name, "llm", engine.port, {"m": 1})
            assert InstanceId(name) in harness.tables.endpoints
            harness.gateway.refresh()


def make_sender(rate, draw_parts, sent, **options):
    """Return a sender of `rate` requests a second, whose ids are appended to `sent`."""

    def send(group):
        if group.rng.random() < rate * STEP_SECONDS:
            sent.append(group.send(draw_parts(group.rng), **options))

    return send
